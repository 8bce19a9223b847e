#include "hawthornhollow/router/api_error.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdint>

#include "hawthornhollow/base/base.h"

namespace hawthornhollow {
namespace {

constexpr uint64_t kMillisecondsPerSecond = 1000;

}  // namespace

int64_t RetryAfterSeconds(absl::Duration wait, std::string_view request_id) {
  int64_t whole_seconds = absl::ToInt64Seconds(wait);
  uint64_t fraction_ms =
      absl::ToInt64Milliseconds(wait - absl::Seconds(whole_seconds));
  if (StableHash(request_id) % kMillisecondsPerSecond < fraction_ms)
    ++whole_seconds;
  return std::max<int64_t>(whole_seconds, 1);
}

std::string_view RunStateName(RunState state) {
  switch (state) {
    case RunState::kNotRun:
      return "not_run";
    case RunState::kRun:
      return "run";
    case RunState::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string ErrorBody(const ApiError& error, std::string_view request_id) {
  boost::json::object inner;
  inner["code"] = error.code;
  inner["message"] = error.message;
  inner["run"] = boost::json::string_view(RunStateName(error.run));
  if (error.retry_after)
    inner["retry_after_ms"] = absl::ToInt64Milliseconds(*error.retry_after);
  boost::json::object body;
  body["error"] = std::move(inner);
  body["request_id"] = boost::json::string_view(request_id);
  return boost::json::serialize(body);
}

HttpResponse RenderError(const ApiError& error, std::string_view request_id) {
  HttpResponse response;
  response.status = error.status;
  response.headers = {{"Content-Type", "application/json"},
                      {"X-Request-Id", std::string(request_id)}};
  if (error.retry_after) {
    response.headers.emplace_back(
        "Retry-After",
        std::to_string(RetryAfterSeconds(*error.retry_after, request_id)));
  }
  response.body = ErrorBody(error, request_id) + "\n";
  return response;
}

}  // namespace hawthornhollow
