#ifndef HAWTHORNHOLLOW_LOG_CHECKPOINT_PARTS_H_
#define HAWTHORNHOLLOW_LOG_CHECKPOINT_PARTS_H_

// Checkpoints cut into parts that the log's bound on an entry admits. Private
// to the platform library.
//
// Each part is a CheckpointRecord with the checkpoint's offset, whose state is
// "part INDEX/COUNT\n" (INDEX from 1) and a piece of the state. One writer
// appends the parts in order, each until it has landed, so that the last part
// in the stream tells that all are.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "hawthornhollow/ledger/ledger.h"

namespace hawthornhollow {

struct CheckpointPart {
  int64_t index = 0;
  int64_t count = 0;
  std::string_view bytes;  // refers into the parsed record
  friend auto operator<=>(const CheckpointPart&,
                          const CheckpointPart&) = default;
};

// At least one part. `part_bytes` bounds the piece of the state in each.
std::vector<CheckpointRecord> SplitCheckpoint(
    const CheckpointRecord& checkpoint,
    size_t part_bytes);

// nullopt if the record is not a part.
std::optional<CheckpointPart> ParseCheckpointPart(
    const CheckpointRecord& record);

// Puts parts together. Holds the parts of at most kMaxUnfinished checkpoints;
// beyond it the one of the lowest offset is dropped.
class CheckpointAssembler {
 public:
  static constexpr size_t kMaxUnfinished = 4;
  static constexpr int64_t kMaxParts = 4'096;

  // Returns the whole checkpoint once its last missing part was added.
  std::optional<CheckpointRecord> Add(const std::string& writer,
                                      const CheckpointRecord& record);
  void Clear() { unfinished_.clear(); }

 private:
  using Key = std::pair<int64_t, std::string>;  // offset and writer
  struct Parts {
    int64_t count = 0;
    std::map<int64_t, std::string> bytes;  // by index
  };
  std::map<Key, Parts> unfinished_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_LOG_CHECKPOINT_PARTS_H_
