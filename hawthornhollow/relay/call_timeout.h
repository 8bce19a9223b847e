#ifndef HAWTHORNHOLLOW_RELAY_CALL_TIMEOUT_H_
#define HAWTHORNHOLLOW_RELAY_CALL_TIMEOUT_H_

// The timeout of the next call to a dependency. A connection that has gone
// silent should be abandoned soon, but an answer that arrives slowly over a
// narrow or lossy link would never arrive if every attempt were abandoned that
// soon. So each failure doubles the timeout, up to a bound, and a success
// resets it.

#include <algorithm>

#include "absl/time/time.h"

namespace hawthornhollow {

class CallTimeout {
 public:
  CallTimeout(absl::Duration initial, absl::Duration max)
      : initial_(initial), max_(max), next_(initial) {}

  absl::Duration next() const { return next_; }
  void OnSuccess() { next_ = initial_; }
  void OnFailure() { next_ = std::min(max_, next_ * 2); }

 private:
  absl::Duration initial_;
  absl::Duration max_;
  absl::Duration next_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_CALL_TIMEOUT_H_
