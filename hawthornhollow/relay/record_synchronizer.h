#ifndef HAWTHORNHOLLOW_RELAY_RECORD_SYNCHRONIZER_H_
#define HAWTHORNHOLLOW_RELAY_RECORD_SYNCHRONIZER_H_

// Synchronizes this router's records of prepaid totals with the store and reads
// those of other routers. TotalsBook decides what the records contain and when
// they are worth writing; this class does the I/O. One fiber handles authority
// records, which all routers write one after another under a condition, and
// another handles level records, which each router writes independently and far
// more often.

#include <algorithm>
#include <atomic>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/cleanup/cleanup.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/boot_clock.h"
#include "hawthornhollow/relay/clock_survey.h"
#include "hawthornhollow/relay/fiber_signal.h"
#include "hawthornhollow/relay/record_reader.h"
#include "hawthornhollow/relay/relay.h"
#include "hawthornhollow/relay/relay_metrics.h"
#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {

struct RecordSynchronizerOptions {
  // Interval between two writes of a record, and between two reads of other
  // routers' level records, unless requests wait. The total volume of reads and
  // writes grows with the square of the number of routers, so with many routers
  // the interval is `interval_per_router` for each of them.
  absl::Duration interval = absl::Milliseconds(300);
  absl::Duration interval_per_router = absl::Milliseconds(40);
  // The same for writes of a router's own level record. It is shorter, because
  // a killed router is charged by the age of its last level record.
  absl::Duration level_interval_per_router = absl::Milliseconds(10);
  // A level record is renewed at this age even if nothing has changed, so that
  // the next incarnation is charged little of its schedule.
  absl::Duration renewal_age = absl::Milliseconds(300);
  absl::Duration call_timeout = absl::Milliseconds(500);
  // Delay after a failed call.
  absl::Duration retry_delay = absl::Milliseconds(100);
  // If the last read is longer ago than this, the newest records are read
  // instead of all records since.
  absl::Duration max_catch_up = absl::Seconds(1);
  // Minimum time between two writes of this router's authority record and of
  // its level record, for each known router.
  absl::Duration authority_gap_per_router = absl::Milliseconds(1);
  absl::Duration level_gap_per_router = absl::Microseconds(400);
  // Attempts to write the final records at shutdown.
  int close_attempts = 5;
  // For asking other routers' clocks after a power loss.
  ClockSurveyOptions clocks;
};

template <SharedStore Store>
class RecordSynchronizer {
 public:
  // The references must outlive this object.
  RecordSynchronizer(Store& store,
                     RelayMetrics& metrics,
                     const RecordSynchronizerOptions& options,
                     AskForTimeOfDay ask_time_of_day,
                     TotalsBook& book)
      : store_(store),
        metrics_(metrics),
        options_(options),
        ask_time_of_day_(std::move(ask_time_of_day)),
        book_(book),
        authorities_(store, StoreSubject::kAuthorities, options.max_catch_up) {}
  RecordSynchronizer(const RecordSynchronizer&) = delete;
  RecordSynchronizer& operator=(const RecordSynchronizer&) = delete;

  // Wakes the loops: requests wait for a larger quota, or answers for a level
  // record.
  void RequestAuthoritySync() { authority_wanted_.Notify(); }
  void RequestLevelSync() { level_wanted_.Notify(); }
  // Notified when the book may allow more, or when its state should be checked
  // again.
  FiberSignal& changed() { return changed_; }
  // Time since the newest durable level record was made; infinite before the
  // first.
  absl::Duration age() const {
    return last_durable_ == absl::ZeroDuration() ? absl::InfiniteDuration()
                                                 : BootTime() - last_durable_;
  }

  // Whether the others did not count this router as up when it started: it had
  // no record, or a final one.
  bool is_new_router() const { return is_new_router_; }
  // Addresses at which the other routers listen for routers.
  std::vector<std::string> OtherRouterAddresses() const {
    std::vector<std::string> addresses;
    for (const auto& [router, records] : book_.others()) {
      if (records.authority.has_value() && !records.authority->address.empty())
        addresses.push_back(records.authority->address);
    }
    return addresses;
  }

