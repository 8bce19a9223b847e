// One mutex guards the request table and the list of links. No I/O is waited
// for while it is held: sending a frame only queues it, and starting or
// cancelling a run spawns a fiber. A link whose send queue is full is closed,
// since a dropped frame would leave a gap in an answer. The router then opens a
// new link and attaches to its requests again.
//
// Only routers that are open according to the records of the "members" stream
// are served. A router may connect before this process has read the router's
// RouterOpen record, so an unknown router is refused only after
// kRouterOpenTimeout.

#include "hawthornhollow/gate/router_link_server.h"

#include <algorithm>
#include <mutex>
#include <utility>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/http/request_account.h"
#include "hawthornhollow/metrics/metrics.h"

namespace hawthornhollow {
namespace {

constexpr absl::Duration kLoadInterval = absl::Milliseconds(250);
constexpr absl::Duration kRouterOpenTimeout = absl::Seconds(1);
// Delay between refusing a router and closing its link, so that the refusal is
// written first.
constexpr absl::Duration kRefusalCloseDelay = absl::Milliseconds(200);

using Lock = std::lock_guard<boost::fibers::mutex>;

template <typename... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

}  // namespace

RouterLinkServer::RouterLinkServer(Runtime& runtime,
                                   const SidecarIdentity& identity,
                                   const RequestTableOptions& table_options,
                                   const BackendRunnerOptions& runner_options)
    : identity_(identity),
      runner_(BackendRunner::Create(runtime, runner_options, MakeRunEvents())),
      table_(identity, table_options) {}

RunEvents RouterLinkServer::MakeRunEvents() {
  RunEvents events;
  events.on_head = [this](int64_t run, int32_t status, std::string type) {
    Lock lock(mutex_);
    Perform(table_.OnHead(run, status, std::move(type)));
  };
  events.on_data = [this](int64_t run, std::string_view bytes) {
    Lock lock(mutex_);
    Perform(table_.OnData(run, bytes));
  };
  events.on_end = [this](int64_t run, const RunEnd& end) {
    Lock lock(mutex_);
    Perform(table_.OnEnd(run, end, absl::Now()));
    BroadcastLoadIfChanged();
  };
  return events;
}

// ---------------------------------------------------------------------------
// Links

void RouterLinkServer::Serve(std::unique_ptr<TcpStream> stream) {
  const std::shared_ptr<FrameLink> link =
      FrameLink::Create(std::move(stream), FrameLinkOptions());
  int64_t id = 0;
  {
    Lock lock(mutex_);
    if (replaced_) {
      return;
    }
    id = next_link_++;
    links_[id].link = link;
  }
  const absl::Status status =
      link->Run([&](const fb::FrameT& frame) { OnFrame(id, frame); });
  Lock lock(mutex_);
  LogEvent("gate.link_ended")
      .Add("peer", link->peer().ToString())
      .Add("router", links_[id].router)
      .Add("reason", status);
  links_.erase(id);
  table_.OnLinkClosed(id, absl::Now());
}

void RouterLinkServer::OnFrame(int64_t id, const fb::FrameT& frame) {
  Lock lock(mutex_);
  if (links_[id].superseded) {
    return;
  }
  if (const fb::HelloT* hello = frame.body.AsHello()) {
    OnHello(id, *hello);
    return;
  }
  if (!MayServe(links_[id])) {
    RefuseNotReady(id, frame);
    return;
  }
  OnRequestFrame(RouterLink{id, links_[id].router}, frame);
}

// Frames of a sealed router are passed to the table, which refuses them with
// the reason Sealed.
bool RouterLinkServer::MayServe(const OpenLink& link) const {
  return ready_ && !link.router.empty() &&
         (open_routers_.contains(link.router) || table_.IsSealed(link.router));
}

void RouterLinkServer::OnHello(int64_t id, const fb::HelloT& hello) {
  OpenLink& link = links_[id];
  const bool accepted = hello.protocol == kFrameProtocol &&
                        !hello.incarnation.empty() && link.router.empty() &&
                        !table_.IsSealed(hello.incarnation);
  LogEvent("gate.hello")
      .Add("peer", link.link->peer().ToString())
      .Add("router", hello.incarnation)
      .Add("protocol", hello.protocol)
      .Add("accepted", static_cast<int>(accepted));
  if (!accepted) {
    link.link->Close();
    return;
  }
  CloseOlderLinks(id, hello.incarnation);
  link.router = hello.incarnation;
  AnswerHello(id, link, absl::Now());
  if (!ready_) {
    RefuseNotReady(id, fb::FrameT());
  }
}

// Answers the Hello. If the router is not registered as open yet, sets the time
// by which its RouterOpen record must have been read instead.
void RouterLinkServer::AnswerHello(int64_t id, OpenLink& link, absl::Time now) {
  if (!ready_ || link.hello_answered || link.router.empty()) {
    return;
  }
  if (!open_routers_.contains(link.router)) {
    link.refuse_at = std::min(link.refuse_at, now + kRouterOpenTimeout);
    return;
  }
  link.hello_answered = true;
  link.refuse_at = absl::InfiniteFuture();
  SendHello(id);
}

void RouterLinkServer::RefuseUnregisteredRouters(absl::Time now) {
  for (auto& [id, link] : links_) {
    if (now >= link.close_at) {
      link.link->Close();
    }
    if (now < link.refuse_at) {
      continue;
    }
    LogEvent("gate.router_not_open", LogSeverity::kWarning)
        .Add("router", link.router);
    RefuseNotReady(id, fb::FrameT());
    link.refuse_at = absl::InfiniteFuture();
    link.close_at = now + kRefusalCloseDelay;
  }
}

// Closes the router's other links. A frame that was delayed on an older link
// must not be processed after the frames of the router's new link.
void RouterLinkServer::CloseOlderLinks(int64_t id, const std::string& router) {
  for (auto& [other, link] : links_) {
    if (other != id && link.router == router) {
      link.superseded = true;
      link.link->Close();
    }
  }
}

void RouterLinkServer::SendHello(int64_t id) {
  fb::HelloT hello;
  hello.name = identity_.name;
  hello.incarnation = identity_.incarnation;
  hello.server = identity_.server;
  hello.protocol = kFrameProtocol;
  SendTo(id, MakeFrame(std::move(hello)));
  SendLoad(id);
}

void RouterLinkServer::SendLoad(int64_t id) {
  fb::LoadT load = table_.Load(links_.at(id).router);
  load.kv_used = static_cast<float>(kv_used_);
  SendTo(id, MakeFrame(std::move(load)));
}

void RouterLinkServer::RefuseNotReady(int64_t id, const fb::FrameT& frame) {
  fb::RefusedT refused;
  refused.reason = fb::RefusalReason::NotReady;
  if (const fb::DispatchT* dispatch = frame.body.AsDispatch()) {
    refused.request = dispatch->request;
    refused.attempt = dispatch->attempt;
  } else if (const fb::AttachT* attach = frame.body.AsAttach()) {
    refused.request = attach->request;
    refused.attempt = attach->attempt;
  }
  SendTo(id, MakeFrame(std::move(refused)));
}

void RouterLinkServer::OnRequestFrame(const RouterLink& link,
                                      const fb::FrameT& frame) {
  if (const fb::DispatchT* dispatch = frame.body.AsDispatch()) {
    Perform(table_.OnDispatch(link, *dispatch, absl::Now()));
    BroadcastLoadIfChanged();
  } else if (const fb::AttachT* attach = frame.body.AsAttach()) {
    Perform(table_.OnAttach(link, *attach));
  } else if (const fb::CancelT* cancel = frame.body.AsCancel()) {
    Perform(table_.OnCancel(link, *cancel));
  } else if (const fb::SettledT* settled = frame.body.AsSettled()) {
    table_.OnSettled(settled->request);
  } else if (const fb::SealT* seal = frame.body.AsSeal()) {
    SealLocked(seal->router);
  }
}

void RouterLinkServer::SendTo(int64_t id, const fb::FrameT& frame) {
  const auto it = links_.find(id);
  if (it == links_.end()) {
    return;
  }
  const absl::Status status = it->second.link->Send(frame);
  if (status.ok() || absl::IsUnavailable(status)) {
    return;
  }
  LogEvent("gate.send", LogSeverity::kWarning).Add("error", status);
  it->second.link->Close();
}

void RouterLinkServer::Perform(SidecarActions actions) {
  for (SidecarAction& action : actions) {
    std::visit(
        Overloaded{
            [&](const SendFrameAction& send) { SendTo(send.link, send.frame); },
            [&](const StartRunAction& start) {
              runner_->Start(start.run, start.dispatch);
            },
            [&](const StopRunAction& stop) {
              runner_->Stop(stop.run, stop.request);
            },
        },
        action);
  }
}

// ---------------------------------------------------------------------------
// State changes and queries

void RouterLinkServer::SetReady() {
  Lock lock(mutex_);
  ready_ = true;
  for (auto& [id, link] : links_) {
    AnswerHello(id, link, absl::Now());
  }
}

void RouterLinkServer::SetOpenRouters(std::set<std::string> routers) {
  Lock lock(mutex_);
  if (routers == open_routers_) {
    return;
  }
  open_routers_ = std::move(routers);
  for (auto& [id, link] : links_) {
    AnswerHello(id, link, absl::Now());
  }
}

void RouterLinkServer::SetReplaced() {
  Lock lock(mutex_);
  replaced_ = true;
  ready_ = false;
  for (const auto& [id, link] : links_) {
    link.link->Close();
  }
}

void RouterLinkServer::SetLeaving() {
  Lock lock(mutex_);
  table_.SetLeaving();
  BroadcastLoad(absl::Now());
}

void RouterLinkServer::Seal(const std::string& router) {
  Lock lock(mutex_);
  SealLocked(router);
}

void RouterLinkServer::SealLocked(const std::string& router) {
  if (router.empty() || table_.IsSealed(router)) {
    return;
  }
  LogEvent("gate.seal").Add("router", router);
  Perform(table_.Seal(router, absl::Now()));
  for (const auto& [id, link] : links_) {
    if (link.router == router) {
      link.link->Close();
    }
  }
}

void RouterLinkServer::CloseAll() {
  Lock lock(mutex_);
  for (const auto& [id, link] : links_) {
    link.link->Close();
  }
}

void RouterLinkServer::Tick(absl::Time now) {
  Lock lock(mutex_);
  Perform(table_.Tick(now));
  RefuseUnregisteredRouters(now);
  const bool changed = !sent_load_.has_value() || *sent_load_ != table_.Load();
  if (changed || now >= load_sent_at_ + kLoadInterval) {
    BroadcastLoad(now);
  }
}

void RouterLinkServer::BroadcastLoadIfChanged() {
  if (!sent_load_.has_value() || *sent_load_ != table_.Load()) {
    BroadcastLoad(absl::Now());
  }
}

void RouterLinkServer::BroadcastLoad(absl::Time now) {
  sent_load_ = table_.Load();
  load_sent_at_ = now;
  for (const auto& [id, link] : links_) {
    if (link.hello_answered) {
      SendLoad(id);
    }
  }
}

void RouterLinkServer::SetBackendLoad(const BackendLoad& load) {
  Lock lock(mutex_);
  kv_used_ = load.kv_used;
  if (load.slots > 0) {
    table_.SetSlots(load.slots);
  }
}

std::vector<DueBill> RouterLinkServer::TakeDueBills(absl::Time now, bool all) {
  Lock lock(mutex_);
  return table_.TakeDueBills(now, all);
}

void RouterLinkServer::OnBilled(const DueBill& bill) {
  Lock lock(mutex_);
  table_.OnBilled(bill);
}

void RouterLinkServer::OnBillFailed(const DueBill& bill) {
  Lock lock(mutex_);
  table_.OnBillFailed(bill);
}

int64_t RouterLinkServer::CountOpenRuns(std::string_view router) const {
  Lock lock(mutex_);
  return table_.CountOpenRuns(router);
}

int64_t RouterLinkServer::unbilled_runs() const {
  Lock lock(mutex_);
  return table_.unbilled_runs();
}

int64_t RouterLinkServer::running() const {
  Lock lock(mutex_);
  return table_.running();
}

bool RouterLinkServer::ready() const {
  Lock lock(mutex_);
  return ready_;
}

bool RouterLinkServer::leaving() const {
  Lock lock(mutex_);
  return table_.leaving();
}

std::string RouterLinkServer::RenderMetrics() const {
  MetricRegistry metrics;
  Lock lock(mutex_);
  const RequestTableCounters& counters = table_.counters();
  metrics.Count("gate_runs_total", {}, static_cast<double>(counters.runs));
  metrics.Count("gate_attached_total", {},
                static_cast<double>(counters.attached));
  metrics.Count("gate_refused_total", {},
                static_cast<double>(counters.refused));
  metrics.Count("gate_stopped_total", {},
                static_cast<double>(counters.stopped));
  metrics.Count("gate_ended_total", {}, static_cast<double>(counters.ended));
  metrics.Count("gate_bills_total", {}, static_cast<double>(counters.bills));
  metrics.Count("gate_evicted_answers_total", {},
                static_cast<double>(counters.evicted));
  metrics.Set("gate_running", {}, static_cast<double>(table_.running()));
  metrics.Set("gate_unsettled_runs", {},
              static_cast<double>(table_.unbilled_runs()));
  metrics.Set("gate_kept_bytes", {}, static_cast<double>(table_.kept_bytes()));
  metrics.Set("gate_remembered_requests", {},
              static_cast<double>(table_.remembered_requests()));
  metrics.Set("gate_links", {}, static_cast<double>(links_.size()));
  for (const auto& [reason, count] :
       RequestAccount::OfProcess()->refusals().ByReason()) {
    metrics.Set("http_refused_total", {{"reason", std::string(reason)}},
                static_cast<double>(count));
  }
  return metrics.Render();
}

}  // namespace hawthornhollow
