// Order of service. Ranks are served strictly in order, with one exception: a
// rank with work waiting whose share of the recently dispatched tokens is below
// its floor goes first; among several the one furthest below. Within a rank,
// deficit round robin over members and, in each member, over callers; but a
// request that has waited beyond what admission allows goes first and leaves
// its flow in debt, so that flows which become active meanwhile cannot push it
// past its target.
//
// Admission. A request is refused at once when its predicted wait does not fit
// its target. The prediction counts
//   - the waiting tokens of the ranks above, at the full service rate;
//   - the tokens of its own rank that round robin serves before it, which for a
//     caller with little waiting is little, however much others have waiting;
//     at the rate that the ranks above and the floors below leave to the rank,
//     and never less than the rank's own floor.
// Nothing is refused for its predicted wait before a service rate is known.
//
// Giving up. A request that fits by its own fair share, though its rank's
// backlog as a whole no longer does, displaces the newest request of the
// longest flow. Arrivals in ranks above, or slower service, can also make a
// backlog too long; then the newest requests of the longest flows are given up
// until it fits. Requests whose time has passed are found by an index ordered
// by that time.
//
// Bounds, with n requests waiting: Offer and Take O(log n); Expire O(log n) per
// request given up plus O(ranks); Remove O(length of the caller's flow).

#include <algorithm>
#include <cmath>
#include <random>
#include <unordered_map>
#include <utility>

#include "hawthornhollow/scheduling/rank_state.h"
#include "hawthornhollow/scheduling/scheduling.h"
#include "hawthornhollow/scheduling/service_rate.h"

namespace hawthornhollow {
namespace {

// The least share of the service rate that predictions assume for a rank.
constexpr double kMinRateShare = 0.01;
// The least share of a target that is left for waiting.
constexpr double kMinWaitShare = 0.5;
// Weight of a new sample in the smoothed time to first token, and how many mean
// deviations above it are allowed for.
constexpr double kFirstTokenWeight = 0.1;
constexpr double kFirstTokenDeviations = 2;
// Late requests that are looked at for one that may go out of turn.
constexpr int kMaxLateLookedAt = 16;
// Free slots kept for ranks above: enough that they are all taken at once with
// at most this probability, but no more than this share of all slots.
constexpr double kReserveMiss = 0.02;
constexpr double kMaxReserveShare = 0.15;
constexpr double kMaxReserveLoad = 0.9;
// How long the first rank waits for a slot that is idle by the reports before
// it takes one that is only claimable.
constexpr absl::Duration kIdleWait = absl::Milliseconds(60);

}  // namespace

class RankQueue::Impl {
 public:
  explicit Impl(const RankQueueOptions& options) : options_(options) {
    SetRanks(options.ranks);
  }

  std::optional<Refusal> Offer(QueuedRequest request, absl::Time now);
  std::optional<QueuedRequest> Take(absl::Time now, const SlotCounts& slots);
  void PutBack(QueuedRequest request);
  bool Remove(uint64_t id);
  std::vector<Refusal> Expire(absl::Time now);
  void OnServed(int64_t tokens, absl::Time now) { rate_.OnServed(tokens, now); }
  void OnFirstToken(absl::Duration took);
  void SetRanks(const std::vector<RankPolicy>& ranks);

  bool IsFirstRank(std::string_view rank) const {
    return FindRank(rank) == ranks_.front().get();
  }
  size_t waiting() const { return flow_by_id_.size(); }
  int64_t WaitingTokens(std::string_view rank) const;
  absl::Duration PredictedWait(std::string_view rank, absl::Time now) const;

 private:
  // Whether all requests are one flow in order of arrival, with no admission.
  bool IsFirstCome() const {
    return options_.policy != SchedulingPolicy::kRanks;
  }
  std::optional<Refusal> Admit(RankState* rank,
                               const QueuedRequest& request,
                               absl::Time now);

  // Ranks.
  RankState* FindRank(std::string_view name) const;
  RankState* RankToServe(absl::Time now, const SlotCounts& slots);
  bool HasRoomFor(const RankState& rank,
                  absl::Time now,
                  const SlotCounts& slots) const;
  RankState* RankBelowFloor(absl::Time now) const;
  double FloorRatio(const RankState& rank, absl::Time now) const;
  CallerFlow* FlowToServe(const RankState& rank, absl::Time now) const;
  int64_t ReservedSlots(const RankState& rank,
                        absl::Time now,
                        int64_t slots) const;

