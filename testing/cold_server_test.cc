// Backend servers that are cold: for a while they take only so many requests a
// second from all routers together.

#include <algorithm>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "testing/several_entries_fixture.h"

namespace hawthornhollow {
namespace {

constexpr double kRate = 2;
constexpr absl::Duration kColdTime = absl::Seconds(4);
constexpr absl::Duration kLong = absl::Seconds(60);
// Until what an answer says is known to all routers, on a busy machine.
constexpr absl::Duration kTellTime = absl::Seconds(1);
// The users' bound for any second.
constexpr double kMostInASecond = 1.5 * kRate + 5;

// The most arrivals after `begin` within any second.
int MostInASecond(const std::vector<absl::Time>& arrivals, absl::Time begin) {
  int most = 0;
  for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
    if (*first < begin)
      continue;
    const auto last =
        std::upper_bound(first, arrivals.end(), *first + absl::Seconds(1));
    most = std::max(most, static_cast<int>(last - first));
  }
  return most;
}

class ColdServerTest : public SeveralEntriesFixture {
 protected:
  void SetUp() override {
    SeveralEntriesFixture::SetUp();
    SetRate(kRate);
    // Until each router has been up for a while and gives permits.
    SendFor(absl::Seconds(2));
  }

  void SetRate(double per_second) {
    standins::PutConfiguration(
        store_, {.version = ++version_,
                 .tokens_per_event = kTokensPerEvent,
                 .cold_per_second = per_second,
                 .cold_time = kColdTime,
                 .workspaces = {
                     {.name = "ward-7", .key = "k1", .prepaid = 1'000'000}}});
  }

  // The server starts anew, and is cold.
  void StartCold(size_t index, absl::Duration cold_for) {
    const std::string id = absl::StrCat("i-", index);
    standins::DropServer(store_, id);
    SendFor(absl::Seconds(1));
    standins::PutServer(store_, id, replica_servers_[index]->local(),
                        /*sequence=*/1, ++born_ms_, {.cold_for = cold_for});
  }
  void PutWarm(size_t index, int64_t sequence) {
    standins::PutServer(store_, absl::StrCat("i-", index),
                        replica_servers_[index]->local(), sequence, born_ms_);
  }

