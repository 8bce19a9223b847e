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
  // Fills every free slot; how many went to each server.
  std::map<std::string, int> Fill() {
    std::map<std::string, int> chosen;
    while (auto server = Choose()) {
      ++chosen[*server];
    }
    return chosen;
  }
  // `rounds` answers of every server, one second apart.
  void Answer(int slow,
              double slow_seconds,
              int rounds,
              bool slow_fails = false) {
    for (int round = 0; round < rounds; ++round) {
      now_ += absl::Seconds(1);
      for (int i = 0; i < 10; ++i) {
        const double took = i == slow ? slow_seconds : 0.1;
        chooser_.OnFirstToken(Name(i), absl::Seconds(took), now_);
        chooser_.OnFinished(Name(i), slow_fails && i == slow, now_);
      }
    }
  }

  absl::Time now_ = kStart;
  ServerChooser chooser_{ServerChooserOptions{}};
};

TEST_F(ServerChooserTest, AllFree_EverySlotUsedOnce) {
  EXPECT_EQ(chooser_.FreeSlots(now_), 100);
  for (const auto& [server, count] : Fill()) {
    EXPECT_EQ(count, kSlots);
    EXPECT_EQ(chooser_.InFlight(server), kSlots);
  }
  EXPECT_FALSE(chooser_.HasRoom(now_));
  chooser_.OnFinished(Name(4), false, now_);
  EXPECT_EQ(Choose(), Name(4));
}

TEST_F(ServerChooserTest, HalfLoad_SpreadEvenly) {
  for (int i = 0; i < 50; ++i) {
    Choose();
  }
  for (int i = 0; i < 10; ++i) {
    EXPECT_GE(chooser_.InFlight(Name(i)), 3);
    EXPECT_LE(chooser_.InFlight(Name(i)), 7);
  }
}

TEST_F(ServerChooserTest, LeavingOrDisconnected_ReceivesNothing) {
  chooser_.SetLeaving(Name(1), true);
  chooser_.SetConnected(Name(2), false, now_);
  const auto chosen = Fill();
  EXPECT_EQ(chosen.size(), 8);
  EXPECT_FALSE(chosen.contains(Name(1)));
  EXPECT_FALSE(chosen.contains(Name(2)));
}

TEST_F(ServerChooserTest, Avoided_NotChosen) {
  std::set<std::string> avoid;
  for (int i = 1; i < 10; ++i) {
    avoid.insert(Name(i));
  }
  EXPECT_EQ(chooser_.Choose("", avoid, now_), Name(0));
  avoid.insert(Name(0));
  EXPECT_EQ(chooser_.Choose("", avoid, now_), std::nullopt);
}

TEST_F(ServerChooserTest, SameAffinity_SameServerUntilOverloaded) {
  const auto favoured = Choose("charter-7");
  EXPECT_EQ(Choose("charter-7"), favoured);
  while (chooser_.HasRoom(now_)) {
    const auto server = Choose("charter-7");
    int64_t total = 0;
    for (int i = 0; i < 10; ++i) {
      total += chooser_.InFlight(Name(i));
    }
    const double mean = static_cast<double>(total) / 10;
    EXPECT_LE(chooser_.InFlight(*server), std::max(1.25 * mean + 1, 2.5));
  }
}

TEST_F(ServerChooserTest, ServerRemoved_OnlyItsKeysMove) {
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

TEST_F(ServerChooserTest, OthersLoadReported_RoomShrinksButOwnShareStays) {
  for (int i = 0; i < 10; ++i) {
    chooser_.OnReport(Name(3), kSlots, now_);
  }
  EXPECT_EQ(chooser_.FreeSlots(now_), 90 + 2);
  EXPECT_EQ(Fill()[Name(3)], 2);
}

TEST_F(ServerChooserTest, ReportOfOwnLoad_NotCountedTwice) {
  for (int i = 0; i < 50; ++i) {
    Choose();
  }
  for (int i = 0; i < 10; ++i) {
    chooser_.OnReport(Name(i), chooser_.InFlight(Name(i)), now_);
  }
  EXPECT_EQ(chooser_.FreeSlots(now_), 50);
}

TEST_F(ServerChooserTest, ReportWithOwnPart_IdleCountsOnlyOthers) {
  chooser_.OnReport(Name(3), kSlots, now_, /*from_here=*/2);
  EXPECT_EQ(chooser_.IdleSlots(now_), 100 - (kSlots - 2));
}

TEST_F(ServerChooserTest, OldReport_LosesWeight) {
  chooser_.OnReport(Name(3), kSlots, now_);
  EXPECT_LT(chooser_.FreeSlots(now_), 100);
  now_ += absl::Minutes(1);
  EXPECT_EQ(chooser_.FreeSlots(now_), 100);
}

TEST_F(ServerChooserTest, SeveralRouters_TogetherClaimWhatIsFree) {
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
    claimed += router.FreeSlots(now_);
  }
  EXPECT_GE(claimed, 60);
  EXPECT_LE(claimed, 10 * (kSlots - 1));
}

