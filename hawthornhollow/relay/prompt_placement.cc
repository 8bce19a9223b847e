// Assumed load: few, long prompts that share long parts. Processing a prompt
// from scratch takes hundreds of milliseconds and delays everything else on
// that server. So a request goes to a server where its shared part was
// processed before, unless the prompts already waiting there take longer than
// processing that part again. Both are expressed as predicted wait for the
// first token, so that no threshold between cache affinity and load balance is
// needed.
//
// Routers do not see one another's requests. They agree on a preferred server
// for each shared part by rendezvous hashing over the usable servers, and
// assume that the other routers sent it there too. Parts that a router itself
// sent elsewhere are remembered for `cache_time`.
//
// First tokens show the speed of each server, and hidden queues: if one is
// overdue, prompts of other routers are ahead of it, and it is assumed to take
// as long again (see prefill_queue.cc).
//
// The time for a choice is linear in the number of servers.

#include <algorithm>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/relay.h"

namespace hawthornhollow {
namespace {

// Number of cached parts of a server above which expired ones are removed.
constexpr size_t kMaxCachedParts = 512;
constexpr double kFailureSampleWeight = 0.25;

}  // namespace

std::string PreferenceKey(const std::vector<PromptPart>& prompt) {
  if (prompt.empty())
    return "";
  return prompt.size() == 1 ? prompt[0].id : prompt[prompt.size() - 2].id;
}

PromptPlacement::PromptPlacement(const PlacementOptions& options)
    : options_(options) {}

void PromptPlacement::SetServers(const std::vector<RelayServer>& servers) {
  std::set<std::string> present;
  for (const RelayServer& server : servers) {
    present.insert(server.id);
    const auto [found, is_new] = servers_.try_emplace(
        server.id, PrefillQueueOptions{.prompt_tokens_per_ms =
                                           options_.prompt_tokens_per_ms});
    found->second.server = server;
    if (is_new) {
      found->second.registration = ++last_registration_;
      found->second.id_hash = StableHash(server.id);
    }
  }
  std::erase_if(servers_, [&](const auto& item) {
    return !present.contains(item.first);
  });
}

double PromptPlacement::FailureShare(const State& state, absl::Time now) const {
  if (state.failures == 0)
    return 0;
  return state.failures *
         DecayFactor(now - state.failures_at, options_.failure_decay);
}

std::vector<PromptPlacement::State*> PromptPlacement::Candidates(
    const PlacementQuery& query,
    absl::Time now) {
  std::vector<State*> usable;
  std::vector<State*> suspect;
  for (auto& [id, state] : servers_) {
    if (state.server.service != query.service || state.server.leaving ||
        query.excluded_servers.contains(id) || IsEvacuated(state.server))
      continue;
    (state.suspect_until > now ? suspect : usable).push_back(&state);
  }
  return usable.empty() ? suspect : usable;
}

int64_t PromptPlacement::UncachedTokens(const State& state,
                                        bool is_preferred,
                                        const PlacementQuery& query,
                                        int64_t tokens,
                                        absl::Time now) const {
  // Fast path: this holds for most servers of a large deployment.
  if (state.cached.empty() && !is_preferred)
    return tokens;
  // A cache holds a prefix of the prompt, so the first part that is not cached
  // ends it.
  int64_t cached = 0;
  for (size_t i = 0; i < query.prompt.size(); ++i) {
    const PromptPart& part = query.prompt[i];
    const auto found = state.cached.find(part.id);
    const bool used_here = found != state.cached.end() &&
                           now - found->second < options_.cache_time;
    const bool shared_on_preferred =
        is_preferred && i + 1 < query.prompt.size();
    if (!used_here && !shared_on_preferred)
      break;
    cached += part.tokens;
  }
  return tokens - cached;
}

absl::Duration PromptPlacement::PrefillWait(const State& state,
                                            int64_t uncached,
                                            const PlacementQuery& query,
                                            absl::Time now) const {
  if (options_.learn_speed) {
    const int64_t shared =
        query.prompt.empty() ? 0 : uncached - query.prompt.back().tokens;
    return state.queue.Wait(/*urgency=*/0, state.in_flight, now) +
           state.queue.WorkOf(uncached, state.in_flight) +
           options_.copy_weight * state.queue.WorkOf(shared, /*running=*/0);
  }
  const double tokens =
      static_cast<double>(state.unread_tokens + std::max<int64_t>(0, uncached));
  // Computing durations from integers is several times as fast as from doubles.
  constexpr double kNanosecondsPerMillisecond = 1e6;
  return absl::Nanoseconds(static_cast<int64_t>(
      tokens / options_.prompt_tokens_per_ms * kNanosecondsPerMillisecond));
}

absl::Duration PromptPlacement::PredictedWait(const State& state,
                                              int64_t uncached,
                                              const PlacementQuery& query,
                                              absl::Time now) const {
  absl::Duration wait = PrefillWait(state, uncached, query, now);
  if (state.in_flight > 0)
    wait += options_.wait_per_request * state.in_flight;
  if (state.failures > 0)
    wait += options_.failure_penalty * FailureShare(state, now);
  if (state.server.failure_domain != query.failure_domain)
    wait += options_.cross_domain_penalty;
  return wait;
}

absl::StatusOr<PromptPlacement::Choice> PromptPlacement::Propose(
    const PlacementQuery& query,
    absl::Time now) {
  const std::vector<State*> candidates = Candidates(query, now);
  const std::string preference_key = PreferenceKey(query.prompt);
  const State* preferred = nullptr;
  uint64_t preferred_score = 0;
  for (const State* state : candidates) {
    const uint64_t score = StableHash(preference_key, state->id_hash);
    if (preferred == nullptr || score > preferred_score) {
      preferred = state;
      preferred_score = score;
    }
  }
  int64_t tokens = 0;
  for (const PromptPart& part : query.prompt)
    tokens += part.tokens;
  tokens = std::max(query.prompt_tokens, tokens);
  State* best = nullptr;
  int64_t best_uncached = 0;
  absl::Duration best_wait = absl::InfiniteDuration();
  for (State* state : candidates) {
    const bool is_preferred = !preference_key.empty() && state == preferred;
    const int64_t uncached =
        UncachedTokens(*state, is_preferred, query, tokens, now);
    const absl::Duration wait = PredictedWait(*state, uncached, query, now);
    if (wait < best_wait) {
      best = state;
      best_wait = wait;
      best_uncached = uncached;
    }
  }
  if (best == nullptr) {
    return ErrorAt(absl::StatusCode::kNotFound, "placement.choose",
                   query.service, "no server can be used");
  }
  return Choice{.server = best->server,
                .uncached_tokens = best_uncached,
                .predicted_wait = best_wait,
                .registration = best->registration,
                .sequence = ++last_sequence_};
}

void PromptPlacement::Begin(const Choice& choice,
                            const PlacementQuery& query,
                            absl::Time now) {
  State* const state = Find(choice);
  if (state == nullptr)
    return;
  ++state->in_flight;
  state->unread_tokens += choice.uncached_tokens;
  state->queue.Add(choice.sequence, choice.uncached_tokens, /*urgency=*/0, now);
  RecordCachedParts(state, query, now);
}

absl::StatusOr<PromptPlacement::Choice> PromptPlacement::Choose(
    const PlacementQuery& query,
    absl::Time now) {
  auto choice = Propose(query, now);
  if (choice.ok())
    Begin(*choice, query, now);
  return choice;
}

void PromptPlacement::RecordCachedParts(State* state,
                                        const PlacementQuery& query,
                                        absl::Time now) {
  for (const PromptPart& part : query.prompt)
    state->cached[part.id] = now;
  if (state->cached.size() > kMaxCachedParts) {
    std::erase_if(state->cached, [&](const auto& item) {
      return now - item.second >= options_.cache_time;
    });
  }
}

PromptPlacement::State* PromptPlacement::Find(const Choice& choice) {
  const auto found = servers_.find(choice.server.id);
  if (found == servers_.end() ||
      found->second.registration != choice.registration)
    return nullptr;
  return &found->second;
}

void PromptPlacement::OnFirstToken(const Choice& choice, absl::Time now) {
  State* const state = Find(choice);
  if (state == nullptr)
    return;
  state->unread_tokens -= choice.uncached_tokens;
  state->queue.OnFirstToken(choice.sequence, state->in_flight, now);
}

void PromptPlacement::OnFinished(const Choice& choice,
                                 bool had_first_token,
                                 Outcome outcome,
                                 absl::Time now) {
  State* const found = Find(choice);
  if (found == nullptr)
    return;
  State& state = *found;
  --state.in_flight;
  if (!had_first_token) {
    state.unread_tokens -= choice.uncached_tokens;
    state.queue.Remove(choice.sequence, now);
  }
  if (outcome == Outcome::kAbandoned)
    return;
  const double sample = outcome == Outcome::kAnswered ? 0.0 : 1.0;
  const double share = FailureShare(state, now);
  state.failures = share + kFailureSampleWeight * (sample - share);
  state.failures_at = now;
  if (outcome == Outcome::kNoResponse) {
    state.suspect_for = std::clamp(state.suspect_for * 2, options_.suspect_min,
                                   options_.suspect_max);
    state.suspect_until = now + state.suspect_for;
  } else {
    state.suspect_for = absl::ZeroDuration();
    state.suspect_until = absl::InfinitePast();
  }
}

void PromptPlacement::SetLeaving(const Choice& choice) {
  State* const state = Find(choice);
  if (state != nullptr &&
      state->server.revision.born_ms <= choice.server.revision.born_ms)
    state->server.leaving = true;
}

std::vector<std::string> PromptPlacement::ServersOf(
    std::string_view service) const {
  std::vector<std::string> ids;
  for (const auto& [id, state] : servers_) {
    if (state.server.service == service && !state.server.leaving &&
        !IsEvacuated(state.server))
      ids.push_back(id);
  }
  return ids;
}

bool PromptPlacement::IsServiceEvacuated(std::string_view service) const {
  // Fast path: evacuations are rare.
  if (evacuated_domains_.empty())
    return false;
  bool has_evacuated = false;
  for (const auto& [id, state] : servers_) {
    if (state.server.service != service || state.server.leaving)
      continue;
    if (!IsEvacuated(state.server))
      return false;
    has_evacuated = true;
  }
  return has_evacuated;
}

int64_t PromptPlacement::in_flight(std::string_view server) const {
  const auto found = servers_.find(server);
  return found == servers_.end() ? 0 : found->second.in_flight;
}

bool PromptPlacement::IsSuspect(std::string_view server, absl::Time now) const {
  const auto found = servers_.find(server);
  return found != servers_.end() && found->second.suspect_until > now;
}

}  // namespace hawthornhollow
