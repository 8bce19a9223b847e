// The state machine of a "ledger-K" stream: the budgets of one shard.
//
// An account is what one router incarnation holds of one budget. A budget's
// total is the number of tokens that was voted for it (BudgetState::voted). A
// gate is the proxy in front of one backend server; it seals a router
// incarnation when it fences it off, refusing all its requests from then on.
// The witness of a bill is the router or gate process that reported it.
//
// Why spending never exceeds the voted total
//   For each budget, held = sum over open accounts of granted - returned -
//   billed. Tokens enter an account only through a GrantRequest, and only as
//   many as are free = voted - spent - held. They leave it by a return (then
//   they are free again), by a bill (then they are spent) or when the account
//   is closed (either of the two). A bill is limited to what its account holds.
//   So every record leaves spent + held unchanged or lowers it, except for a
//   grant, which raises the sum to voted at most. Only a vote that lowers the
//   total can make free negative. No grant is made then until returns, bills
//   below their reservation and closed accounts have freed enough tokens.
//
// Why each request is billed at most once
//   The first bill of a request key in the stream counts, whichever process
//   reported it and whichever account it charges; later ones are rejected. A
//   bill of a closed account is rejected too: either the account was closed
//   with all its remaining tokens charged, which covers this request, or it was
//   closed after every gate had sealed the router, and each gate wrote its
//   bills before its seal.
//
// Why a claimed request runs at most once
//   A claim is rejected while there is another claim or a bill of its request
//   key. Only the claiming incarnation can release the claim, only before the
//   bill, and it does so only if the request certainly never reached the
//   backend server. Claims of a closed incarnation are rejected: every gate
//   would refuse the request, and the key would stay claimed to no purpose.
//
// Limits
//   At most kMaxRequests bills of unclaimed requests, kMaxClaims claims with
//   their bills, kMaxClosed closed incarnations, and the writers that
//   WriterSequences keeps. The oldest are removed first. After the key of a
//   request was removed, a second bill of that request is charged again while
//   its account is open, and a second claim is accepted. This can only happen
//   if a process that reports the bill is disconnected from the log and from
//   the other process that can report it while kMaxRequests other requests are
//   billed in the shard, and reconnects before the account is closed.
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
      [this](const RecordBody& body, const RecordPosition& position) {
        return std::visit(
            [this, &position](const auto& record) {
              if constexpr (requires { this->Decide(record, position); })
                return this->Decide(record, position);
              else
                return RejectedForStream();
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

// Votes are ordered by the version of the configuration that contains them. So
// every router may append a vote, and one that arrives late can't replace a
// newer one.
RecordDecision BudgetFold::Decide(const BudgetVotedRecord& vote,
                                  const RecordPosition& position) {
  if (vote.budget.empty())
    return Rejected("no budget named");
  if (!IsTokenCount(vote.tokens))
    return Rejected("tokens out of range");
  const auto it = budgets_.find(vote.budget);
  if (it != budgets_.end() &&
      vote.config_version <= it->second.config_version) {
    return Rejected(absl::StrCat("configuration version ",
                                 it->second.config_version, " is in force"));
  }
  BudgetState& budget = budgets_[vote.budget];
  budget.voted = vote.tokens;
  budget.config_version = vote.config_version;
  if (budget.free() < 0)
    ++budget.shortage_count;
  return Accepted(vote.tokens);
}

std::string BudgetFold::AccountRejectionReason(
    const std::string& budget,
    const std::string& incarnation) const {
  if (!budgets_.contains(budget))
    return kUnknownBudget;
  if (incarnation.empty())
    return "no incarnation named";
  if (IsClosed(incarnation))
    return kAccountClosed;
  return "";
}

RecordDecision BudgetFold::Decide(const GrantRequestRecord& request,
                                  const RecordPosition& position) {
  std::string rejection_reason =
      AccountRejectionReason(request.budget, request.incarnation);
  if (!rejection_reason.empty())
    return Rejected(std::move(rejection_reason));
  if (request.tokens <= 0 || !IsTokenCount(request.tokens))
    return Rejected("tokens out of range");
  if (request.minimum > request.tokens)
    return Rejected("minimum above tokens");
  BudgetState& budget = budgets_[request.budget];
  const int64_t free = budget.free();
  const int64_t amount = std::min(request.tokens, free);
  if (amount < std::max<int64_t>(request.minimum, 1)) {
    ++budget.shortage_count;
    return Rejected(absl::StrCat("short: ", free, " free"));
  }
  budget.accounts[request.incarnation].granted += amount;
  return Accepted(amount);
}

RecordDecision BudgetFold::Decide(const GrantReturnRecord& grant_return,
                                  const RecordPosition& position) {
  std::string rejection_reason =
      AccountRejectionReason(grant_return.budget, grant_return.incarnation);
  if (!rejection_reason.empty())
    return Rejected(std::move(rejection_reason));
  BudgetState& budget = budgets_[grant_return.budget];
  const auto it = budget.accounts.find(grant_return.incarnation);
  const int64_t held = it == budget.accounts.end() ? 0 : it->second.held();
  if (grant_return.tokens <= 0 || grant_return.tokens > held)
    return Rejected(absl::StrCat("account holds ", held));
  it->second.returned += grant_return.tokens;
  return Accepted(grant_return.tokens);
}

RecordDecision BudgetFold::Decide(const ClaimRecord& claim,
                                  const RecordPosition& position) {
  if (claim.request.empty())
    return Rejected("no request named");
  std::string rejection_reason =
      AccountRejectionReason(claim.budget, claim.incarnation);
  if (!rejection_reason.empty())
    return Rejected(std::move(rejection_reason));
  if (const ClaimState* existing_claim = FindClaim(claim.request))
    return Rejected(absl::StrCat("taken by ", existing_claim->incarnation));
  if (bills_.contains(claim.request))
    return Rejected("billed already");
  claims_[claim.request] = ClaimState{claim.incarnation, claim.gate_incarnation,
                                      claim.server, position.offset};
  claim_order_[{position.offset, position.index_in_batch}] = claim.request;
  RemoveOldestClaims();
  return Accepted();
}

RecordDecision BudgetFold::Decide(const ClaimReleasedRecord& released,
                                  const RecordPosition& position) {
  const ClaimState* claim = FindClaim(released.request);
  if (claim == nullptr)
    return Rejected("no claim");
  if (claim->incarnation != released.incarnation)
    return Rejected(absl::StrCat("taken by ", claim->incarnation));
  if (released.claim >= 0 && claim->offset != released.claim)
    return Rejected("another claim");
  if (bills_.contains(released.request))
    return Rejected("billed already");
  const int64_t offset = claim->offset;
  auto it = claim_order_.lower_bound({offset, 0});
  while (it->second != released.request)
    ++it;
  claim_order_.erase(it);
  claims_.erase(released.request);
  return Accepted();
}

RecordDecision BudgetFold::Decide(const BillRecord& bill,
                                  const RecordPosition& position) {
  if (bill.request.empty())
    return Rejected("no request named");
  if (bills_.contains(bill.request))
    return Rejected("billed already");
  std::string rejection_reason =
      AccountRejectionReason(bill.budget, bill.incarnation);
  if (!rejection_reason.empty())
    return Rejected(std::move(rejection_reason));
  if (!IsTokenCount(bill.charged_tokens))
    return Rejected("tokens out of range");
  BudgetState& budget = budgets_[bill.budget];
  const auto it = budget.accounts.find(bill.incarnation);
  const int64_t held = it == budget.accounts.end() ? 0 : it->second.held();
  const int64_t charged = std::min(bill.charged_tokens, held);
  if (charged > 0)
    it->second.billed += charged;
  budget.spent += charged;
  ++budget.bills;
  RememberBill(bill, charged, position);
  if (charged < bill.charged_tokens)
    return Accepted(charged, "overrun clamped");
  return Accepted(charged);
}

void BudgetFold::RememberBill(const BillRecord& bill,
                              int64_t charged,
                              const RecordPosition& position) {
  bills_[bill.request] =
      BillState{bill.server, charged, bill.outcome, position.offset};
  if (claims_.contains(bill.request))
    return;
  bill_order_[{position.offset, position.index_in_batch}] = bill.request;
  RemoveOldestBills();
}

void BudgetFold::RemoveOldestBills() {
  while (bill_order_.size() > kMaxRequests) {
    bills_.erase(bill_order_.begin()->second);
    bill_order_.erase(bill_order_.begin());
  }
}

void BudgetFold::RemoveOldestClaims() {
  while (claim_order_.size() > kMaxClaims) {
    claims_.erase(claim_order_.begin()->second);
    bills_.erase(claim_order_.begin()->second);
    claim_order_.erase(claim_order_.begin());
  }
}

RecordDecision BudgetFold::Decide(const AccountClosedRecord& closed,
                                  const RecordPosition& position) {
  if (closed.incarnation.empty())
    return Rejected("no incarnation named");
  if (IsClosed(closed.incarnation))
    return Duplicate("closed already");
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
  RememberClosed(closed.incarnation, position.offset);
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
