#include "absl/strings/numbers.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/cli/cli.h"
#include "hawthornhollow/cli/commands.h"
#include "hawthornhollow/cli/folder_changes.h"
#include "hawthornhollow/cli/output.h"
#include "hawthornhollow/cli/publishing.h"

namespace hawthornhollow {
namespace {

constexpr char kName[] = "rollback";

int Rollback(LogSession& session,
             int64_t version,
             const PublishOptions& options) {
  auto config = session.ReadConfig();
  if (!config.ok())
    return Fail(kName, config.status());
  auto files = config->fold.FilesAt(version);
  if (!files.ok())
    return Fail(kName, files.status());
  PublishRecord record;
  record.id = RandomId();
  record.operator_name = OperatorName(options);
  record.base_version = config->fold.version();
  record.changes = DiffFiles(FilesInForce(config->fold), *files);
  std::fprintf(stderr, "publishing id=%s\n", record.id.c_str());
  return ReportOutcome(
      {kName, record.id, session.Publish(record), options.json, ""});
}

}  // namespace

int RunRollbackCommand(const Arguments& arguments) {
  PublishOptions publish;
  OptionParser options(
      {.name = kName,
       .arguments = "VERSION",
       .description =
           "Publishes the files of an earlier version as a new version. "
           "`history` lists\nthe versions. Budgets go back to the tokens voted "
           "then; what was spent stays\nspent.\n",
       .example = "  $ hawthornhollow rollback 12 --log 127.0.0.1:7001\n"
                  "  accepted version=14 id=90b1c2d7a4e35f68\n",
       .min_positionals = 1,
       .max_positionals = 1});
  AddPublishOptions(options, &publish);
  if (std::optional<int> exit = options.Parse(arguments))
    return *exit;
  int64_t version = 0;
  bool valid =
      absl::SimpleAtoi(options.positionals()[0], &version) && version > 0;
  if (!valid) {
    return options.UsageError(
        "VERSION: must be a whole number from 1 (found "
        "\"" +
        options.positionals()[0] + "\")");
  }
  return WithLog(kName, publish.log, [&](LogSession& session) {
    return Rollback(session, version, publish);
  });
}

}  // namespace hawthornhollow
