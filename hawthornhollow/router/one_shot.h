#ifndef HAWTHORNHOLLOW_ROUTER_ONE_SHOT_H_
#define HAWTHORNHOLLOW_ROUTER_ONE_SHOT_H_

// A value that is set once and can be awaited by fibers on any runtime thread.
//
// A fiber that is suspended while it holds a std::mutex can deadlock its
// thread. Set may be called while a std::mutex is held, and so must not
// suspend. It therefore uses a std::mutex and a condition_variable_any, whose
// notify functions never suspend.

#include <boost/fiber/condition_variable.hpp>

#include <chrono>
#include <mutex>
#include <optional>
#include <utility>

#include "absl/time/time.h"

namespace hawthornhollow {

template <typename ValueT>
class OneShot {
 public:
  // Sets the value if it is not set yet. Returns whether this call set it.
  bool Set(ValueT value) {
    std::lock_guard lock(mutex_);
    if (value_)
      return false;
    value_ = std::move(value);
    changed_.notify_all();
    return true;
  }

  // Blocks the calling fiber. Returns nullopt if the value is not set in time.
  std::optional<ValueT> Wait(absl::Duration timeout) {
    std::unique_lock lock(mutex_);
    auto is_set = [this] { return value_.has_value(); };
    if (timeout == absl::InfiniteDuration())
      changed_.wait(lock, is_set);
    else
      changed_.wait_for(lock, absl::ToChronoNanoseconds(timeout), is_set);
    return value_;
  }

 private:
  std::mutex mutex_;
  boost::fibers::condition_variable_any changed_;
  std::optional<ValueT> value_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_ROUTER_ONE_SHOT_H_
