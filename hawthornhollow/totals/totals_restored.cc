// What holds when the store comes back from an older copy.
//
// The store may lose what it has acknowledged, when it comes back from an older
// copy. Epochs tell in which era a record was written. A router that lives on
// keeps to the smaller one of its durable record and the one in flight, and
// writes both of its records again, the level first; its quota is certain then.
// A quota is uncertain as long as its newest record is of an earlier era, and
// (`incomplete`) if an incarnation has ended without writing it again: the
// store does not know what it was raised to. Its successor is charged its whole
// quota, as far as the store knows it, until others tell what they remember
// (remembered_quotas.cc).
//
// While any quota is uncertain, and for kSettleTime, only this is assigned:
// what was added to the total since the era began, and what quotas that were
// written in this era have given back since. Records carry what a router's
// quota was when the era began (`restored`). All quotas of that time were
// within the total of that time, whatever was lost. Together they grow by no
// more than what was added to that total, so all commitments are within the
// total. A router that nobody has heard of is outside the argument: if its
// first record is lost, it writes one again within kSettleTime, unless it is
// cut off from the store and all others.

#include <algorithm>

#include "hawthornhollow/totals/shares_internal.h"
#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {
namespace {

// Living routers, if they reach the store, write their records again in this
// time after it came back.
constexpr absl::Duration kSettleTime = absl::Seconds(3);

}  // namespace

// The level record is of use only if it was written in the era of the quota, or
// later: an incarnation that lives through a change of the era writes it first.
int64_t TotalsBook::InheritedTokens(const fb::AuthorityShareT& authority,
                                    const fb::LevelShareT& share,
                                    const RouterRecords& previous,
                                    const RecordAge& record_age) const {
  if (quota_doubt_ != QuotaDoubt::kNone ||
      EraOf(previous.level->epoch) < EraOf(previous.authority->epoch))
    return authority.tokens;
  if (previous.level->final)
    return std::min(authority.tokens, share.committed);
  if (record_age.source == AgeSource::kUnknown)
    return authority.tokens;
  return std::min(authority.tokens, ScheduleLimit(share, record_age.age));
}

void TotalsBook::BeginEra(int64_t era, absl::Duration now) {
  if (era <= era_)
    return;
  if (started_)
    RememberOthers();
  era_ = era;
  authorities_read_ = 0;
  confirmed_ready_.BeginEra();
  confirmed_quotas_.BeginEra();
  others_certain_.reset();
  others_given_back_.clear();
  if (!started_)
    return;
  // Others may rely on the smaller one of the two.
  if (pending_authority_.has_value() && durable_authority_.has_value()) {
    for (auto& share : durable_authority_->shares)
      share->tokens = QuotaInForce(share->workspace);
  }
  pending_authority_.reset();
  pending_level_.reset();
  is_level_after_learning_ = false;
  epoch_ = FirstEpochOf(era);
  authority_sequence_ = 0;
  level_sequence_ = 0;
  carried_over_ = true;
  restored_quotas_.clear();
  if (durable_authority_.has_value()) {
    for (const auto& share : durable_authority_->shares)
      restored_quotas_[share->workspace] = share->tokens;
  }
  BeginRestored(now);
}

void TotalsBook::BeginRestored(absl::Duration now) {
  settled_at_ = now + kSettleTime;
  restored_.Begin(now);
  for (const auto& [workspace, total] : totals_)
    restored_.NoteTotal(workspace, total, now);
}

bool TotalsBook::IsQuotaCertain(const RouterRecords& records) const {
  const int64_t era = EraOf(records.authority->epoch);
  return !records.authority->incomplete && (era < 0 || era == era_);
}

bool TotalsBook::AreQuotasCertain(absl::Duration now) const {
  if (now < settled_at_ || quota_doubt_ != QuotaDoubt::kNone)
    return false;
  if (!others_certain_.has_value())
    others_certain_ = AreOtherQuotasCertain();
  return *others_certain_;
}

bool TotalsBook::HasEnded(const RouterRecords& records) const {
  return records.level.has_value() && records.level->final &&
         records.authority.has_value() && !records.authority->incomplete &&
         records.level->epoch >= records.authority->epoch;
}

bool TotalsBook::AreOtherQuotasCertain() const {
  others_margins_.clear();
  for (const auto& [router, records] : other_routers_) {
    if (!records.authority.has_value() || IsQuotaCertain(records) ||
        HasEnded(records))
      continue;
    if (!AddMargin(router))
      return false;
  }
  const std::vector<std::string> only_told = RoutersOnlyTold();
  return std::all_of(
      only_told.begin(), only_told.end(),
      [this](const std::string& router) { return AddMargin(router); });
}

int64_t TotalsBook::Assignable(const std::string& workspace,
                               absl::Duration now) const {
  const int64_t unassigned = TotalOf(workspace) -
                             other_routers_sums(workspace).authority -
                             DurableAuthority(workspace);
  if (AreQuotasCertain(now)) {
    const auto margin = others_margins_.find(workspace);
    return margin == others_margins_.end() ? unassigned
                                           : unassigned - margin->second;
  }
  const int64_t added = TotalOf(workspace) - restored_.TotalThen(workspace);
  return std::min(unassigned, added + GivenBack(workspace));
}

int64_t TotalsBook::GivenBack(const std::string& workspace) const {
  const auto [found, is_new] = others_given_back_.try_emplace(workspace, 0);
  if (is_new) {
    for (const auto& [router, records] : other_routers_) {
      const auto* share = FindShare(records.authority, workspace);
      if (share != nullptr && EraOf(records.authority->epoch) == era_)
        found->second += share->restored - share->tokens;
    }
  }
  const auto own = restored_quotas_.find(workspace);
  const int64_t own_then = own == restored_quotas_.end() ? 0 : own->second;
  return found->second + own_then - DurableAuthority(workspace);
}

bool TotalsBook::NeedsLevelFirst() const {
  return carried_over_ &&
         (!durable_level_.has_value() || EraOf(durable_level_->epoch) < era_);
}

bool TotalsBook::NeedsRecordsAnew() const {
  return carried_over_ && !HasOwnAuthority();
}

}  // namespace hawthornhollow
