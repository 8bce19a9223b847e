#ifndef HAWTHORNHOLLOW_RELAY_RECORD_KEEPER_H_
#define HAWTHORNHOLLOW_RELAY_RECORD_KEEPER_H_

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
#include "hawthornhollow/relay/clock_witnesses.h"
#include "hawthornhollow/relay/fiber_signal.h"
#include "hawthornhollow/relay/record_reader.h"
#include "hawthornhollow/relay/relay.h"
#include "hawthornhollow/relay/relay_metrics.h"
#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {

struct RecordKeeperOptions {
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
  absl::Duration renewal = absl::Milliseconds(300);
  absl::Duration call_timeout = absl::Milliseconds(500);
  // Delay after a failed call.
  absl::Duration retry = absl::Milliseconds(100);
  // If the last read is longer ago than this, the newest records are read
  // instead of all records since.
  absl::Duration catch_up_at_most = absl::Seconds(1);
  // Minimum time between two writes of a record, for each known router.
  absl::Duration gap_per_router = absl::Milliseconds(4);
  // Attempts to write the final records at shutdown.
  int close_tries = 5;
  // For asking other routers' clocks after a power loss.
  ClockWitnessOptions clocks;
};

template <SharedStore Store>
class RecordKeeper {
 public:
  // The references must outlive this object.
  RecordKeeper(Store& store,
               RelayMetrics& metrics,
               const RecordKeeperOptions& options,
               AskForTimeOfDay ask_time_of_day,
               TotalsBook& book)
      : store_(store),
        metrics_(metrics),
        options_(options),
        ask_time_of_day_(std::move(ask_time_of_day)),
        book_(book),
        authorities_(store,
                     StoreSubject::kAuthorities,
                     options.catch_up_at_most) {}
  RecordKeeper(const RecordKeeper&) = delete;
  RecordKeeper& operator=(const RecordKeeper&) = delete;

  // Wakes the loops: requests wait for a larger quota, or answers for a level
  // record.
  void WantAuthority() { authority_wanted_.Notify(); }
  void WantLevel() { level_wanted_.Notify(); }
  // Notified when the book may allow more, or when its state should be checked
  // again.
  FiberSignal& changed() { return changed_; }
  // Time since the newest durable level record was made; infinite before the
  // first.
  absl::Duration age() const {
    return last_durable_ == absl::ZeroDuration() ? absl::InfiniteDuration()
                                                 : BootTime() - last_durable_;
  }

  // Addresses at which the other routers listen for routers.
  std::vector<std::string> OtherAddresses() const {
    std::vector<std::string> addresses;
    for (const auto& [router, records] : book_.others()) {
      if (records.authority.has_value() && !records.authority->address.empty())
        addresses.push_back(records.authority->address);
    }
    return addresses;
  }

  // Each loop keeps one of the two records up to date until `stop` is set. Call
  // each on its own fiber.
  void KeepAuthority(const std::atomic<bool>& stop) {
    Keep(stop, authority_wanted_, options_.interval_per_router,
         [this] { return book_.started() ? SyncAuthority() : Join(); });
  }
  void KeepLevel(const std::atomic<bool>& stop) {
    Keep(stop, level_wanted_, options_.level_interval_per_router,
         [this] { return !book_.started() || SyncLevel(); });
  }

