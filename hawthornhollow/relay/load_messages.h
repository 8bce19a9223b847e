#ifndef HAWTHORNHOLLOW_RELAY_LOAD_MESSAGES_H_
#define HAWTHORNHOLLOW_RELAY_LOAD_MESSAGES_H_

// What a router with a request and the load coordinators of servers tell one
// another.

#include <compare>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hawthornhollow/relay/server_load.h"

namespace hawthornhollow {

// The predicted time until the first token plus the delay of other requests,
// which count alike.
inline absl::Duration CostOf(const PlacementBid& bid) {
  return bid.first_token + bid.delay_to_others;
}

// Asks a coordinator for bids of its servers. The request is placed at the
// first of them if that has room and costs no more than `place_within`.
struct PlacementQuestion {
  // Never places; costs are not negative.
  static constexpr absl::Duration kBidOnly = absl::Nanoseconds(-1);
  std::string router;  // that asks
  PlacementRequest request;
  std::vector<std::string> servers;  // ids
  absl::Duration place_within = kBidOnly;
  // Of earlier requests of the router; saves a message.
  std::vector<PlacementProgress> progress;
  friend auto operator<=>(const PlacementQuestion&,
                          const PlacementQuestion&) = default;
};

struct PlacementReply {
  std::string placed;  // id of the server; empty if the request is not placed
  // Without the servers whose load the coordinator does not know well enough.
  std::vector<PlacementBid> bids;
  friend auto operator<=>(const PlacementReply&,
                          const PlacementReply&) = default;
};

// A request that its router has placed without asking.
struct PlacementNotice {
  std::string server;
  PlacementRequest request;
  friend auto operator<=>(const PlacementNotice&,
                          const PlacementNotice&) = default;
};

// What has happened to requests of a router at the servers of a coordinator.
// The notices come before the progress.
struct LoadReport {
  std::string router;
  std::vector<PlacementNotice> notices;
  std::vector<PlacementProgress> progress;
  friend auto operator<=>(const LoadReport&, const LoadReport&) = default;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_LOAD_MESSAGES_H_
