#include <cstdio>

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

constexpr char kName[] = "diff";

struct DiffLine {
  std::string change;  // "added", "edited" or "removed"
  std::string file;
  std::string conflict;  // empty if none
};

std::string ChangeName(const FileChange& change, const ConfigFiles& base) {
  if (!change.text.has_value())
    return "removed";
  return base.contains(change.file) ? "edited" : "added";
}

// Who changed `file` after `base_version`, if that clashes with `change`.
std::string ConflictOf(const ConfigFold& fold,
                       int64_t base_version,
                       const FileChange& change) {
  if (IsInForce(fold, change))
    return "";
  std::string conflict;
  for (const ConfigFold::VersionInfo& info : fold.history()) {
    bool touches = std::find(info.files.begin(), info.files.end(),
                             change.file) != info.files.end();
    if (info.version > base_version && touches) {
      conflict = "conflict: changed by " + info.operator_name + " in version " +
                 std::to_string(info.version);
    }
  }
  return conflict;
}

void PrintLines(const std::vector<DiffLine>& lines, const WorkFolder& folder) {
  if (lines.empty()) {
    std::printf("no change against version %lld\n",
                static_cast<long long>(folder.base_version));
    return;
  }
  Table table({"CHANGE", "FILE", "NOTE"});
  for (const DiffLine& line : lines)
    table.AddRow({line.change, line.file, line.conflict});
  table.Print();
}

void PrintLinesJson(const std::vector<DiffLine>& lines,
                    const WorkFolder& folder,
                    const ConfigFold& fold) {
  boost::json::array list;
  for (const DiffLine& line : lines) {
    list.push_back(boost::json::object{{"change", line.change},
                                       {"file", line.file},
                                       {"conflict", line.conflict}});
  }
  PrintJson(boost::json::object{{"base", folder.base_version},
                                {"version", fold.version()},
                                {"changes", std::move(list)}});
}

int Diff(LogSession& session, const std::string& path, bool json) {
  auto folder = WorkFolder::Read(path);
  if (!folder.ok())
    return Fail(kName, folder.status());
  auto config = session.ReadConfig();
  if (!config.ok())
    return Fail(kName, config.status());
  auto base = FilesOfBase(config->fold, folder->base_version);
  if (!base.ok())
    return Fail(kName, base.status());
  std::vector<DiffLine> lines;
  for (const FileChange& change : DiffFiles(*base, folder->files)) {
    lines.push_back({ChangeName(change, *base), change.file,
                     ConflictOf(config->fold, folder->base_version, change)});
  }
  if (json)
    PrintLinesJson(lines, *folder, config->fold);
  else
    PrintLines(lines, *folder);
  return kExitOk;
}

}  // namespace

int RunDiffCommand(const Arguments& arguments) {
  LogOptions log;
  bool json = false;
  OptionParser options(
      {.name = kName,
       .arguments = "FOLDER",
       .description =
           "Shows what `publish` would change: the folder's files against the "
           "version\nfrom which the folder was taken. A file that a colleague "
           "changed since is\nmarked as a conflict.\n",
       .example = "  $ hawthornhollow diff config/ --log 127.0.0.1:7001\n"
                  "  CHANGE  FILE             NOTE\n"
                  "  edited  20-budgets.json\n"
                  "  added   70-server.json\n",
       .min_positionals = 1,
       .max_positionals = 1});
  options.AddFlag("json", "print JSON", &json);
  AddLogOptions(options, &log);
  if (std::optional<int> exit = options.Parse(arguments))
    return *exit;
  return WithLog(kName, log, [&](LogSession& session) {
    return Diff(session, options.positionals()[0], json);
  });
}

}  // namespace hawthornhollow
