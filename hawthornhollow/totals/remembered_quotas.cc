// How the doubt about a lost quota ends.
//
// A router is killed around a restore of the store, and the copy does not tell
// what its quota had been raised to. Other routers read its records while they
// were in the store. Those that lived through the restore tell in their own
// records what they remember of a quota that is in doubt, or that they remember
// nothing, and keep telling until the doubt has ended.
//
// Most of a quota is for outages of the store. While its newest record is
// young, a router uses only what the record makes ready. It uses that beyond
// UnknownAllowance only once ReadersNeeded of the routers, itself included,
// have read the record (confirmed_quotas.h). Which other routers have read it
// is told by their records. Let n be the number of routers and r =
// ReadersNeeded(n). Then at most n - r routers do not know a record that was
// used, so among TellersNeeded(n) = n - r + 1 routers that tell there is one
// that does. An incarnation that started later read the newest record of each
// router as it started, so it knows that record or a newer one. What it
// remembers is at least what was confirmed: a record that lowers a quota lowers
// what is confirmed, too. So what the newest record told makes ready, and the
// allowance, bound what the killed router can have committed, if that record
// was still young when its successor began: no record that it sent later is
// older. Otherwise the whole quota in it does, since a quota that is used whole
// is of records that are no longer young; a raise that nobody remembers was
// young, and hardly used.
//
// The successor is charged that bound in place of what the copy says. First its
// level record says so, and only then an authority record that is complete: if
// it is killed between the two, its own successor asks again. Until then, and
// if the router does not come back, each of the others adds to the quota in the
// store what the bound exceeds it by.
//
// Routers of earlier versions use a raised quota at once and tell nothing. They
// are not counted, and a doubt about the quota of one stays.
//
// Routers that nobody has heard of are outside the argument: one whose first
// record was read by nobody who is left, or whose successor finds none of its
// records in the copy. If fewer than TellersNeeded tell, the doubt stays.

#include <algorithm>
#include <set>

#include "hawthornhollow/totals/shares_internal.h"
#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {
namespace {

bool IsOlder(const fb::RememberedQuotaT& a, const fb::RememberedQuotaT& b) {
  return std::pair(a.epoch, a.sequence) < std::pair(b.epoch, b.sequence);
}

// Whether the record is of a router that uses only what others know.
template <typename Record>
bool ConfirmsQuotas(const Record& record) {
  return record.ready_ms > 0;
}

fb::RememberedQuotaT QuotaOf(const fb::AuthorityRecordT& record) {
  fb::RememberedQuotaT quota;
  quota.router = record.router;
  quota.epoch = record.epoch;
  quota.sequence = record.sequence;
  quota.boot = record.boot;
  quota.written_us = record.written_us;
  quota.ready_ms = record.ready_ms;
  for (const auto& share : record.shares) {
    if (share->tokens == 0)
      continue;
    auto copy = std::make_unique<fb::AuthorityShareT>();
    copy->workspace = share->workspace;
    copy->tokens = share->tokens;
    copy->ready = share->ready;
    quota.shares.push_back(std::move(copy));
  }
  return quota;
}

// Returns what a record tells of a router, or null.
const fb::RememberedQuotaT* FindTold(const fb::AuthorityRecordT& record,
                                     const std::string& router) {
  const auto found =
      std::find_if(record.remembered.begin(), record.remembered.end(),
                   [&](const auto& quota) { return quota->router == router; });
  return found == record.remembered.end() ? nullptr : found->get();
}

}  // namespace

std::string_view NameOf(QuotaDoubt doubt) {
  switch (doubt) {
    case QuotaDoubt::kNone:
      return "none";
    case QuotaDoubt::kOpen:
      return "open";
    case QuotaDoubt::kLearned:
      return "learned";
  }
  return "";
}

int64_t TotalsBook::UnknownAllowance(const std::string& workspace) const {
  return static_cast<int64_t>(options_.unknown_share_of_total *
                              static_cast<double>(TotalOf(workspace)));
}

