// Load. The load of a server is estimated as the number of requests that this
// router has in flight there, which is exact, plus an estimate of the load from
// other routers. That estimate is the load in the last report, less this
// router's own requests at that time, smoothed over reports. It is halved with
// each half-life since the last report, because reports lag and may stop.
// A share of every server's slots is guaranteed to this router whatever the
// estimated load of other routers is, so that routers that hold all slots
// cannot starve a router that starts. The resulting excess load appears in the
// next reports, and the other routers reduce their load. If several routers saw
// the same slot become free, all of them would fill it. Therefore each router
// uses only its part of the free slots until the next report, in addition to
// the slots that its own requests free.
//
// Choice. Only servers with a free slot are considered. The server preferred by
// the affinity key is chosen unless its load exceeds a bound. Affinity uses
// rendezvous hashing, so that all routers prefer the same server, and a change
// of the servers moves only the keys of the servers that changed. Otherwise two
// servers are drawn at random, and the one with the lower load relative to its
// slots, weighted by its latency relative to the median, is chosen.
//
// Outlier detection. A server that is much slower than the median, or that
// fails most requests, is ejected. Its usable slots are reduced to a few for
// probe requests, whose results decide whether it stays ejected. After that,
// like a new server, it gets its slots back gradually (warm-up). Slots are not
// withheld from servers in warm-up if there is no other server to take the
// load.
//
// Complexity: every operation is linear in the number of servers.

#include <algorithm>
#include <cmath>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/scheduling/scheduling.h"

