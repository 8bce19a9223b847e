#ifndef HAWTHORNHOLLOW_RELAY_TOTALS_CONTROLLER_H_
#define HAWTHORNHOLLOW_RELAY_TOTALS_CONTROLLER_H_

// Reserves and commits tokens of prepaid totals for requests. TotalsBook
// decides, RecordKeeper keeps its records in the store; this waits, and asks
// other routers.
//
// A request whose tokens are not at hand waits for whichever comes first: the
// next record, other routers' transfers, other requests' unused tokens, or the
// schedule of the record, which allows more with time. So does the first piece
// of an answer whose tokens cannot be committed yet.

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
  // How long before an answer is expected a level is written that has room for
  // it. What is committed early is charged if the router is killed meanwhile;
  // an answer that is early waits.
  absl::Duration commit_ahead = absl::Milliseconds(250);
  // A request waits this long for a record before other routers are asked.
  absl::Duration ask_after = absl::Milliseconds(25);
  // A record older than this shows that the store is out of reach.
  absl::Duration cut_off_after = absl::Milliseconds(900);
  // Between two rounds for one workspace.
  absl::Duration ask_gap = absl::Milliseconds(50);
  // A router that did not answer is not asked again for this long.
  absl::Duration ask_pause = absl::Seconds(1);
};

// Asks the router at an address for tokens of a workspace; returns how many it
// gave.
using AskForTokens =
    std::function<absl::StatusOr<int64_t>(const std::string& address,
                                          const std::string& workspace,
                                          int64_t tokens)>;

// Tokens that a request asks for, the worst case.
struct TokenRequest {
  std::string request;
  std::string workspace;
  int64_t tokens = 0;
  int64_t urgency = 0;  // 0 is first
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

  // Reserves within `timeout`. RESOURCE_EXHAUSTED if the total is spent,
  // UNAVAILABLE if tokens may be left but could not be had, CANCELLED if the
  // caller has left meanwhile, which `has_left` tells.
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

  // The answer is expected in so long: has a record written just before, if
  // one is needed, so that the answer need not wait for it.
  void Prepare(const std::shared_ptr<TokenHold>& hold,
               absl::Duration expected) {
    if (expected <= options_.commit_ahead)
      return Announce(*hold);
    spawn_([this, hold, delay = expected - options_.commit_ahead] {
      hawthornhollow::SleepFor(delay);
      Announce(*hold);
    });
  }

  // To be called, until it is OK, before anything of the answer is delivered.
  // UNAVAILABLE if the tokens cannot be committed within `timeout`.
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

  // The request has ended, having used so much of what was committed.
  void Finish(TokenHold& hold, int64_t used) {
    const bool committed = hold.is_committed();
    Move(hold, TokenHold::State::kEnded);
    if (committed)
      book_.Settle(hold.reservation_, used);
    else
      book_.Release(hold.reservation_);
    records_.changed().Notify();
  }

  // Another router asks.
  int64_t Give(const std::string& workspace, int64_t tokens) {
    return book_.Give(workspace, tokens, BootTime());
  }

  // Over all workspaces.
  TotalsSum sum() const { return book_.sum(BootTime()); }
  // Since this router's level record was last durable.
  absl::Duration record_age() const { return records_.age(); }
  // This one included.
  size_t router_count() const { return book_.router_count(); }
  // Each keeps one of the records until `stop`, on a fiber of its own.
  void KeepAuthority(const std::atomic<bool>& stop) {
    records_.KeepAuthority(stop);
  }
  void KeepLevel(const std::atomic<bool>& stop) { records_.KeepLevel(stop); }

  // Gives back what is not used. For the end of the process, once no request is
  // in progress and both fibers were told to stop.
  void Close() { records_.Close(); }

 private:
  // How soon a request that is not the first of its line notices that its
  // caller has left or its total is spent.
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

  // Null if there is not so much beside what others wait for who go first.
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

  // -1: nothing has been written yet.
  int64_t RecordAgeMs() const {
    const absl::Duration age = records_.age();
    return age == absl::InfiniteDuration() ? -1
                                           : absl::ToInt64Milliseconds(age);
  }

  bool IsCutOff() const { return records_.age() > options_.cut_off_after; }

  // Asks the other routers for what requests of the workspace wait for, one
  // round at a time.
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
  std::map<std::string, WaitingLine> lines_;  // by workspace
  std::set<std::string> asking_;
  std::map<std::string, absl::Time> next_ask_;
  std::map<std::string, absl::Time> paused_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_TOTALS_CONTROLLER_H_
