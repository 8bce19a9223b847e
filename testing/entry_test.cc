// The program of the entry VMs as a process, before stand-ins of the users'
// platform.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <thread>

#include "testing/entry_fixture.h"

namespace hawthornhollow {
namespace {

using standins::ReplicaStandin;
using testing::HasSubstr;

class EntryTest : public EntryFixture {};

TEST_F(EntryTest, SettingsThatCannotBeRead_AreToldByFieldAndStartNothing) {
  const std::string file = folder_ + ".json";
  std::ofstream(file) << R"({"node":"entry-1","zone":"z",
      "listen":{"front":"127.0.0.1"},"platform":{"address":"127.0.0.1:1"}})";
  for (const char* option : {"--check", "--metrics-port=0"}) {
    auto process = ChildProcess::Start({ENTRY, "--settings", file, option},
                                       folder_ + ".err");
    ASSERT_TRUE(process.ok()) << process.status();
    const auto exit = (*process)->Wait(kWait);
    ASSERT_TRUE(exit.ok()) << exit.status();
    EXPECT_EQ(*exit, 1);
  }
  std::ifstream errors(folder_ + ".err");
  std::string line;
  ASSERT_TRUE(std::getline(errors, line));
  EXPECT_THAT(line, HasSubstr("listen"));
  EXPECT_THAT(line, HasSubstr("front"));
}

TEST_F(EntryTest, EntryWithoutConfiguration_IsNotReadyAndAnswers503) {
  StartEntry();
  const absl::Time end = absl::Now() + kWait;
  while (Readiness() == 0 && absl::Now() < end)
    absl::SleepFor(absl::Milliseconds(20));
  EXPECT_EQ(Readiness(), 503);
  const auto response = Send("/stream/a");
  ASSERT_TRUE(response.ok()) << response.status();
  EXPECT_EQ(response->status, 503);
  EXPECT_NE(response->Header("Retry-After"), "");
  PutConfiguration(1'000'000);
  PutServers();
  AwaitReady();
}

TEST_F(EntryTest, CalmTraffic_IsAnsweredWholeAndRunOnce) {
  StartReady();
  for (int i = 0; i < 40; ++i) {
    const auto stream = Send("/stream/a");
    ASSERT_TRUE(stream.ok()) << stream.status();
    EXPECT_EQ(stream->status, 200) << stream->body;
    EXPECT_EQ(stream->body, ReplicaStandin::WholeStream());
    EXPECT_THAT(stream->Header("Replica-Seal"), HasSubstr("i-"));
    const auto order = Send("/order/a");
    ASSERT_TRUE(order.ok()) << order.status();
    EXPECT_EQ(order->body, absl::StrCat("done id-", ids_));
  }
  EXPECT_EQ(MostRunsOfOne(), 1);
}

TEST_F(EntryTest, UnknownKeyOrRoute_IsRefusedAndNothingRuns) {
  StartReady();
  EXPECT_EQ(StatusOf("/stream/a", "k2"), 401);
  EXPECT_EQ(StatusOf("/nowhere/a"), 404);
  EXPECT_EQ(MostRunsOfOne(), 0);
}

TEST_F(EntryTest, TotalOfFiveRequests_ServesFiveAndThenAnswers402) {
  StartReady(5 * kUsedTokens + kMaxOutputTokens);
  int served = 0;
  for (int i = 0; i < 8; ++i)
    served += StatusOf("/stream/a") == 200 ? 1 : 0;
  EXPECT_EQ(served, 5);
  EXPECT_EQ(StatusOf("/stream/a"), 402);
  // Work without tokens goes on, and a top-up is in force within seconds.
  EXPECT_EQ(StatusOf("/order/a"), 200);
  PutConfiguration(20 * kUsedTokens, 2);
  absl::SleepFor(absl::Milliseconds(900));
  EXPECT_EQ(StatusOf("/stream/a"), 200);
}

TEST_F(EntryTest, KilledEntry_DoesNotSpendItsTotalAgain) {
  StartReady(5 * kUsedTokens + kMaxOutputTokens);
  int served = 0;
  for (int i = 0; i < 3; ++i)
    served += StatusOf("/stream/a") == 200 ? 1 : 0;
  ASSERT_TRUE(entry_->Signal(SIGKILL).ok());
  ASSERT_TRUE(entry_->Wait(kWait).ok());
  StartEntry();
  AwaitReady();
  for (int i = 0; i < 8; ++i)
    served += StatusOf("/stream/a") == 200 ? 1 : 0;
  EXPECT_LE(served, 5);
  EXPECT_GE(served, 4);
}

