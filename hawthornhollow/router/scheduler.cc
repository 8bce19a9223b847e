#include "hawthornhollow/router/scheduler.h"

#include <algorithm>
#include <utility>

#include "hawthornhollow/base/base.h"

namespace hawthornhollow {

std::string ModelPool(std::string_view model) {
  return "model:" + std::string(model);
}

std::string ServicePool(std::string_view service) {
  return "service:" + std::string(service);
}

struct Scheduler::Pool {
  Pool(std::string pool_name,
       const RankQueueOptions& options,
       const ServerChooserOptions& chooser_options)
      : name(std::move(pool_name)), queue(options), chooser(chooser_options) {}

  const std::string name;
  std::mutex mutex;
  RankQueue queue;
  ServerChooser chooser;
  std::map<std::string, ServerView> views;
  std::set<std::string> leaving_vms;
  std::map<uint64_t, std::shared_ptr<Ticket>> tickets;  // waiting
  int64_t slots = 0;                                    // of all servers
  int64_t routers = 1;                                  // that share them

  // Servers with a link.
  int64_t CountConnected() const {
    return std::count_if(views.begin(), views.end(), [](const auto& view) {
      return view.second.connected;
    });
  }

  // Takes a waiting ticket out; null if it is not here.
  std::shared_ptr<Ticket> TakeTicket(uint64_t id) {
    auto found = tickets.find(id);
    if (found == tickets.end())
      return nullptr;
    auto ticket = std::move(found->second);
    tickets.erase(found);
    return ticket;
  }
};

namespace {

std::vector<RankPolicy> PoliciesOf(const Configuration& config) {
  std::vector<RankPolicy> policies;
  for (const Rank& rank : config.ranks()) {
    RankPolicy policy;
    policy.name = rank.name;
    policy.order = rank.order;
    policy.target = absl::Milliseconds(rank.target_ms);
    policy.floor = rank.floor;
    policies.push_back(policy);
  }
  return policies;
}

std::string PoolOf(const Server& server) {
  return server.model.empty() ? ServicePool(server.service)
                              : ModelPool(server.model);
}

}  // namespace

Scheduler::Scheduler(std::string_view router,
                     size_t routers,
                     SchedulingPolicy policy)
    : seed_(StableHash(router)),
      routers_(static_cast<int64_t>(routers)),
      policy_(policy) {}

int32_t Scheduler::EnginePriority(int32_t rank_order) const {
  return policy_ == SchedulingPolicy::kRanks ? rank_order : 0;
}

void Scheduler::SetConfig(const Configuration& config, absl::Time now) {
  std::vector<RankPolicy> policies = PoliciesOf(config);
  std::map<std::string, std::vector<ServerView>> views;
  std::map<std::string, std::string> pool_of_server;
  for (const Model& model : config.models())
    views[ModelPool(model.name)];
  for (const Service& service : config.services())
    views[ServicePool(service.name)];
  for (const Server& server : config.servers()) {
    ServerView view;
    view.name = server.name;
    view.slots = server.slots;
    view.leaving = server.state == ServerState::kLeaving;
    views[PoolOf(server)].push_back(view);
    pool_of_server[server.name] = PoolOf(server);
  }
  std::unique_lock lock(mutex_);
  pool_of_server_ = std::move(pool_of_server);
  for (auto& [name, servers] : views) {
    auto& pool = pools_[name];
    if (!pool) {
      RankQueueOptions options;
      options.ranks = policies;
      options.policy = policy_;
      ServerChooserOptions chooser_options;
      chooser_options.seed = seed_;
      chooser_options.policy = policy_;
      pool = std::make_shared<Pool>(name, options, chooser_options);
      pool->chooser.SetRouters(routers_);
      pool->routers = routers_;
    }
    std::lock_guard pool_lock(pool->mutex);
    pool->queue.SetRanks(policies);
    std::map<std::string, ServerView> next;
    pool->slots = 0;
    for (ServerView& view : servers) {
      auto before = pool->views.find(view.name);
      if (before != pool->views.end())
        view.connected = before->second.connected;
      next[view.name] = view;
      pool->slots += view.slots;
      view.leaving = view.leaving || pool->leaving_vms.contains(view.name);
    }
    pool->views = std::move(next);
    pool->chooser.SetServers(servers, now);
  }
}

std::shared_ptr<Scheduler::Pool> Scheduler::FindPool(
    const std::string& name) const {
  std::shared_lock lock(mutex_);
  auto found = pools_.find(name);
  return found == pools_.end() ? nullptr : found->second;
}

std::shared_ptr<Scheduler::Pool> Scheduler::PoolOfServer(
    const std::string& server) const {
  std::shared_lock lock(mutex_);
  auto found = pool_of_server_.find(server);
  if (found == pool_of_server_.end())
    return nullptr;
  auto pool = pools_.find(found->second);
  return pool == pools_.end() ? nullptr : pool->second;
}

std::vector<std::shared_ptr<Scheduler::Pool>> Scheduler::Pools() const {
  std::shared_lock lock(mutex_);
  std::vector<std::shared_ptr<Pool>> pools;
  for (const auto& [name, pool] : pools_)
    pools.push_back(pool);
  return pools;
}

void Scheduler::SetConnected(const std::string& server, bool connected) {
  auto pool = PoolOfServer(server);
  if (!pool)
    return;
  std::lock_guard lock(pool->mutex);
  pool->views[server].connected = connected;
  pool->chooser.SetConnected(server, connected, absl::Now());
  Pump(*pool, absl::Now());
}

void Scheduler::OnLoad(const std::string& server, const ServerLoad& load) {
  auto pool = PoolOfServer(server);
  if (!pool)
    return;
  std::lock_guard lock(pool->mutex);
  pool->chooser.OnReport(server, load.running, absl::Now(), load.from_here);
  bool was_marked =
      pool->views[server].leaving || pool->leaving_vms.contains(server);
  pool->chooser.SetLeaving(server, load.leaving || was_marked);
  Pump(*pool, absl::Now());
}

void Scheduler::SetLeavingVms(const std::set<std::string>& servers) {
  for (const auto& pool : Pools()) {
    std::lock_guard lock(pool->mutex);
    pool->leaving_vms = servers;
    for (const auto& [name, view] : pool->views) {
      if (servers.contains(name))
        pool->chooser.SetLeaving(name, true);
    }
  }
}

void Scheduler::Enqueue(const std::shared_ptr<Ticket>& ticket) {
  absl::Time now = absl::Now();
  ticket->request.id = next_id_++;
  auto pool = FindPool(ticket->pool);
  if (!pool) {
    ticket->result.Set(
        Refusal{ticket->request.id, RefusalCause::kNoServer, absl::Seconds(1)});
    return;
  }
  std::lock_guard lock(pool->mutex);
  if (auto refusal = pool->queue.Offer(ticket->request, now)) {
    ticket->result.Set(*refusal);
    return;
  }
  pool->tickets[ticket->request.id] = ticket;
  Expire(*pool, now);
  Pump(*pool, now);
}

void Scheduler::Abandon(const std::shared_ptr<Ticket>& ticket) {
  auto pool = FindPool(ticket->pool);
  if (!pool)
    return;
  std::lock_guard lock(pool->mutex);
  if (!pool->TakeTicket(ticket->request.id))
    return;
  pool->queue.Remove(ticket->request.id);
  ticket->result.Set(CallerLeft{});
}

void Scheduler::Pump(Pool& pool, absl::Time now) {
  while (true) {
    SlotCounts slots{.claimable = pool.chooser.ClaimableSlots(now),
                     .idle = pool.chooser.IdleSlots(now),
                     .total = pool.slots,
                     .in_flight = pool.chooser.InFlight(),
                     .routers = pool.routers};
    if (slots.claimable <= 0 && slots.idle <= 0)
      return;
    auto request = pool.queue.Take(now, slots);
    if (!request)
      return;
    auto found = pool.tickets.find(request->id);
    if (found == pool.tickets.end())
      continue;
    const Ticket& ticket = *found->second;
    ChoiceScope scope = pool.queue.IsHighestRank(request->rank)
                            ? ChoiceScope::kAnyIdle
                            : ChoiceScope::kClaimable;
    auto server =
        pool.chooser.Choose(ticket.affinity, ticket.avoid, now, scope);
    if (!server) {
      pool.queue.PutBack(*request);
      return;
    }
    pool.TakeTicket(request->id)->result.Set(Assignment{*server});
  }
}

void Scheduler::OnFirstToken(const Ticket& ticket,
                             const std::string& server,
                             absl::Duration took) {
  auto pool = FindPool(ticket.pool);
  if (!pool)
    return;
  std::lock_guard lock(pool->mutex);
  pool->chooser.OnFirstToken(server, took, absl::Now());
  pool->queue.OnFirstToken(took);
}

void Scheduler::OnFinished(const Ticket& ticket,
                           const std::string& server,
                           int64_t tokens,
                           bool failed) {
  auto pool = FindPool(ticket.pool);
  if (!pool)
    return;
  std::lock_guard lock(pool->mutex);
  absl::Time now = absl::Now();
  pool->chooser.OnFinished(server, failed, now);
  pool->queue.OnRequestFinished(tokens, now);
  Pump(*pool, now);
}

void Scheduler::Tick() {
  for (const auto& pool : Pools()) {
    std::lock_guard lock(pool->mutex);
    absl::Time now = absl::Now();
    Expire(*pool, now);
    Pump(*pool, now);
  }
}

void Scheduler::Expire(Pool& pool, absl::Time now) {
  const bool has_server = pool.CountConnected() > 0;
  for (Refusal& refusal : pool.queue.Expire(now)) {
    // The queue knows of time only; without a server it says nothing of load.
    if (!has_server && refusal.cause == RefusalCause::kOverload)
      refusal.cause = RefusalCause::kNoServer;
    if (auto ticket = pool.TakeTicket(refusal.id))
      ticket->result.Set(refusal);
  }
}

std::vector<PoolStatus> Scheduler::Status() const {
  std::vector<PoolStatus> status;
  for (const auto& pool : Pools()) {
    std::lock_guard lock(pool->mutex);
    status.push_back({pool->name, pool->queue.waiting(),
                      pool->chooser.ClaimableSlots(absl::Now()),
                      pool->CountConnected()});
  }
  return status;
}

}  // namespace hawthornhollow
