// What is left of a total: for certain, and as far as records tell. See "When a
// request can never be covered" at the top of totals_book.cc.

#include <algorithm>

#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {

int64_t TotalsBook::Uncommitted(const std::string& workspace) const {
  const int64_t by_others =
      TotalOf(workspace) - other_routers_sums(workspace).committed;
  const LocalUsage* usage = FindUsage(workspace);
  return usage == nullptr
             ? by_others
             : by_others - usage->committed - usage->held + usage->transfers;
}

bool TotalsBook::IsAmple(const std::string& workspace) const {
  // No request is to be refused while a tenth is left. Loans, and what was
  // charged after kills, are committed and within 2% each.
  constexpr int64_t kAmpleDivisor = 20;
  return Uncommitted(workspace) >= TotalOf(workspace) / kAmpleDivisor;
}

int64_t TotalsBook::UsedByAll(const std::string& workspace) const {
  const LocalUsage* usage = FindUsage(workspace);
  const int64_t others = other_routers_sums(workspace).used;
  return usage == nullptr
             ? others
             : std::max(usage->reported_used, others + usage->used);
}

void TotalsBook::ObserveUsed(const std::string& workspace, int64_t tokens) {
  LocalUsage& usage = UsageOf(workspace);
  usage.reported_used = std::max(usage.reported_used, tokens);
}

bool TotalsBook::IsSpent(const std::string& workspace, int64_t tokens) const {
  const LocalUsage* usage = FindUsage(workspace);
  const int64_t in_progress = usage == nullptr ? 0 : usage->in_progress;
  return TotalOf(workspace) - UsedByAll(workspace) - in_progress < tokens;
}

TotalsSum TotalsBook::sum(absl::Duration now) const {
  TotalsSum sum;
  for (const auto& [workspace, usage] : usages_) {
    sum.available += state(workspace, now).available;
    sum.waiting += usage.waiting;
  }
  return sum;
}

}  // namespace hawthornhollow
