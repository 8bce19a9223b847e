#ifndef HAWTHORNHOLLOW_LOG_STREAM_FOLLOWER_H_
#define HAWTHORNHOLLOW_LOG_STREAM_FOLLOWER_H_

// Definitions of StreamFollower. Include platform.h instead.
//
// State is a function of the stream's prefix, so entries are applied in order
// of offsets without a hole, or not at all:
//
// - A read asks for the entry after the last applied one. If the log answers
//   that its oldest retained entry lies beyond that, entries are missing: the
//   state becomes kGap, and the fold stays as it was.
// - From a gap only a checkpoint leads on. A checkpoint at offset N is the
//   state after entries 0..N, whoever wrote it and wherever it lies in the
//   stream. One covers the gap if N >= oldest - 1, since N + 1 is then still
//   retained. A scan of the retained entries finds the covering checkpoint of
//   the highest N; folding goes on from N + 1. A new process whose stream has
//   lost its beginning takes the same path, with nothing applied yet.
// - Retention may pass N + 1 while the scan runs. The next read then reports a
//   gap again. A later scan reads only entries that no scan has read: the ones
//   before hold no checkpoint of a higher N.
// - An entry that cannot be decoded is the same bytes for everyone. It is
//   applied as an empty batch.
//
// Being caught up is judged from the time at which a read was sent, not
// answered: a reply that was delayed on its way says nothing about the present.
//
// Bounds: one read's entries; during a scan one checkpoint besides; for each
// registered writer max_kept_verdicts verdicts of max_verdict_age. A checkpoint
// is serialized under the fold's lock, in time linear in the state.

#include <algorithm>
#include <utility>

#include "boost/fiber/operations.hpp"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/log/log.h"
#include "hawthornhollow/log/stream_writer.h"

