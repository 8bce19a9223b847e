#ifndef HAWTHORNHOLLOW_LEDGER_LEDGER_H_
#define HAWTHORNHOLLOW_LEDGER_LEDGER_H_

// The records of the replicated log's streams, and the deterministic state
// machines ("folds") that turn a stream of records into state. Two processes
// that have applied the same prefix of a stream hold equal state.
//
//   BudgetFold fold;
//   auto batch = DecodeBatch(bytes);
//   std::vector<Verdict> verdicts = fold.Apply(offset, *batch);
//
// Terms:
// - An incarnation is one run of a router or gate process, named by an ID that
//   is never used again.
// - A gate is the proxy in front of one backend server. Routers reach the
//   backend server only through it.
// - A gate seals a router incarnation when it fences it off: from then on the
//   gate refuses every request of that incarnation.
// - A token is the unit in which language model usage is counted and prepaid.
//
// Rules common to every fold:
// - The caller (StreamFollower) applies the offsets in order and without gaps.
//   Apply does not check for gaps and reports no error for one.
// - A record whose sequence is not above the highest sequence applied from its
//   writer is a duplicate and changes nothing.
// - A record that breaks a rule is rejected. Its verdict says why; the state
//   that a rule protects stays as it was.
//
// Nothing here reads a clock, uses random numbers or does I/O.

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
// Records. Each struct mirrors the table of the same name (without "Record") in
// wire/records.fbs, which defines the encoding.

// Publishes changed files of the configuration, based on `base_version`.
struct PublishRecord {
  std::string id;
  std::string operator_name;
  int64_t base_version = 0;
  std::vector<FileChange> changes;
  friend auto operator<=>(const PublishRecord&, const PublishRecord&) = default;
};
// Announces a new router incarnation.
struct RouterOpenRecord {
  std::string incarnation;
  std::string name;
  std::string failure_domain;
  friend auto operator<=>(const RouterOpenRecord&,
                          const RouterOpenRecord&) = default;
};
// The heartbeat of a router incarnation.
struct RouterAliveRecord {
  std::string incarnation;
  friend auto operator<=>(const RouterAliveRecord&,
                          const RouterAliveRecord&) = default;
};
// Ends a router incarnation that has no accounts left.
struct RouterClosedRecord {
  std::string incarnation;
  friend auto operator<=>(const RouterClosedRecord&,
                          const RouterClosedRecord&) = default;
};
// Says that a router incarnation is suspected of having failed.
struct RouterSuspectRecord {
  std::string incarnation;
  std::string reason;
  friend auto operator<=>(const RouterSuspectRecord&,
                          const RouterSuspectRecord&) = default;
};
// Announces a new incarnation of `gate`, which serves the backend server
// `server`.
struct GateOpenRecord {
  std::string gate;
  std::string incarnation;
  std::string server;
  friend auto operator<=>(const GateOpenRecord&,
                          const GateOpenRecord&) = default;
};
// Ends a gate incarnation that serves no router any more and has written all
// its bills.
struct GateClosedRecord {
  std::string incarnation;
  friend auto operator<=>(const GateClosedRecord&,
                          const GateClosedRecord&) = default;
};
// Says that the gate incarnation has sealed the router incarnation.
struct GateSealedRecord {
  std::string incarnation;
  std::string router;
  friend auto operator<=>(const GateSealedRecord&,
                          const GateSealedRecord&) = default;
};
// Says that all requests that the router sent through a lost gate are billed.
struct GateSettledRecord {
  std::string router;
  std::string gate_incarnation;
  friend auto operator<=>(const GateSettledRecord&,
                          const GateSettledRecord&) = default;
};
// Sets the total of a budget as of a version of the configuration.
struct BudgetVotedRecord {
  std::string budget;
  int64_t tokens = 0;
  int64_t config_version = 0;
  friend auto operator<=>(const BudgetVotedRecord&,
                          const BudgetVotedRecord&) = default;
};
// Asks for up to `tokens`. BudgetFold grants as many as the budget has free if
// that is at least `minimum`. Otherwise the record is rejected, which tells
// every router that the budget has a shortage.
struct GrantRequestRecord {
  std::string budget;
  std::string incarnation;
  int64_t tokens = 0;
  int64_t minimum = 0;
  friend auto operator<=>(const GrantRequestRecord&,
                          const GrantRequestRecord&) = default;
};
// Returns tokens that `incarnation` holds to the budget.
struct GrantReturnRecord {
  std::string budget;
  std::string incarnation;
  int64_t tokens = 0;
  friend auto operator<=>(const GrantReturnRecord&,
                          const GrantReturnRecord&) = default;
};
// Claims a request key that must run at most once, before the request is sent.
struct ClaimRecord {
  std::string request;
  std::string budget;
  std::string incarnation;
  std::string gate_incarnation;
  std::string server;
  friend auto operator<=>(const ClaimRecord&, const ClaimRecord&) = default;
};
// Releases a claim whose request certainly never reached the backend server.
struct ClaimReleasedRecord {
  std::string request;
  std::string incarnation;
  // Offset of the claim to release; -1 for any claim that `incarnation` holds
  // on `request`.
  int64_t claim = -1;
  friend auto operator<=>(const ClaimReleasedRecord&,
                          const ClaimReleasedRecord&) = default;
};
enum class Outcome { kUnknown, kCompleted, kFailed, kCancelled };
// Charges the tokens of a request that has ended. `witness` is the incarnation
// that reports the bill: the router's or the gate's.
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
// Closes the accounts of a router incarnation in every budget of the shard. The
// tokens that it still holds are charged to the budgets if `charge_remainder`
// is set, and free again otherwise.
struct AccountClosedRecord {
  std::string incarnation;
  bool charge_remainder = false;
  friend auto operator<=>(const AccountClosedRecord&,
                          const AccountClosedRecord&) = default;
};
// The serialised state of a fold as of `offset`.
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
  // Unix time in milliseconds by the writer's clock, for the audit trail only.
  int64_t time_ms = 0;
  RecordBody body;
  friend auto operator<=>(const Record&, const Record&) = default;
};

