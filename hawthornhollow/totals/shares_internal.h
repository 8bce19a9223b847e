#ifndef HAWTHORNHOLLOW_TOTALS_SHARES_INTERNAL_H_
#define HAWTHORNHOLLOW_TOTALS_SHARES_INTERNAL_H_

// Helpers that look up a workspace in a record. Internal to this folder.

#include <algorithm>
#include <optional>
#include <string>

#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {

// Returns the workspace's share in a record, or null.
template <typename Record>
auto FindShare(const Record& record, const std::string& workspace) {
  const auto found = std::find_if(
      record.shares.begin(), record.shares.end(),
      [&](const auto& share) { return share->workspace == workspace; });
  return found == record.shares.end() ? nullptr : found->get();
}

template <typename Record>
auto FindShare(const std::optional<Record>& record,
               const std::string& workspace) {
  return record.has_value() ? FindShare(*record, workspace)
                            : decltype(FindShare(*record, workspace))();
}

// Whether a share of a level record only tells what requests used: a router
// without a quota makes such shares. Nothing can have been committed by it.
inline bool TellsOnlyUsed(const fb::LevelShareT& share) {
  return share.committed == 0 && share.held == 0 && share.burst == 0 &&
         share.per_second == 0 && share.late_after_ms == 0 &&
         share.late_per_second == 0 && share.late_burst == 0;
}

inline absl::Duration AgeOf(const fb::LevelRecordT& record,
                            absl::Duration now) {
  return now - absl::Microseconds(record.written_us);
}

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_TOTALS_SHARES_INTERNAL_H_
