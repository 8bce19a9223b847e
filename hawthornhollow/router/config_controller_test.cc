#include "hawthornhollow/router/config_controller.h"

#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace hawthornhollow {
namespace {

using ::testing::UnorderedElementsAreArray;

Endpoint Address(int number) {
  return Endpoint{"10.0.0.1", static_cast<uint16_t>(number)};
}

// The options of router number `self` of `count` routers, numbered from 1.
ConfigControllerOptions OptionsOf(int self, int count, PeerLinks links) {
  ConfigControllerOptions options;
  options.peer_links = links;
  options.peer_listen = Address(self);
  for (int i = 1; i <= count; ++i) {
    if (i != self)
      options.peers.push_back(Address(i));
  }
  return options;
}

TEST(LinkedPeersTest, All_LinksEveryOtherRouter) {
  auto options = OptionsOf(2, 5, PeerLinks::kAll);
  EXPECT_EQ(LinkedPeers(options), options.peers);
}

TEST(LinkedPeersTest, Ring_LinksRoutersAtPowerOfTwoDistances) {
  EXPECT_THAT(LinkedPeers(OptionsOf(4, 6, PeerLinks::kRing)),
              UnorderedElementsAreArray({Address(5), Address(6), Address(2)}));
  EXPECT_EQ(LinkedPeers(OptionsOf(1, 340, PeerLinks::kRing)).size(), 9u);
  EXPECT_TRUE(LinkedPeers(OptionsOf(1, 1, PeerLinks::kRing)).empty());
}

}  // namespace
}  // namespace hawthornhollow
