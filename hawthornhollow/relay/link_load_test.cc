#include "hawthornhollow/relay/link_load.h"

#include <gtest/gtest.h>

namespace hawthornhollow {
namespace {

constexpr double kMegabits = 10;
constexpr absl::Time kStart = absl::FromUnixSeconds(1'000);
constexpr size_t kRequestBytes = 10'000;

class LinkLoadTest : public testing::Test {
 protected:
  // Relays `per_second` requests a second for `duration`, and returns the time
  // at which the link became busy, or `kNever`.
  absl::Duration Relay(int per_second, absl::Duration duration) {
    absl::Duration busy_after = kNever;
    const absl::Duration gap = absl::Seconds(1) / per_second;
    for (absl::Duration passed; passed < duration; passed += gap) {
      now_ += gap;
      load_.OnRelayed(kRequestBytes, now_);
      if (busy_after == kNever && load_.IsBusy(now_))
        busy_after = passed;
    }
    return busy_after;
  }

  static constexpr absl::Duration kNever = absl::InfiniteDuration();
  absl::Time now_ = kStart;
  LinkLoad load_{{.megabits_per_second = kMegabits}};
};

// 10 Mbit/s carry 62 requests of 10 kB a second, in and out again.
TEST_F(LinkLoadTest, OrdinaryLoad_IsNotBusy) {
  EXPECT_EQ(Relay(/*per_second=*/30, absl::Seconds(10)), kNever);
  EXPECT_NEAR(load_.Share(now_), 0.48, 0.05);
}

TEST_F(LinkLoadTest, SeveralTimesTheLoad_IsBusyWithinASecond) {
  Relay(/*per_second=*/30, absl::Seconds(10));
  EXPECT_LT(Relay(/*per_second=*/150, absl::Seconds(3)), absl::Seconds(1));
}

TEST_F(LinkLoadTest, LoadThatGoesDownAgain_FreesTheLinkBelowItsLowerBound) {
  Relay(/*per_second=*/60, absl::Seconds(5));
  ASSERT_TRUE(load_.IsBusy(now_));
  Relay(/*per_second=*/35, absl::Seconds(5));
  EXPECT_TRUE(load_.IsBusy(now_));
  Relay(/*per_second=*/15, absl::Seconds(5));
  EXPECT_FALSE(load_.IsBusy(now_));
}

TEST_F(LinkLoadTest, UnknownCapacity_IsNeverBusy) {
  LinkLoad unknown{LinkLoadOptions()};
  unknown.OnRelayed(1'000'000'000, now_);
  EXPECT_FALSE(unknown.IsBusy(now_));
}

}  // namespace
}  // namespace hawthornhollow
