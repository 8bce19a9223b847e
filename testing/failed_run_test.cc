// A server that runs a request and fails it with a status by which callers are
// told that a request was not run.

#include "absl/strings/str_cat.h"
#include "testing/entry_fixture.h"
#include "testing/raw_server_standin.h"

namespace hawthornhollow {
namespace {

using standins::RawServerStandin;

class FailedRunTest : public EntryFixture,
                      public testing::WithParamInterface<std::string> {
 protected:
  void SetUp() override {
    EntryFixture::SetUp();
    const std::string answer = standins::SealedAnswerBytes(
        GetParam(), "X-Cause: data base\r\n", "begun, and failed");
    auto raw = RawServerStandin::Start(
        {.beginning = answer, .on_later_request = answer});
    ASSERT_TRUE(raw.ok()) << raw.status();
    raw_ = *std::move(raw);
    PutConfiguration(/*prepaid=*/1'000'000);
    standins::PutServer(store_, "i-raw", raw_->local(), /*sequence=*/1);
    StartEntry();
    AwaitReady();
  }
  void TearDown() override {
    EntryFixture::TearDown();
    raw_.reset();
  }

  int StatusOfServer() const {
    return std::stoi(GetParam().substr(0, GetParam().find(' ')));
  }

  std::unique_ptr<RawServerStandin> raw_;
};

// review/6: the order's caller was told that it had not run, and might send it
// again.
TEST_P(FailedRunTest, OrderThatRanAndFailed_IsNotSaidToBeNotRun) {
  const auto answer = Send("/order/a");
  ASSERT_TRUE(answer.ok()) << answer.status();
  EXPECT_EQ(answer->status, 502);
  EXPECT_NE(answer->body.find("outcome_unknown"), std::string::npos);
  EXPECT_EQ(FindHeader(answer->headers, "X-Cause"), "");
  EXPECT_EQ(raw_->requests(), 1);
}

// A request that may be repeated gets what the server says.
TEST_P(FailedRunTest, LookUpThatFailed_GetsTheServersAnswer) {
  const auto answer = Send("/lookup/a");
  ASSERT_TRUE(answer.ok()) << answer.status();
  EXPECT_EQ(answer->status, StatusOfServer());
  EXPECT_EQ(FindHeader(answer->headers, "X-Cause"), "data base");
}

INSTANTIATE_TEST_SUITE_P(Statuses,
                         FailedRunTest,
                         testing::Values("503 Service Unavailable",
                                         "429 Too Many Requests",
                                         "408 Request Timeout"),
                         [](const auto& info) {
                           return "Status" + info.param.substr(0, 3);
                         });

}  // namespace
}  // namespace hawthornhollow
