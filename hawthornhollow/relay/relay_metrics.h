#ifndef HAWTHORNHOLLOW_RELAY_RELAY_METRICS_H_
#define HAWTHORNHOLLOW_RELAY_RELAY_METRICS_H_

// The router's metrics, rendered as a text page. Series have no label for a
// workspace or request id, so that their number is bounded by the configured
// routes and the registered servers; MetricRegistry limits it as well.
//
//   RelayMetrics metrics;
//   metrics.OnRequestEnd({.route = "permits", .outcome = "answered", ...});
//   std::string page = metrics.Render(gauges);

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/time/time.h"
#include "hawthornhollow/http/request_account.h"
#include "hawthornhollow/metrics/metrics.h"
#include "hawthornhollow/relay/relay.h"

namespace hawthornhollow {

// One request that has ended.
struct EndedRequest {
  std::string route;  // empty if none matched
  int64_t priority = 0;
  std::string outcome;
  absl::Duration took;
  absl::Duration first_event = absl::InfiniteDuration();  // infinite: no event
  int64_t used_tokens = 0;
};

// Current values, read when the page is rendered.
struct RelayGauges {
  int64_t config_version = 0;
  // Time since the configuration and the server list were last read.
  absl::Duration config_age = absl::InfiniteDuration();
  absl::Duration servers_age = absl::InfiniteDuration();
  int64_t servers = 0;
  int64_t kept_servers = 0;  // in use although their entry is missing
  int64_t routers = 0;
  int64_t evacuated_domains = 0;  // as far as this router knows
  int64_t quarantined_parts = 0;  // of prompts
  int64_t limited_servers = 0;    // state a limit of requests per second
  int64_t cold_servers = 0;
  int64_t coordinated_servers = 0;  // whose load this router keeps
  int64_t requests_in_progress = 0;
  int64_t caller_connections = 0;  // open connections
  int64_t request_memory = 0;      // bytes that requests hold
  HttpRefusals refusals;
  // Sums over all workspaces: tokens that this router can reserve now, and
  // tokens needed by waiting requests.
  int64_t available_tokens = 0;
  int64_t waiting_tokens = 0;
  absl::Duration record_age = absl::InfiniteDuration();
};

class RelayMetrics {
 public:
  RelayMetrics() = default;
  RelayMetrics(const RelayMetrics&) = delete;
  RelayMetrics& operator=(const RelayMetrics&) = delete;

  void OnRequestEnd(const EndedRequest& request);
  // Counts one attempt at a server; `end` has the same values as in the log.
  void OnServerAttempt(std::string_view server, std::string_view end);
  // Counts a choice of a server, by what it was chosen, and the questions to
  // other routers that it took.
  void OnPlaced(std::string_view placed_by,
                int64_t questions,
                absl::Duration took);
  // The time until a first token as predicted at the choice, and as it was.
  void OnFirstToken(std::string_view placed_by,
                    absl::Duration predicted,
                    absl::Duration took);
  // Counts a new connection to a server that was established or failed, and how
  // long that took.
  void OnServerConnection(bool made, absl::Duration took);
  // Counts a request whose tokens could not be reserved; `spent` tells whether
  // the total is used up.
  void OnTokensRefused(bool spent);
  // Counts a question to a holder; `ahead` tells whether no request waited.
  void OnTokensAsked(bool ahead);
  // Counts tokens charged for an earlier incarnation beyond what its last level
  // record reported as committed.
  void OnTokensCharged(int64_t tokens);
  void OnStoreCall(std::string_view call,
                   StoreSubject subject,
                   const absl::Status& status,
                   absl::Duration took);

  // Renders all series, including `gauges`.
  std::string Render(const RelayGauges& gauges);

 private:
  MetricRegistry registry_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_RELAY_METRICS_H_
