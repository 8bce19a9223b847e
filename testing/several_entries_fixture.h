#ifndef TESTING_SEVERAL_ENTRIES_FIXTURE_H_
#define TESTING_SEVERAL_ENTRIES_FIXTURE_H_

// Runs several routers of the entry VMs as processes before the same stand-ins,
// for what they agree on together. Callers use all of them in turn.

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "testing/entry_fixture.h"

namespace hawthornhollow {

class SeveralEntriesFixture : public EntryFixture {
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

}  // namespace hawthornhollow

#endif  // TESTING_SEVERAL_ENTRIES_FIXTURE_H_
