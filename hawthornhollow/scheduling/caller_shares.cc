// Request rates decay exponentially with the half-life kHalfLife. The weight of
// a request is chosen so that a steady stream of one request per second
// converges to a rate of about 1.
//
// Reports are up to one report interval old, so that the shares of the routers
// do not add up to exactly 1 while demand moves between routers. With N routers
// the sum is at most N, for one interval after a caller starts to use all of
// them at once, and converges to 1 after that.

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

#include "hawthornhollow/scheduling/scheduling.h"

namespace hawthornhollow {
namespace {

// The increase of a decayed rate by one request, in requests per second.
const double kRequestWeight =
    std::numbers::ln2 / absl::ToDoubleSeconds(CallerShares::kHalfLife);

}  // namespace

double CallerShares::DecayedRate::RateAt(absl::Time now) const {
  if (at == absl::InfinitePast())
    return 0;
  const double age = absl::ToDoubleSeconds(now - at);
  return rate * std::exp2(-age / absl::ToDoubleSeconds(kHalfLife));
}

void CallerShares::OnRequest(const std::string& caller, absl::Time now) {
  DecayedRate& demand = local_demands_[caller];
  demand.rate = demand.RateAt(now) + kRequestWeight;
  demand.at = now;
}

void CallerShares::OnReport(const std::string& router,
                            const std::vector<CallerDemand>& demands,
                            absl::Time now) {
  PeerReport report;
  report.at = now;
  for (const CallerDemand& demand : demands)
    report.rates[demand.caller] = demand.requests_per_second;
  peer_reports_[router] = std::move(report);
}

double CallerShares::Share(const std::string& caller, absl::Time now) const {
  double other_demand = 0;
  for (const auto& [router, report] : peer_reports_) {
    if (now - report.at > kMaxReportAge)
      continue;
    const auto found = report.rates.find(caller);
    if (found != report.rates.end())
      other_demand += found->second;
  }
  if (other_demand <= 0)
    return 1;
  const auto found = local_demands_.find(caller);
  const double local_demand =
      found == local_demands_.end() ? 0 : found->second.RateAt(now);
  return std::max(local_demand, kRequestWeight) /
         (std::max(local_demand, kRequestWeight) + other_demand);
}

std::vector<CallerDemand> CallerShares::Report(absl::Time now) {
  std::erase_if(local_demands_, [&](const auto& item) {
    return item.second.RateAt(now) < kMinRequestsPerSecond;
  });
  std::vector<CallerDemand> report;
  for (const auto& [caller, demand] : local_demands_)
    report.push_back({caller, demand.RateAt(now)});
  return report;
}

}  // namespace hawthornhollow
