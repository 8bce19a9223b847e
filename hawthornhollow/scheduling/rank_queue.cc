// Order of service. Ranks are served by strict priority, with one exception: a
// rank that has waiting requests and whose share of the recently dispatched
// tokens is below its floor is served first. If there are several, the one
// furthest below its floor, as a ratio, is served. Within a rank, deficit round
// robin divides the service among members and, within each member, among
// callers. A request that has waited longer than admission allows is served out
// of turn, which leaves its flow with a negative deficit. Otherwise flows that
// become active after it arrived could delay it beyond its target.
//
// Admission. A request is refused on arrival when its predicted wait exceeds
// what its target allows. The prediction is the sum of
//   - the time to serve the waiting tokens of higher ranks at the full service
//     rate, and
//   - the time to serve the tokens of its own rank that round robin serves
//     before it, at the rate that higher ranks and the floors of lower ranks
//     leave to this rank, but at least at the rank's own floor. For a caller
//     with few waiting requests these tokens are few, however many requests
//     other callers have waiting.
// No request is refused for its predicted wait while the service rate is
// unknown.
//
// Eviction. A request can fit within its target by its own fair share although
// the backlog of its rank as a whole does not. It then evicts the newest
// request of the flow with the largest backlog. Arrivals in higher ranks or
// slower service can also make a backlog too long. Then the newest requests of
// the flows with the largest backlogs are evicted until the backlog fits.
// Requests that have expired are found through an index ordered by expiration
// time.
//
// Complexity with n waiting requests: Offer and Take O(log n), Expire O(log n)
// per removed request plus O(ranks), Remove O(length of the caller's flow).

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

// Lower bound on the share of the service rate that predictions assume for a
// rank.
constexpr double kMinRateShare = 0.01;
// Lower bound on the fraction of a target that is allowed for waiting.
constexpr double kMinWaitFraction = 0.5;
// Weight of a new sample in the smoothed time to first token, and the number of
// mean deviations above it that the allowed wait leaves for the first token.
constexpr double kFirstTokenWeight = 0.1;
constexpr double kFirstTokenDeviations = 2;
// Number of late requests that are examined to find one that may be served out
// of turn.
constexpr int kMaxLateCandidates = 16;
// Slots reserved for higher ranks: enough that all of them are in use with at
// most this probability, but no more than this share of all slots. The whole
// share is reserved when the demand of higher ranks reaches kMaxReserveLoad as
// a fraction of the service rate.
constexpr double kReserveExhaustedProbability = 0.02;
constexpr double kMaxReserveShare = 0.15;
constexpr double kMaxReserveLoad = 0.9;
// How long a request of the highest rank waits for a slot that is idle
// according to server reports before it uses one that is only claimable.
constexpr absl::Duration kIdleSlotWait = absl::Milliseconds(60);

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
  void OnRequestFinished(int64_t tokens, absl::Time now) {
    rate_.OnRequestFinished(tokens, now);
  }
  void OnFirstToken(absl::Duration time_to_first_token);
  void SetRanks(const std::vector<RankPolicy>& ranks);

  bool IsHighestRank(std::string_view rank) const {
    return FindRank(rank) == ranks_.front().get();
  }
  size_t waiting() const { return flow_by_id_.size(); }
  int64_t WaitingTokens(std::string_view rank) const;
  absl::Duration PredictedWait(std::string_view rank, absl::Time now) const;

 private:
  // Whether all requests form one flow in arrival order, without admission
  // control by predicted wait.
  bool IsFifo() const { return options_.policy != SchedulingPolicy::kRanks; }
  std::optional<Refusal> Admit(RankState* rank,
                               const QueuedRequest& request,
                               absl::Time now);

  // Ranks.
  RankState* FindRank(std::string_view name) const;
  RankState* RankToServe(absl::Time now, const SlotCounts& slots);
  bool CanDispatch(const RankState& rank,
                   absl::Time now,
                   const SlotCounts& slots) const;
  RankState* RankBelowFloor(absl::Time now) const;
  double FloorRatio(const RankState& rank, absl::Time now) const;
  CallerFlow* FlowToServe(const RankState& rank, absl::Time now) const;
  int64_t ReservedSlots(const RankState& rank,
                        absl::Time now,
                        int64_t slots) const;

  // Predictions.
  // The fraction of a target after which a waiting request is late, halfway
  // between the fraction that admission allows and the whole target.
  double LateWaitFraction() const {
    return (1 + options_.max_wait_fraction) / 2;
  }
  absl::Duration AllowedWait(const RankPolicy& policy, double fraction) const;
  absl::Time ExpirationTime(const QueuedRequest& request,
                            const RankPolicy& policy) const;
  int64_t TokensAhead(const RankState& rank,
                      const QueuedRequest& request) const;
  double HigherRankDemand(const RankState& rank, absl::Time now) const;
  double RateShare(const RankState& rank, absl::Time now) const;
  absl::Duration PredictWait(const RankState& rank,
                             int64_t ahead,
                             int64_t cost,
                             absl::Time now) const;
  absl::Duration RetryAfter(const RankState& rank,
                            absl::Duration wait,
                            absl::Time now);

  // Flows.
  CallerFlow* FindOrCreateFlow(RankState* rank, const QueuedRequest& request);
  void AddToIndexes(CallerFlow* flow,
                    const QueuedRequest& request,
                    absl::Time expires_at);
  QueueEntry RemoveFromFlow(CallerFlow* flow,
                            std::deque<QueueEntry>::iterator at);
  void UpdateRoundRobin(CallerFlow* flow);
  void EraseIfEmpty(CallerFlow* flow);
  void RecomputeExpirations(RankState* rank);

  // Eviction and expiration.
  bool EvictForCapacity(RankState* rank, const QueuedRequest& request);
  bool EvictFromLargestBacklog(RankState* rank, const QueuedRequest& request);
  void EvictNewest(RankState* rank);
  void RemoveExpired(RankState* rank, absl::Time now);
  void EvictExcess(RankState* rank, absl::Time now);
  void AddRefusal(const RankState& rank,
                  const QueuedRequest& request,
                  RefusalCause cause,
                  absl::Time now);
  void Advance(absl::Time now);

  RankQueueOptions options_;
  std::vector<std::unique_ptr<RankState>> ranks_;  // sorted by policy.order
  std::unordered_map<uint64_t, CallerFlow*> flow_by_id_;
  std::vector<Refusal> pending_refusals_;
  ServiceRate rate_;
  double first_token_s_ = 0;
  double first_token_deviation_s_ = 0;
  absl::Time now_ = absl::InfinitePast();  // latest time passed to a call
  std::mt19937_64 random_;
};

