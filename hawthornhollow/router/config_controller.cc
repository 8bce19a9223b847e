// Every router reads the "config" stream of the log and also keeps links to its
// peers, the other routers. It sends each entry that it applies to its peers at
// once, so that a router that cannot reach the log learns the entry from any
// peer that can. A pushed entry is applied only if it is at the very next
// offset. A router that is further behind receives the missing entries from
// those that its peer has kept.
//
// A snapshot is current if it was confirmed as the newest less than
// `freshness_limit` ago. There are two kinds of confirmation. A read of the log
// that found nothing more counts from the time when the read was sent. The
// reply of a peer that has no newer entry counts from the time when the query
// was sent, less the age of the peer's own confirmation. The time of arrival is
// never used, because a process that was paused finds old replies in its
// sockets.
//
// If no confirmation is recent enough, either the log is unavailable to all
// routers, and nothing can be published, or only this router is cut off. It
// cannot tell these cases apart. It therefore serves requests only while a
// majority of the routers that it links to, itself included, reply and have no
// newer entry. A router that was paused, or is cut off together with a few
// others, accepts no new requests.

#include "hawthornhollow/router/config_controller.h"

#include <algorithm>
#include <utility>

#include "hawthornhollow/base/base.h"

namespace hawthornhollow {
namespace {

constexpr char kStream[] = "config";
constexpr size_t kRecentEntries = 64;
constexpr absl::Duration kPeerConnectTimeout = absl::Seconds(1);
constexpr absl::Duration kPeerReconnectDelay = absl::Milliseconds(500);

std::vector<uint8_t> ToBytes(const std::string& text) {
  return std::vector<uint8_t>(text.begin(), text.end());
}

std::string ToText(const std::vector<uint8_t>& bytes) {
  return std::string(bytes.begin(), bytes.end());
}

using SteadyClock = std::chrono::steady_clock;

int64_t ToMicros(SteadyClock::duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

}  // namespace

std::vector<Endpoint> LinkedPeers(const ConfigControllerOptions& options) {
  if (options.peer_links == PeerLinks::kAll)
    return options.peers;
  std::vector<Endpoint> ring = options.peers;
  ring.push_back(options.peer_listen);
  std::sort(ring.begin(), ring.end());
  auto self = std::find(ring.begin(), ring.end(), options.peer_listen);
  std::rotate(ring.begin(), self, ring.end());
  std::vector<Endpoint> linked;
  for (size_t distance = 1; distance < ring.size(); distance *= 2)
    linked.push_back(ring[distance]);
  return linked;
}

ConfigController::ConfigController(Runtime& runtime,
                                   HttpLogClient& log,
                                   FiberGroup& fibers,
                                   const ConfigControllerOptions& options,
                                   OnChange on_change)
    : runtime_(runtime),
      fibers_(fibers),
      options_(options),
      linked_peers_(LinkedPeers(options)),
      on_change_(std::move(on_change)) {
  writer_ = StreamWriter<HttpLogClient>::Create(
      log, kStream, options_.incarnation, StreamWriterOptions());
  StreamFollowerCallbacks callbacks;
  callbacks.on_verdicts = [this](int64_t offset,
                                 const std::vector<Verdict>& verdicts) {
    OnVerdicts(offset, verdicts);
  };
  callbacks.on_restored = [this](int64_t offset) {
    RefreshSnapshot();
    snapshot_offset_ = offset;
  };
  follower_ = StreamFollower<ConfigFold, HttpLogClient>::Create(
      log, kStream, StreamFollowerOptions(), std::move(callbacks));
  follower_->RegisterWriter(*writer_);
}

absl::StatusOr<std::unique_ptr<ConfigController>> ConfigController::Create(
    Runtime& runtime,
    HttpLogClient& log,
    FiberGroup& fibers,
    const ConfigControllerOptions& options,
    OnChange on_change) {
  std::unique_ptr<ConfigController> controller(new ConfigController(
      runtime, log, fibers, options, std::move(on_change)));
  ConfigController* raw = controller.get();
  auto listener = TcpListener::Start(
      runtime, 0, options.peer_listen,
      [raw](std::unique_ptr<TcpStream> s) { raw->ServePeer(std::move(s)); });
  if (!listener.ok())
    return listener.status();
  controller->listener_ = std::move(*listener);
  return controller;
}

ConfigController::~ConfigController() = default;

void ConfigController::Start() {
  fibers_.Spawn([this] { writer_->Run(fibers_.stop()); });
  fibers_.Spawn([this] { follower_->Run(fibers_.stop()); });
  fibers_.Spawn([this] { QueryLoop(); });
  for (const Endpoint& peer : linked_peers_)
    fibers_.Spawn([this, peer] { RunPeerLink(peer); });
}

void ConfigController::Stop() {
  listener_->Stop();
  std::lock_guard lock(mutex_);
  for (const auto& [peer, link] : outgoing_)
    link->Close();
  for (const auto& weak : incoming_) {
    if (auto link = weak.lock())
      link->Close();
  }
}

absl::Status ConfigController::WaitCaughtUp(absl::Duration timeout) {
  return Annotate(follower_->WaitCaughtUp(timeout), "config.catch_up", kStream);
}

std::shared_ptr<const ConfigSnapshot> ConfigController::snapshot() const {
  std::lock_guard lock(mutex_);
  return snapshot_;
}

bool ConfigController::IsCurrent() const {
  if (!follower_->ever_caught_up())
    return false;
  SteadyTime now = SteadyClock::now();
  if (now - absl::ToChronoNanoseconds(options_.freshness_limit) <
      LastConfirmedAt())
    return true;
  return MajorityConfirmsSnapshot(now);
}

// The latest time at which the snapshot is known to have been the newest.
ConfigController::SteadyTime ConfigController::LastConfirmedAt() const {
  int64_t snapshot_offset = snapshot_offset_;
  SteadyTime confirmed_at =
      follower_->reached_end().value_or(SteadyTime::min());
  std::lock_guard lock(mutex_);
  for (const auto& [peer, reply] : peer_replies_) {
    if (reply.offset <= snapshot_offset)
      confirmed_at = std::max(confirmed_at, reply.confirmed_at);
  }
  return confirmed_at;
}

bool ConfigController::MajorityConfirmsSnapshot(SteadyTime now) const {
  int64_t snapshot_offset = snapshot_offset_;
  SteadyTime since = now - absl::ToChronoNanoseconds(options_.freshness_limit);
  size_t confirming_routers = 1;
  std::lock_guard lock(mutex_);
  for (const auto& [peer, reply] : peer_replies_) {
    if (reply.queried_at <= since)
      continue;
    if (reply.offset > snapshot_offset)
      return false;
    ++confirming_routers;
  }
  return confirming_routers * 2 > linked_peers_.size() + 1;
}

ConfigTraffic ConfigController::traffic() const {
  std::lock_guard lock(mutex_);
  return traffic_;
}

// ---------------------------------------------------------------------------
// Configuration versions

void ConfigController::RefreshSnapshot() {
  auto next = std::make_shared<ConfigSnapshot>();
  follower_->WithFold([&](const ConfigFold& fold) {
    next->version = fold.version();
    next->configuration = fold.configuration();
    if (!fold.history().empty()) {
      next->id = fold.history().back().id;
      next->offset = fold.history().back().offset;
    }
    return 0;
  });
  next->since = absl::Now();
  {
    std::lock_guard lock(mutex_);
    int64_t before = snapshot_ ? snapshot_->version : 0;
    if (!next->configuration || next->version <= before)
      return;
    snapshot_ = next;
  }
  LogEvent("config.in_force")
      .Add("version", next->version)
      .Add("change", next->id)
      .Add("offset", next->offset);
  on_change_(next);
}

void ConfigController::OnVerdicts(int64_t offset,
                                  const std::vector<Verdict>& verdicts) {
  RefreshSnapshot();
  snapshot_offset_ = offset;
  if (verdicts.empty())
    return;
  Batch batch;
  batch.writer = verdicts.front().writer;
  for (const Verdict& verdict : verdicts)
    batch.records.push_back(verdict.record);
  std::string bytes = EncodeBatch(batch);
  fb::ConfigNoticeT notice = MakeNotice();
  notice.offset = offset;
  notice.batch = ToBytes(bytes);
  {
    std::lock_guard lock(mutex_);
    recent_entries_[offset] = std::move(bytes);
    if (recent_entries_.size() > kRecentEntries)
      recent_entries_.erase(recent_entries_.begin());
  }
  if (follower_->ever_caught_up())
    SendNoticeToPeers(notice);
}

// ---------------------------------------------------------------------------
// Peers

fb::ConfigNoticeT ConfigController::MakeNotice() const {
  fb::ConfigNoticeT notice;
  notice.offset = snapshot_offset_;
  if (auto snapshot = this->snapshot())
    notice.version = snapshot->version;
  return notice;
}

void ConfigController::SendNotice(FrameLink& link,
                                  const fb::ConfigNoticeT& notice) {
  fb::FrameT frame = MakeFrame(notice);
  if (!link.Send(frame).ok())
    return;
  int64_t bytes = static_cast<int64_t>(EncodeFrame(frame).size());
  std::lock_guard lock(mutex_);
  ++traffic_.notices_sent;
  traffic_.notice_bytes_sent += bytes;
}

std::vector<std::shared_ptr<FrameLink>> ConfigController::OpenPeerLinks()
    const {
  std::vector<std::shared_ptr<FrameLink>> links;
  std::lock_guard lock(mutex_);
  for (const auto& [peer, link] : outgoing_)
    links.push_back(link);
  return links;
}

void ConfigController::SendNoticeToPeers(const fb::ConfigNoticeT& notice) {
  for (const auto& link : OpenPeerLinks())
    SendNotice(*link, notice);
}

void ConfigController::SendFrameToPeers(const fb::FrameT& frame) {
  for (const auto& link : OpenPeerLinks())
    link->Send(frame).IgnoreError();
}

void ConfigController::QueryLoop() {
  while (!fibers_.stopped()) {
    fb::ConfigNoticeT query = MakeNotice();
    query.asked_us = ToMicros(SteadyClock::now().time_since_epoch());
    SendNoticeToPeers(query);
    follower_->MaybeCheckpoint(*writer_);
    hawthornhollow::SleepFor(options_.query_interval);
  }
}

void ConfigController::RunPeerLink(const Endpoint& peer) {
  while (!fibers_.stopped()) {
    auto stream = TcpStream::Connect(peer, kPeerConnectTimeout);
    if (stream.ok()) {
      auto link = FrameLink::Create(std::move(*stream), FrameLinkOptions());
      fb::HelloT hello;
      hello.name = options_.name;
      hello.incarnation = options_.incarnation;
      hello.protocol = kFrameProtocol;
      link->Send(MakeFrame(std::move(hello))).IgnoreError();
      {
        std::lock_guard lock(mutex_);
        outgoing_[peer.ToString()] = link;
      }
      if (!fibers_.stopped()) {
        link->Run([&](fb::FrameT frame) {
              if (const auto* notice = frame.body.AsConfigNotice())
                OnReply(peer.ToString(), *notice);
            })
            .IgnoreError();
      }
      std::lock_guard lock(mutex_);
      outgoing_.erase(peer.ToString());
    }
    if (!fibers_.stopped())
      hawthornhollow::SleepFor(kPeerReconnectDelay);
  }
}

void ConfigController::ServePeer(std::unique_ptr<TcpStream> stream) {
  auto link = FrameLink::Create(std::move(stream), FrameLinkOptions());
  {
    std::lock_guard lock(mutex_);
    std::erase_if(incoming_, [](const auto& weak) { return weak.expired(); });
    incoming_.push_back(link);
  }
  std::string peer;
  absl::Status end = link->Run([&](fb::FrameT frame) {
    if (const auto* hello = frame.body.AsHello())
      peer = hello->protocol == kFrameProtocol ? hello->name : "";
    else if (!peer.empty() && frame.body.type == fb::FrameBody::ConfigNotice)
      OnQuery(*link, *frame.body.AsConfigNotice());
    else if (!peer.empty() && options_.on_peer_frame)
      options_.on_peer_frame(peer, frame);
  });
  LogEvent("peer.link.ended", LogSeverity::kDebug)
      .Add("peer", link->peer().ToString())
      .Add("reason", end);
}

void ConfigController::OnQuery(FrameLink& link,
                               const fb::ConfigNoticeT& notice) {
  if (!notice.batch.empty())
    follower_->Push(notice.offset, ToText(notice.batch));
  if (notice.asked_us == 0 || !follower_->ever_caught_up())
    return;
  SteadyTime confirmed_at = LastConfirmedAt();
  // The offset is read after LastConfirmedAt, so that it is not lower than the
  // offset that was confirmed.
  fb::ConfigNoticeT reply = MakeNotice();
  reply.answers_us = notice.asked_us;
  if (confirmed_at != SteadyTime::min())
    reply.log_age_us = ToMicros(SteadyClock::now() - confirmed_at);
  SendNotice(link, reply);
  SendMissingEntries(link, notice.offset);
}

void ConfigController::OnReply(const std::string& peer,
                               const fb::ConfigNoticeT& notice) {
  if (!notice.batch.empty())
    follower_->Push(notice.offset, ToText(notice.batch));
  if (notice.answers_us == 0)
    return;
  PeerReply reply;
  reply.queried_at = SteadyTime(std::chrono::microseconds(notice.answers_us));
  reply.offset = notice.offset;
  if (notice.log_age_us >= 0) {
    reply.confirmed_at =
        reply.queried_at - std::chrono::microseconds(notice.log_age_us);
  }
  std::lock_guard lock(mutex_);
  peer_replies_[peer] = reply;
}

// Sends those recent entries that the peer has not applied yet.
void ConfigController::SendMissingEntries(FrameLink& link,
                                          int64_t peer_offset) {
  std::vector<fb::ConfigNoticeT> missing;
  {
    std::lock_guard lock(mutex_);
    for (auto it = recent_entries_.upper_bound(peer_offset);
         it != recent_entries_.end(); ++it) {
      fb::ConfigNoticeT notice;
      notice.offset = it->first;
      notice.batch = ToBytes(it->second);
      missing.push_back(std::move(notice));
    }
  }
  for (const fb::ConfigNoticeT& notice : missing)
    SendNotice(link, notice);
}

}  // namespace hawthornhollow
