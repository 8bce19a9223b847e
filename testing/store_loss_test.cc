// Routers that lose the store while it changes. What the others know of it, and
// what happened since, must reach the callers of the router that lost it.

#include <fstream>

#include "testing/entry_fixture.h"
#include "testing/tcp_relay.h"

namespace hawthornhollow {
namespace {

// The users' bounds: a server that leaves gets no request after this time, from
// a router that has had its store back for kContactTime.
constexpr absl::Duration kDrainTime = absl::Seconds(2);
constexpr absl::Duration kContactTime = absl::Seconds(3);

// A second router reaches the store through a relay.
class StoreLossTest : public EntryFixture {
 protected:
  void SetUp() override {
    EntryFixture::SetUp();
    auto path = TcpRelay::Start(store_server_->local());
    ASSERT_TRUE(path.ok()) << path.status();
    path_to_store_ = *std::move(path);
  }
  void TearDown() override {
    second_.reset();
    path_to_store_.reset();
    EntryFixture::TearDown();
  }

  void StartSecond() {
    const std::string file = folder_ + "-2.json";
    std::ofstream(file) << standins::EntrySettings(
        "entry-2", {.callers = second_callers_,
                    .readiness = {"127.0.0.1", FreePort()},
                    .peers = {"127.0.0.1", FreePort()},
                    .store = path_to_store_->endpoint()});
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
  static void SleepUntil(absl::Time time) {
    absl::SleepFor(time - absl::Now());
  }
  size_t RunsOfFirstServer() const { return replicas_[0]->runs().size(); }

  // Cuts the second router off from the store, removes the entry of the first
  // server during the cut, and expects that the server gets no request of that
  // router once the users' bounds have passed.
  void ExpectNothingForServerThatLeftDuringCut() {
    path_to_store_->SetMode(RelayMode::kSilent);
    absl::SleepFor(absl::Seconds(1));
    standins::DropServer(store_, "i-0");
    const absl::Time left = absl::Now();
    absl::SleepFor(absl::Milliseconds(2'800));
    path_to_store_->SetMode(RelayMode::kPass);
    const absl::Time cut_end = absl::Now();
    SleepUntil(std::max(left + kDrainTime, cut_end + kContactTime));
    const size_t runs_before = RunsOfFirstServer();
    const absl::Time end = absl::Now() + absl::Seconds(2);
    while (absl::Now() < end) {
      EXPECT_EQ(StatusAtSecond("/lookup/a"), 200);
      absl::SleepFor(absl::Milliseconds(20));
    }
    EXPECT_EQ(RunsOfFirstServer(), runs_before);
  }

  const Endpoint second_callers_ = {"127.0.0.1", FreePort()};
  std::unique_ptr<TcpRelay> path_to_store_;
  std::unique_ptr<ChildProcess> second_;
};

TEST_F(StoreLossTest,
       ServerLeavesWhileOneRouterLostTheStore_ThatRouterSendsItNothing) {
  StartReady();
  StartSecond();
  AwaitStatusAtSecond(200);
  // Both have read each other's records by then.
  absl::SleepFor(absl::Seconds(1));
  ExpectNothingForServerThatLeftDuringCut();
}

// There is no other router to ask.
TEST_F(StoreLossTest,
       ServerLeavesWhileTheOnlyRouterLostTheStore_ItSendsItNothing) {
  PutConfiguration(/*prepaid=*/1'000'000);
  PutServers();
  StartSecond();
  AwaitStatusAtSecond(200);
  ExpectNothingForServerThatLeftDuringCut();
}

}  // namespace
}  // namespace hawthornhollow
