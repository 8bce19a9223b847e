#ifndef HAWTHORNHOLLOW_RELAY_TOKEN_HOLD_H_
#define HAWTHORNHOLLOW_RELAY_TOKEN_HOLD_H_

#include <utility>

#include "hawthornhollow/relay/relay.h"
#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {

template <SharedStore Store>
class TotalsController;

// The tokens that a request holds or has committed.
class TokenHold {
 public:
  explicit TokenHold(Reservation reservation)
      : reservation_(std::move(reservation)) {}
  TokenHold(const TokenHold&) = delete;
  TokenHold& operator=(const TokenHold&) = delete;

  const Reservation& reservation() const { return reservation_; }
  bool is_committed() const { return state_ == State::kCommitted; }

 private:
  template <SharedStore Store>
  friend class TotalsController;
  enum class State {
    kHeld,
    kCommitting,  // waits for a level record that has room for it
    kCommitted,
    kEnded,
  };

  const Reservation reservation_;
  State state_ = State::kHeld;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_TOKEN_HOLD_H_
