#ifndef HAWTHORNHOLLOW_RELAY_SERVER_LIMITS_CONTROLLER_H_
#define HAWTHORNHOLLOW_RELAY_SERVER_LIMITS_CONTROLLER_H_

// Carries out the decisions of ServerLimits among all routers: what a server
// says of its limit is told to the other routers, and a request to a limited
// server asks the server's granter for a permit.
//
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
#include "hawthornhollow/relay/relay.h"
#include "hawthornhollow/relay/server_limits.h"
#include "hawthornhollow/runtime/runtime.h"

namespace hawthornhollow {

struct ServerLimitsControllerOptions {
  ServerLimitOptions decisions;
  // Between two messages with news to the other routers.
  absl::Duration tell_interval = absl::Milliseconds(50);
  // A granter that did not answer is not asked again for this time.
  absl::Duration ask_pause = absl::Milliseconds(400);
  // Callers whose requests were denied come back after this time at least.
  absl::Duration min_retry_after = absl::Milliseconds(50);
};

// What ServerLimitsController needs of its router.
struct ServerLimitCalls {
  std::function<void(std::function<void()>)> spawn;  // runs on another fiber
  // All routers that are up, this one included.
  std::function<std::vector<RouterAddress>()> routers;
  std::function<absl::StatusOr<PermitAnswer>(const std::string& address,
                                             const PermitQuestion& question)>
      ask;
  std::function<absl::Status(
      const std::string& address,
      const std::vector<ServerLimitStatement>& statements)>
      tell;
};

class ServerLimitsController {
 public:
  // `router` is the name of this router.
  ServerLimitsController(std::string router,
                         const ServerLimitsControllerOptions& options,
                         ServerLimitCalls calls)
      : router_(std::move(router)),
        options_(options),
        calls_(std::move(calls)),
        limits_(options.decisions) {}
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

  bool IsLimited(const std::string& server) const {
    return limits_.Find(server).has_value();
  }
  // Limited servers that a request of this urgency need not ask for now.
  std::set<std::string> Blocked(int64_t urgency) const {
    std::set<std::string> blocked;
    const absl::Time now = SteadyNow();
    for (const std::string& server : LimitedServers()) {
      if (limits_.BlockedUntil(server, urgency, now) > now)
        blocked.insert(server);
    }
    return blocked;
  }
  std::vector<std::string> LimitedServers() const {
    std::vector<std::string> servers;
    for (const ServerLimitStatement& statement : limits_.statements()) {
      if (statement.requests_per_second.has_value())
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
        earliest = std::min(earliest,
                            limits_.BlockedUntil(server, urgency, now) - now);
      }
    }
    return std::max(earliest, options_.min_retry_after);
  }

  // Obtains a permit for one request to a limited server, asking its granter if
  // that is another router. False: the request must go elsewhere.
  bool Acquire(const std::string& server, int64_t urgency) {
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
    LogEvent("server.no_granter", LogSeverity::kWarning)
        .Add("server", server)
        .Add("retry_ms", absl::ToInt64Milliseconds(options_.ask_pause));
    limits_.OnDenied(server, kMostUrgent, SteadyNow() + options_.ask_pause);
    return false;
  }

  // Another router asks this one for a permit.
  PermitAnswer OnPermitWanted(const PermitQuestion& question) {
    Learn(question.statement, question.router);
    const std::string& server = question.statement.server;
    const Permit permit = Grant(question.router, server, question.urgency);
    ServerLimitStatement known = question.statement;
    for (const ServerLimitStatement& statement : limits_.statements()) {
      if (statement.server == server)
        known = statement;
    }
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
    return limits_.statements();
  }
  size_t limited_count() const { return limits_.limited_count(); }
  void KeepServers(const std::vector<RelayServer>& servers) {
    std::vector<std::string> used;
    for (const RelayServer& server : servers)
      used.push_back(server.id);
    limits_.KeepServers(used, SteadyNow());
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
    if (!limits_.Learn(statement))
      return false;
    LogEvent("server.limit_changed")
        .Add("server", statement.server)
        .Add("per_second", statement.requests_per_second.value_or(0))
        .Add("age_ms", absl::ToInt64Milliseconds(SteadyNow() - statement.as_of))
        .Add("source", source);
    return true;
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
    absl::Time& paused_until = paused_until_[granter.router];
    if (paused_until > SteadyNow())
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
    return answer->permit;
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
    for (const ServerLimitStatement& statement : limits_.statements()) {
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
  std::set<std::string> news_;  // servers whose answers changed a limit
  bool has_asked_ = false;
  std::vector<RouterAddress> routers_;
  absl::Time routers_changed_ = SteadyNow();
  std::map<std::string, absl::Time> paused_until_;  // keyed by router
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_SERVER_LIMITS_CONTROLLER_H_
