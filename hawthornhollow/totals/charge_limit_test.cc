// What a level record allows before and after it is late.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {
namespace {

constexpr char kWorkspace[] = "ward-7";
constexpr int64_t kTotal = 1'000'000;
constexpr int64_t kRequestTokens = 2'000;

class ChargeLimitTest : public testing::TestWithParam<int> {
 protected:
  // The share of a holder whose requests come at GetParam() a second, if all
  // holders may be charged `charge_share` of the total.
  static fb::LevelShareT ShareAt(double charge_share) {
    TotalsBook book({.router = "router-1",
                     .boot = "boot-1",
                     .address = "router-1",
                     .charge_share = charge_share});
    book.SetTotal(kWorkspace, kTotal, absl::ZeroDuration());
    book.Start({}, {});
    for (int i = 0; i < 5 * GetParam(); ++i)
      book.ObserveDemand(kWorkspace, kRequestTokens, absl::Seconds(1));
    book.MakeAuthority(absl::Seconds(1));
    book.OnAuthorityDurable();
    return *book.MakeLevel(absl::Seconds(1)).shares[0];
  }
};

// Guards against charges for commitments that nobody made, 8% of a total after
// one power loss, and against an outage that is served worse for it later.
TEST_P(ChargeLimitTest, LimitedSchedule_CatchesUpAfterTheRecordIsLate) {
  const TotalsOptions options;
  const fb::LevelShareT limited = ShareAt(options.charge_share);
  const fb::LevelShareT unlimited = ShareAt(1);
  const double limit = kTotal * options.charge_share;
  for (absl::Duration age; age < absl::Seconds(10);
       age += absl::Milliseconds(50)) {
    EXPECT_LE(ScheduleLimit(limited, age), ScheduleLimit(unlimited, age));
    if (age <= options.late_after) {
      EXPECT_LE(ScheduleLimit(limited, age), limit);
    }
    if (age >= options.late_after + absl::Seconds(1)) {
      // Rates are whole tokens per second.
      EXPECT_GE(ScheduleLimit(limited, age),
                ScheduleLimit(unlimited, age) - 10);
    }
  }
  // No more is withheld than the limit demands.
  EXPECT_GE(
      ScheduleLimit(limited, options.late_after),
      std::min<double>(ScheduleLimit(unlimited, options.late_after), limit) -
          10);
}

INSTANTIATE_TEST_SUITE_P(RequestsPerSecond,
                         ChargeLimitTest,
                         testing::Values(1, 3, 10, 40));

}  // namespace
}  // namespace hawthornhollow
