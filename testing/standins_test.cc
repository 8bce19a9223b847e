// Checks of the stand-ins' behaviour that other tests rely on.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <chrono>
#include <csignal>
#include <future>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/time/clock.h"
#include "testing/processes.h"

namespace hawthornhollow {
namespace {

using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::StartsWith;

constexpr absl::Duration kCallTimeout = absl::Seconds(5);

HttpRequest MakeRequest(const std::string& method,
                        const std::string& target,
                        const HttpHeaders& headers = {},
                        const std::string& body = "") {
  HttpRequest request;
  request.method = method;
  request.target = target;
  request.headers = headers;
  request.body = body;
  return request;
}

class StandinsTest : public ::testing::Test {
 protected:
  void StartStandin(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), STANDINS);
    absl::StatusOr<ReadyProcess> ready =
        ReadyProcess::Start(arguments, ::testing::TempDir() + "standins.err");
    ASSERT_TRUE(ready.ok()) << ready.status();
    standin_.emplace(*std::move(ready));
  }

  absl::StatusOr<HttpResponse> Call(const HttpRequest& request,
                                    absl::Duration timeout = kCallTimeout) {
    return PlainHttp(standin_->endpoint, request, timeout);
  }

  // The status of a POST; 0 if the connection broke or timed out.
  int Post(const std::string& target,
           const std::string& body,
           const HttpHeaders& headers = {},
           absl::Duration timeout = kCallTimeout) {
    absl::StatusOr<HttpResponse> response =
        Call(MakeRequest("POST", target, headers, body), timeout);
    return response.ok() ? response->status : 0;
  }

  boost::json::value Get(const std::string& target) {
    absl::StatusOr<HttpResponse> response = Call(MakeRequest("GET", target));
    EXPECT_TRUE(response.ok()) << response.status();
    return response.ok() ? boost::json::parse(response->body) : nullptr;
  }

  // Calls Get until `done(value)`, for at most the call timeout.
  template <typename Done>
  bool Eventually(const std::string& target, Done done) {
    const absl::Time deadline = absl::Now() + kCallTimeout;
    while (absl::Now() < deadline) {
      if (done(Get(target))) {
        return true;
      }
      absl::SleepFor(absl::Milliseconds(5));
    }
    return false;
  }

  std::optional<ReadyProcess> standin_;
};

TEST(FreePortTest, ManyPortsAreTaken_NoneIsGivenTwice) {
  constexpr size_t kPorts = 400;
  std::set<uint16_t> ports;
  for (size_t i = 0; i < kPorts; ++i)
    ports.insert(FreePort());
  EXPECT_EQ(ports.size(), kPorts);
  EXPECT_FALSE(ports.contains(0));
}

TEST_F(StandinsTest, ProcessOnSigtermExitsZero) {
  StartStandin({"vms"});
  ASSERT_TRUE(standin_->process->Signal(SIGTERM).ok());
  absl::StatusOr<int> code = standin_->process->Wait(kCallTimeout);
  ASSERT_TRUE(code.ok()) << code.status();
  EXPECT_EQ(*code, 0);
}

TEST_F(StandinsTest, BadFlagExitsTwo) {
  auto process = ChildProcess::Start({STANDINS, "log", "--retentoin=3"},
                                     ::testing::TempDir() + "standins.err");
  ASSERT_TRUE(process.ok()) << process.status();
  absl::StatusOr<int> code = (*process)->Wait(kCallTimeout);
  ASSERT_TRUE(code.ok()) << code.status();
  EXPECT_EQ(*code, 2);
}

class LogStandinTest : public StandinsTest {
 protected:
  std::vector<std::string> Entries(const std::string& target) {
    std::vector<std::string> entries;
    const boost::json::value read = Get(target);
    for (const boost::json::value& entry : read.at("entries").as_array()) {
      std::string data;
      const std::string encoded(entry.at("data").as_string());
      EXPECT_TRUE(absl::Base64Unescape(encoded, &data));
      entries.push_back(std::to_string(entry.at("offset").as_int64()) + ":" +
                        data);
    }
    return entries;
  }
};

