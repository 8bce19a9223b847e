#ifndef HAWTHORNHOLLOW_ROUTER_CONFIG_CONTROLLER_H_
#define HAWTHORNHOLLOW_ROUTER_CONFIG_CONTROLLER_H_

// Maintains the configuration in force on this router. It is read from the log
// and exchanged with the other routers, and is used only while it is known to
// be current.

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "hawthornhollow/config/config.h"
#include "hawthornhollow/ledger/ledger.h"
#include "hawthornhollow/log/log.h"
#include "hawthornhollow/router/fiber_group.h"
#include "hawthornhollow/wire/wire.h"

namespace hawthornhollow {

// An immutable copy of one configuration version.
struct ConfigSnapshot {
  int64_t version = 0;
  int64_t offset = -1;
  std::string id;
  absl::Time since;
  std::shared_ptr<const Configuration> configuration;
};

// Which other routers this router links to: all of them, or those at distances
// 1, 2, 4, ... in the ring of addresses in ascending order.
enum class PeerLinks { kAll, kRing };

struct ConfigControllerOptions {
  std::string name;
  std::string incarnation;
  Endpoint peer_listen;
  // The other routers, without this one.
  std::vector<Endpoint> peers;
  PeerLinks peer_links = PeerLinks::kAll;
  // The configuration counts as current if it was confirmed as the newest less
  // than this long ago.
  absl::Duration freshness_limit = absl::Seconds(5);
  absl::Duration query_interval = absl::Seconds(1);
  // Handles frames other than ConfigNotice. `peer` is the name of the router
  // that sent the frame.
  std::function<void(const std::string& peer, const fb::FrameT& frame)>
      on_peer_frame;
};

// The routers of `options.peers` that this router links to.
std::vector<Endpoint> LinkedPeers(const ConfigControllerOptions& options);

struct ConfigTraffic {
  int64_t notices_sent = 0;  // queries, replies and log entries
  int64_t notice_bytes_sent = 0;
  friend bool operator==(const ConfigTraffic&, const ConfigTraffic&) = default;
};

// Thread-safe.
class ConfigController {
 public:
  using OnChange = std::function<void(std::shared_ptr<const ConfigSnapshot>)>;

  // Listens for connections of peers. `on_change` runs on a fiber for each new
  // version, in ascending order.
  static absl::StatusOr<std::unique_ptr<ConfigController>> Create(
      Runtime& runtime,
      HttpLogClient& log,
      FiberGroup& fibers,
      const ConfigControllerOptions& options,
      OnChange on_change);
  ConfigController(const ConfigController&) = delete;
  ConfigController& operator=(const ConfigController&) = delete;
  ~ConfigController();

  void Start();
  // Stops listening and closes the links to peers, so that their fibers can
  // end.
  void Stop();
  // Blocks until the stream has been read to its end once.
  absl::Status WaitCaughtUp(absl::Duration timeout);

  // Null until the first version has been read.
  std::shared_ptr<const ConfigSnapshot> snapshot() const;
  // Whether the snapshot is known to be the newest version.
  bool IsCurrent() const;
  ConfigTraffic traffic() const;

  // Sends a frame to each connected peer.
  void SendFrameToPeers(const fb::FrameT& frame);

 private:
  using SteadyTime = std::chrono::steady_clock::time_point;

  // The last reply of a peer to a query of this router.
  struct PeerReply {
    SteadyTime queried_at;
    int64_t offset = -1;
    // The latest time at which `offset` is known to have been the last offset
    // of the log.
    SteadyTime confirmed_at = SteadyTime::min();
  };

  ConfigController(Runtime& runtime,
                   HttpLogClient& log,
                   FiberGroup& fibers,
                   const ConfigControllerOptions& options,
                   OnChange on_change);

  void OnVerdicts(int64_t offset, const std::vector<Verdict>& verdicts);
  void RefreshSnapshot();
  void ServePeer(std::unique_ptr<TcpStream> stream);
  void RunPeerLink(const Endpoint& peer);
  void OnQuery(FrameLink& link, const fb::ConfigNoticeT& notice);
  void OnReply(const std::string& peer, const fb::ConfigNoticeT& notice);
  void SendMissingEntries(FrameLink& link, int64_t peer_offset);
  SteadyTime LastConfirmedAt() const;
  bool MajorityConfirmsSnapshot(SteadyTime now) const;
  fb::ConfigNoticeT MakeNotice() const;
  void SendNotice(FrameLink& link, const fb::ConfigNoticeT& notice);
  void SendNoticeToPeers(const fb::ConfigNoticeT& notice);
  std::vector<std::shared_ptr<FrameLink>> OpenPeerLinks() const;
  void QueryLoop();

  Runtime& runtime_;
  FiberGroup& fibers_;
  const ConfigControllerOptions options_;
  const std::vector<Endpoint> linked_peers_;
  const OnChange on_change_;
  std::unique_ptr<StreamWriter<HttpLogClient>> writer_;
  std::unique_ptr<StreamFollower<ConfigFold, HttpLogClient>> follower_;
  std::unique_ptr<TcpListener> listener_;

  // The offset up to which `snapshot_` reflects the stream.
  std::atomic<int64_t> snapshot_offset_{-1};

  mutable std::mutex mutex_;
  std::shared_ptr<const ConfigSnapshot> snapshot_;
  // The last reply of each peer by the peer's address.
  std::map<std::string, PeerReply> peer_replies_;
  std::map<std::string, std::shared_ptr<FrameLink>> outgoing_;
  std::vector<std::weak_ptr<FrameLink>> incoming_;
  // Recently applied entries by offset, kept for peers that are behind.
  std::map<int64_t, std::string> recent_entries_;
  ConfigTraffic traffic_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_ROUTER_CONFIG_CONTROLLER_H_
