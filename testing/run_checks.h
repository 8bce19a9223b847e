#ifndef TESTING_RUN_CHECKS_H_
#define TESTING_RUN_CHECKS_H_

// What tests of runs and answers ask of a fleet and of its back ends.

#include <cstdint>
#include <functional>
#include <future>
#include <string>

#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "hawthornhollow/http/http.h"
#include "testing/fleet.h"

namespace hawthornhollow {

using FutureResponse = std::future<absl::StatusOr<HttpResponse>>;

// Sends a request on a thread of its own.
FutureResponse SendChat(Fleet& fleet,
                        size_t router,
                        const ChatOptions& options,
                        absl::Duration timeout = absl::Seconds(20));
FutureResponse SendOrder(Fleet& fleet, size_t router, const std::string& key);

// The request key of ward-1's Idempotency-Key.
std::string RequestOf(const std::string& key);

// What the engines really did for one request, over all of them.
struct EngineCounts {
  int64_t runs = 0;
  int64_t tokens = 0;
};
EngineCounts CountsOf(Fleet& fleet, const std::string& request);
// Runs that one engine ever began, cancelled, and has in progress.
int64_t TotalRuns(Fleet& fleet, size_t engine);
int64_t Cancelled(Fleet& fleet, size_t engine);
int64_t RunningNow(Fleet& fleet, size_t engine);
// How often the services ran an order.
int64_t OrderRuns(Fleet& fleet, const std::string& request);

// Polls until the condition holds; returns whether it did.
bool WaitFor(absl::Duration timeout, const std::function<bool()>& condition);
// Waits until the engines have generated that many tokens of a request.
bool WaitTokens(Fleet& fleet, const std::string& request, int64_t tokens);

// "t0 t1 ... " of that many tokens.
std::string Tokens(int64_t count);
// The content of an answer, streamed or whole, as the caller reads it.
std::string ContentOf(const HttpResponse& response);
// Whether a streamed answer has its end mark, once and last.
bool IsWholeStream(const HttpResponse& response);
// "run", "not_run", "unknown" of an error; empty for an answer.
std::string RunStateOf(const HttpResponse& response);

}  // namespace hawthornhollow

#endif  // TESTING_RUN_CHECKS_H_
