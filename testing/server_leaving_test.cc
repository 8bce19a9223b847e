// A backend server that says in its answers that it leaves, while its entry in
// the store says something else, or cannot be read.

#include "absl/strings/str_cat.h"
#include "testing/entry_fixture.h"

namespace hawthornhollow {
namespace {

class ServerLeavingTest : public EntryFixture {
 protected:
  // Longer than routers need to read the store.
  static constexpr absl::Duration kRead = absl::Seconds(2);

  void SetUp() override {
    EntryFixture::SetUp();
    StartReady(/*prepaid=*/100'000'000);
  }

  void PutFirst(int64_t sequence, int64_t born_ms = 0) {
    standins::PutServer(store_, "i-0", replica_servers_[0]->local(), sequence,
                        born_ms);
  }

  size_t ArrivalsAtFirst() const { return replicas_[0]->arrivals().size(); }

  // The first server says so, and the router has passed on such an answer.
  void AwaitWord() {
    replicas_[0]->SetFaults({.says_leaving = true});
    const size_t before = ArrivalsAtFirst();
    const absl::Time end = absl::Now() + kWait;
    while (ArrivalsAtFirst() == before && absl::Now() < end)
      EXPECT_EQ(StatusOf("/order/a"), 200);
    EXPECT_EQ(ArrivalsAtFirst(), before + 1);
  }

  // Sends all kinds of requests for this long; all are served. Returns how many
  // reached the first server.
  size_t ArrivalsIn(absl::Duration time) {
    const size_t before = ArrivalsAtFirst();
    const absl::Time end = absl::Now() + time;
    while (absl::Now() < end) {
      for (const char* path : {"/order/a", "/lookup/a", "/stream/a"})
        EXPECT_EQ(StatusOf(path), 200);
    }
    return ArrivalsAtFirst() - before;
  }
};

// review/5: a leaving server got orders until it exited, and lost them.
TEST_F(ServerLeavingTest, StoreIsAway_LeavingServerGetsNothingMore) {
  store_.SetOutage(true);
  AwaitWord();
  EXPECT_EQ(ArrivalsIn(kRead), 0);
  // Its entry has lapsed meanwhile, or it is there as it was.
  store_.SetOutage(false);
  EXPECT_EQ(ArrivalsIn(kRead), 0);
}

TEST_F(ServerLeavingTest, EntryStillSaysReady_LeavingServerGetsNothingMore) {
  AwaitWord();
  for (int64_t sequence = 2; sequence < 5; ++sequence) {
    PutFirst(sequence);
    EXPECT_EQ(ArrivalsIn(absl::Milliseconds(700)), 0);
  }
  standins::DropServer(store_, "i-0");
  EXPECT_EQ(ArrivalsIn(absl::Milliseconds(700)), 0);
  PutFirst(/*sequence=*/5);
  EXPECT_EQ(ArrivalsIn(kRead), 0);
}

TEST_F(ServerLeavingTest, NewStartUnderTheSameId_IsUsed) {
  AwaitWord();
  replicas_[0]->SetFaults({});
  PutFirst(/*sequence=*/1, /*born_ms=*/1);
  EXPECT_GT(ArrivalsIn(kRead), 0);
}

// A stream that breaks off goes on elsewhere, and a refused one is tried there.
TEST_F(ServerLeavingTest, RetriesAndResumedStreams_GoToOtherServers) {
  AwaitWord();
  replicas_[1]->SetFaults({.break_after_events = 3});
  for (int i = 0; i < 10; ++i)
    StatusOf("/stream/a");
  replicas_[1]->SetFaults({.refuse = true});
  for (int i = 0; i < 10; ++i)
    EXPECT_EQ(StatusOf("/lookup/a"), 503);
  replicas_[1]->SetFaults({});
  EXPECT_EQ(ArrivalsIn(absl::Milliseconds(500)), 0);
}

TEST_F(ServerLeavingTest, AllServersLeave_RequestsAreRefusedAtOnce) {
  replicas_[1]->SetFaults({.says_leaving = true});
  AwaitWord();
  const absl::Time end = absl::Now() + kWait;
  while (StatusOf("/order/a") == 200 && absl::Now() < end) {
  }
  const absl::Time begin = absl::Now();
  EXPECT_EQ(StatusOf("/order/a"), 503);
  EXPECT_LT(absl::Now() - begin, absl::Seconds(1));
  const int runs = RunsOfAll();
  EXPECT_EQ(StatusOf("/lookup/a"), 503);
  EXPECT_EQ(RunsOfAll(), runs);
  replicas_[0]->SetFaults({});
  PutFirst(/*sequence=*/1, /*born_ms=*/7);
  absl::SleepFor(kRead);
  EXPECT_EQ(StatusOf("/order/a"), 200);
}

}  // namespace
}  // namespace hawthornhollow
