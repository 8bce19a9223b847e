#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <memory>

#include "hawthornhollow/http/http.h"

namespace hawthornhollow {
namespace {

class HttpClientTest : public testing::Test {
 protected:
  static constexpr absl::Duration kTimeout = absl::Seconds(5);

  void SetUp() override {
    auto runtime = Runtime::Create({.threads = 1});
    ASSERT_TRUE(runtime.ok()) << runtime.status();
    runtime_ = *std::move(runtime);
    auto server =
        HttpServer::Start(*runtime_, {.local = {"127.0.0.1", 0}},
                          [this](const HttpRequest&, ResponseWriter& writer) {
                            ++requests_;
                            writer.Send({}).IgnoreError();
                          });
    ASSERT_TRUE(server.ok()) << server.status();
    server_ = *std::move(server);
  }
  void TearDown() override {
    server_.reset();
    runtime_.reset();
  }

  // The outcome of one request, which is sent only if `may_send`.
  absl::Status OpenIf(bool may_send) {
    std::promise<absl::Status> status;
    runtime_->Spawn([&] {
      const auto opened =
          client_.Open(server_->local(), std::make_shared<const HttpRequest>(),
                       kTimeout, kTimeout, [&] { return may_send; });
      if (opened.ok())
        (*opened)->ReadHead(kTimeout).status().IgnoreError();
      status.set_value(opened.status());
    });
    return status.get_future().get();
  }

  std::unique_ptr<Runtime> runtime_;
  std::unique_ptr<HttpServer> server_;
  HttpClient client_;
  std::atomic<int> requests_ = 0;
};

// A failure domain that is evacuated while a connection is being made.
TEST_F(HttpClientTest, RequestNotToBeSentAnyMore_DoesNotArrive) {
  EXPECT_EQ(OpenIf(false).code(), absl::StatusCode::kCancelled);
  EXPECT_EQ(requests_, 0);
  EXPECT_TRUE(OpenIf(true).ok());
  EXPECT_EQ(requests_, 1);
}

}  // namespace
}  // namespace hawthornhollow
