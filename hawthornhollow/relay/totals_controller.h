#ifndef HAWTHORNHOLLOW_RELAY_TOTALS_CONTROLLER_H_
#define HAWTHORNHOLLOW_RELAY_TOTALS_CONTROLLER_H_

// Reserves and commits tokens of prepaid totals for requests. TotalsBook
// decides, RecordSynchronizer synchronizes its records with the store, and this
// class waits for tokens and asks other routers for transfers.
//
// A request whose tokens are not available waits for whichever comes first: the
// next record, transfers from other routers, tokens that other requests did not
// use, or the schedule of the level record, which allows more as time passes.
// The first piece of an answer whose tokens cannot be committed yet waits in
// the same way.

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/boot_clock.h"
#include "hawthornhollow/relay/record_synchronizer.h"
#include "hawthornhollow/relay/relay.h"
#include "hawthornhollow/relay/relay_metrics.h"
#include "hawthornhollow/relay/token_hold.h"
#include "hawthornhollow/relay/wait_queue.h"
#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {

struct TotalsControllerOptions {
  TotalsOptions book;
  RecordSynchronizerOptions records;
  // How long before an answer is expected a level record with room for it is
  // written. A longer time means that more is charged if the router is killed
  // meanwhile; an answer that arrives earlier has to wait for the record.
  absl::Duration commit_lead_time = absl::Milliseconds(250);
  // A request waits this long for a new record before other routers are asked
  // for transfers.
  absl::Duration ask_delay = absl::Milliseconds(25);
  // A level record older than this shows that the store is unreachable; other
  // routers are then asked immediately.
  absl::Duration store_outage_after = absl::Milliseconds(900);
  // Minimum time between two rounds of asking for one workspace.
  absl::Duration ask_interval = absl::Milliseconds(50);
  // A router that did not answer is not asked again for this time.
  absl::Duration ask_pause = absl::Seconds(1);
};

// Asks the router at an address to transfer tokens of a workspace; returns how
// many it transferred.
using AskForTokens =
    std::function<absl::StatusOr<int64_t>(const std::string& address,
                                          const std::string& workspace,
                                          int64_t tokens)>;

// The tokens that a request needs in the worst case.
struct TokenRequest {
  std::string request;
  std::string workspace;
  int64_t tokens = 0;
  int64_t urgency = 0;  // 0 is the most urgent
  friend auto operator<=>(const TokenRequest&, const TokenRequest&) = default;
};

template <SharedStore Store>
class TotalsController {
 public:
  TotalsController(Store& store,
                   RelayMetrics& metrics,
                   const TotalsControllerOptions& options,
                   std::function<void(std::function<void()>)> spawn,
                   AskForTokens ask,
                   AskForTimeOfDay ask_time_of_day)
      : metrics_(metrics),
        options_(options),
        spawn_(std::move(spawn)),
        ask_(std::move(ask)),
        book_(options.book),
        records_(store,
                 metrics,
                 options.records,
                 std::move(ask_time_of_day),
                 book_) {}
  TotalsController(const TotalsController&) = delete;
  TotalsController& operator=(const TotalsController&) = delete;

  void SetTotals(const RoutingTable& table) {
    for (const RelayWorkspace& workspace : table.workspaces()) {
      if (!workspace.prepaid.has_value())
        continue;
      const int64_t previous = book_.state(workspace.name, BootTime()).total;
      if (previous != *workspace.prepaid) {
        LogEvent("total.set")
            .Add("workspace", workspace.name)
            .Add("version", table.version())
            .Add("total", *workspace.prepaid)
            .Add("previous", previous);
      }
      book_.SetTotal(workspace.name, *workspace.prepaid);
    }
    records_.changed().Notify();
  }

