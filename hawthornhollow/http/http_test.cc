#include "hawthornhollow/http/http.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <future>
#include <thread>

#include "absl/strings/str_cat.h"

namespace hawthornhollow {
namespace {

using testing::HasSubstr;
using testing::StartsWith;

constexpr absl::Duration kLong = absl::Seconds(5);
constexpr absl::Duration kShort = absl::Milliseconds(100);
constexpr int kFibers = 16;
constexpr int kCalls = 100;

sockaddr_in LoopbackAddress(uint16_t port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// A server on two threads whose handler is chosen by the request's path, and
// a client.
class HttpTest : public testing::Test {
 protected:
  void SetUp() override {
    auto runtime = Runtime::Create({.threads = 2});
    ASSERT_TRUE(runtime.ok()) << runtime.status();
    runtime_ = *std::move(runtime);
    options_.local = {"127.0.0.1", 0};
    options_.max_header_bytes = 1024;
    options_.max_body_bytes = 1024;
    options_.request_timeout = kShort;
  }

  void TearDown() override {
    server_.reset();
    runtime_.reset();
  }

  void StartServer(HttpHandler handler) {
    auto server = HttpServer::Start(*runtime_, options_, std::move(handler));
    ASSERT_TRUE(server.ok()) << server.status();
    server_ = *std::move(server);
  }

  void StartEcho() {
    StartServer([](const HttpRequest& request, ResponseWriter& writer) {
      writer
          .Send({.headers = {{"X-Target", request.target},
                             {"X-Peer", request.peer}},
                 .body = absl::StrCat(request.method, " ", request.body)})
          .IgnoreError();
    });
  }

  // Runs `task` on a fiber of `thread` and waits for it.
  void RunOn(size_t thread, const std::function<void()>& task) {
    std::promise<void> done;
    runtime_->SpawnOn(thread, [&] {
      task();
      done.set_value();
    });
    done.get_future().wait();
  }

  // Opens one connection after the other, each as soon as the last has ended.
  static void ConnectUntil(const std::atomic<bool>& stop,
                           const Endpoint& endpoint) {
    const sockaddr_in address = LoopbackAddress(endpoint.port);
    while (!stop) {
      const int fd = socket(AF_INET, SOCK_STREAM, 0);
      // Another address, so that none connects to itself.
      sockaddr_in own = {};
      own.sin_family = AF_INET;
      own.sin_addr.s_addr = htonl(INADDR_LOOPBACK + 1);
      EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&own), sizeof(own)), 0);
      // Refused while the server is down.
      static_cast<void>(connect(fd, reinterpret_cast<const sockaddr*>(&address),
                                sizeof(address)));
      close(fd);
    }
  }

  // Sends bytes on a new connection from a plain thread and closes it.
  void SendAndLeave(const std::string& bytes) const {
    const sockaddr_in address = LoopbackAddress(server_->local().port);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    ASSERT_EQ(connect(fd, reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)),
              0);
    EXPECT_EQ(send(fd, bytes.data(), bytes.size(), 0), std::ssize(bytes));
    close(fd);
  }

  // Sends bytes on a new connection and returns all that comes back.
  std::string Exchange(std::string_view bytes) {
    std::string received;
    RunOn(0, [&] {
      auto stream = TcpStream::Connect(server_->local(), kLong);
      ASSERT_TRUE(stream.ok()) << stream.status();
      (*stream)->Write(bytes, kLong).IgnoreError();
      char byte;
      while ((*stream)->ReadFull(&byte, 1, kLong).ok())
        received.push_back(byte);
    });
    return received;
  }

  absl::StatusOr<HttpResponse> Call(const HttpRequest& request,
                                    absl::Duration timeout = kLong) {
    absl::StatusOr<HttpResponse> response;
    RunOn(0, [&] { response = client_.Call(Target(), request, timeout); });
    return response;
  }

  Endpoint Target() const { return server_->local(); }

  std::unique_ptr<Runtime> runtime_;
  HttpServerOptions options_;
  std::unique_ptr<HttpServer> server_;
  HttpClient client_;
};

TEST(HttpRequestTest, PathAndQueryOfTargetAreSplit) {
  const HttpRequest request{.target = "/a/b?x=1&flag&y="};
  EXPECT_EQ(request.Path(), "/a/b");
  EXPECT_EQ(request.Query("x"), "1");
  EXPECT_EQ(request.Query("flag"), "");
  EXPECT_EQ(request.Query("y"), "");
  EXPECT_EQ(request.Query("z"), std::nullopt);
}

