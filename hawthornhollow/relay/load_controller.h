#ifndef HAWTHORNHOLLOW_RELAY_LOAD_CONTROLLER_H_
#define HAWTHORNHOLLOW_RELAY_LOAD_CONTROLLER_H_

// Chooses the server of a request by the load that all routers cause: asks the
// load coordinators of a few candidates, and tells them what becomes of the
// request. Answers the other routers as a coordinator.
//
//   LoadDecision decision = controller.Place(request, candidates);
//   if (decision.server.empty()) {
//     // Choose by this router's own view; decision.placed_by tells why.
//     decision.placed = controller.PlaceUnasked(request, server);
//   }
//   controller.OnFirstToken(decision.placed, took);
//   controller.OnEnd(decision.placed, took);
//
// All calls must be made on fibers of one thread.

#include <atomic>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/load_coordinator.h"
#include "hawthornhollow/relay/load_messages.h"
#include "hawthornhollow/relay/load_peers.h"
#include "hawthornhollow/relay/prompt_placement.h"

namespace hawthornhollow {

struct LoadControllerOptions {
  // Whether coordinators are asked and told of requests.
  bool is_on = true;
  LoadCoordinatorOptions coordinator;
  LoadPeersOptions peers;
  // For all answers that one request waits for.
  absl::Duration place_timeout = absl::Milliseconds(25);
  // Between two reports to one coordinator.
  absl::Duration report_interval = absl::Milliseconds(20);
  // Between two looks at which routers are up.
  absl::Duration routers_interval = absl::Milliseconds(100);
  // A request is placed at the first candidate without asking for others if
  // that costs this part of the latency target more than an empty server would.
  // An answer has its full value within the target, and asking costs round
  // trips.
  double good_share = 0.1;
  // After no candidate of a service without described memory had room, its
  // requests ask only one coordinator for this time: many questions to find a
  // slot are least useful when none is free.
  absl::Duration crowded_pause = absl::Milliseconds(50);
  // Of requests that are refused because all servers are full. Bids do not tell
  // when a slot becomes free, so the least is what refused requests get.
  absl::Duration min_retry_after = absl::Milliseconds(400);
  absl::Duration max_retry_after = absl::Seconds(5);
  friend auto operator<=>(const LoadControllerOptions&,
                          const LoadControllerOptions&) = default;
};

// What a server was chosen by.
enum class PlacedBy {
  kCoordinator,
  // The router's own view, because
  kOff,        // load is not coordinated, or no candidate has a coordinator
  kLinkBusy,   // this VM's link is busy
  kNoAnswer,   // the coordinator did not answer in time
  kUnsettled,  // the coordinator does not know the load yet
  kNoRoom,     // no server that was asked for has room, but others may
};
std::string_view NameOf(PlacedBy placed_by);

// A request that a coordinator was told of.
struct PlacedRequest {
  std::string server;
  std::string request;  // id among all requests of all routers
  RouterAddress coordinator;
  bool has_prompt = false;
  friend auto operator<=>(const PlacedRequest&, const PlacedRequest&) = default;
};

struct LoadDecision {
  std::string server;  // empty: to be chosen by the router's own view
  PlacedBy placed_by = PlacedBy::kOff;
  PlacementBid bid;      // of the server
  int64_t messages = 0;  // questions to other routers
  absl::Duration took;
  std::optional<PlacedRequest> placed;
  // Set if every server of the service says that it has no room.
  std::optional<absl::Duration> full_for;

  std::string_view placed_by_name() const { return NameOf(placed_by); }
};

class LoadController {
 public:
  // `router` is the name of this router.
  LoadController(std::string router,
                 const LoadControllerOptions& options,
                 LoadCalls calls);
  LoadController(const LoadController&) = delete;
  LoadController& operator=(const LoadController&) = delete;

  // Ids of requests are made unique with the router's name and a count.
  std::string UniqueId(std::string_view request);

