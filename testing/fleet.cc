#include "testing/fleet.h"

#include <signal.h>

#include <boost/json.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "hawthornhollow/base/base.h"

namespace hawthornhollow {
namespace {

namespace json = boost::json;

constexpr absl::Duration kPoll = absl::Milliseconds(50);
constexpr absl::Duration kStartTimeout = absl::Seconds(20);
constexpr absl::Duration kCallTimeout = absl::Seconds(5);
constexpr int kCallers = 9;
const char* const kDomains[] = {"patan", "thimi", "kirtipur"};

Endpoint FreeEndpoint() {
  return Endpoint{"127.0.0.1", FreePort()};
}

absl::Status WriteText(const std::string& path, const std::string& text) {
  std::ofstream out(path);
  out << text;
  out.close();
  if (!out)
    return ErrorAt(absl::StatusCode::kUnavailable, "fleet.write", path,
                   "cannot be written");
  return absl::OkStatus();
}

std::string DomainOf(size_t number) {
  return kDomains[number % 3];
}

// Whether a router's metrics tell of `servers` connected ones in a pool.
bool HasConnected(const std::string& metrics,
                  const std::string& pool,
                  size_t servers) {
  return metrics.find(absl::StrCat("pool_servers_connected{pool=\"", pool,
                                   "\"} ", servers, "\n")) != std::string::npos;
}

}  // namespace

Fleet::Fleet(const FleetOptions& options) : options_(options) {}

Fleet::~Fleet() {
  // Processes end before the directory with their settings and logs goes.
  routers_.clear();
  sidecars_.clear();
  services_.clear();
  engines_.clear();
  if (std::getenv("HAWTHORNHOLLOW_KEEP_LOGS") == nullptr && !directory_.empty())
    std::filesystem::remove_all(directory_);
}

absl::StatusOr<std::unique_ptr<Fleet>> Fleet::Start(
    const FleetOptions& options) {
  std::unique_ptr<Fleet> fleet(new Fleet(options));
  if (absl::Status status = fleet->StartAll(); !status.ok())
    return status;
  return fleet;
}

std::string Fleet::KeyOf(const std::string& caller) {
  return caller + "-key";
}

absl::Status Fleet::StartAll() {
  directory_ = (std::filesystem::temp_directory_path() /
                ("hawthornhollow-" + RandomId()))
                   .string();
  folder_ = directory_ + "/config";
  std::filesystem::create_directories(folder_);
  if (absl::Status s = StartStandins(); !s.ok())
    return s;
  ChoosePorts();
  if (absl::Status s = StartRelays(); !s.ok())
    return s;
  if (absl::Status s = WriteFolder(); !s.ok())
    return s;
  auto published = Cli({"publish", folder_, "--log", log().ToString()});
  if (!published.ok())
    return published.status();
  if (published->first != 0)
    return absl::InternalError("publish: " + published->second);
  sidecars_.resize(server_count());
  for (size_t i = 0; i < server_count(); ++i) {
    if (absl::Status s = StartSidecar(i); !s.ok())
      return s;
  }
  routers_.resize(options_.routers);
  for (size_t i = 0; i < options_.routers; ++i) {
    if (absl::Status s = StartRouter(i); !s.ok())
      return s;
  }
  for (size_t i = 0; i < options_.routers; ++i) {
    if (absl::Status s = WaitReady(i, kStartTimeout); !s.ok())
      return s;
  }
  return absl::OkStatus();
}

absl::Status Fleet::StartStandins() {
  auto start = [&](std::vector<std::string> argv,
                   const std::vector<std::string>& flags, ReadyProcess* out) {
    argv.insert(argv.begin(), options_.standins);
    argv.insert(argv.end(), flags.begin(), flags.end());
    auto started = ReadyProcess::Start(argv, directory_ + "/standins.log");
    if (started.ok())
      *out = std::move(*started);
    return started.status();
  };
  if (auto s = start({"log"}, options_.log_flags, &log_); !s.ok())
    return s;
  if (auto s = start({"vms", "--lag-ms", "200"}, {}, &vms_); !s.ok())
    return s;
  engines_.resize(options_.engines);
  for (ReadyProcess& engine : engines_) {
    auto s = start({"engine", "--slots", std::to_string(options_.slots)},
                   options_.engine_flags, &engine);
    if (!s.ok())
      return s;
  }
  services_.resize(options_.services);
  for (ReadyProcess& service : services_) {
    if (auto s = start({"service"}, options_.service_flags, &service); !s.ok())
      return s;
  }
  return absl::OkStatus();
}

void Fleet::ChoosePorts() {
  for (size_t i = 0; i < options_.routers; ++i) {
    router_endpoints_.push_back(FreeEndpoint());
    peer_endpoints_.push_back(FreeEndpoint());
  }
  for (size_t i = 0; i < server_count(); ++i) {
    sidecar_endpoints_.push_back(FreeEndpoint());
    sidecar_http_endpoints_.push_back(FreeEndpoint());
  }
}

absl::Status Fleet::StartRelays() {
  auto start = [](const Endpoint& target, std::unique_ptr<TcpRelay>* out) {
    auto relay = TcpRelay::Start(target);
    if (relay.ok())
      *out = std::move(*relay);
    return relay.status();
  };
  absl::Status status;
  for (size_t server : options_.relayed_servers)
    status.Update(start(sidecar_endpoints_[server], &server_relays_[server]));
  for (size_t router : options_.log_relayed_routers)
    status.Update(start(log(), &router_log_relays_[router]));
  for (size_t server : options_.log_relayed_servers)
    status.Update(start(log(), &sidecar_log_relays_[server]));
  for (size_t router : options_.peer_relayed_routers) {
    for (size_t other = 0; other < options_.routers; ++other) {
      if (other == router)
        continue;
      status.Update(start(peer_endpoints_[other],
                          &peer_relays_[std::make_pair(router, other)]));
      status.Update(start(peer_endpoints_[router],
                          &peer_relays_[std::make_pair(other, router)]));
    }
  }
  return status;
}

void Fleet::SetPeerLinks(size_t router, RelayMode mode) {
  for (const auto& [ends, relay] : peer_relays_) {
    if (ends.first == router || ends.second == router)
      relay->SetMode(mode);
  }
}

const Endpoint& Fleet::PeerEndpoint(size_t router, size_t peer) const {
  auto relay = peer_relays_.find(std::make_pair(router, peer));
  return relay == peer_relays_.end() ? peer_endpoints_[peer]
                                     : relay->second->endpoint();
}

std::string Fleet::ServerName(size_t server) const {
  if (server < options_.engines)
    return absl::StrCat("engine-", server + 1);
  return absl::StrCat("service-", server - options_.engines + 1);
}

absl::Status Fleet::WriteFolder() {
  std::map<std::string, std::string> files;
  files["10-member.json"] = R"({"kind":"member","name":"lantern-works"})";
  files["20-budget.json"] = absl::StrCat(
      R"({"kind":"budget","name":"permits","member":"lantern-works","tokens":)",
      options_.budget_tokens, "}");
  files["30-ranks.json"] =
      R"([{"kind":"rank","name":"urgent","order":0,"target_ms":1800,"floor":0.0},
{"kind":"rank","name":"middling","order":1,"target_ms":4000,"floor":0.1},
{"kind":"rank","name":"can-wait","order":2,"target_ms":10000,"floor":0.05}])";
  files["40-model.json"] =
      R"({"kind":"model","name":"permit-drafter","max_output_tokens":4096})";
  files["45-service.json"] =
      R"([{"kind":"service","name":"kit-booking","repeatable":false,"tokens_per_call":50},
{"kind":"service","name":"kit-list","repeatable":true,"tokens_per_call":10}])";
  std::string servers;
  for (size_t i = 0; i < server_count(); ++i) {
    auto relay = server_relays_.find(i);
    const Endpoint& address = relay == server_relays_.end()
                                  ? sidecar_endpoints_[i]
                                  : relay->second->endpoint();
    absl::StrAppend(&servers, i == 0 ? "[" : ",\n",
                    R"({"kind":"server","name":")", ServerName(i), R"(",)",
                    i < options_.engines ? R"("model":"permit-drafter")"
                                         : R"("service":"kit-booking")",
                    R"(,"address":")", address.ToString(),
                    R"(","failure_domain":")", DomainOf(i), R"(","slots":)",
                    options_.slots, "}");
  }
  files["50-servers.json"] = servers + "]";
  std::string callers;
  for (int i = 1; i <= kCallers; ++i) {
    std::string name = absl::StrCat("ward-", i);
    absl::StrAppend(&callers, i == 1 ? "[" : ",\n",
                    R"({"kind":"caller","name":")", name,
                    R"(","member":"lantern-works","budget":"permits",)",
                    R"("ranks":["middling","urgent","can-wait"],)",
                    R"("key_sha256":")", Sha256Hex(KeyOf(name)), R"("})");
  }
  files["60-callers.json"] = callers + "]";
  for (const auto& [file, text] : options_.files)
    files[file] = text;
  if (options_.files_for)
    files.merge(options_.files_for(sidecar_endpoints_));
  for (const auto& [file, text] : files) {
    if (absl::Status s = WriteText(folder_ + "/" + file, text); !s.ok())
      return s;
  }
  return absl::OkStatus();
}

