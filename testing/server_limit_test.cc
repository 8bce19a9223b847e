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
    const std::string name = absl::StrCat("entry-", number + 2);
    const std::string file = absl::StrCat(folder_, "-", name, ".json");
    std::ofstream(file) << standins::EntrySettings(
        name, {.callers = more_callers_.back(),
               .readiness = {"127.0.0.1", FreePort()},
               .peers = {"127.0.0.1", FreePort()},
               .store = store_server_->local()});
    auto process = ChildProcess::Start({ENTRY, "--settings", file},
                                       absl::StrCat(folder_, "-", name));
    ASSERT_TRUE(process.ok()) << process.status();
    more_.push_back(*std::move(process));
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

}  // namespace
}  // namespace hawthornhollow
