#include "hawthornhollow/relay/server_limits.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

namespace hawthornhollow {
namespace {

constexpr int64_t kUrgent = 0;
constexpr int64_t kCanWait = 5;
constexpr double kAll = 1;

absl::Time At(double seconds) {
  return absl::UnixEpoch() + absl::Seconds(seconds);
}

class ServerLimitsTest : public testing::Test {
 protected:
  bool Hear(double at, double per_second) {
    return limits_.Learn(
        {.server = "s", .requests_per_second = per_second, .as_of = At(at)});
  }
  bool HearNone(double sent_at) {
    return limits_.Learn({.server = "s", .as_of = At(sent_at)});
  }
  int GrantsIn(double begin, double end, double step) {
    int granted = 0;
    for (double at = begin; at < end; at += step)
      granted += limits_.Grant("s", kUrgent, kAll, At(at)).granted ? 1 : 0;
    return granted;
  }

  ServerLimits limits_{ServerLimitOptions()};
};

TEST_F(ServerLimitsTest, ServerWithoutALimit_NeedsNoPermit) {
  EXPECT_FALSE(limits_.Find("s").has_value());
  EXPECT_TRUE(limits_.Grant("s", kUrgent, kAll, At(0)).granted);
}

TEST_F(ServerLimitsTest, Permits_KeepToTheLimit) {
  for (const double limit : {0.25, 1.0, 2.5, 5.0, 40.0}) {
    ServerLimits limits{ServerLimitOptions()};
    limits.Learn({.server = "s", .requests_per_second = limit, .as_of = At(0)});
    constexpr double kSpan = 40;
    int granted = 0;
    for (double at = 0; at < kSpan; at += 0.01)
      granted += limits.Grant("s", kUrgent, kAll, At(at)).granted ? 1 : 0;
    EXPECT_LE(granted, limit * kSpan + 2) << limit;
    EXPECT_GE(granted, limit * kSpan - 2) << limit;
  }
}

TEST_F(ServerLimitsTest, LimitThatFalls_HoldsAtOnce) {
  Hear(0, 100);
  GrantsIn(0, 2, 0.01);
  Hear(2, 1);
  EXPECT_LE(GrantsIn(2, 6, 0.01), 6);
}

TEST_F(ServerLimitsTest, AnswerWithoutALimit_EndsIt) {
  EXPECT_TRUE(Hear(1, 5));
  EXPECT_FALSE(Hear(2, 5));
  EXPECT_TRUE(HearNone(2.5));
  EXPECT_FALSE(limits_.Find("s").has_value());
  EXPECT_TRUE(Hear(3, 5));
}

// Its request was sent before the limit was heard.
TEST_F(ServerLimitsTest, AnswerFromBeforeTheLimit_DoesNotEndIt) {
  Hear(1, 5);
  EXPECT_FALSE(HearNone(0.9));
  EXPECT_FALSE(HearNone(1));
  EXPECT_TRUE(limits_.Find("s").has_value());
}

TEST_F(ServerLimitsTest, OldNewsOfAnotherRouter_ChangesNothing) {
  Hear(1, 5);
  HearNone(2);
  EXPECT_FALSE(Hear(1.5, 5));
  EXPECT_FALSE(limits_.Find("s").has_value());
}

TEST_F(ServerLimitsTest, WhileAnUrgentRequestIsDenied_OthersAre) {
  Hear(0, 1);
  EXPECT_TRUE(limits_.Grant("s", kUrgent, kAll, At(0)).granted);
  EXPECT_FALSE(limits_.Grant("s", kUrgent, kAll, At(0.9)).granted);
  EXPECT_FALSE(limits_.Grant("s", kCanWait, kAll, At(1.1)).granted);
  EXPECT_TRUE(limits_.Grant("s", kUrgent, kAll, At(1.2)).granted);
  EXPECT_TRUE(limits_.Grant("s", kCanWait, kAll, At(4)).granted);
}

TEST_F(ServerLimitsTest, DeniedRequests_ComeBackOneAfterAnother) {
  Hear(0, 2);
  EXPECT_TRUE(limits_.Grant("s", kUrgent, kAll, At(0)).granted);
  EXPECT_EQ(limits_.Grant("s", kUrgent, kAll, At(0)).retry_after,
            absl::Milliseconds(500));
  EXPECT_EQ(limits_.Grant("s", kUrgent, kAll, At(0)).retry_after,
            absl::Milliseconds(1000));
}

TEST_F(ServerLimitsTest, DenialOfALessUrgentRequest_BlocksNoUrgentOne) {
  Hear(0, 1);
  limits_.OnDenied("s", kCanWait, At(2));
  EXPECT_EQ(limits_.BlockedUntil("s", kCanWait, At(1)), At(2));
  EXPECT_EQ(limits_.BlockedUntil("s", kUrgent, At(1)), At(1));
}

TEST_F(ServerLimitsTest, ServerThatIsMissingForAWhile_KeepsItsLimit) {
  Hear(0, 1);
  limits_.KeepServers({}, At(30));
  EXPECT_TRUE(limits_.Find("s").has_value());
  limits_.KeepServers({"s"}, At(50));
  limits_.KeepServers({}, At(100));
  EXPECT_TRUE(limits_.Find("s").has_value());
  limits_.KeepServers({}, At(200));
  EXPECT_FALSE(limits_.Find("s").has_value());
}

TEST(GrantersTest, AllRouters_ChooseTheSameTwo) {
  std::vector<RouterAddress> routers;
  for (int i = 0; i < 103; ++i)
    routers.push_back({absl::StrCat("r-", i), absl::StrCat("a-", i)});
  const auto chosen = ChooseGranters("s", routers);
  ASSERT_EQ(chosen.size(), 2);
  std::mt19937 random(1);
  std::shuffle(routers.begin(), routers.end(), random);
  EXPECT_EQ(ChooseGranters("s", routers), chosen);
  // Without the first one the second one takes its place.
  std::erase(routers, chosen[0]);
  EXPECT_EQ(ChooseGranters("s", routers)[0], chosen[1]);
  EXPECT_EQ(ChooseGranters("s", {{"only", "a"}}).size(), 1);
}

// A fleet whose routers all want one limited server far more often than it may
// be used, with faults from a seed. Time goes in steps of 5 ms.
struct FleetCase {
  int routers;
  double limit;
  // One fault at a time, for three seconds each: the granter does not answer
  // some routers, or stops; or a router comes or goes, and some know it later.
  bool faults;
};

class LimitedFleetTest : public testing::TestWithParam<FleetCase> {
 protected:
  struct Router {
    ServerLimits limits{ServerLimitOptions()};
    std::vector<RouterAddress> known;
    absl::Time changed = absl::InfinitePast();
    bool reaches_first = true;
  };

