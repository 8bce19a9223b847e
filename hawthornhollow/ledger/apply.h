#ifndef HAWTHORNHOLLOW_LEDGER_APPLY_H_
#define HAWTHORNHOLLOW_LEDGER_APPLY_H_

// What the folds share: the loop over a batch with the rules common to all of
// them, and rulings. Private to the ledger library.

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "hawthornhollow/ledger/ledger.h"

namespace hawthornhollow {

inline Ruling Accepted(int64_t amount = 0, std::string reason = "") {
  return Ruling{VerdictKind::kAccepted, std::move(reason), amount};
}

inline Ruling Void(std::string reason) {
  return Ruling{VerdictKind::kVoid, std::move(reason), 0};
}

inline Ruling Repeat(std::string reason, int64_t amount = 0) {
  return Ruling{VerdictKind::kRepeat, std::move(reason), amount};
}

// Rules on each record of `batch` with `decide(body, position)`, but for
// repeats and checkpoints, which no fold looks at.
template <typename Decide>
std::vector<Verdict> ApplyBatch(int64_t offset,
                                const Batch& batch,
                                WriterSequences* sequences,
                                Decide decide) {
  std::vector<Verdict> verdicts;
  verdicts.reserve(batch.records.size());
  int64_t place = 0;
  for (const Record& record : batch.records) {
    const RecordPosition at{offset, place++, record.time_ms};
    Ruling ruling;
    if (std::holds_alternative<CheckpointRecord>(record.body))
      ruling = Accepted();
    else if (!sequences->Advance(batch.writer, record.sequence, offset))
      ruling = Repeat("sequence applied before");
    else
      ruling = decide(record.body, at);
    verdicts.push_back(Verdict{offset, batch.writer, record, ruling.kind,
                               std::move(ruling.reason), ruling.amount});
  }
  return verdicts;
}

inline Ruling VoidForStream() {
  return Void("not a record of this stream");
}

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_LEDGER_APPLY_H_
