#ifndef HAWTHORNHOLLOW_ROUTER_REQUEST_RUNNER_H_
#define HAWTHORNHOLLOW_ROUTER_REQUEST_RUNNER_H_

// Runs a request that has passed the filters: waits for a backend server,
// claims the request where needed, dispatches it, relays the reply, retries and
// bills.

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "hawthornhollow/metrics/metrics.h"
#include "hawthornhollow/router/budget_controller.h"
#include "hawthornhollow/router/filter_chain.h"
#include "hawthornhollow/router/gate_controller.h"
#include "hawthornhollow/router/reply_relay.h"
#include "hawthornhollow/router/scheduler.h"
#include "hawthornhollow/scheduling/scheduling.h"

namespace hawthornhollow {

// Records where this router runs, or ran, requests with an idempotency key,
// until their bills have been read back from the log. A second request with the
// same key attaches to that run instead of starting another one. Thread-safe.
class KeyedRunRegistry {
 public:
  // The backend server, and the incarnation of its gate, to which a run was
  // sent.
  struct RunLocation {
    std::string server;  // empty if the request ended without a run
    std::string gate;
    friend bool operator==(const RunLocation&, const RunLocation&) = default;
  };
  // Set when the request is dispatched, or when it ends without a run.
  using PendingLocation = std::shared_ptr<OneShot<RunLocation>>;

  // Registers the key and returns null if it is new. Otherwise returns the
  // location of its run.
  PendingLocation FindOrAdd(const std::string& key);
  void SetLocation(const std::string& key, RunLocation run_location);
  // Called when the request certainly never ran, or when its bill has been read
  // back from the log.
  void Remove(const std::string& key);
  // Called when the request has ended. Removes the key unless the request was
  // dispatched.
  void RemoveUnlessDispatched(const std::string& key);

 private:
  std::mutex mutex_;
  std::map<std::string, PendingLocation> locations_;
};

// The components that the runner uses. All of them must outlive it.
struct RunnerDependencies {
  BudgetController& budgets;
  GateController& gates;
  Scheduler& scheduler;
  MetricRegistry& metrics;
  KeyedRunRegistry& keyed_runs;
  std::string incarnation;
};

// Assigns attempt numbers that are unique on this router.
class AttemptCounter {
 public:
  int32_t Next() { return next_.fetch_add(1); }

 private:
  std::atomic<int32_t> next_{1};
};

// Answers a request whose idempotency key was used before with the reply or the
// outcome of the first run.
class ReplayFilter {
 public:
  static constexpr std::string_view kName = "replay";
  ReplayFilter(const RunnerDependencies& dependencies, AttemptCounter& attempts)
      : dependencies_(dependencies), attempts_(attempts) {}
  FilterResult Apply(RequestContext& context, ResponseWriter& writer);

 private:
  struct PriorRun {
    std::string server;
    std::string gate_incarnation;  // empty if not known
    std::optional<BudgetFold::ClaimState> claim;
    std::optional<Outcome> billed_outcome;
  };
  FilterResult AttachToLocalRun(
      RequestContext& context,
      ResponseWriter& writer,
      OneShot<KeyedRunRegistry::RunLocation>& location);
  std::optional<PriorRun> FindPriorRun(const RequestContext& context) const;
  FilterResult AttachToPriorRun(RequestContext& context,
                                ResponseWriter& writer,
                                const PriorRun& prior);
  FilterResult OnUnknownAtGate(const RequestContext& context,
                               const PriorRun& prior,
                               const std::string& gate_incarnation);
  FilterResult OnGateUnreachable(const RequestContext& context,
                                 const PriorRun& prior);

  const RunnerDependencies dependencies_;
  AttemptCounter& attempts_;
};

class RequestRunner {
 public:
  // Retries are limited to one per 10 requests on average, with a reserve
  // of 20.
  RequestRunner(const RunnerDependencies& dependencies,
                AttemptCounter& attempts)
      : dependencies_(dependencies), attempts_(attempts), retries_(0.1, 20) {}

  // Answers the caller. Ends the reservation that `context` holds.
  void Run(RequestContext& context, ResponseWriter& writer);

 private:
  // The state of one request across its attempts.
  struct Progress {
    std::set<std::string> excluded_servers;
    int attempts = 0;
    bool may_have_run = false;
    int64_t tokens_seen = 0;
    // The offset of the claim of the last attempt; 0 if it has none.
    int64_t fence = 0;
  };
  enum class AttemptResult { kDone, kRetry };

  std::optional<std::string> WaitForServer(
      RequestContext& context,
      const Progress& progress,
      std::shared_ptr<PendingRequest>* pending_request,
      std::optional<ApiError>* error);
  AttemptResult Attempt(RequestContext& context,
                        ResponseWriter& writer,
                        Progress& progress);
  AttemptResult DispatchTo(RequestContext& context,
                           ResponseWriter& writer,
                           Progress& progress,
                           const std::string& server,
                           const PendingRequest& pending_request);
  std::optional<ApiError> ClaimForDispatch(RequestContext& context,
                                           const std::string& server,
                                           const std::string& gate,
                                           int64_t* fence);
  AttemptResult HandleAttemptEnd(RequestContext& context,
                                 ResponseWriter& writer,
                                 Progress& progress,
                                 const std::string& server,
                                 RelayEnd& end);
  AttemptResult HandleEnded(RequestContext& context,
                            ResponseWriter& writer,
                            Progress& progress,
                            const std::string& server,
                            const RelayEnd& end,
                            const fb::EndT& last);
  AttemptResult HandleRefused(RequestContext& context,
                              ResponseWriter& writer,
                              Progress& progress,
                              const std::string& server,
                              const fb::RefusedT& refused);
  AttemptResult HandleLost(RequestContext& context,
                           ResponseWriter& writer,
                           Progress& progress,
                           const std::string& server,
                           const RelayEnd& end,
                           const std::string& reason);
  // Releases the claim after the gate confirmed that the attempt never ran.
  void ReleaseOwnClaim(const RequestContext& context, int64_t fence);
  bool MayRetry(const Progress& progress);
  void Bill(const RequestContext& context,
            const std::string& server,
            int64_t prompt_tokens,
            int64_t output_tokens,
            int64_t charged_tokens,
            Outcome outcome);
  void FailRequest(RequestContext& context,
                   ResponseWriter& writer,
                   const Progress& progress,
                   const ApiError& error);
  fb::DispatchT DispatchFrame(const RequestContext& context,
                              const Call& call) const;

  const RunnerDependencies dependencies_;
  AttemptCounter& attempts_;
  std::mutex retries_mutex_;
  RetryBudget retries_;
};

// Reports an error to the caller: as the response, or, if a streamed reply has
// already begun, as its last event before the connection is closed.
void SendFailure(ResponseWriter& writer,
                 const ApiError& error,
                 const std::string& request_id,
                 bool head_sent);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_ROUTER_REQUEST_RUNNER_H_
