#ifndef HAWTHORNHOLLOW_GATE_RUN_OUTCOME_H_
#define HAWTHORNHOLLOW_GATE_RUN_OUTCOME_H_

// Decides what a call of the backend server came to.

#include <cstdint>
#include <string>

#include "absl/status/status.h"
#include "hawthornhollow/gate/request_table.h"

namespace hawthornhollow {

// What is known of a call when it has ended.
struct CallFacts {
  bool idempotent = true;
  bool stopped = false;         // cancelled by the gate
  bool over_limit = false;      // ended by the gate at the output limit
  int32_t status_code = 0;      // 0 if no head came
  bool answer_complete = true;  // the body has its own end mark, or needs none
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  friend auto operator<=>(const CallFacts&, const CallFacts&) = default;
};

// Whether an engine's status means that it did no work on the request.
bool IsEngineRefusal(int32_t status_code);

// `status` is the HTTP exchange's.
RunEnd DecideEnd(const CallFacts& facts, const absl::Status& status);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_GATE_RUN_OUTCOME_H_
