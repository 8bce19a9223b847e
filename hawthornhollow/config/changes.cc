#include "hawthornhollow/config/config.h"

namespace hawthornhollow {

std::vector<FileChange> DiffFiles(const ConfigFiles& base,
                                  const ConfigFiles& folder) {
  std::map<std::string, FileChange> changes;
  for (const auto& [file, text] : base) {
    if (!folder.contains(file))
      changes[file] = {file, std::nullopt};
  }
  for (const auto& [file, text] : folder) {
    auto before = base.find(file);
    if (before == base.end() || before->second != text)
      changes[file] = {file, text};
  }
  std::vector<FileChange> sorted;
  for (auto& [file, change] : changes)
    sorted.push_back(std::move(change));
  return sorted;
}

ConfigFiles ApplyChanges(const ConfigFiles& files,
                         const std::vector<FileChange>& changes) {
  ConfigFiles result = files;
  for (const FileChange& change : changes) {
    if (change.text.has_value())
      result[change.file] = *change.text;
    else
      result.erase(change.file);
  }
  return result;
}

}  // namespace hawthornhollow
