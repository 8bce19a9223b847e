// A server that stops in the middle of its answer's head and closes: nothing of
// it may look like an answer.

#include <future>

#include "absl/strings/str_cat.h"
#include "testing/entry_fixture.h"
#include "testing/raw_server_standin.h"

namespace hawthornhollow {
namespace {

using standins::RawServerStandin;

// The heads of answers with a length, in chunks, and with neither.
std::vector<std::string> Heads() {
  return {standins::AnswerHeadBytes("Content-Length: 120\r\n"),
          standins::AnswerHeadBytes("Transfer-Encoding: chunked\r\n"),
          standins::AnswerHeadBytes("Content-Type: text/event-stream\r\n")};
}

class CutHeadTest : public EntryFixture {
 protected:
  void TearDown() override {
    EntryFixture::TearDown();
    raw_.reset();
  }

  void StartRaw(RawServerStandin::Script script) {
    auto raw = RawServerStandin::Start(std::move(script));
    ASSERT_TRUE(raw.ok()) << raw.status();
    raw_ = *std::move(raw);
  }

  // Makes calls one after the other with one client; returns the last answer.
  absl::StatusOr<HttpResponse> Call(int count, const std::string& method) {
    HttpClient client;
    absl::StatusOr<HttpResponse> answer;
    std::promise<void> done;
    runtime_->SpawnOn(0, [&] {
      for (int i = 0; i < count; ++i)
        answer = client.Call(raw_->local(), {.method = method}, kWait);
      done.set_value();
    });
    done.get_future().wait();
    return answer;
  }

  std::unique_ptr<RawServerStandin> raw_;
};

TEST_F(CutHeadTest, HeadCutAtAnyByte_IsNoAnswer) {
  for (const std::string& head : Heads()) {
    for (size_t cut = 0; cut < head.size(); cut += 3) {
      StartRaw({.beginning = head.substr(0, cut), .closes = true});
      const auto answer = Call(1, cut % 2 == 0 ? "GET" : "HEAD");
      EXPECT_EQ(answer.status().code(), absl::StatusCode::kAborted)
          << "cut at " << cut << " of " << head;
    }
  }
}

TEST_F(CutHeadTest, HeadCutOnAKeptConnection_IsNoAnswer) {
  for (const std::string& head : Heads()) {
    for (size_t cut = 1; cut < head.size(); cut += 17) {
      StartRaw({.beginning = standins::SealedAnswerBytes("200 OK", "", "done"),
                .on_later_request = head.substr(0, cut),
                .resets_later = true});
      const auto answer = Call(2, "GET");
      EXPECT_EQ(raw_->later_requests(), 1);
      EXPECT_EQ(answer.status().code(), absl::StatusCode::kAborted)
          << "cut at " << cut << " of " << head;
    }
  }
}

// The users saw an answer whose status was 000 passed on to a client.
TEST_F(CutHeadTest, StatusThatIsNoneOfHttp_IsNoAnswer) {
  for (const char* status : {"000", "001", "099", "600", "999", "1000", "20"}) {
    StartRaw({.beginning = standins::SealedAnswerBytes(
                  absl::StrCat(status, " Strange"), "", "hi"),
              .closes = true});
    EXPECT_FALSE(Call(1, "GET").ok()) << status;
  }
}

TEST_F(CutHeadTest, CallersOfAllKinds_GetNoSuccess) {
  const std::string head = Heads().front();
  // Before the empty line: all that a client needs is there but its end.
  StartRaw({.beginning = head.substr(0, head.size() - 2), .closes = true});
  PutConfiguration(/*prepaid=*/1'000'000);
  standins::PutServer(store_, "i-raw", raw_->local(), /*sequence=*/1);
  StartEntry();
  AwaitReady();
  for (const char* path : {"/order/a", "/lookup/a", "/stream/a"}) {
    for (const char* method : {"POST", "HEAD"}) {
      HttpRequest request = standins::MakeCallerRequest(
          {.id = NextId(), .path = path, .key = "k1"});
      request.method = method;
      const auto answer = PlainHttp(callers_, request, kWait);
      ASSERT_TRUE(answer.ok()) << answer.status();
      EXPECT_EQ(answer->status, 502) << path << " " << method;
    }
  }
}

// The first server breaks off in its stream, the next one in its head.
TEST_F(CutHeadTest, ResumedStream_IsCutAndNotEnded) {
  replicas_[0]->SetFaults({.break_after_events = 3});
  const std::string head = Heads().back();
  StartRaw({.beginning = head.substr(0, head.size() - 2), .closes = true});
  PutConfiguration(/*prepaid=*/1'000'000);
  standins::PutServer(store_, "i-0", replica_servers_[0]->local(),
                      /*sequence=*/1);
  standins::PutServer(store_, "i-raw", raw_->local(), /*sequence=*/1);
  StartEntry();
  AwaitReady();
  for (int i = 0; i < 10; ++i) {
    const auto answer = Send("/stream/a");
    // Cut without an end, or 502 if the one with the short head was first.
    EXPECT_TRUE(!answer.ok() || answer->status == 502) << answer->body;
  }
  EXPECT_GT(raw_->requests(), 0);
}

}  // namespace
}  // namespace hawthornhollow
