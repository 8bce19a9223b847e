#include "hawthornhollow/relay/resting_servers.h"

#include <gtest/gtest.h>

#include "absl/strings/str_cat.h"

namespace hawthornhollow {
namespace {

absl::Time At(double seconds) {
  return absl::UnixEpoch() + absl::Seconds(seconds);
}

RelayServer Server(const std::string& id, int64_t born_ms = 1) {
  return {.id = id, .service = "engine", .revision = {.born_ms = born_ms}};
}

TEST(RestingServersTest, ServerThatAsksForARest_HasItUntilItsEnd) {
  RestingServers resting;
  EXPECT_TRUE(resting.OnStated(Server("a"), At(5), At(0)));
  EXPECT_TRUE(resting.IsResting(Server("a"), At(4.9)));
  EXPECT_FALSE(resting.IsResting(Server("a"), At(5)));
  EXPECT_FALSE(resting.IsResting(Server("b"), At(1)));
  EXPECT_EQ(resting.Ids(At(1)), std::set<std::string>({"a"}));
  EXPECT_TRUE(resting.Ids(At(6)).empty());
}

// Answers to requests that were on their way may arrive in any order.
TEST(RestingServersTest, LongestOfSeveralRests_Holds) {
  RestingServers resting;
  resting.OnStated(Server("a"), At(5), At(0));
  EXPECT_FALSE(resting.OnStated(Server("a"), At(3), At(1)));
  EXPECT_TRUE(resting.IsResting(Server("a"), At(4)));
  EXPECT_FALSE(resting.OnStated(Server("a"), At(8), At(2)));
  EXPECT_TRUE(resting.IsResting(Server("a"), At(7)));
}

TEST(RestingServersTest, LaterStartUnderTheSameId_IsAnotherServer) {
  RestingServers resting;
  resting.OnStated(Server("a", 100), At(5), At(0));
  EXPECT_FALSE(resting.IsResting(Server("a", 200), At(1)));
  resting.OnServers({Server("a", 100), Server("b", 900)});
  EXPECT_TRUE(resting.Ids(At(1)).contains("a"));
  // It lapsed from the list: its word holds.
  resting.OnServers({});
  EXPECT_TRUE(resting.Ids(At(1)).contains("a"));
  resting.OnServers({Server("a", 200)});
  EXPECT_TRUE(resting.Ids(At(1)).empty());
  resting.OnStated(Server("a", 200), At(2), At(1));
  // A late answer of the lifetime before.
  EXPECT_FALSE(resting.OnStated(Server("a", 100), At(9), At(1)));
  EXPECT_FALSE(resting.IsResting(Server("a", 200), At(3)));
}

TEST(RestingServersTest, FirstEnd_IsThatOfTheServersGiven) {
  RestingServers resting;
  resting.OnStated(Server("a"), At(5), At(0));
  resting.OnStated(Server("b"), At(3), At(0));
  EXPECT_EQ(resting.FirstEnd({"a", "b"}, At(1)), At(3));
  EXPECT_EQ(resting.FirstEnd({"a"}, At(1)), At(5));
  EXPECT_EQ(resting.FirstEnd({"a", "c"}, At(1)), At(1));
  EXPECT_EQ(resting.FirstEnd({}, At(1)), At(1));
}

TEST(RestingServersTest, TooManyServers_ForgetTheFirstToEnd) {
  RestingServers resting;
  for (size_t i = 0; i <= RestingServers::kMaxServers; ++i)
    resting.OnStated(Server(absl::StrCat("s", i)), At(100.0 + i), At(0));
  EXPECT_FALSE(resting.IsResting(Server("s0"), At(1)));
  EXPECT_TRUE(resting.IsResting(Server("s1"), At(1)));
}

}  // namespace
}  // namespace hawthornhollow
