#include <gtest/gtest.h>

#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {
namespace {

constexpr absl::Time kWritten = absl::FromUnixSeconds(1'700'000'000);
constexpr absl::Duration kWrittenOnBootClock = absl::Seconds(500);

fb::LevelRecordT Level() {
  fb::LevelRecordT level;
  level.boot = "boot-1";
  level.written_us = absl::ToInt64Microseconds(kWrittenOnBootClock);
  level.time_of_day_us = absl::ToUnixMicros(kWritten);
  return level;
}

TEST(RecordAgeTest, IncarnationStarts_AgeIsTakenFromTheTrustedClock) {
  const absl::Duration none = absl::InfiniteDuration();
  const struct {
    const char* name;
    IncarnationStart start;
    AgeSource source;
    absl::Duration least;
    absl::Duration most;
  } cases[] = {
      {"killed and back",
       {.boot = "boot-1",
        .boot_time = absl::Seconds(501),
        .time_of_day = kWritten + absl::Seconds(1)},
       AgeSource::kBootClock,
       absl::Seconds(1),
       absl::Seconds(1)},
      {"killed and back, its time of day set forward meanwhile",
       {.boot = "boot-1",
        .boot_time = absl::Seconds(501),
        .time_of_day = kWritten + absl::Milliseconds(3'400)},
       AgeSource::kBootClock,
       absl::Seconds(1),
       absl::Seconds(1)},
      {"power was lost",
       {.boot = "boot-2",
        .boot_time = absl::Seconds(1),
        .time_of_day = kWritten + absl::Seconds(2),
        .latest_time_of_day = kWritten + absl::Seconds(2)},
       AgeSource::kTimeOfDay,
       absl::Seconds(2),
       absl::Milliseconds(2'500)},
      {"power was lost, and the time of day was set back here",
       {.boot = "boot-2",
        .boot_time = absl::Seconds(1),
        .time_of_day = kWritten - absl::Seconds(2),
        .latest_time_of_day = kWritten + absl::Seconds(2)},
       AgeSource::kTimeOfDay,
       absl::Seconds(2),
       absl::Milliseconds(2'500)},
      {"power was lost, and the boot cannot be told from the last",
       {.boot = "boot-1",
        .boot_time = absl::Seconds(7'000),
        .time_of_day = kWritten + absl::Seconds(2),
        .latest_time_of_day = kWritten + absl::Seconds(2)},
       AgeSource::kTimeOfDay,
       absl::Seconds(2),
       absl::Milliseconds(2'500)},
      {"power was lost, and nobody else could be asked",
       {.boot = "boot-2",
        .boot_time = absl::Seconds(1),
        .time_of_day = kWritten + absl::Seconds(2)},
       AgeSource::kUnknown,
       none,
       none},
      {"all clocks show a time before the record",
       {.boot = "boot-2",
        .boot_time = absl::Seconds(1),
        .time_of_day = kWritten - absl::Seconds(2),
        .latest_time_of_day = kWritten - absl::Seconds(1)},
       AgeSource::kUnknown,
       none,
       none},
  };
  for (const auto& [name, start, source, least, most] : cases) {
    const RecordAge found = RecordAgeAtStart(Level(), start);
    EXPECT_EQ(found.source, source) << name;
    EXPECT_GE(found.age, least) << name;
    EXPECT_LE(found.age, most) << name;
  }
}

TEST(RecordAgeTest, RecordWithoutTimeOfDay_AgeIsUnknown) {
  fb::LevelRecordT level = Level();
  level.time_of_day_us = 0;
  const RecordAge found = RecordAgeAtStart(
      level, {.boot = "boot-2", .latest_time_of_day = kWritten});
  EXPECT_EQ(found.age, absl::InfiniteDuration());
}

}  // namespace
}  // namespace hawthornhollow
