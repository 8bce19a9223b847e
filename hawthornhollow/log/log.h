#ifndef HAWTHORNHOLLOW_LOG_LOG_H_
#define HAWTHORNHOLLOW_LOG_LOG_H_

// Clients of the platform's services, behind narrow concepts, and what follows
// and writes the log's streams.
//
//   HttpLogClient log(endpoint);
//   auto writer = StreamWriter<HttpLogClient>::Create(
//       log, "budget-0", RandomId(), StreamWriterOptions());
//   auto follower = StreamFollower<BudgetFold, HttpLogClient>::Create(
//       log, "budget-0", StreamFollowerOptions(), {.on_verdicts = ...});
//   follower->RegisterWriter(*writer);
//   runtime.Spawn([&] { writer->Run(stop); });    // group commit, retries
//   runtime.Spawn([&] { follower->Run(stop); });  // folds, gap recovery
//
//   // A verdict is learnt by reading one's own record back.
//   auto sequence = writer->Append(GrantRequestRecord{...}, Urgency::kUrgent);
//   auto verdict = follower->WaitApplied(writer->incarnation(), *sequence,
//                                        absl::Seconds(1));
//
//   // Now and then, so that retention never outruns the fold.
//   follower->MaybeCheckpoint(*writer);
//
// A `stop` flag is read at least every kStopPoll while a loop waits; a call of
// the log in progress is waited for.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <compare>
#include <concepts>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "absl/random/random.h"
#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "boost/fiber/condition_variable.hpp"
#include "boost/fiber/mutex.hpp"
#include "hawthornhollow/http/http.h"
#include "hawthornhollow/ledger/ledger.h"
#include "hawthornhollow/log/checkpoint_parts.h"

namespace hawthornhollow {

struct LogEntry {
  int64_t offset = 0;
  std::string data;
  friend auto operator<=>(const LogEntry&, const LogEntry&) = default;
};

// Entries from the asked offset on. `oldest` and `next` are the stream's first
// retained offset and the one that the next append will take; if the asked
// offset is below `oldest`, entries start at `oldest`.
struct LogRead {
  int64_t oldest = 0;
  int64_t next = 0;
  std::vector<LogEntry> entries;
  friend auto operator<=>(const LogRead&, const LogRead&) = default;
};

// The platform's append-only log. Append returns the entry's offset;
// UNAVAILABLE or DEADLINE_EXCEEDED leave open whether it took effect.
template <typename T>
concept LogClient = requires(T client, const std::string& stream) {
  {
    client.Append(stream, std::string_view())
    } -> std::same_as<absl::StatusOr<int64_t>>;
  {
    client.Read(stream, int64_t{}, size_t{}, absl::Duration())
    } -> std::same_as<absl::StatusOr<LogRead>>;
};

struct VmEntry {
  std::string name;
  bool leaving = false;
  friend auto operator<=>(const VmEntry&, const VmEntry&) = default;
};

// The platform's lagging list of live and leaving VMs.
template <typename T>
concept VmListClient = requires(T client) {
  { client.List() } -> std::same_as<absl::StatusOr<std::vector<VmEntry>>>;
};

// The stand-in's protocol:
//   POST /streams/NAME            body: the entry's bytes
//     -> 200 {"offset":12}; 429 over the rate limit (not taken); 503 in outage
//   GET /streams/NAME?from=12&max=100&wait_ms=500
//     -> 200 {"oldest":0,"next":14,"entries":[{"offset":12,"data":"BASE64"}]}
//   Offsets start at 0. A stream exists from its first append; reading one that
//   does not gives oldest 0, next 0. A read with wait_ms answers as soon as
//   there is an entry at `from` or beyond.
class HttpLogClient {
 public:
  explicit HttpLogClient(const Endpoint& endpoint,
                         absl::Duration timeout = absl::Seconds(2));
  absl::StatusOr<int64_t> Append(const std::string& stream,
                                 std::string_view data);
  absl::StatusOr<LogRead> Read(const std::string& stream,
                               int64_t from,
                               size_t max_entries,
                               absl::Duration wait);