namespace hawthornhollow {

namespace stream_internal {

// The checkpoints that retention should leave in the stream at any time.
inline constexpr int64_t kRetainedCheckpoints = 4;
// Entries between two checkpoints, however few are retained.
inline constexpr int64_t kMinCheckpointInterval = 16;

// A time that another process stamped, but no later than `now`.
inline absl::Time PastTime(int64_t time_ms, absl::Time now) {
  return std::min(absl::FromUnixMillis(time_ms), now);
}

}  // namespace stream_internal

template <Fold FoldT, LogClient Log>
std::unique_ptr<StreamFollower<FoldT, Log>> StreamFollower<FoldT, Log>::Create(
    Log& log,
    std::string stream,
    const StreamFollowerOptions& options,
    StreamFollowerCallbacks callbacks) {
  return std::unique_ptr<StreamFollower>(new StreamFollower(
      log, std::move(stream), options, std::move(callbacks)));
}

template <Fold FoldT, LogClient Log>
StreamFollower<FoldT, Log>::StreamFollower(Log& log,
                                           std::string stream,
                                           const StreamFollowerOptions& options,
                                           StreamFollowerCallbacks callbacks)
    : log_(log),
      stream_(std::move(stream)),
      options_(options),
      callbacks_(std::move(callbacks)),
      read_entries_(options.max_read_entries) {}

template <Fold FoldT, LogClient Log>
void StreamFollower<FoldT, Log>::RegisterWriter(StreamWriter<Log>& writer) {
  std::lock_guard lock(mutex_);
  own_writers_[writer.incarnation()].writer = &writer;
  own_writers_[writer.checkpoint_incarnation()].writer = &writer;
}

// ---------------------------------------------------------------------------
// Reading

template <Fold FoldT, LogClient Log>
void StreamFollower<FoldT, Log>::Run(const std::atomic<bool>& stop) {
  Backoff backoff(options_.retry_min, options_.retry_max);
  while (!stop) {
    absl::Status status = ReadOnce(stop);
    ReportStatus(status);
    if (status.ok()) {
      backoff = Backoff(options_.retry_min, options_.retry_max);
      continue;
    }
    std::unique_lock lock(mutex_);
    stream_internal::WaitFor(lock, changed_, backoff.Next(random_),
                             [&] { return stop.load(); });
  }
}

template <Fold FoldT, LogClient Log>
absl::Status StreamFollower<FoldT, Log>::ReadOnce(
    const std::atomic<bool>& stop) {
  const int64_t from = applied_offset() + 1;
  const SteadyTime sent = std::chrono::steady_clock::now();
  // Until the end was reached once, a read that finds nothing is the news.
  const absl::Duration wait =
      ever_caught_up() ? options_.read_wait : absl::ZeroDuration();
  absl::StatusOr<LogRead> read = ReadFrom(from, wait);
  if (!read.ok())
    return read.status();
  if (read->oldest > from)
    return RecoverFromGap(*read, stop);
  if (read->next < from) {
    return ErrorAt(absl::StatusCode::kDataLoss, "stream.read", stream_,
                   "the log ends before what was applied");
  }
  if (read->entries.empty() && read->next > from) {
    return ErrorAt(absl::StatusCode::kDataLoss, "stream.read", stream_,
                   "the log left out an entry");
  }
  absl::Status status = ApplyRead(*read);
  if (!status.ok())
    return status;
  std::lock_guard lock(mutex_);
  state_ = FollowerState::kFollowing;
  if (fold_.applied_offset() + 1 >= read->next) {
    reached_end_ = sent;
    ever_caught_up_ = true;
  }
  changed_.notify_all();
  return absl::OkStatus();
}

template <Fold FoldT, LogClient Log>
absl::StatusOr<LogRead> StreamFollower<FoldT, Log>::ReadFrom(
    int64_t from,
    absl::Duration wait) {
  absl::StatusOr<LogRead> read = log_.Read(stream_, from, read_entries_, wait);
  if (!read.ok()) {
    read_entries_ = std::max<size_t>(read_entries_ / 2, 1);
    return read;
  }
  read_entries_ = std::min(read_entries_ * 2, options_.max_read_entries);
  std::lock_guard lock(mutex_);
  last_read_ok_ = absl::Now();
  oldest_ = std::max(oldest_, read->oldest);
  return read;
}

template <Fold FoldT, LogClient Log>
absl::Status StreamFollower<FoldT, Log>::ApplyRead(const LogRead& read) {
  for (const LogEntry& entry : read.entries) {
    {
      std::lock_guard apply_lock(apply_mutex_);
      const int64_t applied = applied_offset();
      if (entry.offset <= applied)
        continue;  // Push was faster.
      if (entry.offset > applied + 1) {
        return ErrorAt(absl::StatusCode::kDataLoss, "stream.read", stream_,
                       "the log left out an entry");
      }
      ApplyEntry(entry.offset, entry.data);
    }
    boost::this_fiber::yield();
  }
  return absl::OkStatus();
}

// Logs a status that differs in kind from the one before.
template <Fold FoldT, LogClient Log>
void StreamFollower<FoldT, Log>::ReportStatus(const absl::Status& status) {
  bool changed = false;
  {
    std::lock_guard lock(mutex_);
    changed = status.code() != status_.code();
    status_ = status;
  }
  if (!changed)
    return;
  const LogSeverity severity =
      status.ok() ? LogSeverity::kInfo : LogSeverity::kError;
  LogEvent("stream.follow", severity)
      .Add("stream", stream_)
      .Add("applied", applied_offset())
      .Add("status", status);
}

// ---------------------------------------------------------------------------
// Recovery

template <Fold FoldT, LogClient Log>
absl::Status StreamFollower<FoldT, Log>::RecoverFromGap(
    const LogRead& read,
    const std::atomic<bool>& stop) {
  {
    std::lock_guard lock(mutex_);
    state_ = FollowerState::kGap;
    reached_end_.reset();
    changed_.notify_all();
  }
  absl::StatusOr<Candidate> best = ScanForCheckpoint(read.oldest, stop);
  if (!best.ok())
    return best.status();
  absl::StatusOr<FoldT> fold = FoldT::Restore(best->checkpoint.state);
  if (!fold.ok() || fold->applied_offset() != best->checkpoint.offset) {
    bad_checkpoints_.insert(best->entry_offset);
    assembler_.Clear();
    scan_from_ = 0;
    return ErrorAt(absl::StatusCode::kDataLoss, "stream.recover", stream_,
                   "a checkpoint cannot be restored");
  }
  assembler_.Clear();
  Install(*best, *std::move(fold));
  return absl::OkStatus();
}

// Reads what no scan has read yet, up to the stream's end. NOT_FOUND if no
// checkpoint among it covers the gap.
template <Fold FoldT, LogClient Log>
absl::StatusOr<typename StreamFollower<FoldT, Log>::Candidate>
StreamFollower<FoldT, Log>::ScanForCheckpoint(int64_t oldest,
                                              const std::atomic<bool>& stop) {
  Candidate best;
  int64_t from = std::max(scan_from_, oldest);
  bool more = true;
  while (more && !stop) {
    absl::StatusOr<LogRead> read = ReadFrom(from, absl::ZeroDuration());
    if (!read.ok())
      return read.status();
    for (const LogEntry& entry : read->entries) {
      ConsiderEntry(entry, read->oldest, &best);
      from = entry.offset + 1;
    }
    more = !read->entries.empty() && from < read->next;
  }
  if (stop)
    return absl::CancelledError("stopped");
  scan_from_ = from;
  if (best.checkpoint.offset < 0) {
    return ErrorAt(absl::StatusCode::kNotFound, "stream.recover", stream_,
                   "retention passed unread entries and no checkpoint covers "
                   "them");
  }
  return best;
}

// Keeps a checkpoint whose last part the entry holds if it covers a gap before
// `oldest` and is later than the best one met.
template <Fold FoldT, LogClient Log>
void StreamFollower<FoldT, Log>::ConsiderEntry(const LogEntry& entry,
                                               int64_t oldest,
                                               Candidate* best) {
  absl::StatusOr<Batch> batch = DecodeBatch(entry.data);
  if (!batch.ok())
    return;
  for (const Record& record : batch->records) {
    const auto* part = std::get_if<CheckpointRecord>(&record.body);
    if (!part || part->offset >= entry.offset)
      continue;
    if (part->offset < oldest - 1 || part->offset <= best->checkpoint.offset)
      continue;
    auto whole = assembler_.Add(batch->writer, *part);
    if (!whole || bad_checkpoints_.contains(entry.offset))
      continue;
    best->entry_offset = entry.offset;
    best->time_ms = record.time_ms;
    best->checkpoint = *std::move(whole);
  }
}

template <Fold FoldT, LogClient Log>
void StreamFollower<FoldT, Log>::Install(const Candidate& candidate,
                                         FoldT fold) {
  const int64_t offset = candidate.checkpoint.offset;
  std::lock_guard apply_lock(apply_mutex_);
  {
    std::lock_guard lock(mutex_);
    if (offset <= fold_.applied_offset())
      return;  // Push was faster.
    fold_ = std::move(fold);
    checkpoint_offset_ = offset;
    checkpoint_time_ =
        stream_internal::PastTime(candidate.time_ms, absl::Now());
  }
  LogEvent("stream.restored").Add("stream", stream_).Add("offset", offset);
  if (callbacks_.on_restored)
    callbacks_.on_restored(offset);
  changed_.notify_all();
}

// ---------------------------------------------------------------------------
// Applying

// Applies the next entry. The caller holds apply_mutex_.
template <Fold FoldT, LogClient Log>
void StreamFollower<FoldT, Log>::ApplyEntry(int64_t offset,
                                            std::string_view bytes) {
  absl::StatusOr<Batch> batch = DecodeBatch(bytes);
  if (!batch.ok()) {
    LogEvent("stream.undecodable", LogSeverity::kError)
        .Add("stream", stream_)
        .Add("offset", offset)
        .Add("error", batch.status());
    batch = Batch();
  }
  std::vector<Verdict> verdicts;
  {
    std::lock_guard lock(mutex_);
    verdicts = fold_.Apply(offset, *batch);
    NoteCheckpoints(offset, *batch);
  }
  if (callbacks_.on_verdicts)
    callbacks_.on_verdicts(offset, verdicts);
  StreamWriter<Log>* writer = KeepVerdicts(batch->writer, verdicts);
  if (writer && !batch->records.empty())
    writer->OnReadBack(batch->writer, batch->records.back().sequence);
}

// The caller holds mutex_.
template <Fold FoldT, LogClient Log>
void StreamFollower<FoldT, Log>::NoteCheckpoints(int64_t offset,
                                                 const Batch& batch) {
  const absl::Time now = absl::Now();
  for (const Record& record : batch.records) {
    const absl::Time time = stream_internal::PastTime(record.time_ms, now);
    // Without a checkpoint, age counts from the first entry.
    if (checkpoint_time_ == absl::InfiniteFuture())
      checkpoint_time_ = time;
    const auto* checkpoint = std::get_if<CheckpointRecord>(&record.body);
    if (!checkpoint || checkpoint->offset >= offset ||
        checkpoint->offset <= checkpoint_offset_) {
      continue;
    }
    std::optional<CheckpointPart> part = ParseCheckpointPart(*checkpoint);
    if (!part)
      continue;
    part_time_ = std::max(part_time_, time);
    if (part->index < part->count)
      continue;
    checkpoint_offset_ = checkpoint->offset;
    checkpoint_time_ = time;
  }
}

// Keeps the verdicts on a registered writer's records and returns the writer;
// null for others.
template <Fold FoldT, LogClient Log>
StreamWriter<Log>* StreamFollower<FoldT, Log>::KeepVerdicts(
    const std::string& writer,
    const std::vector<Verdict>& verdicts) {
  std::lock_guard lock(mutex_);
  changed_.notify_all();
  auto own = own_writers_.find(writer);
  if (own == own_writers_.end())
    return nullptr;
  for (const Verdict& verdict : verdicts)
    KeepVerdict(verdict, &own->second);
  return own->second.writer;
}

// A writer's records are applied in order of sequences, so one that is not
// above the highest seen is a late copy and its verdict no news.
template <Fold FoldT, LogClient Log>
void StreamFollower<FoldT, Log>::KeepVerdict(const Verdict& verdict,
                                             OwnWriter* own) {
  const int64_t sequence = verdict.record.sequence;
  if (sequence <= own->highest_seen)
    return;
  own->highest_seen = sequence;
  const absl::Time now = absl::Now();
  // Nobody waits for the verdict on a checkpoint, which may be large.
  if (!std::holds_alternative<CheckpointRecord>(verdict.record.body))
    own->kept.emplace(sequence, KeptVerdict{.verdict = verdict, .at = now});
  auto expired = [&] {
    const auto& oldest = own->kept.begin()->second;
    return own->kept.size() > options_.max_kept_verdicts ||
           now - oldest.at > options_.max_verdict_age;
  };
  while (!own->kept.empty() && expired())
    own->kept.erase(own->kept.begin());
}

template <Fold FoldT, LogClient Log>
bool StreamFollower<FoldT, Log>::Push(int64_t offset, std::string_view bytes) {
  // Bytes damaged on the way between processes decide nothing.
  if (!DecodeBatch(bytes).ok())
    return false;
  std::lock_guard apply_lock(apply_mutex_);
  if (offset != applied_offset() + 1)
    return false;
  ApplyEntry(offset, bytes);
  return true;
}

// ---------------------------------------------------------------------------
// Checkpoints

template <Fold FoldT, LogClient Log>
bool StreamFollower<FoldT, Log>::MaybeCheckpoint(StreamWriter<Log>& writer) {
  CheckpointRecord checkpoint;
  {
    std::lock_guard lock(mutex_);
    const absl::Time now = absl::Now();
    if (!CheckpointDue(now) || writer.checkpoint_pending()) {
      checkpoint_at_ = absl::InfiniteFuture();
      return false;
    }
    if (checkpoint_at_ == absl::InfiniteFuture()) {
      checkpoint_at_ = now + options_.checkpoint_max_delay *
                                 absl::Uniform(checkpoint_random_, 0.0, 1.0);
    }
    if (now < checkpoint_at_)
      return false;
    checkpoint_at_ = absl::InfiniteFuture();
    part_time_ = now;
    checkpoint.offset = fold_.applied_offset();
    checkpoint.state = fold_.Serialize();
  }
  absl::Status status = writer.AppendCheckpoint(checkpoint);
  LogEvent("stream.checkpoint")
      .Add("stream", stream_)
      .Add("offset", checkpoint.offset)
      .Add("bytes", checkpoint.state.size())
      .Add("status", status);
  return status.ok();
}

// The caller holds mutex_.
template <Fold FoldT, LogClient Log>
bool StreamFollower<FoldT, Log>::CheckpointDue(absl::Time now) const {
  const int64_t applied = fold_.applied_offset();
  if (applied < 0 || !CaughtUp())
    return false;
  if (now - part_time_ < options_.checkpoint_min_gap)
    return false;
  // A process that starts now could not follow.
  if (checkpoint_offset_ + 1 < oldest_)
    return true;
  if (applied - checkpoint_offset_ >= CheckpointInterval())
    return true;
  return now - checkpoint_time_ >= options_.checkpoint_max_age;
}

// Entries between two checkpoints. The caller holds mutex_.
template <Fold FoldT, LogClient Log>
int64_t StreamFollower<FoldT, Log>::CheckpointInterval() const {
  using stream_internal::kMinCheckpointInterval;
  if (oldest_ == 0)
    return options_.checkpoint_every;
  const int64_t retained = fold_.applied_offset() + 1 - oldest_;
  const int64_t share = retained / stream_internal::kRetainedCheckpoints;
  return std::min(options_.checkpoint_every,
                  std::max(share, kMinCheckpointInterval));
}

// ---------------------------------------------------------------------------
// State

// The caller holds mutex_.
template <Fold FoldT, LogClient Log>
bool StreamFollower<FoldT, Log>::CaughtUp() const {
  if (state_ != FollowerState::kFollowing || !reached_end_)
    return false;
  return std::chrono::steady_clock::now() - *reached_end_ <
         absl::ToChronoNanoseconds(options_.stale_after);
}

template <Fold FoldT, LogClient Log>
int64_t StreamFollower<FoldT, Log>::applied_offset() const {
  std::lock_guard lock(mutex_);
  return fold_.applied_offset();
}

template <Fold FoldT, LogClient Log>
FollowerState StreamFollower<FoldT, Log>::state() const {
  std::lock_guard lock(mutex_);
  return state_;
}

template <Fold FoldT, LogClient Log>
absl::Status StreamFollower<FoldT, Log>::status() const {
  std::lock_guard lock(mutex_);
  return status_;
}

template <Fold FoldT, LogClient Log>
absl::Time StreamFollower<FoldT, Log>::last_read_ok() const {
  std::lock_guard lock(mutex_);
  return last_read_ok_;
}

template <Fold FoldT, LogClient Log>
std::optional<typename StreamFollower<FoldT, Log>::SteadyTime>
StreamFollower<FoldT, Log>::reached_end() const {
  std::lock_guard lock(mutex_);
  return reached_end_;
}

template <Fold FoldT, LogClient Log>
bool StreamFollower<FoldT, Log>::caught_up() const {
  std::lock_guard lock(mutex_);
  return CaughtUp();
}

template <Fold FoldT, LogClient Log>
bool StreamFollower<FoldT, Log>::ever_caught_up() const {
  std::lock_guard lock(mutex_);
  return ever_caught_up_;
}

template <Fold FoldT, LogClient Log>
absl::Status StreamFollower<FoldT, Log>::WaitCaughtUp(absl::Duration timeout) {
  std::unique_lock lock(mutex_);
  const bool reached = stream_internal::WaitFor(lock, changed_, timeout,
                                                [&] { return CaughtUp(); });
  if (reached)
    return absl::OkStatus();
  return ErrorAt(absl::StatusCode::kDeadlineExceeded, "stream.catch_up",
                 stream_, status_.ToString());
}

template <Fold FoldT, LogClient Log>
absl::StatusOr<Verdict> StreamFollower<FoldT, Log>::WaitApplied(
    std::string_view writer,
    int64_t sequence,
    absl::Duration timeout) {
  std::unique_lock lock(mutex_);
  auto own = own_writers_.find(writer);
  if (own == own_writers_.end()) {
    return ErrorAt(absl::StatusCode::kFailedPrecondition, "stream.verdict",
                   stream_, "the writer is not registered");
  }
  const OwnWriter& records = own->second;
  const bool applied = stream_internal::WaitFor(lock, changed_, timeout, [&] {
    return records.highest_seen >= sequence;
  });
  if (!applied) {
    return ErrorAt(absl::StatusCode::kDeadlineExceeded, "stream.verdict",
                   stream_, "the record was not read back yet");
  }
  auto kept = records.kept.find(sequence);
  if (kept == records.kept.end()) {
    return ErrorAt(absl::StatusCode::kNotFound, "stream.verdict", stream_,
                   "the record was applied but its verdict is not kept");
  }
  return kept->second.verdict;
}

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_LOG_STREAM_FOLLOWER_H_