struct Batch {
  std::string writer;
  std::vector<Record> records;
  friend auto operator<=>(const Batch&, const Batch&) = default;
};

// Limits of one encoded batch. DecodeBatch returns an error above them.
inline constexpr size_t kMaxBatchBytes = 64 * 1024 * 1024;
inline constexpr size_t kMaxBatchRecords = 16'384;
inline constexpr size_t kMaxWriterBytes = 256;

std::string EncodeBatch(const Batch& batch);
// Returns DATA_LOSS if `bytes` is not a valid batch.
absl::StatusOr<Batch> DecodeBatch(std::string_view bytes);

// ---------------------------------------------------------------------------
// Verdicts

enum class VerdictKind {
  kAccepted,
  kRejected,   // rejected because it breaks a rule; `reason` says which
  kDuplicate,  // duplicate of a record or request that was handled before
};

// The result of applying one record. The audit trail prints one line for each.
struct Verdict {
  int64_t offset = 0;
  std::string writer;
  Record record;
  VerdictKind kind = VerdictKind::kAccepted;
  std::string reason;
  // Tokens voted, granted, returned or charged, or the version of a publish.
  int64_t amount = 0;
  friend auto operator<=>(const Verdict&, const Verdict&) = default;
};

// Returns the audit trail's line for `verdict`: key=value pairs separated by
// spaces, without a line break.
std::string FormatVerdict(const Verdict& verdict);

// The part of a Verdict that depends on the rules of the fold.
struct RecordDecision {
  VerdictKind kind = VerdictKind::kAccepted;
  std::string reason;
  int64_t amount = 0;
  friend auto operator<=>(const RecordDecision&,
                          const RecordDecision&) = default;
};

// The position of a record in its stream, and the time at which it was written.
struct RecordPosition {
  int64_t offset = 0;
  int64_t index_in_batch = 0;
  int64_t time_ms = 0;  // Record::time_ms
  friend auto operator<=>(const RecordPosition&,
                          const RecordPosition&) = default;
};

