#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "boost/fiber/fiber.hpp"
#include "boost/fiber/operations.hpp"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "hawthornhollow/platform/platform.h"

namespace hawthornhollow {
namespace {

using ::testing::ElementsAre;

constexpr absl::Duration kSoon = absl::Seconds(10);
constexpr char kStream[] = "test";

void Sleep(absl::Duration duration) {
  boost::this_fiber::sleep_for(absl::ToChronoNanoseconds(duration));
}

// What happens to one append.
enum class Fault {
  kNone,
  kReplyLost,    // lands, the caller is not told
  kLandsLate,    // lands at LandLate(), the caller is told of a timeout
  kOutage,       // does not land
  kRateLimited,  // does not land
  kInvalid,      // does not land
};

// One stream in memory. Used by the fibers of one thread.
class FakeLog {
 public:
  absl::StatusOr<int64_t> Append(const std::string& stream,
                                 std::string_view data) {
    const Fault fault = NextFault();
    in_flight_++;
    max_in_flight = std::max(max_in_flight, in_flight_);
    Sleep(latency);
    in_flight_--;
    switch (fault) {
      case Fault::kNone:
        return Land(data);
      case Fault::kReplyLost:
        Land(data);
        return absl::DeadlineExceededError("reply lost");
      case Fault::kLandsLate:
        late_.emplace_back(data);
        return absl::AbortedError("timeout");
      case Fault::kRateLimited:
        return absl::ResourceExhaustedError("rate limit");
      case Fault::kInvalid:
        return absl::InvalidArgumentError("too large");
      case Fault::kOutage:
        break;
    }
    return absl::UnavailableError("outage");
  }

  absl::StatusOr<LogRead> Read(const std::string& stream,
                               int64_t from,
                               size_t max_entries,
                               absl::Duration wait) {
    for (absl::Duration waited; !outage && waited < wait && from >= next();
         waited += absl::Milliseconds(1)) {
      Sleep(absl::Milliseconds(1));
    }
    if (outage)
      return absl::UnavailableError("outage");
    LogRead read{.oldest = oldest, .next = next(), .entries = {}};
    for (int64_t offset = std::max(from, oldest);
         offset < next() && read.entries.size() < max_entries; offset++) {
      read.entries.push_back({offset, entries[offset]});
    }
    if (read.entries.size() > max_answer)
      return absl::ResourceExhaustedError("answer too large");
    return read;
  }

  int64_t Land(std::string_view data) {
    entries.emplace_back(data);
    return next() - 1;
  }
  void LandLate() {
    for (const std::string& data : late_)
      Land(data);
    late_.clear();
  }
  int64_t next() const { return static_cast<int64_t>(entries.size()); }

  std::vector<std::string> entries;
  int64_t oldest = 0;  // entries before it are not retained
  bool outage = false;
  size_t max_answer = 1'000;  // entries
  absl::Duration latency = absl::Milliseconds(1);
  std::deque<Fault> faults;      // of the next appends
  Fault lasting = Fault::kNone;  // of those after
  std::function<Fault()> draw;   // in place of both, if set
  int max_in_flight = 0;

 private:
  Fault NextFault() {
    if (draw)
      return draw();
    if (faults.empty())
      return lasting;
    Fault fault = faults.front();
    faults.pop_front();
    return fault;
  }

