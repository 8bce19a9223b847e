// Reservations of one router incarnation against the grants that it holds of
// one budget, and the policy for requesting and returning grants.
//
// Safety
//   The available tokens are those held according to the fold, minus those
//   reserved, those used but not yet billed, and those in a return that was not
//   yet applied. Reserve accepts a request only if the most tokens that it can
//   use are available. So the requests sent never use more than the fold has
//   granted, however far behind the log is read. Returned tokens are subtracted
//   from the available ones before the return is appended.
//
// When to request a grant
//   The policy compares how long the available tokens will last with the time
//   that it takes to obtain a grant. A grant request is due when the available
//   tokens, less one more request of the recent size, last less than
//   `lead_factor` times the grant time. The spend rate used is the higher of
//   two averages. The long-term average counts reservations when they are made
//   and takes back the unused tokens when they settle, so that it equals the
//   spend rate in the long run. The burst average counts reservations only, and
//   rises soon when a burst of requests arrives.
//
// How many tokens to request
//   Enough for the spend rate over grant_cover_time, but at most max_free_share
//   of the free tokens, so that one router can't hold the last part of a
//   budget. While few tokens are free (IsFreeLow), no grant is requested in
//   advance. A waiting request then asks for exactly the tokens that waiting
//   requests need, with the need of the smallest one as the minimum.
//
// When to return tokens
// - After a vote that lowered the budget's total: all available tokens, up to
//   the amount by which the budget is overdrawn.
// - After a rise of the shortage count (the grant request of some router,
//   usually another one, was rejected): all tokens that the spend rate does not
//   need within one grant time. Near the end of the budget: all tokens that are
//   not reserved and, for the refusal delay, also those that become available
//   later. A router with waiting requests returns all its tokens if they are
//   too few for them. Otherwise two routers that each hold half of what a
//   request needs would block each other; now both ask for the whole amount,
//   and the order of the log decides which of them gets it. A router that has
//   responded to a shortage does not request grants in advance for a few grant
//   times, because it would otherwise take the same tokens straight back.
// - Tokens that were not needed at any time during idle_return_time, except for
//   an amount that the next requests can start from.
//
// When to refuse a request
//   Immediately, if the budget could not cover it even if every reservation of
//   every router came back unused. Otherwise only if grant requests were
//   rejected, this router's own reservations can't free enough tokens, and the
//   budget's state has not changed for the refusal delay. If the state keeps
//   changing, the request waits for kMaxRefusalDelays refusal delays at most.

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <numbers>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "hawthornhollow/ledger/ledger.h"

