#include "hawthornhollow/explain/explain.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace hawthornhollow {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;
using testing::Not;

constexpr char kLost[] =
    "time=2026-12-04T07:00:01.000 level=WARNING process=entry-1 "
    "event=store.lost version=4";
constexpr char kRefused[] =
    "time=2026-12-04T07:00:02.000 level=INFO process=entry-1 "
    "event=total.refused request=a1 workspace=ward-7 spent=0 wanted=7993 "
    "total=323192 committed=35158 unassigned=250579 available=7479 "
    "record_age_ms=1412";
constexpr char kEnd[] =
    "time=2026-12-04T07:00:02.001 level=INFO process=entry-1 "
    "event=request.end request=a1 route=r workspace=ward-7 version=4 "
    "outcome=total_not_at_hand status=503 server=\"\" attempts=0 events=0 "
    "took_ms=901";

class RequestStoryTest : public testing::Test {
 protected:
  std::vector<std::string> Texts() const {
    std::vector<std::string> texts;
    for (const LogLine& line : story_.Lines())
      texts.push_back(line.text());
    return texts;
  }

  RequestStory story_{"a1"};
};

TEST(LogLineTest, QuotedValuesAndATextBefore_AreRead) {
  const auto line = LogLine::Parse(
      "  12.5 entry-1 | time=t1 level=INFO process=p event=e "
      "detail=\"a \\\"b\\\" c=d\" last=1\n");
  ASSERT_TRUE(line.has_value());
  EXPECT_EQ(line->Field("detail"), "a \"b\" c=d");
  EXPECT_EQ(line->Field("last"), "1");
  EXPECT_EQ(line->Field("absent"), "");
  EXPECT_EQ(line->time(), "t1");
}

TEST(LogLineTest, OtherProgramsLines_AreNoLines) {
  for (const char* text :
       {"", "time=", "hello", "time=t1 level=INFO", "event=e", "\"=\"=\""})
    EXPECT_FALSE(LogLine::Parse(text).has_value()) << text;
}

TEST_F(RequestStoryTest, RefusedInAnOutage_NamesTheTokensAndTheOutage) {
  for (const char* text : {kLost, kRefused, kEnd})
    story_.Add(text);
  EXPECT_THAT(Texts(), ElementsAre(kLost, kRefused, kEnd));
  EXPECT_EQ(story_.Summary(),
            "request a1 was refused: tokens may be left, but the router could "
            "not get them (total_not_at_hand, status 503) after 901 ms at "
            "entry-1; wanted 7993 tokens of ward-7, had 7479 at hand, with "
            "35158 of 323192 committed and 250579 with no router; its record "
            "was 1412 ms old; the store was out of reach since "
            "2026-12-04T07:00:01.000");
}

TEST_F(RequestStoryTest, OutageOfAnotherRouterOrEndedBefore_IsNotNamed) {
  story_.Add(
      "time=2026-12-04T07:00:01.000 process=entry-2 event=store.lost "
      "version=4");
  story_.Add(kLost);
  story_.Add(
      "time=2026-12-04T07:00:01.500 process=entry-1 event=store.regained "
      "version=4");
  story_.Add(kEnd);
  EXPECT_THAT(story_.Summary(), Not(HasSubstr("out of reach")));
}

TEST_F(RequestStoryTest, RouterThatStoppedAndStartedAgain_IsNotShuttingDown) {
  story_.Add("time=t1 process=entry-1 event=router.stopping bound_ms=8000");
  story_.Add("time=t2 process=entry-1 event=router.started callers=x");
  story_.Add(kEnd);
  EXPECT_THAT(story_.Summary(), Not(HasSubstr("shutting down")));
}

TEST_F(RequestStoryTest, FilesOutOfOrder_AreShownInTheOrderOfTime) {
  story_.Add(kEnd);
  story_.Add(kRefused);
  EXPECT_THAT(Texts(), ElementsAre(kRefused, kEnd));
}

TEST_F(RequestStoryTest, FailedTries_AreListedWithTheirEnds) {
  story_.Add(
      "time=t1 process=entry-1 event=request.try_failed request=a1 "
      "server=i-1 end=silent events=0 left_ms=3545");
  story_.Add(
      "time=t2 process=entry-1 event=request.try_failed request=a1 "
      "server=i-2 end=broken events=17 left_ms=0");
  const std::string summary = story_.Summary();
  EXPECT_THAT(summary, HasSubstr("i-1: silent after 0 events, 3545 ms left; "
                                 "i-2: broken after 17 events"));
  EXPECT_THAT(summary, HasSubstr("has no end in these logs"));
}

TEST_F(RequestStoryTest, NoLineOfTheRequest_IsNotFound) {
  story_.Add(kLost);
  EXPECT_FALSE(story_.found());
}

}  // namespace
}  // namespace hawthornhollow
