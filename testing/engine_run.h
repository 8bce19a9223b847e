#ifndef TESTING_ENGINE_RUN_H_
#define TESTING_ENGINE_RUN_H_

// One run of a request on the engine stand-in, and the messages that show it.

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "absl/status/statusor.h"
#include "hawthornhollow/http/http.h"
#include "testing/standin_support.h"

namespace hawthornhollow::standins {

enum class RunState { kWaiting, kRunning, kDone, kCancelled };

// What a caller asked for.
struct ChatRequest {
  std::string id;
  std::string model;
  bool stream = false;
  int64_t priority = 0;
  int64_t fence = 0;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  std::string prefix;  // the part of the prompt that the cache compares

  // INVALID_ARGUMENT if the body is no chat request. The id is empty if the
  // caller gave none.
  static absl::StatusOr<ChatRequest> Parse(const HttpRequest& request);
};

struct Run {
  ChatRequest chat;
  int64_t arrival = 0;
  RunState state = RunState::kWaiting;
  int64_t tokens = 0;  // produced so far
  int clients = 0;     // responses that show this run
  FiberSignal changed;

  bool ended() const {
    return state == RunState::kDone || state == RunState::kCancelled;
  }
  // The order in which waiting runs are served.
  std::pair<int64_t, int64_t> turn() const { return {chat.priority, arrival}; }
};

// The server-sent event of output token `index`.
std::string TokenEvent(const Run& run, int64_t index);
// The events that end a stream: the usage and "[DONE]".
std::string EndEvents(const Run& run);
// The whole answer as one JSON body.
boost::json::object WholeAnswer(const Run& run);
// The run as /running and /v1/cancel show it.
boost::json::object RunSummary(const Run& run);

}  // namespace hawthornhollow::standins

#endif  // TESTING_ENGINE_RUN_H_
