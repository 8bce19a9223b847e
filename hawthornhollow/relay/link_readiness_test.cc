#include "hawthornhollow/relay/link_readiness.h"

#include <gtest/gtest.h>

namespace hawthornhollow {
namespace {

class LinkReadinessTest : public testing::Test {
 protected:
  // Lets the link be busy, and then free, for these times.
  void BusyThenFree(absl::Duration busy, absl::Duration free) {
    readiness_.Update(/*is_busy=*/true, now_);
    now_ += busy;
    readiness_.Update(/*is_busy=*/false, now_);
    now_ += free;
  }

  const LinkReadinessOptions options_ = LinkReadinessOptions();
  LinkReadiness readiness_{options_};
  absl::Time now_ = absl::UnixEpoch();
};

TEST_F(LinkReadinessTest, Link_NeverBusy_IsReady) {
  EXPECT_TRUE(readiness_.IsReady(now_));
}

TEST_F(LinkReadinessTest, Link_BusyOnce_IsReadyAsSoonAsItIsFree) {
  readiness_.Update(/*is_busy=*/true, now_);
  EXPECT_FALSE(readiness_.IsReady(now_));
  BusyThenFree(absl::Seconds(3), absl::ZeroDuration());
  EXPECT_TRUE(readiness_.IsReady(now_));
}

// Guards against a router that is flooded again and again by the callers that
// are assigned to it.
TEST_F(LinkReadinessTest, Link_BusySoonAfterReady_WaitsTwiceAsLongEachTime) {
  BusyThenFree(absl::Seconds(3), absl::Seconds(1));
  for (absl::Duration wait = options_.min_wait; wait < options_.max_wait;
       wait *= 2) {
    BusyThenFree(absl::Seconds(3), absl::ZeroDuration());
    EXPECT_EQ(readiness_.wait(), wait);
    EXPECT_FALSE(readiness_.IsReady(now_ + wait - absl::Milliseconds(1)));
    now_ += wait;
    EXPECT_TRUE(readiness_.IsReady(now_));
  }
}

TEST_F(LinkReadinessTest, Link_BusyWhileTheRouterWaits_WaitsNoLongerThanMax) {
  for (int i = 0; i < 20; ++i)
    BusyThenFree(absl::Seconds(1), absl::Seconds(1));
  EXPECT_EQ(readiness_.wait(), options_.max_wait);
  EXPECT_TRUE(readiness_.IsReady(now_ + options_.max_wait));
}

TEST_F(LinkReadinessTest, Link_FreeForLong_IsTreatedAsBusyForTheFirstTime) {
  BusyThenFree(absl::Seconds(3), absl::Seconds(1));
  BusyThenFree(absl::Seconds(3), options_.min_wait + options_.relapse_time +
                                     absl::Milliseconds(1));
  BusyThenFree(absl::Seconds(3), absl::ZeroDuration());
  EXPECT_TRUE(readiness_.IsReady(now_));
}

// Replays callers that need 1.4 times what the link carries, and return within
// a second of readiness: the share of time in which the link is flooded.
TEST_F(LinkReadinessTest, CallersBeyondTheLink_FloodItForAFifthOfTheTime) {
  constexpr absl::Duration kProbe = absl::Seconds(1);
  constexpr absl::Duration kLeave = absl::Seconds(2);
  int flooded = 0;
  int flooded_today = 0;
  constexpr int kSeconds = 60;
  for (const bool waits : {true, false}) {
    LinkReadiness readiness{options_};
    bool busy = false;
    absl::Time came = now_;
    absl::Time left = now_ - kLeave;
    for (int second = 0; second < kSeconds; ++second, now_ += kProbe) {
      readiness.Update(busy, now_);
      const bool ready = waits ? readiness.IsReady(now_) : !busy;
      if (ready)
        left = now_;
      else
        came = now_ + kProbe;
      const bool callers_here = now_ - left < kLeave;
      busy = callers_here && (ready ? now_ >= came : true);
      (waits ? flooded : flooded_today) += busy ? 1 : 0;
    }
  }
  EXPECT_LE(flooded, kSeconds / 5);
  EXPECT_GE(flooded_today, kSeconds / 3);
}

}  // namespace
}  // namespace hawthornhollow
