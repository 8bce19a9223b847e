#ifndef HAWTHORNHOLLOW_LEDGER_LEDGER_H_
#define HAWTHORNHOLLOW_LEDGER_LEDGER_H_

// Records of the log's streams, and the deterministic folds that turn a stream
// into state. Two processes that have folded the same prefix hold equal state.
//
//   BudgetFold fold;
//   auto batch = DecodeBatch(bytes);
//   std::vector<Verdict> verdicts = fold.Apply(offset, *batch);
//
// Rules common to every fold:
// - Offsets are applied in order without a gap; Apply returns an error verdict
//   for none, the caller (StreamFollower) guarantees it.
// - A record whose (writer, sequence) is not above the highest applied from
//   that writer is a repeat and changes nothing.
// - A record that breaks a rule is void: it changes nothing but the verdict.
//
// Nothing here reads a clock, draws a random number or does I/O.

#include <algorithm>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "hawthornhollow/config/config.h"

namespace hawthornhollow {

// ---------------------------------------------------------------------------
// Records. Shapes and meaning as in wire/records.fbs.

struct PublishRecord {
  std::string id;
  std::string operator_name;
  int64_t base_version = 0;
  std::vector<FileChange> changes;
  friend auto operator<=>(const PublishRecord&, const PublishRecord&) = default;
};
struct RouterOpenRecord {
  std::string incarnation;
  std::string name;
  std::string failure_domain;
  friend auto operator<=>(const RouterOpenRecord&,
                          const RouterOpenRecord&) = default;
};
struct RouterAliveRecord {
  std::string incarnation;
  friend auto operator<=>(const RouterAliveRecord&,
                          const RouterAliveRecord&) = default;
};
struct RouterClosedRecord {
  std::string incarnation;
  friend auto operator<=>(const RouterClosedRecord&,
                          const RouterClosedRecord&) = default;
};
struct RouterSuspectRecord {
  std::string incarnation;
  std::string reason;
  friend auto operator<=>(const RouterSuspectRecord&,
                          const RouterSuspectRecord&) = default;
};
struct GateOpenRecord {
  std::string gate;
  std::string incarnation;
  std::string server;
  friend auto operator<=>(const GateOpenRecord&,
                          const GateOpenRecord&) = default;
};
struct GateClosedRecord {
  std::string incarnation;
  friend auto operator<=>(const GateClosedRecord&,
                          const GateClosedRecord&) = default;
};
struct GateSealedRecord {
  std::string incarnation;
  std::string router;
  friend auto operator<=>(const GateSealedRecord&,
                          const GateSealedRecord&) = default;
};
struct GateSettledRecord {
  std::string router;
  std::string gate_incarnation;
  friend auto operator<=>(const GateSettledRecord&,
                          const GateSettledRecord&) = default;
};
struct BudgetVotedRecord {
  std::string budget;
  int64_t tokens = 0;
  int64_t config_version = 0;
  friend auto operator<=>(const BudgetVotedRecord&,
                          const BudgetVotedRecord&) = default;
};
// Asks for up to `tokens`. The fold admits what the budget has free if that is
// at least `minimum`; else the record is void, which tells every holder that
// the budget is short.
struct GrantRequestRecord {
  std::string budget;
  std::string incarnation;
  int64_t tokens = 0;
  int64_t minimum = 0;
  friend auto operator<=>(const GrantRequestRecord&,
                          const GrantRequestRecord&) = default;
};
struct GrantReturnRecord {
  std::string budget;
  std::string incarnation;
  int64_t tokens = 0;
  friend auto operator<=>(const GrantReturnRecord&,
                          const GrantReturnRecord&) = default;
};
struct ClaimRecord {
  std::string request;
  std::string budget;
  std::string incarnation;
  std::string gate_incarnation;
  std::string server;
  friend auto operator<=>(const ClaimRecord&, const ClaimRecord&) = default;
};
struct ClaimReleasedRecord {
  std::string request;
  std::string incarnation;
  int64_t claim = -1;  // its offset; -1: whichever the router holds
  friend auto operator<=>(const ClaimReleasedRecord&,
                          const ClaimReleasedRecord&) = default;
};
enum class Outcome { kUnknown, kCompleted, kFailed, kCancelled };
struct BillRecord {
  std::string request;
  std::string budget;
  std::string caller;
  std::string incarnation;
  std::string server;
  std::string witness;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  int64_t charged_tokens = 0;
  Outcome outcome = Outcome::kUnknown;
  friend auto operator<=>(const BillRecord&, const BillRecord&) = default;
};
struct AccountClosedRecord {
  std::string incarnation;
  bool charge_remainder = false;
  friend auto operator<=>(const AccountClosedRecord&,
                          const AccountClosedRecord&) = default;
};
struct CheckpointRecord {
  int64_t offset = 0;
  std::string state;
  friend auto operator<=>(const CheckpointRecord&,
                          const CheckpointRecord&) = default;
};

using RecordBody = std::variant<PublishRecord,
                                RouterOpenRecord,
                                RouterAliveRecord,
                                RouterClosedRecord,
                                RouterSuspectRecord,
                                GateOpenRecord,
                                GateClosedRecord,
                                GateSealedRecord,
                                GateSettledRecord,
                                BudgetVotedRecord,
                                GrantRequestRecord,
                                GrantReturnRecord,
                                ClaimRecord,
                                ClaimReleasedRecord,
                                BillRecord,
                                AccountClosedRecord,
                                CheckpointRecord>;

struct Record {
  int64_t sequence = 0;
  int64_t time_ms = 0;  // the writer's clock, for the audit trail only
  RecordBody body;
  friend auto operator<=>(const Record&, const Record&) = default;
};

struct Batch {
  std::string writer;
  std::vector<Record> records;
  friend auto operator<=>(const Batch&, const Batch&) = default;
};

// Limits of one encoded batch; DecodeBatch refuses what exceeds them.
inline constexpr size_t kMaxBatchBytes = 64 * 1024 * 1024;
inline constexpr size_t kMaxBatchRecords = 16'384;
inline constexpr size_t kMaxWriterBytes = 256;

std::string EncodeBatch(const Batch& batch);
// DATA_LOSS if the bytes are not a valid batch.
absl::StatusOr<Batch> DecodeBatch(std::string_view bytes);

// ---------------------------------------------------------------------------
// Verdicts

enum class VerdictKind {
  kAccepted,
  kVoid,    // broke a rule; `reason` says which
  kRepeat,  // already applied from this writer
};

// What a fold made of one record. The audit trail prints these.
struct Verdict {
  int64_t offset = 0;
  std::string writer;
  Record record;
  VerdictKind kind = VerdictKind::kAccepted;
  std::string reason;
  int64_t amount = 0;  // tokens granted, returned or charged
  friend auto operator<=>(const Verdict&, const Verdict&) = default;
};

// One line of key=value pairs.
std::string FormatVerdict(const Verdict& verdict);

// What a fold decided about one record; the part of a Verdict that depends on
// the fold's rules.
struct Ruling {
  VerdictKind kind = VerdictKind::kAccepted;
  std::string reason;
  int64_t amount = 0;
  friend auto operator<=>(const Ruling&, const Ruling&) = default;
};

// Where a record stands in its stream, and when its writer wrote it.
struct RecordPosition {
  int64_t offset = 0;
  int64_t place = 0;  // index within the batch
  int64_t time_ms = 0;
  friend auto operator<=>(const RecordPosition&,
                          const RecordPosition&) = default;
};

// Highest sequence applied from each writer. Part of every fold.
//
// Bounded: beyond kMaxWriters, the writer whose last record lies furthest back
// is forgotten. A record of a forgotten writer that lands again is not
// recognised as a repeat; the rules of the folds keep it harmless, because an
// incarnation that old is closed (BudgetFold, MembershipFold) or its base
// version is no longer kept (ConfigFold).
class WriterSequences {
 public:
  struct Entry {
    int64_t sequence = 0;
    int64_t offset = 0;  // of the writer's last applied record
    friend auto operator<=>(const Entry&, const Entry&) = default;
  };
  static constexpr size_t kMaxWriters = 65'536;

