// A cause is often not in a request's own lines: the store was lost before it
// came, or the router's predecessor died with tokens in hand. Each process's
// last word on such things is kept as it stood when the request was touched.

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "hawthornhollow/explain/explain.h"

namespace hawthornhollow {
namespace {

struct OutcomeText {
  std::string_view outcome;
  std::string_view text;
};

constexpr std::array<OutcomeText, 14> kOutcomes = {{
    {"answered", "was answered"},
    {"caller_gone", "ended because its caller closed the connection"},
    {"stream_cut", "was cut off in the middle of its stream"},
    {"server_error", "got the error that its server answered"},
    {"bad_request", "could not be read"},
    {"unknown_route", "matches no route"},
    {"unknown_key", "bears a key of no workspace"},
    {"total_spent", "was denied: its workspace's total does not allow it"},
    {"total_not_at_hand",
     "was refused: tokens may be left, but the router could not get them"},
    {"not_ready", "was refused: the router had no configuration yet"},
    {"no_server", "was refused: no server could be reached in time"},
    {"refused", "was refused by its servers and did not run"},
    {"outcome_unknown", "may have run, but no answer came"},
    {"timed_out", "may have run, but its time was up"},
}};

std::string_view TextOf(std::string_view outcome) {
  const auto* found = std::find_if(
      kOutcomes.begin(), kOutcomes.end(),
      [&](const OutcomeText& item) { return item.outcome == outcome; });
  return found == kOutcomes.end() ? "ended in a way that is not known here"
                                  : found->text;
}

}  // namespace

void RequestStory::Add(std::string_view text) {
  auto line = LogLine::Parse(text);
  if (!line.has_value())
    return;
  if (line->Field("request") != request_) {
    NoteContext(*line);
    return;
  }
  related_[line->process()] = context_[line->process()];
  own_.push_back(*std::move(line));
}

void RequestStory::NoteContext(const LogLine& line) {
  Context& context = context_[line.process()];
  if (line.event() == "store.lost")
    context.insert_or_assign("store", line);
  else if (line.event() == "store.regained")
    context.erase("store");
  else if (line.event() == "total.inherited")
    context.insert_or_assign("total " + line.Field("workspace"), line);
  else if (line.event() == "server.gone")
    context.insert_or_assign("server " + line.Field("server"), line);
  else if (line.event() == "router.stopping")
    context.insert_or_assign("stopping", line);
  else if (line.event() == "router.started")
    context.clear();  // another process of the same name
}

std::vector<LogLine> RequestStory::RelatedLines() const {
  std::vector<LogLine> lines;
  for (const LogLine& own : own_) {
    const auto process = related_.find(own.process());
    if (process == related_.end())
      continue;
    for (const std::string& key :
         {std::string("store"), std::string("stopping"),
          absl::StrCat("total ", own.Field("workspace")),
          absl::StrCat("server ", own.Field("server"))}) {
      const auto found = process->second.find(key);
      if (found != process->second.end() &&
          std::find(lines.begin(), lines.end(), found->second) == lines.end())
        lines.push_back(found->second);
    }
  }
  return lines;
}

std::vector<LogLine> RequestStory::Lines() const {
  std::vector<LogLine> lines = RelatedLines();
  lines.insert(lines.end(), own_.begin(), own_.end());
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const LogLine& a, const LogLine& b) { return a.time() < b.time(); });
  return lines;
}

std::string RequestStory::OutcomeSentence(const LogLine& end) const {
  return absl::StrCat(std::string(TextOf(end.Field("outcome"))), " (",
                      end.Field("outcome"), ", status ", end.Field("status"),
                      ") after ", end.Field("took_ms"), " ms at ",
                      end.process());
}

std::string RequestStory::TokensSentence() const {
  std::string sentence;
  for (const LogLine& line : own_) {
    if (line.event() != "total.refused")
      continue;
    sentence = absl::StrCat(
        "; wanted ", line.Field("wanted"), " tokens of ",
        line.Field("workspace"), ", had ", line.Field("available"),
        " at hand, with ", line.Field("committed"), " of ", line.Field("total"),
        " committed and ", line.Field("unassigned"), " with no router; ",
        line.Field("record_age_ms") == "-1"
            ? "it had no record of its own yet"
            : "its record was " + line.Field("record_age_ms") + " ms old");
  }
  return sentence;
}

std::string RequestStory::TriesSentence() const {
  std::vector<std::string> tries;
  for (const LogLine& line : own_) {
    if (line.event() != "request.try_failed")
      continue;
    tries.push_back(absl::StrCat(line.Field("server"), ": ", line.Field("end"),
                                 " after ", line.Field("events"), " events, ",
                                 line.Field("left_ms"), " ms left"));
  }
  return tries.empty() ? "" : "; failed tries: " + absl::StrJoin(tries, "; ");
}

std::string RequestStory::RelatedSentence() const {
  std::string sentence;
  for (const LogLine& line : RelatedLines()) {
    if (line.event() == "store.lost")
      absl::StrAppend(&sentence, "; the store was out of reach since ",
                      line.time());
    else if (line.event() == "router.stopping")
      absl::StrAppend(&sentence, "; the router was shutting down");
    else if (line.event() == "server.gone")
      absl::StrAppend(&sentence, "; ", line.Field("server"), " left at ",
                      line.time());
    else if (line.Field("charged") != line.Field("recorded"))
      absl::StrAppend(&sentence, "; an earlier incarnation was charged ",
                      line.Field("charged"), " tokens, its record said ",
                      line.Field("recorded"));
  }
  return sentence;
}

std::string RequestStory::Summary() const {
  const auto end = std::find_if(
      own_.rbegin(), own_.rend(),
      [](const LogLine& line) { return line.event() == "request.end"; });
  const std::string what =
      end != own_.rend()
          ? OutcomeSentence(*end)
          : "has no end in these logs: its router died, or lines are missing";
  return absl::StrCat("request ", request_, " ", what, TokensSentence(),
                      TriesSentence(), RelatedSentence());
}

}  // namespace hawthornhollow
