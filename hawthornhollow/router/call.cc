#include "hawthornhollow/router/call.h"

#include <mutex>
#include <utility>

namespace hawthornhollow {

Call::Call(std::string request, int32_t attempt, CallClaim claim)
    : request_(request),
      attempt_(attempt),
      claim_(std::move(claim)),
      assembler_(std::move(request)) {}

bool Call::OnHead(fb::HeadT head) {
  std::lock_guard lock(mutex_);
  FrameVerdict verdict = assembler_.OnHead(head);
  return Take(verdict, std::move(head));
}

bool Call::OnData(fb::DataT data) {
  std::lock_guard lock(mutex_);
  FrameVerdict verdict = assembler_.OnData(data);
  return Take(verdict, std::move(data));
}

bool Call::OnEnd(fb::EndT end) {
  std::lock_guard lock(mutex_);
  FrameVerdict verdict = assembler_.OnEnd(end);
  return Take(verdict, std::move(end));
}

void Call::OnRefused(fb::RefusedT refused) {
  std::lock_guard lock(mutex_);
  Push(std::move(refused));
}

void Call::OnLost(std::string reason) {
  std::lock_guard lock(mutex_);
  if (!assembler_.ended())
    Push(CallLost{std::move(reason)});
}

void Call::OnCallerGone() {
  std::lock_guard lock(mutex_);
  Push(CallerGone{});
}

CallEvent Call::Next(absl::Duration timeout) {
  std::unique_lock lock(mutex_);
  bool came = changed_.wait_for(lock, absl::ToChronoNanoseconds(timeout),
                                [this] { return !events_.empty(); });
  if (!came)
    return CallTimeout{};
  CallEvent event = std::move(events_.front());
  events_.pop_front();
  return event;
}

int64_t Call::next_sequence() const {
  std::lock_guard lock(mutex_);
  return assembler_.next_sequence();
}

bool Call::Take(FrameVerdict verdict, CallEvent event) {
  switch (verdict) {
    case FrameVerdict::kDeliver:
      Push(std::move(event));
      return true;
    case FrameVerdict::kDrop:
      return true;
    case FrameVerdict::kGap:
      return false;
    case FrameVerdict::kCorrupt:
      Push(CallLost{"answer does not match its checksum"});
      return true;
  }
  return true;
}

void Call::Push(CallEvent event) {
  events_.push_back(std::move(event));
  changed_.notify_one();
}

}  // namespace hawthornhollow