  int64_t version_ = 1;
  int64_t born_ms_ = 100;
};

TEST_F(ColdServerTest, ServerThatReturnsCold_GetsItsRateUntilItIsWarm) {
  StartCold(0, kColdTime);
  const absl::Time begin = absl::Now();
  const size_t before = replicas_[0]->arrivals().size();
  auto answers = SendFor(kColdTime - absl::Milliseconds(200));
  EXPECT_LE(MostInASecond(replicas_[0]->arrivals(), begin), kMostInASecond);
  EXPECT_GE(replicas_[0]->arrivals().size() - before, kRate * 2);
  // The other server takes the rest.
  EXPECT_EQ(CountOf(answers, 200), static_cast<int>(answers.size()));
  SendFor(absl::Seconds(1));
  const size_t warm = replicas_[0]->arrivals().size();
  answers = SendFor(absl::Seconds(1));
  EXPECT_GT(replicas_[0]->arrivals().size() - warm, answers.size() / 4);
}

TEST_F(ColdServerTest, AllServersCold_RequestsAreRefusedAtOnceAndNotRun) {
  for (size_t i = 0; i < replicas_.size(); ++i)
    StartCold(i, kLong);
  SendFor(kTellTime);
  const absl::Time begin = absl::Now();
  const int runs = RunsOfAll();
  const std::vector<HttpResponse> answers = SendFor(kColdTime);
  for (const auto& replica : replicas_)
    EXPECT_LE(MostInASecond(replica->arrivals(), begin), kMostInASecond);
  EXPECT_GT(CountOf(answers, 503), 0);
  EXPECT_GT(CountOf(answers, 200), 0);
  EXPECT_EQ(RunsOfAll() - runs, CountOf(answers, 200));
  for (const HttpResponse& answer : answers) {
    if (answer.status != 503)
      continue;
    EXPECT_THAT(answer.body, testing::HasSubstr("servers_limited"));
    EXPECT_GT(std::stod(std::string(answer.Header("Retry-After"))), 0);
  }
}

// An entry that was written before the server started anew is read after its
// answer, and says that it is warm.
TEST_F(ColdServerTest, AnswerSaysSo_HoldsWhateverAnOlderEntrySays) {
  replicas_[0]->SetFaults({.cold_until = absl::Now() + kLong});
  SendFor(absl::Milliseconds(300));
  PutWarm(0, /*sequence=*/2);
  SendFor(kTellTime - absl::Milliseconds(300));
  const absl::Time begin = absl::Now();
  SendFor(kColdTime);
  EXPECT_LE(MostInASecond(replicas_[0]->arrivals(), begin), kMostInASecond);
}

// Some of them are the routers that the others ask.
TEST_F(ColdServerTest, RoutersKilledInTurn_LimitHolds) {
  StartCold(0, kLong);
  const absl::Time begin = absl::Now();
  for (int i = 0; i < kMoreRouters; ++i) {
    ASSERT_TRUE(more_[i]->Signal(SIGKILL).ok());
    ASSERT_TRUE(more_[i]->Wait(kWait).ok());
    SendToLiving(absl::Seconds(1), i);
    Restart(i);
    AwaitService(more_callers_[i]);
    SendFor(absl::Seconds(1));
  }
  EXPECT_LE(MostInASecond(replicas_[0]->arrivals(), begin), kMostInASecond);
}

TEST_F(ColdServerTest, RoutersSuspendedInTurn_LimitHolds) {
  StartCold(0, kLong);
  const absl::Time begin = absl::Now();
  for (int i = 0; i < kMoreRouters; ++i) {
    ASSERT_TRUE(more_[i]->Signal(SIGSTOP).ok());
    SendToLiving(absl::Seconds(1), i);
    ASSERT_TRUE(more_[i]->Signal(SIGCONT).ok());
    SendFor(absl::Milliseconds(500));
  }
  EXPECT_LE(MostInASecond(replicas_[0]->arrivals(), begin), kMostInASecond);
}

TEST_F(ColdServerTest, StoreLost_LimitHoldsAndEnds) {
  StartCold(0, kColdTime);
  SendFor(absl::Milliseconds(500));
  const absl::Time begin = absl::Now();
  store_.SetOutage(true);
  SendFor(kColdTime - absl::Seconds(1));
  EXPECT_LE(MostInASecond(replicas_[0]->arrivals(), begin), kMostInASecond);
  SendFor(absl::Seconds(2));
  const size_t warm = replicas_[0]->arrivals().size();
  const auto answers = SendFor(absl::Seconds(1));
  EXPECT_GT(replicas_[0]->arrivals().size() - warm, answers.size() / 4);
}

// They start anew under their addresses, and their last entries, which say that
// they are warm, are still in the store.
TEST_F(ColdServerTest, ServersThatStartAnew_AreColdBeforeTheirEntriesSaySo) {
  std::vector<Endpoint> addresses;
  for (auto& server : replica_servers_) {
    addresses.push_back(server->local());
    server.reset();
  }
  SendFor(absl::Seconds(1));
  const absl::Time begin = absl::Now();
  const int runs = RunsOfAll();
  for (size_t i = 0; i < addresses.size(); ++i)
    replica_servers_[i] = Listen(replicas_[i]->Handler(), addresses[i]);
  SendFor(kColdTime - absl::Seconds(1));
  for (const auto& replica : replicas_)
    EXPECT_LE(MostInASecond(replica->arrivals(), begin), kMostInASecond);
  EXPECT_GT(RunsOfAll(), runs);
  for (size_t i = 0; i < addresses.size(); ++i)
    PutWarm(i, /*sequence=*/3);
  SendFor(absl::Seconds(1));
  const auto answers = SendFor(absl::Seconds(1));
  EXPECT_EQ(CountOf(answers, 200), static_cast<int>(answers.size()));
}

TEST_F(ColdServerTest, WordThatCannotBeRead_ChangesNothing) {
  replicas_[0]->SetFaults({.stated_cold = "long"});
  SendFor(absl::Seconds(1));
  const size_t before = replicas_[0]->arrivals().size();
  const std::vector<HttpResponse> answers = SendFor(absl::Seconds(1));
  EXPECT_EQ(CountOf(answers, 200), static_cast<int>(answers.size()));
  EXPECT_GT(replicas_[0]->arrivals().size() - before, answers.size() / 4);
}

// Deployments without cold servers go on as before.
TEST_F(ColdServerTest, ServiceWithoutAColdRate_ServerIsUsedAtOnce) {
  SetRate(0);
  SendFor(absl::Seconds(1));
  replicas_[0]->SetFaults({.cold_until = absl::Now() + kLong});
  StartCold(0, kLong);
  SendFor(absl::Seconds(1));
  const size_t before = replicas_[0]->arrivals().size();
  const std::vector<HttpResponse> answers = SendFor(absl::Seconds(1));
  EXPECT_EQ(CountOf(answers, 200), static_cast<int>(answers.size()));
  EXPECT_GT(replicas_[0]->arrivals().size() - before, answers.size() / 4);
}

// Each router knows only those that wrote their records before it, and requests
// arrive from the first moment on.
class FirstStartTest : public SeveralEntriesFixture {
 protected:
  void SetUp() override {
    EntryFixture::SetUp();  // NOLINT(bugprone-parent-virtual-call)
    standins::PutConfiguration(
        store_, {.tokens_per_event = kTokensPerEvent,
                 .cold_per_second = kRate,
                 .cold_time = kColdTime,
                 .workspaces = {
                     {.name = "ward-7", .key = "k1", .prepaid = 1'000'000}}});
    for (size_t i = 0; i < replica_servers_.size(); ++i) {
      standins::PutServer(store_, absl::StrCat("i-", i),
                          replica_servers_[i]->local(), /*sequence=*/1,
                          /*born_ms=*/1, {.cold_for = kLong});
    }
  }
};

TEST_F(FirstStartTest, AllRoutersStartAtOnce_ColdServersGetTheirRate) {
  constexpr int kRouters = 8;
  for (int i = 0; i < kRouters; ++i)
    StartAnother(i);
  const absl::Time end = absl::Now() + absl::Seconds(6);
  for (int i = 0; absl::Now() < end; ++i) {
    SeveralEntriesFixture::SendTo(more_callers_[i % kRouters], "/lookup/a")
        .status()
        .IgnoreError();
    absl::SleepFor(absl::Milliseconds(5));
  }
  for (const auto& replica : replicas_) {
    EXPECT_LE(MostInASecond(replica->arrivals(), absl::InfinitePast()),
              kMostInASecond);
    EXPECT_FALSE(replica->arrivals().empty());
  }
}

}  // namespace
}  // namespace hawthornhollow
