// A short run of the soak with seeds that stay the same, and those that failed
// before.

#include "testing/soak/soak_run.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <filesystem>

namespace hawthornhollow::soak {
namespace {

class SoakTest : public testing::TestWithParam<uint64_t> {};

TEST_P(SoakTest, RoutersUnderFaults_KeepTheirPromises) {
  const std::string folder =
      testing::TempDir() + "/soak-" + std::to_string(GetParam());
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  SoakOptions options{.seed = GetParam(), .entry = ENTRY, .folder = folder};
  options.plan.duration = absl::Seconds(8);
  const SoakResult result = RunSoak(options);
  EXPECT_THAT(result.broken, testing::IsEmpty()) << "logs in " << folder;
  // A run in which hardly anything is answered says little.
  EXPECT_GT(result.answered, 50);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SoakTest, testing::Values(1, 2, 3));

// 41007: SIGHUP while the process was exiting ended it by the signal.
// 41050: so did one just after it had begun to listen.
INSTANTIATE_TEST_SUITE_P(FailedBefore, SoakTest, testing::Values(41007, 41050));

}  // namespace
}  // namespace hawthornhollow::soak