// ---------------------------------------------------------------------------
// Public operations

std::optional<Refusal> RankQueue::Impl::Offer(QueuedRequest request,
                                              absl::Time now) {
  Advance(now);
  request.cost_tokens = std::max<int64_t>(request.cost_tokens, 1);
  if (IsFifo()) {
    request.rank = ranks_.back()->policy.name;
    request.member.clear();
    request.caller.clear();
  }
  RankState* rank = FindRank(request.rank);
  rank->requested_tokens.Add(static_cast<double>(request.cost_tokens), now);
  if (auto refusal = Admit(rank, request, now)) {
    return refusal;
  }
  CallerFlow* flow = FindOrCreateFlow(rank, request);
  flow->requests.push_back({request, ExpirationTime(request, rank->policy)});
  AddToIndexes(flow, request, flow->requests.back().expires_at);
  return std::nullopt;
}

// Returns why a request is refused, or nullopt if it is admitted. May evict
// another request to make room for it.
std::optional<Refusal> RankQueue::Impl::Admit(RankState* rank,
                                              const QueuedRequest& request,
                                              absl::Time now) {
  const absl::Duration wait =
      PredictWait(*rank, TokensAhead(*rank, request), request.cost_tokens, now);
  auto refuse = [&](RefusalCause cause) {
    return Refusal{request.id, cause, RetryAfter(*rank, wait, now)};
  };
  if (request.deadline <= now || (!IsFifo() && now + wait > request.deadline)) {
    return refuse(RefusalCause::kDeadline);
  }
  if (IsFifo()) {
    const bool full = waiting() >= options_.max_waiting;
    return full ? std::optional(refuse(RefusalCause::kQueueFull))
                : std::nullopt;
  }
  const absl::Duration allowed =
      AllowedWait(rank->policy, options_.max_wait_fraction);
  const absl::Duration waited = now - request.arrived;
  if (wait > absl::ZeroDuration() && waited + wait > allowed) {
    return refuse(RefusalCause::kOverload);
  }
  const absl::Duration rank_drain_time =
      PredictWait(*rank, rank->tokens, request.cost_tokens, now);
  if (rank->tokens > 0 && rank_drain_time > allowed &&
      !EvictFromLargestBacklog(rank, request)) {
    return refuse(RefusalCause::kOverload);
  }
  if (waiting() >= options_.max_waiting && !EvictForCapacity(rank, request)) {
    return refuse(RefusalCause::kQueueFull);
  }
  return std::nullopt;
}

