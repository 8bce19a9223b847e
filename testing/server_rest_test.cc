// A backend server that turns a request away and says for how long it wants
// none from this router.

#include <algorithm>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "testing/entry_fixture.h"

namespace hawthornhollow {
namespace {

class ServerRestTest : public EntryFixture {
 protected:
  static constexpr absl::Duration kRest = absl::Seconds(3);
  // The users' bounds: from kGrace after the answer to the end of the rest.
  static constexpr absl::Duration kGrace = absl::Milliseconds(500);
  static constexpr int kAllowed = 2;

  void SetUp() override {
    EntryFixture::SetUp();
    StartReady(/*prepaid=*/100'000'000);
  }

  static void AskForRest(standins::ReplicaStandin& replica) {
    replica.SetFaults({.refuse = true, .stated_rest = "3"});
  }
  // Sends requests of all kinds until the server has turned one away, and
  // returns when that was.
  absl::Time AwaitWord(const standins::ReplicaStandin& replica) {
    const size_t before = replica.arrivals().size();
    const absl::Time end = absl::Now() + kWait;
    while (replica.arrivals().size() == before && absl::Now() < end)
      Send("/lookup/a").IgnoreError();
    EXPECT_GT(replica.arrivals().size(), before);
    return replica.arrivals().back();
  }
  // The same for all servers; returns when the first of them said so.
  absl::Time AwaitWordOfAll() {
    const absl::Time end = absl::Now() + kWait;
    const auto has_said = [](const auto& replica) {
      return !replica->arrivals().empty();
    };
    while (!std::ranges::all_of(replicas_, has_said) && absl::Now() < end)
      Send("/lookup/a").IgnoreError();
    absl::Time first = absl::InfiniteFuture();
    for (const auto& replica : replicas_) {
      EXPECT_EQ(replica->arrivals().size(), 1);
      first = std::min(first, replica->arrivals().front());
    }
    return first;
  }
  static int ArrivalsBetween(const standins::ReplicaStandin& replica,
                             absl::Time begin,
                             absl::Time end) {
    const std::vector<absl::Time> arrivals = replica.arrivals();
    return static_cast<int>(
        std::count_if(arrivals.begin(), arrivals.end(),
                      [&](absl::Time at) { return at >= begin && at < end; }));
  }
  // Sends requests of all kinds until then; returns how many were served.
  int ServeUntil(absl::Time end) {
    int served = 0;
    while (absl::Now() < end) {
      for (const char* path : {"/order/a", "/lookup/a", "/stream/a"})
        served += StatusOf(path) == 200 ? 1 : 0;
    }
    return served;
  }
};

// Seen by the users: a server asked for some seconds of rest, and got as many
// requests in that time.
TEST_F(ServerRestTest, ServerThatAskedForARest_GetsNoRequests) {
  AskForRest(*replicas_[0]);
  const absl::Time asked = AwaitWord(*replicas_[0]);
  replicas_[0]->SetFaults({});
  EXPECT_GT(ServeUntil(asked + kRest), 0);
  EXPECT_LE(ArrivalsBetween(*replicas_[0], asked + kGrace, asked + kRest),
            kAllowed);
  // It is in use again.
  ServeUntil(asked + kRest + absl::Seconds(2));
  EXPECT_GT(ArrivalsBetween(*replicas_[0], asked + kRest, absl::Now()), 0);
}

// Its entry lapses, or the store can't be read.
TEST_F(ServerRestTest, StoreIsAway_RestHolds) {
  AskForRest(*replicas_[0]);
  const absl::Time asked = AwaitWord(*replicas_[0]);
  replicas_[0]->SetFaults({});
  store_.SetOutage(true);
  ServeUntil(asked + kRest / 2);
  store_.SetOutage(false);
  ServeUntil(asked + kRest);
  EXPECT_LE(ArrivalsBetween(*replicas_[0], asked + kGrace, asked + kRest),
            kAllowed);
}

TEST_F(ServerRestTest, AllServersRest_RequestsAreRefusedAtOnceWithTheTime) {
  for (const auto& replica : replicas_)
    AskForRest(*replica);
  const absl::Time first = AwaitWordOfAll();
  for (const auto& replica : replicas_)
    replica->SetFaults({});
  const int runs = RunsOfAll();
  for (const char* path : {"/order/a", "/lookup/a", "/stream/a"}) {
    const absl::Time begin = absl::Now();
    const auto answer = Send(path);
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(answer->status, 503);
    EXPECT_NE(answer->body.find("servers_resting"), std::string::npos);
    EXPECT_LT(absl::Now() - begin, absl::Seconds(1));
    double seconds = 0;
    ASSERT_TRUE(absl::SimpleAtod(
        std::string(FindHeader(answer->headers, "Retry-After")), &seconds));
    EXPECT_GE(begin + absl::Seconds(seconds),
              first + kRest - absl::Milliseconds(100));
  }
  EXPECT_EQ(RunsOfAll(), runs);
  absl::SleepFor(first + kRest + absl::Milliseconds(100) - absl::Now());
  EXPECT_EQ(StatusOf("/order/a"), 200);
}

}  // namespace
}  // namespace hawthornhollow
