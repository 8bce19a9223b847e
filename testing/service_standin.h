#ifndef TESTING_SERVICE_STANDIN_H_
#define TESTING_SERVICE_STANDIN_H_

// Stands in for a plain service that stands beside the model engines.
//
// POST on any other path runs the order that X-Request-Id names and answers
//   {"order":"ID","run":N,"echo":BYTES_OF_BODY}.
// GET /counts answers {"orders":{"ID":N},"total":N}.
// POST /control changes the faults:
//   "delay_ms": time added to each order
//   "fail_before_run": probability of a 503 without a run
//   "fail_after_run": probability that the connection closes after the run
//   "outage": answers 503 to every order, without a run

#include <cstdint>

#include "absl/status/statusor.h"
#include "hawthornhollow/http/http.h"

namespace hawthornhollow::standins {

struct ServiceStandinOptions {
  int64_t work_ms = 5;
  int64_t seed = 1;
};

// INVALID_ARGUMENT if an option is out of range.
absl::StatusOr<HttpHandler> MakeServiceStandin(
    const ServiceStandinOptions& options);

}  // namespace hawthornhollow::standins

#endif  // TESTING_SERVICE_STANDIN_H_
