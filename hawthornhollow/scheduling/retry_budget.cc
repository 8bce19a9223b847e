// A bucket that every first attempt fills by `ratio` and every retry empties by
// one. Over any stretch with A attempts there are at most burst + ratio * A
// retries, so that a failing server sees its load grow by `ratio`, not by the
// number of retries that each request is allowed.

#include <algorithm>

#include "hawthornhollow/scheduling/scheduling.h"

namespace hawthornhollow {

RetryBudget::RetryBudget(double ratio, double burst)
    : ratio_(ratio), burst_(burst), tokens_(burst) {}

void RetryBudget::SetBurst(double burst) {
  burst_ = burst;
  tokens_ = std::min(tokens_, burst);
}

void RetryBudget::OnAttempt() {
  tokens_ = std::min(burst_, tokens_ + ratio_);
}

bool RetryBudget::TryRetry() {
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace hawthornhollow
