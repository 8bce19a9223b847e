#include "hawthornhollow/relay/server_list.h"

#include <gtest/gtest.h>

#include <initializer_list>
#include <set>

namespace hawthornhollow {
namespace {

class ServerListTest : public testing::Test {
 protected:
  using Ids = std::set<std::string>;

  static absl::Time At(double seconds) {
    return absl::UnixEpoch() + absl::Seconds(seconds);
  }
  static ServerList::Servers Entries(const Ids& ids) {
    ServerList::Servers entries;
    for (const std::string& id : ids)
      entries[id] = {.id = id};
    return entries;
  }
  void Read(double at, const Ids& ids) { list_.Update(Entries(ids), At(at)); }
  void ReadByPeer(double at, double unbroken_since, const Ids& ids) {
    list_.UpdateFromPeer(Entries(ids),
                         {.last = At(at), .unbroken_since = At(unbroken_since)},
                         At(at));
  }
  Ids InUse() const {
    Ids ids;
    for (const auto& [key, server] : list_.servers())
      ids.insert(key);
    return ids;
  }

  ServerList list_{{.outage_after = absl::Seconds(1.5),
                    .missing_entry_grace = absl::Seconds(2)}};
};

TEST_F(ServerListTest, EntryRemovedWhileReading_IsGoneAtOnce) {
  Read(0, {"a", "b"});
  Read(1, {"a"});
  EXPECT_EQ(InUse(), Ids({"a"}));
}

TEST_F(ServerListTest, EntriesMissingAfterGap_AreKeptForTheGracePeriod) {
  Read(0, {"a", "b", "c"});
  Read(5, {"a"});
  EXPECT_EQ(InUse(), Ids({"a", "b", "c"}));
  EXPECT_EQ(list_.next_change(), At(7));
  Read(6, {"a", "b"});
  EXPECT_EQ(InUse(), Ids({"a", "b", "c"}));
  Read(7, {"a", "b"});
  EXPECT_EQ(InUse(), Ids({"a", "b"}));
  EXPECT_EQ(list_.next_change(), absl::InfiniteFuture());
}

TEST_F(ServerListTest, EntrySeenAfterGapAndRemoved_IsGoneAtOnce) {
  Read(0, {"a", "b"});
  Read(5, {"a", "b"});
  Read(5.4, {"a"});
  EXPECT_EQ(InUse(), Ids({"a"}));
}

TEST_F(ServerListTest, GracePeriodOverWhileNothingIsRead_DropsKeptServers) {
  Read(0, {"a", "b"});
  Read(5, {"a"});
  list_.DropExpired(At(6.9));
  EXPECT_EQ(InUse(), Ids({"a", "b"}));
  list_.DropExpired(At(7));
  EXPECT_EQ(InUse(), Ids({"a"}));
}

TEST_F(ServerListTest, PeerReadThroughoutTheGap_NothingIsKept) {
  Read(0, {"a", "b"});
  ReadByPeer(3, -10, {"a"});
  EXPECT_EQ(InUse(), Ids({"a"}));
  // Nor does this router's own first read find a gap.
  Read(4, {"a", "c"});
  Read(4.4, {"a"});
  EXPECT_EQ(InUse(), Ids({"a"}));
}

TEST_F(ServerListTest, PeerHeardAfterTheFirstRead_EndsTheGracePeriod) {
  Read(0, {"a", "b"});
  Read(5, {"a"});
  EXPECT_EQ(InUse(), Ids({"a", "b"}));
  ReadByPeer(5.2, -10, {"a"});
  EXPECT_EQ(InUse(), Ids({"a"}));
}

// It has no gap yet only because it has not read again.
TEST_F(ServerListTest, PeerThatDidNotReadSince_DoesNotEndTheGracePeriod) {
  Read(0, {"a", "b"});
  Read(5, {"a"});
  for (int i = 0; i < 3; ++i) {
    list_.UpdateFromPeer(Entries({"a"}),
                         {.last = At(0.2), .unbroken_since = At(-10)}, At(5.1));
    EXPECT_EQ(InUse(), Ids({"a", "b"}));
    EXPECT_EQ(list_.next_change(), At(7));
    EXPECT_EQ(list_.reading().unbroken_since, At(5));
  }
}

TEST_F(ServerListTest, PeerWithAGapOfItsOwn_GracePeriodCountsFromItsFirstRead) {
  const struct { bool own_read_first; } cases[] = {{true}, {false}};
  for (const auto& [own_read_first] : cases) {
    ServerList list({.outage_after = absl::Seconds(1.5),
                     .missing_entry_grace = absl::Seconds(2)});
    list.Update(Entries({"a", "b"}), At(0));
    if (own_read_first)
      list.Update(Entries({"a"}), At(5));
    list.UpdateFromPeer(Entries({"a"}),
                        {.last = At(5), .unbroken_since = At(4)}, At(5));
    EXPECT_TRUE(list.servers().contains("b"));
    EXPECT_EQ(list.next_change(), At(6));
  }
}

TEST_F(ServerListTest, PeersThatDoNotReadTheStoreEither_LeaveTheListAsItIs) {
  Read(0, {"a", "b"});
  ReadByPeer(0.3, -10, {"a", "b"});
  ReadByPeer(0.3, -10, {"a", "b"});
  EXPECT_EQ(InUse(), Ids({"a", "b"}));
  Read(5, {});
  EXPECT_EQ(InUse(), Ids({"a", "b"}));
}

TEST_F(ServerListTest, FirstRead_IsNoGap) {
  Read(100, {"a"});
  EXPECT_EQ(list_.next_change(), absl::InfiniteFuture());
  EXPECT_EQ(list_.reading().unbroken_since, At(100));
}

}  // namespace
}  // namespace hawthornhollow
