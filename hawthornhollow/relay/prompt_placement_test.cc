#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "hawthornhollow/relay/relay.h"

namespace hawthornhollow {
namespace {

using Outcome = PromptPlacement::Outcome;

constexpr int64_t kSharedTokens = 13'300;
constexpr int64_t kOwnTokens = 3'720;

class PromptPlacementTest : public testing::Test {
 protected:
  PromptPlacementTest() {
    for (int i = 0; i < 9; ++i) {
      servers_.push_back({.id = "engine-" + std::to_string(i),
                          .service = "engine",
                          .failure_domain = "d" + std::to_string(i % 3)});
    }
    placement_.SetServers(servers_);
  }

  PlacementQuery Query(int topic, int request) const {
    return {.service = "engine",
            .prompt = {{"topic-" + std::to_string(topic), kSharedTokens},
                       {"own-" + std::to_string(request), kOwnTokens}},
            .prompt_tokens = kSharedTokens + kOwnTokens,
            .failure_domain = "d0"};
  }

  PromptPlacement::Choice Choose(const PlacementQuery& query) {
    auto choice = placement_.Choose(query, now_);
    EXPECT_TRUE(choice.ok()) << choice.status();
    return *choice;
  }

  void Finish(const PromptPlacement::Choice& choice, Outcome outcome) {
    placement_.OnFinished(choice, /*had_first_token=*/false, outcome, now_);
  }

