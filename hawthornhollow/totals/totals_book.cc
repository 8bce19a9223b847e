// Why a total is never overdrawn:
//
// Let A(r) be the quota in router r's newest authority record in the store. A
// record that raises A(r) is put on the condition that no authority record was
// written after those its writer had read, and MakeAuthority raises A(r) by no
// more than the total minus the sum of all A. So the sum of all A never exceeds
// the total. Each router keeps its commitments, and the tokens that it holds in
// addition, at or below its A, so that everything held can eventually be
// committed.
//
// Two records of a kind may matter at the same time: the durable one, and one
// that was sent and whose outcome is unknown. Commitments stay within both (see
// CommitLimit), so it does not matter which of them is in force.
//
// Only committed tokens are spent, because nothing reaches a caller before
// Commit. The records of a killed router stay in the store until its next
// incarnation on the same VM replaces them. A VM runs one router, so the
// commitments of the dead incarnation are final by then. They are bounded by
// its quota and by the schedule of its level record. The age used with the
// schedule is measured by the VM's boot clock, which the dead incarnation used
// too, up to the start of the next process. This clock includes suspension, so
// a router that resumes knows that its record is old. If the VM was rebooted,
// the age is measured by the time of day (see record_age.cc). If that cannot be
// trusted, the whole quota is charged, unless the level record was marked as
// the incarnation's final one. A workspace that the level record does not name
// has no commitments. A VM that never comes back keeps its quota, and the
// unused part, which TargetHeadroom limits, is lost.
//
// Each incarnation has its own epoch. It puts its first authority record after
// it has read all records, and level records only after that. So no level
// record of an earlier incarnation can be mistaken for its own, and no router
// prefers an earlier incarnation's record to a newer one.
//
// The sender of a transfer commits the tokens before the receiver learns of it,
// so nothing can duplicate them. If the answer is lost, the receiver says so
// later and takes them no more, and the sender takes them back
// (transfer_journal.h); they are lost if either restarts before. The receiver's
// records do not include transfers, so a receiver that dies loses the
// transferred tokens that it has not used.
//
// A loan ahead of demand is such a transfer. Its size is no part of the
// argument that a total is never overdrawn, only of what is lost: a borrower
// that is killed loses its loan. A holder therefore tells each borrower the
// most that it may keep (LoanFor): the borrower's part, by demand, of the
// holder's part of 2% of the total, or of a tenth of what nobody has committed
// if that is less. A borrower hands over what it has beyond. So all loans
// together are within 2% of a total, even if every router is killed at once,
// except where the demand of transfer_horizon alone is more, and they vanish
// with the total. A holder grants a loan from what neither its own requests nor
// those of other routers wait for.
//
// Tokens that are handed over leave the sender's transfers first and are sent
// at most once, so they exist in one place at most. A holder may take them off
// its own commitments, up to what it has transferred: whoever committed them,
// the sum of all commitments then counts them once less, and the tokens
// themselves are unspent. A successor of the holder is charged by a record from
// before, that is, for more.
//
// When a request can never be covered (IsSpent):
//
// Clients do not repeat a request after this answer, so it must be right
// whatever a router has not heard of. Commitments do not show it: they fall
// when a request uses less than its worst case, when lent tokens come back and
// when a quota is given back. What ended requests used never falls. Each router
// adds it up for its VM, whether the tokens came from its quota or from
// transfers, and its level record carries the sum (`used`). A successor
// continues from the last durable record, so a sum may be too low, never too
// high. A sum of lower bounds is a lower bound at any later time; so is what
// another router says in its answer, even if the answer is late. This router's
// requests in progress are not settled anywhere yet and are known exactly, so
// they are added at their worst case; those of other routers may have ended
// since and are not. If the result leaves less than a request needs, so does
// what is really used with all requests in progress. Tokens that a killed
// router was charged for and never used are never counted as used: near the end
// of such a total requests are refused until a top-up, but not for good. A
// top-up that this router has not read is outside the argument.
//
// All this relies on a store that keeps what it has acknowledged;
// totals_restored.cc argues for one that comes back from an older copy, and
// remembered_quotas.cc for a quota that was lost with a killed router.
//
// Which routers are holders is not part of the argument. Routers that disagree
// about it, because one has read an older record, still keep to their quotas.

#include <algorithm>
#include <utility>

