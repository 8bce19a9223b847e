#include "hawthornhollow/relay/leaving_servers.h"

#include <gtest/gtest.h>

#include "absl/strings/str_cat.h"

namespace hawthornhollow {
namespace {

RelayServer Server(const std::string& id,
                   int64_t born_ms,
                   int64_t sequence = 1) {
  return {.id = id,
          .service = "engine",
          .revision = {.born_ms = born_ms, .sequence = sequence}};
}

TEST(LeavingServersTest, WordOfAnAnswer_HoldsForItsLifetimeOnly) {
  LeavingServers leaving;
  EXPECT_TRUE(leaving.OnStated(Server("a", 100)));
  EXPECT_FALSE(leaving.OnStated(Server("a", 100, /*sequence=*/9)));
  const struct {
    RelayServer server;
    bool is_leaving;
  } cases[] = {
      {Server("a", 100), true},
      {Server("a", 100, /*sequence=*/50), true},  // the list still says ready
      {Server("a", 99), true},                    // an entry from a copy
      {Server("a", 101), false},                  // a new start
      {Server("b", 100), false},
  };
  for (const auto& test : cases) {
    EXPECT_EQ(leaving.IsLeaving(test.server), test.is_leaving)
        << test.server.id << " " << test.server.revision.born_ms;
    EXPECT_EQ(leaving.Apply({test.server}).front().leaving, test.is_leaving);
  }
}

TEST(LeavingServersTest, NewStartThatLeavesToo_IsNews) {
  LeavingServers leaving;
  EXPECT_TRUE(leaving.OnStated(Server("a", 100)));
  EXPECT_TRUE(leaving.OnStated(Server("a", 200)));
  // A late answer of the lifetime before.
  EXPECT_FALSE(leaving.OnStated(Server("a", 100)));
  EXPECT_TRUE(leaving.IsLeaving(Server("a", 200)));
  EXPECT_FALSE(leaving.IsLeaving(Server("a", 300)));
}

TEST(LeavingServersTest, ServerThatTheListCallsLeaving_StaysSo) {
  const LeavingServers leaving;
  RelayServer server = Server("a", 100);
  server.leaving = true;
  EXPECT_TRUE(leaving.Apply({server}).front().leaving);
}

TEST(LeavingServersTest, TooManyServers_ForgetTheOldest) {
  LeavingServers leaving;
  for (size_t i = 0; i <= LeavingServers::kMaxServers; ++i)
    EXPECT_TRUE(leaving.OnStated(Server(absl::StrCat("s", i), 1)));
  EXPECT_FALSE(leaving.IsLeaving(Server("s0", 1)));
  EXPECT_TRUE(leaving.IsLeaving(Server("s1", 1)));
}

}  // namespace
}  // namespace hawthornhollow
