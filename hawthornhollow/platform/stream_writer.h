#ifndef HAWTHORNHOLLOW_PLATFORM_STREAM_WRITER_H_
#define HAWTHORNHOLLOW_PLATFORM_STREAM_WRITER_H_

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
// An append refused as invalid was not taken, and no try of it ever will be.
// It too is sent again, with an error in the log, since dropping a record would
// break a promise made to its owner; only a checkpoint is dropped, on which
// nothing depends. Checkpoints go in appends of their own for that reason.
//
// Bounds: one batch in flight; max_backlog_bytes over the queue and the batch
// in flight, where a record counts with its size as a batch of its own, which
// is at least its share of any batch.

#include <algorithm>
#include <utility>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/platform/platform.h"

namespace hawthornhollow {

namespace stream_internal {

inline constexpr double kJitterShare = 0.5;
inline constexpr double kBackoffFactor = 2.0;

// Delays that double from `min` to `max`, each shortened by a random part of
// up to kJitterShare.
class Backoff {
 public:
  Backoff(absl::Duration min, absl::Duration max) : next_(min), max_(max) {}

  template <typename Random>
  absl::Duration Next(Random& random) {
    absl::Duration full = next_;
    next_ = std::min(next_ * kBackoffFactor, max_);
    return full * absl::Uniform(random, 1.0 - kJitterShare, 1.0);
  }

 private:
  absl::Duration next_;
  absl::Duration max_;
};

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
      options_(options) {}

template <LogClient Log>
absl::StatusOr<int64_t> StreamWriter<Log>::Append(RecordBody body,
                                                  Urgency urgency) {
  Batch alone;
  alone.writer = incarnation_;
  alone.records.push_back({.sequence = 1,
                           .time_ms = absl::ToUnixMillis(absl::Now()),
                           .body = std::move(body)});
  Queued queued;
  queued.bytes = EncodeBatch(alone).size();
  queued.record = std::move(alone.records.front());
  if (queued.bytes > options_.max_record_bytes &&
      !IsCheckpoint(queued.record)) {
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
void StreamWriter<Log>::Run(const std::atomic<bool>& stop) {
  while (!stop) {
    std::optional<Pending> pending = NextPending(stop);
    if (pending)
      AppendUntilSettled(*pending, stop);
  }
}

// Waits until the queue is due and takes a batch from it; nullopt once stopped.
template <LogClient Log>
std::optional<typename StreamWriter<Log>::Pending>
StreamWriter<Log>::NextPending(const std::atomic<bool>& stop) {
  std::unique_lock lock(mutex_);
  while (!stop && std::chrono::steady_clock::now() < due_) {
    const auto poll =
        std::chrono::steady_clock::now() + absl::ToChronoNanoseconds(kStopPoll);
    changed_.wait_until(lock, std::min(due_, poll));
  }
  if (stop)
    return std::nullopt;
  Pending pending;
  Batch batch;
  batch.writer = incarnation_;
  batch.records = TakeRecords(&pending);
  next_append_ = std::chrono::steady_clock::now() +
                 absl::ToChronoNanoseconds(options_.urgent_gap);
  due_ = queue_.empty() ? SteadyTime::max() : next_append_;
  lock.unlock();
  pending.encoded = EncodeBatch(batch);
  return pending;
}

// Takes the records of the next append from the queue.
template <LogClient Log>
std::vector<Record> StreamWriter<Log>::TakeRecords(Pending* pending) {
  std::vector<Record> records;
  while (!queue_.empty() && FitsPending(queue_.front(), *pending)) {
    Queued& first = queue_.front();
    pending->checkpoint = IsCheckpoint(first.record);
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
  if (pending.checkpoint || IsCheckpoint(queued.record))
    return false;
  if (static_cast<size_t>(pending.records) >= options_.max_batch_records)
    return false;
  return pending.backlog_bytes + queued.bytes <= options_.max_batch_bytes;
}

template <LogClient Log>
void StreamWriter<Log>::AppendUntilSettled(const Pending& pending,
                                           const std::atomic<bool>& stop) {
  stream_internal::Backoff backoff(options_.retry_min, options_.retry_max);
  bool settled = false;
  for (bool retry = false; !settled && !stop; retry = true) {
    CountAppend(retry);
    absl::StatusOr<int64_t> offset = log_.Append(stream_, pending.encoded);
    if (offset.ok()) {
      Settle(pending);
      return;
    }
    if (Refused(pending, offset.status()))
      return;
    settled = WaitBeforeRetry(pending, backoff.Next(random_), stop);
  }
}

// Drops a checkpoint that the log will never take; false for all else.
template <LogClient Log>
bool StreamWriter<Log>::Refused(const Pending& pending,
                                const absl::Status& status) {
  LogEvent("stream.append_failed", LogSeverity::kWarning)
      .Add("stream", stream_)
      .Add("last_sequence", pending.last_sequence)
      .Add("error", status);
  if (!absl::IsInvalidArgument(status) || !pending.checkpoint)
    return false;
  LogEvent("stream.checkpoint_refused", LogSeverity::kError)
      .Add("stream", stream_)
      .Add("bytes", pending.encoded.size());
  std::lock_guard lock(mutex_);
  refused_.insert(pending.last_sequence);
  stats_.refused++;
  backlog_bytes_ -= pending.backlog_bytes;
  durable_sequence_ = std::max(durable_sequence_, pending.last_sequence);
  changed_.notify_all();
  return true;
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
  if (refused_.contains(sequence)) {
    return ErrorAt(absl::StatusCode::kFailedPrecondition, "stream.durable",
                   stream_, "the log refused the checkpoint");
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
  absl::Status status = WaitDurable(last, timeout);
  // A refused checkpoint leaves nothing more to wait for.
  return absl::IsFailedPrecondition(status) ? absl::OkStatus() : status;
}

template <LogClient Log>
void StreamWriter<Log>::OnReadBack(std::string_view writer, int64_t sequence) {
  if (writer != incarnation_)
    return;
  std::lock_guard lock(mutex_);
  durable_sequence_ = std::max(durable_sequence_, sequence);
  changed_.notify_all();
}

template <LogClient Log>
bool StreamWriter<Log>::IsSettled(int64_t sequence) const {
  std::lock_guard lock(mutex_);
  return durable_sequence_ >= sequence;
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

#endif  // HAWTHORNHOLLOW_PLATFORM_STREAM_WRITER_H_