namespace hawthornhollow {
namespace {

// The minimum grant of a small budget is its voted total divided by this.
constexpr int64_t kMinGrantDivisor = 64;
// Weight of the earlier grant time when the latest grant was obtained faster.
constexpr double kOldGrantTimeWeight = 0.8;
// With each reservation, the recorded largest size decays by the fraction 1 /
// kLargestRequestDecay.
constexpr int64_t kLargestRequestDecay = 16;
// For this many grant times after a shortage, no grant is requested in advance.
constexpr double kNoAdvanceGrantTimes = 4;
// The refusal delay is at least this many grant times.
constexpr double kRefusalDelayGrantTimes = 8;
// Maximum time that a request waits while the budget's state keeps changing, in
// refusal delays.
constexpr double kMaxRefusalDelays = 4;
// Consecutive rejected grant requests before a waiting request may be refused.
constexpr int kRejectionsBeforeRefusal = 2;
// After n consecutive rejections, a grant request is retried after 2^n grant
// times, where n is limited to this.
constexpr int kMaxBackoffExponent = 3;

}  // namespace

GrantHolder::GrantHolder(std::string budget, const GrantPolicyOptions& options)
    : budget_(std::move(budget)), options_(options) {}

int64_t GrantHolder::available() const {
  return held_ - reserved_ - unbilled_ - returning_;
}

// Reservations

bool GrantHolder::Reserve(std::string_view request,
                          int64_t tokens,
                          absl::Time now) {
  const auto existing = reservations_.find(request);
  if (existing != reservations_.end())
    return existing->second >= tokens;
  if (tokens < 0 || tokens > available())
    return false;
  reservations_.emplace(request, tokens);
  reserved_ += tokens;
  recent_largest_ = std::max(
      tokens, recent_largest_ - recent_largest_ / kLargestRequestDecay);
  last_use_ = now;
  window_min_available_ = std::min(window_min_available_, available());
  CountTokens(tokens, now);
  return true;
}

void GrantHolder::Settle(std::string_view request,
                         int64_t used_tokens,
                         absl::Time now) {
  const auto billed = billed_early_.find(request);
  if (billed != billed_early_.end()) {
    CountTokens(used_tokens - billed->second, now);
    billed_early_.erase(billed);
    return;
  }
  const auto it = reservations_.find(request);
  if (it == reservations_.end())
    return;
  const int64_t used = std::max<int64_t>(used_tokens, 0);
  CountTokens(used - it->second, now);
  reserved_ -= it->second;
  reservations_.erase(it);
  if (used == 0)
    return;
  unbilled_ += used;
  unbilled_requests_.emplace(request, used);
}

void GrantHolder::OnBillApplied(std::string_view request) {
  const auto reserved = reservations_.find(request);
  if (reserved != reservations_.end()) {
    reserved_ -= reserved->second;
    billed_early_.insert(reservations_.extract(reserved));
    return;
  }
  const auto it = unbilled_requests_.find(request);
  if (it == unbilled_requests_.end())
    return;
  unbilled_ -= it->second;
  unbilled_requests_.erase(it);
}

double GrantHolder::TokenRate::At(absl::Time now,
                                  absl::Duration half_life) const {
  if (at == absl::InfinitePast())
    return 0;
  const absl::Duration age = std::max(now - at, absl::ZeroDuration());
  return tokens_per_second * std::exp2(-absl::FDivDuration(age, half_life));
}

void GrantHolder::TokenRate::Add(int64_t tokens,
                                 absl::Time now,
                                 absl::Duration half_life) {
  const double weight = std::numbers::ln2 / absl::ToDoubleSeconds(half_life);
  tokens_per_second = At(now, half_life) + static_cast<double>(tokens) * weight;
  at = now;
}

void GrantHolder::CountTokens(int64_t tokens, absl::Time now) {
  rate_.Add(tokens, now, options_.rate_half_life);
  if (tokens > 0)
    burst_rate_.Add(tokens, now, options_.burst_half_life);
}

int64_t GrantHolder::TokensFor(absl::Duration time, absl::Time now) const {
  const double rate = std::max(rate_.At(now, options_.rate_half_life), 0.0);
  return static_cast<int64_t>(std::ceil(rate * absl::ToDoubleSeconds(time)));
}

int64_t GrantHolder::BurstTokensFor(absl::Duration time, absl::Time now) const {
  const double burst_rate = burst_rate_.At(now, options_.burst_half_life);
  const auto tokens =
      static_cast<int64_t>(std::ceil(burst_rate * absl::ToDoubleSeconds(time)));
  return std::max(tokens, TokensFor(time, now));
}

// Updates from the fold

void GrantHolder::OnBudgetState(const BudgetFold::BudgetState& state,
                                std::string_view incarnation,
                                absl::Time now) {
  const auto it = state.accounts.find(std::string(incarnation));
  const bool has_account = it != state.accounts.end();
  const BudgetFold::Account account =
      has_account ? it->second : BudgetFold::Account{};
  const int64_t others_held = state.held() - account.held();
  if (!has_state_) {
    has_state_ = true;
    returned_seen_ = account.returned;
    shortage_seen_ = state.shortage_count;
    window_start_ = now;
    window_min_available_ = account.held();
  }
  if (others_held != others_held_ || state.free() != free_)
    last_change_at_ = now;
  if (state.shortage_count > shortage_seen_) {
    shortage_pending_ = true;
    shortage_at_ = now;
    no_advance_until_ = now + kNoAdvanceGrantTimes * grant_time_;
  }
  shortage_seen_ = state.shortage_count;
  returning_ -= std::min(returning_, account.returned - returned_seen_);
  returned_seen_ = account.returned;
  if (!has_account)
    returning_ = 0;
  held_ = account.held();
  others_held_ = others_held;
  free_ = state.free();
  voted_ = state.voted;
  window_min_available_ = std::min(window_min_available_, available());
}

void GrantHolder::SetWaitingTokens(int64_t tokens, int64_t smallest_waiting) {
  waiting_ = tokens;
  smallest_waiting_ = smallest_waiting;
}

void GrantHolder::OnGrantVerdict(bool accepted,
                                 absl::Duration took,
                                 absl::Time now) {
  request_in_flight_ = false;
  grant_time_ = std::max(took, kOldGrantTimeWeight * grant_time_ +
                                   (1 - kOldGrantTimeWeight) * took);
  if (accepted) {
    consecutive_rejections_ = 0;
    return;
  }
  if (consecutive_rejections_ == 0)
    first_rejection_at_ = now;
  ++consecutive_rejections_;
  last_rejection_at_ = now;
}

int64_t GrantHolder::MinGrant() const {
  const int64_t share = std::max<int64_t>(voted_ / kMinGrantDivisor, 1);
  return std::min(options_.min_grant_tokens, share);
}

int64_t GrantHolder::FreeShare() const {
  const double share = options_.max_free_share * static_cast<double>(free_);
  return static_cast<int64_t>(std::max(share, 0.0));
}

bool GrantHolder::IsFreeLow() const {
  return FreeShare() < MinGrant();
}

// Returns how many tokens of the budget could still be spent if every
// reservation of every router came back unused.
int64_t GrantHolder::MaxSpendable() const {
  return free_ + held_ + others_held_ - unbilled_;
}

// Grant requests

int64_t GrantHolder::Watermark(absl::Time now) const {
  if (options_.fixed_watermark_tokens > 0)
    return options_.fixed_watermark_tokens;
  return recent_largest_ +
         BurstTokensFor(options_.lead_factor * grant_time_, now);
}

int64_t GrantHolder::GrantTarget(absl::Time now) const {
  return std::max(MinGrant(), TokensFor(options_.grant_cover_time, now));
}

bool GrantHolder::MayRetryRequest(int64_t need, absl::Time now) const {
  if (MaxSpendable() < smallest_waiting_)
    return false;
  if (consecutive_rejections_ == 0 || free_ >= need)
    return true;
  const int exponent = std::min(consecutive_rejections_, kMaxBackoffExponent);
  return now >= last_rejection_at_ + std::exp2(exponent) * grant_time_;
}

// Returns how many tokens to request when the smallest waiting request lacks
// `need` tokens.
int64_t GrantHolder::TokensForWaiting(int64_t need, absl::Time now) const {
  int64_t want = waiting_ - available();
  if (!IsFreeLow())
    want = std::max(want, GrantTarget(now));
  return std::max(std::min(want, FreeShare()), need);
}

// Returns how many tokens to request in advance, while the available tokens
// cover the smallest waiting request or none waits; 0 for no request.
int64_t GrantHolder::TokensInAdvance(absl::Time now) const {
  if (IsFreeLow() || now < no_advance_until_)
    return 0;
  const bool is_idle = now - last_use_ > options_.idle_return_time;
  const int64_t lacking = waiting_ - available();
  const int64_t below = Watermark(now) - available();
  if (lacking <= 0 && (is_idle || below <= 0))
    return 0;
  return std::min(std::max({lacking, below, GrantTarget(now)}), FreeShare());
}

std::optional<GrantRequestRecord> GrantHolder::NextGrantRequest(
    std::string_view incarnation,
    absl::Time now) {
  if (!has_state_ || request_in_flight_)
    return std::nullopt;
  const int64_t need = waiting_ > 0 ? smallest_waiting_ - available() : 0;
  int64_t tokens = 0;
  if (need <= 0)
    tokens = TokensInAdvance(now);
  else if (MayRetryRequest(need, now))
    tokens = TokensForWaiting(need, now);
  if (tokens <= 0)
    return std::nullopt;
  request_in_flight_ = true;
  return GrantRequestRecord{budget_, std::string(incarnation), tokens,
                            std::max<int64_t>(need, 1)};
}

// Returns

int64_t GrantHolder::TokensNeededInShortage(absl::Time now) const {
  if (waiting_ == 0)
    return IsFreeLow() ? 0 : TokensFor(grant_time_, now);
  return available() >= smallest_waiting_ ? waiting_ : 0;
}

// Returns how many tokens, beyond those expected to be needed, were available
// during the whole window that has just ended, and starts a new window. Returns
// 0 while the window lasts.
int64_t GrantHolder::TakeUnusedTokens(absl::Time now) {
  if (now - window_start_ < options_.idle_return_time)
    return 0;
  const int64_t expected_need = std::max(GrantTarget(now), Watermark(now));
  const int64_t unused = window_min_available_ - expected_need;
  window_start_ = now;
  window_min_available_ = available();
  return unused >= MinGrant() ? unused : 0;
}

int64_t GrantHolder::ReturnAmount(absl::Time now) {
  if (free_ < 0)
    return std::min(available(), -free_);
  const bool is_near_end = IsFreeLow() && now - shortage_at_ < RefusalDelay();
  if (shortage_pending_ || is_near_end) {
    shortage_pending_ = false;
    return available() - TokensNeededInShortage(now);
  }
  return std::min(TakeUnusedTokens(now), available());
}

std::optional<GrantReturnRecord> GrantHolder::NextGrantReturn(
    std::string_view incarnation,
    absl::Time now) {
  if (!has_state_ || returning_ > 0)
    return std::nullopt;
  const int64_t tokens = ReturnAmount(now);
  if (tokens <= 0)
    return std::nullopt;
  returning_ += tokens;
  window_min_available_ = std::min(window_min_available_, available());
  return GrantReturnRecord{budget_, std::string(incarnation), tokens};
}

// Refusal of requests

absl::Duration GrantHolder::RefusalDelay() const {
  return std::max(options_.refusal_delay,
                  kRefusalDelayGrantTimes * grant_time_);
}

bool GrantHolder::ShouldRefuse(int64_t tokens, absl::Time now) const {
  if (!has_state_)
    return false;
  if (MaxSpendable() < tokens)
    return true;
  if (consecutive_rejections_ < kRejectionsBeforeRefusal)
    return false;
  if (free_ + available() >= tokens)
    return false;
  if (now - first_rejection_at_ >= kMaxRefusalDelays * RefusalDelay())
    return true;
  const int64_t own_spendable = free_ + held_ - unbilled_;
  if (own_spendable >= tokens)
    return false;
  return now - std::max(first_rejection_at_, last_change_at_) >= RefusalDelay();
}

}  // namespace hawthornhollow
