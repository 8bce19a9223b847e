// Runs a complete sidecar on the loopback interface against a fake router, a
// fake engine and a fake log service.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <csignal>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <thread>

#include <boost/json.hpp>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "hawthornhollow/gate/sidecar.h"
#include "hawthornhollow/http/http.h"
#include "hawthornhollow/log/log.h"
#include "hawthornhollow/wire/wire.h"

namespace hawthornhollow {
namespace {

constexpr absl::Duration kTestTimeout = absl::Seconds(15);
constexpr absl::Duration kPollInterval = absl::Milliseconds(10);

// An in-memory log service that speaks the log's HTTP protocol and never fails.
class FakeLogService {
 public:
  void Answer(const HttpRequest& request, ResponseWriter& writer) {
    const std::string stream(request.Path().substr(sizeof("/streams/") - 1));
    HttpResponse response;
    response.body = request.method == "POST" ? Append(stream, request.body)
                                             : Read(stream, request);
    writer.Send(response).IgnoreError();
  }

  std::string Append(const std::string& stream, const std::string& data) {
    std::lock_guard<std::mutex> lock(mutex_);
    streams_[stream].push_back(data);
    return absl::StrCat("{\"offset\":", streams_[stream].size() - 1, "}");
  }

  // Returns every record of one type in a stream.
  template <typename RecordT>
  std::vector<RecordT> Records(const std::string& stream) {
    std::lock_guard<std::mutex> lock(mutex_);
    std::vector<RecordT> found;
    for (const std::string& entry : streams_[stream]) {
      const auto batch = DecodeBatch(entry);
      for (const Record& record : batch.value().records) {
        if (const auto* body = std::get_if<RecordT>(&record.body)) {
          found.push_back(*body);
        }
      }
    }
    return found;
  }

  void AppendRecord(const std::string& stream, RecordBody body) {
    Batch batch;
    batch.writer = "test";
    batch.records.push_back({++sequence_, 0, std::move(body)});
    Append(stream, EncodeBatch(batch));
  }

 private:
  std::string Read(const std::string& stream, const HttpRequest& request) {
    int64_t from = 0;
    (void)absl::SimpleAtoi(request.Query("from").value_or("0"), &from);
    if (Size(stream) <= from) {
      hawthornhollow::SleepFor(absl::Milliseconds(20));
    }
    std::lock_guard<std::mutex> lock(mutex_);
    const std::vector<std::string>& entries = streams_[stream];
    boost::json::array read;
    for (size_t i = static_cast<size_t>(from); i < entries.size(); ++i) {
      read.push_back({{"offset", i}, {"data", absl::Base64Escape(entries[i])}});
    }
    return boost::json::serialize(boost::json::object{
        {"oldest", 0}, {"next", entries.size()}, {"entries", std::move(read)}});
  }

  int64_t Size(const std::string& stream) {
    std::lock_guard<std::mutex> lock(mutex_);
    return static_cast<int64_t>(streams_[stream].size());
  }

  std::mutex mutex_;
  std::map<std::string, std::vector<std::string>> streams_;
  int64_t sequence_ = 0;
};

// Answers a chat call with `tokens` events, one every `token_ms` milliseconds,
// until it is cancelled. Answers a call of the service /order with its own
// body, or aborts it if `abort_service_calls` is set.
class FakeEngine {
 public:
  void Answer(const HttpRequest& request, ResponseWriter& writer) {
    HttpResponse response;
    if (request.Path() == "/v1/cancel") {
      cancelled = true;
      ++cancels;
    } else if (request.Path() == "/running") {
      response.body = "{\"running\":[{\"id\":\"left-over\"}]}";
    } else if (request.Path() == "/load") {
      response.status = 404;
    } else if (request.Path() == "/order") {
      ++runs;
      return abort_service_calls ? writer.Abort() : Echo(request, writer);
    } else {
      ++runs;
      return Stream(writer);
    }
    writer.Send(response).IgnoreError();
  }

  std::atomic<int> tokens{3};
  std::atomic<int64_t> token_ms{0};
  std::atomic<bool> abort_service_calls{false};
  std::atomic<bool> cancelled{false};
  std::atomic<int> cancels{0};
  std::atomic<int> runs{0};

 private:
  static void Echo(const HttpRequest& request, ResponseWriter& writer) {
    HttpResponse response;
    response.body = request.body;
    writer.Send(response).IgnoreError();
  }

