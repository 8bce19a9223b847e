#include "absl/strings/str_cat.h"
#include "hawthornhollow/base/base.h"

namespace hawthornhollow {

absl::Status ErrorAt(absl::StatusCode code,
                     std::string_view step,
                     std::string_view peer,
                     std::string_view detail) {
  std::string message = absl::StrCat("step=", std::string(step));
  if (!peer.empty())
    absl::StrAppend(&message, " peer=", std::string(peer));
  absl::StrAppend(&message, ": ", std::string(detail));
  return absl::Status(code, message);
}

absl::Status Annotate(const absl::Status& status,
                      std::string_view step,
                      std::string_view peer) {
  if (status.ok())
    return status;
  return ErrorAt(status.code(), step, peer, std::string(status.message()));
}

}  // namespace hawthornhollow