  // Predictions.
  // The share of a target after which a waiting request is late: between what
  // admission allows and the whole.
  double LateShare() const { return (1 + options_.admit_share) / 2; }
  absl::Duration WaitAllowed(const RankPolicy& policy, double share) const;
  absl::Time GiveUpAt(const QueuedRequest& request,
                      const RankPolicy& policy) const;
  int64_t TokensAhead(const RankState& rank,
                      const QueuedRequest& request) const;
  double DemandAbove(const RankState& rank, absl::Time now) const;
  double RateShare(const RankState& rank, absl::Time now) const;
  absl::Duration WaitBehind(const RankState& rank,
                            int64_t ahead,
                            int64_t cost,
                            absl::Time now) const;
  absl::Duration RetryAfter(const RankState& rank,
                            absl::Duration wait,
                            absl::Time now);

  // Flows.
  CallerFlow* FlowOf(RankState* rank, const QueuedRequest& request);
  void Link(CallerFlow* flow, const QueuedRequest& request, absl::Time give_up);
  Waiting Unlink(CallerFlow* flow, std::deque<Waiting>::iterator at);
  void UpdateTurns(CallerFlow* flow);
  void EraseIfEmpty(CallerFlow* flow);
  void RenewGiveUps(RankState* rank);

  // Giving up.
  bool MakeRoom(RankState* rank, const QueuedRequest& request);
  bool Displace(RankState* rank, const QueuedRequest& request);
  void GiveUpNewest(RankState* rank);
  void GiveUpOverdue(RankState* rank, absl::Time now);
  void GiveUpExcess(RankState* rank, absl::Time now);
  void AddRefusal(const RankState& rank,
                  const QueuedRequest& request,
                  RefusalCause cause,
                  absl::Time now);
  void Advance(absl::Time now);

