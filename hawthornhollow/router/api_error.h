#ifndef HAWTHORNHOLLOW_ROUTER_API_ERROR_H_
#define HAWTHORNHOLLOW_ROUTER_API_ERROR_H_

// The error answers of the caller interface.

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "hawthornhollow/http/http.h"

namespace hawthornhollow {

// What is known of the request's run. kNotRun is said only when no backend
// server was, or ever will be, given the request.
enum class RunState { kNotRun, kRun, kUnknown };

std::string_view RunStateName(RunState state);

// One error answer: an HTTP status, a code for programs, a message for people.
struct ApiError {
  int status = 500;
  std::string code;
  std::string message;
  RunState run = RunState::kNotRun;
  // When to ask again; sent as Retry-After in whole seconds.
  std::optional<absl::Duration> retry_after;
  friend bool operator==(const ApiError&, const ApiError&) = default;
};

// Whole seconds, at least 1, whose mean over many requests is `wait`: rounding
// all of them up would bring back together what was spread over parts of a
// second.
int64_t RetryAfterSeconds(absl::Duration wait, std::string_view request_id);

// {"error":{"code","message","run"},"request_id"} as a JSON text.
std::string ErrorBody(const ApiError& error, std::string_view request_id);

// The whole HTTP answer.
HttpResponse RenderError(const ApiError& error, std::string_view request_id);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_ROUTER_API_ERROR_H_
