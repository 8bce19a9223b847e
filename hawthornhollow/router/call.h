#ifndef HAWTHORNHOLLOW_ROUTER_CALL_H_
#define HAWTHORNHOLLOW_ROUTER_CALL_H_

// One dispatched attempt of a request, between the link that feeds it and the
// fiber that answers the caller.

#include <boost/fiber/condition_variable.hpp>

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <variant>

#include "absl/time/time.h"
#include "hawthornhollow/router/reply_assembler.h"
#include "hawthornhollow/wire/wire.h"

namespace hawthornhollow {

// The gate could not be reached again, or was replaced, or sent a corrupt
// answer: nothing more will come of this attempt.
struct CallLost {
  std::string reason;
};
// Nothing came in time.
struct CallTimeout {};
// The caller has closed its connection.
struct CallerDisconnected {};

using CallEvent = std::variant<fb::HeadT,
                               fb::DataT,
                               fb::EndT,
                               fb::RefusedT,
                               CallLost,
                               CallTimeout,
                               CallerDisconnected>;

// The claim under which a call runs or is asked for. Fence 0: none.
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

  // From the link. Returns false if frames are missing and the link should
  // attach again from next_sequence().
  bool OnHead(fb::HeadT head);
  bool OnData(fb::DataT data);
  bool OnEnd(fb::EndT end);
  void OnRefused(fb::RefusedT refused);
  void OnLost(std::string reason);
  // From the caller's connection.
  void OnCallerDisconnected();

  // The next event in order; blocks the calling fiber.
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
  ReplyAssembler assembler_;
  std::deque<CallEvent> events_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_ROUTER_CALL_H_
