#ifndef HAWTHORNHOLLOW_RELAY_TOTALS_CONTROLLER_H_
#define HAWTHORNHOLLOW_RELAY_TOTALS_CONTROLLER_H_

// Keeps this router's record of prepaid totals in the store, and reserves
// tokens for requests. TotalsBook decides; this reads, writes and waits.
//
// A request whose tokens are not at hand waits for whichever comes first: the
// next record, other routers' transfers, other requests' unused tokens, or the
// schedule of the record, which allows more with time.

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
#include "hawthornhollow/relay/fiber_signal.h"
#include "hawthornhollow/relay/relay.h"
#include "hawthornhollow/relay/relay_metrics.h"
#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {

struct TotalsControllerOptions {
  TotalsOptions book;
  // Between two records, unless requests wait.
  absl::Duration interval = absl::Milliseconds(300);
  // A record is renewed at this age even if nothing changed, so that the next
  // incarnation is charged little of its schedule.
  absl::Duration renewal = absl::Seconds(1);
  absl::Duration call_timeout = absl::Milliseconds(500);
  // After a failed call.
  absl::Duration retry = absl::Milliseconds(100);
  // Records of a longer time are not caught up with one by one.
  absl::Duration catch_up_at_most = absl::Seconds(1);
  // Between two records, for each router: what all of them write and read grows
  // with the square of their number.
  absl::Duration gap_per_router = absl::Milliseconds(4);
  // Tries to write the last record.
  int close_tries = 5;
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

template <SharedStore Store>
class TotalsController {
 public:
  TotalsController(Store& store,
                   RelayMetrics& metrics,
                   const TotalsControllerOptions& options,
                   std::function<void(std::function<void()>)> spawn,
                   AskForTokens ask)
      : store_(store),
        metrics_(metrics),
        options_(options),
        spawn_(std::move(spawn)),
        ask_(std::move(ask)),
        book_(options.book) {}
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
    changed_.Notify();
  }

  // Reserves within `timeout`. RESOURCE_EXHAUSTED if the total is spent,
  // UNAVAILABLE if tokens may be left but could not be had.
  absl::StatusOr<Reservation> Acquire(const std::string& request,
                                      const std::string& workspace,
                                      int64_t tokens,
                                      absl::Duration timeout) {
    if (auto reserved = book_.Reserve(workspace, tokens, BootTime()))
      return *std::move(reserved);
    book_.AddWaiting(workspace, tokens);
    const absl::Cleanup withdraw = [&] {
      book_.RemoveWaiting(workspace, tokens);
    };
    const absl::Time begun = SteadyNow();
    while (true) {
      const uint64_t seen = changed_.changes();
      if (auto reserved = book_.Reserve(workspace, tokens, BootTime()))
        return *std::move(reserved);
      if (book_.started() && book_.IsSpent(workspace, tokens))
        return Refuse(absl::StatusCode::kResourceExhausted, request, workspace,
                      tokens);
      const absl::Duration waited = SteadyNow() - begun;
      if (waited >= timeout)
        return Refuse(absl::StatusCode::kUnavailable, request, workspace,
                      tokens);
      wanted_.Notify();
      if (waited >= options_.ask_after || IsCutOff())
        StartAsking(workspace);
      changed_.WaitBeyond(seen, std::min(timeout - waited, options_.ask_after));
    }
  }

  void Settle(const Reservation& reservation, int64_t used) {
    book_.Settle(reservation, used);
    changed_.Notify();
  }

  // Another router asks.
  int64_t Give(const std::string& workspace, int64_t tokens) {
    return book_.Give(workspace, tokens, BootTime());
  }

  // Over all workspaces.
  TotalsSum sum() const { return book_.sum(BootTime()); }
  // Since this router's record was last durable.
  absl::Duration record_age() const {
    return last_durable_ == absl::ZeroDuration() ? absl::InfiniteDuration()
                                                 : BootTime() - last_durable_;
  }
  // This one included.
  size_t router_count() const { return book_.router_count(); }
  // Addresses of the other routers.
  std::vector<std::string> peers() const {
    std::vector<std::string> addresses;
    for (const auto& [router, record] : book_.others()) {
      if (!record.address.empty())
        addresses.push_back(record.address);
    }
    return addresses;
  }

