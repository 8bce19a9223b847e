// An accepted configuration is in force on every router within seconds and
// stays in force, whatever fails meanwhile.

#include <signal.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <thread>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "hawthornhollow/base/base.h"
#include "testing/fleet.h"

namespace hawthornhollow {
namespace {

namespace fs = std::filesystem;
namespace json = boost::json;

using ::testing::Each;
using ::testing::HasSubstr;
using ::testing::StartsWith;

constexpr absl::Duration kInForceWithin = absl::Seconds(8);
// Beyond it a router without contact serves nothing.
constexpr absl::Duration kFreshness = absl::Seconds(5);
constexpr absl::Duration kPoll = absl::Milliseconds(20);
constexpr size_t kRouters = 3;

// An additional caller, in a file that operators edit and remove.
constexpr char kGuestFile[] = "70-guest.json";

std::string CallerText(const std::string& name) {
  return absl::StrCat(
      R"({"kind":"caller","name":")", name,
      R"(","member":"lantern-works","budget":"permits","ranks":["urgent"],)",
      R"("key_sha256":")", Sha256Hex(Fleet::KeyOf(name)), R"("})");
}

class InForceTest : public ::testing::Test {
 protected:
  static FleetOptions Options() {
    FleetOptions options;
    options.routers = kRouters;
    options.engines = 1;
    options.services = 0;
    options.files = {{kGuestFile, CallerText("guest")}};
    return options;
  }
  void StartFleet(const FleetOptions& options) {
    auto fleet = Fleet::Start(options);
    ASSERT_TRUE(fleet.ok()) << fleet.status();
    fleet_ = std::move(*fleet);
  }

  std::string Directory() const {
    return fs::path(fleet_->folder()).parent_path().string();
  }
  std::string LogAddress() const { return fleet_->log().ToString(); }

  static void Write(const std::string& path, const std::string& text) {
    std::ofstream(path) << text;
  }
  static std::string Read(const std::string& path) {
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
  }

  std::pair<int, std::string> Cli(const std::vector<std::string>& arguments) {
    auto result = fleet_->Cli(arguments);
    if (!result.ok())
      return {-1, result.status().ToString()};
    return *result;
  }
  // A folder of an operator's own, at the newest version.
  std::string FetchFolder(const std::string& name) {
    std::string folder = Directory() + "/" + name;
    auto [code, out] = Cli({"fetch", folder, "--log", LogAddress()});
    EXPECT_EQ(code, 0) << out;
    return folder;
  }
  std::pair<int, std::string> PublishFolder(const std::string& folder) {
    return Cli({"publish", folder, "--log", LogAddress()});
  }
  // Publishes; again while the log cannot be read to its end, as when retention
  // has passed its first entries and no router has written a checkpoint yet.
  std::string PublishWhenReadable(const std::string& folder) {
    absl::Time deadline = absl::Now() + kInForceWithin;
    auto result = PublishFolder(folder);
    while (result.first != 0 && absl::Now() < deadline)
      result = PublishFolder(folder);
    return result.second;
  }
  // Publishes a removal of the guest from a folder of an operator's own;
  // returns the version.
  int64_t RemoveGuest(const std::string& operator_folder) {
    std::string folder = FetchFolder(operator_folder);
    fs::remove(folder + "/" + kGuestFile);
    return VersionOf(PublishFolder(folder).second);
  }
  void Control(const std::string& body) {
    absl::Status status = fleet_->Control(fleet_->log(), body);
    ASSERT_TRUE(status.ok()) << status;
  }

  // N of "accepted version=N id=ID"; -1 for any other outcome.
  static int64_t VersionOf(const std::string& out) {
    std::smatch match;
    if (!std::regex_search(out, match, std::regex("accepted version=(\\d+)")))
      return -1;
    return std::stoll(match[1]);
  }

