// Assumed load: requests with the harmful part are a few per cent of a route's
// and come at any router; sound ones share their caller and their other parts.
// When a server crashes, everything in progress there breaks off, so most of
// what broke off is innocent. Four facts narrow it down:
//
//   - The cause had not begun or had just begun: a server may crash before a
//     byte of the answer, its head or its first events are on their way.
//     Answers that had gone on for a while are innocent.
//   - A part is sound if answers on it go on, here or at the router that
//   reports
//     the crash, and one on which an answer goes on after a crash is cleared at
//     all routers. This leaves out the parts that many requests share.
//   - Of the parts that are left, the cause is the one that most crashes have
//     in common. If several have all of them in common, they always came
//     together, and the one furthest into the prompt is taken, since the
//     earlier ones are shared more widely. A crash for another reason has in
//     common with them only what all prompts of its route share, so a part
//     further on that explains all but one goes before it: it is waited for.
//   - A part on which answers went on earlier needs more crashes. On a quiet
//     route that may be long ago.
//   - Servers that crash at the same moment have a cause in common that is no
//     request: a request needs time to reach the next server. They count once.
//
// A crash that a quarantined part explains is no evidence against others, nor
// is what else broke off at that server at that time.
//
// A wrong quarantine ends by itself: at growing pauses one request with the
// part is let through, by one router for all (the one that saves the trial in
// the store), and any answer that goes on lifts it. A harmful part crashes one
// more server by each.
//
// Bounds: a part is quarantined at the third crash that the router knows of, so
// with reports that arrive, by all routers; at most twice `together_time` later
// if crashes come without a pause. Requests sent before that may cause further
// crashes. A sound part is quarantined only if requests with it were in
// progress at three crashes and no answer on it went on, at any router, from
// the first of them to the last, nor at the routers that reported them for
// `proven_time` before; with one in that time, at six. The time for a crash is
// linear in `max_crashes`.

#include "hawthornhollow/relay/prompt_quarantine.h"

#include <algorithm>
#include <utility>