TEST_F(HttpTest, CallWithBodyIsAnswered) {
  StartEcho();
  const auto response = Call({.method = "POST", .target = "/x", .body = "abc"});
  ASSERT_TRUE(response.ok()) << response.status();
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(response->body, "POST abc");
  EXPECT_EQ(response->Header("x-target"), "/x");
}

TEST_F(HttpTest, CallWithHeadBringsNoBody) {
  StartEcho();
  for (int i = 0; i < 2; ++i) {
    const auto response = Call({.method = "HEAD"});
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->body, "");
  }
}

TEST_F(HttpTest, SecondCallReusesConnection) {
  StartEcho();
  const auto first = Call({});
  const auto second = Call({});
  ASSERT_TRUE(first.ok() && second.ok());
  EXPECT_EQ(first->Header("X-Peer"), second->Header("X-Peer"));
}

TEST_F(HttpTest, ClientThatKeepsNoConnectionsOpensOneForEachCall) {
  StartEcho();
  HttpClient client(HttpClient::Options{.max_idle_per_endpoint = 0});
  std::vector<std::string> peers;
  for (int i = 0; i < 2; ++i) {
    RunOn(0, [&] {
      const auto response = client.Call(Target(), {}, kLong);
      ASSERT_TRUE(response.ok()) << response.status();
      peers.emplace_back(response->Header("X-Peer"));
    });
  }
  EXPECT_NE(peers[0], peers[1]);
}

TEST_F(HttpTest, CallAfterServerClosedIdleConnectionIsAnswered) {
  options_.idle_timeout = absl::Milliseconds(20);
  StartEcho();
  const auto first = Call({});
  absl::SleepFor(kShort);
  const auto second = Call({});
  ASSERT_TRUE(first.ok() && second.ok()) << second.status();
  EXPECT_NE(first->Header("X-Peer"), second->Header("X-Peer"));
}

// review/3: idle connections to servers that were gone stayed open for good.
TEST_F(HttpTest, ConnectionsToServersThatAreGone_AreClosed) {
  constexpr int kAtOnce = 8;
  StartEcho();
  const auto open_files = [] {
    const std::filesystem::directory_iterator files("/proc/self/fd");
    return std::distance(begin(files), end(files));
  };
  const auto before = open_files();
  RunOn(0, [&] {
    std::vector<std::unique_ptr<HttpExchange>> exchanges;
    for (int i = 0; i < kAtOnce; ++i) {
      auto exchange = client_.Open(Target(), {}, kLong);
      ASSERT_TRUE(exchange.ok() && (*exchange)->ReadHead(kLong).ok());
      while (!(*exchange)->ReadSome(kLong)->empty()) {
      }
      exchanges.push_back(*std::move(exchange));
    }
    exchanges.clear();
    client_.CloseStaleConnections();
  });
  // Both ends of each: the server lives.
  EXPECT_GE(open_files(), before + 2 * kAtOnce);
  server_.reset();
  RunOn(0, [&] { client_.CloseStaleConnections(); });
  EXPECT_LT(open_files(), before);
}

TEST_F(HttpTest, BadRequestsAreAnsweredWithJsonError) {
  StartEcho();
  const struct {
    std::string bytes;
    std::string status;
    std::string code;
  } cases[] = {
      {"nonsense\r\n\r\n", "400", "malformed_request"},
      {"GET / HTTP/9.9\r\n\r\n", "400", "malformed_request"},
      {"GET / HTTP/1.1\r\nbad header\r\n\r\n", "400", "malformed_request"},
      {"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", "400",
       "malformed_request"},
      {"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
       "400", "malformed_request"},
      {"POST / HTTP/1.1\r\nContent-Length: 3\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       "400", "malformed_request"},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400",
       "malformed_request"},
      {"GET / HTTP/1.1\r\nA: " + std::string(2000, 'x') + "\r\n\r\n", "431",
       "headers_too_large"},
      {"POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n" +
           std::string(2000, 'x'),
       "413", "body_too_large"},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" +
           std::string(2000, 'x') + "\r\n0\r\n\r\n",
       "413", "body_too_large"},
      {"GET / HT", "408", "request_timeout"},
      {"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab", "408",
       "request_timeout"},
  };
  for (const auto& test : cases) {
    const std::string answer = Exchange(test.bytes);
    EXPECT_THAT(answer, StartsWith("HTTP/1.1 " + test.status)) << test.bytes;
    EXPECT_THAT(answer, HasSubstr("{\"error\":{\"code\":\"" + test.code))
        << test.bytes;
    EXPECT_THAT(answer, HasSubstr("Connection: close")) << test.bytes;
  }
}

