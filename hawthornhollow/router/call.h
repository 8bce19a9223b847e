#ifndef HAWTHORNHOLLOW_ROUTER_CALL_H_
#define HAWTHORNHOLLOW_ROUTER_CALL_H_

// One attempt of a request that was dispatched to a gate, the side process of a
// backend server. The link to the gate adds frames, and the fiber that answers
// the caller consumes them as events.

#include <boost/fiber/condition_variable.hpp>

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <variant>

#include "absl/time/time.h"
#include "hawthornhollow/router/reply_frame_checker.h"
#include "hawthornhollow/wire/wire.h"

namespace hawthornhollow {

// The attempt failed: the gate could not be reached again, was replaced or has
// ended, or its reply was corrupt. No further frames will arrive.
struct CallLost {
  std::string reason;
};
// No event arrived within the timeout of Next.
struct CallTimeout {};
// The caller closed its connection.
struct CallerDisconnected {};

using CallEvent = std::variant<fb::HeadT,
                               fb::DataT,
                               fb::EndT,
                               fb::RefusedT,
                               CallLost,
                               CallTimeout,
                               CallerDisconnected>;

// The claim under which a call is run, or under which its reply is requested.
// Fence 0 means that there is no claim.
struct CallClaim {
  std::string budget;
  int64_t fence = 0;
  friend bool operator==(const CallClaim&, const CallClaim&) = default;
};

// Thread-safe.
class Call {
 public:
  Call(std::string request, int32_t attempt, CallClaim claim = {});

  const std::string& request() const { return request_; }
  int32_t attempt() const { return attempt_; }
  const CallClaim& claim() const { return claim_; }

  // Called by the link. The functions that return bool return false if frames
  // are missing; the link must then attach again from next_sequence().
  bool OnHead(fb::HeadT head);
  bool OnData(fb::DataT data);
  bool OnEnd(fb::EndT end);
  void OnRefused(fb::RefusedT refused);
  void OnLost(std::string reason);
  // Called when the connection of the caller is closed.
  void OnCallerDisconnected();

  // Returns the next event in order. Blocks the calling fiber for at most
  // `timeout`.
  CallEvent Next(absl::Duration timeout);

  int64_t next_sequence() const;

 private:
  bool DeliverIfNext(FrameDisposition disposition, CallEvent event);
  void PushEvent(CallEvent event);

  const std::string request_;
  const int32_t attempt_;
  const CallClaim claim_;
  mutable std::mutex mutex_;
  boost::fibers::condition_variable_any changed_;
  ReplyFrameChecker frame_checker_;
  std::deque<CallEvent> events_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_ROUTER_CALL_H_