  // The version in force on a router; -1 if it does not answer.
  int64_t RouterVersion(size_t router) {
    auto page = fleet_->Get(fleet_->router(router), "/status");
    if (!page.ok())
      return -1;
    boost::system::error_code error;
    json::value status = json::parse(*page, error);
    return error ? -1 : status.at("config").at("version").as_int64();
  }
  bool WaitVersion(size_t router,
                   int64_t version,
                   absl::Duration timeout = kInForceWithin) {
    absl::Time deadline = absl::Now() + timeout;
    while (RouterVersion(router) != version) {
      if (absl::Now() > deadline)
        return false;
      absl::SleepFor(kPoll);
    }
    return true;
  }
  void ExpectInForceEverywhere(int64_t version) {
    for (size_t i = 0; i < kRouters; ++i)
      EXPECT_TRUE(WaitVersion(i, version)) << i << ": " << RouterVersion(i);
  }

  // The HTTP status of the guest's chat through a router; -1 without an answer.
  int GuestStatus(size_t router, absl::Duration timeout = absl::Seconds(8)) {
    auto response =
        fleet_->Chat(router, {.max_tokens = 1, .caller = "guest"}, timeout);
    return response.ok() ? response->status : -1;
  }
  std::vector<int> GuestStatuses() {
    std::vector<int> statuses;
    for (size_t i = 0; i < kRouters; ++i)
      statuses.push_back(GuestStatus(i));
    return statuses;
  }

  std::unique_ptr<Fleet> fleet_;
};

// ---------------------------------------------------------------------------
// Operators

class RaceTest : public InForceTest,
                 public ::testing::WithParamInterface<size_t> {
 protected:
  // Each operator writes `file_of(i)` in a folder of its own; all publish at
  // the same time.
  template <typename FileOf>
  std::vector<std::pair<int, std::string>> Race(size_t count, FileOf file_of) {
    std::vector<std::string> folders;
    for (size_t i = 0; i < count; ++i) {
      folders.push_back(FetchFolder(absl::StrCat("operator-", i)));
      Write(folders[i] + "/" + file_of(i), CallerText(NameOf(i)));
    }
    std::vector<std::pair<int, std::string>> results(count);
    std::vector<std::thread> operators;
    for (size_t i = 0; i < count; ++i)
      operators.emplace_back(
          [&, i] { results[i] = PublishFolder(folders[i]); });
    for (std::thread& thread : operators)
      thread.join();
    return results;
  }
  static std::string NameOf(size_t i) { return absl::StrCat("racer-", i); }
};

TEST_P(RaceTest, DisjointFiles_PublishedAtOnce_AreAllAccepted) {
  StartFleet(Options());
  auto results = Race(
      GetParam(), [](size_t i) { return absl::StrCat("8", i, "-racer.json"); });
  std::set<int64_t> versions;
  for (const auto& [code, out] : results) {
    EXPECT_EQ(code, 0) << out;
    versions.insert(VersionOf(out));
  }
  EXPECT_EQ(versions.size(), GetParam());
  int64_t last = static_cast<int64_t>(GetParam()) + 1;
  EXPECT_EQ(*versions.rbegin(), last);
  ExpectInForceEverywhere(last);
  for (size_t i = 0; i < GetParam(); ++i) {
    auto response =
        fleet_->Chat(i % kRouters, {.max_tokens = 1, .caller = NameOf(i)});
    EXPECT_TRUE(response.ok() && response->status == 200) << i;
  }
}

TEST_P(RaceTest, SameFile_PublishedAtOnce_IsAcceptedOnceElseConflict) {
  StartFleet(Options());
  auto results = Race(GetParam(), [](size_t) { return "80-racer.json"; });
  size_t accepted = 0;
  for (const auto& [code, out] : results) {
    if (code == 0) {
      ++accepted;
      continue;
    }
    EXPECT_EQ(code, 1);
    EXPECT_THAT(out, StartsWith("refused: conflict: 80-racer.json"));
  }
  EXPECT_EQ(accepted, 1u);
  ExpectInForceEverywhere(2);
}

INSTANTIATE_TEST_SUITE_P(Operators, RaceTest, ::testing::Values(2, 10));

