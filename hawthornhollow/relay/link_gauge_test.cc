#include "hawthornhollow/relay/link_gauge.h"

#include <gtest/gtest.h>

namespace hawthornhollow {
namespace {

constexpr absl::Duration kQuick = absl::Milliseconds(3);
constexpr absl::Duration kTimeout = absl::Milliseconds(400);

class LinkGaugeTest : public testing::Test {
 protected:
  // Reports one connection to each of `servers`, 20 ms apart.
  void Connect(const std::vector<std::string>& servers, absl::Duration took) {
    for (const std::string& server : servers) {
      now_ += absl::Milliseconds(20);
      gauge_.OnConnection(server, took, now_);
    }
  }

  const LinkGaugeOptions options_ = {};
  LinkGauge gauge_{options_};
  absl::Time now_ = absl::UnixEpoch();
  const std::vector<std::string> eight_ = {"a", "b", "c", "d",
                                           "a", "b", "c", "d"};
};

TEST_F(LinkGaugeTest, NothingKnown_IsNotChoked) {
  EXPECT_FALSE(gauge_.IsChoked(now_));
  EXPECT_EQ(gauge_.ConnectTimeout(now_), options_.timeout);
}

TEST_F(LinkGaugeTest, ConnectionsToAllServersTimeOut_IsChoked) {
  Connect(eight_, kTimeout);
  EXPECT_TRUE(gauge_.IsChoked(now_));
}

TEST_F(LinkGaugeTest, OneQuickConnectionAmongTimeouts_IsNotChoked) {
  Connect({"a", "b", "c"}, kTimeout);
  Connect({"d"}, kQuick);
  Connect({"a", "b", "c", "a"}, kTimeout);
  EXPECT_FALSE(gauge_.IsChoked(now_));
}

TEST_F(LinkGaugeTest, TwoServersThatAreDown_AreNoChokedLink) {
  Connect({"a", "b", "a", "b", "a", "b", "a", "b"}, kTimeout);
  EXPECT_FALSE(gauge_.IsChoked(now_));
}

TEST_F(LinkGaugeTest, WhatWasSeenLongAgo_ShowsNothing) {
  Connect(eight_, kTimeout);
  now_ += options_.memory;
  EXPECT_FALSE(gauge_.IsChoked(now_));
  EXPECT_EQ(gauge_.ConnectTimeout(now_), options_.timeout);
}

// The link's queue delays packets by 900 ms, so with a timeout of 400 ms no
// connection would ever be established. The timeout must grow until connections
// succeed, and fall again when the queue has drained.
TEST_F(LinkGaugeTest, LongQueueAtTheLink_IsWaitedOutAndForgotten) {
  constexpr absl::Duration kQueue = absl::Milliseconds(900);
  int made = 0;
  for (int i = 0; i < 40; ++i) {
    const absl::Duration timeout = gauge_.ConnectTimeout(now_);
    made += timeout >= kQueue ? 1 : 0;
    Connect({std::string(1, static_cast<char>('a' + i % 4))},
            std::min(timeout, kQueue));
  }
  EXPECT_GT(made, 20);
  EXPECT_LE(gauge_.ConnectTimeout(now_), options_.timeout_most);
  Connect({"a"}, kQuick);
  EXPECT_FALSE(gauge_.IsChoked(now_));
  EXPECT_EQ(gauge_.ConnectTimeout(now_), options_.timeout);
}

}  // namespace
}  // namespace hawthornhollow