  // Each loop keeps one of the two records up to date until `stop` is set. Call
  // each on its own fiber.
  void RunAuthorityLoop(const std::atomic<bool>& stop) {
    RunLoop(stop, authority_wanted_, options_.interval_per_router,
            options_.authority_gap_per_router, [this] {
              return book_.started() ? SyncAuthority() : StartIncarnation();
            });
  }
  void RunLevelLoop(const std::atomic<bool>& stop) {
    RunLoop(stop, level_wanted_, options_.level_interval_per_router,
            options_.level_gap_per_router,
            [this] { return !book_.started() || SyncLevel(); });
  }

  // Writes final records, which give back unused tokens. Call it at the end of
  // the process, when no request is in progress and both loops were told to
  // stop.
  void Close() {
    AwaitLoopsEnd();
    bool closed = false;
    for (int i = 0; i < options_.close_attempts && !closed; ++i)
      closed = TryClose();
    LogEvent("total.closed",
             closed ? LogSeverity::kInfo : LogSeverity::kWarning)
        .Add("written", closed ? 1 : 0);
  }

 private:
  absl::Duration ForAllRouters(absl::Duration each) const {
    return each * static_cast<int64_t>(book_.router_count());
  }
  absl::Duration Interval(absl::Duration per_router) const {
    return std::max(options_.interval, ForAllRouters(per_router));
  }

  // Calls `sync` repeatedly: immediately when `wakeup` is notified, otherwise
  // at the interval.
  template <typename Sync>
  void RunLoop(const std::atomic<bool>& stop,
               FiberSignal& wakeup,
               absl::Duration interval_per_router,
               absl::Duration gap_per_router,
               Sync sync) {
    ++running_loops_;
    const absl::Cleanup ended = [this] {
      --running_loops_;
      changed_.Notify();
    };
    while (!stop) {
      const uint64_t seen = wakeup.changes();
      const absl::Time start_time = SteadyNow();
      if (!sync()) {
        hawthornhollow::SleepFor(options_.retry_delay);
        continue;
      }
      wakeup.WaitForMoreThan(seen, Interval(interval_per_router));
      const absl::Duration gap = ForAllRouters(gap_per_router);
      hawthornhollow::SleepFor(start_time + gap - SteadyNow());
    }
  }

  void AwaitLoopsEnd() {
    authority_wanted_.Notify();
    level_wanted_.Notify();
    const absl::Time end = SteadyNow() + options_.call_timeout * 2;
    while (running_loops_ > 0 && SteadyNow() < end)
      changed_.WaitForMoreThan(changed_.changes(), end - SteadyNow());
  }

  // The level record is written first: it states that nothing more will be
  // committed, so the next incarnation knows how much of the quota is left even
  // if the authority record cannot be written.
  bool TryClose() {
    if (running_loops_ > 0)
      return false;
    if (!book_.started())
      return true;
    ObserveEra();
    if (!ResolvePending())
      return false;
    book_.BeginClosing();
    if (!level_closed_) {
      level_closed_ = PutLevelNow();
      if (!level_closed_)
        return false;
    }
    return ReadAuthorities() && !ObserveEra() &&
           PutAuthority(book_.MakeAuthority(BootTime())) == Outcome::kDurable;
  }

  bool ResolvePending() {
    if (book_.pending_level().has_value() && !SendPendingLevel())
      return false;
    return !book_.pending_authority().has_value() ||
           RetryAuthorityPut() != Outcome::kUnknown;
  }

  // Tells the book if the store has come back from an older copy; returns
  // whether it has. Nothing may be put that was made before.
  bool ObserveEra() {
    if (store_.era() <= book_.era())
      return false;
    LogEvent("total.era", LogSeverity::kWarning)
        .Add("era", store_.era())
        .Add("previous", book_.era())
        .Add("started", book_.started() ? 1 : 0);
    book_.BeginEra(store_.era(), BootTime());
    level_closed_ = false;
    authority_wanted_.Notify();
    level_wanted_.Notify();
    changed_.Notify();
    return true;
  }

