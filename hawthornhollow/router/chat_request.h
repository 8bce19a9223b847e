#ifndef HAWTHORNHOLLOW_ROUTER_CHAT_REQUEST_H_
#define HAWTHORNHOLLOW_ROUTER_CHAT_REQUEST_H_

// The fields of a chat completions request that routing and billing need. The
// router passes the request body on to the backend server, with the output
// limit set and its own fields removed.

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace hawthornhollow {

struct ChatRequest {
  std::string model;
  // Empty if the request names none; the caller's default rank then applies.
  std::string rank;
  bool stream = false;
  // 0 if the body sets no limit.
  int64_t max_output_tokens = 0;
  // An upper bound of the number of prompt tokens: every token takes at least
  // one byte of the messages, and each message adds a fixed number for its
  // role.
  int64_t prompt_token_bound = 0;
  // The start of the conversation. Requests with the same start share cached
  // prefix blocks on a model engine.
  std::string prefix;

  friend auto operator<=>(const ChatRequest&, const ChatRequest&) = default;
};

// Parses a request body. An INVALID_ARGUMENT error names the field and the
// reason.
absl::StatusOr<ChatRequest> ParseChatRequest(std::string_view body);

// Returns `body` with "max_tokens" set to `limit` and without the fields "rank"
// and "max_completion_tokens". ParseChatRequest must have accepted `body`.
std::string BodyForEngine(std::string_view body, int64_t limit);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_ROUTER_CHAT_REQUEST_H_
