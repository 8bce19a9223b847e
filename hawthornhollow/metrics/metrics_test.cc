#include "hawthornhollow/metrics/metrics.h"

#include <string>

#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace hawthornhollow {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;

class MetricRegistryTest : public ::testing::Test {
 protected:
  MetricRegistry metrics_;
};

TEST_F(MetricRegistryTest, Counter_CountedTwice_AddsUp) {
  metrics_.Count("requests_total", {{"rank", "urgent"}});
  metrics_.Count("requests_total", {{"rank", "urgent"}}, 2);
  EXPECT_EQ(metrics_.Value("requests_total", {{"rank", "urgent"}}), 3);
  EXPECT_THAT(metrics_.Render(),
              HasSubstr("# TYPE hawthornhollow_requests_total counter\n"
                        "hawthornhollow_requests_total{rank=\"urgent\"} 3\n"));
}

TEST_F(MetricRegistryTest, Gauge_SetTwice_KeepsTheLast) {
  metrics_.Set("waiting", {}, 5);
  metrics_.Set("waiting", {}, 2);
  EXPECT_THAT(metrics_.Render(), HasSubstr("hawthornhollow_waiting 2\n"));
}

TEST_F(MetricRegistryTest, Summary_OfFewSamples_HasNoQuantiles) {
  metrics_.Observe("wait_seconds", {}, 1.5);
  std::string page = metrics_.Render();
  EXPECT_THAT(page, HasSubstr("hawthornhollow_wait_seconds_sum 1.5\n"));
  EXPECT_THAT(page, HasSubstr("hawthornhollow_wait_seconds_count 1\n"));
  EXPECT_THAT(page, Not(HasSubstr("quantile")));
}

TEST_F(MetricRegistryTest, Summary_OfUniformSamples_HasItsMedian) {
  for (int i = 0; i < 1000; ++i)
    metrics_.Observe("wait_seconds", {}, 2.0);
  EXPECT_THAT(metrics_.Render(),
              HasSubstr("hawthornhollow_wait_seconds{quantile=\"0.5\"} 2\n"));
}

TEST_F(MetricRegistryTest, Label_WithQuote_IsEscaped) {
  metrics_.Count("errors_total", {{"reason", "a \"b\""}});
  EXPECT_THAT(metrics_.Render(), HasSubstr("reason=\"a \\\"b\\\"\""));
}

TEST_F(MetricRegistryTest, Series_AboveTheBound_AreDroppedAndCounted) {
  for (size_t i = 0; i <= MetricRegistry::kMaxSeries; ++i)
    metrics_.Count("requests_total", {{"caller", std::to_string(i)}});
  EXPECT_THAT(metrics_.Render(),
              Not(HasSubstr("hawthornhollow_metrics_dropped_total 0\n")));
}

}  // namespace
}  // namespace hawthornhollow