// The highest sequence applied from each writer, by which every fold detects
// duplicate records.
//
// Keeps at most kMaxWriters writers. Above that, the writer whose last record
// has the lowest offset is removed. If a record of a removed writer is appended
// again, it isn't recognised as a duplicate. The rules of the folds keep it
// harmless: an incarnation that old is closed (BudgetFold, MembershipFold), or
// the base version of the publish is no longer kept (ConfigFold).
class WriterSequences {
 public:
  struct Entry {
    int64_t sequence = 0;
    int64_t offset = 0;  // offset of the writer's last applied record
    friend auto operator<=>(const Entry&, const Entry&) = default;
  };
  static constexpr size_t kMaxWriters = 65'536;

  // Records that `sequence` of `writer` was applied at `offset`. Returns false
  // and changes nothing if `sequence` is not above the writer's highest one.
  bool Advance(const std::string& writer, int64_t sequence, int64_t offset);
  // Sets the entry of `writer`, as when restoring a checkpoint.
  void Set(const std::string& writer, const Entry& entry);

  const std::map<std::string, Entry>& entries() const { return entries_; }

  friend bool operator==(const WriterSequences& a, const WriterSequences& b) {
    return a.entries_ == b.entries_;
  }

 private:
  std::map<std::string, Entry> entries_;
  std::set<std::pair<int64_t, std::string>> by_offset_;
};

// A state machine over one stream. Apply returns one verdict for each record of
// the batch, or none if `offset` was applied before. Serialize returns the
// state as a checkpoint, and Restore reads one back; Restore returns DATA_LOSS
// for bytes that are not a valid checkpoint.
template <typename T>
concept Fold = requires(T fold, const T& const_fold, const Batch& batch) {
  { fold.Apply(int64_t{}, batch) } -> std::same_as<std::vector<Verdict>>;
  { const_fold.Serialize() } -> std::same_as<std::string>;
  { T::Restore(std::string_view()) } -> std::same_as<absl::StatusOr<T>>;
  { const_fold.applied_offset() } -> std::same_as<int64_t>;
};

// ---------------------------------------------------------------------------
// Configuration

// The state of the "config" stream: the configuration in use and its recent
// versions. A publish is accepted if none of the files that it changes has
// changed since its base version (or the file already has the published text),
// and Configuration::Merge accepts the result. Each accepted publish raises the
// version by one. A publish whose `id` was seen before is a duplicate: its
// verdict has the accepted version in `amount`, or 0 and the reason if the
// first publish was rejected.
class ConfigFold {
 public:
  struct VersionInfo {
    int64_t version = 0;
    int64_t offset = 0;
    std::string id;
    std::string operator_name;
    int64_t time_ms = 0;
    std::vector<std::string> files;  // names of the files that it changed
    friend auto operator<=>(const VersionInfo&, const VersionInfo&) = default;
  };
  // Number of versions kept, so that a publish may have an older base and an
  // operator can go back to an earlier version.
  static constexpr size_t kMaxHistory = 256;
  // Number of rejected publishes whose IDs are remembered to detect duplicates.
  static constexpr size_t kMaxRefused = 256;

  std::vector<Verdict> Apply(int64_t offset, const Batch& batch);
  std::string Serialize() const;
  static absl::StatusOr<ConfigFold> Restore(std::string_view state);
  int64_t applied_offset() const { return applied_offset_; }

  // version() is 0 and configuration() null before the first accepted publish.
  int64_t version() const { return version_; }
  std::shared_ptr<const Configuration> configuration() const {
    return configuration_;
  }
  const std::vector<VersionInfo>& history() const { return history_; }
  // Returns the files of `version`, or NOT_FOUND if that version isn't kept.
  absl::StatusOr<ConfigFiles> FilesAt(int64_t version) const;

 private:
  struct RefusedPublish {
    std::string id;
    std::string reason;
  };
  // The earlier text of each changed file; nullopt if the file did not exist.
  using ReplacedFiles = std::map<std::string, std::optional<std::string>>;

  RecordDecision Decide(const PublishRecord& publish,
                        const RecordPosition& position);
  std::optional<RecordDecision> DecisionForId(const std::string& id) const;
  // Returns why `publish` must be rejected, or "" if its merge can be tried.
  std::string RejectionReason(const PublishRecord& publish) const;
  // Returns which version after `base_version` changed the file of `change`, as
  // a reason for rejecting the change, or "" if none did.
  std::string ConflictReason(const FileChange& change,
                             int64_t base_version) const;
  // Whether the current version already has the result of `change`.
  bool IsCurrent(const FileChange& change) const;
  int64_t OldestBase() const;
  void Accept(const PublishRecord& publish,
              const RecordPosition& position,
              std::shared_ptr<const Configuration> merged);
  void RememberRefused(const PublishRecord& publish, const std::string& reason);

