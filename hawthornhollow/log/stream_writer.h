#ifndef HAWTHORNHOLLOW_LOG_STREAM_WRITER_H_
#define HAWTHORNHOLLOW_LOG_STREAM_WRITER_H_

// Definitions of StreamWriter. Include platform.h instead.
//
// Each record takes effect once, and one writer's records take effect in the
// order of their sequences, although replies get lost and an append may land
// long after its reply was given up on:
//
// - The fold ignores a record whose sequence is not above the highest applied
//   from its writer. So a repeated record is harmless, but a batch that landed
//   for the first time after a later batch would be lost.
// - Therefore at most one batch is in flight. A batch whose append has an
//   unknown result is sent again, with the same bytes, until one append of it
//   is acknowledged or a follower has read it back. Either means that a copy
//   of it is in the log before the next batch is sent for the first time, so
//   first copies lie in the log in order of their sequences.
// - Each other copy, however late it lands, comes after the first copy of the
//   same batch: it is a repeat in whole and changes nothing.
// - An entry is one batch and lands in whole or not at all, so a batch is
//   durable when its last record is.
//
// An append refused as invalid was not taken, and no try of it ever will be. It
// is sent again all the same, with an error in the log, since dropping a record
// would break a promise made to its owner.
//
// A checkpoint may be far larger than one entry, and nothing depends on any one
// of them. Its parts (checkpoint_parts.h) are appended under an incarnation of
// their own with sequences of its own, one part between two batches of records,
// so that records wait for one part at most. A part is tried once in each turn,
// with the same bytes and the same backoff; a checkpoint that is refused as
// invalid, or one of whose parts failed kMaxPartTries times, is dropped whole.
//
// Bounds: one append in flight; max_backlog_bytes over the queue and the batch
// in flight, where a record counts with its size as a batch of its own, which
// is at least its share of any batch; one checkpoint of max_checkpoint_bytes.

#include <algorithm>
#include <utility>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/log/log.h"

