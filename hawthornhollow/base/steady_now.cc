#include <chrono>

#include "hawthornhollow/base/base.h"

namespace hawthornhollow {

absl::Time SteadyNow() {
  return absl::UnixEpoch() +
         absl::FromChrono(std::chrono::steady_clock::now().time_since_epoch());
}

}  // namespace hawthornhollow