  // Reads all records and starts this incarnation.
  bool StartIncarnation() {
    const auto authorities = authorities_.ReadAll(options_.call_timeout);
    if (!authorities.ok())
      return false;
    auto levels = store_.Newest(StoreSubject::kLevels, options_.call_timeout);
    if (!levels.ok() || store_.era() != authorities_.position().era)
      return false;
    const int64_t era = store_.era();
    const absl::Duration read_at = BootTime();
    RouterRecords previous;
    if (!PartitionRecords(
            authorities->page, &DecodeAuthority, &previous.authority,
            [this](auto record) { book_.ApplyAuthority(std::move(record)); }))
      return false;
    if (!PartitionRecords(
            *levels, &DecodeLevel, &previous.level,
            [this](auto record) { book_.ApplyLevel(std::move(record)); }))
      return false;
    levels_read_ = SteadyNow();
    is_new_router_ = !previous.authority.has_value() ||
                     (previous.level.has_value() && previous.level->final);
    IncarnationStart start = MakeIncarnationStart(previous);
    start.store_era = era;
    start.read_at = read_at;
    LogInheritedCharges(previous, start, book_.Start(previous, start));
    ObserveAuthoritiesRead();
    LogQuotaDoubt();
    return SyncAuthority();
  }

  // Asks other routers for the time of day if the VM's own clocks do not give
  // the age of the last level record.
  IncarnationStart MakeIncarnationStart(const RouterRecords& previous) {
    const absl::Duration since_start = BootTime() - started_at_;
    IncarnationStart start{.boot = book_.boot(),
                           .boot_time = started_at_,
                           .time_of_day = TimeOfDayNow() - since_start};
    book_.ObserveTimeOfDay(TimeOfDayNow(), BootTime());
    if (!previous.level.has_value() || previous.level->final ||
        RecordAgeAtStart(*previous.level, start).source ==
            AgeSource::kBootClock)
      return start;
    const ClockSurvey survey =
        SurveyClocks(OtherRouterAddresses(), ask_time_of_day_, options_.clocks);
    LogEvent("clock.surveyed",
             survey.is_enough() ? LogSeverity::kInfo : LogSeverity::kWarning)
        .Add("asked", static_cast<int64_t>(survey.asked))
        .Add("answered", static_cast<int64_t>(survey.answered))
        .Add("needed", static_cast<int64_t>(survey.needed))
        .Add("behind_ms", absl::ToInt64Milliseconds(-survey.max_behind))
        .Add("ahead_ms", absl::ToInt64Milliseconds(survey.max_ahead));
    book_.ObserveTimeOfDay(TimeOfDayNow() + survey.max_behind, BootTime());
    if (survey.is_enough())
      start.latest_time_of_day = *start.time_of_day + survey.max_ahead;
    return start;
  }

  // Passes other routers' records to `apply` and stores this router's own in
  // `own`. Returns false if its own record cannot be decoded, because then it
  // is unknown what was committed.
  template <typename Decode, typename Record, typename Apply>
  bool PartitionRecords(const StoredPage& page,
                        Decode decode,
                        std::optional<Record>* own,
                        Apply apply) {
    for (const StoredValue& value : page.values) {
      auto record = DecodeStored(value, decode);
      const bool is_own = value.key == book_.router();
      if (!record.has_value() && is_own)
        return false;
      if (!record.has_value())
        continue;
      if (is_own)
        *own = *std::move(record);
      else
        apply(*std::move(record));
    }
    return true;
  }

  void LogInheritedCharges(
      const RouterRecords& previous,
      const IncarnationStart& start,
      const std::vector<InheritedCharge>& inherited_charges) {
    const RecordAge record_age = previous.level.has_value()
                                     ? RecordAgeAtStart(*previous.level, start)
                                     : RecordAge();
    for (const InheritedCharge& inherited : inherited_charges) {
      metrics_.OnTokensCharged(inherited.charged - inherited.recorded);
      LogEvent("total.inherited")
          .Add("workspace", inherited.workspace)
          .Add("recorded", inherited.recorded)
          .Add("charged", inherited.charged)
          .Add("authority", inherited.authority)
          .Add("record_age_ms", MillisecondsOrUnknown(record_age.age))
          .Add("age_from", NameOf(record_age.source));
    }
    LogEvent("total.started")
        .Add("routers", static_cast<int64_t>(book_.router_count()))
        .Add("previous_epoch",
             previous.authority.has_value() ? previous.authority->epoch : 0)
        .Add("age_from", NameOf(record_age.source))
        .Add("era", start.store_era);
  }