  void Stream(ResponseWriter& writer) {
    cancelled = false;
    writer.StartStream(200, {{"Content-Type", "text/event-stream"}})
        .IgnoreError();
    for (int i = 0; i < tokens && !cancelled; ++i) {
      hawthornhollow::SleepFor(absl::Milliseconds(token_ms.load()));
      const auto status = writer.Write(
          "data: {\"choices\":[{\"delta\":{\"content\":\"t\"}}]}\n\n");
      if (!status.ok()) {
        return;
      }
    }
    writer.Write("data: [DONE]\n\n").IgnoreError();
    writer.Finish().IgnoreError();
  }
};

// A router connected to the sidecar. Queues the frames that it receives.
class TestRouter {
 public:
  TestRouter(Runtime& runtime, const Endpoint& gate, std::string incarnation) {
    runtime.Spawn([this, gate, incarnation] {
      auto stream = TcpStream::Connect(gate, kTestTimeout);
      ASSERT_TRUE(stream.ok()) << stream.status();
      auto link = FrameLink::Create(*std::move(stream), FrameLinkOptions());
      fb::HelloT hello;
      hello.name = "router-1";
      hello.incarnation = incarnation;
      hello.protocol = kFrameProtocol;
      link->Send(MakeFrame(hello)).IgnoreError();
      SetLink(link);
      link->Run([this](fb::FrameT frame) { PushFrame(std::move(frame)); })
          .IgnoreError();
      std::lock_guard<std::mutex> lock(mutex_);
      ended_ = true;
      changed_.notify_all();
    });
    std::unique_lock<std::mutex> lock(mutex_);
    EXPECT_TRUE(changed_.wait_for(lock, absl::ToChronoSeconds(kTestTimeout),
                                  [&] { return link_ != nullptr; }));
  }
  ~TestRouter() {
    if (link_ != nullptr) {
      link_->Close();
      WaitEnded();
    }
  }

  template <typename MessageT>
  void Send(MessageT message) {
    ASSERT_NE(link_, nullptr);
    EXPECT_TRUE(link_->Send(MakeFrame(std::move(message))).ok());
  }

  // Returns the next frame of the type and discards the frames before it.
  fb::FrameT Next(fb::FrameBody type) { return NextOf({type}); }

  // Returns the next End frame and appends the data received before it to
  // `body`.
  fb::EndT NextEnd(std::string* body) {
    while (true) {
      fb::FrameT frame = NextOf({fb::FrameBody::Data, fb::FrameBody::End});
      if (const auto* end = frame.body.AsEnd()) {
        return *end;
      }
      const fb::DataT& data = *frame.body.AsData();
      body->append(data.bytes.begin(), data.bytes.end());
    }
  }

  void WaitEnded() {
    std::unique_lock<std::mutex> lock(mutex_);
    EXPECT_TRUE(changed_.wait_for(lock, absl::ToChronoSeconds(kTestTimeout),
                                  [&] { return ended_; }));
  }

 private:
  fb::FrameT NextOf(const std::set<fb::FrameBody>& types) {
    std::unique_lock<std::mutex> lock(mutex_);
    const auto until = absl::ToChronoTime(absl::Now() + kTestTimeout);
    while (true) {
      while (!frames_.empty()) {
        fb::FrameT frame = std::move(frames_.front());
        frames_.pop_front();
        if (types.contains(frame.body.type)) {
          return frame;
        }
      }
      if (changed_.wait_until(lock, until) == std::cv_status::timeout) {
        ADD_FAILURE() << "no " << fb::EnumNameFrameBody(*types.begin());
        return EmptyFrame(*types.rbegin());
      }
    }
  }

  // Returns a frame without content, which lets a failed test end.
  static fb::FrameT EmptyFrame(fb::FrameBody type) {
    switch (type) {
      case fb::FrameBody::Hello:
        return MakeFrame(fb::HelloT());
      case fb::FrameBody::Load: {
        fb::LoadT load;
        load.leaving = true;
        return MakeFrame(load);
      }
      case fb::FrameBody::Refused:
        return MakeFrame(fb::RefusedT());
      default:
        return MakeFrame(fb::EndT());
    }
  }

  void SetLink(std::shared_ptr<FrameLink> link) {
    std::lock_guard<std::mutex> lock(mutex_);
    link_ = std::move(link);
    changed_.notify_all();
  }

