#include "hawthornhollow/relay/server_load.h"

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "absl/strings/str_cat.h"
#include "hawthornhollow/relay/engine_model.h"

namespace hawthornhollow {
namespace {

absl::Time At(double ms) {
  return absl::UnixEpoch() + absl::Hours(1) + absl::Milliseconds(ms);
}

PlacementRequest Request(const std::string& id, int64_t tokens) {
  return {.id = id,
          .service = "engine",
          .prompt = {{"own-" + id, tokens}},
          .max_output_tokens = 100,
          .latency_target = absl::Seconds(1),
          .time_left = absl::Seconds(10)};
}

PlacementRequest SharedRequest(const std::string& id,
                               const std::string& part,
                               int64_t shared,
                               int64_t own) {
  PlacementRequest request = Request(id, own);
  request.prompt.insert(request.prompt.begin(), {part, shared});
  return request;
}

class ServerLoadTest : public testing::Test {
 protected:
  PlacementBid Place(const PlacementRequest& request, double ms) {
    return load_.Place(request, "router", At(ms));
  }
  // Sends one prompt after the other to an engine of this speed.
  static void RunAtSpeed(ServerLoad* load,
                         double tokens_per_ms,
                         int prompts,
                         double clock_ms) {
    constexpr int64_t kTokens = 4000;
    for (int i = 0; i < prompts; ++i) {
      const std::string id = absl::StrCat("learn-", clock_ms);
      load->Place(Request(id, kTokens), "router", At(clock_ms));
      const double took = kTokens / tokens_per_ms + 10;
      load->OnFirstToken(id, absl::Milliseconds(took), At(clock_ms + took));
      load->OnEnd(id, At(clock_ms + took));
      clock_ms += 10'000;
    }
  }

