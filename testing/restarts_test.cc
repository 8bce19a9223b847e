// Side processes and routers that die, freeze, are replaced or shut down with
// work in flight.

#include <signal.h>

#include <atomic>
#include <boost/json.hpp>
#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "testing/fleet.h"
#include "testing/run_checks.h"

namespace hawthornhollow {
namespace {

using ::testing::ElementsAre;

constexpr absl::Duration kBillTimeout = absl::Seconds(12);
constexpr absl::Duration kExitTimeout = absl::Seconds(15);
constexpr int64_t kPromptTokens = 4;  // of the default text
constexpr int64_t kOrderTokens = 50;

class RestartsTest : public ::testing::Test {
 protected:
  void Start(FleetOptions options) {
    options.engine_flags.insert(options.engine_flags.end(),
                                {"--token-ms", "20"});
    auto fleet = Fleet::Start(options);
    ASSERT_TRUE(fleet.ok()) << fleet.status();
    fleet_ = std::move(*fleet);
  }
  void Kill(ChildProcess& process) {
    ASSERT_TRUE(process.Signal(SIGKILL).ok());
    ASSERT_TRUE(process.Wait(absl::Seconds(5)).ok());
  }
  void ExpectWhole(const absl::StatusOr<HttpResponse>& response,
                   int64_t tokens) {
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->status, 200) << response->body;
    EXPECT_EQ(ContentOf(*response), Tokens(tokens));
  }
  void ExpectUnknownEverywhere(const std::string& key) {
    for (size_t router : {0, 1, 2}) {
      auto again = fleet_->Order(router, key);
      ASSERT_TRUE(again.ok()) << again.status();
      EXPECT_NE(again->status, 200);
      EXPECT_EQ(RunStateOf(*again), "unknown") << again->body;
    }
  }
  std::string IncarnationOf(size_t router) {
    auto page = fleet_->Get(fleet_->router(router), "/status");
    if (!page.ok())
      return "";
    boost::system::error_code error;
    boost::json::value status = boost::json::parse(*page, error);
    return error ? "" : std::string(status.at("incarnation").as_string());
  }
  std::vector<FutureResponse> SendStreams(size_t router,
                                          const std::string& prefix,
                                          int count,
                                          int64_t tokens) {
    std::vector<FutureResponse> asked;
    for (int i = 0; i < count; ++i) {
      asked.push_back(SendChat(*fleet_, router,
                               {.text = absl::StrCat("permit number ", i),
                                .max_tokens = tokens,
                                .stream = true,
                                .key = absl::StrCat(prefix, i)}));
    }
    return asked;
  }

