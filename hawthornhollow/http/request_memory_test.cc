#include "hawthornhollow/http/request_memory.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

namespace hawthornhollow {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;
using Id = RequestMemory::Id;

// Small numbers: tiny up to 10, small up to 100; of 1,000 in all 900 for small
// and larger ones, 700 for large ones and 500 for those of one client.
constexpr RequestMemoryOptions kOptions = {
    .total_bytes = 1'000,
    .largest_request_bytes = 400,
    .tiny_bytes = 10,
    .small_bytes = 100,
    .small_share = 0.9,
    .large_share = 0.7,
    .client_share = 0.5,
    .stall_time = absl::Milliseconds(500),
    .stall_bytes = 20,
    .max_wait = absl::Seconds(1)};

class RequestMemoryTest : public testing::Test {
 protected:
  Id Begin(const std::string& client = "a") {
    return memory_.Begin(client, now_);
  }
  Id Holding(size_t bytes, const std::string& client = "a") {
    const Id id = Begin(client);
    EXPECT_TRUE(memory_.Resize(id, bytes, now_)) << bytes;
    return id;
  }
  Id WaitingFor(size_t bytes, const std::string& client = "a") {
    const Id id = Begin(client);
    EXPECT_FALSE(memory_.Resize(id, bytes, now_)) << bytes;
    return id;
  }
  Id Complete(Id id) {
    memory_.Complete(id);
    return id;
  }
  RequestMemory::Decisions After(absl::Duration time) {
    now_ += time;
    return memory_.Decide(now_);
  }

