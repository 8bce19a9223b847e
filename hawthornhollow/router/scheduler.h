#ifndef HAWTHORNHOLLOW_ROUTER_SCHEDULER_H_
#define HAWTHORNHOLLOW_ROUTER_SCHEDULER_H_

// Where requests wait for a backend server: one pool for each model and each
// service, each with its queue and its choice of server under its own lock.

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

// The pool of a model or of a service.
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

// What a side process reports of its server.
struct ServerLoad {
  int64_t running = 0;  // and waiting there
  int64_t dispatched_here =
      -1;  // those that this router dispatched; -1: not told
  bool leaving = false;
  friend bool operator==(const ServerLoad&, const ServerLoad&) = default;
};

// A request that waits. Shared by its fiber and the scheduler.
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
  int64_t connected = 0;   // servers with a link that is ready
  friend bool operator==(const PoolStatus&, const PoolStatus&) = default;
};

// Thread-safe. No call blocks but Wait.
class Scheduler {
 public:
  // `router` is this router's name, `routers` how many share the servers.
  Scheduler(std::string_view router,
            size_t routers,
            SchedulingPolicy policy = SchedulingPolicy::kRanks);

  void SetConfig(const Configuration& config, absl::Time now);
  void SetConnected(const std::string& server, bool connected);
  void OnLoad(const std::string& server, const ServerLoad& load);
  // Marks servers that the VM list names as leaving.
  void SetLeavingVms(const std::set<std::string>& servers);

  // Queues the request, or refuses it at once (the result is then set).
  void Enqueue(const std::shared_ptr<PendingRequest>& pending_request);
  // The caller of a waiting request has gone; its result becomes
  // RequestCancelled.
  void CancelRequest(const std::shared_ptr<PendingRequest>& pending_request);

  // Reports on an assignment that was made.
  void OnFirstToken(const PendingRequest& pending_request,
                    const std::string& server,
                    absl::Duration took);
  void OnFinished(const PendingRequest& pending_request,
                  const std::string& server,
                  int64_t tokens,
                  bool failed);

  // Gives up what can no longer be served in time and dispatches what has room.
  // Call it every few milliseconds.
  void Tick();

  // The priority that a rank's requests get from engines; the lowest goes
  // first.
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
  mutable std::shared_mutex mutex_;  // the two maps, not the pools' content
  std::map<std::string, std::shared_ptr<Pool>> pools_;
  std::map<std::string, std::string> pool_of_server_;
  std::atomic<uint64_t> next_id_{1};
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_ROUTER_SCHEDULER_H_
