#include <map>

#include "gtest/gtest.h"
#include "hawthornhollow/scheduling/scheduling.h"

namespace hawthornhollow {
namespace {

const absl::Time kStart = absl::UnixEpoch();
constexpr int64_t kSlots = 10;

class ServerChooserTest : public testing::Test {
 protected:
  ServerChooserTest() {
    SetServers(10);
    now_ += absl::Minutes(1);
  }
  static std::string Name(int i) { return "engine-" + std::to_string(i); }
  void SetServers(int count) {
    std::vector<ServerView> servers;
    for (int i = 0; i < count; ++i) {
      servers.push_back({Name(i), kSlots, 0, true, false});
    }
    chooser_.SetServers(servers, now_);
  }
  std::optional<std::string> Choose(const std::string& affinity = "") {
    return chooser_.Choose(affinity, {}, now_);
  }
  // Fills every free slot and returns the number of requests per server.
  std::map<std::string, int> Fill() {
    std::map<std::string, int> chosen;
    while (auto server = Choose()) {
      ++chosen[*server];
    }
    return chosen;
  }
  // Reports `rounds` finished requests of every server, one second apart. The
  // server with the index `slow` answers after `slow_seconds`, the others after
  // 0.1 s.
  void ReportAnswers(int slow,
                     double slow_seconds,
                     int rounds,
                     bool slow_fails = false) {
    for (int round = 0; round < rounds; ++round) {
      now_ += absl::Seconds(1);
      for (int i = 0; i < 10; ++i) {
        const double time_to_first_token = i == slow ? slow_seconds : 0.1;
        chooser_.OnFirstToken(Name(i), absl::Seconds(time_to_first_token),
                              now_);
        chooser_.OnFinished(Name(i), slow_fails && i == slow, now_);
      }
    }
  }

