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
//   if (load.Place(request, router, now).has_room) ...  // before it is sent
//   load.OnFirstToken(id, took, now);
//   load.OnEnd(id, now);
//   load.Expire(now);                                   // about every second
//
// On the router that has the request:
//   const std::optional<size_t> best = ChooseBid(bids, request);

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/backend_server.h"
#include "hawthornhollow/relay/prefill_queue.h"
#include "hawthornhollow/relay/prefix_cache_model.h"

namespace hawthornhollow {

struct ServerLoadOptions {
  // Limits of the server; 0 if unknown.
  int64_t slots = 0;
  int64_t memory_tokens = 0;
  // Whether the server holds a part that several requests share only once. If
  // not known, false is safe: a server whose memory is exceeded crashes.
  bool shared_parts_held_once = false;
  // Prompt tokens that a server processes per millisecond, until its first
  // tokens show its own speed.
  double prompt_tokens_per_ms = 38;
  // How long a prompt part is assumed to stay in the server's cache.
  absl::Duration cache_time = absl::Seconds(20);
  // A request whose router reports nothing is dropped this long after its time
  // limit.
  absl::Duration expire_after = absl::Seconds(2);
  // First tokens are reported this late at most, as progress reports are
  // batched. If they are later, they count as overdue, and the server as slow.
  absl::Duration report_delay = absl::Milliseconds(60);
  // From sending a request to its arrival at the server, and back.
  absl::Duration network_time = absl::Milliseconds(2);
  // Window of the averages of arrivals and their work.
  absl::Duration arrival_window = absl::Seconds(4);
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
  // Predicted delay of all other requests there, summed. Each counts in
  // proportion to how tight its target is, compared with that of the request.
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

// The load of one server.
class ServerLoad {
 public:
  explicit ServerLoad(const ServerLoadOptions& options);

  // Predicts what would happen to the request here. Leaves `server` empty.
  PlacementBid Bid(const PlacementRequest& request, absl::Time now) const;
  // Counts the request as sent to the server if the bid has room. A request
  // with a known id replaces the earlier one.
  PlacementBid Place(const PlacementRequest& request,
                     std::string_view router,
                     absl::Time now);
  // Progress of a placed request; unknown ones are ignored. `took` is the time
  // from sending it to its first token.
  void OnFirstToken(std::string_view request,
                    absl::Duration took,
                    absl::Time now);
  void OnEnd(std::string_view request, absl::Time now);

  // Forgets the requests of a router that has died.
  void DropRouter(std::string_view router);
  // Forgets requests whose routers have not reported their end in time.
  void Expire(absl::Time now);

  int64_t requests() const { return static_cast<int64_t>(requests_.size()); }
  // Learned speed in prompt tokens per millisecond.
  double speed() const { return queue_.speed(); }

 private:
  struct Placed {
    uint64_t sequence = 0;
    std::string router;
    // Parts that are held once for all requests.
    std::vector<PromptPart> shared_parts;
    int64_t memory_tokens = 0;  // of its own, in the worst case
    int64_t output_tokens = 0;  // in the worst case
    absl::Duration latency_target;
    absl::Duration time_limit;
    absl::Time sent_at;
    absl::Time expires_at;
    bool has_first_token = false;
  };
  using PlacedMap = std::map<std::string, Placed, std::less<>>;

  absl::Duration DelayToOthers(const PlacementRequest& request,
                               absl::Duration wait,
                               absl::Duration work,
                               absl::Time now) const;
  // The parts of the prompt that the server holds once for all requests.
  std::vector<PromptPart> SharedPartsOf(const PlacementRequest& request) const;
  // Memory that the request would take in addition, in the worst case.
  int64_t AddedMemory(const PlacementRequest& request) const;
  int64_t UncachedTokens(const PlacementRequest& request, absl::Time now) const;
  PlacedMap::iterator Erase(PlacedMap::iterator placed, absl::Time now);

  const ServerLoadOptions options_;
  PrefillQueue queue_;
  PrefixCacheModel cache_;
  PlacedMap requests_;
  uint64_t last_sequence_ = 0;
  int64_t running_ = 0;  // requests that have their first token
  int64_t memory_tokens_ = 0;
  // Shared part -> number of requests that hold it; if held once.
  std::map<std::string, int64_t, std::less<>> holders_;
  int64_t output_tokens_ = 0;
  // Of arrivals: work in seconds, and the inverse of targets in seconds.
  DecayedSum arrived_work_;
  DecayedSum arrived_tightness_;
};

// The first bids of a vector are of the servers that all routers agree on for
// the shared part of the prompt: the preferred one, and the one that is used as
// well if the part is used very often. See PreferenceKey().
inline constexpr size_t kSharedPartCandidates = 2;

// Returns the index of the best bid; nullopt if no server has room. For a
// server that made no bid, leave a bid without room in its place.
std::optional<size_t> ChooseBid(const std::vector<PlacementBid>& bids,
                                const PlacementRequest& request);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_SERVER_LOAD_H_
