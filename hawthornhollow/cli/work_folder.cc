#include "hawthornhollow/cli/work_folder.h"

#include <filesystem>
#include <fstream>
#include <optional>
#include <system_error>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "boost/json/parse.hpp"
#include "boost/json/value.hpp"
#include "hawthornhollow/base/base.h"

namespace hawthornhollow {
namespace {

namespace fs = std::filesystem;

constexpr char kBaseFile[] = ".hawthornhollow-base";
constexpr char kTemporarySuffix[] = ".tmp";

std::string PathOf(const std::string& folder, const std::string& file) {
  return (fs::path(folder) / file).string();
}

// Replaces a file as a whole; an interrupted write leaves the old one.
absl::Status WriteFile(const std::string& folder,
                       const std::string& file,
                       const std::string& text) {
  std::string path = PathOf(folder, file);
  std::string temporary = PathOf(folder, "." + file + kTemporarySuffix);
  std::ofstream stream(temporary, std::ios::binary | std::ios::trunc);
  stream << text;
  stream.close();
  std::error_code error;
  if (stream)
    fs::rename(temporary, path, error);
  if (!stream || error)
    return ErrorAt(absl::StatusCode::kPermissionDenied, "file.write", path,
                   "cannot be written");
  return absl::OkStatus();
}

absl::Status RemoveFile(const std::string& folder, const std::string& file) {
  std::error_code error;
  fs::remove(PathOf(folder, file), error);
  if (!error)
    return absl::OkStatus();
  return ErrorAt(absl::StatusCode::kPermissionDenied, "file.remove",
                 PathOf(folder, file), error.message());
}

absl::Status WriteBase(const std::string& folder, int64_t version) {
  return WriteFile(folder, kBaseFile,
                   absl::StrCat("{\"version\":", version, "}\n"));
}

// The folder's base version; nullopt if it has none.
absl::StatusOr<std::optional<int64_t>> ReadBase(const std::string& folder) {
  std::string path = PathOf(folder, kBaseFile);
  auto text = ReadFile(path);
  if (absl::IsNotFound(text.status()))
    return std::optional<int64_t>();
  if (!text.ok())
    return text.status();
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(*text, error);
  const boost::json::object* object = value.if_object();
  const boost::json::value* version =
      error || object == nullptr ? nullptr : object->if_contains("version");
  bool valid =
      version != nullptr && version->is_int64() && version->get_int64() >= 0;
  if (valid)
    return std::optional<int64_t>(version->get_int64());
  return absl::InvalidArgumentError(
      absl::StrCat(path, ": version: must be {\"version\":N}"));
}

std::optional<std::string> TextOf(const ConfigFiles& files,
                                  const std::string& file) {
  auto found = files.find(file);
  if (found == files.end())
    return std::nullopt;
  return found->second;
}

absl::Status WriteChanges(const std::string& folder,
                          const std::vector<FileChange>& changes) {
  for (const FileChange& change : changes) {
    absl::Status status = change.text.has_value()
                              ? WriteFile(folder, change.file, *change.text)
                              : RemoveFile(folder, change.file);
    if (!status.ok())
      return status;
  }
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<WorkFolder> WorkFolder::Read(const std::string& path) {
  auto files = ReadFolder(path);
  if (!files.ok())
    return files.status();
  auto base = ReadBase(path);
  if (!base.ok())
    return base.status();
  return WorkFolder{path, base->value_or(0), base->has_value(),
                    *std::move(files)};
}

absl::StatusOr<std::vector<std::string>> SyncFolder(
    const WorkFolder& folder,
    const ConfigFiles& base,
    const VersionFiles& target,
    const std::set<std::string>& published,
    LocalEdits edits) {
  std::vector<FileChange> taken;
  std::vector<std::string> conflicts;
  for (const FileChange& change : DiffFiles(folder.files, target.files)) {
    const std::string& file = change.file;
    std::optional<std::string> before = TextOf(base, file);
    bool edited = TextOf(folder.files, file) != before;
    bool changed = change.text != before;
    if (edits == LocalEdits::kDiscard || !edited)
      taken.push_back(change);
    else if (changed && !published.contains(file))
      conflicts.push_back(file);
  }
  if (!conflicts.empty()) {
    return absl::AbortedError(absl::StrCat(
        "conflict: ", absl::StrJoin(conflicts, ", "), " changed both in ",
        folder.path, " and up to version ", target.version));
  }
  absl::Status status = WriteChanges(folder.path, taken);
  if (status.ok())
    status = WriteBase(folder.path, target.version);
  if (!status.ok())
    return status;
  std::vector<std::string> names;
  for (const FileChange& change : taken)
    names.push_back(change.file);
  return names;
}

}  // namespace hawthornhollow
