#ifndef HAWTHORNHOLLOW_CLI_CLI_H_
#define HAWTHORNHOLLOW_CLI_CLI_H_

// The command line: `hawthornhollow COMMAND ...`.
//
//   int main(int argc, char** argv) {
//     return hawthornhollow::RunCommandLine(argc, argv);
//   }

namespace hawthornhollow {

// What the program's exit status means.
enum ExitCode : int {
  kExitOk = 0,
  kExitRefused = 1,  // understood, and refused or failed
  kExitUsage = 2,    // unknown flags, bad settings or other bad input
  kExitUnknown = 3,  // a service was not reached, or an outcome is not known
};

// Runs one command and returns the exit status. Results go to standard output,
// errors to standard error.
int RunCommandLine(int argc, char** argv);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_CLI_CLI_H_
