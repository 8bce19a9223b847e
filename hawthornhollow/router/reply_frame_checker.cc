#include "hawthornhollow/router/reply_frame_checker.h"

#include <utility>

namespace hawthornhollow {

ReplyFrameChecker::ReplyFrameChecker(std::string request)
    : request_(std::move(request)) {}

FrameDisposition ReplyFrameChecker::OnHead(const fb::HeadT& head) {
  if (head.request != request_ || has_head_ || ended_)
    return FrameDisposition::kDrop;
  has_head_ = true;
  return FrameDisposition::kDeliver;
}

FrameDisposition ReplyFrameChecker::OnData(const fb::DataT& data) {
  if (data.request != request_ || ended_ || data.sequence < next_sequence_)
    return FrameDisposition::kDrop;
  if (data.sequence > next_sequence_ || !has_head_)
    return FrameDisposition::kGap;
  ++next_sequence_;
  bytes_ += static_cast<int64_t>(data.bytes.size());
  hasher_.Update(std::string_view(
      reinterpret_cast<const char*>(data.bytes.data()), data.bytes.size()));
  return FrameDisposition::kDeliver;
}

FrameDisposition ReplyFrameChecker::OnEnd(const fb::EndT& end) {
  if (end.request != request_ || ended_)
    return FrameDisposition::kDrop;
  if (end.kind == fb::EndKind::Completed) {
    if (end.sequence > next_sequence_ || !has_head_)
      return FrameDisposition::kGap;
    if (end.bytes != bytes_ || end.checksum != hasher_.digest())
      return FrameDisposition::kCorrupt;
  }
  ended_ = true;
  return FrameDisposition::kDeliver;
}

}  // namespace hawthornhollow
