// Assumed load: hundreds of routers, of which each is the coordinator of a few
// servers or none. A request that is told to a coordinator causes two more
// messages, its first token and its end; they go together, or with the next
// question, as far as there are several.
//
// A coordinator that does not answer is left alone for a while, so that
// requests do not wait for it again and again. Killed routers stay known until
// they start again, so whether a coordinator is up is judged by its answers.

#include "hawthornhollow/relay/load_peers.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace hawthornhollow {

LoadPeers::LoadPeers(std::string router,
                     const LoadPeersOptions& options,
                     const LoadCalls& calls)
    : router_(std::move(router)), options_(options), calls_(calls) {}

std::optional<PlacementReply> LoadPeers::Ask(const RouterAddress& coordinator,
                                             PlacementQuestion question,
                                             absl::Duration timeout) {
  Peer& peer = PeerOf(coordinator);
  // The notice of a request must not arrive after its end.
  if (!peer.is_sending && peer.report.notices.empty())
    question.progress = std::exchange(peer.report.progress, {});
  auto reply = calls_.ask(coordinator.address, question, timeout);
  if (reply.ok()) {
    OnAnswered(coordinator.router);
    return *std::move(reply);
  }
  LogEvent("load.ask_failed", LogSeverity::kWarning)
      .Add("peer", coordinator.router)
      .Add("request", question.request.id)
      .Add("timeout_ms", absl::ToInt64Milliseconds(timeout))
      .Add("pause_ms", absl::ToInt64Milliseconds(options_.ask_pause))
      .Add("reason", reply.status());
  OnSilent(coordinator.router, question.progress);
  return std::nullopt;
}

void LoadPeers::Tell(const RouterAddress& coordinator, PlacementNotice notice) {
  LoadReport& report = PeerOf(coordinator).report;
  report.notices.push_back(std::move(notice));
  Trim(&report);
}

void LoadPeers::Tell(const RouterAddress& coordinator,
                     PlacementProgress progress) {
  LoadReport& report = PeerOf(coordinator).report;
  report.progress.push_back(std::move(progress));
  Trim(&report);
}

void LoadPeers::Trim(LoadReport* report) const {
  const auto trim = [&](auto& entries) {
    if (entries.size() > options_.max_report_entries) {
      entries.erase(entries.begin(),
                    entries.end() - static_cast<std::ptrdiff_t>(
                                        options_.max_report_entries));
    }
  };
  trim(report->notices);
  trim(report->progress);
}

void LoadPeers::SendReports() {
  const absl::Time now = calls_.now();
  for (auto& [router, peer] : peers_) {
    const LoadReport& report = peer->report;
    if (peer->is_sending || peer->paused_until > now ||
        (report.notices.empty() && report.progress.empty()))
      continue;
    peer->is_sending = true;
    calls_.spawn(
        [this, router = router, peer = peer] { Send(router, peer.get()); });
  }
}

void LoadPeers::Send(const std::string& coordinator, Peer* peer) {
  LoadReport report = std::exchange(peer->report, {});
  report.router = router_;
  const absl::Status status = calls_.report(peer->address, report);
  peer->is_sending = false;
  if (status.ok()) {
    OnAnswered(coordinator);
    return;
  }
  LogEvent("load.report_failed", LogSeverity::kWarning)
      .Add("peer", coordinator)
      .Add("notices", report.notices.size())
      .Add("progress", report.progress.size())
      .Add("reason", status);
  OnSilent(coordinator, report.progress);
}

bool LoadPeers::IsPaused(const std::string& router) const {
  const auto found = peers_.find(router);
  return found != peers_.end() && found->second->paused_until > calls_.now();
}

bool LoadPeers::IsDead(const std::string& router) const {
  const auto found = peers_.find(router);
  return found != peers_.end() &&
         found->second->last_failure - found->second->first_failure >=
             options_.dead_after;
}

void LoadPeers::Probe(const RouterAddress& router, absl::Duration interval) {
  Peer& peer = PeerOf(router);
  const absl::Time now = calls_.now();
  if (now - peer.probed < interval || calls_.is_link_busy())
    return;
  peer.probed = now;
  calls_.spawn([this, router] {
    Ask(router, {.router = router_}, options_.ask_timeout);
  });
}

void LoadPeers::KeepRouters(const std::vector<RouterAddress>& known) {
  std::set<std::string_view> present;
  for (const RouterAddress& router : known)
    present.insert(router.router);
  std::erase_if(peers_, [&](const auto& item) {
    return !item.second->is_sending && !present.contains(item.first);
  });
}

LoadPeers::Peer& LoadPeers::PeerOf(const RouterAddress& router) {
  auto& peer = peers_[router.router];
  if (peer == nullptr)
    peer = std::make_shared<Peer>();
  peer->address = router.address;
  return *peer;
}

void LoadPeers::OnAnswered(const std::string& router) {
  const auto found = peers_.find(router);
  if (found == peers_.end())
    return;
  if (IsDead(router))
    LogEvent("load.coordinator_back").Add("peer", router);
  found->second->paused_until = absl::InfinitePast();
  found->second->first_failure = absl::InfiniteFuture();
  found->second->last_failure = absl::InfinitePast();
}

// Only ends are told again: a request that has ended would hold its slot and
// memory at the coordinator until it expires.
void LoadPeers::OnSilent(const std::string& router,
                         const std::vector<PlacementProgress>& progress) {
  const auto found = peers_.find(router);
  if (found == peers_.end())
    return;
  Peer& peer = *found->second;
  const absl::Time now = calls_.now();
  const bool was_dead = IsDead(router);
  peer.paused_until = now + options_.ask_pause;
  peer.first_failure = std::min(peer.first_failure, now);
  peer.last_failure = now;
  if (!was_dead && IsDead(router)) {
    LogEvent("load.coordinator_lost", LogSeverity::kWarning)
        .Add("peer", router)
        .Add("silent_ms", absl::ToInt64Milliseconds(now - peer.first_failure));
  }
  for (const PlacementProgress& entry : progress) {
    if (entry.event == PlacementEvent::kEnded)
      peer.report.progress.push_back(entry);
  }
  Trim(&peer.report);
}

}  // namespace hawthornhollow