  // Keeps the record until `stop`. One fiber runs this.
  void Run(const std::atomic<bool>& stop) {
    running_ = true;
    const absl::Cleanup ended = [this] {
      running_ = false;
      changed_.Notify();
    };
    while (!stop) {
      const uint64_t seen = wanted_.changes();
      const bool ok = book_.started() ? Sync() : Join();
      if (!ok) {
        hawthornhollow::SleepFor(options_.retry);
        continue;
      }
      wanted_.WaitBeyond(seen, options_.interval);
      const absl::Duration gap =
          options_.gap_per_router * static_cast<int64_t>(book_.router_count());
      hawthornhollow::SleepFor(last_put_ + gap - SteadyNow());
    }
  }

  // Writes what is committed, and gives the rest back. For the end of the
  // process, once no request is in progress and Run was told to stop.
  void Close() {
    AwaitRunEnd();
    bool closed = false;
    for (int i = 0; i < options_.close_tries && !closed; ++i)
      closed = TryClose();
    LogEvent("total.closed",
             closed ? LogSeverity::kInfo : LogSeverity::kWarning)
        .Add("written", closed ? 1 : 0);
  }

 private:
  absl::Status Refuse(absl::StatusCode code,
                      const std::string& request,
                      const std::string& workspace,
                      int64_t tokens) {
    const TotalState state = book_.state(workspace, BootTime());
    metrics_.OnTokensRefused(code == absl::StatusCode::kResourceExhausted);
    LogEvent("total.refused")
        .Add("request", request)
        .Add("workspace", workspace)
        .Add("spent", code == absl::StatusCode::kResourceExhausted ? 1 : 0)
        .Add("wanted", tokens)
        .Add("total", state.total)
        .Add("committed", state.committed)
        .Add("unassigned", state.unassigned)
        .Add("available", state.available)
        .Add("record_age_ms",
             absl::ToInt64Milliseconds(BootTime() - last_durable_));
    return ErrorAt(code, "totals.acquire", workspace, "not enough tokens");
  }

  void AwaitRunEnd() {
    wanted_.Notify();
    const absl::Time end = SteadyNow() + options_.call_timeout * 2;
    while (running_ && SteadyNow() < end)
      changed_.WaitBeyond(changed_.changes(), end - SteadyNow());
  }

  bool TryClose() {
    if (running_)
      return false;
    if (!book_.started())
      return true;
    if (book_.has_pending_record() && !Resolve())
      return false;
    if (!Follow())
      return false;
    record_ = EncodeRouterRecord(book_.MakeLastRecord(BootTime()));
    record_at_ = end_;
    return Put(/*again=*/false) && put_;
  }

  bool IsCutOff() const {
    return BootTime() - last_durable_ > options_.cut_off_after;
  }

  // Reads all records and begins this incarnation.
  bool Join() {
    auto page =
        store_.Newest(StoreSubject::kRouterRecords, options_.call_timeout);
    if (!page.ok())
      return false;
    std::optional<fb::RouterRecordT> previous;
    for (const StoredValue& value : page->values) {
      auto record = DecodeStored(value);
      if (!record.has_value()) {
        // Without its own record nobody knows what the router has committed.
        if (value.key == options_.book.router)
          return false;
        continue;
      }
      if (record->router == options_.book.router)
        previous = *std::move(record);
      else
        book_.ApplyRecord(*std::move(record));
    }
    end_ = page->end;
    followed_at_ = SteadyNow();
    for (const Inheritance& inherited : book_.Start(previous, BootTime())) {
      metrics_.OnTokensCharged(inherited.charged - inherited.recorded);
      LogEvent("total.inherited")
          .Add("workspace", inherited.workspace)
          .Add("recorded", inherited.recorded)
          .Add("charged", inherited.charged)
          .Add("authority", inherited.authority)
          .Add("record_age_ms",
               (absl::ToInt64Microseconds(BootTime()) - previous->written_us) /
                   1000);
    }
    LogEvent("total.started")
        .Add("routers", static_cast<int64_t>(book_.router_count()))
        .Add("previous_epoch", previous.has_value() ? previous->epoch : 0)
        .Add("same_boot",
             previous.has_value() && previous->boot == options_.book.boot ? 1
                                                                          : 0);
    return Sync();
  }

