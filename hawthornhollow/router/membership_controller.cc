// A heartbeat is a record in the log. Another router is suspected when its last
// one was seen too long ago, counted only over time in which this router read
// the stream's end: while the log is away nobody's heartbeats can arrive, and
// nobody could record a suspicion either. A pause of this process itself is
// noticed by the gap between two ticks and starts every count afresh.
//
// Suspicion is final and costs little: the router suspected takes a new
// incarnation. Its grants return when every gate that it could reach has sealed
// it. No clock takes part in that decision, only in when it is made.

#include "hawthornhollow/router/membership_controller.h"

#include <algorithm>
#include <utility>

#include "hawthornhollow/base/base.h"

namespace hawthornhollow {
namespace {

constexpr char kStream[] = "members";
constexpr absl::Duration kTick = absl::Milliseconds(200);
constexpr absl::Duration kPauseNoticed = absl::Seconds(2);
// Between tries of a record that several routers may write.
constexpr absl::Duration kTryAgain = absl::Seconds(2);
constexpr absl::Duration kFlushTimeout = absl::Seconds(1);

// Whether `times` has no entry for the name within `interval`; notes now.
bool Due(std::map<std::string, absl::Time>& times,
         const std::string& name,
         absl::Duration interval,
         absl::Time now) {
  auto [found, added] = times.try_emplace(name, now);
  if (added)
    return true;
  if (now - found->second < interval)
    return false;
  found->second = now;
  return true;
}

std::set<std::string> EndedGatesOf(const MembershipFold& fold) {
  std::set<std::string> ended;
  for (const auto& [incarnation, gate] : fold.gates()) {
    if (gate.closed || gate.lost)
      ended.insert(incarnation);
  }
  return ended;
}

size_t OpenRouters(const MembershipFold& fold) {
  return std::count_if(
      fold.routers().begin(), fold.routers().end(),
      [](const auto& item) { return item.second.state == RouterState::kOpen; });
}

}  // namespace

absl::Duration HeartbeatInterval(const MembershipOptions& options,
                                 size_t open_routers) {
  return std::max(options.alive_interval,
                  static_cast<int64_t>(open_routers) * options.alive_share);
}

absl::Duration SuspicionThreshold::Update(size_t open_routers, absl::Time now) {
  absl::Duration passed = updated_at_ == absl::InfinitePast()
                              ? absl::InfiniteDuration()
                              : now - updated_at_;
  absl::Duration target = std::max(
      options_.suspect_after,
      options_.suspect_intervals * HeartbeatInterval(options_, open_routers));
  threshold_ = std::max(target, threshold_ - passed);
  updated_at_ = now;
  return threshold_;
}

MembershipController::MembershipController(HttpLogClient& log,
                                           FiberGroup& fibers,
                                           const MembershipOptions& options,
                                           MembershipHooks hooks)
    : log_(log),
      fibers_(fibers),
      options_(options),
      hooks_(std::move(hooks)),
      suspicion_(options) {
  writer_ = StreamWriter<HttpLogClient>::Create(
      log_, kStream, options_.incarnation, StreamWriterOptions());
  StreamFollowerCallbacks callbacks;
  callbacks.on_verdicts = [this](int64_t,
                                 const std::vector<Verdict>& verdicts) {
    OnVerdicts(verdicts);
    hooks_.on_gates_ended(follower_->WithFold(EndedGatesOf));
  };
  follower_ = StreamFollower<MembershipFold, HttpLogClient>::Create(
      log_, kStream, StreamFollowerOptions(), std::move(callbacks));
  follower_->RegisterWriter(*writer_);
}

MembershipController::~MembershipController() = default;

void MembershipController::Start() {
  fibers_.Spawn([this] { writer_->Run(fibers_.stop()); });
  fibers_.Spawn([this] { follower_->Run(fibers_.stop()); });
  fibers_.Spawn([this] {
    while (!fibers_.stopped()) {
      Tick();
      hawthornhollow::SleepFor(kTick);
    }
  });
}

absl::Status MembershipController::Open(absl::Duration timeout) {
  auto sequence =
      writer_->Append(RouterOpenRecord{options_.incarnation, options_.name,
                                       options_.failure_domain},
                      Urgency::kUrgent);
  if (!sequence.ok())
    return sequence.status();
  auto verdict =
      follower_->WaitApplied(options_.incarnation, *sequence, timeout);
  if (!verdict.ok())
    return Annotate(verdict.status(), "members.open", kStream);
  open_ = true;
  return absl::OkStatus();
}

absl::Status MembershipController::Close(absl::Duration timeout) {
  open_ = false;
  auto sequence = writer_->Append(RouterClosedRecord{options_.incarnation},
                                  Urgency::kUrgent);
  if (!sequence.ok())
    return sequence.status();
  return Annotate(writer_->Flush(timeout), "members.close", kStream);
}

void MembershipController::OnVmList(const std::set<std::string>& names) {
  std::lock_guard lock(vm_mutex_);
  for (const std::string& name : vm_names_) {
    if (!names.contains(name))
      gone_vms_.insert(name);
  }
  for (const std::string& name : names)
    gone_vms_.erase(name);
  vm_names_ = names;
}

MembershipFold MembershipController::Snapshot() const {
  return follower_->WithFold([](const MembershipFold& fold) { return fold; });
}

void MembershipController::OnVerdicts(const std::vector<Verdict>& verdicts) {
  for (const Verdict& verdict : verdicts) {
    const auto* suspect =
        std::get_if<RouterSuspectRecord>(&verdict.record.body);
    if (!suspect || suspect->incarnation != options_.incarnation)
      continue;
    if (fenced_.exchange(true))
      continue;
    LogEvent("router.fenced", LogSeverity::kError)
        .Add("incarnation", options_.incarnation)
        .Add("by", verdict.writer)
        .Add("reason", suspect->reason);
    hooks_.on_fenced();
  }
}

void MembershipController::Tick() {
  absl::Time now = absl::Now();
  bool paused = now - last_tick_ > kPauseNoticed;
  last_tick_ = now;
  if (paused || !follower_->caught_up()) {
    for (auto& [incarnation, watch] : watched_)
      watch.seen_at = now;
    return;
  }
  MembershipFold fold = Snapshot();
  SendHeartbeat(OpenRouters(fold), now);
  WatchRouters(fold, now);
  hooks_.on_gates_ended(EndedGatesOf(fold));
  SettleLostGates(fold);
  CloseSealed(fold);
  follower_->MaybeCheckpoint(*writer_);
}

void MembershipController::SendHeartbeat(size_t open_routers, absl::Time now) {
  absl::Duration interval = HeartbeatInterval(options_, open_routers);
  if (!open_ || fenced_ || now - last_alive_ < interval)
    return;
  last_alive_ = now;
  writer_->Append(RouterAliveRecord{options_.incarnation}, Urgency::kLazy)
      .IgnoreError();
}

void MembershipController::WatchRouters(const MembershipFold& fold,
                                        absl::Time now) {
  std::set<std::string> gone;
  {
    std::lock_guard lock(vm_mutex_);
    gone = gone_vms_;
  }
  absl::Duration suspect_after = suspicion_.Update(OpenRouters(fold), now);
  for (const auto& [incarnation, router] : fold.routers()) {
    if (router.state != RouterState::kOpen ||
        incarnation == options_.incarnation)
      continue;
    Watch& watch = watched_[incarnation];
    if (watch.alive_offset != router.last_alive_offset) {
      watch.alive_offset = router.last_alive_offset;
      watch.seen_at = now;
    }
    if (gone.contains(router.name))
      Suspect(incarnation, "VM is gone");
    else if (now - watch.seen_at > suspect_after)
      Suspect(incarnation, "no heartbeat");
  }
}

void MembershipController::Suspect(const std::string& incarnation,
                                   const std::string& reason) {
  if (!Due(suspected_at_, incarnation, kTryAgain, absl::Now()))
    return;
  LogEvent("router.suspected", LogSeverity::kWarning)
      .Add("incarnation", incarnation)
      .Add("reason", reason);
  writer_->Append(RouterSuspectRecord{incarnation, reason}, Urgency::kUrgent)
      .IgnoreError();
}

void MembershipController::SettleLostGates(const MembershipFold& fold) {
  auto self = fold.routers().find(options_.incarnation);
  if (!open_ || self == fold.routers().end())
    return;
  for (const auto& [incarnation, gate] : fold.gates()) {
    if (!gate.lost || gate.ended_offset < self->second.opened_offset ||
        settled_gates_.contains(incarnation) ||
        hooks_.has_calls_through(incarnation))
      continue;
    if (!hooks_.flush_bills(kFlushTimeout).ok())
      return;
    settled_gates_.insert(incarnation);
    writer_
        ->Append(GateSettledRecord{options_.incarnation, incarnation},
                 Urgency::kUrgent)
        .IgnoreError();
  }
}

void MembershipController::CloseSealed(const MembershipFold& fold) {
  for (const auto& [incarnation, router] : fold.routers()) {
    if (router.state != RouterState::kSuspect ||
        !fold.IsSealingComplete(incarnation))
      continue;
    if (hooks_.is_account_closed(incarnation)) {
      if (Due(closing_at_, "members:" + incarnation, kTryAgain, absl::Now()))
        writer_->Append(RouterClosedRecord{incarnation}, Urgency::kUrgent)
            .IgnoreError();
      continue;
    }
    if (!Due(closing_at_, incarnation, kTryAgain, absl::Now()))
      continue;
    bool charge = fold.HasUnsettledLostGate(incarnation);
    LogEvent("account.closing")
        .Add("incarnation", incarnation)
        .Add("charge_remainder", charge ? "true" : "false");
    hooks_.close_accounts(incarnation, charge);
  }
}

}  // namespace hawthornhollow
