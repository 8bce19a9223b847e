#include "hawthornhollow/router/reply_assembler.h"

#include <utility>

namespace hawthornhollow {

ReplyAssembler::ReplyAssembler(std::string request)
    : request_(std::move(request)) {}

FrameVerdict ReplyAssembler::OnHead(const fb::HeadT& head) {
  if (head.request != request_ || has_head_ || ended_)
    return FrameVerdict::kDrop;
  has_head_ = true;
  return FrameVerdict::kDeliver;
}

FrameVerdict ReplyAssembler::OnData(const fb::DataT& data) {
  if (data.request != request_ || ended_ || data.sequence < next_sequence_)
    return FrameVerdict::kDrop;
  if (data.sequence > next_sequence_ || !has_head_)
    return FrameVerdict::kGap;
  ++next_sequence_;
  bytes_ += static_cast<int64_t>(data.bytes.size());
  hasher_.Update(std::string_view(
      reinterpret_cast<const char*>(data.bytes.data()), data.bytes.size()));
  return FrameVerdict::kDeliver;
}

FrameVerdict ReplyAssembler::OnEnd(const fb::EndT& end) {
  if (end.request != request_ || ended_)
    return FrameVerdict::kDrop;
  if (end.kind == fb::EndKind::Completed) {
    if (end.sequence > next_sequence_ || !has_head_)
      return FrameVerdict::kGap;
    if (end.bytes != bytes_ || end.checksum != hasher_.digest())
      return FrameVerdict::kCorrupt;
  }
  ended_ = true;
  return FrameVerdict::kDeliver;
}

}  // namespace hawthornhollow
