// The path of one request through every process, without faults.

#include <boost/json.hpp>

#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "testing/fleet.h"

namespace hawthornhollow {
namespace {

using ::testing::ElementsAre;
using ::testing::HasSubstr;

class PathTest : public ::testing::Test {
 protected:
  static void SetUpTestSuite() {
    auto fleet = Fleet::Start(FleetOptions());
    ASSERT_TRUE(fleet.ok()) << fleet.status();
    fleet_ = fleet->release();
  }
  static void TearDownTestSuite() {
    delete fleet_;
    fleet_ = nullptr;
  }
  void SetUp() override { ASSERT_NE(fleet_, nullptr); }

  static Fleet* fleet_;
};

Fleet* PathTest::fleet_ = nullptr;

TEST_F(PathTest, Chat_Whole_AnswersWithUsage) {
  auto response = fleet_->Chat(0, {.max_tokens = 7});
  ASSERT_TRUE(response.ok()) << response.status();
  EXPECT_EQ(response->status, 200) << response->body;
  EXPECT_THAT(response->body, HasSubstr("\"completion_tokens\":7"));
}

TEST_F(PathTest, Chat_Streamed_SendsEveryTokenAndTheEnd) {
  auto response = fleet_->Chat(1, {.max_tokens = 5, .stream = true});
  ASSERT_TRUE(response.ok()) << response.status();
  EXPECT_EQ(response->status, 200) << response->body;
  EXPECT_EQ(response->Header("Content-Type"), "text/event-stream");
  for (const char* token : {"t0 ", "t1 ", "t2 ", "t3 ", "t4 "})
    EXPECT_THAT(response->body, HasSubstr(token));
  EXPECT_THAT(response->body, HasSubstr("data: [DONE]\n\n"));
}

TEST_F(PathTest, Order_SameKeyOnTwoRouters_RunsOnceAndAnswersAlike) {
  auto first = fleet_->Order(0, "order-1");
  ASSERT_TRUE(first.ok()) << first.status();
  EXPECT_EQ(first->status, 200) << first->body;
  auto second = fleet_->Order(2, "order-1");
  ASSERT_TRUE(second.ok()) << second.status();
  EXPECT_EQ(second->status, 200) << second->body;
  EXPECT_EQ(first->body, second->body);
  auto counts = fleet_->Get(fleet_->service(0), "/counts");
  ASSERT_TRUE(counts.ok());
  EXPECT_THAT(*counts, HasSubstr("\"ward-1/order-1\":1"));
}

TEST_F(PathTest, Order_WithoutKey_IsRefusedAsNotRun) {
  auto response = fleet_->Order(0, "");
  ASSERT_TRUE(response.ok()) << response.status();
  EXPECT_EQ(response->status, 400);
  EXPECT_THAT(response->body, HasSubstr("idempotency_key_required"));
  EXPECT_THAT(response->body, HasSubstr("\"run\":\"not_run\""));
}

TEST_F(PathTest, Chat_OnceAnswered_IsBilledOnceWithItsUsage) {
  // 16 characters are 4 prompt tokens on the stand-in engine.
  auto response =
      fleet_->Chat(0, {.text = "a permit, please", .max_tokens = 6});
  ASSERT_TRUE(response.ok()) << response.status();
  ASSERT_EQ(response->status, 200) << response->body;
  std::string request(response->Header("X-Request-Id"));
  ASSERT_TRUE(fleet_->WaitBills(request, 1, absl::Seconds(5)));
  EXPECT_THAT(fleet_->BillsOf(request), ElementsAre(10));
}

TEST_F(PathTest, Key_Unknown_IsRefused) {
  HttpRequest request = Fleet::ChatRequestFor({});
  request.headers[0].second = "Bearer nobody";
  auto response = PlainHttp(fleet_->router(0), request, absl::Seconds(5));
  ASSERT_TRUE(response.ok()) << response.status();
  EXPECT_EQ(response->status, 401);
  EXPECT_THAT(response->body, HasSubstr("unauthenticated"));
}

}  // namespace
}  // namespace hawthornhollow
