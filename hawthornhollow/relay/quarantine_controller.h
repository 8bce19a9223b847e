#ifndef HAWTHORNHOLLOW_RELAY_QUARANTINE_CONTROLLER_H_
#define HAWTHORNHOLLOW_RELAY_QUARANTINE_CONTROLLER_H_

// Carries out the decisions of PromptQuarantine among all routers: each crash
// is reported to the other routers at once, and quarantines are kept in the
// store, where routers that start, or were not reached, find them.
//
// A connection that broke off is not yet a crash: a server may also reset one
// connection, or the link may have been cut. An answer that ended between its
// head and its first piece is taken for a crash as it is. In other cases the
// server is connected to: only one that refuses has crashed.

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/keyed_follower.h"
#include "hawthornhollow/relay/peer_service.h"
#include "hawthornhollow/relay/prompt_quarantine.h"
#include "hawthornhollow/relay/relay.h"
#include "hawthornhollow/runtime/runtime.h"

namespace hawthornhollow {

struct QuarantineControllerOptions {
  PromptQuarantineOptions decisions;
  // Between two reads of the store. Other routers report crashes sooner.
  absl::Duration poll_interval = absl::Milliseconds(1500);
  absl::Duration retry_delay = absl::Milliseconds(300);
  absl::Duration call_timeout = absl::Milliseconds(600);
  // If the store has not been read for this time, other routers are asked.
  absl::Duration unread_after = absl::Seconds(2);
  // Each report goes to all routers. More than this in a second are left out.
  size_t max_reports_per_second = 10;
  // Sound parts are told to other routers this long after the first of them.
  absl::Duration sound_delay = absl::Milliseconds(100);
  // After a connection broke off, until its server is connected to: a process
  // that ends closes its connections and its port one after the other.
  absl::Duration probe_delay = absl::Milliseconds(30);
  absl::Duration probe_timeout = absl::Milliseconds(300);
  // Each costs a connection if the server lives. More than this in a second are
  // left out.
  size_t max_probes_per_second = 10;
};

// Allows so many events in any second.
class SecondLimit {
 public:
  explicit SecondLimit(size_t most) : most_(most) {}

  bool TryTake(absl::Time now) {
    while (!taken_.empty() && now - taken_.front() > absl::Seconds(1))
      taken_.pop_front();
    if (taken_.size() >= most_)
      return false;
    taken_.push_back(now);
    return true;
  }

 private:
  const size_t most_;
  std::deque<absl::Time> taken_;  // in the last second
};

// What QuarantineController needs of its router.
struct QuarantineCalls {
  std::function<void(std::function<void()>)> spawn;     // runs on another fiber
  std::function<std::vector<std::string>()> addresses;  // of other routers
  std::function<absl::Status(const std::string& address,
                             const ServerCrash& crash)>
      report_crash;
  std::function<absl::Status(const std::string& address,
                             const std::vector<std::string>& parts)>
      report_sound;
  // Whether a server refuses connections. An error if this is not known: it
  // does not answer.
  std::function<absl::StatusOr<bool>(const Endpoint& server,
                                     absl::Duration timeout)>
      refuses;
};

template <SharedStore Store>
class QuarantineController {
 public:
  // `store` must outlive the controller.
  QuarantineController(Store& store,
                       const QuarantineControllerOptions& options,
                       QuarantineCalls calls)
      : options_(options),
        calls_(std::move(calls)),
        store_(store),
        records_(store, StoreSubject::kQuarantine),
        quarantine_(options.decisions),
        reports_(options.max_reports_per_second),
        probes_(options.max_probes_per_second) {}
  QuarantineController(const QuarantineController&) = delete;
  QuarantineController& operator=(const QuarantineController&) = delete;

