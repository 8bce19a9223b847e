#ifndef HAWTHORNHOLLOW_GATE_GATE_H_
#define HAWTHORNHOLLOW_GATE_GATE_H_

// The side process: the last gate before one backend server.
//
//   return RunSidecar(settings);  // until SIGTERM has been drained

#include "absl/status/status.h"
#include "hawthornhollow/config/config.h"

namespace hawthornhollow {

// Runs a side process until it has been shut down gracefully.
absl::Status RunSidecar(const SidecarSettings& settings);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_GATE_GATE_H_
