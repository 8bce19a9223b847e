#ifndef HAWTHORNHOLLOW_LEDGER_APPLY_H_
#define HAWTHORNHOLLOW_LEDGER_APPLY_H_

// Code shared by the folds: the loop that applies a batch under the rules
// common to all folds, and helpers that build decisions. Private to the ledger
// library.

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "hawthornhollow/ledger/ledger.h"

namespace hawthornhollow {

inline RecordDecision Accepted(int64_t amount = 0, std::string reason = "") {
  return RecordDecision{VerdictKind::kAccepted, std::move(reason), amount};
}

inline RecordDecision Rejected(std::string reason) {
  return RecordDecision{VerdictKind::kRejected, std::move(reason), 0};
}

inline RecordDecision Duplicate(std::string reason, int64_t amount = 0) {
  return RecordDecision{VerdictKind::kDuplicate, std::move(reason), amount};
}

// Returns a verdict for each record of `batch`, decided by
// `decide(body, position)`. Duplicates and checkpoints are handled here: no
// fold acts on them.
template <typename Decide>
std::vector<Verdict> ApplyBatch(int64_t offset,
                                const Batch& batch,
                                WriterSequences* sequences,
                                Decide decide) {
  std::vector<Verdict> verdicts;
  verdicts.reserve(batch.records.size());
  int64_t index_in_batch = 0;
  for (const Record& record : batch.records) {
    const RecordPosition position{offset, index_in_batch++, record.time_ms};
    RecordDecision decision;
    if (std::holds_alternative<CheckpointRecord>(record.body))
      decision = Accepted();
    else if (!sequences->Advance(batch.writer, record.sequence, offset))
      decision = Duplicate("sequence applied before");
    else
      decision = decide(record.body, position);
    verdicts.push_back(Verdict{offset, batch.writer, record, decision.kind,
                               std::move(decision.reason), decision.amount});
  }
  return verdicts;
}

inline RecordDecision RejectedForStream() {
  return Rejected("not a record of this stream");
}

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_LEDGER_APPLY_H_