  int64_t applied_offset_ = -1;
  int64_t version_ = 0;
  std::shared_ptr<const Configuration> configuration_;
  ConfigFiles files_;
  std::vector<VersionInfo> history_;
  // What each kept version replaced, by version.
  std::map<int64_t, ReplacedFiles> undo_;
  std::map<std::string, int64_t> version_of_id_;
  std::deque<RefusedPublish> refused_;
  WriterSequences sequences_;
};

// ---------------------------------------------------------------------------
// Membership

enum class RouterState { kOpen, kSuspect, kClosed };

// The state of the "members" stream: the router and gate incarnations, and
// which gates have sealed each router that is suspected of having failed.
//
// A gate must seal a suspected router if the gate opened before the suspicion
// and has not ended. A gate that opens later reads the suspicion before it
// serves. A gate incarnation is lost if a newer incarnation of the same gate
// opens before the older one has closed; a lost gate can no longer seal. A
// router settles a lost gate (GateSettled) once all its work there is billed.
// If a router's account is closed while a lost gate is unsettled, the router is
// charged all tokens that it still holds.
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
    std::set<std::string> sealed_by;      // gate incarnations that sealed it
    std::set<std::string> settled_gates;  // lost incarnations that it settled
    friend auto operator<=>(const Router&, const Router&) = default;
  };
  struct Gate {
    std::string gate;
    std::string incarnation;
    std::string server;
    int64_t opened_offset = 0;
    bool closed = false;
    bool lost = false;
    int64_t ended_offset = 0;  // where it was closed or lost
    friend auto operator<=>(const Gate&, const Gate&) = default;
  };
  // Maximum number of ended incarnations (closed routers, and closed or lost
  // gates) that are kept. Above it, the one that ended first is removed. A lost
  // gate that a router which isn't closed has yet to settle is never removed.
  static constexpr size_t kMaxEnded = 4096;

  std::vector<Verdict> Apply(int64_t offset, const Batch& batch);
  std::string Serialize() const;
  static absl::StatusOr<MembershipFold> Restore(std::string_view state);
  int64_t applied_offset() const { return applied_offset_; }

  const std::map<std::string, Router>& routers() const { return routers_; }
  const std::map<std::string, Gate>& gates() const { return gates_; }
  bool IsSuspect(std::string_view router) const;
  // Whether `router` is known and neither suspect nor closed. Gates serve only
  // such routers, so that they refuse an incarnation that the fold has removed.
  bool IsOpen(std::string_view router) const;

  // Whether `router` is suspect or closed, and every gate that it could reach
  // has sealed it, is closed or is lost.
  bool IsSealingComplete(std::string_view router) const;
  // Whether a gate that `router` could reach is lost, has not sealed `router`
  // and has not been settled by it. If so, all tokens that `router` still holds
  // are charged when its account is closed.
  bool HasUnsettledLostGate(std::string_view router) const;

 private:
  RecordDecision Decide(const RouterOpenRecord& open,
                        const RecordPosition& position);
  RecordDecision Decide(const RouterAliveRecord& alive,
                        const RecordPosition& position);
  RecordDecision Decide(const RouterClosedRecord& closed,
                        const RecordPosition& position);
  RecordDecision Decide(const RouterSuspectRecord& suspect,
                        const RecordPosition& position);
  RecordDecision Decide(const GateOpenRecord& open,
                        const RecordPosition& position);
  RecordDecision Decide(const GateClosedRecord& closed,
                        const RecordPosition& position);
  RecordDecision Decide(const GateSealedRecord& sealed,
                        const RecordPosition& position);
  RecordDecision Decide(const GateSettledRecord& settled,
                        const RecordPosition& position);
  // Marks the incarnation of `gate` that has not ended, if any, as lost.
  void MarkGateLost(const std::string& gate, int64_t offset);
  // Whether `router` could have sent requests through `gate`.
  static bool CouldReach(const Router& router, const Gate& gate);
  static bool IsUnsettledLostGate(const Router& router, const Gate& gate);
  // Whether a router that isn't closed has yet to settle the lost `gate`.
  bool MustKeep(const Gate& gate) const;
  size_t CountEnded() const;
  void RemoveOldestEnded();

  int64_t applied_offset_ = -1;
  std::map<std::string, Router> routers_;
  std::map<std::string, Gate> gates_;
  WriterSequences sequences_;
};

