#ifndef TESTING_SOAK_FAULT_PLAN_H_
#define TESTING_SOAK_FAULT_PLAN_H_

// What befalls a fleet in one run of the soak, drawn from a seed: series of
// faults that overlap, and changes of the configuration among them.

#include <cstdint>
#include <string_view>
#include <vector>

#include "absl/time/time.h"

namespace hawthornhollow::soak {

enum class FaultKind {
  kRouterKilled,
  kRouterTerminated,  // SIGTERM; the next one starts when it has ended
  kRouterReloaded,    // SIGHUP
  kRouterPaused,      // SIGSTOP, and SIGCONT at the end
  kStoreSilent,       // between one router and the store
  kStoreCut,
  kStoreSlow,
  kStoreAnswersLost,  // what was asked is done
  kStoreOutage,       // for all routers
  kServerSilent,
  kServerCut,
  kServerRefuses,
  kServerFails,
  kServerBreaksStreams,
  kServerLosesAnswers,
  kServerSlow,
  kServerUnlisted,  // its entry is gone, and comes back at the end
  kConfigChanged,   // a top-up, and another version
  kStoreRestored,   // away, and back from a copy of some seconds before
};
// Those that are drawn for each fault; restores are drawn apart from them.
constexpr int kDrawnKinds = static_cast<int>(FaultKind::kConfigChanged) + 1;
constexpr int kFaultKinds = kDrawnKinds + 1;
std::string_view NameOf(FaultKind kind);

struct Fault {
  absl::Duration at;
  absl::Duration lasts;
  FaultKind kind = FaultKind::kRouterKilled;
  size_t target = 0;  // which router or server, by number
  friend bool operator==(const Fault&, const Fault&) = default;
};

struct PlanOptions {
  absl::Duration duration = absl::Seconds(10);
  size_t routers = 3;
  size_t servers = 3;
  double faults_per_second = 1.5;
  int restores = 0;  // of the store, besides
};

// In the order of their beginnings; all have ended by the duration.
std::vector<Fault> DrawPlan(uint64_t seed, const PlanOptions& options);

}  // namespace hawthornhollow::soak

#endif  // TESTING_SOAK_FAULT_PLAN_H_