  absl::Time now_ = absl::UnixEpoch();
  RequestMemory memory_{kOptions};
};

// Guards against a sum of bodies beyond the memory, and against large requests
// that leave nothing for others.
TEST_F(RequestMemoryTest, Request_BySizeAndWhatIsHeld_IsHeldOrWaits) {
  struct Held {
    std::string client;
    size_t bytes;
  };
  struct Case {
    std::string what;
    std::vector<Held> held;
    Held wanted;
    bool is_granted;
  };
  const std::vector<Held> full_of_large = {
      {"a", 400}, {"b", 300}, {"c", 100}, {"c", 100}};
  const Case cases[] = {
      {"the largest alone", {}, {"a", 400}, true},
      {"one client's second", {{"a", 400}}, {"a", 101}, false},
      {"another client's", {{"a", 400}}, {"b", 300}, true},
      {"beyond the large ones' part", {{"a", 400}}, {"b", 301}, false},
      {"small beside large ones", {{"a", 400}, {"b", 300}}, {"a", 100}, true},
      {"small beyond its part", full_of_large, {"d", 100}, false},
      {"tiny when the rest is full", full_of_large, {"a", 10}, true},
      {"nothing", full_of_large, {"a", 0}, true}};
  for (const Case& each : cases) {
    RequestMemory memory(kOptions);
    for (const Held& held : each.held) {
      ASSERT_TRUE(
          memory.Resize(memory.Begin(held.client, now_), held.bytes, now_))
          << each.what;
    }
    EXPECT_EQ(memory.Resize(memory.Begin(each.wanted.client, now_),
                            each.wanted.bytes, now_),
              each.is_granted)
        << each.what;
  }
}

TEST_F(RequestMemoryTest, RequestThatGrows_ReplacesWhatItHeld) {
  const Id id = Holding(90);
  EXPECT_TRUE(memory_.Resize(id, 400, now_));
  EXPECT_EQ(memory_.used_bytes(), 400u);
  EXPECT_TRUE(memory_.Resize(id, 5, now_));
  EXPECT_EQ(memory_.used_bytes(), 5u);
  memory_.End(id);
  EXPECT_EQ(memory_.used_bytes(), 0u);
}

// Guards against a body that keeps its memory while others wait for it.
TEST_F(RequestMemoryTest, StalledRequest_OthersWait_GivesWayAfterTheStallTime) {
  const Id stalled = Holding(400, "a");
  Holding(300, "b");
  const Id waiting = WaitingFor(300, "c");
  EXPECT_EQ(After(absl::Milliseconds(499)), RequestMemory::Decisions());
  EXPECT_THAT(After(absl::Milliseconds(1)).evicted, ElementsAre(stalled));
  // It waits until the memory is free.
  EXPECT_EQ(After(absl::ZeroDuration()), RequestMemory::Decisions());
  memory_.End(stalled);
  EXPECT_THAT(After(absl::ZeroDuration()).granted, ElementsAre(waiting));
}

TEST_F(RequestMemoryTest, StalledRequest_NobodyWaits_IsServed) {
  Holding(400);
  EXPECT_EQ(After(absl::Minutes(1)), RequestMemory::Decisions());
}

// Guards against one that sends a byte now and then.
TEST_F(RequestMemoryTest, RequestThatArrivesSlowly_OthersWait_CountsAsStalled) {
  const Id slow = Holding(400, "a");
  const Id steady = Holding(300, "b");
  WaitingFor(300, "c");
  for (int i = 0; i < 4; ++i) {
    now_ += absl::Milliseconds(100);
    memory_.OnArrived(slow, 1, now_);
    memory_.OnArrived(steady, 20, now_);
  }
  EXPECT_THAT(After(absl::Milliseconds(100)).evicted, ElementsAre(slow));
}

// A request that may run is not told that it has not.
TEST_F(RequestMemoryTest, CompleteRequest_NeverGivesWay) {
  Complete(Holding(400, "a"));
  Complete(Holding(300, "b"));
  const Id waiting = WaitingFor(101, "c");
  EXPECT_EQ(After(absl::Milliseconds(900)), RequestMemory::Decisions());
  const RequestMemory::Decisions decisions = After(absl::Milliseconds(100));
  EXPECT_THAT(decisions.evicted, IsEmpty());
  EXPECT_THAT(decisions.refused, ElementsAre(waiting));
}

// Guards against evictions that help nobody.
TEST_F(RequestMemoryTest, StalledOnesDoNotSuffice_NobodyGivesWay) {
  Complete(Holding(400, "a"));
  Holding(101, "b");
  WaitingFor(400, "c");
  EXPECT_THAT(After(absl::Milliseconds(500)).evicted, IsEmpty());
}

TEST_F(RequestMemoryTest, WaitingRequests_RoomForOne_TheSmallestIsGranted) {
  const Id first = Complete(Holding(400, "a"));
  Complete(Holding(300, "b"));
  const Id large = WaitingFor(400, "c");
  const Id smaller = WaitingFor(200, "d");
  memory_.End(first);
  EXPECT_THAT(After(absl::ZeroDuration()).granted, ElementsAre(smaller));
  Complete(smaller);
  EXPECT_THAT(After(absl::Seconds(1)).refused, ElementsAre(large));
}

// Guards against bodies that grow and wait for each other: the largest is
// refused, and the others get its room.
TEST_F(RequestMemoryTest,
       GrowingRequestsWaitForEachOther_OnlyTheLargestIsRefused) {
  const Id first = Holding(310, "a");
  const Id second = Holding(350, "b");
  EXPECT_FALSE(memory_.Resize(first, 380, now_));
  EXPECT_FALSE(memory_.Resize(second, 400, now_));
  EXPECT_THAT(After(absl::Seconds(1)).refused, ElementsAre(second));
  memory_.End(second);
  EXPECT_THAT(After(absl::ZeroDuration()).granted, ElementsAre(first));
}

TEST_F(RequestMemoryTest, WaitingSmallerOne_IsNotOvertaken) {
  Complete(Holding(400, "a"));
  const Id other = Complete(Holding(200, "b"));
  const Id waiting = WaitingFor(200, "c");
  memory_.End(other);
  EXPECT_FALSE(memory_.Resize(Begin("d"), 210, now_));
  EXPECT_THAT(After(absl::ZeroDuration()).granted, ElementsAre(waiting));
}

// Random clients against a reference that keeps each request's size in a plain
// list and adds up the sums anew for each check.
class RequestMemoryRandomTest : public testing::TestWithParam<uint32_t> {
 protected:
  struct Known {
    std::string client;
    size_t held = 0;
    size_t wanted = 0;
    bool is_waiting = false;
    bool is_complete = false;
    absl::Time progress_at;
    absl::Time waits_since;
  };

