#ifndef HAWTHORNHOLLOW_TOTALS_TOTALS_H_
#define HAWTHORNHOLLOW_TOTALS_TOTALS_H_

// Prepaid totals of workspaces, drawn on by many routers that share only a
// store of records. Decisions only: no I/O, no clock, no locks.
//
// Each router keeps one record in the store: per workspace what it has
// committed (used, or reserved at the worst case) and an authority, the level
// to which its commitments may rise. The authorities of all routers together
// never exceed the total, so nobody overdraws it, whoever is cut off.
//
//   TotalsBook book({.router = "router-1", .boot = boot, .address = "..."});
//   book.SetTotal("ward-7", 500'000);
//   book.ApplyRecord(record_of_another_router);
//   book.Start(previous_record_of_this_router, now);
//   std::optional<Reservation> r = book.Reserve("ward-7", 1'700, now);
//   ... run the request ...
//   book.Settle(*r, used_tokens);
//
//   fb::RouterRecordT record = book.MakeRecord(now);  // append it, then
//   book.OnRecordDurable();                           // or OnRecordRefused()
//
// `now` is always the VM's clock that goes on while the VM is suspended, as the
// time since its boot. totals_book.cc has the argument of why a router that is
// killed, frozen or cut off can neither overdraw nor strand much.

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "hawthornhollow/totals/totals_generated.h"

namespace hawthornhollow {

// The level that a router may have committed to by the time its record is
// `age` old, as far as the record allows.
int64_t SpendingLimit(const fb::TotalShareT& share, absl::Duration age);

// A record's bytes in the store, and back. DATA_LOSS if they are not a record.
std::string EncodeRouterRecord(const fb::RouterRecordT& record);
absl::StatusOr<fb::RouterRecordT> DecodeRouterRecord(std::string_view bytes);

// Tokens taken from a workspace's total for one request.
struct Reservation {
  std::string workspace;
  int64_t from_authority = 0;
  int64_t from_transfers = 0;

  int64_t tokens() const { return from_authority + from_transfers; }
  friend auto operator<=>(const Reservation&, const Reservation&) = default;
};

struct TotalsOptions {
  std::string router;   // the VM's name: one router runs on a VM
  std::string boot;     // identifies the run of the clock; empty if unknown
  std::string address;  // for other routers
  // How long a router cut off from the store shall be able to go on at the rate
  // at which tokens were asked for lately.
  absl::Duration horizon = absl::Seconds(8);
  // Times the recent rate, since a cut-off router may get others' callers too.
  double headroom = 1.2;
  // While more than this share of a total is left, each router holds its part
  // of `idle_share` of what is left, asked or not: whoever is asked first in an
  // outage has something, and what a power loss strands was hardly wanted.
  double plenty = 0.25;
  double idle_share = 0.3;
  // Of what is left of a total, kept out of the division by demand for requests
  // that wait.
  double reserve_share = 0.2;
  // The time over which demand is averaged.
  absl::Duration demand_time = absl::Seconds(5);
  // Requests of the usual size that may be reserved at once without a record,
  // when the last one is older than `burst_after`. A killed router is back
  // before that, and is charged nothing for them.
  int64_t burst_requests = 2;
  absl::Duration burst_after = absl::Milliseconds(1200);
  friend auto operator<=>(const TotalsOptions&, const TotalsOptions&) = default;
};

// How far a workspace's total has been drawn on, as known here.
struct TotalState {
  int64_t total = 0;
  int64_t committed = 0;   // by all routers, as of their newest records
  int64_t available = 0;   // to this router right now
  int64_t unassigned = 0;  // of the total, to no router
  friend auto operator<=>(const TotalState&, const TotalState&) = default;
};

// Over all workspaces, at this router.
struct TotalsSum {
  int64_t available = 0;  // at hand right now
  int64_t waiting = 0;    // wanted by requests that wait
  friend auto operator<=>(const TotalsSum&, const TotalsSum&) = default;
};

// What an incarnation was charged for the commitments of the one before it.
struct Inheritance {
  std::string workspace;
  int64_t recorded = 0;   // committed, as the last record said
  int64_t charged = 0;    // at most committed by its end
  int64_t authority = 0;  // of the last record
  friend auto operator<=>(const Inheritance&, const Inheritance&) = default;
};

class TotalsBook {
 public:
  explicit TotalsBook(const TotalsOptions& options);

  // The total of a workspace; a top-up raises it.
  void SetTotal(std::string_view workspace, int64_t tokens);