std::string Fleet::RouterSettingsJson(size_t router) const {
  json::object settings;
  settings["name"] = absl::StrCat("router-", router + 1);
  settings["failure_domain"] = DomainOf(router);
  settings["listen"] = router_endpoints_[router].ToString();
  settings["peer_listen"] = peer_endpoints_[router].ToString();
  json::array peers;
  for (size_t peer = 0; peer < options_.routers; ++peer)
    peers.emplace_back(PeerEndpoint(router, peer).ToString());
  settings["peers"] = std::move(peers);
  settings["peer_links"] = options_.peer_links;
  settings["threads"] = options_.router_threads;
  auto relay = router_log_relays_.find(router);
  settings["log_service"] = relay == router_log_relays_.end()
                                ? log().ToString()
                                : relay->second->endpoint().ToString();
  settings["vm_list"] = vms().ToString();
  if (!options_.router_policy.empty())
    settings["policy"] = options_.router_policy;
  return json::serialize(settings);
}

std::string Fleet::SidecarSettingsJson(size_t server) const {
  bool is_engine = server < options_.engines;
  const Endpoint& backend =
      is_engine ? engine(server) : service(server - options_.engines);
  json::object settings;
  settings["name"] = "sidecar-" + ServerName(server);
  settings["server"] = ServerName(server);
  settings["failure_domain"] = DomainOf(server);
  settings["listen"] = sidecar_endpoints_[server].ToString();
  settings["http_listen"] = sidecar_http_endpoints_[server].ToString();
  settings["backend"] = backend.ToString();
  settings["backend_kind"] = is_engine ? "engine" : "service";
  auto relay = sidecar_log_relays_.find(server);
  settings["log_service"] = relay == sidecar_log_relays_.end()
                                ? log().ToString()
                                : relay->second->endpoint().ToString();
  return json::serialize(settings);
}

