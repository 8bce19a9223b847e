#ifndef HAWTHORNHOLLOW_GATE_SIDECAR_H_
#define HAWTHORNHOLLOW_GATE_SIDECAR_H_

// The sidecar: a process that runs next to one backend server and through which
// all requests to that server pass. It limits how many requests run at once,
// runs no request twice that is not idempotent, streams the answers to the
// routers, and bills the runs that no router has billed. Frames, records, log
// events and metrics call the sidecar the "gate".
//
//   return RunSidecar(settings);  // Returns after a graceful shutdown.

#include "absl/status/status.h"
#include "hawthornhollow/config/config.h"

namespace hawthornhollow {

// Runs a sidecar until SIGTERM has shut it down gracefully. Returns an error if
// a setting is invalid or an address cannot be listened on.
absl::Status RunSidecar(const SidecarSettings& settings);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_GATE_SIDECAR_H_
