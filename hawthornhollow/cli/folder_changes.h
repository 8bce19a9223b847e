#ifndef HAWTHORNHOLLOW_CLI_FOLDER_CHANGES_H_
#define HAWTHORNHOLLOW_CLI_FOLDER_CHANGES_H_

// What a folder changes against its base and against what is in force. Internal
// to the cli library.

#include <cstdint>

#include "absl/status/statusor.h"
#include "hawthornhollow/ledger/ledger.h"

namespace hawthornhollow {

// The files of a folder's base; none for base 0. FAILED_PRECONDITION, saying
// what to do, if the version is not kept or never was.
absl::StatusOr<ConfigFiles> FilesOfBase(const ConfigFold& fold,
                                        int64_t base_version);

// The files in force; none before the first publish.
ConfigFiles FilesInForce(const ConfigFold& fold);

// Whether the change makes no difference to what is in force.
bool IsInForce(const ConfigFold& fold, const FileChange& change);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_CLI_FOLDER_CHANGES_H_
