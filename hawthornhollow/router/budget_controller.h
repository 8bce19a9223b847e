#ifndef HAWTHORNHOLLOW_ROUTER_BUDGET_CONTROLLER_H_
#define HAWTHORNHOLLOW_ROUTER_BUDGET_CONTROLLER_H_

// Token grants, reservations, claims and bills of one router incarnation. They
// are kept in the ledger streams of the log, which this controller reads and
// appends to.

#include <boost/fiber/mutex.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "hawthornhollow/config/config.h"
#include "hawthornhollow/ledger/ledger.h"
#include "hawthornhollow/log/log.h"
#include "hawthornhollow/metrics/metrics.h"
#include "hawthornhollow/router/fiber_group.h"
#include "hawthornhollow/router/one_shot.h"

namespace hawthornhollow {

enum class ReserveResult {
  kReserved,
  // The budget has too few free tokens left for this reservation.
  kExhausted,
  // No grant arrived in time.
  kUnavailable,
  kCallerDisconnected,
};

struct BudgetControllerOptions {
  size_t shards = 1;
  // The longest time that a request waits for a grant.
  absl::Duration grant_wait = absl::Seconds(3);
  // The longest time that Claim waits until it reads back from the log whether
  // the claim was accepted.
  absl::Duration claim_wait = absl::Seconds(3);
  GrantPolicyOptions grants;
  // Whether the configuration given to SetConfig is known to be the newest.
  // Budget totals are appended to the log only then, so that a starting router
  // never writes totals of a replaced version.
  std::function<bool()> config_is_current = [] { return true; };
};

struct BudgetStatus {
  std::string budget;
  int64_t total = 0;
  int64_t spent = 0;
  int64_t held_by_all_routers = 0;
  int64_t held_here = 0;
  int64_t bills = 0;
  friend bool operator==(const BudgetStatus&, const BudgetStatus&) = default;
};

// Thread-safe: each shard has its own lock. Blocking calls block only the
// calling fiber.
class BudgetController {
 public:
  // `on_bill_applied` is called when a bill charged to this incarnation has
  // been read back from the log, whichever process appended it. It must not
  // block.
  BudgetController(
      HttpLogClient& log,
      FiberGroup& fibers,
      MetricRegistry& metrics,
      std::string incarnation,
      const BudgetControllerOptions& options,
      std::function<void(const std::string& request, const std::string& server)>
          on_bill_applied);
  BudgetController(const BudgetController&) = delete;
  BudgetController& operator=(const BudgetController&) = delete;
  ~BudgetController();

  // Starts the fibers that read and append to the stream of each shard.
  void Start();
  // Blocks until the stream of each shard has been read to its end.
  absl::Status WaitCaughtUp(absl::Duration timeout);

  // Sets the configuration whose budget totals are written to the ledger.
  void SetConfig(std::shared_ptr<const Configuration> config, int64_t version);

  // A reservation request. Setting `result` cancels it, for example when the
  // caller disconnects.
  struct Waiter {
    std::string request;
    int64_t tokens = 0;
    absl::Time deadline;
    OneShot<ReserveResult> result;
  };
  // Reserves the largest number of tokens that a request may use. Waits for a
  // grant if the tokens granted so far do not suffice.
  ReserveResult Reserve(const std::string& budget,
                        const std::shared_ptr<Waiter>& waiter);
  // Cancels a reservation whose request was not run.
  void Release(const std::string& budget, const std::string& request);
  // Ends a reservation with a bill, which is appended to the log in a later
  // batch (Urgency::kLazy). The charge must not exceed the reservation.
  void Settle(BillRecord bill);

  // Records in the log that this router runs a request through the given gate,
  // and waits until the claim is read back. Returns the offset of the claim,
  // which serves as the fencing token. Returns ALREADY_EXISTS if another claim
  // or a bill precedes it, and DEADLINE_EXCEEDED if the outcome is not known in
  // time; the claim is then released as soon as the log accepts the release.
  absl::StatusOr<int64_t> Claim(const ClaimRecord& claim);
  // Appends the claim without waiting for the outcome.
  void ClaimAsync(const ClaimRecord& claim);
  // Releases a claim whose request certainly never ran. A claim of another
  // router must be identified by its offset, because that router may have
  // claimed the request again since.
  absl::Status ReleaseClaim(const ClaimRecord& claim, int64_t offset = -1);

  std::optional<BudgetFold::ClaimState> FindClaim(
      const std::string& budget,
      const std::string& request) const;
  std::optional<BudgetFold::BillState> FindBill(
      const std::string& budget,
      const std::string& request) const;
  bool IsAccountClosed(const std::string& incarnation) const;

  // Closes the accounts of a sealed incarnation in every shard.
  // `charge_remainder` charges the tokens that it still holds instead of
  // returning them.
  void CloseAccounts(const std::string& incarnation, bool charge_remainder);
  // Blocks until every record appended so far is durable.
  absl::Status Flush(absl::Duration timeout);

  std::vector<BudgetStatus> Status() const;
  StreamWriterStats WriterStats() const;
  bool LogReachable() const;

 private:
  struct BudgetEntry {
    explicit BudgetEntry(GrantHolder held) : holder(std::move(held)) {}
    GrantHolder holder;
    std::list<std::shared_ptr<Waiter>> waiters;
    // Sequence of the grant request in progress; 0 if there is none.
    int64_t grant_request_sequence = 0;
    absl::Time grant_requested_at;
  };
  struct Shard;

  Shard& ShardOf(const std::string& budget) const;
  BudgetEntry& BudgetEntryOf(Shard& shard, const std::string& budget);
  void OnVerdicts(Shard& shard, const std::vector<Verdict>& verdicts);
  void OnVerdict(Shard& shard, const Verdict& verdict, absl::Time now);
  void UpdateHolderFromFold(Shard& shard, const std::string& budget);
  void ServeWaiters(Shard& shard,
                    const std::string& budget,
                    BudgetEntry& entry);
  void ExpireWaiters(Shard& shard,
                     const std::string& budget,
                     BudgetEntry& entry);
  void Tick(Shard& shard);
  void TickBudgetEntry(Shard& shard,
                       const std::string& budget,
                       BudgetEntry& entry);
  bool FoldHasConfiguredTotal(Shard& shard, const std::string& budget) const;
  void AppendBudgetTotals(Shard& shard);
  absl::StatusOr<int64_t> AppendClaim(Shard& shard, const ClaimRecord& claim);

  HttpLogClient& log_;
  FiberGroup& fibers_;
  MetricRegistry& metrics_;
  const std::string incarnation_;
  const BudgetControllerOptions options_;
  const std::function<void(const std::string&, const std::string&)>
      on_bill_applied_;
  std::vector<std::unique_ptr<Shard>> shards_;

  mutable boost::fibers::mutex config_mutex_;
  std::shared_ptr<const Configuration> config_;
  int64_t config_version_ = 0;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_ROUTER_BUDGET_CONTROLLER_H_
