#ifndef HAWTHORNHOLLOW_SCHEDULING_SERVICE_RATE_H_
#define HAWTHORNHOLLOW_SCHEDULING_SERVICE_RATE_H_

// Internal to the scheduling library.

#include <cstdint>

#include "absl/time/time.h"

namespace hawthornhollow {

// Tokens per second that the servers finish while work is waiting for them.
// Time without waiting work is left out, so that an idle fleet does not look
// slow.
class ServiceRate {
 public:
  // Says whether work waits from `now` on.
  void SetBacklogged(bool backlogged, absl::Time now);
  void OnServed(int64_t tokens, absl::Time now);
  // False until enough has been seen, and when it is too long ago.
  bool Known(absl::Time now) const;
  // Tokens per second. Meaningful only if Known.
  double Measured() const;
  // As above, taken high by the standard error of the measurement, so that
  // scarce evidence does not refuse.
  double Optimistic() const;

 private:
  void Advance(absl::Time now);

  bool backlogged_ = false;
  absl::Time advanced_at_ = absl::InfinitePast();
  absl::Time last_served_at_ = absl::InfinitePast();
  double busy_seconds_ = 0;  // decayed, as are the two below
  double tokens_ = 0;
  double requests_ = 0;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_SCHEDULING_SERVICE_RATE_H_
