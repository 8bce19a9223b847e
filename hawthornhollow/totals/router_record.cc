// The bytes of a router's record in the store.

#include <algorithm>

#include "hawthornhollow/totals/message_bytes.h"
#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {

int64_t SpendingLimit(const fb::TotalShareT& share, absl::Duration age) {
  double allowance =
      std::max(0.0, absl::ToDoubleSeconds(age)) *
      static_cast<double>(std::max<int64_t>(0, share.per_second));
  if (age >= absl::Milliseconds(share.burst_after_ms))
    allowance += static_cast<double>(std::max<int64_t>(0, share.burst));
  const int64_t headroom =
      std::max<int64_t>(0, share.authority - share.committed);
  if (allowance >= static_cast<double>(headroom))
    return share.committed + headroom;
  return share.committed + static_cast<int64_t>(allowance);
}

std::string EncodeRouterRecord(const fb::RouterRecordT& record) {
  return EncodeMessage<fb::RouterRecord>(record);
}

absl::StatusOr<fb::RouterRecordT> DecodeRouterRecord(std::string_view bytes) {
  return DecodeMessage<fb::RouterRecord>(bytes, "");
}

}  // namespace hawthornhollow