TEST_F(InForceTest, Publisher_KilledBeforeVerdict_ResumeTellsTheOutcome) {
  StartFleet(Options());
  Control(R"({"hold_appends":true})");
  Write(fleet_->folder() + "/80-racer.json", CallerText("racer"));
  std::string errors = Directory() + "/publisher.err";
  auto publisher = ChildProcess::Start(
      {HAWTHORNHOLLOW, "publish", fleet_->folder(), "--log", LogAddress()},
      errors);
  ASSERT_TRUE(publisher.ok()) << publisher.status();
  std::smatch match;
  std::string text;
  std::regex id_line("publishing id=([0-9a-f]+)\n");
  absl::Time deadline = absl::Now() + absl::Seconds(5);
  while (!std::regex_search(text, match, id_line)) {
    ASSERT_LT(absl::Now(), deadline);
    absl::SleepFor(kPoll);
    text = Read(errors);
  }
  std::string id = match[1];
  absl::SleepFor(absl::Milliseconds(300));  // for the append to be sent
  ASSERT_TRUE((*publisher)->Signal(SIGKILL).ok());
  ASSERT_TRUE((*publisher)->Wait(absl::Seconds(5)).ok());
  std::vector<std::string> resume = {
      "publish", "--resume", id, fleet_->folder(), "--log", LogAddress()};
  EXPECT_EQ(Cli(resume).first, 3);
  Control(R"({"hold_appends":false,"release":true})");
  auto [code, out] = Cli(resume);
  EXPECT_EQ(code, 0) << out;
  EXPECT_EQ(out, absl::StrCat("accepted version=2 id=", id, "\n"));
  ExpectInForceEverywhere(2);
  EXPECT_THAT(PublishFolder(fleet_->folder()).second,
              StartsWith("nothing to publish"));
}

TEST_F(InForceTest, Publish_ReplyLost_IsInForceOnce) {
  StartFleet(Options());
  Control(R"({"lose_replies":1.0})");
  EXPECT_EQ(RemoveGuest("operator"), 2);
  Control(R"({"lose_replies":0})");
  ExpectInForceEverywhere(2);
  EXPECT_THAT(GuestStatuses(), Each(401));
}

TEST_F(InForceTest, Publish_LandsAfterNewerOne_ChangesNothing) {
  StartFleet(Options());
  std::string late = FetchFolder("late");
  Write(late + "/" + kGuestFile, CallerText("late-guest"));
  Control(R"({"hold_appends":true})");
  auto held = Cli({"publish", late, "--timeout", "1", "--log", LogAddress()});
  EXPECT_EQ(held.first, 3) << held.second;
  Control(R"({"hold_appends":false})");
  ASSERT_EQ(RemoveGuest("operator"), 2);
  ExpectInForceEverywhere(2);
  Control(R"({"release":true})");
  std::smatch match;
  ASSERT_TRUE(
      std::regex_search(held.second, match, std::regex("id=([0-9a-f]+)")));
  auto resumed =
      Cli({"publish", "--resume", match[1], late, "--log", LogAddress()});
  EXPECT_EQ(resumed.first, 1) << resumed.second;
  EXPECT_THAT(resumed.second, HasSubstr("conflict"));
  absl::SleepFor(absl::Seconds(1));
  ExpectInForceEverywhere(2);
  EXPECT_THAT(GuestStatuses(), Each(401));
}

TEST_F(InForceTest, StaleFolder_Published_DoesNotRestoreRemovedFile) {
  StartFleet(Options());
  std::string stale = FetchFolder("stale");
  ASSERT_EQ(RemoveGuest("operator"), 2);
  Write(stale + "/80-racer.json", CallerText("racer"));
  EXPECT_EQ(VersionOf(PublishFolder(stale).second), 3);
  ExpectInForceEverywhere(3);
  EXPECT_THAT(GuestStatuses(), Each(401));
  EXPECT_FALSE(fs::exists(stale + "/" + kGuestFile));
}

