// Why a total is never overdrawn.
//
// Let A(r) be the authority of router r's newest record in the store. A record
// that raises A(r) is appended only on the condition that no record came after
// those that its writer had read, and MakeRecord raises A(r) by no more than
// the total less the sum of all A. So the sum of all A never exceeds the total,
// and each router's commitments stay at or below its A.
//
// Two records of one router may matter at a time: the durable one, and one
// whose append was sent and whose outcome is not known. Spending stays within
// both (LimitNow), so it does not matter which of them is in force.
//
// A killed router's record stays. Only its next incarnation on the same VM
// replaces it, and one VM runs one router, so that the dead one's commitments
// are final by then. They are bounded twice: by its authority, and by the
// schedule of the record, committed + burst + per_second * age. The age is
// measured by the VM's clock, which the dead incarnation went by too; it counts
// suspension, so a router that wakes up knows that its record is old. If the
// VM was booted since, or its clock cannot be told apart, the authority is
// charged whole. A VM that never comes back keeps its authority: what it has
// not used of it is lost, as much as WantedHeadroom let it hold.
//
// A transfer is committed by its giver before the receiver hears of it: a lost
// answer strands it, nothing can double it. The receiver's records do not show
// transfers; a receiver that dies loses those that it has not used.

#include <algorithm>
#include <cmath>

#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {
namespace {

// A record is worth writing when a holding moved by this share of its headroom.
constexpr double kWorthwhileShare = 0.15;
// What is free of a total is dealt out in parts, so that two routers asking at
// once do not leave one of them with nothing.
constexpr double kPartOfUnassigned = 0.5;

const fb::TotalShareT* FindShare(const fb::RouterRecordT& record,
                                 const std::string& workspace) {
  const auto found = std::find_if(
      record.shares.begin(), record.shares.end(),
      [&](const auto& share) { return share->workspace == workspace; });
  return found == record.shares.end() ? nullptr : found->get();
}

int64_t SumOf(const std::map<std::string, fb::RouterRecordT>& records,
              const std::string& workspace,
              int64_t fb::TotalShareT::*field) {
  int64_t sum = 0;
  for (const auto& [router, record] : records) {
    if (const fb::TotalShareT* share = FindShare(record, workspace))
      sum += share->*field;
  }
  return sum;
}

absl::Duration AgeOf(const fb::RouterRecordT& record, absl::Duration now) {
  return now - absl::Microseconds(record.written_us);
}

bool IsNewer(const fb::RouterRecordT& a, const fb::RouterRecordT& b) {
  return std::pair(a.epoch, a.sequence) > std::pair(b.epoch, b.sequence);
}

}  // namespace

TotalsBook::TotalsBook(const TotalsOptions& options) : options_(options) {}

void TotalsBook::SetTotal(std::string_view workspace, int64_t tokens) {
  totals_[std::string(workspace)] = tokens;
  HoldingOf(std::string(workspace));
}

void TotalsBook::ApplyRecord(fb::RouterRecordT record) {
  const auto found = others_.find(record.router);
  if (found != others_.end() && !IsNewer(record, found->second))
    return;
  std::string router = record.router;
  others_.insert_or_assign(std::move(router), std::move(record));
}

std::vector<Inheritance> TotalsBook::Start(
    const std::optional<fb::RouterRecordT>& previous,
    absl::Duration now) {
  started_ = true;
  if (!previous.has_value()) {
    epoch_ = 1;
    return {};
  }
  std::vector<Inheritance> inherited;
  epoch_ = previous->epoch + 1;
  const bool same_clock = !options_.boot.empty() &&
                          previous->boot == options_.boot &&
                          AgeOf(*previous, now) >= absl::ZeroDuration();
  durable_ = *previous;
  for (auto& share : durable_->shares) {
    const int64_t charged = same_clock
                                ? SpendingLimit(*share, AgeOf(*previous, now))
                                : share->authority;
    HoldingOf(share->workspace).committed += charged;
    inherited.push_back({.workspace = share->workspace,
                         .recorded = share->committed,
                         .charged = charged,
                         .authority = share->authority});
    // Nothing is left of the old schedule: see Reserve.
    share->committed = charged;
    share->burst = 0;
    share->per_second = 0;
  }
  return inherited;
}

