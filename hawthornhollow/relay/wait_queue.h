#ifndef HAWTHORNHOLLOW_RELAY_WAIT_QUEUE_H_
#define HAWTHORNHOLLOW_RELAY_WAIT_QUEUE_H_

// A queue of requests that wait for tokens of one workspace, ordered by urgency
// and, among equally urgent ones, by arrival.
//
// In the first seconds of an outage, and near the end of a total, tokens become
// available in small amounts. Without a queue, small requests of low urgency
// would take each amount, and large urgent ones would never find enough.
//
// Only the first request can take new tokens, so only the first needs to check
// at each change; the others sleep until they are first. With hundreds of
// requests waiting on a small VM, waking all of them at each change would use
// its whole CPU.

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <utility>

#include "absl/time/time.h"
#include "hawthornhollow/relay/fiber_signal.h"

namespace hawthornhollow {

class WaitQueue {
 public:
  // A position in the queue. `order` is assigned by Enqueue.
  struct Position {
    int64_t urgency = 0;  // 0 is the most urgent
    uint64_t order = 0;
    friend auto operator<=>(const Position&, const Position&) = default;
  };

  Position Enqueue(int64_t urgency, int64_t tokens) {
    const Position position{.urgency = urgency, .order = ++last_order_};
    waiting_.try_emplace(position, tokens);
    return position;
  }
  // Removes a request and wakes the one that is now first.
  void Remove(const Position& position) {
    waiting_.erase(position);
    if (!waiting_.empty())
      waiting_.begin()->second.became_first.Notify();
  }

  bool IsFirst(const Position& position) const {
    return !waiting_.empty() && waiting_.begin()->first == position;
  }
  // Blocks the fiber until `position` is first in the queue or `timeout` has
  // passed.
  void WaitUntilFirst(const Position& position, absl::Duration timeout) {
    FiberSignal& became_first = waiting_.at(position).became_first;
    became_first.WaitForMoreThan(became_first.changes(), timeout);
  }

  // Tokens for which the first request waits; 0 if the queue is empty.
  int64_t FirstTokens() const {
    return waiting_.empty() ? 0 : waiting_.begin()->second.tokens;
  }
  // Tokens for which the requests ahead of `position` wait.
  int64_t TokensAhead(const Position& position) const {
    int64_t sum = 0;
    for (const auto& [other, waiting] : waiting_) {
      if (!(other < position))
        break;
      sum += waiting.tokens;
    }
    return sum;
  }
  // Whether `available` tokens are enough for a request in addition to those
  // for which the requests ahead of it wait. A request that is not in the queue
  // passes NewArrival(urgency) and comes after all requests of the same
  // urgency.
  bool MayReserve(const Position& position,
                  int64_t tokens,
                  int64_t available) const {
    const int64_t tokens_ahead = TokensAhead(position);
    return tokens_ahead == 0 || available >= tokens_ahead + tokens;
  }
  static Position NewArrival(int64_t urgency) {
    return {.urgency = urgency, .order = std::numeric_limits<uint64_t>::max()};
  }

 private:
  struct Waiting {
    explicit Waiting(int64_t wanted) : tokens(wanted) {}
    const int64_t tokens;
    FiberSignal became_first;  // notified when the request becomes first
  };

  std::map<Position, Waiting> waiting_;
  uint64_t last_order_ = 0;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_WAIT_QUEUE_H_
