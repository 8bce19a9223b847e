#ifndef HAWTHORNHOLLOW_TOTALS_RESTORED_TOTALS_H_
#define HAWTHORNHOLLOW_TOTALS_RESTORED_TOTALS_H_

// The totals of workspaces when the store came back from an older copy. All
// quotas together kept within them then, whatever was lost; only what was added
// since is certainly in nobody's quota.
//
//   RestoredTotals restored;
//   restored.Begin(now);
//   restored.NoteTotal(workspace, total, now);   // then, and at each change
//   int64_t added = total - restored.TotalThen(workspace);

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "absl/time/time.h"

namespace hawthornhollow {

class RestoredTotals {
 public:
  // A change of the configuration reaches all routers in this time. A router
  // that has ended since may have known a total that is read here later.
  static constexpr absl::Duration kTotalsKnownAfter = absl::Seconds(10);

  void Begin(absl::Duration now) {
    totals_.clear();
    began_ = now;
  }

  void NoteTotal(const std::string& workspace,
                 int64_t total,
                 absl::Duration now) {
    const auto [found, is_new] = totals_.try_emplace(workspace, total);
    if (now - began_ < kTotalsKnownAfter)
      found->second = std::max(found->second, total);
  }

  int64_t TotalThen(const std::string& workspace) const {
    const auto found = totals_.find(workspace);
    return found == totals_.end() ? 0 : found->second;
  }

 private:
  std::map<std::string, int64_t> totals_;  // keyed by workspace
  absl::Duration began_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_TOTALS_RESTORED_TOTALS_H_
