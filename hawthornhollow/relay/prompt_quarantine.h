#ifndef HAWTHORNHOLLOW_RELAY_PROMPT_QUARANTINE_H_
#define HAWTHORNHOLLOW_RELAY_PROMPT_QUARANTINE_H_

// Decides which parts of prompts must not be sent to backend servers, because
// servers crash when they begin an answer on them. Has no I/O and no clock.
//
// Each request with such a part is new, so nothing is learned from the request
// itself. What a crash tells is the parts of the prompts whose answers had not
// begun, or had just begun. A part that several crashes have in common, and on
// which no answer went on since, is quarantined.
//
//   PromptQuarantine quarantine(options);
//   TellOtherRouters(quarantine.OnAnswerWentOn(prompt, now));
//   if (auto crash = quarantine.OnCrash(server, prompt, now))
//     TellOtherRouters(*crash);             // they call OnReported()
//   if (quarantine.Find(prompt, now) != nullptr)
//     Refuse();
//   for (const QuarantinedPart& part : quarantine.TakeUnsaved())
//     Save(part);                           // others call Adopt()
//   for (const QuarantinedPart& part : quarantine.DueTrials(now))
//     if (Save(part))
//       quarantine.OnTrialSaved(part, now);

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "hawthornhollow/relay/relay.h"

namespace hawthornhollow {

struct PromptQuarantineOptions {
  // Crashes that a part must have in common with no other explanation. Two may
  // coincide when several servers crash for another reason.
  int64_t crashes = 3;
  // The same for a part on which an answer has gone on before, though not since
  // the first of these crashes. A part that crashes servers whatever else a
  // prompt holds can hardly have had one.
  int64_t crashes_of_proven = 6;
  // How long answers on a part are remembered for that.
  absl::Duration proven_time = absl::Hours(1);
  // Crashes that may have happened for another reason among those that a part
  // has in common: a narrower part that explains the others goes before it.
  int64_t unrelated_crashes = 1;
  // A part on which an answer went on this recently is not the cause of a
  // crash.
  absl::Duration sound_time = absl::Seconds(10);
  // Older crashes are forgotten.
  absl::Duration evidence_time = absl::Minutes(10);
  // Ends of connections to one server within this time are one crash.
  absl::Duration crash_time = absl::Seconds(2);
  // Crashes of several servers within this time are one: what ends a rack ends
  // them together, while a request needs longer to reach a second server.
  absl::Duration together_time = absl::Milliseconds(50);
  // A quarantine ends this long after the last request with the part.
  absl::Duration duration = absl::Minutes(10);
  // After this time one request of all routers is let through, and each further
  // one after `trial_growth` times the pause: if its answer goes on, the
  // quarantine was wrong. A part that comes with several others shuts out most,
  // so it is tried sooner.
  absl::Duration trial_pause = absl::Minutes(2);
  absl::Duration wide_trial_pause = absl::Seconds(10);
  int64_t trial_growth = 4;
  absl::Duration max_trial_pause = absl::Hours(4);
  // A trial that has had no outcome by then counts as none.
  absl::Duration trial_time = absl::Seconds(30);
  // Bounds memory.
  size_t max_crashes = 256;
  size_t max_sound_parts = 4096;
  size_t max_quarantined = 256;
};

// How far an answer was when its connection ended.
enum class BreakPoint { kBeforeHead, kBeforeFirstPiece, kSoonAfterFirstPiece };

inline std::string_view NameOf(BreakPoint point) {
  switch (point) {
    case BreakPoint::kBeforeHead:
      return "before_head";
    case BreakPoint::kBeforeFirstPiece:
      return "before_first_piece";
    case BreakPoint::kSoonAfterFirstPiece:
      return "soon_after_first_piece";
  }
  return "";
}

// A server crashed.
struct ServerCrash {
  std::string server;
  // The parts of prompts that may be the cause, in order of the text.
  std::vector<std::string> parts;
  friend auto operator<=>(const ServerCrash&, const ServerCrash&) = default;
};

struct QuarantinedPart {
  std::string part;
  int64_t crashes = 0;  // that it was found by
  absl::Time until;
  int64_t trials = 0;  // requests that were let through
  // An answer on it has gone on: it is quarantined no more.
  bool is_lifted = false;
  friend auto operator<=>(const QuarantinedPart&,
                          const QuarantinedPart&) = default;
};

class PromptQuarantine {
 public:
  explicit PromptQuarantine(const PromptQuarantineOptions& options)
      : options_(options) {}

