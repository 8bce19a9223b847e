#include <algorithm>
#include <cmath>

#include "hawthornhollow/base/base.h"

namespace hawthornhollow {

double DecayFactor(absl::Duration elapsed, absl::Duration window) {
  return std::exp(-absl::FDivDuration(elapsed, window));
}

void DecayedSum::Add(double amount, absl::Time now) {
  value_ = Value(now) + amount;
  at_ = std::max(at_, now);
}

void DecayedSum::Subtract(double amount) {
  value_ = std::max(0.0, value_ - amount);
}

double DecayedSum::Value(absl::Time now) const {
  if (value_ == 0 || now <= at_) {
    return value_;
  }
  return value_ * DecayFactor(now - at_, window_);
}

double DecayedSum::PerSecond(absl::Time now) const {
  return Value(now) / absl::ToDoubleSeconds(window_);
}

}  // namespace hawthornhollow
