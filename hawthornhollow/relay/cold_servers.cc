// Why a cold server gets no more than one and a half times its rate r, and five
// requests, in any second:
//
// Three routers are a server's granters (ColdGranters), and each gives one
// third of r, whatever the others do and whoever is reachable: in a second at
// most 1.25 + r / 3. A router gives permits only if it takes itself for one of
// the three. Routers that know the same records choose the same, whether or not
// the store can be reached now. So with c routers that have come or gone and of
// which not all granters know yet, at most 3 + c routers give permits, together
//
//   (3 + c) * (1.25 + r / 3)      3.75 + r for c = 0, 5 + 1.34 r for c = 1
//
// What is left to 5 + 1.5 r is for the delay between a permit and its use: a
// tenth of a second of r (ServerLimitsControllerOptions::max_permit_age).
//
// A router that starts for the first time gives nothing until the others know
// it, so c is not zero only while one is cut off from the store, or goes.
//
// A granter that is killed gives nothing for a while after its start, so both
// incarnations together stay within the bound. One that is suspended gathers no
// more than one permit. A permit that was asked for long ago is not used, so
// those of a suspended router do not add up.
//
// With fewer than three routers a granter gives a greater part, but only once
// the routers have not changed for a while: a router that has just started may
// not have read the others' records.
//
// What counts as cold: an entry's text may be older than its read by
// `max_entry_delay`. So an entry ends what an answer or another router said
// only if it was first read that much later; before, the later of both ends
// counts. An entry's time counts from its read, which is never too early. An
// answer that says that the server is not cold counts from when its request was
// sent, as in server_limits.cc. A server that refuses connections will start
// anew, and its entry is still that of its last incarnation.

#include "hawthornhollow/relay/cold_servers.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "hawthornhollow/base/base.h"

