// A runtime thread's life. Its main fiber waits for Stop(); all other fibers
// are launched by Spawn. Boost.Fiber cannot destroy a suspended fiber, and a
// thread that exits while one exists waits for it for ever. So Run gives the
// fibers kStopGrace to end. If some remain, can_exit() is false and the
// thread's owner never lets it exit: the fibers do not run again, and what they
// hold is released with the process.

#include <boost/asio/post.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <exception>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/runtime/asio_internal.h"
#include "hawthornhollow/runtime/fiber_scheduler.h"

namespace hawthornhollow {
namespace {

constexpr absl::Duration kStopGrace = absl::Milliseconds(50);
constexpr absl::Duration kStopCheckInterval = absl::Milliseconds(1);
// Stacks are taken from the system in blocks of this many, doubled up to the
// maximum.
constexpr size_t kStacksPerBlock = 16;
constexpr size_t kMaxStacksPerBlock = 64;

thread_local IoThread* current_thread = nullptr;

// Runs a task; an exception ends only its own fiber.
void RunTask(const std::function<void()>& task) {
  try {
    task();
  } catch (const std::exception& error) {
    LogEvent("fiber.exception", LogSeverity::kError).Add("what", error.what());
  }
}

}  // namespace

IoThread::IoThread(size_t fiber_stack_bytes)
    : context_(1),
      work_(context_.get_executor()),
      stacks_(fiber_stack_bytes, kStacksPerBlock, kMaxStacksPerBlock) {}

std::shared_ptr<IoThread> IoThread::Current() {
  if (current_thread == nullptr)
    return nullptr;
  return current_thread->shared_from_this();
}

bool IoThread::is_current() const {
  return current_thread == this;
}

void IoThread::Spawn(std::function<void()> task) {
  if (is_current()) {
    Launch(std::move(task));
    return;
  }
  boost::asio::post(context_, [this, task = std::move(task)]() mutable {
    Launch(std::move(task));
  });
}

void IoThread::Dispatch(std::function<void()> task) {
  if (is_current()) {
    task();
    return;
  }
  boost::asio::post(context_, std::move(task));
}

void IoThread::DispatchOrRun(std::function<void()> task) {
  if (halted())
    task();
  else
    Dispatch(std::move(task));
}

void IoThread::Launch(std::function<void()> task) {
  ++live_fibers_;
  boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg, stacks_,
                       [this, task = std::move(task)]() mutable {
                         RunTask(task);
                         task = nullptr;
                         --live_fibers_;
                       })
      .detach();
}

void IoThread::LaunchPoller() {
  boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg, stacks_,
                       [this] {
                         scheduler_->AdoptPoller();
                         while (polling_) {
                           context_.poll();
                           boost::this_fiber::yield();
                         }
                         poller_ended_ = true;
                       })
      .detach();
}

void IoThread::Run() {
  current_thread = this;
  boost::fibers::use_scheduling_algorithm<FiberScheduler>(&context_,
                                                          &scheduler_);
  LaunchPoller();
  stop_.Wait();
  AwaitFibers();
  halted_.store(true, std::memory_order_release);
}

void IoThread::AwaitFibers() {
  const absl::Time deadline = SteadyNow() + kStopGrace;
  while (live_fibers_ > 0 && SteadyNow() < deadline)
    hawthornhollow::SleepFor(kStopCheckInterval);
  polling_ = false;
  while (!poller_ended_)
    boost::this_fiber::yield();
}

void IoThread::Stop() {
  boost::asio::post(context_, [this] { stop_.Done(); });
}

}  // namespace hawthornhollow
