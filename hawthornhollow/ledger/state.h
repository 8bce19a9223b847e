#ifndef HAWTHORNHOLLOW_LEDGER_STATE_H_
#define HAWTHORNHOLLOW_LEDGER_STATE_H_

// Encoding and decoding of checkpoints: the serialised states of the folds.
// Private to the ledger library.

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "flatbuffers/flatbuffers.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/ledger/ledger.h"
#include "hawthornhollow/ledger/state_generated.h"

namespace hawthornhollow {

// Limits for the FlatBuffers verifier of a checkpoint.
inline constexpr flatbuffers::uoffset_t kMaxStateDepth = 16;
inline constexpr flatbuffers::uoffset_t kMaxStateTables = 16'000'000;

// Encodes a state given as a type of the FlatBuffers object API. Equal states
// give equal bytes.
template <typename TableT>
std::string PackState(const TableT& state) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(TableT::TableType::Pack(builder, &state));
  return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                     builder.GetSize());
}

// Decodes a state. Returns DATA_LOSS if `bytes` is not a valid TableT.
template <typename TableT>
absl::StatusOr<std::unique_ptr<TableT>> UnpackState(std::string_view bytes) {
  using Table = typename TableT::TableType;
  flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(bytes.data()),
                                 bytes.size(), kMaxStateDepth, kMaxStateTables);
  if (!verifier.VerifyBuffer<Table>(nullptr)) {
    return ErrorAt(absl::StatusCode::kDataLoss, "ledger.restore", "",
                   "checkpoint is not a valid state");
  }
  const Table* table = flatbuffers::GetRoot<Table>(bytes.data());
  return std::unique_ptr<TableT>(table->UnPack());
}

std::vector<std::unique_ptr<fb::WriterSequenceT>> PackWriters(
    const WriterSequences& sequences);
WriterSequences UnpackWriters(
    const std::vector<std::unique_ptr<fb::WriterSequenceT>>& rows);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_LEDGER_STATE_H_
