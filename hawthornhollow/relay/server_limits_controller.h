#ifndef HAWTHORNHOLLOW_RELAY_SERVER_LIMITS_CONTROLLER_H_
#define HAWTHORNHOLLOW_RELAY_SERVER_LIMITS_CONTROLLER_H_

// Carries out the decisions of ServerLimits among all routers: what a server
// says of its limit is told to the other routers, and a request to a limited
// server asks the server's granter for a permit. The same for cold servers and
// the decisions of ColdServers; a server that is cold and states a limit gets
// requests at the lower rate of the two, as a cold one.
//
//   controller.SetServices(table->services());         // each configuration
//   controller.KeepServers(servers);                   // each list
//   controller.OnColdStated(server, cold_for, sent_at);
//   controller.OnConnectionLost(server);
//   controller.OnDomainRestored(failure_domain, at);   // its evacuation ended
//   controller.OnAnswer(server, limit, sent_at);       // for each answer
//   if (controller.IsLimited(server) && !controller.Acquire(server, urgency))
//     ChooseAnotherServer();

#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/cold_servers.h"
#include "hawthornhollow/relay/relay.h"
#include "hawthornhollow/relay/server_limits.h"
#include "hawthornhollow/relay/server_limits_calls.h"
#include "hawthornhollow/runtime/runtime.h"

namespace hawthornhollow {

class ServerLimitsController {
 public:
  // `router` is the name of this router.
  ServerLimitsController(std::string router,
                         const ServerLimitsControllerOptions& options,
                         ServerLimitCalls calls)
      : router_(std::move(router)),
        options_(options),
        calls_(std::move(calls)),
        limits_(options.decisions),
        cold_(options.cold, SteadyNow()) {}
  ServerLimitsController(const ServerLimitsController&) = delete;
  ServerLimitsController& operator=(const ServerLimitsController&) = delete;

  // A server's answer stated this limit, or none. `sent_at` is when the request
  // was sent.
  void OnAnswer(const std::string& server,
                std::optional<double> requests_per_second,
                absl::Time sent_at) {
    const bool is_limited = requests_per_second.has_value();
    const bool is_news = Learn({.server = server,
                                .requests_per_second = requests_per_second,
                                .as_of = is_limited ? SteadyNow() : sent_at},
                               "answer");
    // What another router has told it tells the others itself.
    if (is_news)
      news_.insert(server);
  }

  // The same of how much longer it is cold; zero: it is not.
  void OnColdStated(const std::string& server,
                    absl::Duration cold_for,
                    absl::Time sent_at) {
    const auto change = cold_.OnAnswer(server, cold_for, sent_at, SteadyNow());
    if (!change.has_value())
      return;
    LogColdChange(*change, "answer");
    if (change->cold_for > absl::ZeroDuration())
      news_.insert(server);
  }
  // The evacuation of a failure domain ended: its servers may be cold.
  void OnDomainRestored(std::string_view failure_domain, absl::Time at) {
    for (const ColdChange& change : cold_.OnDomainRestored(failure_domain, at))
      LogColdChange(change, "domain");
  }
  // A connection to the server failed or broke off. If it refuses connections,
  // it starts anew, and may be cold before its entry says so.
  void OnConnectionLost(const RelayServer& server) {
    if (!cold_.MayBecomeCold(server.id) || !probed_.insert(server.id).second)
      return;
    calls_.spawn([this, server] {
      const absl::StatusOr<bool> refuses =
          calls_.refuses(server.address, options_.probe_timeout);
      probed_.erase(server.id);
      if (!refuses.ok() || !*refuses)
        return;
      const auto change = cold_.OnRefused(server.id, SteadyNow());
      if (!change.has_value())
        return;
      LogColdChange(*change, "refused");
      news_.insert(server.id);
    });
  }
  void SetServices(const std::vector<RelayService>& services) {
    cold_.SetServices(services, SteadyNow());
  }

