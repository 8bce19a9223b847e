#include "hawthornhollow/relay/cold_servers.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

namespace hawthornhollow {
namespace {

constexpr double kRate = 6;
constexpr double kColdTime = 3;
constexpr double kDelay = 1.6;  // ColdServerOptions::max_entry_delay

absl::Time At(double seconds) {
  return absl::UnixEpoch() + absl::Hours(1) + absl::Seconds(seconds);
}

class ColdServersTest : public testing::Test {
 protected:
  void SetUp() override { SetRate(kRate); }

  void SetRate(double per_second) {
    cold_.SetServices({{.name = "engine",
                        .cold_requests_per_second = per_second,
                        .cold_time = absl::Seconds(kColdTime)}},
                      At(0));
  }
  // The entry of server "s" as it is read at this time.
  std::vector<ColdChange> Read(double at,
                               double cold_for,
                               int64_t sequence,
                               int64_t born_ms = 1) {
    return cold_.SetServers({Entry(cold_for, sequence, born_ms)}, At(at));
  }
  static RelayServer Entry(double cold_for,
                           int64_t sequence,
                           int64_t born_ms = 1) {
    return {.id = "s",
            .service = "engine",
            .failure_domain = "d",
            .cold_for = absl::Seconds(cold_for),
            .revision = {.born_ms = born_ms, .sequence = sequence}};
  }
  auto Answer(double at, double cold_for) {
    return cold_.OnAnswer("s", absl::Seconds(cold_for), At(at - 0.05), At(at));
  }
  bool IsCold(double at) const { return cold_.Find("s", At(at)).has_value(); }
  ColdPermitQuestion Question(size_t granters = 3) const {
    return {.server = "s",
            .requests_per_second = kRate,
            .granters = granters,
            .since_routers_changed = absl::Hours(1)};
  }