TEST_F(ServerChooserTest, SeveralRoutersAndServerOverfull_DrawsBackInTurn) {
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

TEST_F(ServerChooserTest, SeveralRoutersAndOneHoldsAll_GivesBackSome) {
  chooser_.SetRouters(2);
  now_ += absl::Minutes(1);
  Fill();
  int64_t given_back = 0;
  for (int round = 0; round < 20; ++round) {
    for (int i = 0; i < 10; ++i) {
      chooser_.OnReport(Name(i), kSlots, now_);
      chooser_.OnFinished(Name(i), false, now_);
    }
    Fill();
    for (int i = 0; i < 10; ++i) {
      given_back += kSlots - chooser_.InFlight(Name(i));
    }
  }
  EXPECT_GT(given_back, 0);
}

TEST_F(ServerChooserTest, SlowServer_EjectedToProbesThenReturnsGradually) {
  Answer(/*slow=*/6, 1.0, 6);
  EXPECT_TRUE(chooser_.IsEjected(Name(6), now_));
  EXPECT_EQ(chooser_.FreeSlots(now_), 91);
  // Seven probes bring the smoothed latency below the bound; then the ejection
  // and the ramp pass.
  Answer(/*slow=*/-1, 0, 18);
  EXPECT_FALSE(chooser_.IsEjected(Name(6), now_));
  EXPECT_EQ(chooser_.FreeSlots(now_), 100);
}

TEST_F(ServerChooserTest, EjectionEnds_SlotsReturnGradually) {
  Answer(/*slow=*/6, 1.0, 6);
  std::vector<int64_t> free;
  for (int i = 0; i <= 10; ++i) {
    free.push_back(chooser_.FreeSlots(now_ + absl::Seconds(i)));
  }
  EXPECT_TRUE(std::is_sorted(free.begin(), free.end()));
  EXPECT_EQ(free[4], 91);
  EXPECT_EQ(free[7], 94);
  EXPECT_EQ(free[10], 100);
}

TEST_F(ServerChooserTest, FailingServer_Ejected) {
  Answer(/*slow=*/6, 0.1, 6, /*slow_fails=*/true);
  EXPECT_TRUE(chooser_.IsEjected(Name(6), now_));
}

TEST_F(ServerChooserTest, ManySick_AtMostAThirdEjected) {
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
  EXPECT_EQ(chooser_.FreeSlots(now_), 101);
  EXPECT_EQ(chooser_.FreeSlots(now_ + absl::Seconds(2.5)), 105);
  EXPECT_EQ(chooser_.FreeSlots(now_ + absl::Seconds(5)), 110);
}

TEST_F(ServerChooserTest, AllServersNew_NothingHeldBack) {
  chooser_ = ServerChooser(ServerChooserOptions{});
  SetServers(10);
  EXPECT_EQ(chooser_.FreeSlots(now_), 100);
}

TEST_F(ServerChooserTest, OnlySettledServerLeaves_NewOnesNotHeldBack) {
  SetServers(1);
  SetServers(3);
  EXPECT_EQ(chooser_.FreeSlots(now_), 12);
  chooser_.SetLeaving(Name(0), true);
  EXPECT_EQ(chooser_.FreeSlots(now_), 20);
}

}  // namespace
}  // namespace hawthornhollow
