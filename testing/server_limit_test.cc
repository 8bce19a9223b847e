// A backend server in need that names how many requests a second it takes from
// all routers together.

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "testing/several_entries_fixture.h"

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

using ServerLimitTest = SeveralEntriesFixture;

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
