#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/string_view.h"
#include "hawthornhollow/relay/relay.h"

namespace hawthornhollow {
namespace {

constexpr std::string_view kIdField = "id:";
constexpr std::string_view kLineEnds = "\r\n";

// Where the next line after the one from `begin` on starts: lines end with LF,
// CR LF or CR. npos if it does not end, or may with the next byte.
size_t NextLine(std::string_view text, size_t begin) {
  const size_t end = text.find_first_of(kLineEnds, begin);
  if (end == std::string_view::npos)
    return end;
  if (text[end] == '\n')
    return end + 1;
  if (end + 1 == text.size())
    return std::string_view::npos;
  return text[end + 1] == '\n' ? end + 2 : end + 1;
}

bool IsLineEnd(char c) {
  return kLineEnds.find(c) != std::string_view::npos;
}

// Calls `visit` for each line, without its end, until that returns false.
template <typename Visit>
void VisitLines(std::string_view text, Visit visit) {
  while (!text.empty()) {
    const size_t end = std::min(text.find_first_of(kLineEnds), text.size());
    if (!visit(text.substr(0, end)))
      return;
    text.remove_prefix(std::min(NextLine(text, 0), text.size()));
  }
}

// Returns the value of the event's "id:" line.
std::optional<int64_t> EventId(std::string_view event) {
  std::optional<int64_t> id;
  VisitLines(event, [&](std::string_view line) {
    int64_t number = 0;
    if (!line.starts_with(kIdField))
      return true;
    const std::string_view value = line.substr(kIdField.size());
    if (absl::SimpleAtoi(absl::string_view(value.data(), value.size()),
                         &number))
      id = number;
    return !id.has_value();
  });
  return id;
}

bool IsComment(std::string_view event) {
  bool is_comment = true;
  VisitLines(event, [&](std::string_view line) {
    is_comment = line.empty() || line.front() == ':';
    return is_comment;
  });
  return is_comment;
}

StreamEvent MakeEvent(std::string bytes) {
  const auto id = EventId(bytes);
  const bool is_comment = IsComment(bytes);
  return {.id = id, .bytes = std::move(bytes), .is_comment = is_comment};
}

}  // namespace

bool EventSplitter::IsInsideEvent(std::string_view rest) {
  return !IsComment(rest) && !EndsWithBlankLine(rest);
}

bool EventSplitter::EndsWithBlankLine(std::string_view rest) {
  return rest.ends_with("\n\n") || rest.ends_with("\r\r") ||
         rest.ends_with("\n\r") || rest.ends_with("\n\r\n");
}

std::vector<StreamEvent> EventSplitter::Feed(std::string_view piece) {
  rest_.append(piece);
  std::vector<StreamEvent> events;
  size_t begin = 0;
  while (true) {
    const size_t next = NextLine(rest_, line_);
    if (next == std::string::npos)
      break;
    // A blank line ends the event, but not before its first line.
    const bool is_end = line_ > begin && IsLineEnd(rest_[line_]);
    line_ = next;
    if (!is_end)
      continue;
    events.push_back(MakeEvent(rest_.substr(begin, next - begin)));
    begin = next;
  }
  rest_.erase(0, begin);
  line_ -= begin;
  return events;
}

std::optional<StreamEvent> EventSplitter::TakeLast() {
  if (rest_.size() < 2 || !EndsWithBlankLine(rest_))
    return std::nullopt;
  line_ = 0;
  return MakeEvent(std::exchange(rest_, {}));
}

}  // namespace hawthornhollow