size_t TotalsBook::KnownRouters() const {
  size_t known = 1 + RoutersOnlyTold().size();
  for (const auto& [router, records] : other_routers_) {
    if (records.authority.has_value() && ConfirmsQuotas(*records.authority))
      ++known;
  }
  return known;
}

size_t TotalsBook::ReadersOf(int64_t end) const {
  size_t readers = 1;
  const auto has_read = [&](const auto& record) {
    return record.has_value() && EraOf(record->epoch) == era_ &&
           record->authorities_read >= end;
  };
  for (const auto& [router, records] : other_routers_) {
    if (has_read(records.authority) || has_read(records.level))
      ++readers;
  }
  return readers;
}

void TotalsBook::ConfirmQuotas() {
  Confirm(&confirmed_ready_);
  Confirm(&confirmed_quotas_);
}

void TotalsBook::Confirm(ConfirmedQuotas* confirmed) {
  while (const auto end = confirmed->awaited_end()) {
    if (!confirmed->OnReaders(ReadersOf(*end)))
      return;
  }
}

std::optional<fb::RememberedQuotaT> TotalsBook::Remember(
    const std::string& router) const {
  const auto found = remembered_.find(router);
  if (found != remembered_.end())
    return found->second;
  if (!carried_over_)
    return std::nullopt;
  fb::RememberedQuotaT nothing;
  nothing.router = router;
  return nothing;
}

void TotalsBook::RememberOthers() {
  const auto before = std::move(remembered_);
  remembered_.clear();
  const auto add = [this](const fb::RememberedQuotaT& quota) {
    auto& known = remembered_[quota.router];
    if (!known.has_value() || IsOlder(*known, quota))
      known = quota;
  };
  for (const auto& [router, quota] : before) {
    if (quota.has_value())
      add(*quota);
  }
  for (const auto& [router, records] : other_routers_) {
    if (!records.authority.has_value())
      continue;
    add(QuotaOf(*records.authority));
    for (const auto& told : records.authority->remembered) {
      if (told->router != options_.router)
        add(*told);
    }
  }
  for (const auto& [router, records] : other_routers_) {
    if (records.authority.has_value() && records.authority->incomplete)
      remembered_[router].reset();
  }
}

void TotalsBook::RememberOwnTelling(const fb::AuthorityRecordT& previous) {
  if (EraOf(previous.epoch) != era_)
    return;
  for (const auto& told : previous.remembered)
    remembered_[told->router] = *told;
}

std::vector<std::string> TotalsBook::RoutersOnlyTold() const {
  std::set<std::string> routers;
  for (const auto& [teller, records] : other_routers_) {
    if (!records.authority.has_value() ||
        EraOf(records.authority->epoch) != era_)
      continue;
    for (const auto& told : records.authority->remembered) {
      const auto known = other_routers_.find(told->router);
      if (told->router != options_.router &&
          (known == other_routers_.end() ||
           !known->second.authority.has_value()))
        routers.insert(told->router);
    }
  }
  return {routers.begin(), routers.end()};
}

std::vector<std::string> TotalsBook::RoutersToTellOf(absl::Duration now) const {
  std::vector<std::string> routers = RoutersOnlyTold();
  for (const auto& [router, records] : other_routers_) {
    if (!records.authority.has_value() || IsQuotaCertain(records))
      continue;
    // A router that lives may be about to write its records again.
    const bool may_live = EraOf(records.authority->epoch) < era_;
    if (!may_live || now >= settled_at_)
      routers.push_back(router);
  }
  std::erase_if(routers, [this](const std::string& router) {
    return !Remember(router).has_value();
  });
  return routers;
}

bool TotalsBook::HasToldOf(const std::string& router) const {
  return durable_authority_.has_value() &&
         FindTold(*durable_authority_, router) != nullptr;
}

