#include "absl/random/uniform_real_distribution.h"
#include "hawthornhollow/scheduling/scheduling.h"

namespace hawthornhollow {

absl::Duration JitteredRetryAfter(absl::Duration base, absl::BitGenRef random) {
  absl::uniform_real_distribution<double> fraction(0.0, 1.0);
  return base + base * fraction(random);
}

}  // namespace hawthornhollow