  std::unique_ptr<Fleet> fleet_;
};

TEST_F(RestartsTest, Sidecar_KilledMidRun_ItsSuccessorCancelsAndChatIsMoved) {
  FleetOptions options;
  options.engine_flags = {"--keep-on-disconnect"};
  Start(options);
  auto asked = SendChat(*fleet_, 0, {.max_tokens = 300, .key = "moved"});
  ASSERT_TRUE(WaitTokens(*fleet_, RequestOf("moved"), 10));
  size_t at = RunningNow(*fleet_, 0) > 0 ? 0 : 1;
  Kill(fleet_->sidecar_process(at));
  EXPECT_EQ(RunningNow(*fleet_, at), 1);
  ASSERT_TRUE(fleet_->StartSidecar(at).ok());
  EXPECT_TRUE(WaitFor(absl::Seconds(5), [&] {
    return Cancelled(*fleet_, at) == 1 && RunningNow(*fleet_, at) == 0;
  }));
  ExpectWhole(asked.get(), 300);
  ASSERT_TRUE(fleet_->WaitBills(RequestOf("moved"), 1, kBillTimeout));
  EXPECT_THAT(fleet_->BillsOf(RequestOf("moved")),
              ElementsAre(kPromptTokens + 300));
}

TEST_F(RestartsTest, Sidecar_KilledMidOrder_OutcomeStaysUnknownAndRunsOnce) {
  FleetOptions options;
  options.service_flags = {"--work-ms", "1500"};
  Start(options);
  size_t server = fleet_->engine_count();
  auto asked = SendOrder(*fleet_, 0, "kit");
  absl::SleepFor(absl::Milliseconds(500));
  Kill(fleet_->sidecar_process(server));
  ASSERT_TRUE(fleet_->StartSidecar(server).ok());
  auto first = asked.get();
  ASSERT_TRUE(first.ok()) << first.status();
  EXPECT_EQ(RunStateOf(*first), "unknown") << first->body;
  ExpectUnknownEverywhere("kit");
  ASSERT_TRUE(fleet_->WaitBills(RequestOf("kit"), 1, kBillTimeout));
  absl::SleepFor(absl::Seconds(1));
  ExpectUnknownEverywhere("kit");
  EXPECT_LE(OrderRuns(*fleet_, RequestOf("kit")), 1);
  EXPECT_THAT(fleet_->BillsOf(RequestOf("kit")), ElementsAre(kOrderTokens));
}

TEST_F(RestartsTest, Router_FrozenUntilSealed_RunsNothingLateAndServesAnew) {
  FleetOptions options;
  options.engines = 1;
  Start(options);
  std::string before = IncarnationOf(0);
  auto stream =
      SendChat(*fleet_, 0, {.max_tokens = 2000, .stream = true, .key = "mid"});
  ASSERT_TRUE(WaitTokens(*fleet_, RequestOf("mid"), 10));
  ASSERT_TRUE(fleet_->router_process(0).Signal(SIGSTOP).ok());
  std::vector<FutureResponse> late;
  for (int i = 0; i < 4; ++i)
    late.push_back(SendChat(*fleet_, 0,
                            {.max_tokens = 5, .key = absl::StrCat("late-", i)},
                            absl::Seconds(30)));
  late.push_back(SendOrder(*fleet_, 0, "late-order"));
  // Sealed and billed by the gate while its router is frozen.
  ASSERT_TRUE(fleet_->WaitBills(RequestOf("mid"), 1, absl::Seconds(15)));
  int64_t charged = fleet_->BillsOf(RequestOf("mid")).front();
  EXPECT_EQ(charged,
            kPromptTokens + CountsOf(*fleet_, RequestOf("mid")).tokens);
  absl::SleepFor(absl::Seconds(2));
  ASSERT_TRUE(fleet_->router_process(0).Signal(SIGCONT).ok());
  auto broken = stream.get();
  EXPECT_FALSE(broken.ok() && IsWholeStream(*broken));
  for (size_t i = 0; i < late.size(); ++i) {
    std::string request =
        RequestOf(i < 4 ? absl::StrCat("late-", i) : "late-order");
    auto response = late[i].get();
    int64_t runs =
        CountsOf(*fleet_, request).runs + OrderRuns(*fleet_, request);
    EXPECT_LE(runs, 1);
    ASSERT_TRUE(response.ok()) << request << response.status();
    std::string state = RunStateOf(*response);
    EXPECT_EQ(runs, response->status == 200 ? 1 : 0) << response->body;
    EXPECT_TRUE(response->status == 200 || state == "not_run" ||
                state == "unknown")
        << response->body;
  }
  ASSERT_TRUE(WaitFor(absl::Seconds(10), [&] {
    std::string now = IncarnationOf(0);
    return !now.empty() && now != before;
  }));
  ASSERT_TRUE(fleet_->WaitReady(0, absl::Seconds(10)).ok());
  ExpectWhole(fleet_->Chat(0, {.max_tokens = 8}), 8);
  EXPECT_THAT(fleet_->BillsOf(RequestOf("mid")), ElementsAre(charged));
}

TEST_F(RestartsTest, Sidecar_Terminated_FinishesItsStreamsAndGetsNoNewWork) {
  Start(FleetOptions());
  auto asked = SendStreams(0, "flight-", 8, 150);
  ASSERT_TRUE(
      WaitFor(absl::Seconds(5), [&] { return RunningNow(*fleet_, 0) > 0; }));
  ASSERT_TRUE(fleet_->sidecar_process(0).Signal(SIGTERM).ok());
  absl::SleepFor(absl::Seconds(2));
  int64_t runs = TotalRuns(*fleet_, 0);
  for (int i = 0; i < 20; ++i) {
    ExpectWhole(
        fleet_->Chat(static_cast<size_t>(i) % 3,
                     {.text = absl::StrCat("another ", i), .max_tokens = 3}),
        3);
  }
  EXPECT_EQ(TotalRuns(*fleet_, 0), runs);
  for (FutureResponse& one : asked)
    ExpectWhole(one.get(), 150);
  auto code = fleet_->sidecar_process(0).Wait(kExitTimeout);
  ASSERT_TRUE(code.ok()) << code.status();
  EXPECT_EQ(*code, 0);
  for (int i = 0; i < 8; ++i) {
    std::string request = RequestOf(absl::StrCat("flight-", i));
    EXPECT_THAT(fleet_->BillsOf(request).size(), 1U);
    EXPECT_EQ(CountsOf(*fleet_, request).runs, 1);
  }
}

TEST_F(RestartsTest, Router_Terminated_FinishesItsStreamsAndExits) {
  Start(FleetOptions());
  auto asked = SendStreams(0, "flight-", 8, 200);
  for (int i = 0; i < 8; ++i)
    ASSERT_TRUE(WaitTokens(*fleet_, RequestOf(absl::StrCat("flight-", i)), 1));
  ASSERT_TRUE(fleet_->router_process(0).Signal(SIGTERM).ok());
  for (FutureResponse& one : asked) {
    auto response = one.get();
    ExpectWhole(response, 200);
    EXPECT_TRUE(IsWholeStream(*response));
  }
  auto code = fleet_->router_process(0).Wait(kExitTimeout);
  ASSERT_TRUE(code.ok()) << code.status();
  EXPECT_EQ(*code, 0);
  for (int i = 0; i < 8; ++i) {
    std::string request = RequestOf(absl::StrCat("flight-", i));
    EXPECT_THAT(fleet_->BillsOf(request), ElementsAre(kPromptTokens + 200));
  }
}

// Sends requests one after another; one whose connection is refused goes to
// the next router, as behind a balancer.
class LightLoad {
 public:
  LightLoad(Fleet& fleet, size_t number)
      : fleet_(fleet), number_(number), thread_([this] { Run(); }) {}
  LightLoad(const LightLoad&) = delete;
  LightLoad& operator=(const LightLoad&) = delete;
  ~LightLoad() { Stop(); }