  // Takes `sequence` as applied. False, and no change, if it is not above the
  // highest from `writer`.
  bool Advance(const std::string& writer, int64_t sequence, int64_t offset);
  // Puts back an entry of a checkpoint.
  void Put(const std::string& writer, const Entry& entry);

  const std::map<std::string, Entry>& entries() const { return entries_; }

  friend bool operator==(const WriterSequences& a, const WriterSequences& b) {
    return a.entries_ == b.entries_;
  }

 private:
  std::map<std::string, Entry> entries_;
  std::set<std::pair<int64_t, std::string>> by_offset_;
};

// A fold over a stream. Serialize/Restore make checkpoints.
template <typename T>
concept Fold = requires(T fold, const T& const_fold, const Batch& batch) {
  { fold.Apply(int64_t{}, batch) } -> std::same_as<std::vector<Verdict>>;
  { const_fold.Serialize() } -> std::same_as<std::string>;
  { T::Restore(std::string_view()) } -> std::same_as<absl::StatusOr<T>>;
  { const_fold.applied_offset() } -> std::same_as<int64_t>;
};

// ---------------------------------------------------------------------------
// Configuration

// The "config" stream. A publish is accepted if each file that it changes is
// the same at its base version as now (or changed to the very same text), and
// the merged result passes Configuration::Merge. Versions rise by one per
// accepted publish. A publish `id` seen before is a repeat: its verdict carries
// the version in `amount`, or 0 and the reason if it was refused.
class ConfigFold {
 public:
  struct VersionInfo {
    int64_t version = 0;
    int64_t offset = 0;
    std::string id;
    std::string operator_name;
    int64_t time_ms = 0;
    std::vector<std::string> files;  // changed by it
    friend auto operator<=>(const VersionInfo&, const VersionInfo&) = default;
  };
  // Kept versions, for stale bases and for going back.
  static constexpr size_t kMaxHistory = 256;
  // Ids of refused publishes that are recognised when they come again.
  static constexpr size_t kMaxRefused = 256;

