// A fleet of routers and cold servers without a network, with faults from a
// seed. Guards against a cold server that gets more than one and a half times
// its rate, and five requests, within any second; and against a limit that
// leaves what the server takes unused. Time goes in steps of 5 ms.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "hawthornhollow/relay/cold_servers.h"

namespace hawthornhollow {
namespace {

constexpr double kStep = 0.005;
constexpr double kSeconds = 60;
constexpr double kColdTime = 3;
constexpr int kServers = 8;
constexpr int64_t kUrgencies = 3;
constexpr double kPollInterval = 0.4;
constexpr double kWriteInterval = 1.2;
constexpr double kTellDelay = 0.06;
constexpr double kMaxPermitAge = 0.1;
constexpr double kAskPause = 0.4;
constexpr double kNever = 1e9;

absl::Time At(double seconds) {
  return absl::UnixEpoch() + absl::Hours(1) + absl::Seconds(seconds);
}

struct FleetCase {
  int routers;
  double rate;
  bool faults;
  uint32_t seed;
};

struct Request {
  double sent, received;
};
// Restarts with its domain, and becomes cold now and then.
struct Server {
  std::string id;
  double up_from = 0;  // kNever: down
  double cold_until = 0;
  int64_t born_ms = 1;
  int64_t sequence = 0;
  double next_write = 0;
  double refused_at = kNever;  // first, since it is down
  bool says_in_answers = true;
  std::optional<RelayServer> entry;
  // From when each router has read an entry that says that it is cold, or has
  // been told so.
  double known_from = 0;
  std::vector<Request> while_cold;
  double cold_seconds = 0;
};

struct Router {
  RouterAddress address;
  std::unique_ptr<ColdServers> cold;
  bool reads_store = true;
  bool reaches_routers = true;
  double up_from = 0;
  double suspended_until = 0;
  double next_poll = 0;
  std::vector<RelayServer> listed;
  std::vector<RouterAddress> known;
  double known_changed = -10;
  bool is_new = false;
  std::map<std::string, double> paused_until;
};

class ColdFleetTest : public testing::TestWithParam<FleetCase> {
 protected:
  void SetUp() override {
    for (int i = 0; i < kServers; ++i)
      servers_.push_back({.id = absl::StrCat("s-", i)});
    std::vector<RouterAddress> known;
    for (int i = 0; i < GetParam().routers; ++i)
      known.push_back({absl::StrCat("r-", i), absl::StrCat(i)});
    for (const RouterAddress& address : known) {
      routers_.push_back({.address = address, .known = known});
      Start(&routers_.back(), -10);
    }
  }

  double Draw(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random_);
  }
  Router& Any() { return routers_[random_() % routers_.size()]; }
  bool Runs(const Router& router) const {
    return now_ >= router.up_from && now_ >= router.suspended_until;
  }
  void After(double delay, std::function<void()> action) {
    later_.push({now_ + delay, ++order_, std::move(action)});
  }

  // Its state is lost.
  void Start(Router* router, double at) {
    router->cold = std::make_unique<ColdServers>(ColdServerOptions(), At(at));
    router->cold->SetServices({{.name = "engine",
                                .cold_requests_per_second = GetParam().rate,
                                .cold_time = absl::Seconds(kColdTime)}},
                              At(at));
    router->up_from = at;
    router->listed.clear();
    router->next_poll = at + Draw(0, kPollInterval);
    router->paused_until.clear();
  }

  void RestartServer(Server* server) {
    server->up_from = now_;
    server->cold_until = now_ + kColdTime;
    ++server->born_ms;
    // With faults, a router that reads no entries would not know.
    server->says_in_answers = GetParam().faults || random_() % 2 == 0;
    server->next_write = now_;
    server->known_from = now_;
  }
  void BecomeCold(Server* server) {
    if (now_ < server->up_from || now_ < server->cold_until)
      return;
    server->cold_until = now_ + kColdTime;
    // What answers say is known before, but not to all.
    server->known_from = now_ + kWriteInterval + kPollInterval + 2 * kStep;
  }