  // Returns -1 for an unknown (infinite) duration.
  static int64_t MillisecondsOrUnknown(absl::Duration duration) {
    return duration == absl::InfiniteDuration()
               ? -1
               : absl::ToInt64Milliseconds(duration);
  }

  // Returns whether the store answered.
  bool SyncAuthority() {
    ObserveEra();
    if (book_.pending_authority().has_value())
      return RetryAuthorityPut() != Outcome::kUnknown;
    if (!ReadLevels())
      return false;
    // Other routers may write in between, so the write is retried.
    constexpr int kTries = 3;
    for (int i = 0; i < kTries; ++i) {
      if (!ReadAuthorities())
        return false;
      ObserveEra();
      if (!book_.NeedsAuthorityRecord(BootTime()))
        return true;
      const Outcome outcome = PutAuthority(book_.MakeAuthority(BootTime()));
      if (outcome != Outcome::kRefused)
        return outcome == Outcome::kDurable;
    }
    return false;
  }

  // The outcome of a put as far as it is known.
  enum class Outcome { kDurable, kRefused, kUnknown };

  Outcome PutAuthority(const fb::AuthorityRecordT& record) {
    authority_bytes_ = EncodeAuthority(record);
    authority_offset_ = authorities_.position().offset;
    return ResolveAuthorityPut(SendAuthority());
  }

  // Determines the outcome of the pending record's put by repeating it under
  // the same condition. If the condition does not hold, either other routers
  // wrote records or the earlier put took effect; in the second case the record
  // itself is found when reading.
  Outcome RetryAuthorityPut() {
    Outcome outcome = SendAuthority();
    if (outcome == Outcome::kRefused) {
      own_record_found_ = false;
      if (!ReadAuthorities())
        outcome = Outcome::kUnknown;
      else if (own_record_found_)
        outcome = Outcome::kDurable;
    }
    return ResolveAuthorityPut(outcome);
  }

  Outcome SendAuthority() {
    auto end = store_.AppendAt(StoreSubject::kAuthorities, book_.router(),
                               authority_bytes_, authority_offset_,
                               options_.call_timeout);
    if (end.ok()) {
      authorities_.SetEnd(*end);
      ObserveAuthoritiesRead();
      return Outcome::kDurable;
    }
    return end.status().code() == absl::StatusCode::kFailedPrecondition
               ? Outcome::kRefused
               : Outcome::kUnknown;
  }

  Outcome ResolveAuthorityPut(Outcome outcome) {
    // The store has come back from an older copy meanwhile.
    if (ObserveEra() || !book_.pending_authority().has_value())
      return Outcome::kUnknown;
    if (outcome == Outcome::kUnknown)
      return outcome;
    if (outcome == Outcome::kDurable)
      book_.OnAuthorityDurable();
    else
      book_.OnAuthorityRefused();
    level_wanted_.Notify();
    changed_.Notify();
    return outcome;
  }

  // Returns whether the store answered.
  bool SyncLevel() {
    ObserveEra();
    if (book_.pending_level().has_value())
      return SendPendingLevel();
    const absl::Duration now = BootTime();
    const bool is_due = now - last_durable_ >= options_.renewal_age &&
                        last_durable_ != absl::ZeroDuration();
    if (!book_.NeedsLevelRecord(now) && !is_due)
      return true;
    return PutLevelNow();
  }

  bool PutLevelNow() {
    book_.ObserveTimeOfDay(TimeOfDayNow(), BootTime());
    return PutLevel(book_.MakeLevel(BootTime()));
  }

  bool PutLevel(const fb::LevelRecordT& record) {
    level_bytes_ = EncodeLevel(record);
    return SendPendingLevel();
  }

  bool SendPendingLevel() {
    const absl::Duration written =
        absl::Microseconds(book_.pending_level()->written_us);
    const WriterPosition position{.writer = book_.router(),
                                  .epoch = book_.pending_level()->epoch,
                                  .sequence = book_.pending_level()->sequence};
    const absl::Status status =
        store_.AppendNext(StoreSubject::kLevels, book_.router(), level_bytes_,
                          position, options_.call_timeout);
    // The store has come back from an older copy meanwhile.
    if (ObserveEra() || !book_.pending_level().has_value())
      return false;
    if (status.code() == absl::StatusCode::kFailedPrecondition) {
      LogEvent("total.level_refused", LogSeverity::kError)
          .Add("epoch", position.epoch)
          .Add("sequence", position.sequence)
          .Add("reason", status);
      book_.OnLevelRefused();
      return false;
    }
    if (!status.ok())
      return false;
    last_durable_ = written;
    book_.OnLevelDurable();
    LogQuotaDoubt();
    if (book_.NeedsRecordsAnew() || book_.NeedsCompleteRecord())
      authority_wanted_.Notify();
    changed_.Notify();
    return true;
  }

