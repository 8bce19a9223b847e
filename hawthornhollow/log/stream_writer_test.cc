#include <random>
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

class StreamWriterTest : public StreamTest {};

TEST_F(StreamWriterTest, Append_WhileAnotherIsInFlight_SharesTheNextAppend) {
  log_.latency = absl::Milliseconds(30);
  Writer& writer = StartWriter();
  Add(writer, "first");
  Sleep(absl::Milliseconds(5));
  for (int i = 0; i < 100; i++)
    Add(writer, absl::StrCat(i));
  ASSERT_TRUE(writer.WaitDurable(101, kSoon).ok());
  EXPECT_EQ(log_.next(), 2);
  EXPECT_EQ(writer.stats().appends, 2);
  EXPECT_EQ(writer.stats().records, 101);
  EXPECT_EQ(writer.backlog_bytes(), 0u);
}

TEST_F(StreamWriterTest, Append_LazyRecords_WaitForEachOtherOrForAnUrgentOne) {
  Writer& writer = StartWriter();
  Add(writer, "a", Urgency::kLazy);
  Sleep(absl::Milliseconds(20));
  Add(writer, "b", Urgency::kLazy);
  EXPECT_EQ(log_.next(), 0);
  Add(writer, "c", Urgency::kUrgent);
  ASSERT_TRUE(writer.WaitDurable(3, absl::Milliseconds(100)).ok());
  EXPECT_EQ(log_.next(), 1);
}

TEST_F(StreamWriterTest, Append_MoreThanABatchHolds_SplitsInOrder) {
  Writer& writer = StartWriter({.max_batch_records = 10});
  for (int i = 0; i < 25; i++)
    Add(writer, absl::StrCat(i));
  ASSERT_TRUE(writer.Flush(kSoon).ok());
  EXPECT_EQ(log_.next(), 3);
  EXPECT_EQ(FoldAll().names().size(), 25u);
}

TEST_F(StreamWriterTest, Append_ReplyLost_IsRepeatedAndAppliedOnce) {
  log_.faults = {Fault::kReplyLost, Fault::kOutage, Fault::kRateLimited};
  Writer& writer = StartWriter(quick_);
  ASSERT_TRUE(writer.WaitDurable(Add(writer, "a"), kSoon).ok());
  ASSERT_EQ(log_.next(), 2);
  EXPECT_EQ(log_.entries[0], log_.entries[1]);
  EXPECT_EQ(writer.stats().retries, 3);
  EXPECT_THAT(FoldAll().names(), ElementsAre("a"));
}

TEST_F(StreamWriterTest, Append_CopyLandsAfterLaterBatch_NothingIsLost) {
  log_.faults = {Fault::kLandsLate, Fault::kLandsLate, Fault::kNone};
  Writer& writer = StartWriter(quick_);
  Add(writer, "a");
  Sleep(absl::Milliseconds(2));
  Add(writer, "b");  // Must not overtake "a", which has not landed yet.
  ASSERT_TRUE(writer.WaitDurable(2, kSoon).ok());
  log_.LandLate();
  EXPECT_EQ(log_.next(), 4);
  EXPECT_EQ(log_.max_in_flight, 1);
  EXPECT_THAT(FoldAll().names(), ElementsAre("a", "b"));
}

TEST_F(StreamWriterTest, Append_RandomFaults_EachRecordAppliesOnceInOrder) {
  for (unsigned seed = 1; seed <= 20; seed++) {
    SCOPED_TRACE(seed);
    std::mt19937 random(seed);
    const size_t before = FoldAll().names().size();
    log_.draw = [&] {
      if (random() % 4 == 0)
        log_.LandLate();
      return random() % 2 == 0 ? Fault::kNone : Fault(random() % 5);
    };
    Writer& writer = StartWriter({.urgent_gap = absl::Milliseconds(1),
                                  .max_batch_records = 3,
                                  .retry_min = absl::Milliseconds(1),
                                  .retry_max = absl::Milliseconds(2)});
    std::vector<std::string> sent;
    for (int i = 0; i < 30; i++) {
      sent.push_back(absl::StrCat(seed, "-", i));
      Add(writer, sent.back());
      if (random() % 3 == 0)
        Sleep(absl::Milliseconds(1));
    }
    ASSERT_TRUE(writer.Flush(kSoon).ok());
    log_.LandLate();
    std::vector<std::string> names = FoldAll().names();
    names.erase(names.begin(), names.begin() + before);
    EXPECT_EQ(names, sent);
  }
  EXPECT_GT(log_.next(), 20 * 10);
}

