#include "hawthornhollow/cli/budget_table.h"

#include <map>

#include "boost/json/object.hpp"
#include "hawthornhollow/cli/output.h"

namespace hawthornhollow {

std::vector<BudgetRow> BudgetRows(
    const ConfigFold& config,
    const std::vector<StreamView<BudgetFold>>& ledgers) {
  std::map<std::string, BudgetRow> rows;
  if (config.configuration() != nullptr) {
    for (const Budget& budget : config.configuration()->budgets()) {
      BudgetRow& row = rows[budget.name];
      row.member = budget.member;
      row.configured = budget.tokens;
    }
  }
  for (const StreamView<BudgetFold>& ledger : ledgers) {
    for (const auto& [name, state] : ledger.fold.budgets()) {
      BudgetRow& row = rows[name];
      row.voted = state.voted;
      row.spent = state.spent;
      row.held = state.held();
      row.free = state.free();
      row.bills = state.bills;
    }
  }
  std::vector<BudgetRow> sorted;
  for (auto& [name, row] : rows) {
    row.name = name;
    sorted.push_back(row);
  }
  return sorted;
}

void PrintBudgets(const std::vector<BudgetRow>& rows) {
  Table table({"BUDGET", "MEMBER", "CONFIGURED", "VOTED", "SPENT", "HELD",
               "FREE", "BILLS"});
  for (const BudgetRow& row : rows) {
    table.AddRow({row.name, row.member.empty() ? "-" : row.member,
                  std::to_string(row.configured), std::to_string(row.voted),
                  std::to_string(row.spent), std::to_string(row.held),
                  std::to_string(row.free), std::to_string(row.bills)});
  }
  table.Print();
}

boost::json::array BudgetsJson(const std::vector<BudgetRow>& rows) {
  boost::json::array list;
  for (const BudgetRow& row : rows) {
    list.push_back(boost::json::object{{"budget", row.name},
                                       {"member", row.member},
                                       {"configured", row.configured},
                                       {"voted", row.voted},
                                       {"spent", row.spent},
                                       {"held", row.held},
                                       {"free", row.free},
                                       {"bills", row.bills}});
  }
  return list;
}

}  // namespace hawthornhollow
