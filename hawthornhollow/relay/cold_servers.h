#ifndef HAWTHORNHOLLOW_RELAY_COLD_SERVERS_H_
#define HAWTHORNHOLLOW_RELAY_COLD_SERVERS_H_

// Decides which backend servers are cold, until when, and when requests may be
// sent to them. Has no I/O and no clock.
//
// A cold server crashes under load that a warm one bears. While it is cold, all
// routers together send it no more than its service's rate: the limit of
// server_limits.h, but one that ends by itself. Workload: a whole failure
// domain comes back at once, and its idle servers attract every request.
//
//   ColdServers cold(options, start);
//   cold.SetServices(table->services(), now);
//   cold.SetServers(servers, now);              // entries of the store
//   cold.OnAnswer(server, cold_for, sent_at, now);
//   cold.OnDomainRestored(domain, now);         // its servers may be cold
//   cold.OnRefused(server, now);                // it starts anew
//   cold.OnTold(server, statement, now);        // by another router
//
// On the router that wants to send:
//   if (const auto statement = cold.Find(server, now))
//     AskGranters(server, *statement);          // ChooseGranters(..,
//     kGranters)
//
// On a granter:
//   Permit permit = cold.Grant({.server = server, ...}, now);

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "hawthornhollow/relay/backend_server.h"
#include "hawthornhollow/relay/routing_table.h"
#include "hawthornhollow/relay/server_limits.h"

