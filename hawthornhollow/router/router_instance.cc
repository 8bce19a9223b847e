#include "hawthornhollow/router/router_instance.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/http/request_account.h"

namespace hawthornhollow {
namespace {

namespace json = boost::json;

constexpr absl::Duration kTickInterval = absl::Milliseconds(10);
// The interval between reports of callers' demand to the other routers.
constexpr absl::Duration kDemandInterval = absl::Seconds(1);
constexpr absl::Duration kVmPollInterval = absl::Seconds(1);
// /healthz reports 503 for this long before connections are refused, so that
// the load balancer can remove this router.
constexpr absl::Duration kDrainNotice = absl::Seconds(1);
constexpr absl::Duration kFlushTimeout = absl::Seconds(10);
constexpr absl::Duration kAbortTimeout = absl::Seconds(5);

// The number of routers, including this one. The `peers` setting may list this
// router itself.
size_t RouterCount(const RouterSettings& settings) {
  size_t others = std::count_if(
      settings.peers.begin(), settings.peers.end(),
      [&](const std::string& peer) { return peer != settings.peer_listen; });
  return others + 1;
}

ApiError NoSuchPath() {
  return {404, "no_such_path", "no such path", RunState::kNotRun, {}};
}

HttpResponse JsonResponse(const json::value& body) {
  HttpResponse response;
  response.headers = {{"Content-Type", "application/json"}};
  response.body = json::serialize(body) + "\n";
  return response;
}

json::object BudgetJson(const BudgetStatus& status) {
  json::object budget;
  budget["budget"] = status.budget;
  budget["voted"] = status.total;
  budget["spent"] = status.spent;
  budget["held"] = status.held_by_all_routers;
  budget["held_here"] = status.held_here;
  budget["bills"] = status.bills;
  return budget;
}

}  // namespace

RouterInstance::RouterInstance(Runtime& runtime, const RouterSettings& settings)
    : runtime_(runtime),
      settings_(settings),
      incarnation_(settings.name + "-" + RandomId()),
      fibers_(runtime),
      scheduler_(settings.name,
                 RouterCount(settings),
                 ParseSchedulingPolicy(settings.policy)
                     .value_or(SchedulingPolicy::kRanks)),
      classify_(incarnation_) {}

RouterInstance::~RouterInstance() = default;

absl::StatusOr<std::unique_ptr<RouterInstance>> RouterInstance::Create(
    Runtime& runtime,
    const RouterSettings& settings) {
  std::unique_ptr<RouterInstance> instance(
      new RouterInstance(runtime, settings));
  if (absl::Status status = instance->Init(); !status.ok()) {
    instance->StopFibers();
    return status;
  }
  return instance;
}

absl::Status RouterInstance::Init() {
  auto log_endpoint = Endpoint::Parse(settings_.log_service);
  if (!log_endpoint.ok())
    return log_endpoint.status();
  log_ = std::make_unique<HttpLogClient>(*log_endpoint);
  if (!settings_.vm_list.empty()) {
    auto endpoint = Endpoint::Parse(settings_.vm_list);
    if (!endpoint.ok())
      return endpoint.status();
    vm_list_ = std::make_unique<HttpVmListClient>(*endpoint);
  }

  BudgetControllerOptions budget_options;
  budget_options.shards = static_cast<size_t>(settings_.ledger_shards);
  budget_options.config_is_current = [this] {
    return config_ && config_->IsCurrent();
  };
  budgets_ = std::make_unique<BudgetController>(
      *log_, fibers_, metrics_, incarnation_, budget_options,
      [this](const std::string& request, const std::string& server) {
        keyed_runs_.Remove(request);
        gates_->SendSettled(server, request);
      });

  fb::HelloT self;
  self.name = settings_.name;
  self.incarnation = incarnation_;
  self.protocol = kFrameProtocol;
  gates_ = std::make_unique<GateController>(fibers_, self, MakeLinkEvents());

  MembershipOptions membership;
  membership.name = settings_.name;
  membership.failure_domain = settings_.failure_domain;
  membership.incarnation = incarnation_;
  membership_ = std::make_unique<MembershipController>(
      *log_, fibers_, membership, MakeMembershipHooks());

  ConfigControllerOptions config;
  config.name = settings_.name;
  config.incarnation = incarnation_;
  auto peer_listen = Endpoint::Parse(settings_.peer_listen);
  if (!peer_listen.ok())
    return peer_listen.status();
  config.peer_listen = *peer_listen;
  for (const std::string& peer : settings_.peers) {
    auto endpoint = Endpoint::Parse(peer);
    if (!endpoint.ok())
      return endpoint.status();
    if (*endpoint != *peer_listen)
      config.peers.push_back(*endpoint);
  }
  if (settings_.peer_links == "ring")
    config.peer_links = PeerLinks::kRing;
  config.on_peer_frame = [this](const std::string& peer,
                                const fb::FrameT& frame) {
    OnPeerFrame(peer, frame);
  };
  auto controller = ConfigController::Create(
      runtime_, *log_, fibers_, config,
      [this](std::shared_ptr<const ConfigSnapshot> s) { OnConfig(s); });
  if (!controller.ok())
    return controller.status();
  config_ = std::move(*controller);

  RunnerDependencies dependencies{*budgets_, *gates_,     scheduler_,
                                  metrics_,  keyed_runs_, incarnation_};
  authenticate_ = std::make_unique<AuthenticateFilter>(*config_);
  replay_ = std::make_unique<ReplayFilter>(dependencies, attempts_);
  budget_ = std::make_unique<BudgetFilter>(*budgets_);
  runner_ = std::make_unique<RequestRunner>(dependencies, attempts_);

  if (absl::Status status = StartServers(); !status.ok())
    return status;
  budgets_->Start();
  membership_->Start();
  config_->Start();
  fibers_.Spawn([this] { TickLoop(); });
  fibers_.Spawn([this] { CallerDemandLoop(); });
  if (vm_list_)
    fibers_.Spawn([this] { VmListLoop(); });
  return absl::OkStatus();
}

absl::Status RouterInstance::StartServers() {
  HttpServerOptions options;
  auto listen = Endpoint::Parse(settings_.listen);
  if (!listen.ok())
    return listen.status();
  options.local = *listen;
  options.max_connections = static_cast<size_t>(settings_.max_connections);
  auto server = HttpServer::Start(
      runtime_, options, [this](const HttpRequest& request, ResponseWriter& w) {
        HandleRequest(request, w);
      });
  if (!server.ok())
    return server.status();
  server_ = std::move(*server);
  if (settings_.ops_listen.empty())
    return absl::OkStatus();
  auto ops_listen = Endpoint::Parse(settings_.ops_listen);
  if (!ops_listen.ok())
    return ops_listen.status();
  options.local = *ops_listen;
  auto ops_server = HttpServer::Start(
      runtime_, options, [this](const HttpRequest& request, ResponseWriter& w) {
        if (!HandleOps(request, w))
          w.Send(RenderError(NoSuchPath(), "")).IgnoreError();
      });
  if (!ops_server.ok())
    return ops_server.status();
  ops_server_ = std::move(*ops_server);
  return absl::OkStatus();
}

GateLinkEvents RouterInstance::MakeLinkEvents() {
  GateLinkEvents events;
  events.on_connected = [this](const std::string& server, bool connected) {
    scheduler_.SetConnected(server, connected);
  };
  events.on_load = [this](const std::string& server, const fb::LoadT& load) {
    scheduler_.OnLoad(server, {.running = load.running + load.waiting,
                               .dispatched_here = load.from_receiver,
                               .leaving = load.leaving});
  };
  return events;
}

MembershipHooks RouterInstance::MakeMembershipHooks() {
  MembershipHooks hooks;
  hooks.on_fenced = [this] { ready_ = false; };
  hooks.on_gates_ended = [this](std::set<std::string> gates) {
    gates_->SetEndedGates(std::move(gates));
  };
  hooks.has_calls_through = [this](const std::string& gate) {
    return gates_->HasCallsThrough(gate);
  };
  hooks.flush_bills = [this](absl::Duration timeout) {
    return budgets_->Flush(timeout);
  };
  hooks.is_account_closed = [this](const std::string& incarnation) {
    return budgets_->IsAccountClosed(incarnation);
  };
  hooks.close_accounts = [this](const std::string& incarnation, bool charge) {
    budgets_->CloseAccounts(incarnation, charge);
  };
  return hooks;
}

absl::Status RouterInstance::Open(absl::Duration timeout) {
  if (absl::Status s = config_->WaitCaughtUp(timeout); !s.ok())
    return s;
  if (absl::Status s = budgets_->WaitCaughtUp(timeout); !s.ok())
    return s;
  if (absl::Status s = membership_->Open(timeout); !s.ok())
    return s;
  ready_ = !fenced();
  LogEvent("router.ready")
      .Add("incarnation", incarnation_)
      .Add("failure_domain", settings_.failure_domain)
      .Add("listen", server_->local().ToString());
  return absl::OkStatus();
}

// ---------------------------------------------------------------------------
// Requests

void RouterInstance::HandleRequest(const HttpRequest& request,
                                   ResponseWriter& writer) {
  std::string path(request.Path());
  if (path == "/healthz") {
    writer.Send(Health()).IgnoreError();
    return;
  }
  if (path == "/v1/models") {
    writer.Send(ModelsPage()).IgnoreError();
    return;
  }
  if (settings_.ops_listen.empty() && HandleOps(request, writer))
    return;
  HandleCall(request, writer);
}

bool RouterInstance::HandleOps(const HttpRequest& request,
                               ResponseWriter& writer) {
  std::string path(request.Path());
  if (path == "/healthz")
    writer.Send(Health()).IgnoreError();
  else if (path == "/metrics")
    writer.Send(Metrics()).IgnoreError();
  else if (path == "/status")
    writer.Send(StatusPage()).IgnoreError();
  else
    return false;
  return true;
}

void RouterInstance::HandleCall(const HttpRequest& request,
                                ResponseWriter& writer) {
  RequestContext context(request);
  if (!ready_) {
    writer
        .Send(RenderError({503, "not_ready", "this router is not serving yet",
                           RunState::kNotRun, absl::Seconds(1)},
                          ""))
        .IgnoreError();
    return;
  }
  auto caller_connection = context.caller_connection;
  writer.OnClientGone(
      [caller_connection] { caller_connection->MarkDisconnected(); });
  FilterChain chain(*authenticate_, classify_, caller_limit_, *replay_,
                    *budget_);
  auto [result, filter] = chain.Apply(context, writer);
  CountResult(context, filter, result);
  if (const auto* error = std::get_if<ApiError>(&result)) {
    writer.Send(RenderError(*error, context.request_key)).IgnoreError();
    return;
  }
  if (std::holds_alternative<Answered>(result))
    return;
  runner_->Run(context, writer);
  metrics_.Observe("request_seconds", {{"rank", context.rank->name}},
                   absl::ToDoubleSeconds(absl::Now() - context.arrived));
}

void RouterInstance::CountResult(const RequestContext& context,
                                 std::string_view filter,
                                 const FilterResult& result) {
  std::string outcome = "passed";
  if (const auto* error = std::get_if<ApiError>(&result))
    outcome = error->code;
  else if (std::holds_alternative<Answered>(result))
    outcome = "replayed";
  std::string rank = context.rank ? context.rank->name : "none";
  metrics_.Count("requests_total", {{"rank", rank}, {"outcome", outcome}});
  if (outcome == "passed")
    return;
  LogEvent("request.ended_in_filter")
      .Add("filter", filter)
      .Add("outcome", outcome)
      .Add("request", context.request_key);
}

// ---------------------------------------------------------------------------
// Updates of the controllers

void RouterInstance::OnConfig(
    const std::shared_ptr<const ConfigSnapshot>& snapshot) {
  scheduler_.SetConfig(*snapshot->configuration, absl::Now());
  gates_->SetServers(snapshot->configuration->servers());
  budgets_->SetConfig(snapshot->configuration, snapshot->version);
}

void RouterInstance::TickLoop() {
  absl::Time last_cleanup = absl::Now();
  while (!fibers_.stopped()) {
    scheduler_.Tick();
    if (absl::Now() - last_cleanup > absl::Seconds(1)) {
      last_cleanup = absl::Now();
      gates_->CloseIdleRetiredLinks();
    }
    hawthornhollow::SleepFor(kTickInterval);
  }
}

void RouterInstance::CallerDemandLoop() {
  while (!fibers_.stopped()) {
    fb::CallerDemandsT report;
    for (const CallerDemand& demand : caller_limit_.Demands(absl::Now())) {
      auto item = std::make_unique<fb::CallerDemandT>();
      item->caller = demand.caller;
      item->requests_per_second = demand.requests_per_second;
      report.demands.push_back(std::move(item));
    }
    config_->SendFrameToPeers(MakeFrame(std::move(report)));
    hawthornhollow::SleepFor(kDemandInterval);
  }
}

void RouterInstance::OnPeerFrame(const std::string& peer,
                                 const fb::FrameT& frame) {
  const auto* report = frame.body.AsCallerDemands();
  if (!report)
    return;
  std::vector<CallerDemand> demands;
  for (const auto& item : report->demands)
    demands.push_back({item->caller, item->requests_per_second});
  caller_limit_.OnDemands(peer, demands, absl::Now());
}

void RouterInstance::VmListLoop() {
  while (!fibers_.stopped()) {
    auto vms = vm_list_->List();
    if (vms.ok()) {
      std::set<std::string> names;
      std::set<std::string> leaving;
      for (const VmEntry& vm : *vms) {
        names.insert(vm.name);
        if (vm.leaving)
          leaving.insert(vm.name);
      }
      membership_->OnVmList(names);
      scheduler_.SetLeavingVms(leaving);
    }
    hawthornhollow::SleepFor(kVmPollInterval);
  }
}

// ---------------------------------------------------------------------------
// Shutdown

void RouterInstance::ShutDown() {
  draining_ = true;
  LogEvent("router.draining").Add("incarnation", incarnation_);
  hawthornhollow::SleepFor(kDrainNotice);
  absl::Status drained = server_->Drain(absl::Seconds(settings_.drain_seconds));
  if (!drained.ok())
    LogEvent("router.drain_incomplete", LogSeverity::kWarning)
        .Add("reason", drained);
  if (drained.ok() && budgets_->Flush(kFlushTimeout).ok()) {
    budgets_->CloseAccounts(incarnation_, false);
    if (budgets_->Flush(kFlushTimeout).ok())
      membership_->Close(kFlushTimeout).IgnoreError();
  }
  StopFibers();
  LogEvent("router.stopped").Add("incarnation", incarnation_);
}

void RouterInstance::AbortAndStop() {
  draining_ = true;
  if (gates_)
    gates_->Stop();
  server_->Drain(kAbortTimeout).IgnoreError();
  StopFibers();
}

void RouterInstance::StopFibers() {
  if (gates_)
    gates_->Stop();
  if (config_)
    config_->Stop();
  fibers_.StopAndWait();
}

// ---------------------------------------------------------------------------
// HTTP pages

HttpResponse RouterInstance::Health() const {
  json::object body;
  std::string state = "ready";
  if (draining_)
    state = "draining";
  else if (!ready_)
    state = "starting";
  else if (!config_->IsCurrent() || !config_->snapshot())
    state = "configuration not current";
  body["state"] = state;
  HttpResponse response = JsonResponse(body);
  response.status = state == "ready" ? 200 : 503;
  return response;
}

HttpResponse RouterInstance::Metrics() {
  StreamWriterStats stats = budgets_->WriterStats();
  metrics_.Set("log_appends", {}, static_cast<double>(stats.appends));
  metrics_.Set("log_append_retries", {}, static_cast<double>(stats.retries));
  metrics_.Set("log_records", {}, static_cast<double>(stats.records));
  metrics_.Set("log_bytes", {}, static_cast<double>(stats.bytes));
  ConfigTraffic traffic = config_->traffic();
  metrics_.Set("config_notices", {}, static_cast<double>(traffic.notices_sent));
  metrics_.Set("config_notice_bytes", {},
               static_cast<double>(traffic.notice_bytes_sent));
  for (const PoolStatus& pool : scheduler_.Status()) {
    metrics_.Set("pool_waiting", {{"pool", pool.pool}},
                 static_cast<double>(pool.waiting));
    metrics_.Set("pool_servers_connected", {{"pool", pool.pool}},
                 static_cast<double>(pool.connected));
    metrics_.Set("pool_free_slots", {{"pool", pool.pool}},
                 static_cast<double>(pool.free_slots));
  }
  for (const auto& [reason, count] :
       RequestAccount::OfProcess()->refusals().ByReason()) {
    metrics_.Set("http_refused_total", {{"reason", std::string(reason)}},
                 static_cast<double>(count));
  }
  HttpResponse response;
  response.headers = {{"Content-Type", "text/plain; version=0.0.4"}};
  response.body = metrics_.Render();
  return response;
}

HttpResponse RouterInstance::StatusPage() const {
  json::object body;
  body["name"] = settings_.name;
  body["incarnation"] = incarnation_;
  body["failure_domain"] = settings_.failure_domain;
  body["ready"] = ready_.load();
  body["draining"] = draining_.load();
  body["current"] = config_->IsCurrent();
  body["log_reachable"] = budgets_->LogReachable();
  json::object version;
  if (auto snapshot = config_->snapshot()) {
    version["version"] = snapshot->version;
    version["id"] = snapshot->id;
    version["since_ms"] = absl::ToUnixMillis(snapshot->since);
  } else {
    version["version"] = 0;
  }
  body["config"] = std::move(version);
  json::array budgets;
  for (const BudgetStatus& status : budgets_->Status())
    budgets.push_back(BudgetJson(status));
  body["budgets"] = std::move(budgets);
  json::array pools;
  for (const PoolStatus& pool : scheduler_.Status()) {
    json::object item;
    item["pool"] = pool.pool;
    item["waiting"] = pool.waiting;
    item["free_slots"] = pool.free_slots;
    item["servers_connected"] = pool.connected;
    pools.push_back(std::move(item));
  }
  body["pools"] = std::move(pools);
  return JsonResponse(body);
}

HttpResponse RouterInstance::ModelsPage() const {
  json::array data;
  if (auto snapshot = config_->snapshot()) {
    for (const Model& model : snapshot->configuration->models()) {
      json::object item;
      item["id"] = model.name;
      item["object"] = "model";
      data.push_back(std::move(item));
    }
  }
  json::object body;
  body["object"] = "list";
  body["data"] = std::move(data);
  return JsonResponse(body);
}

}  // namespace hawthornhollow
