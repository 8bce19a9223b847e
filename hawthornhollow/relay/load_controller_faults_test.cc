// Coordination of load while routers are silent, slow, cut off, killed or new.

#include <algorithm>
#include <deque>
#include <random>

#include "hawthornhollow/relay/load_fleet_fixture.h"

namespace hawthornhollow {
namespace {

using LoadControllerFaultsTest = LoadFleetTest;

TEST_F(LoadControllerFaultsTest,
       SilentCoordinator_OwnViewAfterOneTimeOutAndAPause) {
  const LoadControllerOptions options;
  Fleet fleet(3);
  fleet.Settle();
  const int coordinator = fleet.CoordinatorOf(kServer);
  fleet.SetAllPathsTo(coordinator, Fleet::Path::kNothingArrives);
  const absl::Time begin = fleet.now();
  LoadDecision decision = PlaceAt(fleet, kServer, fleet.Request());
  EXPECT_EQ(decision.placed_by, PlacedBy::kNoAnswer);
  EXPECT_TRUE(decision.server.empty());
  EXPECT_EQ(fleet.now() - begin, options.peers.ask_timeout);
  // It is left alone for a while, and then asked again.
  decision = PlaceAt(fleet, kServer, fleet.Request());
  EXPECT_EQ(decision.placed_by, PlacedBy::kNoAnswer);
  EXPECT_EQ(decision.messages, 0);
  EXPECT_EQ(fleet.questions(), 1);
  fleet.SetAllPathsTo(coordinator, Fleet::Path::kWhole);
  fleet.Advance(options.peers.ask_pause);
  decision = PlaceAt(fleet, kServer, fleet.Request());
  EXPECT_EQ(decision.placed_by, PlacedBy::kCoordinator);
}

TEST_F(LoadControllerFaultsTest, NoPrompt_SilentCoordinatorIsPassedOver) {
  Fleet fleet(30, /*servers=*/6);
  fleet.Settle();
  const int silent = fleet.CoordinatorOf(kServer);
  const int router = fleet.OtherThan(silent);
  fleet.Kill(silent);
  fleet.node(router).Place(fleet.Request(0), {.first = {kServer}});
  const LoadDecision decision =
      fleet.node(router).Place(fleet.Request(0), {.first = {kServer, "i-1"}});
  EXPECT_EQ(decision.server, "i-1");
}

// The coordinator is slow, is cut off in the direction of its answers, or is
// killed between its answer and the arrival: the request may count there
// although it goes elsewhere.
TEST_F(LoadControllerFaultsTest, AnswerIsLost_EndIsReportedAfterThePause) {
  const LoadControllerOptions options;
  Fleet fleet(3);
  fleet.Settle();
  const int coordinator = fleet.CoordinatorOf(kServer);
  fleet.SetAllPathsTo(coordinator, Fleet::Path::kAnswersLost);
  const LoadDecision decision = PlaceAt(fleet, kServer, fleet.Request());
  EXPECT_EQ(decision.placed_by, PlacedBy::kNoAnswer);
  EXPECT_FALSE(decision.placed.has_value());
  EXPECT_EQ(fleet.KnownAt(kServer), 1);
  fleet.SendReports();
  EXPECT_EQ(fleet.reports(), 0);
  fleet.SetAllPathsTo(coordinator, Fleet::Path::kWhole);
  fleet.Advance(options.peers.ask_pause);
  fleet.SendReports();
  EXPECT_EQ(fleet.KnownAt(kServer), 0);
}

TEST_F(LoadControllerFaultsTest, ReportIsLost_EndsAreReportedAgain) {
  const LoadControllerOptions options;
  Fleet fleet(3);
  fleet.Settle();
  const int coordinator = fleet.CoordinatorOf(kServer);
  const int router = fleet.OtherThan(coordinator);
  const LoadDecision decision = PlaceAt(fleet, kServer, fleet.Request());
  fleet.node(router).OnEnd(*decision.placed, absl::Milliseconds(60));
  fleet.SetPath(router, coordinator, Fleet::Path::kNothingArrives);
  fleet.SendReports();
  EXPECT_EQ(fleet.KnownAt(kServer), 1);
  fleet.SetPath(router, coordinator, Fleet::Path::kWhole);
  fleet.Advance(options.peers.ask_pause);
  fleet.SendReports();
  EXPECT_EQ(fleet.KnownAt(kServer), 0);
}

TEST_F(LoadControllerFaultsTest,
       RouterDiesWithRequestsPlaced_CoordinatorForgetsThem) {
  Fleet fleet(3);
  fleet.Settle();
  const int router = fleet.OtherThan(fleet.CoordinatorOf(kServer));
  for (int64_t i = 0; i < kSlots; ++i)
    PlaceAt(fleet, kServer, fleet.Request());
  EXPECT_EQ(fleet.KnownAt(kServer), kSlots);
  fleet.Kill(router);
  fleet.Forget(router);
  EXPECT_EQ(fleet.KnownAt(kServer), 0);
}

TEST_F(LoadControllerFaultsTest, RouterThatIsCutOff_ItsRequestsExpire) {
  Fleet fleet(3);
  fleet.Settle();
  PlaceAt(fleet, kServer, fleet.Request());
  fleet.Advance(kTimeLimit + ServerLoadOptions().expire_after -
                absl::Milliseconds(1));
  fleet.ObserveAll();
  EXPECT_EQ(fleet.KnownAt(kServer), 1);
  fleet.Advance(absl::Milliseconds(1));
  fleet.ObserveAll();
  EXPECT_EQ(fleet.KnownAt(kServer), 0);
}

TEST_F(LoadControllerFaultsTest, JustStarted_GivesNoBidsUntilRoutersAgree) {
  Fleet fleet(3);
  const int router = fleet.OtherThan(fleet.CoordinatorOf(kServer));
  const PlacementRequest request = fleet.Request();
  LoadDecision decision = PlaceAt(fleet, kServer, request);
  EXPECT_EQ(decision.placed_by, PlacedBy::kUnsettled);
  // It is told of requests meanwhile.
  const auto placed = fleet.node(router).PlaceUnasked(request, kServer);
  EXPECT_TRUE(placed.has_value());
  fleet.SendReports();
  fleet.Settle();
  decision = PlaceAt(fleet, kServer, fleet.Request());
  EXPECT_EQ(decision.placed_by, PlacedBy::kCoordinator);
  EXPECT_EQ(decision.bid.requests, 1);
}

TEST_F(LoadControllerFaultsTest, CoordinatorKilled_NextOneIsToldAndTakesOver) {
  Fleet fleet(4);
  fleet.Settle();
  const int killed = fleet.CoordinatorOf(kServer);
  fleet.Kill(killed);
  fleet.Forget(killed);
  const int next = fleet.CoordinatorOf(kServer);
  int router = 0;
  while (router == killed || router == next)
    ++router;
  LoadController& node = fleet.node(router);
  const PlacementRequest request = fleet.Request();
  EXPECT_EQ(node.Place(request, {.first = {kServer}}).placed_by,
            PlacedBy::kUnsettled);
  EXPECT_TRUE(node.PlaceUnasked(request, kServer).has_value());
  fleet.Settle();
  EXPECT_EQ(node.Place(fleet.Request(), {.first = {kServer}}).placed_by,
            PlacedBy::kCoordinator);
  EXPECT_EQ(fleet.KnownAt(kServer), 2);
}

// A killed router stays known until it starts again: nothing in the store says
// that it died.
TEST_F(LoadControllerFaultsTest,
       CoordinatorKilledAndStillKnown_AnotherTakesOver) {
  const LoadControllerOptions options;
  Fleet fleet(5);
  fleet.Settle();
  const int killed = fleet.CoordinatorOf(kServer);
  const int router = fleet.OtherThan(killed);
  fleet.Kill(killed);
  int by_coordinator = 0;
  const absl::Time end = fleet.now() + absl::Seconds(4);
  absl::Time taken_over = absl::InfiniteFuture();
  const absl::Time begin = fleet.now();
  while (fleet.now() < end) {
    if (fleet.node(router)
            .Place(fleet.Request(), {.first = {kServer}})
            .placed_by == PlacedBy::kCoordinator) {
      ++by_coordinator;
      taken_over = std::min(taken_over, fleet.now());
    }
    fleet.Advance(options.routers_interval);
    fleet.ObserveAll();
  }
  EXPECT_GT(by_coordinator, 0);
  // Both the one that asks and the next coordinator notice, and it settles.
  EXPECT_LT(taken_over - begin,
            2 * (options.peers.dead_after + options.peers.ask_pause) +
                options.coordinator.settle_time);
  // It starts again, and is the coordinator again.
  fleet.Start(killed);
  const absl::Time back = fleet.now() + 2 * options.peers.probe_interval;
  while (fleet.now() < back) {
    fleet.Advance(options.routers_interval);
    fleet.ObserveAll();
  }
  const LoadDecision decision =
      fleet.node(router).Place(fleet.Request(), {.first = {kServer}});
  ASSERT_TRUE(decision.placed.has_value());
  EXPECT_EQ(decision.placed->coordinator.router, Fleet::NameOf(killed));
}

// In a rolling release routers come and go all the time.
TEST_F(LoadControllerFaultsTest,
       AnotherRouterComesOrGoes_CoordinatorsThatStayAnswer) {
  Fleet fleet(5);
  fleet.Settle();
  const int coordinator = fleet.CoordinatorOf(kServer);
  PlaceAt(fleet, kServer, fleet.Request());
  const int gone = coordinator == 4 ? 3 : 4;
  fleet.Kill(gone);
  fleet.Forget(gone);
  ASSERT_EQ(fleet.CoordinatorOf(kServer), coordinator);
  EXPECT_EQ(PlaceAt(fleet, kServer, fleet.Request()).placed_by,
            PlacedBy::kCoordinator);
}

TEST_F(LoadControllerFaultsTest,
       RoutersDisagree_OneThatIsNoCoordinatorGivesNoBid) {
  Fleet fleet(3);
  fleet.Settle();
  const int coordinator = fleet.CoordinatorOf(kServer);
  const int router = fleet.OtherThan(coordinator);
  // The router has not noticed that the coordinator is up.
  std::vector<RouterAddress> seen = fleet.living();
  std::erase_if(seen, [&](const RouterAddress& other) {
    return other.router == Fleet::NameOf(coordinator);
  });
  fleet.SetSeen(router, seen);
  fleet.Advance(absl::Seconds(2));
  const bool is_itself =
      ChooseCoordinator(kServer, seen)->router == Fleet::NameOf(router);
  const LoadDecision decision = PlaceAt(fleet, kServer, fleet.Request());
  if (is_itself) {
    EXPECT_EQ(decision.placed_by, PlacedBy::kCoordinator);
    EXPECT_EQ(decision.messages, 0);
  } else {
    EXPECT_EQ(decision.placed_by, PlacedBy::kUnsettled);
  }
}

// Guards against requests that count at a coordinator for ever, and against
// waits beyond the bound, under any order of faults.
TEST_F(LoadControllerFaultsTest, RandomFaults_WaitsAreBoundedAndNothingStays) {
  constexpr int kRouters = 8;
  constexpr int kSteps = 4'000;
  const LoadControllerOptions options;
  for (int seed = 0; seed < 10; ++seed) {
    std::mt19937 random(seed);
    const auto draw = [&](int n) {
      return std::uniform_int_distribution<int>(0, n - 1)(random);
    };
    Fleet fleet(kRouters, /*servers=*/6);
    fleet.Settle();
    std::deque<Running> running;
    for (int step = 0; step < kSteps; ++step) {
      fleet.Advance(absl::Milliseconds(draw(8)));
      if (draw(20) == 0)
        fleet.SetPath(draw(kRouters), draw(kRouters),
                      static_cast<Fleet::Path>(draw(3)));
      const int victim = draw(kRouters);
      if (draw(200) == 0 && fleet.is_up(victim)) {
        fleet.Kill(victim);
        std::erase_if(running, [&](const Running& request) {
          return request.router == victim;
        });
      } else if (!fleet.is_up(victim) && draw(10) == 0) {
        fleet.Start(victim);
      }
      if (step % 3 == 0)
        fleet.SendReports();
      if (step % 15 == 0)
        fleet.ObserveAll();
      const int router = draw(kRouters);
      if (!fleet.is_up(router))
        continue;
      std::vector<std::string> servers = fleet.server_ids();
      std::shuffle(servers.begin(), servers.end(), random);
      const PlacementRequest request = fleet.Request(draw(4) == 0 ? 0 : 900);
      const absl::Time begin = fleet.now();
      LoadDecision decision = fleet.node(router).Place(
          request, {.first = {servers.begin(), servers.begin() + 3},
                    .more = {servers.begin() + 3, servers.end()},
                    .is_whole_service = true});
      // Questions that are asked at the same time follow one another here.
      EXPECT_LE(fleet.now() - begin,
                options.place_timeout + 3 * options.peers.ask_timeout)
          << "seed " << seed;
      if (decision.server.empty() && !decision.full_for.has_value())
        decision.placed = fleet.node(router).PlaceUnasked(request, servers[0]);
      if (decision.placed.has_value()) {
        running.push_back(
            {.router = router,
             .placed = *decision.placed,
             .ends = fleet.now() + absl::Milliseconds(draw(900))});
      }
      std::erase_if(running, [&](const Running& request) {
        if (request.ends > fleet.now() || !fleet.is_up(request.router))
          return false;
        fleet.node(request.router)
            .OnEnd(request.placed, absl::Milliseconds(100));
        return true;
      });
    }
    // All paths are whole again, all routers up, and the time limits over.
    for (int a = 0; a < kRouters; ++a) {
      if (!fleet.is_up(a))
        fleet.Start(a);
      for (int b = 0; b < kRouters; ++b)
        fleet.SetPath(a, b, Fleet::Path::kWhole);
    }
    fleet.Settle();
    fleet.Advance(kTimeLimit + ServerLoadOptions().expire_after);
    fleet.ObserveAll();
    for (const std::string& server : fleet.server_ids())
      EXPECT_EQ(fleet.KnownAt(server), 0) << server << " seed " << seed;
  }
}

}  // namespace
}  // namespace hawthornhollow
