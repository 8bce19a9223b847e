// The fold of a "ledger-K" stream.
//
// Why spending never exceeds the vote
//   For each budget, held = sum over open accounts of granted - returned -
//   billed. Tokens enter an account only through a GrantRequest, and only as
//   many as are free = voted - spent - held. They leave it by a return (back to
//   free), a bill (to spent) or the closing of the account (to one of the two).
//   A bill is clamped to what its account holds. Every step therefore keeps
//   spent + held unchanged or lowers it, but for a grant, which raises it to
//   voted at most. Only a voted cut can make free negative; then no grant is
//   admitted until returns, bills below their reservation and closings have
//   made room again.
//
// Why each request is billed once
//   The first bill of a request key in the stream counts, whoever witnessed it
//   and on whichever account; later ones are void. A bill of a closed account
//   is void too: closing either charged the whole remainder, with this request
//   in it, or followed the seals of every gate, each of which wrote its bills
//   first.
//
// Why a claimed request runs once
//   A claim is void while another claim or a bill of its key stands. Only the
//   claiming incarnation releases it, before the bill, and only when the
//   dispatch certainly never reached the backend server. Claims of a closed
//   incarnation are void: its dispatch would be refused by every gate, and the
//   key would stay taken for nothing.
//
// Bounds
//   Bills of unclaimed requests: kMaxRequests; claims, with their bills:
//   kMaxClaims; closed incarnations: kMaxClosed; writers: see WriterSequences.
//   The oldest goes first. Limit: after its key was dropped, a second bill of
//   the request that arrives while its account is open is charged again, and a
//   second claim is accepted. For this a witness has to be cut off from the log
//   and from the other witness while kMaxRequests other requests are billed in
//   the shard, and to come back before its account is closed.
//   A closed account is erased from its budget; BudgetState::spent keeps its
//   bills.

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "hawthornhollow/ledger/apply.h"
#include "hawthornhollow/ledger/ledger.h"

