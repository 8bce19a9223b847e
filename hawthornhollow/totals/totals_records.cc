// Computes the contents of a router's records.
//
// Assumed load: few busy workspaces and many idle ones, totals that are topped
// up and run out, a store that is unreachable for seconds, routers that are
// killed or lose power, and hundreds of routers that each get a small part of a
// workspace's requests. A total is divided among its few holders, so that
// enough is in reach while the store is not, and the last tokens lie in few
// places. A holder that runs short gets tokens from the other holders. The
// schedule of a level record lets a holder continue at its rate of demand, its
// own and that of the routers that ask it, through an outage; it is also what a
// killed router is charged.

#include <algorithm>
#include <cstdlib>

#include "hawthornhollow/totals/shares_internal.h"
#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {
namespace {

// A level record is worth writing when usage has changed by this fraction of
// the headroom.
constexpr double kLevelChangeThreshold = 0.15;

}  // namespace

int64_t TotalsBook::TargetHeadroom(const std::string& workspace,
                                   const LocalUsage& usage,
                                   absl::Duration now) const {
  if (!IsHolder(workspace))
    return 0;
  const int64_t left = std::max<int64_t>(
      0, TotalOf(workspace) - other_routers_sums(workspace).committed -
             usage.committed - usage.held);
  const double part = static_cast<double>(left) * (1 - options_.reserve_share) *
                      HolderShare(workspace, usage, now);
  const double for_outage = DemandRate(usage, now) * options_.demand_factor *
                            absl::ToDoubleSeconds(options_.quota_horizon);
  return usage.waiting + usage.lending +
         static_cast<int64_t>(std::min(
             part, std::max(for_outage, part * options_.idle_quota_share)));
}

// This holder's part of a total. Callers often reach the same router for a long
// time, so the demand of a workspace may come to one holder alone; but the
// other holders keep a part for the time when that one is gone.
double TotalsBook::HolderShare(const std::string& workspace,
                               const LocalUsage& usage,
                               absl::Duration now) const {
  constexpr double kWeightOfDemand = 0.5;
  const double equal_share =
      1 / static_cast<double>(HoldersOf(workspace).size());
  const double all = OwnDemand(usage, now) +
                     static_cast<double>(other_routers_sums(workspace).demand);
  if (all < 1)
    return equal_share;
  const double demand_share = std::min(1.0, DemandRate(usage, now) / all);
  return (1 - kWeightOfDemand) * equal_share + kWeightOfDemand * demand_share;
}

int64_t TotalsBook::TargetAuthority(const std::string& workspace,
                                    const LocalUsage& usage,
                                    absl::Duration now) const {
  const int64_t taken = usage.committed + usage.held;
  if (closing_)
    return taken;
  const int64_t durable = DurableAuthority(workspace);
  const int64_t wanted = taken + TargetHeadroom(workspace, usage, now);
  if (wanted <= durable)
    return wanted;
  const int64_t unassigned = std::max<int64_t>(0, Assignable(workspace, now));
  return durable + std::min(wanted - durable, unassigned);
}

absl::Duration TotalsBook::ReadyHorizon() const {
  return std::max(
      options_.ready_horizon,
      options_.ready_horizon_per_router * static_cast<int64_t>(router_count()));
}

int64_t TotalsBook::TargetReady(const LocalUsage& usage,
                                int64_t quota,
                                absl::Duration now) const {
  const int64_t taken = usage.committed + usage.held;
  const double demand = DemandRate(usage, now) * options_.demand_factor *
                        absl::ToDoubleSeconds(ReadyHorizon());
  const double idle =
      static_cast<double>(quota - taken) * options_.ready_share_of_headroom;
  const int64_t ready = taken + usage.waiting + usage.lending +
                        static_cast<int64_t>(std::max(demand, idle));
  return std::min(quota, ready);
}

bool TotalsBook::IsReadyRunningOut(const std::string& workspace,
                                   const LocalUsage& usage,
                                   absl::Duration now) const {
  const fb::AuthorityShareT* share = FindShare(durable_authority_, workspace);
  if (share == nullptr || share->ready >= share->tokens)
    return false;
  const int64_t taken = usage.committed + usage.held;
  const int64_t wanted = TargetReady(usage, share->tokens, now) - taken;
  return share->ready - taken < wanted / 2;
}