  bool Sync() {
    if (book_.has_pending_record())
      return Resolve();
    if (!Follow())
      return false;
    const absl::Duration now = BootTime();
    if (!book_.WantsRecord(now) && now - last_durable_ < options_.renewal)
      return true;
    record_ = EncodeRouterRecord(book_.MakeRecord(now));
    record_at_ = end_;
    return Put(/*again=*/false);
  }

  // The outcome of the pending record's append is not known: the same append
  // under the same condition finds it out.
  bool Resolve() { return Put(/*again=*/true); }

  // Whether the store answered. `put_` tells whether the record is durable.
  bool Put(bool again) {
    last_put_ = SteadyNow();
    put_ = false;
    auto end = store_.PutAt(StoreSubject::kRouterRecords, options_.book.router,
                            record_, record_at_, options_.call_timeout);
    if (end.ok()) {
      end_ = *end;
      OnDurable();
      return true;
    }
    if (end.status().code() != absl::StatusCode::kFailedPrecondition)
      return false;
    // Others wrote, or an earlier try of this very append took effect.
    own_seen_ = false;
    if (again && !Follow())
      return false;
    if (again && own_seen_) {
      OnDurable();
      return true;
    }
    book_.OnRecordRefused();
    return true;
  }

  void OnDurable() {
    put_ = true;
    last_durable_ = absl::Microseconds(book_.pending_record()->written_us);
    book_.OnRecordDurable();
    changed_.Notify();
  }

  // Reads the records that came since.
  bool Follow() {
    // After an outage the newest records are fewer than all that came.
    const bool behind = SteadyNow() - followed_at_ > options_.catch_up_at_most;
    absl::StatusOr<StoredPage> page = absl::OutOfRangeError("behind");
    if (!behind) {
      page = store_.ReadFrom(StoreSubject::kRouterRecords, end_,
                             options_.call_timeout);
    }
    if (!page.ok() && page.status().code() == absl::StatusCode::kOutOfRange)
      page = store_.Newest(StoreSubject::kRouterRecords, options_.call_timeout);
    if (!page.ok())
      return false;
    for (const StoredValue& value : page->values)
      ApplyStored(value);
    end_ = std::max(end_, page->end);
    followed_at_ = SteadyNow();
    if (!page->values.empty())
      changed_.Notify();
    return true;
  }

  static std::optional<fb::RouterRecordT> DecodeStored(
      const StoredValue& value) {
    auto record = DecodeRouterRecord(value.value);
    if (record.ok())
      return *std::move(record);
    LogEvent("total.record_rejected", LogSeverity::kError)
        .Add("key", value.key)
        .Add("offset", value.offset)
        .Add("reason", record.status());
    return std::nullopt;
  }

  void ApplyStored(const StoredValue& value) {
    auto record = DecodeStored(value);
    if (!record.has_value())
      return;
    if (record->router != options_.book.router) {
      book_.ApplyRecord(*std::move(record));
      return;
    }
    const auto& pending = book_.pending_record();
    if (pending.has_value() && record->epoch == pending->epoch &&
        record->sequence == pending->sequence)
      own_seen_ = true;
  }

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
      changed_.Notify();
    });
  }

  void AskOthers(const std::string& workspace) {
    for (const std::string& address : peers()) {
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
        changed_.Notify();
      }
    }
  }

  Store& store_;
  RelayMetrics& metrics_;
  const TotalsControllerOptions options_;
  const std::function<void(std::function<void()>)> spawn_;
  const AskForTokens ask_;
  TotalsBook book_;
  FiberSignal wanted_;   // requests wait for a record
  FiberSignal changed_;  // tokens may be at hand
  int64_t end_ = 0;      // of the records, as read
  absl::Time followed_at_ = absl::InfinitePast();
  std::string record_;  // the pending one's bytes
  int64_t record_at_ = 0;
  bool own_seen_ = false;
  bool put_ = false;
  absl::Time last_put_ = absl::InfinitePast();
  bool running_ = false;
  absl::Duration last_durable_ = absl::ZeroDuration();
  std::set<std::string> asking_;
  std::map<std::string, absl::Time> next_ask_;
  std::map<std::string, absl::Time> paused_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_TOTALS_CONTROLLER_H_