 private:
  Endpoint endpoint_;
  absl::Duration timeout_;
  HttpClient http_;
};

// GET /vms -> 200 {"vms":[{"name":"router-1","state":"live"|"leaving"}]}
class HttpVmListClient {
 public:
  explicit HttpVmListClient(const Endpoint& endpoint);
  absl::StatusOr<std::vector<VmEntry>> List();

 private:
  Endpoint endpoint_;
  HttpClient http_;
};

// ---------------------------------------------------------------------------
// Writing a stream

// The longest that a loop of this library waits before it reads its stop flag.
inline constexpr absl::Duration kStopPoll = absl::Milliseconds(50);

// Delays that double from `min` to `max`, each shortened by a random share.
class Backoff {
 public:
  Backoff(absl::Duration min, absl::Duration max) : next_(min), max_(max) {}

  absl::Duration Next(absl::BitGen& random) {
    const absl::Duration full = next_;
    next_ = std::min(next_ * kFactor, max_);
    return full * absl::Uniform(random, 1.0 - kJitterShare, 1.0);
  }

 private:
  static constexpr double kJitterShare = 0.5;
  static constexpr double kFactor = 2.0;
  absl::Duration next_;
  absl::Duration max_;
};

// How soon a record has to be appended.
enum class Urgency {
  kUrgent,  // StreamWriterOptions::urgent_gap after the batch before it began
  kLazy,    // within StreamWriterOptions::lazy_delay
};

struct StreamWriterOptions {
  // The least time between the beginnings of two batches.
  absl::Duration urgent_gap = absl::Milliseconds(10);
  absl::Duration lazy_delay = absl::Milliseconds(200);
  // One append's bounds. A larger record goes alone.
  size_t max_batch_bytes = 256 * 1024;
  size_t max_batch_records = 2'000;
  // One record's bound: one that the log never takes would hold up all others.
  size_t max_record_bytes = 3 * 1024 * 1024;
  // Records queued or in flight; Append fails above it.
  size_t max_backlog_bytes = 16 * 1024 * 1024;
  // One checkpoint's bound, outside the backlog's, and that of its parts.
  size_t max_checkpoint_bytes = 128 * 1024 * 1024;
  size_t checkpoint_part_bytes = 1024 * 1024;
  // Exponential backoff between tries of one append, with jitter.
  absl::Duration retry_min = absl::Milliseconds(50);
  absl::Duration retry_max = absl::Seconds(2);
  friend auto operator<=>(const StreamWriterOptions&,
                          const StreamWriterOptions&) = default;
};

struct StreamWriterStats {
  int64_t appends = 0;  // calls of the log, tries again included
  int64_t retries = 0;
  int64_t records = 0;              // in appends that took effect
  int64_t bytes = 0;                // of those appends
  int64_t checkpoints = 0;          // appended whole
  int64_t dropped_checkpoints = 0;  // refused by the log, or failed too often
  friend auto operator<=>(const StreamWriterStats&,
                          const StreamWriterStats&) = default;
};

// Appends one process's records to one stream: one per (process, stream).
// Thread-safe; blocking calls block the calling fiber only. stream_writer.h
// says why records take effect once and in the order of their sequences.
template <LogClient Log>
class StreamWriter {
 public:
  // `incarnation` must never have written to the stream before: take a new one
  // in each process. `log` must outlive the writer.
  static std::unique_ptr<StreamWriter> Create(
      Log& log,
      std::string stream,
      std::string incarnation,
      const StreamWriterOptions& options);
  StreamWriter(const StreamWriter&) = delete;
  StreamWriter& operator=(const StreamWriter&) = delete;

  const std::string& stream() const { return stream_; }
  const std::string& incarnation() const { return incarnation_; }
  // The writer of checkpoints' parts in the stream.
  const std::string& checkpoint_incarnation() const {
    return checkpoint_incarnation_;
  }

  // Queues a record, stamped with the wall clock, and returns its sequence
  // (from 1) at once. RESOURCE_EXHAUSTED above the backlog's bound,
  // INVALID_ARGUMENT for a record above max_record_bytes or a checkpoint.
  absl::StatusOr<int64_t> Append(RecordBody body, Urgency urgency);

