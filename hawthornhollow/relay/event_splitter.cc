#include "absl/strings/numbers.h"
#include "absl/strings/string_view.h"
#include "hawthornhollow/relay/relay.h"

namespace hawthornhollow {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";

// Returns the value of the event's "id:" line.
std::optional<int64_t> EventId(std::string_view event) {
  while (!event.empty()) {
    const size_t end = event.find('\n');
    const std::string_view line = event.substr(0, end);
    int64_t id = 0;
    if (line.starts_with(kIdField)) {
      const std::string_view value = line.substr(kIdField.size());
      if (absl::SimpleAtoi(absl::string_view(value.data(), value.size()), &id))
        return id;
    }
    if (end == std::string_view::npos)
      break;
    event.remove_prefix(end + 1);
  }
  return std::nullopt;
}

bool IsComment(std::string_view event) {
  for (size_t begin = 0; begin < event.size();) {
    if (event[begin] != ':' && event[begin] != '\n')
      return false;
    const size_t end = event.find('\n', begin);
    if (end == std::string_view::npos)
      break;
    begin = end + 1;
  }
  return true;
}

}  // namespace

bool EventSplitter::IsInsideEvent(std::string_view rest) {
  // Lines may also end otherwise, in events that Feed() does not split off.
  return !IsComment(rest) && !rest.ends_with("\r\n\r\n") &&
         !rest.ends_with("\r\r");
}

std::vector<StreamEvent> EventSplitter::Feed(std::string_view piece) {
  rest_.append(piece);
  std::vector<StreamEvent> events;
  size_t begin = 0;
  while (true) {
    const size_t end = rest_.find(kEventEnd, std::max(begin, searched_));
    if (end == std::string::npos)
      break;
    const size_t next = end + kEventEnd.size();
    std::string bytes = rest_.substr(begin, next - begin);
    const auto id = EventId(bytes);
    const bool is_comment = IsComment(bytes);
    events.push_back(
        {.id = id, .bytes = std::move(bytes), .is_comment = is_comment});
    begin = next;
    searched_ = next;
  }
  rest_.erase(0, begin);
  // The terminating blank line may be split across two pieces.
  searched_ = rest_.empty() ? 0 : rest_.size() - 1;
  return events;
}

}  // namespace hawthornhollow
