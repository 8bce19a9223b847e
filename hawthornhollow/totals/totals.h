#ifndef HAWTHORNHOLLOW_TOTALS_TOTALS_H_
#define HAWTHORNHOLLOW_TOTALS_TOTALS_H_

// Prepaid totals of workspaces, drawn on by many routers that share only a
// store of records. Decisions only: no I/O, no clock, no locks.
//
// Each router keeps two records in the store. Its authority record says how far
// its commitments may rise, for each workspace; the authorities of all routers
// together never exceed the total, so nobody overdraws it, whoever is cut off.
// Its level record says how much of that it has committed: what is used, and
// what is reserved at the worst case for answers on their way to callers.
// Authorities are written seldom and in turn, levels often and by each router
// apart.
//
// A reservation is held until the first piece of the answer is at hand, then
// committed, and only then may the piece be delivered. Held tokens die with the
// router, and nobody is charged for them.
//
//   TotalsBook book({.router = "router-1", .boot = boot, .address = "..."});
//   book.SetTotal("ward-7", 500'000);
//   book.ApplyAuthority(record_of_another_router);
//   book.ApplyLevel(record_of_another_router);
//   book.Start(previous_records_of_this_router, birth);
//   std::optional<Reservation> r = book.Reserve("ward-7", 1'700, now);
//   ... send the request to a server, and with the first piece of its answer
//   if (book.Commit(*r, now))
//     ... deliver the answer ...
//   book.Settle(*r, used_tokens);  // or Release(*r), if it was not committed
//
//   fb::AuthorityRecordT authority = book.MakeAuthority(now);  // put it, then
//   book.OnAuthorityDurable();                 // or OnAuthorityRefused()
//   fb::LevelRecordT level = book.MakeLevel(now);              // as well
//   book.OnLevelDurable();                     // or OnLevelRefused()
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
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/totals/totals_generated.h"

namespace hawthornhollow {

// The level that a router may have committed to by the time its level record is
// `age` old, as far as the record's schedule goes.
int64_t ScheduleLimit(const fb::LevelShareT& share, absl::Duration age);

// A record's bytes in the store, and back. DATA_LOSS if they are not a record.
std::string EncodeAuthority(const fb::AuthorityRecordT& record);
absl::StatusOr<fb::AuthorityRecordT> DecodeAuthority(std::string_view bytes);
std::string EncodeLevel(const fb::LevelRecordT& record);
absl::StatusOr<fb::LevelRecordT> DecodeLevel(std::string_view bytes);

// What one router has in the store.
struct RouterRecords {
  std::optional<fb::AuthorityRecordT> authority;
  std::optional<fb::LevelRecordT> level;
};

// When an incarnation of a router began, by the clocks that it can ask.
struct Birth {
  std::string boot;  // identifies the run of the clock; empty if unknown
  absl::Duration boot_time;  // the VM's clock
  // The VM's time of day; it may have been set, forward or back.
  std::optional<absl::Time> time_of_day;
  // The latest time of day that this VM or another router's showed; none if not
  // enough of them could be asked.
  std::optional<absl::Time> latest_time_of_day;
};

// How a new incarnation found the age of the last level record on its VM.
enum class AgeSource {
  kUnknown,    // the age is infinite
  kBootClock,  // the VM went on running, and both clocks of it agree
  kTimeOfDay,  // the VM was booted since; the latest clock decides
};
struct RecordAge {
  absl::Duration age = absl::InfiniteDuration();  // at most
  AgeSource source = AgeSource::kUnknown;
  friend bool operator==(const RecordAge&, const RecordAge&) = default;
};
RecordAge AgeAtBirth(const fb::LevelRecordT& level, const Birth& birth);
std::string_view NameOf(AgeSource source);

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
  std::string boot;     // as Birth::boot
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
  // that wait. It also bounds what a loss of power strands near the end.
  double reserve_share = 0.2;
  // The time over which demand is averaged.
  absl::Duration demand_time = absl::Seconds(5);
  // A level record older than this shows that the store is out of reach: the
  // schedule goes by demand then, and what was held when it was written may be
  // committed, with so many requests of the usual size besides. A VM that loses
  // power for a second is back before that.
  absl::Duration late_after = absl::Seconds(2);
  int64_t late_requests = 2;
  // Before that the schedule allows no more than this share of a total. A
  // router that is killed, or loses power, is charged no more.
  double kill_share = 0.02;
  // While the last level record is younger than this, the next one will come in
  // time, and only the authority bounds what is held. After it the schedule
  // does.
  absl::Duration trusted_age = absl::Milliseconds(300);
  friend auto operator<=>(const TotalsOptions&, const TotalsOptions&) = default;
};