  int in_flight_ = 0;
  std::vector<std::string> late_;
};

// Collects the incarnations named by RouterAliveRecords; "void" is void.
class ListFold {
 public:
  std::vector<Verdict> Apply(int64_t offset, const Batch& batch) {
    EXPECT_EQ(offset, applied_offset_ + 1);
    applied_offset_ = offset;
    std::vector<Verdict> verdicts;
    for (const Record& record : batch.records) {
      verdicts.push_back({offset, batch.writer, record, Judge(batch, record),
                          /*reason=*/"", /*amount=*/0});
    }
    return verdicts;
  }
  std::string Serialize() const {
    std::string text = absl::StrCat(applied_offset_, " ", sequences_.size());
    for (const auto& [writer, sequence] : sequences_)
      absl::StrAppend(&text, " ", writer, " ", sequence);
    for (const std::string& name : names_)
      absl::StrAppend(&text, " ", name);
    return text;
  }
  static absl::StatusOr<ListFold> Restore(std::string_view state) {
    ListFold fold;
    std::istringstream in{std::string(state)};
    size_t writers = 0;
    if (!(in >> fold.applied_offset_ >> writers))
      return absl::DataLossError("not a state");
    std::string word;
    for (int64_t sequence = 0; writers > 0; writers--) {
      in >> word >> sequence;
      fold.sequences_[word] = sequence;
    }
    while (in >> word)
      fold.names_.push_back(word);
    return fold;
  }
  int64_t applied_offset() const { return applied_offset_; }
  const std::vector<std::string>& names() const { return names_; }

 private:
  VerdictKind Judge(const Batch& batch, const Record& record) {
    int64_t& highest = sequences_[batch.writer];
    if (record.sequence <= highest)
      return VerdictKind::kRepeat;
    highest = record.sequence;
    const auto* alive = std::get_if<RouterAliveRecord>(&record.body);
    if (alive && alive->incarnation == "void")
      return VerdictKind::kVoid;
    if (alive)
      names_.push_back(alive->incarnation);
    return VerdictKind::kAccepted;
  }

  int64_t applied_offset_ = -1;
  std::map<std::string, int64_t> sequences_;
  std::vector<std::string> names_;
};

using Writer = StreamWriter<FakeLog>;
using Follower = StreamFollower<ListFold, FakeLog>;

class StreamTest : public ::testing::Test {
 protected:
  ~StreamTest() override {
    stop_ = true;
    for (boost::fibers::fiber& fiber : fibers_)
      fiber.join();
  }

  Writer& StartWriter(const StreamWriterOptions& options = {}) {
    const std::string name = absl::StrCat("w", writers_.size() + 1);
    writers_.push_back(Writer::Create(log_, kStream, name, options));
    Writer* writer = writers_.back().get();
    fibers_.emplace_back([this, writer] { writer->Run(stop_); });
    return *writer;
  }
  Follower& StartFollower(std::vector<Writer*> own = {},
                          StreamFollowerCallbacks callbacks = {}) {
    followers_.push_back(
        Follower::Create(log_, kStream, options_, std::move(callbacks)));
    Follower* follower = followers_.back().get();
    for (Writer* writer : own)
      follower->RegisterWriter(*writer);
    fibers_.emplace_back([this, follower] { follower->Run(stop_); });
    return *follower;
  }
  static int64_t Add(Writer& writer,
                     const std::string& name,
                     Urgency urgency = Urgency::kUrgent) {
    auto sequence = writer.Append(RouterAliveRecord{name}, urgency);
    EXPECT_TRUE(sequence.ok()) << sequence.status();
    return sequence.value_or(-1);
  }
  // Lands `count` entries of one record each, named from 0 on.
  void LandEntries(int count) {
    for (int i = 0; i < count; i++) {
      Batch batch{.writer = "other", .records = {}};
      batch.records.push_back({.sequence = ++other_sequence_,
                               .time_ms = absl::ToUnixMillis(absl::Now()),
                               .body = RouterAliveRecord{absl::StrCat(i)}});
      log_.Land(EncodeBatch(batch));
    }
  }
  void LandCheckpoint(int64_t offset, const std::string& state) {
    Batch batch{.writer = "other", .records = {}};
    batch.records.push_back({.sequence = ++other_sequence_,
                             .time_ms = absl::ToUnixMillis(absl::Now()),
                             .body = CheckpointRecord{offset, state}});
    log_.Land(EncodeBatch(batch));
  }
  // The fold of the log's first `count` entries, retained or not.
  ListFold FoldPrefix(int64_t count) const {
    ListFold fold;
    for (int64_t offset = 0; offset < count; offset++) {
      fold.Apply(offset, DecodeBatch(log_.entries[offset]).value_or(Batch()));
    }
    return fold;
  }
  ListFold FoldAll() const { return FoldPrefix(log_.next()); }
  template <typename Condition>
  static bool Eventually(Condition condition) {
    const absl::Time deadline = absl::Now() + kSoon;
    while (absl::Now() < deadline) {
      if (condition())
        return true;
      Sleep(absl::Milliseconds(1));
    }
    return false;
  }
  static std::string StateOf(const Follower& follower) {
    return follower.WithFold([](const ListFold& f) { return f.Serialize(); });
  }