bool TotalsBook::IsNewestRecordYoung(absl::Duration now) const {
  const std::optional<fb::AuthorityRecordT>& newest =
      pending_authority_.has_value() ? pending_authority_ : durable_authority_;
  return newest.has_value() && newest->boot == options_.boot &&
         now - absl::Microseconds(newest->written_us) <
             absl::Milliseconds(newest->ready_ms);
}

fb::AuthorityRecordT TotalsBook::MakeAuthority(absl::Duration now) {
  fb::AuthorityRecordT record;
  record.router = options_.router;
  record.epoch = epoch_;
  record.sequence = ++authority_sequence_;
  record.address = options_.address;
  record.failure_domain = options_.failure_domain;
  record.incomplete = quota_doubt_ != QuotaDoubt::kNone;
  record.authorities_read = authorities_read_;
  record.boot = options_.boot;
  record.written_us = absl::ToInt64Microseconds(now);
  record.ready_ms = absl::ToInt64Milliseconds(ReadyHorizon());
  for (const std::string& router : RoutersToTellOf(now)) {
    record.remembered.push_back(
        std::make_unique<fb::RememberedQuotaT>(*Remember(router)));
  }
  for (const auto& [workspace, usage] : usages_) {
    auto share = std::make_unique<fb::AuthorityShareT>();
    share->workspace = workspace;
    share->tokens = TargetAuthority(workspace, usage, now);
    share->demand = static_cast<int64_t>(OwnDemand(usage, now));
    share->ready = TargetReady(usage, share->tokens, now);
    const auto restored = restored_quotas_.find(workspace);
    if (restored != restored_quotas_.end())
      share->restored = restored->second;
    if (share->tokens != 0 || share->demand != 0 || share->restored != 0)
      record.shares.push_back(std::move(share));
  }
  pending_authority_ = record;
  return record;
}

void TotalsBook::OnAuthorityDurable() {
  durable_authority_ = std::move(pending_authority_);
  pending_authority_.reset();
  is_authority_replaced_ = false;
  const size_t routers = KnownRouters();
  confirmed_ready_.OnDurable(*durable_authority_, authorities_read_, routers);
  confirmed_quotas_.OnDurable(*durable_authority_, authorities_read_, routers);
  ConfirmQuotas();
  LearnOwnQuota();
}

void TotalsBook::OnAuthorityRefused() {
  pending_authority_.reset();
  LearnOwnQuota();
}

bool TotalsBook::NeedsAuthorityRecord(absl::Duration now) const {
  if (!started_ || pending_authority_.has_value())
    return false;
  if (NeedsLevelFirst())
    return false;
  if (!HasOwnAuthority() || is_authority_replaced_)
    return true;
  if (NeedsCompleteRecord())
    return true;
  const std::vector<std::string> in_doubt = RoutersToTellOf(now);
  if (!std::all_of(in_doubt.begin(), in_doubt.end(),
                   [this](const auto& router) { return HasToldOf(router); }))
    return true;
  return std::any_of(usages_.begin(), usages_.end(), [&](const auto& item) {
    const auto& [workspace, usage] = item;
    const int64_t spare =
        DurableAuthority(workspace) - usage.committed - usage.held;
    if (IsReadyRunningOut(workspace, usage, now))
      return true;
    const int64_t unassigned = state(workspace, now).unassigned;
    if (usage.waiting + usage.lending > spare && unassigned > 0 &&
        IsHolder(workspace))
      return true;
    const int64_t wanted = TargetHeadroom(workspace, usage, now);
    // Missing tokens in an outage cost more than idle ones, so a shortfall
    // triggers a record earlier than an excess.
    constexpr int64_t kExcessDivisor = 4;
    constexpr int64_t kShortfallDivisor = 32;
    if (spare - wanted > wanted / kExcessDivisor)
      return true;
    const int64_t shortfall = wanted - spare;
    return std::min(shortfall, unassigned) > wanted / kShortfallDivisor;
  });
}

int64_t TotalsBook::LevelBurst(const LocalUsage& usage,
                               absl::Duration now) const {
  return static_cast<int64_t>(DemandRate(usage, now) * options_.demand_factor *
                              absl::ToDoubleSeconds(options_.burst_horizon));
}

