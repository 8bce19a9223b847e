#ifndef HAWTHORNHOLLOW_RELAY_RUN_REQUEST_H_
#define HAWTHORNHOLLOW_RELAY_RUN_REQUEST_H_

// What RequestRun works with: its bounds, what all runs of a router share,
// where one request stands, and how it ended.

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "hawthornhollow/relay/link_gauge.h"
#include "hawthornhollow/relay/relay.h"
#include "hawthornhollow/relay/relay_metrics.h"
#include "hawthornhollow/scheduling/scheduling.h"

namespace hawthornhollow {

struct RunOptions {
  std::string failure_domain;
  // A server that answers nothing for this many times the route's target, and
  // at least `silence_min`, is given up if the request may go on elsewhere.
  double silence_targets = 2;
  absl::Duration silence_min = absl::Milliseconds(300);
  // Between two events of a stream that may go on elsewhere.
  absl::Duration event_silence = absl::Milliseconds(1800);
  // Answers on a connection that belong to none of its requests.
  int max_stray_answers = 3;
  size_t max_answer_bytes = 16 * 1024 * 1024;
  // A try needs at least this long to be worth it.
  absl::Duration min_try = absl::Milliseconds(20);
  absl::Duration retry_after = absl::Milliseconds(400);
};

// What all runs of a router share.
struct RunShared {
  HttpClient* client = nullptr;
  PromptPlacement* placement = nullptr;
  LinkGauge* link = nullptr;
  RelayMetrics* metrics = nullptr;
  std::map<std::string, RetryBudget>* retries = nullptr;  // by service
  double retry_ratio = 0.1;
  double retry_burst = 5;
};

// Where one request stands.
struct RunRequest {
  const HttpRequest* request = nullptr;
  RelayCall call;
  std::shared_ptr<const RoutingTable> table;
  const RelayRoute* route = nullptr;
  const RelayWorkspace* workspace = nullptr;  // null: the route is public
  std::string service;
  absl::Time arrived;
  absl::Time deadline;
  // If set, is told of each try when its answer is expected.
  std::function<void(absl::Duration expected)> on_sent;
  // If set, must have returned OK before anything of an answer is delivered.
  std::function<absl::Status()> before_answer;
};

// 0 to 9, 0 is first. The workspace's priority goes before the route's.
inline int64_t UrgencyOf(const RunRequest& request) {
  constexpr int64_t kRoutePriorities = 3;
  constexpr int64_t kLast = 9;
  const int64_t route = std::min(request.route->priority, kRoutePriorities - 1);
  const int64_t workspace = request.workspace == nullptr
                                ? 0
                                : request.workspace->priority.value_or(0);
  return std::clamp<int64_t>(workspace * kRoutePriorities + route, 0, kLast);
}

// How a run ended, for the log line and the bill.
struct RunSummary {
  std::string outcome;
  int status = 0;  // 0: the connection was closed
  int attempts = 0;
  std::string server;
  bool may_have_run = false;
  int64_t events = 0;
  absl::Duration first_event = absl::InfiniteDuration();
};

// What the caller's leaving has to do with a run.
struct CallerState {
  bool gone = false;
  HttpExchange* exchange = nullptr;  // the try in progress

  void OnGone() {
    gone = true;
    if (exchange != nullptr)
      exchange->Cancel();
  }
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_RUN_REQUEST_H_