TotalsBook::Holding& TotalsBook::HoldingOf(const std::string& workspace) {
  return holdings_[workspace];
}

const TotalsBook::Holding* TotalsBook::FindHolding(
    const std::string& workspace) const {
  const auto found = holdings_.find(workspace);
  return found == holdings_.end() ? nullptr : &found->second;
}

int64_t TotalsBook::TotalOf(const std::string& workspace) const {
  const auto found = totals_.find(workspace);
  return found == totals_.end() ? 0 : found->second;
}

int64_t TotalsBook::LimitNow(const std::string& workspace,
                             absl::Duration now) const {
  const fb::TotalShareT* durable =
      durable_.has_value() ? FindShare(*durable_, workspace) : nullptr;
  if (durable == nullptr)
    return 0;
  const int64_t limit = SpendingLimit(*durable, AgeOf(*durable_, now));
  if (!pending_.has_value())
    return limit;
  // A share that a record leaves out is one without authority.
  const fb::TotalShareT* pending = FindShare(*pending_, workspace);
  if (pending == nullptr)
    return 0;
  return std::min(limit, SpendingLimit(*pending, AgeOf(*pending_, now)));
}

int64_t TotalsBook::DurableAuthority(const std::string& workspace) const {
  const fb::TotalShareT* share =
      durable_.has_value() ? FindShare(*durable_, workspace) : nullptr;
  return share == nullptr ? 0 : share->authority;
}

int64_t TotalsBook::OthersAuthority(const std::string& workspace) const {
  return SumOf(others_, workspace, &fb::TotalShareT::authority);
}

int64_t TotalsBook::OthersCommitted(const std::string& workspace) const {
  return SumOf(others_, workspace, &fb::TotalShareT::committed);
}

int64_t TotalsBook::OthersDemand(const std::string& workspace) const {
  return SumOf(others_, workspace, &fb::TotalShareT::demand);
}

double TotalsBook::DemandRate(const Holding& holding,
                              absl::Duration now) const {
  const double periods =
      absl::FDivDuration(now - holding.decayed_at, options_.demand_time);
  return holding.recent_tokens * std::exp(-std::max(0.0, periods)) /
         absl::ToDoubleSeconds(options_.demand_time);
}

void TotalsBook::NoteDemand(Holding* holding,
                            int64_t tokens,
                            absl::Duration now) {
  const double rate = DemandRate(*holding, now);
  holding->recent_tokens = rate * absl::ToDoubleSeconds(options_.demand_time) +
                           static_cast<double>(tokens);
  holding->decayed_at = now;
  constexpr double kWeight = 0.1;
  if (holding->usual_request == 0)
    holding->usual_request = static_cast<double>(tokens);
  else
    holding->usual_request +=
        kWeight * (static_cast<double>(tokens) - holding->usual_request);
}

std::optional<Reservation> TotalsBook::Reserve(const std::string& workspace,
                                               int64_t tokens,
                                               absl::Duration now) {
  Holding& holding = HoldingOf(workspace);
  const int64_t free =
      std::max<int64_t>(0, LimitNow(workspace, now) - holding.committed);
  if (free + holding.transfers < tokens)
    return std::nullopt;
  NoteDemand(&holding, tokens, now);
  Reservation reservation{.workspace = workspace};
  reservation.from_transfers = std::min(holding.transfers, tokens);
  reservation.from_authority = tokens - reservation.from_transfers;
  holding.transfers -= reservation.from_transfers;
  holding.committed += reservation.from_authority;
  return reservation;
}

