#ifndef HAWTHORNHOLLOW_TOTALS_MESSAGE_BYTES_H_
#define HAWTHORNHOLLOW_TOTALS_MESSAGE_BYTES_H_

// Serializes and parses one FlatBuffers message.

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "flatbuffers/flatbuffers.h"
#include "hawthornhollow/base/base.h"

namespace hawthornhollow {

template <typename Table>
std::string EncodeMessage(const typename Table::NativeTableType& message) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(Table::Pack(builder, &message));
  return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                     builder.GetSize());
}

// Returns DATA_LOSS, with `peer` in the message, if the bytes are not a valid
// message of this type.
template <typename Table>
absl::StatusOr<typename Table::NativeTableType> DecodeMessage(
    std::string_view bytes,
    std::string_view peer) {
  flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(bytes.data()),
                                 bytes.size());
  if (!verifier.VerifyBuffer<Table>()) {
    return ErrorAt(absl::StatusCode::kDataLoss, "message.decode", peer,
                   "not a valid message of the expected type");
  }
  typename Table::NativeTableType message;
  flatbuffers::GetRoot<Table>(bytes.data())->UnPackTo(&message);
  return message;
}

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_TOTALS_MESSAGE_BYTES_H_
