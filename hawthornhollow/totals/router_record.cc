// The bytes of a router's record in the store.

#include <algorithm>

#include "hawthornhollow/base/base.h"
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
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fb::RouterRecord::Pack(builder, &record));
  return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                     builder.GetSize());
}

absl::StatusOr<fb::RouterRecordT> DecodeRouterRecord(std::string_view bytes) {
  flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(bytes.data()),
                                 bytes.size());
  if (!verifier.VerifyBuffer<fb::RouterRecord>()) {
    return ErrorAt(absl::StatusCode::kDataLoss, "totals.decode", "",
                   "not a router's record");
  }
  fb::RouterRecordT record;
  flatbuffers::GetRoot<fb::RouterRecord>(bytes.data())->UnPackTo(&record);
  return record;
}

}  // namespace hawthornhollow
