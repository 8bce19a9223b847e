// The escrow policy of one router incarnation for one budget.
//
// Safety
//   available = held by the fold - reserved - settled but not yet billed -
//   returns in flight. Reserve admits a request only if its worst case is
//   available, so that what was dispatched never exceeds what the fold granted,
//   however late the log is. A return leaves `available` before it is appended.
//
// When to ask
//   The time to exhaustion under the present rate is compared with the time
//   that a grant takes to obtain: a request is due when what is available,
//   less one more request of the recent size, lasts less than `foresight` times
//   the grant time. The rate is the higher of two averages: a long one that
//   counts reservations when they are made and gives back what was not used
//   when they settle, so that it equals the spend rate in the long run; and a
//   short one of reservations alone, which rises soon with a flood.
//
// How much
//   Enough for the rate over grant_cover, at most max_free_share of what is
//   free, so that the last part of a budget is not held by one router. While
//   little is free (IsShort) nothing is asked ahead; a waiting request asks for
//   exactly what waits, with the smallest waiting one as the minimum.
//
// What goes back
// - After a voted cut, whatever is available, up to what the budget is
//   overdrawn.
// - After a rise of the shortage count (a void request of any router, usually
//   another), all that the rate does not need within one grant time; near the
//   end of the budget, all that is not reserved, and for the patience also what
//   settles later. A router whose own requests
//   wait gives back all that is too little for them: two routers that each hold
//   half of what a request needs would otherwise block each other. Then both
//   ask for the whole, and the log decides who is first. Answering a shortage
//   holds off requests ahead of need for a few grant times; without that, the
//   tokens would come straight back.
// - Tokens that were not needed at any time during idle_return, above a floor
//   that the next request can start from.
//
// When to refuse
//   At once, if the budget would not have room even if every reservation of
//   every router came back unused. Otherwise only when requests for a grant
//   were void, own reservations cannot free enough, and the budget has not
//   moved for the patience. A budget that keeps moving is waited for no longer
//   than kMaxPatience times that.

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

// A small budget has smaller grants: this share of the voted tokens.
constexpr int64_t kVotedPerMinGrant = 64;
// Weight of the older measurements when a grant was faster than they are.
constexpr double kGrantTimeMemory = 0.8;
// A reservation's size is forgotten by this part with each later one.
constexpr int64_t kLargestDecay = 16;
// Requests ahead of need pause for this many grant times after a shortage.
constexpr double kHoldOffGrantTimes = 4;
// The patience is at least this many grant times.
constexpr double kPatienceGrantTimes = 8;
// The most that a moving budget is waited for, in patiences.
constexpr double kMaxPatience = 4;
// Void requests in a row before a refusal.
constexpr int kVoidsBeforeRefusal = 2;
// A void request is repeated after 2^n grant times, n at most this.
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
  largest_ = std::max(tokens, largest_ - largest_ / kLargestDecay);
  last_use_ = now;
  window_low_ = std::min(window_low_, available());
  CountDraw(tokens, now);
  return true;
}

void GrantHolder::Settle(std::string_view request,
                         int64_t used_tokens,
                         absl::Time now) {
  const auto billed = billed_early_.find(request);
  if (billed != billed_early_.end()) {
    CountDraw(used_tokens - billed->second, now);
    billed_early_.erase(billed);
    return;
  }
  const auto it = reservations_.find(request);
  if (it == reservations_.end())
    return;
  const int64_t used = std::max<int64_t>(used_tokens, 0);
  CountDraw(used - it->second, now);
  reserved_ -= it->second;
  reservations_.erase(it);
  if (used == 0)
    return;
  unbilled_ += used;
  unbilled_requests_.emplace(request, used);
}