std::optional<fb::RememberedQuotaT> TotalsBook::ToldQuota(
    const std::string& router) const {
  std::optional<fb::RememberedQuotaT> newest;
  size_t tellers = 0;
  const auto add = [&](const fb::RememberedQuotaT& told) {
    ++tellers;
    if (!newest.has_value() || IsOlder(*newest, told))
      newest = told;
  };
  for (const auto& [teller, records] : other_routers_) {
    if (!records.authority.has_value() ||
        EraOf(records.authority->epoch) != era_)
      continue;
    if (const auto* told = FindTold(*records.authority, router))
      add(*told);
  }
  if (router != options_.router) {
    if (const auto own = Remember(router))
      add(*own);
  }
  if (tellers < TellersNeeded(KnownRouters()))
    return std::nullopt;
  // It may have used what nobody had read.
  if (newest->epoch != 0 && !ConfirmsQuotas(*newest))
    return std::nullopt;
  return newest;
}

int64_t TotalsBook::BoundOf(const fb::RememberedQuotaT& quota,
                            const std::string& workspace,
                            bool is_young) const {
  const fb::AuthorityShareT* share = FindShare(quota, workspace);
  const int64_t known =
      share == nullptr ? 0 : (is_young ? share->ready : share->tokens);
  return known + UnknownAllowance(workspace);
}

bool TotalsBook::EndedWhileYoung(const fb::RememberedQuotaT& quota) const {
  return !quota.boot.empty() && quota.boot == options_.boot &&
         incarnation_began_ - absl::Microseconds(quota.written_us) <
             absl::Milliseconds(quota.ready_ms);
}

bool TotalsBook::AddMargin(const std::string& router) const {
  const std::optional<fb::RememberedQuotaT> told = ToldQuota(router);
  if (!told.has_value())
    return false;
  const auto found = other_routers_.find(router);
  for (const auto& [workspace, total] : totals_) {
    int64_t counted = 0;
    if (found != other_routers_.end() && found->second.authority.has_value()) {
      const fb::AuthorityRecordT& record = *found->second.authority;
      if (const auto* share = FindShare(record, workspace))
        counted = EraOf(record.epoch) == era_ ? share->restored : share->tokens;
    }
    others_margins_[workspace] +=
        BoundOf(*told, workspace, /*is_young=*/false) - counted;
  }
  return true;
}

bool TotalsBook::NeedsCompleteRecord() const {
  return quota_doubt_ == QuotaDoubt::kNone && durable_authority_.has_value() &&
         durable_authority_->incomplete;
}

void TotalsBook::LearnOwnQuota() {
  if (!started_ || quota_doubt_ != QuotaDoubt::kOpen || totals_.empty() ||
      !durable_authority_.has_value() || pending_authority_.has_value())
    return;
  const std::optional<fb::RememberedQuotaT> told = ToldQuota(options_.router);
  if (!told.has_value())
    return;
  const bool is_young = EndedWhileYoung(*told);
  std::set<std::string> workspaces;
  for (const auto& [workspace, total] : totals_)
    workspaces.insert(workspace);
  for (const auto& share : told->shares)
    workspaces.insert(share->workspace);
  for (const std::string& workspace : workspaces) {
    int64_t& counted = restored_quotas_[workspace];
    const int64_t added = BoundOf(*told, workspace, is_young) - counted;
    counted += added;
    UsageOf(workspace).committed += added;
    auto& shares = durable_authority_->shares;
    auto share = std::find_if(
        shares.begin(), shares.end(),
        [&](const auto& item) { return item->workspace == workspace; });
    if (share == shares.end()) {
      shares.push_back(std::make_unique<fb::AuthorityShareT>());
      share = std::prev(shares.end());
      (*share)->workspace = workspace;
    }
    (*share)->tokens += added;
  }
  quota_doubt_ = QuotaDoubt::kLearned;
}

}  // namespace hawthornhollow
