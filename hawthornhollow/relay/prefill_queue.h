#ifndef HAWTHORNHOLLOW_RELAY_PREFILL_QUEUE_H_
#define HAWTHORNHOLLOW_RELAY_PREFILL_QUEUE_H_

// Predicts when an inference engine will have processed the prompts that were
// sent to it, and learns its speed from their first tokens. Has no I/O and no
// clock.
//
//   PrefillQueue queue(options);
//   absl::Duration wait = queue.Wait(urgency, running, now);
//   absl::Duration work = queue.WorkOf(tokens, running);
//   queue.Add(id, tokens, urgency, now);
//   queue.OnFirstToken(id, running, now);   // or Remove(id, now)

#include <compare>
#include <cstdint>
#include <vector>

#include "absl/time/time.h"

namespace hawthornhollow {

struct PrefillQueueOptions {
  // Prompt tokens processed per millisecond, until first tokens show more.
  double prompt_tokens_per_ms = 38;
  // The engine processes prompts in chunks. Between two chunks, the running
  // requests generate a token, which takes `step_time` plus
  // `step_time_per_request` for each.
  int64_t chunk_tokens = 2048;
  absl::Duration step_time = absl::Milliseconds(5);
  absl::Duration step_time_per_request = absl::Microseconds(150);
  // First tokens may be reported this late.
  absl::Duration report_delay = absl::Milliseconds(5);
  // The first token of the prompt in progress that is overdue by a time is
  // expected after this multiple of it, as unknown prompts may be ahead.
  double overdue_weight = 1;
  // Weight of the newest first token in the learned speed.
  double sample_weight = 0.2;
  // Fewer tokens say too little about the speed, compared with the jitter of
  // network and engine steps.
  int64_t min_sample_tokens = 1000;
  friend auto operator<=>(const PrefillQueueOptions&,
                          const PrefillQueueOptions&) = default;
};

class PrefillQueue {
 public:
  explicit PrefillQueue(const PrefillQueueOptions& options);

  // Time until a prompt that is sent now begins to be processed. `running` is
  // the number of requests that the engine generates tokens for.
  absl::Duration Wait(int64_t urgency, int64_t running, absl::Time now) const;
  // Time to process `tokens` of a prompt.
  absl::Duration WorkOf(int64_t tokens, int64_t running) const;

  // `id` is chosen by the caller.
  void Add(uint64_t id, int64_t tokens, int64_t urgency, absl::Time now);
  // The first token of a prompt arrived at `at`. Prompts before it in the queue
  // have been processed, too. Returns whether the prompt was in the queue.
  bool OnFirstToken(uint64_t id, int64_t running, absl::Time at);
  // A prompt ended without a first token.
  void Remove(uint64_t id, absl::Time now);

  // Prompts sent, of which no first token is known, that a prompt of this
  // urgency overtakes.
  int64_t CountBehind(int64_t urgency) const;
  // Tokens that are estimated not to be processed yet.
  int64_t QueuedTokens(int64_t running, absl::Time now) const;
  bool empty() const { return entries_.empty(); }
  // Learned speed in tokens per millisecond.
  double speed() const { return speed_; }

 private:
  struct Entry {
    uint64_t id = 0;
    int64_t tokens = 0;
    int64_t urgency = 0;
    absl::Time added;
    bool overtook = false;  // less urgent prompts were there before
  };

  // Estimated time at which an entry has been processed that begins then.
  absl::Time NextEnd(absl::Time begin,
                     size_t index,
                     int64_t running,
                     absl::Time now) const;
  // Estimated time at which the first `count` entries have been processed.
  absl::Time EndOf(size_t count, int64_t running, absl::Time now) const;
  void LearnSpeed(int64_t tokens, int64_t running, absl::Duration took);

  const PrefillQueueOptions options_;
  double speed_;
  std::vector<Entry> entries_;  // in order of processing
  // Processing of the first entry began then.
  absl::Time busy_since_ = absl::InfinitePast();
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_PREFILL_QUEUE_H_
