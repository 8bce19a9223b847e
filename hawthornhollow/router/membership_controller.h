#ifndef HAWTHORNHOLLOW_ROUTER_MEMBERSHIP_CONTROLLER_H_
#define HAWTHORNHOLLOW_ROUTER_MEMBERSHIP_CONTROLLER_H_

// Registers this router's incarnation in the "members" stream and monitors the
// other routers: sends heartbeats, records suspicions, and closes the accounts
// of sealed incarnations.

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
  // The interval between heartbeats is at least `heartbeat_interval`, and at
  // least `heartbeat_interval_per_router` times the number of open routers. All
  // routers together thus write at most one heartbeat per
  // `heartbeat_interval_per_router`.
  absl::Duration heartbeat_interval = absl::Seconds(2);
  absl::Duration heartbeat_interval_per_router = absl::Milliseconds(100);
  // A router is suspected if the log could be read but showed no heartbeat of
  // it for `suspect_after`, or for `suspect_after_heartbeats` heartbeat
  // intervals if that is longer.
  absl::Duration suspect_after = absl::Seconds(8);
  int suspect_after_heartbeats = 4;
};

// The interval between heartbeats of each router for the given number of open
// routers.
absl::Duration HeartbeatInterval(const MembershipOptions& options,
                                 size_t open_routers);

// The time without a heartbeat after which a router is suspected. It rises with
// the heartbeat interval at once, but falls no faster than time passes, because
// a router may have written its last heartbeat under a longer interval.
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

// Callbacks to the rest of the router. None may block for long.
struct MembershipHooks {
  // Called when this incarnation is suspected. It must stop serving requests.
  std::function<void()> on_fenced;
  // Called with the gate incarnations that have closed or are lost whenever
  // they may have changed, and always before this router settles a lost gate.
  // No work may be sent to them.
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
  // Registers this incarnation and blocks until the record has been read back.
  absl::Status Open(absl::Duration timeout);
  // Records the graceful end of this incarnation. All bills must have been
  // appended and all grants returned before.
  absl::Status Close(absl::Duration timeout);

  // Updates the names of the VMs that the platform lists as live or leaving. A
  // router whose VM was listed before and is no longer listed is suspected at
  // once.
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

  // The following members are used only by the fiber that runs Tick.
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