// How far a workspace's total has been drawn on, as known here.
struct TotalState {
  int64_t total = 0;
  int64_t committed = 0;   // or held, by all routers, by their newest records
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
  int64_t recorded = 0;   // committed, as the last level record said
  int64_t charged = 0;    // at most committed by its end
  int64_t authority = 0;  // of the last record
  friend auto operator<=>(const Inheritance&, const Inheritance&) = default;
};

// What other routers' records say of a workspace, together. Tokens, and tokens
// a second.
struct OthersSums {
  int64_t authority = 0;
  int64_t committed = 0;  // held included
  int64_t demand = 0;
  friend bool operator==(const OthersSums&, const OthersSums&) = default;
};

class TotalsBook {
 public:
  explicit TotalsBook(const TotalsOptions& options);

  const std::string& router() const { return options_.router; }
  const std::string& boot() const { return options_.boot; }

  // The total of a workspace; a top-up raises it.
  void SetTotal(std::string_view workspace, int64_t tokens);

  // The newest records of other routers. Older ones change nothing.
  void ApplyAuthority(fb::AuthorityRecordT record);
  void ApplyLevel(fb::LevelRecordT record);
  // With this one, and with those that left a record and are gone.
  size_t router_count() const { return others_.size() + 1; }
  const std::map<std::string, RouterRecords>& others() const { return others_; }
  const OthersSums& others_sums(const std::string& workspace) const;

  // Begins an incarnation with the records that the last one on this VM left.
  // That one had ended by `birth`. Nothing may be committed before the first
  // level record is durable.
  std::vector<Inheritance> Start(const RouterRecords& previous,
                                 const Birth& birth);
  // An authority record of this router that this incarnation did not put: the
  // last one sent it, and it took effect late.
  void OnStrayAuthority(const fb::AuthorityRecordT& record);
  bool started() const { return started_; }

  // Holds `tokens` if they are at hand now.
  std::optional<Reservation> Reserve(const std::string& workspace,
                                     int64_t tokens,
                                     absl::Duration now);
  // Whether Commit would do by then, after those that were added to be
  // committed.
  bool CanCommitBy(const Reservation& reservation, absl::Duration then) const;
  // Whether what is held may be used from now on. At most once for each
  // reservation; after false it may be tried again.
  bool Commit(const Reservation& reservation, absl::Duration now);
  // Gives back a reservation that was not committed.
  void Release(const Reservation& reservation);
  // Gives back what was committed and not used. `used` above the reservation is
  // counted as the reservation.
  void Settle(const Reservation& reservation, int64_t used);

  // What a request that could not be reserved asks for, until it is withdrawn.
  void AddWaiting(const std::string& workspace, int64_t tokens);
  void RemoveWaiting(const std::string& workspace, int64_t tokens);
  // A reservation that could not be committed yet, until it is withdrawn. The
  // next record has room for it.
  void AddCommitting(const Reservation& reservation);
  void RemoveCommitting(const Reservation& reservation);

  // Whether `tokens` cannot be had from any router: what all of them have
  // committed leaves less of the total.
  bool IsSpent(const std::string& workspace, int64_t tokens) const;
  TotalState state(const std::string& workspace, absl::Duration now) const;
  TotalsSum sum(absl::Duration now) const;
  // A clock, this VM's or another router's, shows `time_of_day` at `now`. Level
  // records bear the earliest.
  void NoteTimeOfDay(absl::Time time_of_day, absl::Duration now);

  // What waiting requests lack.
  int64_t Missing(const std::string& workspace, absl::Duration now) const;

  // The authority record to be put next, on the condition that no authority
  // record has come after those applied here. Until the outcome is known this
  // stays within both it and the durable one.
  fb::AuthorityRecordT MakeAuthority(absl::Duration now);
  const std::optional<fb::AuthorityRecordT>& pending_authority() const {
    return pending_authority_;
  }
  void OnAuthorityDurable();
  void OnAuthorityRefused();
  // Whether the durable record allows less than what is needed or more than
  // what is used, by enough to be worth a record.
  bool WantsAuthority(absl::Duration now) const;

