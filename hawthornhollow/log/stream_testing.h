#ifndef HAWTHORNHOLLOW_LOG_STREAM_TESTING_H_
#define HAWTHORNHOLLOW_LOG_STREAM_TESTING_H_

// What the tests of StreamWriter and StreamFollower share: a log in memory with
// faults, a small fold, and the fixture that runs both on fibers.

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "boost/fiber/fiber.hpp"
#include "boost/fiber/operations.hpp"
#include "gtest/gtest.h"
#include "hawthornhollow/log/log.h"

namespace hawthornhollow {
inline constexpr absl::Duration kSoon = absl::Seconds(10);
inline constexpr char kStream[] = "test";

inline void Sleep(absl::Duration duration) {
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
      return VerdictKind::kDuplicate;
    highest = record.sequence;
    const auto* alive = std::get_if<RouterAliveRecord>(&record.body);
    if (alive && alive->incarnation == "void")
      return VerdictKind::kRejected;
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
  void LandEntries(int64_t count) {
    for (int64_t i = 0; i < count; i++) {
      Batch batch{.writer = "other", .records = {}};
      batch.records.push_back({.sequence = ++other_sequence_,
                               .time_ms = absl::ToUnixMillis(absl::Now()),
                               .body = RouterAliveRecord{absl::StrCat(i)}});
      log_.Land(EncodeBatch(batch));
    }
  }
  void LandCheckpoint(int64_t offset, const std::string& state) {
    for (CheckpointRecord& part : SplitCheckpoint({offset, state}, 40)) {
      Batch batch{.writer = "other", .records = {}};
      batch.records.push_back({.sequence = ++other_sequence_,
                               .time_ms = absl::ToUnixMillis(absl::Now()),
                               .body = std::move(part)});
      log_.Land(EncodeBatch(batch));
    }
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

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_LOG_STREAM_TESTING_H_