std::optional<QueuedRequest> RankQueue::Impl::Take(absl::Time now,
                                                   const SlotCounts& slots) {
  Advance(now);
  for (const auto& rank : ranks_) {
    RemoveExpired(rank.get(), now);
  }
  RankState* rank = RankToServe(now, slots);
  if (rank == nullptr) {
    return std::nullopt;
  }
  CallerFlow* flow = FlowToServe(*rank, now);
  MemberFlow* member = flow->member;
  const int64_t cost = flow->HeadCost();
  rank->round_robin.Charge(member, cost);
  member->round_robin.Charge(flow, cost);
  rank->dispatched_tokens.Add(static_cast<double>(cost), now);
  return RemoveFromFlow(flow, flow->requests.begin()).request;
}

void RankQueue::Impl::PutBack(QueuedRequest request) {
  request.cost_tokens = std::max<int64_t>(request.cost_tokens, 1);
  RankState* rank = FindRank(request.rank);
  CallerFlow* flow = FindOrCreateFlow(rank, request);
  flow->requests.push_front({request, ExpirationTime(request, rank->policy)});
  AddToIndexes(flow, request, flow->requests.front().expires_at);
  flow->member->round_robin.Refund(flow, request.cost_tokens);
  rank->round_robin.Refund(flow->member, request.cost_tokens);
  UpdateRoundRobin(flow);
  rank->dispatched_tokens.Subtract(static_cast<double>(request.cost_tokens));
}

bool RankQueue::Impl::Remove(uint64_t id) {
  auto found = flow_by_id_.find(id);
  if (found == flow_by_id_.end()) {
    return false;
  }
  CallerFlow* flow = found->second;
  auto at = std::find_if(
      flow->requests.begin(), flow->requests.end(),
      [id](const QueueEntry& waiting) { return waiting.request.id == id; });
  RemoveFromFlow(flow, at);
  return true;
}

std::vector<Refusal> RankQueue::Impl::Expire(absl::Time now) {
  Advance(now);
  for (const auto& rank : ranks_) {
    RemoveExpired(rank.get(), now);
    EvictExcess(rank.get(), now);
  }
  return std::exchange(pending_refusals_, {});
}

void RankQueue::Impl::OnFirstToken(absl::Duration time_to_first_token) {
  const double seconds = absl::ToDoubleSeconds(time_to_first_token);
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
  // A removed rank is kept, without a floor, until its requests are served.
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
    RecomputeExpirations(rank.get());
  }
}

