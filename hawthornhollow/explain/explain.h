#ifndef HAWTHORNHOLLOW_EXPLAIN_EXPLAIN_H_
#define HAWTHORNHOLLOW_EXPLAIN_EXPLAIN_H_

// What became of one request, from the logs of all routers.
//
//   RequestStory story("7b65161ddb65ee77");
//   for (each line of each file)
//     story.Add(line);
//   std::string what = story.Summary();
//   for (const LogLine& line : story.Lines()) ...
//
// The lines that name the request are kept, and of the others the latest that
// bear on it: a lost store, tokens charged for a dead incarnation, a server
// that went. Lines of other programs are passed over.

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornhollow {

// One structured line. Text before `time=` is passed over.
class LogLine {
 public:
  // Nullopt if the text has no `time=` or no `event=`.
  static std::optional<LogLine> Parse(std::string_view text);

  // The value of a field; empty if absent.
  const std::string& Field(std::string_view name) const;
  const std::string& time() const { return Field("time"); }
  const std::string& process() const { return Field("process"); }
  const std::string& event() const { return Field("event"); }
  // From `time=` on, as written.
  const std::string& text() const { return text_; }

  friend bool operator==(const LogLine&, const LogLine&) = default;

 private:
  std::string text_;
  std::map<std::string, std::string, std::less<>> fields_;
};

class RequestStory {
 public:
  explicit RequestStory(std::string request) : request_(std::move(request)) {}

  // Lines of one process are added in the order in which it wrote them.
  void Add(std::string_view text);

  // Whether any line names the request.
  bool found() const { return !own_.empty(); }
  // The request's lines and those that bear on them, in the order of time.
  std::vector<LogLine> Lines() const;
  // One line: the outcome and its cause.
  std::string Summary() const;

 private:
  // What a process last said of something that requests depend on.
  using Context = std::map<std::string, LogLine>;

  void NoteContext(const LogLine& line);
  std::vector<LogLine> RelatedLines() const;
  std::string OutcomeSentence(const LogLine& end) const;
  std::string TokensSentence() const;
  std::string TriesSentence() const;
  std::string RelatedSentence() const;

  const std::string request_;
  std::vector<LogLine> own_;
  // By process; as they were when the process last wrote of the request.
  std::map<std::string, Context> context_;
  std::map<std::string, Context> related_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_EXPLAIN_EXPLAIN_H_