  std::vector<RelayServer> servers_;
  PromptPlacement placement_{PlacementOptions()};
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
};

TEST_F(PromptPlacementTest,
       ServerRemovedAndListedAgain_DropsEarlierInFlightCount) {
  const auto choice = Choose(Query(1, 0));
  placement_.SetServers({});
  placement_.SetServers(servers_);
  Finish(choice, Outcome::kAnswered);
  EXPECT_EQ(placement_.in_flight(choice.server.id), 0);
}

TEST_F(PromptPlacementTest,
       SequentialRequestsWithOneSharedPart_StayOnOneServer) {
  const std::string first = Choose(Query(1, 0)).server.id;
  for (int i = 1; i < 20; ++i) {
    const auto choice = Choose(Query(1, i));
    placement_.OnFirstToken(choice, now_);
    placement_.OnFinished(choice, /*had_first_token=*/true, Outcome::kAnswered,
                          now_);
  }
  PromptPlacement other{PlacementOptions()};
  other.SetServers(servers_);
  // Another router, which has seen no requests, agrees on the preferred server.
  EXPECT_EQ(other.Choose(Query(1, 99), now_)->server.id, first);
}

TEST_F(PromptPlacementTest,
       BurstWithOneSharedPart_SpreadsWhenWaitingCostsMore) {
  std::set<std::string> used;
  for (int i = 0; i < 30; ++i)
    used.insert(Choose(Query(1, i)).server.id);
  EXPECT_GT(used.size(), 3);
}

TEST_F(PromptPlacementTest,
       UnresponsiveServer_IsExcludedUntilItsSuspectTimeEnds) {
  const auto choice = Choose(Query(1, 0));
  Finish(choice, Outcome::kNoResponse);
  EXPECT_TRUE(placement_.IsSuspect(choice.server.id, now_));
  EXPECT_NE(Choose(Query(1, 1)).server.id, choice.server.id);
  now_ += absl::Seconds(30);
  EXPECT_EQ(Choose(Query(1, 2)).server.id, choice.server.id);
}

TEST_F(PromptPlacementTest, AllServersUnresponsive_StillChoosesOne) {
  for (int i = 0; i < 9; ++i)
    Finish(Choose(Query(i, i)), Outcome::kNoResponse);
  EXPECT_TRUE(placement_.Choose(Query(1, 50), now_).ok());
}

TEST_F(PromptPlacementTest, LeavingOrExcludedServers_AreNeverChosen) {
  for (RelayServer& server : servers_)
    server.leaving = server.id != "engine-4";
  placement_.SetServers(servers_);
  PlacementQuery query = Query(1, 0);
  EXPECT_EQ(Choose(query).server.id, "engine-4");
  query.excluded_servers = {"engine-4"};
  EXPECT_EQ(placement_.Choose(query, now_).status().code(),
            absl::StatusCode::kNotFound);
}

TEST_F(PromptPlacementTest, FinishedRequests_LeaveNothingInFlight) {
  const auto a = Choose(Query(1, 0));
  const auto b = Choose(Query(1, 1));
  placement_.OnFirstToken(a, now_);
  placement_.OnFinished(a, /*had_first_token=*/true, Outcome::kAnswered, now_);
  Finish(b, Outcome::kAbandoned);
  EXPECT_EQ(placement_.in_flight(a.server.id), 0);
  EXPECT_EQ(placement_.in_flight(b.server.id), 0);
}

TEST_F(PromptPlacementTest, ServersOfEvacuatedDomains_AreNotChosen) {
  placement_.SetEvacuatedDomains({"d0", "d1", "nowhere"});
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(Choose(Query(i, i)).server.failure_domain, "d2");
  EXPECT_EQ(placement_.ServersOf("engine").size(), 3);
  EXPECT_TRUE(placement_.IsEvacuated(servers_[0]));
  EXPECT_FALSE(placement_.IsEvacuated(servers_[2]));
  EXPECT_FALSE(placement_.IsServiceEvacuated("engine"));
  placement_.SetEvacuatedDomains({"d1"});
  EXPECT_EQ(placement_.ServersOf("engine").size(), 6);
}

// Servers that are suspected must not be preferred to none at all if their
// domain is evacuated.
TEST_F(PromptPlacementTest, SuspectServersOfAnEvacuatedDomain_AreNotChosen) {
  for (int i = 0; i < 200; ++i) {
    const auto choice = placement_.Choose(Query(i, i), now_);
    Finish(*choice, Outcome::kNoResponse);
  }
  placement_.SetEvacuatedDomains({"d0", "d1", "d2"});
  EXPECT_FALSE(placement_.Choose(Query(1, 1), now_).ok());
}

TEST_F(PromptPlacementTest, AllDomainsEvacuated_ServiceIsEvacuated) {
  EXPECT_FALSE(placement_.IsServiceEvacuated("engine"));
  placement_.SetEvacuatedDomains({"d0", "d1", "d2"});
  EXPECT_TRUE(placement_.IsServiceEvacuated("engine"));
  EXPECT_FALSE(placement_.IsServiceEvacuated("another"));
  EXPECT_FALSE(placement_.Choose(Query(1, 1), now_).ok());
  // A server that leaves could not be used anyway.
  placement_.SetEvacuatedDomains({"d0", "d1"});
  for (RelayServer& server : servers_)
    server.leaving = server.failure_domain == "d2";
  placement_.SetServers(servers_);
  EXPECT_TRUE(placement_.IsServiceEvacuated("engine"));
}

// With one speed assumed for all, each prompt went to the same slow server.
TEST_F(PromptPlacementTest, ServerWithSlowFirstTokens_GetsFewerPrompts) {
  std::map<std::string, int> chosen;
  for (int i = 0; i < 200; ++i) {
    PlacementQuery query = Query(1, i);
    query.prompt = {{"own-" + std::to_string(i), kOwnTokens}};
    query.prompt_tokens = kOwnTokens;
    const auto choice = Choose(query);
    ++chosen[choice.server.id];
    const double tokens_per_ms = choice.server.id == "engine-0" ? 15 : 45;
    const absl::Time first_token =
        now_ + absl::Milliseconds(10 + kOwnTokens / tokens_per_ms);
    placement_.OnFirstToken(choice, first_token);
    placement_.OnFinished(choice, /*had_first_token=*/true, Outcome::kAnswered,
                          first_token);
    now_ += absl::Seconds(1);
  }
  EXPECT_LE(chosen["engine-0"], 15);  // Some, until it is known
}

// Prompts of other routers ahead of a prompt were not noticed before its first
// token.
TEST_F(PromptPlacementTest, OverdueFirstToken_SendsTheSharedPartElsewhere) {
  const std::string preferred = Choose(Query(1, 0)).server.id;
  now_ += absl::Seconds(3);
  EXPECT_NE(Choose(Query(1, 1)).server.id, preferred);
}

}  // namespace
}  // namespace hawthornhollow