  void PushFrame(fb::FrameT frame) {
    std::lock_guard<std::mutex> lock(mutex_);
    frames_.push_back(std::move(frame));
    changed_.notify_all();
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::shared_ptr<FrameLink> link_;
  std::deque<fb::FrameT> frames_;
  bool ended_ = false;
};

class SidecarTest : public ::testing::Test {
 protected:
  void SetUp() override {
    auto runtime = Runtime::Create({.threads = 1});
    ASSERT_TRUE(runtime.ok()) << runtime.status();
    runtime_ = *std::move(runtime);
    log_server_ = StartServer([this](const auto& request, auto& writer) {
      log_.Answer(request, writer);
    });
    engine_server_ = StartServer([this](const auto& request, auto& writer) {
      engine_.Answer(request, writer);
    });
    settings_.name = "sidecar-1";
    settings_.server = "engine-1";
    settings_.failure_domain = "patan";
    settings_.listen = absl::StrCat("127.0.0.1:", FreePort());
    settings_.http_listen = "127.0.0.1:0";
    settings_.backend = engine_server_->local().ToString();
    settings_.backend_kind = "engine";
    settings_.log_service = log_server_->local().ToString();
    settings_.drain_seconds = 20;
    log_.AppendRecord("members",
                      RouterOpenRecord{"router-a", "router-1", "patan"});
    log_.AppendRecord("members",
                      RouterOpenRecord{"router-b", "router-2", "thimi"});
  }

  void TearDown() override { Terminate(); }

  std::unique_ptr<HttpServer> StartServer(HttpHandler handler) {
    HttpServerOptions options;
    options.local = {"127.0.0.1", 0};
    auto server = HttpServer::Start(*runtime_, options, std::move(handler));
    EXPECT_TRUE(server.ok()) << server.status();
    return *std::move(server);
  }

  // Returns a port on which nothing listens.
  static uint16_t FreePort() {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    socklen_t size = sizeof(address);
    EXPECT_EQ(bind(fd, generic, size), 0);
    EXPECT_EQ(getsockname(fd, generic, &size), 0);
    close(fd);
    return ntohs(address.sin_port);
  }

  // Starts the sidecar and waits until it has appended its GateOpen record.
  void Start() {
    sidecar_ = std::thread([this] {
      const absl::Status status = RunSidecar(settings_);
      EXPECT_TRUE(status.ok()) << status;
    });
    WaitUntil([&] { return !Members<GateOpenRecord>().empty(); });
  }

  void Terminate() {
    if (sidecar_.joinable()) {
      kill(getpid(), SIGTERM);
      sidecar_.join();
    }
  }

  template <typename RecordT>
  std::vector<RecordT> Members() {
    return log_.Records<RecordT>("members");
  }

  template <typename Condition>
  void WaitUntil(Condition condition) {
    const absl::Time deadline = absl::Now() + kTestTimeout;
    while (!condition()) {
      ASSERT_LT(absl::Now(), deadline);
      absl::SleepFor(kPollInterval);
    }
  }

  std::unique_ptr<TestRouter> Connect(const std::string& incarnation) {
    return std::make_unique<TestRouter>(
        *runtime_, *Endpoint::Parse(settings_.listen), incarnation);
  }

  // Connects a router and waits for the sidecar's Hello.
  std::unique_ptr<TestRouter> ConnectAndAwaitHello(
      const std::string& incarnation) {
    auto router = Connect(incarnation);
    router->Next(fb::FrameBody::Hello);
    return router;
  }

  static void Settle(TestRouter& router, const std::string& request) {
    fb::SettledT settled;
    settled.request = request;
    router.Send(settled);
  }

  static fb::DispatchT ChatDispatch(const std::string& request) {
    fb::DispatchT dispatch;
    dispatch.request = request;
    dispatch.attempt = 1;
    dispatch.router = "router-a";
    dispatch.budget = "permits";
    dispatch.caller = "ward-7";
    dispatch.prompt_tokens = 5;
    dispatch.max_output_tokens = 50;
    dispatch.reserved_tokens = 55;
    dispatch.method = "POST";
    dispatch.target = "/v1/chat/completions";
    return dispatch;
  }

  static fb::DispatchT ServiceDispatch(const std::string& request) {
    fb::DispatchT dispatch = ChatDispatch(request);
    dispatch.kind = fb::CallKind::Service;
    dispatch.fence = 7;
    dispatch.target = "/order";
    dispatch.body = {'k', 'i', 't'};
    return dispatch;
  }

