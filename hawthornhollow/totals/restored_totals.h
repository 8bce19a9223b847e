#ifndef HAWTHORNHOLLOW_TOTALS_RESTORED_TOTALS_H_
#define HAWTHORNHOLLOW_TOTALS_RESTORED_TOTALS_H_

// How much of a total may still be assigned to quotas after the store came back
// from an older copy, while some routers' quotas are uncertain. Internal to
// this folder.
//
// All quotas together kept within the total that was in force when the store
// came back, whatever was lost. So only what is added to the total later may be
// assigned, less what any quota has grown since.
//
//   RestoredTotals restored;
//   restored.Begin(now);
//   restored.NoteQuota(router, workspace, tokens);   // known at that time
//   restored.EndOfBase();
//   restored.NoteTotal(workspace, total, now);
//   restored.NoteQuota(router, workspace, tokens);   // of later records
//   restored.Assignable(workspace, total);

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "absl/time/time.h"

namespace hawthornhollow {

class RestoredTotals {
 public:
  // A change of the configuration reaches all routers in this time. A router
  // that has ended since may have known a total that is read here later.
  static constexpr absl::Duration kTotalsKnownAfter = absl::Seconds(10);

  void Begin(absl::Duration now) {
    workspaces_.clear();
    began_ = now;
    is_base_ = true;
  }
  void EndOfBase() { is_base_ = false; }

  void NoteTotal(const std::string& workspace,
                 int64_t total,
                 absl::Duration now) {
    const auto [found, is_new] = workspaces_.try_emplace(workspace);
    if (!found->second.has_total || now - began_ < kTotalsKnownAfter)
      found->second.base = std::max(found->second.base, total);
    found->second.has_total = true;
  }

  void NoteQuota(const std::string& router,
                 const std::string& workspace,
                 int64_t tokens) {
    auto [found, is_new] =
        workspaces_[workspace].quotas.try_emplace(router, Quota());
    Quota& quota = found->second;
    if (is_base_)
      quota.base = std::max(quota.base, tokens);
    quota.peak = std::max(quota.peak, tokens);
  }

  int64_t Assignable(const std::string& workspace, int64_t total) const {
    const auto found = workspaces_.find(workspace);
    if (found == workspaces_.end())
      return 0;
    int64_t left = total - found->second.base;
    for (const auto& [router, quota] : found->second.quotas)
      left -= quota.peak - quota.base;
    return std::max<int64_t>(0, left);
  }

 private:
  // A router's quota when the store came back, and its largest one since.
  struct Quota {
    int64_t base = 0;
    int64_t peak = 0;
  };
  struct Workspace {
    bool has_total = false;
    int64_t base = 0;  // the total when the store came back
    std::map<std::string, Quota> quotas;
  };

  std::map<std::string, Workspace> workspaces_;
  absl::Duration began_;
  bool is_base_ = false;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_TOTALS_RESTORED_TOTALS_H_
