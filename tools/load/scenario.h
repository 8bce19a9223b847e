#ifndef TOOLS_LOAD_SCENARIO_H_
#define TOOLS_LOAD_SCENARIO_H_

// A load experiment as read from a JSON file: the fleet, the arrival streams,
// the faults, and the figures that are expected.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace hawthornhollow::load {

struct FleetShape {
  int64_t routers = 3;
  int64_t engines = 10;
  int64_t slots = 4;
  int64_t token_ms = 20;
  int64_t output_tokens = 20;  // of a request, unless its stream says otherwise

  // Requests per second that the engines can serve.
  double Capacity() const;
};

struct RankShape {
  std::string name;
  int64_t target_ms = 0;  // for the first token
  double floor = 0;
};

// Poisson arrivals of one caller's requests in one rank.
struct StreamShape {
  std::string name;
  std::string caller = "ward-1";
  std::string rank;
  double per_second = 0;  // a multiple of capacity is resolved when read
  int64_t prompt_chars = 64;
  int64_t output_tokens = 20;
  double start_s = 0;
  double stop_s = 0;
  bool direct = false;  // to the engines, past the routers
};

struct FaultEvent {
  double at_s = 0;
  std::string action;
  int64_t target = 0;  // number of a router, an engine or a failure domain
  double factor = 1;   // of slow_engine
};

// A part of the run that is summarized on its own.
struct Phase {
  std::string name;
  double from_s = 0;
  double to_s = 0;
};

// A bound on one figure of the summary. With `over_phase` or `over_stream`, on
// its ratio to the same figure there.
struct Expectation {
  std::string phase;
  std::string subject;  // a rank, "stream:NAME", "caller:NAME" or "all"
  std::string figure;
  std::string over_phase;
  std::string over_subject;
  double min = 0;
  double max = 0;  // 0: none
};

struct Scenario {
  std::string name;
  uint64_t seed = 1;
  double seconds = 0;
  double client_timeout_s = 15;  // of one attempt that stays silent
  FleetShape fleet;
  std::vector<RankShape> ranks;
  std::vector<StreamShape> streams;
  std::vector<FaultEvent> events;
  std::vector<Phase> phases;
  std::vector<Expectation> expectations;

  // INVALID_ARGUMENT names the file, the field and the reason.
  static absl::StatusOr<Scenario> Parse(std::string_view file,
                                        std::string_view text);
  static absl::StatusOr<Scenario> Read(const std::string& path);

  const RankShape* FindRank(std::string_view rank) const;
};

}  // namespace hawthornhollow::load

#endif  // TOOLS_LOAD_SCENARIO_H_
