#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {
namespace {

constexpr size_t kHolders = 3;

// Routers spread evenly over `domains` failure domains.
std::vector<HolderCandidate> Fleet(size_t routers, size_t domains) {
  std::vector<HolderCandidate> fleet;
  for (size_t i = 0; i < routers; ++i) {
    fleet.push_back({"router-" + std::to_string(i),
                     "domain-" + std::to_string(i % domains)});
  }
  return fleet;
}

std::string WorkspaceName(int i) {
  return "ward-" + std::to_string(i);
}

TEST(ChooseHoldersTest, FewCandidates_AllHold) {
  EXPECT_THAT(ChooseHolders("ward-7", {}, kHolders), testing::IsEmpty());
  EXPECT_THAT(ChooseHolders("ward-7", Fleet(2, 1), kHolders),
              testing::UnorderedElementsAre("router-0", "router-1"));
}

TEST(ChooseHoldersTest, CandidatesInAnyOrder_SameHolders) {
  std::vector<HolderCandidate> fleet = Fleet(103, 5);
  const auto holders = ChooseHolders("ward-7", fleet, kHolders);
  std::reverse(fleet.begin(), fleet.end());
  EXPECT_EQ(ChooseHolders("ward-7", fleet, kHolders), holders);
}

TEST(ChooseHoldersTest, SeveralDomains_HoldersInDifferentOnes) {
  const std::vector<HolderCandidate> fleet = Fleet(103, 5);
  for (int i = 0; i < 100; ++i) {
    std::set<std::string> domains;
    for (const std::string& router :
         ChooseHolders(WorkspaceName(i), fleet, kHolders)) {
      domains.insert(std::find_if(fleet.begin(), fleet.end(),
                                  [&](const HolderCandidate& candidate) {
                                    return candidate.router == router;
                                  })
                         ->failure_domain);
    }
    EXPECT_EQ(domains.size(), kHolders);
  }
}

TEST(ChooseHoldersTest, MoreHoldersThanDomains_ChoosesTheFullNumber) {
  EXPECT_EQ(ChooseHolders("ward-7", Fleet(20, 2), kHolders).size(), kHolders);
}

// A router that leaves may change only the holders of the workspaces it held.
TEST(ChooseHoldersTest, RouterLeaves_OtherWorkspacesKeepTheirHolders) {
  const std::vector<HolderCandidate> before = Fleet(103, 5);
  std::vector<HolderCandidate> after = before;
  after.erase(after.begin() + 17);
  for (int i = 0; i < 200; ++i) {
    const auto old_holders = ChooseHolders(WorkspaceName(i), before, kHolders);
    if (std::find(old_holders.begin(), old_holders.end(), "router-17") !=
        old_holders.end())
      continue;
    EXPECT_EQ(ChooseHolders(WorkspaceName(i), after, kHolders), old_holders);
  }
}

TEST(ChooseHoldersTest, ManyWorkspaces_AreSpreadOverTheRouters) {
  constexpr int kWorkspaces = 4'900;
  constexpr size_t kRouters = 340;
  std::map<std::string, int> held;
  for (int i = 0; i < kWorkspaces; ++i) {
    for (const std::string& router :
         ChooseHolders(WorkspaceName(i), Fleet(kRouters, 10), kHolders))
      ++held[router];
  }
  EXPECT_EQ(held.size(), kRouters);
  const int mean =
      kWorkspaces * static_cast<int>(kHolders) / static_cast<int>(kRouters);
  for (const auto& [router, workspaces] : held)
    EXPECT_LT(workspaces, 2 * mean) << router;
}

}  // namespace
}  // namespace hawthornhollow