TEST_F(LogStandinTest, AppendsWithRetentionKeepOffsets) {
  StartStandin({"log", "--retention=2"});
  EXPECT_EQ(Get("/streams/a").at("next").as_int64(), 0);
  for (const char* data : {"x", "y", "z"}) {
    EXPECT_EQ(Post("/streams/a", data), 200);
  }
  EXPECT_EQ(Get("/streams/a?from=0").at("oldest").as_int64(), 1);
  EXPECT_THAT(Entries("/streams/a?from=0"), ElementsAre("1:y", "2:z"));
  EXPECT_THAT(Entries("/streams/a?from=2&max=1"), ElementsAre("2:z"));
}

TEST_F(LogStandinTest, WaitingReadOnAppendAnswersPromptly) {
  StartStandin({"log"});
  auto read = std::async(std::launch::async, [this] {
    const std::vector<std::string> entries =
        Entries("/streams/a?from=0&wait_ms=4000");
    return std::pair(entries, absl::Now());
  });
  ASSERT_TRUE(Eventually("/control", [](const boost::json::value& control) {
    return control.at("streams").as_object().contains("a");
  }));
  const absl::Time appended = absl::Now();
  EXPECT_EQ(Post("/streams/a", "x"), 200);
  const auto [entries, answered] = read.get();
  EXPECT_THAT(entries, ElementsAre("0:x"));
  EXPECT_LT(answered - appended, absl::Seconds(1));
}

TEST_F(LogStandinTest, LostReplyTookEffect) {
  StartStandin({"log", "--lose-replies=1"});
  EXPECT_NE(Post("/streams/a", "x"), 200);
  EXPECT_THAT(Entries("/streams/a"), ElementsAre("0:x"));
}

TEST_F(LogStandinTest, HeldAppendLandsOnRelease) {
  StartStandin({"log"});
  EXPECT_EQ(Post("/control", R"({"hold_appends":true})"), 200);
  EXPECT_EQ(Post("/streams/a", "late"), 0);
  EXPECT_EQ(Post("/control", R"({"hold_appends":false})"), 200);
  EXPECT_EQ(Post("/streams/a", "early"), 200);
  EXPECT_EQ(Post("/control", R"({"release":true})"), 200);
  EXPECT_THAT(Entries("/streams/a"), ElementsAre("0:early", "1:late"));
}

TEST_F(LogStandinTest, AppendOverRateHasNoEffect) {
  StartStandin({"log", "--rate=1"});
  EXPECT_EQ(Post("/streams/a", "x"), 200);
  EXPECT_EQ(Post("/streams/a", "y"), 429);
  EXPECT_THAT(Entries("/streams/a"), ElementsAre("0:x"));
}

TEST_F(LogStandinTest, OutageRefusesAppendsAndReads) {
  StartStandin({"log"});
  EXPECT_EQ(Post("/control", R"({"outage":true})"), 200);
  EXPECT_EQ(Post("/streams/a", "x"), 503);
  EXPECT_EQ(Call(MakeRequest("GET", "/streams/a"))->status, 503);
  EXPECT_EQ(Post("/control", R"({"outrage":true})"), 400);
}

class EngineStandinTest : public StandinsTest {
 protected:
  static HttpRequest Chat(const std::string& id,
                          const std::string& content,
                          int priority = 0) {
    return MakeRequest("POST", "/v1/chat/completions",
                       {{"X-Request-Id", id},
                        {"X-Priority", std::to_string(priority)},
                        {"X-Fence", "7"}},
                       R"({"model":"m","max_tokens":1000,"stream":true,)"
                       R"("messages":[{"role":"user","content":")" +
                           content + R"("}]})");
  }

  std::future<absl::StatusOr<HttpResponse>> CallInBackground(
      const HttpRequest& request) {
    return std::async(std::launch::async,
                      [this, request] { return Call(request); });
  }

  bool WaitForRunning(size_t count) {
    return Eventually("/running", [&](const boost::json::value& value) {
      return value.at("running").as_array().size() == count;
    });
  }
};

