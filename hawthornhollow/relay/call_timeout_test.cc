#include "hawthornhollow/relay/call_timeout.h"

#include <gtest/gtest.h>

namespace hawthornhollow {
namespace {

TEST(CallTimeoutTest, Failures_DoubleTheWaitUpToTheBoundAndASuccessResetsIt) {
  CallTimeout timeout(absl::Milliseconds(400), absl::Milliseconds(3000));
  for (const int ms : {400, 800, 1600, 3000, 3000}) {
    EXPECT_EQ(timeout.next(), absl::Milliseconds(ms));
    timeout.OnFailure();
  }
  timeout.OnSuccess();
  EXPECT_EQ(timeout.next(), absl::Milliseconds(400));
}

}  // namespace
}  // namespace hawthornhollow
