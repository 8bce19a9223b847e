#include <algorithm>
#include <utility>

#include "hawthornhollow/base/event_rates_internal.h"

namespace hawthornhollow {

EventRates::Verdict EventRates::Allow(std::string_view event, absl::Time now) {
  const std::lock_guard lock(mutex_);
  auto found = buckets_.find(event);
  if (found == buckets_.end()) {
    found =
        buckets_.emplace(event, Bucket{.tokens = options_.burst, .filled = now})
            .first;
  }
  Bucket& bucket = found->second;
  const double gained =
      absl::ToDoubleSeconds(now - bucket.filled) * options_.lines_per_second;
  bucket.tokens =
      std::min(options_.burst, bucket.tokens + std::max(0.0, gained));
  bucket.filled = now;
  if (bucket.tokens < 1) {
    ++bucket.suppressed;
    return {};
  }
  bucket.tokens -= 1;
  return {.allowed = true, .suppressed = std::exchange(bucket.suppressed, 0)};
}

}  // namespace hawthornhollow
