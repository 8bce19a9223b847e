// The scenario parser and the statistics.

#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "tools/load/scenario.h"
#include "tools/load/statistics.h"
#include "tools/load/traffic.h"

namespace hawthornhollow::load {
namespace {

using ::testing::HasSubstr;

constexpr char kSmall[] = R"({"name":"small","seconds":4,
  "fleet":{"engines":2,"slots":4,"token_ms":20,"output_tokens":20},
  "streams":[{"name":"a","rank":"urgent","capacity":0.5},
             {"name":"b","rank":"can-wait","per_second":5,"start_s":2}],
  "phases":[{"name":"late","from_s":2,"to_s":4}]})";

Scenario Small() {
  auto scenario = Scenario::Parse("small.json", kSmall);
  EXPECT_TRUE(scenario.ok()) << scenario.status();
  return *scenario;
}

TEST(ScenarioTest, CapacityMultiple_Read_BecomesARate) {
  Scenario scenario = Small();
  EXPECT_DOUBLE_EQ(scenario.fleet.Capacity(), 20);
  EXPECT_DOUBLE_EQ(scenario.streams[0].per_second, 10);
  EXPECT_DOUBLE_EQ(scenario.streams[1].stop_s, 4);
}

struct BadScenario {
  const char* name;
  const char* text;
  const char* reason;
};

void PrintTo(const BadScenario& scenario, std::ostream* out) {
  *out << scenario.name;
}

class BadScenarioTest : public ::testing::TestWithParam<BadScenario> {};

TEST_P(BadScenarioTest, Fault_Read_NamesFileFieldAndReason) {
  auto scenario = Scenario::Parse("bad.json", GetParam().text);
  ASSERT_FALSE(scenario.ok());
  std::string message(scenario.status().message());
  EXPECT_THAT(message, HasSubstr("bad.json"));
  EXPECT_THAT(message, HasSubstr(GetParam().reason));
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    BadScenarioTest,
    ::testing::Values(
        BadScenario{"NotJson", "{", "bad.json"},
        BadScenario{"NoStreams", R"({"name":"x"})",
                    "streams: must not be empty"},
        BadScenario{"NoRate", R"({"name":"x","streams":[{"name":"s"}]})",
                    "streams[0].per_second: or capacity must be above 0"},
        BadScenario{
            "UnknownRank",
            R"({"name":"x","streams":[{"name":"s","per_second":1,"rank":"r"}]})",
            "streams[0].rank: names no rank"},
        BadScenario{"UnknownField", R"({"name":"x","sconds":3,
                "streams":[{"name":"s","per_second":1}]})",
                    "sconds: is not known"},
        BadScenario{"TooLong", R"({"name":"x","seconds":1000})",
                    "seconds: must be a number from 1 to 120"},
        BadScenario{"UnknownAction",
                    R"({"name":"x","streams":[{"name":"s","per_second":1}],
                "events":[{"at_s":1,"action":"melt"}]})",
                    "events[0].action: is not known"}),
    [](const auto& info) { return info.param.name; });

TEST(ArrivalsTest, SameSeed_Drawn_AreAlikeInOrderAndAtTheirRate) {
  Scenario scenario = Small();
  std::vector<Arrival> arrivals = DrawArrivals(scenario);
  EXPECT_EQ(arrivals, DrawArrivals(scenario));
  EXPECT_TRUE(std::is_sorted(
      arrivals.begin(), arrivals.end(),
      [](const Arrival& a, const Arrival& b) { return a.at_s < b.at_s; }));
  // 40 and 10 on average.
  EXPECT_GT(arrivals.size(), 25u);
  EXPECT_LT(arrivals.size(), 75u);
  scenario.seed = 2;
  EXPECT_NE(arrivals, DrawArrivals(scenario));
}

TEST(StatisticsTest, Percentiles_OfKnownValues_Interpolate) {
  EXPECT_DOUBLE_EQ(Percentile({}, 0.5), 0);
  EXPECT_DOUBLE_EQ(Percentile({4, 1, 3, 2}, 0.5), 2.5);
  EXPECT_DOUBLE_EQ(Percentile({4, 1, 3, 2}, 1), 4);
}

TEST(StatisticsTest, JainIndex_OfEqualAndOneSided_IsOneAndItsShare) {
  EXPECT_DOUBLE_EQ(JainIndex({3, 3, 3}), 1);
  EXPECT_DOUBLE_EQ(JainIndex({1, 0, 0, 0}), 0.25);
}

TEST(StatisticsTest, Outcomes_InAPhase_AreCountedByRank) {
  Scenario scenario = Small();
  std::vector<RequestRecord> records = {
      {0, 2.5, Outcome::kAnswered, 200, 100, 500, 20, 1},
      {0, 3.0, Outcome::kAnswered, 200, 1900, 2300, 20, 2},
      {0, 3.5, Outcome::kRefused, 429, 0, 7, 0, 1},
      {0, 3.6, Outcome::kLost, 0, 0, 15000, 3, 6},
      {0, 0.5, Outcome::kAnswered, 200, 9, 9, 20, 1},  // before the phase
      {1, 3.0, Outcome::kFailed, 500, 0, 5, 0, 1},
  };
  std::vector<Summary> summaries = Summarize(scenario, records);
  auto urgent = std::find_if(
      summaries.begin(), summaries.end(),
      [](const Summary& summary) { return summary.subject == "urgent"; });
  ASSERT_NE(urgent, summaries.end());
  EXPECT_EQ(urgent->offered, 4);
  EXPECT_EQ(urgent->answered, 2);
  EXPECT_EQ(urgent->refused, 1);
  EXPECT_EQ(urgent->lost, 1);
  EXPECT_EQ(urgent->retried, 2);
  EXPECT_DOUBLE_EQ(urgent->attained, 0.25);
  EXPECT_DOUBLE_EQ(urgent->goodput, 0.5);
  EXPECT_DOUBLE_EQ(urgent->refusal_max_ms, 7);
}

TEST(StatisticsTest, Expectation_OnARatioOrUnknownFigure_IsChecked) {
  Scenario scenario = Small();
  scenario.expectations = {
      {"late", "urgent", "first_token_p50_ms", "", "can-wait", 0, 0.5},
      {"late", "urgent", "first_token_p50_ms", "", "can-wait", 0, 0.1},
      {"late", "urgent", "no_such_figure", "", "", 0, 0}};
  std::vector<Summary> summaries =
      Summarize(scenario, {{0, 3, Outcome::kAnswered, 200, 100, 500, 20, 1},
                           {1, 3, Outcome::kAnswered, 200, 400, 800, 20, 1}});
  auto checks = Check(scenario, summaries);
  EXPECT_DOUBLE_EQ(checks[0].value, 0.25);
  EXPECT_TRUE(checks[0].met);
  EXPECT_FALSE(checks[1].met);
  EXPECT_FALSE(checks[2].met);
}

}  // namespace
}  // namespace hawthornhollow::load