  void Stop() {
    stop_ = true;
    if (thread_.joinable())
      thread_.join();
  }
  // After Stop.
  int answered() const { return answered_; }
  const std::vector<std::string>& failures() const { return failures_; }

 private:
  void Run() {
    for (size_t i = 0; !stop_; ++i) {
      auto response = Ask(i, {.max_tokens = 5});
      if (response.ok() && response->status == 200)
        ++answered_;
      else if (response.ok())
        failures_.push_back(response->body);
      else
        failures_.push_back(response.status().ToString());
    }
  }
  // Goes on to another router if one cannot be reached, or is not ready yet, as
  // the page of error codes says.
  absl::StatusOr<HttpResponse> Ask(size_t i, const ChatOptions& chat) {
    absl::StatusOr<HttpResponse> response;
    for (size_t tries = 0; tries < 6; ++tries) {
      response = fleet_.Chat((i + number_ + tries) % 3, chat);
      if (!absl::IsUnavailable(response.status()) && !IsNotReady(response))
        return response;
    }
    return response;
  }
  static bool IsNotReady(const absl::StatusOr<HttpResponse>& response) {
    return response.ok() && response->status == 503 &&
           response->body.find("\"not_ready\"") != std::string::npos &&
           response->body.find("\"not_run\"") != std::string::npos;
  }

  Fleet& fleet_;
  const size_t number_;
  int answered_ = 0;
  std::vector<std::string> failures_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

TEST_F(RestartsTest, Routers_RestartedInTurnUnderLoad_EveryRequestIsAnswered) {
  Start(FleetOptions());
  std::vector<std::string> failures;
  int answered = 0;
  {
    std::vector<std::unique_ptr<LightLoad>> load;
    for (size_t i = 0; i < 3; ++i)
      load.push_back(std::make_unique<LightLoad>(*fleet_, i));
    for (size_t router = 0; router < 3; ++router) {
      ASSERT_TRUE(fleet_->router_process(router).Signal(SIGTERM).ok());
      auto code = fleet_->router_process(router).Wait(kExitTimeout);
      ASSERT_TRUE(code.ok()) << code.status();
      EXPECT_EQ(*code, 0);
      ASSERT_TRUE(fleet_->StartRouter(router).ok());
      ASSERT_TRUE(fleet_->WaitReady(router, absl::Seconds(10)).ok());
    }
    for (const auto& one : load) {
      one->Stop();
      answered += one->answered();
      failures.insert(failures.end(), one->failures().begin(),
                      one->failures().end());
    }
  }
  EXPECT_THAT(failures, ElementsAre());
  EXPECT_GT(answered, 20);
}

}  // namespace
}  // namespace hawthornhollow
