#include "testing/soak/fault_plan.h"

#include <algorithm>
#include <random>

namespace hawthornhollow::soak {
namespace {

constexpr absl::Duration kShortest = absl::Milliseconds(100);
constexpr absl::Duration kLongest = absl::Seconds(4);
constexpr absl::Duration kLongestRestore = absl::Seconds(1);
// A series strikes the same kind of thing again shortly after.
constexpr double kSeriesChance = 0.3;
constexpr absl::Duration kSeriesGap = absl::Milliseconds(400);

}  // namespace

std::string_view NameOf(FaultKind kind) {
  constexpr std::string_view kNames[kFaultKinds] = {
      "router_killed",        "router_terminated",
      "router_reloaded",      "router_paused",
      "store_silent",         "store_cut",
      "store_slow",           "store_answers_lost",
      "store_outage",         "server_silent",
      "server_cut",           "server_refuses",
      "server_fails",         "server_breaks_streams",
      "server_loses_answers", "server_slow",
      "server_unlisted",      "config_changed",
      "store_restored"};
  return kNames[static_cast<int>(kind)];
}

std::vector<Fault> DrawPlan(uint64_t seed, const PlanOptions& options) {
  std::mt19937_64 random(seed);
  const auto up_to = [&](absl::Duration most) {
    return most * std::uniform_real_distribution<double>(0, 1)(random);
  };
  const auto count = static_cast<int>(absl::ToDoubleSeconds(options.duration) *
                                      options.faults_per_second);
  std::vector<Fault> plan;
  Fault fault;
  for (int i = 0; i < count; ++i) {
    if (i > 0 && std::bernoulli_distribution(kSeriesChance)(random)) {
      fault.at += up_to(kSeriesGap);
    } else {
      fault.at = up_to(options.duration);
      fault.kind = static_cast<FaultKind>(
          std::uniform_int_distribution<int>(0, kDrawnKinds - 1)(random));
    }
    fault.at = std::min(fault.at, options.duration);
    fault.target = random() % (options.routers * options.servers);
    fault.lasts =
        std::min(kShortest + up_to(kLongest), options.duration - fault.at);
    plan.push_back(fault);
  }
  for (int i = 0; i < options.restores; ++i) {
    const absl::Duration at = up_to(options.duration);
    plan.push_back(
        {.at = at,
         .lasts = std::min(up_to(kLongestRestore), options.duration - at),
         .kind = FaultKind::kStoreRestored});
  }
  std::stable_sort(plan.begin(), plan.end(),
                   [](const Fault& a, const Fault& b) { return a.at < b.at; });
  return plan;
}

}  // namespace hawthornhollow::soak
