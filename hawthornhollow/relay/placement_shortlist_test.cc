#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "absl/strings/str_cat.h"
#include "hawthornhollow/relay/prompt_placement.h"
#include "hawthornhollow/relay/relay.h"

namespace hawthornhollow {
namespace {

constexpr char kService[] = "engine";

class PlacementShortlistTest : public testing::Test {
 protected:
  void SetServers(int count) {
    servers_.clear();
    for (int i = 0; i < count; ++i) {
      servers_.push_back({.id = absl::StrCat("i-", i),
                          .service = kService,
                          .failure_domain = absl::StrCat("d", i % 3)});
    }
    placement_.SetServers(servers_);
  }

  static PlacementQuery Query(const std::string& shared_part) {
    PlacementQuery query{.service = kService, .failure_domain = "d0"};
    if (!shared_part.empty()) {
      query.prompt = {{shared_part, 10'000}, {"own", 500}};
      query.prompt_tokens = 10'500;
    }
    return query;
  }

  PlacementShortlist Shortlist(const PlacementQuery& query,
                               const std::string& request = "r-1") {
    return placement_.Shortlist(query, request, now_);
  }

  static std::vector<std::string> AllOf(const PlacementShortlist& list) {
    std::vector<std::string> all = list.first;
    all.insert(all.end(), list.more.begin(), list.more.end());
    return all;
  }

  std::vector<RelayServer> servers_;
  PromptPlacement placement_{PlacementOptions()};
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
};

TEST_F(PlacementShortlistTest, NoServer_IsEmpty) {
  EXPECT_TRUE(Shortlist(Query("topic")).first.empty());
}

TEST_F(PlacementShortlistTest, SharedPart_ServerOfTheOwnViewIsFirst) {
  SetServers(20);
  for (int topic = 0; topic < 50; ++topic) {
    const PlacementQuery query = Query(absl::StrCat("topic-", topic));
    const auto choice = placement_.Propose(query, now_);
    ASSERT_TRUE(choice.ok()) << choice.status();
    EXPECT_EQ(Shortlist(query).first.front(), choice->server.id);
  }
}

TEST_F(PlacementShortlistTest, ManyServers_ThreeFirstAndFiveMoreAllDifferent) {
  SetServers(100);
  const PlacementShortlist list = Shortlist(Query("topic"));
  EXPECT_EQ(list.first.size(), 3U);
  EXPECT_EQ(list.more.size(), 5U);
  EXPECT_FALSE(list.is_whole_service);
  std::vector<std::string> all = AllOf(list);
  std::sort(all.begin(), all.end());
  EXPECT_EQ(std::unique(all.begin(), all.end()), all.end());
}

TEST_F(PlacementShortlistTest, FewServers_AreAllListed) {
  for (int count = 1; count <= 8; ++count) {
    SetServers(count);
    for (const char* part : {"", "topic"}) {
      const PlacementShortlist list = Shortlist(Query(part));
      EXPECT_EQ(AllOf(list).size(), static_cast<size_t>(count));
      EXPECT_TRUE(list.is_whole_service);
    }
  }
}

// When the first is gone, its part goes to the second, so routers must agree on
// that one, too.
TEST_F(PlacementShortlistTest, FirstIsExcluded_SecondMovesUp) {
  SetServers(20);
  PlacementQuery query = Query("topic");
  const PlacementShortlist before = Shortlist(query);
  query.excluded_servers.insert(before.first[0]);
  EXPECT_EQ(Shortlist(query).first[0], before.first[1]);
}

TEST_F(PlacementShortlistTest, ExcludedAndLeavingServers_AreNotListed) {
  SetServers(8);
  servers_[3].leaving = true;
  placement_.SetServers(servers_);
  PlacementQuery query = Query("topic");
  query.excluded_servers = {"i-5"};
  const std::vector<std::string> all = AllOf(Shortlist(query));
  EXPECT_EQ(all.size(), 6U);
  EXPECT_THAT(all, testing::Not(testing::Contains("i-3")));
  EXPECT_THAT(all, testing::Not(testing::Contains("i-5")));
}

// Without a shared part, all routers would ask for the same server otherwise.
TEST_F(PlacementShortlistTest, NoPrompt_RequestsAreSpreadOverServers) {
  constexpr int kServers = 20;
  constexpr int kRequests = 4'000;
  SetServers(kServers);
  std::map<std::string, int> firsts;
  for (int i = 0; i < kRequests; ++i)
    ++firsts[Shortlist(Query(""), absl::StrCat("r-", i)).first.front()];
  // Those of the router's own domain come first where they are drawn.
  EXPECT_EQ(firsts.size(), static_cast<size_t>(kServers));
  for (const auto& [server, count] : firsts)
    EXPECT_LT(count, kRequests * 4 / kServers) << server;
}

TEST_F(PlacementShortlistTest, ServerLeftMeanwhile_IsNotProposed) {
  SetServers(4);
  const PlacementQuery query = Query("topic");
  auto choice = placement_.ProposeServer(query, "i-2", now_);
  ASSERT_TRUE(choice.ok()) << choice.status();
  EXPECT_EQ(choice->server.id, "i-2");
  placement_.SetLeaving(*choice);
  EXPECT_EQ(placement_.ProposeServer(query, "i-2", now_).status().code(),
            absl::StatusCode::kNotFound);
  EXPECT_EQ(placement_.ProposeServer(query, "i-9", now_).status().code(),
            absl::StatusCode::kNotFound);
}

}  // namespace
}  // namespace hawthornhollow
