#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/config/config.h"
#include "hawthornhollow/config/fields.h"

namespace hawthornhollow {
namespace {

namespace fs = std::filesystem;

absl::Status OpenError(const std::string& path, int error) {
  if (error == ENOENT || error == ENOTDIR)
    return ErrorAt(absl::StatusCode::kNotFound, "file.read", path,
                   "no such file");
  if (error == EACCES || error == EPERM)
    return ErrorAt(absl::StatusCode::kPermissionDenied, "file.read", path,
                   "not readable");
  return ErrorAt(absl::StatusCode::kUnknown, "file.read", path,
                 std::generic_category().message(error));
}

// Why an entry of a folder cannot be read as configuration; empty if it can.
std::string EntryFault(const fs::directory_entry& entry) {
  std::error_code error;
  if (entry.is_directory(error))
    return "sub-folders are not read; move its files up";
  if (!entry.is_regular_file(error))
    return "not a regular file";
  if (entry.path().extension() != ".json")
    return "only names ending in \".json\" are read";
  if (entry.file_size(error) > kMaxFileBytes)
    return absl::StrCat("larger than ", kMaxFileBytes, " bytes");
  return "";
}

absl::StatusOr<std::vector<fs::directory_entry>> ListFolder(
    const std::string& folder) {
  std::error_code error;
  fs::directory_iterator entry(folder, error);
  std::vector<fs::directory_entry> entries;
  while (!error && entry != fs::directory_iterator()) {
    entries.push_back(*entry);
    entry.increment(error);
  }
  if (error)
    return OpenError(folder, error.value());
  std::sort(entries.begin(), entries.end());
  return entries;
}

}  // namespace

absl::StatusOr<std::string> ReadFile(const std::string& path) {
  std::error_code error;
  if (fs::is_directory(path, error))
    return ErrorAt(absl::StatusCode::kInvalidArgument, "file.read", path,
                   "is a folder, not a file");
  errno = 0;
  std::ifstream stream(path, std::ios::binary);
  if (!stream)
    return OpenError(path, errno);
  std::ostringstream text;
  text << stream.rdbuf();
  if (stream.bad())
    return OpenError(path, EIO);
  return std::move(text).str();
}

absl::StatusOr<ConfigFiles> ReadFolder(const std::string& folder) {
  auto entries = ListFolder(folder);
  if (!entries.ok())
    return entries.status();
  ConfigFiles files;
  std::vector<std::string> faults;
  for (const fs::directory_entry& entry : *entries) {
    std::string name = entry.path().filename().string();
    if (name.starts_with("."))
      continue;
    std::string fault = EntryFault(entry);
    if (!fault.empty()) {
      faults.push_back(absl::StrCat(name, ": ", fault));
      continue;
    }
    auto text = ReadFile(entry.path().string());
    if (text.ok())
      files[name] = *std::move(text);
    else
      faults.push_back(absl::StrCat(name, ": ", text.status().message()));
  }
  if (faults.empty())
    return files;
  // Errors in the files that can be read are told at once, not after the next
  // try.
  std::vector<ConfigError> errors;
  Configuration::Merge(files, &errors);
  for (const ConfigError& error : errors)
    faults.push_back(error.ToString());
  return absl::InvalidArgumentError(absl::StrJoin(faults, "\n"));
}

}  // namespace hawthornhollow