  FakeLogService log_;
  FakeEngine engine_;
  SidecarSettings settings_;
  std::unique_ptr<Runtime> runtime_;
  std::unique_ptr<HttpServer> log_server_;
  std::unique_ptr<HttpServer> engine_server_;
  std::thread sidecar_;
};

TEST_F(SidecarTest, SettledChatIsStreamedToItsEndAndNotBilledBySidecar) {
  Start();
  auto router = Connect("router-a");
  EXPECT_EQ(router->Next(fb::FrameBody::Hello).body.AsHello()->server,
            "engine-1");
  router->Send(ChatDispatch("r1"));
  std::string body;
  const fb::EndT end = router->NextEnd(&body);
  EXPECT_EQ(end.kind, fb::EndKind::Completed) << end.detail;
  EXPECT_EQ(end.bytes, static_cast<int64_t>(body.size()));
  EXPECT_EQ(end.checksum, StableHash(body));
  EXPECT_EQ(end.prompt_tokens, 5);
  EXPECT_EQ(end.output_tokens, 3);
  Settle(*router, "r1");
  Terminate();
  EXPECT_TRUE(log_.Records<BillRecord>("ledger-0").empty());
  EXPECT_EQ(Members<GateClosedRecord>().size(), 1u);
  EXPECT_EQ(engine_.cancels, 1) << "the run left by an earlier incarnation";
}

TEST_F(SidecarTest, UnsettledRunIsBilledOnceBySidecarBeforeShutdown) {
  Start();
  auto router = ConnectAndAwaitHello("router-a");
  router->Send(ChatDispatch("r1"));
  std::string body;
  router->NextEnd(&body);
  Terminate();  // Waits for the bill.
  const auto bills = log_.Records<BillRecord>("ledger-0");
  ASSERT_EQ(bills.size(), 1u);
  EXPECT_EQ(bills[0].charged_tokens, 8);
  EXPECT_EQ(bills[0].incarnation, "router-a");
}

TEST_F(SidecarTest, ShutdownCompletesActiveRunAndReportsLeaving) {
  engine_.token_ms = 100;
  engine_.tokens = 10;
  Start();
  auto router = ConnectAndAwaitHello("router-a");
  router->Send(ChatDispatch("r1"));
  router->Next(fb::FrameBody::Data);
  kill(getpid(), SIGTERM);
  while (!router->Next(fb::FrameBody::Load).body.AsLoad()->leaving) {
  }
  router->Send(ChatDispatch("r2"));
  EXPECT_EQ(router->Next(fb::FrameBody::Refused).body.AsRefused()->reason,
            fb::RefusalReason::Leaving);
  std::string body;
  const fb::EndT end = router->NextEnd(&body);
  EXPECT_EQ(end.kind, fb::EndKind::Completed) << end.detail;
  EXPECT_EQ(end.output_tokens, 10);
  Settle(*router, "r1");
  sidecar_.join();
  EXPECT_EQ(Members<GateClosedRecord>().size(), 1u);
}

// The log is unavailable, so the bill of the ended run cannot become durable.
// The shutdown must give up after settle_seconds instead of drain_seconds.
TEST_F(SidecarTest, ShutdownWithoutLogEndsAfterSettleSeconds) {
  settings_.settle_seconds = 1;
  Start();
  auto router = ConnectAndAwaitHello("router-a");
  router->Send(ChatDispatch("r1"));
  std::string body;
  router->NextEnd(&body);
  log_server_.reset();
  const absl::Time begun = absl::Now();
  Terminate();
  EXPECT_LT(absl::Now() - begun, absl::Seconds(settings_.drain_seconds) / 2);
  EXPECT_TRUE(Members<GateClosedRecord>().empty());
}

TEST_F(SidecarTest, SuspectedRouterIsSealedAfterItsBillsAreDurable) {
  engine_.token_ms = 100;
  engine_.tokens = 200;
  Start();
  auto router = ConnectAndAwaitHello("router-a");
  router->Send(ChatDispatch("r1"));
  router->Next(fb::FrameBody::Data);
  log_.AppendRecord("members", RouterSuspectRecord{"router-a", "silent"});
  router->WaitEnded();
  WaitUntil([&] { return !Members<GateSealedRecord>().empty(); });
  const auto bills = log_.Records<BillRecord>("ledger-0");
  ASSERT_EQ(bills.size(), 1u);
  EXPECT_EQ(bills[0].outcome, Outcome::kCancelled);
  EXPECT_LT(bills[0].output_tokens, 200);
  Connect("router-a")->WaitEnded();
}

TEST_F(SidecarTest, ServiceCallWithLostAnswerIsUnknownAndNeverRunsAgain) {
  engine_.abort_service_calls = true;
  Start();
  auto router = ConnectAndAwaitHello("router-a");
  router->Send(ServiceDispatch("o1"));
  std::string body;
  EXPECT_EQ(router->NextEnd(&body).kind, fb::EndKind::Unknown);
  engine_.abort_service_calls = false;
  fb::DispatchT retry = ServiceDispatch("o1");
  retry.attempt = 2;
  router->Send(retry);
  EXPECT_EQ(router->NextEnd(&body).kind, fb::EndKind::Unknown);
  EXPECT_EQ(engine_.runs, 1);
  Settle(*router, "o1");
}

TEST_F(SidecarTest, ServiceCallIsReplayedToAnotherRouterWithoutSecondRun) {
  Start();
  auto router = ConnectAndAwaitHello("router-a");
  router->Send(ServiceDispatch("o1"));
  std::string body;
  EXPECT_EQ(router->NextEnd(&body).kind, fb::EndKind::Completed);
  EXPECT_EQ(body, "kit");
  auto other = Connect("router-b");
  other->Next(fb::FrameBody::Hello);
  fb::DispatchT retry = ServiceDispatch("o1");
  retry.router = "router-b";
  other->Send(retry);
  std::string replayed;
  EXPECT_EQ(other->NextEnd(&replayed).kind, fb::EndKind::Completed);
  EXPECT_EQ(replayed, "kit");
  EXPECT_EQ(engine_.runs, 1);
  Settle(*other, "o1");
}

TEST_F(SidecarTest, SecondLinkOfRouterClosesFirstLink) {
  Start();
  auto first = Connect("router-a");
  first->Next(fb::FrameBody::Hello);
  auto second = Connect("router-a");
  second->Next(fb::FrameBody::Hello);
  first->WaitEnded();
}

TEST_F(SidecarTest, RouterWithoutRouterOpenRecordIsRefused) {
  Start();
  auto router = Connect("router-x");
  EXPECT_EQ(router->Next(fb::FrameBody::Refused).body.AsRefused()->reason,
            fb::RefusalReason::NotReady);
  fb::DispatchT dispatch = ChatDispatch("r1");
  dispatch.router = "router-x";
  router->Send(dispatch);
  router->WaitEnded();
  EXPECT_EQ(engine_.runs, 0);
}

TEST_F(SidecarTest, RouterWhoseRouterOpenRecordFollowsItsHelloIsServed) {
  Start();
  auto router = Connect("router-x");
  log_.AppendRecord("members",
                    RouterOpenRecord{"router-x", "router-3", "patan"});
  EXPECT_EQ(router->Next(fb::FrameBody::Hello).body.AsHello()->server,
            "engine-1");
}

TEST_F(SidecarTest, ClosedRouterIsRefused) {
  Start();
  auto router = ConnectAndAwaitHello("router-a");
  log_.AppendRecord("members", RouterClosedRecord{"router-a"});
  absl::SleepFor(absl::Milliseconds(300));
  router->Send(ChatDispatch("r1"));
  EXPECT_EQ(router->Next(fb::FrameBody::Refused).body.AsRefused()->request,
            "r1");
  EXPECT_EQ(engine_.runs, 0);
}

TEST_F(SidecarTest, ReplacedSidecarStopsServingAndOpensNewIncarnation) {
  Start();
  auto router = Connect("router-a");
  const std::string first =
      router->Next(fb::FrameBody::Hello).body.AsHello()->incarnation;
  log_.AppendRecord("members",
                    GateOpenRecord{"sidecar-1", "newer", "engine-1"});
  router->WaitEnded();
  WaitUntil([&] { return Members<GateOpenRecord>().size() == 3; });
  auto reconnected = Connect("router-a");
  const std::string second =
      reconnected->Next(fb::FrameBody::Hello).body.AsHello()->incarnation;
  EXPECT_NE(second, first);
  EXPECT_EQ(second, Members<GateOpenRecord>().back().incarnation);
}

TEST_F(SidecarTest, RequestToUnreachableBackendEndsNotRun) {
  settings_.backend = absl::StrCat("127.0.0.1:", FreePort());
  Start();
  auto router = ConnectAndAwaitHello("router-a");
  router->Send(ServiceDispatch("o1"));
  std::string body;
  EXPECT_EQ(router->NextEnd(&body).kind, fb::EndKind::NotRun);
}

TEST_F(SidecarTest, OutputBeyondLimitIsCutOffAndCancelledAtEngine) {
  engine_.tokens = 500;
  Start();
  auto router = ConnectAndAwaitHello("router-a");
  router->Send(ChatDispatch("r1"));
  std::string body;
  const fb::EndT end = router->NextEnd(&body);
  EXPECT_EQ(end.kind, fb::EndKind::BackendFailed);
  WaitUntil([&] { return engine_.cancels >= 2; });
  Settle(*router, "r1");
}

}  // namespace
}  // namespace hawthornhollow
