#ifndef HAWTHORNHOLLOW_CLI_BUDGET_TABLE_H_
#define HAWTHORNHOLLOW_CLI_BUDGET_TABLE_H_

// Budgets as configured and as the ledgers hold them, for `budget` and
// `status`. Internal to the cli library.

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "boost/json/array.hpp"
#include "hawthornhollow/cli/log_session.h"
#include "hawthornhollow/ledger/ledger.h"

namespace hawthornhollow {

// One budget. `configured` differs from `voted` until a router has written the
// vote to the ledger.
struct BudgetRow {
  std::string name;
  std::string member;  // empty if no longer configured
  int64_t configured = 0;
  int64_t voted = 0;
  int64_t spent = 0;
  int64_t held = 0;  // granted to routers and not spent
  int64_t free = 0;
  int64_t bills = 0;
  friend auto operator<=>(const BudgetRow&, const BudgetRow&) = default;
};

// Every budget that is configured or in a ledger, by name.
std::vector<BudgetRow> BudgetRows(
    const ConfigFold& config,
    const std::vector<StreamView<BudgetFold>>& ledgers);

void PrintBudgets(const std::vector<BudgetRow>& rows);
boost::json::array BudgetsJson(const std::vector<BudgetRow>& rows);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_CLI_BUDGET_TABLE_H_