  // Writes final records, which give back unused tokens. Call it at the end of
  // the process, when no request is in progress and both loops were told to
  // stop.
  void Close() {
    AwaitKeepersEnd();
    bool closed = false;
    for (int i = 0; i < options_.close_tries && !closed; ++i)
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

  // Calls `sync` repeatedly: immediately when `wanted` is notified, otherwise
  // at the interval.
  template <typename Sync>
  void Keep(const std::atomic<bool>& stop,
            FiberSignal& wanted,
            absl::Duration interval_per_router,
            Sync sync) {
    ++keepers_;
    const absl::Cleanup ended = [this] {
      --keepers_;
      changed_.Notify();
    };
    while (!stop) {
      const uint64_t seen = wanted.changes();
      const absl::Time begun = SteadyNow();
      if (!sync()) {
        hawthornhollow::SleepFor(options_.retry);
        continue;
      }
      wanted.WaitBeyond(seen, Interval(interval_per_router));
      const absl::Duration gap = ForAllRouters(options_.gap_per_router);
      hawthornhollow::SleepFor(begun + gap - SteadyNow());
    }
  }

  void AwaitKeepersEnd() {
    authority_wanted_.Notify();
    level_wanted_.Notify();
    const absl::Time end = SteadyNow() + options_.call_timeout * 2;
    while (keepers_ > 0 && SteadyNow() < end)
      changed_.WaitBeyond(changed_.changes(), end - SteadyNow());
  }

  // The level record is written first: it states that nothing more will be
  // committed, so the next incarnation knows how much of the quota is left even
  // if the authority record cannot be written.
  bool TryClose() {
    if (keepers_ > 0)
      return false;
    if (!book_.started())
      return true;
    if (!ResolvePending())
      return false;
    book_.BeginClosing();
    if (!level_closed_) {
      level_closed_ = PutLevelNow();
      if (!level_closed_)
        return false;
    }
    return FollowAuthorities() &&
           PutAuthority(book_.MakeAuthority(BootTime())) == Outcome::kDurable;
  }

  bool ResolvePending() {
    if (book_.pending_level().has_value() && !PutLevelAgain())
      return false;
    return !book_.pending_authority().has_value() ||
           PutAuthorityAgain() != Outcome::kUnknown;
  }

  // Reads all records and starts this incarnation.
  bool Join() {
    const auto authorities = authorities_.ReadAll(options_.call_timeout);
    if (!authorities.ok())
      return false;
    auto levels = store_.Newest(StoreSubject::kLevels, options_.call_timeout);
    if (!levels.ok())
      return false;
    RouterRecords previous;
    if (!Sort(authorities->page, &DecodeAuthority, &previous.authority,
              [this](auto record) { book_.ApplyAuthority(std::move(record)); }))
      return false;
    if (!Sort(*levels, &DecodeLevel, &previous.level,
              [this](auto record) { book_.ApplyLevel(std::move(record)); }))
      return false;
    levels_read_ = SteadyNow();
    const Birth birth = MakeBirth(previous);
    LogInheritance(previous, birth, book_.Start(previous, birth));
    return SyncAuthority();
  }

  // Asks other routers for the time of day if the VM's own clocks do not give
  // the age of the last level record.
  Birth MakeBirth(const RouterRecords& previous) {
    const absl::Duration since_birth = BootTime() - born_;
    Birth birth{.boot = book_.boot(),
                .boot_time = born_,
                .time_of_day = TimeOfDayNow() - since_birth};
    book_.NoteTimeOfDay(TimeOfDayNow(), BootTime());
    if (!previous.level.has_value() || previous.level->final ||
        AgeAtBirth(*previous.level, birth).source == AgeSource::kBootClock)
      return birth;
    const ClockSurvey survey =
        SurveyClocks(OtherAddresses(), ask_time_of_day_, options_.clocks);
    LogEvent("clock.surveyed",
             survey.is_enough() ? LogSeverity::kInfo : LogSeverity::kWarning)
        .Add("asked", static_cast<int64_t>(survey.asked))
        .Add("answered", static_cast<int64_t>(survey.answered))
        .Add("needed", static_cast<int64_t>(survey.needed))
        .Add("behind_ms", absl::ToInt64Milliseconds(-survey.most_behind))
        .Add("ahead_ms", absl::ToInt64Milliseconds(survey.most_ahead));
    book_.NoteTimeOfDay(TimeOfDayNow() + survey.most_behind, BootTime());
    if (survey.is_enough())
      birth.latest_time_of_day = *birth.time_of_day + survey.most_ahead;
    return birth;
  }

  // Passes other routers' records to `apply` and stores this router's own in
  // `own`. Returns false if its own record cannot be decoded, because then it
  // is unknown what was committed.
  template <typename Decode, typename Record, typename Apply>
  bool Sort(const StoredPage& page,
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

  void LogInheritance(const RouterRecords& previous,
                      const Birth& birth,
                      const std::vector<Inheritance>& inheritance) {
    const RecordAge record_age = previous.level.has_value()
                                     ? AgeAtBirth(*previous.level, birth)
                                     : RecordAge();
    for (const Inheritance& inherited : inheritance) {
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
        .Add("age_from", NameOf(record_age.source));
  }

  // Returns -1 for an unknown (infinite) duration.
  static int64_t MillisecondsOrUnknown(absl::Duration duration) {
    return duration == absl::InfiniteDuration()
               ? -1
               : absl::ToInt64Milliseconds(duration);
  }

  // Returns whether the store answered.
  bool SyncAuthority() {
    if (book_.pending_authority().has_value())
      return PutAuthorityAgain() != Outcome::kUnknown;
    if (!FollowLevels())
      return false;
    // Other routers may write in between, so the write is retried.
    constexpr int kTries = 3;
    for (int i = 0; i < kTries; ++i) {
      if (!FollowAuthorities())
        return false;
      if (!book_.WantsAuthority(BootTime()))
        return true;
      const Outcome outcome = PutAuthority(book_.MakeAuthority(BootTime()));
      if (outcome != Outcome::kRefused)
        return outcome == Outcome::kDurable;
    }
    return true;
  }

  // The outcome of a put as far as it is known.
  enum class Outcome { kDurable, kRefused, kUnknown };

  Outcome PutAuthority(const fb::AuthorityRecordT& record) {
    record_ = EncodeAuthority(record);
    record_at_ = authorities_.end();
    return Conclude(SendAuthority());
  }

  // Determines the outcome of the pending record's put by repeating it under
  // the same condition. If the condition does not hold, either other routers
  // wrote records or the earlier put took effect; in the second case the record
  // itself is found when reading.
  Outcome PutAuthorityAgain() {
    Outcome outcome = SendAuthority();
    if (outcome == Outcome::kRefused) {
      own_seen_ = false;
      if (!FollowAuthorities())
        outcome = Outcome::kUnknown;
      else if (own_seen_)
        outcome = Outcome::kDurable;
    }
    return Conclude(outcome);
  }

  Outcome SendAuthority() {
    auto end = store_.PutAt(StoreSubject::kAuthorities, book_.router(), record_,
                            record_at_, options_.call_timeout);
    if (end.ok()) {
      authorities_.SetEnd(*end);
      return Outcome::kDurable;
    }
    return end.status().code() == absl::StatusCode::kFailedPrecondition
               ? Outcome::kRefused
               : Outcome::kUnknown;
  }

  Outcome Conclude(Outcome outcome) {
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
    if (book_.pending_level().has_value())
      return PutLevelAgain();
    const absl::Duration now = BootTime();
    const bool is_due = now - last_durable_ >= options_.renewal &&
                        last_durable_ != absl::ZeroDuration();
    if (!book_.WantsLevel(now) && !is_due)
      return true;
    return PutLevelNow();
  }

  bool PutLevelNow() {
    book_.NoteTimeOfDay(TimeOfDayNow(), BootTime());
    return PutLevel(book_.MakeLevel(BootTime()));
  }

  bool PutLevel(const fb::LevelRecordT& record) {
    level_ = EncodeLevel(record);
    return PutLevelAgain();
  }

  bool PutLevelAgain() {
    const fb::LevelRecordT& record = *book_.pending_level();
    const absl::Status status =
        store_.PutNext(StoreSubject::kLevels, book_.router(), level_,
                       {.writer = record.router,
                        .epoch = record.epoch,
                        .sequence = record.sequence},
                       options_.call_timeout);
    if (status.code() == absl::StatusCode::kFailedPrecondition) {
      LogEvent("total.level_refused", LogSeverity::kError)
          .Add("epoch", record.epoch)
          .Add("sequence", record.sequence)
          .Add("reason", status);
      book_.OnLevelRefused();
      return false;
    }
    if (!status.ok())
      return false;
    last_durable_ = absl::Microseconds(record.written_us);
    book_.OnLevelDurable();
    changed_.Notify();
    return true;
  }

  // Reads the authority records written since the last read.
  bool FollowAuthorities() {
    const auto news = authorities_.Read(options_.call_timeout);
    if (!news.ok())
      return false;
    for (const StoredValue& value : news->page.values)
      ApplyAuthority(value);
    if (!news->page.values.empty())
      changed_.Notify();
    return true;
  }

  void ApplyAuthority(const StoredValue& value) {
    auto record = DecodeStored(value, &DecodeAuthority);
    if (!record.has_value())
      return;
    if (record->router != book_.router())
      book_.ApplyAuthority(*std::move(record));
    else if (book_.pending_authority().has_value() && value.value == record_)
      own_seen_ = true;
    else
      book_.OnStrayAuthority(*record);
  }

  // Reads the other routers' level records. This is done at the interval only,
  // because the volume read by all routers grows with the square of their
  // number.
  bool FollowLevels() {
    if (SteadyNow() - levels_read_ < Interval(options_.interval_per_router))
      return true;
    auto page = store_.Newest(StoreSubject::kLevels, options_.call_timeout);
    if (!page.ok())
      return false;
    std::optional<fb::LevelRecordT> own;
    Sort(*page, &DecodeLevel, &own,
         [this](auto record) { book_.ApplyLevel(std::move(record)); });
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
  const RecordKeeperOptions options_;
  const AskForTimeOfDay ask_time_of_day_;
  TotalsBook& book_;
  RecordReader<Store> authorities_;
  // An earlier incarnation on this VM had ended by this time.
  const absl::Duration born_ = BootTime();
  FiberSignal authority_wanted_;
  FiberSignal level_wanted_;
  FiberSignal changed_;
  absl::Time levels_read_ = absl::InfinitePast();
  std::string record_;  // serialized pending authority record
  int64_t record_at_ = 0;
  bool own_seen_ = false;
  std::string level_;  // serialized pending level record
  bool level_closed_ = false;
  int keepers_ = 0;
  absl::Duration last_durable_ = absl::ZeroDuration();
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_RECORD_KEEPER_H_