namespace hawthornhollow {

namespace stream_internal {

inline constexpr int kMaxPartTries = 20;

// Waits on `changed` until `done()` or for `timeout`; returns done(). `done` is
// evaluated at least every kStopPoll, so that it may read a stop flag.
template <typename Done>
bool WaitFor(std::unique_lock<boost::fibers::mutex>& lock,
             boost::fibers::condition_variable& changed,
             absl::Duration timeout,
             Done done) {
  using std::chrono::steady_clock;
  const bool forever = timeout == absl::InfiniteDuration();
  const auto deadline =
      steady_clock::now() +
      (forever ? steady_clock::duration::zero()
               : absl::ToChronoNanoseconds(std::min(timeout, absl::Hours(24))));
  while (!done()) {
    const auto now = steady_clock::now();
    if (!forever && now >= deadline)
      return false;
    auto until = now + absl::ToChronoNanoseconds(kStopPoll);
    if (!forever)
      until = std::min(until, deadline);
    changed.wait_until(lock, until);
  }
  return true;
}

}  // namespace stream_internal

template <LogClient Log>
std::unique_ptr<StreamWriter<Log>> StreamWriter<Log>::Create(
    Log& log,
    std::string stream,
    std::string incarnation,
    const StreamWriterOptions& options) {
  return std::unique_ptr<StreamWriter>(new StreamWriter(
      log, std::move(stream), std::move(incarnation), options));
}

template <LogClient Log>
StreamWriter<Log>::StreamWriter(Log& log,
                                std::string stream,
                                std::string incarnation,
                                const StreamWriterOptions& options)
    : log_(log),
      stream_(std::move(stream)),
      incarnation_(std::move(incarnation)),
      checkpoint_incarnation_(incarnation_ + ".checkpoint"),
      options_(options),
      part_backoff_(options.retry_min, options.retry_max) {}

template <LogClient Log>
absl::StatusOr<int64_t> StreamWriter<Log>::Append(RecordBody body,
                                                  Urgency urgency) {
  if (std::holds_alternative<CheckpointRecord>(body)) {
    return ErrorAt(absl::StatusCode::kInvalidArgument, "stream.append", stream_,
                   "checkpoints go through AppendCheckpoint");
  }
  Batch alone;
  alone.writer = incarnation_;
  alone.records.push_back({.sequence = 1,
                           .time_ms = absl::ToUnixMillis(absl::Now()),
                           .body = std::move(body)});
  Queued queued;
  queued.bytes = EncodeBatch(alone).size();
  queued.record = std::move(alone.records.front());
  if (queued.bytes > options_.max_record_bytes) {
    return ErrorAt(absl::StatusCode::kInvalidArgument, "stream.append", stream_,
                   "the record is too large");
  }

  std::lock_guard lock(mutex_);
  if (backlog_bytes_ + queued.bytes > options_.max_backlog_bytes) {
    return ErrorAt(absl::StatusCode::kResourceExhausted, "stream.append",
                   stream_, "the backlog is full");
  }
  backlog_bytes_ += queued.bytes;
  const int64_t sequence = next_sequence_++;
  queued.record.sequence = sequence;
  queue_.push_back(std::move(queued));
  due_ = std::min(due_, DueTime(urgency));
  changed_.notify_all();
  return sequence;
}

template <LogClient Log>
typename StreamWriter<Log>::SteadyTime StreamWriter<Log>::DueTime(
    Urgency urgency) const {
  const SteadyTime now = std::chrono::steady_clock::now();
  if (urgency == Urgency::kLazy)
    return now + absl::ToChronoNanoseconds(options_.lazy_delay);
  return std::max(now, next_append_);
}

template <LogClient Log>
absl::Status StreamWriter<Log>::AppendCheckpoint(
    const CheckpointRecord& checkpoint) {
  if (checkpoint.state.size() > options_.max_checkpoint_bytes) {
    return ErrorAt(absl::StatusCode::kResourceExhausted, "stream.checkpoint",
                   stream_, "the checkpoint is too large");
  }
  std::vector<CheckpointRecord> parts =
      SplitCheckpoint(checkpoint, options_.checkpoint_part_bytes);
  Record record;
  record.time_ms = absl::ToUnixMillis(absl::Now());
  {
    std::lock_guard lock(mutex_);
    if (checkpoint_pending_) {
      return ErrorAt(absl::StatusCode::kFailedPrecondition, "stream.checkpoint",
                     stream_, "an earlier one is still being appended");
    }
    checkpoint_pending_ = true;
    record.sequence = next_part_sequence_;
    next_part_sequence_ += static_cast<int64_t>(parts.size());
  }
  std::deque<Part> encoded;
  for (CheckpointRecord& part : parts) {
    record.body = std::move(part);
    encoded.push_back({record.sequence, EncodePart(record)});
    record.sequence++;
  }
  std::lock_guard lock(mutex_);
  parts_ = std::move(encoded);
  part_due_ = std::chrono::steady_clock::now();
  changed_.notify_all();
  return absl::OkStatus();
}

template <LogClient Log>
std::string StreamWriter<Log>::EncodePart(const Record& record) const {
  Batch batch;
  batch.writer = checkpoint_incarnation_;
  batch.records.push_back(record);
  return EncodeBatch(batch);
}

template <LogClient Log>
void StreamWriter<Log>::Run(const std::atomic<bool>& stop) {
  while (!stop) {
    const Turn turn = NextTurn(stop);
    if (turn == Turn::kRecords)
      AppendUntilSettled(TakePending(), stop);
    if (turn == Turn::kPart)
      TryPart();
  }
}

// Waits until something is due. Records and parts take turns.
template <LogClient Log>
typename StreamWriter<Log>::Turn StreamWriter<Log>::NextTurn(
    const std::atomic<bool>& stop) {
  std::unique_lock lock(mutex_);
  while (!stop) {
    const SteadyTime now = std::chrono::steady_clock::now();
    const bool records = due_ <= now;
    const bool part = part_due_ <= now;
    if (records && (!part || last_turn_ != Turn::kRecords))
      return last_turn_ = Turn::kRecords;
    if (part)
      return last_turn_ = Turn::kPart;
    const auto poll = now + absl::ToChronoNanoseconds(kStopPoll);
    changed_.wait_until(lock, std::min({due_, part_due_, poll}));
  }
  return Turn::kStopped;
}

// Takes a batch from the queue.
template <LogClient Log>
typename StreamWriter<Log>::Pending StreamWriter<Log>::TakePending() {
  Pending pending;
  Batch batch;
  batch.writer = incarnation_;
  {
    std::lock_guard lock(mutex_);
    batch.records = TakeRecords(&pending);
    next_append_ = std::chrono::steady_clock::now() +
                   absl::ToChronoNanoseconds(options_.urgent_gap);
    due_ = queue_.empty() ? SteadyTime::max() : next_append_;
  }
  pending.encoded = EncodeBatch(batch);
  return pending;
}

// Takes the records of the next append from the queue.
template <LogClient Log>
std::vector<Record> StreamWriter<Log>::TakeRecords(Pending* pending) {
  std::vector<Record> records;
  while (!queue_.empty() && FitsPending(queue_.front(), *pending)) {
    Queued& first = queue_.front();
    pending->last_sequence = first.record.sequence;
    pending->backlog_bytes += first.bytes;
    pending->records++;
    records.push_back(std::move(first.record));
    queue_.pop_front();
  }
  return records;
}

// Whether a record may join the batch in the making.
template <LogClient Log>
bool StreamWriter<Log>::FitsPending(const Queued& queued,
                                    const Pending& pending) const {
  if (pending.records == 0)
    return true;
  if (static_cast<size_t>(pending.records) >= options_.max_batch_records)
    return false;
  return pending.backlog_bytes + queued.bytes <= options_.max_batch_bytes;
}

template <LogClient Log>
void StreamWriter<Log>::AppendUntilSettled(const Pending& pending,
                                           const std::atomic<bool>& stop) {
  Backoff backoff(options_.retry_min, options_.retry_max);
  bool settled = false;
  for (bool retry = false; !settled && !stop; retry = true) {
    CountAppend(retry);
    absl::StatusOr<int64_t> offset = log_.Append(stream_, pending.encoded);
    if (offset.ok()) {
      Settle(pending);
      return;
    }
    LogFailure(offset.status());
    settled = WaitBeforeRetry(pending, backoff.Next(random_), stop);
  }
}

// Tries to append the first of the checkpoint's parts, which only this fiber
// removes.
template <LogClient Log>
void StreamWriter<Log>::TryPart() {
  const Part& part = parts_.front();
  CountAppend(part_tries_ > 0);
  absl::StatusOr<int64_t> offset = log_.Append(stream_, part.encoded);
  if (!offset.ok())
    LogFailure(offset.status());
  std::lock_guard lock(mutex_);
  if (offset.ok() || durable_part_ >= part.sequence) {
    OnPartDurable();
    return;
  }
  part_tries_++;
  if (absl::IsInvalidArgument(offset.status()) ||
      part_tries_ >= stream_internal::kMaxPartTries) {
    LogEvent("stream.checkpoint_dropped", LogSeverity::kError)
        .Add("stream", stream_)
        .Add("part_bytes", part.encoded.size());
    stats_.dropped_checkpoints++;
    EndCheckpoint();
    return;
  }
  part_due_ = std::chrono::steady_clock::now() +
              absl::ToChronoNanoseconds(part_backoff_.Next(random_));
}

// The caller holds mutex_.
template <LogClient Log>
void StreamWriter<Log>::OnPartDurable() {
  stats_.bytes += static_cast<int64_t>(parts_.front().encoded.size());
  part_tries_ = 0;
  part_backoff_ = Backoff(options_.retry_min, options_.retry_max);
  parts_.pop_front();
  if (!parts_.empty()) {
    part_due_ = std::chrono::steady_clock::now() +
                absl::ToChronoNanoseconds(options_.urgent_gap);
    return;
  }
  stats_.checkpoints++;
  EndCheckpoint();
}

// The caller holds mutex_.
template <LogClient Log>
void StreamWriter<Log>::EndCheckpoint() {
  parts_.clear();
  part_tries_ = 0;
  part_backoff_ = Backoff(options_.retry_min, options_.retry_max);
  part_due_ = SteadyTime::max();
  checkpoint_pending_ = false;
}

template <LogClient Log>
void StreamWriter<Log>::LogFailure(const absl::Status& status) const {
  const LogSeverity severity = absl::IsInvalidArgument(status)
                                   ? LogSeverity::kError
                                   : LogSeverity::kWarning;
  LogEvent("stream.append_failed", severity)
      .Add("stream", stream_)
      .Add("error", status);
}

// Returns whether the batch was read back before `delay` had passed.
template <LogClient Log>
bool StreamWriter<Log>::WaitBeforeRetry(const Pending& pending,
                                        absl::Duration delay,
                                        const std::atomic<bool>& stop) {
  std::unique_lock lock(mutex_);
  auto read_back = [&] { return durable_sequence_ >= pending.last_sequence; };
  stream_internal::WaitFor(lock, changed_, delay,
                           [&] { return stop || read_back(); });
  if (!read_back())
    return false;
  SettleLocked(pending);
  return true;
}

template <LogClient Log>
void StreamWriter<Log>::Settle(const Pending& pending) {
  std::lock_guard lock(mutex_);
  SettleLocked(pending);
}

template <LogClient Log>
void StreamWriter<Log>::SettleLocked(const Pending& pending) {
  stats_.records += pending.records;
  stats_.bytes += static_cast<int64_t>(pending.encoded.size());
  backlog_bytes_ -= pending.backlog_bytes;
  durable_sequence_ = std::max(durable_sequence_, pending.last_sequence);
  changed_.notify_all();
}

template <LogClient Log>
void StreamWriter<Log>::CountAppend(bool retry) {
  std::lock_guard lock(mutex_);
  stats_.appends++;
  if (retry)
    stats_.retries++;
}

template <LogClient Log>
absl::Status StreamWriter<Log>::WaitDurable(int64_t sequence,
                                            absl::Duration timeout) {
  std::unique_lock lock(mutex_);
  const bool settled = stream_internal::WaitFor(
      lock, changed_, timeout, [&] { return durable_sequence_ >= sequence; });
  if (!settled) {
    return ErrorAt(absl::StatusCode::kDeadlineExceeded, "stream.durable",
                   stream_, "not known to be in the log yet");
  }
  return absl::OkStatus();
}

template <LogClient Log>
absl::Status StreamWriter<Log>::Flush(absl::Duration timeout) {
  int64_t last = 0;
  {
    std::lock_guard lock(mutex_);
    last = next_sequence_ - 1;
    if (!queue_.empty())
      due_ = std::min(due_, DueTime(Urgency::kUrgent));
    changed_.notify_all();
  }
  return WaitDurable(last, timeout);
}

template <LogClient Log>
void StreamWriter<Log>::OnReadBack(std::string_view writer, int64_t sequence) {
  std::lock_guard lock(mutex_);
  if (writer == incarnation_)
    durable_sequence_ = std::max(durable_sequence_, sequence);
  if (writer == checkpoint_incarnation_)
    durable_part_ = std::max(durable_part_, sequence);
  changed_.notify_all();
}

template <LogClient Log>
bool StreamWriter<Log>::checkpoint_pending() const {
  std::lock_guard lock(mutex_);
  return checkpoint_pending_;
}

template <LogClient Log>
size_t StreamWriter<Log>::backlog_bytes() const {
  std::lock_guard lock(mutex_);
  return backlog_bytes_;
}

template <LogClient Log>
StreamWriterStats StreamWriter<Log>::stats() const {
  std::lock_guard lock(mutex_);
  return stats_;
}

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_LOG_STREAM_WRITER_H_