  std::vector<Verdict> Apply(int64_t offset, const Batch& batch);
  std::string Serialize() const;
  static absl::StatusOr<ConfigFold> Restore(std::string_view state);
  int64_t applied_offset() const { return applied_offset_; }

  // 0 and null before the first accepted publish.
  int64_t version() const { return version_; }
  std::shared_ptr<const Configuration> configuration() const {
    return configuration_;
  }
  const std::vector<VersionInfo>& history() const { return history_; }
  // The files of a kept version; NOT_FOUND if no longer kept.
  absl::StatusOr<ConfigFiles> FilesAt(int64_t version) const;

 private:
  struct Refused {
    std::string id;
    std::string reason;
  };
  using Replaced = std::map<std::string, std::optional<std::string>>;

  Ruling Decide(const PublishRecord& publish, const RecordPosition& at);
  std::optional<Ruling> RulingOfId(const std::string& id) const;
  // The reason why `publish` cannot be accepted, or empty.
  std::string Refusal(const PublishRecord& publish) const;
  std::string Conflict(const FileChange& change, int64_t base_version) const;
  bool IsInForce(const FileChange& change) const;
  int64_t OldestBase() const;
  void Accept(const PublishRecord& publish,
              const RecordPosition& at,
              std::shared_ptr<const Configuration> merged);
  void Refuse(const PublishRecord& publish, const std::string& reason);

  int64_t applied_offset_ = -1;
  int64_t version_ = 0;
  std::shared_ptr<const Configuration> configuration_;
  ConfigFiles files_;
  std::vector<VersionInfo> history_;
  // For each kept version, what its changes replaced (nullopt: absent before).
  std::map<int64_t, Replaced> undo_;
  std::map<std::string, int64_t> version_of_id_;
  std::deque<Refused> refused_;
  WriterSequences sequences_;
};

// ---------------------------------------------------------------------------
// Membership

enum class RouterState { kOpen, kSuspect, kClosed };

// The "members" stream: which router and gate incarnations exist, and how far
// a suspected router's sealing has come.
//
// A gate must seal a suspected router if it opened before the suspicion and is
// not closed. A gate that opens later has read the suspicion before it serves.
// A gate incarnation replaced by a newer one of the same gate name without
// GateClosed is lost: it can no longer seal. A router that had settled it
// (GateSettled) before loses nothing; one that had not is charged its
// remainder.
class MembershipFold {
 public:
  struct Router {
    std::string incarnation;
    std::string name;
    std::string failure_domain;
    RouterState state = RouterState::kOpen;
    int64_t opened_offset = 0;
    int64_t suspect_offset = -1;  // -1: never suspected
    int64_t last_alive_offset = 0;
    int64_t closed_offset = 0;
    std::set<std::string> sealed_by;      // gate incarnations
    std::set<std::string> settled_gates;  // lost gates settled by it
    friend auto operator<=>(const Router&, const Router&) = default;
  };
  struct Gate {
    std::string gate;
    std::string incarnation;
    std::string server;
    int64_t opened_offset = 0;
    bool closed = false;
    bool lost = false;
    int64_t ended_offset = 0;
    friend auto operator<=>(const Gate&, const Gate&) = default;
  };
  // Ended incarnations (closed routers, and closed or lost gates) kept before
  // the oldest is dropped. A lost gate that an unclosed router has still to
  // settle is never dropped.
  static constexpr size_t kMaxEnded = 4096;