void GrantHolder::OnBillFolded(std::string_view request) {
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

double GrantHolder::DrawRate::At(absl::Time now,
                                 absl::Duration half_life) const {
  if (at == absl::InfinitePast())
    return 0;
  const absl::Duration age = std::max(now - at, absl::ZeroDuration());
  return tokens_per_second * std::exp2(-absl::FDivDuration(age, half_life));
}

void GrantHolder::DrawRate::Add(int64_t tokens,
                                absl::Time now,
                                absl::Duration half_life) {
  const double weight = std::numbers::ln2 / absl::ToDoubleSeconds(half_life);
  tokens_per_second = At(now, half_life) + static_cast<double>(tokens) * weight;
  at = now;
}

void GrantHolder::CountDraw(int64_t tokens, absl::Time now) {
  rate_.Add(tokens, now, options_.rate_half_life);
  if (tokens > 0)
    flood_rate_.Add(tokens, now, options_.flood_half_life);
}

int64_t GrantHolder::TokensFor(absl::Duration time, absl::Time now) const {
  const double rate = std::max(rate_.At(now, options_.rate_half_life), 0.0);
  return static_cast<int64_t>(std::ceil(rate * absl::ToDoubleSeconds(time)));
}

int64_t GrantHolder::FloodTokensFor(absl::Duration time, absl::Time now) const {
  const double flood = flood_rate_.At(now, options_.flood_half_life);
  const auto tokens =
      static_cast<int64_t>(std::ceil(flood * absl::ToDoubleSeconds(time)));
  return std::max(tokens, TokensFor(time, now));
}

// What the fold shows

void GrantHolder::OnFold(const BudgetFold::BudgetState& state,
                         std::string_view incarnation,
                         absl::Time now) {
  const auto it = state.accounts.find(std::string(incarnation));
  const bool has_account = it != state.accounts.end();
  const BudgetFold::Account account =
      has_account ? it->second : BudgetFold::Account{};
  const int64_t others_held = state.held() - account.held();
  if (!known_) {
    known_ = true;
    returned_seen_ = account.returned;
    shortage_seen_ = state.shortage_count;
    window_start_ = now;
    window_low_ = account.held();
  }
  if (others_held != others_held_ || state.free() != free_)
    moved_at_ = now;
  if (state.shortage_count > shortage_seen_) {
    shortage_pending_ = true;
    shortage_at_ = now;
    hold_off_until_ = now + kHoldOffGrantTimes * grant_time_;
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
  window_low_ = std::min(window_low_, available());
}

void GrantHolder::SetWaiting(int64_t tokens, int64_t smallest_waiting) {
  waiting_ = tokens;
  smallest_waiting_ = smallest_waiting;
}

void GrantHolder::OnGrantVerdict(bool accepted,
                                 absl::Duration took,
                                 absl::Time now) {
  request_in_flight_ = false;
  grant_time_ = std::max(
      took, kGrantTimeMemory * grant_time_ + (1 - kGrantTimeMemory) * took);
  if (accepted) {
    void_in_a_row_ = 0;
    return;
  }
  if (void_in_a_row_ == 0)
    first_void_ = now;
  ++void_in_a_row_;
  last_void_ = now;
}

int64_t GrantHolder::MinGrant() const {
  const int64_t share = std::max<int64_t>(voted_ / kVotedPerMinGrant, 1);
  return std::min(options_.min_grant_tokens, share);
}

int64_t GrantHolder::FreeShare() const {
  const double share = options_.max_free_share * static_cast<double>(free_);
  return static_cast<int64_t>(std::max(share, 0.0));
}

bool GrantHolder::IsShort() const {
  return FreeShare() < MinGrant();
}

// What could be spent yet if nothing reserved anywhere were used.
int64_t GrantHolder::RoomAtMost() const {
  return free_ + held_ + others_held_ - unbilled_;
}

// Asking

int64_t GrantHolder::Watermark(absl::Time now) const {
  if (options_.fixed_watermark_tokens > 0)
    return options_.fixed_watermark_tokens;
  return largest_ + FloodTokensFor(options_.foresight * grant_time_, now);
}

int64_t GrantHolder::Cover(absl::Time now) const {
  return std::max(MinGrant(), TokensFor(options_.grant_cover, now));
}

bool GrantHolder::MayAskAgain(int64_t need, absl::Time now) const {
  if (RoomAtMost() < smallest_waiting_)
    return false;
  if (void_in_a_row_ == 0 || free_ >= need)
    return true;
  const int exponent = std::min(void_in_a_row_, kMaxBackoffExponent);
  return now >= last_void_ + std::exp2(exponent) * grant_time_;
}

// What to ask for when `need` tokens lack for the smallest waiting request.
int64_t GrantHolder::WaitingRequest(int64_t need, absl::Time now) const {
  int64_t want = waiting_ - available();
  if (!IsShort())
    want = std::max(want, Cover(now));
  return std::max(std::min(want, FreeShare()), need);
}

// What to ask for before anything waits, or 0.
int64_t GrantHolder::AheadRequest(absl::Time now) const {
  if (IsShort() || now < hold_off_until_)
    return 0;
  const bool is_idle = now - last_use_ > options_.idle_return;
  const int64_t lacking = waiting_ - available();
  if (lacking <= 0 && (is_idle || available() >= Watermark(now)))
    return 0;
  return std::min(std::max(lacking, Cover(now)), FreeShare());
}

std::optional<GrantRequestRecord> GrantHolder::NextGrantRequest(
    std::string_view incarnation,
    absl::Time now) {
  if (!known_ || request_in_flight_)
    return std::nullopt;
  const int64_t need = waiting_ > 0 ? smallest_waiting_ - available() : 0;
  int64_t tokens = 0;
  if (need <= 0)
    tokens = AheadRequest(now);
  else if (MayAskAgain(need, now))
    tokens = WaitingRequest(need, now);
  if (tokens <= 0)
    return std::nullopt;
  request_in_flight_ = true;
  return GrantRequestRecord{budget_, std::string(incarnation), tokens,
                            std::max<int64_t>(need, 1)};
}

// Returning

int64_t GrantHolder::NeededInShortage(absl::Time now) const {
  if (waiting_ == 0)
    return IsShort() ? 0 : TokensFor(grant_time_, now);
  return available() >= smallest_waiting_ ? waiting_ : 0;
}

// Tokens above the floor that were available throughout the last window; 0
// while the window lasts.
int64_t GrantHolder::TakeUnused(absl::Time now) {
  if (now - window_start_ < options_.idle_return)
    return 0;
  const int64_t floor = std::max(Cover(now), Watermark(now));
  const int64_t unused = window_low_ - floor;
  window_start_ = now;
  window_low_ = available();
  return unused >= MinGrant() ? unused : 0;
}

int64_t GrantHolder::ReturnAmount(absl::Time now) {
  if (free_ < 0)
    return std::min(available(), -free_);
  const bool ends = IsShort() && now - shortage_at_ < Patience();
  if (shortage_pending_ || ends) {
    shortage_pending_ = false;
    return available() - NeededInShortage(now);
  }
  return std::min(TakeUnused(now), available());
}

std::optional<GrantReturnRecord> GrantHolder::NextReturn(
    std::string_view incarnation,
    absl::Time now) {
  if (!known_ || returning_ > 0)
    return std::nullopt;
  const int64_t tokens = ReturnAmount(now);
  if (tokens <= 0)
    return std::nullopt;
  returning_ += tokens;
  window_low_ = std::min(window_low_, available());
  return GrantReturnRecord{budget_, std::string(incarnation), tokens};
}

// Refusing

absl::Duration GrantHolder::Patience() const {
  return std::max(options_.settle_patience, kPatienceGrantTimes * grant_time_);
}

bool GrantHolder::Exhausted(int64_t tokens, absl::Time now) const {
  if (!known_)
    return false;
  if (RoomAtMost() < tokens)
    return true;
  if (void_in_a_row_ < kVoidsBeforeRefusal)
    return false;
  if (free_ + available() >= tokens)
    return false;
  if (now - first_void_ >= kMaxPatience * Patience())
    return true;
  const int64_t own_room = free_ + held_ - unbilled_;
  if (own_room >= tokens)
    return false;
  return now - std::max(first_void_, moved_at_) >= Patience();
}

}  // namespace hawthornhollow