namespace hawthornhollow {

struct ColdServerOptions {
  // What an entry says may be older than its first read by this: servers write
  // theirs each 1,200 ms, and routers poll each 400 ms.
  absl::Duration max_entry_delay = absl::Milliseconds(1'600);
  // A router gives no permits for this time after its start, as its previous
  // incarnation may have given some just before: one second, and the delay
  // between a permit and its use.
  absl::Duration quiet_after_start = absl::Milliseconds(1'200);
  // A router of which the others have not known gives none until the routers
  // that it knows have not changed for this time for each of them, within the
  // bounds `quiet_after_start` and `settled_after`: twice the time in which the
  // others read its record (RecordSynchronizerOptions::interval_per_router).
  // When a whole fleet starts for the first time, many take themselves for one
  // of the three.
  absl::Duration quiet_per_router = absl::Milliseconds(80);
  // The choice of granters is settled once the known routers have not changed
  // for this time, in which all have read the records of one that came or went.
  absl::Duration settled_after = absl::Seconds(5);
  // A change of the end of less than this is no news.
  absl::Duration min_news = absl::Milliseconds(300);
  // As for ServerLimits. Each granter may add the burst to what a server gets
  // within a second: those of four are the five requests that a server bears.
  // Urgency counts for as long as a caller waits that is told to come back.
  ServerLimitOptions permits = {.max_burst = 1.25,
                                .burst_time = absl::Seconds(10),
                                .urgent_memory = absl::Milliseconds(250),
                                .gives_surplus = true,
                                .max_retry_after = absl::Seconds(2)};
  // A router that was denied asks again after a quarter of the time in which
  // the server takes one request, and at most this. That callers are told to
  // come back later is no reason to leave a permit unused.
  absl::Duration max_block = absl::Milliseconds(250);
  friend auto operator<=>(const ColdServerOptions&,
                          const ColdServerOptions&) = default;
};

// A change of what is known of a server.
struct ColdChange {
  std::string server;
  double requests_per_second = 0;
  absl::Duration cold_for;  // zero: it is not cold any more
  friend auto operator<=>(const ColdChange&, const ColdChange&) = default;
};

struct ColdPermitQuestion {
  std::string server;
  int64_t urgency = 0;
  // Of the server, from all routers together, as the router that asks knows it.
  double requests_per_second = 0;
  size_t granters = 0;         // that this router knows; at most kGranters
  size_t routers = 0;          // that it knows, itself included
  bool is_new_router = false;  // others may not know this router yet
  absl::Duration since_routers_changed;
};

class ColdServers {
 public:
  // Each gives this part of a server's rate, whatever the others do.
  static constexpr size_t kGranters = 3;

  // `start` is when this router started.
  ColdServers(const ColdServerOptions& options, absl::Time start)
      : options_(options), start_(start), permits_(options.permits) {}

  void SetServices(const std::vector<RelayService>& services, absl::Time now);
  // All entries, as they were read. Each returns what has changed for servers
  // whose service has a cold rate.
  std::vector<ColdChange> SetServers(const std::vector<RelayServer>& servers,
                                     absl::Time now);
  // All servers of the domain may be cold, from `at` for their service's cold
  // time, unless a later revision of their entry says otherwise.
  std::vector<ColdChange> OnDomainRestored(std::string_view domain,
                                           absl::Time at);
  // An answer says how much longer the server is cold; zero: it is not.
  // `sent_at` is when its request was sent.
  std::optional<ColdChange> OnAnswer(std::string_view server,
                                     absl::Duration cold_for,
                                     absl::Time sent_at,
                                     absl::Time now);
  // The server refuses connections: it starts anew, and is taken for cold from
  // then on, until an entry that was written later says otherwise.
  std::optional<ColdChange> OnRefused(std::string_view server, absl::Time now);
  // Whether its service has a cold rate.
  bool MayBecomeCold(std::string_view server) const;
  std::optional<ColdChange> OnTold(std::string_view server,
                                   const ColdStatement& statement,
                                   absl::Time now);

  // What is known of a server that is cold; nullopt if it is not.
  std::optional<ColdStatement> Find(std::string_view server,
                                    absl::Time now) const;
  // The cold servers.
  std::vector<std::string> servers(absl::Time now) const;

  // Gives a permit if less than this router's part of the rate was given of
  // late.
  Permit Grant(const ColdPermitQuestion& question, absl::Time now);

  // After a denial by all granters: when a request may ask again, and when its
  // caller should come back. In the past if it may ask now.
  absl::Time BlockedUntil(std::string_view server,
                          int64_t urgency,
                          absl::Time now) const;
  absl::Time RetryAt(std::string_view server, absl::Time now) const;
  void OnDenied(std::string_view server,
                int64_t urgency,
                double requests_per_second,
                absl::Time retry_at,
                absl::Time now);

 private:
  struct State {
    // Of the entry that was read last.
    std::string service;
    std::string failure_domain;
    ServerRevision revision;
    absl::Duration cold_for;
    absl::Time read_at = absl::InfinitePast();  // this revision, first
    // The newest of what answers and other routers said.
    ColdStatement heard;
    bool is_guess = false;  // the failure domain was restored
    absl::Time retry_at = absl::InfinitePast();
    absl::Time used_at = absl::InfinitePast();
  };
  struct Service {
    double requests_per_second = 0;
    absl::Duration cold_time;
  };

  const Service* ServiceOf(const State& state) const;
  ColdStatement EntryStatement(std::string_view server,
                               const State& state) const;
  // Of the entry and what was heard, what counts.
  ColdStatement Effective(std::string_view server, const State& state) const;
  bool IsCold(const ColdStatement& statement, absl::Time now) const {
    return statement.until > now && statement.requests_per_second > 0;
  }
  // Calls `change` and compares.
  template <typename Change>
  std::optional<ColdChange> Apply(std::string_view server,
                                  absl::Time now,
                                  Change change);
  // Zero: this router may give permits.
  absl::Duration QuietTime(const ColdPermitQuestion& question, absl::Time now);
  void SetPermitRate(std::string_view server,
                     double requests_per_second,
                     absl::Time now);
  void ForgetUnused(absl::Time now);

  const ColdServerOptions options_;
  const absl::Time start_;
  ServerLimits permits_;
  // Services with a cold rate, by name.
  std::map<std::string, Service, std::less<>> services_;
  std::map<std::string, State, std::less<>> servers_;  // by id
  // Ids of servers that may be cold: most never are, and each request asks for
  // the cold ones.
  std::set<std::string, std::less<>> candidates_;
  uint64_t answers_ = 0;
  bool is_known_ = false;  // all routers know this one
};

// The routers that give permits for a cold server, in the order in which
// `router` asks them: the routers begin with different ones.
std::vector<RouterAddress> ColdGranters(
    std::string_view server,
    std::string_view router,
    const std::vector<RouterAddress>& routers);

// Among how many granters a router divides a server's cold rate.
size_t AssumedGranters(const ColdPermitQuestion& question,
                       const ColdServerOptions& options);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_COLD_SERVERS_H_