TEST_F(EntryTest, StreamThatBreaksOff_GoesOnAtAnotherServer) {
  StartReady();
  for (auto& replica : replicas_)
    replica->SetFaults({.break_after_events = 6});
  const auto stream = Send("/stream/a");
  ASSERT_TRUE(stream.ok()) << stream.status();
  EXPECT_EQ(stream->body, ReplicaStandin::WholeStream());
}

TEST_F(EntryTest, LostAnswerOfAnOrder_Is502AndNotRunAgain) {
  StartReady();
  for (auto& replica : replicas_)
    replica->SetFaults({.lose_answers = true});
  EXPECT_EQ(StatusOf("/order/a"), 502);
  EXPECT_EQ(MostRunsOfOne(), 1);
  EXPECT_EQ(StatusOf("/lookup/a"), 502);
  EXPECT_EQ(MostRunsOfOne(), 2);
}

TEST_F(EntryTest, FullServers_GiveA503ThatSaysWhenToComeBack) {
  StartReady();
  for (auto& replica : replicas_)
    replica->SetFaults({.refuse = true});
  const auto response = Send("/order/a");
  ASSERT_TRUE(response.ok()) << response.status();
  EXPECT_EQ(response->status, 503);
  EXPECT_NE(response->Header("Retry-After"), "");
  EXPECT_EQ(MostRunsOfOne(), 0);
}

TEST_F(EntryTest, ErrorAnswerAndThenARefusal_PassesOnTheErrorAnswer) {
  StartReady();
  replicas_[0]->SetFaults({.fail = true});
  replicas_[1]->SetFaults({.refuse = true});
  for (int i = 0; i < 3; ++i)
    EXPECT_EQ(StatusOf("/lookup/a"), 500);
}

TEST_F(EntryTest, NobodyReadsTheLog_RequestsAreServedAllTheSame) {
  // The process's standard output is a pipe that this test does not read.
  StartReady();
  constexpr int kFillsThePipeTwice = 600;
  int served = 0;
  for (int i = 0; i < kFillsThePipeTwice; ++i)
    served += StatusOf("/order/a") == 200 ? 1 : 0;
  EXPECT_EQ(served, kFillsThePipeTwice);
}

TEST_F(EntryTest, ServedAndRefusedRequests_AreCountedOnTheMetricsPage) {
  metrics_port_ = FreePort();
  StartReady();
  EXPECT_EQ(StatusOf("/stream/a"), 200);
  EXPECT_EQ(StatusOf("/stream/a", "k2"), 401);
  for (const Endpoint& address :
       {peers_, Endpoint{"127.0.0.1", metrics_port_}}) {
    const auto page = PlainHttp(address, {.target = "/metrics"}, kWait);
    ASSERT_TRUE(page.ok()) << page.status();
    for (const char* line :
         {"requests_total{route=\"s\",priority=\"0\",outcome=\"answered\"} 1\n",
          "outcome=\"unknown_key\"} 1\n", "config_version 1\n", "servers 2\n",
          "requests_in_progress 0\n", "caller_connections 0\n",
          "server_connections_total{result=\"made\"} 1\n",
          "store_calls_total{call=\"put\",of=\"levels\",result=\"OK\"}"})
      EXPECT_THAT(page->body, HasSubstr(line));
  }
}

TEST_F(EntryTest, RequestsReadAfterTheirClientsLeft_AreNotSentOn) {
  StartReady();
  EXPECT_EQ(StatusOf("/order/a"), 200);
  PauseEntry();
  for (int i = 0; i < 10; ++i) {
    EXPECT_FALSE(Send("/order/a", "k1", absl::Milliseconds(50)).ok());
    EXPECT_FALSE(Send("/stream/a", "k1", absl::Milliseconds(50)).ok());
  }
  ASSERT_TRUE(entry_->Signal(SIGCONT).ok());
  EXPECT_EQ(StatusOf("/order/a"), 200);
  absl::SleepFor(absl::Milliseconds(500));
  EXPECT_EQ(RunsOfAll(), 2);
}

TEST_F(EntryTest, StoreOutage_DoesNotStopServing) {
  StartReady();
  for (int i = 0; i < 5; ++i)
    EXPECT_EQ(StatusOf("/stream/a"), 200);
  store_.SetOutage(true);
  absl::SleepFor(absl::Milliseconds(1500));
  for (int i = 0; i < 3; ++i)
    EXPECT_EQ(StatusOf("/stream/a"), 200);
}

// The process ended at its start.
TEST_F(EntryTest, MetricsPortIsTaken_RouterServesAllTheSame) {
  const auto other = Listen(store_.Handler(), {"127.0.0.1", FreePort()});
  metrics_port_ = other->local().port;
  StartReady();
  EXPECT_EQ(StatusOf("/order/a"), 200);
}

