#ifndef HAWTHORNHOLLOW_TOTALS_TRANSFER_JOURNAL_H_
#define HAWTHORNHOLLOW_TOTALS_TRANSFER_JOURNAL_H_

// What a holder gave by which question, so that a transfer is idempotent.
//
// Assumed load: routers whose links are full for seconds. They ask for what all
// their waiting requests need, up to several per cent of a total at once, and
// give up before the answer arrives. The tokens of such an answer are committed
// at the holder and at nobody's disposal.
//
// A router numbers its questions. It tells the same holder later which of them
// it got no answer to, and takes none any more; the holder then takes the
// tokens back, and gives none by these numbers, however late the questions
// arrive. A question that arrives twice gets the same answer.
//
//   for (const TransferGrant& lost : journal.TakeUnanswered(question))
//     book.ReceiveTransfer(lost.workspace, lost.tokens);
//   if (auto known = journal.KnownAnswer(question))
//     return *known;
//   journal.OnGiven(question, given);
//
// A holder that restarts forgets its grants, and an asker that restarts forgets
// its questions: what was on the way then stays lost.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "hawthornhollow/totals/transfer_question.h"

namespace hawthornhollow {

struct TransferGrant {
  std::string workspace;
  int64_t tokens = 0;
  friend auto operator<=>(const TransferGrant&, const TransferGrant&) = default;
};

class TransferJournal {
 public:
  // Bound memory; the oldest are forgotten first.
  static constexpr size_t kMaxAskers = 4096;
  static constexpr size_t kMaxGrants = 256;  // of each asker

  // Returns the grants that did not reach the asker. Nothing is given by their
  // numbers from now on.
  std::vector<TransferGrant> TakeUnanswered(const TransferQuestion& question);
  // The tokens to answer with: as before if the question was answered, or none
  // if its asker has given up. Unset if it is new.
  std::optional<int64_t> KnownAnswer(const TransferQuestion& question) const;
  void OnGiven(const TransferQuestion& question, int64_t tokens);

 private:
  // One incarnation of a router that asks.
  struct Asker {
    uint64_t incarnation = 0;
    std::map<int64_t, TransferGrant> grants;  // keyed by number
    std::set<int64_t> given_up;
    int64_t given_up_to = 0;  // all numbers up to this one
  };
  Asker& AskerOf(const TransferQuestion& question);

  std::map<std::string, Asker> askers_;  // keyed by router
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_TOTALS_TRANSFER_JOURNAL_H_
