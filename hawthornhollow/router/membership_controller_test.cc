#include "hawthornhollow/router/membership_controller.h"

#include "gtest/gtest.h"
#include "hawthornhollow/base/base.h"

namespace hawthornhollow {
namespace {

class SuspicionThresholdTest : public ::testing::Test {
 protected:
  absl::Duration UpdateAfter(absl::Duration passed, size_t open_routers) {
    clock_.Advance(passed);
    return threshold_.Update(open_routers, clock_.Now());
  }

  MembershipOptions options_;
  ManualClock clock_;
  SuspicionThreshold threshold_{options_};
};

TEST_F(SuspicionThresholdTest,
       HeartbeatInterval_WithManyRouters_BoundsTotalRate) {
  for (size_t routers : {1, 3, 20, 100, 340}) {
    absl::Duration interval = HeartbeatInterval(options_, routers);
    EXPECT_GE(interval, options_.heartbeat_interval);
    EXPECT_GE(interval, static_cast<int>(routers) *
                            options_.heartbeat_interval_per_router);
  }
  EXPECT_EQ(HeartbeatInterval(options_, 3), options_.heartbeat_interval);
}

TEST_F(SuspicionThresholdTest, Threshold_WithFewRouters_IsMinimum) {
  EXPECT_EQ(UpdateAfter(absl::ZeroDuration(), 3), options_.suspect_after);
}

TEST_F(SuspicionThresholdTest, Threshold_WithMoreRouters_RisesAtOnce) {
  UpdateAfter(absl::ZeroDuration(), 3);
  EXPECT_EQ(UpdateAfter(absl::Seconds(1), 340), absl::Seconds(136));
}

TEST_F(SuspicionThresholdTest, Threshold_WithFewerRouters_FallsWithTime) {
  UpdateAfter(absl::ZeroDuration(), 340);
  EXPECT_EQ(UpdateAfter(absl::Seconds(1), 3), absl::Seconds(135));
  EXPECT_EQ(UpdateAfter(absl::Seconds(200), 3), options_.suspect_after);
}

}  // namespace
}  // namespace hawthornhollow
