#ifndef TESTING_LEDGER_AUDIT_H_
#define TESTING_LEDGER_AUDIT_H_

// Folds a ledger stream from its beginning, straight from the log, and checks
// every state on the way.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "hawthornhollow/ledger/ledger.h"
#include "hawthornhollow/runtime/runtime.h"
#include "testing/fleet_load.h"

namespace hawthornhollow {

class LedgerAudit {
 public:
  explicit LedgerAudit(const Endpoint& log, std::string budget = "permits")
      : log_(log), budget_(std::move(budget)) {}

  // Reads on to the stream's end. OUT_OF_RANGE if retention has passed what is
  // still unread.
  absl::Status Read();

  // Tokens by which `spent` rose above `voted`, summed over states.
  int64_t overspend() const { return overspend_; }
  // Grants accepted that left spent + held above voted.
  int64_t excess_grants() const { return excess_grants_; }
  int64_t highest_vote() const { return highest_vote_; }
  int64_t accounts_closed() const { return accounts_closed_; }
  int64_t remainders_charged() const { return remainders_charged_; }
  BudgetFold::BudgetState budget() const;
  // The charges of each accepted bill, by request.
  const std::map<std::string, std::vector<int64_t>>& bills() const {
    return bills_;
  }
  // Waits until every whole answer has a bill and returns the requests that
  // do not have exactly one, or not one of their usage.
  std::vector<std::string> WrongBills(const std::vector<Answer>& answers,
                                      absl::Duration timeout);
  // Waits until nothing but `held` tokens or fewer are held.
  bool WaitHeldAtMost(int64_t held, absl::Duration timeout);

 private:
  void Apply(int64_t offset, const std::string& bytes);
  void Check(const Verdict& verdict);
  std::vector<std::string> FindWrongBills(
      const std::vector<Answer>& answers) const;

  const Endpoint log_;
  const std::string budget_;
  BudgetFold fold_;
  int64_t last_spent_ = 0;
  int64_t overspend_ = 0;
  int64_t excess_grants_ = 0;
  int64_t highest_vote_ = 0;
  int64_t accounts_closed_ = 0;
  int64_t remainders_charged_ = 0;
  std::map<std::string, std::vector<int64_t>> bills_;
};

}  // namespace hawthornhollow

#endif  // TESTING_LEDGER_AUDIT_H_