void TotalsBook::Settle(const Reservation& reservation, int64_t used) {
  Holding& holding = HoldingOf(reservation.workspace);
  const int64_t charged = std::clamp<int64_t>(used, 0, reservation.tokens());
  const int64_t from_transfers = std::min(charged, reservation.from_transfers);
  holding.transfers += reservation.from_transfers - from_transfers;
  holding.committed -= reservation.from_authority - (charged - from_transfers);
}

void TotalsBook::AddWaiting(const std::string& workspace, int64_t tokens) {
  HoldingOf(workspace).waiting += tokens;
}

void TotalsBook::RemoveWaiting(const std::string& workspace, int64_t tokens) {
  HoldingOf(workspace).waiting -= tokens;
}

bool TotalsBook::IsSpent(const std::string& workspace, int64_t tokens) const {
  const Holding* holding = FindHolding(workspace);
  const int64_t own = holding == nullptr ? 0 : holding->committed;
  const int64_t transfers = holding == nullptr ? 0 : holding->transfers;
  return TotalOf(workspace) - OthersCommitted(workspace) - own + transfers <
         tokens;
}

TotalState TotalsBook::state(const std::string& workspace,
                             absl::Duration now) const {
  const Holding* holding = FindHolding(workspace);
  TotalState state{.total = TotalOf(workspace),
                   .committed = OthersCommitted(workspace)};
  state.unassigned =
      state.total - OthersAuthority(workspace) - DurableAuthority(workspace);
  if (holding != nullptr) {
    state.committed += holding->committed;
    state.available =
        std::max<int64_t>(0, LimitNow(workspace, now) - holding->committed) +
        holding->transfers;
  }
  return state;
}

TotalsSum TotalsBook::sum(absl::Duration now) const {
  TotalsSum sum;
  for (const auto& [workspace, holding] : holdings_) {
    sum.available += state(workspace, now).available;
    sum.waiting += holding.waiting;
  }
  return sum;
}

int64_t TotalsBook::Missing(const std::string& workspace,
                            absl::Duration now) const {
  const Holding* holding = FindHolding(workspace);
  if (holding == nullptr)
    return 0;
  return std::max<int64_t>(0,
                           holding->waiting - state(workspace, now).available);
}

int64_t TotalsBook::WantedHeadroom(const std::string& workspace,
                                   const Holding& holding,
                                   absl::Duration now) const {
  const double by_demand = DemandRate(holding, now) * options_.headroom *
                           absl::ToDoubleSeconds(options_.horizon);
  const auto total = static_cast<double>(TotalOf(workspace));
  const double left =
      std::max(0.0, total - static_cast<double>(OthersCommitted(workspace) +
                                                holding.committed));
  const double fair = left * DemandShare(workspace, holding, now) *
                      (1 - options_.reserve_share);
  const double idle =
      left < total * options_.plenty
          ? 0
          : left * options_.idle_share / static_cast<double>(router_count());
  return holding.waiting +
         static_cast<int64_t>(std::max(std::min(by_demand, fair), idle));
}

// This router's part of all routers' demand: near a total's end nobody holds
// what others ask for.
double TotalsBook::DemandShare(const std::string& workspace,
                               const Holding& holding,
                               absl::Duration now) const {
  const double own = DemandRate(holding, now);
  const double all = own + static_cast<double>(OthersDemand(workspace));
  return all < 1 ? 1 / static_cast<double>(router_count()) : own / all;
}

