#ifndef HAWTHORNHOLLOW_TOTALS_TOTALS_H_
#define HAWTHORNHOLLOW_TOTALS_TOTALS_H_

// Prepaid token totals of workspaces. Many routers spend from a workspace's
// total and coordinate only through a shared store of records. This module
// makes the decisions; it does no I/O, reads no clock and takes no locks.
//
// A few routers, the holders of a workspace (ChooseHolders), have the quotas of
// its total; the others ask them for transfers, and hand over what they do not
// need. Each router keeps two records in the store:
//
// - Its authority record is its quota: for each workspace, the level to which
// the router's commitments may rise. The quotas of all routers together never
// exceed the total, so the total cannot be overdrawn even when routers or the
// store are unreachable. Routers write authority records rarely and one at a
// time.
//
// - Its level record reports how much of the quota is committed: tokens already
// used, and tokens reserved at the worst case for answers that are being
// delivered. Each router writes its own level record often and independently of
// the others.
//
// A reservation is held until the first piece of the answer arrives. It is then
// committed, and only after that may the piece be delivered. Tokens that are
// held but not committed are not charged to anybody if the router dies.
//
//   TotalsBook book({.router = "router-1", .boot = boot, .address = "..."});
//   book.SetTotal("ward-7", 500'000);
//   book.ApplyAuthority(record_of_another_router);
//   book.ApplyLevel(record_of_another_router);
//   book.Start(previous_records_of_this_router, incarnation_start);
//   std::optional<Reservation> r = book.Reserve("ward-7", 1'700, now);
//   ... send the request to a server; when the first piece of its answer
//   arrives: if (book.Commit(*r, now))
//     ... deliver the answer ...
//   book.Settle(*r, used_tokens);  // or Release(*r), if it was not committed
//
//   fb::AuthorityRecordT authority = book.MakeAuthority(now);
//   ... put it into the store, then report the result:
//   book.OnAuthorityDurable();                 // or OnAuthorityRefused()
//   fb::LevelRecordT level = book.MakeLevel(now);
//   book.OnLevelDurable();                     // or OnLevelRefused()
//
// `now` is always the time since the VM's boot, by a clock that keeps counting
// while the VM is suspended. The comment at the top of totals_book.cc argues
// why a router that is killed, suspended or cut off can neither overdraw a
// total nor leave much of it unusable.

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
#include "hawthornhollow/totals/confirmed_quotas.h"
#include "hawthornhollow/totals/restored_totals.h"
#include "hawthornhollow/totals/totals_generated.h"
#include "hawthornhollow/totals/totals_options.h"
#include "hawthornhollow/totals/totals_state.h"
#include "hawthornhollow/totals/transfer_question.h"

namespace hawthornhollow {

// Returns the largest amount that a router may have committed when its level
// record is `age` old, according to the schedule in the record (the router's
// quota limits it further).
int64_t ScheduleLimit(const fb::LevelShareT& share, absl::Duration age);

// Serializes records for the store. Decoding returns DATA_LOSS if the bytes are
// not a valid record.
std::string EncodeAuthority(const fb::AuthorityRecordT& record);
absl::StatusOr<fb::AuthorityRecordT> DecodeAuthority(std::string_view bytes);
std::string EncodeLevel(const fb::LevelRecordT& record);
absl::StatusOr<fb::LevelRecordT> DecodeLevel(std::string_view bytes);

// The era of a store is the number of times that it came back from an older
// copy. Epochs of records that are written in a later era are greater than
// those of all earlier eras.
int64_t FirstEpochOf(int64_t era);
// The era in which a record of this epoch was written; -1 for records of
// versions of this program that did not know eras.
int64_t EraOf(int64_t epoch);

// The records of one router in the store; unset if it has not written one.
struct RouterRecords {
  std::optional<fb::AuthorityRecordT> authority;
  std::optional<fb::LevelRecordT> level;
};

// The time at which an incarnation of a router started, by the clocks available
// to it.
struct IncarnationStart {
  std::string boot;          // identifies the boot of the VM; empty if unknown
  absl::Duration boot_time;  // time since the VM's boot
  // The VM's own time of day, which may have been set forward or back.
  std::optional<absl::Time> time_of_day;
  // The latest time of day shown by this VM or any router that was asked; unset
  // if too few routers answered.
  std::optional<absl::Time> latest_time_of_day;
  // Of the store when the records were read, and when that was, since the VM's
  // boot.
  int64_t store_era = 0;
  absl::Duration read_at;
};

// The clock by which a new incarnation determined the age of the last level
// record written on its VM.
enum class AgeSource {
  kUnknown,    // no clock can be trusted; the age is infinite
  kBootClock,  // the VM was not rebooted, and both of its clocks agree
  kTimeOfDay,  // the VM was rebooted; the latest time of day decides
};
struct RecordAge {
  absl::Duration age = absl::InfiniteDuration();  // upper bound
  AgeSource source = AgeSource::kUnknown;
  friend bool operator==(const RecordAge&, const RecordAge&) = default;
};
RecordAge RecordAgeAtStart(const fb::LevelRecordT& level,
                           const IncarnationStart& start);
std::string_view NameOf(AgeSource source);

// Tokens reserved from a workspace's total for one request: part from this
// router's own quota, part from tokens transferred by other routers.
struct Reservation {
  std::string workspace;
  int64_t from_authority = 0;
  int64_t from_transfers = 0;

