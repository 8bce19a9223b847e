#ifndef HAWTHORNHOLLOW_RELAY_SERVER_LIMITS_CALLS_H_
#define HAWTHORNHOLLOW_RELAY_SERVER_LIMITS_CALLS_H_

// What ServerLimitsController is given: its settings, and its router's calls.

#include <functional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "hawthornhollow/relay/cold_servers.h"
#include "hawthornhollow/relay/server_limits.h"
#include "hawthornhollow/runtime/runtime.h"

namespace hawthornhollow {

struct ServerLimitsControllerOptions {
  ServerLimitOptions decisions;
  // Between two messages with news to the other routers.
  absl::Duration tell_interval = absl::Milliseconds(50);
  // A granter that did not answer is not asked again for this time.
  absl::Duration ask_pause = absl::Milliseconds(400);
  ColdServerOptions cold;
  // A permit for a cold server that was asked for longer ago is not used: a
  // router that was suspended would use several at once.
  absl::Duration max_permit_age = absl::Milliseconds(100);
  // How long a server whose connection was lost is tried to see whether it
  // refuses connections.
  absl::Duration probe_timeout = absl::Milliseconds(100);
  // Callers whose requests were denied come back after this time at least.
  absl::Duration min_retry_after = absl::Milliseconds(50);
};

// What ServerLimitsController needs of its router.
struct ServerLimitCalls {
  std::function<void(std::function<void()>)> spawn;  // runs on another fiber
  // All routers that are up, this one included.
  std::function<std::vector<RouterAddress>()> routers;
  // Whether `routers` is more than this one, which has not read of others yet.
  std::function<bool()> knows_routers;
  // Whether the others may not have known this router before it started.
  std::function<bool()> is_new_router;
  std::function<absl::StatusOr<PermitAnswer>(const std::string& address,
                                             const PermitQuestion& question)>
      ask;
  std::function<absl::Status(
      const std::string& address,
      const std::vector<ServerLimitStatement>& statements)>
      tell;
  // Whether a server refuses connections. An error if this is not known: it
  // does not answer.
  std::function<absl::StatusOr<bool>(const Endpoint& server,
                                     absl::Duration timeout)>
      refuses;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_SERVER_LIMITS_CALLS_H_
