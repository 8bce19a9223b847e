#ifndef HAWTHORNHOLLOW_ROUTER_ROUTER_H_
#define HAWTHORNHOLLOW_ROUTER_ROUTER_H_

// The router on an entry VM.
//
//   return RunRouter(settings);  // until SIGTERM has been drained

#include "absl/status/status.h"
#include "hawthornhollow/config/config.h"

namespace hawthornhollow {

// Runs a router until it has been shut down gracefully.
absl::Status RunRouter(const RouterSettings& settings);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_ROUTER_ROUTER_H_