  void SetUp() override {
    for (int i = 0; i < GetParam().routers; ++i)
      names_.push_back({absl::StrCat("r-", i), absl::StrCat(i)});
    routers_.resize(names_.size());
    for (Router& router : routers_) {
      router.known = names_;
      router.limits.Learn({.server = "s",
                           .requests_per_second = GetParam().limit,
                           .as_of = At(0)});
    }
  }

  // Whether the router `index` gets a permit.
  bool Wants(size_t index, absl::Time now) {
    Router& router = routers_[index];
    if (router.limits.BlockedUntil("s", kUrgent, now) > now)
      return false;
    const auto granters = ChooseGranters("s", router.known);
    for (size_t place = 0; place < granters.size(); ++place) {
      if (place == 0 && !router.reaches_first)
        continue;
      Router& granter = routers_[std::stoul(granters[place].address)];
      const bool is_first =
          ChooseGranters("s", granter.known)[0] == granters[place];
      const Permit permit = granter.limits.Grant(
          "s", kUrgent, GrantedShare(is_first, now - granter.changed), now);
      if (!permit.granted)
        router.limits.OnDenied("s", kUrgent, now + permit.retry_after);
      return permit.granted;
    }
    return false;
  }

  void BeginFault(absl::Time now) {
    const bool is_cut = random_() % 2 == 0;
    // A router that all but one of two do not know yet, or not any more.
    const size_t other = random_() % names_.size();
    for (Router& router : routers_) {
      if (random_() % 2 == 0)
        continue;
      if (is_cut) {
        router.reaches_first = false;
      } else {
        std::erase(router.known, names_[other]);
        router.changed = now;
      }
    }
  }
  void EndFault(absl::Time now) {
    for (Router& router : routers_) {
      router.reaches_first = true;
      if (router.known != names_)
        router.changed = now;
      router.known = names_;
    }
  }

  std::vector<RouterAddress> names_;
  std::vector<Router> routers_;
  std::mt19937 random_{28};
};

TEST_P(LimitedFleetTest, AllRoutersTogether_KeepToTheLimit) {
  constexpr double kSeconds = 60;
  constexpr double kStep = 0.005;
  constexpr double kWindow = 4;
  constexpr double kFaultEvery = 10;
  constexpr double kFaultTime = 3;
  const double limit = GetParam().limit;
  std::deque<double> window;
  double most = 0;
  int all = 0;
  double next_fault = kFaultEvery;
  double fault_end = kSeconds * 2;
  for (double at = 0; at < kSeconds; at += kStep) {
    if (GetParam().faults && at >= next_fault) {
      BeginFault(At(at));
      fault_end = at + kFaultTime;
      next_fault += kFaultEvery;
    }
    if (at >= fault_end) {
      EndFault(At(at));
      fault_end = kSeconds * 2;
    }
    if (Wants(random_() % routers_.size(), At(at))) {
      window.push_back(at);
      ++all;
    }
    while (!window.empty() && window.front() < at - kWindow)
      window.pop_front();
    most = std::max(most, static_cast<double>(window.size()));
  }
  EXPECT_LE(most, 1.5 * kWindow * limit + 5);
  // What the server takes is used, if perhaps by few routers.
  EXPECT_GE(all, limit * kSeconds * (GetParam().faults ? 0.5 : 0.8));
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         LimitedFleetTest,
                         testing::Values(FleetCase{4, 1, false},
                                         FleetCase{4, 5, true},
                                         FleetCase{28, 1, true},
                                         FleetCase{28, 5, false},
                                         FleetCase{103, 1, true},
                                         FleetCase{103, 5, true},
                                         FleetCase{340, 1, true},
                                         FleetCase{340, 5, true}),
                         [](const auto& info) {
                           return absl::StrCat(
                               info.param.routers, "RoutersLimit",
                               info.param.limit,
                               info.param.faults ? "Faults" : "Calm");
                         });

}  // namespace
}  // namespace hawthornhollow
