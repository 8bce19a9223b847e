#include <cstdio>
#include <map>
#include <variant>

#include "boost/json/array.hpp"
#include "boost/json/object.hpp"
#include "hawthornhollow/cli/cli.h"
#include "hawthornhollow/cli/commands.h"
#include "hawthornhollow/cli/log_session.h"
#include "hawthornhollow/cli/options.h"
#include "hawthornhollow/cli/output.h"

namespace hawthornhollow {
namespace {

constexpr char kName[] = "bills";

struct BillsOptions {
  LogOptions log;
  std::string member;
  std::string budget;
  std::string caller;
  bool json = false;
};

// An accepted bill.
struct BillRow {
  BillRecord bill;
  std::string member;  // empty if its budget is no longer configured
  int64_t time_ms = 0;
  int64_t charged = 0;
};

const char* OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kUnknown:
      return "unknown";
    case Outcome::kCompleted:
      return "completed";
    case Outcome::kFailed:
      return "failed";
    case Outcome::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

std::string MemberOf(const ConfigFold& config, const std::string& budget) {
  if (config.configuration() == nullptr)
    return "";
  const Budget* found = config.configuration()->FindBudget(budget);
  return found == nullptr ? "" : found->member;
}

bool IsWanted(const BillRow& row, const BillsOptions& options) {
  auto matches = [](const std::string& wanted, const std::string& value) {
    return wanted.empty() || wanted == value;
  };
  return matches(options.member, row.member) &&
         matches(options.budget, row.bill.budget) &&
         matches(options.caller, row.bill.caller);
}

std::vector<BillRow> BillRows(
    const ConfigFold& config,
    const std::vector<StreamView<BudgetFold>>& ledgers,
    const BillsOptions& options) {
  std::vector<BillRow> rows;
  for (const StreamView<BudgetFold>& ledger : ledgers) {
    for (const Verdict& verdict : ledger.verdicts) {
      const auto* bill = std::get_if<BillRecord>(&verdict.record.body);
      if (bill == nullptr || verdict.kind != VerdictKind::kAccepted)
        continue;
      BillRow row{*bill, MemberOf(config, bill->budget), verdict.record.time_ms,
                  verdict.amount};
      if (IsWanted(row, options))
        rows.push_back(std::move(row));
    }
  }
  return rows;
}

void PrintBills(const std::vector<BillRow>& rows) {
  Table table({"TIME", "REQUEST", "MEMBER", "BUDGET", "CALLER", "SERVER",
               "PROMPT", "OUTPUT", "CHARGED", "OUTCOME"});
  int64_t total = 0;
  for (const BillRow& row : rows) {
    total += row.charged;
    table.AddRow({FormatTimeMs(row.time_ms), row.bill.request,
                  row.member.empty() ? "-" : row.member, row.bill.budget,
                  row.bill.caller, row.bill.server,
                  std::to_string(row.bill.prompt_tokens),
                  std::to_string(row.bill.output_tokens),
                  std::to_string(row.charged), OutcomeName(row.bill.outcome)});
  }
  table.Print();
  std::printf("total: %zu bills, %lld tokens\n", rows.size(),
              static_cast<long long>(total));
}

void PrintBillsJson(const std::vector<BillRow>& rows) {
  boost::json::array list;
  for (const BillRow& row : rows) {
    list.push_back(
        boost::json::object{{"time_ms", row.time_ms},
                            {"request", row.bill.request},
                            {"member", row.member},
                            {"budget", row.bill.budget},
                            {"caller", row.bill.caller},
                            {"server", row.bill.server},
                            {"witness", row.bill.witness},
                            {"prompt_tokens", row.bill.prompt_tokens},
                            {"output_tokens", row.bill.output_tokens},
                            {"charged_tokens", row.charged},
                            {"outcome", OutcomeName(row.bill.outcome)}});
  }
  PrintJson(list);
}

// Tells which bills the list cannot show one by one.
void NoteDroppedBills(const std::vector<StreamView<BudgetFold>>& ledgers) {
  for (const StreamView<BudgetFold>& ledger : ledgers) {
    if (ledger.restored_offset < 0)
      continue;
    std::fprintf(stderr,
                 "hawthornhollow bills: %s: bills up to offset %lld are no "
                 "longer kept one by one; `budget` shows their sums\n",
                 ledger.stream.c_str(),
                 static_cast<long long>(ledger.restored_offset));
  }
}

int ListBills(LogSession& session, const BillsOptions& options) {
  auto config = session.ReadConfig();
  if (!config.ok())
    return Fail(kName, config.status());
  auto ledgers = session.ReadLedgers();
  if (!ledgers.ok())
    return Fail(kName, ledgers.status());
  NoteDroppedBills(*ledgers);
  std::vector<BillRow> rows = BillRows(config->fold, *ledgers, options);
  if (options.json)
    PrintBillsJson(rows);
  else
    PrintBills(rows);
  return kExitOk;
}

}  // namespace

int RunBillsCommand(const Arguments& arguments) {
  BillsOptions bills;
  OptionParser options(
      {.name = kName,
       .description =
           "Lists the bills that the log still keeps, each request once, and "
           "their total.\n",
       .example =
           "  $ hawthornhollow bills --member hofmann --log 127.0.0.1:7001\n"
           "  TIME                  REQUEST  MEMBER   BUDGET ... CHARGED  "
           "OUTCOME\n"
           "  2026-05-04T10:20:30Z  7be1...  hofmann  rolls  ...     312  "
           "completed\n"
           "  total: 1 bills, 312 tokens\n"});
  options.AddText("member", "NAME", "only this member's", &bills.member);
  options.AddText("budget", "NAME", "only this budget's", &bills.budget);
  options.AddText("caller", "NAME", "only this caller's", &bills.caller);
  options.AddFlag("json", "print JSON", &bills.json);
  AddLogOptions(options, &bills.log);
  if (std::optional<int> exit = options.Parse(arguments))
    return *exit;
  return WithLog(kName, bills.log, [&](LogSession& session) {
    return ListBills(session, bills);
  });
}

}  // namespace hawthornhollow