#include "hawthornhollow/totals/shares_internal.h"
#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {
namespace {

template <typename Record>
bool IsNewer(const Record& record, const std::optional<Record>& known) {
  return !known.has_value() || std::pair(record.epoch, record.sequence) >
                                   std::pair(known->epoch, known->sequence);
}

// Whether a router can hold tokens: it can be asked for them, and its newest
// incarnation has not written its final record.
bool IsCandidate(const RouterRecords& records) {
  if (!records.authority.has_value() || records.authority->address.empty())
    return false;
  return !records.level.has_value() || !records.level->final ||
         records.level->epoch < records.authority->epoch;
}

}  // namespace

TotalsBook::TotalsBook(const TotalsOptions& options) : options_(options) {}

void TotalsBook::SetTotal(std::string_view workspace,
                          int64_t tokens,
                          absl::Duration now) {
  const std::string name(workspace);
  if (std::exchange(totals_[name], tokens) != tokens)
    others_certain_.reset();
  restored_.NoteTotal(name, tokens, now);
  UsageOf(name);
}

template <typename Record>
void TotalsBook::ApplyOther(std::optional<Record> RouterRecords::*kind,
                            Record record) {
  std::optional<Record>& known = other_routers_[record.router].*kind;
  if (!IsNewer(record, known))
    return;
  others_certain_.reset();
  others_margins_.clear();
  others_given_back_.clear();
  if (known.has_value())
    AddToSums(*known, -1);
  AddToSums(record, 1);
  const bool was_candidate = IsCandidate(other_routers_[record.router]);
  RouterRecords& records = other_routers_[record.router];
  known = std::move(record);
  if (IsCandidate(records) != was_candidate)
    holders_.clear();
  ConfirmQuotas();
  LearnOwnQuota();
}

void TotalsBook::ApplyAuthority(fb::AuthorityRecordT record) {
  ApplyOther(&RouterRecords::authority, std::move(record));
}

void TotalsBook::ApplyLevel(fb::LevelRecordT record) {
  ApplyOther(&RouterRecords::level, std::move(record));
}

void TotalsBook::AddToSums(const fb::AuthorityRecordT& record, int64_t sign) {
  for (const auto& share : record.shares) {
    OtherRoutersSums& sums = other_routers_sums_[share->workspace];
    sums.authority += sign * share->tokens;
    sums.demand += sign * share->demand;
  }
}

void TotalsBook::AddToSums(const fb::LevelRecordT& record, int64_t sign) {
  for (const auto& share : record.shares) {
    OtherRoutersSums& sums = other_routers_sums_[share->workspace];
    sums.committed += sign * (share->committed + share->held);
    sums.used += sign * share->used;
  }
}

std::vector<HolderCandidate> TotalsBook::Candidates() const {
  std::vector<HolderCandidate> candidates;
  if (!closing_)
    candidates.push_back({options_.router, options_.failure_domain});
  for (const auto& [router, records] : other_routers_) {
    if (IsCandidate(records))
      candidates.push_back({router, records.authority->failure_domain});
  }
  return candidates;
}

std::vector<RouterAddress> TotalsBook::LivingRouters() const {
  std::vector<RouterAddress> routers = {{options_.router, options_.address}};
  for (const auto& [router, records] : other_routers_) {
    if (IsCandidate(records))
      routers.push_back({router, records.authority->address});
  }
  return routers;
}

const std::vector<std::string>& TotalsBook::HoldersOf(
    const std::string& workspace) const {
  const auto [found, is_new] = holders_.try_emplace(workspace);
  if (is_new)
    found->second =
        ChooseHolders(workspace, Candidates(), options_.max_holders);
  return found->second;
}

bool TotalsBook::IsHolder(const std::string& workspace) const {
  const std::vector<std::string>& holders = HoldersOf(workspace);
  return std::find(holders.begin(), holders.end(), options_.router) !=
         holders.end();
}

std::vector<std::string> TotalsBook::OtherHolders(
    const std::string& workspace) const {
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const std::string& router : HoldersOf(workspace)) {
    if (router == options_.router)
      continue;
    const fb::AuthorityRecordT& record = *other_routers_.at(router).authority;
    const bool is_near = record.failure_domain == options_.failure_domain;
    (is_near ? near : far).push_back(record.address);
  }
  near.insert(near.end(), far.begin(), far.end());
  return near;
}