  // Whether a part of the request's prompt must not reach servers.
  bool IsQuarantined(const RelayCall& call) {
    const QuarantinedPart* found =
        quarantine_.Find(call.prompt, SteadyNow(), call.id);
    if (found == nullptr)
      return false;
    LogEvent("request.quarantined")
        .Add("request", call.id)
        .Add("part", found->part)
        .Add("crashes", found->crashes);
    return true;
  }
  // An answer has gone on for a while, or is whole.
  void OnAnswerWentOn(const RelayCall& call) {
    const std::vector<std::string> cleared =
        quarantine_.OnAnswerWentOn(call.prompt, SteadyNow());
    if (cleared.empty())
      return;
    LogEvent("prompt.cleared")
        .Add("request", call.id)
        .Add("parts", Joined(cleared));
    TellSound(cleared);
  }
  // The connection to a server ended before the answer had gone on for a while.
  void OnBrokeOff(const RelayCall& call,
                  const RelayServer& server,
                  BreakPoint point) {
    if (quarantine_.EndTrial(call.prompt)) {
      LogEvent("prompt.trial_failed", LogSeverity::kWarning)
          .Add("request", call.id)
          .Add("server", server.id);
    }
    if (quarantine_.Suspects(call.prompt, SteadyNow()).empty())
      return;
    if (point == BreakPoint::kBeforeFirstPiece)
      return OnCrash(server.id, {call.prompt});
    const auto [found, is_first] = broken_.try_emplace(server.id);
    found->second.push_back(call.prompt);
    if (!is_first)
      return;  // the probe in progress tells of this one, too
    if (!probes_.TryTake(SteadyNow())) {
      broken_.erase(found);
      LogEvent("prompt.probe_skipped", LogSeverity::kWarning)
          .Add("request", call.id)
          .Add("server", server.id)
          .Add("per_second", options_.max_probes_per_second);
      return;
    }
    calls_.spawn([this, request = call.id, server, point] {
      hawthornhollow::SleepFor(options_.probe_delay);
      Probe(request, server, point);
    });
  }
  void OnReported(const ServerCrash& crash, const std::string& peer) {
    quarantine_.OnReported(crash, SteadyNow());
    LogCrash(crash, peer);
    LogDecided();
  }

  void OnSoundReported(const std::vector<std::string>& parts) {
    quarantine_.OnSoundReported(parts, SteadyNow());
  }

  std::vector<QuarantinedPart> quarantined() const {
    return quarantine_.quarantined(SteadyNow());
  }
  // Whether the store has not been read for long.
  bool is_unread() const {
    return SteadyNow() - read_at_ > options_.unread_after;
  }
  void Adopt(const std::vector<QuarantinedPart>& parts,
             std::string_view source) {
    for (const QuarantinedPart& part : parts) {
      if (quarantine_.Adopt(part, SteadyNow()))
        LogQuarantined(part, source);
    }
  }

  // Reads and writes the store until `stop` is set. Call it on its own fiber.
  void Run(const std::atomic<bool>& stop) {
    while (!stop) {
      const bool synchronized = Synchronize();
      hawthornhollow::SleepFor(synchronized ? options_.poll_interval
                                            : options_.retry_delay);
    }
  }

 private:
  bool Synchronize() {
    if (!records_.Poll(options_.call_timeout).ok())
      return false;
    read_at_ = SteadyNow();
    if (std::exchange(era_, records_.position().era) != era_)
      SaveAllAgain();
    AdoptRecords();
    bool saved = true;
    for (const QuarantinedPart& part : quarantine_.TakeUnsaved()) {
      if (Save(part))
        continue;
      saved = false;
      if (part.is_lifted)
        quarantine_.MarkLiftedUnsaved(part);
      else
        quarantine_.MarkUnsaved(part.part);
    }
    SaveTrials();
    return saved;
  }

  // Of all routers, the one whose record is taken lets a request through.
  void SaveTrials() {
    for (const QuarantinedPart& part : quarantine_.DueTrials(SteadyNow())) {
      if (!Save(part))
        return;
      quarantine_.OnTrialSaved(part, SteadyNow());
      LogEvent("prompt.trial_granted")
          .Add("part", part.part)
          .Add("trials", part.trials);
    }
  }

  // The store may have lost what it had saved. AdoptRecords() finds out what is
  // still there.
  void SaveAllAgain() {
    for (const QuarantinedPart& part : quarantine_.quarantined(SteadyNow()))
      quarantine_.MarkUnsaved(part.part);
  }

  void AdoptRecords() {
    if (adopted_changes_ == records_.changes())
      return;
    adopted_changes_ = records_.changes();
    for (const auto& [key, record] : records_.newest()) {
      const auto part = DecodeQuarantine(record);
      if (part.ok() && part->is_lifted && !IsNews(key, record))
        continue;
      if (part.ok()) {
        Adopt({*part}, "store");
        quarantine_.OnSaved(*part);
        continue;
      }
      LogEvent("prompt.record_rejected", LogSeverity::kWarning)
          .Add("key", key)
          .Add("offset", record.offset)
          .Add("reason", part.status());
    }
  }

  // The end of a quarantine is in force once: the part may be quarantined anew
  // here while that record is still the newest.
  bool IsNews(const std::string& key, const StoredValue& record) {
    const std::pair place(records_.position().era, record.offset);
    return std::exchange(lifted_at_[key], place) != place;
  }

