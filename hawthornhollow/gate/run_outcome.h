#ifndef HAWTHORNHOLLOW_GATE_RUN_OUTCOME_H_
#define HAWTHORNHOLLOW_GATE_RUN_OUTCOME_H_

// Classifies how a call of the backend server ended.

#include <cstdint>
#include <string>

#include "absl/status/status.h"
#include "hawthornhollow/gate/request_table.h"

namespace hawthornhollow {

// What the sidecar observed of a call by the time it ended.
struct CallObservations {
  bool idempotent = true;
  bool stopped = false;                // Cancelled by the sidecar.
  bool output_limit_exceeded = false;  // Cut off at the output limit.
  int32_t status_code = 0;             // 0 if no status was received.
  // Whether the body contains its end mark, or needs none.
  bool answer_complete = true;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  friend auto operator<=>(const CallObservations&,
                          const CallObservations&) = default;
};

// Returns whether an engine's HTTP status (429 or 5xx) means that it did no
// work on the request.
bool IsEngineRefusal(int32_t status_code);

// Returns how the run ended. `status` is the result of the HTTP exchange.
RunEnd ClassifyRunEnd(const CallObservations& observations,
                      const absl::Status& status);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_GATE_RUN_OUTCOME_H_