TEST_F(HttpTest, PipelinedRequestsAreAnsweredInOrder) {
  StartServer([](const HttpRequest& request, ResponseWriter& writer) {
    writer.OnClientGone([] { ADD_FAILURE() << "the client is there"; });
    hawthornhollow::SleepFor(absl::Milliseconds(10));
    writer.Send({.body = "for " + request.target}).IgnoreError();
  });
  const std::string answer = Exchange(
      "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\nConnection: close\r\n\r\n");
  const size_t first = answer.find("for /1");
  const size_t second = answer.find("for /2");
  EXPECT_NE(second, std::string::npos) << answer;
  EXPECT_LT(first, second);
}

TEST_F(HttpTest, ExpectContinueIsAnsweredBeforeBody) {
  StartEcho();
  const std::string answer = Exchange(
      "POST / HTTP/1.1\r\nExpect: 100-continue\r\nConnection: close\r\n"
      "Content-Length: 2\r\n\r\nab");
  EXPECT_THAT(answer, StartsWith("HTTP/1.1 100"));
  EXPECT_THAT(answer, HasSubstr("POST ab"));
}

TEST_F(HttpTest, ResponseHeaderWithLineBreakIsDropped) {
  StartServer([](const HttpRequest&, ResponseWriter& writer) {
    writer.Send({.headers = {{"X-Bad", "a\r\nX-Split: b"}, {"X-Good", "c"}}})
        .IgnoreError();
  });
  const auto response = Call({});
  ASSERT_TRUE(response.ok());
  EXPECT_EQ(response->Header("X-Split"), "");
  EXPECT_EQ(response->Header("X-Good"), "c");
}

TEST_F(HttpTest, HandlerThatAnswersNothingGives500) {
  StartServer([](const HttpRequest& request, ResponseWriter&) {
    if (request.target == "/throw")
      throw std::runtime_error("expected by the test");
  });
  for (const char* target : {"/", "/throw"}) {
    const auto response = Call({.target = target});
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->status, 500);
  }
}

TEST_F(HttpTest, StreamDeliversPiecesAsTheyAreWritten) {
  std::promise<void> first_seen;
  std::future<void> seen = first_seen.get_future();
  StartServer([&](const HttpRequest&, ResponseWriter& writer) {
    EXPECT_TRUE(writer.StartStream(200, {{"X-Kind", "stream"}}).ok());
    EXPECT_TRUE(writer.Write("one").ok());
    while (seen.wait_for(std::chrono::seconds(0)) != std::future_status::ready)
      hawthornhollow::SleepFor(absl::Milliseconds(1));
    EXPECT_TRUE(writer.Write("two").ok());
    EXPECT_TRUE(writer.Finish().ok());
  });
  std::string body;
  absl::Status status;
  RunOn(0, [&] {
    status = client_.Stream(
        Target(), {}, kLong,
        [](int code, const HttpHeaders& headers) {
          return code == 200 && FindHeader(headers, "x-kind") == "stream";
        },
        [&](std::string_view data) {
          if (body.empty())
            first_seen.set_value();
          body.append(data);
          return true;
        });
  });
  EXPECT_TRUE(status.ok()) << status;
  EXPECT_EQ(body, "onetwo");
}

TEST_F(HttpTest, StreamThatIsAbortedIsNotTakenForWhole) {
  StartServer([](const HttpRequest& request, ResponseWriter& writer) {
    writer.StartStream(200, {}).IgnoreError();
    writer.Write("part").IgnoreError();
    if (request.target == "/abort")
      writer.Abort();
  });
  for (const char* target : {"/abort", "/unfinished"}) {
    EXPECT_EQ(Call({.target = target}).status().code(),
              absl::StatusCode::kAborted);
  }
}

TEST_F(HttpTest, StreamStoppedByCallerTellsServer) {
  std::promise<void> gone;
  StartServer([&](const HttpRequest&, ResponseWriter& writer) {
    std::atomic<bool> noticed = false;
    writer.OnClientGone([&] { noticed = true; });
    EXPECT_TRUE(writer.StartStream(200, {}).ok());
    EXPECT_TRUE(writer.Write("one").ok());
    while (!noticed)
      hawthornhollow::SleepFor(absl::Milliseconds(1));
    EXPECT_EQ(writer.Write("two").code(), absl::StatusCode::kUnavailable);
    gone.set_value();
  });
  RunOn(0, [&] {
    const absl::Status status = client_.Stream(
        Target(), {}, kLong, [](int, const HttpHeaders&) { return true; },
        [](std::string_view) { return false; });
    EXPECT_EQ(status.code(), absl::StatusCode::kCancelled);
  });
  EXPECT_EQ(gone.get_future().wait_for(std::chrono::seconds(5)),
            std::future_status::ready);
}

