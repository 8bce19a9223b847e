#ifndef HAWTHORNHOLLOW_RELAY_QUARANTINE_CONTROLLER_H_
#define HAWTHORNHOLLOW_RELAY_QUARANTINE_CONTROLLER_H_

// Carries out the decisions of PromptQuarantine among all routers: each crash
// is reported to the other routers at once, and quarantines are kept in the
// store, where routers that start, or were not reached, find them.

#include <atomic>
#include <deque>
#include <functional>
#include <string>
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
        quarantine_(options.decisions) {}
  QuarantineController(const QuarantineController&) = delete;
  QuarantineController& operator=(const QuarantineController&) = delete;

  // Whether a part of the request's prompt must not reach servers.
  bool IsQuarantined(const RelayCall& call) {
    const QuarantinedPart* found = quarantine_.Find(call.prompt, SteadyNow());
    if (found == nullptr)
      return false;
    LogEvent("request.quarantined")
        .Add("request", call.id)
        .Add("part", found->part)
        .Add("crashes", found->crashes);
    return true;
  }
  void OnAnswerBegan(const RelayCall& call) {
    const std::vector<std::string> cleared =
        quarantine_.OnAnswerBegan(call.prompt, SteadyNow());
    if (cleared.empty())
      return;
    LogEvent("prompt.cleared")
        .Add("request", call.id)
        .Add("parts", Joined(cleared));
    TellOthers([this, cleared](const std::string& address) {
      return calls_.report_sound(address, cleared);
    });
  }
  // The server broke off between the head and the first piece of its answer.
  void OnCrash(const RelayCall& call, const std::string& server) {
    const auto crash = quarantine_.OnCrash(server, call.prompt, SteadyNow());
    if (!crash.has_value())
      return;
    LogCrash(*crash, /*peer=*/"");
    LogDecided();
    TellOthers([this, crash](const std::string& address) {
      return calls_.report_crash(address, *crash);
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
    for (const QuarantinedPart& part : quarantine_.TakeUnsaved())
      saved &= Save(part);
    return saved;
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

  // Other routers may write at the same time: then the record is read first,
  // and saved with the next round.
  bool Save(const QuarantinedPart& part) {
    const auto end = store_.AppendAt(
        StoreSubject::kQuarantine, part.part, EncodeQuarantine(part),
        records_.position().offset, options_.call_timeout);
    if (end.ok())
      return true;
    quarantine_.MarkUnsaved(part.part);
    return false;
  }

  bool MayReport() {
    const absl::Time now = SteadyNow();
    while (!reports_.empty() && now - reports_.front() > absl::Seconds(1))
      reports_.pop_front();
    if (reports_.size() >= options_.max_reports_per_second)
      return false;
    reports_.push_back(now);
    return true;
  }

  // Calls `tell` for each other router, each on a fiber of its own.
  void TellOthers(
      const std::function<absl::Status(const std::string& address)>& tell) {
    if (!MayReport()) {
      LogEvent("prompt.report_skipped", LogSeverity::kWarning)
          .Add("per_second",
               static_cast<int64_t>(options_.max_reports_per_second));
      return;
    }
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
  absl::Time read_at_ = absl::InfinitePast();
  std::deque<absl::Time> reports_;  // of the last second
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_QUARANTINE_CONTROLLER_H_
