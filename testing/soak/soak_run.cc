// The run goes by ticks on one thread: whatever is due of the plan begins or
// ends, and routers that have ended start again. What a fault's end undoes may
// have begun twice in a series, so conditions are counted.

#include "testing/soak/soak_run.h"

#include <algorithm>
#include <map>
#include <memory>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "hawthornhollow/base/base.h"
#include "testing/platform_standin.h"
#include "testing/platform_standin_messages.h"
#include "testing/soak/promises.h"
#include "testing/soak/soak_callers.h"
#include "testing/soak/soak_router.h"
#include "testing/tcp_relay.h"

namespace hawthornhollow::soak {
namespace {

using standins::ReplicaStandin;
using standins::StoreStandin;

constexpr absl::Duration kTick = absl::Milliseconds(10);
constexpr absl::Duration kLongestDown = absl::Milliseconds(800);
// The users' bound on how long the system takes to serve again.
constexpr absl::Duration kRecover = absl::Seconds(12);
constexpr absl::Duration kLinkDelay = absl::Milliseconds(150);
constexpr absl::Duration kServerPause = absl::Milliseconds(120);
constexpr absl::Duration kUsualPause = absl::Milliseconds(2);
constexpr int64_t kTokensPerEvent = 4;
// Lasts for most of a run of usual length.
constexpr int64_t kFirstTotal = 300 * (kPromptTokens + kOutputTokens);
constexpr int64_t kTopUp = 50 * (kPromptTokens + kOutputTokens);
constexpr int64_t kNeverSpent = 1'000'000'000;
constexpr int kOk = 200;

// One backend server, reached through a relay.
struct Server {
  std::string id;
  std::unique_ptr<ReplicaStandin> standin;
  std::unique_ptr<HttpServer> http;
  std::unique_ptr<TcpRelay> relay;
};

class Run {
 public:
  explicit Run(const SoakOptions& options)
      : options_(options), runtime_(*Runtime::Create({.threads = 1})) {
    store_http_ = Listen(store_.Handler());
    for (size_t i = 0; i < options.plan.servers; ++i)
      AddServer(i);
    PutConfiguration();
    std::vector<Endpoint> endpoints;
    for (size_t i = 0; i < options.plan.routers; ++i) {
      store_links_.push_back(*TcpRelay::Start(store_http_->local()));
      routers_.push_back(std::make_unique<SoakRouter>(
          options.entry, options.folder, i, store_links_.back()->endpoint()));
      endpoints.push_back(routers_.back()->callers());
    }
    Tick();
    callers_ =
        std::make_unique<SoakCallers>(options.seed, options.callers, endpoints);
  }

  SoakResult Play() {
    const std::vector<Fault> plan = DrawPlan(options_.seed, options_.plan);
    const absl::Time begun = absl::Now();
    size_t next = 0;
    while (absl::Now() - begun < options_.plan.duration) {
      const absl::Duration now = absl::Now() - begun;
      for (; next < plan.size() && plan[next].at <= now; ++next)
        Begin(plan[next]);
      EndDue(now);
      CopyStore();
      Tick();
      absl::SleepFor(kTick);
    }
    EndDue(absl::InfiniteDuration());
    AwaitService();
    callers_->Stop();
    EndRouters();
    return Judge(plan.size());
  }

 private:
  std::unique_ptr<HttpServer> Listen(HttpHandler handler) {
    return *HttpServer::Start(*runtime_, {.local = {"127.0.0.1", 0}},
                              std::move(handler));
  }

  void AddServer(size_t number) {
    Server server{.id = absl::StrCat("i-", number)};
    server.standin = std::make_unique<ReplicaStandin>(server.id);
    server.http = Listen(server.standin->Handler());
    server.relay = *TcpRelay::Start(server.http->local());
    servers_.push_back(std::move(server));
    PutServer(servers_.back());
  }

  void PutServer(const Server& server) {
    standins::PutServer(store_, server.id, server.relay->endpoint(),
                        ++sequence_);
  }

