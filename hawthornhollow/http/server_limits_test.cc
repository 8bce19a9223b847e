// What clients that are not trusted can make the HTTP server hold.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <atomic>
#include <future>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "hawthornhollow/http/request_account.h"

#include "hawthornhollow/http/http.h"

namespace hawthornhollow {
namespace {

using testing::HasSubstr;
using testing::Not;
using testing::StartsWith;

constexpr absl::Duration kLong = absl::Seconds(5);
constexpr absl::Duration kSlowHandler = absl::Seconds(3);

class HttpServerLimitsTest : public testing::Test {
 protected:
  void SetUp() override {
    auto runtime = Runtime::Create({.threads = 1});
    ASSERT_TRUE(runtime.ok()) << runtime.status();
    runtime_ = *std::move(runtime);
    options_.local = {"127.0.0.1", 0};
  }
  void TearDown() override {
    server_.reset();
    runtime_.reset();
  }

  void Start() {
    auto server = HttpServer::Start(
        *runtime_, options_,
        [this](const HttpRequest& request, ResponseWriter& writer) {
          ++handled_;
          if (request.target == "/slow")
            hawthornhollow::SleepFor(kSlowHandler);
          writer.Send({.body = request.body}).IgnoreError();
        });
    ASSERT_TRUE(server.ok()) << server.status();
    server_ = *std::move(server);
  }

  // The requests of an account of 100,000 bytes, of which 60,000 for large
  // ones.
  void SetSmallAccount() {
    options_.account = std::make_shared<RequestAccount>(
        RequestMemoryOptions{.total_bytes = 100'000,
                             .tiny_bytes = 1'000,
                             .small_bytes = 10'000,
                             .large_share = 0.6,
                             .client_share = 0.6},
        /*max_connections=*/100);
    options_.body_copies = 0;
  }

  // Opens a connection, sends `bytes`, and returns all that comes until it
  // ends.
  std::future<std::string> Send(const std::string& bytes) {
    auto received = std::make_shared<std::promise<std::string>>();
    runtime_->SpawnOn(0, [this, bytes, received] {
      auto stream = TcpStream::Connect(server_->local(), kLong);
      if (!stream.ok())
        return received->set_value("");
      (*stream)->Write(bytes, kLong).IgnoreError();
      std::string all;
      char byte;
      while ((*stream)->ReadFull(&byte, 1, kLong).ok())
        all.push_back(byte);
      received->set_value(all);
    });
    return received->get_future();
  }
  static std::string Post(size_t bytes,
                          const std::string& body,
                          const std::string& target = "/") {
    return absl::StrCat("POST ", target,
                        " HTTP/1.1\r\nConnection: close\r\nContent-Length: ",
                        bytes, "\r\n\r\n", body);
  }
  static void Pause() { absl::SleepFor(absl::Milliseconds(100)); }