  // Appends what is queued until `stop`, which abandons what is not durable
  // yet (see Flush). One fiber runs this, once.
  void Run(const std::atomic<bool>& stop);

  // Appends a checkpoint in parts between the records, in the background.
  // FAILED_PRECONDITION while an earlier one is pending, RESOURCE_EXHAUSTED
  // above max_checkpoint_bytes. A checkpoint may get dropped (see stats).
  absl::Status AppendCheckpoint(const CheckpointRecord& checkpoint);
  bool checkpoint_pending() const;

  // OK once the record is in the log: an append that held it was acknowledged,
  // or it was read back. DEADLINE_EXCEEDED: not known.
  absl::Status WaitDurable(int64_t sequence, absl::Duration timeout);
  // Appends lazy records too without delay, and waits until all are durable.
  absl::Status Flush(absl::Duration timeout);

  // A follower has read a record of `writer` in the log; others' are ignored.
  void OnReadBack(std::string_view writer, int64_t sequence);

  size_t backlog_bytes() const;
  StreamWriterStats stats() const;

 private:
  using SteadyTime = std::chrono::steady_clock::time_point;
  struct Queued {
    Record record;
    size_t bytes = 0;
  };
  // One append's content. The bytes are the same in every try.
  struct Pending {
    std::string encoded;
    int64_t last_sequence = 0;
    int64_t records = 0;
    size_t backlog_bytes = 0;
  };
  // One entry of a checkpoint.
  struct Part {
    int64_t sequence = 0;
    std::string encoded;
  };
  enum class Turn { kStopped, kRecords, kPart };

  StreamWriter(Log& log,
               std::string stream,
               std::string incarnation,
               const StreamWriterOptions& options);
  SteadyTime DueTime(Urgency urgency) const;
  Turn NextTurn(const std::atomic<bool>& stop);
  Pending TakePending();
  std::vector<Record> TakeRecords(Pending* pending);
  bool FitsPending(const Queued& queued, const Pending& pending) const;
  void AppendUntilSettled(const Pending& pending,
                          const std::atomic<bool>& stop);
  bool WaitBeforeRetry(const Pending& pending,
                       absl::Duration delay,
                       const std::atomic<bool>& stop);
  void Settle(const Pending& pending);
  void SettleLocked(const Pending& pending);
  void CountAppend(bool retry);
  std::string EncodePart(const Record& record) const;
  void TryPart();
  void OnPartDurable();
  void EndCheckpoint();
  void LogFailure(const absl::Status& status) const;

  Log& log_;
  const std::string stream_;
  const std::string incarnation_;
  const std::string checkpoint_incarnation_;
  const StreamWriterOptions options_;

  // Used by Run's fiber only.
  absl::BitGen random_;
  Turn last_turn_ = Turn::kStopped;

