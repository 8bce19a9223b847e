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
#include <string>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/boot_clock.h"
#include "hawthornhollow/relay/peer_service.h"
#include "hawthornhollow/relay/record_synchronizer.h"
#include "hawthornhollow/relay/relay.h"
#include "hawthornhollow/relay/relay_metrics.h"
#include "hawthornhollow/relay/token_borrower.h"
#include "hawthornhollow/relay/token_hold.h"
#include "hawthornhollow/relay/wait_queue.h"
#include "hawthornhollow/totals/totals.h"
#include "hawthornhollow/totals/transfer_journal.h"

namespace hawthornhollow {

struct TotalsControllerOptions {
  TotalsOptions book;
  RecordSynchronizerOptions records;
  TokenBorrowerOptions borrowing;
  // How long before an answer is expected a level record with room for it is
  // written. A longer time means that more is charged if the router is killed
  // meanwhile; an answer that arrives earlier has to wait for the record.
  absl::Duration commit_lead_time = absl::Milliseconds(250);
  // A waiting request checks the records at least this often.
  absl::Duration check_interval = absl::Milliseconds(25);
  // A holder that is asked for tokens waits this long for a record that allows
  // transferring them.
  absl::Duration lend_timeout = absl::Milliseconds(60);
  // How often tokens that are not needed are handed over to a holder.
  absl::Duration return_interval = absl::Milliseconds(250);
};

// How long a request waits for tokens.
struct WaitLimits {
  // Until it is refused after all holders said that they have none for it.
  absl::Duration patience;
  // Until it is refused otherwise.
  absl::Duration timeout;
  // The same while a good part of the total is left and holders answer; no less
  // than `timeout`.
  absl::Duration ample_timeout;
};

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
                   TransferCalls calls,
                   AskForTimeOfDay ask_time_of_day)
      : metrics_(metrics),
        options_(options),
        spawn_(std::move(spawn)),
        book_(options.book),
        records_(store,
                 metrics,
                 options.records,
                 std::move(ask_time_of_day),
                 book_),
        borrower_(book_,
                  records_.changed(),
                  metrics,
                  options.borrowing,
                  spawn_,
                  std::move(calls),
                  [this](const std::string& workspace) {
                    return queues_[workspace].FirstTokens();
                  }) {}
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
      book_.SetTotal(workspace.name, *workspace.prepaid, BootTime());
    }
    records_.changed().Notify();
  }

  // Reserves tokens, waiting if necessary. Returns RESOURCE_EXHAUSTED if the
  // total can never cover them (TotalsBook::IsSpent), UNAVAILABLE if it may
  // later, but the tokens could not be obtained, and CANCELLED if
  // `has_disconnected` reports that the caller has disconnected.
  absl::StatusOr<std::shared_ptr<TokenHold>> Acquire(
      const TokenRequest& wanted,
      const WaitLimits& limits,
      const std::function<bool()>& has_disconnected) {
    WaitQueue& queue = queues_[wanted.workspace];
    book_.ObserveDemand(wanted.workspace, wanted.tokens, BootTime());
    if (auto hold =
            TryHold(wanted, queue, WaitQueue::NewArrival(wanted.urgency))) {
      borrower_.AskAhead(wanted.workspace);
      return hold;
    }
    const WaitQueue::Position position =
        queue.Enqueue(wanted.urgency, wanted.tokens);
    book_.AddWaiting(wanted.workspace, wanted.tokens);
    const absl::Cleanup withdraw = [&] {
      book_.RemoveWaiting(wanted.workspace, wanted.tokens);
      queue.Remove(position);
    };
    const absl::Time start_time = SteadyNow();
    std::optional<uint64_t> round;  // of asking, begun for this request
    while (true) {
      const uint64_t seen = records_.changed().changes();
      if (has_disconnected())
        return absl::CancelledError("the caller has disconnected");
      if (auto hold = TryHold(wanted, queue, position))
        return hold;
      if (book_.started() && book_.IsSpent(wanted.workspace, wanted.tokens))
        return Refuse(absl::StatusCode::kResourceExhausted, wanted);
      const absl::Duration waited = SteadyNow() - start_time;
      const bool is_ample = IsAmple(wanted.workspace);
      const absl::Duration timeout =
          is_ample ? std::max(limits.timeout, limits.ample_timeout)
                   : limits.timeout;
      if (waited >= timeout)
        return Refuse(absl::StatusCode::kUnavailable, wanted);
      if (!queue.IsFirst(position)) {
        queue.WaitUntilFirst(position,
                             std::min(timeout - waited, kQueueCheckInterval));
        continue;
      }
      records_.RequestAuthoritySync();
      records_.RequestLevelSync();
      if (!round.has_value())
        round = borrower_.NextRound(wanted.workspace);
      const bool may_be_given =
          borrower_.MayBeGiven(wanted.workspace, wanted.tokens);
      if ((borrower_.HasEnded(wanted.workspace, *round) || !may_be_given) &&
          waited >= limits.patience &&
          !borrower_.IsHolderSilent(wanted.workspace) && !is_ample)
        return Refuse(absl::StatusCode::kUnavailable, wanted);
      if (may_be_given)
        borrower_.StartRound(wanted.workspace);
      records_.changed().WaitForMoreThan(
          seen, std::min(timeout - waited, options_.check_interval));
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
      records_.RequestAuthoritySync();
      records_.changed().WaitForMoreThan(
          seen, std::min(timeout - waited, options_.check_interval));
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

  // Transfers tokens to another router that asks for them. Waits briefly if a
  // new record would allow it.
  TransferAnswer GiveTokens(const TransferQuestion& question) {
    TakeBackUnanswered(question);
    int64_t given = TryGive(question);
    if (given == 0 && question.needed > 0 &&
        book_.IsHolder(question.workspace)) {
      book_.AddLending(question.workspace, question.wanted);
      const absl::Cleanup withdraw = [&] {
        book_.RemoveLending(question.workspace, question.wanted);
      };
      const absl::Time end = SteadyNow() + options_.lend_timeout;
      while (given == 0 && SteadyNow() < end &&
             MayGrow(question.workspace, question.needed)) {
        const uint64_t seen = records_.changed().changes();
        records_.RequestAuthoritySync();
        records_.RequestLevelSync();
        records_.changed().WaitForMoreThan(seen, end - SteadyNow());
        given = TryGive(question);
      }
    }
    // The room for commitments may need to grow for the next question.
    records_.RequestLevelSync();
    const TotalState state = book_.state(question.workspace, BootTime());
    return {.tokens = given,
            .left = state.total - state.committed,
            .used = state.used,
            .loan = book_.LoanFor(question, BootTime())};
  }
  // Takes tokens that another router hands over.
  void TakeTokens(const std::string& workspace, int64_t tokens) {
    book_.ReceiveTransfer(workspace, tokens);
    records_.changed().Notify();
  }

  // Sums over all workspaces.
  TotalsSum sum() const { return book_.sum(BootTime()); }
  // Time since this router's newest durable level record was made.
  absl::Duration record_age() const { return records_.age(); }
  // Addresses at which the other routers listen for routers.
  std::vector<std::string> OtherRouterAddresses() const {
    return records_.OtherRouterAddresses();
  }
  std::vector<RouterAddress> LivingRouters() const {
    return book_.LivingRouters();
  }
  // Whether the records of the routers have been read.
  bool started() const { return book_.started(); }
  // Whether the others did not count this router as up when it started.
  bool is_new_router() const { return records_.is_new_router(); }
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

  // Hands over transferred tokens that are not needed, and asks for those that
  // will be, until `stop` is set. Call it on its own fiber.
  void RunReturnLoop(const std::atomic<bool>& stop) {
    while (!stop) {
      hawthornhollow::SleepFor(options_.return_interval);
      for (const std::string& workspace : book_.workspaces()) {
        borrower_.HandOverExcess(workspace);
        borrower_.AskAhead(workspace);
      }
      borrower_.TellUnanswered();
    }
  }

  // Gives back unused tokens. Call it at the end of the process, when no
  // request is in progress and both loops were told to stop.
  void Close() {
    for (const std::string& workspace : book_.workspaces())
      borrower_.HandOverAll(workspace);
    records_.Close();
  }

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
        .Add("used", state.used)
        .Add("in_progress", state.in_progress)
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

  // Whether a request should wait on: enough is left, and holders answer. A
  // holder that has lost the store cannot raise its quota.
  bool IsAmple(const std::string& workspace) {
    const bool can_obtain = book_.IsHolder(workspace)
                                ? records_.age() <= options_.book.late_after
                                : borrower_.DoesAHolderAnswer(workspace);
    return can_obtain && book_.IsAmple(workspace);
  }

  // Whether a new record of this router may allow giving `needed` tokens.
  bool MayGrow(const std::string& workspace, int64_t needed) const {
    const TotalState state = book_.state(workspace, BootTime());
    return state.available + state.unassigned >= needed;
  }

  int64_t TryGive(const TransferQuestion& question) {
    const bool is_numbered = question.number > 0;
    if (const auto known = journal_.KnownAnswer(question);
        is_numbered && known.has_value())
      return *known;
    const int64_t given = book_.TransferOut(question, BootTime());
    if (is_numbered && given > 0)
      journal_.OnGiven(question, given);
    return given;
  }

  // Tokens that the asker was given and got no answer about.
  void TakeBackUnanswered(const TransferQuestion& question) {
    for (const TransferGrant& lost : journal_.TakeUnanswered(question)) {
      LogEvent("total.taken_back")
          .Add("peer", question.router)
          .Add("workspace", lost.workspace)
          .Add("tokens", lost.tokens);
      TakeTokens(lost.workspace, lost.tokens);
    }
  }

  RelayMetrics& metrics_;
  const TotalsControllerOptions options_;
  const std::function<void(std::function<void()>)> spawn_;
  TotalsBook book_;
  TransferJournal journal_;
  RecordSynchronizer<Store> records_;
  std::map<std::string, WaitQueue> queues_;  // keyed by workspace
  TokenBorrower borrower_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_TOTALS_CONTROLLER_H_