  // Whether requests to the server need permits.
  bool IsLimited(const std::string& server) const {
    return limits_.Find(server).has_value() || IsCold(server);
  }
  bool IsCold(const std::string& server) const {
    return cold_.Find(server, SteadyNow()).has_value();
  }
  // Limited servers that a request of this urgency need not ask for now.
  std::set<std::string> Blocked(int64_t urgency) const {
    std::set<std::string> blocked;
    const absl::Time now = SteadyNow();
    for (const std::string& server : LimitedServers()) {
      const absl::Time until = IsCold(server)
                                   ? cold_.BlockedUntil(server, urgency, now)
                                   : limits_.BlockedUntil(server, urgency, now);
      if (until > now)
        blocked.insert(server);
    }
    return blocked;
  }
  std::vector<std::string> LimitedServers() const {
    std::vector<std::string> servers = cold_.servers(SteadyNow());
    for (const ServerLimitStatement& statement : limits_.statements()) {
      if (statement.requests_per_second.has_value() &&
          !IsCold(statement.server))
        servers.push_back(statement.server);
    }
    return servers;
  }
  // When a request that was denied by all of `servers` may come back.
  absl::Duration RetryAfter(const std::vector<std::string>& servers,
                            int64_t urgency) const {
    const absl::Time now = SteadyNow();
    absl::Duration earliest = options_.decisions.max_retry_after;
    for (const std::string& server : servers) {
      if (IsLimited(server)) {
        const absl::Time at = IsCold(server)
                                  ? cold_.RetryAt(server, now)
                                  : limits_.BlockedUntil(server, urgency, now);
        earliest = std::min(earliest, at - now);
      }
    }
    return std::max(earliest, options_.min_retry_after);
  }

  // Obtains a permit for one request to a limited server, asking its granter if
  // that is another router. False: the request must go elsewhere.
  bool Acquire(const std::string& server, int64_t urgency) {
    if (const auto cold = cold_.Find(server, SteadyNow()))
      return AcquireCold(server, urgency, *cold);
    const auto statement = limits_.Find(server);
    if (!statement.has_value())
      return true;
    const PermitQuestion question{
        .router = router_, .urgency = urgency, .statement = *statement};
    bool is_first = true;
    for (const RouterAddress& granter :
         ChooseGranters(server, calls_.routers())) {
      const auto permit = AskGranter(granter, is_first, question);
      if (permit.has_value()) {
        if (!permit->granted) {
          limits_.OnDenied(server, urgency, SteadyNow() + permit->retry_after);
        }
        return permit->granted;
      }
      is_first = false;
    }
    LogNoGranter(server);
    limits_.OnDenied(server, kMostUrgent, SteadyNow() + options_.ask_pause);
    return false;
  }

  // Another router asks this one for a permit.
  PermitAnswer OnPermitWanted(const PermitQuestion& question) {
    Learn(question.statement, question.router);
    const std::string& server = question.statement.server;
    const auto& cold = question.statement.cold;
    const Permit permit =
        cold.has_value()
            ? GrantCold(question.router, server, question.urgency, *cold)
            : Grant(question.router, server, question.urgency);
    ServerLimitStatement known = question.statement;
    for (const ServerLimitStatement& statement : limits_.statements()) {
      if (statement.server == server)
        known = statement;
    }
    // With it the other router knows that its question was understood.
    known.cold = cold_.Find(server, SteadyNow());
    if (!known.cold.has_value())
      known.cold = cold;
    return {.permit = permit, .statement = known};
  }
  void OnTold(const std::vector<ServerLimitStatement>& statements,
              std::string_view source) {
    for (const ServerLimitStatement& statement : statements)
      Learn(statement, source);
  }

  // Whether another router has told this one all that it knows.
  bool has_asked() const { return has_asked_; }
  void set_has_asked() { has_asked_ = true; }

  std::vector<ServerLimitStatement> statements() const {
    std::vector<ServerLimitStatement> statements = limits_.statements();
    for (const std::string& server : cold_.servers(SteadyNow()))
      statements.push_back(WithCold(NoLimit(server)));
    return statements;
  }
  size_t limited_count() const { return limits_.limited_count(); }
  size_t cold_count() const { return cold_.servers(SteadyNow()).size(); }
  void KeepServers(const std::vector<RelayServer>& servers) {
    std::vector<std::string> used;
    for (const RelayServer& server : servers)
      used.push_back(server.id);
    limits_.KeepServers(used, SteadyNow());
    for (const ColdChange& change : cold_.SetServers(servers, SteadyNow()))
      LogColdChange(change, "entry");
  }

  // Tells the other routers what is new until `stop` is set. Call it on its own
  // fiber.
  void Run(const std::atomic<bool>& stop) {
    while (!stop) {
      hawthornhollow::SleepFor(options_.tell_interval);
      ObserveRouters();
      TellNews();
    }
  }

 private:
  static constexpr int64_t kMostUrgent = 0;

