#ifndef HAWTHORNHOLLOW_ROUTER_ROUTER_INSTANCE_H_
#define HAWTHORNHOLLOW_ROUTER_ROUTER_INSTANCE_H_

// One incarnation of a router with its controllers, filters and HTTP servers. A
// router that was fenced ends its instance and starts another.

#include <atomic>
#include <memory>
#include <set>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "hawthornhollow/config/config.h"
#include "hawthornhollow/http/http.h"
#include "hawthornhollow/metrics/metrics.h"
#include "hawthornhollow/router/budget_controller.h"
#include "hawthornhollow/router/config_controller.h"
#include "hawthornhollow/router/filters.h"
#include "hawthornhollow/router/gate_controller.h"
#include "hawthornhollow/router/membership_controller.h"
#include "hawthornhollow/router/request_runner.h"
#include "hawthornhollow/router/scheduler.h"

namespace hawthornhollow {

class RouterInstance {
 public:
  // Starts listening. /healthz returns 503 until Open has succeeded.
  static absl::StatusOr<std::unique_ptr<RouterInstance>> Create(
      Runtime& runtime,
      const RouterSettings& settings);
  RouterInstance(const RouterInstance&) = delete;
  RouterInstance& operator=(const RouterInstance&) = delete;
  ~RouterInstance();

  // Reads the log to its end and registers this incarnation in it. Blocks the
  // calling fiber; may be called again after a failure.
  absl::Status Open(absl::Duration timeout);

  bool fenced() const { return membership_->fenced(); }

  // Finishes the requests in flight, returns grants, flushes bills and records
  // the end of the incarnation. Blocks the calling fiber.
  void ShutDown();
  // Ends a fenced incarnation: fails the requests in flight at once and stops.
  void AbortAndStop();

 private:
  RouterInstance(Runtime& runtime, const RouterSettings& settings);
  absl::Status Init();
  MembershipHooks MakeMembershipHooks();
  GateLinkEvents MakeLinkEvents();
  absl::Status StartServers();
  // Handles requests on the callers' address: API calls and health checks, and
  // the operators' pages unless these have an address of their own.
  void HandleRequest(const HttpRequest& request, ResponseWriter& writer);
  // Serves the operators' pages. Returns false if the path is not one of them.
  bool HandleOps(const HttpRequest& request, ResponseWriter& writer);
  void HandleCall(const HttpRequest& request, ResponseWriter& writer);
  void CountResult(const RequestContext& context,
                   std::string_view filter,
                   const FilterResult& result);
  void OnConfig(const std::shared_ptr<const ConfigSnapshot>& snapshot);
  void VmListLoop();
  void CallerDemandLoop();
  void OnPeerFrame(const std::string& peer, const fb::FrameT& frame);
  void TickLoop();
  void StopFibers();
  HttpResponse Health() const;
  HttpResponse Metrics();
  HttpResponse StatusPage() const;
  HttpResponse ModelsPage() const;

  Runtime& runtime_;
  const RouterSettings settings_;
  const std::string incarnation_;
  std::atomic<bool> ready_{false};
  std::atomic<bool> draining_{false};

  std::unique_ptr<HttpLogClient> log_;
  std::unique_ptr<HttpVmListClient> vm_list_;
  MetricRegistry metrics_;
  FiberGroup fibers_;
  KeyedRunRegistry keyed_runs_;
  AttemptCounter attempts_;
  Scheduler scheduler_;
  std::unique_ptr<BudgetController> budgets_;
  std::unique_ptr<GateController> gates_;
  std::unique_ptr<MembershipController> membership_;
  std::unique_ptr<ConfigController> config_;

  std::unique_ptr<AuthenticateFilter> authenticate_;
  ClassifyFilter classify_;
  CallerLimitFilter caller_limit_;
  std::unique_ptr<ReplayFilter> replay_;
  std::unique_ptr<BudgetFilter> budget_;
  std::unique_ptr<RequestRunner> runner_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<HttpServer> ops_server_;  // null if ops_listen is not set
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_ROUTER_ROUTER_INSTANCE_H_
