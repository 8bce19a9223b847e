#ifndef HAWTHORNHOLLOW_ROUTER_SCHEDULER_H_
#define HAWTHORNHOLLOW_ROUTER_SCHEDULER_H_

// Queues requests until a backend server has room for them. Each model and each
// service has a pool with its own queue, server selection and lock.

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <shared_mutex>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "hawthornhollow/config/config.h"
#include "hawthornhollow/router/one_shot.h"
#include "hawthornhollow/scheduling/scheduling.h"

namespace hawthornhollow {

// The name of the pool of a model or of a service.
std::string ModelPool(std::string_view model);
std::string ServicePool(std::string_view service);

struct Assignment {
  std::string server;
  friend bool operator==(const Assignment&, const Assignment&) = default;
};
struct RequestCancelled {
  friend bool operator==(const RequestCancelled&,
                         const RequestCancelled&) = default;
};
using ScheduleResult = std::variant<Assignment, Refusal, RequestCancelled>;

// The load that a gate reports for its backend server.
struct ServerLoad {
  // Requests that run on the server or wait at its gate.
  int64_t running = 0;
  // Those of them that this router dispatched; -1 if not reported.
  int64_t dispatched_here = -1;
  bool leaving = false;
  friend bool operator==(const ServerLoad&, const ServerLoad&) = default;
};

// A request that waits for a server. Shared by its fiber and the scheduler.
struct PendingRequest {
  std::string pool;
  QueuedRequest request;
  std::string affinity;
  std::set<std::string> excluded_servers;
  OneShot<ScheduleResult> result;
};

struct PoolStatus {
  std::string pool;
  size_t waiting = 0;
  int64_t free_slots = 0;  // that this router may claim now
  int64_t connected = 0;   // servers with a ready link
  friend bool operator==(const PoolStatus&, const PoolStatus&) = default;
};

// Thread-safe. No function blocks; waiting is done on PendingRequest::result.
class Scheduler {
 public:
  // `router` is this router's name; `routers` is the number of routers that
  // share the servers.
  Scheduler(std::string_view router,
            size_t routers,
            SchedulingPolicy policy = SchedulingPolicy::kRanks);

  void SetConfig(const Configuration& config, absl::Time now);
  void SetConnected(const std::string& server, bool connected);
  void OnLoad(const std::string& server, const ServerLoad& load);
  // Marks as leaving those servers whose VMs the platform lists as leaving.
  void SetLeavingVms(const std::set<std::string>& servers);

  // Queues the request, or sets its result to a refusal at once.
  void Enqueue(const std::shared_ptr<PendingRequest>& pending_request);
  // Removes a waiting request whose caller has disconnected; its result becomes
  // RequestCancelled.
  void CancelRequest(const std::shared_ptr<PendingRequest>& pending_request);

  // Reports the progress of a request that was assigned to a server.
  void OnFirstToken(const PendingRequest& pending_request,
                    const std::string& server,
                    absl::Duration took);
  void OnFinished(const PendingRequest& pending_request,
                  const std::string& server,
                  int64_t tokens,
                  bool failed);

  // Refuses requests that can no longer be served in time and assigns servers
  // to those that can be dispatched. Must be called every few milliseconds.
  void Tick();

  // The priority that engines receive for requests of a rank. Lower values are
  // served first.
  int32_t EnginePriority(int32_t rank_order) const;

  std::vector<PoolStatus> Status() const;

 private:
  struct Pool;
  std::shared_ptr<Pool> FindPool(const std::string& name) const;
  std::shared_ptr<Pool> PoolOfServer(const std::string& server) const;
  static void AssignServers(Pool& pool, absl::Time now);
  static void RefuseExpired(Pool& pool, absl::Time now);
  std::vector<std::shared_ptr<Pool>> Pools() const;

  const uint64_t seed_;
  const int64_t routers_;
  const SchedulingPolicy policy_;
  // Protects the two maps that follow, not the pools themselves.
  mutable std::shared_mutex mutex_;
  std::map<std::string, std::shared_ptr<Pool>> pools_;
  std::map<std::string, std::string> pool_of_server_;
  std::atomic<uint64_t> next_id_{1};
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_ROUTER_SCHEDULER_H_