int64_t TotalsBook::ScheduleRate(int64_t headroom,
                                 double demand,
                                 absl::Duration max_horizon) const {
  const auto left = static_cast<double>(std::max<int64_t>(0, headroom));
  return static_cast<int64_t>(
      std::clamp(demand, left / absl::ToDoubleSeconds(max_horizon),
                 left / absl::ToDoubleSeconds(options_.min_outage_horizon)));
}

fb::LevelShareT TotalsBook::MakeLevelShare(const std::string& workspace,
                                           const LocalUsage& usage,
                                           absl::Duration now) const {
  fb::LevelShareT share;
  share.workspace = workspace;
  // Reservations that wait to be committed are included, so that they can be
  // committed once this record is durable.
  share.committed = usage.committed + usage.committing;
  share.held = usage.held - usage.committing;
  share.used = usage.used;
  if (closing_)
    return share;
  const int64_t headroom =
      QuotaInForce(workspace) - usage.committed - usage.held;
  const double demand = DemandRate(usage, now) * options_.demand_factor;
  share.per_second = ScheduleRate(headroom, demand, options_.idle_horizon);
  share.burst = usage.lending + LevelBurst(usage, now);
  share.late_after_ms = absl::ToInt64Milliseconds(options_.late_after);
  share.late_per_second =
      ScheduleRate(headroom, demand, options_.max_outage_horizon);
  share.late_burst =
      share.held +
      static_cast<int64_t>(usage.average_request *
                           static_cast<double>(options_.late_requests));
  return share;
}

fb::LevelRecordT TotalsBook::MakeLevel(absl::Duration now) {
  fb::LevelRecordT record;
  record.router = options_.router;
  record.epoch = epoch_;
  record.sequence = ++level_sequence_;
  record.boot = options_.boot;
  record.written_us = absl::ToInt64Microseconds(now);
  if (earliest_boot_ != absl::InfiniteFuture())
    record.time_of_day_us = absl::ToUnixMicros(earliest_boot_ + now);
  record.final = closing_;
  record.authorities_read = authorities_read_;
  for (const auto& [workspace, usage] : usages_) {
    if (QuotaInForce(workspace) != 0) {
      record.shares.push_back(std::make_unique<fb::LevelShareT>(
          MakeLevelShare(workspace, usage, now)));
    } else if (usage.used > 0) {
      auto share = std::make_unique<fb::LevelShareT>();
      share->workspace = workspace;
      share->used = usage.used;
      record.shares.push_back(std::move(share));
    }
  }
  pending_level_ = record;
  is_level_after_learning_ = quota_doubt_ == QuotaDoubt::kLearned;
  return record;
}

void TotalsBook::OnLevelDurable() {
  durable_level_ = std::move(pending_level_);
  pending_level_.reset();
  if (is_level_after_learning_)
    quota_doubt_ = QuotaDoubt::kNone;
  is_level_after_learning_ = false;
}

void TotalsBook::OnLevelRefused() {
  pending_level_.reset();
  is_level_after_learning_ = false;
  ++epoch_;
  level_sequence_ = 0;
}

bool TotalsBook::NeedsLevelRecord(absl::Duration now) const {
  if (!started_ || pending_level_.has_value())
    return false;
  if (NeedsLevelFirst())
    return true;
  if (!HasOwnAuthority())
    return false;
  if (!durable_level_.has_value() || quota_doubt_ == QuotaDoubt::kLearned)
    return true;
  return std::any_of(usages_.begin(), usages_.end(), [&](const auto& item) {
    const auto& [workspace, usage] = item;
    const int64_t authority = QuotaInForce(workspace);
    if (authority == 0)
      return false;
    const fb::LevelShareT* share = FindShare(durable_level_, workspace);
    const bool waits_for_it = usage.waiting > 0 && !HasFreshLevel(now);
    const int64_t room = RecordedLimit(workspace, now) - usage.committed -
                         usage.committing - usage.lending;
    if (share == nullptr || waits_for_it || room < 0)
      return true;
    // The next record is written before the room of this one is used up.
    const int64_t quota_left = authority - usage.committed - usage.held;
    if (room < std::min(LevelBurst(usage, now) / 2, quota_left))
      return true;
    const int64_t moved =
        std::abs(usage.committed + usage.held - share->committed - share->held);
    const int64_t headroom = authority - share->committed - share->held;
    return static_cast<double>(moved) >
           kLevelChangeThreshold *
               static_cast<double>(std::max<int64_t>(headroom, 1));
  });
}

}  // namespace hawthornhollow