  // The newest version, perhaps once more.
  void PutConfiguration() {
    standins::PutConfiguration(
        store_, {.version = version_,
                 .tokens_per_event = kTokensPerEvent,
                 .order_attempts = 2,
                 .workspaces = {{.name = kScarce,
                                 .key = std::string("key-") + kScarce,
                                 .prepaid = total_},
                                {.name = kPlenty,
                                 .key = std::string("key-") + kPlenty,
                                 .prepaid = kNeverSpent}}});
  }

  SoakRouter& RouterOf(const Fault& fault) {
    return *routers_[fault.target % routers_.size()];
  }
  TcpRelay& StoreLinkOf(const Fault& fault) {
    return *store_links_[fault.target % store_links_.size()];
  }
  Server& ServerOf(const Fault& fault) {
    return servers_[fault.target % servers_.size()];
  }

  void Begin(const Fault& fault) {
    LogEvent("soak.fault")
        .Add("kind", NameOf(fault.kind))
        .Add("target", static_cast<int64_t>(fault.target))
        .Add("lasts_ms", absl::ToInt64Milliseconds(fault.lasts));
    open_.push_back(fault);
    switch (fault.kind) {
      case FaultKind::kRouterKilled:
        return RouterOf(fault).Kill(std::min(fault.lasts, kLongestDown));
      case FaultKind::kRouterTerminated:
        return RouterOf(fault).Terminate();
      case FaultKind::kRouterReloaded:
        return RouterOf(fault).Reload();
      case FaultKind::kRouterPaused:
        return RouterOf(fault).Pause();
      case FaultKind::kServerUnlisted:
        return standins::DropServer(store_, ServerOf(fault).id);
      case FaultKind::kConfigChanged:
        total_ += kTopUp;
        ++version_;
        return PutConfiguration();
      default:
        return Apply();
    }
  }

  void EndDue(absl::Duration now) {
    std::erase_if(open_, [&](const Fault& fault) {
      if (fault.at + fault.lasts > now)
        return false;
      if (fault.kind == FaultKind::kRouterPaused)
        RouterOf(fault).Continue();
      if (fault.kind == FaultKind::kServerUnlisted)
        PutServer(ServerOf(fault));
      if (fault.kind == FaultKind::kStoreRestored)
        RestoreStore();
      return true;
    });
    Apply();
  }

  // What the operator and the servers wrote is written again.
  void RestoreStore() {
    if (!store_.has_copy())
      return;
    store_.Restore();
    PutConfiguration();
    for (size_t i = 0; i < servers_.size(); ++i) {
      if (!IsOpen(FaultKind::kServerUnlisted, i, servers_.size()))
        PutServer(servers_[i]);
    }
  }

  // A copy holds a record of each router.
  void CopyStore() {
    constexpr absl::Duration kCopyInterval = absl::Seconds(4);
    if (absl::Now() < next_copy_ || store_.router_count() < routers_.size())
      return;
    store_.TakeCopy();
    next_copy_ = absl::Now() + kCopyInterval;
  }

  bool IsOpen(FaultKind kind, size_t number, size_t count) const {
    return std::any_of(open_.begin(), open_.end(), [&](const Fault& fault) {
      return fault.kind == kind && fault.target % count == number;
    });
  }