  int64_t tokens() const { return from_authority + from_transfers; }
  friend auto operator<=>(const Reservation&, const Reservation&) = default;
};

// A router that can hold tokens of totals.
struct HolderCandidate {
  std::string router;
  std::string failure_domain;
  friend auto operator<=>(const HolderCandidate&,
                          const HolderCandidate&) = default;
};

// A router and where other routers reach it.
struct RouterAddress {
  std::string router;
  std::string address;
  friend auto operator<=>(const RouterAddress&, const RouterAddress&) = default;
};

// Chooses the routers that hold the total of a workspace: at most `count`, in
// different failure domains as far as there are any. All routers that know the
// same candidates choose the same holders, and a router that comes or goes
// changes the holders of few workspaces. Only efficiency depends on the choice:
// what a router may commit is decided by the quotas in the store.
std::vector<std::string> ChooseHolders(
    std::string_view workspace,
    const std::vector<HolderCandidate>& candidates,
    size_t count);

class TotalsBook {
 public:
  explicit TotalsBook(const TotalsOptions& options);

  const std::string& router() const { return options_.router; }
  const std::string& boot() const { return options_.boot; }

  // Sets the total of a workspace. A top-up raises it.
  void SetTotal(std::string_view workspace, int64_t tokens, absl::Duration now);

  // Applies records of other routers. A record that is older than the one
  // already known is ignored.
  void ApplyAuthority(fb::AuthorityRecordT record);
  void ApplyLevel(fb::LevelRecordT record);
  // Number of known routers, including this one and those that left a record
  // and are gone.
  size_t router_count() const { return other_routers_.size() + 1; }
  const std::map<std::string, RouterRecords>& others() const {
    return other_routers_;
  }
  const OtherRoutersSums& other_routers_sums(
      const std::string& workspace) const;
  // The routers that have not ended in order, this one included.
  std::vector<RouterAddress> LivingRouters() const;
  // Addresses of the other routers that hold the workspace's total, those in
  // this router's failure domain first.
  std::vector<std::string> OtherHolders(const std::string& workspace) const;
  // Whether this router is one of the workspace's holders.
  bool IsHolder(const std::string& workspace) const;

  // Starts an incarnation with the records that the previous one on this VM
  // left. The previous one must have ended before `start`. Nothing can be
  // committed before the first level record of this incarnation is durable.
  std::vector<InheritedCharge> Start(const RouterRecords& previous,
                                     const IncarnationStart& start);
  // Reports an authority record of this router that this incarnation did not
  // put, or put earlier: it took effect late.
  void OnStaleAuthority(const fb::AuthorityRecordT& record);
  bool started() const { return started_; }
  // Reports that the store has come back from an older copy. Records that were
  // acknowledged may be gone, and those in flight must not be relied on. Writes
  // both records anew before a quota is raised.
  void BeginEra(int64_t era, absl::Duration now);
  int64_t era() const { return era_; }
  // Whether this router's quota has to be written anew, after its level record.
  bool NeedsRecordsAnew() const;
  // Whether a doubt about the quota has ended that the newest record tells of.
  bool NeedsCompleteRecord() const;
  // Reports that all authority records before `offset`, in the current era,
  // were applied or are this router's own.
  void ObserveAuthoritiesRead(int64_t offset) { authorities_read_ = offset; }
  // Whether an earlier incarnation of this router may have had a larger quota
  // than the store tells.
  QuotaDoubt quota_doubt() const { return quota_doubt_; }

