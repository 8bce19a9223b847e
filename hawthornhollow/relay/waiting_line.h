#ifndef HAWTHORNHOLLOW_RELAY_WAITING_LINE_H_
#define HAWTHORNHOLLOW_RELAY_WAITING_LINE_H_

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

class WaitingLine {
 public:
  // A position in the queue. `order` is assigned by Join.
  struct Place {
    int64_t urgency = 0;  // 0 is the most urgent
    uint64_t order = 0;
    friend auto operator<=>(const Place&, const Place&) = default;
  };

  Place Join(int64_t urgency, int64_t tokens) {
    const Place place{.urgency = urgency, .order = ++orders_};
    waiting_.try_emplace(place, tokens);
    return place;
  }
  // Removes a request and wakes the one that is now first.
  void Leave(const Place& place) {
    waiting_.erase(place);
    if (!waiting_.empty())
      waiting_.begin()->second.turn.Notify();
  }

  bool IsFirst(const Place& place) const {
    return !waiting_.empty() && waiting_.begin()->first == place;
  }
  // Blocks the fiber until `place` is first in the queue or `timeout` has
  // passed.
  void AwaitTurn(const Place& place, absl::Duration timeout) {
    FiberSignal& turn = waiting_.at(place).turn;
    turn.WaitBeyond(turn.changes(), timeout);
  }

  // Tokens for which the requests ahead of `place` wait.
  int64_t Before(const Place& place) const {
    int64_t sum = 0;
    for (const auto& [other, waiting] : waiting_) {
      if (!(other < place))
        break;
      sum += waiting.tokens;
    }
    return sum;
  }
  // Whether `available` tokens are enough for a request in addition to those
  // for which the requests ahead of it wait. A request that is not in the queue
  // passes Newcomer(urgency) and comes after all requests of the same urgency.
  bool MayTake(const Place& place, int64_t tokens, int64_t available) const {
    const int64_t before = Before(place);
    return before == 0 || available >= before + tokens;
  }
  static Place Newcomer(int64_t urgency) {
    return {.urgency = urgency, .order = std::numeric_limits<uint64_t>::max()};
  }

 private:
  struct Waiting {
    explicit Waiting(int64_t wanted) : tokens(wanted) {}
    const int64_t tokens;
    FiberSignal turn;  // notified when the request becomes first
  };

  std::map<Place, Waiting> waiting_;
  uint64_t orders_ = 0;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_WAITING_LINE_H_
