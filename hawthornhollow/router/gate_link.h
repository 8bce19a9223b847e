#ifndef HAWTHORNHOLLOW_ROUTER_GATE_LINK_H_
#define HAWTHORNHOLLOW_ROUTER_GATE_LINK_H_

// The link of a router to one gate, the side process of one backend server.

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/time/time.h"
#include "hawthornhollow/router/call.h"
#include "hawthornhollow/router/fiber_group.h"
#include "hawthornhollow/runtime/runtime.h"
#include "hawthornhollow/wire/wire.h"

namespace hawthornhollow {

struct GateLinkOptions {
  FrameLinkOptions frames;
  absl::Duration connect_timeout = absl::Seconds(1);
  absl::Duration reconnect_min = absl::Milliseconds(50);
  absl::Duration reconnect_max = absl::Seconds(1);
  // How long calls wait for a lost connection to be re-established before they
  // fail.
  absl::Duration call_loss_timeout = absl::Seconds(3);
};

// Callbacks to the owner of a link. They run on the link's fiber and must not
// block.
struct GateLinkEvents {
  std::function<void(const std::string& server, bool connected)> on_connected;
  std::function<void(const std::string& server, const fb::LoadT& load)> on_load;
};

// Gate incarnations that the "members" stream shows as closed or lost.
using EndedGates = std::set<std::string>;

// Maintains one connection to a gate and passes each received frame to its
// call. When the connection is lost, the link connects again, and calls in
// progress attach from the next sequence that they need. This also covers a
// call whose dispatch may not have arrived: the gate answers an attachment for
// a request that it does not know with Refused, and never runs that attempt
// later. Thread-safe.
class GateLink : public std::enable_shared_from_this<GateLink> {
 public:
  GateLink(std::string server,
           const Endpoint& endpoint,
           fb::HelloT self,
           const GateLinkOptions& options,
           GateLinkEvents events);
  GateLink(const GateLink&) = delete;
  GateLink& operator=(const GateLink&) = delete;

  const std::string& server() const { return server_; }
  const Endpoint& endpoint() const { return endpoint_; }
  // Empty while there is no connection.
  std::string gate_incarnation() const;

  // Connects and reads frames until Stop is called or `stop` is set. Run by
  // exactly one fiber.
  void Run(const std::atomic<bool>& stop);
  void Stop();

  // Sets the gate incarnations that must not be used any more. Closes a
  // connection to one of them and fails the calls through them.
  void SetEndedGates(const std::shared_ptr<const EndedGates>& ended);

  // Sends a request to the given gate incarnation. If this fails, nothing was
  // sent.
  absl::Status Dispatch(const std::shared_ptr<Call>& call,
                        fb::DispatchT dispatch,
                        const std::string& gate_incarnation);
  // Requests the reply of a run that an earlier attempt dispatched.
  absl::Status Attach(const std::shared_ptr<Call>& call);
  void Cancel(const Call& call);
  // Tells the gate that the request's bill is durable.
  void SendSettled(const std::string& request);
  // Stops delivering frames to the call. Must be called only after the
  // request's bill was queued for the log.
  void Unregister(const Call& call);

  // Whether a call that was sent through the given gate incarnation is still
  // registered.
  bool HasCallsThrough(const std::string& gate_incarnation) const;

 private:
  using CallKey = std::pair<std::string, int32_t>;
  struct RegisteredCall {
    std::shared_ptr<Call> call;
    std::string gate_incarnation;
  };

  absl::Status RunSession(const std::atomic<bool>& stop);
  void OnFrame(FrameLink& link, fb::FrameT frame);
  void OnHello(FrameLink& link, const fb::HelloT& hello);
  void OnSessionEnd(const absl::Status& status);
  void FailCallsIfDisconnectedTooLong();
  void FailCalls(const std::string& keep_incarnation,
                 const std::string& reason);
  void AttachAll(FrameLink& link);
  std::shared_ptr<Call> FindCall(const std::string& request,
                                 int32_t attempt) const;
  absl::Status Register(const std::shared_ptr<Call>& call,
                        const fb::FrameT& frame,
                        const std::string& gate_incarnation);
  fb::AttachT AttachFrame(const Call& call) const;

  const std::string server_;
  const Endpoint endpoint_;
  const fb::HelloT self_;
  const GateLinkOptions options_;
  const GateLinkEvents events_;
  std::atomic<bool> stopped_{false};

  mutable std::mutex mutex_;
  std::shared_ptr<FrameLink> ready_link_;  // null until the gate has sent Hello
  // The connection of the current session, also before the gate's Hello.
  std::shared_ptr<FrameLink> session_link_;
  std::string gate_incarnation_;
  std::shared_ptr<const EndedGates> ended_gates_;
  absl::Time disconnected_at_ = absl::InfiniteFuture();
  std::map<CallKey, RegisteredCall> calls_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_ROUTER_GATE_LINK_H_
