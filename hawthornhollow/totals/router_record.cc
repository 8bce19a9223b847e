// The bytes of a router's records in the store, and what a level record allows.

#include <algorithm>

#include "hawthornhollow/totals/message_bytes.h"
#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {

int64_t ScheduleLimit(const fb::LevelShareT& share, absl::Duration age) {
  const bool is_late = age >= absl::Milliseconds(share.late_after_ms);
  const int64_t per_second =
      is_late ? std::max(share.per_second, share.late_per_second)
              : share.per_second;
  double allowance = std::max(0.0, absl::ToDoubleSeconds(age)) *
                     static_cast<double>(std::max<int64_t>(0, per_second));
  if (is_late)
    allowance += static_cast<double>(std::max<int64_t>(0, share.late_burst));
  // Far above any total, and far from an overflow.
  constexpr double kMost = 1e15;
  return share.committed + static_cast<int64_t>(std::min(allowance, kMost));
}

std::string EncodeAuthority(const fb::AuthorityRecordT& record) {
  return EncodeMessage<fb::AuthorityRecord>(record);
}

absl::StatusOr<fb::AuthorityRecordT> DecodeAuthority(std::string_view bytes) {
  return DecodeMessage<fb::AuthorityRecord>(bytes, "");
}

std::string EncodeLevel(const fb::LevelRecordT& record) {
  return EncodeMessage<fb::LevelRecord>(record);
}

absl::StatusOr<fb::LevelRecordT> DecodeLevel(std::string_view bytes) {
  return DecodeMessage<fb::LevelRecord>(bytes, "");
}

}  // namespace hawthornhollow
