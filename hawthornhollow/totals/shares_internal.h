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

inline absl::Duration AgeOf(const fb::LevelRecordT& record,
                            absl::Duration now) {
  return now - absl::Microseconds(record.written_us);
}

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_TOTALS_SHARES_INTERNAL_H_
