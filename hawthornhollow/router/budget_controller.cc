// One entry per budget that this router has used, each with a GrantHolder that
// decides and a list of requests that wait for a grant. Everything that changes
// an entry (a verdict read back, a reservation, a tick) runs under its shard's
// lock, then serves the waiters.
//
// A reservation succeeds only against grants that were read back from the log,
// so that no partition and no clock can make two routers spend the same tokens.
// A waiter is refused as exhausted only if this router reads the log's end and
// the fold has taken up the voted amount that this router knows of; otherwise
// "nothing free" may only mean that a vote or a return has not been read yet.

#include "hawthornhollow/router/budget_controller.h"

#include <algorithm>
#include <mutex>
#include <set>
#include <utility>

#include "hawthornhollow/base/base.h"

namespace hawthornhollow {
namespace {

constexpr absl::Duration kTick = absl::Milliseconds(10);
constexpr absl::Duration kCheckpointPoll = absl::Seconds(1);

using LedgerWriter = StreamWriter<HttpLogClient>;
using LedgerFollower = StreamFollower<BudgetFold, HttpLogClient>;

// The budget that a record concerns; empty if it concerns none or all.
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
  std::map<std::string, Entry> entries;
  // Votes of this version were appended, or found known to the fold.
  int64_t voted_version = 0;
};

BudgetController::BudgetController(
    HttpLogClient& log,
    FiberGroup& fibers,
    MetricRegistry& metrics,
    std::string incarnation,
    const BudgetControllerOptions& options,
    std::function<void(const std::string&, const std::string&)> on_bill_folded)
    : log_(log),
      fibers_(fibers),
      metrics_(metrics),
      incarnation_(std::move(incarnation)),
      options_(options),
      on_bill_folded_(std::move(on_bill_folded)) {
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
      raw->voted_version = 0;
      for (auto& [budget, entry] : raw->entries)
        RefreshFromFold(*raw, budget);
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
        hawthornhollow::SleepFor(kTick);
      }
    });
    fibers_.Spawn([this, shard] {
      while (!fibers_.stopped()) {
        shard->follower->MaybeCheckpoint(*shard->writer);
        hawthornhollow::SleepFor(kCheckpointPoll);
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

BudgetController::Entry& BudgetController::EntryOf(Shard& shard,
                                                   const std::string& budget) {
  auto found = shard.entries.find(budget);
  if (found != shard.entries.end())
    return found->second;
  GrantHolder holder(budget, options_.grants);
  auto added = shard.entries.emplace(budget, Entry(std::move(holder)));
  RefreshFromFold(shard, budget);
  return added.first->second;
}

// ---------------------------------------------------------------------------
// Votes

void BudgetController::SetConfig(std::shared_ptr<const Configuration> config,
                                 int64_t version) {
  // Each shard's tick votes.
  std::lock_guard lock(config_mutex_);
  config_ = std::move(config);
  config_version_ = version;
}

void BudgetController::VoteShard(Shard& shard) {
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
  if (shard.voted_version >= version || !options_.config_is_current())
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
      return;  // the next tick tries again
  }
  shard.voted_version = version;
}

bool BudgetController::FoldIsCurrent(Shard& shard,
                                     const std::string& budget) const {
  std::shared_ptr<const Configuration> config;
  {
    std::lock_guard lock(config_mutex_);
    config = config_;
  }
  const Budget* voted = config ? config->FindBudget(budget) : nullptr;
  if (!voted || !shard.follower->caught_up())
    return false;
  return shard.follower->WithFold([&](const BudgetFold& fold) {
    const auto* state = fold.FindBudget(budget);
    return state && state->voted == voted->tokens;
  });
}

// ---------------------------------------------------------------------------
// Reservations

ReserveResult BudgetController::Reserve(const std::string& budget,
                                        const std::shared_ptr<Waiter>& waiter) {
  Shard& shard = ShardOf(budget);
  {
    std::lock_guard lock(shard.mutex);
    Entry& entry = EntryOf(shard, budget);
    waiter->deadline = absl::Now() + options_.grant_wait;
    entry.waiters.push_back(waiter);
    ServeWaiters(shard, budget, entry);
    TickEntry(shard, budget, entry);
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
                                    Entry& entry) {
  absl::Time now = absl::Now();
  int64_t waiting = 0;
  int64_t smallest = 0;
  for (auto it = entry.waiters.begin(); it != entry.waiters.end();) {
    Waiter& waiter = **it;
    if (entry.holder.Reserve(waiter.request, waiter.tokens, now)) {
      if (!waiter.result.Set(ReserveResult::kReserved))
        entry.holder.Settle(waiter.request, 0, now);  // it gave up before
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
                                     Entry& entry) {
  if (entry.waiters.empty())
    return;
  absl::Time now = absl::Now();
  bool current = FoldIsCurrent(shard, budget);
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
  Entry& entry = EntryOf(shard, budget);
  entry.holder.Settle(request, 0, absl::Now());
  ServeWaiters(shard, budget, entry);
}

void BudgetController::Settle(BillRecord bill) {
  Shard& shard = ShardOf(bill.budget);
  std::lock_guard lock(shard.mutex);
  Entry& entry = EntryOf(shard, bill.budget);
  entry.holder.Settle(bill.request, bill.charged_tokens, absl::Now());
  std::string budget = bill.budget;
  std::string request = bill.request;
  auto appended = shard.writer->Append(std::move(bill), Urgency::kLazy);
  if (!appended.ok()) {
    // The gate, told of no settlement, appends the bill in our place.
    LogEvent("bill.not_queued", LogSeverity::kError)
        .Add("request", request)
        .Add("reason", appended.status());
  }
  ServeWaiters(shard, budget, entry);
}

// ---------------------------------------------------------------------------
// Verdicts

void BudgetController::RefreshFromFold(Shard& shard,
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
  std::set<std::string> touched;
  std::vector<std::pair<std::string, std::string>> folded_bills;
  {
    std::lock_guard lock(shard.mutex);
    for (const Verdict& verdict : verdicts) {
      // A late vote of an older version may have changed what was found known.
      if (std::holds_alternative<BudgetVotedRecord>(verdict.record.body))
        shard.voted_version = 0;
      if (std::holds_alternative<AccountClosedRecord>(verdict.record.body)) {
        for (const auto& [budget, entry] : shard.entries)
          touched.insert(budget);
      }
      std::string budget = BudgetOf(verdict.record.body);
      if (shard.entries.contains(budget))
        touched.insert(budget);
    }
    for (const std::string& budget : touched)
      RefreshFromFold(shard, budget);
    for (const Verdict& verdict : verdicts) {
      OnVerdict(shard, verdict, now);
      const auto* bill = std::get_if<BillRecord>(&verdict.record.body);
      if (bill && bill->incarnation == incarnation_)
        folded_bills.emplace_back(bill->request, bill->server);
    }
    for (const std::string& budget : touched) {
      Entry& entry = shard.entries.at(budget);
      ServeWaiters(shard, budget, entry);
      TickEntry(shard, budget, entry);
    }
  }
  for (const auto& [request, server] : folded_bills)
    on_bill_folded_(request, server);
}

void BudgetController::OnVerdict(Shard& shard,
                                 const Verdict& verdict,
                                 absl::Time now) {
  auto found = shard.entries.find(BudgetOf(verdict.record.body));
  if (found == shard.entries.end())
    return;
  Entry& entry = found->second;
  if (const auto* bill = std::get_if<BillRecord>(&verdict.record.body)) {
    entry.holder.OnBillApplied(bill->request);
    return;
  }
  bool own_request =
      verdict.writer == incarnation_ &&
      verdict.record.sequence == entry.request_sequence &&
      std::holds_alternative<GrantRequestRecord>(verdict.record.body);
  if (!own_request || verdict.kind == VerdictKind::kDuplicate)
    return;
  absl::Duration took = now - entry.requested_at;
  bool accepted = verdict.kind == VerdictKind::kAccepted;
  entry.request_sequence = 0;
  entry.holder.OnGrantVerdict(accepted, took, now);
  metrics_.Observe("grant_seconds", {}, absl::ToDoubleSeconds(took));
  metrics_.Count("grants_total", {{"verdict", accepted ? "accepted" : "void"}});
}

// ---------------------------------------------------------------------------
// Ticks

void BudgetController::Tick(Shard& shard) {
  VoteShard(shard);
  std::lock_guard lock(shard.mutex);
  for (auto& [budget, entry] : shard.entries) {
    TickEntry(shard, budget, entry);
    ExpireWaiters(shard, budget, entry);
  }
}

void BudgetController::TickEntry(Shard& shard,
                                 const std::string& budget,
                                 Entry& entry) {
  absl::Time now = absl::Now();
  if (auto give_back = entry.holder.NextGrantReturn(incarnation_, now)) {
    auto appended = shard.writer->Append(*give_back, Urgency::kUrgent);
    if (!appended.ok())
      LogEvent("grant.return_not_queued", LogSeverity::kWarning)
          .Add("budget", budget)
          .Add("reason", appended.status());
  }
  if (entry.request_sequence != 0)
    return;
  auto request = entry.holder.NextGrantRequest(incarnation_, now);
  if (!request)
    return;
  auto appended = shard.writer->Append(*request, Urgency::kUrgent);
  if (!appended.ok()) {
    entry.holder.OnGrantVerdict(false, absl::ZeroDuration(), now);
    return;
  }
  entry.request_sequence = *appended;
  entry.requested_at = now;
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

void BudgetController::ClaimLazily(const ClaimRecord& claim) {
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
// Ending

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
