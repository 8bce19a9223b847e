#ifndef HAWTHORNHOLLOW_CLI_WORK_FOLDER_H_
#define HAWTHORNHOLLOW_CLI_WORK_FOLDER_H_

// An operator's folder with the version from which it was taken (its base), so
// that a file missing from it is known to be removed or never seen. Internal to
// the cli library.
//
// The base is kept in the folder's file `.hawthornhollow-base` as
// {"version":N}. A folder without it has base 0: each of its files counts as
// added.

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "hawthornhollow/config/config.h"

namespace hawthornhollow {

struct WorkFolder {
  std::string path;
  int64_t base_version = 0;
  bool has_base = false;
  ConfigFiles files;

  // Reads the folder's files and its base.
  static absl::StatusOr<WorkFolder> Read(const std::string& path);
};

// A version's files.
struct VersionFiles {
  int64_t version = 0;
  ConfigFiles files;
};

enum class LocalEdits { kKeep, kDiscard };

// Brings a folder to `target`: takes over the files that changed between `base`
// and `target`, keeps those that the operator edited since `base`, and sets the
// folder's base. Returns the names of the files that it wrote or removed.
//
// A file that changed on both sides is ABORTED, and nothing is written, unless
// it is in `published` (the operator's own change is what is in force) or edits
// are discarded.
absl::StatusOr<std::vector<std::string>> SyncFolder(
    const WorkFolder& folder,
    const ConfigFiles& base,
    const VersionFiles& target,
    const std::set<std::string>& published,
    LocalEdits edits);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_CLI_WORK_FOLDER_H_