  void WriteEntries() {
    for (Server& server : servers_) {
      if (now_ < server.up_from || now_ < server.next_write)
        continue;
      server.next_write = now_ + kWriteInterval;
      server.entry = RelayServer{
          .id = server.id,
          .service = "engine",
          .failure_domain = "d",
          .cold_for = absl::Seconds(std::max(0.0, server.cold_until - now_)),
          .revision = {.born_ms = server.born_ms,
                       .sequence = ++server.sequence}};
    }
  }

  void Poll() {
    std::vector<RelayServer> entries;
    for (const Server& server : servers_) {
      if (server.entry.has_value())
        entries.push_back(*server.entry);
    }
    for (Router& router : routers_) {
      if (!Runs(router) || !router.reads_store || now_ < router.next_poll)
        continue;
      router.next_poll = now_ + kPollInterval;
      router.listed = entries;
      router.cold->SetServers(entries, At(now_));
    }
  }

  bool Reaches(const Router& from, const Router& to) const {
    return &from == &to ||
           (from.reaches_routers && to.reaches_routers && Runs(to));
  }

  // Whether a granter that `router` reaches gives a permit.
  bool Acquire(Router* router, const std::string& server, int64_t urgency) {
    const ColdStatement statement = *router->cold->Find(server, At(now_));
    double retry_at = kNever;
    for (const RouterAddress& address :
         ColdGranters(server, router->address.router, router->known)) {
      double& paused_until = router->paused_until[address.router];
      if (paused_until > now_)
        continue;
      Router* granter = &routers_[std::stoul(address.address)];
      if (!Reaches(*router, *granter)) {
        paused_until = now_ + kAskPause;
        continue;
      }
      const Permit permit = AnswerOf(granter, statement, server, urgency);
      if (permit.granted)
        return true;
      retry_at =
          std::min(retry_at, now_ + absl::ToDoubleSeconds(permit.retry_after));
    }
    if (retry_at == kNever)
      retry_at = now_ + kAskPause;
    router->cold->OnDenied(server, urgency, statement.requests_per_second,
                           At(retry_at), At(now_));
    return false;
  }
  Permit AnswerOf(Router* granter,
                  const ColdStatement& statement,
                  const std::string& server,
                  int64_t urgency) {
    granter->cold->OnTold(server, statement, At(now_));
    const auto granters =
        ChooseGranters(server, granter->known, ColdServers::kGranters);
    if (std::find(granters.begin(), granters.end(), granter->address) ==
        granters.end())
      return {.retry_after = absl::Seconds(kAskPause)};
    return granter->cold->Grant(
        {.server = server,
         .urgency = urgency,
         .requests_per_second = statement.requests_per_second,
         .granters = granters.size(),
         .routers = granter->known.size(),
         .is_new_router = granter->is_new,
         .since_routers_changed = absl::Seconds(now_ - granter->known_changed)},
        At(now_));
  }

  // A caller's request arrives at a router.
  void Serve(Router* router) {
    if (!Runs(*router) || router->listed.empty())
      return;
    const std::string server =
        router->listed[random_() % router->listed.size()].id;
    const int64_t urgency = static_cast<int64_t>(random_() % kUrgencies);
    if (!router->cold->Find(server, At(now_)).has_value())
      return Send(router, server);
    if (router->cold->BlockedUntil(server, urgency, At(now_)) > At(now_))
      return;
    if (!Acquire(router, server, urgency))
      return;
    // The granter's answer travels, and the router may be suspended by then.
    const double asked = now_;
    const double incarnation = router->up_from;
    AfterAnswer(
        router, Draw(0, 0.01), [this, router, server, asked, incarnation] {
          if (router->up_from == incarnation && now_ - asked <= kMaxPermitAge)
            Send(router, server);
        });
  }
  void AfterAnswer(Router* router,
                   double delay,
                   const std::function<void()>& action) {
    After(delay, [this, router, action] {
      if (now_ < router->suspended_until)
        AfterAnswer(router, router->suspended_until - now_, action);
      else
        action();
    });
  }