// Recomputes the expiration times of all waiting requests of a rank after a
// change of its target.
void RankQueue::Impl::RecomputeExpirations(RankState* rank) {
  rank->expirations.clear();
  for (const auto& [member_name, member] : rank->members) {
    for (const auto& [caller_name, flow] : member->callers) {
      for (QueueEntry& waiting : flow->requests) {
        waiting.expires_at = ExpirationTime(waiting.request, rank->policy);
        rank->expirations.insert({waiting.expires_at, waiting.request.id});
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
      state.round_robin.TokensAhead(FlowState(), options_.quantum_tokens);
  return PredictWait(state, ahead, 0, now);
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
      return CanDispatch(*rank, now, slots) ? rank.get() : nullptr;
    }
  }
  return nullptr;
}

bool RankQueue::Impl::CanDispatch(const RankState& rank,
                                  absl::Time now,
                                  const SlotCounts& slots) const {
  if (&rank == ranks_.front().get()) {
    const absl::Duration waited = now - rank.arrivals.begin()->first;
    return slots.idle > 0 || (slots.claimable > 0 && waited >= kIdleSlotWait);
  }
  const int64_t reserved = ReservedSlots(rank, now, slots.total);
  if (slots.claimable <= 0) {
    return false;
  }
  // A router with fewer requests in flight than its equal share of the
  // unreserved slots may use any idle slot. Otherwise other routers, which
  // learn first when slots of their own requests become idle, would starve it.
  const bool below_equal_share =
      (slots.in_flight + 1) * slots.routers <= slots.total - reserved;
  return reserved == 0 || slots.idle > reserved ||
         (slots.idle > 0 && slots.routers > 1 && below_equal_share);
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

// The rank's share of the recently dispatched tokens, divided by its floor. 1
// if it has no floor or nothing was dispatched.
double RankQueue::Impl::FloorRatio(const RankState& rank,
                                   absl::Time now) const {
  double dispatched = 0;
  for (const auto& other : ranks_) {
    dispatched += other->dispatched_tokens.Value(now);
  }
  const double guaranteed = rank.policy.floor * dispatched;
  return guaranteed > 0 ? rank.dispatched_tokens.Value(now) / guaranteed : 1;
}

// Returns the flow of one of the oldest requests if that request is late and
// neither its flow nor its member is in debt, and otherwise the next flow by
// round robin. Service out of turn is charged like any other, so that a flow is
// served at most a quantum and one request in advance.
CallerFlow* RankQueue::Impl::FlowToServe(const RankState& rank,
                                         absl::Time now) const {
  const absl::Time late = now - AllowedWait(rank.policy, LateWaitFraction());
  int examined = 0;
  for (const auto& [arrived, id] : rank.arrivals) {
    if (arrived > late || ++examined > kMaxLateCandidates) {
      break;
    }
    CallerFlow* flow = flow_by_id_.at(id);
    if (!flow->member->round_robin.InDebt(*flow) &&
        !rank.round_robin.InDebt(*flow->member)) {
      return flow;
    }
  }
  return rank.round_robin.Next()->round_robin.Next();
}

// The number of slots to reserve for the ranks above `rank`. If the demand of
// those ranks is a fraction `load` of the service rate, and used reserved slots
// become free at the service rate, then all of k reserved slots are in use with
// a probability of about load^k. The result is the smallest k for which this is
// at most kReserveExhaustedProbability, limited by kMaxReserveShare.
int64_t RankQueue::Impl::ReservedSlots(const RankState& rank,
                                       absl::Time now,
                                       int64_t slots) const {
  const auto upper_limit = static_cast<int64_t>(kMaxReserveShare * slots);
  if (upper_limit <= 0 || !rate_.IsKnown(now)) {
    return 0;
  }
  const double load = HigherRankDemand(rank, now) / rate_.UpperEstimate();
  if (!(load > 0)) {
    return 0;
  }
  if (load >= kMaxReserveLoad) {
    return upper_limit;
  }
  const double wanted = std::log(kReserveExhaustedProbability) / std::log(load);
  return std::min(upper_limit, static_cast<int64_t>(std::ceil(wanted)));
}

// ---------------------------------------------------------------------------
// Predictions

// The longest wait that leaves time for the first token within the given
// fraction of the target, but at least kMinWaitFraction of that time.
absl::Duration RankQueue::Impl::AllowedWait(const RankPolicy& policy,
                                            double fraction) const {
  const absl::Duration first_token = absl::Seconds(
      first_token_s_ + kFirstTokenDeviations * first_token_deviation_s_);
  const absl::Duration budget = policy.target * fraction;
  return std::max(budget - first_token, budget * kMinWaitFraction);
}

absl::Time RankQueue::Impl::ExpirationTime(const QueuedRequest& request,
                                           const RankPolicy& policy) const {
  if (IsFifo()) {
    return request.deadline;
  }
  return std::min(request.arrived + AllowedWait(policy, 1), request.deadline);
}

// The predicted tokens of the request's own rank that are served before it.
int64_t RankQueue::Impl::TokensAhead(const RankState& rank,
                                     const QueuedRequest& request) const {
  const int64_t cost = request.cost_tokens;
  auto member = rank.members.find(request.member);
  if (member == rank.members.end()) {
    return rank.round_robin.TokensAhead(FlowState(), cost);
  }
  const MemberFlow& flow = *member->second;
  auto caller = flow.callers.find(request.caller);
  const FlowState own =
      caller == flow.callers.end() ? FlowState() : caller->second->drr_state;
  const int64_t in_member =
      flow.round_robin.TokensAhead(own, cost) + own.backlog;
  return in_member +
         rank.round_robin.TokensAhead(flow.drr_state, in_member + cost);
}

// The tokens per second that were recently requested in higher ranks. Refused
// requests are included, because the demand then shows an overload sooner than
// the tokens served do.
double RankQueue::Impl::HigherRankDemand(const RankState& rank,
                                         absl::Time now) const {
  double demand = 0;
  for (const auto& above : ranks_) {
    if (above.get() == &rank) {
      break;
    }
    demand += above->requested_tokens.PerSecond(now);
  }
  return demand;
}

// The share of the service rate that is left to a rank. The service rate must
// be known.
double RankQueue::Impl::RateShare(const RankState& rank, absl::Time now) const {
  double share =
      1 - HigherRankDemand(rank, now) / std::max(rate_.Estimate(), 1.0);
  bool below = false;
  for (const auto& other : ranks_) {
    if (below && other->tokens > 0) {
      share -= other->policy.floor;
    }
    below = below || other.get() == &rank;
  }
  return std::max({share, rank.policy.floor, kMinRateShare});
}

// The predicted wait of a request that costs `cost` tokens, with `ahead` tokens
// of its rank served before it. If the rank gets less than the full rate, the
// request's own cost adds to the wait, because the request is served only when
// the rank's share of the service covers it. A rank below its floor is served
// first, so that with no tokens ahead the wait is zero, however large the
// request.
absl::Duration RankQueue::Impl::PredictWait(const RankState& rank,
                                            int64_t ahead,
                                            int64_t cost,
                                            absl::Time now) const {
  if (!rate_.IsKnown(now) || (ahead == 0 && FloorRatio(rank, now) < 1)) {
    return absl::ZeroDuration();
  }
  const double rate = std::max(rate_.UpperEstimate(), 1.0);
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

// The Retry-After value of a refusal: the predicted wait, multiplied by the
// ratio of requested tokens to the service rate if that is above 1, because
// refused requests will be retried.
absl::Duration RankQueue::Impl::RetryAfter(const RankState& rank,
                                           absl::Duration wait,
                                           absl::Time now) {
  double overload = 1;
  if (rate_.IsKnown(now)) {
    const double rate =
        std::max(rate_.UpperEstimate(), 1.0) * RateShare(rank, now);
    overload = std::max(1.0, rank.requested_tokens.PerSecond(now) / rate);
  }
  // The jitter can double the value.
  const absl::Duration upper_limit =
      std::max(options_.retry_after_max / 2, options_.retry_after_min);
  const absl::Duration base =
      std::clamp(wait * overload, options_.retry_after_min, upper_limit);
  return JitteredRetryAfter(base, random_);
}

// ---------------------------------------------------------------------------
// Flows

CallerFlow* RankQueue::Impl::FindOrCreateFlow(RankState* rank,
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

// Updates all counters and indexes for a request that was added to its flow.
void RankQueue::Impl::AddToIndexes(CallerFlow* flow,
                                   const QueuedRequest& request,
                                   absl::Time expires_at) {
  MemberFlow* member = flow->member;
  RankState* rank = member->rank;
  flow->tokens += request.cost_tokens;
  member->tokens += request.cost_tokens;
  rank->tokens += request.cost_tokens;
  rank->expirations.insert({expires_at, request.id});
  rank->arrivals.insert({request.arrived, request.id});
  flow_by_id_[request.id] = flow;
  UpdateRoundRobin(flow);
  rate_.SetBacklogged(true, now_);
}

// Removes a request from its flow and from all indexes. Destroys the flow if
// this was its last request.
QueueEntry RankQueue::Impl::RemoveFromFlow(
    CallerFlow* flow,
    std::deque<QueueEntry>::iterator at) {
  QueueEntry taken = std::move(*at);
  flow->requests.erase(at);
  const int64_t cost = taken.request.cost_tokens;
  MemberFlow* member = flow->member;
  RankState* rank = member->rank;
  flow->tokens -= cost;
  member->tokens -= cost;
  rank->tokens -= cost;
  rank->expirations.erase({taken.expires_at, taken.request.id});
  rank->arrivals.erase({taken.request.arrived, taken.request.id});
  flow_by_id_.erase(taken.request.id);
  UpdateRoundRobin(flow);
  EraseIfEmpty(flow);
  rate_.SetBacklogged(waiting() > 0, now_);
  return taken;
}

void RankQueue::Impl::UpdateRoundRobin(CallerFlow* flow) {
  MemberFlow* member = flow->member;
  member->round_robin.Update(flow, flow->tokens, flow->HeadCost());
  member->rank->round_robin.Update(member, member->tokens, member->HeadCost());
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
// Eviction and expiration

// Evicts a request of the lowest rank below `rank` that has any, or else of a
// longer flow of the same rank. Returns false if no request may be evicted.
bool RankQueue::Impl::EvictForCapacity(RankState* rank,
                                       const QueuedRequest& request) {
  for (auto lowest = ranks_.rbegin(); lowest->get() != rank; ++lowest) {
    if ((*lowest)->tokens > 0) {
      EvictNewest(lowest->get());
      return true;
    }
  }
  return EvictFromLargestBacklog(rank, request);
}

// Evicts the newest request of the flow with the largest backlog, if that
// backlog without it is at least as large as the backlog of the flow of
// `request` including it. Each eviction under this condition makes the backlogs
// more equal, so that two flows cannot keep evicting each other's requests.
// Returns whether a request was evicted.
bool RankQueue::Impl::EvictFromLargestBacklog(RankState* rank,
                                              const QueuedRequest& request) {
  if (rank->tokens == 0) {
    return false;
  }
  const MemberFlow* largest_member = rank->round_robin.LargestBacklog();
  const CallerFlow* largest = largest_member->round_robin.LargestBacklog();
  const int64_t cost = request.cost_tokens;
  const int64_t evicted_cost = largest->requests.back().request.cost_tokens;
  int64_t member_tokens = 0;
  int64_t own = 0;
  auto member = rank->members.find(request.member);
  if (member != rank->members.end()) {
    member_tokens = member->second->tokens;
    auto caller = member->second->callers.find(request.caller);
    own = caller == member->second->callers.end() ? 0 : caller->second->tokens;
  }
  const bool same_member = largest_member->name == request.member;
  const bool should_evict =
      same_member
          ? own + cost <= largest->tokens - evicted_cost
          : member_tokens + cost <= largest_member->tokens - evicted_cost;
  if (should_evict) {
    EvictNewest(rank);
  }
  return should_evict;
}

void RankQueue::Impl::EvictNewest(RankState* rank) {
  CallerFlow* flow =
      rank->round_robin.LargestBacklog()->round_robin.LargestBacklog();
  const QueueEntry waiting =
      RemoveFromFlow(flow, std::prev(flow->requests.end()));
  AddRefusal(*rank, waiting.request, RefusalCause::kOverload, now_);
}

void RankQueue::Impl::RemoveExpired(RankState* rank, absl::Time now) {
  while (!rank->expirations.empty() &&
         rank->expirations.begin()->first <= now) {
    const uint64_t id = rank->expirations.begin()->second;
    CallerFlow* flow = flow_by_id_.at(id);
    auto at = std::find_if(
        flow->requests.begin(), flow->requests.end(),
        [id](const QueueEntry& waiting) { return waiting.request.id == id; });
    const QueuedRequest request = RemoveFromFlow(flow, at).request;
    const RefusalCause cause = request.deadline <= now
                                   ? RefusalCause::kDeadline
                                   : RefusalCause::kOverload;
    AddRefusal(*rank, request, cause, now);
  }
}

void RankQueue::Impl::EvictExcess(RankState* rank, absl::Time now) {
  if (IsFifo() || !rate_.IsKnown(now)) {
    return;
  }
  const absl::Duration allowed = AllowedWait(rank->policy, LateWaitFraction());
  while (rank->tokens > 0) {
    const CallerFlow* flow =
        rank->round_robin.LargestBacklog()->round_robin.LargestBacklog();
    const int64_t last = flow->requests.back().request.cost_tokens;
    if (rank->tokens == last ||
        PredictWait(*rank, rank->tokens - last, last, now) <= allowed) {
      return;
    }
    EvictNewest(rank);
  }
}

void RankQueue::Impl::AddRefusal(const RankState& rank,
                                 const QueuedRequest& request,
                                 RefusalCause cause,
                                 absl::Time now) {
  const absl::Duration wait = PredictWait(rank, rank.tokens, 0, now);
  pending_refusals_.push_back({request.id, cause, RetryAfter(rank, wait, now)});
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
  return impl_->Take(now, {.claimable = 1, .idle = 1, .total = 1});
}

std::optional<QueuedRequest> RankQueue::Take(absl::Time now,
                                             const SlotCounts& slots) {
  return impl_->Take(now, slots);
}

bool RankQueue::IsHighestRank(std::string_view rank) const {
  return impl_->IsHighestRank(rank);
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

void RankQueue::OnRequestFinished(int64_t tokens, absl::Time now) {
  impl_->OnRequestFinished(tokens, now);
}

void RankQueue::OnFirstToken(absl::Duration time_to_first_token) {
  impl_->OnFirstToken(time_to_first_token);
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
