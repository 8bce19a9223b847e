// The operator evacuates failure domains: nothing more is sent to their
// servers, whatever becomes of the store and of the router.

#include <csignal>
#include <future>
#include <string>

#include "absl/strings/str_cat.h"
#include "testing/entry_fixture.h"
#include "testing/tcp_relay.h"

namespace hawthornhollow {
namespace {

// The users' bounds: an evacuation is in force after this time, and later by
// this on a router that is cut off from the store.
constexpr absl::Duration kInForce = absl::Seconds(5);
constexpr absl::Duration kCutOff = absl::Seconds(6);
// Long enough for several reads of the store.
constexpr absl::Duration kWatch = absl::Seconds(2);

// The first server is in the zone "a", the second in "b". A second router
// reaches the store through a relay.
class EvacuationTest : public EntryFixture {
 protected:
  void SetUp() override {
    EntryFixture::SetUp();
    auto path = TcpRelay::Start(store_server_->local());
    ASSERT_TRUE(path.ok()) << path.status();
    path_to_store_ = *std::move(path);
    PutConfiguration(/*prepaid=*/100'000'000);
    PutZones();
    StartEntry();
    AwaitReady();
    AwaitBothServersUsed();
  }
  void TearDown() override {
    EntryFixture::TearDown();
    path_to_store_.reset();
  }

  void PutZones() {
    standins::PutServer(store_, "i-0", replica_servers_[0]->local(),
                        /*sequence=*/1, /*born_ms=*/0, {.zone = "a"});
    standins::PutServer(store_, "i-1", replica_servers_[1]->local(),
                        /*sequence=*/1, /*born_ms=*/0, {.zone = "b"});
  }

  size_t Arrivals(size_t server) const {
    return replicas_[server]->arrivals().size();
  }
  // Sends all kinds of requests for this long, and returns how many reached the
  // first server.
  size_t ArrivalsIn(absl::Duration time, int status = 200) {
    const size_t before = Arrivals(0);
    const absl::Time end = absl::Now() + time;
    while (absl::Now() < end) {
      for (const char* path : {"/order/a", "/lookup/a", "/stream/a"})
        EXPECT_EQ(StatusOf(path), status);
    }
    return Arrivals(0) - before;
  }
  size_t ArrivalsFromSecondIn(absl::Duration time) {
    const size_t before = Arrivals(0);
    const absl::Time end = absl::Now() + time;
    while (absl::Now() < end) {
      EXPECT_EQ(StatusAtSecond("/lookup/a"), 200);
      absl::SleepFor(absl::Milliseconds(5));
    }
    return Arrivals(0) - before;
  }
  // Requests at once, as a router that has none in flight prefers one server.
  void SendMany() {
    std::vector<std::future<int>> sent;
    for (int i = 0; i < 8; ++i) {
      const std::string id = NextId();
      sent.push_back(std::async(std::launch::async, [this, id] {
        const auto response =
            PlainHttp(callers_,
                      standins::MakeCallerRequest(
                          {.id = id, .path = "/lookup/a", .key = "k1"}),
                      kWait);
        return response.ok() ? response->status : 0;
      }));
    }
    for (std::future<int>& status : sent)
      status.wait();
  }
  void AwaitFirstServerUsed(absl::Duration time) {
    const size_t before = Arrivals(0);
    const absl::Time end = absl::Now() + time;
    while (Arrivals(0) == before && absl::Now() < end)
      SendMany();
    EXPECT_GT(Arrivals(0), before);
  }
  void AwaitBothServersUsed() {
    const absl::Time end = absl::Now() + kWait;
    while ((Arrivals(0) == 0 || Arrivals(1) == 0) && absl::Now() < end)
      SendMany();
    ASSERT_GT(Arrivals(0), 0);
    ASSERT_GT(Arrivals(1), 0);
  }

  void Evacuate(const std::string& zone) {
    standins::PutEvacuation(store_, zone);
    absl::SleepFor(kInForce);
  }