  // Records that a request needs `tokens`, once for each request.
  void ObserveDemand(const std::string& workspace,
                     int64_t tokens,
                     absl::Duration now);
  // Holds `tokens` if they are available now, else returns nullopt.
  std::optional<Reservation> Reserve(const std::string& workspace,
                                     int64_t tokens,
                                     absl::Duration now);
  // Whether Commit will succeed at time `then`, after all reservations that
  // were passed to AddCommitting.
  bool CanCommitBy(const Reservation& reservation, absl::Duration then) const;
  // Commits a reservation and returns true if its tokens may be used from now
  // on. After false the call may be repeated; after true it must not be.
  bool Commit(const Reservation& reservation, absl::Duration now);
  // Returns the tokens of a reservation that was not committed.
  void Release(const Reservation& reservation);
  // Returns the unused tokens of a committed reservation. `used` is capped at
  // the size of the reservation.
  void Settle(const Reservation& reservation, int64_t used);

  // Adds the demand of a request that could not reserve its tokens, until
  // RemoveWaiting is called.
  void AddWaiting(const std::string& workspace, int64_t tokens);
  void RemoveWaiting(const std::string& workspace, int64_t tokens);
  // Adds a reservation that could not be committed yet, until RemoveCommitting
  // is called. The next level record makes room for it.
  void AddCommitting(const Reservation& reservation);
  void RemoveCommitting(const Reservation& reservation);

  // Whether the total cannot cover `tokens`. With `spent_by_use`, it never can:
  // what ended requests used for certain, and this router's requests in
  // progress at their worst case, leave less; tokens that are only committed,
  // lent or charged ahead of use do not count. Without, by the commitments that
  // the records show.
  bool IsSpent(const std::string& workspace, int64_t tokens) const;
  // What no router has committed or holds, as recorded, with the tokens that
  // were transferred to this router. Less than a request needs means that no
  // holder can give it now, though it may later.
  int64_t Uncommitted(const std::string& workspace) const;
  // Whether so much is uncommitted that a request should wait for its tokens
  // rather than be refused.
  bool IsAmple(const std::string& workspace) const;
  // What ended requests of all routers used, at least.
  int64_t UsedByAll(const std::string& workspace) const;
  // Reports that another router knows that at least `tokens` were used.
  void ObserveUsed(const std::string& workspace, int64_t tokens);
  TotalState state(const std::string& workspace, absl::Duration now) const;
  TotalsSum sum(absl::Duration now) const;
  // Records that a clock, of this VM or of another router, showed `time_of_day`
  // at `now`. Level records carry the earliest time of day seen.
  void ObserveTimeOfDay(absl::Time time_of_day, absl::Duration now);

  // Tokens that waiting requests need beyond what is available.
  int64_t WaitingShortfall(const std::string& workspace,
                           absl::Duration now) const;

  // Returns the authority record to put next, on the condition that the store
  // has no authority records newer than those applied here. Until the outcome
  // is reported, commitments stay within both this record and the durable one.
  fb::AuthorityRecordT MakeAuthority(absl::Duration now);
  const std::optional<fb::AuthorityRecordT>& pending_authority() const {
    return pending_authority_;
  }
  void OnAuthorityDurable();
  void OnAuthorityRefused();
  // Whether the quota is so much smaller than needed, or larger than used, that
  // a new record is worth writing.
  bool NeedsAuthorityRecord(absl::Duration now) const;

  // Returns the level record to put next, on the condition that it directly
  // follows this router's last one. Until the outcome is reported, commitments
  // stay within both records.
  fb::LevelRecordT MakeLevel(absl::Duration now);
  const std::optional<fb::LevelRecordT>& pending_level() const {
    return pending_level_;
  }
  void OnLevelDurable();
  // The record did not take effect and never will. The book starts a new epoch.
  void OnLevelRefused();
  bool NeedsLevelRecord(absl::Duration now) const;