  void Send(Router* router, const std::string& id) {
    const double sent = now_;
    After(Draw(0, 0.005), [this, router, id, sent] {
      Server& server =
          *std::find_if(servers_.begin(), servers_.end(),
                        [&](const Server& server) { return server.id == id; });
      if (now_ < server.up_from) {
        server.refused_at = std::min(server.refused_at, now_);
        AfterAnswer(router, 0.002,
                    [this, router, id] { HearRefusal(router, id); });
        return;
      }
      const bool is_cold = now_ < server.cold_until;
      if (is_cold && now_ >= server.known_from)
        server.while_cold.push_back({sent, now_});
      if (!server.says_in_answers)
        return;
      const double cold_for = std::max(0.0, server.cold_until - now_);
      AfterAnswer(router, Draw(0, 0.05), [this, router, id, sent, cold_for] {
        Hear(router, id, cold_for, sent);
      });
    });
  }
  void Hear(Router* router,
            const std::string& server,
            double cold_for,
            double sent) {
    if (!Runs(*router))
      return;
    const auto change = router->cold->OnAnswer(server, absl::Seconds(cold_for),
                                               At(sent), At(now_));
    if (change.has_value() && change->cold_for > absl::ZeroDuration())
      Tell(router, server);
  }
  void Tell(Router* router, const std::string& server) {
    const ColdStatement statement = *router->cold->Find(server, At(now_));
    After(kTellDelay, [this, router, server, statement] {
      for (Router& other : routers_) {
        if (Reaches(*router, other))
          other.cold->OnTold(server, statement, At(now_));
      }
    });
  }

  void HearRefusal(Router* router, const std::string& server) {
    if (Runs(*router) && router->cold->OnRefused(server, At(now_)).has_value())
      Tell(router, server);
  }

  // A server starts anew under its address. Its last entry is still listed.
  void RestartInPlace(Server* server) {
    if (now_ < server->up_from)
      return;
    server->up_from = kNever;
    server->refused_at = kNever;
    After(Draw(0.1, 1), [this, server] {
      // The entries of all may have been lost meanwhile.
      if (server->entry.has_value()) {
        const bool is_told =
            !GetParam().faults && server->refused_at + 2 * kTellDelay < now_;
        RestartServer(server);
        if (!is_told)
          server->known_from = now_ + kPollInterval + 2 * kStep;
      }
    });
  }

  // All servers of the domain return at once.
  void LoseDomain() {
    for (Server& server : servers_) {
      server.up_from = kNever;
      server.entry.reset();
    }
    After(3, [this] {
      for (Server& server : servers_)
        RestartServer(&server);
    });
  }

  void BeginFault() {
    Router* router = &Any();
    const double length = Draw(0.1, 3);
    switch (random_() % 6) {
      case 0:  // killed, and started soon after
        Start(router, now_ + Draw(0.05, 2));
        return;
      case 1:
        router->suspended_until = now_ + length;
        return;
      case 2:
        router->reaches_routers = false;
        After(length, [router] { router->reaches_routers = true; });
        return;
      case 3:
        router->reads_store = false;
        After(length, [router] { router->reads_store = true; });
        return;
      case 4:  // all at once
        for (Router& each : routers_)
          Start(&each, now_ + Draw(0.05, 0.5));
        return;
    }
    AddRouter();
  }
  // The others read its record one after the other.
  void AddRouter() {
    constexpr double kKnownToAll = 2;
    if (routers_.size() == routers_.capacity() || now_ < next_router_)
      return;
    next_router_ = now_ + kKnownToAll;
    const size_t number = routers_.size();
    routers_.push_back(
        {.address = {absl::StrCat("r-", number), absl::StrCat(number)},
         .known = routers_.front().known,
         .known_changed = now_,
         .is_new = true});
    Router* added = &routers_.back();
    Start(added, now_);
    added->known.push_back(added->address);
    for (size_t i = 0; i < number; ++i) {
      Router* router = &routers_[i];
      After(Draw(0, kKnownToAll), [this, router, added] {
        router->known.push_back(added->address);
        router->known_changed = now_;
      });
    }
  }