  mutable boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
  std::deque<Queued> queue_;
  SteadyTime due_ = SteadyTime::max();          // of the queue's next append
  SteadyTime next_append_ = SteadyTime::min();  // urgent_gap after the last
  int64_t next_sequence_ = 1;
  int64_t durable_sequence_ = 0;  // the highest durable
  size_t backlog_bytes_ = 0;
  std::deque<Part> parts_;
  bool checkpoint_pending_ = false;
  SteadyTime part_due_ = SteadyTime::max();
  Backoff part_backoff_;
  int part_tries_ = 0;
  int64_t next_part_sequence_ = 1;
  int64_t durable_part_ = 0;  // the highest durable sequence
  StreamWriterStats stats_;
};

// ---------------------------------------------------------------------------
// Following a stream

struct StreamFollowerOptions {
  // How long the log may hold a read that finds nothing new.
  absl::Duration read_wait = absl::Milliseconds(500);
  // One read's entries. Halved after a failed read, which may have been too
  // large for its time or its bounds, and doubled again after others.
  size_t max_read_entries = 500;
  // Without a read that reached the stream's end for this long the state is
  // stale.
  absl::Duration stale_after = absl::Seconds(3);
  absl::Duration retry_min = absl::Milliseconds(50);
  absl::Duration retry_max = absl::Seconds(1);
  // A checkpoint is due this many entries after the last one, or sooner where
  // the log retains few...
  int64_t checkpoint_every = 2'000;
  // ...or this long after it, since retention may be by time...
  absl::Duration checkpoint_max_age = absl::Minutes(5);
  // ...and is written after a random delay of up to this, so that the first
  // process to write one spares the others theirs.
  absl::Duration checkpoint_max_delay = absl::Seconds(5);
  // The least time between two checkpoints by one process.
  absl::Duration checkpoint_min_gap = absl::Seconds(10);
  // Kept verdicts on one's own records.
  size_t max_kept_verdicts = 20'000;
  absl::Duration max_verdict_age = absl::Minutes(1);
  friend auto operator<=>(const StreamFollowerOptions&,
                          const StreamFollowerOptions&) = default;
};

// Called in the order of offsets, by whoever applies entries, without the
// fold's lock: WithFold sees the state just after `offset` exactly, and no
// other entry is applied before the callback returns. WaitApplied returns only
// after it, so a callback must neither wait for one nor call Push.
struct StreamFollowerCallbacks {
  // An entry was applied; no verdicts if it could not be decoded.
  std::function<void(int64_t offset, const std::vector<Verdict>& verdicts)>
      on_verdicts = nullptr;
  // The fold was replaced by the checkpoint at `offset`; entries up to it were
  // not seen one by one, so derived state has to be taken from the fold.
  std::function<void(int64_t offset)> on_restored = nullptr;
};

enum class FollowerState {
  kStarting,   // nothing read yet
  kFollowing,  // each entry so far was applied
  kGap,  // retention passed what was applied, and no checkpoint covers it yet
};

// Reads one stream in order into one fold. Thread-safe; blocking calls block
// the calling fiber only. stream_follower.h says how gaps are met.
template <Fold FoldT, LogClient Log>
class StreamFollower {
 public:
  using SteadyTime = std::chrono::steady_clock::time_point;

  // `log` must outlive the follower.
  static std::unique_ptr<StreamFollower> Create(
      Log& log,
      std::string stream,
      const StreamFollowerOptions& options,
      StreamFollowerCallbacks callbacks);
  StreamFollower(const StreamFollower&) = delete;
  StreamFollower& operator=(const StreamFollower&) = delete;

  // Keeps the verdicts on the writer's records for WaitApplied and tells the
  // writer of them (OnReadBack). Before Run; the writer must outlive it.
  void RegisterWriter(StreamWriter<Log>& writer);

  // Reads and applies until `stop`. One fiber runs this.
  void Run(const std::atomic<bool>& stop);

  // Calls `function(const FoldT&)` under the fold's lock and returns what it
  // returns, which must not refer into the fold. It must not block.
  template <typename F>
  auto WithFold(F&& function) const {
    std::lock_guard lock(mutex_);
    return std::forward<F>(function)(fold_);
  }

  // The last applied offset; -1 before the first.
  int64_t applied_offset() const;
  FollowerState state() const;
  // OK while following; else what the last read or recovery met.
  absl::Status status() const;
  // When the last read succeeded; InfinitePast before the first.
  absl::Time last_read_ok() const;
  // When the last read was sent whose reply held nothing that is not applied;
  // none before the first, nor while entries are missing.
  std::optional<SteadyTime> reached_end() const;
  // Whether a read sent less than `stale_after` ago reached the stream's end.
  bool caught_up() const;
  // Whether any read ever did.
  bool ever_caught_up() const;
  absl::Status WaitCaughtUp(absl::Duration timeout);

  // The verdict on a registered writer's record, once it has been applied.
  // kDuplicate: applied before, and the first verdict is not known here (or the
  // fold's own rules call it a repeat). NOT_FOUND: applied, but the verdict is
  // not kept. DEADLINE_EXCEEDED: not applied here yet.
  absl::StatusOr<Verdict> WaitApplied(std::string_view writer,
                                      int64_t sequence,
                                      absl::Duration timeout);