  // Other routers may write at the same time: then the record is read first,
  // and saved with the next round.
  bool Save(const QuarantinedPart& part) {
    const auto end = store_.AppendAt(
        StoreSubject::kQuarantine, part.part, EncodeQuarantine(part),
        records_.position().offset, options_.call_timeout);
    return end.ok();
  }

  // Finds out whether a server has crashed to which connections broke off.
  void Probe(const std::string& request,
             const RelayServer& server,
             BreakPoint point) {
    const absl::StatusOr<bool> refuses =
        calls_.refuses(server.address, options_.probe_timeout);
    const auto prompts = std::move(broken_.extract(server.id).mapped());
    LogEvent("prompt.server_probed")
        .Add("request", request)
        .Add("server", server.id)
        .Add("broke_off", NameOf(point))
        .Add("requests", prompts.size())
        .Add("outcome", !refuses.ok() ? "silent"
                        : *refuses    ? "refuses"
                                      : "up");
    if (refuses.ok() && *refuses)
      OnCrash(server.id, prompts);
  }

  void OnCrash(const std::string& server,
               const std::vector<std::vector<PromptPart>>& prompts) {
    const auto crash = quarantine_.OnCrash(server, prompts, SteadyNow());
    if (!crash.has_value())
      return;
    LogCrash(*crash, /*peer=*/"");
    LogDecided();
    if (!reports_.TryTake(SteadyNow())) {
      LogEvent("prompt.report_skipped", LogSeverity::kWarning)
          .Add("server", server)
          .Add("per_second", options_.max_reports_per_second);
      return;
    }
    TellOthers([this, crash](const std::string& address) {
      return calls_.report_crash(address, *crash);
    });
  }

  // Together with what else is found to be sound soon after.
  void TellSound(const std::vector<std::string>& parts) {
    const bool is_first = untold_sound_.empty();
    untold_sound_.insert(parts.begin(), parts.end());
    if (!is_first)
      return;
    calls_.spawn([this] {
      hawthornhollow::SleepFor(options_.sound_delay);
      const std::vector<std::string> sound(untold_sound_.begin(),
                                           untold_sound_.end());
      untold_sound_.clear();
      TellOthers([this, sound](const std::string& address) {
        return calls_.report_sound(address, sound);
      });
    });
  }

  // Calls `tell` for each other router, each on a fiber of its own.
  void TellOthers(
      const std::function<absl::Status(const std::string& address)>& tell) {
    for (const std::string& address : calls_.addresses()) {
      calls_.spawn([address, tell] {
        const absl::Status status = tell(address);
        if (status.ok())
          return;
        LogEvent("prompt.report_failed", LogSeverity::kWarning)
            .Add("peer", address)
            .Add("reason", status);
      });
    }
  }

  static std::string Joined(const std::vector<std::string>& parts) {
    std::string text;
    for (const std::string& part : parts)
      text += (text.empty() ? "" : ",") + part;
    return text;
  }

  static void LogCrash(const ServerCrash& crash, const std::string& peer) {
    LogEvent("prompt.crash")
        .Add("server", crash.server)
        .Add("suspect_parts", Joined(crash.parts))
        .Add("peer", peer);
  }

  void LogDecided() {
    for (const QuarantinedPart& part : quarantine_.TakeDecided())
      LogQuarantined(part, "crashes");
  }

  static void LogQuarantined(const QuarantinedPart& part,
                             std::string_view source) {
    if (part.is_lifted) {
      LogEvent("prompt.lifted")
          .Add("part", part.part)
          .Add("trials", part.trials)
          .Add("source", source);
      return;
    }
    LogEvent("prompt.quarantined", LogSeverity::kWarning)
        .Add("part", part.part)
        .Add("crashes", part.crashes)
        .Add("source", source)
        .Add("for_ms", absl::ToInt64Milliseconds(part.until - SteadyNow()));
  }

  const QuarantineControllerOptions options_;
  const QuarantineCalls calls_;
  Store& store_;
  KeyedFollower<Store> records_;
  PromptQuarantine quarantine_;
  int64_t era_ = 0;  // of the store, when its records were last read
  uint64_t adopted_changes_ = 0;
  // Era and offset of the newest record that ended a part's quarantine.
  std::map<std::string, std::pair<int64_t, int64_t>> lifted_at_;
  absl::Time read_at_ = absl::InfinitePast();
  SecondLimit reports_;
  SecondLimit probes_;
  // Prompts of requests that broke off at servers whose probe is in progress.
  std::map<std::string, std::vector<std::vector<PromptPart>>> broken_;
  std::set<std::string> untold_sound_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_QUARANTINE_CONTROLLER_H_
