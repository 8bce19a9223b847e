#include <algorithm>
#include <cstdio>

#include "boost/json/array.hpp"
#include "boost/json/object.hpp"
#include "hawthornhollow/cli/budget_table.h"
#include "hawthornhollow/cli/cli.h"
#include "hawthornhollow/cli/commands.h"
#include "hawthornhollow/cli/log_session.h"
#include "hawthornhollow/cli/options.h"
#include "hawthornhollow/cli/output.h"

namespace hawthornhollow {
namespace {

constexpr char kName[] = "budget";

const BudgetFold::BudgetState* FindState(
    const std::vector<StreamView<BudgetFold>>& ledgers,
    const std::string& name) {
  for (const StreamView<BudgetFold>& ledger : ledgers) {
    const BudgetFold::BudgetState* state = ledger.fold.FindBudget(name);
    if (state != nullptr)
      return state;
  }
  return nullptr;
}

// The accounts of one budget, a row for each router incarnation.
void PrintAccounts(const BudgetFold::BudgetState& state) {
  Table table({"ROUTER INCARNATION", "GRANTED", "RETURNED", "BILLED", "HELD"});
  for (const auto& [incarnation, account] : state.accounts) {
    table.AddRow({incarnation, std::to_string(account.granted),
                  std::to_string(account.returned),
                  std::to_string(account.billed),
                  std::to_string(account.held())});
  }
  std::printf("\n");
  table.Print();
}

boost::json::array AccountsJson(const BudgetFold::BudgetState& state) {
  boost::json::array list;
  for (const auto& [incarnation, account] : state.accounts) {
    list.push_back(boost::json::object{{"incarnation", incarnation},
                                       {"granted", account.granted},
                                       {"returned", account.returned},
                                       {"billed", account.billed},
                                       {"held", account.held()}});
  }
  return list;
}

int PrintOne(const std::vector<BudgetRow>& rows,
             const BudgetFold::BudgetState* state,
             bool json) {
  if (json) {
    boost::json::object object = BudgetsJson(rows)[0].as_object();
    object["accounts"] =
        state == nullptr ? boost::json::array() : AccountsJson(*state);
    PrintJson(object);
    return kExitOk;
  }
  PrintBudgets(rows);
  if (state != nullptr && !state->accounts.empty())
    PrintAccounts(*state);
  return kExitOk;
}

int ShowBudgets(LogSession& session, const std::string& name, bool json) {
  auto config = session.ReadConfig();
  if (!config.ok())
    return Fail(kName, config.status());
  auto ledgers = session.ReadLedgers();
  if (!ledgers.ok())
    return Fail(kName, ledgers.status());
  std::vector<BudgetRow> rows = BudgetRows(config->fold, *ledgers);
  if (name.empty()) {
    if (json)
      PrintJson(BudgetsJson(rows));
    else
      PrintBudgets(rows);
    return kExitOk;
  }
  std::erase_if(rows, [&](const BudgetRow& row) { return row.name != name; });
  if (rows.empty()) {
    PrintError(kName, "no budget is named \"" + name + "\"");
    return kExitUnknown;
  }
  return PrintOne(rows, FindState(*ledgers, name), json);
}

}  // namespace

int RunBudgetCommand(const Arguments& arguments) {
  LogOptions log;
  bool json = false;
  OptionParser options(
      {.name = kName,
       .arguments = "[NAME]",
       .description =
           "Shows every budget, or one with the routers that hold parts of "
           "it.\n  CONFIGURED  the tokens of the configuration in force\n"
           "  VOTED       the tokens that the ledger has taken over from it\n"
           "  SPENT       billed\n"
           "  HELD        granted to routers for requests to come\n"
           "  FREE        VOTED less SPENT and HELD; below 0 after a voted "
           "cut\n",
       .example =
           "  $ hawthornhollow budget permits --log 127.0.0.1:7001\n"
           "  BUDGET   MEMBER         CONFIGURED   VOTED  SPENT  HELD    FREE  "
           "BILLS\n"
           "  permits  lantern-works      500000  500000   1200  4000  494800 "
           "     3\n",
       .max_positionals = 1});
  options.AddFlag("json", "print JSON", &json);
  AddLogOptions(options, &log);
  if (std::optional<int> exit = options.Parse(arguments))
    return *exit;
  std::string name =
      options.positionals().empty() ? "" : options.positionals()[0];
  return WithLog(kName, log, [&](LogSession& session) {
    return ShowBudgets(session, name, json);
  });
}

}  // namespace hawthornhollow
