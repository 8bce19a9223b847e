// The queue is a schedule: the first prompt has been processed since
// `busy_since_`, each further one begins when the one before it ends. A prompt
// whose first token is overdue has not ended, so the ones behind it are moved
// by the same time, and it is expected to be late by as much again: prompts
// that are not known here may be ahead of it. A first token corrects the
// schedule, so an error of the speed does not add up over prompts.
//
// The speed is learned from the time between two first tokens, or from an idle
// engine to a first token. These do not depend on the speed that was assumed.
// Prompts that overtook others teach nothing, as the share of the overtaken
// ones in the elapsed time is not known. A single sample changes the speed by a
// bounded factor, because a part that the engine has evicted, or caches
// although nobody knows, falsifies it by any factor.
//
// All operations are linear in the number of queued prompts, which are below
// the slots of an engine.

#include "hawthornhollow/relay/prefill_queue.h"

#include <algorithm>
#include <cmath>

namespace hawthornhollow {
namespace {

// Bounds of the learned speed, in multiples of the configured one.
constexpr double kMinSpeedFactor = 0.25;
constexpr double kMaxSpeedFactor = 4;
// A sample beyond these multiples of the learned speed counts as the bound.
constexpr double kMinSampleFactor = 0.5;
constexpr double kMaxSampleFactor = 2;

}  // namespace

PrefillQueue::PrefillQueue(const PrefillQueueOptions& options)
    : options_(options), speed_(options.prompt_tokens_per_ms) {}

absl::Duration PrefillQueue::WorkOf(int64_t tokens, int64_t running) const {
  if (tokens <= 0)
    return absl::ZeroDuration();
  // Computing durations from integers is several times as fast as from doubles.
  constexpr double kNanosecondsPerMillisecond = 1e6;
  const int64_t steps =
      (tokens + options_.chunk_tokens - 1) / options_.chunk_tokens;
  return absl::Nanoseconds(
             static_cast<int64_t>(static_cast<double>(tokens) / speed_ *
                                  kNanosecondsPerMillisecond)) +
         steps *
             (options_.step_time + running * options_.step_time_per_request);
}

absl::Time PrefillQueue::NextEnd(absl::Time begin,
                                 size_t index,
                                 int64_t running,
                                 absl::Time now) const {
  const absl::Time end = begin + WorkOf(entries_[index].tokens, running);
  const absl::Time earliest = now - options_.report_delay;
  if (end >= earliest)
    return end;
  return index == 0 ? earliest + (earliest - end) * options_.overdue_weight
                    : earliest;
}

absl::Time PrefillQueue::EndOf(size_t count,
                               int64_t running,
                               absl::Time now) const {
  absl::Time end = busy_since_;
  for (size_t i = 0; i < count; ++i)
    end = NextEnd(end, i, running, now);
  return end;
}

absl::Duration PrefillQueue::Wait(int64_t urgency,
                                  int64_t running,
                                  absl::Time now) const {
  const size_t ahead =
      entries_.size() - static_cast<size_t>(CountBehind(urgency));
  return std::max(absl::ZeroDuration(), EndOf(ahead, running, now) - now);
}

int64_t PrefillQueue::CountBehind(int64_t urgency) const {
  return std::count_if(
      entries_.begin(), entries_.end(),
      [urgency](const Entry& entry) { return entry.urgency > urgency; });
}

int64_t PrefillQueue::QueuedTokens(int64_t running, absl::Time now) const {
  double tokens = 0;
  absl::Time end = busy_since_;
  for (size_t i = 0; i < entries_.size(); ++i) {
    const absl::Duration work = WorkOf(entries_[i].tokens, running);
    end = NextEnd(end, i, running, now);
    if (end > now && work > absl::ZeroDuration()) {
      tokens += static_cast<double>(entries_[i].tokens) *
                std::min(1.0, absl::FDivDuration(end - now, work));
    }
  }
  return std::llround(tokens);
}

void PrefillQueue::Add(uint64_t id,
                       int64_t tokens,
                       int64_t urgency,
                       absl::Time now) {
  if (entries_.empty())
    busy_since_ = std::max(busy_since_, now);
  const size_t position =
      entries_.size() - static_cast<size_t>(CountBehind(urgency));
  entries_.insert(entries_.begin() + static_cast<std::ptrdiff_t>(position),
                  Entry{.id = id,
                        .tokens = std::max<int64_t>(0, tokens),
                        .urgency = urgency,
                        .added = now,
                        .overtook = position < entries_.size()});
}

bool PrefillQueue::OnFirstToken(uint64_t id, int64_t running, absl::Time at) {
  const auto found =
      std::find_if(entries_.begin(), entries_.end(),
                   [id](const Entry& entry) { return entry.id == id; });
  if (found == entries_.end())
    return false;
  int64_t tokens = 0;
  bool overtook = false;
  // Processing cannot have begun before the prompt was sent.
  const absl::Time began = std::max(busy_since_, entries_.front().added);
  for (auto entry = entries_.begin(); entry <= found; ++entry) {
    tokens += entry->tokens;
    overtook = overtook || entry->overtook;
  }
  entries_.erase(entries_.begin(), found + 1);
  if (!overtook)
    LearnSpeed(tokens, running, at - began);
  busy_since_ = std::max(busy_since_, at);
  return true;
}

void PrefillQueue::LearnSpeed(int64_t tokens,
                              int64_t running,
                              absl::Duration took) {
  if (tokens < options_.min_sample_tokens)
    return;
  const int64_t steps =
      (tokens + options_.chunk_tokens - 1) / options_.chunk_tokens;
  const absl::Duration prefill =
      took -
      steps * (options_.step_time + running * options_.step_time_per_request);
  const double shortest_ms =
      static_cast<double>(tokens) / (speed_ * kMaxSampleFactor);
  const double sample =
      static_cast<double>(tokens) /
      std::max(shortest_ms, absl::ToDoubleMilliseconds(prefill));
  const double bounded = std::max(sample, speed_ * kMinSampleFactor);
  speed_ += options_.sample_weight * (bounded - speed_);
  speed_ = std::clamp(speed_, options_.prompt_tokens_per_ms * kMinSpeedFactor,
                      options_.prompt_tokens_per_ms * kMaxSpeedFactor);
}

void PrefillQueue::Remove(uint64_t id, absl::Time now) {
  const auto found =
      std::find_if(entries_.begin(), entries_.end(),
                   [id](const Entry& entry) { return entry.id == id; });
  if (found == entries_.end())
    return;
  if (found == entries_.begin()) {
    const absl::Time end = busy_since_ + WorkOf(found->tokens, /*running=*/0);
    busy_since_ = std::max(busy_since_, std::min(now, end));
  }
  entries_.erase(found);
}

}  // namespace hawthornhollow