  void RestartEntry() {
    ASSERT_TRUE(entry_->Signal(SIGKILL).ok());
    ASSERT_TRUE(entry_->Wait(kWait).ok());
    StartEntry();
  }

  std::string Metrics() const {
    const auto page =
        PlainHttp(peers_, {.target = "/metrics"}, absl::Seconds(1));
    return page.ok() ? page->body : "";
  }

  std::unique_ptr<TcpRelay> path_to_store_;
};

TEST_F(EvacuationTest, EvacuatedDomain_GetsNothingUntilTheEnd) {
  Evacuate("a");
  EXPECT_THAT(Metrics(), testing::HasSubstr("domains_evacuated 1"));
  EXPECT_EQ(ArrivalsIn(kWatch), 0);
  standins::DropEvacuation(store_, "a");
  AwaitFirstServerUsed(kInForce);
  EXPECT_THAT(Metrics(), testing::HasSubstr("domains_evacuated 0"));
}

TEST_F(EvacuationTest, DeletedAndWrittenAgain_GetsNothing) {
  Evacuate("a");
  for (int i = 0; i < 20; ++i) {
    standins::DropEvacuation(store_, "a");
    standins::PutEvacuation(store_, "a");
    absl::SleepFor(absl::Milliseconds(50));
  }
  EXPECT_EQ(ArrivalsIn(kWatch), 0);
}

TEST_F(EvacuationTest, UnknownDomain_HasNoEffect) {
  Evacuate("nowhere");
  AwaitFirstServerUsed(kInForce);
  EXPECT_EQ(StatusOf("/stream/a"), 200);
}

// Requests in progress run to completion, and what breaks off goes on elsewhere
// or not at all.
TEST_F(EvacuationTest, StreamsInProgress_EndThere) {
  for (auto& replica : replicas_)
    replica->SetEventPause(absl::Milliseconds(700));
  std::vector<std::future<bool>> streams;
  for (int i = 0; i < 4; ++i) {
    streams.push_back(std::async(std::launch::async, [this, i] {
      const auto response = PlainHttp(
          callers_,
          standins::MakeCallerRequest({.id = absl::StrCat("stream-", i),
                                       .path = "/stream/a",
                                       .key = "k1",
                                       .time_limit = absl::Seconds(20),
                                       .prompt_tokens = kPromptTokens,
                                       .output_tokens = kMaxOutputTokens}),
          absl::Seconds(20));
      return response.ok() &&
             response->body == standins::ReplicaStandin::WholeStream();
    }));
  }
  absl::SleepFor(absl::Seconds(1));
  standins::PutEvacuation(store_, "a");
  for (std::future<bool>& is_whole : streams)
    EXPECT_TRUE(is_whole.get());
}

TEST_F(EvacuationTest, RetriesAndResumedStreams_GoNotThere) {
  Evacuate("a");
  replicas_[1]->SetFaults({.refuse = true});
  EXPECT_EQ(ArrivalsIn(absl::Milliseconds(500), /*status=*/503), 0);
  replicas_[1]->SetFaults({.break_after_events = 3});
  const size_t before = Arrivals(0);
  for (int i = 0; i < 10; ++i)
    StatusOf("/stream/a");
  EXPECT_EQ(Arrivals(0), before);
}

TEST_F(EvacuationTest, AllDomains_RequestsAreRefusedAtOnceAndNotSent) {
  standins::PutEvacuation(store_, "a");
  Evacuate("b");
  const size_t before = Arrivals(0) + Arrivals(1);
  const absl::Time begin = absl::Now();
  for (const char* path : {"/order/a", "/lookup/a", "/stream/a"}) {
    const auto response = Send(path);
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->status, 503);
    EXPECT_THAT(response->body, testing::HasSubstr("domains_evacuated"));
    EXPECT_NE(response->Header("Retry-After"), "");
  }
  EXPECT_LT(absl::Now() - begin, absl::Seconds(1));
  EXPECT_EQ(Arrivals(0) + Arrivals(1), before);
  standins::DropEvacuation(store_, "b");
  const absl::Time end = absl::Now() + kInForce;
  while (StatusOf("/order/a") != 200 && absl::Now() < end) {
  }
  EXPECT_EQ(ArrivalsIn(kWatch), 0);
}

// The last known state stays in effect.
TEST_F(EvacuationTest, StoreIsAway_EvacuationStays) {
  Evacuate("a");
  store_.SetOutage(true);
  EXPECT_EQ(ArrivalsIn(absl::Seconds(4)), 0);
  store_.SetOutage(false);
  EXPECT_EQ(ArrivalsIn(kWatch), 0);
}

TEST_F(EvacuationTest, StoreLostByOneOfTwoRouters_ThatRouterIsTold) {
  StartSecond(path_to_store_->endpoint());
  AwaitStatusAtSecond(200);
  // Both have read each other's records by then.
  absl::SleepFor(absl::Seconds(1));
  path_to_store_->SetMode(RelayMode::kSilent);
  absl::SleepFor(absl::Seconds(1));
  Evacuate("a");
  absl::SleepFor(kCutOff);
  EXPECT_EQ(ArrivalsFromSecondIn(kWatch), 0);
  standins::DropEvacuation(store_, "a");
  standins::PutEvacuation(store_, "b");
  absl::SleepFor(kInForce + kCutOff);
  const size_t at_second_server = Arrivals(1);
  EXPECT_GT(ArrivalsFromSecondIn(kWatch), 0);
  EXPECT_EQ(Arrivals(1), at_second_server);
}

TEST_F(EvacuationTest, RecordLostByARestore_StaysUntilDeletedAnew) {
  store_.TakeCopy();
  Evacuate("a");
  store_.Restore();
  EXPECT_EQ(ArrivalsIn(absl::Seconds(12)), 0);
  standins::DropEvacuation(store_, "a");
  AwaitFirstServerUsed(kInForce);
}

TEST_F(EvacuationTest, DeletionLostByARestore_ComesBackAfterOperatorTime) {
  Evacuate("a");
  store_.TakeCopy();
  standins::DropEvacuation(store_, "a");
  AwaitFirstServerUsed(kInForce);
  store_.Restore();
  const absl::Time restored = absl::Now();
  absl::SleepFor(absl::Seconds(2));
  AwaitFirstServerUsed(absl::Seconds(1));
  absl::SleepFor(restored + absl::Seconds(10) + kInForce - absl::Now());
  EXPECT_EQ(ArrivalsIn(kWatch), 0);
  standins::DropEvacuation(store_, "a");
  AwaitFirstServerUsed(kInForce);
}

TEST_F(EvacuationTest, RouterKilled_ReadsTheStateBeforeItServes) {
  Evacuate("a");
  const size_t before = Arrivals(0);
  RestartEntry();
  const absl::Time end = absl::Now() + kWait;
  while (StatusOf("/order/a") != 200 && absl::Now() < end) {
  }
  EXPECT_EQ(ArrivalsIn(kWatch), 0);
  EXPECT_EQ(Arrivals(0), before);
}

// The other router knows of the record that the store has lost.
TEST_F(EvacuationTest, RouterKilledAndRecordLost_AsksBeforeItServes) {
  StartSecond(path_to_store_->endpoint());
  AwaitStatusAtSecond(200);
  absl::SleepFor(absl::Seconds(1));
  store_.TakeCopy();
  Evacuate("a");
  const size_t before = Arrivals(0);
  ASSERT_TRUE(entry_->Signal(SIGKILL).ok());
  ASSERT_TRUE(entry_->Wait(kWait).ok());
  store_.Restore();
  StartEntry();
  const absl::Time end = absl::Now() + kWait;
  while (StatusOf("/order/a") != 200 && absl::Now() < end) {
  }
  EXPECT_EQ(ArrivalsIn(kWatch), 0);
  EXPECT_EQ(Arrivals(0), before);
}

}  // namespace
}  // namespace hawthornhollow