// ---------------------------------------------------------------------------
// Budgets

// The state of one "ledger-K" stream: the totals, grants, claims and bills of
// the budgets in shard K. A budget's total is the number of tokens voted for it
// in the configuration.
//
// Invariant of each budget: tokens spent plus tokens held by routers never
// exceed the voted total. The exception is a vote that lowers the total below
// that sum; no grant is made then until returned tokens and bills below their
// reservation have brought the sum back under the total.
class BudgetFold {
 public:
  // The tokens of one budget granted to one router incarnation, and what has
  // become of them.
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
    int64_t spent = 0;  // tokens of all bills and of charged remainders
    int64_t bills = 0;  // number of accepted bills
    // Rises with each grant request that is rejected for lack of free tokens
    // and with each vote that leaves the budget overdrawn. Routers respond to a
    // rise by returning the tokens that they do not need.
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
    int64_t offset = 0;  // of the ClaimRecord; also the fencing token
    friend auto operator<=>(const ClaimState&, const ClaimState&) = default;
  };
  struct BillState {
    std::string server;
    int64_t charged_tokens = 0;
    Outcome outcome = Outcome::kUnknown;
    int64_t offset = 0;
    friend auto operator<=>(const BillState&, const BillState&) = default;
  };
  // Maximum number of bills of unclaimed requests and of claims that are kept.
  // The oldest of each kind is removed first. Claims have their own limit, so
  // that a burst of ordinary requests can't evict requests that must run at
  // most once. The bill of a claimed request is removed with its claim.
  static constexpr size_t kMaxRequests = 200'000;
  static constexpr size_t kMaxClaims = 200'000;
  // Maximum number of closed incarnations that are kept.
  static constexpr size_t kMaxClosed = 65'536;
  // Maximum number of tokens in one record.
  static constexpr int64_t kMaxTokens = 1'000'000'000'000;

  std::vector<Verdict> Apply(int64_t offset, const Batch& batch);
  std::string Serialize() const;
  static absl::StatusOr<BudgetFold> Restore(std::string_view state);
  int64_t applied_offset() const { return applied_offset_; }

  const std::map<std::string, BudgetState>& budgets() const { return budgets_; }
  // Each returns null if there is none. The pointer is valid until the next
  // call of Apply.
  const BudgetState* FindBudget(std::string_view name) const;
  const ClaimState* FindClaim(std::string_view request) const;
  const BillState* FindBill(std::string_view request) const;
  bool IsClosed(std::string_view incarnation) const;

 private:
  // Request keys by the offset and the index in the batch of their record,
  // oldest first.
  using RequestOrder = std::map<std::pair<int64_t, int64_t>, std::string>;

  RecordDecision Decide(const BudgetVotedRecord& vote,
                        const RecordPosition& position);
  RecordDecision Decide(const GrantRequestRecord& request,
                        const RecordPosition& position);
  RecordDecision Decide(const GrantReturnRecord& grant_return,
                        const RecordPosition& position);
  RecordDecision Decide(const ClaimRecord& claim,
                        const RecordPosition& position);
  RecordDecision Decide(const ClaimReleasedRecord& released,
                        const RecordPosition& position);
  RecordDecision Decide(const BillRecord& bill, const RecordPosition& position);
  RecordDecision Decide(const AccountClosedRecord& closed,
                        const RecordPosition& position);
  // Returns why every record of `incarnation` for `budget` must be rejected, or
  // "" if none has to be.
  std::string AccountRejectionReason(const std::string& budget,
                                     const std::string& incarnation) const;
  void RememberBill(const BillRecord& bill,
                    int64_t charged,
                    const RecordPosition& position);
  void RemoveOldestBills();
  void RemoveOldestClaims();
  void RememberClosed(const std::string& incarnation, int64_t offset);

  int64_t applied_offset_ = -1;
  std::map<std::string, BudgetState> budgets_;
  absl::flat_hash_map<std::string, ClaimState> claims_;
  absl::flat_hash_map<std::string, BillState> bills_;
  RequestOrder bill_order_;  // only bills of unclaimed requests
  RequestOrder claim_order_;
  // Maps each closed incarnation to the offset of its closing.
  std::map<std::string, int64_t, std::less<>> closed_;
  std::set<std::pair<int64_t, std::string>> closed_order_;
  WriterSequences sequences_;
};