  std::vector<Verdict> Apply(int64_t offset, const Batch& batch);
  std::string Serialize() const;
  static absl::StatusOr<MembershipFold> Restore(std::string_view state);
  int64_t applied_offset() const { return applied_offset_; }

  const std::map<std::string, Router>& routers() const { return routers_; }
  const std::map<std::string, Gate>& gates() const { return gates_; }
  bool IsSuspect(std::string_view router) const;
  // Whether `router` is known and neither suspect nor closed. A gate serves
  // these only, so that it refuses an incarnation dropped from the fold.
  bool IsOpen(std::string_view router) const;

  // Whether every gate that `router` could reach has sealed it or is gone.
  bool SealingComplete(std::string_view router) const;
  // Whether, at closing, a lost gate was left unsettled by `router`.
  bool HasUnsettledLoss(std::string_view router) const;

 private:
  Ruling Decide(const RouterOpenRecord& open, const RecordPosition& at);
  Ruling Decide(const RouterAliveRecord& alive, const RecordPosition& at);
  Ruling Decide(const RouterClosedRecord& closed, const RecordPosition& at);
  Ruling Decide(const RouterSuspectRecord& suspect, const RecordPosition& at);
  Ruling Decide(const GateOpenRecord& open, const RecordPosition& at);
  Ruling Decide(const GateClosedRecord& closed, const RecordPosition& at);
  Ruling Decide(const GateSealedRecord& sealed, const RecordPosition& at);
  Ruling Decide(const GateSettledRecord& settled, const RecordPosition& at);
  // Marks the open incarnation of `gate` as lost.
  void LoseGate(const std::string& gate, int64_t offset);
  // Whether `router` could have sent work through `gate`.
  static bool CouldReach(const Router& router, const Gate& gate);
  static bool IsUnsettledLoss(const Router& router, const Gate& gate);
  bool IsNeeded(const Gate& gate) const;
  size_t CountEnded() const;
  void DropOldest();

  int64_t applied_offset_ = -1;
  std::map<std::string, Router> routers_;
  std::map<std::string, Gate> gates_;
  WriterSequences sequences_;
};

// ---------------------------------------------------------------------------
// Budgets

// One "ledger-K" stream: votes, grants, claims and bills of the budgets in
// shard K.
//
// Invariant, for each budget: spent + sum of held <= voted, except that a voted
// cut below it admits no grant until returns and bills bring it back.
class BudgetFold {
 public:
  // What one router incarnation holds of one budget.
  struct Account {
    int64_t granted = 0;
    int64_t returned = 0;
    int64_t billed = 0;
    int64_t held() const { return granted - returned - billed; }
    friend auto operator<=>(const Account&, const Account&) = default;
  };
  struct BudgetState {
    int64_t voted = 0;
    int64_t config_version = 0;
    int64_t spent = 0;  // all bills and charged remainders
    int64_t bills = 0;
    // Rises with each void GrantRequest and each cut that left the budget
    // overdrawn; holders answer a rise by returning what they do not need.
    int64_t shortage_count = 0;
    std::map<std::string, Account> accounts;  // by router incarnation

    int64_t held() const;
    int64_t free() const { return voted - spent - held(); }
    friend auto operator<=>(const BudgetState&, const BudgetState&) = default;
  };
  struct ClaimState {
    std::string incarnation;
    std::string gate_incarnation;
    std::string server;
    int64_t offset = 0;  // the fence
    friend auto operator<=>(const ClaimState&, const ClaimState&) = default;
  };
  struct BillState {
    std::string server;
    int64_t charged_tokens = 0;
    Outcome outcome = Outcome::kUnknown;
    int64_t offset = 0;
    friend auto operator<=>(const BillState&, const BillState&) = default;
  };
  // Request keys whose bill is remembered, and claims that are; of each the
  // oldest goes first. Claims have a bound of their own, so that a flood of
  // ordinary requests does not shorten the memory of those that may run only
  // once. The bill of a claimed request goes with its claim.
  static constexpr size_t kMaxRequests = 200'000;
  static constexpr size_t kMaxClaims = 200'000;
  // Closed incarnations that are remembered.
  static constexpr size_t kMaxClosed = 65'536;
  // The most tokens that one record may name.
  static constexpr int64_t kMaxTokens = 1'000'000'000'000;

