#ifndef HAWTHORNHOLLOW_RUNTIME_FIBER_SCHEDULER_H_
#define HAWTHORNHOLLOW_RUNTIME_FIBER_SCHEDULER_H_

// The Boost.Fiber scheduling algorithm of a runtime thread. Private to runtime.

#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>
#include <chrono>

namespace hawthornhollow {

// Round robin over ready fibers. An idle thread blocks in the io_context.
class FiberScheduler : public boost::fibers::algo::algorithm {
 public:
  // Stores `this` in `*self`, as Boost.Fiber makes the object itself.
  FiberScheduler(boost::asio::io_context* io, FiberScheduler** self);
  FiberScheduler(const FiberScheduler&) = delete;
  FiberScheduler& operator=(const FiberScheduler&) = delete;

  // Makes the calling fiber the one that polls the io_context: it is resumed
  // once every kSwitchesPerPoll switches, and never alone.
  void AdoptPoller() { poller_ = boost::fibers::context::active(); }

  void awakened(boost::fibers::context* context) noexcept override;
  boost::fibers::context* pick_next() noexcept override;
  bool has_ready_fibers() const noexcept override;
  void suspend_until(
      const std::chrono::steady_clock::time_point& until) noexcept override;
  void notify() noexcept override;

 private:
  static constexpr int kSwitchesPerPoll = 8;

  boost::asio::io_context* const io_;
  boost::fibers::scheduler::ready_queue_type ready_;
  boost::fibers::context* poller_ = nullptr;
  bool poller_ready_ = false;
  int switches_ = 0;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RUNTIME_FIBER_SCHEDULER_H_