  int Draw(int below) {
    return std::uniform_int_distribution<int>(0, below - 1)(random_);
  }

  void CheckSums() {
    size_t total = 0;
    size_t not_tiny = 0;
    size_t large = 0;
    std::map<std::string, size_t> of_client;
    for (const auto& [id, known] : known_) {
      total += known.held;
      not_tiny += known.held > 10 ? known.held : 0;
      large += known.held > 100 ? known.held : 0;
      of_client[known.client] += known.held > 100 ? known.held : 0;
    }
    ASSERT_EQ(total, memory_.used_bytes());
    ASSERT_LE(total, 1'000u);
    ASSERT_LE(not_tiny, 900u);
    ASSERT_LE(large, 700u);
    for (const auto& [client, bytes] : of_client)
      ASSERT_LE(bytes, 500u);
  }

  void Decide() {
    const RequestMemory::Decisions decisions = memory_.Decide(now_);
    for (const Id id : decisions.granted) {
      Known& known = known_.at(id);
      ASSERT_TRUE(known.is_waiting);
      known.is_waiting = false;
      known.held = known.wanted;
      known.progress_at = now_;
    }
    for (const Id id : decisions.evicted) {
      const Known& known = known_.at(id);
      ASSERT_FALSE(known.is_waiting || known.is_complete);
      ASSERT_GE(now_ - known.progress_at, kOptions.stall_time);
      End(id);
    }
    for (const Id id : decisions.refused) {
      ASSERT_TRUE(known_.at(id).is_waiting);
      ASSERT_GE(now_ - known_.at(id).waits_since, kOptions.max_wait);
      End(id);
    }
  }

  void End(Id id) {
    memory_.End(id);
    known_.erase(id);
  }

  void Act() {
    if (known_.empty() || Draw(4) == 0) {
      const std::string client(1, static_cast<char>('a' + Draw(5)));
      const Id id = memory_.Begin(client, now_);
      known_[id] = {.client = client, .progress_at = now_};
      return;
    }
    const auto chosen = std::next(known_.begin(), Draw(std::ssize(known_)));
    Known& known = chosen->second;
    const int action = Draw(8);
    if (action == 0) {
      End(chosen->first);
    } else if (!known.is_waiting && action == 1) {
      memory_.Complete(chosen->first);
      known.is_complete = true;
    } else if (!known.is_waiting && action < 4) {
      memory_.OnArrived(chosen->first, 20, now_);
      known.progress_at = now_;
    } else if (!known.is_waiting) {
      constexpr int kSizes[] = {0, 5, 10, 50, 100, 150, 300, 400};
      const size_t wanted = static_cast<size_t>(kSizes[Draw(8)]);
      known.is_waiting = !memory_.Resize(chosen->first, wanted, now_);
      known.wanted = wanted;
      known.waits_since = now_;
      if (!known.is_waiting)
        known.held = wanted;
    }
  }

  std::mt19937 random_{GetParam()};
  absl::Time now_ = absl::UnixEpoch();
  RequestMemory memory_{kOptions};
  std::map<Id, Known> known_;
};

// Guards against sums that drift, and against requests that wait for ever.
TEST_P(RequestMemoryRandomTest, AnyOrderOfCalls_KeepsTheBoundsAndEndsAllWaits) {
  constexpr int kSteps = 3'000;
  for (int step = 0; step < kSteps; ++step) {
    now_ += absl::Milliseconds(Draw(60));
    Act();
    Decide();
    // What has ended in the last decisions makes room.
    Decide();
    CheckSums();
    if (HasFatalFailure())
      return;
    // A request that gives way ends at once here, so a grant follows at once.
    constexpr absl::Duration kLongestStep = absl::Milliseconds(60);
    for (const auto& [id, known] : known_) {
      if (known.is_waiting) {
        ASSERT_LE(now_ - known.waits_since, kOptions.max_wait + kLongestStep);
      }
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         RequestMemoryRandomTest,
                         testing::Range(1u, 41u));

}  // namespace
}  // namespace hawthornhollow
