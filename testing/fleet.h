#ifndef TESTING_FLEET_H_
#define TESTING_FLEET_H_

// A whole fleet on loopback for process tests and measurements: the platform's
// stand-ins, backend servers with their side processes, and routers in three
// failure domains, each a process of its own.
//
//   auto fleet = Fleet::Start(FleetOptions{.engines = 2});
//   auto response = (*fleet)->Chat(0, {.max_tokens = 5});
//
// Everything that it starts ends with it.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "hawthornhollow/http/http.h"
#include "testing/processes.h"
#include "testing/tcp_relay.h"

namespace hawthornhollow {

struct FleetOptions {
  std::string program = HAWTHORNHOLLOW;  // set by the build
  std::string standins = STANDINS;
  size_t routers = 3;
  size_t engines = 2;
  size_t services = 1;
  int64_t slots = 16;
  int64_t budget_tokens = 1'000'000;
  // The routers' scheduling (RouterSettings::policy); empty: the default.
  std::string router_policy;
  std::vector<std::string> log_flags;
  std::vector<std::string> engine_flags = {"--token-ms", "5",
                                           "--prefill-ms-per-1k", "20"};
  std::vector<std::string> service_flags = {"--work-ms", "5"};
  // Servers whose side process the routers reach through a relay.
  std::set<size_t> relayed_servers;
  // Routers, and servers' side processes, that reach the log through a relay
  // of their own.
  std::set<size_t> log_relayed_routers;
  std::set<size_t> log_relayed_servers;
  // Routers whose links with other routers, in both directions, pass relays.
  std::set<size_t> peer_relayed_routers;
  int64_t router_threads = 2;
  std::string peer_links = "all";
  // More files of the configuration folder.
  std::map<std::string, std::string> files;
  // Files that depend on the addresses of the side processes.
  std::function<std::map<std::string, std::string>(
      const std::vector<Endpoint>& gates)>
      files_for;
};

struct ChatOptions {
  std::string text = "a permit, please";
  int64_t max_tokens = 10;
  bool stream = false;
  std::string rank = "urgent";
  std::string key;  // Idempotency-Key
  std::string caller = "ward-1";
};

class Fleet {
 public:
  // Starts everything, publishes the configuration, and waits until every
  // router is ready and can reach every server.
  static absl::StatusOr<std::unique_ptr<Fleet>> Start(
      const FleetOptions& options);
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;
  ~Fleet();

  // The bearer key of a caller ("ward-1" to "ward-9").
  static std::string KeyOf(const std::string& caller);

  absl::StatusOr<HttpResponse> Chat(size_t router,
                                    const ChatOptions& options,
                                    absl::Duration timeout = absl::Seconds(20));
  absl::StatusOr<HttpResponse> Order(
      size_t router,
      const std::string& key,
      absl::Duration timeout = absl::Seconds(20));
  static HttpRequest ChatRequestFor(const ChatOptions& options);
  static HttpRequest OrderRequestFor(const std::string& key);

  // A stand-in's or router's JSON page as text.
  absl::StatusOr<std::string> Get(const Endpoint& endpoint,
                                  const std::string& target);
  absl::Status Control(const Endpoint& standin, const std::string& json);

  // Starts a router or side process again after it ended, under its name.
  absl::Status StartRouter(size_t router);
  absl::Status StartSidecar(size_t server);
  absl::Status WaitReady(size_t router, absl::Duration timeout);
  // Sets one budget or other file and publishes the folder.
  absl::Status Publish(const std::string& file, const std::string& text);
  // Runs the command line; returns its exit code and standard output.
  absl::StatusOr<std::pair<int, std::string>> Cli(
      std::vector<std::string> arguments,
      absl::Duration timeout = absl::Seconds(20));

  // One number of a budget ("spent", "held", "voted", "bills") as a router's
  // status page shows it; -1 if it cannot be read.
  int64_t BudgetNumber(size_t router, const std::string& field);
  // Waits until that number is `wanted`.
  bool WaitBudgetNumber(size_t router,
                        const std::string& field,
                        int64_t wanted,
                        absl::Duration timeout);

  // The tokens charged by each accepted bill of a request, from the log.
  std::vector<int64_t> BillsOf(const std::string& request);
  // Waits until the request has at least that many bills.
  bool WaitBills(const std::string& request,
                 size_t count,
                 absl::Duration timeout);

  const Endpoint& log() const { return log_.endpoint; }
  const Endpoint& vms() const { return vms_.endpoint; }
  const Endpoint& engine(size_t i) const { return engines_[i].endpoint; }
  const Endpoint& service(size_t i) const { return services_[i].endpoint; }
  const Endpoint& router(size_t i) const { return router_endpoints_[i]; }
  ChildProcess& engine_process(size_t i) { return *engines_[i].process; }
  ChildProcess& router_process(size_t i) { return *routers_[i]; }
  // Servers are numbered engines first, then services.
  ChildProcess& sidecar_process(size_t server) { return *sidecars_[server]; }
  // The relays of the options; each must be among them.
  TcpRelay& server_relay(size_t server) { return *server_relays_.at(server); }
  TcpRelay& router_log_relay(size_t router) {
    return *router_log_relays_.at(router);
  }
  void SetPeerLinks(size_t router, RelayMode mode);
  TcpRelay& sidecar_log_relay(size_t server) {
    return *sidecar_log_relays_.at(server);
  }
  const std::string& folder() const { return folder_; }
  size_t engine_count() const { return options_.engines; }
  size_t server_count() const { return options_.engines + options_.services; }

 private:
  explicit Fleet(const FleetOptions& options);
  absl::Status StartAll();
  absl::Status StartStandins();
  void ChoosePorts();
  absl::Status StartRelays();
  // Where `router` reaches `peer`.
  const Endpoint& PeerEndpoint(size_t router, size_t peer) const;
  absl::Status WriteFolder();
  absl::StatusOr<std::unique_ptr<ChildProcess>> StartProgram(
      const std::string& command,
      const std::string& name,
      const std::string& settings);
  std::string RouterSettingsJson(size_t router) const;
  std::string SidecarSettingsJson(size_t server) const;
  std::string ServerName(size_t server) const;

  const FleetOptions options_;
  std::string directory_;
  std::string folder_;
  ReadyProcess log_;
  ReadyProcess vms_;
  std::vector<ReadyProcess> engines_;
  std::vector<ReadyProcess> services_;
  using Relays = std::map<size_t, std::unique_ptr<TcpRelay>>;
  Relays server_relays_;
  Relays router_log_relays_;
  Relays sidecar_log_relays_;
  // By the connecting router and the other one.
  std::map<std::pair<size_t, size_t>, std::unique_ptr<TcpRelay>> peer_relays_;
  std::vector<Endpoint> router_endpoints_;
  std::vector<Endpoint> peer_endpoints_;
  std::vector<Endpoint> sidecar_endpoints_;
  std::vector<Endpoint> sidecar_http_endpoints_;
  std::vector<std::unique_ptr<ChildProcess>> sidecars_;
  std::vector<std::unique_ptr<ChildProcess>> routers_;
};

}  // namespace hawthornhollow

#endif  // TESTING_FLEET_H_
