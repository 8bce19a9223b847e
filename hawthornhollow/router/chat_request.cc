#include "hawthornhollow/router/chat_request.h"

#include <boost/json.hpp>

#include "hawthornhollow/base/base.h"

namespace hawthornhollow {
namespace {

namespace json = boost::json;

constexpr int64_t kTokensPerMessage = 8;
constexpr size_t kPrefixBytes = 256;
constexpr int64_t kMaxOutputTokens = 1'000'000;
constexpr char kStep[] = "request.parse";

absl::Status Invalid(const std::string& field, const std::string& reason) {
  return ErrorAt(absl::StatusCode::kInvalidArgument, kStep, "",
                 field + ": " + reason);
}

// Appends the text of one message. Its content is either a string or an array
// of parts, each with a "text".
absl::Status AddContent(const json::value& content, std::string* text) {
  if (const auto* string_content = content.if_string()) {
    text->append(string_content->data(), string_content->size());
    return absl::OkStatus();
  }
  const auto* parts = content.if_array();
  if (!parts)
    return Invalid("messages.content", "must be a string or an array");
  for (const json::value& part : *parts) {
    const auto* object = part.if_object();
    const json::value* piece = object ? object->if_contains("text") : nullptr;
    if (!piece || !piece->is_string())
      return Invalid("messages.content", "each part must have a text");
    text->append(piece->get_string().data(), piece->get_string().size());
  }
  return absl::OkStatus();
}

absl::Status ReadMessages(const json::object& body, ChatRequest* request) {
  const json::value* messages = body.if_contains("messages");
  if (!messages || !messages->is_array() || messages->get_array().empty())
    return Invalid("messages", "must be a non-empty array");
  std::string text;
  for (const json::value& message : messages->get_array()) {
    const auto* object = message.if_object();
    const json::value* content =
        object ? object->if_contains("content") : nullptr;
    if (!content)
      return Invalid("messages", "each message must have a content");
    if (absl::Status status = AddContent(*content, &text); !status.ok())
      return status;
    request->prompt_token_bound += kTokensPerMessage;
  }
  request->prompt_token_bound += static_cast<int64_t>(text.size());
  request->prefix = text.substr(0, kPrefixBytes);
  return absl::OkStatus();
}

absl::Status ReadLimit(const json::object& body, ChatRequest* request) {
  for (const char* name : {"max_tokens", "max_completion_tokens"}) {
    const json::value* limit = body.if_contains(name);
    if (!limit || limit->is_null())
      continue;
    if (!limit->is_int64() || limit->get_int64() < 1 ||
        limit->get_int64() > kMaxOutputTokens)
      return Invalid(name, "must be a whole number from 1 to 1000000");
    request->max_output_tokens = limit->get_int64();
  }
  return absl::OkStatus();
}

absl::Status ReadString(const json::object& body,
                        const char* name,
                        std::string* out) {
  const json::value* value = body.if_contains(name);
  if (!value || value->is_null())
    return absl::OkStatus();
  if (!value->is_string())
    return Invalid(name, "must be a string");
  *out = std::string(value->get_string());
  return absl::OkStatus();
}

absl::Status ReadFields(const json::object& body, ChatRequest* request) {
  if (absl::Status s = ReadString(body, "model", &request->model); !s.ok())
    return s;
  if (request->model.empty())
    return Invalid("model", "is missing");
  if (absl::Status s = ReadString(body, "rank", &request->rank); !s.ok())
    return s;
  if (const json::value* stream = body.if_contains("stream")) {
    if (!stream->is_bool())
      return Invalid("stream", "must be true or false");
    request->stream = stream->get_bool();
  }
  if (absl::Status s = ReadLimit(body, request); !s.ok())
    return s;
  return ReadMessages(body, request);
}

json::value Parse(std::string_view body, boost::system::error_code& error) {
  json::parse_options options;
  options.max_depth = 32;
  return json::parse(json::string_view(body.data(), body.size()), error, {},
                     options);
}

}  // namespace

absl::StatusOr<ChatRequest> ParseChatRequest(std::string_view body) {
  boost::system::error_code error;
  json::value value = Parse(body, error);
  if (error)
    return Invalid("body", "is not JSON: " + error.message());
  if (!value.is_object())
    return Invalid("body", "must be a JSON object");
  ChatRequest request;
  if (absl::Status s = ReadFields(value.get_object(), &request); !s.ok())
    return s;
  return request;
}

std::string BodyForEngine(std::string_view body, int64_t limit) {
  boost::system::error_code error;
  json::value value = Parse(body, error);
  if (error || !value.is_object())
    return std::string(body);
  json::object& object = value.get_object();
  object.erase("rank");
  object.erase("max_completion_tokens");
  object["max_tokens"] = limit;
  return json::serialize(value);
}

}  // namespace hawthornhollow
