// Two token buckets, of requests and of tokens, and a count of open requests.
//
// A bucket holds one second's worth, and at least one request, so that a slow
// limit still admits whole requests. A request that costs more tokens than the
// bucket holds is admitted from a full bucket and leaves it in debt: over any
// stretch of t seconds at most rate * t plus one bucket plus one request pass.

#include <algorithm>
#include <cmath>

#include "hawthornhollow/scheduling/scheduling.h"

namespace hawthornhollow {
namespace {

// The least part of a limit that a router keeps, so that a caller who turns to
// another router is not shut out until the routers have exchanged demands.
constexpr double kMinShare = 0.05;
constexpr double kSecondsPerMinute = 60;
constexpr absl::Duration kConcurrencyRetry = absl::Seconds(1);

// The time until a bucket at `level` reaches `wanted`.
absl::Duration TimeUntil(double wanted, double level, double rate) {
  if (level >= wanted) {
    return absl::ZeroDuration();
  }
  return absl::Seconds((wanted - level) / rate);
}

int64_t ConcurrencyOf(const CallerLimit& limit, double share) {
  const double part = static_cast<double>(limit.max_concurrent) * share;
  return std::max<int64_t>(1, std::llround(part));
}

double TokenRateOf(const CallerLimit& limit, double share) {
  return static_cast<double>(limit.tokens_per_minute) / kSecondsPerMinute *
         share;
}

}  // namespace

CallerLimiter::CallerLimiter(const CallerLimit& limit) : limit_(limit) {}

void CallerLimiter::SetLimit(const CallerLimit& limit, double share) {
  limit_ = limit;
  share_ = std::clamp(share, kMinShare, 1.0);
}

std::optional<absl::Duration> CallerLimiter::Admit(int64_t tokens,
                                                   absl::Time now) {
  Refill(now);
  if (limit_.max_concurrent > 0 &&
      concurrent_ >= ConcurrencyOf(limit_, share_)) {
    return kConcurrencyRetry;
  }
  const double request_rate = limit_.requests_per_second * share_;
  const double token_rate = TokenRateOf(limit_, share_);
  const double wanted_tokens =
      std::min(static_cast<double>(tokens), std::max(token_rate, 1.0));
  absl::Duration wait = absl::ZeroDuration();
  if (request_rate > 0) {
    wait = std::max(wait, TimeUntil(1, request_tokens_, request_rate));
  }
  if (token_rate > 0) {
    wait = std::max(wait, TimeUntil(wanted_tokens, token_tokens_, token_rate));
  }
  if (wait > absl::ZeroDuration()) {
    return wait;
  }
  if (request_rate > 0) {
    request_tokens_ -= 1;
  }
  if (token_rate > 0) {
    token_tokens_ -= static_cast<double>(tokens);
  }
  ++concurrent_;
  return std::nullopt;
}

void CallerLimiter::OnFinished() {
  concurrent_ = std::max<int64_t>(0, concurrent_ - 1);
}

void CallerLimiter::Refill(absl::Time now) {
  const double request_rate = limit_.requests_per_second * share_;
  const double token_rate = TokenRateOf(limit_, share_);
  const double request_burst = std::max(request_rate, 1.0);
  const double token_burst = std::max(token_rate, 1.0);
  if (refilled_at_ == absl::InfinitePast()) {
    request_tokens_ = request_burst;
    token_tokens_ = token_burst;
    refilled_at_ = now;
    return;
  }
  const double seconds =
      std::max(0.0, absl::ToDoubleSeconds(now - refilled_at_));
  refilled_at_ = std::max(refilled_at_, now);
  request_tokens_ =
      std::min(request_burst, request_tokens_ + request_rate * seconds);
  token_tokens_ = std::min(token_burst, token_tokens_ + token_rate * seconds);
}

}  // namespace hawthornhollow
