// Routers that place requests by the load that all of them cause.

#include <future>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "testing/entry_fixture.h"

namespace hawthornhollow {
namespace {

constexpr int64_t kSlots = 3;
constexpr int64_t kMemoryTokens = 100'000;
// Routers notice one another within it, and coordinators are settled.
constexpr absl::Duration kSettleTime = absl::Seconds(3);
// A busy machine must not make coordinators look silent.
constexpr int64_t kAskMs = 500;
// Between two events of a stream, so that all requests of a test are in
// progress at once.
constexpr absl::Duration kEventPause = absl::Milliseconds(200);

class LoadCoordinationTest : public EntryFixture {
 protected:
  static constexpr int kRouters = 3;

  void SetUp() override {
    EntryFixture::SetUp();
    standins::PutConfiguration(
        store_, {.tokens_per_event = kTokensPerEvent,
                 .memory_tokens = kMemoryTokens,
                 .workspaces = {
                     {.name = "ward-7", .key = "k1", .prepaid = 10'000'000}}});
    for (size_t i = 0; i < replicas_.size(); ++i) {
      standins::PutServer(store_, absl::StrCat("i-", i),
                          replica_servers_[i]->local(), /*sequence=*/1,
                          /*born_ms=*/0, {.slots = kSlots});
    }
    for (int i = 0; i < kRouters; ++i) {
      routers_.push_back({.callers = {"127.0.0.1", FreePort()},
                          .readiness = {"127.0.0.1", FreePort()},
                          .peers = {"127.0.0.1", FreePort()},
                          .store = store_server_->local(),
                          .load_ask_ms = kAskMs});
      processes_.push_back(nullptr);
      Start(i);
    }
    for (int i = 0; i < kRouters; ++i)
      AwaitAnswer(i);
    absl::SleepFor(kSettleTime);
  }

  void TearDown() override {
    processes_.clear();
    EntryFixture::TearDown();
  }

  std::string FileOf(int router) const {
    return absl::StrCat(folder_, "-", router);
  }

  void Start(int router) {
    const std::string settings = FileOf(router) + ".json";
    std::ofstream(settings) << standins::EntrySettings(
        absl::StrCat("entry-", router), routers_[router]);
    auto process =
        ChildProcess::Start({ENTRY, "--settings", settings},
                            FileOf(router) + ".err", FileOf(router) + ".out");
    ASSERT_TRUE(process.ok()) << process.status();
    processes_[router] = *std::move(process);
  }

  absl::StatusOr<HttpResponse> SendTo(int router, const std::string& part) {
    return PlainHttp(
        routers_[router].callers,
        standins::MakeCallerRequest({.id = NextId(),
                                     .path = "/stream/a",
                                     .key = "k1",
                                     .prompt_tokens = kPromptTokens,
                                     .output_tokens = kMaxOutputTokens,
                                     .prompt_parts = part + ":80,bb:20"}),
        kWait);
  }

  void AwaitAnswer(int router) {
    const absl::Time end = absl::Now() + kWait;
    while (absl::Now() < end) {
      const auto answer = SendTo(router, "aa");
      if (answer.ok() && answer->status == 200)
        return;
      absl::SleepFor(absl::Milliseconds(20));
    }
    FAIL() << "a router does not serve: " << LogOf(router);
  }

  std::string LogOf(int router) const {
    std::ifstream log(FileOf(router) + ".out");
    return {std::istreambuf_iterator<char>(log), {}};
  }
  // Lines of the routers' logs that contain both.
  int CountLines(const std::string& event, const std::string& field) const {
    int count = 0;
    for (int i = 0; i < kRouters; ++i) {
      std::istringstream log(LogOf(i));
      for (std::string line; std::getline(log, line);) {
        if (absl::StrContains(line, "event=" + event + " ") &&
            absl::StrContains(line, field))
          ++count;
      }
    }
    return count;
  }

  // Requests that are in progress at the same time, sent to the routers in
  // turn. They share a part, so that a router alone prefers one server for all.
  std::vector<HttpResponse> SendAtOnce(int count) {
    std::vector<std::future<absl::StatusOr<HttpResponse>>> sent;
    for (int i = 0; i < count; ++i) {
      const std::string id = NextId();
      sent.push_back(std::async(std::launch::async, [this, i, id] {
        return PlainHttp(
            routers_[i % kRouters].callers,
            standins::MakeCallerRequest({.id = id,
                                         .path = "/stream/a",
                                         .key = "k1",
                                         .prompt_tokens = kPromptTokens,
                                         .output_tokens = kMaxOutputTokens,
                                         .prompt_parts = "aa:80,bb:20"}),
            kWait);
      }));
      // Each is placed before the next one comes.
      absl::SleepFor(absl::Milliseconds(60));
    }
    std::vector<HttpResponse> answers;
    for (auto& answer : sent) {
      auto response = answer.get();
      EXPECT_TRUE(response.ok()) << response.status();
      if (response.ok())
        answers.push_back(*std::move(response));
    }
    return answers;
  }

