#ifndef HAWTHORNHOLLOW_ROUTER_MEMBERSHIP_CONTROLLER_H_
#define HAWTHORNHOLLOW_ROUTER_MEMBERSHIP_CONTROLLER_H_

// This router's incarnation in the "members" stream, and its heartbeat over the
// others: heartbeats, suspicion, and closing the accounts of the sealed.

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "absl/status/status.h"
#include "absl/time/time.h"
#include "hawthornhollow/ledger/ledger.h"
#include "hawthornhollow/log/log.h"
#include "hawthornhollow/router/fiber_group.h"

namespace hawthornhollow {

struct MembershipOptions {
  std::string name;
  std::string failure_domain;
  std::string incarnation;
  // Between heartbeats: at least `heartbeat_interval`, and
  // `heartbeat_interval_per_router` for each open router, so that all of them
  // together write at most one heartbeat per `heartbeat_interval_per_router`.
  absl::Duration heartbeat_interval = absl::Seconds(2);
  absl::Duration heartbeat_interval_per_router = absl::Milliseconds(100);
  // Without a heartbeat for this long while the log could be read, or for
  // `suspect_after_heartbeats` heartbeats if that is longer, a router is
  // suspected.
  absl::Duration suspect_after = absl::Seconds(8);
  int suspect_after_heartbeats = 4;
};

// The time between heartbeats with that many open routers.
absl::Duration HeartbeatInterval(const MembershipOptions& options,
                                 size_t open_routers);

// The silence after which a router is suspected. It follows the heartbeat
// interval up at once, and down no faster than time passes: a router that wrote
// its last heartbeat under a longer interval is given that interval.
class SuspicionThreshold {
 public:
  explicit SuspicionThreshold(const MembershipOptions& options)
      : options_(options), threshold_(options.suspect_after) {}

  absl::Duration Update(size_t open_routers, absl::Time now);

 private:
  const MembershipOptions options_;
  absl::Duration threshold_;
  absl::Time updated_at_ = absl::InfinitePast();
};

// What the controller needs of the rest of the router. None may block long.
struct MembershipHooks {
  // This incarnation is suspected: it must serve no longer.
  std::function<void()> on_fenced;
  // The gate incarnations that have closed or are lost; told whenever they
  // change, and before a loss is settled. No work may go to them.
  std::function<void(std::set<std::string> gates)> on_gates_ended;
  std::function<bool(const std::string& gate)> has_calls_through;
  std::function<absl::Status(absl::Duration timeout)> flush_bills;
  std::function<bool(const std::string& incarnation)> is_account_closed;
  std::function<void(const std::string& incarnation, bool charge_remainder)>
      close_accounts;
};

// Thread-safe.
class MembershipController {
 public:
  MembershipController(HttpLogClient& log,
                       FiberGroup& fibers,
                       const MembershipOptions& options,
                       MembershipHooks hooks);
  MembershipController(const MembershipController&) = delete;
  MembershipController& operator=(const MembershipController&) = delete;
  ~MembershipController();

  void Start();
  // Blocks until this incarnation's opening has been read back.
  absl::Status Open(absl::Duration timeout);
  // Records the graceful end, after everything was billed and returned.
  absl::Status Close(absl::Duration timeout);

  // Names of VMs that the platform lists as live or leaving. A router that was
  // listed and is no longer is suspected at once.
  void OnVmList(const std::set<std::string>& names);

  bool fenced() const { return fenced_.load(); }
  MembershipFold Snapshot() const;

 private:
  struct RouterHeartbeat {
    int64_t alive_offset = -1;
    absl::Time observed_at;
  };

  void OnVerdicts(const std::vector<Verdict>& verdicts);
  void Tick();
  void SendHeartbeat(size_t open_routers, absl::Time now);
  void SuspectSilentRouters(const MembershipFold& fold, absl::Time now);
  void Suspect(const std::string& incarnation, const std::string& reason);
  void SettleLostGates(const MembershipFold& fold);
  void CloseSealedRouters(const MembershipFold& fold);

  HttpLogClient& log_;
  FiberGroup& fibers_;
  const MembershipOptions options_;
  const MembershipHooks hooks_;
  std::unique_ptr<StreamWriter<HttpLogClient>> writer_;
  std::unique_ptr<StreamFollower<MembershipFold, HttpLogClient>> follower_;
  std::atomic<bool> fenced_{false};
  std::atomic<bool> open_{false};

  // Used by the tick's fiber only.
  absl::Time last_heartbeat_at_ = absl::InfinitePast();
  absl::Time last_tick_at_ = absl::InfinitePast();
  SuspicionThreshold suspicion_;
  std::map<std::string, RouterHeartbeat> heartbeats_;
  std::map<std::string, absl::Time> suspected_at_;
  std::map<std::string, absl::Time> closing_at_;
  std::set<std::string> settled_gates_;

  std::mutex vm_mutex_;
  std::set<std::string> vm_names_;
  std::set<std::string> delisted_vms_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_ROUTER_MEMBERSHIP_CONTROLLER_H_