  ServerLoad load_{ServerLoadOptions()};
};

TEST_F(ServerLoadTest, EmptyServer_PredictsTheWorkOfThePrompt) {
  const PlacementBid bid = load_.Bid(Request("a", 3800), At(0));
  EXPECT_TRUE(bid.has_room);
  EXPECT_EQ(bid.uncached_tokens, 3800);
  EXPECT_GE(bid.first_token, absl::Milliseconds(100));
  EXPECT_LE(bid.first_token, absl::Milliseconds(120));
  EXPECT_EQ(bid.delay_to_others, absl::ZeroDuration());
}

TEST_F(ServerLoadTest, QueuedPrompt_DelaysLaterOnesUntilItIsProcessed) {
  Place(Request("long", 17'000), 0);
  const auto predicted = [&](double ms) {
    return load_.Bid(Request("a", 1000), At(ms)).first_token;
  };
  const absl::Duration at_once = predicted(0);
  EXPECT_GE(at_once, absl::Milliseconds(470));
  EXPECT_NEAR(absl::ToDoubleMilliseconds(at_once - predicted(200)), 200, 1);
  load_.OnFirstToken("long", absl::Milliseconds(300), At(300));
  EXPECT_LE(predicted(300), absl::Milliseconds(50));
}

// A long prompt counted in full until its first token, so servers that had
// nearly finished one were avoided.
TEST_F(ServerLoadTest, QueuedTokens_DrainWithTime) {
  Place(Request("long", 17'000), 0);
  const auto queued = [&](double ms) {
    return load_.Bid(Request("a", 10), At(ms)).queued_tokens;
  };
  EXPECT_EQ(queued(0), 17'000);
  EXPECT_LT(queued(250), 10'000);
  EXPECT_GT(queued(250), 7000);
  EXPECT_LT(queued(480), 2000);
}

TEST_F(ServerLoadTest, OverdueFirstToken_RaisesThePrediction) {
  Place(Request("a", 1000), 0);
  const auto predicted = [&](double ms) {
    return load_.Bid(Request("b", 10), At(ms)).first_token;
  };
  EXPECT_LE(predicted(80), absl::Milliseconds(20));
  EXPECT_GE(predicted(800), absl::Milliseconds(500));
  EXPECT_GE(predicted(2000), predicted(800));
}

TEST_F(ServerLoadTest, UrgentPrompt_OvertakesAndCountsTheDelay) {
  PlacementRequest slow = Request("slow", 17'000);
  slow.urgency = 3;
  Place(slow, 0);
  const PlacementBid urgent = load_.Bid(Request("urgent", 3800), At(0));
  EXPECT_LE(urgent.first_token, absl::Milliseconds(120));
  EXPECT_GE(urgent.delay_to_others, absl::Milliseconds(100));
}

TEST_F(ServerLoadTest, Speed_IsLearnedAndBounded) {
  const struct {
    double actual;
    double learned;
  } cases[] = {{23, 23}, {38, 38}, {61, 61}, {2, 9.5}, {900, 152}};
  for (const auto& c : cases) {
    ServerLoad load{ServerLoadOptions()};
    RunAtSpeed(&load, c.actual, 40, 0);
    EXPECT_NEAR(load.speed(), c.learned, c.learned * 0.1) << c.actual;
  }
}

// A part that the engine had evicted makes a single prompt look slow.
TEST_F(ServerLoadTest, SingleOutlier_ChangesTheSpeedLittle) {
  RunAtSpeed(&load_, 38, 20, 0);
  const double before = load_.speed();
  RunAtSpeed(&load_, 1, 1, 300'000);
  EXPECT_GE(load_.speed(), before * 0.85);
  RunAtSpeed(&load_, 1000, 1, 400'000);
  EXPECT_LE(load_.speed(), before * 1.25);
}

TEST_F(ServerLoadTest, LateReports_DoNotChangeTheLearnedSpeed) {
  for (int i = 0; i < 20; ++i) {
    const std::string id = absl::StrCat(i);
    Place(Request(id, 4000), i * 1000);
    load_.OnFirstToken(id, absl::Milliseconds(4000 / 38.0 + 10),
                       At(i * 1000 + 900));
    load_.OnEnd(id, At(i * 1000 + 900));
  }
  EXPECT_NEAR(load_.speed(), 38, 3);
}

TEST_F(ServerLoadTest, Room_FollowsSlotsMemoryAndTime) {
  const struct {
    const char* name;
    ServerLoadOptions options;
    int placed;
    int64_t tokens;
    bool has_room;
  } cases[] = {
      {"unknown limits", {}, 200, 100, true},
      {"a slot left", {.slots = 3}, 2, 100, true},
      {"no slot left", {.slots = 3}, 3, 100, false},
      {"memory left", {.memory_tokens = 600}, 2, 100, true},
      {"output counts", {.memory_tokens = 599}, 2, 100, false},
      {"longer than the memory", {.memory_tokens = 1000}, 0, 950, false},
      {"cannot begin in time", {}, 30, 20'000, false},
  };
  for (const auto& c : cases) {
    ServerLoad load(c.options);
    for (int i = 0; i < c.placed; ++i)
      load.Place(Request(absl::StrCat(i), c.tokens), "router", At(0));
    EXPECT_EQ(load.Bid(Request("next", c.tokens), At(0)).has_room, c.has_room)
        << c.name;
  }
}

// Long prompts found no room at servers that hold a shared part only once.
TEST_F(ServerLoadTest, SharedPartHeldOnce_CountsOnceUntilItsLastRequestEnds) {
  const struct {
    bool held_once;
    int has_room;  // of requests with a part of 5,000 and 1,100 of their own
  } cases[] = {{false, 1}, {true, 5}};
  for (const auto& c : cases) {
    ServerLoad load(
        {.memory_tokens = 11'000, .shared_parts_held_once = c.held_once});
    for (int round = 0; round < 2; ++round) {
      int has_room = 0;
      for (int i = 0; i < 9; ++i) {
        const PlacementRequest request =
            SharedRequest(absl::StrCat(i), "topic", 5000, 1000);
        has_room += load.Place(request, "r", At(0)).has_room ? 1 : 0;
      }
      EXPECT_EQ(has_room, c.has_room) << c.held_once;
      for (int i = 0; i < 9; ++i)
        load.OnEnd(absl::StrCat(i), At(0));
    }
    const PlacementRequest other = SharedRequest("x", "other", 9900, 1000);
    EXPECT_TRUE(load.Bid(other, At(0)).has_room);
  }
}

TEST_F(ServerLoadTest, RequestWithoutRoom_IsNotCounted) {
  ServerLoad load({.slots = 1});
  EXPECT_TRUE(load.Place(Request("a", 100), "r", At(0)).has_room);
  EXPECT_FALSE(load.Place(Request("b", 100), "r", At(0)).has_room);
  EXPECT_EQ(load.requests(), 1);
  // A repeated message finds its own request, and does not count it twice.
  EXPECT_TRUE(load.Place(Request("a", 100), "r", At(1)).has_room);
  EXPECT_EQ(load.requests(), 1);
}

TEST_F(ServerLoadTest, CachedParts_CountOnlyWithoutAGap) {
  Place(SharedRequest("a", "topic", 6300, 2890), 0);
  EXPECT_EQ(
      load_.Bid(SharedRequest("b", "topic", 6300, 500), At(9)).uncached_tokens,
      500);
  PlacementRequest gap = SharedRequest("c", "topic", 6300, 500);
  gap.prompt.insert(gap.prompt.begin(), {"unknown", 10});
  EXPECT_EQ(load_.Bid(gap, At(9)).uncached_tokens, 6810);
  constexpr double kLongAfterMs = 21'000;
  EXPECT_EQ(load_.Bid(SharedRequest("d", "topic", 6300, 500), At(kLongAfterMs))
                .uncached_tokens,
            6800);
}

TEST_F(ServerLoadTest, FullCache_EvictsTheLeastRecentlyUsedPart) {
  ServerLoad load({.memory_tokens = 20'000});
  const auto place = [&](const std::string& id, const std::string& part) {
    load.Place(SharedRequest(id, part, 5000, 1000), "r", At(0));
    load.OnEnd(id, At(0));
  };
  const auto uncached = [&](const std::string& part) {
    return load.Bid(SharedRequest("x", part, 5000, 1000), At(0))
        .uncached_tokens;
  };
  place("1", "a");
  place("2", "b");
  place("3", "a");
  place("4", "c");
  place("5", "d");
  EXPECT_EQ(uncached("b"), 6000);
  EXPECT_EQ(uncached("c"), 1000);
  EXPECT_EQ(uncached("d"), 1000);
}

TEST(ChooseBidTest, Bids_AreComparedByTheirCost) {
  const auto bid = [](double first_ms, double delay_ms, int64_t uncached,
                      bool has_room = true) {
    return PlacementBid{.has_room = has_room,
                        .first_token = absl::Milliseconds(first_ms),
                        .delay_to_others = absl::Milliseconds(delay_ms),
                        .uncached_tokens = uncached};
  };
  // 3,720 tokens of 17,020 are the request's own.
  const struct {
    const char* name;
    std::vector<PlacementBid> bids;
    std::optional<size_t> best;
  } cases[] = {
      {"none", {}, std::nullopt},
      {"no room", {bid(9, 0, 0, false), bid(9, 0, 0, false)}, std::nullopt},
      {"earliest", {bid(90, 0, 3720), bid(80, 0, 3720)}, 1},
      {"first of equals", {bid(80, 0, 3720), bid(80, 0, 3720)}, 0},
      {"delay to others", {bid(90, 0, 3720), bid(80, 40, 3720)}, 0},
      {"preferred without room", {bid(9, 0, 9, false), bid(450, 0, 17'020)}, 1},
      {"queue shorter than a copy",
       {bid(300, 0, 3720), bid(400, 0, 17'020)},
       0},
      {"cached nowhere", {bid(480, 0, 17'020), bid(450, 0, 17'020)}, 0},
      {"no copy where nobody looks for it",
       {bid(900, 0, 3720), bid(900, 0, 3720), bid(450, 0, 17'020)},
       0},
      {"unless it were late",
       {bid(3000, 0, 3720), bid(3000, 0, 3720), bid(450, 0, 17'020)},
       2},
  };
  PlacementRequest request = SharedRequest("a", "topic", 13'300, 3720);
  request.latency_target = absl::Seconds(2);
  for (const auto& c : cases)
    EXPECT_EQ(ChooseBid(c.bids, request), c.best) << c.name;
}

// A part that one server can hardly serve alone stayed there until the queue
// took longer than processing the part once more.
TEST(ServerLoadPairTest, FrequentPart_GetsASecondServerBeforeALongQueue) {
  constexpr int64_t kShared = 13'300;
  constexpr int64_t kOwn = 3720;
  constexpr double kIntervalMs = 100;  // 83 ms of work each
  std::vector<EngineModel> engines(2, EngineModel({}));
  std::vector<ServerLoad> loads(2, ServerLoad(ServerLoadOptions()));
  std::vector<int> placed(2, 0);
  int64_t queue_at_second = -1;
  for (int i = 0; i < 300; ++i) {
    const double ms = kIntervalMs * i;
    for (size_t s = 0; s < engines.size(); ++s) {
      engines[s].RunUntil(ms, [&](const EngineModel::Progress& progress) {
        const std::string id = absl::StrCat(progress.job);
        const double took =
            progress.at_ms - kIntervalMs * static_cast<double>(progress.job);
        if (progress.is_first_token)
          loads[s].OnFirstToken(id, absl::Milliseconds(took), At(ms));
        else
          loads[s].OnEnd(id, At(ms));
      });
    }
    PlacementRequest request =
        SharedRequest(absl::StrCat(i), "topic", kShared, kOwn);
    request.latency_target = absl::Seconds(2);
    const std::vector<PlacementBid> bids = {loads[0].Bid(request, At(ms)),
                                            loads[1].Bid(request, At(ms))};
    const size_t best = ChooseBid(bids, request).value_or(0);
    if (best == 1 && queue_at_second < 0)
      queue_at_second = bids[0].queued_tokens;
    ++placed[best];
    loads[best].Place(request, "router", At(ms));
    engines[best].Submit(
        {.id = i, .prompt = request.prompt, .output_tokens = 100}, ms);
  }
  EXPECT_GE(placed[1], 50);
  EXPECT_GE(placed[0], 50);
  EXPECT_GE(queue_at_second, 0);
  EXPECT_LE(queue_at_second, kShared);
}

// Compares the accounting with a recount of all requests.
TEST(ServerLoadRandomTest, AnyOrderOfReports_LeavesTheRightCounts) {
  struct Known {
    std::string router;
    int64_t memory;
    absl::Time expires;
  };
  constexpr int kRuns = 20;
  constexpr int kSteps = 1500;
  for (int run = 0; run < kRuns; ++run) {
    std::mt19937 random(run);
    const ServerLoadOptions options = {.slots = 12, .memory_tokens = 60'000};
    ServerLoad load(options);
    std::map<std::string, Known> known;
    double ms = 0;
    for (int step = 0; step < kSteps; ++step) {
      ms += static_cast<double>(random() % 80);
      const std::string id = absl::StrCat(random() % 40);
      const std::string router = absl::StrCat("r", random() % 3);
      const unsigned action = random() % 20;
      if (action < 9) {
        PlacementRequest request = Request(id, 1 + random() % 20'000);
        request.urgency = random() % 3;
        request.prompt[0].id = absl::StrCat("part-", random() % 9);
        known.erase(id);
        int64_t memory = request.prompt[0].tokens + 100;
        const int64_t needed = memory;
        for (const auto& [other, request_there] : known)
          memory += request_there.memory;
        const PlacementBid bid = load.Place(request, router, At(ms));
        const bool fits = known.size() < 12 &&
                          memory <= options.memory_tokens &&
                          bid.first_token <= request.time_left;
        ASSERT_EQ(bid.has_room, fits) << "run " << run << " step " << step;
        if (fits)
          known[id] = {router, needed, At(ms) + absl::Seconds(12)};
      } else if (action < 13) {
        load.OnFirstToken(id, absl::Milliseconds(random() % 900), At(ms));
      } else if (action < 17) {
        load.OnEnd(id, At(ms));
        known.erase(id);
      } else if (action < 18) {
        load.DropRouter(router);
        std::erase_if(known,
                      [&](const auto& k) { return k.second.router == router; });
      } else {
        load.Expire(At(ms));
        std::erase_if(
            known, [&](const auto& k) { return k.second.expires <= At(ms); });
      }
      const PlacementBid bid = load.Bid(Request("probe", 1000), At(ms));
      ASSERT_EQ(bid.requests, static_cast<int64_t>(known.size()));
      ASSERT_GE(bid.first_token, absl::ZeroDuration());
      ASSERT_GE(bid.delay_to_others, absl::ZeroDuration());
      ASSERT_GE(bid.queued_tokens, 0);
    }
    load.Expire(At(ms) + absl::Minutes(1));
    EXPECT_EQ(load.requests(), 0);
    EXPECT_EQ(load.Bid(Request("probe", 1), At(ms)).queued_tokens, 0);
  }
}

}  // namespace
}  // namespace hawthornhollow