namespace hawthornhollow {
namespace {

// How long a denied router asks no more: this part of the time in which the
// server takes one request.
constexpr double kBlockShare = 0.25;

}  // namespace

void ColdServers::SetServices(const std::vector<RelayService>& services,
                              absl::Time now) {
  services_.clear();
  for (const RelayService& service : services) {
    if (service.cold_requests_per_second > 0) {
      services_[service.name] = {
          .requests_per_second = service.cold_requests_per_second,
          .cold_time = service.cold_time};
    }
  }
  for (const auto& [server, state] : servers_) {
    if (IsCold(Effective(server, state), now))
      candidates_.insert(server);
  }
}

const ColdServers::Service* ColdServers::ServiceOf(const State& state) const {
  const auto found = services_.find(state.service);
  return found == services_.end() ? nullptr : &found->second;
}

ColdStatement ColdServers::EntryStatement(std::string_view server,
                                          const State& state) const {
  const Service* const service = ServiceOf(state);
  if (service == nullptr || state.read_at == absl::InfinitePast())
    return {};
  const uint64_t revision = StableHash(
      absl::StrCat(state.revision.born_ms, ".", state.revision.sequence, ".",
                   absl::ToInt64Milliseconds(state.cold_for)),
      StableHash(server));
  return {.id = revision,
          .requests_per_second = service->requests_per_second,
          .until = state.read_at + state.cold_for,
          .as_of = state.read_at};
}

ColdStatement ColdServers::Effective(std::string_view server,
                                     const State& state) const {
  const ColdStatement entry = EntryStatement(server, state);
  ColdStatement heard = state.heard;
  if (const Service* const service = ServiceOf(state))
    heard.requests_per_second = service->requests_per_second;
  const absl::Duration delay =
      state.is_guess ? absl::ZeroDuration() : options_.max_entry_delay;
  if (entry.as_of <= heard.as_of)
    return heard;
  if (entry.as_of - heard.as_of >= delay)
    return entry;
  return entry.until < heard.until ? heard : entry;
}

template <typename Change>
std::optional<ColdChange> ColdServers::Apply(std::string_view server,
                                             absl::Time now,
                                             Change change) {
  const auto found = servers_.try_emplace(std::string(server)).first;
  State& state = found->second;
  const ColdStatement before = Effective(server, state);
  change(state);
  const ColdStatement after = Effective(server, state);
  const bool was_cold = IsCold(before, now);
  const bool is_cold = IsCold(after, now);
  if (is_cold)
    candidates_.insert(found->first);
  const bool has_moved =
      is_cold &&
      absl::AbsDuration(after.until - before.until) >= options_.min_news;
  if (was_cold == is_cold && !has_moved)
    return std::nullopt;
  return ColdChange{
      .server = found->first,
      .requests_per_second = after.requests_per_second,
      .cold_for = is_cold ? after.until - now : absl::ZeroDuration()};
}

std::vector<ColdChange> ColdServers::SetServers(
    const std::vector<RelayServer>& servers,
    absl::Time now) {
  std::vector<ColdChange> changes;
  for (const RelayServer& server : servers) {
    const auto change = Apply(server.id, now, [&](State& state) {
      state.used_at = now;
      state.service = server.service;
      state.failure_domain = server.failure_domain;
      const bool is_known = state.read_at != absl::InfinitePast() &&
                            (server.revision < state.revision ||
                             (server.revision == state.revision &&
                              server.cold_for == state.cold_for));
      if (is_known)
        return;
      state.revision = server.revision;
      state.cold_for = server.cold_for;
      state.read_at = now;
    });
    if (change.has_value())
      changes.push_back(*change);
  }
  ForgetUnused(now);
  return changes;
}

std::vector<ColdChange> ColdServers::OnDomainRestored(std::string_view domain,
                                                      absl::Time at) {
  std::vector<ColdChange> changes;
  for (const auto& item : servers_) {
    const std::string& server = item.first;
    const Service* const service = ServiceOf(item.second);
    if (item.second.failure_domain != domain || service == nullptr)
      continue;
    const ColdStatement guess = {
        .id = StableHash(domain, ++answers_),
        .requests_per_second = service->requests_per_second,
        .until = at + service->cold_time,
        .as_of = at};
    const auto change = Apply(server, at, [&](State& state) {
      const bool is_cold_longer = Effective(server, state).until >= guess.until;
      if (is_cold_longer)
        return;
      state.heard = guess;
      state.is_guess = true;
    });
    if (change.has_value())
      changes.push_back(*change);
  }
  return changes;
}

std::optional<ColdChange> ColdServers::OnAnswer(std::string_view server,
                                                absl::Duration cold_for,
                                                absl::Time sent_at,
                                                absl::Time now) {
  const auto found = servers_.find(server);
  if (found == servers_.end() || ServiceOf(found->second) == nullptr)
    return std::nullopt;
  const bool is_cold = cold_for > absl::ZeroDuration();
  const absl::Time as_of = is_cold ? now : sent_at;
  if (as_of < found->second.heard.as_of)
    return std::nullopt;
  return Apply(server, now, [&](State& state) {
    const absl::Time until = is_cold ? now + cold_for : sent_at;
    // An answer that repeats what is known keeps the id, or each answer would
    // count as a new statement at the other routers.
    const bool is_same =
        absl::AbsDuration(until - state.heard.until) < options_.min_news;
    state.heard = {.id = is_same
                             ? state.heard.id
                             : StableHash(absl::StrCat(absl::ToUnixMicros(now),
                                                       ".", ++answers_),
                                          StableHash(server)),
                   .requests_per_second = ServiceOf(state)->requests_per_second,
                   .until = until,
                   .as_of = as_of};
    state.is_guess = false;
  });
}

bool ColdServers::MayBecomeCold(std::string_view server) const {
  const auto found = servers_.find(server);
  return found != servers_.end() && ServiceOf(found->second) != nullptr;
}

std::optional<ColdChange> ColdServers::OnRefused(std::string_view server,
                                                 absl::Time now) {
  if (!MayBecomeCold(server))
    return std::nullopt;
  return Apply(server, now, [&](State& state) {
    // It may start at any moment from now on, and its entry is read within the
    // delay.
    const Service& service = *ServiceOf(state);
    const absl::Time until = now + options_.max_entry_delay + service.cold_time;
    if (Effective(server, state).until >= until)
      return;
    state.heard = {
        .id = StableHash(absl::StrCat(absl::ToUnixMicros(now), ".", ++answers_),
                         StableHash(server)),
        .requests_per_second = service.requests_per_second,
        .until = until,
        .as_of = now};
    state.is_guess = false;
  });
}

std::optional<ColdChange> ColdServers::OnTold(std::string_view server,
                                              const ColdStatement& statement,
                                              absl::Time now) {
  if (!IsCold(statement, now))
    return std::nullopt;
  if (const auto found = servers_.find(server); found != servers_.end()) {
    const State& state = found->second;
    if (statement.id == state.heard.id ||
        statement.id == EntryStatement(server, state).id)
      return std::nullopt;
    // Other routers' entries may be as old as one's own.
    const bool is_older =
        statement.as_of <= state.heard.as_of ||
        (statement.as_of - state.heard.as_of < options_.max_entry_delay &&
         statement.until <= state.heard.until);
    if (is_older)
      return std::nullopt;
  }
  return Apply(server, now, [&](State& state) {
    state.heard = statement;
    state.is_guess = false;
    state.used_at = std::max(state.used_at, now);
  });
}

std::optional<ColdStatement> ColdServers::Find(std::string_view server,
                                               absl::Time now) const {
  if (!candidates_.contains(server))
    return std::nullopt;
  const auto found = servers_.find(server);
  if (found == servers_.end())
    return std::nullopt;
  const ColdStatement statement = Effective(server, found->second);
  if (!IsCold(statement, now))
    return std::nullopt;
  return statement;
}

std::vector<std::string> ColdServers::servers(absl::Time now) const {
  std::vector<std::string> cold;
  for (const std::string& server : candidates_) {
    if (Find(server, now).has_value())
      cold.push_back(server);
  }
  return cold;
}

std::vector<RouterAddress> ColdGranters(
    std::string_view server,
    std::string_view router,
    const std::vector<RouterAddress>& routers) {
  std::vector<RouterAddress> granters =
      ChooseGranters(server, routers, ColdServers::kGranters);
  if (!granters.empty()) {
    const size_t first = StableHash(router) % granters.size();
    std::rotate(granters.begin(),
                granters.begin() + static_cast<ptrdiff_t>(first),
                granters.end());
  }
  return granters;
}

size_t AssumedGranters(const ColdPermitQuestion& question,
                       const ColdServerOptions& options) {
  const bool is_settled =
      question.since_routers_changed >= options.settled_after;
  return is_settled && question.granters > 0
             ? std::min(question.granters, ColdServers::kGranters)
             : ColdServers::kGranters;
}

// Permits are given by the same buckets as those for stated limits.
void ColdServers::SetPermitRate(std::string_view server,
                                double requests_per_second,
                                absl::Time now) {
  const auto limit = permits_.Find(server);
  if (limit.has_value() && limit->requests_per_second == requests_per_second)
    return;
  const absl::Time as_of =
      limit.has_value() ? std::max(now, limit->as_of + absl::Nanoseconds(1))
                        : now;
  permits_.Learn({.server = std::string(server),
                  .requests_per_second = requests_per_second,
                  .as_of = as_of});
}

absl::Duration ColdServers::QuietTime(const ColdPermitQuestion& question,
                                      absl::Time now) {
  const absl::Duration after_start = start_ + options_.quiet_after_start - now;
  const absl::Duration until_known =
      std::clamp(options_.quiet_per_router * question.routers,
                 options_.quiet_after_start, options_.settled_after) -
      question.since_routers_changed;
  is_known_ |= !question.is_new_router || until_known <= absl::ZeroDuration();
  return std::max({absl::ZeroDuration(), after_start,
                   is_known_ ? absl::ZeroDuration() : until_known});
}

Permit ColdServers::Grant(const ColdPermitQuestion& question, absl::Time now) {
  const absl::Duration quiet = QuietTime(question, now);
  if (quiet > absl::ZeroDuration())
    return {.retry_after = quiet};
  double requests_per_second = question.requests_per_second;
  if (const auto known = Find(question.server, now)) {
    requests_per_second =
        std::min(requests_per_second, known->requests_per_second);
  }
  SetPermitRate(question.server, requests_per_second, now);
  const double granters =
      static_cast<double>(AssumedGranters(question, options_));
  // The bursts of one granter more than there are add up to the same.
  constexpr double kBursts = kGranters + 1;
  return permits_.Grant(question.server, question.urgency, 1 / granters, now,
                        kBursts / (granters + 1));
}

absl::Time ColdServers::BlockedUntil(std::string_view server,
                                     int64_t urgency,
                                     absl::Time now) const {
  const auto statement = Find(server, now);
  if (!statement.has_value())
    return now;
  return std::min(statement->until,
                  permits_.BlockedUntil(server, urgency, now));
}

absl::Time ColdServers::RetryAt(std::string_view server, absl::Time now) const {
  const auto statement = Find(server, now);
  if (!statement.has_value())
    return now;
  return std::clamp(servers_.find(server)->second.retry_at, now,
                    statement->until);
}

void ColdServers::OnDenied(std::string_view server,
                           int64_t urgency,
                           double requests_per_second,
                           absl::Time retry_at,
                           absl::Time now) {
  const auto found = servers_.find(server);
  if (found == servers_.end())
    return;
  found->second.retry_at = retry_at;
  const absl::Duration block = std::min(
      options_.max_block, absl::Seconds(kBlockShare / requests_per_second));
  SetPermitRate(server, requests_per_second, now);
  permits_.OnDenied(server, urgency, std::min(retry_at, now + block));
}

void ColdServers::ForgetUnused(absl::Time now) {
  const absl::Duration forget_after = options_.permits.forget_after;
  std::erase_if(servers_, [&](const auto& item) {
    return now - item.second.used_at > forget_after;
  });
  std::erase_if(candidates_, [&](const std::string& server) {
    return !Find(server, now).has_value();
  });
  std::vector<std::string> used;
  for (const auto& [server, state] : servers_)
    used.push_back(server);
  permits_.KeepServers(used, now);
}

}  // namespace hawthornhollow
