// A backend server in need that names how many requests a second it takes from
// all routers together.

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "testing/entry_fixture.h"

namespace hawthornhollow {
namespace {

using standins::ReplicaStandin;

// The users' bounds: from kContactTime after the first answer that states it,
// a limit of N a second allows 1.5 * N * kWindow + kSlack in each kWindow.
constexpr absl::Duration kContactTime = absl::Seconds(3);
constexpr absl::Duration kWindow = absl::Seconds(4);
constexpr double kSlackFactor = 1.5;
constexpr double kSlack = 5;

double MostAllowed(double per_second) {
  return kSlackFactor * per_second * absl::ToDoubleSeconds(kWindow) + kSlack;
}

// The most arrivals after `begin` in any span of kWindow.
int MostInWindow(const std::vector<absl::Time>& arrivals, absl::Time begin) {
  int most = 0;
  for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
    if (*first < begin)
      continue;
    const auto last = std::upper_bound(first, arrivals.end(), *first + kWindow);
    most = std::max(most, static_cast<int>(last - first));
  }
  return most;
}

class ServerLimitTest : public EntryFixture {
 protected:
  static constexpr int kMoreRouters = 3;

  void SetUp() override {
    EntryFixture::SetUp();
    StartReady();
    for (int i = 0; i < kMoreRouters; ++i)
      StartAnother(i);
    for (const Endpoint& router : more_callers_)
      AwaitService(router);
    // All have read one another's records by then.
    absl::SleepFor(absl::Seconds(1));
  }

  void TearDown() override {
    more_.clear();
    EntryFixture::TearDown();
  }

  void StartAnother(int number) {
    more_callers_.push_back({"127.0.0.1", FreePort()});
    more_peers_.push_back({"127.0.0.1", FreePort()});
    more_.push_back(nullptr);
    Restart(number);
  }

  void Restart(int number) {
    const std::string name = absl::StrCat("entry-", number + 2);
    const std::string file = absl::StrCat(folder_, "-", name, ".json");
    std::ofstream(file) << standins::EntrySettings(
        name, {.callers = more_callers_[number],
               .readiness = {"127.0.0.1", FreePort()},
               .peers = more_peers_[number],
               .store = store_server_->local()});
    auto process = ChildProcess::Start({ENTRY, "--settings", file},
                                       absl::StrCat(folder_, "-", name));
    ASSERT_TRUE(process.ok()) << process.status();
    more_[number] = *std::move(process);
  }

  absl::StatusOr<HttpResponse> SendTo(const Endpoint& router,
                                      const std::string& path) {
    return PlainHttp(router,
                     standins::MakeCallerRequest(
                         {.id = NextId(), .path = path, .key = "k1"}),
                     kWait);
  }

  void AwaitService(const Endpoint& router) {
    const absl::Time end = absl::Now() + kWait;
    while (absl::Now() < end) {
      const auto answer = SendTo(router, "/lookup/a");
      if (answer.ok() && answer->status == 200)
        return;
      absl::SleepFor(absl::Milliseconds(20));
    }
    FAIL() << "a router does not serve";
  }

  // Sends requests to all routers in turn, and returns their answers.
  std::vector<HttpResponse> SendFor(absl::Duration time) {
    std::vector<Endpoint> routers = more_callers_;
    routers.push_back(callers_);
    return SendTo(routers, time);
  }
  std::vector<HttpResponse> SendToLiving(absl::Duration time, int killed) {
    std::vector<Endpoint> routers = more_callers_;
    routers[killed] = callers_;
    return SendTo(routers, time);
  }
  std::vector<HttpResponse> SendTo(const std::vector<Endpoint>& routers,
                                   absl::Duration time) {
    std::vector<HttpResponse> answers;
    const absl::Time end = absl::Now() + time;
    for (size_t i = 0; absl::Now() < end; ++i) {
      auto answer = SendTo(routers[i % routers.size()], "/lookup/a");
      EXPECT_TRUE(answer.ok()) << answer.status();
      if (answer.ok())
        answers.push_back(*std::move(answer));
      absl::SleepFor(absl::Milliseconds(10));
    }
    return answers;
  }

