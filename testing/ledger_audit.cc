#include "testing/ledger_audit.h"

#include <algorithm>
#include <boost/json.hpp>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "hawthornhollow/base/base.h"
#include "testing/processes.h"

namespace hawthornhollow {
namespace {

namespace json = boost::json;

constexpr char kStream[] = "ledger-0";
constexpr absl::Duration kReadTimeout = absl::Seconds(5);
constexpr absl::Duration kPoll = absl::Milliseconds(100);

}  // namespace

BudgetFold::BudgetState LedgerAudit::budget() const {
  const auto* state = fold_.FindBudget(budget_);
  return state ? *state : BudgetFold::BudgetState();
}

absl::Status LedgerAudit::Read() {
  while (true) {
    int64_t from = fold_.applied_offset() + 1;
    auto response =
        PlainHttp(log_,
                  {.target = absl::StrCat("/streams/", kStream, "?from=", from,
                                          "&max=1000")},
                  kReadTimeout);
    if (!response.ok())
      return response.status();
    boost::system::error_code error;
    json::value page = json::parse(response->body, error);
    if (error || response->status != 200)
      return ErrorAt(absl::StatusCode::kUnavailable, "audit.read",
                     log_.ToString(), response->body);
    if (page.at("oldest").as_int64() > from)
      return ErrorAt(absl::StatusCode::kOutOfRange, "audit.read",
                     log_.ToString(), "entries are missing");
    const json::array& entries = page.at("entries").as_array();
    for (const json::value& entry : entries) {
      std::string bytes;
      absl::Base64Unescape(std::string(entry.at("data").as_string()), &bytes);
      Apply(entry.at("offset").as_int64(), bytes);
    }
    if (entries.empty())
      return absl::OkStatus();
  }
}

void LedgerAudit::Apply(int64_t offset, const std::string& bytes) {
  auto batch = DecodeBatch(bytes);
  for (const Verdict& verdict : fold_.Apply(offset, batch.value_or(Batch())))
    Check(verdict);
  BudgetFold::BudgetState state = budget();
  // After a cut, what was spent before may stand above the vote, but not rise.
  int64_t bound = std::max(state.voted, last_spent_);
  overspend_ += std::max<int64_t>(state.spent - bound, 0);
  last_spent_ = state.spent;
}

void LedgerAudit::Check(const Verdict& verdict) {
  if (verdict.kind != VerdictKind::kAccepted)
    return;
  if (const auto* bill = std::get_if<BillRecord>(&verdict.record.body))
    bills_[bill->request].push_back(verdict.amount);
  if (std::holds_alternative<BudgetVotedRecord>(verdict.record.body))
    highest_vote_ = std::max(highest_vote_, verdict.amount);
  const auto* closed = std::get_if<AccountClosedRecord>(&verdict.record.body);
  if (closed) {
    ++accounts_closed_;
    remainders_charged_ += closed->charge_remainder ? verdict.amount : 0;
  }
  if (std::holds_alternative<GrantRequestRecord>(verdict.record.body) &&
      budget().free() < 0)
    ++excess_grants_;
}

std::vector<std::string> LedgerAudit::FindWrongBills(
    const std::vector<Answer>& answers) const {
  std::vector<std::string> wrong;
  for (const Answer& answer : answers) {
    if (!answer.whole())
      continue;
    auto found = bills_.find(answer.request);
    size_t count = found == bills_.end() ? 0 : found->second.size();
    if (count != 1 || found->second.front() != answer.tokens)
      wrong.push_back(absl::StrCat(answer.request, ": ", count, " bills"));
  }
  return wrong;
}

std::vector<std::string> LedgerAudit::WrongBills(
    const std::vector<Answer>& answers,
    absl::Duration timeout) {
  absl::Time deadline = absl::Now() + timeout;
  while (true) {
    absl::Status read = Read();
    std::vector<std::string> wrong = FindWrongBills(answers);
    if ((read.ok() && wrong.empty()) || absl::Now() > deadline)
      return wrong;
    absl::SleepFor(kPoll);
  }
}

bool LedgerAudit::WaitHeldAtMost(int64_t held, absl::Duration timeout) {
  absl::Time deadline = absl::Now() + timeout;
  while (absl::Now() < deadline) {
    if (Read().ok() && budget().held() <= held)
      return true;
    absl::SleepFor(kPoll);
  }
  return false;
}

}  // namespace hawthornhollow
