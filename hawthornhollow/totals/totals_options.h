#ifndef HAWTHORNHOLLOW_TOTALS_TOTALS_OPTIONS_H_
#define HAWTHORNHOLLOW_TOTALS_TOTALS_OPTIONS_H_

// Options of a TotalsBook (totals.h): how large quotas, schedules and transfers
// are for a given demand.

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/time/time.h"

namespace hawthornhollow {

struct TotalsOptions {
  std::string router;   // the VM's name; each VM runs one router
  std::string boot;     // see IncarnationStart::boot
  std::string address;  // where other routers can reach this one
  std::string failure_domain;
  // How many routers hold the total of one workspace; see ChooseHolders.
  size_t max_holders = 3;
  // Whether a request can never be covered is told by what requests used, and
  // not by what the records show as committed. Commitments that nobody made
  // are charged and not used; with this, requests are refused for a while where
  // they would be refused for good, come back, and are mostly refused again.
  bool spent_by_use = false;
  // Multiplier of the recent rate of demand, because a holder may also get the
  // demand of other holders that cannot be reached.
  double demand_factor = 1.2;
  // The quota of a holder is its part of what is left of a total without
  // `reserve_share` of it, but not more than its demand in `quota_horizon` and
  // than `idle_quota_share` of that part. If the VM loses power and no clock
  // can be trusted afterwards, the whole quota is charged. Requests that wait
  // can claim the reserve.
  double reserve_share = 0.2;
  absl::Duration quota_horizon = absl::Seconds(15);
  double idle_quota_share = 0.5;
  // The schedule of a level record follows the recent demand, but it never lets
  // the rest of the quota be committed in less than `min_outage_horizon`, which
  // also bounds what a killed router is charged. Even without demand it lets
  // the rest be committed in `idle_horizon`; once the record is late and the
  // store thus unreachable, in `max_outage_horizon`, because demand that comes
  // up meanwhile can no longer be recorded.
  absl::Duration min_outage_horizon = absl::Seconds(7);
  absl::Duration max_outage_horizon = absl::Seconds(14);
  absl::Duration idle_horizon = absl::Seconds(100);
  // A level record makes room for the demand of this time at once, so that
  // commitments between two records seldom wait for the next one.
  absl::Duration burst_horizon = absl::Milliseconds(400);
  // A router that holds no quota keeps transferred tokens for the demand of
  // this time and hands over the rest.
  absl::Duration transfer_horizon = absl::Milliseconds(600);
  // It keeps no more than this share of what no router has committed. As the
  // total runs out, tokens that nobody waits for are thus collected at the
  // holders: a request may need more than any one router has left over.
  double loan_share = 0.06;
  // A loan is for the demand of this time, so that holders are asked ahead of
  // requests and rarely. Zero: routers ask when requests wait.
  absl::Duration loan_horizon = absl::Seconds(5);
  // A router with little demand borrows for this many requests of average size
  // while its recent demand makes up one in `loan_idle_after`: with requests
  // ten seconds apart the loan of one is mostly there for the next. Holders
  // divide loans among those that asked within this time.
  double loan_requests = 4;
  absl::Duration loan_idle_after = absl::Seconds(100);
  // A killed borrower loses its loan. All loans of a workspace together are at
  // most these shares of its total and of what no router has committed. If
  // transfer_horizon alone needs more, that much is lent.
  double loan_share_of_total = 0.02;
  double loan_share_of_left = 0.1;
  // Of a total, what a router may use of a raised quota before enough others
  // have read the record. A router that is killed while the store loses its
  // records is charged this much beyond what others remember.
  double unknown_share_of_total = 0.02;
  // While its newest authority record is younger than this, a router uses no
  // more of its quota than the demand of this time needs, and is charged no
  // more if others remember the record. The rest is for outages. Others have to
  // read a record in this time, and read less often where there are many.
  absl::Duration ready_horizon = absl::Seconds(4);
  absl::Duration ready_horizon_per_router = absl::Milliseconds(120);
  // At least this share of what is left of the quota, for demand that begins.
  double ready_share_of_headroom = 0.125;
  // Time constant of the decaying average of demand.
  absl::Duration demand_decay = absl::Seconds(5);
  // A level record older than this shows that the store is unreachable. Its
  // schedule then grows at the rate of demand, and additionally allows
  // committing what was held when the record was written and `late_requests`
  // requests of average size. A VM that loses power for one second is back
  // before this age.
  absl::Duration late_after = absl::Milliseconds(2500);
  int64_t late_requests = 2;
  // While the last level record is younger than this, the next one is expected
  // in time and only the quota limits what may be held. Beyond this age the
  // schedule limits it too.
  absl::Duration fresh_record_age = absl::Milliseconds(300);
  friend auto operator<=>(const TotalsOptions&, const TotalsOptions&) = default;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_TOTALS_TOTALS_OPTIONS_H_
