#ifndef HAWTHORNHOLLOW_TOTALS_TRANSFER_QUESTION_H_
#define HAWTHORNHOLLOW_TOTALS_TRANSFER_QUESTION_H_

// What routers ask one another for, and answer, about tokens of a total; see
// TotalsBook::TransferOut in totals.h.

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace hawthornhollow {

// A transfer of tokens that a router asks another one for.
struct TransferQuestion {
  std::string router;  // that asks
  std::string workspace;
  int64_t needed = 0;   // nothing is transferred if fewer are available
  int64_t waiting = 0;  // needed by all requests that wait
  int64_t wanted = 0;   // at most this is transferred
  int64_t demand = 0;   // tokens per second that its requests need of late
  // Of the asking process; and of the question, from 1 on among all of it. 0:
  // the asker does not number its questions.
  uint64_t incarnation = 0;
  int64_t number = 0;
  // Earlier questions to the same router that were not answered in time: their
  // tokens are not taken any more.
  std::vector<int64_t> unanswered;
  friend auto operator<=>(const TransferQuestion&,
                          const TransferQuestion&) = default;
};

// A router's answer to another one that asked for tokens.
struct TransferAnswer {
  int64_t tokens = 0;  // transferred
  int64_t left = 0;    // of the total, as far as the asked router knows
  int64_t used = 0;    // by ended requests of all routers, at least
  int64_t loan = 0;    // the most that the asker may keep ahead of demand
  friend auto operator<=>(const TransferAnswer&,
                          const TransferAnswer&) = default;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_TOTALS_TRANSFER_QUESTION_H_
