// A thread has one source of blocking, its io_context: when no fiber is ready,
// Boost.Fiber's dispatcher calls suspend_until, which runs one handler or waits
// until the next sleeper is due. Another thread that makes a fiber of this one
// ready calls notify, which posts an empty handler and so ends that wait.
//
// pick_next is called with a spinlock held. A handler that made a fiber ready
// there would take the same lock and hang the thread, so pick_next never runs
// handlers. Instead, while fibers stay ready, it resumes a polling fiber after
// every kSwitchesPerPoll switches; a completed operation therefore waits for
// at most that many fibers. The polling fiber is kept out of the ready queue:
// when it alone could run, the queue is empty and the thread blocks instead.

#include "hawthornhollow/runtime/fiber_scheduler.h"

#include <boost/asio/post.hpp>

namespace hawthornhollow {

using boost::fibers::context;

FiberScheduler::FiberScheduler(boost::asio::io_context* io,
                               FiberScheduler** self)
    : io_(io) {
  *self = this;
}

void FiberScheduler::awakened(context* context) noexcept {
  if (context == poller_) {
    poller_ready_ = true;
    return;
  }
  context->ready_link(ready_);
}

context* FiberScheduler::pick_next() noexcept {
  if (ready_.empty())
    return nullptr;
  if (poller_ready_ && ++switches_ >= kSwitchesPerPoll) {
    switches_ = 0;
    poller_ready_ = false;
    return poller_;
  }
  context* next = &ready_.front();
  ready_.pop_front();
  return next;
}

bool FiberScheduler::has_ready_fibers() const noexcept {
  return !ready_.empty();
}

void FiberScheduler::suspend_until(
    const std::chrono::steady_clock::time_point& until) noexcept {
  if (until == std::chrono::steady_clock::time_point::max())
    io_->run_one();
  else
    io_->run_one_until(until);
}

void FiberScheduler::notify() noexcept {
  boost::asio::post(*io_, [] {});
}

}  // namespace hawthornhollow
