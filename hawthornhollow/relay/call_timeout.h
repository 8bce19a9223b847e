#ifndef HAWTHORNHOLLOW_RELAY_CALL_TIMEOUT_H_
#define HAWTHORNHOLLOW_RELAY_CALL_TIMEOUT_H_

// How long to wait for the next answer of a dependency. The load pattern that
// this answers: a connection that has gone silent is best given up soon, but an
// answer that is slow to come, over a narrow or lossy link, never comes if each
// try is given up as soon. So each failure doubles the wait, up to a bound.

#include <algorithm>

#include "absl/time/time.h"

namespace hawthornhollow {

class CallTimeout {
 public:
  CallTimeout(absl::Duration first, absl::Duration most)
      : first_(first), most_(most), next_(first) {}

  absl::Duration next() const { return next_; }
  void OnSuccess() { next_ = first_; }
  void OnFailure() { next_ = std::min(most_, next_ * 2); }

 private:
  absl::Duration first_;
  absl::Duration most_;
  absl::Duration next_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_CALL_TIMEOUT_H_
