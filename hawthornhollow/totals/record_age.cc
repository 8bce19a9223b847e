// Computes an upper bound on the age of the last level record of a VM at the
// start of the router's next incarnation. If the age is underestimated, the new
// incarnation is charged too little and the total may be overdrawn. If it is
// overestimated, tokens are only left unusable.
//
// While the VM keeps running, the clock that counts from its boot gives the
// age. That clock restarts when the VM loses power, and on some systems two
// boots have the same boot id. So the boot clock is trusted only if the time of
// day has advanced by about the same amount.
//
// Otherwise the time of day is used. On some VMs it may be set by seconds, so a
// single clock is not enough at either end. A record carries the earliest time
// of day known to its writer, from its own clock since the boot and from other
// routers at its start; the age extends to the latest time shown by the new
// incarnation and other routers. The result is too low only if all clocks that
// were asked at one end were wrong in the same direction.

#include <algorithm>

#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {
namespace {

// If two boots share an id, their clocks differ by far more than this. Setting
// the time of day changes it by less.
constexpr absl::Duration kMaxClockDisagreement = absl::Seconds(5);
// Typical difference between the clocks of VMs when nobody sets them.
constexpr absl::Duration kTypicalClockSkew = absl::Milliseconds(250);

}  // namespace

RecordAge RecordAgeAtStart(const fb::LevelRecordT& level,
                           const IncarnationStart& start) {
  if (level.time_of_day_us == 0)
    return {};
  const absl::Time written = absl::FromUnixMicros(level.time_of_day_us);
  const absl::Duration by_boot =
      start.boot_time - absl::Microseconds(level.written_us);
  const bool same_boot = !start.boot.empty() && start.boot == level.boot &&
                         by_boot >= absl::ZeroDuration();
  if (same_boot && start.time_of_day.has_value() &&
      absl::AbsDuration(*start.time_of_day - written - by_boot) <=
          kMaxClockDisagreement)
    return {.age = by_boot, .source = AgeSource::kBootClock};
  if (!start.latest_time_of_day.has_value() ||
      *start.latest_time_of_day < written)
    return {};
  return {.age = *start.latest_time_of_day - written + kTypicalClockSkew,
          .source = AgeSource::kTimeOfDay};
}

std::string_view NameOf(AgeSource source) {
  switch (source) {
    case AgeSource::kUnknown:
      return "unknown";
    case AgeSource::kBootClock:
      return "boot_clock";
    case AgeSource::kTimeOfDay:
      return "time_of_day";
  }
  return "";
}

}  // namespace hawthornhollow
