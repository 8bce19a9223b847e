#ifndef TESTING_ENTRY_FIXTURE_H_
#define TESTING_ENTRY_FIXTURE_H_

// Runs the program of the entry VMs as a process, before stand-ins of the
// users' platform: a store and two backend servers.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "testing/platform_standin.h"
#include "testing/platform_standin_messages.h"
#include "testing/processes.h"

namespace hawthornhollow {

class EntryFixture : public testing::Test {
 protected:
  static constexpr int64_t kPromptTokens = 100;
  static constexpr int64_t kMaxOutputTokens = 60;
  static constexpr int64_t kTokensPerEvent = 4;
  static constexpr int64_t kUsedTokens =
      kPromptTokens + standins::ReplicaStandin::kEvents * kTokensPerEvent;
  static constexpr absl::Duration kWait = absl::Seconds(10);

  void SetUp() override {
    auto runtime = Runtime::Create({.threads = 1});
    ASSERT_TRUE(runtime.ok()) << runtime.status();
    runtime_ = *std::move(runtime);
    store_server_ = Listen(store_.Handler());
    // No ports that the system gives to connections: one that was closed for a
    // while has to be free when its server is back.
    for (auto& replica : replicas_) {
      replica_servers_.push_back(
          Listen(replica->Handler(), {"127.0.0.1", FreePort()}));
    }
    callers_ = {"127.0.0.1", FreePort()};
    readiness_ = {"127.0.0.1", FreePort()};
    peers_ = {"127.0.0.1", FreePort()};
    folder_ = testing::TempDir() + "/entry-" + std::to_string(callers_.port);
  }

  void TearDown() override {
    second_.reset();
    entry_.reset();
    replica_servers_.clear();
    store_server_.reset();
    runtime_.reset();
  }

  std::unique_ptr<HttpServer> Listen(HttpHandler handler,
                                     const Endpoint& local = {"127.0.0.1", 0}) {
    auto server =
        HttpServer::Start(*runtime_, {.local = local}, std::move(handler));
    EXPECT_TRUE(server.ok()) << server.status();
    return *std::move(server);
  }

  void PutConfiguration(int64_t prepaid, int64_t version = 1) {
    standins::PutConfiguration(
        store_,
        {.version = version,
         .tokens_per_event = kTokensPerEvent,
         .workspaces = {{.name = "ward-7", .key = "k1", .prepaid = prepaid}}});
  }

  void PutServers() {
    for (size_t i = 0; i < replicas_.size(); ++i) {
      standins::PutServer(store_, absl::StrCat("i-", i),
                          replica_servers_[i]->local(), /*sequence=*/1);
    }
  }

  void StartEntry() {
    const std::string file = folder_ + ".json";
    std::ofstream(file) << standins::EntrySettings(
        "entry-1", {.callers = callers_,
                    .readiness = readiness_,
                    .peers = peers_,
                    .store = store_server_->local(),
                    .link_mbps = link_mbps_,
                    .memory_mb = memory_mb_,
                    .max_fds = max_fds_});
    std::vector<std::string> command = {ENTRY, "--settings", file};
    if (metrics_port_ != 0) {
      command.insert(command.end(),
                     {"--metrics-port", std::to_string(metrics_port_)});
    }
    auto process = ChildProcess::Start(command, folder_ + ".err");
    ASSERT_TRUE(process.ok()) << process.status();
    entry_ = *std::move(process);
  }

  // A second router, which may reach the store by another path.
  void StartSecond(const Endpoint& store) {
    const std::string file = folder_ + "-2.json";
    std::ofstream(file) << standins::EntrySettings(
        "entry-2", {.callers = second_callers_,
                    .readiness = {"127.0.0.1", FreePort()},
                    .peers = {"127.0.0.1", FreePort()},
                    .store = store});
    auto process =
        ChildProcess::Start({ENTRY, "--settings", file}, folder_ + "-2.err");
    ASSERT_TRUE(process.ok()) << process.status();
    second_ = *std::move(process);
  }
  int StatusAtSecond(const std::string& path) {
    const auto response =
        PlainHttp(second_callers_,
                  standins::MakeCallerRequest(
                      {.id = NextId(), .path = path, .key = "k1"}),
                  kWait);
    return response.ok() ? response->status : 0;
  }
  void AwaitStatusAtSecond(int status) {
    const absl::Time end = absl::Now() + kWait;
    while (StatusAtSecond("/order/a") != status && absl::Now() < end)
      absl::SleepFor(absl::Milliseconds(20));
    EXPECT_EQ(StatusAtSecond("/order/a"), status);
  }

