// Encodes and decodes frames.
//
// Bytes from the network are checked by the FlatBuffers verifier before any
// field is read. The verifier lets through what later versions of the schema
// might add: unknown union members, absent union values and enum values out of
// range. Those are errors here, since both ends speak kFrameProtocol.

#include "flatbuffers/flatbuffers.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/wire/wire.h"

namespace hawthornhollow {
namespace {

constexpr char kDecodeStep[] = "frame.decode";
// A Frame is one table that holds one table; nothing nests deeper.
constexpr flatbuffers::uoffset_t kMaxDepth = 4;
constexpr flatbuffers::uoffset_t kMaxTables = 4;

absl::Status Malformed(std::string_view detail) {
  return ErrorAt(absl::StatusCode::kDataLoss, kDecodeStep, "", detail);
}

template <typename EnumT>
bool InRange(EnumT value) {
  return value >= EnumT::MIN && value <= EnumT::MAX;
}

bool EnumsInRange(const fb::FrameBodyUnion& body) {
  if (const fb::DispatchT* dispatch = body.AsDispatch()) {
    return InRange(dispatch->kind);
  }
  if (const fb::RefusedT* refused = body.AsRefused()) {
    return InRange(refused->reason);
  }
  if (const fb::EndT* end = body.AsEnd()) {
    return InRange(end->kind);
  }
  return true;
}

}  // namespace

std::string EncodeFrame(const fb::FrameT& frame) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fb::Frame::Pack(builder, &frame));
  return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                     builder.GetSize());
}

absl::StatusOr<fb::FrameT> DecodeFrame(std::string_view bytes) {
  if (bytes.empty()) {
    return Malformed("empty frame");
  }
  const auto* data = reinterpret_cast<const uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(data, bytes.size(), kMaxDepth, kMaxTables);
  if (!fb::VerifyFrameBuffer(verifier)) {
    return Malformed("not a frame");
  }
  const fb::Frame* frame = fb::GetFrame(data);
  const fb::FrameBody type = frame->body_type();
  if (type == fb::FrameBody::NONE || !InRange(type)) {
    return Malformed("unknown kind of frame");
  }
  if (frame->body() == nullptr) {
    return Malformed("frame without a body");
  }
  fb::FrameT result;
  frame->UnPackTo(&result);
  if (!EnumsInRange(result.body)) {
    return Malformed("enum value out of range");
  }
  return result;
}

}  // namespace hawthornhollow
