#ifndef HAWTHORNHOLLOW_RELAY_RELAY_METRICS_H_
#define HAWTHORNHOLLOW_RELAY_RELAY_METRICS_H_

// What a router counts, and the page on which it is read. Series carry no
// workspace and no request id: their number is bounded by the configuration's
// routes and the registered servers, and MetricRegistry bounds it again.
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
#include "hawthornhollow/metrics/metrics.h"
#include "hawthornhollow/relay/relay.h"

namespace hawthornhollow {

// One request that has ended.
struct EndedRequest {
  std::string route;  // empty: none matched
  int64_t priority = 0;
  std::string outcome;
  absl::Duration took;
  absl::Duration first_event = absl::InfiniteDuration();  // infinite: none
  int64_t used_tokens = 0;
};

// Present values, read when the page is.
struct RelayGauges {
  int64_t config_version = 0;
  // Since the configuration and the list of servers were last read.
  absl::Duration config_age = absl::InfiniteDuration();
  absl::Duration servers_age = absl::InfiniteDuration();
  int64_t servers = 0;
  int64_t routers = 0;
  int64_t requests_in_progress = 0;
  int64_t caller_connections = 0;  // open
  // Tokens over all workspaces: at hand here, and wanted by waiting requests.
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
  // One try at a server; `end` is as in the log.
  void OnTry(std::string_view server, std::string_view end);
  // A new connection to a server, made or failed after so long.
  void OnServerConnection(bool made, absl::Duration took);
  // Tokens that could not be reserved.
  void OnTokensRefused(bool spent);
  // Tokens charged for an earlier incarnation beyond what its record said.
  void OnTokensCharged(int64_t tokens);
  void OnStoreCall(std::string_view call,
                   StoreSubject subject,
                   const absl::Status& status,
                   absl::Duration took);

  // All series, `gauges` among them.
  std::string Render(const RelayGauges& gauges);

 private:
  MetricRegistry registry_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_RELAY_METRICS_H_
