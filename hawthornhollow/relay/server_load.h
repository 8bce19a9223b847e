#ifndef HAWTHORNHOLLOW_RELAY_SERVER_LOAD_H_
#define HAWTHORNHOLLOW_RELAY_SERVER_LOAD_H_

// Predicts when backend servers would begin to answer a request, from what all
// routers have sent to them, and chooses among several. Has no I/O and no
// clock.
//
// One router, the load coordinator of a server, keeps the server's ServerLoad.
// A router that has a request asks the coordinators of a few candidates for
// bids, chooses the best one, and reports the progress of the request.
//
// On the coordinator:
//   ServerLoad load(options);
//   PlacementBid bid = load.Bid(request, now);
//   if (load.Place(request, router, now)) ...   // before it is sent
//   load.OnFirstToken(id, now);
//   load.OnEnd(id, now);
//
// On the router that has the request:
//   const std::optional<size_t> best = ChooseBid(bids, request, options);

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hawthornhollow/relay/backend_server.h"

namespace hawthornhollow {

struct ServerLoadOptions {
  // Limits of the server; 0 if unknown.
  int64_t slots = 0;
  int64_t memory_tokens = 0;
  // Prompt tokens that a server processes per millisecond, until its first
  // tokens show its own speed.
  double prompt_tokens_per_ms = 38;
  // How long a prompt part is assumed to stay in the server's cache.
  absl::Duration cache_time = absl::Seconds(20);
  // A request whose router reports nothing is dropped this long after its time
  // limit.
  absl::Duration expire_after = absl::Seconds(2);
  friend auto operator<=>(const ServerLoadOptions&,
                          const ServerLoadOptions&) = default;
};

// What a request needs of a server.
struct PlacementRequest {
  std::string id;
  std::string service;
  std::vector<PromptPart> prompt;  // in order of the text
  int64_t prompt_tokens = 0;
  int64_t max_output_tokens = 0;
  int64_t urgency = 0;  // 0 is the most urgent
  absl::Duration latency_target;
  absl::Duration time_left;
  friend auto operator<=>(const PlacementRequest&,
                          const PlacementRequest&) = default;
};

// What a coordinator answers for one server.
struct PlacementBid {
  std::string server;
  // Whether the request fits into the server's slots and memory, and begins
  // within its time limit.
  bool has_room = false;
  // Predicted time until the first token.
  absl::Duration first_token;
  // Predicted delay of all other requests there, summed.
  absl::Duration delay_to_others;
  int64_t uncached_tokens = 0;  // of the prompt
  // What the server holds: requests, and prompt tokens not processed yet.
  int64_t requests = 0;
  int64_t queued_tokens = 0;
  friend auto operator<=>(const PlacementBid&, const PlacementBid&) = default;
};

// Reports the progress of a placed request.
enum class PlacementEvent { kFirstToken, kEnded };
struct PlacementProgress {
  std::string server;
  std::string request;
  PlacementEvent event = PlacementEvent::kEnded;
  // Time since the request was sent to the server.
  absl::Duration took;
  friend auto operator<=>(const PlacementProgress&,
                          const PlacementProgress&) = default;
};

// Returns the index of the best bid; nullopt if no server has room.
std::optional<size_t> ChooseBid(const std::vector<PlacementBid>& bids,
                                const PlacementRequest& request);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_SERVER_LOAD_H_