  ColdServers cold_{ColdServerOptions(), At(-10)};
};

TEST_F(ColdServersTest, Entry_OfAColdServer_LimitsItUntilItsEnd) {
  EXPECT_EQ(Read(1, 2, 1).size(), 1);
  EXPECT_FALSE(IsCold(3.1));
  EXPECT_TRUE(IsCold(2.9));
  EXPECT_EQ(cold_.Find("s", At(2))->requests_per_second, kRate);
  EXPECT_EQ(cold_.servers(At(2)), std::vector<std::string>{"s"});
  EXPECT_TRUE(cold_.servers(At(3.1)).empty());
}

// Else deployments whose services have no cold rate would be limited.
TEST_F(ColdServersTest, ServiceWithoutAColdRate_HasNoColdServers) {
  SetRate(0);
  EXPECT_TRUE(Read(1, 2, 1).empty());
  EXPECT_FALSE(Answer(1.5, 3).has_value());
  EXPECT_TRUE(cold_.OnDomainRestored("d", At(1.6)).empty());
  EXPECT_FALSE(IsCold(1.7));
  EXPECT_TRUE(cold_.servers(At(1.7)).empty());
}

// A router that has just started may read the servers before the configuration.
TEST_F(ColdServersTest, ConfigurationThatComesAfterTheEntries_Counts) {
  SetRate(0);
  Read(1, 2, 1);
  SetRate(kRate);
  EXPECT_TRUE(IsCold(2));
}

TEST_F(ColdServersTest, EntryReadAgain_DoesNotProlongIt) {
  Read(1, 2, 1);
  EXPECT_TRUE(Read(2, 2, 1).empty());
  EXPECT_FALSE(IsCold(3.1));
}

TEST_F(ColdServersTest, LaterRevision_ReplacesTheEntry) {
  Read(1, 3, 1);
  EXPECT_EQ(Read(2.2, 0, 2).at(0).cold_for, absl::ZeroDuration());
  EXPECT_FALSE(IsCold(2.3));
  // It may become cold at any moment.
  EXPECT_EQ(Read(3.4, 2, 3).at(0).cold_for, absl::Seconds(2));
  EXPECT_TRUE(IsCold(5.3));
}

// After the store came back from a copy.
TEST_F(ColdServersTest, EarlierRevision_ChangesNothing) {
  Read(1, 0, 5);
  EXPECT_TRUE(Read(2, 3, 4).empty());
  EXPECT_FALSE(IsCold(2.1));
}

TEST_F(ColdServersTest, NewIncarnation_ReplacesAHigherSequence) {
  Read(1, 0, 500, /*born_ms=*/1);
  EXPECT_EQ(Read(2, 3, 1, /*born_ms=*/2).size(), 1);
  EXPECT_TRUE(IsCold(4.9));
}

TEST_F(ColdServersTest, Answer_TakesEffectAtOnce) {
  Read(0, 0, 1);
  const auto change = Answer(1, 3);
  ASSERT_TRUE(change.has_value());
  EXPECT_EQ(change->cold_for, absl::Seconds(3));
  EXPECT_TRUE(IsCold(3.9));
  EXPECT_FALSE(IsCold(4.1));
}

// The entry was written before the server started anew, and read after it.
TEST_F(ColdServersTest, EntryWrittenBeforeTheAnswer_DoesNotEndIt) {
  Read(0, 0, 1);
  Answer(1, 3);
  EXPECT_TRUE(Read(1 + kDelay - 0.1, 0, 2).empty());
  EXPECT_TRUE(IsCold(3.9));
  EXPECT_EQ(Read(1 + kDelay + 0.1, 0, 3).size(), 1);
  EXPECT_FALSE(IsCold(2.8));
}

TEST_F(ColdServersTest, AnswerThatItIsWarm_CountsFromItsRequest) {
  Read(1, 3, 1);
  // Its request was sent before the entry was read.
  EXPECT_FALSE(Answer(1.02, 0).has_value());
  EXPECT_TRUE(IsCold(1.1));
  EXPECT_TRUE(Answer(1.2, 0).has_value());
  EXPECT_FALSE(IsCold(1.3));
}

TEST_F(ColdServersTest, RepeatedAnswers_AreNoNews) {
  Read(0, 0, 1);
  EXPECT_TRUE(Answer(1, 3).has_value());
  const uint64_t id = cold_.Find("s", At(1))->id;
  EXPECT_FALSE(Answer(2, 2).has_value());
  EXPECT_EQ(cold_.Find("s", At(2))->id, id);
  EXPECT_TRUE(Answer(2.5, 3).has_value());
  EXPECT_NE(cold_.Find("s", At(2.6))->id, id);
}

TEST_F(ColdServersTest, RestoredDomain_IsColdUntilALaterRevision) {
  Read(0, 0, 1);
  EXPECT_TRUE(cold_.OnDomainRestored("other", At(1)).empty());
  EXPECT_EQ(cold_.OnDomainRestored("d", At(1)).size(), 1);
  EXPECT_TRUE(Read(1.3, 0, 1).empty());
  EXPECT_TRUE(IsCold(1 + kColdTime - 0.1));
  EXPECT_FALSE(IsCold(1 + kColdTime + 0.1));
  EXPECT_EQ(Read(1.5, 0, 2).size(), 1);
  EXPECT_FALSE(IsCold(1.6));
}

TEST_F(ColdServersTest, RestoredDomain_DoesNotShortenWhatAnAnswerSaid) {
  Read(0, 0, 1);
  Answer(1, 10);
  EXPECT_TRUE(cold_.OnDomainRestored("d", At(1.1)).empty());
  EXPECT_TRUE(IsCold(10.9));
}

// The entry is that of the last incarnation, whether it was read before or is
// read soon after.
TEST_F(ColdServersTest, ServerThatRefusesConnections_IsTakenForCold) {
  EXPECT_FALSE(cold_.OnRefused("s", At(0)).has_value());
  Read(0, 0, 1);
  EXPECT_EQ(cold_.OnRefused("s", At(1))->cold_for,
            absl::Seconds(kDelay + kColdTime));
  EXPECT_TRUE(Read(2, 0, 2).empty());
  EXPECT_TRUE(IsCold(2.1));
  EXPECT_FALSE(IsCold(1 + kDelay + kColdTime + 0.1));
  EXPECT_EQ(Read(1 + kDelay + 0.1, 0, 3).size(), 1);
  EXPECT_FALSE(IsCold(2.8));
}

TEST_F(ColdServersTest, ServerOfAServiceWithoutAColdRate_MayNotBecomeCold) {
  Read(0, 0, 1);
  EXPECT_TRUE(cold_.MayBecomeCold("s"));
  SetRate(0);
  EXPECT_FALSE(cold_.MayBecomeCold("s"));
  EXPECT_FALSE(cold_.OnRefused("s", At(1)).has_value());
}

TEST_F(ColdServersTest, StatementThatComesBack_DoesNotProlongIt) {
  Read(0, 0, 1);
  Answer(1, 3);
  ColdStatement statement = *cold_.Find("s", At(1));
  for (int i = 1; i < 100; ++i) {
    // Each message adds its delay.
    statement.until += absl::Milliseconds(20);
    statement.as_of += absl::Milliseconds(20);
    EXPECT_FALSE(cold_.OnTold("s", statement, At(1 + 0.02 * i)).has_value());
  }
  EXPECT_FALSE(IsCold(4.1));
}

TEST_F(ColdServersTest, ToldByAnotherRouter_CountsWithoutAnEntry) {
  const ColdStatement told = {
      .id = 7, .requests_per_second = 2, .until = At(4), .as_of = At(1)};
  EXPECT_TRUE(cold_.OnTold("s", told, At(1)).has_value());
  EXPECT_EQ(cold_.Find("s", At(2))->requests_per_second, 2);
  EXPECT_FALSE(IsCold(4.1));
}

// The other router's entry may be the older one.
TEST_F(ColdServersTest, ToldEarlierEnd_DoesNotEndIt) {
  Read(0, 0, 1);
  Answer(1, 3);
  cold_.OnTold(
      "s",
      {.id = 7, .requests_per_second = kRate, .until = At(2), .as_of = At(1.2)},
      At(1.2));
  EXPECT_TRUE(IsCold(3.9));
}

TEST_F(ColdServersTest, Granter_GivesAThirdOfTheRate) {
  Read(0, 1000, 1);
  int granted = 0;
  for (double at = 0; at < 100; at += 0.01)
    granted += cold_.Grant(Question(), At(at)).granted ? 1 : 0;
  EXPECT_LE(granted, 100 * kRate / 3 + 1.25);
  EXPECT_GE(granted, 100 * kRate / 3 - 2);
}

TEST_F(ColdServersTest, Granter_AfterAPause_GivesOnePermitAtOnce) {
  EXPECT_TRUE(cold_.Grant(Question(), At(0)).granted);
  EXPECT_TRUE(cold_.Grant(Question(), At(60)).granted);
  const Permit denied = cold_.Grant(Question(), At(60));
  EXPECT_FALSE(denied.granted);
  EXPECT_EQ(denied.retry_after, absl::Milliseconds(375));
}

// Its previous incarnation may have given permits just before.
TEST_F(ColdServersTest, Granter_JustStarted_GivesNone) {
  ColdServers started(ColdServerOptions(), At(0));
  EXPECT_FALSE(started.Grant(Question(), At(1)).granted);
  EXPECT_EQ(started.Grant(Question(), At(1)).retry_after,
            absl::Milliseconds(200));
  EXPECT_TRUE(started.Grant(Question(), At(1.2)).granted);
}

// When a whole fleet starts for the first time, many routers take themselves
// for a granter.
TEST_F(ColdServersTest, NewRouter_GivesNoneUntilTheOthersKnowIt) {
  ColdPermitQuestion question = Question();
  question.is_new_router = true;
  question.routers = 30;
  question.since_routers_changed = absl::Milliseconds(2'000);
  EXPECT_EQ(cold_.Grant(question, At(0)).retry_after, absl::Milliseconds(400));
  question.since_routers_changed = absl::Milliseconds(2'400);
  EXPECT_TRUE(cold_.Grant(question, At(1)).granted);
  // Others that come later change nothing.
  question.since_routers_changed = absl::ZeroDuration();
  EXPECT_TRUE(cold_.Grant(question, At(2)).granted);
}

TEST_F(ColdServersTest, NewRouterAmongMany_GivesSomeOnceSettled) {
  ColdPermitQuestion question = Question();
  question.is_new_router = true;
  question.routers = 340;
  question.since_routers_changed = absl::Milliseconds(4'900);
  EXPECT_EQ(cold_.Grant(question, At(0)).retry_after, absl::Milliseconds(100));
}

TEST_F(ColdServersTest, FewRouters_GiveMoreOnceTheyAreSettled) {
  ColdPermitQuestion question = Question(/*granters=*/1);
  EXPECT_EQ(AssumedGranters(question, ColdServerOptions()), 1);
  question.since_routers_changed = absl::Seconds(4);
  EXPECT_EQ(AssumedGranters(question, ColdServerOptions()), 3);
  EXPECT_EQ(AssumedGranters(Question(2), ColdServerOptions()), 2);
  EXPECT_EQ(AssumedGranters(Question(3), ColdServerOptions()), 3);
  int granted = 0;
  Read(0, 1000, 1);
  for (double at = 0; at < 100; at += 0.01)
    granted += cold_.Grant(Question(1), At(at)).granted ? 1 : 0;
  EXPECT_LE(granted, 100 * kRate + 2.5);
  EXPECT_GE(granted, 100 * kRate - 2);
}

TEST_F(ColdServersTest, DeniedRouter_AsksAgainBeforeItsCallersAreTold) {
  Read(0, 3, 1);
  cold_.OnDenied("s", 5, /*requests_per_second=*/1, At(2), At(0.5));
  EXPECT_EQ(cold_.BlockedUntil("s", 5, At(0.6)), At(0.75));
  EXPECT_EQ(cold_.BlockedUntil("s", 0, At(0.6)), At(0.6));
  EXPECT_EQ(cold_.RetryAt("s", At(0.6)), At(2));
}

TEST_F(ColdServersTest, DeniedCaller_ComesBackNoLaterThanTheEnd) {
  Read(0, 3, 1);
  cold_.OnDenied("s", 5, /*requests_per_second=*/1, At(4), At(2.9));
  EXPECT_EQ(cold_.BlockedUntil("s", 5, At(2.9)), At(3));
  EXPECT_EQ(cold_.RetryAt("s", At(2.9)), At(3));
  EXPECT_EQ(cold_.RetryAt("s", At(3.5)), At(3.5));
}

TEST_F(ColdServersTest, UnusedServer_IsForgotten) {
  Read(0, 500, 1);
  cold_.SetServers({}, At(50));
  EXPECT_TRUE(IsCold(51));
  cold_.SetServers({}, At(70));
  EXPECT_FALSE(IsCold(71));
}

}  // namespace
}  // namespace hawthornhollow
