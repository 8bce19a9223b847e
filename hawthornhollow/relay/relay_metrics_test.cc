#include "hawthornhollow/relay/relay_metrics.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace hawthornhollow {
namespace {

using testing::HasSubstr;
using testing::Not;

class RelayMetricsTest : public testing::Test {
 protected:
  RelayMetrics metrics_;
};

TEST_F(RelayMetricsTest, EndedRequests_AreCountedByRouteAndOutcome) {
  for (int i = 0; i < 3; ++i) {
    metrics_.OnRequestEnd({.route = "permits",
                           .priority = 1,
                           .outcome = "answered",
                           .took = absl::Milliseconds(250),
                           .first_event = absl::Milliseconds(100),
                           .used_tokens = 40});
  }
  const std::string page = metrics_.Render({});
  EXPECT_THAT(page, HasSubstr("hawthornhollow_requests_total{route=\"permits\","
                              "priority=\"1\",outcome=\"answered\"} 3\n"));
  EXPECT_THAT(page,
              HasSubstr("hawthornhollow_used_tokens_total{route=\"permits\"} "
                        "120\n"));
  EXPECT_THAT(page, HasSubstr("first_event_seconds_count{route=\"permits\","
                              "priority=\"1\"} 3\n"));
}

TEST_F(RelayMetricsTest, FailedStoreCall_IsCountedByItsCode) {
  metrics_.OnStoreCall("put", StoreSubject::kLevels,
                       absl::AbortedError("broken"), absl::Milliseconds(2));
  EXPECT_THAT(metrics_.Render({}),
              HasSubstr("hawthornhollow_store_calls_total{call=\"put\","
                        "of=\"levels\",result=\"ABORTED\"} 1\n"));
}

TEST_F(RelayMetricsTest, ConnectionsToServers_AreCountedAndTimedByResult) {
  metrics_.OnServerConnection(/*made=*/true, absl::Milliseconds(2));
  metrics_.OnServerConnection(/*made=*/false, absl::Milliseconds(400));
  const std::string page = metrics_.Render({});
  for (const char* result : {"made", "failed"}) {
    const std::string labels = "{result=\"" + std::string(result) + "\"} 1\n";
    EXPECT_THAT(page, HasSubstr("server_connections_total" + labels));
    EXPECT_THAT(page, HasSubstr("server_connection_seconds_count" + labels));
  }
}

TEST_F(RelayMetricsTest, InfiniteAge_IsOmittedFromThePage) {
  EXPECT_THAT(metrics_.Render({}), Not(HasSubstr("config_age_seconds")));
  EXPECT_THAT(metrics_.Render({.config_age = absl::Milliseconds(500)}),
              HasSubstr("hawthornhollow_config_age_seconds 0.5\n"));
}

}  // namespace
}  // namespace hawthornhollow
