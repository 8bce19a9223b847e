// Prompts with one part that crashes each backend server which begins an answer
// on it. Their requests come at two routers, no two alike.

#include <csignal>
#include <thread>

#include "testing/entry_fixture.h"

namespace hawthornhollow {
namespace {

using standins::ReplicaStandin;

// The users' bounds: once this many servers have crashed and this time has
// passed, at most kMaxLaterRequests of such requests reach servers.
constexpr int kFreeCrashes = 5;
constexpr absl::Duration kContactTime = absl::Seconds(3);
constexpr int kMaxLaterRequests = 3;

using CrashPoint = ReplicaStandin::CrashPoint;

class DeadlyPromptTest : public EntryFixture,
                         public testing::WithParamInterface<CrashPoint> {
 protected:
  static constexpr int kServers = 8;
  // A server that has crashed is back after this time.
  static constexpr absl::Duration kDown = absl::Milliseconds(400);

  void SetUp() override {
    while (replicas_.size() < kServers) {
      replicas_.push_back(std::make_unique<ReplicaStandin>(
          absl::StrCat("i-", replicas_.size())));
    }
    for (auto& replica : replicas_)
      replica->SetFaults({.deadly_part = "dead", .crash_point = GetParam()});
    EntryFixture::SetUp();
    StartReady(/*prepaid=*/100'000'000);
    StartSecond(store_server_->local());
    AwaitStatusAtSecond(200);
    // Both have read each other's records by then.
    absl::SleepFor(absl::Seconds(1));
    supervisor_ = std::thread([this] { Supervise(); });
  }

  void TearDown() override {
    stop_ = true;
    supervisor_.join();
    EntryFixture::TearDown();
  }

  // Takes each server that has crashed away with all its connections, and
  // brings it back at its address.
  void Supervise() {
    std::vector<int> seen(kServers, 0);
    std::vector<absl::Time> back_at(kServers, absl::InfiniteFuture());
    std::vector<Endpoint> addresses;
    for (const auto& server : replica_servers_)
      addresses.push_back(server->local());
    for (; !stop_; absl::SleepFor(absl::Milliseconds(1))) {
      for (int i = 0; i < kServers; ++i) {
        const int crashes = replicas_[i]->crashes();
        if (std::exchange(seen[i], crashes) != crashes && ends_processes_) {
          replica_servers_[i].reset();
          back_at[i] = absl::Now() + kDown;
        }
        if (absl::Now() < back_at[i])
          continue;
        replica_servers_[i] = Listen(replicas_[i]->Handler(), addresses[i]);
        back_at[i] = absl::InfiniteFuture();
      }
    }
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

  // Whether callers may have got an event of a stream that then broke off.
  static bool MayCutStreams() {
    return GetParam() == CrashPoint::kAfterFirstEvent;
  }

  // Sends such a request and a sound one with the same first part, in turn.
  // Returns the share of sound ones that were served.
  double SendBothFor(absl::Duration time) {
    int served = 0;
    int sent = 0;
    const absl::Time end = absl::Now() + time;
    while (absl::Now() < end) {
      const int status = StatusOfPrompt("first:80,dead:10");
      EXPECT_TRUE(status >= 500 || (status == 0 && MayCutStreams())) << status;
      ++sent;
      served += StatusOfPrompt("first:80,fine:10") == 200 ? 1 : 0;
      // So that the other router gets each of them next.
      NextId();
      absl::SleepFor(absl::Milliseconds(30));
    }
    return static_cast<double>(served) / sent;
  }

  std::atomic<bool> stop_{false};
  // Otherwise only the connection breaks off.
  std::atomic<bool> ends_processes_{true};
  std::thread supervisor_;
};

// review/2: servers that crashed before the head, or soon after the first
// event, went on crashing.
TEST_P(DeadlyPromptTest, PartThatCrashesServers_IsRefusedAfterFiveCrashes) {
  SendBothFor(kContactTime);
  EXPECT_GE(Crashes(), 1);
  const int before = Crashes();
  EXPECT_GT(SendBothFor(kContactTime), 0.9);
  EXPECT_LE(Crashes() - std::max(before, kFreeCrashes), kMaxLaterRequests);
}

TEST_P(DeadlyPromptTest, RoutersKilledAfterTheCrashes_StillRefuseThePart) {
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

INSTANTIATE_TEST_SUITE_P(CrashPoints,
                         DeadlyPromptTest,
                         testing::Values(CrashPoint::kBeforeHead,
                                         CrashPoint::kAfterHead,
                                         CrashPoint::kAfterFirstEvent),
                         [](const auto& info) {
                           switch (info.param) {
                             case CrashPoint::kBeforeHead:
                               return "BeforeHead";
                             case CrashPoint::kAfterHead:
                               return "AfterHead";
                             case CrashPoint::kAfterFirstEvent:
                               return "AfterFirstEvent";
                           }
                           return "";
                         });

class ResetConnectionsTest : public DeadlyPromptTest {};

// A server that resets connections, as one with too many does, has not crashed:
// its requests go on reaching servers.
TEST_P(ResetConnectionsTest, ServersThatLive_ShutNoPartOut) {
  ends_processes_ = false;
  SendBothFor(kContactTime);
  const int before = Crashes();
  EXPECT_GT(before, 0);
  SendBothFor(absl::Seconds(1));
  EXPECT_GT(Crashes() - before, kMaxLaterRequests);
}

INSTANTIATE_TEST_SUITE_P(Resets,
                         ResetConnectionsTest,
                         testing::Values(CrashPoint::kBeforeHead),
                         [](const auto&) { return "BeforeHead"; });

}  // namespace
}  // namespace hawthornhollow
