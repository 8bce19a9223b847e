#ifndef TOOLS_LOAD_EXPERIMENT_H_
#define TOOLS_LOAD_EXPERIMENT_H_

// Runs one scenario, on a fleet of its own or against routers that run already.

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "hawthornhollow/runtime/runtime.h"
#include "tools/load/report.h"
#include "tools/load/scenario.h"

namespace hawthornhollow::load {

struct ExperimentOptions {
  std::string policy = "ranks";
  // Routers that run already; faults are then impossible.
  std::vector<Endpoint> routers;
};

absl::StatusOr<RunResult> RunExperiment(const Scenario& scenario,
                                        const ExperimentOptions& options);

}  // namespace hawthornhollow::load

#endif  // TOOLS_LOAD_EXPERIMENT_H_
