#include "hawthornhollow/relay/congestion_detector.h"

#include <gtest/gtest.h>

namespace hawthornhollow {
namespace {

constexpr absl::Duration kQuick = absl::Milliseconds(3);
constexpr absl::Duration kTimeout = absl::Milliseconds(400);

class CongestionDetectorTest : public testing::Test {
 protected:
  // Reports one connection to each of `servers`, 20 ms apart.
  void Connect(const std::vector<std::string>& servers, absl::Duration took) {
    for (const std::string& server : servers) {
      now_ += absl::Milliseconds(20);
      detector_.OnConnection(server, took, now_);
    }
  }

  const CongestionDetectorOptions options_ = {};
  CongestionDetector detector_{options_};
  absl::Time now_ = absl::UnixEpoch();
  const std::vector<std::string> eight_connections_ = {"a", "b", "c", "d",
                                                       "a", "b", "c", "d"};
};

TEST_F(CongestionDetectorTest, NoConnections_IsNotCongested) {
  EXPECT_FALSE(detector_.IsCongested(now_));
  EXPECT_EQ(detector_.ConnectTimeout(now_), options_.timeout);
}

TEST_F(CongestionDetectorTest, ConnectionsToAllServersTimeOut_IsCongested) {
  Connect(eight_connections_, kTimeout);
  EXPECT_TRUE(detector_.IsCongested(now_));
}

TEST_F(CongestionDetectorTest, OneFastConnectionAmongTimeouts_IsNotCongested) {
  Connect({"a", "b", "c"}, kTimeout);
  Connect({"d"}, kQuick);
  Connect({"a", "b", "c", "a"}, kTimeout);
  EXPECT_FALSE(detector_.IsCongested(now_));
}

TEST_F(CongestionDetectorTest, TwoServersDown_IsNotCongested) {
  Connect({"a", "b", "a", "b", "a", "b", "a", "b"}, kTimeout);
  EXPECT_FALSE(detector_.IsCongested(now_));
}

TEST_F(CongestionDetectorTest, OldConnections_AreIgnored) {
  Connect(eight_connections_, kTimeout);
  now_ += options_.max_connection_age;
  EXPECT_FALSE(detector_.IsCongested(now_));
  EXPECT_EQ(detector_.ConnectTimeout(now_), options_.timeout);
}

// The link's queue delays packets by 900 ms, so with a timeout of 400 ms no
// connection would ever be established. The timeout must grow until connections
// succeed, and fall again when the queue has drained.
TEST_F(CongestionDetectorTest,
       LongLinkQueue_RaisesTimeoutUntilConnectionsSucceed) {
  constexpr absl::Duration kQueue = absl::Milliseconds(900);
  int made = 0;
  for (int i = 0; i < 40; ++i) {
    const absl::Duration timeout = detector_.ConnectTimeout(now_);
    made += timeout >= kQueue ? 1 : 0;
    Connect({std::string(1, static_cast<char>('a' + i % 4))},
            std::min(timeout, kQueue));
  }
  EXPECT_GT(made, 20);
  EXPECT_LE(detector_.ConnectTimeout(now_), options_.max_timeout);
  Connect({"a"}, kQuick);
  EXPECT_FALSE(detector_.IsCongested(now_));
  EXPECT_EQ(detector_.ConnectTimeout(now_), options_.timeout);
}

}  // namespace
}  // namespace hawthornhollow
