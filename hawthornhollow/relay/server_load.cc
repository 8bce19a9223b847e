// Assumed load: long prompts (thousands of tokens) and short ones at the same
// servers, from tens of routers. Processing a long prompt takes hundreds of
// milliseconds, in which everything else on the server is delayed. So the
// choice minimizes the predicted time to the first token plus the delay that
// the prompt causes to others, which is in proportion to the tokens that are
// not cached.
//
// Delay to others. A prompt that takes `work` to process delays
//   - each queued prompt that it overtakes by `work`,
//   - each running request by `work`, of which only the time limit matters, so
//     it counts with the ratio of its target to its time limit,
//   - each prompt that arrives while the queue is not empty by `work`. The
//   queue
//     becomes empty after (wait + work) / (1 - utilization).
// A delay of one millisecond counts in inverse proportion to the target of the
// delayed request. As the utilization grows, so does the last term, so that a
// prompt part that is used often gets a second server before the queue at the
// first one takes as long as processing the part again.

#include "hawthornhollow/relay/server_load.h"
#include "hawthornhollow/relay/prompt_placement.h"

#include <algorithm>
#include <utility>

namespace hawthornhollow {
namespace {

// The prediction of how long a queue lasts is bounded near full utilization.
constexpr double kMaxUtilization = 0.8;
// Used where a request states no target or no time limit.
constexpr absl::Duration kDefaultTarget = absl::Seconds(1);
constexpr absl::Duration kDefaultTimeLimit = absl::Seconds(10);

// Engines process about this many prompt tokens per millisecond. For the cost
// of copies of shared parts, which no particular server pays.
constexpr double kTypicalTokensPerMs = 38;
// A copy of a shared part at a further server costs its processing times these
// weights in addition, times the part's share of the prompt. At the second
// server, other requests find it. Elsewhere they do not look for it, so that
// each of them may have to process it again; there the square of the share
// keeps small parts free to go to any server.
constexpr double kSecondCopyWeight = 3;
constexpr double kLostCopyWeight = 32;
// A first token later than the target has lost most of its value to the
// caller, so what exceeds the target counts with this weight in addition.
constexpr double kLateWeight = 16;

absl::Duration TargetOf(const PlacementRequest& request) {
  return request.latency_target > absl::ZeroDuration() ? request.latency_target
                                                       : kDefaultTarget;
}

absl::Duration TimeLimitOf(const PlacementRequest& request) {
  return request.time_left > absl::ZeroDuration() ? request.time_left
                                                  : kDefaultTimeLimit;
}

int64_t PromptTokensOf(const PlacementRequest& request) {
  int64_t tokens = 0;
  for (const PromptPart& part : request.prompt)
    tokens += part.tokens;
  return std::max(tokens, request.prompt_tokens);
}

// Cost of the bid at an index of the bids.
absl::Duration CostOf(const PlacementBid& bid,
                      size_t index,
                      const PlacementRequest& request) {
  absl::Duration cost = bid.first_token + bid.delay_to_others;
  const int64_t own_tokens =
      request.prompt.empty() ? 0 : request.prompt.back().tokens;
  const auto uncached_shared = static_cast<double>(
      std::max<int64_t>(0, bid.uncached_tokens - own_tokens));
  const double share =
      uncached_shared /
      std::max(1.0, uncached_shared + static_cast<double>(own_tokens));
  double weight = 0;
  if (index >= kSharedPartCandidates)
    weight = kLostCopyWeight * share * share;
  else if (index > 0)
    weight = kSecondCopyWeight * share;
  cost += absl::Milliseconds(weight * uncached_shared / kTypicalTokensPerMs);
  const absl::Duration late = bid.first_token - TargetOf(request);
  return cost + kLateWeight * std::max(absl::ZeroDuration(), late);
}

}  // namespace

ServerLoad::ServerLoad(const ServerLoadOptions& options)
    : options_(options),
      queue_({.prompt_tokens_per_ms = options.prompt_tokens_per_ms,
              .report_delay = options.report_delay}),
      cache_({.memory_tokens = options.memory_tokens,
              .cache_time = options.cache_time}),
      arrived_work_(options.arrival_window),
      arrived_tightness_(options.arrival_window) {}

int64_t ServerLoad::UncachedTokens(const PlacementRequest& request,
                                   absl::Time now) const {
  return PromptTokensOf(request) - cache_.CachedTokens(request.prompt, now);
}

absl::Duration ServerLoad::DelayToOthers(const PlacementRequest& request,
                                         absl::Duration wait,
                                         absl::Duration work,
                                         absl::Time now) const {
  const absl::Duration target = TargetOf(request);
  double delayed = 0;  // requests, weighted
  for (const auto& [id, placed] : requests_) {
    if (placed.has_first_token)
      delayed += absl::FDivDuration(target, placed.time_limit);
  }
  delayed += static_cast<double>(queue_.CountBehind(request.urgency));
  const double utilization =
      std::min(kMaxUtilization, arrived_work_.PerSecond(now));
  const double busy_seconds =
      absl::ToDoubleSeconds(wait + work) / (1 - utilization);
  delayed += busy_seconds * arrived_tightness_.PerSecond(now) *
             absl::ToDoubleSeconds(target);
  return work * delayed;
}

std::vector<PromptPart> ServerLoad::SharedPartsOf(
    const PlacementRequest& request) const {
  if (!options_.shared_parts_held_once || request.prompt.empty())
    return {};
  return {request.prompt.begin(), request.prompt.end() - 1};
}

int64_t ServerLoad::AddedMemory(const PlacementRequest& request) const {
  int64_t added = PromptTokensOf(request) + request.max_output_tokens;
  for (const PromptPart& part : SharedPartsOf(request))
    added -= holders_.contains(part.id) ? part.tokens : 0;
  return added;
}

PlacementBid ServerLoad::Bid(const PlacementRequest& request,
                             absl::Time now) const {
  PlacementBid bid;
  bid.uncached_tokens = UncachedTokens(request, now);
  bid.requests = requests();
  bid.queued_tokens = queue_.QueuedTokens(running_, now);
  const absl::Duration wait = queue_.Wait(request.urgency, running_, now);
  const absl::Duration work = queue_.WorkOf(bid.uncached_tokens, running_);
  bid.first_token = options_.network_time + wait + work;
  bid.delay_to_others = DelayToOthers(request, wait, work, now);
  const bool has_slot = options_.slots == 0 || requests() < options_.slots;
  const bool has_memory =
      options_.memory_tokens == 0 ||
      memory_tokens_ + AddedMemory(request) <= options_.memory_tokens;
  bid.has_room =
      has_slot && has_memory && bid.first_token <= TimeLimitOf(request);
  return bid;
}

PlacementBid ServerLoad::Place(const PlacementRequest& request,
                               std::string_view router,
                               absl::Time now) {
  if (const auto earlier = requests_.find(request.id);
      earlier != requests_.end())
    Erase(earlier, now);
  const PlacementBid bid = Bid(request, now);
  if (!bid.has_room)
    return bid;
  Placed placed = {
      .sequence = ++last_sequence_,
      .router = std::string(router),
      .shared_parts = SharedPartsOf(request),
      .memory_tokens = PromptTokensOf(request) + request.max_output_tokens,
      .output_tokens = request.max_output_tokens,
      .latency_target = TargetOf(request),
      .time_limit = TimeLimitOf(request),
      .sent_at = now,
      .expires_at = now + TimeLimitOf(request) + options_.expire_after};
  for (const PromptPart& part : placed.shared_parts) {
    placed.memory_tokens -= part.tokens;
    if (++holders_[part.id] == 1)
      memory_tokens_ += part.tokens;
  }
  memory_tokens_ += placed.memory_tokens;
  output_tokens_ += placed.output_tokens;
  const double work_seconds =
      absl::ToDoubleSeconds(queue_.WorkOf(bid.uncached_tokens, running_));
  arrived_work_.Add(work_seconds, now);
  arrived_tightness_.Add(1 / absl::ToDoubleSeconds(placed.latency_target), now);
  queue_.Add(placed.sequence, bid.uncached_tokens, request.urgency, now);
  cache_.Use(request.prompt, output_tokens_, now);
  requests_.emplace(request.id, std::move(placed));
  return bid;
}

void ServerLoad::OnFirstToken(std::string_view request,
                              absl::Duration took,
                              absl::Time now) {
  const auto found = requests_.find(request);
  if (found == requests_.end() || found->second.has_first_token)
    return;
  found->second.has_first_token = true;
  // Reports are late; the time that the router measured is not.
  const absl::Time at = std::min(now, found->second.sent_at + took);
  queue_.OnFirstToken(found->second.sequence, running_, at);
  ++running_;
}

ServerLoad::PlacedMap::iterator ServerLoad::Erase(PlacedMap::iterator placed,
                                                  absl::Time now) {
  if (placed->second.has_first_token)
    --running_;
  else
    queue_.Remove(placed->second.sequence, now);
  for (const PromptPart& part : placed->second.shared_parts) {
    const auto held = holders_.find(part.id);
    if (--held->second > 0)
      continue;
    memory_tokens_ -= part.tokens;
    holders_.erase(held);
  }
  memory_tokens_ -= placed->second.memory_tokens;
  output_tokens_ -= placed->second.output_tokens;
  return requests_.erase(placed);
}

void ServerLoad::OnEnd(std::string_view request, absl::Time now) {
  if (const auto found = requests_.find(request); found != requests_.end())
    Erase(found, now);
}

void ServerLoad::DropRouter(std::string_view router) {
  for (auto placed = requests_.begin(); placed != requests_.end();) {
    placed = placed->second.router == router
                 ? Erase(placed, placed->second.sent_at)
                 : std::next(placed);
  }
}

void ServerLoad::Expire(absl::Time now) {
  for (auto placed = requests_.begin(); placed != requests_.end();) {
    placed = placed->second.expires_at <= now ? Erase(placed, now)
                                              : std::next(placed);
  }
}

std::optional<size_t> ChooseBid(const std::vector<PlacementBid>& bids,
                                const PlacementRequest& request) {
  std::optional<size_t> best;
  absl::Duration best_cost = absl::InfiniteDuration();
  for (size_t i = 0; i < bids.size(); ++i) {
    if (!bids[i].has_room)
      continue;
    const absl::Duration cost = CostOf(bids[i], i, request);
    if (!best.has_value() || cost < best_cost) {
      best = i;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace hawthornhollow