  // Reserves tokens, waiting for at most `timeout`. Returns RESOURCE_EXHAUSTED
  // if the total is used up, UNAVAILABLE if tokens may be left but could not be
  // obtained, and CANCELLED if `has_disconnected` reports that the caller has
  // disconnected.
  absl::StatusOr<std::shared_ptr<TokenHold>> Acquire(
      const TokenRequest& wanted,
      absl::Duration timeout,
      const std::function<bool()>& has_disconnected) {
    WaitQueue& queue = queues_[wanted.workspace];
    if (auto hold =
            TryHold(wanted, queue, WaitQueue::NewArrival(wanted.urgency)))
      return hold;
    const WaitQueue::Position position =
        queue.Enqueue(wanted.urgency, wanted.tokens);
    book_.AddWaiting(wanted.workspace, wanted.tokens);
    const absl::Cleanup withdraw = [&] {
      book_.RemoveWaiting(wanted.workspace, wanted.tokens);
      queue.Remove(position);
    };
    const absl::Time start_time = SteadyNow();
    while (true) {
      const uint64_t seen = records_.changed().changes();
      if (has_disconnected())
        return absl::CancelledError("the caller has disconnected");
      if (auto hold = TryHold(wanted, queue, position))
        return hold;
      if (book_.started() && book_.IsExhausted(wanted.workspace, wanted.tokens))
        return Refuse(absl::StatusCode::kResourceExhausted, wanted);
      const absl::Duration waited = SteadyNow() - start_time;
      if (waited >= timeout)
        return Refuse(absl::StatusCode::kUnavailable, wanted);
      if (!queue.IsFirst(position)) {
        queue.WaitUntilFirst(position,
                             std::min(timeout - waited, kQueueCheckInterval));
        continue;
      }
      records_.RequestAuthoritySync();
      records_.RequestLevelSync();
      if (waited >= options_.ask_delay || IsStoreUnreachable())
        StartAsking(wanted.workspace);
      records_.changed().WaitForMoreThan(
          seen, std::min(timeout - waited, options_.ask_delay));
    }
  }

  // Tells that the answer is expected after `expected`. If a new level record
  // is needed to commit the tokens, it is written shortly before, so that the
  // answer does not have to wait for it.
  void ScheduleCommitRecord(const std::shared_ptr<TokenHold>& hold,
                            absl::Duration expected) {
    if (expected <= options_.commit_lead_time)
      return AddToNextLevel(*hold);
    spawn_([this, hold, delay = expected - options_.commit_lead_time] {
      hawthornhollow::SleepFor(delay);
      AddToNextLevel(*hold);
    });
  }

  // Commits the tokens. It must return OK before any part of the answer is
  // delivered. Returns UNAVAILABLE if the tokens cannot be committed within
  // `timeout`.
  absl::Status Commit(const std::string& request,
                      TokenHold& hold,
                      absl::Duration timeout) {
    const absl::Time start_time = SteadyNow();
    while (true) {
      const uint64_t seen = records_.changed().changes();
      if (book_.Commit(hold.reservation_, BootTime())) {
        SetState(hold, TokenHold::State::kCommitted);
        return absl::OkStatus();
      }
      const absl::Duration waited = SteadyNow() - start_time;
      if (waited >= timeout)
        return RefuseCommit(request, hold.reservation_, waited);
      SetState(hold, TokenHold::State::kCommitting);
      records_.RequestLevelSync();
      records_.changed().WaitForMoreThan(
          seen, std::min(timeout - waited, options_.ask_delay));
    }
  }

  // Ends the request's hold. `used` is the number of committed tokens that were
  // used.
  void Finish(TokenHold& hold, int64_t used) {
    const bool committed = hold.is_committed();
    SetState(hold, TokenHold::State::kEnded);
    if (committed)
      book_.Settle(hold.reservation_, used);
    else
      book_.Release(hold.reservation_);
    records_.changed().Notify();
  }

  // Transfers tokens to another router that asks for them, and returns how
  // many.
  int64_t TransferOut(const std::string& workspace, int64_t tokens) {
    return book_.TransferOut(workspace, tokens, BootTime());
  }

  // Sums over all workspaces.
  TotalsSum sum() const { return book_.sum(BootTime()); }
  // Time since this router's newest durable level record was made.
  absl::Duration record_age() const { return records_.age(); }
  // Number of known routers, including this one.
  size_t router_count() const { return book_.router_count(); }
  // Each loop keeps one of this router's records up to date until `stop` is
  // set. Call each on its own fiber.
  void RunAuthorityLoop(const std::atomic<bool>& stop) {
    records_.RunAuthorityLoop(stop);
  }
  void RunLevelLoop(const std::atomic<bool>& stop) {
    records_.RunLevelLoop(stop);
  }

  // Gives back unused tokens. Call it at the end of the process, when no
  // request is in progress and both loops were told to stop.
  void Close() { records_.Close(); }

 private:
  // How often a request that is not first in its queue checks whether its
  // caller has disconnected or its total is used up.
  static constexpr absl::Duration kQueueCheckInterval = absl::Milliseconds(100);

  void AddToNextLevel(TokenHold& hold) {
    if (hold.state_ != TokenHold::State::kHeld ||
        book_.CanCommitBy(hold.reservation_, BootTime()))
      return;
    SetState(hold, TokenHold::State::kCommitting);
    records_.RequestLevelSync();
  }

