#ifndef HAWTHORNHOLLOW_CLI_FOLDER_CHECK_H_
#define HAWTHORNHOLLOW_CLI_FOLDER_CHECK_H_

// The check that `check` and `publish` share. Internal to the cli library.

#include <memory>
#include <string>

#include "hawthornhollow/config/config.h"

namespace hawthornhollow {

// Merges `files` and prints every error as the command's; null if there is one.
std::shared_ptr<const Configuration> CheckFiles(const std::string& command,
                                                const ConfigFiles& files);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_CLI_FOLDER_CHECK_H_