  bool Learn(const ServerLimitStatement& statement, std::string_view source) {
    if (statement.cold.has_value()) {
      const auto change =
          cold_.OnTold(statement.server, *statement.cold, SteadyNow());
      if (change.has_value())
        LogColdChange(*change, source);
    }
    if (!limits_.Learn(statement))
      return false;
    LogEvent("server.limit_changed")
        .Add("server", statement.server)
        .Add("per_second", statement.requests_per_second.value_or(0))
        .Add("age_ms", absl::ToInt64Milliseconds(SteadyNow() - statement.as_of))
        .Add("source", source);
    return true;
  }

  static void LogColdChange(const ColdChange& change, std::string_view source) {
    LogEvent("server.cold_changed")
        .Add("server", change.server)
        .Add("per_second", change.requests_per_second)
        .Add("for_ms", absl::ToInt64Milliseconds(change.cold_for))
        .Add("source", source);
  }

  // It replaces nothing that another router knows.
  static ServerLimitStatement NoLimit(const std::string& server) {
    return {.server = server, .as_of = absl::InfinitePast()};
  }

  // The statement, with what is known of how cold its server is.
  ServerLimitStatement WithCold(ServerLimitStatement statement) const {
    statement.cold = cold_.Find(statement.server, SteadyNow());
    return statement;
  }

  bool AcquireCold(const std::string& server,
                   int64_t urgency,
                   ColdStatement cold) {
    ServerLimitStatement statement =
        limits_.Find(server).value_or(NoLimit(server));
    cold.requests_per_second = std::min(
        cold.requests_per_second,
        statement.requests_per_second.value_or(cold.requests_per_second));
    statement.cold = cold;
    const PermitQuestion question{
        .router = router_, .urgency = urgency, .statement = statement};
    absl::Time retry_at = absl::InfiniteFuture();
    if (calls_.knows_routers()) {
      for (const RouterAddress& granter :
           ColdGranters(server, router_, calls_.routers())) {
        const auto permit = AskColdGranter(granter, question);
        if (!permit.has_value())
          continue;
        if (permit->granted)
          return true;
        retry_at = std::min(retry_at, SteadyNow() + permit->retry_after);
      }
    }
    if (retry_at == absl::InfiniteFuture()) {
      LogNoGranter(server);
      retry_at = SteadyNow() + options_.ask_pause;
    }
    cold_.OnDenied(server, urgency, cold.requests_per_second, retry_at,
                   SteadyNow());
    return false;
  }

  // Returns nullopt if the granter does not answer, or too late.
  std::optional<Permit> AskColdGranter(const RouterAddress& granter,
                                       const PermitQuestion& question) {
    const std::string& server = question.statement.server;
    if (granter.router == router_)
      return GrantCold(router_, server, question.urgency,
                       *question.statement.cold);
    const absl::Time asked_at = SteadyNow();
    const auto answer = Ask(granter, question);
    if (!answer.has_value())
      return std::nullopt;
    // A router of an earlier version grants what it does not understand.
    if (!answer->statement.cold.has_value())
      return std::nullopt;
    const absl::Duration age = SteadyNow() - asked_at;
    if (answer->permit.granted && age > options_.max_permit_age) {
      LogEvent("server.permit_expired", LogSeverity::kWarning)
          .Add("peer", granter.router)
          .Add("server", server)
          .Add("age_ms", absl::ToInt64Milliseconds(age));
      return std::nullopt;
    }
    return answer->permit;
  }

  Permit GrantCold(const std::string& router,
                   const std::string& server,
                   int64_t urgency,
                   const ColdStatement& cold) {
    const absl::Time now = SteadyNow();
    const std::vector<RouterAddress> routers = calls_.routers();
    const auto granters =
        ChooseGranters(server, routers, ColdServers::kGranters);
    const bool is_granter = calls_.knows_routers() &&
                            std::any_of(granters.begin(), granters.end(),
                                        [this](const RouterAddress& granter) {
                                          return granter.router == router_;
                                        });
    const Permit permit =
        is_granter
            ? cold_.Grant({.server = server,
                           .urgency = urgency,
                           .requests_per_second = cold.requests_per_second,
                           .granters = granters.size(),
                           .routers = routers.size(),
                           .is_new_router = calls_.is_new_router(),
                           .since_routers_changed = now - routers_changed_},
                          now)
            : Permit{.retry_after = options_.ask_pause};
    const bool granted = permit.granted;
    LogEvent(granted ? "server.cold_granted" : "server.cold_denied")
        .Add("server", server)
        .Add("peer", router)
        .Add("urgency", urgency)
        .Add("per_second", cold.requests_per_second)
        .Add("for_ms", absl::ToInt64Milliseconds(cold.until - now))
        .Add("is_granter", is_granter ? 1 : 0)
        .Add("retry_ms", absl::ToInt64Milliseconds(permit.retry_after));
    return permit;
  }

