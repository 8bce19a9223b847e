// Serialization of a router's records, and evaluation of a level record's
// schedule.

#include <algorithm>

#include "hawthornhollow/totals/message_bytes.h"
#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {

namespace {

// The burst of a late record becomes available linearly over this time, so that
// a router that loses power shortly after its record became late is charged
// only a small part of it.
constexpr absl::Duration kLateBurstRampUp = absl::Seconds(1);

constexpr int kEpochBitsOfEra = 32;

double NonNegative(int64_t tokens) {
  return static_cast<double>(std::max<int64_t>(0, tokens));
}

}  // namespace

int64_t ScheduleLimit(const fb::LevelShareT& share, absl::Duration record_age) {
  // Multiplying an infinite age by a rate of zero would give NaN.
  constexpr absl::Duration kMaxAge = absl::Hours(24 * 365 * 10);
  const absl::Duration age = std::min(record_age, kMaxAge);
  const absl::Duration late_after = absl::Milliseconds(share.late_after_ms);
  const absl::Duration early =
      std::clamp(age, absl::ZeroDuration(), late_after);
  const absl::Duration late = std::max(absl::ZeroDuration(), age - late_after);
  const double allowance =
      NonNegative(share.burst) +
      absl::ToDoubleSeconds(early) * NonNegative(share.per_second) +
      absl::ToDoubleSeconds(late) * NonNegative(share.late_per_second) +
      std::min(1.0, absl::FDivDuration(late, kLateBurstRampUp)) *
          NonNegative(share.late_burst);
  // Far above any total, and small enough not to overflow.
  constexpr double kMaxAllowance = 1e15;
  return share.committed +
         static_cast<int64_t>(std::min(allowance, kMaxAllowance));
}

int64_t FirstEpochOf(int64_t era) {
  return (era + 1) << kEpochBitsOfEra;
}

int64_t EraOf(int64_t epoch) {
  return (epoch >> kEpochBitsOfEra) - 1;
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
