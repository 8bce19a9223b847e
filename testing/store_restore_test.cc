// The store comes back from an older copy: what it acknowledged since is gone,
// and its offsets are given out again.

#include <csignal>

#include "testing/entry_fixture.h"

namespace hawthornhollow {
namespace {

// The users' bound on when a change is in force.
constexpr absl::Duration kConfigApplyTime = absl::Seconds(2);

class StoreRestoreTest : public EntryFixture {
 protected:
  // A configuration in which these keys belong to the workspace.
  void PutKeys(int64_t version, const std::vector<std::string>& keys) {
    std::vector<standins::StandinWorkspace> workspaces;
    for (const std::string& key : keys)
      workspaces.push_back(
          {.name = "of-" + key, .key = key, .prepaid = kTotal});
    standins::PutConfiguration(store_, {.version = version,
                                        .tokens_per_event = kTokensPerEvent,
                                        .workspaces = workspaces});
  }

  // Until a request with the key is answered so, for `time` at most.
  int StatusWithin(const std::string& key, int status, absl::Duration time) {
    const absl::Time end = absl::Now() + time;
    while (StatusOf("/order/a", key) != status && absl::Now() < end)
      absl::SleepFor(absl::Milliseconds(20));
    return StatusOf("/order/a", key);
  }

  void StartWithKeys(const std::vector<std::string>& keys) {
    PutKeys(/*version=*/1, keys);
    PutServers();
    StartEntry();
    AwaitReady();
  }

  void RestartEntry() {
    ASSERT_TRUE(entry_->Signal(SIGKILL).ok());
    ASSERT_TRUE(entry_->Wait(kWait).ok());
    StartEntry();
    AwaitReady();
  }

  // Streams that are served, each for kUsedTokens.
  int SendStreams(int count) {
    int served = 0;
    for (int i = 0; i < count; ++i)
      served += StatusOf("/stream/a") == 200 ? 1 : 0;
    return served;
  }

  static constexpr int64_t kTotal = 14'000;
};

TEST_F(StoreRestoreTest, ChangeAfterARestore_IsInForceInTime) {
  StartWithKeys({"k1"});
  store_.TakeCopy();
  PutKeys(/*version=*/2, {"k1", "k2"});
  EXPECT_EQ(StatusWithin("k2", 200, kConfigApplyTime), 200);
  store_.Restore();
  absl::SleepFor(absl::Seconds(1));
  PutKeys(/*version=*/3, {"k1", "k3"});
  EXPECT_EQ(StatusWithin("k3", 200, kConfigApplyTime), 200);
  EXPECT_EQ(StatusOf("/order/a", "k2"), 401);
}

TEST_F(StoreRestoreTest, ChangeThatWasLost_StaysInForce) {
  StartWithKeys({"k1"});
  store_.TakeCopy();
  PutKeys(/*version=*/2, {"k1", "k2"});
  EXPECT_EQ(StatusWithin("k2", 200, kConfigApplyTime), 200);
  store_.Restore();
  const absl::Time end = absl::Now() + absl::Seconds(2);
  while (absl::Now() < end)
    EXPECT_EQ(StatusOf("/order/a", "k2"), 200);
  PutKeys(/*version=*/2, {"k1", "k2"});
  EXPECT_EQ(StatusOf("/order/a", "k2"), 200);
}

// It has no other router to ask.
TEST_F(StoreRestoreTest, ServerThatHadLeft_IsNotUsedAgain) {
  StartWithKeys({"k1"});
  store_.TakeCopy();
  standins::DropServer(store_, "i-0");
  absl::SleepFor(absl::Seconds(1));
  const size_t runs = replicas_[0]->runs().size();
  store_.Restore();
  const absl::Time end = absl::Now() + absl::Seconds(3);
  while (absl::Now() < end)
    EXPECT_EQ(StatusOf("/order/a"), 200);
  EXPECT_EQ(replicas_[0]->runs().size(), runs);
}

TEST_F(StoreRestoreTest, TotalAfterARestore_IsUsedWhole) {
  StartReady(kTotal);
  SendStreams(20);
  store_.TakeCopy();
  int served = 20 + SendStreams(20);
  store_.Restore();
  absl::SleepFor(absl::Seconds(5));
  served += SendStreams(100);
  EXPECT_LE(served * kUsedTokens, kTotal);
  EXPECT_GE(served * kUsedTokens, kTotal * 9 / 10);
}

TEST_F(StoreRestoreTest, RouterKilledAfterARestore_DoesNotOverspend) {
  StartReady(kTotal);
  SendStreams(1);
  store_.TakeCopy();
  absl::SleepFor(absl::Seconds(1));
  int served = 1 + SendStreams(60);
  store_.Restore();
  RestartEntry();
  served += SendStreams(100);
  EXPECT_GE(served, 50);
  EXPECT_LE(served * kUsedTokens, kTotal);
}

TEST_F(StoreRestoreTest, RouterKilledDuringARestore_DoesNotOverspend) {
  StartReady(kTotal);
  SendStreams(1);
  store_.TakeCopy();
  absl::SleepFor(absl::Seconds(1));
  int served = 1 + SendStreams(60);
  store_.SetOutage(true);
  ASSERT_TRUE(entry_->Signal(SIGKILL).ok());
  ASSERT_TRUE(entry_->Wait(kWait).ok());
  store_.Restore();
  store_.SetOutage(false);
  StartEntry();
  AwaitReady();
  served += SendStreams(100);
  EXPECT_GE(served, 50);
  EXPECT_LE(served * kUsedTokens, kTotal);
}

}  // namespace
}  // namespace hawthornhollow
