// Load. A server's load is what this router has in flight there, which is known
// at once, plus an estimate of the other routers' part: the last report less
// what was in flight here when it came, smoothed, and halved with each
// half-life since, because reports lag and may stop. So that routers which hold
// all slots cannot starve one that starts, a part of every server's slots is
// out of reach of the others' estimated load; the excess shows up in the next
// reports and the others draw back. Routers that all see a slot become free
// would all fill it; so between two reports each claims only its part of the
// free slots, besides those that its own requests leave.
//
// Choice. Among servers with room: the one favoured by the affinity key
// (rendezvous hashing: the same on every router, and a change of servers moves
// only the keys of the servers that changed) unless it is loaded beyond the
// bound; otherwise the better of two drawn at random by relative load, weighted
// by how much slower than the median it answers.
//
// Slots. A server that answers much slower than the median, or fails most
// requests, is ejected: its slots shrink to a few probes, whose answers decide
// whether it stays ejected. Then, like a server that is new, it gets its slots
// gradually. No slots are withheld from new servers if there are no settled
// ones to take the load instead.
//
// Bounds: every operation is linear in the servers of one model.

#include <algorithm>
#include <cmath>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/scheduling/scheduling.h"

namespace hawthornhollow {
namespace {

// Samples of a server before it is judged, and servers for a median.
constexpr int64_t kMinSamples = 5;
constexpr size_t kMinServersForMedian = 3;
// The least weight of a new sample.
constexpr double kMinSampleWeight = 0.1;
constexpr double kReportWeight = 0.5;
// The share of its part of the free slots that a router claims per report, and
// the share of its excess over an equal part that it gives back.
constexpr double kClaimShare = 0.7;
constexpr double kGiveBackShare = 0.03;
// The share of its slots with which a ramp starts.
constexpr double kRampStart = 0.1;

double HalfLivesLeft(absl::Duration elapsed, absl::Duration half_life) {
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
    state.ramp_from = now;
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
                             int64_t from_here) {
  auto found = servers_.find(server);
  if (found == servers_.end()) {
    return;
  }
  State& state = found->second;
  state.view.reported_running = running;
  const int64_t own = from_here < 0 ? state.in_flight : from_here;
  state.others_reported = std::max<int64_t>(0, running - own);
  const auto sample = static_cast<double>(state.others_reported);
  const double before = OthersOf(state, now);
  state.others = before + kReportWeight * (sample - before);
  state.reported_at = now;
  state.claim = ClaimAfterReport(state);
}

// What is in flight plus this router's part of the free slots, or less its part
// of what is too much. Where nothing is free, a router that holds more than an
// equal part gives some of it back, for routers that hold less to claim. A
// fraction is rounded up or down at random, so that what the routers claim
// together is right on average.
int64_t ServerChooser::ClaimAfterReport(const State& state) {
  const auto slots = static_cast<double>(state.view.slots);
  const auto routers = static_cast<double>(routers_);
  const double free = slots - static_cast<double>(state.view.reported_running);
  double part = free / routers;
  if (free >= 1) {
    part *= kClaimShare;
  } else {
    const double excess =
        static_cast<double>(state.in_flight) - slots / routers;
    part -= kGiveBackShare * std::max(excess, 0.0);
  }
  std::uniform_real_distribution<double> fraction(0.0, 1.0);
  return state.in_flight +
         static_cast<int64_t>(std::floor(part + fraction(random_)));
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
  const bool long_gone = state.disconnected_at != absl::InfinitePast() &&
                         now - state.disconnected_at >= options_.warm_up;
  if (long_gone) {
    state.ramp_from = now;
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

bool ServerChooser::IsRamping(const State& state, absl::Time now) const {
  return now < state.ramp_from + options_.warm_up;
}

bool ServerChooser::AnySettled(absl::Time now) const {
  return std::any_of(servers_.begin(), servers_.end(), [&](const auto& entry) {
    const State& state = entry.second;
    return IsUsable(state) && !IsRamping(state, now) &&
           now >= state.ejected_until;
  });
}

// The slots that may be used now. `ramps`: whether new servers are held back.
double ServerChooser::SlotsOf(const State& state,
                              bool ramps,
                              absl::Time now) const {
  if (!IsUsable(state)) {
    return 0;
  }
  const auto slots = static_cast<double>(state.view.slots);
  double share = 1;
  if (now < state.ejected_until) {
    share = options_.probe_share;
  } else if (ramps && IsRamping(state, now)) {
    const double elapsed =
        absl::FDivDuration(now - state.ramp_from, options_.warm_up);
    share = std::clamp(elapsed, kRampStart, 1.0);
  }
  return std::max(1.0, std::floor(slots * share));
}

// The estimated load from other routers.
double ServerChooser::OthersOf(const State& state, absl::Time now) const {
  if (state.reported_at == absl::InfinitePast()) {
    return 0;
  }
  const absl::Duration age =
      std::max(now - state.reported_at, absl::ZeroDuration());
  return state.others * HalfLivesLeft(age, options_.half_life);
}

double ServerChooser::LoadOf(const State& state, absl::Time now) const {
  return static_cast<double>(state.in_flight) + OthersOf(state, now);
}

double ServerChooser::RoomOf(const State& state,
                             bool ramps,
                             absl::Time now) const {
  if (IgnoresSlots()) {
    return IsUsable(state) ? 1 : 0;
  }
  const double slots = SlotsOf(state, ramps, now);
  const double own = std::max(1.0, std::floor(options_.own_share * slots));
  const auto in_flight = static_cast<double>(state.in_flight);
  const bool fresh = now - state.reported_at < options_.half_life;
  double most = slots - std::round(OthersOf(state, now));
  if (routers_ > 1 && fresh) {
    most = static_cast<double>(state.claim);
  }
  return std::max(0.0,
                  std::clamp(most, std::min(own, slots), slots) - in_flight);
}

int64_t ServerChooser::FreeSlots(absl::Time now) const {
  const bool ramps = AnySettled(now);
  double free = 0;
  for (const auto& [name, state] : servers_) {
    free += RoomOf(state, ramps, now);
  }
  return static_cast<int64_t>(free);
}

// A report that has grown old counts for nothing: the router then has only its
// claim.
int64_t ServerChooser::IdleOf(const State& state,
                              bool ramps,
                              absl::Time now) const {
  if (IgnoresSlots() || now - state.reported_at >= options_.half_life) {
    return static_cast<int64_t>(RoomOf(state, ramps, now));
  }
  const auto slots = static_cast<int64_t>(SlotsOf(state, ramps, now));
  return std::max<int64_t>(0, slots - state.in_flight - state.others_reported);
}

int64_t ServerChooser::IdleSlots(absl::Time now) const {
  const bool ramps = AnySettled(now);
  int64_t idle = 0;
  for (const auto& [name, state] : servers_) {
    idle += IdleOf(state, ramps, now);
  }
  return idle;
}

bool ServerChooser::HasRoom(absl::Time now) const {
  return FreeSlots(now) > 0;
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

// Servers that are claimable and idle; without any, those that are idle, if the
// scope allows it, or else claimable.
std::vector<ServerChooser::Servers::iterator> ServerChooser::Candidates(
    const std::set<std::string>& avoid,
    absl::Time now,
    ChoiceScope scope) {
  const bool ramps = AnySettled(now);
  std::vector<Servers::iterator> both;
  std::vector<Servers::iterator> claimable;
  std::vector<Servers::iterator> idle;
  for (auto it = servers_.begin(); it != servers_.end(); ++it) {
    if (avoid.contains(it->first)) {
      continue;
    }
    const bool has_room = RoomOf(it->second, ramps, now) >= 1;
    const bool is_idle = IdleOf(it->second, ramps, now) >= 1;
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
    chosen = ChooseByBaseline(candidates);
  } else if (!affinity.empty()) {
    chosen = Favoured(affinity, candidates, now);
  }
  if (chosen == servers_.end()) {
    chosen = LeastLoaded(candidates, now);
  }
  ++chosen->second.in_flight;
  return chosen->first;
}

// The candidate with the highest hash among those within the load bound;
// end() if there is none.
ServerChooser::Servers::iterator ServerChooser::Favoured(
    std::string_view affinity,
    const std::vector<Servers::iterator>& candidates,
    absl::Time now) {
  double load = 1;  // with the request that is being placed
  double slots = 0;
  for (const auto& [name, state] : servers_) {
    if (IsUsable(state)) {
      load += LoadOf(state, now);
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
    if (LoadOf(state, now) + 1 > bound) {
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

// What a request placed on the server may expect, relative to other servers.
double ServerChooser::Weight(const State& state, absl::Time now) const {
  const double median = MedianFirstToken();
  double slowness = 1;
  if (median > 0 && state.first_tokens >= kMinSamples) {
    slowness = std::max(1.0, state.first_token_s / median);
  }
  return slowness * (LoadOf(state, now) + 1) /
         static_cast<double>(state.view.slots);
}

ServerChooser::Servers::iterator ServerChooser::LeastLoaded(
    const std::vector<Servers::iterator>& candidates,
    absl::Time now) {
  const size_t count = candidates.size();
  if (count == 1) {
    return candidates.front();
  }
  const size_t first = random_() % count;
  const size_t second = (first + 1 + random_() % (count - 1)) % count;
  const double first_weight = Weight(candidates[first]->second, now);
  const double second_weight = Weight(candidates[second]->second, now);
  return candidates[second_weight < first_weight ? second : first];
}

ServerChooser::Servers::iterator ServerChooser::ChooseByBaseline(
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
                                 absl::Duration took,
                                 absl::Time now) {
  auto found = servers_.find(server);
  if (found == servers_.end()) {
    return;
  }
  State& state = found->second;
  state.first_token_s =
      Smoothed(state.first_token_s, absl::ToDoubleSeconds(took),
               state.first_token_at, now);
  state.first_token_at = now;
  ++state.first_tokens;
  EjectIfSick(state, now);
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
  EjectIfSick(state, now);
}

bool ServerChooser::IsEjected(std::string_view server, absl::Time now) const {
  auto found = servers_.find(server);
  return found != servers_.end() && now < found->second.ejected_until;
}

// Replaces `old_value` by `sample` in proportion to the time since the last
// sample; wholly for the first.
double ServerChooser::Smoothed(double old_value,
                               double sample,
                               absl::Time sampled_at,
                               absl::Time now) const {
  if (sampled_at == absl::InfinitePast()) {
    return sample;
  }
  const absl::Duration age = std::max(now - sampled_at, absl::ZeroDuration());
  const double weight =
      std::max(kMinSampleWeight, 1 - HalfLivesLeft(age, options_.half_life));
  return old_value + weight * (sample - old_value);
}

// The median over servers with enough samples; 0 if they are too few.
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

bool ServerChooser::IsSick(const State& state) const {
  if (state.outcomes >= kMinSamples &&
      state.failures > options_.failure_share) {
    return true;
  }
  const double median = MedianFirstToken();
  return median > 0 && state.first_tokens >= kMinSamples &&
         state.first_token_s > options_.slow_ratio * median;
}

void ServerChooser::EjectIfSick(State& state, absl::Time now) {
  if (!IsSick(state)) {
    return;
  }
  const bool ejected = now < state.ejected_until;
  if (!ejected) {
    const auto others = std::count_if(
        servers_.begin(), servers_.end(),
        [&](const auto& entry) { return now < entry.second.ejected_until; });
    const double most =
        options_.max_ejected * static_cast<double>(servers_.size());
    if (static_cast<double>(others + 1) > most) {
      return;
    }
  }
  state.ejected_until = now + options_.ejection;
  state.ramp_from = state.ejected_until;
}

}  // namespace hawthornhollow