  std::vector<size_t> Arrivals() const {
    std::vector<size_t> arrivals;
    for (const auto& replica : replicas_)
      arrivals.push_back(replica->arrivals().size());
    return arrivals;
  }

  std::vector<standins::EntryAddresses> routers_;
  std::vector<std::unique_ptr<ChildProcess>> processes_;
};

// Guards against a server that gets more than it has slots from several routers
// while another one has free slots.
TEST_F(LoadCoordinationTest, ServerIsFull_AllRoutersUseTheOther) {
  for (auto& replica : replicas_)
    replica->SetEventPause(kEventPause);
  const std::vector<size_t> before = Arrivals();
  const std::vector<HttpResponse> answers =
      SendAtOnce(static_cast<int>(replicas_.size()) * kSlots);
  for (const HttpResponse& answer : answers)
    EXPECT_EQ(answer.status, 200) << answer.body;
  const std::vector<size_t> after = Arrivals();
  for (size_t i = 0; i < replicas_.size(); ++i)
    EXPECT_EQ(after[i] - before[i], static_cast<size_t>(kSlots)) << i;
  EXPECT_GT(CountLines("request.placed", "by=coordinator"), 0);
}

TEST_F(LoadCoordinationTest, AllServersAreFull_RefusedWithRetryAfterAndNotRun) {
  for (auto& replica : replicas_)
    replica->SetEventPause(kEventPause);
  const int runs = RunsOfAll();
  constexpr int kMore = 2;
  const int slots = static_cast<int>(replicas_.size()) * kSlots;
  int refused = 0;
  for (const HttpResponse& answer : SendAtOnce(slots + kMore)) {
    if (answer.status == 200)
      continue;
    ++refused;
    EXPECT_EQ(answer.status, 503);
    EXPECT_THAT(answer.body, testing::HasSubstr("servers_full"));
    EXPECT_GT(std::stod(std::string(answer.Header("Retry-After"))), 0);
  }
  EXPECT_EQ(refused, kMore);
  EXPECT_EQ(RunsOfAll() - runs, slots);
  // They have ended, so there is room again.
  absl::SleepFor(absl::Milliseconds(200));
  const auto answer = SendTo(0, "aa");
  ASSERT_TRUE(answer.ok()) << answer.status();
  EXPECT_EQ(answer->status, 200) << answer->body;
}

// A coordinator that is killed must cost requests neither an answer nor a
// second run; the next one takes over.
TEST_F(LoadCoordinationTest, RoutersKilledInTurn_OthersGoOn) {
  for (int killed = 0; killed < kRouters; ++killed) {
    ASSERT_TRUE(processes_[killed]->Signal(SIGKILL).ok());
    ASSERT_TRUE(processes_[killed]->Wait(kWait).ok());
    const absl::Time end = absl::Now() + kSettleTime;
    for (int i = 0; absl::Now() < end; ++i) {
      const int router = (killed + 1 + i % (kRouters - 1)) % kRouters;
      const auto answer = SendTo(router, absl::StrCat("part-", i % 7));
      ASSERT_TRUE(answer.ok()) << answer.status();
      EXPECT_EQ(answer->status, 200) << answer->body;
      absl::SleepFor(absl::Milliseconds(20));
    }
    Start(killed);
    AwaitAnswer(killed);
    absl::SleepFor(kSettleTime);
  }
  EXPECT_EQ(MostRunsOfOne(), 1);
  const int before = CountLines("request.placed", "by=coordinator");
  for (int router = 0; router < kRouters; ++router) {
    const auto answer = SendTo(router, "aa");
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(answer->status, 200);
  }
  // Lines are written by a thread of their own.
  absl::SleepFor(absl::Milliseconds(200));
  EXPECT_EQ(CountLines("request.placed", "by=coordinator") - before, kRouters);
}

// Nothing in the store says that a router was killed, so the others must find
// out.
TEST_F(LoadCoordinationTest, RouterKilledForGood_OthersCoordinateItsServers) {
  ASSERT_TRUE(processes_[0]->Signal(SIGKILL).ok());
  ASSERT_TRUE(processes_[0]->Wait(kWait).ok());
  constexpr int kParts = 7;
  const auto send = [&](int number) {
    const auto answer = SendTo(1 + number % (kRouters - 1),
                               absl::StrCat("part-", number % kParts));
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(answer->status, 200) << answer->body;
  };
  const absl::Time end = absl::Now() + 3 * kSettleTime;
  for (int i = 0; absl::Now() < end; ++i) {
    send(i);
    absl::SleepFor(absl::Milliseconds(20));
  }
  absl::SleepFor(absl::Milliseconds(200));
  const int before = CountLines("request.placed", "by=coordinator");
  const int sent = (kRouters - 1) * kParts;
  for (int i = 0; i < sent; ++i)
    send(i);
  absl::SleepFor(absl::Milliseconds(200));
  EXPECT_EQ(CountLines("request.placed", "by=coordinator") - before, sent);
}

}  // namespace
}  // namespace hawthornhollow
