#ifndef HAWTHORNHOLLOW_ROUTER_FIBER_GROUP_H_
#define HAWTHORNHOLLOW_ROUTER_FIBER_GROUP_H_

// A group of fibers that are stopped together. The owner sets the stop flag,
// which the fibers must poll, and waits for them to end.

#include <atomic>
#include <boost/fiber/condition_variable.hpp>

#include <functional>
#include <mutex>
#include <utility>

#include "hawthornhollow/runtime/runtime.h"

namespace hawthornhollow {

class FiberGroup {
 public:
  explicit FiberGroup(Runtime& runtime) : runtime_(runtime) {}
  FiberGroup(const FiberGroup&) = delete;
  FiberGroup& operator=(const FiberGroup&) = delete;

  // Starts a fiber on one of the runtime's threads, chosen round-robin.
  void Spawn(std::function<void()> task) {
    {
      std::lock_guard lock(mutex_);
      ++running_;
    }
    runtime_.Spawn([this, task = std::move(task)] {
      task();
      std::lock_guard lock(mutex_);
      --running_;
      ended_.notify_all();
    });
  }

  const std::atomic<bool>& stop() const { return stop_; }
  bool stopped() const { return stop_.load(); }

  // Sets the stop flag and blocks the calling fiber until all fibers have
  // ended.
  void StopAndWait() {
    stop_ = true;
    std::unique_lock lock(mutex_);
    ended_.wait(lock, [this] { return running_ == 0; });
  }

 private:
  Runtime& runtime_;
  std::atomic<bool> stop_{false};
  std::mutex mutex_;
  boost::fibers::condition_variable_any ended_;
  int running_ = 0;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_ROUTER_FIBER_GROUP_H_
