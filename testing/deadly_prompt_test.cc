// Prompts with one part that crashes each backend server which begins an answer
// on it. Their requests come at two routers, no two alike.

#include <csignal>

#include "testing/entry_fixture.h"

namespace hawthornhollow {
namespace {

using standins::ReplicaStandin;

// The users' bounds: once this many servers have crashed and this time has
// passed, at most kMaxLaterRequests of such requests reach servers.
constexpr int kFreeCrashes = 5;
constexpr absl::Duration kContactTime = absl::Seconds(3);
constexpr int kMaxLaterRequests = 3;

class DeadlyPromptTest : public EntryFixture {
 protected:
  static constexpr int kServers = 8;

  void SetUp() override {
    while (replicas_.size() < kServers) {
      replicas_.push_back(std::make_unique<ReplicaStandin>(
          absl::StrCat("i-", replicas_.size())));
    }
    for (auto& replica : replicas_)
      replica->SetFaults({.deadly_part = "dead"});
    EntryFixture::SetUp();
    StartReady(/*prepaid=*/100'000'000);
    StartSecond(store_server_->local());
    AwaitStatusAtSecond(200);
    // Both have read each other's records by then.
    absl::SleepFor(absl::Seconds(1));
  }

  int Crashes() const {
    int sum = 0;
    for (const auto& replica : replicas_)
      sum += replica->crashes();
    return sum;
  }

  // Sends to both routers in turn.
  int StatusOfPrompt(const std::string& parts) {
    const std::string id = NextId();
    const auto response =
        PlainHttp(ids_ % 2 == 0 ? callers_ : second_callers_,
                  standins::MakeCallerRequest(
                      {.id = id,
                       .path = "/stream/a",
                       .key = "k1",
                       .prompt_tokens = kPromptTokens,
                       .output_tokens = kMaxOutputTokens,
                       .prompt_parts = absl::StrCat(parts, ",", id, ":10")}),
                  kWait);
    return response.ok() ? response->status : 0;
  }

  // Sends such a request and a sound one with the same first part, in turn.
  // Returns the share of sound ones that were served.
  double SendBothFor(absl::Duration time) {
    int served = 0;
    int sent = 0;
    const absl::Time end = absl::Now() + time;
    while (absl::Now() < end) {
      EXPECT_GE(StatusOfPrompt("first:80,dead:10"), 500);
      ++sent;
      served += StatusOfPrompt("first:80,fine:10") == 200 ? 1 : 0;
      // So that the other router gets each of them next.
      NextId();
      absl::SleepFor(absl::Milliseconds(30));
    }
    return static_cast<double>(served) / sent;
  }
};

TEST_F(DeadlyPromptTest, PartThatCrashesServers_IsRefusedAfterFiveCrashes) {
  SendBothFor(kContactTime);
  EXPECT_GE(Crashes(), 1);
  const int before = Crashes();
  EXPECT_GT(SendBothFor(kContactTime), 0.9);
  EXPECT_LE(Crashes() - std::max(before, kFreeCrashes), kMaxLaterRequests);
}

TEST_F(DeadlyPromptTest, RoutersKilledAfterTheCrashes_StillRefuseThePart) {
  SendBothFor(kContactTime);
  const int before = Crashes();
  for (auto* router : {entry_.get(), second_.get()}) {
    ASSERT_TRUE(router->Signal(SIGKILL).ok());
    ASSERT_TRUE(router->Wait(kWait).ok());
  }
  StartEntry();
  StartSecond(store_server_->local());
  AwaitReady();
  AwaitStatusAtSecond(200);
  EXPECT_GT(SendBothFor(kContactTime), 0.9);
  EXPECT_LE(Crashes() - std::max(before, kFreeCrashes), kMaxLaterRequests);
}

}  // namespace
}  // namespace hawthornhollow