// The process ended at its start.
TEST_F(EntryTest, PortIsTakenAtTheStart_RouterServesOnceItIsFree) {
  auto other = Listen(store_.Handler(), callers_);
  PutConfiguration(/*prepaid=*/1'000'000);
  PutServers();
  StartEntry();
  absl::SleepFor(absl::Seconds(1));
  other.reset();
  AwaitReady();
  EXPECT_EQ(StatusOf("/order/a"), 200);
}

TEST_F(EntryTest, HangupAsSoonAsItListens_DoesNotEndTheProcess) {
  PutConfiguration(1'000'000);
  PutServers();
  StartEntry();
  const absl::Time end = absl::Now() + kWait;
  while (Readiness() == 0 && absl::Now() < end) {
  }
  ASSERT_TRUE(entry_->Signal(SIGHUP).ok());
  AwaitReady();
}

TEST_F(EntryTest, HangupsUntilTheEnd_LeaveTheExitAsItIs) {
  StartReady();
  ASSERT_TRUE(entry_->Signal(SIGTERM).ok());
  absl::StatusOr<int> exit = absl::DeadlineExceededError("runs");
  const absl::Time end = absl::Now() + kWait;
  while (!exit.ok() && absl::Now() < end) {
    entry_->Signal(SIGHUP).IgnoreError();
    exit = entry_->Wait(absl::Microseconds(100));
  }
  ASSERT_TRUE(exit.ok()) << exit.status();
  EXPECT_EQ(*exit, 0);
}

TEST_F(EntryTest, SigtermDuringAStream_FinishesItAndExits) {
  StartReady();
  for (auto& replica : replicas_)
    replica->SetEventPause(absl::Milliseconds(300));
  absl::StatusOr<HttpResponse> stream;
  std::thread caller([&] { stream = Send("/stream/a"); });
  absl::SleepFor(absl::Milliseconds(500));
  ASSERT_TRUE(entry_->Signal(SIGHUP).ok());
  ASSERT_TRUE(entry_->Signal(SIGTERM).ok());
  absl::SleepFor(absl::Milliseconds(200));
  EXPECT_EQ(Readiness(), 503);
  // New connections are served until the balancer has noticed.
  EXPECT_EQ(StatusOf("/order/a"), 200);
  caller.join();
  ASSERT_TRUE(stream.ok()) << stream.status();
  EXPECT_EQ(stream->body, ReplicaStandin::WholeStream());
  const auto exit = entry_->Wait(kWait);
  ASSERT_TRUE(exit.ok()) << exit.status();
  EXPECT_EQ(*exit, 0);
}

// Load: a workspace's large requests come to one VM whose link is narrow. Its
// callers are sent to other routers before the link is full, and are welcome
// again afterwards. One request is enough for that, so that the load does not
// depend on how fast this test sends: 2 MB, received and sent on, leave the
// link busy for 4.4 s, which is more than the route's time-out (3 s) and
// Readiness()'s (1 s) together.
TEST_F(EntryTest, LinkNearlyFull_CallersAreSentElsewhereUntilItIsFree) {
  constexpr size_t kOrdinaryBytes = 20'000;  // 0.32 of a second's capacity
  constexpr size_t kLargeBytes = 2'000'000;  // 32 times a second's capacity
  link_mbps_ = 1;
  StartReady();
  const auto ordinary = SendBody("/lookup/a", kOrdinaryBytes);
  ASSERT_TRUE(ordinary.ok()) << ordinary.status();
  EXPECT_EQ(ordinary->status, 200);
  EXPECT_EQ(ordinary->Header("Connection"), "");
  const auto large = SendBody("/lookup/a", kLargeBytes);
  ASSERT_TRUE(large.ok()) << large.status();
  EXPECT_EQ(large->status, 200);
  EXPECT_EQ(large->Header("Connection"), "close");
  EXPECT_EQ(Readiness(), 503);
  AwaitReady();
  const auto afterwards = Send("/lookup/a");
  ASSERT_TRUE(afterwards.ok()) << afterwards.status();
  EXPECT_EQ(afterwards->Header("Connection"), "");
}

// Load: requests of a few bytes, whose heads are nearly all that the link
// carries. One of them is 27 times what this link carries in a second.
TEST_F(EntryTest, LinkFullOfSmallRequests_CallersAreSentElsewhere) {
  link_mbps_ = 0.0003;
  StartReady();
  const auto response = Send("/lookup/a");
  ASSERT_TRUE(response.ok()) << response.status();
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(response->Header("Connection"), "close");
  EXPECT_EQ(Readiness(), 503);
}

}  // namespace
}  // namespace hawthornhollow
