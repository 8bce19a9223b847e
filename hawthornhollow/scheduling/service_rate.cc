#include "hawthornhollow/scheduling/service_rate.h"

// Requests finish at the fleet's full rate exactly while others wait, because a
// free slot is filled at once. Over the time with backlog, finished tokens
// divided by that time is therefore an unbiased measurement, also when the
// backlog comes in many short stretches that each end with a finished request.
// Both sums decay by time with backlog, not by wall time, so that evidence
// outlives quiet stretches, up to kEvidenceLifetime.

#include <algorithm>
#include <cmath>

#include "hawthornhollow/base/base.h"

namespace hawthornhollow {
namespace {

constexpr absl::Duration kRateWindow = absl::Seconds(5);
constexpr absl::Duration kEvidenceLifetime = absl::Seconds(60);
constexpr double kMinRequests = 3;
constexpr double kMinBusySeconds = 0.05;

}  // namespace

void ServiceRate::SetBacklogged(bool backlogged, absl::Time now) {
  Advance(now);
  backlogged_ = backlogged;
}

void ServiceRate::OnServed(int64_t tokens, absl::Time now) {
  Advance(now);
  if (!backlogged_) {
    return;
  }
  tokens_ += static_cast<double>(tokens);
  requests_ += 1;
  last_served_at_ = now;
}

bool ServiceRate::Known(absl::Time now) const {
  const bool recent = backlogged_ || now - last_served_at_ < kEvidenceLifetime;
  return recent && requests_ >= kMinRequests &&
         busy_seconds_ >= kMinBusySeconds;
}

double ServiceRate::Measured() const {
  return tokens_ / std::max(busy_seconds_, kMinBusySeconds);
}

double ServiceRate::Optimistic() const {
  return Measured() * (1 + 1 / std::sqrt(std::max(requests_, 1.0)));
}

void ServiceRate::Advance(absl::Time now) {
  const absl::Time since = advanced_at_;
  advanced_at_ = std::max(advanced_at_, now);
  if (!backlogged_ || now <= since) {
    return;
  }
  const double remaining = DecayFactor(now - since, kRateWindow);
  const double window_seconds = absl::ToDoubleSeconds(kRateWindow);
  busy_seconds_ = busy_seconds_ * remaining + window_seconds * (1 - remaining);
  tokens_ *= remaining;
  requests_ *= remaining;
}

}  // namespace hawthornhollow
