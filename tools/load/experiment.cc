#include "tools/load/experiment.h"

#include <algorithm>
#include <boost/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "hawthornhollow/base/base.h"
#include "testing/fleet.h"
#include "tools/load/faults.h"
#include "tools/load/traffic.h"

namespace hawthornhollow::load {
namespace {

constexpr int64_t kBudgetTokens = 1'000'000'000;
// For links and grants to settle after the fleet is ready.
constexpr absl::Duration kSettle = absl::Milliseconds(500);

std::string RanksFile(const Scenario& scenario) {
  boost::json::array ranks;
  for (size_t i = 0; i < scenario.ranks.size(); ++i) {
    const RankShape& rank = scenario.ranks[i];
    ranks.push_back({{"kind", "rank"},
                     {"name", rank.name},
                     {"order", i},
                     {"target_ms", rank.target_ms},
                     {"floor", rank.floor}});
  }
  return boost::json::serialize(ranks);
}

FleetOptions FleetOptionsFor(const Scenario& scenario,
                             const std::string& policy) {
  const FleetShape& shape = scenario.fleet;
  FleetOptions options;
  options.routers = static_cast<size_t>(shape.routers);
  options.engines = static_cast<size_t>(shape.engines);
  options.slots = shape.slots;
  options.budget_tokens = kBudgetTokens;
  options.engine_flags = {"--token-ms", std::to_string(shape.token_ms),
                          "--prefill-ms-per-1k", "20"};
  options.files["30-ranks.json"] = RanksFile(scenario);
  options.router_policy = policy;
  return options;
}

Traffic::Targets TargetsOf(const Fleet& fleet, const FleetShape& shape) {
  Traffic::Targets targets;
  for (int64_t i = 0; i < shape.routers; ++i)
    targets.routers.push_back(fleet.router(i));
  for (int64_t i = 0; i < shape.engines; ++i)
    targets.engines.push_back(fleet.engine(i));
  return targets;
}

absl::Status InflictAll(const Scenario& scenario,
                        const Traffic& traffic,
                        Fleet& fleet) {
  for (const FaultEvent& event : scenario.events) {
    double left = event.at_s - traffic.Elapsed();
    if (left > 0)
      absl::SleepFor(absl::Seconds(left));
    absl::Status status = Inflict(fleet, scenario.fleet, event);
    if (!status.ok())
      return Annotate(status, "load.fault", event.action);
  }
  return absl::OkStatus();
}

RunResult ResultOf(const Scenario& scenario,
                   const std::string& policy,
                   std::vector<RequestRecord> records) {
  RunResult result;
  result.scenario = scenario;
  result.policy = policy;
  result.summaries = Summarize(scenario, records);
  result.checks = Check(scenario, result.summaries);
  result.records = std::move(records);
  return result;
}

absl::StatusOr<RunResult> RunAgainst(const Scenario& scenario,
                                     const ExperimentOptions& options) {
  bool direct =
      std::any_of(scenario.streams.begin(), scenario.streams.end(),
                  [](const StreamShape& stream) { return stream.direct; });
  if (direct || !scenario.events.empty())
    return ErrorAt(absl::StatusCode::kInvalidArgument, "load.start",
                   scenario.name,
                   "faults and direct streams need a fleet started from here");
  auto traffic = Traffic::Create(scenario, {options.routers, {}});
  if (!traffic.ok())
    return traffic.status();
  (*traffic)->Start();
  return ResultOf(scenario, options.policy, (*traffic)->Wait());
}

}  // namespace

absl::StatusOr<RunResult> RunExperiment(const Scenario& scenario,
                                        const ExperimentOptions& options) {
  if (!options.routers.empty())
    return RunAgainst(scenario, options);
  auto fleet = Fleet::Start(FleetOptionsFor(scenario, options.policy));
  if (!fleet.ok())
    return fleet.status();
  absl::SleepFor(kSettle);
  auto traffic = Traffic::Create(scenario, TargetsOf(**fleet, scenario.fleet));
  if (!traffic.ok())
    return traffic.status();
  double cpu_before = RouterCpuSeconds(**fleet, scenario.fleet);
  (*traffic)->Start();
  absl::Status faults = InflictAll(scenario, **traffic, **fleet);
  RunResult result = ResultOf(scenario, options.policy, (*traffic)->Wait());
  if (!faults.ok())
    return faults;
  // A router that was killed or started anew has lost its count.
  if (scenario.events.empty())
    result.router_cpu_s =
        RouterCpuSeconds(**fleet, scenario.fleet) - cpu_before;
  return result;
}

}  // namespace hawthornhollow::load
