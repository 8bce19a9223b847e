#ifndef TESTING_LOG_STANDIN_H_
#define TESTING_LOG_STANDIN_H_

// Stands in for the platform's log service; hawthornhollow/log/log.h
// has its protocol. It keeps its streams in memory.
//
// GET /control answers the faults in force, the held appends, and the counts of
// each stream. POST /control changes the faults:
//   "outage": answers 503 to every append and read
//   "append_delay_ms", "read_delay_ms": waits before the work
//   "lose_replies": probability that an append takes effect without a reply
//       (the connection closes) or with a wrong one (503)
//   "rate": appends per second over all streams; 0 for no limit
//   "retention": entries kept per stream
//   "hold_appends": appends get no reply, and take effect only at "release"
//   "release": true lets the held appends take effect, in order

#include <cstdint>

#include "absl/status/statusor.h"
#include "hawthornhollow/http/http.h"

namespace hawthornhollow::standins {

struct LogStandinOptions {
  int64_t rate = 500;  // appends per second; 0 for no limit
  int64_t retention = 100000;
  int64_t append_delay_ms = 0;
  int64_t read_delay_ms = 0;
  double lose_replies = 0;
  int64_t seed = 1;
};

// INVALID_ARGUMENT if an option is out of range.
absl::StatusOr<HttpHandler> MakeLogStandin(const LogStandinOptions& options);

}  // namespace hawthornhollow::standins

#endif  // TESTING_LOG_STANDIN_H_
