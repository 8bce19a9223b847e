#ifndef HAWTHORNHOLLOW_BASE_EVENT_RATES_INTERNAL_H_
#define HAWTHORNHOLLOW_BASE_EVENT_RATES_INTERNAL_H_

// Bounds how many lines of each event are logged, so that an overload does not
// spend the processor on telling of it. Private to base.

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "absl/time/time.h"

namespace hawthornhollow {

struct EventRateOptions {
  // Lines of one event. What a router of the largest planned deployment serves
  // is a tenth of it.
  double lines_per_second = 200;
  double burst = 400;
};

// A bucket of tokens for each event. Thread-safe.
class EventRates {
 public:
  explicit EventRates(const EventRateOptions& options) : options_(options) {}
  EventRates(const EventRates&) = delete;
  EventRates& operator=(const EventRates&) = delete;

  struct Verdict {
    bool allowed = false;
    // Lines of the event that were left out before an allowed one.
    int64_t suppressed = 0;
    friend auto operator<=>(const Verdict&, const Verdict&) = default;
  };
  Verdict Allow(std::string_view event, absl::Time now);

 private:
  struct Bucket {
    double tokens = 0;
    absl::Time filled;
    int64_t suppressed = 0;
  };

  const EventRateOptions options_;
  std::mutex mutex_;
  std::map<std::string, Bucket, std::less<>> buckets_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_BASE_EVENT_RATES_INTERNAL_H_