  void LogNoGranter(const std::string& server) const {
    LogEvent("server.no_granter", LogSeverity::kWarning)
        .Add("server", server)
        .Add("retry_ms", absl::ToInt64Milliseconds(options_.ask_pause));
  }

  void ObserveRouters() {
    std::vector<RouterAddress> routers = calls_.routers();
    if (routers == routers_)
      return;
    routers_ = std::move(routers);
    routers_changed_ = SteadyNow();
  }

  // Returns nullopt if the granter does not answer.
  std::optional<Permit> AskGranter(const RouterAddress& granter,
                                   bool is_first,
                                   const PermitQuestion& question) {
    if (granter.router == router_) {
      return Grant(router_, question.statement.server, question.urgency,
                   is_first);
    }
    const auto answer = Ask(granter, question);
    if (!answer.has_value())
      return std::nullopt;
    return answer->permit;
  }

  std::optional<PermitAnswer> Ask(const RouterAddress& granter,
                                  const PermitQuestion& question) {
    if (paused_until_[granter.router] > SteadyNow())
      return std::nullopt;
    const auto answer = calls_.ask(granter.address, question);
    if (!answer.ok()) {
      paused_until_[granter.router] = SteadyNow() + options_.ask_pause;
      LogEvent("server.permit_ask_failed", LogSeverity::kWarning)
          .Add("peer", granter.router)
          .Add("server", question.statement.server)
          .Add("reason", answer.status());
      return std::nullopt;
    }
    Learn(answer->statement, granter.router);
    return *answer;
  }

  Permit Grant(const std::string& router,
               const std::string& server,
               int64_t urgency) {
    const auto granters = ChooseGranters(server, calls_.routers());
    const bool is_first =
        !granters.empty() && granters.front().router == router_;
    return Grant(router, server, urgency, is_first);
  }
  Permit Grant(const std::string& router,
               const std::string& server,
               int64_t urgency,
               bool is_first) {
    const absl::Time now = SteadyNow();
    const double share = GrantedShare(is_first, now - routers_changed_);
    const Permit permit = limits_.Grant(server, urgency, share, now);
    const auto limit = limits_.Find(server);
    const bool granted = permit.granted;
    LogEvent(granted ? "server.permit_granted" : "server.permit_denied")
        .Add("server", server)
        .Add("peer", router)
        .Add("urgency", urgency)
        .Add("per_second",
             limit.has_value() ? *limit->requests_per_second : 0.0)
        .Add("share", share)
        .Add("retry_ms", absl::ToInt64Milliseconds(permit.retry_after));
    return permit;
  }

  void TellNews() {
    if (news_.empty())
      return;
    std::vector<ServerLimitStatement> statements;
    for (const ServerLimitStatement& statement : this->statements()) {
      if (news_.contains(statement.server))
        statements.push_back(statement);
    }
    news_.clear();
    for (const RouterAddress& router : routers_) {
      if (router.router != router_)
        Tell(router, statements);
    }
  }

  void Tell(const RouterAddress& router,
            const std::vector<ServerLimitStatement>& statements) {
    calls_.spawn([this, router, statements] {
      const absl::Status told = calls_.tell(router.address, statements);
      if (told.ok())
        return;
      LogEvent("server.limit_tell_failed", LogSeverity::kWarning)
          .Add("peer", router.router)
          .Add("reason", told);
    });
  }

  const std::string router_;
  const ServerLimitsControllerOptions options_;
  const ServerLimitCalls calls_;
  ServerLimits limits_;
  ColdServers cold_;
  std::set<std::string> news_;    // servers whose answers changed a limit
  std::set<std::string> probed_;  // servers whose connections are tried
  bool has_asked_ = false;
  std::vector<RouterAddress> routers_;
  absl::Time routers_changed_ = SteadyNow();
  std::map<std::string, absl::Time> paused_until_;  // keyed by router
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_SERVER_LIMITS_CONTROLLER_H_
