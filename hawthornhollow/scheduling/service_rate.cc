#include "hawthornhollow/scheduling/service_rate.h"

// While requests are waiting, a free slot is filled at once, so that requests
// finish at the full rate of the servers. The tokens finished during the time
// with backlog, divided by that time, are therefore an unbiased estimate of the
// rate, even if the backlog consists of many short periods that each end with a
// finished request. Both sums decay with the time with backlog rather than with
// wall time, so that samples survive idle periods of up to kMaxSampleAge.

#include <algorithm>
#include <cmath>

#include "hawthornhollow/base/base.h"

namespace hawthornhollow {
namespace {

constexpr absl::Duration kRateWindow = absl::Seconds(5);
constexpr absl::Duration kMaxSampleAge = absl::Seconds(60);
// The rate is unknown before this many requests and this much time with backlog
// have been counted, both decayed.
constexpr double kMinRequests = 3;
constexpr double kMinBackloggedSeconds = 0.05;

}  // namespace

void ServiceRate::SetBacklogged(bool backlogged, absl::Time now) {
  Advance(now);
  backlogged_ = backlogged;
}

void ServiceRate::OnRequestFinished(int64_t tokens, absl::Time now) {
  Advance(now);
  if (!backlogged_) {
    return;
  }
  tokens_ += static_cast<double>(tokens);
  requests_ += 1;
  last_served_at_ = now;
}

bool ServiceRate::IsKnown(absl::Time now) const {
  const bool recent = backlogged_ || now - last_served_at_ < kMaxSampleAge;
  return recent && requests_ >= kMinRequests &&
         backlogged_seconds_ >= kMinBackloggedSeconds;
}

double ServiceRate::Estimate() const {
  return tokens_ / std::max(backlogged_seconds_, kMinBackloggedSeconds);
}

double ServiceRate::UpperEstimate() const {
  return Estimate() * (1 + 1 / std::sqrt(std::max(requests_, 1.0)));
}

void ServiceRate::Advance(absl::Time now) {
  const absl::Time previous = advanced_at_;
  advanced_at_ = std::max(advanced_at_, now);
  if (!backlogged_ || now <= previous) {
    return;
  }
  const double decay = DecayFactor(now - previous, kRateWindow);
  const double window_seconds = absl::ToDoubleSeconds(kRateWindow);
  backlogged_seconds_ =
      backlogged_seconds_ * decay + window_seconds * (1 - decay);
  tokens_ *= decay;
  requests_ *= decay;
}

}  // namespace hawthornhollow
