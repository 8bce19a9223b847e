// Every router reads the "config" stream and also holds a link to each peer. An
// entry that it applies it sends on at once, so that a router cut off from the
// log learns it from whichever peer still reads the log. The fold takes a
// pushed entry only at the very next offset; one that is further behind is sent
// what it misses from the recent entries that its peer keeps.
//
// A snapshot is current while this router has read the log's end lately, or a
// peer that has done so says (once a second) that it is no further. Where
// neither holds, either the log is away for everyone, and nothing can be
// published, or this router is cut off. The two look the same from inside, so
// the router goes on only while it is in contact with more than half of the
// routers, itself included, and is as far as each of them. A router that was
// paused or cut off with a few others takes no new requests.

#include "hawthornhollow/router/config_controller.h"

#include <algorithm>
#include <utility>

#include "hawthornhollow/base/base.h"

namespace hawthornhollow {
namespace {

constexpr char kStream[] = "config";
constexpr size_t kRecentEntries = 64;
constexpr absl::Duration kPeerConnectTimeout = absl::Seconds(1);
constexpr absl::Duration kPeerReconnect = absl::Milliseconds(500);

std::vector<uint8_t> ToBytes(const std::string& text) {
  return std::vector<uint8_t>(text.begin(), text.end());
}

std::string ToText(const std::vector<uint8_t>& bytes) {
  return std::string(bytes.begin(), bytes.end());
}

}  // namespace

ConfigController::ConfigController(Runtime& runtime,
                                   HttpLogClient& log,
                                   FiberGroup& fibers,
                                   const ConfigControllerOptions& options,
                                   OnChange on_change)
    : runtime_(runtime),
      fibers_(fibers),
      options_(options),
      on_change_(std::move(on_change)) {
  writer_ = StreamWriter<HttpLogClient>::Create(
      log, kStream, options_.incarnation, StreamWriterOptions());
  StreamFollowerCallbacks callbacks;
  callbacks.on_verdicts = [this](int64_t offset,
                                 const std::vector<Verdict>& verdicts) {
    OnVerdicts(offset, verdicts);
  };
  callbacks.on_restored = [this](int64_t) { TakeUpFold(); };
  follower_ = StreamFollower<ConfigFold, HttpLogClient>::Create(
      log, kStream, StreamFollowerOptions(), std::move(callbacks));
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
  fibers_.Spawn([this] { NoticeLoop(); });
  for (const Endpoint& peer : options_.peers)
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
  if (ReadsLog())
    return true;
  absl::Time now = absl::Now();
  int64_t applied = follower_->applied_offset();
  size_t in_contact = 1;
  std::lock_guard lock(mutex_);
  for (const auto& [name, peer] : peers_heard_) {
    if (now - peer.heard_at >= options_.current_for)
      continue;
    if (peer.offset > applied)
      return false;
    if (peer.log_read)
      return true;
    ++in_contact;
  }
  return in_contact * 2 > options_.peers.size() + 1;
}

ConfigTraffic ConfigController::traffic() const {
  std::lock_guard lock(mutex_);
  return traffic_;
}

// ---------------------------------------------------------------------------
// Versions

void ConfigController::TakeUpFold() {
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
  TakeUpFold();
  if (verdicts.empty())
    return;
  Batch batch;
  batch.writer = verdicts.front().writer;
  for (const Verdict& verdict : verdicts)
    batch.records.push_back(verdict.record);
  fb::ConfigNoticeT notice;
  notice.offset = offset;
  notice.version = follower_->WithFold(
      [](const ConfigFold& fold) { return fold.version(); });
  std::string bytes = EncodeBatch(batch);
  notice.batch = ToBytes(bytes);
  notice.log_read = ReadsLog();
  {
    std::lock_guard lock(mutex_);
    recent_[offset] = std::move(bytes);
    if (recent_.size() > kRecentEntries)
      recent_.erase(recent_.begin());
  }
  if (follower_->ever_caught_up())
    Notify(notice);
}

// ---------------------------------------------------------------------------
// Peers

void ConfigController::Notify(const fb::ConfigNoticeT& notice) {
  std::vector<std::shared_ptr<FrameLink>> links;
  {
    std::lock_guard lock(mutex_);
    for (const auto& [peer, link] : outgoing_)
      links.push_back(link);
  }
  fb::FrameT frame = MakeFrame(notice);
  int64_t bytes = static_cast<int64_t>(EncodeFrame(frame).size());
  for (const auto& link : links) {
    if (!link->Send(frame).ok())
      continue;
    std::lock_guard lock(mutex_);
    ++traffic_.notices_sent;
    traffic_.notice_bytes_sent += bytes;
  }
}

void ConfigController::NoticeLoop() {
  while (!fibers_.stopped()) {
    fb::ConfigNoticeT notice;
    notice.offset = follower_->applied_offset();
    notice.version = follower_->WithFold(
        [](const ConfigFold& fold) { return fold.version(); });
    notice.log_read = ReadsLog();
    if (follower_->ever_caught_up())
      Notify(notice);
    hawthornhollow::SleepFor(options_.notice_interval);
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
      if (!fibers_.stopped())
        link->Run([](const fb::FrameT&) {}).IgnoreError();
      std::lock_guard lock(mutex_);
      outgoing_.erase(peer.ToString());
    }
    if (!fibers_.stopped())
      hawthornhollow::SleepFor(kPeerReconnect);
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
      OnNotice(peer, *frame.body.AsConfigNotice());
  });
  LogEvent("peer.link.ended", LogSeverity::kDebug)
      .Add("peer", link->peer().ToString())
      .Add("reason", end);
}

void ConfigController::OnNotice(const std::string& peer,
                                const fb::ConfigNoticeT& notice) {
  if (!notice.batch.empty())
    follower_->Push(notice.offset, ToText(notice.batch));
  {
    std::lock_guard lock(mutex_);
    peers_heard_[peer] = PeerHeard{absl::Now(), notice.offset, notice.log_read};
  }
  SendMissing(notice.offset);
}

void ConfigController::SendMissing(int64_t peer_offset) {
  int64_t applied = follower_->applied_offset();
  if (peer_offset >= applied || !follower_->ever_caught_up())
    return;
  std::vector<fb::ConfigNoticeT> missing;
  {
    std::lock_guard lock(mutex_);
    for (auto it = recent_.upper_bound(peer_offset); it != recent_.end();
         ++it) {
      fb::ConfigNoticeT notice;
      notice.offset = it->first;
      notice.batch = ToBytes(it->second);
      missing.push_back(std::move(notice));
    }
  }
  for (fb::ConfigNoticeT& notice : missing) {
    notice.log_read = ReadsLog();
    Notify(notice);
  }
}

bool ConfigController::ReadsLog() const {
  return absl::Now() - follower_->last_read_ok() < options_.current_for;
}

}  // namespace hawthornhollow
