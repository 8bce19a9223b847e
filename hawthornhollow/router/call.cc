#include "hawthornhollow/router/call.h"

#include <mutex>
#include <utility>

namespace hawthornhollow {

Call::Call(std::string request, int32_t attempt, CallClaim claim)
    : request_(request),
      attempt_(attempt),
      claim_(std::move(claim)),
      frame_checker_(std::move(request)) {}

bool Call::OnHead(fb::HeadT head) {
  std::lock_guard lock(mutex_);
  FrameDisposition disposition = frame_checker_.OnHead(head);
  return DeliverIfNext(disposition, std::move(head));
}

bool Call::OnData(fb::DataT data) {
  std::lock_guard lock(mutex_);
  FrameDisposition disposition = frame_checker_.OnData(data);
  return DeliverIfNext(disposition, std::move(data));
}

bool Call::OnEnd(fb::EndT end) {
  std::lock_guard lock(mutex_);
  FrameDisposition disposition = frame_checker_.OnEnd(end);
  return DeliverIfNext(disposition, std::move(end));
}

void Call::OnRefused(fb::RefusedT refused) {
  std::lock_guard lock(mutex_);
  PushEvent(std::move(refused));
}

void Call::OnLost(std::string reason) {
  std::lock_guard lock(mutex_);
  if (!frame_checker_.ended())
    PushEvent(CallLost{std::move(reason)});
}

void Call::OnCallerDisconnected() {
  std::lock_guard lock(mutex_);
  PushEvent(CallerDisconnected{});
}

CallEvent Call::Next(absl::Duration timeout) {
  std::unique_lock lock(mutex_);
  bool arrived = changed_.wait_for(lock, absl::ToChronoNanoseconds(timeout),
                                   [this] { return !events_.empty(); });
  if (!arrived)
    return CallTimeout{};
  CallEvent event = std::move(events_.front());
  events_.pop_front();
  return event;
}

int64_t Call::next_sequence() const {
  std::lock_guard lock(mutex_);
  return frame_checker_.next_sequence();
}

bool Call::DeliverIfNext(FrameDisposition disposition, CallEvent event) {
  switch (disposition) {
    case FrameDisposition::kDeliver:
      PushEvent(std::move(event));
      return true;
    case FrameDisposition::kDrop:
      return true;
    case FrameDisposition::kGap:
      return false;
    case FrameDisposition::kCorrupt:
      PushEvent(CallLost{"answer does not match its checksum"});
      return true;
  }
  return true;
}

void Call::PushEvent(CallEvent event) {
  events_.push_back(std::move(event));
  changed_.notify_one();
}

}  // namespace hawthornhollow
