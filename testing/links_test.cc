// Answers over connections between routers and side processes that fail.

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
constexpr int64_t kPromptTokens = 4;  // of the default text

// One engine behind a relay.
class LinksTest : public ::testing::Test {
 protected:
  void Start(size_t engines) {
    FleetOptions options;
    options.engines = engines;
    options.engine_flags = {"--token-ms", "20", "--prefill-ms-per-1k", "20"};
    options.service_flags = {"--work-ms", "1500"};
    options.relayed_servers = {0, engines};
    auto fleet = Fleet::Start(options);
    ASSERT_TRUE(fleet.ok()) << fleet.status();
    fleet_ = std::move(*fleet);
  }
  // Streams and applies `fault` when some tokens are through.
  void StreamThrough(const std::string& key,
                     int64_t tokens,
                     const std::function<void()>& fault) {
    auto asked = SendChat(*fleet_, 0,
                          {.max_tokens = tokens, .stream = true, .key = key});
    ASSERT_TRUE(WaitTokens(*fleet_, RequestOf(key), 20));
    fault();
    auto response = asked.get();
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(ContentOf(*response), Tokens(tokens));
    EXPECT_TRUE(IsWholeStream(*response)) << response->body;
    EXPECT_EQ(CountsOf(*fleet_, RequestOf(key)).runs, 1);
    ASSERT_TRUE(fleet_->WaitBills(RequestOf(key), 1, kBillTimeout));
    EXPECT_THAT(fleet_->BillsOf(RequestOf(key)),
                ElementsAre(kPromptTokens + tokens));
  }

  std::unique_ptr<Fleet> fleet_;
};

TEST_F(LinksTest, Stream_ConnectionGoesSilent_ResumesWithoutLossOrDoubling) {
  Start(1);
  StreamThrough("silent", 250,
                [&] { fleet_->server_relay(0).SilenceOpenConnections(); });
}

TEST_F(LinksTest, Stream_ConnectionCutManyTimes_ResumesWithoutLossOrDoubling) {
  Start(1);
  StreamThrough("cut", 200, [&] {
    for (int i = 0; i < 5; ++i) {
      fleet_->server_relay(0).SetMode(RelayMode::kCut);
      absl::SleepFor(absl::Milliseconds(150));
      fleet_->server_relay(0).SetMode(RelayMode::kPass);
      absl::SleepFor(absl::Milliseconds(300));
    }
  });
}

TEST_F(LinksTest, Stream_ConnectionSilentTwice_ResumesWithoutLossOrDoubling) {
  Start(1);
  StreamThrough("twice", 400, [&] {
    fleet_->server_relay(0).SilenceOpenConnections();
    absl::SleepFor(absl::Seconds(3.5));
    fleet_->server_relay(0).SilenceOpenConnections();
  });
}

TEST_F(LinksTest, Chat_ServerCutOffForGood_AnsweredWholeByAnotherServer) {
  Start(2);
  std::vector<FutureResponse> asked;
  for (int i = 0; i < 4; ++i) {
    asked.push_back(SendChat(*fleet_, 0,
                             {.text = absl::StrCat("permit number ", i),
                              .max_tokens = 60,
                              .key = absl::StrCat("cut-off-", i)}));
  }
  ASSERT_TRUE(
      WaitFor(absl::Seconds(5), [&] { return RunningNow(*fleet_, 0) > 0; }));
  fleet_->server_relay(0).SetMode(RelayMode::kSilent);
  for (int i = 0; i < 4; ++i) {
    auto response = asked[static_cast<size_t>(i)].get();
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->status, 200) << response->body;
    EXPECT_EQ(ContentOf(*response), Tokens(60));
    std::string request = RequestOf(absl::StrCat("cut-off-", i));
    ASSERT_TRUE(fleet_->WaitBills(request, 1, kBillTimeout));
    EXPECT_EQ(fleet_->BillsOf(request).size(), 1U);
  }
}

TEST_F(LinksTest, Order_ConnectionGoesSilentMidRun_AnsweredByItsOneRun) {
  Start(1);
  auto asked = SendOrder(*fleet_, 0, "booked");
  ASSERT_TRUE(WaitFor(absl::Seconds(5), [&] {
    return OrderRuns(*fleet_, RequestOf("booked")) == 1;
  }));
  fleet_->server_relay(1).SilenceOpenConnections();
  auto response = asked.get();
  ASSERT_TRUE(response.ok()) << response.status();
  EXPECT_EQ(response->status, 200) << response->body;
  // The other router's connection went silent too and may still be so.
  absl::StatusOr<HttpResponse> again;
  ASSERT_TRUE(WaitFor(absl::Seconds(5), [&] {
    again = fleet_->Order(1, "booked");
    return again.ok() && again->status == 200;
  })) << again->body;
  EXPECT_EQ(again->body, response->body);
  EXPECT_EQ(OrderRuns(*fleet_, RequestOf("booked")), 1);
  ASSERT_TRUE(fleet_->WaitBills(RequestOf("booked"), 1, kBillTimeout));
  EXPECT_EQ(fleet_->BillsOf(RequestOf("booked")).size(), 1U);
}

TEST_F(LinksTest, Order_ServerCutOffMidRun_IsUnknownThenItsOutcome) {
  Start(1);
  auto asked = SendOrder(*fleet_, 0, "cut");
  absl::SleepFor(absl::Milliseconds(500));
  fleet_->server_relay(1).SetMode(RelayMode::kSilent);
  auto response = asked.get();
  ASSERT_TRUE(response.ok()) << response.status();
  EXPECT_EQ(response->status, 503) << response->body;
  EXPECT_EQ(RunStateOf(*response), "unknown") << response->body;
  fleet_->server_relay(1).SetMode(RelayMode::kPass);
  absl::StatusOr<HttpResponse> again;
  EXPECT_TRUE(WaitFor(absl::Seconds(8), [&] {
    again = fleet_->Order(1, "cut");
    return again.ok() && again->status == 200;
  })) << again->body;
  EXPECT_EQ(OrderRuns(*fleet_, RequestOf("cut")), 1);
  EXPECT_EQ(fleet_->BillsOf(RequestOf("cut")).size(), 1U);
}

}  // namespace
}  // namespace hawthornhollow