  std::vector<Verdict> Apply(int64_t offset, const Batch& batch);
  std::string Serialize() const;
  static absl::StatusOr<BudgetFold> Restore(std::string_view state);
  int64_t applied_offset() const { return applied_offset_; }

  const std::map<std::string, BudgetState>& budgets() const { return budgets_; }
  // These return null if there is none. The pointers last until the next Apply.
  const BudgetState* FindBudget(std::string_view name) const;
  const ClaimState* FindClaim(std::string_view request) const;
  const BillState* FindBill(std::string_view request) const;
  bool IsClosed(std::string_view incarnation) const;

 private:
  // Request keys by the offset and place of their record, oldest first.
  using RequestOrder = std::map<std::pair<int64_t, int64_t>, std::string>;

  Ruling Decide(const BudgetVotedRecord& vote, const RecordPosition& at);
  Ruling Decide(const GrantRequestRecord& request, const RecordPosition& at);
  Ruling Decide(const GrantReturnRecord& given, const RecordPosition& at);
  Ruling Decide(const ClaimRecord& claim, const RecordPosition& at);
  Ruling Decide(const ClaimReleasedRecord& released, const RecordPosition& at);
  Ruling Decide(const BillRecord& bill, const RecordPosition& at);
  Ruling Decide(const AccountClosedRecord& closed, const RecordPosition& at);
  // Why no record of `incarnation` on `budget` can count, or empty.
  std::string AccountRefusal(const std::string& budget,
                             const std::string& incarnation) const;
  void RememberBill(const BillRecord& bill,
                    int64_t charged,
                    const RecordPosition& at);
  void DropOldestBills();
  void DropOldestClaims();
  void RememberClosed(const std::string& incarnation, int64_t offset);

  int64_t applied_offset_ = -1;
  std::map<std::string, BudgetState> budgets_;
  absl::flat_hash_map<std::string, ClaimState> claims_;
  absl::flat_hash_map<std::string, BillState> bills_;
  RequestOrder bill_order_;  // of unclaimed requests
  RequestOrder claim_order_;
  std::map<std::string, int64_t, std::less<>> closed_;  // to the offset
  std::set<std::pair<int64_t, std::string>> closed_order_;
  WriterSequences sequences_;
};

// The shard of a budget.
size_t ShardOfBudget(std::string_view budget, size_t shards);

// ---------------------------------------------------------------------------
// A router's holdings of one shard's budgets

// How much to ask for, and when.
struct GrantPolicyOptions {
  // Ask when what is left lasts less than this many times the time that a
  // grant takes to obtain.
  double foresight = 3.0;
  // If above 0, used in place of foresight: ask when fewer tokens are left.
  int64_t fixed_watermark_tokens = 0;
  // A grant covers the present spend rate for this long.
  absl::Duration grant_cover = absl::Seconds(5);
  int64_t min_grant_tokens = 2'000;
  // The most of a budget's free part that one request asks for.
  double max_free_share = 0.34;
  // Idle tokens above the cover are returned after this long unused.
  absl::Duration idle_return = absl::Seconds(10);
  absl::Duration rate_half_life = absl::Seconds(2);
  // Of a second average, which sees a flood earlier; the higher one decides
  // when to ask.
  absl::Duration flood_half_life = absl::Milliseconds(300);
  // A waiting request is refused only after the budget has not moved for this
  // long (or some grant times, if longer), so that requests in flight
  // elsewhere can settle and give back what they did not use.
  absl::Duration settle_patience = absl::Seconds(2);
};

// Decides on reservations against grants that have been read back, for one
// router incarnation and one budget. Not thread-safe; one per budget, under its
// shard's lock. Time is passed in; nothing here blocks. It asks for nothing
// before the first OnFold.
//
// For each applied batch that concerns the budget, the caller calls OnFold
// first, then OnBillFolded and OnGrantVerdict for the verdicts, so that no
// token counts as available twice. A verdict of kind kRepeat is passed to
// neither: the first one has been. After that, NextReturn and NextGrantRequest,
// and both again from time to time.
class GrantHolder {
 public:
  GrantHolder(std::string budget, const GrantPolicyOptions& options);

  // Reserves the worst case of a request, if the held grants cover it.
  bool Reserve(std::string_view request, int64_t tokens, absl::Time now);
  // Ends a reservation with the tokens really used (0 if not run); they stay
  // subtracted from what is held until the bill is seen in the fold.
  void Settle(std::string_view request, int64_t used_tokens, absl::Time now);
  // What the fold holds for this incarnation now, and the budget's state.
  void OnFold(const BudgetFold::BudgetState& state,
              std::string_view incarnation,
              absl::Time now);
  // The bill for a request has been folded (or was void). It may come before
  // Settle if another witness was faster.
  void OnBillFolded(std::string_view request);

