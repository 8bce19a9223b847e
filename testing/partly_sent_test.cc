// A server that has begun to work on a request, and whose connection breaks
// while the request's long body is still being written to it.

#include <future>

#include "absl/strings/str_cat.h"
#include "testing/entry_fixture.h"
#include "testing/raw_server_standin.h"

namespace hawthornhollow {
namespace {

using standins::RawServerStandin;

// More than sockets take, less than routers do.
constexpr size_t kLongBody = 4'000'000;
constexpr int kSmallBuffer = 16 * 1024;

// The beginning of an answer that ends with its connection.
std::string BeginningWithoutLength() {
  return standins::AnswerHeadBytes("") + std::string(4000, 'a');
}

std::string ShortAnswer() {
  return standins::SealedAnswerBytes("200 OK", "", "done");
}

struct BreakCase {
  const char* name;
  std::string answer;  // to the request with the long body, before the break
  bool accepts_after_reset;
  int status;  // that the caller gets
};

RawServerStandin::Script ScriptOf(const BreakCase& test) {
  return {.beginning = ShortAnswer(),
          .on_later_request = test.answer,
          .resets_later = true,
          .accepts_after_reset = test.accepts_after_reset,
          .receive_buffer_bytes = kSmallBuffer};
}

class PartlySentTest : public EntryFixture,
                       public testing::WithParamInterface<BreakCase> {
 protected:
  void TearDown() override {
    EntryFixture::TearDown();
    raw_.reset();
  }

  void StartRaw() {
    auto raw = RawServerStandin::Start(ScriptOf(GetParam()));
    ASSERT_TRUE(raw.ok()) << raw.status();
    raw_ = *std::move(raw);
  }

  // Returns the status of an order; 0 if there was no answer.
  int StatusOfOrder(const std::string& id, size_t body_bytes) {
    HttpRequest order = standins::MakeCallerRequest(
        {.id = id, .path = "/order/a", .key = "k1"});
    order.body = std::string(body_bytes, 'b');
    const auto answer = PlainHttp(callers_, order, kWait);
    return answer.ok() ? answer->status : 0;
  }

  std::unique_ptr<RawServerStandin> raw_;
};

// review/1: the order ran again at another server, or at the same one, or its
// caller was told that it had not run.
TEST_P(PartlySentTest, OrderWhoseBodyBroke_IsNotSentAgain) {
  StartRaw();
  PutConfiguration(/*prepaid=*/1'000'000);
  standins::PutServer(store_, "i-raw", raw_->local(), /*sequence=*/1);
  StartEntry();
  AwaitReady();
  ASSERT_EQ(StatusOfOrder("short", 4), 200);
  standins::PutServer(store_, "i-0", replica_servers_[0]->local(),
                      /*sequence=*/1);
  int orders = 0;
  while (raw_->later_requests() == 0 && orders < 200) {
    const std::string id = absl::StrCat("long-", ++orders);
    const int status = StatusOfOrder(id, kLongBody);
    if (raw_->later_requests() == 0)
      continue;
    EXPECT_EQ(status, GetParam().status);
    EXPECT_EQ(replicas_[0]->runs().count(id), 0);
  }
  EXPECT_EQ(raw_->later_requests(), 1);
  EXPECT_EQ(raw_->requests(), 1);
}

// The same for what the store's client, routers that ask one another, and the
// project's own gate and log client do.
TEST_P(PartlySentTest, CallWhoseBodyBroke_IsNotSentAgain) {
  StartRaw();
  HttpClient client;
  absl::StatusOr<HttpResponse> answer;
  std::promise<void> done;
  runtime_->SpawnOn(0, [&] {
    EXPECT_TRUE(client.Call(raw_->local(), {.body = "text"}, kWait).ok());
    const HttpRequest request = {.method = "POST",
                                 .body = std::string(kLongBody, 'b')};
    answer = client.Call(raw_->local(), request, kWait);
    done.set_value();
  });
  done.get_future().wait();
  if (GetParam().status == 502)
    EXPECT_EQ(answer.status().code(), absl::StatusCode::kAborted);
  else
    EXPECT_EQ(answer->status, GetParam().status);
  EXPECT_EQ(raw_->later_requests(), 1);
  EXPECT_EQ(raw_->requests(), 1);
}

INSTANTIATE_TEST_SUITE_P(
    Breaks,
    PartlySentTest,
    testing::Values(
        BreakCase{"ServerGone", "", false, 502},
        BreakCase{"ServerThere", "", true, 502},
        BreakCase{"AnsweredBefore", ShortAnswer(), true, 200},
        // The users saw the part passed on as a whole answer: the
        // write of the request had taken the reset.
        BreakCase{"AnswerWithoutLength", BeginningWithoutLength(), true, 502},
        BreakCase{"RefusedBefore", standins::RefusalBytes("$ID"), true, 503}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace hawthornhollow
