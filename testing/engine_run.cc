#include "testing/engine_run.h"

#include <algorithm>
#include <boost/json.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "hawthornhollow/base/base.h"

namespace hawthornhollow::standins {
namespace {

constexpr int64_t kDefaultOutputTokens = 16;
constexpr size_t kCharsPerToken = 4;
constexpr size_t kPrefixChars = 256;
constexpr std::string_view kAnswerMark = "answer:";
// Indexed by RunState.
constexpr const char* kStateNames[] = {"waiting", "running", "done",
                                       "cancelled"};

absl::Status InvalidChat(std::string_view detail) {
  return ErrorAt(absl::StatusCode::kInvalidArgument, "engine.parse", "",
                 detail);
}

int64_t IntHeader(const HttpRequest& request, std::string_view name) {
  int64_t value = 0;
  if (!absl::SimpleAtoi(std::string(request.Header(name)), &value)) {
    return 0;
  }
  return value;
}

// The contents of all messages, one after the other.
absl::StatusOr<std::string> Prompt(const boost::json::object& body) {
  const boost::json::value* messages = body.if_contains("messages");
  if (messages == nullptr || !messages->is_array()) {
    return InvalidChat("messages must be an array");
  }
  std::string prompt;
  for (const boost::json::value& message : messages->as_array()) {
    const boost::json::object* fields = message.if_object();
    const boost::json::value* content =
        fields == nullptr ? nullptr : fields->if_contains("content");
    if (content == nullptr || !content->is_string()) {
      return InvalidChat("each message must have a string \"content\"");
    }
    prompt += std::string_view(content->as_string());
  }
  return prompt;
}

// The number after "answer:" in `prompt`, but at most `max_tokens`.
int64_t OutputTokens(const std::string& prompt, int64_t max_tokens) {
  const size_t mark = prompt.find(kAnswerMark);
  if (mark == std::string::npos) {
    return max_tokens;
  }
  const size_t begin = mark + kAnswerMark.size();
  const size_t end = prompt.find_first_not_of("0123456789", begin);
  int64_t count = 0;
  if (!absl::SimpleAtoi(prompt.substr(begin, end - begin), &count)) {
    return max_tokens;
  }
  return std::min(count, max_tokens);
}

std::string TokenText(int64_t index) {
  return absl::StrCat("t", index, " ");
}

const char* FinishReason(const Run& run) {
  return run.state == RunState::kCancelled ? "cancelled" : "length";
}

boost::json::object Usage(const Run& run) {
  return {{"prompt_tokens", run.chat.prompt_tokens},
          {"completion_tokens", run.tokens}};
}

std::string Event(const boost::json::object& data) {
  return "data: " + boost::json::serialize(data) + "\n\n";
}

boost::json::object Chunk(const Run& run, boost::json::object choice) {
  choice["index"] = 0;
  return {{"id", run.chat.id},
          {"object", "chat.completion.chunk"},
          {"model", run.chat.model},
          {"choices", boost::json::array{std::move(choice)}}};
}

}  // namespace

absl::StatusOr<ChatRequest> ChatRequest::Parse(const HttpRequest& request) {
  boost::json::error_code error;
  const boost::json::value value = boost::json::parse(request.body, error);
  const boost::json::object* body = error ? nullptr : value.if_object();
  if (body == nullptr) {
    return InvalidChat("body is not a JSON object");
  }
  absl::StatusOr<std::string> prompt = Prompt(*body);
  if (!prompt.ok()) {
    return prompt.status();
  }
  ChatRequest chat;
  int64_t max_tokens = kDefaultOutputTokens;
  if (const boost::json::value* field = body->if_contains("max_tokens")) {
    max_tokens = field->is_int64() ? field->as_int64() : 0;
  }
  if (max_tokens < 1) {
    return InvalidChat("max_tokens must be a whole number above 0");
  }
  if (const boost::json::value* field = body->if_contains("stream")) {
    chat.stream = field->is_bool() && field->as_bool();
  }
  if (const boost::json::value* field = body->if_contains("model")) {
    chat.model = field->is_string() ? std::string(field->as_string()) : "";
  }
  chat.id = std::string(request.Header("X-Request-Id"));
  chat.priority = IntHeader(request, "X-Priority");
  chat.fence = IntHeader(request, "X-Fence");
  chat.prompt_tokens = static_cast<int64_t>(
      (prompt->size() + kCharsPerToken - 1) / kCharsPerToken);
  chat.output_tokens = OutputTokens(*prompt, max_tokens);
  chat.prefix = prompt->substr(0, kPrefixChars);
  return chat;
}

std::string TokenEvent(const Run& run, int64_t index) {
  return Event(Chunk(
      run, {{"delta", boost::json::object{{"content", TokenText(index)}}}}));
}

std::string EndEvents(const Run& run) {
  boost::json::object last = Chunk(run, {{"delta", boost::json::object()},
                                         {"finish_reason", FinishReason(run)}});
  last["usage"] = Usage(run);
  return Event(last) + "data: [DONE]\n\n";
}

boost::json::object WholeAnswer(const Run& run) {
  std::string text;
  for (int64_t index = 0; index < run.tokens; ++index) {
    text += TokenText(index);
  }
  boost::json::object choice = {
      {"index", 0},
      {"message", {{"role", "assistant"}, {"content", text}}},
      {"finish_reason", FinishReason(run)}};
  return {{"id", run.chat.id},
          {"object", "chat.completion"},
          {"model", run.chat.model},
          {"choices", boost::json::array{std::move(choice)}},
          {"usage", Usage(run)}};
}

boost::json::object RunSummary(const Run& run) {
  return {{"id", run.chat.id},
          {"state", kStateNames[static_cast<int>(run.state)]},
          {"fence", run.chat.fence},
          {"prompt_tokens", run.chat.prompt_tokens},
          {"tokens", run.tokens}};
}

}  // namespace hawthornhollow::standins
