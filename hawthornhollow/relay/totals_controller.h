#ifndef HAWTHORNHOLLOW_RELAY_TOTALS_CONTROLLER_H_
#define HAWTHORNHOLLOW_RELAY_TOTALS_CONTROLLER_H_

// Reserves and commits tokens of prepaid totals for requests. TotalsBook
// decides, RecordKeeper synchronizes its records with the store, and this class
// waits for tokens and asks other routers for transfers.
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
#include "hawthornhollow/relay/record_keeper.h"
#include "hawthornhollow/relay/relay.h"
#include "hawthornhollow/relay/relay_metrics.h"
#include "hawthornhollow/relay/token_hold.h"
#include "hawthornhollow/relay/waiting_line.h"
#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {

struct TotalsControllerOptions {
  TotalsOptions book;
  RecordKeeperOptions records;
  // How long before an answer is expected a level record with room for it is
  // written. A longer time means that more is charged if the router is killed
  // meanwhile; an answer that arrives earlier has to wait for the record.
  absl::Duration commit_ahead = absl::Milliseconds(250);
  // A request waits this long for a new record before other routers are asked
  // for transfers.
  absl::Duration ask_after = absl::Milliseconds(25);
  // A level record older than this shows that the store is unreachable; other
  // routers are then asked immediately.
  absl::Duration cut_off_after = absl::Milliseconds(900);
  // Minimum time between two rounds of asking for one workspace.
  absl::Duration ask_gap = absl::Milliseconds(50);
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
  // obtained, and CANCELLED if `has_left` reports that the caller has
  // disconnected.
  absl::StatusOr<std::shared_ptr<TokenHold>> Acquire(
      const TokenRequest& wanted,
      absl::Duration timeout,
      const std::function<bool()>& has_left) {
    WaitingLine& line = lines_[wanted.workspace];
    if (auto hold =
            TryHold(wanted, line, WaitingLine::Newcomer(wanted.urgency)))
      return hold;
    const WaitingLine::Place place = line.Join(wanted.urgency, wanted.tokens);
    book_.AddWaiting(wanted.workspace, wanted.tokens);
    const absl::Cleanup withdraw = [&] {
      book_.RemoveWaiting(wanted.workspace, wanted.tokens);
      line.Leave(place);
    };
    const absl::Time begun = SteadyNow();
    while (true) {
      const uint64_t seen = records_.changed().changes();
      if (has_left())
        return absl::CancelledError("the caller has left");
      if (auto hold = TryHold(wanted, line, place))
        return hold;
      if (book_.started() && book_.IsSpent(wanted.workspace, wanted.tokens))
        return Refuse(absl::StatusCode::kResourceExhausted, wanted);
      const absl::Duration waited = SteadyNow() - begun;
      if (waited >= timeout)
        return Refuse(absl::StatusCode::kUnavailable, wanted);
      if (!line.IsFirst(place)) {
        line.AwaitTurn(place, std::min(timeout - waited, kLineCheck));
        continue;
      }
      records_.WantAuthority();
      records_.WantLevel();
      if (waited >= options_.ask_after || IsCutOff())
        StartAsking(wanted.workspace);
      records_.changed().WaitBeyond(
          seen, std::min(timeout - waited, options_.ask_after));
    }
  }

  // Tells that the answer is expected after `expected`. If a new level record
  // is needed to commit the tokens, it is written shortly before, so that the
  // answer does not have to wait for it.
  void Prepare(const std::shared_ptr<TokenHold>& hold,
               absl::Duration expected) {
    if (expected <= options_.commit_ahead)
      return Announce(*hold);
    spawn_([this, hold, delay = expected - options_.commit_ahead] {
      hawthornhollow::SleepFor(delay);
      Announce(*hold);
    });
  }