  // Appends a checkpoint through `writer` if one is due. Call it every second
  // or so. Returns whether one was queued.
  bool MaybeCheckpoint(StreamWriter<Log>& writer);

  // Takes an entry learnt from a peer process in place of the log. Applied only
  // if `offset` is the next one exactly; returns whether it was. The peer is
  // trusted as the log is: it must be a process of this fleet which itself read
  // these bytes at this offset, since a forged entry would part this process's
  // state from everyone else's. A pushed entry is no read of the log: it makes
  // nobody caught up.
  bool Push(int64_t offset, std::string_view bytes);

 private:
  struct KeptVerdict {
    Verdict verdict;
    absl::Time at;
  };
  // The verdicts on one registered writer's records, by sequence.
  struct OwnWriter {
    StreamWriter<Log>* writer = nullptr;
    std::map<int64_t, KeptVerdict> kept;
    int64_t highest_seen = 0;
  };
  // A checkpoint that a scan met whole.
  struct Candidate {
    CheckpointRecord checkpoint{.offset = -1, .state = ""};
    int64_t entry_offset = -1;
    int64_t time_ms = 0;
  };

  StreamFollower(Log& log,
                 std::string stream,
                 const StreamFollowerOptions& options,
                 StreamFollowerCallbacks callbacks);

  // Reading, on Run's fiber.
  absl::Status ReadOnce(const std::atomic<bool>& stop);
  absl::StatusOr<LogRead> ReadFrom(int64_t from, absl::Duration wait);
  absl::Status ApplyRead(const LogRead& read);
  void ReportStatus(const absl::Status& status);

  // Recovery, on Run's fiber.
  absl::Status RecoverFromGap(const LogRead& read,
                              const std::atomic<bool>& stop);
  absl::StatusOr<Candidate> ScanForCheckpoint(int64_t oldest,
                                              const std::atomic<bool>& stop);
  void ConsiderEntry(const LogEntry& entry, int64_t oldest, Candidate* best);
  void Install(const Candidate& candidate, FoldT fold);

  // Applying.
  void ApplyEntry(int64_t offset, std::string_view bytes);
  void NoteCheckpoints(int64_t offset, const Batch& batch);
  StreamWriter<Log>* KeepVerdicts(const std::string& writer,
                                  const std::vector<Verdict>& verdicts);
  void KeepVerdict(const Verdict& verdict, OwnWriter* own);

  bool CaughtUp() const;
  bool CheckpointDue(absl::Time now) const;
  int64_t CheckpointInterval() const;

  Log& log_;
  const std::string stream_;
  const StreamFollowerOptions options_;
  const StreamFollowerCallbacks callbacks_;

  // Used by Run's fiber only.
  absl::BitGen random_;
  size_t read_entries_;    // of the next read
  int64_t scan_from_ = 0;  // entries before it hold no better checkpoint
  CheckpointAssembler assembler_;
  std::set<int64_t> bad_checkpoints_;  // offsets of their last entries

  // Held over one entry's application and its callback. Taken before mutex_.
  boost::fibers::mutex apply_mutex_;

  // Guards everything below.
  mutable boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
  FoldT fold_;
  FollowerState state_ = FollowerState::kStarting;
  absl::Status status_;
  absl::Time last_read_ok_ = absl::InfinitePast();
  // When the last read was sent that reached the stream's end; empty in a gap.
  std::optional<SteadyTime> reached_end_;
  bool ever_caught_up_ = false;
  int64_t oldest_ = 0;
  std::map<std::string, OwnWriter, std::less<>> own_writers_;

  // Checkpoints.
  absl::BitGen checkpoint_random_;
  int64_t checkpoint_offset_ = -1;  // of the newest in the stream
  absl::Time checkpoint_time_ = absl::InfiniteFuture();
  absl::Time checkpoint_at_ = absl::InfiniteFuture();  // when to write one
  // When this process or another last wrote a part of one.
  absl::Time part_time_ = absl::InfinitePast();
};

}  // namespace hawthornhollow

#include "hawthornhollow/log/stream_follower.h"
#include "hawthornhollow/log/stream_writer.h"

#endif  // HAWTHORNHOLLOW_LOG_LOG_H_