std::vector<InheritedCharge> TotalsBook::Start(const RouterRecords& previous,
                                               const IncarnationStart& start) {
  started_ = true;
  incarnation_began_ = start.boot_time;
  era_ = start.store_era;
  others_certain_.reset();
  // A predecessor that lived into this era may have records of its first epoch
  // in flight.
  epoch_ =
      std::max(FirstEpochOf(era_) + 1,
               1 + std::max(previous.authority ? previous.authority->epoch : 0,
                            previous.level ? previous.level->epoch : 0));
  const bool is_complete = previous.authority.has_value()
                               ? IsQuotaCertain(previous)
                               : !previous.level.has_value();
  quota_doubt_ = is_complete ? QuotaDoubt::kNone : QuotaDoubt::kOpen;
  if (previous.level.has_value()) {
    for (const auto& share : previous.level->shares)
      UsageOf(share->workspace).used = share->used;
  }
  // Living routers may not have written their records again.
  BeginRestored(start.read_at);
  if (is_complete && AreOtherQuotasCertain())
    settled_at_ = -absl::InfiniteDuration();
  if (!previous.authority.has_value())
    return {};
  durable_authority_ = previous.authority;
  RememberOwnTelling(*previous.authority);
  if (is_complete && ReadersOf(previous.authority->authorities_read + 1) >=
                         ReadersNeeded(KnownRouters())) {
    confirmed_ready_.SetKnown(*previous.authority);
    confirmed_quotas_.SetKnown(*previous.authority);
  }
  const std::optional<fb::LevelRecordT>& level = previous.level;
  const RecordAge record_age =
      level.has_value() ? RecordAgeAtStart(*level, start) : RecordAge();
  // The earliest time of day seen by the previous incarnation still counts if
  // the VM was not rebooted.
  if (record_age.source == AgeSource::kBootClock &&
      level->time_of_day_us != 0) {
    ObserveTimeOfDay(absl::FromUnixMicros(level->time_of_day_us),
                     absl::Microseconds(level->written_us));
  }
  std::vector<InheritedCharge> inherited;
  for (auto& authority : durable_authority_->shares) {
    const fb::LevelShareT* share = FindShare(level, authority->workspace);
    if ((share == nullptr || TellsOnlyUsed(*share)) && is_complete) {
      restored_quotas_[authority->workspace] = authority->restored;
      authority->tokens = 0;
      continue;
    }
    const int64_t charged =
        share == nullptr
            ? authority->tokens
            : InheritedTokens(*authority, *share, previous, record_age);
    restored_quotas_[authority->workspace] =
        !is_complete && EraOf(previous.authority->epoch) < era_
            ? charged
            : authority->restored;
    UsageOf(authority->workspace).committed += charged;
    inherited.push_back({.workspace = authority->workspace,
                         .recorded = share == nullptr ? 0 : share->committed,
                         .charged = charged,
                         .authority = authority->tokens});
    // A record sent by the previous incarnation may still take effect and lower
    // this quota, so nothing is available until this incarnation has a durable
    // authority record of its own.
    authority->tokens = charged;
  }
  LearnOwnQuota();
  return inherited;
}

void TotalsBook::ObserveTimeOfDay(absl::Time time_of_day, absl::Duration now) {
  earliest_boot_ = std::min(earliest_boot_, time_of_day - now);
}

void TotalsBook::OnStaleAuthority(const fb::AuthorityRecordT& record) {
  // No such record can take effect once a record of this incarnation is
  // durable, but for one of an earlier era whose offset was given out again.
  if (!HasOwnAuthority()) {
    epoch_ = std::max(epoch_, record.epoch + 1);
    return;
  }
  is_authority_replaced_ = record.epoch != durable_authority_->epoch ||
                           record.sequence != durable_authority_->sequence;
}

bool TotalsBook::HasOwnAuthority() const {
  return durable_authority_.has_value() && durable_authority_->epoch == epoch_;
}

TotalsBook::LocalUsage& TotalsBook::UsageOf(const std::string& workspace) {
  return usages_.try_emplace(workspace, options_.demand_decay).first->second;
}

const TotalsBook::LocalUsage* TotalsBook::FindUsage(
    const std::string& workspace) const {
  const auto found = usages_.find(workspace);
  return found == usages_.end() ? nullptr : &found->second;
}

int64_t TotalsBook::TotalOf(const std::string& workspace) const {
  const auto found = totals_.find(workspace);
  return found == totals_.end() ? 0 : found->second;
}

int64_t TotalsBook::CommitLimit(const std::string& workspace,
                                absl::Duration now) const {
  return std::min(EffectiveAuthority(workspace, now),
                  RecordedLimit(workspace, now));
}

int64_t TotalsBook::RecordedLimit(const std::string& workspace,
                                  absl::Duration now) const {
  // A workspace without a share in a record may not commit anything.
  const fb::LevelShareT* durable = FindShare(durable_level_, workspace);
  if (durable == nullptr)
    return 0;
  const int64_t limit =
      std::min(QuotaInForce(workspace),
               ScheduleLimit(*durable, AgeOf(*durable_level_, now)));
  if (!pending_level_.has_value())
    return limit;
  const fb::LevelShareT* pending = FindShare(pending_level_, workspace);
  if (pending == nullptr)
    return 0;
  return std::min(limit, ScheduleLimit(*pending, AgeOf(*pending_level_, now)));
}