namespace hawthornhollow {
namespace {

// Minimum number of samples before a server can be ejected, and of servers with
// so many samples before a median is computed.
constexpr int64_t kMinSamples = 5;
constexpr size_t kMinServersForMedian = 3;
// Lower bound on the weight of a new latency or failure sample.
constexpr double kMinSampleWeight = 0.1;
// Weight of a new report in the smoothed load of other routers.
constexpr double kReportWeight = 0.5;
// After each report a router claims this share of its equal part of the free
// slots. If no slot is free, it gives up this share of the slots that it holds
// in excess of an equal part.
constexpr double kFreeSlotClaimShare = 0.7;
constexpr double kExcessReleaseShare = 0.03;
// The share of its slots that a server can use at the start of its warm-up.
constexpr double kWarmUpInitialShare = 0.1;

double HalfLifeDecay(absl::Duration elapsed, absl::Duration half_life) {
  return std::exp2(-absl::FDivDuration(elapsed, half_life));
}

}  // namespace

ServerChooser::ServerChooser(const ServerChooserOptions& options)
    : options_(options), random_(options.seed) {}

// ---------------------------------------------------------------------------
// Membership and reports

void ServerChooser::SetServers(const std::vector<ServerView>& servers,
                               absl::Time now) {
  Servers old = std::move(servers_);
  servers_.clear();
  for (const ServerView& view : servers) {
    State state;
    state.warm_up_start = now;
    auto known = old.find(view.name);
    if (known != old.end()) {
      state = std::move(known->second);
    }
    state.view = view;
    servers_.emplace(view.name, std::move(state));
  }
}

void ServerChooser::OnReport(std::string_view server,
                             int64_t running,
                             absl::Time now,
                             int64_t from_this_router) {
  auto found = servers_.find(server);
  if (found == servers_.end()) {
    return;
  }
  State& state = found->second;
  state.view.reported_running = running;
  const int64_t own = from_this_router < 0 ? state.in_flight : from_this_router;
  state.reported_other_load = std::max<int64_t>(0, running - own);
  const auto sample = static_cast<double>(state.reported_other_load);
  const double before = OtherRoutersLoad(state, now);
  state.other_load = before + kReportWeight * (sample - before);
  state.reported_at = now;
  state.claim_limit = ClaimLimitAfterReport(state);
}

// The maximum number of requests that this router may have in flight on a
// server until the next report. It is the current number plus this router's
// part of the free slots, or less its part of the overload if the server runs
// more requests than it has slots. If no slot is free, a router that holds more
// than an equal part of the slots gives up some, so that routers that hold
// fewer can claim them. The result is rounded up or down at random, so that the
// claims of all routers together are correct on average.
int64_t ServerChooser::ClaimLimitAfterReport(const State& state) {
  const auto slots = static_cast<double>(state.view.slots);
  const auto routers = static_cast<double>(routers_);
  const double free = slots - static_cast<double>(state.view.reported_running);
  double granted_slots = free / routers;
  if (free >= 1) {
    granted_slots *= kFreeSlotClaimShare;
  } else {
    const double excess =
        static_cast<double>(state.in_flight) - slots / routers;
    granted_slots -= kExcessReleaseShare * std::max(excess, 0.0);
  }
  std::uniform_real_distribution<double> fraction(0.0, 1.0);
  return state.in_flight +
         static_cast<int64_t>(std::floor(granted_slots + fraction(random_)));
}

void ServerChooser::SetConnected(std::string_view server,
                                 bool connected,
                                 absl::Time now) {
  auto found = servers_.find(server);
  if (found == servers_.end() || found->second.view.connected == connected) {
    return;
  }
  State& state = found->second;
  state.view.connected = connected;
  if (!connected) {
    state.disconnected_at = now;
    return;
  }
  const bool was_disconnected_long =
      state.disconnected_at != absl::InfinitePast() &&
      now - state.disconnected_at >= options_.warm_up;
  if (was_disconnected_long) {
    state.warm_up_start = now;
  }
}

void ServerChooser::SetLeaving(std::string_view server, bool leaving) {
  auto found = servers_.find(server);
  if (found != servers_.end()) {
    found->second.view.leaving = leaving;
  }
}

void ServerChooser::SetRouters(int64_t routers) {
  routers_ = std::max<int64_t>(routers, 1);
}

// ---------------------------------------------------------------------------
// Slots and load

bool ServerChooser::IgnoresSlots() const {
  return options_.policy == SchedulingPolicy::kLeastLoaded ||
         options_.policy == SchedulingPolicy::kRandom;
}

bool ServerChooser::IsUsable(const State& state) const {
  return state.view.connected && !state.view.leaving && state.view.slots > 0;
}

bool ServerChooser::IsWarmingUp(const State& state, absl::Time now) const {
  return now < state.warm_up_start + options_.warm_up;
}

bool ServerChooser::HasWarmServer(absl::Time now) const {
  return std::any_of(servers_.begin(), servers_.end(), [&](const auto& entry) {
    const State& state = entry.second;
    return IsUsable(state) && !IsWarmingUp(state, now) &&
           now >= state.ejected_until;
  });
}

// The slots of a server that may be in use now, by all routers together.
// `limit_warm_up` says whether servers in warm-up get only part of their slots.
double ServerChooser::UsableSlots(const State& state,
                                  bool limit_warm_up,
                                  absl::Time now) const {
  if (!IsUsable(state)) {
    return 0;
  }
  const auto slots = static_cast<double>(state.view.slots);
  double share = 1;
  if (now < state.ejected_until) {
    share = options_.probe_slot_share;
  } else if (limit_warm_up && IsWarmingUp(state, now)) {
    const double elapsed =
        absl::FDivDuration(now - state.warm_up_start, options_.warm_up);
    share = std::clamp(elapsed, kWarmUpInitialShare, 1.0);
  }
  return std::max(1.0, std::floor(slots * share));
}

// The estimated number of requests in flight from other routers.
double ServerChooser::OtherRoutersLoad(const State& state,
                                       absl::Time now) const {
  if (state.reported_at == absl::InfinitePast()) {
    return 0;
  }
  const absl::Duration age =
      std::max(now - state.reported_at, absl::ZeroDuration());
  return state.other_load * HalfLifeDecay(age, options_.half_life);
}

double ServerChooser::EstimatedLoad(const State& state, absl::Time now) const {
  return static_cast<double>(state.in_flight) + OtherRoutersLoad(state, now);
}

double ServerChooser::ClaimableSlotsOf(const State& state,
                                       bool limit_warm_up,
                                       absl::Time now) const {
  if (IgnoresSlots()) {
    return IsUsable(state) ? 1 : 0;
  }
  const double slots = UsableSlots(state, limit_warm_up, now);
  const double own =
      std::max(1.0, std::floor(options_.guaranteed_slot_share * slots));
  const auto in_flight = static_cast<double>(state.in_flight);
  const bool fresh = now - state.reported_at < options_.half_life;
  double upper_limit = slots - std::round(OtherRoutersLoad(state, now));
  if (routers_ > 1 && fresh) {
    upper_limit = static_cast<double>(state.claim_limit);
  }
  return std::max(
      0.0, std::clamp(upper_limit, std::min(own, slots), slots) - in_flight);
}

int64_t ServerChooser::ClaimableSlots(absl::Time now) const {
  const bool limit_warm_up = HasWarmServer(now);
  double free = 0;
  for (const auto& [name, state] : servers_) {
    free += ClaimableSlotsOf(state, limit_warm_up, now);
  }
  return static_cast<int64_t>(free);
}

// The slots of a server that are idle for any router. Without a recent report,
// only the slots that this router may claim.
int64_t ServerChooser::IdleSlotsOf(const State& state,
                                   bool limit_warm_up,
                                   absl::Time now) const {
  if (IgnoresSlots() || now - state.reported_at >= options_.half_life) {
    return static_cast<int64_t>(ClaimableSlotsOf(state, limit_warm_up, now));
  }
  const auto slots =
      static_cast<int64_t>(UsableSlots(state, limit_warm_up, now));
  return std::max<int64_t>(0,
                           slots - state.in_flight - state.reported_other_load);
}

int64_t ServerChooser::IdleSlots(absl::Time now) const {
  const bool limit_warm_up = HasWarmServer(now);
  int64_t idle = 0;
  for (const auto& [name, state] : servers_) {
    idle += IdleSlotsOf(state, limit_warm_up, now);
  }
  return idle;
}

bool ServerChooser::HasFreeSlot(absl::Time now) const {
  return ClaimableSlots(now) > 0;
}

int64_t ServerChooser::InFlight(std::string_view server) const {
  auto found = servers_.find(server);
  return found == servers_.end() ? 0 : found->second.in_flight;
}

int64_t ServerChooser::InFlight() const {
  int64_t in_flight = 0;
  for (const auto& [name, state] : servers_) {
    in_flight += state.in_flight;
  }
  return in_flight;
}

// ---------------------------------------------------------------------------
// Choice

// Returns the servers that have both claimable and idle slots. If there are
// none, returns those with only idle slots, if the scope allows them and any
// exist, or else those with only claimable slots.
std::vector<ServerChooser::Servers::iterator> ServerChooser::Candidates(
    const std::set<std::string>& avoid,
    absl::Time now,
    ChoiceScope scope) {
  const bool limit_warm_up = HasWarmServer(now);
  std::vector<Servers::iterator> both;
  std::vector<Servers::iterator> claimable;
  std::vector<Servers::iterator> idle;
  for (auto it = servers_.begin(); it != servers_.end(); ++it) {
    if (avoid.contains(it->first)) {
      continue;
    }
    const bool has_room = ClaimableSlotsOf(it->second, limit_warm_up, now) >= 1;
    const bool is_idle = IdleSlotsOf(it->second, limit_warm_up, now) >= 1;
    if (has_room && is_idle) {
      both.push_back(it);
    } else if (has_room) {
      claimable.push_back(it);
    } else if (is_idle && scope == ChoiceScope::kAnyIdle) {
      idle.push_back(it);
    }
  }
  if (!both.empty()) {
    return both;
  }
  return idle.empty() ? claimable : idle;
}

std::optional<std::string> ServerChooser::Choose(
    std::string_view affinity,
    const std::set<std::string>& avoid,
    absl::Time now,
    ChoiceScope scope) {
  const std::vector<Servers::iterator> candidates =
      Candidates(avoid, now, scope);
  if (candidates.empty()) {
    return std::nullopt;
  }
  auto chosen = servers_.end();
  if (IgnoresSlots()) {
    chosen = ChooseForBaselinePolicy(candidates);
  } else if (!affinity.empty()) {
    chosen = PreferredByAffinity(affinity, candidates, now);
  }
  if (chosen == servers_.end()) {
    chosen = BetterOfTwoRandom(candidates, now);
  }
  ++chosen->second.in_flight;
  return chosen->first;
}

// Returns the candidate with the highest rendezvous hash among those within the
// load bound, or servers_.end() if there is none.
ServerChooser::Servers::iterator ServerChooser::PreferredByAffinity(
    std::string_view affinity,
    const std::vector<Servers::iterator>& candidates,
    absl::Time now) {
  double load = 1;  // counts the request for which a server is chosen
  double slots = 0;
  for (const auto& [name, state] : servers_) {
    if (IsUsable(state)) {
      load += EstimatedLoad(state, now);
      slots += static_cast<double>(state.view.slots);
    }
  }
  auto best = servers_.end();
  uint64_t best_hash = 0;
  for (auto candidate : candidates) {
    const State& state = candidate->second;
    const auto own_slots = static_cast<double>(state.view.slots);
    const double bound =
        std::max(std::ceil(options_.bounded_load * load * own_slots / slots),
                 own_slots * options_.affinity_free_share);
    if (EstimatedLoad(state, now) + 1 > bound) {
      continue;
    }
    const uint64_t hash = StableHash(affinity, StableHash(candidate->first));
    if (best == servers_.end() || hash > best_hash) {
      best = candidate;
      best_hash = hash;
    }
  }
  return best;
}

// The load per slot that the server would have with one more request,
// multiplied by its latency relative to the median. Lower is better.
double ServerChooser::RelativeCost(const State& state, absl::Time now) const {
  const double median = MedianFirstToken();
  double slowness = 1;
  if (median > 0 && state.first_tokens >= kMinSamples) {
    slowness = std::max(1.0, state.first_token_s / median);
  }
  return slowness * (EstimatedLoad(state, now) + 1) /
         static_cast<double>(state.view.slots);
}

ServerChooser::Servers::iterator ServerChooser::BetterOfTwoRandom(
    const std::vector<Servers::iterator>& candidates,
    absl::Time now) {
  const size_t count = candidates.size();
  if (count == 1) {
    return candidates.front();
  }
  const size_t first = random_() % count;
  const size_t second = (first + 1 + random_() % (count - 1)) % count;
  const double first_cost = RelativeCost(candidates[first]->second, now);
  const double second_cost = RelativeCost(candidates[second]->second, now);
  return candidates[second_cost < first_cost ? second : first];
}

ServerChooser::Servers::iterator ServerChooser::ChooseForBaselinePolicy(
    const std::vector<Servers::iterator>& candidates) {
  const size_t first = random_() % candidates.size();
  if (options_.policy == SchedulingPolicy::kRandom) {
    return candidates[first];
  }
  auto best = candidates[first];
  for (auto candidate : candidates) {
    if (candidate->second.in_flight < best->second.in_flight) {
      best = candidate;
    }
  }
  return best;
}

// ---------------------------------------------------------------------------
// Outcomes and ejection

void ServerChooser::OnFirstToken(std::string_view server,
                                 absl::Duration time_to_first_token,
                                 absl::Time now) {
  auto found = servers_.find(server);
  if (found == servers_.end()) {
    return;
  }
  State& state = found->second;
  state.first_token_s =
      Smoothed(state.first_token_s, absl::ToDoubleSeconds(time_to_first_token),
               state.first_token_at, now);
  state.first_token_at = now;
  ++state.first_tokens;
  EjectIfOutlier(state, now);
}

void ServerChooser::OnFinished(std::string_view server,
                               bool failed,
                               absl::Time now) {
  auto found = servers_.find(server);
  if (found == servers_.end()) {
    return;
  }
  State& state = found->second;
  state.in_flight = std::max<int64_t>(0, state.in_flight - 1);
  state.failures =
      Smoothed(state.failures, failed ? 1 : 0, state.outcome_at, now);
  state.outcome_at = now;
  ++state.outcomes;
  EjectIfOutlier(state, now);
}

bool ServerChooser::IsEjected(std::string_view server, absl::Time now) const {
  auto found = servers_.find(server);
  return found != servers_.end() && now < found->second.ejected_until;
}

// Exponential smoothing in which the weight of the new sample grows with the
// time since the last one. The first sample is used unchanged.
double ServerChooser::Smoothed(double old_value,
                               double sample,
                               absl::Time sampled_at,
                               absl::Time now) const {
  if (sampled_at == absl::InfinitePast()) {
    return sample;
  }
  const absl::Duration age = std::max(now - sampled_at, absl::ZeroDuration());
  const double weight =
      std::max(kMinSampleWeight, 1 - HalfLifeDecay(age, options_.half_life));
  return old_value + weight * (sample - old_value);
}

// The median time to first token, in seconds, over servers with enough samples;
// 0 if there are too few such servers.
double ServerChooser::MedianFirstToken() const {
  std::vector<double> values;
  for (const auto& [name, state] : servers_) {
    if (state.first_tokens >= kMinSamples) {
      values.push_back(state.first_token_s);
    }
  }
  if (values.size() < kMinServersForMedian) {
    return 0;
  }
  auto middle = values.begin() + static_cast<int64_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

bool ServerChooser::IsOutlier(const State& state) const {
  if (state.outcomes >= kMinSamples &&
      state.failures > options_.max_failure_share) {
    return true;
  }
  const double median = MedianFirstToken();
  return median > 0 && state.first_tokens >= kMinSamples &&
         state.first_token_s > options_.slow_ratio * median;
}

void ServerChooser::EjectIfOutlier(State& state, absl::Time now) {
  if (!IsOutlier(state)) {
    return;
  }
  const bool ejected = now < state.ejected_until;
  if (!ejected) {
    const auto already_ejected = std::count_if(
        servers_.begin(), servers_.end(),
        [&](const auto& entry) { return now < entry.second.ejected_until; });
    const double upper_limit =
        options_.max_ejected_share * static_cast<double>(servers_.size());
    if (static_cast<double>(already_ejected + 1) > upper_limit) {
      return;
    }
  }
  state.ejected_until = now + options_.ejection_duration;
  state.warm_up_start = state.ejected_until;
}

}  // namespace hawthornhollow
