#ifndef HAWTHORNHOLLOW_RELAY_SERVER_LIMITS_H_
#define HAWTHORNHOLLOW_RELAY_SERVER_LIMITS_H_

// Decides when requests may be sent to backend servers that state how many
// requests per second they take from all routers together. Has no I/O and no
// clock.
//
// For each such server one router, its granter, gives permits for single
// requests; ChooseGranters() names it. The other routers ask it before they
// send. Without a permit, a request goes to another server.
//
//   ServerLimits limits(options);
//   if (limits.Learn(statement_of_the_answer))
//     TellOtherRouters(statement);              // they call Learn()
//
// On the router that wants to send:
//   if (const auto limit = limits.Find(server)) {
//     if (limits.BlockedUntil(server, urgency, now) > now)
//       ChooseAnotherServer();
//     const Permit permit = AskGranter(server, urgency, *limit);
//     if (!permit.granted)
//       limits.OnDenied(server, urgency, now + permit.retry_after);
//   }
//
// On the granter:
//   Permit permit = limits.Grant(server, urgency, share, now);

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {

struct ServerLimitOptions {
  // A granter may give this many permits at once after a pause; at least one,
  // and those of this time.
  double max_burst = 2;
  absl::Duration burst_time = absl::Milliseconds(250);
  // While a more urgent request was denied this recently, less urgent ones are.
  absl::Duration urgent_memory = absl::Seconds(1);
  // Less urgent requests nevertheless get a permit that would be lost, as no
  // more can be kept.
  bool gives_surplus = false;
  // Upper bound on when a denied request is told to come back.
  absl::Duration max_retry_after = absl::Seconds(5);
  // What is known of a server that is not in use any more is forgotten after
  // this time. A missing entry may come back.
  absl::Duration forget_after = absl::Minutes(1);
  friend auto operator<=>(const ServerLimitOptions&,
                          const ServerLimitOptions&) = default;
};

// That a server is cold, as one router knows it.
struct ColdStatement {
  // The same for all routers that know it from the same source, so that a
  // statement that comes back by way of another router is no news.
  uint64_t id = 0;
  double requests_per_second = 0;
  absl::Time until = absl::InfinitePast();
  absl::Time as_of = absl::InfinitePast();  // the server said so no earlier
  friend auto operator<=>(const ColdStatement&, const ColdStatement&) = default;
};

// What a server says of itself.
struct ServerLimitStatement {
  std::string server;
  // Unset: the server states no limit any more.
  std::optional<double> requests_per_second;
  // The server said so no earlier than this. For a limit, when its answer
  // arrived; for none, when the request was sent that was answered without one.
  absl::Time as_of;
  // Set only in messages between routers; ServerLimits takes no notice of it.
  std::optional<ColdStatement> cold;
  friend auto operator<=>(const ServerLimitStatement&,
                          const ServerLimitStatement&) = default;
};

// A granter's answer.
struct Permit {
  bool granted = false;
  // When a request of this urgency may get a permit, if not granted.
  absl::Duration retry_after;
  friend auto operator<=>(const Permit&, const Permit&) = default;
};

// A router asks the granter of a server.
struct PermitQuestion {
  std::string router;  // that asks
  int64_t urgency = 0;
  ServerLimitStatement statement;  // as the router knows it
  friend auto operator<=>(const PermitQuestion&,
                          const PermitQuestion&) = default;
};
struct PermitAnswer {
  Permit permit;
  ServerLimitStatement statement;  // as the granter knows it
  friend auto operator<=>(const PermitAnswer&, const PermitAnswer&) = default;
};

class ServerLimits {
 public:
  explicit ServerLimits(const ServerLimitOptions& options)
      : options_(options) {}

  // Takes a statement that this router, or another one, has heard. Returns
  // whether it changes what other routers should know.
  bool Learn(const ServerLimitStatement& statement);

  // The limit in force, or nullopt.
  std::optional<ServerLimitStatement> Find(std::string_view server) const;
  // All limits in force, and limits that have ended of late.
  std::vector<ServerLimitStatement> statements() const;
  size_t limited_count() const;

  // When a request may ask for a permit again after a denial; in the past if it
  // may ask now.
  absl::Time BlockedUntil(std::string_view server,
                          int64_t urgency,
                          absl::Time now) const;
  void OnDenied(std::string_view server, int64_t urgency, absl::Time until);

  // Gives a permit if less than `share` of the limit was granted of late.
  // `burst_factor` is of options.max_burst.
  Permit Grant(std::string_view server,
               int64_t urgency,
               double share,
               absl::Time now,
               double burst_factor = 1);

  // Forgets servers that have not been in `used` for long.
  void KeepServers(const std::vector<std::string>& used, absl::Time now);

 private:
  struct Denial {
    int64_t urgency = 0;
    absl::Time at = absl::InfinitePast();
  };
  struct State {
    ServerLimitStatement statement;
    // Permits given by this router: those that may be given now, as of
    // `filled`.
    double tokens = 0;
    absl::Time filled = absl::InfinitePast();
    Denial denial;             // the most urgent one of late
    int64_t denied_since = 0;  // the last permit
    // Denials by granters; requests at least as urgent as `blocked.urgency` may
    // ask earlier.
    int64_t blocked_urgency = 0;
    absl::Time blocked_until = absl::InfinitePast();
    absl::Time used_at = absl::InfinitePast();
  };

  // Denied requests come back after this time at least.
  static constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(20);

  double Capacity(double per_second, double burst_factor) const;
  void Refill(State* state,
              double per_second,
              double capacity,
              absl::Time now) const;
  bool IsOutranked(const State& state, int64_t urgency, absl::Time now) const;
  bool HasSurplus(const State& state, double capacity) const {
    return options_.gives_surplus && state.tokens >= capacity;
  }
  Permit Deny(State* state,
              int64_t urgency,
              double per_second,
              absl::Time now) const;

  const ServerLimitOptions options_;
  std::map<std::string, State, std::less<>> servers_;  // keyed by id
};

// The share of a server's limit that a router may grant, by its place among
// the granters: the first one all of it, the second one, which is asked when
// the first does not answer, half. A router that has been first only since
// other routers came or went grants half too, because its predecessor may not
// know yet. A full and a half share at a time are one and a half times the
// limit.
double GrantedShare(bool is_first, absl::Duration since_change);

// The routers that give permits for a server, the first one first: at most
// `count`. All that know the same routers choose the same.
std::vector<RouterAddress> ChooseGranters(
    std::string_view server,
    const std::vector<RouterAddress>& routers,
    size_t count = 2);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_SERVER_LIMITS_H_