  // Brings links and servers into the state that the open faults ask for.
  void Apply() {
    store_.SetOutage(IsOpen(FaultKind::kStoreOutage, 0, 1) ||
                     IsOpen(FaultKind::kStoreRestored, 0, 1));
    for (size_t i = 0; i < store_links_.size(); ++i) {
      const auto is_open = [&](FaultKind kind) {
        return IsOpen(kind, i, store_links_.size());
      };
      SetMode(*store_links_[i], is_open(FaultKind::kStoreCut),
              is_open(FaultKind::kStoreSilent),
              is_open(FaultKind::kStoreAnswersLost));
      store_links_[i]->SetDelay(
          is_open(FaultKind::kStoreSlow) ? kLinkDelay : absl::ZeroDuration());
    }
    for (size_t i = 0; i < servers_.size(); ++i) {
      const auto is_open = [&](FaultKind kind) {
        return IsOpen(kind, i, servers_.size());
      };
      SetMode(*servers_[i].relay, is_open(FaultKind::kServerCut),
              is_open(FaultKind::kServerSilent), false);
      const bool breaks = is_open(FaultKind::kServerBreaksStreams);
      servers_[i].standin->SetFaults(
          {.break_after_events = breaks ? 3 : -1,
           .lose_answers = is_open(FaultKind::kServerLosesAnswers),
           .refuse = is_open(FaultKind::kServerRefuses),
           .fail = is_open(FaultKind::kServerFails)});
      servers_[i].standin->SetEventPause(
          is_open(FaultKind::kServerSlow) ? kServerPause : kUsualPause);
    }
  }

  void SetMode(TcpRelay& relay, bool cut, bool silent, bool answers_lost) {
    const RelayMode mode = cut            ? RelayMode::kCut
                           : silent       ? RelayMode::kSilent
                           : answers_lost ? RelayMode::kAnswersLost
                                          : RelayMode::kPass;
    RelayMode& last = modes_[&relay];
    if (std::exchange(last, mode) != mode)
      relay.SetMode(mode);
  }

  void Tick() {
    for (auto& router : routers_)
      router->Tick(&broken_);
  }

  // Once all faults have ended each router serves both kinds of requests.
  void AwaitService() {
    const absl::Time end = absl::Now() + kRecover;
    for (auto& router : routers_) {
      for (const char* path : {kOrderPath, kStreamPath}) {
        while (callers_->Ask(router->callers(), path, kPlenty) != kOk) {
          Tick();
          if (absl::Now() > end) {
            broken_.push_back(absl::StrCat(router->name(), " does not serve ",
                                           path, " after the faults"));
            return;
          }
          absl::SleepFor(kTick);
        }
      }
    }
  }

  void EndRouters() {
    for (auto& router : routers_)
      router->Terminate();
    const auto any_runs = [&] {
      return std::any_of(
          routers_.begin(), routers_.end(),
          [](const auto& router) { return router->is_running(); });
    };
    // A router that has ended is not started again here.
    while (any_runs()) {
      for (auto& router : routers_) {
        if (router->is_running())
          router->Tick(&broken_);
      }
      absl::SleepFor(kTick);
    }
  }

  SoakResult Judge(size_t faults) {
    std::map<std::string, int> runs;
    for (const Server& server : servers_) {
      for (const auto& [id, count] : server.standin->runs())
        runs[id] += count;
    }
    const std::vector<std::string> answers =
        BrokenPromises(callers_->seen(), runs,
                       {.prompt = kPromptTokens,
                        .event = kTokensPerEvent,
                        .totals = {{kScarce, total_}}});
    SoakResult result{.broken = broken_, .faults = faults};
    result.broken.insert(result.broken.end(), answers.begin(), answers.end());
    for (const Seen& seen : callers_->seen()) {
      ++result.requests;
      result.answered += seen.whole && seen.status == kOk ? 1 : 0;
      result.refused += seen.status > kOk ? 1 : 0;
    }
    return result;
  }

  const SoakOptions options_;
  std::unique_ptr<Runtime> runtime_;
  StoreStandin store_;
  std::unique_ptr<HttpServer> store_http_;
  std::vector<Server> servers_;
  std::vector<std::unique_ptr<TcpRelay>> store_links_;
  std::vector<std::unique_ptr<SoakRouter>> routers_;
  std::unique_ptr<SoakCallers> callers_;
  std::map<const TcpRelay*, RelayMode> modes_;
  std::vector<Fault> open_;
  std::vector<std::string> broken_;
  int64_t total_ = kFirstTotal;
  int64_t version_ = 1;
  absl::Time next_copy_;
  int64_t sequence_ = 0;
};

}  // namespace

SoakResult RunSoak(const SoakOptions& options) {
  return Run(options).Play();
}

}  // namespace hawthornhollow::soak
