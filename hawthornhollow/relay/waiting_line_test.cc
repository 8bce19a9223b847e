#include "hawthornhollow/relay/waiting_line.h"

#include <gtest/gtest.h>

#include <future>
#include <vector>

#include "hawthornhollow/runtime/runtime.h"

namespace hawthornhollow {
namespace {

TEST(WaitingLineTest, RequestsOfSomeUrgencies_GoByUrgencyAndThenByOrder) {
  WaitingLine line;
  const auto second = line.Join(1, 200);
  const auto last = line.Join(2, 1'000);
  const auto third = line.Join(1, 50);
  const auto first = line.Join(0, 30);
  EXPECT_EQ(line.Before(first), 0);
  EXPECT_EQ(line.Before(second), 30);
  EXPECT_EQ(line.Before(third), 230);
  EXPECT_EQ(line.Before(last), 280);
  EXPECT_EQ(line.Before(WaitingLine::Newcomer(0)), 30);
  EXPECT_EQ(line.Before(WaitingLine::Newcomer(1)), 280);
  line.Leave(second);
  EXPECT_EQ(line.Before(last), 80);
}

TEST(WaitingLineTest, RequestBehindOthers_TakesOnlyWhatTheyLeave) {
  WaitingLine line;
  line.Join(0, 1'000);
  const auto behind = line.Join(1, 300);
  EXPECT_FALSE(line.MayTake(behind, 300, 1'299));
  EXPECT_TRUE(line.MayTake(behind, 300, 1'300));
  EXPECT_TRUE(line.MayTake(WaitingLine::Newcomer(0), 10, 1'010));
}

// Guards against starvation in the first seconds of an outage: tokens become
// available in small amounts while a large urgent request waits and small ones
// of low urgency keep arriving.
TEST(WaitingLineTest, TokensThatComeInDrops_ReachTheLargeUrgentRequest) {
  constexpr int64_t kLarge = 17'000;
  constexpr int64_t kSmall = 1'500;
  constexpr int64_t kDrop = 1'000;
  constexpr int kDrops = 100;
  const auto drops_until_large_is_served = [&](bool in_line) {
    WaitingLine line;
    const auto large = line.Join(0, kLarge);
    int64_t available = 0;
    for (int drop = 1; drop <= kDrops; ++drop) {
      available += kDrop;
      const bool small_may =
          !in_line || line.MayTake(WaitingLine::Newcomer(2), kSmall, available);
      if (small_may && available >= kSmall)
        available -= kSmall;
      if (line.MayTake(large, kLarge, available) && available >= kLarge)
        return drop;
    }
    return kDrops + 1;
  };
  EXPECT_EQ(drops_until_large_is_served(true), kLarge / kDrop);
  EXPECT_GT(drops_until_large_is_served(false), kDrops);
}

TEST(WaitingLineTest, LeavingOfTheFirst_WakesTheNextAndNoOther) {
  auto runtime = Runtime::Create({.threads = 1});
  ASSERT_TRUE(runtime.ok()) << runtime.status();
  WaitingLine line;
  std::vector<int64_t> woken;
  std::promise<void> ended;
  (*runtime)->Spawn([&] {
    const auto first = line.Join(0, 10);
    for (const int64_t urgency : {2, 1}) {
      (*runtime)->Spawn([&, urgency] {
        const auto place = line.Join(urgency, 10);
        line.AwaitTurn(place, absl::Seconds(5));
        EXPECT_TRUE(line.IsFirst(place));
        woken.push_back(urgency);
        line.Leave(place);
        if (urgency == 2)
          ended.set_value();
      });
    }
    hawthornhollow::SleepFor(absl::Milliseconds(20));
    EXPECT_TRUE(woken.empty());
    line.Leave(first);
  });
  ended.get_future().wait();
  EXPECT_EQ(woken, (std::vector<int64_t>{1, 2}));
}

}  // namespace
}  // namespace hawthornhollow
