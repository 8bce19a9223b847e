#ifndef TOOLS_LOAD_FAULTS_H_
#define TOOLS_LOAD_FAULTS_H_

// Carries out a scenario's faults on a fleet that this program has started.

#include "absl/status/status.h"
#include "testing/fleet.h"
#include "tools/load/scenario.h"

namespace hawthornhollow::load {

absl::Status Inflict(Fleet& fleet,
                     const FleetShape& shape,
                     const FaultEvent& event);

// The processor time that the routers have used so far.
double RouterCpuSeconds(Fleet& fleet, const FleetShape& shape);

}  // namespace hawthornhollow::load

#endif  // TOOLS_LOAD_FAULTS_H_