  // Tokens wanted by requests that wait for a grant; 0 and 0 if none does.
  void SetWaiting(int64_t tokens, int64_t smallest_waiting);

  // The next grant request to append, if one is due; at most one is in flight.
  std::optional<GrantRequestRecord> NextGrantRequest(
      std::string_view incarnation,
      absl::Time now);
  // The grant request was folded or void; `took` is the time since appended.
  void OnGrantVerdict(bool accepted, absl::Duration took, absl::Time now);
  // Tokens to give back now: idle, or asked for by a shortage elsewhere.
  std::optional<GrantReturnRecord> NextReturn(std::string_view incarnation,
                                              absl::Time now);

  // Held by the fold, less reserved, less settled but not yet billed, less
  // returns in flight.
  int64_t available() const;
  int64_t reserved() const { return reserved_; }
  // The rate at which tokens are drawn, as of the last reservation or
  // settlement.
  double tokens_per_second() const {
    return std::max(rate_.tokens_per_second, 0.0);
  }
  // Whether a request for `tokens` must be refused: the budget has no room for
  // it even if nothing reserved were used; or requests for grants were void
  // while every other holder had time to return what it does not need.
  bool Exhausted(int64_t tokens, absl::Time now) const;

 private:
  // An average of tokens per second with exponential decay.
  struct DrawRate {
    double tokens_per_second = 0;
    absl::Time at = absl::InfinitePast();

    double At(absl::Time now, absl::Duration half_life) const;
    void Add(int64_t tokens, absl::Time now, absl::Duration half_life);
  };

  void CountDraw(int64_t tokens, absl::Time now);
  // What is drawn in `time` at the long average, and at the higher of both.
  int64_t TokensFor(absl::Duration time, absl::Time now) const;
  int64_t FloodTokensFor(absl::Duration time, absl::Time now) const;
  int64_t MinGrant() const;
  int64_t FreeShare() const;
  int64_t RoomAtMost() const;
  bool IsShort() const;
  int64_t Watermark(absl::Time now) const;
  int64_t Cover(absl::Time now) const;
  absl::Duration Patience() const;
  bool MayAskAgain(int64_t need, absl::Time now) const;
  int64_t WaitingRequest(int64_t need, absl::Time now) const;
  int64_t AheadRequest(absl::Time now) const;
  int64_t NeededInShortage(absl::Time now) const;
  int64_t TakeUnused(absl::Time now);
  int64_t ReturnAmount(absl::Time now);

  std::string budget_;
  GrantPolicyOptions options_;
  bool known_ = false;  // OnFold was called
  int64_t held_ = 0;    // by the fold
  int64_t reserved_ = 0;
  int64_t unbilled_ = 0;  // settled, bill not folded
  int64_t returning_ = 0;
  int64_t waiting_ = 0;
  int64_t smallest_waiting_ = 0;
  int64_t free_ = 0;
  int64_t voted_ = 0;
  int64_t others_held_ = 0;
  int64_t returned_seen_ = 0;
  int64_t shortage_seen_ = 0;
  bool shortage_pending_ = false;  // rose, not yet answered by NextReturn
  absl::Time shortage_at_ = absl::InfinitePast();
  absl::Time hold_off_until_ = absl::InfinitePast();
  absl::Time moved_at_ = absl::InfinitePast();
  int64_t largest_ = 0;  // recent reservation
  // The least that was available since the window began.
  absl::Time window_start_ = absl::InfinitePast();
  int64_t window_low_ = 0;
  DrawRate rate_;
  DrawRate flood_rate_;
  absl::Time last_use_ = absl::InfinitePast();
  absl::Duration grant_time_ = absl::Milliseconds(50);
  bool request_in_flight_ = false;
  int void_in_a_row_ = 0;
  absl::Time first_void_ = absl::InfinitePast();  // of those in a row
  absl::Time last_void_ = absl::InfinitePast();
  std::map<std::string, int64_t, std::less<>> reservations_;
  // Reservations whose bill was folded before Settle.
  std::map<std::string, int64_t, std::less<>> billed_early_;
  std::map<std::string, int64_t, std::less<>> unbilled_requests_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_LEDGER_LEDGER_H_