absl::StatusOr<std::unique_ptr<ChildProcess>> Fleet::StartProgram(
    const std::string& command,
    const std::string& name,
    const std::string& settings) {
  std::string path = absl::StrCat(directory_, "/", name, ".json");
  if (absl::Status s = WriteText(path, settings); !s.ok())
    return s;
  return ChildProcess::Start({options_.program, command, "--settings", path},
                             absl::StrCat(directory_, "/", name, ".log"));
}

absl::Status Fleet::StartRouter(size_t router) {
  auto started = StartProgram("router", absl::StrCat("router-", router + 1),
                              RouterSettingsJson(router));
  if (started.ok())
    routers_[router] = std::move(*started);
  return started.status();
}

absl::Status Fleet::StartSidecar(size_t server) {
  auto started = StartProgram("sidecar", "sidecar-" + ServerName(server),
                              SidecarSettingsJson(server));
  if (started.ok())
    sidecars_[server] = std::move(*started);
  return started.status();
}

absl::Status Fleet::WaitReady(size_t router, absl::Duration timeout) {
  absl::Time deadline = absl::Now() + timeout;
  std::string last;
  while (absl::Now() < deadline) {
    auto health = PlainHttp(this->router(router), {.target = "/healthz"},
                            absl::Seconds(1));
    auto metrics = PlainHttp(this->router(router), {.target = "/metrics"},
                             absl::Seconds(1));
    // Ready, and connected to every server.
    if (health.ok() && health->status == 200 && metrics.ok()) {
      last = metrics->body;
      if (HasConnected(last, "model:permit-drafter", options_.engines) &&
          (options_.services == 0 ||
           HasConnected(last, "service:kit-booking", options_.services)))
        return absl::OkStatus();
    } else if (health.ok()) {
      last = health->body;
    }
    absl::SleepFor(kPoll);
  }
  return absl::DeadlineExceededError("router is not ready: " + last);
}

absl::StatusOr<std::pair<int, std::string>> Fleet::Cli(
    std::vector<std::string> arguments,
    absl::Duration timeout) {
  arguments.insert(arguments.begin(), options_.program);
  auto process = ChildProcess::Start(arguments, directory_ + "/cli.log");
  if (!process.ok())
    return process.status();
  std::string output;
  absl::Time deadline = absl::Now() + timeout;
  while (true) {
    auto line = (*process)->ReadLine(deadline - absl::Now());
    if (!line.ok())
      break;
    absl::StrAppend(&output, *line, "\n");
  }
  auto code = (*process)->Wait(deadline - absl::Now());
  if (!code.ok())
    return code.status();
  return std::make_pair(*code, output);
}

