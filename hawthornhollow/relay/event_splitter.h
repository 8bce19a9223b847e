#ifndef HAWTHORNHOLLOW_RELAY_EVENT_SPLITTER_H_
#define HAWTHORNHOLLOW_RELAY_EVENT_SPLITTER_H_

// Splits a text/event-stream into its events.

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornhollow {

// One event with its bytes as received, including the terminating blank line.
struct StreamEvent {
  std::optional<int64_t> id;
  std::string bytes;
  // Consists of comment lines only, which keep a connection open and say
  // nothing of the answer.
  bool is_comment = false;
  friend auto operator<=>(const StreamEvent&, const StreamEvent&) = default;
};

// Splits a text/event-stream into events, regardless of how it is divided into
// pieces.
class EventSplitter {
 public:
  // Returns the events that are complete by now. Lines end with LF, CR LF or
  // CR; after a CR the next byte tells.
  std::vector<StreamEvent> Feed(std::string_view piece);
  // The stream has ended: returns the event that a last CR completes.
  std::optional<StreamEvent> TakeLast();
  // Bytes of an incomplete event.
  const std::string& rest() const { return rest_; }
  // Whether a stream that ends with this `rest` ends inside an event, and not
  // after one, perhaps with a comment or an empty line.
  static bool IsInsideEvent(std::string_view rest);

 private:
  static bool EndsWithBlankLine(std::string_view rest);

  std::string rest_;
  size_t line_ = 0;  // where the line that is not complete begins in it
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_EVENT_SPLITTER_H_
