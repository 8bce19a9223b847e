// Each budget that this router has used has one BudgetEntry. It holds a
// GrantHolder, which tracks the granted and reserved tokens, and the list of
// requests that wait for a grant. Every change of an entry (a record read back
// from the log, a reservation, a periodic tick) runs under the lock of its
// shard and then tries to serve the waiting requests.
//
// A reservation succeeds only against grants that were read back from the log,
// so that neither a network partition nor a wrong clock can make two routers
// spend the same tokens.
//
// A waiting request is refused as exhausted only if this router has read the
// log to its end and the state replayed from it (the fold) holds the total that
// the configuration sets for the budget. Otherwise a lack of free tokens may
// only mean that a new total or a returned grant has not been read yet.

#include "hawthornhollow/router/budget_controller.h"

#include <algorithm>
#include <mutex>
#include <set>
#include <utility>

#include "hawthornhollow/base/base.h"

namespace hawthornhollow {
namespace {

constexpr absl::Duration kTickInterval = absl::Milliseconds(10);
constexpr absl::Duration kCheckpointInterval = absl::Seconds(1);

using LedgerWriter = StreamWriter<HttpLogClient>;
using LedgerFollower = StreamFollower<BudgetFold, HttpLogClient>;

// The budget that a record is about; empty if the record is about no budget or
// about all of them.
std::string BudgetOf(const RecordBody& body) {
  return std::visit(
      [](const auto& record) -> std::string {
        if constexpr (requires { record.budget; })
          return record.budget;
        else
          return "";
      },
      body);
}

}  // namespace

struct BudgetController::Shard {
  std::string stream;
  std::unique_ptr<LedgerWriter> writer;
  std::unique_ptr<LedgerFollower> follower;
  mutable boost::fibers::mutex mutex;
  std::map<std::string, BudgetEntry> entries;
  // The configuration version whose budget totals are all in the fold or were
  // appended to the stream by this router.
  int64_t appended_totals_version = 0;
};

BudgetController::BudgetController(
    HttpLogClient& log,
    FiberGroup& fibers,
    MetricRegistry& metrics,
    std::string incarnation,
    const BudgetControllerOptions& options,
    std::function<void(const std::string&, const std::string&)> on_bill_applied)
    : log_(log),
      fibers_(fibers),
      metrics_(metrics),
      incarnation_(std::move(incarnation)),
      options_(options),
      on_bill_applied_(std::move(on_bill_applied)) {
  for (size_t i = 0; i < options_.shards; ++i) {
    auto shard = std::make_unique<Shard>();
    Shard* raw = shard.get();
    shard->stream = "ledger-" + std::to_string(i);
    shard->writer = LedgerWriter::Create(log_, shard->stream, incarnation_,
                                         StreamWriterOptions());
    StreamFollowerCallbacks callbacks;
    callbacks.on_verdicts = [this, raw](int64_t,
                                        const std::vector<Verdict>& verdicts) {
      OnVerdicts(*raw, verdicts);
    };
    callbacks.on_restored = [this, raw](int64_t) {
      std::lock_guard lock(raw->mutex);
      raw->appended_totals_version = 0;
      for (auto& [budget, entry] : raw->entries)
        UpdateHolderFromFold(*raw, budget);
    };
    shard->follower = LedgerFollower::Create(
        log_, shard->stream, StreamFollowerOptions(), std::move(callbacks));
    shard->follower->RegisterWriter(*shard->writer);
    shards_.push_back(std::move(shard));
  }
}

BudgetController::~BudgetController() = default;

void BudgetController::Start() {
  for (const auto& owned : shards_) {
    Shard* shard = owned.get();
    fibers_.Spawn([this, shard] { shard->writer->Run(fibers_.stop()); });
    fibers_.Spawn([this, shard] { shard->follower->Run(fibers_.stop()); });
    fibers_.Spawn([this, shard] {
      while (!fibers_.stopped()) {
        Tick(*shard);
        hawthornhollow::SleepFor(kTickInterval);
      }
    });
    fibers_.Spawn([this, shard] {
      while (!fibers_.stopped()) {
        shard->follower->MaybeCheckpoint(*shard->writer);
        hawthornhollow::SleepFor(kCheckpointInterval);
      }
    });
  }
}

absl::Status BudgetController::WaitCaughtUp(absl::Duration timeout) {
  for (const auto& shard : shards_) {
    absl::Status status = shard->follower->WaitCaughtUp(timeout);
    if (!status.ok())
      return Annotate(status, "ledger.catch_up", shard->stream);
  }
  return absl::OkStatus();
}

BudgetController::Shard& BudgetController::ShardOf(
    const std::string& budget) const {
  return *shards_[ShardOfBudget(budget, shards_.size())];
}

BudgetController::BudgetEntry& BudgetController::BudgetEntryOf(
    Shard& shard,
    const std::string& budget) {
  auto found = shard.entries.find(budget);
  if (found != shard.entries.end())
    return found->second;
  GrantHolder holder(budget, options_.grants);
  auto added = shard.entries.emplace(budget, BudgetEntry(std::move(holder)));
  UpdateHolderFromFold(shard, budget);
  return added.first->second;
}

// ---------------------------------------------------------------------------
// Budget totals, which BudgetVoted records set

void BudgetController::SetConfig(std::shared_ptr<const Configuration> config,
                                 int64_t version) {
  // The tick of each shard appends the new totals.
  std::lock_guard lock(config_mutex_);
  config_ = std::move(config);
  config_version_ = version;
}

void BudgetController::AppendBudgetTotals(Shard& shard) {
  std::shared_ptr<const Configuration> config;
  int64_t version = 0;
  {
    std::lock_guard lock(config_mutex_);
    config = config_;
    version = config_version_;
  }
  if (!config || !shard.follower->ever_caught_up())
    return;
  std::lock_guard lock(shard.mutex);
  if (shard.appended_totals_version >= version || !options_.config_is_current())
    return;
  for (const Budget& budget : config->budgets()) {
    if (&ShardOf(budget.name) != &shard)
      continue;
    bool known = shard.follower->WithFold([&](const BudgetFold& fold) {
      const auto* state = fold.FindBudget(budget.name);
      return state && (state->voted == budget.tokens ||
                       state->config_version >= version);
    });
    if (known)
      continue;
    auto appended = shard.writer->Append(
        BudgetVotedRecord{budget.name, budget.tokens, version},
        Urgency::kUrgent);
    if (!appended.ok())
      return;  // the next tick retries
  }
  shard.appended_totals_version = version;
}

bool BudgetController::FoldHasConfiguredTotal(Shard& shard,
                                              const std::string& budget) const {
  std::shared_ptr<const Configuration> config;
  {
    std::lock_guard lock(config_mutex_);
    config = config_;
  }
  const Budget* configured = config ? config->FindBudget(budget) : nullptr;
  if (!configured || !shard.follower->caught_up())
    return false;
  return shard.follower->WithFold([&](const BudgetFold& fold) {
    const auto* state = fold.FindBudget(budget);
    return state && state->voted == configured->tokens;
  });
}

// ---------------------------------------------------------------------------
// Reservations

ReserveResult BudgetController::Reserve(const std::string& budget,
                                        const std::shared_ptr<Waiter>& waiter) {
  Shard& shard = ShardOf(budget);
  {
    std::lock_guard lock(shard.mutex);
    BudgetEntry& entry = BudgetEntryOf(shard, budget);
    waiter->deadline = absl::Now() + options_.grant_wait;
    entry.waiters.push_back(waiter);
    ServeWaiters(shard, budget, entry);
    TickBudgetEntry(shard, budget, entry);
  }
  auto result =
      waiter->result.Wait(options_.grant_wait + absl::Milliseconds(200));
  if (result)
    return *result;
  if (waiter->result.Set(ReserveResult::kUnavailable))
    return ReserveResult::kUnavailable;
  return *waiter->result.Wait(absl::ZeroDuration());
}

void BudgetController::ServeWaiters(Shard& shard,
                                    const std::string& budget,
                                    BudgetEntry& entry) {
  absl::Time now = absl::Now();
  int64_t waiting = 0;
  int64_t smallest = 0;
  for (auto it = entry.waiters.begin(); it != entry.waiters.end();) {
    Waiter& waiter = **it;
    if (entry.holder.Reserve(waiter.request, waiter.tokens, now)) {
      if (!waiter.result.Set(ReserveResult::kReserved))
        entry.holder.Settle(
            waiter.request, 0,
            now);  // the waiter timed out or its caller disconnected
      it = entry.waiters.erase(it);
      continue;
    }
    waiting += waiter.tokens;
    smallest =
        smallest == 0 ? waiter.tokens : std::min(smallest, waiter.tokens);
    ++it;
  }
  entry.holder.SetWaitingTokens(waiting, smallest);
}

void BudgetController::ExpireWaiters(Shard& shard,
                                     const std::string& budget,
                                     BudgetEntry& entry) {
  if (entry.waiters.empty())
    return;
  absl::Time now = absl::Now();
  bool current = FoldHasConfiguredTotal(shard, budget);
  for (auto it = entry.waiters.begin(); it != entry.waiters.end();) {
    Waiter& waiter = **it;
    bool exhausted = current && entry.holder.ShouldRefuse(waiter.tokens, now);
    if (!exhausted && now < waiter.deadline) {
      ++it;
      continue;
    }
    waiter.result.Set(exhausted ? ReserveResult::kExhausted
                                : ReserveResult::kUnavailable);
    it = entry.waiters.erase(it);
  }
  ServeWaiters(shard, budget, entry);
}

void BudgetController::Release(const std::string& budget,
                               const std::string& request) {
  Shard& shard = ShardOf(budget);
  std::lock_guard lock(shard.mutex);
  BudgetEntry& entry = BudgetEntryOf(shard, budget);
  entry.holder.Settle(request, 0, absl::Now());
  ServeWaiters(shard, budget, entry);
}

void BudgetController::Settle(BillRecord bill) {
  Shard& shard = ShardOf(bill.budget);
  std::lock_guard lock(shard.mutex);
  BudgetEntry& entry = BudgetEntryOf(shard, bill.budget);
  entry.holder.Settle(bill.request, bill.charged_tokens, absl::Now());
  std::string budget = bill.budget;
  std::string request = bill.request;
  auto appended = shard.writer->Append(std::move(bill), Urgency::kLazy);
  if (!appended.ok()) {
    // The gate never receives a Settled frame for this request and therefore
    // appends the bill itself.
    LogEvent("bill.not_queued", LogSeverity::kError)
        .Add("request", request)
        .Add("reason", appended.status());
  }
  ServeWaiters(shard, budget, entry);
}

// ---------------------------------------------------------------------------
// Records read back from the log

void BudgetController::UpdateHolderFromFold(Shard& shard,
                                            const std::string& budget) {
  auto state = shard.follower->WithFold(
      [&](const BudgetFold& fold) -> std::optional<BudgetFold::BudgetState> {
        const auto* found = fold.FindBudget(budget);
        if (!found)
          return std::nullopt;
        return *found;
      });
  if (!state)
    return;
  auto entry = shard.entries.find(budget);
  if (entry != shard.entries.end())
    entry->second.holder.OnBudgetState(*state, incarnation_, absl::Now());
}

void BudgetController::OnVerdicts(Shard& shard,
                                  const std::vector<Verdict>& verdicts) {
  absl::Time now = absl::Now();
  std::set<std::string> affected_budgets;
  std::vector<std::pair<std::string, std::string>> applied_bills;
  {
    std::lock_guard lock(shard.mutex);
    for (const Verdict& verdict : verdicts) {
      // A late total of an older version may have replaced a total that was
      // already found in the fold, so the totals are compared again.
      if (std::holds_alternative<BudgetVotedRecord>(verdict.record.body))
        shard.appended_totals_version = 0;
      if (std::holds_alternative<AccountClosedRecord>(verdict.record.body)) {
        for (const auto& [budget, entry] : shard.entries)
          affected_budgets.insert(budget);
      }
      std::string budget = BudgetOf(verdict.record.body);
      if (shard.entries.contains(budget))
        affected_budgets.insert(budget);
    }
    for (const std::string& budget : affected_budgets)
      UpdateHolderFromFold(shard, budget);
    for (const Verdict& verdict : verdicts) {
      OnVerdict(shard, verdict, now);
      const auto* bill = std::get_if<BillRecord>(&verdict.record.body);
      if (bill && bill->incarnation == incarnation_)
        applied_bills.emplace_back(bill->request, bill->server);
    }
    for (const std::string& budget : affected_budgets) {
      BudgetEntry& entry = shard.entries.at(budget);
      ServeWaiters(shard, budget, entry);
      TickBudgetEntry(shard, budget, entry);
    }
  }
  for (const auto& [request, server] : applied_bills)
    on_bill_applied_(request, server);
}

void BudgetController::OnVerdict(Shard& shard,
                                 const Verdict& verdict,
                                 absl::Time now) {
  auto found = shard.entries.find(BudgetOf(verdict.record.body));
  if (found == shard.entries.end())
    return;
  BudgetEntry& entry = found->second;
  if (const auto* bill = std::get_if<BillRecord>(&verdict.record.body)) {
    entry.holder.OnBillApplied(bill->request);
    return;
  }
  bool own_request =
      verdict.writer == incarnation_ &&
      verdict.record.sequence == entry.grant_request_sequence &&
      std::holds_alternative<GrantRequestRecord>(verdict.record.body);
  if (!own_request || verdict.kind == VerdictKind::kDuplicate)
    return;
  absl::Duration took = now - entry.grant_requested_at;
  bool accepted = verdict.kind == VerdictKind::kAccepted;
  entry.grant_request_sequence = 0;
  entry.holder.OnGrantVerdict(accepted, took, now);
  metrics_.Observe("grant_seconds", {}, absl::ToDoubleSeconds(took));
  metrics_.Count("grants_total", {{"verdict", accepted ? "accepted" : "void"}});
}

// ---------------------------------------------------------------------------
// Periodic work

void BudgetController::Tick(Shard& shard) {
  AppendBudgetTotals(shard);
  std::lock_guard lock(shard.mutex);
  for (auto& [budget, entry] : shard.entries) {
    TickBudgetEntry(shard, budget, entry);
    ExpireWaiters(shard, budget, entry);
  }
}

void BudgetController::TickBudgetEntry(Shard& shard,
                                       const std::string& budget,
                                       BudgetEntry& entry) {
  absl::Time now = absl::Now();
  if (auto grant_return = entry.holder.NextGrantReturn(incarnation_, now)) {
    auto appended = shard.writer->Append(*grant_return, Urgency::kUrgent);
    if (!appended.ok())
      LogEvent("grant.return_not_queued", LogSeverity::kWarning)
          .Add("budget", budget)
          .Add("reason", appended.status());
  }
  if (entry.grant_request_sequence != 0)
    return;
  auto request = entry.holder.NextGrantRequest(incarnation_, now);
  if (!request)
    return;
  auto appended = shard.writer->Append(*request, Urgency::kUrgent);
  if (!appended.ok()) {
    entry.holder.OnGrantVerdict(false, absl::ZeroDuration(), now);
    return;
  }
  entry.grant_request_sequence = *appended;
  entry.grant_requested_at = now;
}

// ---------------------------------------------------------------------------
// Claims

absl::StatusOr<int64_t> BudgetController::AppendClaim(
    Shard& shard,
    const ClaimRecord& claim) {
  return shard.writer->Append(claim, Urgency::kUrgent);
}

absl::StatusOr<int64_t> BudgetController::Claim(const ClaimRecord& claim) {
  Shard& shard = ShardOf(claim.budget);
  auto sequence = AppendClaim(shard, claim);
  if (!sequence.ok())
    return sequence.status();
  auto verdict =
      shard.follower->WaitApplied(incarnation_, *sequence, options_.claim_wait);
  if (!verdict.ok()) {
    ReleaseClaim(claim).IgnoreError();
    return ErrorAt(absl::StatusCode::kDeadlineExceeded, "claim.verdict",
                   shard.stream, std::string(verdict.status().message()));
  }
  if (verdict->kind == VerdictKind::kAccepted)
    return verdict->offset;
  return ErrorAt(absl::StatusCode::kAlreadyExists, "claim.verdict",
                 shard.stream, verdict->reason);
}

void BudgetController::ClaimAsync(const ClaimRecord& claim) {
  auto sequence = AppendClaim(ShardOf(claim.budget), claim);
  if (!sequence.ok())
    LogEvent("claim.not_queued", LogSeverity::kWarning)
        .Add("request", claim.request)
        .Add("reason", sequence.status());
}

absl::Status BudgetController::ReleaseClaim(const ClaimRecord& claim,
                                            int64_t offset) {
  Shard& shard = ShardOf(claim.budget);
  return shard.writer
      ->Append(ClaimReleasedRecord{claim.request, claim.incarnation, offset},
               Urgency::kUrgent)
      .status();
}

std::optional<BudgetFold::ClaimState> BudgetController::FindClaim(
    const std::string& budget,
    const std::string& request) const {
  return ShardOf(budget).follower->WithFold(
      [&](const BudgetFold& fold) -> std::optional<BudgetFold::ClaimState> {
        const auto* claim = fold.FindClaim(request);
        if (!claim)
          return std::nullopt;
        return *claim;
      });
}

std::optional<BudgetFold::BillState> BudgetController::FindBill(
    const std::string& budget,
    const std::string& request) const {
  return ShardOf(budget).follower->WithFold(
      [&](const BudgetFold& fold) -> std::optional<BudgetFold::BillState> {
        const auto* bill = fold.FindBill(request);
        if (!bill)
          return std::nullopt;
        return *bill;
      });
}

bool BudgetController::IsAccountClosed(const std::string& incarnation) const {
  return std::all_of(shards_.begin(), shards_.end(), [&](const auto& shard) {
    return shard->follower->WithFold(
        [&](const BudgetFold& fold) { return fold.IsClosed(incarnation); });
  });
}

// ---------------------------------------------------------------------------
// Shutdown and status

void BudgetController::CloseAccounts(const std::string& incarnation,
                                     bool charge_remainder) {
  for (const auto& shard : shards_) {
    bool closed = shard->follower->WithFold(
        [&](const BudgetFold& fold) { return fold.IsClosed(incarnation); });
    if (closed)
      continue;
    shard->writer
        ->Append(AccountClosedRecord{incarnation, charge_remainder},
                 Urgency::kUrgent)
        .IgnoreError();
  }
}

absl::Status BudgetController::Flush(absl::Duration timeout) {
  for (const auto& shard : shards_) {
    if (absl::Status s = shard->writer->Flush(timeout); !s.ok())
      return Annotate(s, "ledger.flush", shard->stream);
  }
  return absl::OkStatus();
}

std::vector<BudgetStatus> BudgetController::Status() const {
  std::vector<BudgetStatus> all;
  for (const auto& shard : shards_) {
    shard->follower->WithFold([&](const BudgetFold& fold) {
      for (const auto& [name, state] : fold.budgets()) {
        BudgetStatus status{name,         state.voted, state.spent,
                            state.held(), 0,           state.bills};
        auto account = state.accounts.find(incarnation_);
        if (account != state.accounts.end())
          status.held_here = account->second.held();
        all.push_back(status);
      }
      return 0;
    });
  }
  return all;
}

StreamWriterStats BudgetController::WriterStats() const {
  StreamWriterStats total;
  for (const auto& shard : shards_) {
    StreamWriterStats stats = shard->writer->stats();
    total.appends += stats.appends;
    total.retries += stats.retries;
    total.records += stats.records;
    total.bytes += stats.bytes;
  }
  return total;
}

bool BudgetController::LogReachable() const {
  return std::all_of(shards_.begin(), shards_.end(), [](const auto& shard) {
    return shard->follower->caught_up();
  });
}

}  // namespace hawthornhollow
