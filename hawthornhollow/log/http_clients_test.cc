#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "hawthornhollow/log/log.h"

namespace hawthornhollow {
namespace {

using ::testing::ElementsAre;
using ::testing::HasSubstr;

// A server that gives one set answer and keeps the last request.
class HttpClientsTest : public ::testing::Test {
 protected:
  HttpClientsTest() {
    auto runtime = Runtime::Create({.threads = 2});
    EXPECT_TRUE(runtime.ok()) << runtime.status();
    runtime_ = *std::move(runtime);
    OnFiber([this] {
      HttpServerOptions options;
      options.local = {"127.0.0.1", 0};
      auto server = HttpServer::Start(
          *runtime_, options,
          [this](const HttpRequest& request, ResponseWriter& writer) {
            std::unique_lock lock(mutex_);
            request_ = request;
            const HttpResponse answer = answer_;
            lock.unlock();
            (void)writer.Send(answer);
          });
      EXPECT_TRUE(server.ok()) << server.status();
      server_ = *std::move(server);
    });
  }
  ~HttpClientsTest() override {
    OnFiber([this] { server_.reset(); });
    runtime_->Stop();
  }

  // Runs `task` on a fiber of the runtime and waits for its end.
  void OnFiber(std::function<void()> task) {
    std::mutex mutex;
    std::condition_variable changed;
    bool done = false;
    runtime_->Spawn([&] {
      task();
      std::lock_guard lock(mutex);
      done = true;
      changed.notify_all();
    });
    std::unique_lock lock(mutex);
    changed.wait(lock, [&] { return done; });
  }
  void Answer(int status, std::string body) {
    std::lock_guard lock(mutex_);
    answer_ = {.status = status, .headers = {}, .body = std::move(body)};
  }
  absl::StatusOr<int64_t> Append(std::string_view data) {
    absl::StatusOr<int64_t> offset;
    OnFiber([&] {
      HttpLogClient client(server_->local());
      offset = client.Append("budget-0", data);
    });
    return offset;
  }
  absl::StatusOr<LogRead> Read() {
    absl::StatusOr<LogRead> read;
    OnFiber([&] {
      HttpLogClient client(server_->local());
      read = client.Read("budget-0", 12, 100, absl::Milliseconds(500));
    });
    return read;
  }
  absl::StatusOr<std::vector<VmEntry>> ListVms() {
    absl::StatusOr<std::vector<VmEntry>> vms;
    OnFiber([&] { vms = HttpVmListClient(server_->local()).List(); });
    return vms;
  }

  std::unique_ptr<Runtime> runtime_;
  std::unique_ptr<HttpServer> server_;
  std::mutex mutex_;
  HttpRequest request_;
  HttpResponse answer_;
};

TEST_F(HttpClientsTest, Append_Accepted_SendsTheBytesAndReturnsTheOffset) {
  Answer(200, R"({"offset":12})");
  const std::string bytes("a\0\xff", 3);
  auto offset = Append(bytes);
  ASSERT_TRUE(offset.ok()) << offset.status();
  EXPECT_EQ(*offset, 12);
  EXPECT_EQ(request_.method, "POST");
  EXPECT_EQ(request_.target, "/streams/budget-0");
  EXPECT_EQ(request_.body, bytes);
}

TEST_F(HttpClientsTest, Append_Refused_ErrorSaysWhetherItMayHaveLanded) {
  const std::pair<int, absl::StatusCode> cases[] = {
      {429, absl::StatusCode::kResourceExhausted},
      {503, absl::StatusCode::kUnavailable},
      {413, absl::StatusCode::kInvalidArgument},
  };
  for (const auto& [status, code] : cases) {
    Answer(status, "{}");
    auto offset = Append("x");
    EXPECT_EQ(offset.status().code(), code) << status;
    EXPECT_THAT(std::string(offset.status().message()),
                HasSubstr("step=log.append peer=127.0.0.1:"));
  }
}

TEST_F(HttpClientsTest, Read_Entries_AreDecodedFromBase64) {
  Answer(200, R"({"oldest":3,"next":14,"entries":[)"
              R"({"offset":12,"data":"AP8="},{"offset":13,"data":""}]})");
  auto read = Read();
  ASSERT_TRUE(read.ok()) << read.status();
  EXPECT_EQ(read->oldest, 3);
  EXPECT_EQ(read->next, 14);
  EXPECT_THAT(read->entries, ElementsAre(LogEntry{12, std::string("\0\xff", 2)},
                                         LogEntry{13, ""}));
  EXPECT_EQ(request_.target, "/streams/budget-0?from=12&max=100&wait_ms=500");
}

TEST_F(HttpClientsTest, Read_MalformedAnswers_AreDataLoss) {
  for (const char* body :
       {"", "[]", "{}", R"({"oldest":0,"next":1,"entries":7})",
        R"({"oldest":0,"next":1.5,"entries":[]})",
        R"({"oldest":0,"next":1,"entries":[{"offset":0,"data":"*"}]})",
        R"({"oldest":0,"next":1,"entries":[{"offset":"0","data":""}]})"}) {
    Answer(200, body);
    EXPECT_TRUE(absl::IsDataLoss(Read().status())) << body;
  }
}

TEST_F(HttpClientsTest, ListVms_LiveAndLeaving_AreToldApart) {
  Answer(200, R"({"vms":[{"name":"router-1","state":"live"},)"
              R"({"name":"router-2","state":"leaving"}]})");
  auto vms = ListVms();
  ASSERT_TRUE(vms.ok()) << vms.status();
  EXPECT_THAT(
      *vms, ElementsAre(VmEntry{"router-1", false}, VmEntry{"router-2", true}));
  Answer(200, R"({"vms":[{"name":"router-1","state":"asleep"}]})");
  EXPECT_TRUE(absl::IsDataLoss(ListVms().status()));
  Answer(503, "{}");
  EXPECT_TRUE(absl::IsUnavailable(ListVms().status()));
}

}  // namespace
}  // namespace hawthornhollow
