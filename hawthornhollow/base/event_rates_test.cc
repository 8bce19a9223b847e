#include "hawthornhollow/base/event_rates_internal.h"

#include "gtest/gtest.h"

namespace hawthornhollow {
namespace {

class EventRatesTest : public testing::Test {
 protected:
  int64_t Offer(std::string_view event, int lines) {
    int64_t allowed = 0;
    for (int i = 0; i < lines; ++i)
      allowed += rates_.Allow(event, now_).allowed ? 1 : 0;
    return allowed;
  }

  EventRates rates_{{.lines_per_second = 10, .burst = 20}};
  absl::Time now_ = absl::UnixEpoch();
};

TEST_F(EventRatesTest, EventAtItsRate_IsNeverLeftOut) {
  for (int i = 0; i < 1000; ++i) {
    now_ += absl::Milliseconds(100);
    EXPECT_EQ(rates_.Allow("a", now_),
              (EventRates::Verdict{.allowed = true, .suppressed = 0}));
  }
}

TEST_F(EventRatesTest, FloodOfOneEvent_IsBoundedAndTakesNothingFromOthers) {
  int64_t allowed = 0;
  for (int second = 0; second < 10; ++second) {
    allowed += Offer("flood", 1000);
    now_ += absl::Seconds(1);
  }
  EXPECT_LE(allowed, 20 + 10 * 10);
  EXPECT_GE(allowed, 20 + 9 * 10);
  EXPECT_EQ(Offer("other", 20), 20);
}

TEST_F(EventRatesTest, FirstLineAfterAFlood_TellsWhatWasLeftOut) {
  EXPECT_EQ(Offer("flood", 50), 20);
  now_ += absl::Seconds(1);
  EXPECT_EQ(rates_.Allow("flood", now_),
            (EventRates::Verdict{.allowed = true, .suppressed = 30}));
  EXPECT_EQ(rates_.Allow("flood", now_),
            (EventRates::Verdict{.allowed = true, .suppressed = 0}));
}

}  // namespace
}  // namespace hawthornhollow