  // For an orderly shutdown: from now on nothing is committed, and new records
  // give back unused tokens.
  void BeginClosing() {
    closing_ = true;
    holders_.clear();
  }

  // Transfers up to `wanted` tokens to another router, or none if fewer than
  // `needed` are available, and returns how many. They count as committed here.
  // What exceeds `waiting` is a small part of the quota.
  int64_t TransferOut(const TransferQuestion& question, absl::Duration now);
  // Takes tokens that another router transferred, or that it was given and
  // hands over.
  void ReceiveTransfer(const std::string& workspace, int64_t tokens);
  // Adds tokens that another router asked for and that could not be transferred
  // yet, until RemoveLending is called. The next records make room for them.
  void AddLending(const std::string& workspace, int64_t tokens);
  void RemoveLending(const std::string& workspace, int64_t tokens);
  // A question for `needed` tokens and for what the requests that wait, and
  // those that are likely to come soon, need besides.
  TransferQuestion MakeQuestion(const std::string& workspace,
                                int64_t needed,
                                absl::Duration now) const;
  // A holder that is asked: the most that `borrower` may keep ahead of demand.
  int64_t LoanFor(const TransferQuestion& question, absl::Duration now) const;
  // A borrower: reports what a holder allows it to keep.
  void ObserveLoan(const std::string& workspace, int64_t tokens);
  // A question for a loan ahead of demand, if this router should ask now, while
  // no request waits.
  std::optional<TransferQuestion> MakeLoanQuestion(const std::string& workspace,
                                                   absl::Duration now) const;
  // Removes transferred tokens that this router does not need, and returns how
  // many. They must be handed over to another router, once at most.
  int64_t TakeExcessTransfers(const std::string& workspace, absl::Duration now);
  // The same for all transferred tokens, at the end of the process.
  int64_t TakeAllTransfers(const std::string& workspace);
  std::vector<std::string> workspaces() const;

 private:
  // This router's share of one workspace's total, in tokens.
  struct LocalUsage {
    explicit LocalUsage(absl::Duration demand_decay) : demand(demand_decay) {}
    int64_t committed = 0;
    int64_t held = 0;
    int64_t transfers = 0;    // received from other routers, not yet reserved
    int64_t waiting = 0;      // needed by waiting requests
    int64_t committing = 0;   // held, waiting to be committed by a new record
    int64_t lending = 0;      // asked for by other routers, not transferred yet
    int64_t lent = 0;         // committed for transfers to other routers
    int64_t in_progress = 0;  // reserved and neither released nor settled
    int64_t used = 0;         // settled on this VM, by all its incarnations
    int64_t reported_used = 0;  // by all routers, as other routers said
    int64_t loan = 0;           // the most to keep, as a holder said
    struct Borrower {
      int64_t demand = 0;  // tokens per second
      absl::Duration asked_at;
    };
    std::map<std::string, Borrower> borrowers;  // keyed by router
    DecayedSum demand;  // requested tokens; time is since boot
    double average_request = 0;
  };

