#include <array>
#include <string>

#include "gtest/gtest.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/scheduling/scheduling.h"

namespace hawthornhollow {
namespace {

constexpr char kCaller[] = "ward-1";
constexpr absl::Duration kReportInterval = absl::Seconds(1);

// Three routers that send one another their demands.
class CallerSharesTest : public ::testing::Test {
 protected:
  static constexpr int kRouters = 3;

  // Simulates `seconds` in which the caller sends `rates[i]` requests per
  // second to router i.
  void Run(int seconds, const std::array<int, kRouters>& rates) {
    for (int second = 0; second < seconds; ++second) {
      for (int part = 0; part < 10; ++part) {
        for (int router = 0; router < kRouters; ++router) {
          for (int i = 0; i < rates[router] / 10; ++i)
            shares_[router].OnRequest(kCaller, clock_.Now());
        }
        clock_.Advance(kReportInterval / 10);
      }
      ExchangeReports();
    }
  }

  void ExchangeReports() {
    for (int from = 0; from < kRouters; ++from) {
      auto report = shares_[from].Report(clock_.Now());
      for (int to = 0; to < kRouters; ++to) {
        if (to != from)
          shares_[to].OnReport(std::to_string(from), report, clock_.Now());
      }
    }
  }

  double Share(int router) {
    return shares_[router].Share(kCaller, clock_.Now());
  }

  ManualClock clock_;
  std::array<CallerShares, kRouters> shares_;
};

TEST_F(CallerSharesTest, DemandOnOneRouter_ShareIsOne) {
  Run(10, {20, 0, 0});
  EXPECT_EQ(Share(0), 1);
}

TEST_F(CallerSharesTest, EqualDemandOnAllRouters_SharesAreEqual) {
  Run(10, {20, 20, 20});
  for (int router = 0; router < kRouters; ++router)
    EXPECT_NEAR(Share(router), 1.0 / 3, 0.02);
}

TEST_F(CallerSharesTest, UnequalDemand_SharesAreProportional) {
  Run(10, {30, 10, 0});
  EXPECT_NEAR(Share(0), 0.75, 0.05);
  EXPECT_NEAR(Share(1), 0.25, 0.05);
}

TEST_F(CallerSharesTest, CallerMovesToAnotherRouter_ShareMovesToo) {
  Run(10, {20, 0, 0});
  Run(10, {0, 20, 0});
  EXPECT_GT(Share(1), 0.9);
}

TEST_F(CallerSharesTest, ReportTooOld_IsIgnored) {
  Run(10, {20, 20, 20});
  clock_.Advance(CallerShares::kMaxReportAge + absl::Seconds(1));
  EXPECT_EQ(Share(0), 1);
}

TEST_F(CallerSharesTest, IdleCaller_IsLeftOutOfReport) {
  Run(1, {20, 0, 0});
  clock_.Advance(absl::Minutes(1));
  EXPECT_TRUE(shares_[0].Report(clock_.Now()).empty());
}

}  // namespace
}  // namespace hawthornhollow