int64_t TotalsBook::DurableAuthority(const std::string& workspace) const {
  const fb::AuthorityShareT* share = FindShare(durable_authority_, workspace);
  return share == nullptr ? 0 : share->tokens;
}

int64_t TotalsBook::EffectiveAuthority(const std::string& workspace,
                                       absl::Duration now) const {
  return std::min(QuotaInForce(workspace), ConfirmedAuthority(workspace, now) +
                                               UnknownAllowance(workspace));
}

int64_t TotalsBook::ConfirmedAuthority(const std::string& workspace,
                                       absl::Duration now) const {
  if (!IsNewestRecordYoung(now))
    return confirmed_quotas_.tokens(workspace);
  const int64_t ready = confirmed_ready_.tokens(workspace);
  if (!pending_authority_.has_value())
    return ready;
  const fb::AuthorityShareT* pending = FindShare(pending_authority_, workspace);
  return std::min(ready, pending == nullptr ? 0 : pending->ready);
}

int64_t TotalsBook::QuotaInForce(const std::string& workspace) const {
  const int64_t durable = DurableAuthority(workspace);
  if (!pending_authority_.has_value())
    return durable;
  const fb::AuthorityShareT* pending = FindShare(pending_authority_, workspace);
  return std::min(durable, pending == nullptr ? 0 : pending->tokens);
}

bool TotalsBook::HasFreshLevel(absl::Duration now) const {
  return durable_level_.has_value() &&
         AgeOf(*durable_level_, now) <= options_.fresh_record_age;
}

int64_t TotalsBook::AvailableFromAuthority(const std::string& workspace,
                                           const LocalUsage& usage,
                                           absl::Duration now) const {
  const int64_t taken = usage.committed + usage.held;
  int64_t free = QuotaInForce(workspace) - taken;
  if (!HasFreshLevel(now))
    free = std::min(free, CommitLimit(workspace, now) - taken);
  return std::max<int64_t>(0, free);
}

const OtherRoutersSums& TotalsBook::other_routers_sums(
    const std::string& workspace) const {
  static const OtherRoutersSums none;
  const auto found = other_routers_sums_.find(workspace);
  return found == other_routers_sums_.end() ? none : found->second;
}

double TotalsBook::OwnDemand(const LocalUsage& usage,
                             absl::Duration now) const {
  return usage.demand.PerSecond(absl::UnixEpoch() + now);
}

double TotalsBook::DemandRate(const LocalUsage& usage,
                              absl::Duration now) const {
  double rate = OwnDemand(usage, now);
  for (const auto& [router, borrower] : usage.borrowers) {
    if (now - borrower.asked_at <
        std::max(options_.demand_decay, options_.loan_horizon))
      rate += static_cast<double>(borrower.demand);
  }
  return rate;
}

void TotalsBook::ObserveDemand(const std::string& workspace,
                               int64_t tokens,
                               absl::Duration now) {
  LocalUsage& usage = UsageOf(workspace);
  usage.demand.Add(static_cast<double>(tokens), absl::UnixEpoch() + now);
  constexpr double kSmoothingWeight = 0.1;
  if (usage.average_request == 0)
    usage.average_request = static_cast<double>(tokens);
  else
    usage.average_request += kSmoothingWeight * (static_cast<double>(tokens) -
                                                 usage.average_request);
}

std::optional<Reservation> TotalsBook::Reserve(const std::string& workspace,
                                               int64_t tokens,
                                               absl::Duration now) {
  LocalUsage& usage = UsageOf(workspace);
  if (AvailableFromAuthority(workspace, usage, now) + usage.transfers < tokens)
    return std::nullopt;
  Reservation reservation{.workspace = workspace};
  reservation.from_transfers = std::min(usage.transfers, tokens);
  reservation.from_authority = tokens - reservation.from_transfers;
  usage.transfers -= reservation.from_transfers;
  usage.held += reservation.from_authority;
  usage.in_progress += tokens;
  return reservation;
}

bool TotalsBook::CanCommitBy(const Reservation& reservation,
                             absl::Duration then) const {
  const LocalUsage* usage = FindUsage(reservation.workspace);
  return reservation.from_authority == 0 ||
         (usage != nullptr &&
          usage->committed + usage->committing + reservation.from_authority <=
              CommitLimit(reservation.workspace, then));
}

