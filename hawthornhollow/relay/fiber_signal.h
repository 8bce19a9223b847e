#ifndef HAWTHORNHOLLOW_RELAY_FIBER_SIGNAL_H_
#define HAWTHORNHOLLOW_RELAY_FIBER_SIGNAL_H_

// Wakes fibers that wait for a change. All of them must run on one thread.

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <chrono>
#include <cstdint>
#include <mutex>

#include "absl/time/time.h"

namespace hawthornhollow {

class FiberSignal {
 public:
  void Notify() {
    ++changes_;
    condition_.notify_all();
  }

  // Number of notifications so far. Read it before checking the state that may
  // change, so that no notification is missed.
  uint64_t changes() const { return changes_; }

  // Blocks the fiber until there have been more than `seen` notifications or
  // `timeout` has passed.
  void WaitForMoreThan(uint64_t seen, absl::Duration timeout) {
    std::unique_lock<boost::fibers::mutex> lock(mutex_);
    condition_.wait_for(lock, absl::ToChronoNanoseconds(timeout),
                        [&] { return changes_ > seen; });
  }

 private:
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable condition_;
  uint64_t changes_ = 0;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_FIBER_SIGNAL_H_
