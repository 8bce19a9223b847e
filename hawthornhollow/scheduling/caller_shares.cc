// Rates decay exponentially with kHalfLife: a request adds the rate that a
// steady stream of one request per second would converge to. Reports are late
// by up to the interval at which they are sent, so the shares of the routers do
// not add up to one exactly while demand moves between them; with N routers the
// sum is at most N for one interval after a caller begins on all at once, and
// tends to one from then on.

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

#include "hawthornhollow/scheduling/scheduling.h"

namespace hawthornhollow {
namespace {

// What one request adds to a decayed rate.
const double kRequestWeight =
    std::numbers::ln2 / absl::ToDoubleSeconds(CallerShares::kHalfLife);

}  // namespace

double CallerShares::Decayed::RateAt(absl::Time now) const {
  if (at == absl::InfinitePast())
    return 0;
  const double age = absl::ToDoubleSeconds(now - at);
  return rate * std::exp2(-age / absl::ToDoubleSeconds(kHalfLife));
}

void CallerShares::OnRequest(const std::string& caller, absl::Time now) {
  Decayed& demand = own_[caller];
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
  peers_[router] = std::move(report);
}

double CallerShares::Share(const std::string& caller, absl::Time now) const {
  double others = 0;
  for (const auto& [router, report] : peers_) {
    if (now - report.at > kReportAge)
      continue;
    const auto found = report.rates.find(caller);
    if (found != report.rates.end())
      others += found->second;
  }
  if (others <= 0)
    return 1;
  const auto found = own_.find(caller);
  const double own = found == own_.end() ? 0 : found->second.RateAt(now);
  return std::max(own, kRequestWeight) /
         (std::max(own, kRequestWeight) + others);
}

std::vector<CallerDemand> CallerShares::Report(absl::Time now) {
  std::erase_if(own_, [&](const auto& item) {
    return item.second.RateAt(now) < kMinRequestsPerSecond;
  });
  std::vector<CallerDemand> report;
  for (const auto& [caller, demand] : own_)
    report.push_back({caller, demand.RateAt(now)});
  return report;
}

}  // namespace hawthornhollow