bool TotalsBook::Commit(const Reservation& reservation, absl::Duration now) {
  LocalUsage& usage = UsageOf(reservation.workspace);
  const int64_t tokens = reservation.from_authority;
  if (tokens > 0 &&
      usage.committed + tokens > CommitLimit(reservation.workspace, now))
    return false;
  usage.held -= tokens;
  usage.committed += tokens;
  return true;
}

void TotalsBook::Release(const Reservation& reservation) {
  LocalUsage& usage = UsageOf(reservation.workspace);
  usage.held -= reservation.from_authority;
  usage.transfers += reservation.from_transfers;
  usage.in_progress -= reservation.tokens();
}

void TotalsBook::Settle(const Reservation& reservation, int64_t used) {
  LocalUsage& usage = UsageOf(reservation.workspace);
  const int64_t charged = std::clamp<int64_t>(used, 0, reservation.tokens());
  const int64_t from_transfers = std::min(charged, reservation.from_transfers);
  usage.transfers += reservation.from_transfers - from_transfers;
  usage.committed -= reservation.from_authority - (charged - from_transfers);
  usage.in_progress -= reservation.tokens();
  usage.used += charged;
}

void TotalsBook::AddWaiting(const std::string& workspace, int64_t tokens) {
  UsageOf(workspace).waiting += tokens;
}

void TotalsBook::RemoveWaiting(const std::string& workspace, int64_t tokens) {
  UsageOf(workspace).waiting -= tokens;
}

void TotalsBook::AddCommitting(const Reservation& reservation) {
  UsageOf(reservation.workspace).committing += reservation.from_authority;
}

void TotalsBook::RemoveCommitting(const Reservation& reservation) {
  UsageOf(reservation.workspace).committing -= reservation.from_authority;
}

int64_t TotalsBook::Uncommitted(const std::string& workspace) const {
  const int64_t by_others =
      TotalOf(workspace) - other_routers_sums(workspace).committed;
  const LocalUsage* usage = FindUsage(workspace);
  return usage == nullptr
             ? by_others
             : by_others - usage->committed - usage->held + usage->transfers;
}

bool TotalsBook::IsAmple(const std::string& workspace) const {
  // No request is to be refused while a tenth is left. Loans, and what was
  // charged after kills, are committed and within 2% each.
  constexpr int64_t kAmpleDivisor = 20;
  return Uncommitted(workspace) >= TotalOf(workspace) / kAmpleDivisor;
}

int64_t TotalsBook::UsedByAll(const std::string& workspace) const {
  const LocalUsage* usage = FindUsage(workspace);
  const int64_t others = other_routers_sums(workspace).used;
  return usage == nullptr
             ? others
             : std::max(usage->reported_used, others + usage->used);
}

void TotalsBook::ObserveUsed(const std::string& workspace, int64_t tokens) {
  LocalUsage& usage = UsageOf(workspace);
  usage.reported_used = std::max(usage.reported_used, tokens);
}

bool TotalsBook::IsSpent(const std::string& workspace, int64_t tokens) const {
  if (!options_.spent_by_use)
    return Uncommitted(workspace) < tokens;
  const LocalUsage* usage = FindUsage(workspace);
  const int64_t in_progress = usage == nullptr ? 0 : usage->in_progress;
  return TotalOf(workspace) - UsedByAll(workspace) - in_progress < tokens;
}

TotalState TotalsBook::state(const std::string& workspace,
                             absl::Duration now) const {
  const LocalUsage* usage = FindUsage(workspace);
  TotalState state{.total = TotalOf(workspace),
                   .committed = other_routers_sums(workspace).committed};
  state.unassigned = Assignable(workspace, now);
  state.used = UsedByAll(workspace);
  if (usage != nullptr) {
    state.committed += usage->committed + usage->held;
    state.in_progress = usage->in_progress;
    state.loan = usage->loan;
    state.available =
        AvailableFromAuthority(workspace, *usage, now) + usage->transfers;
  }
  return state;
}

TotalsSum TotalsBook::sum(absl::Duration now) const {
  TotalsSum sum;
  for (const auto& [workspace, usage] : usages_) {
    sum.available += state(workspace, now).available;
    sum.waiting += usage.waiting;
  }
  return sum;
}

int64_t TotalsBook::WaitingShortfall(const std::string& workspace,
                                     absl::Duration now) const {
  const LocalUsage* usage = FindUsage(workspace);
  if (usage == nullptr)
    return 0;
  return std::max<int64_t>(0, usage->waiting - state(workspace, now).available);
}

std::vector<std::string> TotalsBook::workspaces() const {
  std::vector<std::string> names;
  for (const auto& [workspace, usage] : usages_)
    names.push_back(workspace);
  return names;
}

}  // namespace hawthornhollow
