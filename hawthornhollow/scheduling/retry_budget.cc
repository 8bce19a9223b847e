// A token bucket to which every first attempt adds `ratio` and from which every
// retry takes 1. In any interval with A first attempts there are at most
// burst + ratio * A retries. The load of a failing server therefore grows by
// about `ratio` rather than by the number of retries allowed per request.

#include <algorithm>

#include "hawthornhollow/scheduling/scheduling.h"

namespace hawthornhollow {

RetryBudget::RetryBudget(double ratio, double burst)
    : ratio_(ratio), burst_(burst), available_retries_(burst) {}

void RetryBudget::SetBurst(double burst) {
  burst_ = burst;
  available_retries_ = std::min(available_retries_, burst);
}

void RetryBudget::OnAttempt() {
  available_retries_ = std::min(burst_, available_retries_ + ratio_);
}

bool RetryBudget::TryRetry() {
  if (available_retries_ < 1) {
    return false;
  }
  available_retries_ -= 1;
  return true;
}

}  // namespace hawthornhollow
