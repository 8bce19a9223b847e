#ifndef HAWTHORNHOLLOW_ROUTER_GATE_LINK_H_
#define HAWTHORNHOLLOW_ROUTER_GATE_LINK_H_

// A router's link to one side process (the gate of one backend server).

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
  // Calls wait this long for a broken link to come back.
  absl::Duration call_loss_timeout = absl::Seconds(3);
};

// What a link tells its owner, from the link's fiber. None may block.
struct GateLinkEvents {
  std::function<void(const std::string& server, bool connected)> on_connected;
  std::function<void(const std::string& server, const fb::LoadT& load)> on_load;
};

// Gate incarnations that are closed or failed, as the "members" stream shows.
using EndedGates = std::set<std::string>;

// Keeps one connection to a gate, and hands each frame to the call that it
// belongs to. A broken link is replaced by a new connection; calls in progress
// attach again from the next sequence that they need. A call whose dispatch may
// not have arrived is settled the same way: the gate answers the attachment of
// a request that it does not know with Refused, and never runs it later.
// Thread-safe.
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

  // Connects and reads until Stop or `stop`; one fiber runs this.
  void Run(const std::atomic<bool>& stop);
  void Stop();

  // Uses none of these gate incarnations from now on: a link to one is closed,
  // and the calls through it are failed.
  void SetEndedGates(const std::shared_ptr<const EndedGates>& ended);

  // Sends a request to that gate incarnation. On an error nothing was sent.
  absl::Status Dispatch(const std::shared_ptr<Call>& call,
                        fb::DispatchT dispatch,
                        const std::string& gate_incarnation);
  // Asks for the answer of a request that another attempt has dispatched.
  absl::Status Attach(const std::shared_ptr<Call>& call);
  void Cancel(const Call& call);
  // The request's bill is durable.
  void SendSettled(const std::string& request);
  // Ends the delivery of frames to the call. To be called after the request's
  // bill was queued.
  void Unregister(const Call& call);

  // Whether a call that was sent through that gate incarnation is in progress.
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
  std::shared_ptr<FrameLink> ready_link_;  // null until greeted
  std::shared_ptr<FrameLink> session_link_;
  std::string gate_incarnation_;
  std::shared_ptr<const EndedGates> ended_gates_;
  absl::Time disconnected_at_ = absl::InfiniteFuture();
  std::map<CallKey, RegisteredCall> calls_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_ROUTER_GATE_LINK_H_