TEST_F(HttpTest, HandlerThatReturnsAsItsClientGoes_IsNotCalledBackAfterwards) {
  constexpr int kClients = 100;
  std::atomic<int> late = 0;
  std::atomic<int> ended = 0;
  StartServer([&](const HttpRequest&, ResponseWriter& writer) {
    const auto returned = std::make_shared<bool>(false);
    writer.OnClientGone([&late, returned] { late += *returned ? 1 : 0; });
    writer.StartStream(200, {}).IgnoreError();
    while (writer.Write(std::string(100'000, 'x')).ok()) {
    }
    *returned = true;
    ++ended;
  });
  RunOn(0, [&] {
    for (int i = 0; i < kClients; ++i) {
      client_
          .Stream(
              Target(), {}, kLong, [](int, const HttpHeaders&) { return true; },
              [](std::string_view) { return false; })
          .IgnoreError();
    }
  });
  server_.reset();  // waits for the handlers
  EXPECT_EQ(ended, kClients);
  EXPECT_EQ(late, 0);
}

TEST_F(HttpTest, ClientThatLeftBeforeItsCallbackRan_IsSeenToBeGone) {
  std::promise<void> ended;
  StartServer([&](const HttpRequest&, ResponseWriter& writer) {
    bool noticed = false;
    writer.OnClientGone([&] { noticed = true; });
    // Holds the thread, so that no callback has a turn.
    absl::SleepFor(kShort);
    EXPECT_FALSE(noticed);
    EXPECT_TRUE(writer.IsClientGone());
    EXPECT_EQ(writer.Send({}).code(), absl::StatusCode::kUnavailable);
    ended.set_value();
  });
  SendAndLeave("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  ended.get_future().wait();
}

TEST_F(HttpTest, ClientThatWaitsOrSendsItsNextRequest_IsNotTakenAsGone) {
  StartServer([&](const HttpRequest&, ResponseWriter& writer) {
    EXPECT_FALSE(writer.IsClientGone());
    writer.Send({.body = "here"}).IgnoreError();
  });
  const std::string twice =
      "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
      "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  EXPECT_THAT(Exchange(twice), HasSubstr("here"));
}

TEST_F(HttpTest, CallToSilentServerTimesOut) {
  std::atomic<bool> gone = false;
  StartServer([&](const HttpRequest&, ResponseWriter& writer) {
    writer.OnClientGone([&] { gone = true; });
    while (!gone)
      hawthornhollow::SleepFor(absl::Milliseconds(1));
  });
  EXPECT_EQ(Call({}, kShort).status().code(),
            absl::StatusCode::kDeadlineExceeded);
  server_.reset();  // the handler uses `gone`
  EXPECT_TRUE(gone);
}

TEST_F(HttpTest, CloseOfServerUnderRequestTellsHandler) {
  std::atomic<bool> gone = false;
  std::promise<void> started;
  StartServer([&](const HttpRequest&, ResponseWriter& writer) {
    writer.OnClientGone([&] { gone = true; });
    started.set_value();
    while (!gone)
      hawthornhollow::SleepFor(absl::Milliseconds(1));
  });
  absl::StatusOr<HttpResponse> response;
  std::promise<void> ended;
  runtime_->SpawnOn(1, [&, target = Target()] {
    response = client_.Call(target, {}, kLong);
    ended.set_value();
  });
  started.get_future().wait();
  const absl::Time start = absl::Now();
  server_.reset();
  EXPECT_LT(absl::Now() - start, absl::Seconds(1));
  EXPECT_TRUE(gone);
  ended.get_future().wait();
  EXPECT_EQ(response.status().code(), absl::StatusCode::kAborted);
}

TEST_F(HttpTest, CallWhoseConnectionBreaksIsAbortedAndNotRepeated) {
  std::atomic<int> runs = 0;
  StartServer([&](const HttpRequest& request, ResponseWriter& writer) {
    if (request.target == "/break") {
      ++runs;
      writer.Abort();
      return;
    }
    writer.Send({}).IgnoreError();
  });
  ASSERT_TRUE(Call({}).ok());
  EXPECT_EQ(Call({.target = "/break"}).status().code(),
            absl::StatusCode::kAborted);
  EXPECT_EQ(runs, 1);
}

TEST_F(HttpTest, CallToClosedPortIsUnavailable) {
  StartEcho();
  const Endpoint closed = Target();
  server_.reset();
  RunOn(0, [&] {
    EXPECT_EQ(client_.Call(closed, {}, kLong).status().code(),
              absl::StatusCode::kUnavailable);
  });
}

// The other connection is in work; server_limits_test.cc has idle ones, which
// are closed for the new one.
TEST_F(HttpTest, ConnectionOverLimitIsAnswered503) {
  options_.max_connections = 1;
  std::promise<void> refused;
  auto is_refused = refused.get_future().share();
  std::promise<void> in_work;
  StartServer([&](const HttpRequest&, ResponseWriter& writer) {
    in_work.set_value();
    while (is_refused.wait_for(std::chrono::seconds(0)) !=
           std::future_status::ready)
      hawthornhollow::SleepFor(absl::Milliseconds(1));
    writer.Send({}).IgnoreError();
  });
  std::thread first([&] { EXPECT_TRUE(Call({}).ok()); });
  in_work.get_future().wait();
  EXPECT_THAT(Exchange("GET / HTTP/1.1\r\n\r\n"), StartsWith("HTTP/1.1 503"));
  refused.set_value();
  first.join();
}

TEST_F(HttpTest, StartOnTakenPortFails) {
  StartEcho();
  options_.local = Target();
  EXPECT_FALSE(HttpServer::Start(*runtime_, options_, nullptr).ok());
}

// As when a router that callers wait for starts again.
TEST_F(HttpTest, StartWhileCallersConnect_Succeeds) {
  StartEcho();
  options_.local = server_->local();
  server_.reset();
  constexpr int kCallers = 4;
  constexpr int kStarts = 1'000;
  std::atomic<bool> stop = false;
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i)
    callers.emplace_back([&] { ConnectUntil(stop, options_.local); });
  for (int i = 0; i < kStarts && !HasFailure(); ++i) {
    StartEcho();
    server_.reset();
  }
  stop = true;
  for (std::thread& caller : callers)
    caller.join();
}

TEST_F(HttpTest, DrainFinishesRequestInProgress) {
  std::promise<void> started;
  StartServer([&](const HttpRequest& request, ResponseWriter& writer) {
    if (request.target == "/slow") {
      started.set_value();
      hawthornhollow::SleepFor(absl::Milliseconds(400));
    }
    writer.Send({.body = "done"}).IgnoreError();
  });
  ASSERT_TRUE(Call({}).ok());  // leaves an idle connection
  absl::StatusOr<HttpResponse> slow;
  std::promise<void> answered;
  runtime_->SpawnOn(1, [&] {
    slow = client_.Call(Target(), {.target = "/slow"}, kLong);
    answered.set_value();
  });
  started.get_future().wait();
  RunOn(0, [&] { EXPECT_TRUE(server_->Drain(kLong).ok()); });
  answered.get_future().wait();
  ASSERT_TRUE(slow.ok()) << slow.status();
  EXPECT_EQ(slow->body, "done");
  EXPECT_EQ(slow->Header("Connection"), "close");
  EXPECT_EQ(Call({}).status().code(), absl::StatusCode::kUnavailable);
}

TEST_F(HttpTest, DrainPastItsTimeoutIsReported) {
  std::promise<void> started;
  std::atomic<bool> finish = false;
  StartServer([&](const HttpRequest&, ResponseWriter& writer) {
    started.set_value();
    while (!finish)
      hawthornhollow::SleepFor(absl::Milliseconds(1));
    writer.Send({}).IgnoreError();
  });
  std::promise<void> answered;
  runtime_->SpawnOn(1, [&] {
    EXPECT_TRUE(client_.Call(Target(), {}, kLong).ok());
    answered.set_value();
  });
  started.get_future().wait();
  RunOn(0, [&] {
    EXPECT_EQ(server_->Drain(kShort).code(),
              absl::StatusCode::kDeadlineExceeded);
  });
  finish = true;
  answered.get_future().wait();
}

TEST_F(HttpTest, CallsFromTwoThreadsGetTheirOwnAnswers) {
  StartEcho();
  std::atomic<int> wrong = 0;
  std::atomic<int> left = kFibers;
  std::promise<void> done;
  for (int fiber = 0; fiber < kFibers; ++fiber) {
    runtime_->Spawn([&, fiber] {
      for (int i = 0; i < kCalls; ++i) {
        const std::string body = absl::StrCat(fiber, "-", i);
        const auto response =
            client_.Call(Target(), {.method = "POST", .body = body}, kLong);
        if (!response.ok() || response->body != "POST " + body)
          ++wrong;
      }
      if (--left == 0)
        done.set_value();
    });
  }
  done.get_future().wait();
  EXPECT_EQ(wrong, 0);
}

}  // namespace
}  // namespace hawthornhollow
