// Carries out the book's decisions on links and runs.
//
// One lock guards the book and the list of links. Nothing under it waits for
// I/O: sending queues a frame, starting and stopping a run spawn fibers. A link
// whose queue is full is closed rather than left with a hole in an answer; the
// router attaches again over a new one.
//
// Only routers that are open in the "members" stream are served. A router may
// connect before this process has read its RouterOpen, so a Hello of an unknown
// one waits for a moment before it is refused.

#include "hawthornhollow/gate/router_link_server.h"

#include <algorithm>
#include <mutex>
#include <utility>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/metrics/metrics.h"

namespace hawthornhollow {
namespace {

constexpr absl::Duration kLoadInterval = absl::Milliseconds(250);
constexpr absl::Duration kOpenWait = absl::Seconds(1);
// For the refusal to be written before its link is closed.
constexpr absl::Duration kRefusalLinger = absl::Milliseconds(200);

using Lock = std::lock_guard<boost::fibers::mutex>;

template <typename... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

}  // namespace

RouterLinks::RouterLinks(Runtime& runtime,
                         const GateIdentity& identity,
                         const GateBookOptions& book_options,
                         const BackendRunnerOptions& runner_options)
    : identity_(identity),
      runner_(BackendRunner::Create(runtime, runner_options, MakeRunEvents())),
      book_(identity, book_options) {}

RunEvents RouterLinks::MakeRunEvents() {
  RunEvents events;
  events.on_head = [this](int64_t run, int32_t status, std::string type) {
    Lock lock(mutex_);
    Perform(book_.OnHead(run, status, std::move(type)));
  };
  events.on_data = [this](int64_t run, std::string_view bytes) {
    Lock lock(mutex_);
    Perform(book_.OnData(run, bytes));
  };
  events.on_end = [this](int64_t run, const RunEnd& end) {
    Lock lock(mutex_);
    Perform(book_.OnEnd(run, end, absl::Now()));
    BroadcastIfChanged();
  };
  return events;
}

// ---------------------------------------------------------------------------
// Links

void RouterLinks::Serve(std::unique_ptr<TcpStream> stream) {
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
  book_.OnLinkClosed(id, absl::Now());
}

void RouterLinks::OnFrame(int64_t id, const fb::FrameT& frame) {
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

// A sealed router's frames go on to the book, which says why it refuses them.
bool RouterLinks::MayServe(const OpenLink& link) const {
  return ready_ && !link.router.empty() &&
         (open_routers_.contains(link.router) || book_.IsSealed(link.router));
}

void RouterLinks::OnHello(int64_t id, const fb::HelloT& hello) {
  OpenLink& link = links_[id];
  const bool accepted = hello.protocol == kFrameProtocol &&
                        !hello.incarnation.empty() && link.router.empty() &&
                        !book_.IsSealed(hello.incarnation);
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
  Greet(id, link, absl::Now());
  if (!ready_) {
    RefuseNotReady(id, fb::FrameT());
  }
}

// Answers the Hello, or sets the time until which the router's RouterOpen may
// still appear.
void RouterLinks::Greet(int64_t id, OpenLink& link, absl::Time now) {
  if (!ready_ || link.greeted || link.router.empty()) {
    return;
  }
  if (!open_routers_.contains(link.router)) {
    link.refuse_at = std::min(link.refuse_at, now + kOpenWait);
    return;
  }
  link.greeted = true;
  link.refuse_at = absl::InfiniteFuture();
  SendHello(id);
}

void RouterLinks::RefuseUnopened(absl::Time now) {
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
    link.close_at = now + kRefusalLinger;
  }
}

// A frame that was delayed on an older link must not be taken after the router
// has gone on over this one.
void RouterLinks::CloseOlderLinks(int64_t id, const std::string& router) {
  for (auto& [other, link] : links_) {
    if (other != id && link.router == router) {
      link.superseded = true;
      link.link->Close();
    }
  }
}

void RouterLinks::SendHello(int64_t id) {
  fb::HelloT hello;
  hello.name = identity_.name;
  hello.incarnation = identity_.incarnation;
  hello.server = identity_.server;
  hello.protocol = kFrameProtocol;
  SendTo(id, MakeFrame(std::move(hello)));
  SendLoad(id);
}

void RouterLinks::SendLoad(int64_t id) {
  fb::LoadT load = book_.Load(links_.at(id).router);
  load.kv_used = static_cast<float>(kv_used_);
  SendTo(id, MakeFrame(std::move(load)));
}

void RouterLinks::RefuseNotReady(int64_t id, const fb::FrameT& frame) {
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

void RouterLinks::OnRequestFrame(const RouterLink& link,
                                 const fb::FrameT& frame) {
  if (const fb::DispatchT* dispatch = frame.body.AsDispatch()) {
    Perform(book_.OnDispatch(link, *dispatch, absl::Now()));
    BroadcastIfChanged();
  } else if (const fb::AttachT* attach = frame.body.AsAttach()) {
    Perform(book_.OnAttach(link, *attach));
  } else if (const fb::CancelT* cancel = frame.body.AsCancel()) {
    Perform(book_.OnCancel(link, *cancel));
  } else if (const fb::SettledT* settled = frame.body.AsSettled()) {
    book_.OnSettled(settled->request);
  } else if (const fb::SealT* seal = frame.body.AsSeal()) {
    SealLocked(seal->router);
  }
}

void RouterLinks::SendTo(int64_t id, const fb::FrameT& frame) {
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

void RouterLinks::Perform(GateActions actions) {
  for (GateAction& action : actions) {
    std::visit(
        Overloaded{
            [&](const SendAction& send) { SendTo(send.link, send.frame); },
            [&](const StartAction& start) {
              runner_->Start(start.run, start.dispatch);
            },
            [&](const StopAction& stop) {
              runner_->Stop(stop.run, stop.request);
            },
        },
        action);
  }
}

// ---------------------------------------------------------------------------
// State

void RouterLinks::SetReady() {
  Lock lock(mutex_);
  ready_ = true;
  for (auto& [id, link] : links_) {
    Greet(id, link, absl::Now());
  }
}

void RouterLinks::SetOpenRouters(std::set<std::string> routers) {
  Lock lock(mutex_);
  if (routers == open_routers_) {
    return;
  }
  open_routers_ = std::move(routers);
  for (auto& [id, link] : links_) {
    Greet(id, link, absl::Now());
  }
}

void RouterLinks::SetReplaced() {
  Lock lock(mutex_);
  replaced_ = true;
  ready_ = false;
  for (const auto& [id, link] : links_) {
    link.link->Close();
  }
}

void RouterLinks::SetLeaving() {
  Lock lock(mutex_);
  book_.SetLeaving();
  BroadcastLoad(absl::Now());
}

void RouterLinks::Seal(const std::string& router) {
  Lock lock(mutex_);
  SealLocked(router);
}

void RouterLinks::SealLocked(const std::string& router) {
  if (router.empty() || book_.IsSealed(router)) {
    return;
  }
  LogEvent("gate.seal").Add("router", router);
  Perform(book_.Seal(router, absl::Now()));
  for (const auto& [id, link] : links_) {
    if (link.router == router) {
      link.link->Close();
    }
  }
}

void RouterLinks::CloseAll() {
  Lock lock(mutex_);
  for (const auto& [id, link] : links_) {
    link.link->Close();
  }
}

void RouterLinks::Tick(absl::Time now) {
  Lock lock(mutex_);
  Perform(book_.Tick(now));
  RefuseUnopened(now);
  const bool changed = !sent_load_.has_value() || *sent_load_ != book_.Load();
  if (changed || now >= load_sent_at_ + kLoadInterval) {
    BroadcastLoad(now);
  }
}

void RouterLinks::BroadcastIfChanged() {
  if (!sent_load_.has_value() || *sent_load_ != book_.Load()) {
    BroadcastLoad(absl::Now());
  }
}

void RouterLinks::BroadcastLoad(absl::Time now) {
  sent_load_ = book_.Load();
  load_sent_at_ = now;
  for (const auto& [id, link] : links_) {
    if (link.greeted) {
      SendLoad(id);
    }
  }
}

void RouterLinks::SetBackendLoad(const BackendLoad& load) {
  Lock lock(mutex_);
  kv_used_ = load.kv_used;
  if (load.slots > 0) {
    book_.SetSlots(load.slots);
  }
}

std::vector<DueBill> RouterLinks::TakeDueBills(absl::Time now, bool all) {
  Lock lock(mutex_);
  return book_.TakeDueBills(now, all);
}

void RouterLinks::OnBilled(const DueBill& bill) {
  Lock lock(mutex_);
  book_.OnBilled(bill);
}

void RouterLinks::OnBillFailed(const DueBill& bill) {
  Lock lock(mutex_);
  book_.OnBillFailed(bill);
}

int64_t RouterLinks::UnsettledRuns(std::string_view router) const {
  Lock lock(mutex_);
  return book_.UnsettledRuns(router);
}

int64_t RouterLinks::unsettled_runs() const {
  Lock lock(mutex_);
  return book_.unsettled_runs();
}

int64_t RouterLinks::running() const {
  Lock lock(mutex_);
  return book_.running();
}

bool RouterLinks::ready() const {
  Lock lock(mutex_);
  return ready_;
}

bool RouterLinks::leaving() const {
  Lock lock(mutex_);
  return book_.leaving();
}

std::string RouterLinks::RenderMetrics() const {
  MetricRegistry metrics;
  Lock lock(mutex_);
  const GateBookCounters& counters = book_.counters();
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
  metrics.Set("gate_running", {}, static_cast<double>(book_.running()));
  metrics.Set("gate_unsettled_runs", {},
              static_cast<double>(book_.unsettled_runs()));
  metrics.Set("gate_kept_bytes", {}, static_cast<double>(book_.kept_bytes()));
  metrics.Set("gate_remembered_requests", {},
              static_cast<double>(book_.remembered()));
  metrics.Set("gate_links", {}, static_cast<double>(links_.size()));
  return metrics.Render();
}

}  // namespace hawthornhollow
