#include <map>
#include <random>
#include <set>

#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "hawthornhollow/scheduling/scheduling.h"

namespace hawthornhollow {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

const absl::Time kStart = absl::UnixEpoch();
constexpr int64_t kCost = 100;
constexpr int64_t kRate = 1000;  // tokens per second after LearnRate

class RankQueueTest : public testing::Test {
 protected:
  static RankQueueOptions Options() {
    RankQueueOptions options;
    options.ranks = {{"urgent", 0, absl::Seconds(2), 0},
                     {"middling", 1, absl::Seconds(5), 0},
                     {"can-wait", 2, absl::Seconds(20), 0}};
    options.quantum_tokens = kCost;
    return options;
  }

  QueuedRequest Request(const std::string& rank,
                        const std::string& caller = "ward-1") {
    return {.id = next_id_++,
            .rank = rank,
            .member = "lantern-works",
            .caller = caller,
            .cost_tokens = kCost,
            .arrived = now_};
  }
  std::optional<Refusal> Offer(const std::string& rank,
                               const std::string& caller = "ward-1") {
    return queue_.Offer(Request(rank, caller), now_);
  }
  std::string TakeRank() {
    auto request = queue_.Take(now_);
    return request.has_value() ? request->rank : "";
  }
  // Lets the queue measure the service rate kRate, during two seconds with
  // backlog.
  void LearnRate() {
    Offer("can-wait", "learner");
    const uint64_t id = next_id_ - 1;
    for (int i = 0; i < 20; ++i) {
      now_ += absl::Milliseconds(100);
      queue_.OnRequestFinished(kRate / 10, now_);
    }
    queue_.Remove(id);
  }