  // Commits the tokens. It must return OK before any part of the answer is
  // delivered. Returns UNAVAILABLE if the tokens cannot be committed within
  // `timeout`.
  absl::Status Commit(const std::string& request,
                      TokenHold& hold,
                      absl::Duration timeout) {
    const absl::Time begun = SteadyNow();
    while (true) {
      const uint64_t seen = records_.changed().changes();
      if (book_.Commit(hold.reservation_, BootTime())) {
        Move(hold, TokenHold::State::kCommitted);
        return absl::OkStatus();
      }
      const absl::Duration waited = SteadyNow() - begun;
      if (waited >= timeout)
        return RefuseCommit(request, hold.reservation_, waited);
      Move(hold, TokenHold::State::kCommitting);
      records_.WantLevel();
      records_.changed().WaitBeyond(
          seen, std::min(timeout - waited, options_.ask_after));
    }
  }

  // Ends the request's hold. `used` is the number of committed tokens that were
  // used.
  void Finish(TokenHold& hold, int64_t used) {
    const bool committed = hold.is_committed();
    Move(hold, TokenHold::State::kEnded);
    if (committed)
      book_.Settle(hold.reservation_, used);
    else
      book_.Release(hold.reservation_);
    records_.changed().Notify();
  }

  // Transfers tokens to another router that asks for them, and returns how
  // many.
  int64_t Give(const std::string& workspace, int64_t tokens) {
    return book_.Give(workspace, tokens, BootTime());
  }

  // Sums over all workspaces.
  TotalsSum sum() const { return book_.sum(BootTime()); }
  // Time since this router's newest durable level record was made.
  absl::Duration record_age() const { return records_.age(); }
  // Number of known routers, including this one.
  size_t router_count() const { return book_.router_count(); }
  // Each loop keeps one of this router's records up to date until `stop` is
  // set. Call each on its own fiber.
  void KeepAuthority(const std::atomic<bool>& stop) {
    records_.KeepAuthority(stop);
  }
  void KeepLevel(const std::atomic<bool>& stop) { records_.KeepLevel(stop); }

  // Gives back unused tokens. Call it at the end of the process, when no
  // request is in progress and both loops were told to stop.
  void Close() { records_.Close(); }

 private:
  // How often a request that is not first in its queue checks whether its
  // caller has disconnected or its total is used up.
  static constexpr absl::Duration kLineCheck = absl::Milliseconds(100);

  void Announce(TokenHold& hold) {
    if (hold.state_ != TokenHold::State::kHeld ||
        book_.CanCommitBy(hold.reservation_, BootTime()))
      return;
    Move(hold, TokenHold::State::kCommitting);
    records_.WantLevel();
  }

  void Move(TokenHold& hold, TokenHold::State state) {
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
                                     const WaitingLine& line,
                                     const WaitingLine::Place& place) {
    const TotalState state = book_.state(wanted.workspace, BootTime());
    if (!line.MayTake(place, wanted.tokens, state.available))
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
                   reservation.workspace, "no record in time");
  }

  // Returns -1 if no level record has been written yet.
  int64_t RecordAgeMs() const {
    const absl::Duration age = records_.age();
    return age == absl::InfiniteDuration() ? -1
                                           : absl::ToInt64Milliseconds(age);
  }

  bool IsCutOff() const { return records_.age() > options_.cut_off_after; }

  // Asks the other routers for the tokens that the workspace's requests wait
  // for, one round at a time.
  void StartAsking(const std::string& workspace) {
    const absl::Time now = SteadyNow();
    if (now < next_ask_[workspace] || !asking_.insert(workspace).second)
      return;
    next_ask_[workspace] = now + options_.ask_gap;
    spawn_([this, workspace] {
      AskOthers(workspace);
      asking_.erase(workspace);
      records_.changed().Notify();
    });
  }

  void AskOthers(const std::string& workspace) {
    for (const std::string& address : records_.OtherAddresses()) {
      const absl::Time now = SteadyNow();
      const int64_t missing = book_.Missing(workspace, BootTime());
      if (missing <= 0)
        return;
      if (paused_[address] > now)
        continue;
      const auto given = ask_(address, workspace, missing);
      if (!given.ok()) {
        paused_[address] = now + options_.ask_pause;
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
  RecordKeeper<Store> records_;
  std::map<std::string, WaitingLine> lines_;  // keyed by workspace
  std::set<std::string> asking_;
  std::map<std::string, absl::Time> next_ask_;
  std::map<std::string, absl::Time> paused_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_TOTALS_CONTROLLER_H_