  // The level record to be put next, on the condition that it follows this
  // router's last one. Until the outcome is known this stays within both.
  fb::LevelRecordT MakeLevel(absl::Duration now);
  const std::optional<fb::LevelRecordT>& pending_level() const {
    return pending_level_;
  }
  void OnLevelDurable();
  // It did not take effect and never will: another epoch begins.
  void OnLevelRefused();
  bool WantsLevel(absl::Duration now) const;

  // From now on nothing is committed, and records give back what is not used.
  // For an incarnation that ends in order.
  void BeginClosing() { closing_ = true; }

  // Hands over up to `wanted` tokens: they count as committed here, and as a
  // transfer to whoever asked.
  int64_t Give(const std::string& workspace,
               int64_t wanted,
               absl::Duration now);
  void ReceiveTransfer(const std::string& workspace, int64_t tokens);

 private:
  // This router's part of one workspace's total.
  struct Holding {
    explicit Holding(absl::Duration demand_time) : demand(demand_time) {}
    int64_t committed = 0;
    int64_t held = 0;
    int64_t transfers = 0;   // handed over by other routers, not yet reserved
    int64_t waiting = 0;     // to be held
    int64_t committing = 0;  // held, waiting to be committed
    DecayedSum demand;       // tokens asked for; its time counts from the boot
    double usual_request = 0;
  };

  Holding& HoldingOf(const std::string& workspace);
  const Holding* FindHolding(const std::string& workspace) const;
  int64_t TotalOf(const std::string& workspace) const;
  // What may be committed by `now`, and what ever may be, by all records.
  int64_t LimitNow(const std::string& workspace, absl::Duration now) const;
  int64_t AuthorityNow(const std::string& workspace) const;
  // Of the authority, what may be held or given away.
  int64_t FreeNow(const std::string& workspace,
                  const Holding& holding,
                  absl::Duration now) const;
  bool IsTrusted(absl::Duration now) const;
  // Whether an authority record of this epoch is durable.
  bool HasOwnAuthority() const;
  int64_t DurableAuthority(const std::string& workspace) const;
  // Adds to the sums what another router's record says, or, with a `sign` of
  // -1, takes it away.
  void Count(const fb::AuthorityRecordT& record, int64_t sign);
  void Count(const fb::LevelRecordT& record, int64_t sign);
  template <typename Record>
  void ApplyOther(std::optional<Record> RouterRecords::*kind, Record record);
  double DemandShare(const std::string& workspace,
                     const Holding& holding,
                     absl::Duration now) const;
  double DemandRate(const Holding& holding, absl::Duration now) const;
  void NoteDemand(Holding* holding, int64_t tokens, absl::Duration now);
  int64_t WantedHeadroom(const std::string& workspace,
                         const Holding& holding,
                         absl::Duration now) const;
  int64_t WantedAuthority(const std::string& workspace,
                          const Holding& holding,
                          absl::Duration now) const;
  fb::LevelShareT MakeLevelShare(const std::string& workspace,
                                 const Holding& holding,
                                 absl::Duration now) const;

  const TotalsOptions options_;
  std::map<std::string, int64_t, std::less<>> totals_;
  std::map<std::string, RouterRecords> others_;
  // By workspace. Every request asks for them, so they are kept as records
  // come: summing over hundreds of routers would take most of a small VM.
  std::map<std::string, OthersSums> others_sums_;
  std::map<std::string, Holding> holdings_;
  std::optional<fb::AuthorityRecordT> durable_authority_;
  std::optional<fb::AuthorityRecordT> pending_authority_;
  std::optional<fb::LevelRecordT> durable_level_;
  std::optional<fb::LevelRecordT> pending_level_;
  // The time of day when the VM's clock was at zero, by the earliest clock.
  absl::Time earliest_boot_ = absl::InfiniteFuture();
  bool started_ = false;
  bool closing_ = false;
  int64_t epoch_ = 0;
  int64_t authority_sequence_ = 0;
  int64_t level_sequence_ = 0;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_TOTALS_TOTALS_H_