  uint64_t next_id_ = 1;
  absl::Time now_ = kStart;
  RankQueue queue_{Options()};
};

TEST_F(RankQueueTest, SeveralRanksWaiting_ServedInRankOrder) {
  Offer("can-wait");
  Offer("middling");
  Offer("urgent");
  EXPECT_EQ(TakeRank(), "urgent");
  EXPECT_EQ(TakeRank(), "middling");
  EXPECT_EQ(TakeRank(), "can-wait");
  EXPECT_EQ(TakeRank(), "");
  EXPECT_EQ(queue_.waiting(), 0);
}

TEST_F(RankQueueTest, HigherRankOverloaded_FloorOfLowerRankIsKept) {
  RankQueueOptions options = Options();
  options.ranks[2].floor = 0.2;
  queue_ = RankQueue(options);
  std::map<std::string, int> taken;
  for (int i = 0; i < 200; ++i) {
    Offer("urgent");
    Offer("can-wait");
    now_ += absl::Milliseconds(10);
    ++taken[TakeRank()];
  }
  EXPECT_NEAR(taken["can-wait"], 40, 2);
  EXPECT_EQ(taken["middling"], 0);
}

TEST_F(RankQueueTest, BelowFloorAndEmpty_AdmittedDespiteSmallRateShare) {
  RankQueueOptions options = Options();
  options.ranks[2] = {"can-wait", 2, absl::Seconds(1), 0.02};
  queue_ = RankQueue(options);
  LearnRate();
  while (!Offer("urgent").has_value()) {
  }
  queue_.Take(now_);
  EXPECT_FALSE(Offer("can-wait").has_value());
  EXPECT_EQ(TakeRank(), "can-wait");
  EXPECT_TRUE(Offer("can-wait").has_value());
}

TEST_F(RankQueueTest, ServiceRateUnknown_RefusesOnlyWhenQueueIsFull) {
  RankQueueOptions options = Options();
  options.max_waiting = 10;
  queue_ = RankQueue(options);
  for (int i = 0; i < 10; ++i) {
    EXPECT_FALSE(Offer("middling").has_value());
  }
  const auto refusal = Offer("middling");
  ASSERT_TRUE(refusal.has_value());
  EXPECT_EQ(refusal->cause, RefusalCause::kQueueFull);
}

TEST_F(RankQueueTest, QueueFull_HigherRankEvictsLowestRank) {
  RankQueueOptions options = Options();
  options.max_waiting = 2;
  queue_ = RankQueue(options);
  Offer("middling");
  Offer("can-wait");
  const uint64_t evicted = next_id_ - 1;
  EXPECT_FALSE(Offer("urgent").has_value());
  const auto refusals = queue_.Expire(now_);
  ASSERT_EQ(refusals.size(), 1);
  EXPECT_EQ(refusals[0].id, evicted);
}

TEST_F(RankQueueTest, IdlePeriod_DoesNotLowerServiceRate) {
  LearnRate();
  now_ += absl::Seconds(30);
  Offer("middling");
  const absl::Duration before = queue_.PredictedWait("middling", now_);
  EXPECT_GT(before, absl::Seconds(0.05));
  EXPECT_LT(before, absl::Seconds(0.15));
}

TEST_F(RankQueueTest, PredictedWaitTooLong_RefusedOnArrivalWithRetryAfter) {
  LearnRate();
  int admitted = 0;
  std::optional<Refusal> refusal;
  while (!(refusal = Offer("urgent")).has_value()) {
    ++admitted;
  }
  // A predicted wait of 0.8 * 2 s at 1000 tokens per second allows 16 requests.
  // The upper estimate of the rate from few samples allows up to a third more.
  EXPECT_GE(admitted, 16);
  EXPECT_LE(admitted, 22);
  EXPECT_EQ(refusal->cause, RefusalCause::kOverload);
  EXPECT_GE(refusal->retry_after, absl::Seconds(1));
  EXPECT_LE(refusal->retry_after, absl::Seconds(60));
}

TEST_F(RankQueueTest,
       OneCallerHasLongBacklog_OtherCallerAdmittedAndServedSoon) {
  LearnRate();
  while (!Offer("urgent", "flooder").has_value()) {
  }
  EXPECT_FALSE(Offer("urgent", "ward-2").has_value());
  const uint64_t id = next_id_ - 1;
  queue_.Take(now_);
  auto second = queue_.Take(now_);
  auto third = queue_.Take(now_);
  EXPECT_TRUE(second->id == id || third->id == id);
}

TEST_F(RankQueueTest, SlowFirstTokens_AllowedWaitIsShorter) {
  LearnRate();
  for (int i = 0; i < 50; ++i) {
    queue_.OnFirstToken(absl::Seconds(0.6));
  }
  int admitted = 0;
  while (!Offer("urgent").has_value()) {
    ++admitted;
  }
  EXPECT_LE(admitted, 15);
}

TEST_F(RankQueueTest, HigherRankFloods_LowerRankEvictedAtOnce) {
  LearnRate();
  while (!Offer("middling").has_value()) {
  }
  EXPECT_THAT(queue_.Expire(now_), IsEmpty());
  while (!Offer("urgent").has_value()) {
  }
  const auto refusals = queue_.Expire(now_);
  EXPECT_GE(refusals.size(), 5);
  for (const Refusal& refusal : refusals) {
    EXPECT_EQ(refusal.cause, RefusalCause::kOverload);
  }
}

TEST_F(RankQueueTest, TargetMissed_ExpiredAndNotTaken) {
  Offer("urgent");
  now_ += absl::Seconds(2);
  EXPECT_FALSE(queue_.Take(now_).has_value());
  const auto refusals = queue_.Expire(now_);
  ASSERT_EQ(refusals.size(), 1);
  EXPECT_EQ(refusals[0].cause, RefusalCause::kOverload);
  EXPECT_THAT(queue_.Expire(now_), IsEmpty());
}

TEST_F(RankQueueTest, DeadlinePassed_ExpiredWithDeadlineCause) {
  QueuedRequest request = Request("can-wait");
  request.deadline = now_ + absl::Seconds(1);
  EXPECT_FALSE(queue_.Offer(request, now_).has_value());
  EXPECT_THAT(queue_.Expire(now_ + absl::Seconds(0.9)), IsEmpty());
  const auto refusals = queue_.Expire(now_ + absl::Seconds(1));
  ASSERT_EQ(refusals.size(), 1);
  EXPECT_EQ(refusals[0].cause, RefusalCause::kDeadline);
  request.id = next_id_++;
  EXPECT_EQ(queue_.Offer(request, now_ + absl::Seconds(1))->cause,
            RefusalCause::kDeadline);
}

TEST_F(RankQueueTest, RequestPutBack_TakenNextAndNotCharged) {
  Offer("urgent", "ward-1");
  Offer("urgent", "ward-1");
  Offer("urgent", "ward-2");
  const auto first = queue_.Take(now_);
  queue_.PutBack(*first);
  EXPECT_EQ(queue_.waiting(), 3);
  EXPECT_EQ(queue_.waiting_tokens("urgent"), 3 * kCost);
  EXPECT_EQ(queue_.Take(now_), first);
  EXPECT_EQ(queue_.Take(now_)->caller, "ward-2");
}

TEST_F(RankQueueTest, HigherRankHasLongBacklog_RefusedThoughOwnRankIsEmpty) {
  LearnRate();
  while (!Offer("middling").has_value()) {
  }
  queue_.SetRanks({{"middling", 1, absl::Seconds(5), 0},
                   {"can-wait", 2, absl::Seconds(1), 0}});
  EXPECT_TRUE(Offer("can-wait").has_value());
}

TEST_F(RankQueueTest, RequestRemoved_NotTaken) {
  Offer("urgent");
  Offer("urgent");
  EXPECT_TRUE(queue_.Remove(1));
  EXPECT_FALSE(queue_.Remove(1));
  EXPECT_EQ(queue_.Take(now_)->id, 2);
}

TEST_F(RankQueueTest, RanksReplaced_WaitingRequestsKeptAndNewTargetApplies) {
  Offer("urgent");
  Offer("can-wait");
  queue_.SetRanks({{"can-wait", 0, absl::Seconds(1), 0}});
  EXPECT_EQ(queue_.waiting(), 2);
  const auto refusals = queue_.Expire(now_ + absl::Seconds(1));
  ASSERT_EQ(refusals.size(), 1);
  EXPECT_EQ(refusals[0].id, 2);
  EXPECT_EQ(TakeRank(), "urgent");
}

TEST_F(RankQueueTest, FewIdleSlots_ReservedForRecentHigherRank) {
  LearnRate();
  for (int i = 0; i < 20; ++i) {
    now_ += absl::Milliseconds(50);
    Offer("urgent");
    queue_.Take(now_);
  }
  Offer("can-wait");
  EXPECT_FALSE(queue_.Take(now_, {1, 1, 100}).has_value());
  EXPECT_TRUE(queue_.Take(now_, {20, 20, 100}).has_value());
  Offer("urgent");
  EXPECT_TRUE(queue_.Take(now_, {1, 1, 100}).has_value());
}

TEST_F(RankQueueTest, SlotsReserved_RouterBelowEqualShareTakesIdleSlot) {
  LearnRate();
  for (int i = 0; i < 20; ++i) {
    now_ += absl::Milliseconds(50);
    Offer("urgent");
    queue_.Take(now_);
  }
  Offer("can-wait");
  SlotCounts slots{
      .claimable = 1, .idle = 1, .total = 100, .in_flight = 40, .routers = 3};
  EXPECT_FALSE(queue_.Take(now_, slots).has_value());
  slots.in_flight = 5;
  EXPECT_TRUE(queue_.Take(now_, slots).has_value());
}

TEST_F(RankQueueTest, HighestRankWithoutIdleSlot_TakesClaimableSlotAfterWait) {
  Offer("urgent");
  SlotCounts slots{.claimable = 1, .idle = 0, .total = 100};
  EXPECT_FALSE(queue_.Take(now_, slots).has_value());
  now_ += absl::Milliseconds(60);
  EXPECT_TRUE(queue_.Take(now_, slots).has_value());
}

TEST_F(RankQueueTest, HighestRankWithIdleSlotNotClaimable_TakesIt) {
  Offer("urgent");
  EXPECT_TRUE(queue_.Take(now_, {.idle = 1, .total = 100}).has_value());
}

TEST_F(RankQueueTest, RandomOperations_EachRequestLeavesQueueOnce) {
  RankQueueOptions options = Options();
  options.max_waiting = 40;
  options.ranks[1].floor = 0.2;
  queue_ = RankQueue(options);
  std::mt19937_64 random(11);
  std::set<uint64_t> waiting;
  auto expect_leaves = [&](uint64_t id) {
    EXPECT_EQ(waiting.erase(id), 1) << id;
  };
  for (int step = 0; step < 50'000; ++step) {
    now_ += absl::Milliseconds(random() % 20);
    QueuedRequest request = Request(options.ranks[random() % 3].name,
                                    "ward-" + std::to_string(random() % 5));
    request.member = "member-" + std::to_string(random() % 3);
    request.cost_tokens = static_cast<int64_t>(random() % 900);
    request.deadline = now_ + absl::Milliseconds(random() % 8000);
    if (!queue_.Offer(request, now_).has_value()) {
      waiting.insert(request.id);
    }
    auto taken = random() % 2 == 0 ? queue_.Take(now_) : std::nullopt;
    if (taken.has_value() && random() % 10 == 0) {
      queue_.PutBack(*taken);
    } else if (taken.has_value()) {
      expect_leaves(taken->id);
      queue_.OnRequestFinished(taken->cost_tokens, now_);
    }
    if (random() % 20 == 0 && !waiting.empty() &&
        queue_.Remove(*waiting.begin())) {
      waiting.erase(waiting.begin());
    }
    for (const Refusal& refusal : queue_.Expire(now_)) {
      expect_leaves(refusal.id);
    }
    if (random() % 500 == 0) {
      options.ranks[random() % 3].target = absl::Seconds(1 + random() % 9);
      queue_.SetRanks(options.ranks);
    }
    ASSERT_EQ(queue_.waiting(), waiting.size());
  }
}

}  // namespace
}  // namespace hawthornhollow
