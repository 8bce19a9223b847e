#ifndef HAWTHORNHOLLOW_ROUTER_GATE_CONTROLLER_H_
#define HAWTHORNHOLLOW_ROUTER_GATE_CONTROLLER_H_

// The links to the gates of every backend server in the configuration.

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

  // Opens links to new servers. A link whose server was removed, or moved to
  // another address, is closed once its calls have ended (see
  // CloseIdleRetiredLinks).
  void SetServers(const std::vector<Server>& servers);
  // Gate incarnations that are not to be used any more; see GateLink.
  void SetEndedGates(EndedGates ended);
  // Closes links no longer wanted that have no calls. Call it every second.
  void CloseIdleRetiredLinks();
  // Ends every link; the group's fibers then end.
  void Stop();

  // Null if the server is not in the configuration.
  std::shared_ptr<GateLink> Find(const std::string& server) const;

  bool HasCallsThrough(const std::string& gate_incarnation) const;
  // Tells every gate that may know the request that its bill is durable.
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
