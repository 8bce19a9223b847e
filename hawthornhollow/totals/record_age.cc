// How old the last level record on a VM was, at most, when the next incarnation
// began. Too young an age would charge too little and let the total be
// overdrawn; too old a one only strands tokens.
//
// While the VM goes on running, the clock that counts from its boot tells. It
// starts anew when the VM loses power, and systems exist that do not tell one
// boot from another by its id. So the clock is believed only if the time of day
// has moved about as far.
//
// Otherwise the time of day decides. It may be set by seconds on some VMs, so
// one clock is not enough, at neither end: a record bears the earliest time of
// day that its writer knows of, from its own clock since the boot and from
// other routers at its start, and the age is taken up to the latest that the
// new incarnation and other routers show. The age is too young only if all
// clocks that were asked at one end were wrong in the same direction.

#include <algorithm>

#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {
namespace {

// Two boots that look alike show clocks that are far further apart; a time of
// day that was set moved less.
constexpr absl::Duration kClocksAgree = absl::Seconds(5);
// VMs' clocks differ by about this much while nobody sets them.
constexpr absl::Duration kUsualSkew = absl::Milliseconds(250);

}  // namespace

RecordAge AgeAtBirth(const fb::LevelRecordT& level, const Birth& birth) {
  if (level.time_of_day_us == 0)
    return {};
  const absl::Time written = absl::FromUnixMicros(level.time_of_day_us);
  const absl::Duration by_boot =
      birth.boot_time - absl::Microseconds(level.written_us);
  const bool same_boot = !birth.boot.empty() && birth.boot == level.boot &&
                         by_boot >= absl::ZeroDuration();
  if (same_boot && birth.time_of_day.has_value() &&
      absl::AbsDuration(*birth.time_of_day - written - by_boot) <= kClocksAgree)
    return {.age = by_boot, .source = AgeSource::kBootClock};
  if (!birth.latest_time_of_day.has_value() ||
      *birth.latest_time_of_day < written)
    return {};
  return {.age = *birth.latest_time_of_day - written + kUsualSkew,
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
