#include "absl/strings/str_join.h"
#include "boost/json/array.hpp"
#include "boost/json/object.hpp"
#include "hawthornhollow/cli/cli.h"
#include "hawthornhollow/cli/commands.h"
#include "hawthornhollow/cli/log_session.h"
#include "hawthornhollow/cli/options.h"
#include "hawthornhollow/cli/output.h"

namespace hawthornhollow {
namespace {

constexpr char kName[] = "history";

void PrintHistory(const std::vector<ConfigFold::VersionInfo>& history) {
  Table table({"VERSION", "PUBLISHED", "OPERATOR", "ID", "FILES"});
  for (const ConfigFold::VersionInfo& info : history) {
    table.AddRow({std::to_string(info.version), FormatTimeMs(info.time_ms),
                  info.operator_name, info.id, absl::StrJoin(info.files, " ")});
  }
  table.Print();
}

void PrintHistoryJson(const std::vector<ConfigFold::VersionInfo>& history) {
  boost::json::array list;
  for (const ConfigFold::VersionInfo& info : history) {
    boost::json::array files(info.files.begin(), info.files.end());
    list.push_back(boost::json::object{{"version", info.version},
                                       {"offset", info.offset},
                                       {"time_ms", info.time_ms},
                                       {"operator", info.operator_name},
                                       {"id", info.id},
                                       {"files", std::move(files)}});
  }
  PrintJson(list);
}

}  // namespace

int RunHistoryCommand(const Arguments& arguments) {
  LogOptions log;
  bool json = false;
  OptionParser options(
      {.name = kName,
       .description =
           "Lists the kept versions of the configuration, oldest first: who "
           "published\neach, when, and the files that it changed.\n",
       .example =
           "  $ hawthornhollow history --log 127.0.0.1:7001\n"
           "  VERSION  PUBLISHED             OPERATOR  ID                "
           "FILES\n"
           "       13  2026-05-04T10:20:30Z  binod     5f0c2a9be81d7743  "
           "20-budgets.json\n"});
  options.AddFlag("json", "print JSON", &json);
  AddLogOptions(options, &log);
  if (std::optional<int> exit = options.Parse(arguments))
    return *exit;
  return WithLog(kName, log, [&](LogSession& session) -> int {
    auto config = session.ReadConfig();
    if (!config.ok())
      return Fail(kName, config.status());
    if (json)
      PrintHistoryJson(config->fold.history());
    else
      PrintHistory(config->fold.history());
    return kExitOk;
  });
}

}  // namespace hawthornhollow