  void SetState(TokenHold& hold, TokenHold::State state) {
    const bool was_committing = hold.state_ == TokenHold::State::kCommitting;
    const bool is_committing = state == TokenHold::State::kCommitting;
    if (is_committing && !was_committing)
      book_.AddCommitting(hold.reservation_);
    if (was_committing && !is_committing)
      book_.RemoveCommitting(hold.reservation_);
    hold.state_ = state;
  }

  // Returns null if the tokens are not available, or only by taking tokens for
  // which requests ahead in the queue wait.
  std::shared_ptr<TokenHold> TryHold(const TokenRequest& wanted,
                                     const WaitQueue& queue,
                                     const WaitQueue::Position& position) {
    const TotalState state = book_.state(wanted.workspace, BootTime());
    if (!queue.MayReserve(position, wanted.tokens, state.available))
      return nullptr;
    auto reserved = book_.Reserve(wanted.workspace, wanted.tokens, BootTime());
    return reserved.has_value()
               ? std::make_shared<TokenHold>(*std::move(reserved))
               : nullptr;
  }

  absl::Status Refuse(absl::StatusCode code, const TokenRequest& wanted) {
    const TotalState state = book_.state(wanted.workspace, BootTime());
    metrics_.OnTokensRefused(code == absl::StatusCode::kResourceExhausted);
    LogEvent("total.refused")
        .Add("request", wanted.request)
        .Add("workspace", wanted.workspace)
        .Add("spent", code == absl::StatusCode::kResourceExhausted ? 1 : 0)
        .Add("wanted", wanted.tokens)
        .Add("urgency", wanted.urgency)
        .Add("total", state.total)
        .Add("committed", state.committed)
        .Add("unassigned", state.unassigned)
        .Add("available", state.available)
        .Add("record_age_ms", RecordAgeMs());
    return ErrorAt(code, "totals.acquire", wanted.workspace,
                   "not enough tokens");
  }

  absl::Status RefuseCommit(const std::string& request,
                            const Reservation& reservation,
                            absl::Duration waited) {
    LogEvent("total.not_committed", LogSeverity::kWarning)
        .Add("request", request)
        .Add("workspace", reservation.workspace)
        .Add("tokens", reservation.tokens())
        .Add("waited_ms", absl::ToInt64Milliseconds(waited))
        .Add("record_age_ms", RecordAgeMs());
    return ErrorAt(absl::StatusCode::kUnavailable, "totals.commit",
                   reservation.workspace,
                   "no level record was written in time");
  }

  // Returns -1 if no level record has been written yet.
  int64_t RecordAgeMs() const {
    const absl::Duration age = records_.age();
    return age == absl::InfiniteDuration() ? -1
                                           : absl::ToInt64Milliseconds(age);
  }

  bool IsStoreUnreachable() const {
    return records_.age() > options_.store_outage_after;
  }

  // Asks the other routers for the tokens that the workspace's requests wait
  // for, one round at a time.
  void StartAsking(const std::string& workspace) {
    const absl::Time now = SteadyNow();
    if (now < next_ask_time_[workspace] ||
        !workspaces_being_asked_.insert(workspace).second)
      return;
    next_ask_time_[workspace] = now + options_.ask_interval;
    spawn_([this, workspace] {
      AskOthers(workspace);
      workspaces_being_asked_.erase(workspace);
      records_.changed().Notify();
    });
  }

  void AskOthers(const std::string& workspace) {
    for (const std::string& address : records_.OtherRouterAddresses()) {
      const absl::Time now = SteadyNow();
      const int64_t missing = book_.WaitingShortfall(workspace, BootTime());
      if (missing <= 0)
        return;
      if (ask_paused_until_[address] > now)
        continue;
      const auto given = ask_(address, workspace, missing);
      if (!given.ok()) {
        ask_paused_until_[address] = now + options_.ask_pause;
        LogEvent("total.ask_failed", LogSeverity::kWarning)
            .Add("peer", address)
            .Add("reason", given.status());
        continue;
      }
      if (*given > 0) {
        book_.ReceiveTransfer(workspace, *given);
        records_.changed().Notify();
      }
    }
  }

  RelayMetrics& metrics_;
  const TotalsControllerOptions options_;
  const std::function<void(std::function<void()>)> spawn_;
  const AskForTokens ask_;
  TotalsBook book_;
  RecordSynchronizer<Store> records_;
  std::map<std::string, WaitQueue> queues_;  // keyed by workspace
  std::set<std::string> workspaces_being_asked_;
  std::map<std::string, absl::Time> next_ask_time_;
  std::map<std::string, absl::Time> ask_paused_until_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_TOTALS_CONTROLLER_H_
