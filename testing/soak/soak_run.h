#ifndef TESTING_SOAK_SOAK_RUN_H_
#define TESTING_SOAK_SOAK_RUN_H_

// One seeded run of the fault soak: routers as processes of their own before
// stand-ins of the platform's store and backend servers, faults from outside
// them, callers who go on all the while, and the promises checked from what
// callers and servers saw.
//
//   const SoakResult result = RunSoak({.seed = 7, .folder = "/tmp/soak-7"});
//   for (const std::string& line : result.broken) ...
//
// The folder keeps the routers' logs.

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "testing/soak/fault_plan.h"

namespace hawthornhollow::soak {

struct SoakOptions {
  uint64_t seed = 1;
  std::string entry;   // the router's program
  std::string folder;  // exists
  size_t callers = 12;
  PlanOptions plan;
};

struct SoakResult {
  std::vector<std::string> broken;  // a line for each broken promise
  int64_t requests = 0;
  int64_t answered = 0;  // with a success, whole
  int64_t refused = 0;
  size_t faults = 0;
};

SoakResult RunSoak(const SoakOptions& options);

}  // namespace hawthornhollow::soak

#endif  // TESTING_SOAK_SOAK_RUN_H_
