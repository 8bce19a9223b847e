// Assumed load: hundreds of routers, tens to hundreds of servers, and requests
// that last for up to 15 s. Routers come and go in rolling releases, one every
// few seconds, so what depends on all of them is computed anew only for the
// servers that requests ask for: a choice takes one hash for each router.
//
// The load of a server is known here if its routers have told this router of
// what they sent there. After other routers came or went they may tell
// different coordinators for a while, and requests that are told to the one are
// not known to the other. So a new coordinator gives no bids at first; it is
// told of requests meanwhile. A wrong load never violates a limit of a server:
// servers refuse what they cannot hold.

#include "hawthornhollow/relay/load_coordinator.h"

#include <algorithm>
#include <set>
#include <utility>

#include "hawthornhollow/base/base.h"

namespace hawthornhollow {

const RouterAddress* ChooseCoordinator(
    std::string_view server,
    const std::vector<RouterAddress>& routers) {
  // Differs from the seed of ChooseGranters(), so that a router that dies is
  // seldom both of a server.
  constexpr uint64_t kSeed = 5;
  const uint64_t server_hash = StableHash(server, kSeed);
  const RouterAddress* best = nullptr;
  uint64_t best_score = 0;
  for (const RouterAddress& router : routers) {
    const uint64_t score = StableHash(router.router, server_hash);
    if (best == nullptr || score > best_score ||
        (score == best_score && router.router > best->router)) {
      best = &router;
      best_score = score;
    }
  }
  return best;
}

LoadCoordinator::LoadCoordinator(std::string router,
                                 const LoadCoordinatorOptions& options)
    : router_(std::move(router)), options_(options) {}

LoadCoordinator::~LoadCoordinator() = default;

void LoadCoordinator::SetRouters(const std::vector<RouterAddress>& routers,
                                 absl::Time now) {
  if (routers == routers_)
    return;
  routers_ = routers;
  ++version_;
  routers_changed_ = now;
}

void LoadCoordinator::DropRouter(std::string_view router) {
  for (auto& [id, state] : servers_) {
    if (state.load != nullptr)
      state.load->DropRouter(router);
  }
}

void LoadCoordinator::SetServers(const std::vector<RelayServer>& servers,
                                 absl::Time now) {
  std::set<std::string_view> present;
  for (const RelayServer& server : servers) {
    present.insert(server.id);
    State& state = servers_[server.id];
    const ServerLoadOptions limits = LimitsOf(server);
    // A new incarnation holds nothing.
    if (state.server.revision.born_ms != server.revision.born_ms) {
      state.load.reset();
    } else if (limits != state.limits) {
      state.load.reset();
      state.complete_since = now;
    }
    state.server = server;
    state.limits = limits;
  }
  std::erase_if(servers_, [&](const auto& item) {
    return !present.contains(item.first);
  });
}

void LoadCoordinator::SetTable(std::shared_ptr<const RoutingTable> table,
                               absl::Time now) {
  table_ = std::move(table);
  std::vector<RelayServer> servers;
  for (const auto& [id, state] : servers_)
    servers.push_back(state.server);
  SetServers(servers, now);
}

ServerLoadOptions LoadCoordinator::LimitsOf(const RelayServer& server) const {
  ServerLoadOptions limits = options_.server;
  const RelayService* const service =
      table_ == nullptr ? nullptr : table_->FindService(server.service);
  limits.slots = server.slots > 0     ? server.slots
                 : service != nullptr ? service->slots
                                      : 0;
  limits.memory_tokens = service == nullptr ? 0 : service->memory_tokens;
  return limits;
}

LoadCoordinator::State* LoadCoordinator::Find(std::string_view server) {
  const auto found = servers_.find(server);
  if (found == servers_.end() || !HasLimits(found->second.limits))
    return nullptr;
  State& state = found->second;
  if (state.version == version_)
    return routers_.empty() ? nullptr : &state;
  const RouterAddress* const coordinator = ChooseCoordinator(server, routers_);
  if (coordinator == nullptr)
    return nullptr;
  const bool is_own = coordinator->router == router_;
  if (!is_own)
    state.load.reset();
  else if (state.coordinator.router != router_)
    state.complete_since = std::max(state.complete_since, routers_changed_);
  state.coordinator = *coordinator;
  state.version = version_;
  return &state;
}

LoadCoordinator::State* LoadCoordinator::FindOwn(std::string_view server) {
  State* const state = Find(server);
  if (state == nullptr || state->coordinator.router != router_)
    return nullptr;
  if (state->load == nullptr)
    state->load = std::make_unique<ServerLoad>(state->limits);
  return state;
}

const RouterAddress* LoadCoordinator::CoordinatorOf(std::string_view server) {
  const State* const state = Find(server);
  return state == nullptr ? nullptr : &state->coordinator;
}

bool LoadCoordinator::HasMemoryLimit(std::string_view server) {
  const State* const state = Find(server);
  return state != nullptr && state->limits.memory_tokens > 0;
}

PlacementReply LoadCoordinator::Answer(const PlacementQuestion& question,
                                       absl::Time now) {
  for (const PlacementProgress& progress : question.progress)
    OnProgress(progress, now);
  PlacementReply reply;
  for (const std::string& server : question.servers) {
    const State* const state = FindOwn(server);
    if (state == nullptr || now - state->complete_since < options_.settle_time)
      continue;
    reply.bids.push_back(state->load->Bid(question.request, now));
    reply.bids.back().server = server;
  }
  if (reply.bids.empty() || reply.bids[0].server != question.servers[0] ||
      !reply.bids[0].has_room || CostOf(reply.bids[0]) > question.place_within)
    return reply;
  PlacementBid& bid = reply.bids[0];
  State* const state = FindOwn(bid.server);
  PlacementBid placed =
      state->load->Place(question.request, question.router, now);
  placed.server = bid.server;
  bid = std::move(placed);
  if (bid.has_room)
    reply.placed = bid.server;
  return reply;
}

void LoadCoordinator::OnReport(const LoadReport& report, absl::Time now) {
  for (const PlacementNotice& notice : report.notices) {
    State* const state = FindOwn(notice.server);
    if (state != nullptr)
      state->load->Place(notice.request, report.router, now);
  }
  for (const PlacementProgress& progress : report.progress)
    OnProgress(progress, now);
}

void LoadCoordinator::OnProgress(const PlacementProgress& progress,
                                 absl::Time now) {
  State* const state = FindOwn(progress.server);
  if (state == nullptr)
    return;
  switch (progress.event) {
    case PlacementEvent::kFirstToken:
      state->load->OnFirstToken(progress.request, progress.took, now);
      break;
    case PlacementEvent::kEnded:
      state->load->OnEnd(progress.request, now);
      break;
  }
}

void LoadCoordinator::Expire(absl::Time now) {
  for (auto& [id, state] : servers_) {
    if (state.load != nullptr)
      state.load->Expire(now);
  }
}

size_t LoadCoordinator::server_count() const {
  return static_cast<size_t>(std::count_if(
      servers_.begin(), servers_.end(),
      [](const auto& item) { return item.second.load != nullptr; }));
}

}  // namespace hawthornhollow
