#include <algorithm>
#include <cstdio>
#include <string_view>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/cli/cli.h"
#include "hawthornhollow/cli/commands.h"
#include "hawthornhollow/cli/options.h"

namespace hawthornhollow {
namespace {

constexpr char kVersion[] = "0.1.0";

struct Command {
  std::string_view name;
  std::string_view summary;
  int (*run)(const Arguments&);
};

constexpr Command kCommands[] = {
    {"router", "run a router on an entry VM", &RunRouterCommand},
    {"sidecar", "run the side process of a backend server", &RunSidecarCommand},
    {"check", "check a configuration folder", &RunCheckCommand},
    {"fetch", "write the configuration in force into a folder",
     &RunFetchCommand},
    {"diff", "show what publishing a folder would change", &RunDiffCommand},
    {"publish", "publish a folder's changes", &RunPublishCommand},
    {"history", "list the published versions", &RunHistoryCommand},
    {"rollback", "publish an earlier version's files again",
     &RunRollbackCommand},
    {"status", "show versions, routers, side processes and budgets",
     &RunStatusCommand},
    {"budget", "show budgets: voted, spent, held and free", &RunBudgetCommand},
    {"bills", "list bills", &RunBillsCommand},
    {"audit", "list every record of the log and its verdict", &RunAuditCommand},
    {"explain", "say from the logs what became of a request",
     &RunExplainCommand},
    {"key", "generate a caller's bearer key", &RunKeyCommand},
};

void PrintCommands(std::FILE* out) {
  std::fputs("usage: hawthornhollow COMMAND [OPTION...]\n\ncommands:\n", out);
  for (const Command& command : kCommands) {
    std::fprintf(out, "  %-9s %s\n", std::string(command.name).c_str(),
                 std::string(command.summary).c_str());
  }
  std::fputs(
      "  version   print the program's version\n"
      "  help      print this list; `help COMMAND` explains one\n"
      "\n"
      "A first session:\n"
      "  export HAWTHORNHOLLOW_LOG=127.0.0.1:7001\n"
      "  hawthornhollow fetch config/\n"
      "  (add, edit or remove files in config/)\n"
      "  hawthornhollow diff config/\n"
      "  hawthornhollow publish config/\n"
      "  hawthornhollow status\n"
      "\n"
      "exit status: 0 ok, 1 refused or failed, 2 usage or bad input,\n"
      "3 a service was not reached or an outcome is unknown\n",
      out);
}

const Command* FindCommand(std::string_view name) {
  auto found = std::find_if(
      std::begin(kCommands), std::end(kCommands),
      [&](const Command& command) { return command.name == name; });
  return found == std::end(kCommands) ? nullptr : found;
}

int UnknownCommand(const std::string& name) {
  std::fprintf(stderr,
               "hawthornhollow: unknown command \"%s\"; "
               "`hawthornhollow help` lists the commands\n",
               name.c_str());
  return kExitUsage;
}

int RunHelp(const Arguments& arguments) {
  if (arguments.empty()) {
    PrintCommands(stdout);
    return kExitOk;
  }
  const Command* command = FindCommand(arguments[0]);
  if (command == nullptr)
    return UnknownCommand(arguments[0]);
  return command->run({"--help"});
}

int RunNamed(const std::string& name, const Arguments& arguments) {
  if (name == "help" || name == "--help" || name == "-h")
    return RunHelp(arguments);
  if (name == "version" || name == "--version") {
    std::printf("hawthornhollow %s\n", kVersion);
    return kExitOk;
  }
  const Command* command = FindCommand(name);
  if (command == nullptr)
    return UnknownCommand(name);
  return command->run(arguments);
}

}  // namespace

int RunCommandLine(int argc, char** argv) {
  if (argc < 2) {
    PrintCommands(stderr);
    return kExitUsage;
  }
  InitLogging("hawthornhollow", LogSeverity::kError);
  return RunNamed(argv[1], Arguments(argv + 2, argv + argc));
}

}  // namespace hawthornhollow