  // The newest record of another router. Older ones change nothing.
  void ApplyRecord(fb::RouterRecordT record);
  // With this one, and with those that left a record and are gone.
  size_t router_count() const { return others_.size() + 1; }
  const std::map<std::string, fb::RouterRecordT>& others() const {
    return others_;
  }

  // Begins an incarnation with the record that the last one on this VM left, if
  // any. Nothing may be reserved from the authority before the first record is
  // durable.
  std::vector<Inheritance> Start(
      const std::optional<fb::RouterRecordT>& previous,
      absl::Duration now);
  bool started() const { return started_; }

  // Takes `tokens` if they are at hand now.
  std::optional<Reservation> Reserve(const std::string& workspace,
                                     int64_t tokens,
                                     absl::Duration now);
  // Gives back what was reserved and not used. `used` above the reservation is
  // counted as the reservation.
  void Settle(const Reservation& reservation, int64_t used);

  // What a request that could not be reserved asks for, until it is withdrawn.
  void AddWaiting(const std::string& workspace, int64_t tokens);
  void RemoveWaiting(const std::string& workspace, int64_t tokens);

  // Whether `tokens` cannot be had from any router: what all of them have
  // committed leaves less of the total.
  bool IsSpent(const std::string& workspace, int64_t tokens) const;
  TotalState state(const std::string& workspace, absl::Duration now) const;
  TotalsSum sum(absl::Duration now) const;
  // What waiting requests lack.
  int64_t Missing(const std::string& workspace, absl::Duration now) const;

  // The record to be put into the store next, on the condition that no record
  // has come after those applied here. Until the outcome is known spending
  // stays within both this record and the durable one.
  fb::RouterRecordT MakeRecord(absl::Duration now);
  // The last record of an incarnation that ends in order: nothing more may be
  // committed under it, so that the next incarnation inherits what was.
  fb::RouterRecordT MakeLastRecord(absl::Duration now);
  bool has_pending_record() const { return pending_.has_value(); }
  const std::optional<fb::RouterRecordT>& pending_record() const {
    return pending_;
  }
  void OnRecordDurable();
  void OnRecordRefused();
  // Whether the durable record says less than what is needed or more than what
  // is used, by enough to be worth a record.
  bool WantsRecord(absl::Duration now) const;

  // Hands over up to `wanted` tokens: they count as committed here, and as a
  // transfer to whoever asked.
  int64_t Give(const std::string& workspace,
               int64_t wanted,
               absl::Duration now);
  void ReceiveTransfer(const std::string& workspace, int64_t tokens);

 private:
  // This router's part of one workspace's total.
  struct Holding {
    int64_t committed = 0;
    int64_t transfers = 0;  // handed over by other routers, not yet reserved
    int64_t waiting = 0;
    // Demand: tokens asked for, as a decaying sum, and the usual request.
    double recent_tokens = 0;
    double usual_request = 0;
    absl::Duration decayed_at;
  };

  Holding& HoldingOf(const std::string& workspace);
  const Holding* FindHolding(const std::string& workspace) const;
  int64_t TotalOf(const std::string& workspace) const;
  int64_t LimitNow(const std::string& workspace, absl::Duration now) const;
  int64_t DurableAuthority(const std::string& workspace) const;
  int64_t OthersAuthority(const std::string& workspace) const;
  int64_t OthersCommitted(const std::string& workspace) const;
  int64_t OthersDemand(const std::string& workspace) const;
  double DemandShare(const std::string& workspace,
                     const Holding& holding,
                     absl::Duration now) const;
  double DemandRate(const Holding& holding, absl::Duration now) const;
  void NoteDemand(Holding* holding, int64_t tokens, absl::Duration now);
  int64_t WantedHeadroom(const std::string& workspace,
                         const Holding& holding,
                         absl::Duration now) const;
  fb::TotalShareT MakeShare(const std::string& workspace,
                            const Holding& holding,
                            absl::Duration now) const;

  const TotalsOptions options_;
  std::map<std::string, int64_t, std::less<>> totals_;
  std::map<std::string, fb::RouterRecordT> others_;
  std::map<std::string, Holding> holdings_;
  std::optional<fb::RouterRecordT> durable_;
  std::optional<fb::RouterRecordT> pending_;
  bool started_ = false;
  int64_t epoch_ = 0;
  int64_t sequence_ = 0;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_TOTALS_TOTALS_H_