  FakeLog log_;
  StreamFollowerOptions options_{
      .read_wait = absl::Milliseconds(20),
      .max_read_entries = 7,
      .stale_after = absl::Milliseconds(150),
      .retry_min = absl::Milliseconds(5),
      .retry_max = absl::Milliseconds(10),
      .checkpoint_max_delay = absl::Milliseconds(50),
  };
  // Short delays for the tests of retries.
  StreamWriterOptions quick_{.retry_min = absl::Milliseconds(1),
                             .retry_max = absl::Milliseconds(4)};
  std::atomic<bool> stop_ = false;
  int64_t other_sequence_ = 0;
  std::vector<std::unique_ptr<Writer>> writers_;
  std::vector<std::unique_ptr<Follower>> followers_;
  std::vector<boost::fibers::fiber> fibers_;
};

TEST_F(StreamTest, Append_WhileAnotherIsInFlight_SharesTheNextAppend) {
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

TEST_F(StreamTest, Append_LazyRecords_WaitForEachOtherOrForAnUrgentOne) {
  Writer& writer = StartWriter();
  Add(writer, "a", Urgency::kLazy);
  Sleep(absl::Milliseconds(20));
  Add(writer, "b", Urgency::kLazy);
  EXPECT_EQ(log_.next(), 0);
  Add(writer, "c", Urgency::kUrgent);
  ASSERT_TRUE(writer.WaitDurable(3, absl::Milliseconds(100)).ok());
  EXPECT_EQ(log_.next(), 1);
}

TEST_F(StreamTest, Append_MoreThanABatchHolds_SplitsInOrder) {
  Writer& writer = StartWriter({.max_batch_records = 10});
  for (int i = 0; i < 25; i++)
    Add(writer, absl::StrCat(i));
  ASSERT_TRUE(writer.Flush(kSoon).ok());
  EXPECT_EQ(log_.next(), 3);
  EXPECT_EQ(FoldAll().names().size(), 25u);
}

TEST_F(StreamTest, Append_ReplyLost_IsRepeatedAndAppliedOnce) {
  log_.faults = {Fault::kReplyLost, Fault::kOutage, Fault::kRateLimited};
  Writer& writer = StartWriter(quick_);
  ASSERT_TRUE(writer.WaitDurable(Add(writer, "a"), kSoon).ok());
  ASSERT_EQ(log_.next(), 2);
  EXPECT_EQ(log_.entries[0], log_.entries[1]);
  EXPECT_EQ(writer.stats().retries, 3);
  EXPECT_THAT(FoldAll().names(), ElementsAre("a"));
}

TEST_F(StreamTest, Append_CopyLandsAfterLaterBatch_NothingIsLost) {
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

TEST_F(StreamTest, Append_RandomFaults_EachRecordAppliesOnceInOrder) {
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

TEST_F(StreamTest, Append_RepliesAlwaysLost_ReadBackMakesDurable) {
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

TEST_F(StreamTest, Append_BacklogFull_FailsUntilDrained) {
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

TEST_F(StreamTest, Append_CheckpointRefused_IsDroppedAlone) {
  log_.faults = {Fault::kInvalid, Fault::kInvalid, Fault::kNone};
  Writer& writer = StartWriter(quick_);
  auto checkpoint = writer.Append(CheckpointRecord{0, "x"}, Urgency::kUrgent);
  Add(writer, "a");
  ASSERT_TRUE(writer.WaitDurable(2, kSoon).ok());
  EXPECT_TRUE(absl::IsFailedPrecondition(
      writer.WaitDurable(*checkpoint, absl::ZeroDuration())));
  EXPECT_EQ(writer.stats().refused, 1);
  EXPECT_THAT(FoldAll().names(), ElementsAre("a"));
}

TEST_F(StreamTest, WaitApplied_OwnRecords_ReturnsTheirVerdicts) {
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
  EXPECT_EQ(verdict->kind, VerdictKind::kVoid);
  EXPECT_TRUE(absl::IsDeadlineExceeded(
      follower.WaitApplied("w1", bad + 1, absl::Milliseconds(5)).status()));
  EXPECT_TRUE(absl::IsFailedPrecondition(
      follower.WaitApplied("w9", 1, absl::Milliseconds(5)).status()));
}

TEST_F(StreamTest, WaitApplied_ManyVerdicts_KeepsOnlyTheLast) {
  options_.max_kept_verdicts = 2;
  Writer& writer = StartWriter();
  Follower& follower = StartFollower({&writer});
  for (int i = 0; i < 5; i++)
    Add(writer, absl::StrCat(i));
  EXPECT_TRUE(follower.WaitApplied("w1", 5, kSoon).ok());
  EXPECT_TRUE(follower.WaitApplied("w1", 4, kSoon).ok());
  EXPECT_TRUE(absl::IsNotFound(follower.WaitApplied("w1", 3, kSoon).status()));
}

TEST_F(StreamTest, OnVerdicts_UndecodableEntry_IsAppliedEmptyInOrder) {
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

TEST_F(StreamTest, CaughtUp_DuringOutage_BecomesFalseUntilItEnds) {
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

TEST_F(StreamTest, CaughtUp_AnswersTooLargeToRead_ReadsFewerEntriesAtOnce) {
  LandEntries(20);
  log_.max_answer = 1;
  Follower& follower = StartFollower();
  EXPECT_TRUE(Eventually([&] { return follower.applied_offset() == 19; }));
}

TEST_F(StreamTest, Start_BeginningGoneWithoutCheckpoint_NeverFoldsOverTheGap) {
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

TEST_F(StreamTest,
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

TEST_F(StreamTest, MaybeCheckpoint_AnotherProcessWroteOne_WritesNone) {
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

TEST_F(StreamTest, MaybeCheckpoint_JustDue_WaitsForItsDelay) {
  options_.checkpoint_every = 1;
  options_.checkpoint_max_delay = absl::Hours(10);
  Writer& writer = StartWriter(quick_);
  Follower& follower = StartFollower({&writer});
  LandEntries(2);
  ASSERT_TRUE(follower.WaitCaughtUp(kSoon).ok());
  for (int i = 0; i < 20; i++)
    EXPECT_FALSE(follower.MaybeCheckpoint(writer));
}

TEST_F(StreamTest, MaybeCheckpoint_RetentionPassedTheLast_IsDueAtOnce) {
  Writer& writer = StartWriter(quick_);
  Follower& follower = StartFollower({&writer});
  LandEntries(3);
  ASSERT_TRUE(follower.WaitCaughtUp(kSoon).ok());
  EXPECT_FALSE(follower.MaybeCheckpoint(writer));
  log_.oldest = 3;
  EXPECT_TRUE(Eventually([&] { return follower.MaybeCheckpoint(writer); }));
}

TEST_F(StreamTest, MaybeCheckpoint_FewEntriesRetained_IsDueSooner) {
  options_.checkpoint_max_delay = absl::ZeroDuration();
  options_.checkpoint_min_gap = absl::ZeroDuration();
  Writer& writer = StartWriter(quick_);
  Follower& follower = StartFollower({&writer});
  LandEntries(100);
  LandCheckpoint(99, FoldPrefix(100).Serialize());
  log_.oldest = 20;
  LandEntries(18);
  ASSERT_TRUE(Eventually([&] { return follower.applied_offset() == 118; }));
  EXPECT_FALSE(follower.MaybeCheckpoint(writer));
  LandEntries(6);  // A quarter of 105 after the checkpoint.
  ASSERT_TRUE(Eventually([&] { return follower.applied_offset() == 124; }));
  EXPECT_FALSE(follower.MaybeCheckpoint(writer));
  LandEntries(2);
  ASSERT_TRUE(Eventually([&] { return follower.applied_offset() == 126; }));
  EXPECT_TRUE(Eventually([&] { return follower.caught_up(); }));
  EXPECT_TRUE(follower.MaybeCheckpoint(writer));
}

TEST_F(StreamTest, MaybeCheckpoint_QuietStream_IsDueByAge) {
  options_.checkpoint_max_age = absl::Milliseconds(100);
  Writer& writer = StartWriter(quick_);
  Follower& follower = StartFollower({&writer});
  LandEntries(1);
  ASSERT_TRUE(follower.WaitCaughtUp(kSoon).ok());
  EXPECT_TRUE(Eventually([&] { return follower.MaybeCheckpoint(writer); }));
}

TEST_F(StreamTest, Push_OnlyTheNextOffset_IsApplied) {
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

// A log whose callers run on several threads.
class SharedLog {
 public:
  absl::StatusOr<int64_t> Append(const std::string& stream,
                                 std::string_view data) {
    std::lock_guard lock(mutex_);
    return log_.Append(stream, data);
  }
  absl::StatusOr<LogRead> Read(const std::string& stream,
                               int64_t from,
                               size_t max_entries,
                               absl::Duration wait) {
    Sleep(absl::Milliseconds(1));
    std::lock_guard lock(mutex_);
    return log_.Read(stream, from, max_entries, absl::ZeroDuration());
  }

 private:
  boost::fibers::mutex mutex_;
  FakeLog log_;
};

TEST(StreamThreadsTest, WaitApplied_FibersOfSeveralThreads_AllGetTheirVerdict) {
  constexpr int kFibers = 24;
  constexpr int kRecordsEach = 20;
  SharedLog log;
  auto writer = StreamWriter<SharedLog>::Create(log, kStream, "w", {});
  auto follower =
      StreamFollower<ListFold, SharedLog>::Create(log, kStream, {}, {});
  follower->RegisterWriter(*writer);
  std::atomic<bool> stop = false;
  std::atomic<int> running = 2;
  std::atomic<int> accepted = 0;
  std::atomic<int> ended = 0;
  auto runtime = Runtime::Create({.threads = 3});
  ASSERT_TRUE(runtime.ok()) << runtime.status();
  (*runtime)->SpawnOn(0, [&] {
    writer->Run(stop);
    running--;
  });
  (*runtime)->SpawnOn(1, [&] {
    follower->Run(stop);
    running--;
  });
  for (int i = 0; i < kFibers; i++) {
    (*runtime)->Spawn([&] {
      for (int j = 0; j < kRecordsEach; j++) {
        auto sequence =
            writer->Append(RouterAliveRecord{"a"}, Urgency::kUrgent);
        auto verdict = follower->WaitApplied("w", sequence.value_or(-1), kSoon);
        accepted += verdict.ok() && verdict->record.sequence == *sequence;
      }
      ended++;
    });
  }
  const absl::Time deadline = absl::Now() + absl::Seconds(60);
  while (ended < kFibers && absl::Now() < deadline)
    absl::SleepFor(absl::Milliseconds(5));
  stop = true;
  while (running > 0 && absl::Now() < deadline)
    absl::SleepFor(absl::Milliseconds(5));
  (*runtime)->Stop();
  EXPECT_EQ(running, 0);
  EXPECT_EQ(accepted, kFibers * kRecordsEach);
  EXPECT_EQ(writer->stats().records, kFibers * kRecordsEach);
  EXPECT_LT(writer->stats().appends, kFibers * kRecordsEach / 2);
}

}  // namespace
}  // namespace hawthornhollow