namespace hawthornhollow {
namespace {

// The parts that other requests may have, too.
std::vector<std::string> SharedParts(const std::vector<PromptPart>& prompt) {
  std::vector<std::string> parts;
  for (size_t i = 0; i + 1 < prompt.size(); ++i)
    parts.push_back(prompt[i].id);
  return parts;
}

}  // namespace

std::vector<std::string> PromptQuarantine::OnAnswerWentOn(
    const std::vector<PromptPart>& prompt,
    absl::Time now) {
  std::vector<std::string> cleared;
  for (std::string& part : SharedParts(prompt)) {
    if (const auto found = quarantined_.find(part);
        found != quarantined_.end()) {
      QuarantinedPart lifted = found->second.part;
      lifted.is_lifted = true;
      lifted_[part] = std::move(lifted);
    }
    if (MarkSound(part, now))
      cleared.push_back(std::move(part));
  }
  return cleared;
}

void PromptQuarantine::OnSoundReported(const std::vector<std::string>& parts,
                                       absl::Time now) {
  for (const std::string& part : parts)
    MarkSound(part, now);
}

bool PromptQuarantine::MarkSound(const std::string& part, absl::Time now) {
  if (sound_.size() >= options_.max_sound_parts && !sound_.contains(part)) {
    const auto oldest = std::ranges::min_element(
        sound_, {}, [](const auto& item) { return item.second; });
    sound_.erase(oldest);
  }
  sound_[part] = now;
  size_t erased = 0;
  for (Evidence& evidence : evidence_)
    erased += std::erase(evidence.crash.parts, part);
  const bool is_lifted = quarantined_.erase(part) > 0;
  unsaved_.erase(part);
  return erased > 0 || is_lifted;
}

std::vector<std::string> PromptQuarantine::Suspects(
    const std::vector<PromptPart>& prompt,
    absl::Time now) const {
  std::vector<std::string> parts = SharedParts(prompt);
  DropSound(&parts, now);
  return parts;
}

std::optional<ServerCrash> PromptQuarantine::OnCrash(
    const std::string& server,
    const std::vector<std::vector<PromptPart>>& prompts,
    absl::Time now) {
  ServerCrash crash{.server = server};
  for (const std::vector<PromptPart>& prompt : prompts) {
    for (std::string& part : Suspects(prompt, now)) {
      if (std::ranges::find(crash.parts, part) == crash.parts.end())
        crash.parts.push_back(std::move(part));
    }
  }
  if (crash.parts.empty())
    return std::nullopt;
  Record(crash, now);
  return crash;
}

void PromptQuarantine::OnReported(const ServerCrash& crash, absl::Time now) {
  ServerCrash known = crash;
  DropSound(&known.parts, now);
  if (!known.parts.empty())
    Record(std::move(known), now);
}

bool PromptQuarantine::IsSound(const std::string& part, absl::Time now) const {
  const auto found = sound_.find(part);
  return found != sound_.end() && now - found->second <= options_.sound_time;
}

bool PromptQuarantine::IsProven(const std::string& part, absl::Time now) const {
  const auto found = sound_.find(part);
  return found != sound_.end() && now - found->second <= options_.proven_time;
}

int64_t PromptQuarantine::CrashesNeeded(const std::string& part,
                                        absl::Time now) const {
  return IsProven(part, now) ? options_.crashes_of_proven : options_.crashes;
}

void PromptQuarantine::DropSound(std::vector<std::string>* parts,
                                 absl::Time now) const {
  std::erase_if(*parts,
                [&](const std::string& part) { return IsSound(part, now); });
}

bool PromptQuarantine::IsExplained(const ServerCrash& crash, absl::Time now) {
  std::erase_if(explained_, [&](const auto& item) {
    return now - item.second > options_.crash_time;
  });
  const bool has_quarantined = std::any_of(
      crash.parts.begin(), crash.parts.end(), [&](const std::string& part) {
        const auto found = quarantined_.find(part);
        return found != quarantined_.end() && found->second.part.until > now;
      });
  if (has_quarantined)
    explained_[crash.server] = now;
  return explained_.contains(crash.server);
}

void PromptQuarantine::Record(ServerCrash crash, absl::Time now) {
  if (IsExplained(crash, now))
    return;
  while (!evidence_.empty() &&
         (evidence_.size() >= options_.max_crashes ||
          now - evidence_.front().at > options_.evidence_time))
    evidence_.pop_front();
  const std::vector<std::string> parts = crash.parts;
  evidence_.push_back({.crash = std::move(crash), .at = now});
  QuarantineCause(parts, now);
}

int64_t PromptQuarantine::CrashesWith(const std::string& part) const {
  std::map<std::string, absl::Time> last_end;  // by server
  absl::Time last_crash = absl::InfinitePast();
  int64_t crashes = 0;
  for (const auto& [crash, at] : evidence_) {
    if (std::ranges::find(crash.parts, part) == crash.parts.end())
      continue;
    const auto [found, is_first] = last_end.try_emplace(crash.server, at);
    const bool is_same_crash =
        !is_first && at - found->second <= options_.crash_time;
    found->second = at;
    if (is_same_crash || at - last_crash <= options_.together_time)
      continue;
    ++crashes;
    last_crash = at;
  }
  return crashes;
}

// Only parts of the newest crash can have become the cause.
void PromptQuarantine::QuarantineCause(const std::vector<std::string>& parts,
                                       absl::Time now) {
  std::string cause;
  int64_t most = 0;
  for (const std::string& part : parts) {
    const int64_t crashes = CrashesWith(part);
    if (crashes < most)
      continue;
    most = crashes;
    cause = part;
  }
  if (most < options_.crashes)
    return;
  for (std::string narrower = NarrowerCause(cause, most); !narrower.empty();
       narrower = NarrowerCause(cause, most)) {
    cause = narrower;
    most = CrashesWith(narrower);
  }
  if (most < CrashesNeeded(cause, now))
    return;
  const QuarantinedPart decided = {
      .part = cause, .crashes = most, .until = now + options_.duration};
  Insert(decided, now);
  decided_.push_back(decided);
  unsaved_.insert(cause);
}

std::string PromptQuarantine::NarrowerCause(const std::string& part,
                                            int64_t crashes) const {
  std::string narrowest;
  int64_t most = crashes - options_.unrelated_crashes;
  for (const Evidence& evidence : evidence_) {
    const std::vector<std::string>& parts = evidence.crash.parts;
    auto next = std::ranges::find(parts, part);
    while (next != parts.end() && ++next != parts.end()) {
      const int64_t explained = CrashesWith(*next);
      if (explained < most || *next == narrowest)
        continue;
      most = explained;
      narrowest = *next;
    }
  }
  return narrowest;
}

// What else broke off in the crashes that the part explains goes with them.
void PromptQuarantine::DropExplained(const std::string& part) {
  std::vector<std::pair<std::string, absl::Time>> explained;
  for (const Evidence& evidence : evidence_) {
    if (std::ranges::find(evidence.crash.parts, part) !=
        evidence.crash.parts.end())
      explained.emplace_back(evidence.crash.server, evidence.at);
  }
  std::erase_if(evidence_, [&](const Evidence& evidence) {
    return std::any_of(explained.begin(), explained.end(),
                       [&](const auto& crash) {
                         return crash.first == evidence.crash.server &&
                                absl::AbsDuration(crash.second - evidence.at) <=
                                    options_.crash_time;
                       });
  });
  for (const auto& [server, at] : explained)
    explained_[server] = std::max(explained_[server], at);
}

void PromptQuarantine::Insert(QuarantinedPart part, absl::Time now) {
  DropExplained(part.part);
  if (quarantined_.size() >= options_.max_quarantined) {
    const auto first_to_end =
        std::min_element(quarantined_.begin(), quarantined_.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.part.until < b.second.part.until;
                         });
    quarantined_.erase(first_to_end);
  }
  std::string key = part.part;
  lifted_.erase(key);
  Known known{.part = std::move(part)};
  known.next_trial = now + TrialPause(known);
  quarantined_.insert_or_assign(std::move(key), std::move(known));
}