  static int CountOf(const std::vector<HttpResponse>& answers, int status) {
    return static_cast<int>(std::count_if(answers.begin(), answers.end(),
                                          [status](const HttpResponse& answer) {
                                            return answer.status == status;
                                          }));
  }

  std::vector<Endpoint> more_callers_;
  std::vector<Endpoint> more_peers_;
  std::vector<std::unique_ptr<ChildProcess>> more_;
};

TEST_F(ServerLimitTest, ServerThatNamesALimit_GetsNoMoreFromAllRouters) {
  constexpr double kLimit = 1;
  replicas_[0]->SetFaults({.stated_limit = "1"});
  const absl::Time named = absl::Now();
  const std::vector<HttpResponse> answers =
      SendFor(kContactTime + kWindow + absl::Seconds(1));
  EXPECT_LE(MostInWindow(replicas_[0]->arrivals(), named + kContactTime),
            MostAllowed(kLimit));
  // The other server takes the rest.
  EXPECT_EQ(CountOf(answers, 200), static_cast<int>(answers.size()));
}

TEST_F(ServerLimitTest, AllServersName_RequestsAreRefusedAtOnceAndNotRun) {
  for (auto& replica : replicas_)
    replica->SetFaults({.stated_limit = "1"});
  SendFor(kContactTime);
  const absl::Time begin = absl::Now();
  const size_t runs = static_cast<size_t>(RunsOfAll());
  const std::vector<HttpResponse> answers = SendFor(kWindow);
  for (const auto& replica : replicas_)
    EXPECT_LE(MostInWindow(replica->arrivals(), begin), MostAllowed(1));
  EXPECT_GT(CountOf(answers, 503), 0);
  EXPECT_GT(CountOf(answers, 200), 0);
  EXPECT_EQ(static_cast<size_t>(RunsOfAll()) - runs,
            static_cast<size_t>(CountOf(answers, 200)));
  // None waited: a request and its pause take 10 ms or little more.
  EXPECT_GT(answers.size(), 150U);
  for (const HttpResponse& answer : answers) {
    if (answer.status != 503)
      continue;
    EXPECT_THAT(answer.body, testing::HasSubstr("servers_limited"));
    EXPECT_GT(std::stod(std::string(answer.Header("Retry-After"))), 0);
  }
}

TEST_F(ServerLimitTest, LimitThatEnds_ServerIsUsedAgain) {
  replicas_[0]->SetFaults({.stated_limit = "2"});
  SendFor(kContactTime);
  replicas_[0]->SetFaults({});
  SendFor(absl::Seconds(2));
  const size_t before = replicas_[0]->arrivals().size();
  const std::vector<HttpResponse> answers = SendFor(absl::Seconds(2));
  EXPECT_GT(replicas_[0]->arrivals().size() - before, answers.size() / 4);
}

// One of them is the router that the others ask.
TEST_F(ServerLimitTest, RoutersKilledInTurn_LimitHolds) {
  replicas_[0]->SetFaults({.stated_limit = "1"});
  SendFor(kContactTime);
  const absl::Time begin = absl::Now();
  for (int i = 0; i < kMoreRouters; ++i) {
    ASSERT_TRUE(more_[i]->Signal(SIGKILL).ok());
    ASSERT_TRUE(more_[i]->Wait(kWait).ok());
    SendToLiving(absl::Seconds(1), i);
    Restart(i);
    AwaitService(more_callers_[i]);
    SendFor(absl::Seconds(1));
  }
  EXPECT_LE(MostInWindow(replicas_[0]->arrivals(), begin), MostAllowed(1));
}

TEST_F(ServerLimitTest, LimitThatCannotBeRead_ChangesNothing) {
  replicas_[0]->SetFaults({.stated_limit = "nan"});
  SendFor(absl::Seconds(1));
  const size_t before = replicas_[0]->arrivals().size();
  const std::vector<HttpResponse> answers = SendFor(absl::Seconds(1));
  EXPECT_EQ(CountOf(answers, 200), static_cast<int>(answers.size()));
  EXPECT_GT(replicas_[0]->arrivals().size() - before, answers.size() / 4);
}

}  // namespace
}  // namespace hawthornhollow
