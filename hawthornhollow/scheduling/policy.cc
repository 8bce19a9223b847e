#include "hawthornhollow/scheduling/scheduling.h"

namespace hawthornhollow {

std::optional<SchedulingPolicy> ParseSchedulingPolicy(std::string_view name) {
  if (name == "ranks") {
    return SchedulingPolicy::kRanks;
  }
  if (name == "fifo") {
    return SchedulingPolicy::kFifo;
  }
  if (name == "least_loaded") {
    return SchedulingPolicy::kLeastLoaded;
  }
  if (name == "random") {
    return SchedulingPolicy::kRandom;
  }
  return std::nullopt;
}

}  // namespace hawthornhollow