  std::unique_ptr<Runtime> runtime_;
  HttpServerOptions options_;
  std::unique_ptr<HttpServer> server_;
  std::atomic<int> handled_ = 0;
};

// Guards against memory for a body that is refused anyway, and against a rest
// that is taken for a request.
TEST_F(HttpServerLimitsTest, HeadIsRefused_BodyIsNeitherReadNorARequest) {
  options_.check_head = [](const HttpRequest& head,
                           std::optional<uint64_t> bytes) {
    EXPECT_EQ(head.target, "/");
    EXPECT_EQ(bytes, 1'000u);
    return HttpHeadDecision{.refusal = HttpResponse{.status = 401}};
  };
  Start();
  const std::string received =
      Send(Post(1'000, "GET /rest HTTP/1.1\r\n\r\n")).get();
  EXPECT_THAT(received, StartsWith("HTTP/1.1 401"));
  EXPECT_EQ(
      std::vector<std::string>(absl::StrSplit(received, "HTTP/1.1")).size(),
      2u);
  EXPECT_THAT(received, HasSubstr("Connection: close"));
  EXPECT_EQ(handled_, 0);
}

TEST_F(HttpServerLimitsTest,
       HeadIsRefused_ClientThatAsksFirst_IsNotToldToGoOn) {
  options_.check_head = [](const HttpRequest&, std::optional<uint64_t>) {
    return HttpHeadDecision{.refusal = HttpResponse{.status = 413}};
  };
  Start();
  const std::string received =
      Send(
          "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: "
          "1000\r\n\r\n")
          .get();
  EXPECT_THAT(received, StartsWith("HTTP/1.1 413"));
  EXPECT_THAT(received, Not(HasSubstr("100 Continue")));
}

TEST_F(HttpServerLimitsTest, LimitOfTheHead_ChunksBeyondIt_Are413) {
  options_.check_head = [](const HttpRequest&, std::optional<uint64_t> bytes) {
    EXPECT_FALSE(bytes.has_value());
    return HttpHeadDecision{.max_body_bytes = 10};
  };
  Start();
  EXPECT_THAT(Send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "6\r\nabcdef\r\n6\r\nghijkl\r\n0\r\n\r\n")
                  .get(),
              StartsWith("HTTP/1.1 413"));
  EXPECT_EQ(handled_, 0);
}

// Guards against bytes that are lost or repeated as a body grows.
TEST_F(HttpServerLimitsTest, ChunksOfAnySize_ArriveWhole) {
  constexpr size_t kBytes = 300'000;
  Start();
  std::string body;
  while (body.size() < kBytes)
    absl::StrAppend(&body, body.size(), ",");
  for (const size_t chunk : {1, 7, 4'096, 65'536, 1'000'000}) {
    std::string bytes =
        "POST / HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: "
        "chunked\r\n\r\n";
    for (size_t at = 0; at < body.size(); at += chunk) {
      const std::string piece = body.substr(at, chunk);
      absl::StrAppend(&bytes, absl::Hex(piece.size()), "\r\n", piece, "\r\n");
    }
    const std::string received = Send(bytes + "0\r\n\r\n").get();
    EXPECT_THAT(received, StartsWith("HTTP/1.1 200")) << chunk;
    EXPECT_TRUE(received.ends_with("\r\n\r\n" + body)) << chunk;
  }
}

// Guards against a body that stops short and keeps its memory.
TEST_F(HttpServerLimitsTest, StalledBody_AnotherNeedsItsMemory_GivesWay) {
  SetSmallAccount();
  Start();
  auto stalled = Send(Post(50'000, std::string(40'000, 'x')));
  Pause();
  EXPECT_THAT(Send(Post(50'000, std::string(50'000, 'y'))).get(),
              StartsWith("HTTP/1.1 200"));
  const std::string refused = stalled.get();
  EXPECT_THAT(refused, StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(refused, HasSubstr("Retry-After: 1\r\n"));
  EXPECT_EQ(handled_, 1);
  EXPECT_EQ(options_.account->refusals().stalled, 1);
  EXPECT_EQ(options_.account->used_bytes(), 0u);
}

// Guards against a request that is refused although it runs: the one that waits
// is refused instead, and has not run.
TEST_F(HttpServerLimitsTest, MemoryOfARequestInWork_IsNotTaken) {
  SetSmallAccount();
  Start();
  auto in_work = Send(Post(50'000, std::string(50'000, 'x'), "/slow"));
  Pause();
  const std::string refused =
      Send(Post(50'000, std::string(50'000, 'y'))).get();
  EXPECT_THAT(refused, StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(refused, HasSubstr("Retry-After: 1\r\n"));
  // A small one is served meanwhile.
  EXPECT_THAT(Send(Post(5'000, std::string(5'000, 'z'))).get(),
              StartsWith("HTTP/1.1 200"));
  EXPECT_THAT(in_work.get(), StartsWith("HTTP/1.1 200"));
  EXPECT_EQ(handled_, 2);
  EXPECT_EQ(options_.account->refusals().memory, 1);
}

// Guards against connections that never send a request and keep others out.
TEST_F(HttpServerLimitsTest, ConnectionsAreFull_StalledOne_IsClosedForANewOne) {
  options_.max_connections = 1;
  for (const std::string held : {"", "POST / HTTP/1.1\r\nHo",
                                 "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n",
                                 "GET / HTTP/1.1\r\n\r\n"}) {
    Start();
    auto stalled = Send(held);
    Pause();
    EXPECT_THAT(Send(Post(1, "y")).get(), StartsWith("HTTP/1.1 200")) << held;
    EXPECT_THAT(stalled.get(), Not(HasSubstr("503"))) << held;
    server_.reset();
  }
}

TEST_F(HttpServerLimitsTest, ConnectionsAreFullOfWork_NewOne_Is503) {
  options_.max_connections = 1;
  Start();
  auto in_work = Send(Post(1, "x", "/slow"));
  Pause();
  const std::string refused = Send(Post(1, "y")).get();
  EXPECT_THAT(refused, StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(refused, HasSubstr("Retry-After: 1\r\n"));
  EXPECT_THAT(in_work.get(), StartsWith("HTTP/1.1 200"));
  EXPECT_EQ(handled_, 1);
}

}  // namespace
}  // namespace hawthornhollow