  LocalUsage& UsageOf(const std::string& workspace);
  const LocalUsage* FindUsage(const std::string& workspace) const;
  int64_t TotalOf(const std::string& workspace) const;
  // CommitLimit is what may be committed at `now` by all records that may be in
  // force, RecordedLimit the same whether or not others know the quota.
  // QuotaInForce is the quota by these records, EffectiveAuthority what may be
  // used of it.
  int64_t CommitLimit(const std::string& workspace, absl::Duration now) const;
  int64_t RecordedLimit(const std::string& workspace, absl::Duration now) const;
  int64_t QuotaInForce(const std::string& workspace) const;
  int64_t EffectiveAuthority(const std::string& workspace,
                             absl::Duration now) const;
  // What records that enough others know allow now.
  int64_t ConfirmedAuthority(const std::string& workspace,
                             absl::Duration now) const;
  // How long a record is young: only what it makes ready is used.
  absl::Duration ReadyHorizon() const;
  bool IsNewestRecordYoung(absl::Duration now) const;
  int64_t TargetReady(const LocalUsage& usage,
                      int64_t quota,
                      absl::Duration now) const;
  bool IsReadyRunningOut(const std::string& workspace,
                         const LocalUsage& usage,
                         absl::Duration now) const;
  // The part of a total that may be used of a quota that others do not know
  // yet.
  int64_t UnknownAllowance(const std::string& workspace) const;
  // This router and those of which anybody in the store tells, but for routers
  // of versions that neither confirm quotas nor tell of them.
  size_t KnownRouters() const;
  // How many routers have read all authority records before `end`.
  size_t ReadersOf(int64_t end) const;
  void ConfirmQuotas();
  void Confirm(ConfirmedQuotas* confirmed);
  // What may still be held or transferred out of this router's own quota.
  int64_t AvailableFromAuthority(const std::string& workspace,
                                 const LocalUsage& usage,
                                 absl::Duration now) const;
  bool HasFreshLevel(absl::Duration now) const;
  // Whether an authority record of the current epoch is durable.
  bool HasOwnAuthority() const;
  int64_t DurableAuthority(const std::string& workspace) const;
  // Part of a total by which this router's quota may be raised.
  int64_t Assignable(const std::string& workspace, absl::Duration now) const;
  // Whether the quotas of all known routers are known in spite of what the
  // store may have lost.
  bool AreQuotasCertain(absl::Duration now) const;
  bool AreOtherQuotasCertain() const;
  bool IsQuotaCertain(const RouterRecords& records) const;
  bool HasEnded(const RouterRecords& records) const;
  // What this router remembers of another one's quota when the era began; unset
  // if it cannot tell.
  std::optional<fb::RememberedQuotaT> Remember(const std::string& router) const;
  void RememberOthers();
  void RememberOwnTelling(const fb::AuthorityRecordT& previous);
  // Routers that wrote no record in this store of which others tell.
  std::vector<std::string> RoutersOnlyTold() const;
  // The routers of which this one has to tell what it remembers.
  std::vector<std::string> RoutersToTellOf(absl::Duration now) const;
  bool HasToldOf(const std::string& router) const;
  // The newest quota of a router before the era that anybody remembers; unset
  // unless enough routers have told.
  std::optional<fb::RememberedQuotaT> ToldQuota(
      const std::string& router) const;
  // The most that the router can have committed by it, if it had ended while
  // the record was young, or at any time.
  int64_t BoundOf(const fb::RememberedQuotaT& quota,
                  const std::string& workspace,
                  bool is_young) const;
  // Whether this router's earlier incarnation had ended while it was.
  bool EndedWhileYoung(const fb::RememberedQuotaT& quota) const;
  // Adds what another router's quota may exceed its record by; returns false if
  // nobody knows.
  bool AddMargin(const std::string& router) const;
  // The doubt about this router's own earlier quota ends once it is known.
  void LearnOwnQuota();
  // Whether this incarnation has lived through a change of the era and has not
  // written a level record since.
  bool NeedsLevelFirst() const;
  // What the quotas that were written in this era have become smaller since it
  // began, less what others have grown by.
  int64_t GivenBack(const std::string& workspace) const;
  // The store came back, or this incarnation starts in a store whose quotas may
  // be uncertain.
  void BeginRestored(absl::Duration now);
  // What the previous incarnation is charged for one workspace.
  int64_t InheritedTokens(const fb::AuthorityShareT& authority,
                          const fb::LevelShareT& share,
                          const RouterRecords& previous,
                          const RecordAge& record_age) const;
  // Adds another router's record to the sums, or subtracts it if `sign` is -1.
  void AddToSums(const fb::AuthorityRecordT& record, int64_t sign);
  void AddToSums(const fb::LevelRecordT& record, int64_t sign);
  template <typename Record>
  void ApplyOther(std::optional<Record> RouterRecords::*kind, Record record);
  // Holders of a workspace's total among all known routers.
  const std::vector<std::string>& HoldersOf(const std::string& workspace) const;
  std::vector<HolderCandidate> Candidates() const;
  // Recent demand of this router's requests, and of those of the routers that
  // ask it for tokens; per second.
  double OwnDemand(const LocalUsage& usage, absl::Duration now) const;
  double DemandRate(const LocalUsage& usage, absl::Duration now) const;
  int64_t TargetHeadroom(const std::string& workspace,
                         const LocalUsage& usage,
                         absl::Duration now) const;
  int64_t TargetAuthority(const std::string& workspace,
                          const LocalUsage& usage,
                          absl::Duration now) const;
  // Tokens that this router's requests are likely to need soon.
  int64_t ExpectedDemand(const LocalUsage& usage, absl::Duration now) const;
  // What a holder gives at once beyond what requests wait for.
  int64_t AheadLimit(const TransferQuestion& question,
                     absl::Duration now) const;
  // Transferred tokens that a borrower keeps for requests to come.
  struct LoanBounds {
    int64_t ask_below = 0;  // asks ahead of demand below this
    int64_t fill_to = 0;
    int64_t limit = 0;  // hands over what is above, down to `fill_to`
  };
  LoanBounds LoanBoundsOf(const std::string& workspace,
                          const LocalUsage& usage,
                          absl::Duration now) const;
  // What nobody has committed, outside this router's transfers.
  int64_t UncommittedElsewhere(const std::string& workspace,
                               const LocalUsage& usage) const;
  double HolderShare(const std::string& workspace,
                     const LocalUsage& usage,
                     absl::Duration now) const;
  // Tokens per second of a schedule that follows the demand.
  int64_t ScheduleRate(int64_t headroom,
                       double demand,
                       absl::Duration max_horizon) const;
  // Room that a new level record makes for commitments at once.
  int64_t LevelBurst(const LocalUsage& usage, absl::Duration now) const;
  fb::LevelShareT MakeLevelShare(const std::string& workspace,
                                 const LocalUsage& usage,
                                 absl::Duration now) const;

