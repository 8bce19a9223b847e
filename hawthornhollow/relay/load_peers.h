#ifndef HAWTHORNHOLLOW_RELAY_LOAD_PEERS_H_
#define HAWTHORNHOLLOW_RELAY_LOAD_PEERS_H_

// The other routers as load coordinators: questions and reports to them, and
// which of them answer.
//
//   LoadPeers peers("entry-1", options, calls);
//   std::optional<PlacementReply> reply = peers.Ask(coordinator, question,
//   ...); peers.Tell(coordinator, progress);   // goes with the next report
//   peers.SendReports();
//
// All calls must be made on fibers of one thread.

#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/load_messages.h"
#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {

struct LoadPeersOptions {
  // For one answer of a coordinator: a few round trips between VMs.
  absl::Duration ask_timeout = absl::Milliseconds(10);
  // A coordinator that did not answer is not asked again for this time.
  absl::Duration ask_pause = absl::Milliseconds(400);
  // A router that has answered nothing for this time, and was asked or told
  // something after it, is no coordinator until it answers again. Records in
  // the store do not tell that a router was killed.
  absl::Duration dead_after = absl::Seconds(1);
  // Between two probes of such a router.
  absl::Duration probe_interval = absl::Seconds(2);
  // Entries kept for one coordinator until the next report; the oldest are
  // dropped. They expire at the coordinator.
  size_t max_report_entries = 512;
  friend auto operator<=>(const LoadPeersOptions&,
                          const LoadPeersOptions&) = default;
};

// What coordination of load needs of its router.
struct LoadCalls {
  std::function<void(std::function<void()>)> spawn;  // runs on another fiber
  // All routers that are known, this one included; some may have been killed.
  std::function<std::vector<RouterAddress>()> routers;
  std::function<absl::StatusOr<PlacementReply>(
      const std::string& address,
      const PlacementQuestion& question,
      absl::Duration timeout)>
      ask;
  std::function<absl::Status(const std::string& address,
                             const LoadReport& report)>
      report;
  // While it is, nobody is asked: answers would wait in the link's queue.
  std::function<bool()> is_link_busy;
  std::function<absl::Time()> now = &SteadyNow;
};

class LoadPeers {
 public:
  // `router` is the name of this router.
  LoadPeers(std::string router,
            const LoadPeersOptions& options,
            const LoadCalls& calls);
  LoadPeers(const LoadPeers&) = delete;
  LoadPeers& operator=(const LoadPeers&) = delete;

  // Returns nullopt if the coordinator does not answer. Takes along what is to
  // be told to it.
  std::optional<PlacementReply> Ask(const RouterAddress& coordinator,
                                    PlacementQuestion question,
                                    absl::Duration timeout);
  // For the next report.
  void Tell(const RouterAddress& coordinator, PlacementNotice notice);
  void Tell(const RouterAddress& coordinator, PlacementProgress progress);
  // Sends what is to be told, one report at a time to each coordinator.
  void SendReports();

  // Whether a coordinator did not answer of late.
  bool IsPaused(const std::string& router) const;
  // Whether it has not answered for so long that it may have been killed.
  bool IsDead(const std::string& router) const;
  // Finds out whether a router answers, unless that was done of late.
  void Probe(const RouterAddress& router, absl::Duration interval);
  // Forgets all routers but these.
  void KeepRouters(const std::vector<RouterAddress>& known);

 private:
  struct Peer {
    std::string address;
    LoadReport report;  // the next one
    bool is_sending = false;
    absl::Time paused_until = absl::InfinitePast();
    // Of the failures without an answer since.
    absl::Time first_failure = absl::InfiniteFuture();
    absl::Time last_failure = absl::InfinitePast();
    absl::Time probed = absl::InfinitePast();
  };

  Peer& PeerOf(const RouterAddress& router);
  void Send(const std::string& coordinator, Peer* peer);
  void Trim(LoadReport* report) const;
  void OnAnswered(const std::string& router);
  // It did not answer when it was told of `progress`.
  void OnSilent(const std::string& router,
                const std::vector<PlacementProgress>& progress);

  const std::string router_;
  const LoadPeersOptions options_;
  const LoadCalls calls_;
  std::map<std::string, std::shared_ptr<Peer>> peers_;  // keyed by router
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_LOAD_PEERS_H_
