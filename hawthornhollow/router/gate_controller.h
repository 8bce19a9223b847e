#ifndef HAWTHORNHOLLOW_ROUTER_GATE_CONTROLLER_H_
#define HAWTHORNHOLLOW_ROUTER_GATE_CONTROLLER_H_

// Maintains the links to the gates, the side processes of the backend servers
// in the configuration.

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "hawthornhollow/config/config.h"
#include "hawthornhollow/router/fiber_group.h"
#include "hawthornhollow/router/gate_link.h"

namespace hawthornhollow {

// Thread-safe.
class GateController {
 public:
  GateController(FiberGroup& fibers, fb::HelloT self, GateLinkEvents events);
  GateController(const GateController&) = delete;
  GateController& operator=(const GateController&) = delete;

  // Opens links to new servers. The link to a server that was removed, or whose
  // address changed, is retired: CloseIdleRetiredLinks closes it once its calls
  // have ended.
  void SetServers(const std::vector<Server>& servers);
  // Sets the gate incarnations that have ended and must not be used any more.
  // Closes their links and fails the calls through them.
  void SetEndedGates(EndedGates ended);
  // Closes the retired links without calls in progress. Must be called about
  // once per second.
  void CloseIdleRetiredLinks();
  // Closes every link, so that the fibers of the links end.
  void Stop();

  // Returns null if the server is not in the configuration.
  std::shared_ptr<GateLink> Find(const std::string& server) const;

  bool HasCallsThrough(const std::string& gate_incarnation) const;
  // Tells the gate of the server that the request's bill is durable.
  void SendSettled(const std::string& server, const std::string& request);

 private:
  std::shared_ptr<GateLink> OpenLink(const Server& server,
                                     const Endpoint& endpoint);

  FiberGroup& fibers_;
  const fb::HelloT self_;
  const GateLinkEvents events_;
  mutable std::mutex mutex_;
  std::map<std::string, std::shared_ptr<GateLink>> links_;
  std::vector<std::shared_ptr<GateLink>> retired_;
  std::shared_ptr<const EndedGates> ended_gates_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_ROUTER_GATE_CONTROLLER_H_