TEST_F(StreamWriterTest, Append_RepliesAlwaysLost_ReadBackMakesDurable) {
  log_.lasting = Fault::kReplyLost;
  Writer& writer = StartWriter();
  StartFollower({&writer});
  Add(writer, "a");
  ASSERT_TRUE(writer.WaitDurable(1, kSoon).ok());
  Add(writer, "b");
  ASSERT_TRUE(writer.WaitDurable(2, kSoon).ok());
  EXPECT_THAT(FoldAll().names(), ElementsAre("a", "b"));
  EXPECT_TRUE(Eventually([&] { return writer.backlog_bytes() == 0; }));
}

TEST_F(StreamWriterTest, Append_BacklogFull_FailsUntilDrained) {
  log_.lasting = Fault::kOutage;
  StreamWriterOptions options = quick_;
  options.max_backlog_bytes = 2'000;
  Writer& writer = StartWriter(options);
  absl::Status status;
  int taken = 0;
  while (taken < 1'000 && status.ok()) {
    status = writer.Append(RouterAliveRecord{"a"}, Urgency::kUrgent).status();
    taken += status.ok() ? 1 : 0;
  }
  EXPECT_TRUE(absl::IsResourceExhausted(status)) << status;
  EXPECT_LE(writer.backlog_bytes(), 2'000u);
  EXPECT_TRUE(absl::IsDeadlineExceeded(
      writer.WaitDurable(taken, absl::Milliseconds(20))));
  log_.lasting = Fault::kNone;
  ASSERT_TRUE(writer.Flush(kSoon).ok());
  EXPECT_EQ(FoldAll().names().size(), static_cast<size_t>(taken));
  Add(writer, "after");
}

TEST_F(StreamWriterTest, AppendCheckpoint_Refused_IsDroppedAndRecordsGoOn) {
  log_.faults = {Fault::kInvalid, Fault::kInvalid, Fault::kNone};
  Writer& writer = StartWriter(quick_);
  EXPECT_TRUE(absl::IsInvalidArgument(
      writer.Append(CheckpointRecord{0, "x"}, Urgency::kUrgent).status()));
  ASSERT_TRUE(writer.AppendCheckpoint({0, "x"}).ok());
  EXPECT_TRUE(absl::IsFailedPrecondition(writer.AppendCheckpoint({0, "x"})));
  ASSERT_TRUE(Eventually([&] { return !writer.checkpoint_pending(); }));
  ASSERT_TRUE(writer.WaitDurable(Add(writer, "a"), kSoon).ok());
  EXPECT_EQ(writer.stats().dropped_checkpoints, 1);
  EXPECT_THAT(FoldAll().names(), ElementsAre("a"));
}

TEST_F(StreamWriterTest,
       AppendCheckpoint_ManyPartsUnderFaults_RecordsGoBetween) {
  log_.faults = {Fault::kReplyLost, Fault::kOutage, Fault::kLandsLate};
  StreamWriterOptions options = quick_;
  options.checkpoint_part_bytes = 10;
  Writer& writer = StartWriter(options);
  LandEntries(50);
  const std::string state = FoldAll().Serialize();
  ASSERT_TRUE(writer.AppendCheckpoint({49, state}).ok());
  ASSERT_TRUE(writer.WaitDurable(Add(writer, "a"), kSoon).ok());
  EXPECT_TRUE(writer.checkpoint_pending());
  ASSERT_TRUE(Eventually([&] { return !writer.checkpoint_pending(); }));
  EXPECT_EQ(writer.stats().checkpoints, 1);
  log_.LandLate();
  log_.oldest = 50;
  Follower& follower = StartFollower();
  ASSERT_TRUE(follower.WaitCaughtUp(kSoon).ok());
  EXPECT_EQ(StateOf(follower), FoldAll().Serialize());
}

}  // namespace
}  // namespace hawthornhollow
