#include "hawthornhollow/relay/clock_survey.h"

#include <gtest/gtest.h>

#include <future>
#include <map>

#include "hawthornhollow/runtime/runtime.h"

namespace hawthornhollow {
namespace {

class ClockSurveyTest : public testing::Test {
 protected:
  void SetUp() override {
    auto runtime = Runtime::Create({.threads = 1});
    ASSERT_TRUE(runtime.ok()) << runtime.status();
    runtime_ = *std::move(runtime);
  }

  // Runs the survey with other routers at `addresses`. `differences` holds the
  // differences of their clocks; an address without one does not answer.
  ClockSurvey Survey(const std::vector<std::string>& addresses,
                     std::map<std::string, absl::Duration> differences) {
    std::promise<ClockSurvey> survey;
    runtime_->Spawn([&] {
      survey.set_value(SurveyClocks(
          addresses,
          [&](const std::string& address) -> absl::StatusOr<absl::Time> {
            ++asked_;
            if (asked_ > answer_after_ && differences.contains(address))
              return TimeOfDayNow() + differences[address];
            return absl::UnavailableError("no answer");
          },
          {.max_asked = 4,
           .survey_timeout = absl::Milliseconds(100),
           .retry_delay = absl::Milliseconds(5)}));
    });
    return survey.get_future().get();
  }

  std::unique_ptr<Runtime> runtime_;
  int asked_ = 0;
  int answer_after_ = 0;
};

TEST_F(ClockSurveyTest, HalfOfTheRoutersAnswer_IsEnough) {
  const ClockSurvey survey = Survey(
      {"a", "b", "c"}, {{"a", absl::Seconds(2)}, {"c", absl::Seconds(-3)}});
  EXPECT_TRUE(survey.is_enough());
  EXPECT_GE(survey.max_ahead, absl::Milliseconds(1'900));
  EXPECT_LE(survey.max_behind, absl::Seconds(-3));
}

TEST_F(ClockSurveyTest, LessThanHalfAnswer_IsNotEnough) {
  EXPECT_FALSE(Survey({"a", "b", "c"}, {{"b", absl::Seconds(2)}}).is_enough());
}

TEST_F(ClockSurveyTest, NoOtherRouter_IsNotEnough) {
  EXPECT_FALSE(Survey({}, {}).is_enough());
}

TEST_F(ClockSurveyTest, RoutersThatRestartLater_AreAskedAgain) {
  answer_after_ = 6;
  EXPECT_TRUE(Survey({"a", "b"}, {{"a", absl::Seconds(1)}}).is_enough());
}

TEST_F(ClockSurveyTest, ManyRouters_NotAllAreAsked) {
  Survey({"a", "b", "c", "d", "e", "f"}, {{"a", absl::ZeroDuration()},
                                          {"b", absl::ZeroDuration()},
                                          {"c", absl::ZeroDuration()},
                                          {"d", absl::ZeroDuration()}});
  EXPECT_EQ(asked_, 4);
}

}  // namespace
}  // namespace hawthornhollow
