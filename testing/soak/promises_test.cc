#include "testing/soak/promises.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "testing/platform_standin.h"
#include "testing/soak/fault_plan.h"

namespace hawthornhollow::soak {
namespace {

using standins::ReplicaStandin;
using testing::HasSubstr;
using testing::IsEmpty;

class PromisesTest : public testing::Test {
 protected:
  static Seen Order(int status, const std::string& body) {
    return {.id = "a",
            .path = kOrderPath,
            .workspace = "w",
            .status = status,
            .whole = true,
            .body = body,
            .answered_id = "a",
            .sealed = true};
  }
  static Seen Stream(const std::string& body, bool whole) {
    return {.id = "a",
            .path = kStreamPath,
            .workspace = "w",
            .status = 200,
            .whole = whole,
            .body = body,
            .answered_id = "a",
            .sealed = true};
  }
  static std::vector<std::string> Judge(const Seen& seen, int runs) {
    return BrokenPromises({seen}, {{"a", runs}},
                          {.prompt = 100, .event = 4, .totals = {{"w", 140}}});
  }
};

TEST_F(PromisesTest, ProperAnswers_BreakNothing) {
  EXPECT_THAT(Judge(Order(200, "done a"), 1), IsEmpty());
  EXPECT_THAT(Judge(Order(503, ""), 0), IsEmpty());
  EXPECT_THAT(Judge(Order(502, ""), 1), IsEmpty());
  EXPECT_THAT(Judge(Stream(ReplicaStandin::WholeStream(), true), 2), IsEmpty());
  EXPECT_THAT(
      Judge(Stream(ReplicaStandin::WholeStream().substr(0, 50), false), 1),
      IsEmpty());
}

TEST_F(PromisesTest, WrongAnswers_AreEachTold) {
  Seen unsealed = Order(200, "done a");
  unsealed.sealed = false;
  Seen crossed = Order(200, "done a");
  crossed.answered_id = "b";
  const std::string whole = ReplicaStandin::WholeStream();
  const struct {
    Seen seen;
    int runs;
    const char* told;
  } cases[] = {
      {Order(200, "done a"), 2, "ran 2 times"},
      {Order(503, ""), 1, "has run"},
      {Order(200, "done b"), 1, "another body"},
      {Order(200, "done a"), 0, "never ran"},
      {unsealed, 1, "a success for"},
      {crossed, 1, "a success for"},
      {Stream(whole.substr(0, whole.size() / 2), true), 1, "too soon"},
      {Stream(whole.substr(20), false), 1, "piece missing"},
  };
  for (const auto& [seen, runs, told] : cases)
    EXPECT_THAT(Judge(seen, runs), testing::ElementsAre(HasSubstr(told)));
}

TEST_F(PromisesTest, TotalThatIsPassed_IsTold) {
  Seen second = Stream(ReplicaStandin::WholeStream(), true);
  second.id = second.answered_id = "b";
  EXPECT_THAT(
      BrokenPromises({Stream(ReplicaStandin::WholeStream(), true), second},
                     {{"a", 1}, {"b", 1}},
                     {.prompt = 100, .event = 4, .totals = {{"w", 279}}}),
      testing::ElementsAre(HasSubstr("overdrawn")));
}

TEST(FaultPlanTest, PlansOfManySeeds_EndInTimeAndUseEveryKind) {
  std::set<FaultKind> kinds;
  const PlanOptions options{.restores = 1};
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    const std::vector<Fault> plan = DrawPlan(seed, options);
    EXPECT_EQ(plan, DrawPlan(seed, options));
    for (const Fault& fault : plan) {
      kinds.insert(fault.kind);
      EXPECT_LE(fault.at + fault.lasts, options.duration);
    }
  }
  EXPECT_EQ(kinds.size(), kFaultKinds);
}

}  // namespace
}  // namespace hawthornhollow::soak
