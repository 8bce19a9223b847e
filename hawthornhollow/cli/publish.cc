#include <cstdio>
#include <set>
#include <utility>
#include <variant>

#include "boost/json/object.hpp"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/cli/cli.h"
#include "hawthornhollow/cli/commands.h"
#include "hawthornhollow/cli/folder_changes.h"
#include "hawthornhollow/cli/folder_check.h"
#include "hawthornhollow/cli/output.h"
#include "hawthornhollow/cli/publishing.h"
#include "hawthornhollow/cli/work_folder.h"

namespace hawthornhollow {
namespace {

constexpr char kName[] = "publish";

// Brings the folder to the version that its publish became, or that it equals.
// A failure leaves the old base, which is safe, and is only reported.
void UpdateFolder(const WorkFolder& folder,
                  const ConfigFold& fold,
                  int64_t version,
                  const std::set<std::string>& published) {
  auto base = FilesOfBase(fold, folder.base_version);
  auto files = fold.FilesAt(version);
  if (!base.ok() || !files.ok()) {
    PrintError(kName, "the folder's base was not updated; fetch again");
    return;
  }
  auto taken = SyncFolder(folder, *base, {version, *files}, published,
                          LocalEdits::kKeep);
  if (!taken.ok()) {
    PrintError(kName, "the folder's base was not updated: " +
                          std::string(taken.status().message()));
    return;
  }
  for (const std::string& file : *taken)
    std::fprintf(stderr, "updated from the log: %s\n", file.c_str());
}

void UpdateAfterAccept(LogSession& session,
                       const WorkFolder& folder,
                       int64_t version) {
  auto config = session.ReadConfig();
  if (!config.ok()) {
    PrintError(kName, "the folder's base was not updated: " +
                          std::string(config.status().message()));
    return;
  }
  std::set<std::string> published;
  for (const ConfigFold::VersionInfo& info : config->fold.history()) {
    if (info.version == version)
      published.insert(info.files.begin(), info.files.end());
  }
  UpdateFolder(folder, config->fold, version, published);
}

// Reports that the folder is already in force.
int ReportNoChange(const WorkFolder& folder,
                   const ConfigFold& fold,
                   const std::vector<FileChange>& changes,
                   bool json) {
  std::set<std::string> published;
  for (const FileChange& change : changes)
    published.insert(change.file);
  UpdateFolder(folder, fold, fold.version(), published);
  if (json) {
    PrintJson(boost::json::object{{"verdict", "unchanged"},
                                  {"version", fold.version()}});
  } else {
    std::printf("nothing to publish: version=%lld has it all\n",
                static_cast<long long>(fold.version()));
  }
  return kExitOk;
}

// The publish that turns the folder's base into the folder, without an id.
absl::StatusOr<PublishRecord> RecordOf(const WorkFolder& folder,
                                       const ConfigFold& fold) {
  auto base = FilesOfBase(fold, folder.base_version);
  if (!base.ok())
    return base.status();
  PublishRecord record;
  record.base_version = folder.base_version;
  record.changes = DiffFiles(*base, folder.files);
  return record;
}

int Publish(LogSession& session,
            const std::string& path,
            const PublishOptions& options) {
  auto folder = WorkFolder::Read(path);
  if (!folder.ok())
    return Fail(kName, folder.status());
  if (CheckFiles(kName, folder->files) == nullptr)
    return kExitRefused;
  auto config = session.ReadConfig();
  if (!config.ok())
    return Fail(kName, config.status());
  auto record = RecordOf(*folder, config->fold);
  if (!record.ok())
    return Fail(kName, record.status());
  bool changes_something = false;
  for (const FileChange& change : record->changes)
    changes_something |= !IsInForce(config->fold, change);
  if (!changes_something) {
    return ReportNoChange(*folder, config->fold, record->changes, options.json);
  }
  record->id = RandomId();
  record->operator_name = OperatorName(options);
  // Known to the operator even if the program is interrupted from here on.
  std::fprintf(stderr, "publishing id=%s\n", record->id.c_str());
  PublishReport report{kName, record->id, session.Publish(*record),
                       options.json, path};
  if (report.outcome.kind == PublishOutcome::Kind::kAccepted)
    UpdateAfterAccept(session, *folder, report.outcome.version);
  return ReportOutcome(report);
}

// What the stream tells of an earlier publish.
PublishOutcome FindOutcome(const StreamView<ConfigFold>& config,
                           const std::string& id) {
  PublishOutcome accepted = AcceptedInFold(config.fold, id);
  if (accepted.kind == PublishOutcome::Kind::kAccepted)
    return accepted;
  for (const Verdict& verdict : config.verdicts) {
    const auto* publish = std::get_if<PublishRecord>(&verdict.record.body);
    if (publish != nullptr && publish->id == id)
      return OutcomeOf(verdict);
  }
  return {};
}

int Resume(LogSession& session,
           const std::string& id,
           const std::string& path,
           const PublishOptions& options) {
  auto config = session.ReadConfig();
  if (!config.ok())
    return Fail(kName, config.status());
  PublishReport report{kName, id, FindOutcome(*config, id), options.json, path};
  bool update =
      report.outcome.kind == PublishOutcome::Kind::kAccepted && !path.empty();
  if (update) {
    auto folder = WorkFolder::Read(path);
    if (!folder.ok())
      return Fail(kName, folder.status());
    // A later base already contains the publish.
    if (folder->base_version < report.outcome.version)
      UpdateAfterAccept(session, *folder, report.outcome.version);
  }
  return ReportOutcome(report);
}

}  // namespace

int RunPublishCommand(const Arguments& arguments) {
  PublishOptions publish;
  std::string resume;
  OptionParser options(
      {.name = kName,
       .arguments = "FOLDER",
       .description =
           "Checks the folder, and publishes its changes against the version "
           "from which it\nwas taken. Ends with one of:\n"
           "  accepted version=N id=ID   exit 0; the folder is at version N\n"
           "  refused: REASON            exit 1; nothing has changed\n"
           "  unknown id=ID; ...         exit 3; ask again with --resume ID\n"
           "Colleagues' changes to other files are kept, and written into the "
           "folder.\n",
       .example =
           "  $ hawthornhollow publish config/ --log 127.0.0.1:7001\n"
           "  accepted version=13 id=5f0c2a9be81d7743\n"
           "  $ hawthornhollow publish --resume 5f0c2a9be81d7743 config/\n"
           "  accepted version=13 id=5f0c2a9be81d7743\n",
       .max_positionals = 1});
  options.AddText("resume", "ID", "tell the outcome of an earlier publish",
                  &resume);
  AddPublishOptions(options, &publish);
  if (std::optional<int> exit = options.Parse(arguments))
    return *exit;
  if (resume.empty() && options.positionals().empty())
    return options.UsageError("FOLDER is missing");
  std::string folder =
      options.positionals().empty() ? "" : options.positionals()[0];
  return WithLog(kName, publish.log, [&](LogSession& session) {
    return resume.empty() ? Publish(session, folder, publish)
                          : Resume(session, resume, folder, publish);
  });
}

}  // namespace hawthornhollow
