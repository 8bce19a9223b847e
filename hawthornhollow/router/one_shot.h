#ifndef HAWTHORNHOLLOW_ROUTER_ONE_SHOT_H_
#define HAWTHORNHOLLOW_ROUTER_ONE_SHOT_H_

// A value that is set once and waited for by a fiber of any runtime thread.
//
// A fiber that is suspended while it holds a std::mutex can deadlock its
// thread. So whatever may be called under a std::mutex, as Set is, uses a
// std::mutex itself with a condition_variable_any, whose notify never suspends.

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
  // Sets the value unless it is set; returns whether this call did.
  bool Set(ValueT value) {
    std::lock_guard lock(mutex_);
    if (value_)
      return false;
    value_ = std::move(value);
    changed_.notify_all();
    return true;
  }

  // Blocks the calling fiber; nullopt if the value is not set in time.
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
