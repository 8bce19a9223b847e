#ifndef HAWTHORNHOLLOW_CLI_COMMANDS_H_
#define HAWTHORNHOLLOW_CLI_COMMANDS_H_

// The commands, one source file each. Internal to the cli library.

#include <string>
#include <vector>

namespace hawthornhollow {

// The words after the command's name.
using Arguments = std::vector<std::string>;

// Each runs one command and returns the exit status.
int RunRouterCommand(const Arguments& arguments);
int RunSidecarCommand(const Arguments& arguments);
int RunCheckCommand(const Arguments& arguments);
int RunDiffCommand(const Arguments& arguments);
int RunPublishCommand(const Arguments& arguments);
int RunFetchCommand(const Arguments& arguments);
int RunRollbackCommand(const Arguments& arguments);
int RunHistoryCommand(const Arguments& arguments);
int RunStatusCommand(const Arguments& arguments);
int RunBudgetCommand(const Arguments& arguments);
int RunBillsCommand(const Arguments& arguments);
int RunAuditCommand(const Arguments& arguments);
int RunExplainCommand(const Arguments& arguments);
int RunKeyCommand(const Arguments& arguments);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_CLI_COMMANDS_H_