  // An answer on this prompt has gone on for a while, or is whole: its parts
  // crash no server. Returns those that had been suspected: other routers
  // should know.
  std::vector<std::string> OnAnswerWentOn(const std::vector<PromptPart>& prompt,
                                          absl::Time now);
  // The parts of this prompt that may be the cause if its server has crashed.
  std::vector<std::string> Suspects(const std::vector<PromptPart>& prompt,
                                    absl::Time now) const;
  // A server crashed before answers on these prompts had gone on for a while.
  // Returns what other routers should know, if any part may be the cause.
  std::optional<ServerCrash> OnCrash(
      const std::string& server,
      const std::vector<std::vector<PromptPart>>& prompts,
      absl::Time now);
  // Another router has seen a crash.
  void OnReported(const ServerCrash& crash, absl::Time now);
  // Another router has seen answers on these parts go on.
  void OnSoundReported(const std::vector<std::string>& parts, absl::Time now);
  // Takes a quarantine that another router, or an earlier incarnation of this
  // one, has decided. Returns whether it is news.
  bool Adopt(const QuarantinedPart& part, absl::Time now);

  // Returns the quarantined part of this prompt, or null, and prolongs its
  // quarantine. The last part is the request's own and never the cause. If a
  // trial is granted, the first request that asks is let through.
  const QuarantinedPart* Find(const std::vector<PromptPart>& prompt,
                              absl::Time now,
                              const std::string& request = "");
  // Returns the parts of which this router may try one request, as they are to
  // be saved. The store lets one router save each.
  std::vector<QuarantinedPart> DueTrials(absl::Time now) const;
  void OnTrialSaved(const QuarantinedPart& part, absl::Time now);
  // The connection to the server of a request broke off: if it was a trial, the
  // request must not be sent again. Returns whether it was.
  bool EndTrial(const std::vector<PromptPart>& prompt);

  // Returns the quarantines that were decided here since the last call.
  std::vector<QuarantinedPart> TakeDecided() {
    return std::exchange(decided_, {});
  }
  // Returns those that were decided or lifted here, or have become much longer,
  // since the last call.
  std::vector<QuarantinedPart> TakeUnsaved();
  // The store has this quarantine, whoever saved it.
  void OnSaved(const QuarantinedPart& part);
  // Saving failed; TakeUnsaved() returns it again.
  void MarkUnsaved(const std::string& part) { unsaved_.insert(part); }
  // The same for the end of a quarantine.
  void MarkLiftedUnsaved(const QuarantinedPart& part) {
    if (!quarantined_.contains(part.part))
      lifted_[part.part] = part;
  }
  std::vector<QuarantinedPart> quarantined(absl::Time now) const;

 private:
  struct Evidence {
    ServerCrash crash;
    absl::Time at;
  };

  // What this router knows of a quarantined part.
  struct Known {
    QuarantinedPart part;
    absl::Time next_trial;
    bool is_asked_for = false;  // since the last trial
    // Another part that follows it, and whether there are several.
    std::string follower;
    bool is_wide = false;
    // Until then a request may be let through, and which one was.
    absl::Time trial_until = absl::InfinitePast();
    std::string trial_request;
  };

  // An answer on the part has gone on in the last `sound_time`, or in the last
  // `proven_time`.
  bool IsSound(const std::string& part, absl::Time now) const;
  bool IsProven(const std::string& part, absl::Time now) const;
  int64_t CrashesNeeded(const std::string& part, absl::Time now) const;
  absl::Duration TrialPause(const Known& known) const;
  void NoteFollower(Known& known, const std::string& follower, absl::Time now);
  // Returns whether the part had been suspected, or was quarantined.
  bool MarkSound(const std::string& part, absl::Time now);
  void DropSound(std::vector<std::string>* parts, absl::Time now) const;
  void Record(ServerCrash crash, absl::Time now);
  bool IsExplained(const ServerCrash& crash, absl::Time now);
  int64_t CrashesWith(const std::string& part) const;
  void QuarantineCause(const std::vector<std::string>& parts, absl::Time now);
  // A part that comes after `part` in the text and explains nearly all of its
  // `crashes`; empty if there is none.
  std::string NarrowerCause(const std::string& part, int64_t crashes) const;
  void DropExplained(const std::string& part);
  void Insert(QuarantinedPart part, absl::Time now);

  const PromptQuarantineOptions options_;
  std::deque<Evidence> evidence_;  // oldest first
  // Server -> its last crash that a quarantined part explains.
  std::map<std::string, absl::Time> explained_;
  // Part -> when an answer on it last went on.
  std::map<std::string, absl::Time> sound_;
  std::map<std::string, Known> quarantined_;       // keyed by part
  std::map<std::string, QuarantinedPart> lifted_;  // that are to be saved
  std::vector<QuarantinedPart> decided_;
  std::set<std::string> unsaved_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_PROMPT_QUARANTINE_H_