  // Reads the authority records written since the last read.
  bool ReadAuthorities() {
    const auto result = authorities_.Read(options_.call_timeout);
    if (!result.ok())
      return false;
    for (const StoredValue& value : result->page.values)
      ApplyAuthority(value);
    ObserveAuthoritiesRead();
    LogQuotaDoubt();
    if (!result->page.values.empty())
      changed_.Notify();
    return true;
  }

  // A position in another era means nothing to the book.
  void ObserveAuthoritiesRead() {
    if (authorities_.position().era == book_.era())
      book_.ObserveAuthoritiesRead(authorities_.position().offset);
  }

  // Logs whether an earlier incarnation may have had a larger quota than the
  // store tells, when that changes.
  void LogQuotaDoubt() {
    if (book_.quota_doubt() == logged_doubt_)
      return;
    LogEvent("total.quota_doubt", LogSeverity::kWarning)
        .Add("doubt", NameOf(book_.quota_doubt()))
        .Add("previous", NameOf(logged_doubt_))
        .Add("era", book_.era())
        .Add("routers", static_cast<int64_t>(book_.router_count()));
    logged_doubt_ = book_.quota_doubt();
  }

  void ApplyAuthority(const StoredValue& value) {
    auto record = DecodeStored(value, &DecodeAuthority);
    if (!record.has_value())
      return;
    if (record->router != book_.router())
      book_.ApplyAuthority(*std::move(record));
    else if (book_.pending_authority().has_value() &&
             value.value == authority_bytes_)
      own_record_found_ = true;
    else
      book_.OnStaleAuthority(*record);
  }

  // Reads the other routers' level records. This is done at the interval only,
  // because the volume read by all routers grows with the square of their
  // number.
  bool ReadLevels() {
    if (SteadyNow() - levels_read_ < Interval(options_.interval_per_router))
      return true;
    auto page = store_.Newest(StoreSubject::kLevels, options_.call_timeout);
    if (!page.ok())
      return false;
    std::optional<fb::LevelRecordT> own;
    PartitionRecords(*page, &DecodeLevel, &own, [this](auto record) {
      book_.ApplyLevel(std::move(record));
    });
    levels_read_ = SteadyNow();
    changed_.Notify();
    return true;
  }

  template <typename Decode>
  static auto DecodeStored(const StoredValue& value, Decode decode) {
    auto record = decode(value.value);
    std::optional<typename decltype(record)::value_type> decoded;
    if (record.ok()) {
      decoded = *std::move(record);
    } else {
      LogEvent("total.record_rejected", LogSeverity::kError)
          .Add("key", value.key)
          .Add("offset", value.offset)
          .Add("reason", record.status());
    }
    return decoded;
  }

  Store& store_;
  RelayMetrics& metrics_;
  const RecordSynchronizerOptions options_;
  const AskForTimeOfDay ask_time_of_day_;
  TotalsBook& book_;
  RecordReader<Store> authorities_;
  // An earlier incarnation on this VM had ended by this time.
  const absl::Duration started_at_ = BootTime();
  FiberSignal authority_wanted_;
  FiberSignal level_wanted_;
  FiberSignal changed_;
  absl::Time levels_read_ = absl::InfinitePast();
  bool is_new_router_ = true;
  QuotaDoubt logged_doubt_ = QuotaDoubt::kNone;
  std::string authority_bytes_;  // serialized pending authority record
  int64_t authority_offset_ = 0;
  bool own_record_found_ = false;
  std::string level_bytes_;  // serialized pending level record
  bool level_closed_ = false;
  int running_loops_ = 0;
  absl::Duration last_durable_ = absl::ZeroDuration();
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_RECORD_SYNCHRONIZER_H_