fb::TotalShareT TotalsBook::MakeShare(const std::string& workspace,
                                      const Holding& holding,
                                      absl::Duration now) const {
  const int64_t durable = DurableAuthority(workspace);
  const int64_t unassigned = std::max<int64_t>(
      0, TotalOf(workspace) - OthersAuthority(workspace) - durable);
  const int64_t wanted =
      holding.committed + WantedHeadroom(workspace, holding, now);
  fb::TotalShareT share;
  share.workspace = workspace;
  share.authority = std::max(wanted, holding.committed);
  if (wanted > durable) {
    const int64_t part = std::max<int64_t>(
        holding.waiting, static_cast<int64_t>(kPartOfUnassigned *
                                              static_cast<double>(unassigned)));
    const int64_t growth = std::min({wanted - durable, part, unassigned});
    share.authority = std::max(durable + growth, holding.committed);
  }
  // What waits is written ahead, to be reserved once the record is durable.
  share.committed =
      std::min(share.authority, holding.committed + holding.waiting);
  const int64_t headroom = share.authority - share.committed;
  share.burst = static_cast<int64_t>(
      holding.usual_request * static_cast<double>(options_.burst_requests));
  share.burst_after_ms = absl::ToInt64Milliseconds(options_.burst_after);
  share.demand = static_cast<int64_t>(DemandRate(holding, now));
  const double by_horizon =
      static_cast<double>(headroom) / absl::ToDoubleSeconds(options_.horizon);
  share.per_second = static_cast<int64_t>(
      std::max(by_horizon, DemandRate(holding, now) * options_.headroom));
  return share;
}

fb::RouterRecordT TotalsBook::MakeRecord(absl::Duration now) {
  fb::RouterRecordT record;
  record.router = options_.router;
  record.epoch = epoch_;
  record.sequence = ++sequence_;
  record.boot = options_.boot;
  record.written_us = absl::ToInt64Microseconds(now);
  record.address = options_.address;
  for (const auto& [workspace, holding] : holdings_) {
    fb::TotalShareT share = MakeShare(workspace, holding, now);
    if (share.authority == 0 && share.demand == 0)
      continue;
    record.shares.push_back(
        std::make_unique<fb::TotalShareT>(std::move(share)));
  }
  pending_ = record;
  return record;
}

fb::RouterRecordT TotalsBook::MakeLastRecord(absl::Duration now) {
  fb::RouterRecordT record = MakeRecord(now);
  for (auto& share : record.shares) {
    share->committed = HoldingOf(share->workspace).committed;
    share->authority = share->committed;
  }
  pending_ = record;
  return record;
}

void TotalsBook::OnRecordDurable() {
  durable_ = std::move(pending_);
  pending_.reset();
}

void TotalsBook::OnRecordRefused() {
  pending_.reset();
}

bool TotalsBook::WantsRecord(absl::Duration now) const {
  if (!started_ || pending_.has_value())
    return false;
  for (const auto& [workspace, holding] : holdings_) {
    if (holding.waiting > 0)
      return true;
    static const fb::TotalShareT nothing;
    const fb::TotalShareT* found =
        durable_.has_value() ? FindShare(*durable_, workspace) : nullptr;
    const fb::TotalShareT* share = found == nullptr ? &nothing : found;
    const int64_t moved = std::abs(holding.committed - share->committed);
    const int64_t headroom = share->authority - share->committed;
    if (static_cast<double>(moved) >
        kWorthwhileShare * static_cast<double>(std::max<int64_t>(headroom, 1)))
      return true;
    const int64_t wanted = WantedHeadroom(workspace, holding, now);
    if (std::abs(wanted - headroom) > wanted / 4 &&
        (wanted < headroom || state(workspace, now).unassigned > 0))
      return true;
  }
  return false;
}

int64_t TotalsBook::Give(const std::string& workspace,
                         int64_t wanted,
                         absl::Duration now) {
  const Holding* known = FindHolding(workspace);
  if (known == nullptr || wanted <= 0)
    return 0;
  Holding& holding = HoldingOf(workspace);
  const int64_t free =
      std::max<int64_t>(0, LimitNow(workspace, now) - holding.committed);
  const int64_t keep = holding.waiting;
  const int64_t spare = std::max<int64_t>(0, free + holding.transfers - keep);
  const int64_t given = std::min(wanted, spare);
  const int64_t from_transfers = std::min(given, holding.transfers);
  holding.transfers -= from_transfers;
  holding.committed += given - from_transfers;
  return given;
}

void TotalsBook::ReceiveTransfer(const std::string& workspace, int64_t tokens) {
  HoldingOf(workspace).transfers += tokens;
}

}  // namespace hawthornhollow