  const TotalsOptions options_;
  std::map<std::string, int64_t, std::less<>> totals_;
  std::map<std::string, RouterRecords> other_routers_;
  // Keyed by workspace. Every request needs these sums, so they are updated as
  // records arrive: summing over hundreds of routers for each request would use
  // most of a small VM's CPU.
  std::map<std::string, OtherRoutersSums> other_routers_sums_;
  std::map<std::string, LocalUsage> usages_;
  // Keyed by workspace; computed when needed and cleared when a router comes or
  // goes.
  mutable std::map<std::string, std::vector<std::string>> holders_;
  std::optional<fb::AuthorityRecordT> durable_authority_;
  std::optional<fb::AuthorityRecordT> pending_authority_;
  std::optional<fb::LevelRecordT> durable_level_;
  std::optional<fb::LevelRecordT> pending_level_;
  // The time of day at the VM's boot, by the earliest clock seen.
  absl::Time earliest_boot_ = absl::InfiniteFuture();
  bool started_ = false;
  bool closing_ = false;
  int64_t era_ = 0;  // of the store
  // This incarnation has lived through a change of the era.
  bool carried_over_ = false;
  QuotaDoubt quota_doubt_ = QuotaDoubt::kNone;
  absl::Duration incarnation_began_;      // since the VM's boot
  bool is_level_after_learning_ = false;  // the pending one
  ConfirmedQuotas confirmed_ready_{&fb::AuthorityShareT::ready};
  ConfirmedQuotas confirmed_quotas_{&fb::AuthorityShareT::tokens};
  int64_t authorities_read_ = 0;
  // Other routers' quotas when the era began; unset for those in doubt then.
  std::map<std::string, std::optional<fb::RememberedQuotaT>> remembered_;
  // The store has another authority record of this router than the newest one.
  bool is_authority_replaced_ = false;
  // Since the store came back. Until `settled_at_` living routers write their
  // records again.
  RestoredTotals restored_;
  absl::Duration settled_at_ = -absl::InfiniteDuration();
  // Computed when needed and cleared when a record or the era changes.
  mutable std::optional<bool> others_certain_;
  mutable std::map<std::string, int64_t> others_margins_;
  mutable std::map<std::string, int64_t> others_given_back_;
  // This router's quotas when the era began; keyed by workspace.
  std::map<std::string, int64_t> restored_quotas_;
  int64_t epoch_ = 0;
  int64_t authority_sequence_ = 0;
  int64_t level_sequence_ = 0;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_TOTALS_TOTALS_H_