namespace hawthornhollow {
namespace {

constexpr char kUnknownBudget[] = "unknown budget";
constexpr char kAccountClosed[] = "account closed";

bool IsTokenCount(int64_t tokens) {
  return tokens >= 0 && tokens <= BudgetFold::kMaxTokens;
}

}  // namespace

int64_t BudgetFold::BudgetState::held() const {
  int64_t sum = 0;
  for (const auto& [incarnation, account] : accounts)
    sum += account.held();
  return sum;
}

std::vector<Verdict> BudgetFold::Apply(int64_t offset, const Batch& batch) {
  if (offset <= applied_offset_)
    return {};
  applied_offset_ = offset;
  return ApplyBatch(
      offset, batch, &sequences_,
      [this](const RecordBody& body, const RecordPosition& at) {
        return std::visit(
            [this, &at](const auto& record) {
              if constexpr (requires { this->Decide(record, at); })
                return this->Decide(record, at);
              else
                return VoidForStream();
            },
            body);
      });
}

const BudgetFold::BudgetState* BudgetFold::FindBudget(
    std::string_view name) const {
  const auto it = budgets_.find(std::string(name));
  return it == budgets_.end() ? nullptr : &it->second;
}

const BudgetFold::ClaimState* BudgetFold::FindClaim(
    std::string_view request) const {
  const auto it = claims_.find(std::string(request));
  return it == claims_.end() ? nullptr : &it->second;
}

const BudgetFold::BillState* BudgetFold::FindBill(
    std::string_view request) const {
  const auto it = bills_.find(std::string(request));
  return it == bills_.end() ? nullptr : &it->second;
}

bool BudgetFold::IsClosed(std::string_view incarnation) const {
  return closed_.find(incarnation) != closed_.end();
}

// A vote binds by the version of the configuration that holds it, so that
// every router may append it and a late one never undoes a newer.
Ruling BudgetFold::Decide(const BudgetVotedRecord& vote,
                          const RecordPosition& at) {
  if (vote.budget.empty())
    return Void("no budget named");
  if (!IsTokenCount(vote.tokens))
    return Void("tokens out of range");
  const auto it = budgets_.find(vote.budget);
  if (it != budgets_.end() &&
      vote.config_version <= it->second.config_version) {
    return Void(absl::StrCat("configuration version ",
                             it->second.config_version, " is in force"));
  }
  BudgetState& budget = budgets_[vote.budget];
  budget.voted = vote.tokens;
  budget.config_version = vote.config_version;
  if (budget.free() < 0)
    ++budget.shortage_count;
  return Accepted(vote.tokens);
}

std::string BudgetFold::AccountRefusal(const std::string& budget,
                                       const std::string& incarnation) const {
  if (!budgets_.contains(budget))
    return kUnknownBudget;
  if (incarnation.empty())
    return "no incarnation named";
  if (IsClosed(incarnation))
    return kAccountClosed;
  return "";
}

Ruling BudgetFold::Decide(const GrantRequestRecord& request,
                          const RecordPosition& at) {
  std::string refusal = AccountRefusal(request.budget, request.incarnation);
  if (!refusal.empty())
    return Void(std::move(refusal));
  if (request.tokens <= 0 || !IsTokenCount(request.tokens))
    return Void("tokens out of range");
  if (request.minimum > request.tokens)
    return Void("minimum above tokens");
  BudgetState& budget = budgets_[request.budget];
  const int64_t free = budget.free();
  const int64_t amount = std::min(request.tokens, free);
  if (amount < std::max<int64_t>(request.minimum, 1)) {
    ++budget.shortage_count;
    return Void(absl::StrCat("short: ", free, " free"));
  }
  budget.accounts[request.incarnation].granted += amount;
  return Accepted(amount);
}

Ruling BudgetFold::Decide(const GrantReturnRecord& given,
                          const RecordPosition& at) {
  std::string refusal = AccountRefusal(given.budget, given.incarnation);
  if (!refusal.empty())
    return Void(std::move(refusal));
  BudgetState& budget = budgets_[given.budget];
  const auto it = budget.accounts.find(given.incarnation);
  const int64_t held = it == budget.accounts.end() ? 0 : it->second.held();
  if (given.tokens <= 0 || given.tokens > held)
    return Void(absl::StrCat("account holds ", held));
  it->second.returned += given.tokens;
  return Accepted(given.tokens);
}

Ruling BudgetFold::Decide(const ClaimRecord& claim, const RecordPosition& at) {
  if (claim.request.empty())
    return Void("no request named");
  std::string refusal = AccountRefusal(claim.budget, claim.incarnation);
  if (!refusal.empty())
    return Void(std::move(refusal));
  if (const ClaimState* standing = FindClaim(claim.request))
    return Void(absl::StrCat("taken by ", standing->incarnation));
  if (bills_.contains(claim.request))
    return Void("billed already");
  claims_[claim.request] = ClaimState{claim.incarnation, claim.gate_incarnation,
                                      claim.server, at.offset};
  claim_order_[{at.offset, at.place}] = claim.request;
  DropOldestClaims();
  return Accepted();
}

Ruling BudgetFold::Decide(const ClaimReleasedRecord& released,
                          const RecordPosition& at) {
  const ClaimState* claim = FindClaim(released.request);
  if (claim == nullptr)
    return Void("no claim");
  if (claim->incarnation != released.incarnation)
    return Void(absl::StrCat("taken by ", claim->incarnation));
  if (released.claim >= 0 && claim->offset != released.claim)
    return Void("another claim");
  if (bills_.contains(released.request))
    return Void("billed already");
  const int64_t offset = claim->offset;
  auto it = claim_order_.lower_bound({offset, 0});
  while (it->second != released.request)
    ++it;
  claim_order_.erase(it);
  claims_.erase(released.request);
  return Accepted();
}

Ruling BudgetFold::Decide(const BillRecord& bill, const RecordPosition& at) {
  if (bill.request.empty())
    return Void("no request named");
  if (bills_.contains(bill.request))
    return Void("billed already");
  std::string refusal = AccountRefusal(bill.budget, bill.incarnation);
  if (!refusal.empty())
    return Void(std::move(refusal));
  if (!IsTokenCount(bill.charged_tokens))
    return Void("tokens out of range");
  BudgetState& budget = budgets_[bill.budget];
  const auto it = budget.accounts.find(bill.incarnation);
  const int64_t held = it == budget.accounts.end() ? 0 : it->second.held();
  const int64_t charged = std::min(bill.charged_tokens, held);
  if (charged > 0)
    it->second.billed += charged;
  budget.spent += charged;
  ++budget.bills;
  RememberBill(bill, charged, at);
  if (charged < bill.charged_tokens)
    return Accepted(charged, "overrun clamped");
  return Accepted(charged);
}

void BudgetFold::RememberBill(const BillRecord& bill,
                              int64_t charged,
                              const RecordPosition& at) {
  bills_[bill.request] =
      BillState{bill.server, charged, bill.outcome, at.offset};
  if (claims_.contains(bill.request))
    return;
  bill_order_[{at.offset, at.place}] = bill.request;
  DropOldestBills();
}

void BudgetFold::DropOldestBills() {
  while (bill_order_.size() > kMaxRequests) {
    bills_.erase(bill_order_.begin()->second);
    bill_order_.erase(bill_order_.begin());
  }
}

void BudgetFold::DropOldestClaims() {
  while (claim_order_.size() > kMaxClaims) {
    claims_.erase(claim_order_.begin()->second);
    bills_.erase(claim_order_.begin()->second);
    claim_order_.erase(claim_order_.begin());
  }
}

Ruling BudgetFold::Decide(const AccountClosedRecord& closed,
                          const RecordPosition& at) {
  if (closed.incarnation.empty())
    return Void("no incarnation named");
  if (IsClosed(closed.incarnation))
    return Repeat("closed already");
  int64_t remainder = 0;
  for (auto& [name, budget] : budgets_) {
    const auto it = budget.accounts.find(closed.incarnation);
    if (it == budget.accounts.end())
      continue;
    const int64_t held = it->second.held();
    remainder += held;
    if (closed.charge_remainder)
      budget.spent += held;
    budget.accounts.erase(it);
  }
  RememberClosed(closed.incarnation, at.offset);
  return Accepted(remainder);
}

void BudgetFold::RememberClosed(const std::string& incarnation,
                                int64_t offset) {
  closed_[incarnation] = offset;
  closed_order_.emplace(offset, incarnation);
  while (closed_.size() > kMaxClosed) {
    closed_.erase(closed_order_.begin()->second);
    closed_order_.erase(closed_order_.begin());
  }
}

}  // namespace hawthornhollow