absl::Status Fleet::Publish(const std::string& file, const std::string& text) {
  if (absl::Status s = WriteText(folder_ + "/" + file, text); !s.ok())
    return s;
  auto result = Cli({"publish", folder_, "--log", log().ToString()});
  if (!result.ok())
    return result.status();
  if (result->first != 0)
    return absl::FailedPreconditionError(result->second);
  return absl::OkStatus();
}

HttpRequest Fleet::ChatRequestFor(const ChatOptions& options) {
  json::object message;
  message["role"] = "user";
  message["content"] = options.text;
  json::object body;
  body["model"] = "permit-drafter";
  body["messages"] = json::array{message};
  body["max_tokens"] = options.max_tokens;
  body["stream"] = options.stream;
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers = {{"Authorization", "Bearer " + KeyOf(options.caller)},
                     {"Content-Type", "application/json"},
                     {"X-Rank", options.rank}};
  if (!options.key.empty())
    request.headers.emplace_back("Idempotency-Key", options.key);
  request.body = json::serialize(body);
  return request;
}

HttpRequest Fleet::OrderRequestFor(const std::string& key) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/services/kit-booking/orders";
  request.headers = {{"Authorization", "Bearer " + KeyOf("ward-1")},
                     {"Content-Type", "application/json"}};
  if (!key.empty())
    request.headers.emplace_back("Idempotency-Key", key);
  request.body = R"({"kit":"parade-7"})";
  return request;
}

absl::StatusOr<HttpResponse> Fleet::Chat(size_t router,
                                         const ChatOptions& options,
                                         absl::Duration timeout) {
  return PlainHttp(this->router(router), ChatRequestFor(options), timeout);
}

absl::StatusOr<HttpResponse> Fleet::Order(size_t router,
                                          const std::string& key,
                                          absl::Duration timeout) {
  return PlainHttp(this->router(router), OrderRequestFor(key), timeout);
}

absl::StatusOr<std::string> Fleet::Get(const Endpoint& endpoint,
                                       const std::string& target) {
  auto response = PlainHttp(endpoint, {.target = target}, kCallTimeout);
  if (!response.ok())
    return response.status();
  return response->body;
}

absl::Status Fleet::Control(const Endpoint& standin, const std::string& body) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/control";
  request.body = body;
  auto response = PlainHttp(standin, request, kCallTimeout);
  if (!response.ok())
    return response.status();
  if (response->status != 200)
    return absl::InvalidArgumentError(response->body);
  return absl::OkStatus();
}

int64_t Fleet::BudgetNumber(size_t router, const std::string& field) {
  auto page = Get(this->router(router), "/status");
  if (!page.ok())
    return -1;
  boost::system::error_code error;
  json::value status = json::parse(*page, error);
  if (error)
    return -1;
  for (const json::value& budget : status.at("budgets").as_array()) {
    if (budget.at("budget").as_string() == "permits")
      return budget.at(field).as_int64();
  }
  return -1;
}

bool Fleet::WaitBudgetNumber(size_t router,
                             const std::string& field,
                             int64_t wanted,
                             absl::Duration timeout) {
  absl::Time deadline = absl::Now() + timeout;
  while (absl::Now() < deadline) {
    if (BudgetNumber(router, field) == wanted)
      return true;
    absl::SleepFor(kPoll);
  }
  return false;
}

std::vector<int64_t> Fleet::BillsOf(const std::string& request) {
  std::vector<int64_t> charged;
  auto bills = Cli({"bills", "--json", "--log", log().ToString()});
  if (!bills.ok() || bills->first != 0)
    return charged;
  boost::system::error_code error;
  json::value page = json::parse(bills->second, error);
  if (error)
    return charged;
  for (const json::value& bill : page.as_array()) {
    if (bill.at("request").as_string() == request)
      charged.push_back(bill.at("charged_tokens").as_int64());
  }
  return charged;
}

bool Fleet::WaitBills(const std::string& request,
                      size_t count,
                      absl::Duration timeout) {
  absl::Time deadline = absl::Now() + timeout;
  while (absl::Now() < deadline) {
    if (BillsOf(request).size() >= count)
      return true;
    absl::SleepFor(kPoll);
  }
  return false;
}

}  // namespace hawthornhollow
