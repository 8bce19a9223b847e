#ifndef HAWTHORNHOLLOW_RELAY_LOAD_COORDINATOR_H_
#define HAWTHORNHOLLOW_RELAY_LOAD_COORDINATOR_H_

// Knows which router is the load coordinator of each backend server, and keeps
// the load of those servers whose coordinator is this router. Has no I/O and no
// clock.
//
//   LoadCoordinator coordinator("entry-1", options);
//   coordinator.SetRouters(living_routers, now);
//   coordinator.SetServers(servers, now);
//   if (coordinator.CoordinatorOf("i-7")->router == "entry-1")
//     reply = coordinator.Answer(question, now);

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "hawthornhollow/relay/backend_server.h"
#include "hawthornhollow/relay/load_messages.h"
#include "hawthornhollow/relay/routing_table.h"
#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {

struct LoadCoordinatorOptions {
  // Of a server, until its configuration or its first tokens show more.
  ServerLoadOptions server;
  // A router that became the coordinator of a server since other routers came
  // or went gives no bids for this time. Routers read one another's records
  // every few hundred milliseconds, so by then all ask the same coordinator.
  absl::Duration settle_time = absl::Seconds(1);
  friend auto operator<=>(const LoadCoordinatorOptions&,
                          const LoadCoordinatorOptions&) = default;
};

class LoadCoordinator {
 public:
  // `router` is the name of this router.
  LoadCoordinator(std::string router, const LoadCoordinatorOptions& options);
  LoadCoordinator(const LoadCoordinator&) = delete;
  LoadCoordinator& operator=(const LoadCoordinator&) = delete;
  ~LoadCoordinator();

  // The routers that may be coordinators, this one included.
  void SetRouters(const std::vector<RouterAddress>& routers, absl::Time now);
  // Drops the requests of a router that has died.
  void DropRouter(std::string_view router);
  void SetServers(const std::vector<RelayServer>& servers, absl::Time now);
  void SetTable(std::shared_ptr<const RoutingTable> table, absl::Time now);

  // The routers' choice for a server; null if there is none, because the server
  // is not known, or no limit of what it holds is.
  const RouterAddress* CoordinatorOf(std::string_view server);

  // Whether the memory of the server's engine is described. Others queue what
  // they have no slot for.
  bool HasMemoryLimit(std::string_view server);

  // Bids for the servers of the question whose load is known.
  PlacementReply Answer(const PlacementQuestion& question, absl::Time now);
  void OnReport(const LoadReport& report, absl::Time now);
  // Drops requests whose routers report nothing any more.
  void Expire(absl::Time now);

  // Servers whose load is kept here.
  size_t server_count() const;

 private:
  struct State {
    RelayServer server;
    ServerLoadOptions limits;
    // As of `version` of the routers.
    RouterAddress coordinator;
    uint64_t version = 0;
    // Unset unless this router is the coordinator.
    std::unique_ptr<ServerLoad> load;
    // Since when this router is told of all requests.
    absl::Time complete_since = absl::InfinitePast();
  };

  ServerLoadOptions LimitsOf(const RelayServer& server) const;
  static bool HasLimits(const ServerLoadOptions& limits) {
    return limits.slots > 0 || limits.memory_tokens > 0;
  }
  // Brings the server's coordinator up to date. Null as CoordinatorOf().
  State* Find(std::string_view server);
  // The same, null also if this router is not the coordinator.
  State* FindOwn(std::string_view server);
  void OnProgress(const PlacementProgress& progress, absl::Time now);

  const std::string router_;
  const LoadCoordinatorOptions options_;
  std::vector<RouterAddress> routers_;
  uint64_t version_ = 0;  // of `routers_`
  absl::Time routers_changed_ = absl::InfinitePast();
  std::shared_ptr<const RoutingTable> table_;
  std::map<std::string, State, std::less<>> servers_;  // keyed by id
};

// The load coordinator of a server; null if there is no router. All that know
// the same routers choose the same, and a router that comes or goes changes the
// coordinators of few servers.
const RouterAddress* ChooseCoordinator(
    std::string_view server,
    const std::vector<RouterAddress>& routers);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_LOAD_COORDINATOR_H_
