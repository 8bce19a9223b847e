// Assumed load: prompts that share long parts, at servers that take tens of
// requests each, and routers on VMs with little processor time. Each question
// costs both routers some of it, and the request a round trip. So the
// coordinator of the candidate that is preferred for the prompt's shared part
// is asked first, and told at which cost it is to place the request at once.
// That is what an empty server with the shared part in its cache would cost, if
// it delayed others as servers do on average, and a part of the latency target:
// most requests then need one question. Only if the first candidate costs more
// are the others asked, at the same time, and the request placed at the best.
//
// A coordinator that does not answer costs a request one time-out at most. Then
// the router chooses by its own view, and does not ask that coordinator for a
// while. A request whose answer is lost may be counted at a coordinator; its
// end is reported there like that of others, and if that fails it expires.

#include "hawthornhollow/relay/load_controller.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/fiber_signal.h"
#include "hawthornhollow/runtime/runtime.h"

namespace hawthornhollow {
namespace {

// Weight of the newest bid in the average delay.
constexpr double kBidWeight = 0.1;
// A request that was to be placed at a server whose room has gone since its bid
// is placed at the next best one this many times.
constexpr int kMaxPlaces = 2;

}  // namespace

std::string_view NameOf(PlacedBy placed_by) {
  constexpr std::string_view kNames[] = {
      "coordinator", "off", "link_busy", "no_answer", "unsettled", "no_room"};
  return kNames[static_cast<size_t>(placed_by)];
}

// Answers to questions that were asked at the same time. Shared with the fibers
// that ask, which may outlive the wait.
struct LoadController::Answers {
  std::vector<std::pair<Group, std::optional<PlacementReply>>> received;
  size_t missing = 0;
  FiberSignal changed;
};

struct LoadController::Course {
  const PlacementRequest& request;
  absl::Time deadline;
  // Of all candidates in their order, which matters to ChooseBid(); without
  // room until they are received.
  std::vector<PlacementBid> bids;
  std::set<std::string> asked;     // servers
  std::set<std::string> answered;  // servers
  bool has_silent = false;         // a coordinator did not answer
  LoadDecision decision;
};

LoadController::LoadController(std::string router,
                               const LoadControllerOptions& options,
                               LoadCalls calls)
    : router_(std::move(router)),
      options_(options),
      calls_(std::move(calls)),
      peers_(router_, options.peers, calls_),
      coordinator_(router_, options.coordinator),
      empty_server_(options.coordinator.server) {}

std::string LoadController::UniqueId(std::string_view request) {
  return absl::StrCat(std::string(request), "@", router_, ".",
                      ++request_count_);
}

LoadDecision LoadController::Place(const PlacementRequest& request,
                                   const PlacementShortlist& candidates) {
  if (!options_.is_on)
    return {.placed_by = PlacedBy::kOff};
  if (calls_.is_link_busy())
    return {.placed_by = PlacedBy::kLinkBusy};
  if (candidates.first.empty())
    return {.placed_by = PlacedBy::kOff};
  const absl::Time begin = calls_.now();
  LoadDecision decision = PlaceByBids(request, candidates);
  decision.took = calls_.now() - begin;
  return decision;
}

LoadDecision LoadController::PlaceByBids(const PlacementRequest& request,
                                         const PlacementShortlist& candidates) {
  Course course{.request = request,
                .deadline = calls_.now() + options_.place_timeout};
  for (const auto* servers : {&candidates.first, &candidates.more}) {
    for (const std::string& server : *servers)
      course.bids.push_back({.server = server});
  }
  if (AskFirst(candidates, &course))
    return course.decision;
  if (IsCrowded(request.service)) {
    course.decision.placed_by = PlacedBy::kNoRoom;
    return course.decision;
  }
  AskOthers(candidates.first, &course);
  if (PlaceAtBest(&course))
    return course.decision;
  AskOthers(candidates.more, &course);
  if (PlaceAtBest(&course))
    return course.decision;
  course.decision.placed_by = course.has_silent         ? PlacedBy::kNoAnswer
                              : course.answered.empty() ? PlacedBy::kUnsettled
                                                        : PlacedBy::kNoRoom;
  // A coordinator that is silent may know of room, and a server without
  // described memory may queue the request.
  if (candidates.is_whole_service && !course.has_silent &&
      course.answered.size() == course.bids.size() &&
      std::all_of(course.bids.begin(), course.bids.end(),
                  [&](const PlacementBid& bid) {
                    return coordinator_.HasMemoryLimit(bid.server);
                  })) {
    absl::Duration earliest = options_.max_retry_after;
    for (const PlacementBid& bid : course.bids)
      earliest = std::min(earliest, bid.first_token);
    course.decision.full_for = std::max(earliest, options_.min_retry_after);
  } else if (!coordinator_.HasMemoryLimit(candidates.first.front())) {
    crowded_until_[request.service] = calls_.now() + options_.crowded_pause;
  }
  return course.decision;
}

bool LoadController::IsCrowded(const std::string& service) const {
  const auto found = crowded_until_.find(service);
  return found != crowded_until_.end() && found->second > calls_.now();
}

bool LoadController::AskFirst(const PlacementShortlist& candidates,
                              Course* course) {
  const std::string& first = candidates.first.front();
  if (coordinator_.CoordinatorOf(first) == nullptr)
    return true;
  // Without a prompt no server is preferred, so one with a silent coordinator
  // is passed over.
  const bool has_prompt = course->request.prompt_tokens > 0;
  std::vector<Group> groups = GroupsOf(candidates.first, *course);
  if (!has_prompt) {
    std::erase_if(groups, [&](const Group& group) {
      return peers_.IsPaused(group.coordinator.router);
    });
  }
  if (groups.empty()) {
    course->decision.placed_by = PlacedBy::kNoAnswer;
    return true;
  }
  const Group& group = groups.front();
  const auto reply = Ask(group, GoodCost(course->request), course);
  if (TakeReply(group, reply, course))
    return true;
  // The others do not know whether the preferred server would be better, so
  // the router's own view decides, as it does without coordinators.
  if (course->answered.contains(first) || !has_prompt)
    return false;
  course->decision.placed_by =
      reply.has_value() ? PlacedBy::kUnsettled : PlacedBy::kNoAnswer;
  return true;
}

void LoadController::AskOthers(const std::vector<std::string>& servers,
                               Course* course) {
  const std::vector<Group> groups = GroupsOf(servers, *course);
  const auto answers = std::make_shared<Answers>();
  const absl::Duration timeout =
      std::min(options_.peers.ask_timeout, course->deadline - calls_.now());
  for (const Group& group : groups) {
    for (const std::string& server : group.servers)
      course->asked.insert(server);
    PlacementQuestion question{.router = router_,
                               .request = course->request,
                               .servers = group.servers};
    if (group.coordinator.router == router_) {
      answers->received.emplace_back(group, OnAsked(question));
      continue;
    }
    if (peers_.IsPaused(group.coordinator.router) ||
        timeout <= absl::ZeroDuration()) {
      course->has_silent = true;
      continue;
    }
    ++course->decision.messages;
    ++answers->missing;
    calls_.spawn([this, answers, group, timeout,
                  question = std::move(question)]() mutable {
      auto reply = peers_.Ask(group.coordinator, std::move(question), timeout);
      answers->received.emplace_back(group, std::move(reply));
      --answers->missing;
      answers->changed.Notify();
    });
  }
  const absl::Time end = calls_.now() + timeout;
  while (answers->missing > 0 && calls_.now() < end) {
    answers->changed.WaitForMoreThan(answers->changed.changes(),
                                     end - calls_.now());
  }
  if (answers->missing > 0)
    course->has_silent = true;
  for (const auto& [group, reply] : answers->received)
    TakeReply(group, reply, course);
}

bool LoadController::PlaceAtBest(Course* course) {
  for (int places = 0; places < kMaxPlaces; ++places) {
    const std::optional<size_t> best = ChooseBid(course->bids, course->request);
    if (!best.has_value())
      return false;
    const std::string server = course->bids[*best].server;
    const RouterAddress* const coordinator = coordinator_.CoordinatorOf(server);
    if (coordinator != nullptr) {
      const Group group{.coordinator = *coordinator, .servers = {server}};
      if (TakeReply(group, Ask(group, absl::InfiniteDuration(), course),
                    course))
        return true;
    }
    // TakeReply() has replaced the bid by a newer one, if there was any.
    course->bids[*best].has_room = false;
  }
  return false;
}

absl::Duration LoadController::GoodCost(const PlacementRequest& request) const {
  // Then only slots and requests count, and any place is as good.
  if (request.prompt_tokens <= 0)
    return absl::InfiniteDuration();
  // What is shared is in the cache of such a server, if it is worth while to
  // ask for it.
  PlacementRequest own = request;
  if (own.prompt.size() > 1) {
    own.prompt.erase(own.prompt.begin(), own.prompt.end() - 1);
    own.prompt_tokens = own.prompt.back().tokens;
  }
  const auto mean = mean_delay_.find(request.service);
  const double delay = mean == mean_delay_.end() ? 0 : mean->second;
  return empty_server_.Bid(own, calls_.now()).first_token +
         PrefillTime(own.prompt_tokens) * delay +
         request.latency_target * options_.good_share;
}

absl::Duration LoadController::PrefillTime(int64_t tokens) const {
  return absl::Milliseconds(static_cast<double>(tokens) /
                            options_.coordinator.server.prompt_tokens_per_ms);
}

std::vector<LoadController::Group> LoadController::GroupsOf(
    const std::vector<std::string>& servers,
    const Course& course) {
  std::vector<Group> groups;
  for (const std::string& server : servers) {
    if (course.asked.contains(server))
      continue;
    const RouterAddress* const coordinator = coordinator_.CoordinatorOf(server);
    if (coordinator == nullptr)
      continue;
    const auto found = std::find_if(
        groups.begin(), groups.end(),
        [&](const Group& group) { return group.coordinator == *coordinator; });
    if (found == groups.end())
      groups.push_back({.coordinator = *coordinator, .servers = {server}});
    else
      found->servers.push_back(server);
  }
  return groups;
}

std::optional<PlacementReply> LoadController::Ask(const Group& group,
                                                  absl::Duration place_within,
                                                  Course* course) {
  for (const std::string& server : group.servers)
    course->asked.insert(server);
  PlacementQuestion question{.router = router_,
                             .request = course->request,
                             .servers = group.servers,
                             .place_within = place_within};
  if (group.coordinator.router == router_)
    return OnAsked(question);
  const absl::Duration timeout =
      std::min(options_.peers.ask_timeout, course->deadline - calls_.now());
  if (peers_.IsPaused(group.coordinator.router) ||
      timeout <= absl::ZeroDuration())
    return std::nullopt;
  ++course->decision.messages;
  auto reply = peers_.Ask(group.coordinator, std::move(question), timeout);
  if (!reply.has_value()) {
    // It may have placed the request, and the answer is lost.
    for (const std::string& server : group.servers) {
      TellProgress({.server = server,
                    .request = course->request.id,
                    .coordinator = group.coordinator},
                   PlacementEvent::kEnded, absl::ZeroDuration());
    }
  }
  return reply;
}

bool LoadController::TakeReply(const Group& group,
                               const std::optional<PlacementReply>& reply,
                               Course* course) {
  if (!reply.has_value()) {
    course->has_silent = true;
    return false;
  }
  for (const PlacementBid& bid : reply->bids) {
    ObserveBid(course->request.service, bid);
    const auto known = std::find_if(
        course->bids.begin(), course->bids.end(),
        [&](const PlacementBid& other) { return other.server == bid.server; });
    if (known == course->bids.end())
      continue;  // not asked for
    *known = bid;
    course->answered.insert(bid.server);
    if (bid.server != reply->placed)
      continue;
    course->decision.server = bid.server;
    course->decision.placed_by = PlacedBy::kCoordinator;
    course->decision.bid = bid;
    course->decision.placed =
        PlacedRequest{.server = bid.server,
                      .request = course->request.id,
                      .coordinator = group.coordinator,
                      .has_prompt = course->request.prompt_tokens > 0};
  }
  return !course->decision.server.empty();
}

void LoadController::ObserveBid(const std::string& service,
                                const PlacementBid& bid) {
  if (bid.uncached_tokens <= 0)
    return;
  const double delay =
      absl::FDivDuration(bid.delay_to_others, PrefillTime(bid.uncached_tokens));
  const auto [found, is_new] = mean_delay_.try_emplace(service, delay);
  found->second += kBidWeight * (delay - found->second);
}

std::optional<PlacedRequest> LoadController::PlaceUnasked(
    const PlacementRequest& request,
    const std::string& server) {
  if (!options_.is_on)
    return std::nullopt;
  const RouterAddress* const coordinator = coordinator_.CoordinatorOf(server);
  if (coordinator == nullptr)
    return std::nullopt;
  const PlacedRequest placed{.server = server,
                             .request = request.id,
                             .coordinator = *coordinator,
                             .has_prompt = request.prompt_tokens > 0};
  PlacementNotice notice{.server = server, .request = request};
  if (coordinator->router == router_) {
    coordinator_.OnReport({.router = router_, .notices = {std::move(notice)}},
                          calls_.now());
    return placed;
  }
  if (peers_.IsPaused(coordinator->router) || calls_.is_link_busy())
    return std::nullopt;
  peers_.Tell(*coordinator, std::move(notice));
  return placed;
}

void LoadController::OnFirstToken(const PlacedRequest& placed,
                                  absl::Duration took) {
  // Servers have no queue of prompts where requests have none.
  if (placed.has_prompt)
    TellProgress(placed, PlacementEvent::kFirstToken, took);
}

void LoadController::OnEnd(const PlacedRequest& placed, absl::Duration took) {
  TellProgress(placed, PlacementEvent::kEnded, took);
}

void LoadController::TellProgress(const PlacedRequest& placed,
                                  PlacementEvent event,
                                  absl::Duration took) {
  const PlacementProgress progress{.server = placed.server,
                                   .request = placed.request,
                                   .event = event,
                                   .took = took};
  if (placed.coordinator.router == router_) {
    coordinator_.OnReport({.router = router_, .progress = {progress}},
                          calls_.now());
    return;
  }
  peers_.Tell(placed.coordinator, progress);
}

void LoadController::CheckCoordinators(const PlacementQuestion& question) {
  for (const std::string& server : question.servers) {
    const RouterAddress* const coordinator = coordinator_.CoordinatorOf(server);
    if (coordinator != nullptr && coordinator->router != router_)
      peers_.Probe(*coordinator, options_.peers.ask_pause);
  }
}

PlacementReply LoadController::OnAsked(const PlacementQuestion& question) {
  if (question.router != router_) {
    heard_[question.router] = calls_.now();
    CheckCoordinators(question);
  }
  PlacementReply reply = coordinator_.Answer(question, calls_.now());
  LogAnswer(question, reply);
  return reply;
}

void LoadController::LogAnswer(const PlacementQuestion& question,
                               const PlacementReply& reply) const {
  // Only the first one can have been placed at.
  const PlacementBid bid =
      reply.bids.empty() ? PlacementBid() : reply.bids.front();
  LogEvent("load.answered")
      .Add("request", question.request.id)
      .Add("peer", question.router)
      .Add("servers", question.servers.size())
      .Add("bids", reply.bids.size())
      .Add("placed", reply.placed)
      .Add("server", bid.server)
      .Add("room", bid.has_room ? 1 : 0)
      .Add("first_ms", absl::ToInt64Milliseconds(bid.first_token))
      .Add("delay_ms", absl::ToInt64Milliseconds(bid.delay_to_others))
      .Add("uncached", bid.uncached_tokens)
      .Add("requests", bid.requests)
      .Add("queued", bid.queued_tokens);
}

void LoadController::OnReported(const LoadReport& report) {
  heard_[report.router] = calls_.now();
  coordinator_.OnReport(report, calls_.now());
}

void LoadController::SetServers(const std::vector<RelayServer>& servers) {
  coordinator_.SetServers(servers, calls_.now());
}

void LoadController::SetTable(std::shared_ptr<const RoutingTable> table) {
  coordinator_.SetTable(std::move(table), calls_.now());
}

void LoadController::Run(const std::atomic<bool>& stop) {
  if (!options_.is_on)
    return;
  while (!stop) {
    if (calls_.now() - routers_observed_ >= options_.routers_interval)
      ObserveRouters();
    SendReports();
    hawthornhollow::SleepFor(options_.report_interval);
  }
}

void LoadController::ObserveRouters() {
  routers_observed_ = calls_.now();
  const std::vector<RouterAddress> known = calls_.routers();
  DropDeadRouters(known);
  std::vector<RouterAddress> living;
  for (const RouterAddress& router : known) {
    if (!peers_.IsDead(router.router))
      living.push_back(router);
    else
      peers_.Probe(router, options_.peers.probe_interval);
  }
  coordinator_.SetRouters(living, routers_observed_);
  coordinator_.Expire(routers_observed_);
}

// A router that does not answer may still reach this one, and its requests go
// on.
void LoadController::DropDeadRouters(const std::vector<RouterAddress>& known) {
  std::set<std::string_view> present;
  for (const RouterAddress& router : known)
    present.insert(router.router);
  std::erase_if(heard_, [&](const auto& item) {
    const auto& [router, heard] = item;
    const bool is_gone =
        !present.contains(router) ||
        (peers_.IsDead(router) &&
         routers_observed_ - heard >= options_.peers.dead_after);
    if (is_gone)
      coordinator_.DropRouter(router);
    return is_gone;
  });
  peers_.KeepRouters(known);
}

}  // namespace hawthornhollow