  void RunLater() {
    while (!later_.empty() && later_.top().at <= now_) {
      const auto action = later_.top().action;
      later_.pop();
      action();
    }
  }

  void Run() {
    constexpr double kDomainEvery = 12;
    constexpr double kFaultEvery = 0.7;
    constexpr double kColdEvery = 2;
    // Four times what all servers take while they are cold.
    const double demand = 4 * GetParam().rate * kServers * kStep;
    routers_.reserve(routers_.size() + 8);
    double next_domain = 3, next_fault = kFaultEvery, next_cold = kColdEvery;
    std::poisson_distribution<int> arrivals(demand);
    for (; now_ < kSeconds; now_ += kStep) {
      RunLater();
      if (now_ >= next_domain) {
        LoseDomain();
        next_domain += kDomainEvery;
      }
      if (now_ >= next_cold) {
        BecomeCold(&servers_[random_() % servers_.size()]);
        RestartInPlace(&servers_[random_() % servers_.size()]);
        next_cold += kColdEvery;
      }
      if (GetParam().faults && now_ >= next_fault) {
        BeginFault();
        next_fault += kFaultEvery;
      }
      WriteEntries();
      Poll();
      for (int i = arrivals(random_); i > 0; --i)
        Serve(&Any());
      for (Server& server : servers_) {
        if (now_ >= server.known_from && now_ >= server.up_from &&
            now_ < server.cold_until)
          server.cold_seconds += kStep;
      }
    }
  }

  // The most requests that were both sent and received within one second.
  static int MostWithinASecond(const std::vector<Request>& requests) {
    int most = 0;
    for (const Request& first : requests) {
      int count = 0;
      for (const Request& other : requests)
        count += other.sent >= first.sent && other.received <= first.sent + 1;
      most = std::max(most, count);
    }
    return most;
  }

  struct Later {
    double at;
    int64_t order;
    std::function<void()> action;
    bool operator<(const Later& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  double now_ = 0;
  std::vector<Server> servers_;
  std::vector<Router> routers_;
  std::priority_queue<Later> later_;
  int64_t order_ = 0;
  double next_router_ = 0;
  std::mt19937 random_{GetParam().seed};
};

TEST_P(ColdFleetTest, ColdServers_GetNoMoreThanTheirRate) {
  Run();
  int most = 0;
  size_t all = 0;
  double cold_seconds = 0;
  for (const Server& server : servers_) {
    most = std::max(most, MostWithinASecond(server.while_cold));
    all += server.while_cold.size();
    cold_seconds += server.cold_seconds;
  }
  const double rate = GetParam().rate;
  const double used = static_cast<double>(all) / (rate * cold_seconds);
  std::printf("most in a second %d of %.1f, used %.2f of the rate\n", most,
              1.5 * rate + 5, used);
  EXPECT_LE(most, 1.5 * rate + 5);
  EXPECT_GT(cold_seconds, kSeconds / 2);
  if (!GetParam().faults) {
    EXPECT_GE(used, 0.8);
  }
}

std::vector<FleetCase> AllCases() {
  std::vector<FleetCase> cases;
  for (const int routers : {1, 4, 28, 103, 340}) {
    for (const double rate : {0.5, 5.2, 30.0}) {
      cases.push_back({routers, rate, false, 1});
      for (uint32_t seed = 1; seed <= 4; ++seed)
        cases.push_back({routers, rate, true, seed});
    }
  }
  return cases;
}

INSTANTIATE_TEST_SUITE_P(Fleets,
                         ColdFleetTest,
                         testing::ValuesIn(AllCases()),
                         [](const auto& info) {
                           return absl::StrCat(
                               info.param.routers, "Routers",
                               static_cast<int>(info.param.rate * 10),
                               "TenthsASecond",
                               info.param.faults ? "Faults" : "Calm",
                               info.param.seed);
                         });

}  // namespace
}  // namespace hawthornhollow
