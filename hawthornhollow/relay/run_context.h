#ifndef HAWTHORNHOLLOW_RELAY_RUN_CONTEXT_H_
#define HAWTHORNHOLLOW_RELAY_RUN_CONTEXT_H_

// Data types of RequestRun: its limits, the state shared by all requests of a
// router, the context of one request and its result.

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hawthornhollow/relay/buffered_answers.h"
#include "hawthornhollow/relay/congestion_detector.h"
#include "hawthornhollow/relay/leaving_servers.h"
#include "hawthornhollow/relay/link_load.h"
#include "hawthornhollow/relay/load_controller.h"
#include "hawthornhollow/relay/prompt_quarantine.h"
#include "hawthornhollow/relay/relay.h"
#include "hawthornhollow/relay/relay_metrics.h"
#include "hawthornhollow/relay/resting_servers.h"
#include "hawthornhollow/scheduling/scheduling.h"

namespace hawthornhollow {

struct RunOptions {
  std::string failure_domain;
  // If a request may continue on another server, an attempt is abandoned when
  // the server sends nothing for `stall_timeout_targets` times the route's
  // latency target, and at least `min_stall_timeout`.
  double stall_timeout_targets = 2;
  absl::Duration min_stall_timeout = absl::Milliseconds(300);
  // Longest time between two events of a stream that may continue on another
  // server.
  absl::Duration event_stall_timeout = absl::Milliseconds(1800);
  // Number of answers on a connection that belong to other requests and are
  // discarded before the attempt is abandoned.
  int max_stray_answers = 3;
  // A stream that goes on for this long after its first piece shows that its
  // prompt does not crash servers as they begin to answer.
  absl::Duration sound_after = absl::Milliseconds(100);
  size_t max_answer_bytes = 4 * 1024 * 1024;
  // Limits what a server can make a router keep by sending bytes that are no
  // answer.
  size_t max_event_bytes = 256 * 1024;
  // No attempt is made if less than this time is left.
  absl::Duration min_attempt_time = absl::Milliseconds(20);
  absl::Duration retry_after = absl::Milliseconds(400);
  // A quarantine of a part lasts for minutes.
  absl::Duration quarantine_retry_after = absl::Seconds(60);

  // An evacuation lasts for longer than a server is full, but its end is in
  // force within a second.
  absl::Duration evacuated_retry_after = absl::Seconds(1);

  absl::Duration RetryAfter(RelayError error) const {
    if (error == RelayError::kDomainsEvacuated)
      return evacuated_retry_after;
    return error == RelayError::kPromptQuarantined ? quarantine_retry_after
                                                   : retry_after;
  }
};

// Makes an answer the last one on its connection.
inline const std::pair<std::string, std::string> kCloseConnection = {
    "Connection", "close"};

// What a request reports, and asks, about prompts that crash servers.
struct PromptWatch {
  std::function<bool(const RelayCall&)> is_quarantined;
  // An answer has gone on for `sound_after`, or is whole.
  std::function<void(const RelayCall&)> on_answer_went_on;
  // The connection ended before that.
  std::function<void(const RelayCall&, const RelayServer&, BreakPoint)>
      on_broke_off;
};

// What a request reports, and asks, about servers that state a limit of
// requests per second.
struct LimitWatch {
  // `limit` is unset if the answer states none.
  std::function<void(const std::string& server,
                     std::optional<double> limit,
                     absl::Time sent_at)>
      on_answer;
  // An answer says how much longer the server is cold.
  std::function<void(const std::string& server,
                     absl::Duration cold_for,
                     absl::Time sent_at)>
      on_cold;
  // A connection to the server could not be made, or broke off.
  std::function<void(const RelayServer& server)> on_connection_lost;
  std::function<std::vector<std::string>()> limited_servers;
  std::function<std::set<std::string>(int64_t urgency)> blocked;
  // Whether a request may be sent to the server now; may wait for a router.
  std::function<bool(const std::string& server, int64_t urgency)> acquire;
  std::function<absl::Duration(const std::vector<std::string>& servers,
                               int64_t urgency)>
      retry_after;
};

struct CallerState;

// State shared by all requests of a router.
struct SharedRunState {
  HttpClient* client = nullptr;
  PromptPlacement* placement = nullptr;
  CongestionDetector* link = nullptr;
  LinkLoad* link_load = nullptr;
  BufferedAnswers* answers = nullptr;  // that are not complete
  RelayMetrics* metrics = nullptr;
  PromptWatch prompts;
  LimitWatch limits;
  LoadController* load = nullptr;
  LeavingServers* leaving = nullptr;
  RestingServers* resting = nullptr;
  // Of the requests in progress.
  std::set<std::shared_ptr<CallerState>>* callers = nullptr;
  std::map<std::string, RetryBudget>* retries = nullptr;  // keyed by service
  double retry_ratio = 0.1;
  double retry_burst = 5;
};

// The context of one request.
struct RunContext {
  const HttpRequest* request = nullptr;
  RelayCall call;
  std::shared_ptr<const RoutingTable> table;
  const RelayRoute* route = nullptr;
  // Null if the route is public or no workspaces are configured.
  const RelayWorkspace* workspace = nullptr;
  std::string service;
  absl::Time arrived;
  absl::Time deadline;
  // If set, called for each attempt that was sent, with the predicted time
  // until its answer.
  std::function<void(absl::Duration expected)> on_sent;
  // If set, must return OK before any part of an answer is delivered.
  std::function<absl::Status()> before_answer;
};

// Returns the urgency of a request from 0 (most urgent) to 9. The workspace's
// priority takes precedence over the route's.
inline int64_t UrgencyOf(const RunContext& request) {
  constexpr int64_t kRoutePriorities = 3;
  constexpr int64_t kLast = 9;
  const int64_t route = std::min(request.route->priority, kRoutePriorities - 1);
  const int64_t workspace = request.workspace == nullptr
                                ? 0
                                : request.workspace->priority.value_or(0);
  return std::clamp<int64_t>(workspace * kRoutePriorities + route, 0, kLast);
}

// The result of a request, for the log and for charging tokens.
struct RunSummary {
  std::string outcome;
  int status = 0;  // 0 if the connection was closed
  int attempts = 0;
  std::string server;
  bool may_have_run = false;
  int64_t events = 0;
  absl::Duration first_event = absl::InfiniteDuration();
};

// What ends a request from outside: its caller has disconnected, or the router
// stops. Shared with the callbacks, which may outlive the request.
struct CallerState {
  bool gone = false;
  // No time is left, whatever the request's deadline.
  bool expired = false;
  bool streaming = false;            // a part of the answer was delivered
  HttpExchange* exchange = nullptr;  // the attempt in progress

  void OnGone() {
    gone = true;
    CancelAttempt();
  }
  // The router stops. An answer that is being delivered goes on until the end.
  void Expire() {
    if (streaming)
      return;
    expired = true;
    CancelAttempt();
  }

 private:
  void CancelAttempt() {
    if (exchange != nullptr)
      exchange->Cancel();
  }
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_RUN_CONTEXT_H_
