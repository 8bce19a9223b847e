// Two token buckets, one for requests and one for LLM tokens, and a count of
// concurrent requests. To avoid confusion, the content of a bucket is called
// its credit here.
//
// The capacity of a bucket is the credit of one second but at least 1, so that
// a limit below one request per second still admits requests. A request that
// costs more LLM tokens than the capacity is admitted when the bucket is full
// and leaves a negative credit. In any interval of t seconds the admitted cost
// is at most rate * t plus the capacity plus one request.

#include <algorithm>
#include <cmath>

#include "hawthornhollow/scheduling/scheduling.h"

namespace hawthornhollow {
namespace {

// Lower bound on this router's share of a limit, so that a caller that moves to
// this router is not refused until the routers have exchanged their demands.
constexpr double kMinShare = 0.05;
constexpr double kSecondsPerMinute = 60;
// Retry time for a caller with too many concurrent requests.
constexpr absl::Duration kConcurrencyRetry = absl::Seconds(1);

// The time until the credit of a bucket grows from `level` to `needed`.
absl::Duration TimeUntil(double needed, double level, double rate) {
  if (level >= needed) {
    return absl::ZeroDuration();
  }
  return absl::Seconds((needed - level) / rate);
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
  const double needed_credit =
      std::min(static_cast<double>(tokens), std::max(token_rate, 1.0));
  absl::Duration wait = absl::ZeroDuration();
  if (request_rate > 0) {
    wait = std::max(wait, TimeUntil(1, request_credit_, request_rate));
  }
  if (token_rate > 0) {
    wait = std::max(wait, TimeUntil(needed_credit, token_credit_, token_rate));
  }
  if (wait > absl::ZeroDuration()) {
    return wait;
  }
  if (request_rate > 0) {
    request_credit_ -= 1;
  }
  if (token_rate > 0) {
    token_credit_ -= static_cast<double>(tokens);
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
  const double request_capacity = std::max(request_rate, 1.0);
  const double token_capacity = std::max(token_rate, 1.0);
  if (refilled_at_ == absl::InfinitePast()) {
    request_credit_ = request_capacity;
    token_credit_ = token_capacity;
    refilled_at_ = now;
    return;
  }
  const double seconds =
      std::max(0.0, absl::ToDoubleSeconds(now - refilled_at_));
  refilled_at_ = std::max(refilled_at_, now);
  request_credit_ =
      std::min(request_capacity, request_credit_ + request_rate * seconds);
  token_credit_ =
      std::min(token_capacity, token_credit_ + token_rate * seconds);
}

}  // namespace hawthornhollow
