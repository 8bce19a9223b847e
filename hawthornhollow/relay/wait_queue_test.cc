#include "hawthornhollow/relay/wait_queue.h"

#include <gtest/gtest.h>

#include <future>
#include <vector>

#include "hawthornhollow/runtime/runtime.h"

namespace hawthornhollow {
namespace {

TEST(WaitQueueTest,
     RequestsOfDifferentUrgencies_AreOrderedByUrgencyThenArrival) {
  WaitQueue queue;
  const auto second = queue.Enqueue(1, 200);
  const auto last = queue.Enqueue(2, 1'000);
  const auto third = queue.Enqueue(1, 50);
  const auto first = queue.Enqueue(0, 30);
  EXPECT_EQ(queue.TokensAhead(first), 0);
  EXPECT_EQ(queue.TokensAhead(second), 30);
  EXPECT_EQ(queue.TokensAhead(third), 230);
  EXPECT_EQ(queue.TokensAhead(last), 280);
  EXPECT_EQ(queue.TokensAhead(WaitQueue::NewArrival(0)), 30);
  EXPECT_EQ(queue.TokensAhead(WaitQueue::NewArrival(1)), 280);
  queue.Remove(second);
  EXPECT_EQ(queue.TokensAhead(last), 80);
}

TEST(WaitQueueTest, RequestBehindOthers_TakesOnlySurplusTokens) {
  WaitQueue queue;
  queue.Enqueue(0, 1'000);
  const auto behind = queue.Enqueue(1, 300);
  EXPECT_FALSE(queue.MayReserve(behind, 300, 1'299));
  EXPECT_TRUE(queue.MayReserve(behind, 300, 1'300));
  EXPECT_TRUE(queue.MayReserve(WaitQueue::NewArrival(0), 10, 1'010));
}

// Guards against starvation in the first seconds of an outage: tokens become
// available in small amounts while a large urgent request waits and small ones
// of low urgency keep arriving.
TEST(WaitQueueTest, TokensInSmallAmounts_ReachTheLargeUrgentRequest) {
  constexpr int64_t kLarge = 17'000;
  constexpr int64_t kSmall = 1'500;
  constexpr int64_t kAmount = 1'000;
  constexpr int kAmounts = 100;
  const auto amounts_until_large_is_served = [&](bool in_queue) {
    WaitQueue queue;
    const auto large = queue.Enqueue(0, kLarge);
    int64_t available = 0;
    for (int amount = 1; amount <= kAmounts; ++amount) {
      available += kAmount;
      const bool small_may =
          !in_queue ||
          queue.MayReserve(WaitQueue::NewArrival(2), kSmall, available);
      if (small_may && available >= kSmall)
        available -= kSmall;
      if (queue.MayReserve(large, kLarge, available) && available >= kLarge)
        return amount;
    }
    return kAmounts + 1;
  };
  EXPECT_EQ(amounts_until_large_is_served(true), kLarge / kAmount);
  EXPECT_GT(amounts_until_large_is_served(false), kAmounts);
}

TEST(WaitQueueTest, RemovalOfTheFirst_WakesOnlyTheNext) {
  auto runtime = Runtime::Create({.threads = 1});
  ASSERT_TRUE(runtime.ok()) << runtime.status();
  WaitQueue queue;
  std::vector<int64_t> woken;
  std::promise<void> ended;
  (*runtime)->Spawn([&] {
    const auto first = queue.Enqueue(0, 10);
    for (const int64_t urgency : {2, 1}) {
      (*runtime)->Spawn([&, urgency] {
        const auto position = queue.Enqueue(urgency, 10);
        queue.WaitUntilFirst(position, absl::Seconds(5));
        EXPECT_TRUE(queue.IsFirst(position));
        woken.push_back(urgency);
        queue.Remove(position);
        if (urgency == 2)
          ended.set_value();
      });
    }
    hawthornhollow::SleepFor(absl::Milliseconds(20));
    EXPECT_TRUE(woken.empty());
    queue.Remove(first);
  });
  ended.get_future().wait();
  EXPECT_EQ(woken, (std::vector<int64_t>{1, 2}));
}

}  // namespace
}  // namespace hawthornhollow
