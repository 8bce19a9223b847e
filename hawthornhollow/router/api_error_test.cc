#include "hawthornhollow/router/api_error.h"

#include <map>
#include <string>

#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace hawthornhollow {
namespace {

using ::testing::HasSubstr;

TEST(ApiErrorTest, RenderError_WithRetryAfter_IncludesCodeRunStateAndDelay) {
  HttpResponse response = RenderError(
      {503, "overloaded", "too \"busy\"", RunState::kNotRun, absl::Seconds(4)},
      "request-1");
  EXPECT_EQ(response.status, 503);
  EXPECT_EQ(response.Header("Retry-After"), "4");
  EXPECT_EQ(response.Header("X-Request-Id"), "request-1");
  EXPECT_THAT(response.body, HasSubstr("\"code\":\"overloaded\""));
  EXPECT_THAT(response.body, HasSubstr("\"message\":\"too \\\"busy\\\"\""));
  EXPECT_THAT(response.body, HasSubstr("\"run\":\"not_run\""));
  EXPECT_THAT(response.body, HasSubstr("\"retry_after_ms\":4000"));
}

TEST(ApiErrorTest, RenderError_WithoutRetryAfter_OmitsHeader) {
  HttpResponse response =
      RenderError({409, "already_run", "", RunState::kRun, {}}, "r");
  EXPECT_EQ(response.Header("Retry-After"), "");
  EXPECT_THAT(response.body, HasSubstr("\"run\":\"run\""));
}

TEST(ApiErrorTest, RetryAfterSeconds_ForFractionalDelay_KeepsMeanOverRequests) {
  std::map<int64_t, int> counts;
  for (int i = 0; i < 1000; ++i)
    ++counts[RetryAfterSeconds(absl::Milliseconds(1400), std::to_string(i))];
  EXPECT_EQ(counts.size(), 2u);
  EXPECT_NEAR(counts[1], 600, 60);
  EXPECT_NEAR(counts[2], 400, 60);
}

TEST(ApiErrorTest, RetryAfterSeconds_BelowOneSecond_ReturnsOne) {
  for (int i = 0; i < 100; ++i)
    EXPECT_EQ(RetryAfterSeconds(absl::Milliseconds(50), std::to_string(i)), 1);
}

}  // namespace
}  // namespace hawthornhollow