// Returns the shard of `budget`, from 0 to `shards` - 1.
size_t ShardOfBudget(std::string_view budget, size_t shards);

// ---------------------------------------------------------------------------
// The tokens of a budget that are granted to one router

// When a router requests a grant, and for how many tokens.
struct GrantPolicyOptions {
  // Request a grant when the available tokens last less than this many times
  // the time that it takes to obtain a grant.
  double lead_factor = 3.0;
  // If above 0, replaces lead_factor: request a grant when fewer tokens than
  // this are available.
  int64_t fixed_watermark_tokens = 0;
  // A grant covers the current spend rate for this long.
  absl::Duration grant_cover_time = absl::Seconds(5);
  int64_t min_grant_tokens = 2'000;
  // Maximum share of a budget's free tokens that one grant request asks for.
  double max_free_share = 0.34;
  // Tokens that were not needed for this long are returned, except for those
  // that the next requests are expected to need.
  absl::Duration idle_return_time = absl::Seconds(10);
  // Half-life of the moving average of the spend rate.
  absl::Duration rate_half_life = absl::Seconds(2);
  // Half-life of a second average that reacts sooner to a burst of requests.
  // The higher average decides when to request a grant.
  absl::Duration burst_half_life = absl::Milliseconds(300);
  // A waiting request is refused only after the budget's state has not changed
  // for this long (or for several grant times, if that is longer), so that
  // requests running on other routers can finish and free their unused tokens.
  absl::Duration refusal_delay = absl::Seconds(2);
};

// Reserves tokens for the requests of one router incarnation out of the grants
// that it holds of one budget, and decides when to request or return grants. A
// grant counts only after it was read back from the log. Not thread-safe: there
// is one holder for each budget, guarded by the lock of the budget's shard. The
// caller passes the time in; nothing here blocks. No grant is requested before
// the first call of OnBudgetState.
//
// For each applied batch that concerns the budget, the caller first calls
// OnBudgetState, then OnBillApplied and OnGrantVerdict for the verdicts, so
// that no token counts as available twice. Verdicts of kind kDuplicate are not
// passed on, because the first verdict on the record already was. Afterwards,
// and at regular intervals, the caller calls NextGrantReturn and
// NextGrantRequest.
class GrantHolder {
 public:
  GrantHolder(std::string budget, const GrantPolicyOptions& options);

  // Reserves `tokens`, the most that `request` can use. Returns false if the
  // available tokens do not cover them. Reserving again for the same request
  // succeeds, without a change, if the existing reservation is large enough.
  bool Reserve(std::string_view request, int64_t tokens, absl::Time now);
  // Ends the reservation of `request`, which used `used_tokens` (0 if it did
  // not run). The used tokens stay unavailable until OnBillApplied.
  void Settle(std::string_view request, int64_t used_tokens, absl::Time now);
  // Updates the holder with the budget's `state` after a batch was applied.
  void OnBudgetState(const BudgetFold::BudgetState& state,
                     std::string_view incarnation,
                     absl::Time now);
  // Must be called when the bill of `request` was applied, accepted or
  // rejected. This can come before Settle if another process billed the request
  // first.
  void OnBillApplied(std::string_view request);

  // Sets the number of tokens needed by all requests that wait for a grant and
  // by the smallest of them; both are 0 if none waits.
  void SetWaitingTokens(int64_t tokens, int64_t smallest_waiting);

  // Returns the next grant request to append to the log, if one is due. At most
  // one is in flight.
  std::optional<GrantRequestRecord> NextGrantRequest(
      std::string_view incarnation,
      absl::Time now);
  // Must be called when the grant request was applied. `took` is the time since
  // it was appended.
  void OnGrantVerdict(bool accepted, absl::Duration took, absl::Time now);
  // Returns the next return of tokens to append to the log, if one is due: of
  // idle tokens, or because the budget has a shortage.
  std::optional<GrantReturnRecord> NextGrantReturn(std::string_view incarnation,
                                                   absl::Time now);