  // Whether Place() asks coordinators now. If not, it needs no candidates.
  bool IsAsking() const { return options_.is_on && !calls_.is_link_busy(); }
  // Places a request; may wait for other routers.
  LoadDecision Place(const PlacementRequest& request,
                     const PlacementShortlist& candidates);
  // Tells the server's coordinator of a request that is sent without its bid.
  // Returns nullopt if it is not told.
  std::optional<PlacedRequest> PlaceUnasked(const PlacementRequest& request,
                                            const std::string& server);
  // Progress of a request. `took` counts from when it was sent to the server.
  void OnFirstToken(const PlacedRequest& placed, absl::Duration took);
  void OnEnd(const PlacedRequest& placed, absl::Duration took);

  // Another router asks or tells this one.
  PlacementReply OnAsked(const PlacementQuestion& question);
  void OnReported(const LoadReport& report);

  void SetServers(const std::vector<RelayServer>& servers);
  void SetTable(std::shared_ptr<const RoutingTable> table);
  size_t coordinated_servers() const { return coordinator_.server_count(); }

  // Follows which routers are up, and reports, until `stop` is set. Call it on
  // its own fiber.
  void Run(const std::atomic<bool>& stop);
  // One round of Run().
  void ObserveRouters();
  void SendReports() { peers_.SendReports(); }

 private:
  // The candidates of one coordinator.
  struct Group {
    RouterAddress coordinator;
    std::vector<std::string> servers;
  };
  struct Answers;
  // The course of one request.
  struct Course;

  LoadDecision PlaceByBids(const PlacementRequest& request,
                           const PlacementShortlist& candidates);
  // Asks the coordinator of the first candidate, which places the request if
  // the others cannot be much better. Returns whether the request's place is
  // decided.
  bool AskFirst(const PlacementShortlist& candidates, Course* course);
  bool PlaceAtBest(Course* course);
  bool IsCrowded(const std::string& service) const;
  void AskOthers(const std::vector<std::string>& servers, Course* course);
  // The most that the place at the first candidate may cost to be taken without
  // asking for others.
  absl::Duration GoodCost(const PlacementRequest& request) const;
  std::vector<Group> GroupsOf(const std::vector<std::string>& servers,
                              const Course& course);
  // Returns nullopt if the coordinator does not answer.
  std::optional<PlacementReply> Ask(const Group& group,
                                    absl::Duration place_within,
                                    Course* course);
  // Takes the bids of an answer, and what it says about the request's place.
  bool TakeReply(const Group& group,
                 const std::optional<PlacementReply>& reply,
                 Course* course);
  // Another router asks for servers of which it takes this router for the
  // coordinator, as the coordinator may not answer it.
  void CheckCoordinators(const PlacementQuestion& question);
  void DropDeadRouters(const std::vector<RouterAddress>& known);
  absl::Duration PrefillTime(int64_t tokens) const;
  void ObserveBid(const std::string& service, const PlacementBid& bid);
  void LogAnswer(const PlacementQuestion& question,
                 const PlacementReply& reply) const;

  void TellProgress(const PlacedRequest& placed,
                    PlacementEvent event,
                    absl::Duration took);

  const std::string router_;
  const LoadControllerOptions options_;
  const LoadCalls calls_;
  LoadPeers peers_;
  LoadCoordinator coordinator_;
  // Predicts what a server that holds nothing would offer.
  const ServerLoad empty_server_;
  uint64_t request_count_ = 0;
  // The delay of other requests for each millisecond of a prompt's processing,
  // on average over the bids of late, keyed by service.
  std::map<std::string, double> mean_delay_;
  // Service -> until when it is taken to have no room.
  std::map<std::string, absl::Time> crowded_until_;
  absl::Time routers_observed_ = absl::InfinitePast();
  // When other routers last asked or told something.
  std::map<std::string, absl::Time> heard_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_LOAD_CONTROLLER_H_
