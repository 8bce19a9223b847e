#ifndef TESTING_ENGINE_STANDIN_H_
#define TESTING_ENGINE_STANDIN_H_

// Stands in for a model engine that batches continuously.
//
// POST /v1/chat/completions runs a request: model, messages, max_tokens and
//   stream in the body; X-Request-Id, X-Priority (the lowest is served first)
//   and X-Fence as headers. Output token N reads "tN "; there are max_tokens of
//   them, or fewer if a message contains "answer:COUNT". A stream is one
//   server-sent event per token, one with the usage, and "[DONE]".
// POST /v1/resume {"request_id","from_token"} streams a running or lately
//   finished request from that token on.
// POST /v1/cancel {"request_id"} cancels, and answers the tokens so far. A
//   request without a client is cancelled too, unless keep_on_disconnect.
// GET /running lists the requests that wait or run.
// GET /load answers the load as it was load_lag_ms ago.
// GET /events?from=N answers the prefix cache's events, late and with gaps.
// POST /admin/load_model, /admin/role {"fence":N,...} take an order.
// GET /counts answers the runs and tokens of each request, and the orders.
// POST /control changes the faults:
//   "slow_factor": multiplies the time of prefill and tokens
//   "fail_share": probability that a request is answered 500 without a run
//   "freeze": requests are accepted but get no answer, and no token comes
//   "outage": answers 503 to every new request

#include <cstdint>

#include "absl/status/statusor.h"
#include "hawthornhollow/http/http.h"
#include "hawthornhollow/runtime/runtime.h"

namespace hawthornhollow::standins {

struct EngineStandinOptions {
  int64_t slots = 16;  // requests run at once
  int64_t token_ms = 10;
  int64_t prefill_ms_per_1k = 100;  // per 1000 prompt tokens
  int64_t cache_prefixes = 64;
  int64_t load_lag_ms = 200;
  int64_t event_lag_ms = 500;
  double event_drop = 0.05;  // probability that a cache event is never shown
  bool keep_on_disconnect = false;
  bool check_fences =
      true;  // refuse orders with a fence lower than the highest
  int64_t seed = 1;
};

// The handler for a server on `runtime`, which must have one thread and outlive
// it. INVALID_ARGUMENT if an option is out of range.
absl::StatusOr<HttpHandler> MakeEngineStandin(
    Runtime& runtime,
    const EngineStandinOptions& options);

}  // namespace hawthornhollow::standins

#endif  // TESTING_ENGINE_STANDIN_H_
