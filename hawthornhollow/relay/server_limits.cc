// Why a server gets little more than its limit:
//
// Permits for a server are given by one router, at the rate of the limit, and
// nobody sends without one. Dividing the limit among all routers instead would
// leave each of hundreds with a small fraction of a request, and so with
// nothing, or with one request at once and so hundreds together.
//
// Routers may disagree about the granter: one of them does not reach it and
// asks the second one, or has not yet heard that a router came or went. So a
// router that is asked as the second one, or that became the first one of late,
// grants half (GrantedShare). With one such disagreement at a time the sum is
// one and a half times the limit, and the bursts.
//
// What a server says is ordered by time. A limit counts from when its answer
// arrived. That there is none counts from when the answered request was sent:
// the answer was written after that, but perhaps long before it was read. So an
// answer from before the limit, read late, does not end it.

#include "hawthornhollow/relay/server_limits.h"

#include <algorithm>

#include "hawthornhollow/base/base.h"

namespace hawthornhollow {

bool ServerLimits::Learn(const ServerLimitStatement& statement) {
  const auto found = servers_.find(statement.server);
  if (found == servers_.end()) {
    if (!statement.requests_per_second.has_value())
      return false;
    State& state = servers_[statement.server];
    state.statement = statement;
    state.statement.cold.reset();
    state.used_at = statement.as_of;
    return true;
  }
  ServerLimitStatement& known = found->second.statement;
  if (statement.as_of <= known.as_of)
    return false;
  const bool is_news =
      known.requests_per_second != statement.requests_per_second;
  known = statement;
  known.cold.reset();
  return is_news;
}

std::optional<ServerLimitStatement> ServerLimits::Find(
    std::string_view server) const {
  const auto found = servers_.find(server);
  if (found == servers_.end() ||
      !found->second.statement.requests_per_second.has_value())
    return std::nullopt;
  return found->second.statement;
}

std::vector<ServerLimitStatement> ServerLimits::statements() const {
  std::vector<ServerLimitStatement> statements;
  for (const auto& [server, state] : servers_)
    statements.push_back(state.statement);
  return statements;
}

size_t ServerLimits::limited_count() const {
  return static_cast<size_t>(
      std::count_if(servers_.begin(), servers_.end(), [](const auto& item) {
        return item.second.statement.requests_per_second.has_value();
      }));
}

absl::Time ServerLimits::BlockedUntil(std::string_view server,
                                      int64_t urgency,
                                      absl::Time now) const {
  const auto found = servers_.find(server);
  if (found == servers_.end() || urgency < found->second.blocked_urgency)
    return now;
  return std::max(now, found->second.blocked_until);
}

void ServerLimits::OnDenied(std::string_view server,
                            int64_t urgency,
                            absl::Time until) {
  const auto found = servers_.find(server);
  if (found == servers_.end())
    return;
  found->second.blocked_urgency = urgency;
  found->second.blocked_until = until;
}

double ServerLimits::Capacity(double per_second, double burst_factor) const {
  return std::clamp(per_second * absl::ToDoubleSeconds(options_.burst_time),
                    1.0, options_.max_burst * burst_factor);
}

void ServerLimits::Refill(State* state,
                          double per_second,
                          double capacity,
                          absl::Time now) const {
  if (state->filled == absl::InfinitePast()) {
    state->tokens = 1;
  } else {
    const absl::Duration passed =
        std::max(absl::ZeroDuration(), now - state->filled);
    state->tokens += absl::ToDoubleSeconds(passed) * per_second;
  }
  state->tokens = std::min(state->tokens, capacity);
  state->filled = now;
}

bool ServerLimits::IsOutranked(const State& state,
                               int64_t urgency,
                               absl::Time now) const {
  return now - state.denial.at < options_.urgent_memory &&
         state.denial.urgency < urgency;
}

// The routers that were denied since the last permit come back one after the
// other.
Permit ServerLimits::Deny(State* state,
                          int64_t urgency,
                          double per_second,
                          absl::Time now) const {
  if (now - state->denial.at >= options_.urgent_memory ||
      urgency <= state->denial.urgency)
    state->denial = {.urgency = urgency, .at = now};
  const double missing = std::max(0.0, 1 - state->tokens) +
                         static_cast<double>(state->denied_since++);
  const absl::Duration wait = absl::Seconds(missing / per_second);
  return {.retry_after =
              std::clamp(wait, kMinRetryAfter, options_.max_retry_after)};
}

Permit ServerLimits::Grant(std::string_view server,
                           int64_t urgency,
                           double share,
                           absl::Time now,
                           double burst_factor) {
  const auto found = servers_.find(server);
  if (found == servers_.end() ||
      !found->second.statement.requests_per_second.has_value())
    return {.granted = true};
  State& state = found->second;
  const double per_second = *state.statement.requests_per_second * share;
  const double capacity = Capacity(per_second, burst_factor);
  Refill(&state, per_second, capacity, now);
  const bool is_outranked =
      IsOutranked(state, urgency, now) && !HasSurplus(state, capacity);
  if (state.tokens < 1 || is_outranked)
    return Deny(&state, urgency, per_second, now);
  state.tokens -= 1;
  state.denied_since = 0;
  return {.granted = true};
}

void ServerLimits::KeepServers(const std::vector<std::string>& used,
                               absl::Time now) {
  for (const std::string& server : used) {
    const auto found = servers_.find(server);
    if (found != servers_.end())
      found->second.used_at = now;
  }
  std::erase_if(servers_, [&](const auto& item) {
    return now - item.second.used_at > options_.forget_after;
  });
}

double GrantedShare(bool is_first, absl::Duration since_change) {
  // Records of routers that come and go are read by all in this time.
  constexpr absl::Duration kSettledAfter = absl::Seconds(5);
  constexpr double kHalf = 0.5;
  return is_first && since_change >= kSettledAfter ? 1.0 : kHalf;
}

std::vector<RouterAddress> ChooseGranters(
    std::string_view server,
    const std::vector<RouterAddress>& routers,
    size_t count) {
  const uint64_t server_hash = StableHash(server);
  const auto rank = [&](const RouterAddress& router) {
    return std::pair(StableHash(router.router, server_hash), router.router);
  };
  std::vector<RouterAddress> granters(std::min(count, routers.size()));
  std::partial_sort_copy(routers.begin(), routers.end(), granters.begin(),
                         granters.end(),
                         [&](const RouterAddress& a, const RouterAddress& b) {
                           return rank(a) > rank(b);
                         });
  return granters;
}

}  // namespace hawthornhollow