absl::Duration PromptQuarantine::TrialPause(const Known& known) const {
  absl::Duration pause =
      known.is_wide ? options_.wide_trial_pause : options_.trial_pause;
  for (int64_t i = 0; i < known.part.trials && pause < options_.max_trial_pause;
       ++i)
    pause *= options_.trial_growth;
  return std::min(pause, options_.max_trial_pause);
}

// `follower` is the next part that requests may share; empty if there is none.
void PromptQuarantine::NoteFollower(Known& known,
                                    const std::string& follower,
                                    absl::Time now) {
  if (known.is_wide || follower.empty() || follower == known.follower)
    return;
  if (known.follower.empty()) {
    known.follower = follower;
    return;
  }
  known.is_wide = true;
  known.next_trial = std::min(known.next_trial, now + TrialPause(known));
}

std::vector<QuarantinedPart> PromptQuarantine::DueTrials(absl::Time now) const {
  std::vector<QuarantinedPart> due;
  for (const auto& [id, known] : quarantined_) {
    if (!known.is_asked_for || now < known.next_trial ||
        known.part.until <= now)
      continue;
    due.push_back(known.part);
    ++due.back().trials;
  }
  return due;
}

void PromptQuarantine::OnTrialSaved(const QuarantinedPart& part,
                                    absl::Time now) {
  const auto found = quarantined_.find(part.part);
  if (found == quarantined_.end())
    return;
  Known& known = found->second;
  known.part.trials = part.trials;
  known.next_trial = now + TrialPause(known);
  known.is_asked_for = false;
  known.trial_until = now + options_.trial_time;
  known.trial_request.clear();
}

bool PromptQuarantine::EndTrial(const std::vector<PromptPart>& prompt) {
  bool was_trial = false;
  for (const std::string& part : SharedParts(prompt)) {
    const auto found = quarantined_.find(part);
    if (found == quarantined_.end() || found->second.trial_request.empty())
      continue;
    found->second.trial_until = absl::InfinitePast();
    found->second.trial_request.clear();
    was_trial = true;
  }
  return was_trial;
}

bool PromptQuarantine::Adopt(const QuarantinedPart& part, absl::Time now) {
  if (part.is_lifted) {
    unsaved_.erase(part.part);
    return quarantined_.erase(part.part) > 0;
  }
  const absl::Time until = std::min(part.until, now + options_.duration);
  if (until <= now)
    return false;
  if (const auto found = quarantined_.find(part.part);
      found != quarantined_.end()) {
    Known& known = found->second;
    known.part.until = std::max(known.part.until, until);
    if (part.trials > known.part.trials) {
      known.part.trials = part.trials;
      known.next_trial = now + TrialPause(known);
    }
    return false;
  }
  if (part.crashes < CrashesNeeded(part.part, now) || IsSound(part.part, now))
    return false;
  Insert({.part = part.part,
          .crashes = part.crashes,
          .until = until,
          .trials = part.trials},
         now);
  return true;
}

const QuarantinedPart* PromptQuarantine::Find(
    const std::vector<PromptPart>& prompt,
    absl::Time now,
    const std::string& request) {
  if (quarantined_.empty())
    return nullptr;
  for (size_t i = 0; i + 1 < prompt.size(); ++i) {
    const auto found = quarantined_.find(prompt[i].id);
    if (found == quarantined_.end())
      continue;
    Known& known = found->second;
    if (known.part.until <= now) {
      quarantined_.erase(found);
      continue;
    }
    // Prolonged seldom, because each time it is saved.
    if (known.part.until - now < options_.duration / 2) {
      known.part.until = now + options_.duration;
      unsaved_.insert(known.part.part);
    }
    NoteFollower(known, i + 2 < prompt.size() ? prompt[i + 1].id : "", now);
    known.is_asked_for = true;
    if (now < known.trial_until && !request.empty() &&
        (known.trial_request.empty() || known.trial_request == request)) {
      known.trial_request = request;
      continue;
    }
    return &known.part;
  }
  return nullptr;
}

std::vector<QuarantinedPart> PromptQuarantine::TakeUnsaved() {
  std::vector<QuarantinedPart> parts;
  for (const std::string& part : unsaved_) {
    const auto found = quarantined_.find(part);
    if (found != quarantined_.end())
      parts.push_back(found->second.part);
  }
  unsaved_.clear();
  for (auto& [id, part] : std::exchange(lifted_, {}))
    parts.push_back(std::move(part));
  return parts;
}

void PromptQuarantine::OnSaved(const QuarantinedPart& part) {
  const auto found = quarantined_.find(part.part);
  if (found == quarantined_.end())
    return;
  // Routers decide the same at slightly different times.
  if (part.until + options_.duration / 4 >= found->second.part.until)
    unsaved_.erase(part.part);
}

std::vector<QuarantinedPart> PromptQuarantine::quarantined(
    absl::Time now) const {
  std::vector<QuarantinedPart> parts;
  for (const auto& [id, known] : quarantined_) {
    if (known.part.until > now)
      parts.push_back(known.part);
  }
  return parts;
}

}  // namespace hawthornhollow
