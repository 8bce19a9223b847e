// A short run of the soak with seeds that stay the same, and those that failed
// before.

#include "testing/soak/soak_run.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <filesystem>

#include "absl/strings/str_cat.h"

namespace hawthornhollow::soak {
namespace {

class SoakTest : public testing::TestWithParam<uint64_t> {
 protected:
  // Routers' logs are left in a folder that is named by the seed.
  static SoakResult Play(int restores,
                         absl::Duration duration = absl::Seconds(8)) {
    const std::string folder =
        absl::StrCat(testing::TempDir(), "/soak-", GetParam(), "-", restores);
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    SoakOptions options{.seed = GetParam(), .entry = ENTRY, .folder = folder};
    options.plan.duration = duration;
    options.plan.restores = restores;
    return RunSoak(options);
  }
};

TEST_P(SoakTest, RoutersUnderFaults_KeepTheirPromises) {
  const SoakResult result = Play(/*restores=*/0);
  EXPECT_THAT(result.broken, testing::IsEmpty());
  // A run in which hardly anything is answered says little.
  EXPECT_GT(result.answered, 50);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SoakTest, testing::Values(1, 2, 3));

// The store comes back from an older copy, twice.
TEST_P(SoakTest, StoreRestored_RoutersKeepTheirPromises) {
  EXPECT_THAT(Play(/*restores=*/2).broken, testing::IsEmpty());
}

// 61019: what routers gave back after a restore was not assigned again.
class SoakRestoredTest : public SoakTest {};

TEST_P(SoakRestoredTest, StoreRestoredThrice_RoutersKeepTheirPromises) {
  EXPECT_THAT(Play(/*restores=*/3, absl::Seconds(10)).broken,
              testing::IsEmpty());
}

INSTANTIATE_TEST_SUITE_P(FailedBefore,
                         SoakRestoredTest,
                         testing::Values(61019));

// 41007: SIGHUP while the process was exiting ended it by the signal.
// 41050: so did one just after it had begun to listen.
INSTANTIATE_TEST_SUITE_P(FailedBefore, SoakTest, testing::Values(41007, 41050));

}  // namespace
}  // namespace hawthornhollow::soak
