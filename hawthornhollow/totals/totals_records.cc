// Computes the contents of a router's records.
//
// Assumed load: few busy workspaces and many idle ones, totals that are topped
// up and run out, a store that is unreachable for seconds, and routers that are
// killed or lose power. A quota covers the demand of one outage. Near the end
// of a total, what is left is divided by demand, so that no router holds tokens
// that others need. The schedule of a level record lets a router continue at
// its rate of demand through an outage; while the record is young the schedule
// allows little, because that is what a killed router is charged.

#include <algorithm>
#include <cstdlib>

#include "hawthornhollow/totals/shares_internal.h"
#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {
namespace {

// A level record is worth writing when usage has changed by this fraction of
// the headroom.
constexpr double kLevelChangeThreshold = 0.15;
// A record claims at most this fraction of what is unassigned, so that when two
// routers ask at once neither is left with nothing.
constexpr double kMaxShareOfUnassigned = 0.5;

}  // namespace

int64_t TotalsBook::TargetHeadroom(const std::string& workspace,
                                   const LocalUsage& usage,
                                   absl::Duration now) const {
  const double demand_over_outage =
      DemandRate(usage, now) * options_.demand_factor *
      absl::ToDoubleSeconds(options_.outage_horizon);
  const auto total = static_cast<double>(TotalOf(workspace));
  const double left = std::max(
      0.0, total - static_cast<double>(other_routers_sums(workspace).committed +
                                       usage.committed + usage.held));
  const double demand_share =
      left * DemandShare(workspace, usage, now) * (1 - options_.reserve_share);
  const double idle_part =
      left < total * options_.idle_share_threshold
          ? 0
          : left * options_.idle_share / static_cast<double>(router_count());
  return usage.waiting +
         static_cast<int64_t>(
             std::max(std::min(demand_over_outage, demand_share), idle_part));
}

// This router's fraction of all routers' demand. Near the end of a total,
// dividing by demand keeps routers from holding tokens that others need.
double TotalsBook::DemandShare(const std::string& workspace,
                               const LocalUsage& usage,
                               absl::Duration now) const {
  const double own = DemandRate(usage, now);
  const double all =
      own + static_cast<double>(other_routers_sums(workspace).demand);
  return all < 1 ? 1 / static_cast<double>(router_count()) : own / all;
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
  const int64_t unassigned = std::max<int64_t>(
      0,
      TotalOf(workspace) - other_routers_sums(workspace).authority - durable);
  const int64_t max_claim = std::max<int64_t>(
      usage.waiting, static_cast<int64_t>(kMaxShareOfUnassigned *
                                          static_cast<double>(unassigned)));
  return durable + std::min({wanted - durable, max_claim, unassigned});
}

fb::AuthorityRecordT TotalsBook::MakeAuthority(absl::Duration now) {
  fb::AuthorityRecordT record;
  record.router = options_.router;
  record.epoch = epoch_;
  record.sequence = ++authority_sequence_;
  record.address = options_.address;
  for (const auto& [workspace, usage] : usages_) {
    auto share = std::make_unique<fb::AuthorityShareT>();
    share->workspace = workspace;
    share->tokens = TargetAuthority(workspace, usage, now);
    share->demand = static_cast<int64_t>(DemandRate(usage, now));
    if (share->tokens != 0 || share->demand != 0)
      record.shares.push_back(std::move(share));
  }
  pending_authority_ = record;
  return record;
}

void TotalsBook::OnAuthorityDurable() {
  durable_authority_ = std::move(pending_authority_);
  pending_authority_.reset();
}

void TotalsBook::OnAuthorityRefused() {
  pending_authority_.reset();
}

bool TotalsBook::NeedsAuthorityRecord(absl::Duration now) const {
  if (!started_ || pending_authority_.has_value())
    return false;
  if (!HasOwnAuthority())
    return true;
  return std::any_of(usages_.begin(), usages_.end(), [&](const auto& item) {
    const auto& [workspace, usage] = item;
    const int64_t spare =
        DurableAuthority(workspace) - usage.committed - usage.held;
    if (usage.waiting > spare)
      return true;
    const int64_t wanted = TargetHeadroom(workspace, usage, now);
    // Missing tokens in an outage cost more than idle ones, so a shortfall
    // triggers a record earlier than an excess.
    constexpr int64_t kExcessDivisor = 4;
    constexpr int64_t kShortfallDivisor = 32;
    if (spare - wanted > wanted / kExcessDivisor)
      return true;
    return wanted - spare > wanted / kShortfallDivisor &&
           state(workspace, now).unassigned > 0;
  });
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
  if (closing_)
    return share;
  const int64_t headroom =
      EffectiveAuthority(workspace) - usage.committed - usage.held;
  const double by_outage_horizon =
      static_cast<double>(headroom) /
      absl::ToDoubleSeconds(options_.outage_horizon);
  const double rate = std::max(by_outage_horizon,
                               DemandRate(usage, now) * options_.demand_factor);
  const double max_crash_charge =
      static_cast<double>(TotalOf(workspace)) * options_.crash_charge_share;
  share.per_second = static_cast<int64_t>(std::min(
      rate, max_crash_charge / absl::ToDoubleSeconds(options_.late_after)));
  share.late_after_ms = absl::ToInt64Milliseconds(options_.late_after);
  share.late_per_second = static_cast<int64_t>(rate);
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
  for (const auto& [workspace, usage] : usages_) {
    if (EffectiveAuthority(workspace) == 0)
      continue;
    record.shares.push_back(std::make_unique<fb::LevelShareT>(
        MakeLevelShare(workspace, usage, now)));
  }
  pending_level_ = record;
  return record;
}

void TotalsBook::OnLevelDurable() {
  durable_level_ = std::move(pending_level_);
  pending_level_.reset();
}

void TotalsBook::OnLevelRefused() {
  pending_level_.reset();
  ++epoch_;
  level_sequence_ = 0;
}

bool TotalsBook::NeedsLevelRecord(absl::Duration now) const {
  if (!started_ || pending_level_.has_value() || !HasOwnAuthority())
    return false;
  if (!durable_level_.has_value())
    return true;
  return std::any_of(usages_.begin(), usages_.end(), [&](const auto& item) {
    const auto& [workspace, usage] = item;
    const int64_t authority = EffectiveAuthority(workspace);
    if (authority == 0)
      return false;
    const fb::LevelShareT* share = FindShare(durable_level_, workspace);
    const bool waits_for_it = usage.waiting > 0 && !HasFreshLevel(now);
    if (share == nullptr || waits_for_it ||
        usage.committed + usage.committing > CommitLimit(workspace, now))
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
