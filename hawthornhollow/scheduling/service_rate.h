#ifndef HAWTHORNHOLLOW_SCHEDULING_SERVICE_RATE_H_
#define HAWTHORNHOLLOW_SCHEDULING_SERVICE_RATE_H_

// Internal to the scheduling library.

#include <cstdint>

#include "absl/time/time.h"

namespace hawthornhollow {

// Measures the service rate: the tokens per second that the servers finish
// while requests are waiting for them. Time without waiting requests is left
// out, so that idle servers do not appear to be slow.
class ServiceRate {
 public:
  // Sets whether requests are waiting from `now` on.
  void SetBacklogged(bool backlogged, absl::Time now);
  // Reports a finished request that cost `tokens`.
  void OnRequestFinished(int64_t tokens, absl::Time now);
  // False before enough requests have finished, and when the last one that
  // counted is too old.
  bool IsKnown(absl::Time now) const;
  // The estimated rate in tokens per second. Meaningful only if IsKnown().
  double Estimate() const;
  // The estimated rate plus its standard error. Used for admission, so that
  // requests are not refused because of an estimate from few samples.
  double UpperEstimate() const;

 private:
  void Advance(absl::Time now);

  bool backlogged_ = false;
  absl::Time advanced_at_ = absl::InfinitePast();
  absl::Time last_served_at_ = absl::InfinitePast();
  // Exponentially decayed sums over the time with waiting requests.
  double backlogged_seconds_ = 0;
  double tokens_ = 0;
  double requests_ = 0;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_SCHEDULING_SERVICE_RATE_H_
