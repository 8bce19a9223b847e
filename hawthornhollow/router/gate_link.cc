// A call in progress survives the loss of its connection. While the connection
// is down, the gate keeps the frames of the call. On a new connection to the
// same gate incarnation the link attaches every registered call from the next
// sequence that it needs, so that no byte is lost or duplicated. If the gate
// has a different incarnation, it was restarted and knows no earlier calls;
// every call through the old incarnation fails at once. The calls also fail if
// the gate cannot be reached for `call_loss_timeout`.
//
// It does not matter whether a dispatch reached the gate before the connection
// broke. The attachment either finds the run, or the gate does not know the
// request and refuses any later dispatch of that attempt.

#include "hawthornhollow/router/gate_link.h"

#include <algorithm>
#include <utility>

#include "hawthornhollow/base/base.h"

namespace hawthornhollow {
namespace {

constexpr absl::Duration kReconnectPollInterval = absl::Milliseconds(50);

}  // namespace

GateLink::GateLink(std::string server,
                   const Endpoint& endpoint,
                   fb::HelloT self,
                   const GateLinkOptions& options,
                   GateLinkEvents events)
    : server_(std::move(server)),
      endpoint_(endpoint),
      self_(std::move(self)),
      options_(options),
      events_(std::move(events)),
      ended_gates_(std::make_shared<const EndedGates>()) {}

std::string GateLink::gate_incarnation() const {
  std::lock_guard lock(mutex_);
  return ready_link_ ? gate_incarnation_ : std::string();
}

void GateLink::Run(const std::atomic<bool>& stop) {
  absl::Duration backoff = options_.reconnect_min;
  while (!stop && !stopped_) {
    absl::Time began = absl::Now();
    absl::Status status = RunSession(stop);
    OnSessionEnd(status);
    if (absl::Now() - began > options_.reconnect_max)
      backoff = options_.reconnect_min;
    for (absl::Duration waited; waited < backoff && !stop && !stopped_;
         waited += kReconnectPollInterval) {
      hawthornhollow::SleepFor(
          std::min(kReconnectPollInterval, backoff - waited));
      FailCallsIfDisconnectedTooLong();
    }
    backoff = std::min(backoff * 2, options_.reconnect_max);
  }
  FailCalls("", "router stops using the server");
}

void GateLink::Stop() {
  stopped_ = true;
  std::shared_ptr<FrameLink> link;
  {
    std::lock_guard lock(mutex_);
    link = session_link_;
  }
  if (link)
    link->Close();
}

absl::Status GateLink::RunSession(const std::atomic<bool>& stop) {
  auto stream = TcpStream::Connect(endpoint_, options_.connect_timeout);
  if (!stream.ok())
    return stream.status();
  auto link = FrameLink::Create(std::move(*stream), options_.frames);
  {
    std::lock_guard lock(mutex_);
    session_link_ = link;
  }
  if (stop || stopped_)
    return absl::CancelledError("stopping");
  if (absl::Status status = link->Send(MakeFrame(self_)); !status.ok())
    return status;
  return link->Run(
      [this, &link](fb::FrameT frame) { OnFrame(*link, std::move(frame)); });
}

void GateLink::OnSessionEnd(const absl::Status& status) {
  bool was_connected = false;
  {
    std::lock_guard lock(mutex_);
    was_connected = ready_link_ != nullptr;
    ready_link_.reset();
    session_link_.reset();
    if (was_connected)
      disconnected_at_ = absl::Now();
  }
  if (!was_connected)
    return;
  LogEvent("gate.link.ended", LogSeverity::kWarning)
      .Add("server", server_)
      .Add("reason", status);
  events_.on_connected(server_, false);
}

void GateLink::FailCallsIfDisconnectedTooLong() {
  {
    std::lock_guard lock(mutex_);
    if (ready_link_ ||
        absl::Now() - disconnected_at_ < options_.call_loss_timeout)
      return;
    disconnected_at_ = absl::InfiniteFuture();
  }
  FailCalls("", "gate cannot be reached");
}

void GateLink::FailCalls(const std::string& keep_incarnation,
                         const std::string& reason) {
  std::vector<std::shared_ptr<Call>> failed;
  {
    std::lock_guard lock(mutex_);
    for (const auto& [key, entry] : calls_) {
      if (entry.gate_incarnation != keep_incarnation)
        failed.push_back(entry.call);
    }
  }
  for (const auto& call : failed)
    call->OnLost(reason);
}

void GateLink::OnFrame(FrameLink& link, fb::FrameT frame) {
  switch (frame.body.type) {
    case fb::FrameBody::Hello:
      OnHello(link, *frame.body.AsHello());
      return;
    case fb::FrameBody::Load:
      events_.on_load(server_, *frame.body.AsLoad());
      return;
    case fb::FrameBody::Refused: {
      fb::RefusedT& refused = *frame.body.AsRefused();
      if (auto call = FindCall(refused.request, refused.attempt))
        call->OnRefused(std::move(refused));
      return;
    }
    case fb::FrameBody::Head: {
      fb::HeadT& head = *frame.body.AsHead();
      if (auto call = FindCall(head.request, head.attempt))
        call->OnHead(std::move(head));
      return;
    }
    case fb::FrameBody::Data: {
      fb::DataT& data = *frame.body.AsData();
      auto call = FindCall(data.request, data.attempt);
      if (call && !call->OnData(std::move(data)))
        link.Send(MakeFrame(AttachFrame(*call))).IgnoreError();
      return;
    }
    case fb::FrameBody::End: {
      fb::EndT& end = *frame.body.AsEnd();
      auto call = FindCall(end.request, end.attempt);
      if (call && !call->OnEnd(std::move(end)))
        link.Send(MakeFrame(AttachFrame(*call))).IgnoreError();
      return;
    }
    default:
      LogEvent("gate.frame.unexpected", LogSeverity::kWarning)
          .Add("server", server_)
          .Add("type", static_cast<int>(frame.body.type));
  }
}

void GateLink::OnHello(FrameLink& link, const fb::HelloT& hello) {
  if (hello.protocol != kFrameProtocol || hello.server != server_) {
    LogEvent("gate.hello.refused", LogSeverity::kError)
        .Add("server", server_)
        .Add("peer", link.peer().ToString())
        .Add("peer_server", hello.server)
        .Add("protocol", hello.protocol);
    link.Close();
    return;
  }
  FailCalls(hello.incarnation, "gate was replaced");
  bool ended = false;
  {
    std::lock_guard lock(mutex_);
    ended = ended_gates_->contains(hello.incarnation);
    if (!ended) {
      ready_link_ = session_link_;
      gate_incarnation_ = hello.incarnation;
      disconnected_at_ = absl::InfiniteFuture();
    }
  }
  if (ended) {
    link.Close();
    return;
  }
  AttachAll(link);
  LogEvent("gate.link.ready")
      .Add("server", server_)
      .Add("gate", hello.incarnation);
  events_.on_connected(server_, true);
}

void GateLink::SetEndedGates(const std::shared_ptr<const EndedGates>& ended) {
  std::shared_ptr<FrameLink> closing;
  std::vector<std::shared_ptr<Call>> failed;
  {
    std::lock_guard lock(mutex_);
    ended_gates_ = ended;
    if (ready_link_ && ended->contains(gate_incarnation_))
      closing = std::exchange(ready_link_, nullptr);
    for (const auto& [key, entry] : calls_) {
      if (ended->contains(entry.gate_incarnation))
        failed.push_back(entry.call);
    }
  }
  if (closing) {
    LogEvent("gate.link.gate_ended", LogSeverity::kWarning)
        .Add("server", server_);
    closing->Close();
    events_.on_connected(server_, false);
  }
  for (const auto& call : failed)
    call->OnLost("gate has ended");
}

void GateLink::AttachAll(FrameLink& link) {
  std::vector<std::shared_ptr<Call>> calls;
  {
    std::lock_guard lock(mutex_);
    for (const auto& [key, entry] : calls_) {
      if (entry.gate_incarnation == gate_incarnation_)
        calls.push_back(entry.call);
    }
  }
  for (const auto& call : calls)
    link.Send(MakeFrame(AttachFrame(*call))).IgnoreError();
}

fb::AttachT GateLink::AttachFrame(const Call& call) const {
  fb::AttachT attach;
  attach.request = call.request();
  attach.attempt = call.attempt();
  attach.router = self_.incarnation;
  attach.from_sequence = call.next_sequence();
  attach.budget = call.claim().budget;
  attach.fence = call.claim().fence;
  return attach;
}

std::shared_ptr<Call> GateLink::FindCall(const std::string& request,
                                         int32_t attempt) const {
  std::lock_guard lock(mutex_);
  auto found = calls_.find({request, attempt});
  return found == calls_.end() ? nullptr : found->second.call;
}

absl::Status GateLink::Register(const std::shared_ptr<Call>& call,
                                const fb::FrameT& frame,
                                const std::string& gate_incarnation) {
  std::shared_ptr<FrameLink> link;
  CallKey key(call->request(), call->attempt());
  {
    std::lock_guard lock(mutex_);
    if (!ready_link_ || gate_incarnation_ != gate_incarnation)
      return ErrorAt(absl::StatusCode::kUnavailable, "gate.send", server_,
                     "no connection to gate " + gate_incarnation);
    link = ready_link_;
    calls_[key] = RegisteredCall{call, gate_incarnation};
  }
  absl::Status status = link->Send(frame);
  if (status.ok())
    return status;
  std::lock_guard lock(mutex_);
  calls_.erase(key);
  return Annotate(status, "gate.send", server_);
}

absl::Status GateLink::Dispatch(const std::shared_ptr<Call>& call,
                                fb::DispatchT dispatch,
                                const std::string& gate_incarnation) {
  return Register(call, MakeFrame(std::move(dispatch)), gate_incarnation);
}

absl::Status GateLink::Attach(const std::shared_ptr<Call>& call) {
  return Register(call, MakeFrame(AttachFrame(*call)), gate_incarnation());
}

void GateLink::Cancel(const Call& call) {
  fb::CancelT cancel;
  cancel.request = call.request();
  cancel.attempt = call.attempt();
  std::shared_ptr<FrameLink> link;
  {
    std::lock_guard lock(mutex_);
    link = ready_link_;
  }
  if (link)
    link->Send(MakeFrame(std::move(cancel))).IgnoreError();
}

void GateLink::SendSettled(const std::string& request) {
  fb::SettledT settled;
  settled.request = request;
  std::shared_ptr<FrameLink> link;
  {
    std::lock_guard lock(mutex_);
    link = ready_link_;
  }
  if (link)
    link->Send(MakeFrame(std::move(settled))).IgnoreError();
}

void GateLink::Unregister(const Call& call) {
  std::lock_guard lock(mutex_);
  calls_.erase({call.request(), call.attempt()});
}

bool GateLink::HasCallsThrough(const std::string& gate_incarnation) const {
  std::lock_guard lock(mutex_);
  return std::any_of(calls_.begin(), calls_.end(), [&](const auto& item) {
    return item.second.gate_incarnation == gate_incarnation;
  });
}

}  // namespace hawthornhollow