  RankQueueOptions options_;
  std::vector<std::unique_ptr<RankState>> ranks_;  // by order
  std::unordered_map<uint64_t, CallerFlow*> flow_by_id_;
  std::vector<Refusal> given_up_;
  ServiceRate rate_;
  double first_token_s_ = 0;
  double first_token_deviation_s_ = 0;
  absl::Time now_ = absl::InfinitePast();  // of the last call that gave it
  std::mt19937_64 random_;
};

// ---------------------------------------------------------------------------
// Public operations

std::optional<Refusal> RankQueue::Impl::Offer(QueuedRequest request,
                                              absl::Time now) {
  Advance(now);
  request.cost_tokens = std::max<int64_t>(request.cost_tokens, 1);
  if (IsFirstCome()) {
    request.rank = ranks_.back()->policy.name;
    request.member.clear();
    request.caller.clear();
  }
  RankState* rank = FindRank(request.rank);
  rank->offered.Add(static_cast<double>(request.cost_tokens), now);
  if (auto refusal = Admit(rank, request, now)) {
    return refusal;
  }
  CallerFlow* flow = FlowOf(rank, request);
  flow->requests.push_back({request, GiveUpAt(request, rank->policy)});
  Link(flow, request, flow->requests.back().give_up);
  return std::nullopt;
}

// Says why a request is not taken in; may displace another to make room.
std::optional<Refusal> RankQueue::Impl::Admit(RankState* rank,
                                              const QueuedRequest& request,
                                              absl::Time now) {
  const absl::Duration wait =
      WaitBehind(*rank, TokensAhead(*rank, request), request.cost_tokens, now);
  auto refuse = [&](RefusalCause cause) {
    return Refusal{request.id, cause, RetryAfter(*rank, wait, now)};
  };
  if (request.deadline <= now ||
      (!IsFirstCome() && now + wait > request.deadline)) {
    return refuse(RefusalCause::kDeadline);
  }
  if (IsFirstCome()) {
    const bool full = waiting() >= options_.max_waiting;
    return full ? std::optional(refuse(RefusalCause::kQueueFull))
                : std::nullopt;
  }
  const absl::Duration allowed =
      WaitAllowed(rank->policy, options_.admit_share);
  const absl::Duration waited = now - request.arrived;
  if (wait > absl::ZeroDuration() && waited + wait > allowed) {
    return refuse(RefusalCause::kOverload);
  }
  const absl::Duration drain =
      WaitBehind(*rank, rank->tokens, request.cost_tokens, now);
  if (rank->tokens > 0 && drain > allowed && !Displace(rank, request)) {
    return refuse(RefusalCause::kOverload);
  }
  if (waiting() >= options_.max_waiting && !MakeRoom(rank, request)) {
    return refuse(RefusalCause::kQueueFull);
  }
  return std::nullopt;
}

std::optional<QueuedRequest> RankQueue::Impl::Take(absl::Time now,
                                                   const SlotCounts& slots) {
  Advance(now);
  for (const auto& rank : ranks_) {
    GiveUpOverdue(rank.get(), now);
  }
  RankState* rank = RankToServe(now, slots);
  if (rank == nullptr) {
    return std::nullopt;
  }
  CallerFlow* flow = FlowToServe(*rank, now);
  MemberFlow* member = flow->member;
  const int64_t cost = flow->HeadCost();
  rank->turns.Charge(member, cost);
  member->turns.Charge(flow, cost);
  rank->floor_tokens.Add(static_cast<double>(cost), now);
  return Unlink(flow, flow->requests.begin()).request;
}

void RankQueue::Impl::PutBack(QueuedRequest request) {
  request.cost_tokens = std::max<int64_t>(request.cost_tokens, 1);
  RankState* rank = FindRank(request.rank);
  CallerFlow* flow = FlowOf(rank, request);
  flow->requests.push_front({request, GiveUpAt(request, rank->policy)});
  Link(flow, request, flow->requests.front().give_up);
  flow->member->turns.Refund(flow, request.cost_tokens);
  rank->turns.Refund(flow->member, request.cost_tokens);
  UpdateTurns(flow);
  rank->floor_tokens.Subtract(static_cast<double>(request.cost_tokens));
}

bool RankQueue::Impl::Remove(uint64_t id) {
  auto found = flow_by_id_.find(id);
  if (found == flow_by_id_.end()) {
    return false;
  }
  CallerFlow* flow = found->second;
  auto at = std::find_if(
      flow->requests.begin(), flow->requests.end(),
      [id](const Waiting& waiting) { return waiting.request.id == id; });
  Unlink(flow, at);
  return true;
}

std::vector<Refusal> RankQueue::Impl::Expire(absl::Time now) {
  Advance(now);
  for (const auto& rank : ranks_) {
    GiveUpOverdue(rank.get(), now);
    GiveUpExcess(rank.get(), now);
  }
  return std::exchange(given_up_, {});
}

void RankQueue::Impl::OnFirstToken(absl::Duration took) {
  const double seconds = absl::ToDoubleSeconds(took);
  if (first_token_s_ == 0) {
    first_token_s_ = seconds;
    return;
  }
  const double deviation = std::abs(seconds - first_token_s_);
  first_token_s_ += kFirstTokenWeight * (seconds - first_token_s_);
  first_token_deviation_s_ +=
      kFirstTokenWeight * (deviation - first_token_deviation_s_);
}

void RankQueue::Impl::SetRanks(const std::vector<RankPolicy>& ranks) {
  std::vector<std::unique_ptr<RankState>> old = std::move(ranks_);
  ranks_.clear();
  for (const RankPolicy& policy : ranks) {
    auto known = std::find_if(old.begin(), old.end(), [&](const auto& rank) {
      return rank != nullptr && rank->policy.name == policy.name;
    });
    if (known == old.end()) {
      ranks_.push_back(std::make_unique<RankState>(policy, options_));
      continue;
    }
    (*known)->policy = policy;
    ranks_.push_back(std::move(*known));
  }
  // A removed rank is served until it is empty.
  for (auto& rank : old) {
    if (rank != nullptr && rank->tokens > 0) {
      rank->policy.floor = 0;
      ranks_.push_back(std::move(rank));
    }
  }
  if (ranks_.empty()) {
    ranks_.push_back(std::make_unique<RankState>(RankPolicy(), options_));
  }
  std::stable_sort(ranks_.begin(), ranks_.end(),
                   [](const auto& a, const auto& b) {
                     return a->policy.order < b->policy.order;
                   });
  for (const auto& rank : ranks_) {
    RenewGiveUps(rank.get());
  }
}

// Computes every request's time anew, after a change of the rank's target.
void RankQueue::Impl::RenewGiveUps(RankState* rank) {
  rank->give_ups.clear();
  for (const auto& [member_name, member] : rank->members) {
    for (const auto& [caller_name, flow] : member->callers) {
      for (Waiting& waiting : flow->requests) {
        waiting.give_up = GiveUpAt(waiting.request, rank->policy);
        rank->give_ups.insert({waiting.give_up, waiting.request.id});
      }
    }
  }
}

int64_t RankQueue::Impl::WaitingTokens(std::string_view rank) const {
  for (const auto& state : ranks_) {
    if (state->policy.name == rank) {
      return state->tokens;
    }
  }
  return 0;
}

absl::Duration RankQueue::Impl::PredictedWait(std::string_view rank,
                                              absl::Time now) const {
  const RankState& state = *FindRank(rank);
  const int64_t ahead =
      state.turns.TokensAhead(FlowShare(), options_.quantum_tokens);
  return WaitBehind(state, ahead, 0, now);
}

// ---------------------------------------------------------------------------
// Ranks

RankState* RankQueue::Impl::FindRank(std::string_view name) const {
  for (const auto& rank : ranks_) {
    if (rank->policy.name == name) {
      return rank.get();
    }
  }
  return ranks_.back().get();
}

RankState* RankQueue::Impl::RankToServe(absl::Time now,
                                        const SlotCounts& slots) {
  if (slots.claimable > 0) {
    if (RankState* below = RankBelowFloor(now)) {
      return below;
    }
  }
  for (const auto& rank : ranks_) {
    if (rank->tokens > 0) {
      return HasRoomFor(*rank, now, slots) ? rank.get() : nullptr;
    }
  }
  return nullptr;
}

bool RankQueue::Impl::HasRoomFor(const RankState& rank,
                                 absl::Time now,
                                 const SlotCounts& slots) const {
  if (&rank == ranks_.front().get()) {
    const absl::Duration waited = now - rank.arrivals.begin()->first;
    return slots.idle > 0 || (slots.claimable > 0 && waited >= kIdleWait);
  }
  const int64_t reserved = ReservedSlots(rank, now, slots.all);
  if (slots.claimable <= 0) {
    return false;
  }
  // A router with less than its part of what is not kept may go ahead, or the
  // others, who see their own slots become idle first, would starve it.
  const bool below_part =
      (slots.in_flight + 1) * slots.routers <= slots.all - reserved;
  return reserved == 0 || slots.idle > reserved ||
         (slots.idle > 0 && slots.routers > 1 && below_part);
}

RankState* RankQueue::Impl::RankBelowFloor(absl::Time now) const {
  RankState* lowest = nullptr;
  double lowest_ratio = 1;
  for (const auto& rank : ranks_) {
    const double ratio = rank->tokens > 0 ? FloorRatio(*rank, now) : 1;
    if (ratio < lowest_ratio) {
      lowest = rank.get();
      lowest_ratio = ratio;
    }
  }
  return lowest;
}

// The rank's share of what was dispatched of late, relative to its floor; 1 if
// it has no floor or nothing was dispatched.
double RankQueue::Impl::FloorRatio(const RankState& rank,
                                   absl::Time now) const {
  double total = 0;
  for (const auto& other : ranks_) {
    total += other->floor_tokens.Value(now);
  }
  const double due = rank.policy.floor * total;
  return due > 0 ? rank.floor_tokens.Value(now) / due : 1;
}

// The flow whose turn it is; or that of one of the oldest requests, if this is
// late and its flow and member are not in debt. Serving out of turn is charged
// like any service, so a flow borrows at most a quantum and one request.
CallerFlow* RankQueue::Impl::FlowToServe(const RankState& rank,
                                         absl::Time now) const {
  const absl::Time late = now - WaitAllowed(rank.policy, LateShare());
  int looked_at = 0;
  for (const auto& [arrived, id] : rank.arrivals) {
    if (arrived > late || ++looked_at > kMaxLateLookedAt) {
      break;
    }
    CallerFlow* flow = flow_by_id_.at(id);
    if (!flow->member->turns.InDebt(*flow) &&
        !rank.turns.InDebt(*flow->member)) {
      return flow;
    }
  }
  return rank.turns.Next()->turns.Next();
}

// With arrivals of the ranks above at a share `load` of the service rate, and
// kept slots refilled at the service rate, all of k kept slots are in use with
// a probability of about load^k.
int64_t RankQueue::Impl::ReservedSlots(const RankState& rank,
                                       absl::Time now,
                                       int64_t slots) const {
  const auto most = static_cast<int64_t>(kMaxReserveShare * slots);
  if (most <= 0 || !rate_.Known(now)) {
    return 0;
  }
  const double load = DemandAbove(rank, now) / rate_.Optimistic();
  if (!(load > 0)) {
    return 0;
  }
  if (load >= kMaxReserveLoad) {
    return most;
  }
  const double wanted = std::log(kReserveMiss) / std::log(load);
  return std::min(most, static_cast<int64_t>(std::ceil(wanted)));
}

// ---------------------------------------------------------------------------
// Predictions

// The part of `share` of the target that may be spent waiting.
absl::Duration RankQueue::Impl::WaitAllowed(const RankPolicy& policy,
                                            double share) const {
  const absl::Duration first_token = absl::Seconds(
      first_token_s_ + kFirstTokenDeviations * first_token_deviation_s_);
  const absl::Duration budget = policy.target * share;
  return std::max(budget - first_token, budget * kMinWaitShare);
}

absl::Time RankQueue::Impl::GiveUpAt(const QueuedRequest& request,
                                     const RankPolicy& policy) const {
  if (IsFirstCome()) {
    return request.deadline;
  }
  return std::min(request.arrived + WaitAllowed(policy, 1), request.deadline);
}

// Tokens of the request's own rank that are served before it.
int64_t RankQueue::Impl::TokensAhead(const RankState& rank,
                                     const QueuedRequest& request) const {
  const int64_t cost = request.cost_tokens;
  auto member = rank.members.find(request.member);
  if (member == rank.members.end()) {
    return rank.turns.TokensAhead(FlowShare(), cost);
  }
  const MemberFlow& flow = *member->second;
  auto caller = flow.callers.find(request.caller);
  const FlowShare own =
      caller == flow.callers.end() ? FlowShare() : caller->second->share;
  const int64_t in_member = flow.turns.TokensAhead(own, cost) + own.backlog;
  return in_member + rank.turns.TokensAhead(flow.share, in_member + cost);
}

// Tokens per second that were asked of the ranks above of late, admitted or
// not: it shows a flood sooner than what was served.
double RankQueue::Impl::DemandAbove(const RankState& rank,
                                    absl::Time now) const {
  double demand = 0;
  for (const auto& above : ranks_) {
    if (above.get() == &rank) {
      break;
    }
    demand += above->offered.PerSecond(now);
  }
  return demand;
}

// The share of the service rate that is left to a rank. Needs a known rate.
double RankQueue::Impl::RateShare(const RankState& rank, absl::Time now) const {
  double share = 1 - DemandAbove(rank, now) / std::max(rate_.Measured(), 1.0);
  bool below = false;
  for (const auto& other : ranks_) {
    if (below && other->tokens > 0) {
      share -= other->policy.floor;
    }
    below = below || other.get() == &rank;
  }
  return std::max({share, rank.policy.floor, kMinRateShare});
}

// The wait of a request of `cost` behind `ahead` tokens of its rank. At less
// than the full rate its own cost adds to the wait: its turn comes when the
// rank's share has grown to cover it. A rank below its floor goes first, so
// that with nothing ahead its wait is none, however large the request.
absl::Duration RankQueue::Impl::WaitBehind(const RankState& rank,
                                           int64_t ahead,
                                           int64_t cost,
                                           absl::Time now) const {
  if (!rate_.Known(now) || (ahead == 0 && FloorRatio(rank, now) < 1)) {
    return absl::ZeroDuration();
  }
  const double rate = std::max(rate_.Optimistic(), 1.0);
  double above = 0;
  for (const auto& other : ranks_) {
    if (other.get() == &rank) {
      break;
    }
    above += static_cast<double>(other->tokens);
  }
  const auto own = static_cast<double>(ahead + cost);
  const double start = static_cast<double>(cost) / rate;
  double seconds = above / rate + own / (RateShare(rank, now) * rate) - start;
  if (rank.policy.floor > 0) {
    seconds = std::min(seconds, own / (rank.policy.floor * rate) - start);
  }
  return absl::Seconds(std::max(seconds, 0.0));
}

// The time until the backlog ahead has drained, longer by the ratio of offered
// work to the service rate, since what is refused comes back.
absl::Duration RankQueue::Impl::RetryAfter(const RankState& rank,
                                           absl::Duration wait,
                                           absl::Time now) {
  double overload = 1;
  if (rate_.Known(now)) {
    const double rate =
        std::max(rate_.Optimistic(), 1.0) * RateShare(rank, now);
    overload = std::max(1.0, rank.offered.PerSecond(now) / rate);
  }
  const absl::Duration most =
      std::max(options_.retry_after_max / 2, options_.retry_after_min);
  const absl::Duration base =
      std::clamp(wait * overload, options_.retry_after_min, most);
  return SpreadRetryAfter(base, random_);
}

// ---------------------------------------------------------------------------
// Flows

CallerFlow* RankQueue::Impl::FlowOf(RankState* rank,
                                    const QueuedRequest& request) {
  std::unique_ptr<MemberFlow>& member = rank->members[request.member];
  if (member == nullptr) {
    member = std::make_unique<MemberFlow>(options_.quantum_tokens);
    member->name = request.member;
    member->rank = rank;
  }
  std::unique_ptr<CallerFlow>& caller = member->callers[request.caller];
  if (caller == nullptr) {
    caller = std::make_unique<CallerFlow>();
    caller->name = request.caller;
    caller->member = member.get();
  }
  return caller.get();
}

// Accounts for a request that was added to its flow.
void RankQueue::Impl::Link(CallerFlow* flow,
                           const QueuedRequest& request,
                           absl::Time give_up) {
  MemberFlow* member = flow->member;
  RankState* rank = member->rank;
  flow->tokens += request.cost_tokens;
  member->tokens += request.cost_tokens;
  rank->tokens += request.cost_tokens;
  rank->give_ups.insert({give_up, request.id});
  rank->arrivals.insert({request.arrived, request.id});
  flow_by_id_[request.id] = flow;
  UpdateTurns(flow);
  rate_.SetBacklogged(true, now_);
}

// Takes a request out of its flow; the flow is gone if it was the last.
Waiting RankQueue::Impl::Unlink(CallerFlow* flow,
                                std::deque<Waiting>::iterator at) {
  Waiting taken = std::move(*at);
  flow->requests.erase(at);
  const int64_t cost = taken.request.cost_tokens;
  MemberFlow* member = flow->member;
  RankState* rank = member->rank;
  flow->tokens -= cost;
  member->tokens -= cost;
  rank->tokens -= cost;
  rank->give_ups.erase({taken.give_up, taken.request.id});
  rank->arrivals.erase({taken.request.arrived, taken.request.id});
  flow_by_id_.erase(taken.request.id);
  UpdateTurns(flow);
  EraseIfEmpty(flow);
  rate_.SetBacklogged(waiting() > 0, now_);
  return taken;
}

void RankQueue::Impl::UpdateTurns(CallerFlow* flow) {
  MemberFlow* member = flow->member;
  member->turns.Update(flow, flow->tokens, flow->HeadCost());
  member->rank->turns.Update(member, member->tokens, member->HeadCost());
}

void RankQueue::Impl::EraseIfEmpty(CallerFlow* flow) {
  if (!flow->requests.empty()) {
    return;
  }
  MemberFlow* member = flow->member;
  const std::string caller = flow->name;
  member->callers.erase(caller);
  if (member->callers.empty()) {
    const std::string name = member->name;
    member->rank->members.erase(name);
  }
}

// ---------------------------------------------------------------------------
// Giving up

// Gives up a request of a rank below, or of a longer flow of the same rank.
bool RankQueue::Impl::MakeRoom(RankState* rank, const QueuedRequest& request) {
  for (auto lowest = ranks_.rbegin(); lowest->get() != rank; ++lowest) {
    if ((*lowest)->tokens > 0) {
      GiveUpNewest(lowest->get());
      return true;
    }
  }
  return Displace(rank, request);
}

// Gives up the newest request of the rank's longest flow, if that flow is then
// still as long as the flow of `request` with it. The condition makes backlogs
// more equal each time, so that two flows never displace each other in turn.
bool RankQueue::Impl::Displace(RankState* rank, const QueuedRequest& request) {
  if (rank->tokens == 0) {
    return false;
  }
  const MemberFlow* longest_member = rank->turns.Longest();
  const CallerFlow* longest = longest_member->turns.Longest();
  const int64_t cost = request.cost_tokens;
  const int64_t freed = longest->requests.back().request.cost_tokens;
  int64_t own_member = 0;
  int64_t own = 0;
  auto member = rank->members.find(request.member);
  if (member != rank->members.end()) {
    own_member = member->second->tokens;
    auto caller = member->second->callers.find(request.caller);
    own = caller == member->second->callers.end() ? 0 : caller->second->tokens;
  }
  const bool same_member = longest_member->name == request.member;
  const bool yields = same_member
                          ? own + cost <= longest->tokens - freed
                          : own_member + cost <= longest_member->tokens - freed;
  if (yields) {
    GiveUpNewest(rank);
  }
  return yields;
}

void RankQueue::Impl::GiveUpNewest(RankState* rank) {
  CallerFlow* flow = rank->turns.Longest()->turns.Longest();
  const Waiting waiting = Unlink(flow, std::prev(flow->requests.end()));
  AddRefusal(*rank, waiting.request, RefusalCause::kOverload, now_);
}

void RankQueue::Impl::GiveUpOverdue(RankState* rank, absl::Time now) {
  while (!rank->give_ups.empty() && rank->give_ups.begin()->first <= now) {
    const uint64_t id = rank->give_ups.begin()->second;
    CallerFlow* flow = flow_by_id_.at(id);
    auto at = std::find_if(
        flow->requests.begin(), flow->requests.end(),
        [id](const Waiting& waiting) { return waiting.request.id == id; });
    const QueuedRequest request = Unlink(flow, at).request;
    const RefusalCause cause = request.deadline <= now
                                   ? RefusalCause::kDeadline
                                   : RefusalCause::kOverload;
    AddRefusal(*rank, request, cause, now);
  }
}

void RankQueue::Impl::GiveUpExcess(RankState* rank, absl::Time now) {
  if (IsFirstCome() || !rate_.Known(now)) {
    return;
  }
  const absl::Duration allowed = WaitAllowed(rank->policy, LateShare());
  while (rank->tokens > 0) {
    const CallerFlow* flow = rank->turns.Longest()->turns.Longest();
    const int64_t last = flow->requests.back().request.cost_tokens;
    if (rank->tokens == last ||
        WaitBehind(*rank, rank->tokens - last, last, now) <= allowed) {
      return;
    }
    GiveUpNewest(rank);
  }
}

void RankQueue::Impl::AddRefusal(const RankState& rank,
                                 const QueuedRequest& request,
                                 RefusalCause cause,
                                 absl::Time now) {
  const absl::Duration wait = WaitBehind(rank, rank.tokens, 0, now);
  given_up_.push_back({request.id, cause, RetryAfter(rank, wait, now)});
}

void RankQueue::Impl::Advance(absl::Time now) {
  now_ = std::max(now_, now);
}

// ---------------------------------------------------------------------------

RankQueue::RankQueue(const RankQueueOptions& options)
    : impl_(std::make_unique<Impl>(options)) {}
RankQueue::RankQueue(RankQueue&&) noexcept = default;
RankQueue& RankQueue::operator=(RankQueue&&) noexcept = default;
RankQueue::~RankQueue() = default;

std::optional<Refusal> RankQueue::Offer(const QueuedRequest& request,
                                        absl::Time now) {
  return impl_->Offer(request, now);
}

std::optional<QueuedRequest> RankQueue::Take(absl::Time now) {
  return impl_->Take(now, {.claimable = 1, .idle = 1, .all = 1});
}

std::optional<QueuedRequest> RankQueue::Take(absl::Time now,
                                             const SlotCounts& slots) {
  return impl_->Take(now, slots);
}

bool RankQueue::IsFirstRank(std::string_view rank) const {
  return impl_->IsFirstRank(rank);
}

void RankQueue::PutBack(const QueuedRequest& request) {
  impl_->PutBack(request);
}

bool RankQueue::Remove(uint64_t id) {
  return impl_->Remove(id);
}

std::vector<Refusal> RankQueue::Expire(absl::Time now) {
  return impl_->Expire(now);
}

void RankQueue::OnServed(int64_t tokens, absl::Time now) {
  impl_->OnServed(tokens, now);
}

void RankQueue::OnFirstToken(absl::Duration took) {
  impl_->OnFirstToken(took);
}

void RankQueue::SetRanks(const std::vector<RankPolicy>& ranks) {
  impl_->SetRanks(ranks);
}

size_t RankQueue::waiting() const {
  return impl_->waiting();
}

int64_t RankQueue::waiting_tokens(std::string_view rank) const {
  return impl_->WaitingTokens(rank);
}

absl::Duration RankQueue::PredictedWait(std::string_view rank,
                                        absl::Time now) const {
  return impl_->PredictedWait(rank, now);
}

}  // namespace hawthornhollow