  absl::Time now_ = kStart;
  ServerChooser chooser_{ServerChooserOptions{}};
};

TEST_F(ServerChooserTest, AllSlotsFree_EverySlotUsedOnce) {
  EXPECT_EQ(chooser_.ClaimableSlots(now_), 100);
  for (const auto& [server, count] : Fill()) {
    EXPECT_EQ(count, kSlots);
    EXPECT_EQ(chooser_.InFlight(server), kSlots);
  }
  EXPECT_FALSE(chooser_.HasFreeSlot(now_));
  chooser_.OnFinished(Name(4), false, now_);
  EXPECT_EQ(Choose(), Name(4));
}

TEST_F(ServerChooserTest, HalfLoad_SpreadOverAllServers) {
  for (int i = 0; i < 50; ++i) {
    Choose();
  }
  for (int i = 0; i < 10; ++i) {
    EXPECT_GE(chooser_.InFlight(Name(i)), 3);
    EXPECT_LE(chooser_.InFlight(Name(i)), 7);
  }
}

TEST_F(ServerChooserTest, ServerLeavingOrDisconnected_GetsNoRequests) {
  chooser_.SetLeaving(Name(1), true);
  chooser_.SetConnected(Name(2), false, now_);
  const auto chosen = Fill();
  EXPECT_EQ(chosen.size(), 8);
  EXPECT_FALSE(chosen.contains(Name(1)));
  EXPECT_FALSE(chosen.contains(Name(2)));
}

TEST_F(ServerChooserTest, ServerToAvoid_NotChosen) {
  std::set<std::string> avoid;
  for (int i = 1; i < 10; ++i) {
    avoid.insert(Name(i));
  }
  EXPECT_EQ(chooser_.Choose("", avoid, now_), Name(0));
  avoid.insert(Name(0));
  EXPECT_EQ(chooser_.Choose("", avoid, now_), std::nullopt);
}

TEST_F(ServerChooserTest, SameAffinityKey_SameServerUntilLoadBound) {
  const auto preferred = Choose("charter-7");
  EXPECT_EQ(Choose("charter-7"), preferred);
  while (chooser_.HasFreeSlot(now_)) {
    const auto server = Choose("charter-7");
    int64_t total = 0;
    for (int i = 0; i < 10; ++i) {
      total += chooser_.InFlight(Name(i));
    }
    const double mean = static_cast<double>(total) / 10;
    EXPECT_LE(chooser_.InFlight(*server), std::max(1.25 * mean + 1, 2.5));
  }
}

TEST_F(ServerChooserTest, ServerRemoved_OnlyItsAffinityKeysMove) {
  std::map<std::string, std::string> before;
  for (int i = 0; i < 200; ++i) {
    const std::string key = "prefix-" + std::to_string(i);
    before[key] = *Choose(key);
    chooser_.OnFinished(before[key], false, now_);
  }
  SetServers(9);
  for (const auto& [key, server] : before) {
    const auto after = *Choose(key);
    chooser_.OnFinished(after, false, now_);
    if (server != Name(9)) {
      EXPECT_EQ(after, server) << key;
    }
  }
}

TEST_F(ServerChooserTest, OtherRoutersLoadReported_GuaranteedSlotsStayFree) {
  for (int i = 0; i < 10; ++i) {
    chooser_.OnReport(Name(3), kSlots, now_);
  }
  EXPECT_EQ(chooser_.ClaimableSlots(now_), 90 + 2);
  EXPECT_EQ(Fill()[Name(3)], 2);
}

TEST_F(ServerChooserTest, ReportContainsOwnLoad_NotCountedTwice) {
  for (int i = 0; i < 50; ++i) {
    Choose();
  }
  for (int i = 0; i < 10; ++i) {
    chooser_.OnReport(Name(i), chooser_.InFlight(Name(i)), now_);
  }
  EXPECT_EQ(chooser_.ClaimableSlots(now_), 50);
}

TEST_F(ServerChooserTest, ReportWithOwnCount_IdleSlotsSubtractOtherLoad) {
  chooser_.OnReport(Name(3), kSlots, now_, /*from_this_router=*/2);
  EXPECT_EQ(chooser_.IdleSlots(now_), 100 - (kSlots - 2));
}

TEST_F(ServerChooserTest, ReportTooOld_HasNoEffect) {
  chooser_.OnReport(Name(3), kSlots, now_);
  EXPECT_LT(chooser_.ClaimableSlots(now_), 100);
  now_ += absl::Minutes(1);
  EXPECT_EQ(chooser_.ClaimableSlots(now_), 100);
}

TEST_F(ServerChooserTest, SeveralRouters_TotalClaimsAtMostFreeSlots) {
  std::vector<ServerChooser> routers;
  for (uint64_t i = 0; i < 3; ++i) {
    chooser_ = ServerChooser({.seed = i});
    SetServers(10);
    chooser_.SetRouters(3);
    for (int server = 0; server < 10; ++server) {
      chooser_.OnReport(Name(server), /*running=*/1, now_);
    }
    routers.push_back(std::move(chooser_));
  }
  int64_t claimed = 0;
  for (const ServerChooser& router : routers) {
    claimed += router.ClaimableSlots(now_);
  }
  EXPECT_GE(claimed, 60);
  EXPECT_LE(claimed, 10 * (kSlots - 1));
}

TEST_F(ServerChooserTest, SeveralRoutersAndServerOverloaded_LoadIsReduced) {
  chooser_.SetRouters(2);
  for (int i = 0; i < 60; ++i) {
    Choose("");
  }
  const int64_t before = chooser_.InFlight(Name(3));
  chooser_.OnReport(Name(3), kSlots + 4, now_);
  chooser_.OnFinished(Name(3), false, now_);
  chooser_.OnFinished(Name(3), false, now_);
  const auto chosen = Fill();
  EXPECT_LE(chooser_.InFlight(Name(3)), before - 2);
  EXPECT_FALSE(chosen.contains(Name(3)));
}

TEST_F(ServerChooserTest, SeveralRoutersAndOneHoldsAllSlots_ReleasesSome) {
  chooser_.SetRouters(2);
  now_ += absl::Minutes(1);
  Fill();
  int64_t released = 0;
  for (int round = 0; round < 20; ++round) {
    for (int i = 0; i < 10; ++i) {
      chooser_.OnReport(Name(i), kSlots, now_);
      chooser_.OnFinished(Name(i), false, now_);
    }
    Fill();
    for (int i = 0; i < 10; ++i) {
      released += kSlots - chooser_.InFlight(Name(i));
    }
  }
  EXPECT_GT(released, 0);
}

TEST_F(ServerChooserTest, SlowServer_EjectedUntilProbesAreFast) {
  ReportAnswers(/*slow=*/6, 1.0, 6);
  EXPECT_TRUE(chooser_.IsEjected(Name(6), now_));
  EXPECT_EQ(chooser_.ClaimableSlots(now_), 91);
  // After seven fast probes the smoothed latency is below the ejection
  // threshold. The remaining rounds cover the rest of the ejection and the
  // warm-up.
  ReportAnswers(/*slow=*/-1, 0, 18);
  EXPECT_FALSE(chooser_.IsEjected(Name(6), now_));
  EXPECT_EQ(chooser_.ClaimableSlots(now_), 100);
}

TEST_F(ServerChooserTest, EjectionEnds_SlotsIncreaseGradually) {
  ReportAnswers(/*slow=*/6, 1.0, 6);
  std::vector<int64_t> free;
  for (int i = 0; i <= 10; ++i) {
    free.push_back(chooser_.ClaimableSlots(now_ + absl::Seconds(i)));
  }
  EXPECT_TRUE(std::is_sorted(free.begin(), free.end()));
  EXPECT_EQ(free[4], 91);
  EXPECT_EQ(free[7], 94);
  EXPECT_EQ(free[10], 100);
}

TEST_F(ServerChooserTest, FailingServer_IsEjected) {
  ReportAnswers(/*slow=*/6, 0.1, 6, /*slow_fails=*/true);
  EXPECT_TRUE(chooser_.IsEjected(Name(6), now_));
}

TEST_F(ServerChooserTest, ManyServersFail_AtMostAThirdEjected) {
  for (int round = 0; round < 10; ++round) {
    now_ += absl::Seconds(1);
    for (int i = 0; i < 10; ++i) {
      chooser_.OnFinished(Name(i), /*failed=*/i < 6, now_);
    }
  }
  int ejected = 0;
  for (int i = 0; i < 10; ++i) {
    ejected += chooser_.IsEjected(Name(i), now_) ? 1 : 0;
  }
  EXPECT_EQ(ejected, 3);
}

TEST_F(ServerChooserTest, NewServer_GetsSlotsGradually) {
  SetServers(11);
  EXPECT_EQ(chooser_.ClaimableSlots(now_), 101);
  EXPECT_EQ(chooser_.ClaimableSlots(now_ + absl::Seconds(2.5)), 105);
  EXPECT_EQ(chooser_.ClaimableSlots(now_ + absl::Seconds(5)), 110);
}

TEST_F(ServerChooserTest, AllServersNew_AllSlotsUsable) {
  chooser_ = ServerChooser(ServerChooserOptions{});
  SetServers(10);
  EXPECT_EQ(chooser_.ClaimableSlots(now_), 100);
}

TEST_F(ServerChooserTest, OnlyWarmServerLeaves_NewServersGetAllSlots) {
  SetServers(1);
  SetServers(3);
  EXPECT_EQ(chooser_.ClaimableSlots(now_), 12);
  chooser_.SetLeaving(Name(0), true);
  EXPECT_EQ(chooser_.ClaimableSlots(now_), 20);
}

}  // namespace
}  // namespace hawthornhollow
