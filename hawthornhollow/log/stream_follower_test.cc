#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "hawthornhollow/log/log.h"
#include "hawthornhollow/log/stream_testing.h"

namespace hawthornhollow {
namespace {

using ::testing::ElementsAre;

class StreamFollowerTest : public StreamTest {};

TEST_F(StreamFollowerTest, WaitApplied_OwnRecords_ReturnsTheirVerdicts) {
  log_.faults = {Fault::kReplyLost};
  Writer& writer = StartWriter(quick_);
  Follower& follower = StartFollower({&writer});
  const int64_t good = Add(writer, "a");
  const int64_t bad = Add(writer, "void");
  auto verdict = follower.WaitApplied("w1", good, kSoon);
  ASSERT_TRUE(verdict.ok()) << verdict.status();
  EXPECT_EQ(verdict->kind, VerdictKind::kAccepted);
  verdict = follower.WaitApplied("w1", bad, kSoon);
  ASSERT_TRUE(verdict.ok()) << verdict.status();
  EXPECT_EQ(verdict->kind, VerdictKind::kRejected);
  EXPECT_TRUE(absl::IsDeadlineExceeded(
      follower.WaitApplied("w1", bad + 1, absl::Milliseconds(5)).status()));
  EXPECT_TRUE(absl::IsFailedPrecondition(
      follower.WaitApplied("w9", 1, absl::Milliseconds(5)).status()));
}

TEST_F(StreamFollowerTest, WaitApplied_ManyVerdicts_KeepsOnlyTheLast) {
  options_.max_kept_verdicts = 2;
  Writer& writer = StartWriter();
  Follower& follower = StartFollower({&writer});
  for (int i = 0; i < 5; i++)
    Add(writer, absl::StrCat(i));
  EXPECT_TRUE(follower.WaitApplied("w1", 5, kSoon).ok());
  EXPECT_TRUE(follower.WaitApplied("w1", 4, kSoon).ok());
  EXPECT_TRUE(absl::IsNotFound(follower.WaitApplied("w1", 3, kSoon).status()));
}

TEST_F(StreamFollowerTest, OnVerdicts_UndecodableEntry_IsAppliedEmptyInOrder) {
  LandEntries(1);
  log_.Land("neither a batch nor anything else");
  LandEntries(1);
  std::vector<size_t> counts;
  std::vector<int64_t> seen;
  Follower* follower = nullptr;
  auto on_verdicts = [&](int64_t offset, const std::vector<Verdict>& v) {
    counts.push_back(v.size());
    seen.push_back(follower->WithFold(
        [](const ListFold& fold) { return fold.applied_offset(); }));
  };
  follower = &StartFollower({}, {.on_verdicts = on_verdicts});
  ASSERT_TRUE(follower->WaitCaughtUp(kSoon).ok());
  EXPECT_THAT(counts, ElementsAre(1, 0, 1));
  EXPECT_THAT(seen, ElementsAre(0, 1, 2));
  EXPECT_EQ(StateOf(*follower), FoldAll().Serialize());
}

TEST_F(StreamFollowerTest, CaughtUp_DuringOutage_BecomesFalseUntilItEnds) {
  LandEntries(20);
  Follower& follower = StartFollower();
  EXPECT_FALSE(follower.caught_up());
  ASSERT_TRUE(follower.WaitCaughtUp(kSoon).ok());
  EXPECT_EQ(follower.applied_offset(), 19);
  log_.outage = true;
  EXPECT_TRUE(Eventually([&] { return !follower.caught_up(); }));
  EXPECT_TRUE(follower.ever_caught_up());
  EXPECT_TRUE(absl::IsUnavailable(follower.status()));
  log_.outage = false;
  EXPECT_TRUE(follower.WaitCaughtUp(kSoon).ok());
  EXPECT_TRUE(Eventually([&] { return follower.status().ok(); }));
}

TEST_F(StreamFollowerTest,
       CaughtUp_AnswersTooLargeToRead_ReadsFewerEntriesAtOnce) {
  LandEntries(20);
  log_.max_answer = 1;
  Follower& follower = StartFollower();
  EXPECT_TRUE(Eventually([&] { return follower.applied_offset() == 19; }));
}

TEST_F(StreamFollowerTest,
       Start_BeginningGoneWithoutCheckpoint_NeverFoldsOverTheGap) {
  LandEntries(10);
  log_.oldest = 4;
  Follower& follower = StartFollower();
  EXPECT_TRUE(
      absl::IsDeadlineExceeded(follower.WaitCaughtUp(absl::Milliseconds(60))));
  EXPECT_EQ(follower.state(), FollowerState::kGap);
  EXPECT_TRUE(absl::IsNotFound(follower.status())) << follower.status();
  EXPECT_EQ(follower.applied_offset(), -1);
  // One that does not cover the gap, a broken one, then a good one.
  LandCheckpoint(2, FoldPrefix(3).Serialize());
  LandCheckpoint(6, "broken");
  EXPECT_TRUE(Eventually([&] { return absl::IsDataLoss(follower.status()); }));
  EXPECT_EQ(follower.applied_offset(), -1);
  LandCheckpoint(5, FoldPrefix(6).Serialize());
  ASSERT_TRUE(follower.WaitCaughtUp(kSoon).ok());
  EXPECT_EQ(StateOf(follower), FoldAll().Serialize());
}

TEST_F(StreamFollowerTest,
       Run_RetentionPassesWhileLogIsAway_RestoresTheLastCheckpoint) {
  LandEntries(5);
  std::vector<int64_t> restored;
  Follower& follower = StartFollower(
      {}, {.on_restored = [&](int64_t o) { restored.push_back(o); }});
  ASSERT_TRUE(follower.WaitCaughtUp(kSoon).ok());
  log_.outage = true;
  LandEntries(20);
  LandCheckpoint(20, FoldPrefix(21).Serialize());
  LandCheckpoint(22, FoldPrefix(23).Serialize());
  LandEntries(10);
  LandCheckpoint(21, FoldPrefix(22).Serialize());  // landed late
  log_.oldest = 15;
  log_.outage = false;
  ASSERT_TRUE(
      Eventually([&] { return follower.applied_offset() == log_.next() - 1; }));
  EXPECT_THAT(restored, ElementsAre(22));
  EXPECT_EQ(StateOf(follower), FoldAll().Serialize());
}

TEST_F(StreamFollowerTest, MaybeCheckpoint_AnotherProcessWroteOne_WritesNone) {
  options_.checkpoint_every = 10;
  options_.checkpoint_max_delay = absl::ZeroDuration();
  Writer& first_writer = StartWriter(quick_);
  Writer& second_writer = StartWriter(quick_);
  Follower& first = StartFollower({&first_writer});
  Follower& second = StartFollower({&second_writer});
  LandEntries(9);
  ASSERT_TRUE(Eventually([&] { return first.applied_offset() == 8; }));
  EXPECT_FALSE(first.MaybeCheckpoint(first_writer));
  LandEntries(1);
  ASSERT_TRUE(Eventually([&] { return first.applied_offset() == 9; }));
  EXPECT_TRUE(first.MaybeCheckpoint(first_writer));
  EXPECT_FALSE(first.MaybeCheckpoint(first_writer));
  ASSERT_TRUE(Eventually([&] { return second.applied_offset() == 10; }));
  EXPECT_FALSE(second.MaybeCheckpoint(second_writer));
  ASSERT_EQ(log_.next(), 11);
  log_.oldest = 10;  // The checkpoint is all that is retained.
  Follower& late = StartFollower();
  ASSERT_TRUE(late.WaitCaughtUp(kSoon).ok());
  EXPECT_EQ(StateOf(late), FoldAll().Serialize());
}

TEST_F(StreamFollowerTest, MaybeCheckpoint_JustDue_WaitsForItsDelay) {
  options_.checkpoint_every = 1;
  options_.checkpoint_max_delay = absl::Hours(10);
  Writer& writer = StartWriter(quick_);
  Follower& follower = StartFollower({&writer});
  LandEntries(2);
  ASSERT_TRUE(follower.WaitCaughtUp(kSoon).ok());
  for (int i = 0; i < 20; i++)
    EXPECT_FALSE(follower.MaybeCheckpoint(writer));
}

TEST_F(StreamFollowerTest, MaybeCheckpoint_RetentionPassedTheLast_IsDueAtOnce) {
  Writer& writer = StartWriter(quick_);
  Follower& follower = StartFollower({&writer});
  LandEntries(3);
  ASSERT_TRUE(follower.WaitCaughtUp(kSoon).ok());
  EXPECT_FALSE(follower.MaybeCheckpoint(writer));
  log_.oldest = 3;
  EXPECT_TRUE(Eventually([&] { return follower.MaybeCheckpoint(writer); }));
}

TEST_F(StreamFollowerTest, MaybeCheckpoint_FewEntriesRetained_IsDueSooner) {
  options_.checkpoint_max_delay = absl::ZeroDuration();
  options_.checkpoint_min_gap = absl::ZeroDuration();
  Writer& writer = StartWriter(quick_);
  Follower& follower = StartFollower({&writer});
  LandEntries(100);
  LandCheckpoint(99, FoldPrefix(100).Serialize());
  log_.oldest = 20;
  LandEntries(119 - log_.next());
  ASSERT_TRUE(Eventually([&] { return follower.applied_offset() == 118; }));
  EXPECT_FALSE(follower.MaybeCheckpoint(writer));
  LandEntries(125 - log_.next());
  ASSERT_TRUE(Eventually([&] { return follower.applied_offset() == 124; }));
  EXPECT_FALSE(follower.MaybeCheckpoint(writer));
  LandEntries(127 - log_.next());
  ASSERT_TRUE(Eventually([&] { return follower.applied_offset() == 126; }));
  EXPECT_TRUE(Eventually([&] { return follower.caught_up(); }));
  EXPECT_TRUE(follower.MaybeCheckpoint(writer));
}

TEST_F(StreamFollowerTest, MaybeCheckpoint_QuietStream_IsDueByAge) {
  options_.checkpoint_max_age = absl::Milliseconds(100);
  Writer& writer = StartWriter(quick_);
  Follower& follower = StartFollower({&writer});
  LandEntries(1);
  ASSERT_TRUE(follower.WaitCaughtUp(kSoon).ok());
  EXPECT_TRUE(Eventually([&] { return follower.MaybeCheckpoint(writer); }));
}

TEST_F(StreamFollowerTest, Push_OnlyTheNextOffset_IsApplied) {
  LandEntries(4);
  log_.outage = true;
  Follower& follower = StartFollower();
  EXPECT_FALSE(follower.Push(1, log_.entries[1]));
  EXPECT_TRUE(follower.Push(0, log_.entries[0]));
  EXPECT_FALSE(follower.Push(0, log_.entries[0]));
  EXPECT_FALSE(follower.Push(1, "damaged"));
  EXPECT_TRUE(follower.Push(1, log_.entries[1]));
  EXPECT_EQ(follower.applied_offset(), 1);
  EXPECT_FALSE(follower.caught_up());
  log_.outage = false;
  ASSERT_TRUE(follower.WaitCaughtUp(kSoon).ok());
  EXPECT_EQ(StateOf(follower), FoldAll().Serialize());
}

}  // namespace
}  // namespace hawthornhollow
