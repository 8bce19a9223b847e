#ifndef HAWTHORNHOLLOW_RELAY_LOAD_FLEET_FIXTURE_H_
#define HAWTHORNHOLLOW_RELAY_LOAD_FLEET_FIXTURE_H_

// Several routers that coordinate load, for the tests of LoadController.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "hawthornhollow/relay/load_controller.h"

namespace hawthornhollow {

inline constexpr char kService[] = "engine";
inline constexpr int64_t kSlots = 8;
inline constexpr int64_t kMemoryTokens = 400'000;
inline constexpr absl::Duration kTimeLimit = absl::Seconds(8);

// Several routers' controllers, connected by function calls, on a clock that
// only the test advances. Messages arrive at once; a question without an answer
// takes its time-out.
class Fleet {
 public:
  // What happens to messages from one router to another.
  enum class Path {
    kWhole,
    kNothingArrives,
    kAnswersLost,  // the question or report arrives
  };

  explicit Fleet(int routers,
                 int servers = 3,
                 const LoadControllerOptions& options = {},
                 int64_t slots = kSlots,
                 const std::string& service = kService)
      : options_(options) {
    RoutingTable::Parts parts{
        .routes = {{.name = "r", .services = {{.service = kService}}}},
        .services = {{.name = kService,
                      .tokens_per_event = 4,
                      .slots = kSlots,
                      .memory_tokens = kMemoryTokens},
                     {.name = "plain"}}};
    auto table = RoutingTable::Create(std::move(parts));
    EXPECT_TRUE(table.ok()) << table.status();
    table_ = *table;
    for (int i = 0; i < servers; ++i) {
      servers_.push_back(
          {.id = absl::StrCat("i-", i), .service = service, .slots = slots});
    }
    for (int i = 0; i < routers; ++i)
      living_.push_back({NameOf(i), absl::StrCat("address-", i)});
    for (int i = 0; i < routers; ++i)
      Start(i);
  }

  static std::string NameOf(int router) {
    return absl::StrCat("entry-", router);
  }

  // A router that starts knows nothing.
  void Start(int router) {
    nodes_[router] = std::make_unique<LoadController>(
        NameOf(router), options_,
        LoadCalls{
            .spawn = [](std::function<void()> task) { task(); },
            .routers =
                [this, router] {
                  return seen_.contains(router) ? seen_[router] : living_;
                },
            .ask = [this, router](const std::string& address,
                                  const PlacementQuestion& question,
                                  absl::Duration timeout)
                -> absl::StatusOr<PlacementReply> {
              ++questions_;
              const int peer = NumberOf(address);
              if (ArrivesAt(router, peer)) {
                PlacementReply reply = nodes_[peer]->OnAsked(question);
                if (path(router, peer) == Path::kWhole)
                  return reply;
              }
              clock_.Advance(timeout);
              return absl::DeadlineExceededError("no answer");
            },
            .report = [this, router](const std::string& address,
                                     const LoadReport& report) -> absl::Status {
              ++reports_;
              const int peer = NumberOf(address);
              if (!ArrivesAt(router, peer))
                return absl::DeadlineExceededError("no answer");
              nodes_[peer]->OnReported(report);
              return path(router, peer) == Path::kWhole
                         ? absl::OkStatus()
                         : absl::DeadlineExceededError("no answer");
            },
            .is_link_busy = [this] { return is_link_busy_; },
            .now = [this] { return clock_.Now(); }});
    nodes_[router]->SetTable(table_);
    nodes_[router]->SetServers(servers_);
    nodes_[router]->ObserveRouters();
  }
  // Others notice later.
  void Kill(int router) { nodes_.erase(router); }
  void Forget(int router) {
    std::erase_if(living_, [&](const RouterAddress& living) {
      return living.router == NameOf(router);
    });
    ObserveAll();
  }
  void SetPath(int from, int to, Path path) { paths_[{from, to}] = path; }
  void SetAllPathsTo(int to, Path path) {
    for (const auto& [router, node] : nodes_)
      SetPath(router, to, path);
  }
  // What one router takes for all that are up.
  void SetSeen(int router, std::vector<RouterAddress> seen) {
    seen_[router] = std::move(seen);
    nodes_[router]->ObserveRouters();
  }
  void SetLinkBusy(bool is_busy) { is_link_busy_ = is_busy; }