TEST_F(EngineStandinTest, StreamHasTokensThenUsageThenDone) {
  StartStandin({"engine", "--token-ms=1", "--prefill-ms-per-1k=0"});
  absl::StatusOr<HttpResponse> response = Call(Chat("r1", "answer:3"));
  ASSERT_TRUE(response.ok()) << response.status();
  std::vector<std::string> contents;
  const std::string& body = response->body;
  boost::json::value last;
  for (size_t at = 0; body.compare(at, 12, "data: [DONE]") != 0;) {
    const size_t end = body.find("\n\n", at);
    ASSERT_NE(end, std::string::npos) << body;
    last = boost::json::parse(body.substr(at + 6, end - at - 6));
    const auto& delta = last.at("choices").at(0).at("delta").as_object();
    if (delta.contains("content")) {
      contents.emplace_back(delta.at("content").as_string());
    }
    EXPECT_EQ(last.at("id").as_string(), "r1");
    at = end + 2;
  }
  EXPECT_THAT(contents, ElementsAre("t0 ", "t1 ", "t2 "));
  EXPECT_EQ(last.at("usage").at("prompt_tokens").as_int64(), 2);
  EXPECT_EQ(last.at("usage").at("completion_tokens").as_int64(), 3);
}

TEST_F(EngineStandinTest, CancelEndsStreamAndFreesSlot) {
  StartStandin({"engine", "--token-ms=5"});
  auto response = CallInBackground(Chat("r1", "answer:900"));
  ASSERT_TRUE(WaitForRunning(1));
  const auto running = Get("/running").at("running").at(0);
  EXPECT_EQ(running.at("id").as_string(), "r1");
  EXPECT_EQ(running.at("fence").as_int64(), 7);
  EXPECT_EQ(Post("/v1/cancel", R"({"request_id":"r1"})"), 200);
  absl::StatusOr<HttpResponse> ended = response.get();
  ASSERT_TRUE(ended.ok()) << ended.status();
  EXPECT_THAT(ended->body, HasSubstr("\"cancelled\""));
  EXPECT_TRUE(WaitForRunning(0));
  EXPECT_EQ(Get("/counts").at("cancelled").as_int64(), 1);
}

TEST_F(EngineStandinTest, DisconnectCancelsUnlessKept) {
  StartStandin({"engine", "--token-ms=5"});
  EXPECT_FALSE(Call(Chat("r1", "answer:900"), absl::Milliseconds(100)).ok());
  EXPECT_TRUE(WaitForRunning(0));
  EXPECT_EQ(Get("/counts").at("cancelled").as_int64(), 1);

  StartStandin({"engine", "--token-ms=5", "--keep-on-disconnect"});
  EXPECT_FALSE(Call(Chat("r2", "answer:60"), absl::Milliseconds(100)).ok());
  absl::StatusOr<HttpResponse> rest = Call(MakeRequest(
      "POST", "/v1/resume", {}, R"({"request_id":"r2","from_token":58})"));
  ASSERT_TRUE(rest.ok()) << rest.status();
  EXPECT_THAT(rest->body, HasSubstr("\"t58 \""));
  EXPECT_THAT(rest->body, Not(HasSubstr("\"t57 \"")));
  const auto counts = Get("/counts").at("requests").at("r2");
  EXPECT_EQ(counts.at("runs").as_int64(), 1);
  EXPECT_EQ(counts.at("tokens").as_int64(), 60);
}

TEST_F(EngineStandinTest, FullBatchServesByPriorityThenArrival) {
  StartStandin({"engine", "--slots=1", "--token-ms=2"});
  auto first = CallInBackground(Chat("first", "answer:900"));
  ASSERT_TRUE(WaitForRunning(1));
  auto low = CallInBackground(Chat("low", "answer:900", 5));
  ASSERT_TRUE(WaitForRunning(2));
  auto high = CallInBackground(Chat("high", "answer:1", 1));
  ASSERT_TRUE(WaitForRunning(3));
  EXPECT_FALSE(Get("/counts").at("requests").as_object().contains("high"));
  EXPECT_EQ(Post("/v1/cancel", R"({"request_id":"first"})"), 200);
  ASSERT_TRUE(high.get().ok());
  ASSERT_TRUE(WaitForRunning(1));
  const auto running = Get("/running").at("running").at(0);
  EXPECT_EQ(running.at("id").as_string(), "low");
  EXPECT_LT(running.at("tokens").as_int64(), 900);
  EXPECT_EQ(Post("/v1/cancel", R"({"request_id":"low"})"), 200);
}

