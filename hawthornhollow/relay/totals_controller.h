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
  // A waiting request checks the records at least this often.
  absl::Duration check_interval = absl::Milliseconds(25);
  // Minimum time between two rounds of asking for one workspace in which no
  // tokens were transferred.
  absl::Duration ask_interval = absl::Milliseconds(50);
  // A holder that is asked for tokens waits this long for a record that allows
  // transferring them.
  absl::Duration lend_timeout = absl::Milliseconds(60);
  // How often tokens that are not needed are handed over to a holder.
  absl::Duration return_interval = absl::Milliseconds(250);
  // A router that did not answer is not asked again for this time.
  absl::Duration ask_pause = absl::Milliseconds(400);
};

// Asks the router at an address for tokens, and hands tokens over to it.
struct TransferCalls {
  std::function<absl::StatusOr<TransferAnswer>(const std::string& address,
                                               const TransferQuestion&)>
      ask;
  std::function<absl::Status(const std::string& address,
                             const std::string& workspace,
                             int64_t tokens)>
      hand_over;
};

// How long a request waits for tokens.
struct WaitLimits {
  // Until it is refused after all holders said that they have none for it.
  absl::Duration patience;
  // Until it is refused in any case.
  absl::Duration timeout;
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
        calls_(std::move(calls)),
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
      book_.SetTotal(workspace.name, *workspace.prepaid, BootTime());
    }
    records_.changed().Notify();
  }

  // Reserves tokens, waiting if necessary. Returns RESOURCE_EXHAUSTED if the
  // total is used up, UNAVAILABLE if tokens may be left but could not be
  // obtained, and CANCELLED if `has_disconnected` reports that the caller has
  // disconnected.
  absl::StatusOr<std::shared_ptr<TokenHold>> Acquire(
      const TokenRequest& wanted,
      const WaitLimits& limits,
      const std::function<bool()>& has_disconnected) {
    WaitQueue& queue = queues_[wanted.workspace];
    book_.ObserveDemand(wanted.workspace, wanted.tokens, BootTime());
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
    std::optional<uint64_t> round;  // of asking, begun for this request
    while (true) {
      const uint64_t seen = records_.changed().changes();
      if (has_disconnected())
        return absl::CancelledError("the caller has disconnected");
      if (auto hold = TryHold(wanted, queue, position))
        return hold;
      if (book_.started() && book_.IsExhausted(wanted.workspace, wanted.tokens))
        return Refuse(absl::StatusCode::kResourceExhausted, wanted);
      const absl::Duration waited = SteadyNow() - start_time;
      if (waited >= limits.timeout)
        return Refuse(absl::StatusCode::kUnavailable, wanted);
      if (!queue.IsFirst(position)) {
        queue.WaitUntilFirst(
            position, std::min(limits.timeout - waited, kQueueCheckInterval));
        continue;
      }
      records_.RequestAuthoritySync();
      records_.RequestLevelSync();
      AskState& asking = asking_[wanted.workspace];
      if (!round.has_value())
        round = asking.begun + 1;
      if (asking.ended >= *round && waited >= limits.patience &&
          !asking.holder_silent)
        return RefuseAfterAsking(wanted, asking);
      StartAsking(wanted.workspace);
      records_.changed().WaitForMoreThan(
          seen, std::min(limits.timeout - waited, options_.check_interval));
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
    return {.tokens = given, .left = state.total - state.committed};
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

  // Hands over transferred tokens that are not needed, until `stop` is set.
  // Call it on its own fiber.
  void RunReturnLoop(const std::atomic<bool>& stop) {
    while (!stop) {
      hawthornhollow::SleepFor(options_.return_interval);
      for (const std::string& workspace : book_.workspaces())
        HandOverExcess(workspace);
    }
  }

  // Gives back unused tokens. Call it at the end of the process, when no
  // request is in progress and both loops were told to stop.
  void Close() {
    for (const std::string& workspace : book_.workspaces())
      HandOverAll(workspace);
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

  // The rounds of asking holders for tokens of one workspace.
  struct AskState {
    uint64_t begun = 0;
    uint64_t ended = 0;
    absl::Time next;             // not before
    bool holder_silent = false;  // in the last round
    int64_t left = 0;            // of the total, as holders said
  };

  // Starts a round of asking the holders, unless one is in progress.
  void StartAsking(const std::string& workspace) {
    AskState& asking = asking_[workspace];
    if (SteadyNow() < asking.next || asking.begun != asking.ended)
      return;
    ++asking.begun;
    spawn_([this, workspace, &asking] {
      const bool got_any = AskHolders(workspace, &asking);
      if (!got_any)
        asking.next = SteadyNow() + options_.ask_interval;
      ++asking.ended;
      records_.changed().Notify();
    });
  }

  // Asks one holder after another until there is enough for all that wait.
  // Returns whether tokens were transferred.
  bool AskHolders(const std::string& workspace, AskState* asking) {
    asking->holder_silent = false;
    asking->left = 0;
    bool got_any = false;
    for (const std::string& address : book_.OtherHolders(workspace)) {
      if (book_.WaitingShortfall(workspace, BootTime()) <= 0)
        break;
      if (ask_paused_until_[address] > SteadyNow()) {
        asking->holder_silent = true;
        continue;
      }
      const int64_t needed = queues_[workspace].FirstTokens() -
                             book_.state(workspace, BootTime()).available;
      const auto answer = calls_.ask(
          address, book_.MakeQuestion(workspace, std::max<int64_t>(0, needed),
                                      BootTime()));
      if (!answer.ok()) {
        asking->holder_silent = true;
        ask_paused_until_[address] = SteadyNow() + options_.ask_pause;
        LogEvent("total.ask_failed", LogSeverity::kWarning)
            .Add("peer", address)
            .Add("reason", answer.status());
        continue;
      }
      asking->left = std::max(asking->left, answer->left);
      if (answer->tokens > 0) {
        got_any = true;
        book_.ReceiveTransfer(workspace, answer->tokens);
        records_.changed().Notify();
      }
    }
    return got_any;
  }

  absl::Status RefuseAfterAsking(const TokenRequest& wanted,
                                 const AskState& asking) {
    const bool is_spent = !book_.IsHolder(wanted.workspace) &&
                          asking.left < wanted.tokens && asking.left > 0;
    return Refuse(is_spent ? absl::StatusCode::kResourceExhausted
                           : absl::StatusCode::kUnavailable,
                  wanted);
  }

  // Whether a new record of this router may allow giving `needed` tokens.
  bool MayGrow(const std::string& workspace, int64_t needed) const {
    const TotalState state = book_.state(workspace, BootTime());
    return state.available + state.unassigned >= needed;
  }

  int64_t TryGive(const TransferQuestion& question) {
    return book_.TransferOut(question, BootTime());
  }

  // A holder that answered of late; empty if there is none.
  std::string HolderInReach(const std::string& workspace) {
    for (const std::string& address : book_.OtherHolders(workspace)) {
      if (ask_paused_until_[address] <= SteadyNow())
        return address;
    }
    return "";
  }

  void HandOverExcess(const std::string& workspace) {
    const std::string holder = HolderInReach(workspace);
    if (!holder.empty())
      HandOver(holder, workspace,
               book_.TakeExcessTransfers(workspace, BootTime()));
  }

  void HandOverAll(const std::string& workspace) {
    const std::string holder = HolderInReach(workspace);
    if (!holder.empty())
      HandOver(holder, workspace, book_.TakeAllTransfers(workspace));
  }

  void HandOver(const std::string& holder,
                const std::string& workspace,
                int64_t tokens) {
    if (tokens == 0)
      return;
    const absl::Status handed = calls_.hand_over(holder, workspace, tokens);
    LogEvent("total.handed_over",
             handed.ok() ? LogSeverity::kInfo : LogSeverity::kWarning)
        .Add("peer", holder)
        .Add("workspace", workspace)
        .Add("tokens", tokens)
        .Add("result", handed);
    if (!handed.ok())
      ask_paused_until_[holder] = SteadyNow() + options_.ask_pause;
  }

  RelayMetrics& metrics_;
  const TotalsControllerOptions options_;
  const std::function<void(std::function<void()>)> spawn_;
  const TransferCalls calls_;
  TotalsBook book_;
  RecordSynchronizer<Store> records_;
  std::map<std::string, WaitQueue> queues_;  // keyed by workspace
  std::map<std::string, AskState> asking_;   // keyed by workspace
  std::map<std::string, absl::Time> ask_paused_until_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_TOTALS_CONTROLLER_H_