TEST_F(InForceTest, File_Removed_EndsItsCallersOnEveryRouter) {
  StartFleet(Options());
  EXPECT_THAT(GuestStatuses(), Each(200));
  ASSERT_EQ(RemoveGuest("operator"), 2);
  ExpectInForceEverywhere(2);
  EXPECT_THAT(GuestStatuses(), Each(401));
}

// ---------------------------------------------------------------------------
// Routers

// Sends the guest's requests to one router from several threads until stopped,
// and counts the answers by status.
class GuestTraffic {
 public:
  GuestTraffic(Fleet& fleet, size_t router) {
    for (int i = 0; i < kThreads; ++i)
      threads_.emplace_back([this, &fleet, router] { Run(fleet, router); });
  }
  ~GuestTraffic() { Stop(); }
  void Stop() {
    stop_ = true;
    for (std::thread& thread : threads_)
      thread.join();
    threads_.clear();
  }
  int answered() const { return answered_; }
  // Answers other than 401 and 503.
  int served() const { return served_; }

 private:
  static constexpr int kThreads = 8;

  void Run(Fleet& fleet, size_t router) {
    while (!stop_) {
      auto response = fleet.Chat(router, {.max_tokens = 1, .caller = "guest"},
                                 absl::Seconds(10));
      if (!response.ok())
        continue;
      ++answered_;
      if (response->status != 401 && response->status != 503)
        ++served_;
      absl::SleepFor(absl::Milliseconds(2));
    }
  }

  std::atomic<bool> stop_{false};
  std::atomic<int> answered_{0};
  std::atomic<int> served_{0};
  std::vector<std::thread> threads_;
};

TEST_F(InForceTest, Router_FrozenAcrossThreeVersions_ServesNoOldVersion) {
  StartFleet(Options());
  ASSERT_EQ(GuestStatus(0), 200);
  absl::Time frozen = absl::Now();
  ASSERT_TRUE(fleet_->router_process(0).Signal(SIGSTOP).ok());
  std::string folder = FetchFolder("operator");
  Write(folder + "/80-racer.json", CallerText("racer"));
  ASSERT_EQ(VersionOf(PublishFolder(folder).second), 2);
  Write(folder + "/81-racer.json", CallerText("racer-2"));
  ASSERT_EQ(VersionOf(PublishFolder(folder).second), 3);
  absl::SleepFor(frozen + kFreshness + absl::Seconds(1) - absl::Now());
  fs::remove(folder + "/" + kGuestFile);
  ASSERT_EQ(VersionOf(PublishFolder(folder).second), 4);
  GuestTraffic traffic(*fleet_, 0);
  absl::SleepFor(absl::Milliseconds(300));  // connections wait in the backlog
  ASSERT_TRUE(fleet_->router_process(0).Signal(SIGCONT).ok());
  EXPECT_TRUE(WaitVersion(0, 4));
  absl::SleepFor(absl::Seconds(1));
  traffic.Stop();
  EXPECT_GT(traffic.answered(), 0);
  EXPECT_EQ(traffic.served(), 0);
  ExpectInForceEverywhere(4);
}

TEST_F(InForceTest, NewRouter_LogAway_ServesNothingUntilItIsBack) {
  StartFleet(Options());
  ASSERT_EQ(GuestStatus(0), 200);
  ASSERT_TRUE(fleet_->router_process(2).Signal(SIGKILL).ok());
  ASSERT_TRUE(fleet_->router_process(2).Wait(absl::Seconds(5)).ok());
  Control(R"({"outage":true})");
  ASSERT_TRUE(fleet_->StartRouter(2).ok());
  absl::Time until = absl::Now() + absl::Seconds(7);
  while (absl::Now() < until) {
    int status = GuestStatus(2);
    EXPECT_TRUE(status == 503 || status == -1) << status;
    absl::SleepFor(absl::Milliseconds(100));
  }
  // Two of three are in contact and agree, so they go on.
  EXPECT_EQ(GuestStatus(0), 200);
  Control(R"({"outage":false})");
  EXPECT_TRUE(fleet_->WaitReady(2, absl::Seconds(12)).ok());
  EXPECT_EQ(GuestStatus(2), 200);
}

