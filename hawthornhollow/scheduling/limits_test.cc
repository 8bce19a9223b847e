// Tests of RetryBudget, CallerLimiter and the jitter of Retry-After values.

#include <random>

#include "gtest/gtest.h"
#include "hawthornhollow/scheduling/scheduling.h"

namespace hawthornhollow {
namespace {

const absl::Time kStart = absl::UnixEpoch();

TEST(RetryBudgetTest, EveryAttemptFails_RetriesLimitedByRatioAndBurst) {
  RetryBudget budget(0.1, 5);
  int retries = 0;
  for (int attempt = 0; attempt < 1000; ++attempt) {
    budget.OnAttempt();
    while (budget.TryRetry()) {
      ++retries;
    }
  }
  EXPECT_LE(retries, 105);
  EXPECT_GE(retries, 99);
}

TEST(RetryBudgetTest,
     ManyAttemptsWithoutRetries_AvailableRetriesLimitedByBurst) {
  RetryBudget budget(0.1, 5);
  for (int attempt = 0; attempt < 1000; ++attempt) {
    budget.OnAttempt();
  }
  EXPECT_EQ(budget.available_retries(), 5);
}

TEST(RetryBudgetTest, BurstLowered_AvailableRetriesReduced) {
  RetryBudget budget(0.1, 6);
  budget.SetBurst(2);
  EXPECT_TRUE(budget.TryRetry());
  EXPECT_TRUE(budget.TryRetry());
  EXPECT_FALSE(budget.TryRetry());
  budget.SetBurst(6);
  EXPECT_FALSE(budget.TryRetry());
}

TEST(JitteredRetryAfterTest, ManyValues_CoverWholeInterval) {
  std::mt19937_64 random(1);
  absl::Duration least = absl::InfiniteDuration();
  absl::Duration most = absl::ZeroDuration();
  for (int i = 0; i < 1000; ++i) {
    const absl::Duration after = JitteredRetryAfter(absl::Seconds(2), random);
    least = std::min(least, after);
    most = std::max(most, after);
  }
  EXPECT_GE(least, absl::Seconds(2));
  EXPECT_LT(least, absl::Seconds(2.1));
  EXPECT_LT(most, absl::Seconds(4));
  EXPECT_GT(most, absl::Seconds(3.9));
}

class CallerLimiterTest : public testing::Test {
 protected:
  // Returns how many requests are admitted if `per_second` requests per second
  // are sent for `seconds`.
  static int Admitted(CallerLimiter& limiter,
                      int64_t tokens,
                      int per_second,
                      int seconds) {
    int admitted = 0;
    for (int i = 0; i < per_second * seconds; ++i) {
      const absl::Time now = kStart + absl::Seconds(1) * i / per_second;
      if (!limiter.Admit(tokens, now).has_value()) {
        ++admitted;
        limiter.OnFinished();
      }
    }
    return admitted;
  }
};

struct RateCase {
  CallerLimit limit;
  double share;
  int64_t tokens;
  int expected;  // requests admitted in ten seconds, without the initial burst
  int burst;     // requests admitted from the initially full bucket
};

class CallerRateTest : public CallerLimiterTest,
                       public testing::WithParamInterface<RateCase> {};

TEST_P(CallerRateTest, DemandAboveLimit_AdmitsLimitPlusOneBurst) {
  const RateCase& param = GetParam();
  CallerLimiter limiter(param.limit);
  limiter.SetLimit(param.limit, param.share);
  const int admitted = Admitted(limiter, param.tokens, 200, 10);
  EXPECT_GE(admitted, param.expected - 1);
  EXPECT_LE(admitted, param.expected + param.burst);
}

INSTANTIATE_TEST_SUITE_P(
    Limits,
    CallerRateTest,
    testing::Values(RateCase{{0, 20, 0}, 1, 100, 200, 20},
                    RateCase{{0, 20, 0}, 0.5, 100, 100, 10},
                    RateCase{{0, 0.5, 0}, 1, 100, 5, 1},
                    RateCase{{0, 0, 60'000}, 1, 100, 100, 10},
                    // Each request costs more than the bucket holds.
                    RateCase{{0, 0, 60'000}, 1, 2500, 4, 1},
                    RateCase{{0, 20, 60'000}, 1, 100, 100, 10},
                    RateCase{{0, 0, 0}, 1, 100, 2000, 0}));

TEST_F(CallerLimiterTest, TooManyConcurrent_RefusedUntilOneFinishes) {
  CallerLimiter limiter({.max_concurrent = 2});
  EXPECT_FALSE(limiter.Admit(10, kStart).has_value());
  EXPECT_FALSE(limiter.Admit(10, kStart).has_value());
  EXPECT_TRUE(limiter.Admit(10, kStart).has_value());
  EXPECT_EQ(limiter.concurrent(), 2);
  limiter.OnFinished();
  EXPECT_FALSE(limiter.Admit(10, kStart).has_value());
}

TEST_F(CallerLimiterTest, Refused_AdmittedAfterReturnedRetryTime) {
  CallerLimiter limiter({.requests_per_second = 0.5});
  EXPECT_FALSE(limiter.Admit(10, kStart).has_value());
  const auto after = limiter.Admit(10, kStart);
  ASSERT_TRUE(after.has_value());
  EXPECT_EQ(*after, absl::Seconds(2));
  EXPECT_FALSE(limiter.Admit(10, kStart + *after).has_value());
}

TEST_F(CallerLimiterTest, LimitSetAfterUnlimitedUse_EarlierUseNotCharged) {
  CallerLimiter limiter(CallerLimit{});
  Admitted(limiter, 1000, 200, 10);
  limiter.SetLimit({.requests_per_second = 10, .tokens_per_minute = 6000}, 1);
  EXPECT_FALSE(limiter.Admit(10, kStart + absl::Seconds(11)).has_value());
}

}  // namespace
}  // namespace hawthornhollow
