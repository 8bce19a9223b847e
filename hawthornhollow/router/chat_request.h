#ifndef HAWTHORNHOLLOW_ROUTER_CHAT_REQUEST_H_
#define HAWTHORNHOLLOW_ROUTER_CHAT_REQUEST_H_

// The part of a chat completions call that routing and billing need. The body
// itself is passed on to the backend server as it came, but for its output
// limit.

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace hawthornhollow {

struct ChatRequest {
  std::string model;
  std::string rank;  // empty: the caller's default
  bool stream = false;
  // 0 if the body names none.
  int64_t max_output_tokens = 0;
  // An upper bound: every token stands for at least one byte of the messages,
  // and each message adds a fixed number for its role.
  int64_t prompt_token_bound = 0;
  // The start of the conversation; requests that share it share cached prefix
  // blocks on a model engine.
  std::string prefix;

  friend auto operator<=>(const ChatRequest&, const ChatRequest&) = default;
};

// Parses a body. INVALID_ARGUMENT names the field and the reason.
absl::StatusOr<ChatRequest> ParseChatRequest(std::string_view body);

// The body with "max_tokens" set to `limit` and the router's own fields left
// out; `body` must have been parsed before.
std::string BodyForEngine(std::string_view body, int64_t limit);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_ROUTER_CHAT_REQUEST_H_
