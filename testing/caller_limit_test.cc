// A caller's voted limits hold across the routers, and are not divided where
// the caller stays on one.

#include "gtest/gtest.h"
#include "testing/fleet.h"

namespace hawthornhollow {
namespace {

constexpr int kLimitPerSecond = 20;
constexpr absl::Duration kPace = absl::Milliseconds(70);

class CallerLimitTest : public ::testing::Test {
 protected:
  void SetUp() override {
    FleetOptions options;
    options.engines = 1;
    options.services = 0;
    options.files["70-limited.json"] =
        R"({"kind":"caller","name":"ward-1","requests_per_second":20})";
    auto fleet = Fleet::Start(options);
    ASSERT_TRUE(fleet.ok()) << fleet.status();
    fleet_ = std::move(*fleet);
  }

  // Whether the request was admitted.
  bool Ask(size_t router) {
    auto response = fleet_->Chat(router, {.max_tokens = 1});
    EXPECT_TRUE(response.ok()) << response.status();
    return response.ok() && response->status == 200;
  }

  std::unique_ptr<Fleet> fleet_;
};

TEST_F(CallerLimitTest, CallerWithinItsLimitOnOneRouter_IsNeverRefused) {
  for (int i = 0; i < 60; ++i) {
    EXPECT_TRUE(Ask(0)) << i;
    absl::SleepFor(kPace);
  }
}

TEST_F(CallerLimitTest, CallerFarAboveItsLimitOnAllRouters_IsHeldToIt) {
  absl::Time start = absl::Now();
  // The routers learn of one another's demand within a report or two.
  while (absl::Now() - start < absl::Seconds(3)) {
    for (size_t router = 0; router < 3; ++router)
      Ask(router);
  }
  int admitted = 0;
  start = absl::Now();
  while (absl::Now() - start < absl::Seconds(5)) {
    for (size_t router = 0; router < 3; ++router)
      admitted += Ask(router) ? 1 : 0;
  }
  double seconds = absl::ToDoubleSeconds(absl::Now() - start);
  EXPECT_LE(admitted, 1.25 * kLimitPerSecond * seconds);
  EXPECT_GE(admitted, 0.75 * kLimitPerSecond * seconds);
}

}  // namespace
}  // namespace hawthornhollow
