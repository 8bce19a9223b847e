// Checkpoints of BudgetFold. Bills are by far the most numerous rows, so their
// fixed-size fields are stored as structs and each server's name only once.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "hawthornhollow/ledger/ledger.h"
#include "hawthornhollow/ledger/state.h"

namespace hawthornhollow {
namespace {

std::unique_ptr<fb::BudgetRowT> PackBudget(
    const std::string& name,
    const BudgetFold::BudgetState& budget) {
  auto row = std::make_unique<fb::BudgetRowT>();
  row->name = name;
  row->voted = budget.voted;
  row->config_version = budget.config_version;
  row->spent = budget.spent;
  row->bills = budget.bills;
  row->shortage_count = budget.shortage_count;
  for (const auto& [incarnation, account] : budget.accounts) {
    auto cell = std::make_unique<fb::AccountRowT>();
    cell->incarnation = incarnation;
    cell->granted = account.granted;
    cell->returned = account.returned;
    cell->billed = account.billed;
    row->accounts.push_back(std::move(cell));
  }
  return row;
}

BudgetFold::BudgetState UnpackBudget(const fb::BudgetRowT& row) {
  BudgetFold::BudgetState budget;
  budget.voted = row.voted;
  budget.config_version = row.config_version;
  budget.spent = row.spent;
  budget.bills = row.bills;
  budget.shortage_count = row.shortage_count;
  for (const auto& cell : row.accounts) {
    budget.accounts[cell->incarnation] =
        BudgetFold::Account{cell->granted, cell->returned, cell->billed};
  }
  return budget;
}

// Writes bills with indices in place of the servers' names. The names are
// listed once, in the order in which they first appear.
class BillPacker {
 public:
  explicit BillPacker(fb::BudgetFoldStateT* state) : state_(state) {}

  void Add(const std::string& request,
           const BudgetFold::BillState& bill,
           int64_t place) {
    state_->bill_requests.push_back(request);
    state_->bill_cells.emplace_back(
        bill.charged_tokens, bill.offset, static_cast<int32_t>(place),
        IndexOf(bill.server), static_cast<int8_t>(bill.outcome));
  }

 private:
  uint32_t IndexOf(const std::string& server) {
    const auto next = static_cast<uint32_t>(state_->bill_servers.size());
    const auto [it, inserted] = index_.try_emplace(server, next);
    if (inserted)
      state_->bill_servers.push_back(server);
    return it->second;
  }

  fb::BudgetFoldStateT* state_;
  std::map<std::string, uint32_t> index_;
};

std::unique_ptr<fb::ClaimRowT> PackClaim(const std::string& request,
                                         const BudgetFold::ClaimState& claim,
                                         int64_t place) {
  auto row = std::make_unique<fb::ClaimRowT>();
  row->request = request;
  row->incarnation = claim.incarnation;
  row->gate_incarnation = claim.gate_incarnation;
  row->server = claim.server;
  row->offset = claim.offset;
  row->place = place;
  return row;
}

// Whether every bill has a request key and a server in the lists of `state`.
bool HasConsistentBills(const fb::BudgetFoldStateT& state) {
  if (state.bill_cells.size() != state.bill_requests.size())
    return false;
  for (const fb::BillCells& cells : state.bill_cells) {
    if (cells.server() >= state.bill_servers.size())
      return false;
  }
  return true;
}

absl::Status Inconsistent() {
  return ErrorAt(absl::StatusCode::kDataLoss, "ledger.restore", "",
                 "bills and claims of the checkpoint do not match");
}

}  // namespace

std::string BudgetFold::Serialize() const {
  fb::BudgetFoldStateT state;
  state.applied_offset = applied_offset_;
  for (const auto& [name, budget] : budgets_)
    state.budgets.push_back(PackBudget(name, budget));
  BillPacker packer(&state);
  for (const auto& [position, request] : bill_order_)
    packer.Add(request, bills_.at(request), position.second);
  for (const auto& [position, request] : claim_order_) {
    state.claims.push_back(
        PackClaim(request, claims_.at(request), position.second));
    const auto bill = bills_.find(request);
    if (bill != bills_.end())
      packer.Add(request, bill->second, 0);
  }
  for (const auto& [incarnation, offset] : closed_) {
    auto row = std::make_unique<fb::ClosedRowT>();
    row->incarnation = incarnation;
    row->offset = offset;
    state.closed.push_back(std::move(row));
  }
  state.writers = PackWriters(sequences_);
  return PackState(state);
}

absl::StatusOr<BudgetFold> BudgetFold::Restore(std::string_view bytes) {
  auto state = UnpackState<fb::BudgetFoldStateT>(bytes);
  if (!state.ok())
    return state.status();
  const fb::BudgetFoldStateT& from = **state;
  if (!HasConsistentBills(from))
    return Inconsistent();
  BudgetFold fold;
  fold.applied_offset_ = from.applied_offset;
  for (const auto& row : from.budgets)
    fold.budgets_[row->name] = UnpackBudget(*row);
  for (const auto& row : from.claims) {
    fold.claims_[row->request] = ClaimState{
        row->incarnation, row->gate_incarnation, row->server, row->offset};
    fold.claim_order_[{row->offset, row->place}] = row->request;
  }
  size_t claimed_bills = 0;
  for (size_t i = 0; i < from.bill_cells.size(); ++i) {
    const fb::BillCells& cells = from.bill_cells[i];
    const std::string& request = from.bill_requests[i];
    fold.bills_[request] =
        BillState{from.bill_servers[cells.server()], cells.charged_tokens(),
                  static_cast<Outcome>(cells.outcome()), cells.offset()};
    const bool claimed = fold.claims_.contains(request);
    claimed_bills += claimed ? 1 : 0;
    if (!claimed)
      fold.bill_order_[{cells.offset(), cells.place()}] = request;
  }
  const bool is_consistent =
      fold.claims_.size() == from.claims.size() &&
      fold.claim_order_.size() == from.claims.size() &&
      fold.bills_.size() == from.bill_requests.size() &&
      fold.bill_order_.size() + claimed_bills == from.bill_requests.size();
  if (!is_consistent)
    return Inconsistent();
  for (const auto& row : from.closed)
    fold.RememberClosed(row->incarnation, row->offset);
  fold.sequences_ = UnpackWriters(from.writers);
  return fold;
}

}  // namespace hawthornhollow
