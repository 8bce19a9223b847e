#ifndef HAWTHORNHOLLOW_ROUTER_BUDGET_CONTROLLER_H_
#define HAWTHORNHOLLOW_ROUTER_BUDGET_CONTROLLER_H_

// Grants, reservations, claims and bills of one router incarnation: the ledger
// streams as this router sees and writes them.

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
  kExhausted,    // the fold shows that no grant can come
  kUnavailable,  // no grant came in time
  kCallerDisconnected,
};

struct BudgetControllerOptions {
  size_t shards = 1;
  // The longest that a request waits for a grant.
  absl::Duration grant_wait = absl::Seconds(3);
  // For a claim's verdict to be read back.
  absl::Duration claim_wait = absl::Seconds(3);
  GrantPolicyOptions grants;
  // Whether the configuration of SetConfig is known to be the newest. Votes
  // wait for it, so that a starting router never votes a replaced version.
  std::function<bool()> config_is_current = [] { return true; };
};

struct BudgetStatus {
  std::string budget;
  int64_t voted = 0;
  int64_t spent = 0;
  int64_t held_by_all = 0;
  int64_t held_here = 0;
  int64_t bills = 0;
  friend bool operator==(const BudgetStatus&, const BudgetStatus&) = default;
};

// Thread-safe: each shard has its own lock. Blocking calls block the calling
// fiber only.
class BudgetController {
 public:
  // `on_bill_applied` is called once a bill that this incarnation pays is in
  // the log, whichever witness wrote it. It must not block.
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

  // Starts following and writing every shard.
  void Start();
  // Blocks until each shard has been read to its end.
  absl::Status WaitCaughtUp(absl::Duration timeout);

  // Has the fold take up what was voted in that version.
  void SetConfig(std::shared_ptr<const Configuration> config, int64_t version);

  // A reservation that can be abandoned when its caller has gone.
  struct Waiter {
    std::string request;
    int64_t tokens = 0;
    absl::Time deadline;
    OneShot<ReserveResult> result;
  };
  // Reserves the worst case of a request; waits for a grant where needed.
  ReserveResult Reserve(const std::string& budget,
                        const std::shared_ptr<Waiter>& waiter);
  // Gives a reservation back: the request was not run.
  void Release(const std::string& budget, const std::string& request);
  // Ends a reservation with a bill, which is appended within the writer's lazy
  // delay. The charge must not be above the reservation.
  void Settle(BillRecord bill);

  // Claims a request for this router and a gate. The claim's offset is the
  // fence. ALREADY_EXISTS if another claim or a bill came first;
  // DEADLINE_EXCEEDED if the verdict is not known, and the claim is then
  // released as soon as the log takes it.
  absl::StatusOr<int64_t> Claim(const ClaimRecord& claim);
  // As Claim, without waiting for the verdict.
  void ClaimAsync(const ClaimRecord& claim);
  // Releases a claim that certainly never ran. One of another router must be
  // named by its offset: that router may have claimed anew since.
  absl::Status ReleaseClaim(const ClaimRecord& claim, int64_t offset = -1);

  std::optional<BudgetFold::ClaimState> FindClaim(
      const std::string& budget,
      const std::string& request) const;
  std::optional<BudgetFold::BillState> FindBill(
      const std::string& budget,
      const std::string& request) const;
  bool IsAccountClosed(const std::string& incarnation) const;

  // Closes a sealed incarnation's accounts in every shard.
  void CloseAccounts(const std::string& incarnation, bool charge_remainder);
  // Waits until every record written so far is durable.
  absl::Status Flush(absl::Duration timeout);

  std::vector<BudgetStatus> Status() const;
  StreamWriterStats WriterStats() const;
  bool LogReachable() const;

 private:
  struct BudgetEntry {
    explicit BudgetEntry(GrantHolder held) : holder(std::move(held)) {}
    GrantHolder holder;
    std::list<std::shared_ptr<Waiter>> waiters;
    int64_t grant_request_sequence = 0;  // of the grant request in flight
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
  void AppendBudgetVotes(Shard& shard);
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
