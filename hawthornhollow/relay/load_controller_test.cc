// Which server a request is placed at, and the messages that it takes.

#include <algorithm>
#include <deque>
#include <future>
#include <iomanip>
#include <iostream>
#include <random>

#include "hawthornhollow/relay/load_fleet_fixture.h"

namespace hawthornhollow {
namespace {

using LoadControllerTest = LoadFleetTest;

TEST_F(LoadControllerTest, SettledCoordinator_PlacesWithOneQuestion) {
  Fleet fleet(3);
  fleet.Settle();
  const LoadDecision decision = PlaceAt(fleet, kServer, fleet.Request());
  EXPECT_EQ(decision.server, kServer);
  EXPECT_EQ(decision.placed_by, PlacedBy::kCoordinator);
  EXPECT_EQ(decision.messages, 1);
  EXPECT_EQ(fleet.KnownAt(kServer), 1);
}

TEST_F(LoadControllerTest, CoordinatorItself_PlacesWithoutMessages) {
  Fleet fleet(3);
  fleet.Settle();
  const LoadDecision decision =
      fleet.node(fleet.CoordinatorOf(kServer))
          .Place(fleet.Request(), {.first = {kServer}});
  EXPECT_EQ(decision.server, kServer);
  EXPECT_EQ(fleet.questions(), 0);
  EXPECT_EQ(fleet.KnownAt(kServer), 1);
}

TEST_F(LoadControllerTest, EndReported_CoordinatorForgetsTheRequest) {
  Fleet fleet(3);
  fleet.Settle();
  const int router = fleet.OtherThan(fleet.CoordinatorOf(kServer));
  const LoadDecision decision = PlaceAt(fleet, kServer, fleet.Request());
  ASSERT_TRUE(decision.placed.has_value());
  fleet.node(router).OnFirstToken(*decision.placed, absl::Milliseconds(30));
  fleet.node(router).OnEnd(*decision.placed, absl::Milliseconds(60));
  EXPECT_EQ(fleet.KnownAt(kServer), 1);
  fleet.SendReports();
  EXPECT_EQ(fleet.reports(), 1);
  EXPECT_EQ(fleet.KnownAt(kServer), 0);
}

TEST_F(LoadControllerTest, NextQuestion_CarriesTheReports) {
  Fleet fleet(3);
  fleet.Settle();
  const int router = fleet.OtherThan(fleet.CoordinatorOf(kServer));
  const LoadDecision first = PlaceAt(fleet, kServer, fleet.Request());
  fleet.node(router).OnEnd(*first.placed, absl::Milliseconds(60));
  const LoadDecision second = PlaceAt(fleet, kServer, fleet.Request());
  EXPECT_EQ(second.bid.requests, 0);
  fleet.SendReports();
  EXPECT_EQ(fleet.reports(), 0);
}

// A long prompt at the preferred server must not delay a short one when another
// server is empty.
TEST_F(LoadControllerTest, PreferredServerIsBusy_OthersAreAskedAtTheSameTime) {
  Fleet fleet(30, /*servers=*/6);
  fleet.Settle();
  PlaceAt(fleet, kServer, fleet.Request(/*tokens=*/60'000));
  const int64_t before = fleet.questions();
  const LoadDecision decision =
      fleet.node(fleet.OtherThan(fleet.CoordinatorOf(kServer)))
          .Place(fleet.Request(), {.first = {kServer, "i-1", "i-2"}});
  EXPECT_EQ(decision.placed_by, PlacedBy::kCoordinator);
  EXPECT_THAT(decision.server, testing::AnyOf("i-1", "i-2"));
  EXPECT_LE(fleet.questions() - before, 4);
}

// A prompt whose long shared part is cached at the preferred server waits there
// for a while rather than being processed anew elsewhere.
TEST_F(LoadControllerTest, SharedPartIsCached_QueueIsAccepted) {
  Fleet fleet(3);
  fleet.Settle();
  PlacementRequest request = fleet.Request(2'000);
  request.prompt.insert(request.prompt.begin(), {"shared", 40'000});
  request.prompt_tokens = 42'000;
  LoadDecision first = PlaceAt(fleet, kServer, request);
  ASSERT_TRUE(first.placed.has_value());
  fleet.Advance(absl::Seconds(2));
  const int router = fleet.OtherThan(fleet.CoordinatorOf(kServer));
  fleet.node(router).OnFirstToken(*first.placed, absl::Milliseconds(1'110));
  fleet.SendReports();
  request.prompt.back() = {"own-second", 300};
  request.prompt_tokens = 40'300;
  for (const int64_t queued : {300, 8'000}) {
    PlaceAt(fleet, kServer, fleet.Request(queued));
    request.id = absl::StrCat("again-", queued);
    const LoadDecision decision =
        fleet.node(router).Place(request, {.first = {kServer, "i-1", "i-2"}});
    EXPECT_EQ(decision.server, kServer);
    // A short queue is accepted without asking for others.
    EXPECT_EQ(decision.messages == 1, queued == 300);
  }
}

TEST_F(LoadControllerTest, FirstOnesAreFull_MoreAreAsked) {
  Fleet fleet(3);
  fleet.Settle();
  for (int64_t i = 0; i < kSlots; ++i)
    PlaceAt(fleet, kServer, fleet.Request());
  const LoadDecision decision = fleet.node(0).Place(
      fleet.Request(),
      {.first = {kServer}, .more = {"i-1", "i-2"}, .is_whole_service = true});
  EXPECT_EQ(decision.placed_by, PlacedBy::kCoordinator);
  EXPECT_NE(decision.server, kServer);
  EXPECT_FALSE(decision.full_for.has_value());
}

TEST_F(LoadControllerTest, AllServersAreFull_RefusedWithATime) {
  Fleet fleet(3);
  fleet.Settle();
  for (const std::string& server : fleet.server_ids()) {
    for (int64_t i = 0; i < kSlots; ++i)
      PlaceAt(fleet, server, fleet.Request());
  }
  PlacementShortlist all{
      .first = {kServer}, .more = {"i-1", "i-2"}, .is_whole_service = true};
  LoadDecision decision = fleet.node(0).Place(fleet.Request(), all);
  EXPECT_EQ(decision.placed_by, PlacedBy::kNoRoom);
  EXPECT_TRUE(decision.server.empty());
  ASSERT_TRUE(decision.full_for.has_value());
  EXPECT_GE(*decision.full_for, LoadControllerOptions().min_retry_after);
  EXPECT_LE(*decision.full_for, LoadControllerOptions().max_retry_after);

  // Others of the service may have room.
  all.is_whole_service = false;
  decision = fleet.node(0).Place(fleet.Request(), all);
  EXPECT_EQ(decision.placed_by, PlacedBy::kNoRoom);
  EXPECT_FALSE(decision.full_for.has_value());
}

// The picture of the coordinators that answer alone refuses nothing.
TEST_F(LoadControllerTest, AllThatAnswerAreFull_OneIsSilent_NotRefused) {
  Fleet fleet(30, /*servers=*/3);
  fleet.Settle();
  for (const std::string& server : fleet.server_ids()) {
    for (int64_t i = 0; i < kSlots; ++i)
      PlaceAt(fleet, server, fleet.Request());
  }
  const int silent = fleet.CoordinatorOf("i-2");
  ASSERT_NE(silent, fleet.CoordinatorOf(kServer));
  int router = 0;
  while (router == silent || router == fleet.CoordinatorOf(kServer))
    ++router;
  fleet.Kill(silent);
  const LoadDecision decision = fleet.node(router).Place(
      fleet.Request(),
      {.first = {kServer}, .more = {"i-1", "i-2"}, .is_whole_service = true});
  EXPECT_EQ(decision.placed_by, PlacedBy::kNoAnswer);
  EXPECT_FALSE(decision.full_for.has_value());
}

TEST_F(LoadControllerTest, NoPrompt_FullServerIsNotChosen) {
  Fleet fleet(3);
  fleet.Settle();
  for (int64_t i = 0; i < kSlots; ++i)
    PlaceAt(fleet, kServer, fleet.Request(0));
  const LoadDecision decision = fleet.node(0).Place(
      fleet.Request(0), {.first = {kServer, "i-1"}, .is_whole_service = true});
  EXPECT_EQ(decision.server, "i-1");
}

// Guards against many questions for each request when no slot is free.
TEST_F(LoadControllerTest, NoMemoryDescribed_AllFull_FewAreAskedForAWhile) {
  const LoadControllerOptions options;
  constexpr int kServers = 6;
  Fleet fleet(40, kServers, options, kSlots, "plain");
  fleet.Settle();
  for (const std::string& server : fleet.server_ids()) {
    for (int64_t i = 0; i < kSlots; ++i)
      PlaceAt(fleet, server, fleet.Request(0));
  }
  const PlacementShortlist all{.first = fleet.server_ids(),
                               .is_whole_service = true};
  int router = 0;
  while (std::any_of(all.first.begin(), all.first.end(),
                     [&](const std::string& server) {
                       return fleet.CoordinatorOf(server) == router;
                     }))
    ++router;
  LoadController& node = fleet.node(router);
  EXPECT_GT(node.Place(fleet.Request(0), all).messages, 1);
  EXPECT_EQ(node.Place(fleet.Request(0), all).messages, 1);
  fleet.Advance(options.crowded_pause);
  EXPECT_GT(node.Place(fleet.Request(0), all).messages, 1);
}

// A server of which only slots are known may queue the request.
TEST_F(LoadControllerTest, NoMemoryDescribed_AllFull_NotRefused) {
  Fleet fleet(3, /*servers=*/1, /*options=*/{}, kSlots, "plain");
  fleet.Settle();
  for (int64_t i = 0; i < kSlots; ++i)
    PlaceAt(fleet, kServer, fleet.Request(0));
  const LoadDecision decision = fleet.node(0).Place(
      fleet.Request(0), {.first = {kServer}, .is_whole_service = true});
  EXPECT_EQ(decision.placed_by, PlacedBy::kNoRoom);
  EXPECT_FALSE(decision.full_for.has_value());
}

TEST_F(LoadControllerTest, LinkIsBusy_NobodyIsAskedOrTold) {
  Fleet fleet(3);
  fleet.Settle();
  fleet.SetLinkBusy(true);
  const PlacementRequest request = fleet.Request();
  const LoadDecision decision = PlaceAt(fleet, kServer, request);
  EXPECT_EQ(decision.placed_by, PlacedBy::kLinkBusy);
  const int router = fleet.OtherThan(fleet.CoordinatorOf(kServer));
  EXPECT_FALSE(fleet.node(router).PlaceUnasked(request, kServer).has_value());
  fleet.SendReports();
  EXPECT_EQ(fleet.questions() + fleet.reports(), 0);
}

TEST_F(LoadControllerTest, Off_NobodyIsAskedOrTold) {
  Fleet fleet(3, /*servers=*/3, {.is_on = false});
  fleet.Settle();
  const PlacementRequest request = fleet.Request();
  EXPECT_EQ(PlaceAt(fleet, kServer, request).placed_by, PlacedBy::kOff);
  const int router = fleet.OtherThan(fleet.CoordinatorOf(kServer));
  EXPECT_FALSE(fleet.node(router).PlaceUnasked(request, kServer).has_value());
  EXPECT_EQ(fleet.questions(), 0);
}

TEST_F(LoadControllerTest, UnknownServer_OwnView) {
  Fleet fleet(3);
  fleet.Settle();
  EXPECT_EQ(
      fleet.node(0).Place(fleet.Request(), {.first = {"i-unknown"}}).placed_by,
      PlacedBy::kOff);
}

// On a runtime's fibers, with answers that take their time: the others are
// asked at the same time, and one that is silent costs one time-out.
TEST_F(LoadControllerTest, OthersAnswerLate_OneTimeOutForAll) {
  constexpr absl::Duration kAnswerTime = absl::Milliseconds(2);
  const LoadControllerOptions options{
      .peers = {.ask_timeout = absl::Milliseconds(200)},
      .place_timeout = absl::Seconds(1)};
  auto runtime = Runtime::Create({.threads = 1});
  ASSERT_TRUE(runtime.ok()) << runtime.status();
  std::promise<LoadDecision> done;
  int asked_at_once = 0;
  int most_asked_at_once = 0;
  LoadController controller(
      "entry-0", options,
      {.spawn =
           [&](std::function<void()> task) {
             (*runtime)->Spawn(std::move(task));
           },
       .routers =
           [] {
             std::vector<RouterAddress> routers;
             for (int i = 1; i <= 40; ++i)
               routers.push_back({absl::StrCat("entry-", i), "address"});
             return routers;
           },
       .ask = [&](const std::string& /*address*/,
                  const PlacementQuestion& question,
                  absl::Duration timeout) -> absl::StatusOr<PlacementReply> {
         most_asked_at_once = std::max(most_asked_at_once, ++asked_at_once);
         const std::string& server = question.servers.front();
         const bool is_silent = server == "i-3";
         hawthornhollow::SleepFor(is_silent ? timeout : kAnswerTime);
         --asked_at_once;
         if (is_silent)
           return absl::DeadlineExceededError("no answer");
         // The first is poor, the second good.
         PlacementReply reply{
             .bids = {{.server = server,
                       .has_room = true,
                       .first_token = absl::Seconds(server == "i-1" ? 1 : 5)}}};
         if (question.place_within == absl::InfiniteDuration())
           reply.placed = server;
         return reply;
       },
       .report = [](const std::string&,
                    const LoadReport&) { return absl::OkStatus(); },
       .is_link_busy = [] { return false; }});
  std::vector<RelayServer> servers;
  for (int i = 0; i < 4; ++i)
    servers.push_back({.id = absl::StrCat("i-", i), .service = kService});
  controller.SetServers(servers);
  controller.ObserveRouters();
  (*runtime)->Spawn([&] {
    done.set_value(controller.Place(
        {.id = "r", .service = kService, .prompt_tokens = 1'000},
        {.first = {"i-0", "i-1", "i-2", "i-3"}}));
  });
  const LoadDecision decision = done.get_future().get();
  EXPECT_EQ(decision.server, "i-1");
  EXPECT_EQ(most_asked_at_once, 3);
  EXPECT_GE(decision.took, options.peers.ask_timeout);
  EXPECT_LT(decision.took, 2 * options.peers.ask_timeout);
}

// Guards against questions to all candidates of most requests. Prints how many
// messages a request takes; at more routers fewer candidates have the same
// coordinator, and fewer reports go together.
TEST_F(LoadControllerTest, MessagesOfARequest_ByNumberOfRouters) {
  constexpr int kServers = 48;
  constexpr int64_t kEngineSlots = 64;
  constexpr int kRequests = 12'000;
  constexpr int kPerSecond = 300;
  constexpr int kSharedParts = 40;
  constexpr absl::Duration kAnswerTime = absl::Milliseconds(800);
  // Most requests are to be placed with one question. With reports of the first
  // token and the end, that makes three messages; some ask for more candidates.
  constexpr double kMinOneQuestion = 0.5;
  constexpr double kMaxMean = 5;
  std::cout << "routers questions/request reports/request entries/report "
               "by_coordinator one_question predicted_p50_ms p90_ms\n";
  for (const int routers : {30, 100, 340}) {
    std::mt19937 random(7);
    const auto draw = [&](int n) {
      return std::uniform_int_distribution<int>(0, n - 1)(random);
    };
    Fleet fleet(routers, kServers, /*options=*/{}, kEngineSlots);
    std::vector<RelayServer> servers;
    for (const std::string& id : fleet.server_ids())
      servers.push_back({.id = id, .service = kService, .slots = kEngineSlots});
    PromptPlacement view{PlacementOptions()};
    view.SetServers(servers);
    fleet.Settle();
    std::deque<Running> to_begin;
    std::deque<Running> to_end;
    absl::Time reported = fleet.now();
    int by_coordinator = 0;
    int one_question = 0;
    int64_t entries = 0;
    std::vector<int64_t> predicted_ms;
    for (int i = 0; i < kRequests; ++i) {
      fleet.Advance(absl::Seconds(1) / kPerSecond);
      while (!to_begin.empty() && to_begin.front().ends <= fleet.now()) {
        ++entries;
        fleet.node(to_begin.front().router)
            .OnFirstToken(to_begin.front().placed, absl::Milliseconds(90));
        to_begin.pop_front();
      }
      while (!to_end.empty() && to_end.front().ends <= fleet.now()) {
        ++entries;
        fleet.node(to_end.front().router)
            .OnEnd(to_end.front().placed, kAnswerTime);
        to_end.pop_front();
      }
      if (fleet.now() - reported >= LoadControllerOptions().report_interval) {
        reported = fleet.now();
        fleet.SendReports();
      }
      // One in eight is long.
      PlacementRequest request =
          fleet.Request(draw(8) == 0 ? 6'000 : 300 + draw(1'500));
      request.prompt.insert(
          request.prompt.begin(),
          {absl::StrCat("shared-", draw(kSharedParts)), 2'000});
      request.prompt_tokens += 2'000;
      const int router = draw(routers);
      const LoadDecision decision = fleet.node(router).Place(
          request, view.Shortlist({.service = kService,
                                   .prompt = request.prompt,
                                   .prompt_tokens = request.prompt_tokens},
                                  request.id, fleet.now()));
      by_coordinator += decision.placed_by == PlacedBy::kCoordinator ? 1 : 0;
      one_question += decision.messages <= 1 ? 1 : 0;
      predicted_ms.push_back(
          absl::ToInt64Milliseconds(decision.bid.first_token));
      if (!decision.placed.has_value())
        continue;
      to_begin.push_back(
          {router, *decision.placed, fleet.now() + absl::Milliseconds(90)});
      to_end.push_back({router, *decision.placed, fleet.now() + kAnswerTime});
    }
    std::sort(predicted_ms.begin(), predicted_ms.end());
    const double questions = static_cast<double>(fleet.questions()) / kRequests;
    const double reports = static_cast<double>(fleet.reports()) / kRequests;
    std::cout << std::fixed << std::setprecision(2) << std::setw(7) << routers
              << std::setw(18) << questions << std::setw(16) << reports
              << std::setw(15)
              << static_cast<double>(entries) /
                     static_cast<double>(std::max<int64_t>(1, fleet.reports()))
              << std::setw(15)
              << static_cast<double>(by_coordinator) / kRequests
              << std::setw(13) << static_cast<double>(one_question) / kRequests
              << std::setw(17) << predicted_ms[kRequests / 2] << std::setw(7)
              << predicted_ms[kRequests * 9 / 10] << "\n";
    EXPECT_LE(questions + reports, kMaxMean);
    EXPECT_EQ(by_coordinator, kRequests);
    EXPECT_GT(one_question, kMinOneQuestion * kRequests);
  }
}

}  // namespace
}  // namespace hawthornhollow