  int Readiness() {
    const auto response =
        PlainHttp(readiness_, {.target = "/ready"}, absl::Seconds(1));
    return response.ok() ? response->status : 0;
  }

  void StartReady(int64_t prepaid = 1'000'000) {
    PutConfiguration(prepaid);
    PutServers();
    StartEntry();
    AwaitReady();
  }

  // Until each of its threads has stopped: the signal alone is no bound, and on
  // a busy machine the process answers for a while.
  void PauseEntry() {
    ASSERT_TRUE(entry_->Signal(SIGSTOP).ok());
    siginfo_t info{};
    ASSERT_EQ(waitid(P_PID, static_cast<id_t>(entry_->Pid()), &info,
                     WSTOPPED | WEXITED | WNOWAIT),
              0);
    ASSERT_EQ(info.si_code, CLD_STOPPED);
  }

  void AwaitReady() {
    const absl::Time end = absl::Now() + kWait;
    while (Readiness() != 200 && absl::Now() < end)
      absl::SleepFor(absl::Milliseconds(20));
    ASSERT_EQ(Readiness(), 200) << ErrorsOfEntry();
  }

  // What the process had to say, if it ended.
  std::string ErrorsOfEntry() const {
    std::ifstream errors(folder_ + ".err");
    return {std::istreambuf_iterator<char>(errors), {}};
  }

  absl::StatusOr<HttpResponse> Send(const std::string& path,
                                    const std::string& key = "k1",
                                    absl::Duration timeout = kWait) {
    const bool is_stream = path.starts_with("/stream/");
    const HttpRequest request = standins::MakeCallerRequest(
        {.id = NextId(),
         .path = path,
         .key = key,
         .prompt_tokens = is_stream ? kPromptTokens : 0,
         .output_tokens = kMaxOutputTokens,
         .prompt_parts = "aa:80,bb:20"});
    return PlainHttp(callers_, request, timeout);
  }

  // Sends a request whose body has `bytes` bytes.
  absl::StatusOr<HttpResponse> SendBody(const std::string& path, size_t bytes) {
    HttpRequest request = standins::MakeCallerRequest(
        {.id = NextId(), .path = path, .key = "k1"});
    request.body.assign(bytes, 'x');
    return PlainHttp(callers_, request, kWait);
  }

  int StatusOf(const std::string& path, const std::string& key = "k1") {
    const auto response = Send(path, key);
    return response.ok() ? response->status : 0;
  }

  std::string NextId() { return absl::StrCat("id-", ++ids_); }

  int RunsOfAll() const {
    int sum = 0;
    for (const auto& replica : replicas_) {
      for (const auto& [id, runs] : replica->runs())
        sum += runs;
    }
    return sum;
  }

  int MostRunsOfOne() const {
    std::map<std::string, int> all;
    for (const auto& replica : replicas_) {
      for (const auto& [id, runs] : replica->runs())
        all[id] += runs;
    }
    int most = 0;
    for (const auto& [id, runs] : all)
      most = std::max(most, runs);
    return most;
  }

  std::unique_ptr<Runtime> runtime_;
  standins::StoreStandin store_;
  std::vector<std::unique_ptr<standins::ReplicaStandin>> replicas_ = [] {
    std::vector<std::unique_ptr<standins::ReplicaStandin>> replicas;
    replicas.push_back(std::make_unique<standins::ReplicaStandin>("i-0"));
    replicas.push_back(std::make_unique<standins::ReplicaStandin>("i-1"));
    return replicas;
  }();
  std::unique_ptr<HttpServer> store_server_;
  std::vector<std::unique_ptr<HttpServer>> replica_servers_;
  Endpoint callers_;
  Endpoint readiness_;
  Endpoint peers_;
  uint16_t metrics_port_ = 0;  // 0: none
  double link_mbps_ = 1'000;
  int64_t memory_mb_ = 0;  // 0: not stated
  int64_t max_fds_ = 0;    // 0: not stated
  std::string folder_;
  std::unique_ptr<ChildProcess> entry_;
  const Endpoint second_callers_ = {"127.0.0.1", FreePort()};
  std::unique_ptr<ChildProcess> second_;
  int ids_ = 0;
};

}  // namespace hawthornhollow

#endif  // TESTING_ENTRY_FIXTURE_H_
