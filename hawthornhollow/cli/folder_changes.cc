#include "hawthornhollow/cli/folder_changes.h"

#include "absl/strings/str_cat.h"

namespace hawthornhollow {

absl::StatusOr<ConfigFiles> FilesOfBase(const ConfigFold& fold,
                                        int64_t base_version) {
  if (base_version == 0)
    return ConfigFiles();
  auto files = fold.FilesAt(base_version);
  if (files.ok())
    return files;
  return absl::FailedPreconditionError(
      absl::StrCat("the folder was taken from version ", base_version,
                   ", which is not kept (now: ", fold.version(),
                   "); fetch into a new folder and edit there"));
}

ConfigFiles FilesInForce(const ConfigFold& fold) {
  if (fold.configuration() == nullptr)
    return {};
  return fold.configuration()->files();
}

bool IsInForce(const ConfigFold& fold, const FileChange& change) {
  if (fold.configuration() == nullptr)
    return !change.text.has_value();
  const ConfigFiles& files = fold.configuration()->files();
  auto found = files.find(change.file);
  if (found == files.end())
    return !change.text.has_value();
  return change.text == found->second;
}

}  // namespace hawthornhollow
