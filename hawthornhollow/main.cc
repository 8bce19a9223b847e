#include "hawthornhollow/cli/cli.h"
#include "hawthornhollow/runtime/runtime.h"

int main(int argc, char** argv) {
  hawthornhollow::LimitRetainedMemory();
  return hawthornhollow::RunCommandLine(argc, argv);
}