TEST_F(EngineStandinTest, FrozenEngineAnswersOnlyAfterThaw) {
  StartStandin({"engine", "--token-ms=1"});
  EXPECT_EQ(Post("/control", R"({"freeze":true})"), 200);
  auto response = CallInBackground(Chat("r1", "answer:2"));
  EXPECT_EQ(response.wait_for(std::chrono::milliseconds(200)),
            std::future_status::timeout);
  EXPECT_EQ(Post("/control", R"({"freeze":false})"), 200);
  EXPECT_TRUE(response.get().ok());
}

TEST_F(EngineStandinTest, OldFenceIsRefusedOnlyIfChecked) {
  StartStandin({"engine", "--fencing=check"});
  EXPECT_EQ(Post("/admin/load_model", R"({"fence":5,"model":"m"})"), 200);
  EXPECT_EQ(Post("/admin/role", R"({"fence":4,"role":"prefill"})"), 409);

  StartStandin({"engine", "--fencing=ignore"});
  EXPECT_EQ(Post("/admin/load_model", R"({"fence":5})"), 200);
  EXPECT_EQ(Post("/admin/role", R"({"fence":4})"), 200);
}

TEST_F(EngineStandinTest, LoadAndCacheEventsComeLate) {
  StartStandin({"engine", "--token-ms=5", "--load-lag-ms=600",
                "--event-lag-ms=600", "--event-drop=0"});
  auto response = CallInBackground(Chat("r1", "answer:200"));
  ASSERT_TRUE(WaitForRunning(1));
  EXPECT_EQ(Get("/load").at("running").as_int64(), 0);
  EXPECT_TRUE(Get("/events?from=0").at("events").as_array().empty());
  EXPECT_TRUE(Eventually("/load", [](const boost::json::value& load) {
    return load.at("running").as_int64() == 1;
  }));
  EXPECT_TRUE(Eventually("/events?from=0", [](const boost::json::value& read) {
    return read.at("events").as_array().size() == 1;
  }));
  EXPECT_TRUE(response.get().ok());
}

TEST_F(StandinsTest, ServiceCountsEachRunOfAnOrder) {
  StartStandin({"service", "--work-ms=0"});
  const HttpHeaders order = {{"X-Request-Id", "o1"}};
  EXPECT_EQ(Post("/book", "abc", order), 200);
  EXPECT_EQ(Post("/control", R"({"fail_after_run":1})"), 200);
  EXPECT_EQ(Post("/book", "abc", order), 0);
  EXPECT_EQ(Post("/control", R"({"fail_after_run":0,"fail_before_run":1})"),
            200);
  EXPECT_EQ(Post("/book", "abc", order), 503);
  const boost::json::value counts = Get("/counts");
  EXPECT_EQ(counts.at("orders").at("o1").as_int64(), 2);
  EXPECT_EQ(counts.at("total").as_int64(), 2);
}

TEST_F(StandinsTest, VmListShowsChangesAfterTheLag) {
  StartStandin({"vms", "--lag-ms=600"});
  EXPECT_EQ(Post("/vms", R"({"name":"router-1","state":"leaving"})"), 200);
  EXPECT_TRUE(Get("/vms").at("vms").as_array().empty());
  EXPECT_TRUE(Eventually("/vms", [](const boost::json::value& list) {
    const boost::json::array& vms = list.at("vms").as_array();
    return vms.size() == 1 && vms[0].at("state") == "leaving";
  }));
  EXPECT_EQ(Post("/vms", R"({"name":"router-1","state":"gone"})"), 200);
  EXPECT_TRUE(Eventually("/vms", [](const boost::json::value& list) {
    return list.at("vms").as_array().empty();
  }));
}

}  // namespace
}  // namespace hawthornhollow
