#include "hawthornhollow/cli/cli.h"

int main(int argc, char** argv) {
  return hawthornhollow::RunCommandLine(argc, argv);
}