  void Advance(absl::Duration time) { clock_.Advance(time); }
  absl::Time now() const { return clock_.Now(); }
  void ObserveAll() {
    for (auto& [router, node] : nodes_)
      node->ObserveRouters();
  }
  void SendReports() {
    for (auto& [router, node] : nodes_)
      node->SendReports();
  }
  // Until all coordinators know what they should.
  void Settle() {
    ObserveAll();
    SendReports();
    Advance(options_.coordinator.settle_time);
    ObserveAll();
  }

  PlacementRequest Request(int64_t tokens = 1'000) {
    const int number = ++requests_;
    return {.id = absl::StrCat("r-", number),
            .service = kService,
            .prompt = {{absl::StrCat("own-", number), tokens}},
            .prompt_tokens = tokens,
            .max_output_tokens = 100,
            .latency_target = absl::Seconds(1),
            .time_left = kTimeLimit};
  }

  int CoordinatorOf(const std::string& server) const {
    const RouterAddress* const coordinator = ChooseCoordinator(server, living_);
    return NumberOf(coordinator->address);
  }
  // A router that is not the coordinator of this server.
  int OtherThan(int router) const { return router == 0 ? 1 : 0; }
  // The requests that the server's coordinator knows.
  int64_t KnownAt(const std::string& server) {
    const PlacementReply reply =
        nodes_.at(CoordinatorOf(server))
            ->OnAsked(
                {.router = "test", .request = Request(), .servers = {server}});
    EXPECT_EQ(reply.bids.size(), 1U) << server;
    return reply.bids.empty() ? -1 : reply.bids[0].requests;
  }
  std::vector<std::string> server_ids() const {
    std::vector<std::string> ids;
    for (const RelayServer& server : servers_)
      ids.push_back(server.id);
    return ids;
  }

  LoadController& node(int router) { return *nodes_.at(router); }
  bool is_up(int router) const { return nodes_.contains(router); }
  const std::vector<RouterAddress>& living() const { return living_; }
  int64_t questions() const { return questions_; }
  int64_t reports() const { return reports_; }

 private:
  static int NumberOf(const std::string& address) {
    return std::stoi(address.substr(address.find('-') + 1));
  }
  Path path(int from, int to) const {
    const auto found = paths_.find({from, to});
    return found == paths_.end() ? Path::kWhole : found->second;
  }
  bool ArrivesAt(int from, int to) const {
    return nodes_.contains(to) && path(from, to) != Path::kNothingArrives;
  }

  const LoadControllerOptions options_;
  ManualClock clock_;
  std::shared_ptr<const RoutingTable> table_;
  std::vector<RelayServer> servers_;
  std::vector<RouterAddress> living_;
  std::map<int, std::vector<RouterAddress>> seen_;
  std::map<std::pair<int, int>, Path> paths_;
  std::map<int, std::unique_ptr<LoadController>> nodes_;
  bool is_link_busy_ = false;
  int requests_ = 0;
  int64_t questions_ = 0;
  int64_t reports_ = 0;
};

// Tests of LoadController with a fleet.
class LoadFleetTest : public testing::Test {
 protected:
  static constexpr char kServer[] = "i-0";

  // Places at one server, by a router that is not its coordinator.
  LoadDecision PlaceAt(Fleet& fleet,
                       const std::string& server,
                       const PlacementRequest& request) {
    const int router = fleet.OtherThan(fleet.CoordinatorOf(server));
    return fleet.node(router).Place(request, {.first = {server}});
  }
};

// Requests in progress, for the tests with random input.
struct Running {
  int router = 0;
  PlacedRequest placed;
  absl::Time ends;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_LOAD_FLEET_FIXTURE_H_
