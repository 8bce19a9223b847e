// Routers that lose the store while it changes. What the others know of it, and
// what happened since, must reach the callers of the router that lost it.

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
    EntryFixture::TearDown();
    path_to_store_.reset();
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

  std::unique_ptr<TcpRelay> path_to_store_;
};

TEST_F(StoreLossTest,
       ServerLeavesWhileOneRouterLostTheStore_ThatRouterSendsItNothing) {
  StartReady();
  StartSecond(path_to_store_->endpoint());
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
  StartSecond(path_to_store_->endpoint());
  AwaitStatusAtSecond(200);
  ExpectNothingForServerThatLeftDuringCut();
}

// The store turns one VM away while a key is withdrawn.
TEST_F(StoreLossTest, KeyWithdrawnWhileOneRouterLostTheStore_ThatRouterKnows) {
  StartReady();
  StartSecond(path_to_store_->endpoint());
  AwaitStatusAtSecond(200);
  // Both have read each other's records by then.
  absl::SleepFor(absl::Seconds(1));
  path_to_store_->SetMode(RelayMode::kSilent);
  standins::PutConfiguration(
      store_, {.version = 2,
               .workspaces = {{.name = "ward-7", .key = "k2", .prepaid = 1}}});
  const absl::Time withdrawn = absl::Now();
  AwaitStatusAtSecond(401);
  EXPECT_LT(absl::Now() - withdrawn, absl::Seconds(3));
}

}  // namespace
}  // namespace hawthornhollow
