#ifndef HAWTHORNHOLLOW_RELAY_WAITING_LINE_H_
#define HAWTHORNHOLLOW_RELAY_WAITING_LINE_H_

// Requests that wait for tokens of one workspace, the most urgent first and
// among equals the first that came.
//
// The load pattern that this answers: in the first seconds of an outage, and
// near a total's end, tokens come to hand in drops. Small requests of little
// urgency would take each drop, and large urgent ones never find enough.
//
// Only the first of a line can take what comes to hand, so only the first need
// look at each change; the others sleep until it is their turn. With hundreds
// waiting on a small VM, waking all at each change takes its whole processor.

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
  // A place in the line; `order` is given by Join.
  struct Place {
    int64_t urgency = 0;  // 0 is first
    uint64_t order = 0;
    friend auto operator<=>(const Place&, const Place&) = default;
  };

  Place Join(int64_t urgency, int64_t tokens) {
    const Place place{.urgency = urgency, .order = ++orders_};
    waiting_.try_emplace(place, tokens);
    return place;
  }
  // Wakes who is first now.
  void Leave(const Place& place) {
    waiting_.erase(place);
    if (!waiting_.empty())
      waiting_.begin()->second.turn.Notify();
  }

  bool IsFirst(const Place& place) const {
    return !waiting_.empty() && waiting_.begin()->first == place;
  }
  // Blocks the fiber of a place in the line until it is first, or for
  // `timeout`.
  void AwaitTurn(const Place& place, absl::Duration timeout) {
    FiberSignal& turn = waiting_.at(place).turn;
    turn.WaitBeyond(turn.changes(), timeout);
  }

  // Tokens that those before `place` wait for.
  int64_t Before(const Place& place) const {
    int64_t sum = 0;
    for (const auto& [other, waiting] : waiting_) {
      if (!(other < place))
        break;
      sum += waiting.tokens;
    }
    return sum;
  }
  // Whether `available` tokens are enough for a request besides what those wait
  // for who go before it. A place outside the line is a newcomer's, who goes
  // behind all of the same urgency.
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
    FiberSignal turn;  // notified when the place is first
  };

  std::map<Place, Waiting> waiting_;
  uint64_t orders_ = 0;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_WAITING_LINE_H_