  // Tokens held according to the fold, minus those reserved, those used but not
  // yet billed and those in a return that was not yet applied.
  int64_t available() const;
  int64_t reserved() const { return reserved_; }
  // The average spend rate as of the last reservation or settlement.
  double tokens_per_second() const {
    return std::max(rate_.tokens_per_second, 0.0);
  }
  // Whether a request for `tokens` must be refused, because the budget could
  // not cover it even if every reservation came back unused, or because grant
  // requests were rejected although the other routers have had time to return
  // the tokens that they do not need.
  bool ShouldRefuse(int64_t tokens, absl::Time now) const;

 private:
  // An exponentially decaying average of tokens per second.
  struct TokenRate {
    double tokens_per_second = 0;
    absl::Time at = absl::InfinitePast();

    double At(absl::Time now, absl::Duration half_life) const;
    void Add(int64_t tokens, absl::Time now, absl::Duration half_life);
  };

  // Adds `tokens` to the spend rates; negative to take back unused tokens.
  void CountTokens(int64_t tokens, absl::Time now);
  // Returns how many tokens are spent in `time` at the long-term average, and
  // at the higher of the long-term and the burst average.
  int64_t TokensFor(absl::Duration time, absl::Time now) const;
  int64_t BurstTokensFor(absl::Duration time, absl::Time now) const;
  int64_t MinGrant() const;
  int64_t FreeShare() const;
  int64_t MaxSpendable() const;
  bool IsFreeLow() const;
  int64_t Watermark(absl::Time now) const;
  int64_t GrantTarget(absl::Time now) const;
  absl::Duration RefusalDelay() const;
  bool MayRetryRequest(int64_t need, absl::Time now) const;
  int64_t TokensForWaiting(int64_t need, absl::Time now) const;
  int64_t TokensInAdvance(absl::Time now) const;
  int64_t TokensNeededInShortage(absl::Time now) const;
  int64_t TakeUnusedTokens(absl::Time now);
  int64_t ReturnAmount(absl::Time now);

  std::string budget_;
  GrantPolicyOptions options_;
  bool has_state_ = false;  // whether OnBudgetState was called
  int64_t held_ = 0;        // as of the last OnBudgetState
  int64_t reserved_ = 0;
  int64_t unbilled_ = 0;   // used by settled requests, bill not yet applied
  int64_t returning_ = 0;  // in a return that was not yet applied
  int64_t waiting_ = 0;
  int64_t smallest_waiting_ = 0;
  int64_t free_ = 0;
  int64_t voted_ = 0;
  int64_t others_held_ = 0;
  int64_t returned_seen_ = 0;
  int64_t shortage_seen_ = 0;
  // Whether the shortage count rose and NextGrantReturn has not yet responded.
  bool shortage_pending_ = false;
  absl::Time shortage_at_ = absl::InfinitePast();
  absl::Time no_advance_until_ = absl::InfinitePast();
  absl::Time last_change_at_ = absl::InfinitePast();
  // The size of the largest recent reservation, decaying with each later one.
  int64_t recent_largest_ = 0;
  // The fewest tokens that were available since window_start_.
  absl::Time window_start_ = absl::InfinitePast();
  int64_t window_min_available_ = 0;
  TokenRate rate_;
  TokenRate burst_rate_;
  absl::Time last_use_ = absl::InfinitePast();
  absl::Duration grant_time_ = absl::Milliseconds(50);
  bool request_in_flight_ = false;
  int consecutive_rejections_ = 0;
  // The first and last of the consecutive rejections.
  absl::Time first_rejection_at_ = absl::InfinitePast();
  absl::Time last_rejection_at_ = absl::InfinitePast();
  std::map<std::string, int64_t, std::less<>> reservations_;
  // Reservations whose bill was applied before Settle was called.
  std::map<std::string, int64_t, std::less<>> billed_early_;
  std::map<std::string, int64_t, std::less<>> unbilled_requests_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_LEDGER_LEDGER_H_
