#ifndef HAWTHORNHOLLOW_ROUTER_API_ERROR_H_
#define HAWTHORNHOLLOW_ROUTER_API_ERROR_H_

// Error responses of the HTTP API for callers.

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "hawthornhollow/http/http.h"

namespace hawthornhollow {

// Whether a backend server ran the request, as far as this router knows.
// kNotRun is reported only if no backend server received the request or can
// receive it later.
enum class RunState { kNotRun, kRun, kUnknown };

std::string_view RunStateName(RunState state);

// One error response: an HTTP status, a machine-readable code and a message for
// people.
struct ApiError {
  int status = 500;
  std::string code;
  std::string message;
  RunState run = RunState::kNotRun;
  // How long the caller should wait before it retries. Sent as the Retry-After
  // header in whole seconds and as "retry_after_ms" in the body.
  std::optional<absl::Duration> retry_after;
  friend bool operator==(const ApiError&, const ApiError&) = default;
};

// Rounds `wait` to whole seconds, at least 1. The request id decides whether a
// fraction is rounded up or down, so that the mean over many requests is
// `wait`: always rounding up would make retries that were spread over fractions
// of a second arrive together.
int64_t RetryAfterSeconds(absl::Duration wait, std::string_view request_id);

// The JSON text {"error":{"code","message","run"},"request_id"}, with
// "retry_after_ms" in "error" if `error` has a retry delay.
std::string ErrorBody(const ApiError& error, std::string_view request_id);

// The complete HTTP response, with headers and body.
HttpResponse RenderError(const ApiError& error, std::string_view request_id);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_ROUTER_API_ERROR_H_