TEST_F(InForceTest, NewRouter_RetentionPassedFirstVersions_TakesTheNewest) {
  FleetOptions options = Options();
  constexpr int64_t kRetention = 40;
  options.log_flags = {"--retention", std::to_string(kRetention)};
  StartFleet(options);
  ASSERT_EQ(RemoveGuest("operator"), 2);
  std::string folder = FetchFolder("operator");
  int64_t version = 2;
  for (; version < kRetention + 10; ++version) {
    Write(folder + "/80-racer.json",
          CallerText(absl::StrCat("racer-", version)));
    ASSERT_EQ(VersionOf(PublishWhenReadable(folder)), version + 1);
  }
  ASSERT_TRUE(fleet_->router_process(2).Signal(SIGKILL).ok());
  ASSERT_TRUE(fleet_->router_process(2).Wait(absl::Seconds(5)).ok());
  ASSERT_TRUE(fleet_->StartRouter(2).ok());
  ExpectInForceEverywhere(version);
  EXPECT_THAT(GuestStatuses(), Each(401));
}

TEST_F(InForceTest, Router_CutOffFromLog_LearnsChangeFromItsPeers) {
  FleetOptions options = Options();
  options.log_relayed_routers = {0};
  StartFleet(options);
  fleet_->router_log_relay(0).SetMode(RelayMode::kSilent);
  // Past the freshness of its own last read.
  absl::SleepFor(kFreshness + absl::Seconds(1));
  ASSERT_EQ(RemoveGuest("operator"), 2);
  ExpectInForceEverywhere(2);
  EXPECT_THAT(GuestStatuses(), Each(401));
}

TEST_F(InForceTest, FailureDomain_CutOffDuringChange_ServesNothingUntilHealed) {
  FleetOptions options = Options();
  options.log_relayed_routers = {0};
  options.peer_relayed_routers = {0};
  StartFleet(options);
  ASSERT_EQ(GuestStatus(0), 200);
  fleet_->router_log_relay(0).SetMode(RelayMode::kSilent);
  fleet_->SetPeerLinks(0, RelayMode::kSilent);
  ASSERT_EQ(RemoveGuest("operator"), 2);
  absl::SleepFor(kFreshness);
  absl::Time until = absl::Now() + absl::Seconds(2);
  while (absl::Now() < until)
    EXPECT_EQ(GuestStatus(0), 503);
  EXPECT_EQ(GuestStatus(1), 401);
  EXPECT_EQ(RouterVersion(0), 1);
  fleet_->router_log_relay(0).SetMode(RelayMode::kPass);
  fleet_->SetPeerLinks(0, RelayMode::kPass);
  EXPECT_TRUE(WaitVersion(0, 2));
  EXPECT_EQ(GuestStatus(0), 401);
}

TEST_F(InForceTest, Change_Published_IsTracedByItsIdToEveryRouter) {
  StartFleet(Options());
  std::string folder = FetchFolder("operator");
  fs::remove(folder + "/" + kGuestFile);
  std::string out = PublishFolder(folder).second;
  ASSERT_EQ(VersionOf(out), 2) << out;
  std::string id = out.substr(out.find("id=") + 3, 16);
  ExpectInForceEverywhere(2);
  std::vector<std::string> status = {"status", "--log", LogAddress()};
  for (size_t i = 0; i < kRouters; ++i) {
    std::string log =
        Read(absl::StrCat(Directory(), "/router-", i + 1, ".log"));
    EXPECT_TRUE(std::regex_search(
        log, std::regex("event=config.in_force version=2 change=" + id)))
        << log;
    status.insert(status.end(), {"--router", fleet_->router(i).ToString()});
  }
  auto [code, table] = Cli(status);
  EXPECT_EQ(code, 0);
  std::regex row("router-[1-3] +2 +[0-9TZ:-]+ +[0-9]+ +current\n");
  std::sregex_iterator rows(table.begin(), table.end(), row);
  EXPECT_EQ(std::distance(rows, std::sregex_iterator()), kRouters) << table;
}

}  // namespace
}  // namespace hawthornhollow
