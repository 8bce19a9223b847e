#include <cstdio>
#include <filesystem>
#include <system_error>

#include "boost/json/array.hpp"
#include "boost/json/object.hpp"
#include "hawthornhollow/cli/cli.h"
#include "hawthornhollow/cli/commands.h"
#include "hawthornhollow/cli/folder_changes.h"
#include "hawthornhollow/cli/log_session.h"
#include "hawthornhollow/cli/options.h"
#include "hawthornhollow/cli/output.h"
#include "hawthornhollow/cli/work_folder.h"

namespace hawthornhollow {
namespace {

constexpr char kName[] = "fetch";

struct FetchOptions {
  LogOptions log;
  bool discard = false;
  bool json = false;
};

absl::StatusOr<WorkFolder> OpenFolder(const std::string& path) {
  std::error_code error;
  std::filesystem::create_directories(path, error);
  auto folder = WorkFolder::Read(path);
  if (!folder.ok())
    return folder.status();
  if (folder->has_base || folder->files.empty())
    return folder;
  return absl::FailedPreconditionError(
      path + " holds files but was not fetched; fetch into an empty folder");
}

void PrintFetched(const std::vector<std::string>& written,
                  int64_t version,
                  bool json) {
  if (json) {
    boost::json::array files(written.begin(), written.end());
    PrintJson(
        boost::json::object{{"version", version}, {"files", std::move(files)}});
    return;
  }
  std::printf("fetched version=%lld files=%zu\n",
              static_cast<long long>(version), written.size());
}

int Fetch(LogSession& session,
          const std::string& path,
          const FetchOptions& options) {
  auto folder = OpenFolder(path);
  if (!folder.ok())
    return Fail(kName, folder.status());
  auto config = session.ReadConfig();
  if (!config.ok())
    return Fail(kName, config.status());
  const ConfigFold& fold = config->fold;
  auto base = FilesOfBase(fold, folder->base_version);
  if (!base.ok() && !options.discard)
    return Fail(kName, base.status());
  VersionFiles target{fold.version(), FilesInForce(fold)};
  auto written =
      SyncFolder(*folder, base.ok() ? *base : ConfigFiles(), target, {},
                 options.discard ? LocalEdits::kDiscard : LocalEdits::kKeep);
  if (absl::IsAborted(written.status())) {
    PrintError(kName, std::string(written.status().message()));
    PrintError(kName, "copy your edits elsewhere, then fetch --discard");
    return kExitRefused;
  }
  if (!written.ok())
    return Fail(kName, written.status());
  PrintFetched(*written, target.version, options.json);
  return kExitOk;
}

}  // namespace

int RunFetchCommand(const Arguments& arguments) {
  FetchOptions fetch;
  OptionParser options(
      {.name = kName,
       .arguments = "FOLDER",
       .description =
           "Writes the files in force into an empty folder, or brings a folder "
           "that was\nfetched before up to date and keeps the edits made in "
           "it. A file that changed\non both sides is a conflict, and nothing "
           "is written.\n",
       .example = "  $ hawthornhollow fetch config/ --log 127.0.0.1:7001\n"
                  "  fetched version=12 files=9\n",
       .min_positionals = 1,
       .max_positionals = 1});
  options.AddFlag("discard", "replace edits made in the folder",
                  &fetch.discard);
  options.AddFlag("json", "print JSON", &fetch.json);
  AddLogOptions(options, &fetch.log);
  if (std::optional<int> exit = options.Parse(arguments))
    return *exit;
  return WithLog(kName, fetch.log, [&](LogSession& session) {
    return Fetch(session, options.positionals()[0], fetch);
  });
}

}  // namespace hawthornhollow
