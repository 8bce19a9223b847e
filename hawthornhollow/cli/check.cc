#include <cstdio>

#include "boost/json/array.hpp"
#include "boost/json/object.hpp"
#include "hawthornhollow/cli/cli.h"
#include "hawthornhollow/cli/commands.h"
#include "hawthornhollow/cli/folder_check.h"
#include "hawthornhollow/cli/options.h"
#include "hawthornhollow/cli/output.h"

namespace hawthornhollow {
namespace {

constexpr char kName[] = "check";

boost::json::array ErrorsJson(const std::vector<ConfigError>& errors) {
  boost::json::array list;
  for (const ConfigError& error : errors) {
    list.push_back(boost::json::object{{"file", error.file},
                                       {"field", error.field},
                                       {"reason", error.reason},
                                       {"value", error.value}});
  }
  return list;
}

void PrintSummary(const Configuration& config) {
  std::printf(
      "ok: %zu files, %zu members, %zu budgets, %zu ranks, %zu callers, "
      "%zu models, %zu services, %zu servers\n",
      config.files().size(), config.members().size(), config.budgets().size(),
      config.ranks().size(), config.callers().size(), config.models().size(),
      config.services().size(), config.servers().size());
}

}  // namespace

std::shared_ptr<const Configuration> CheckFiles(const std::string& command,
                                                const ConfigFiles& files) {
  std::vector<ConfigError> errors;
  auto config = Configuration::Merge(files, &errors);
  for (const ConfigError& error : errors)
    PrintError(command, error.ToString());
  return config;
}

int RunCheckCommand(const Arguments& arguments) {
  bool json = false;
  OptionParser options(
      {.name = kName,
       .arguments = "FOLDER",
       .description =
           "Checks a configuration folder without publishing it. Prints every "
           "error\nwith its file, field and reason; exit status 1 if there is "
           "one.\n",
       .example = "  $ hawthornhollow check examples/lantern-works\n"
                  "  ok: 9 files, 1 members, 3 budgets, ...\n",
       .min_positionals = 1,
       .max_positionals = 1});
  options.AddFlag("json", "print {\"ok\":...,\"errors\":[...]}", &json);
  if (std::optional<int> exit = options.Parse(arguments))
    return *exit;
  auto files = ReadFolder(options.positionals()[0]);
  if (!files.ok())
    return Fail(kName, files.status());
  if (json) {
    std::vector<ConfigError> errors;
    bool ok = Configuration::Merge(*files, &errors) != nullptr;
    PrintJson(boost::json::object{{"ok", ok}, {"errors", ErrorsJson(errors)}});
    return ok ? kExitOk : kExitRefused;
  }
  auto config = CheckFiles(kName, *files);
  if (config == nullptr)
    return kExitRefused;
  PrintSummary(*config);
  return kExitOk;
}

}  // namespace hawthornhollow
