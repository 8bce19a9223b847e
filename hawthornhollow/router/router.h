#ifndef HAWTHORNHOLLOW_ROUTER_ROUTER_H_
#define HAWTHORNHOLLOW_ROUTER_ROUTER_H_

// The router process on an entry VM. Example:
//
//   return RunRouter(settings);  // returns after a graceful shutdown by
//   SIGTERM

#include "absl/status/status.h"
#include "hawthornhollow/config/config.h"

namespace hawthornhollow {

// Runs a router until it has been shut down gracefully. Returns an error if the
// router cannot be started.
absl::Status RunRouter(const RouterSettings& settings);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_ROUTER_ROUTER_H_
