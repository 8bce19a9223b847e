#ifndef HAWTHORNHOLLOW_RELAY_RELAY_INSTANCE_IMPL_H_
#define HAWTHORNHOLLOW_RELAY_RELAY_INSTANCE_IMPL_H_

// The bodies of RelayInstance: assembly, start and stop, other routers,
// readiness. Included by relay_instance.h only.

#include "hawthornhollow/relay/relay_instance.h"

namespace hawthornhollow {

template <SharedStore Store, MessageCodec D>
RelayInstance<Store, D>::RelayInstance(const RelaySettings& settings,
                                       Runtime& runtime,
                                       Store& store)
    : settings_(settings),
      runtime_(runtime),
      client_({.connect_timeout = settings.link.timeout,
               .max_idle_per_endpoint = 64,
               .max_body_bytes = settings.max_peer_answer_bytes}),
      link_(settings.link),
      link_load_(settings.link_load),
      store_(store, metrics_),
      placement_(settings.placement),
      load_(settings.router, settings.load, CallsOfLoad()),
      totals_(
          store_,
          metrics_,
          {.book = {.router = settings.router,
                    .boot = BootId(),
                    .address = settings.peers.ToString(),
                    .failure_domain = settings.failure_domain,
                    .spent_by_use = settings.spent_by_use}},
          [&runtime](std::function<void()> task) {
            runtime.Spawn(std::move(task));
          },
          {.ask =
               [this](const std::string& address,
                      const TransferQuestion& question) {
                 return AskPeerForTokens(client_, address, question);
               },
           .hand_over =
               [this](const std::string& address,
                      const std::string& workspace,
                      int64_t tokens) {
                 return HandTokensToPeer(client_, address, workspace, tokens);
               }},
          [this](const std::string& address) {
            return AskPeerTimeOfDay(client_, address);
          }),
      catalog_(store_,
               settings.catalog,
               {.on_table =
                    [this](const std::shared_ptr<const RoutingTable>& table) {
                      totals_.SetTotals(*table);
                      server_limits_.SetServices(table->services());
                      load_.SetTable(table);
                    },
                .on_servers =
                    [this](const std::vector<RelayServer>& servers) {
                      resting_.OnServers(servers);
                      placement_.SetServers(leaving_.Apply(servers));
                      load_.SetServers(servers);
                      server_limits_.KeepServers(servers);
                    },
                .on_evacuated =
                    [this](const std::set<std::string>& domains) {
                      placement_.SetEvacuatedDomains(domains);
                    },
                .on_domain_restored =
                    [this](const std::string& failure_domain, absl::Time at) {
                      server_limits_.OnDomainRestored(failure_domain, at);
                    }}),
      quarantine_(
          store_,
          settings.quarantine,
          {.spawn =
               [&runtime](std::function<void()> task) {
                 runtime.Spawn(std::move(task));
               },
           .addresses = [this] { return totals_.OtherRouterAddresses(); },
           .report_crash =
               [this](const std::string& address, const ServerCrash& crash) {
                 return ReportCrashToPeer(client_, address, crash);
               },
           .report_sound =
               [this](const std::string& address,
                      const std::vector<std::string>& parts) {
                 return ReportSoundToPeer(client_, address, parts);
               },
           .refuses = &RefusesConnections}),
      server_limits_(
          settings.router,
          settings.server_limits,
          {.spawn =
               [&runtime](std::function<void()> task) {
                 runtime.Spawn(std::move(task));
               },
           .routers = [this] { return totals_.LivingRouters(); },
           .knows_routers = [this] { return totals_.started(); },
           .is_new_router = [this] { return totals_.is_new_router(); },
           .ask =
               [this](const std::string& address,
                      const PermitQuestion& question) {
                 return AskPeerForPermit(client_, address, question);
               },
           .tell =
               [this](const std::string& address,
                      const std::vector<ServerLimitStatement>& statements) {
                 return TellPeerOfLimits(client_, address, statements);
               },
           .refuses = &RefusesConnections}),
      fallback_(
          settings.peer_reader,
          [this] { return totals_.OtherRouterAddresses(); },
          client_,
          catalog_,
          quarantine_,
          server_limits_) {
  shared_ = {
      .client = &client_,
      .placement = &placement_,
      .link = &link_,
      .link_load = &link_load_,
      .answers = &answers_,
      .metrics = &metrics_,
      .prompts = {.is_quarantined =
                      [this](const RelayCall& call) {
                        return quarantine_.IsQuarantined(call);
                      },
                  .on_answer_went_on =
                      [this](const RelayCall& call) {
                        quarantine_.OnAnswerWentOn(call);
                      },
                  .on_broke_off =
                      [this](const RelayCall& call, const RelayServer& server,
                             BreakPoint point) {
                        quarantine_.OnBrokeOff(call, server, point);
                      }},
      .limits = LimitCalls(),
      .load = &load_,
      .leaving = &leaving_,
      .resting = &resting_,
      .callers = &running_,
      .retries = &retries_,
      .retry_ratio = settings.retry_ratio / 2};
}

template <SharedStore Store, MessageCodec D>
absl::Status RelayInstance<Store, D>::Start() {
  absl::Status status = Listen(
      settings_.peers, PeerTraits(),
      [this](const HttpRequest& request, ResponseWriter& writer) {
        AnswerPeer(request, writer);
      },
      &peer_server_);
  if (status.ok())
    status = Listen(
        settings_.readiness, ProbeTraits(),
        [this](const HttpRequest&, ResponseWriter& writer) {
          AnswerReadiness(writer);
        },
        &readiness_server_);
  if (status.ok())
    status = Listen(
        settings_.callers, CallerTraits(),
        [this](const HttpRequest& request, ResponseWriter& writer) {
          ServeCaller(request, writer);
        },
        &caller_server_);
  if (status.ok() && settings_.metrics.has_value())
    ListenForMetrics();
  if (!status.ok())
    return status;
  runtime_.Spawn([this] { catalog_.FollowConfiguration(stop_); });
  runtime_.Spawn([this] { catalog_.FollowServers(stop_); });
  runtime_.Spawn([this] { quarantine_.Run(stop_); });
  runtime_.Spawn([this] { server_limits_.Run(stop_); });
  runtime_.Spawn([this] { load_.Run(stop_); });
  fallback_.Start(runtime_, stop_);
  runtime_.Spawn([this] { CloseStaleConnections(); });
  runtime_.Spawn([this] { totals_.RunAuthorityLoop(stop_); });
  runtime_.Spawn([this] { totals_.RunLevelLoop(stop_); });
  runtime_.Spawn([this] { totals_.RunReturnLoop(stop_); });
  LogEvent("router.started").Add("callers", settings_.callers.ToString());
  return absl::OkStatus();
}

template <SharedStore Store, MessageCodec D>
void RelayInstance<Store, D>::Shutdown() {
  constexpr absl::Duration kAnswerTime = absl::Milliseconds(300);
  const absl::Time begin = SteadyNow();
  const absl::Time end = begin + settings_.shutdown_timeout;
  takes_all_until_ = begin + settings_.late_after;
  answers_due_ = end - kFinalRecordsTime - kAnswerTime;
  runtime_.Spawn([this] { EndAtDueTime(); });
  LogEvent("router.stopping")
      .Add("bound_ms", absl::ToInt64Milliseconds(settings_.shutdown_timeout));
  draining_ = true;
  hawthornhollow::SleepFor(settings_.drain_delay);
  const absl::Status drained =
      caller_server_->Drain(end - SteadyNow() - kFinalRecordsTime);
  stop_ = true;
  totals_.Close();
  LogEvent("router.stopped").Add("drained", drained);
}

template <SharedStore Store, MessageCodec D>
void RelayInstance<Store, D>::CloseStaleConnections() {
  constexpr absl::Duration kInterval = absl::Seconds(1);
  while (!stop_) {
    client_.CloseStaleConnections();
    hawthornhollow::SleepFor(kInterval);
  }
}

template <SharedStore Store, MessageCodec D>
void RelayInstance<Store, D>::EndAtDueTime() {
  hawthornhollow::SleepFor(answers_due_ - SteadyNow());
  if (running_.empty())
    return;
  LogEvent("router.requests_expired", LogSeverity::kWarning)
      .Add("requests", running_.size());
  // A request that ends takes itself out.
  const auto running = running_;
  for (const std::shared_ptr<CallerState>& caller : running)
    caller->Expire();
}

template <SharedStore Store, MessageCodec D>
absl::Status RelayInstance<Store, D>::Listen(
    const Endpoint& local,
    const ServerTraits& traits,
    const HttpHandler& handler,
    std::unique_ptr<HttpServer>* server) {
  constexpr absl::Duration kRetryDelay = absl::Milliseconds(100);
  const absl::Time end = SteadyNow() + settings_.bind_timeout;
  bool is_logged = false;
  while (true) {
    const absl::Status status = TryListen(local, traits, handler, server);
    if (status.ok() || SteadyNow() + kRetryDelay > end)
      return status;
    if (!std::exchange(is_logged, true)) {
      LogEvent("router.port_taken", LogSeverity::kWarning)
          .Add("local", local.ToString())
          .Add("reason", status);
    }
    absl::SleepFor(kRetryDelay);
  }
}

template <SharedStore Store, MessageCodec D>
void RelayInstance<Store, D>::ListenForMetrics() {
  const absl::Status status = TryListen(
      *settings_.metrics, ProbeTraits(),
      [this](const HttpRequest&, ResponseWriter& writer) {
        AnswerMetrics(writer);
      },
      &metrics_server_);
  if (status.ok())
    return;
  LogEvent("router.metrics_port_taken", LogSeverity::kWarning)
      .Add("local", settings_.metrics->ToString())
      .Add("reason", status);
}

template <SharedStore Store, MessageCodec D>
absl::Status RelayInstance<Store, D>::TryListen(
    const Endpoint& local,
    const ServerTraits& traits,
    const HttpHandler& handler,
    std::unique_ptr<HttpServer>* server) {
  auto started =
      HttpServer::Start(runtime_,
                        {.local = local,
                         .max_header_bytes = settings_.max_header_bytes,
                         .max_body_bytes = settings_.max_body_bytes,
                         .max_connections = MaxConnections(traits),
                         .account = account_,
                         .body_copies = 1,  // that of an attempt
                         .handler_bytes = kHandlerBytes,
                         .check_head = traits.check_head,
                         .request_timeout = settings_.request_timeout,
                         .idle_timeout = settings_.idle_timeout,
                         .write_timeout = settings_.write_timeout},
                        handler);
  if (!started.ok())
    return started.status();
  *server = *std::move(started);
  return absl::OkStatus();
}

template <SharedStore Store, MessageCodec D>
size_t RelayInstance<Store, D>::MaxConnections(
    const ServerTraits& traits) const {
  constexpr size_t kMin = 4;
  constexpr size_t kMax = 4096;
  const size_t descriptors = settings_.max_descriptors > 0
                                 ? settings_.max_descriptors
                                 : RequestAccount::MaxDescriptors();
  const double most = std::min(
      traits.descriptors * static_cast<double>(descriptors),
      traits.memory * static_cast<double>(account_->max_connections()));
  return std::clamp(static_cast<size_t>(most), kMin, kMax);
}

template <SharedStore Store, MessageCodec D>
void RelayInstance<Store, D>::AnswerPeer(const HttpRequest& request,
                                         ResponseWriter& writer) {
  if (request.method == "GET" && request.Path() == "/metrics")
    return AnswerMetrics(writer);
  ServePeer(request,
            {.give =
                 [this](const TransferQuestion& question) {
                   return totals_.GiveTokens(question);
                 },
             .take =
                 [this](const std::string& workspace, int64_t tokens) {
                   totals_.TakeTokens(workspace, tokens);
                 },
             .configuration =
                 [this](int64_t version) {
                   return catalog_.ConfigurationAfter(version);
                 },
             .servers =
                 [this](const StorePosition& known) {
                   return catalog_.ReportServers(known);
                 },
             .evacuations = [this] { return catalog_.ReportEvacuations(); },
             .crash =
                 [this](const ServerCrash& crash, const std::string& peer) {
                   quarantine_.OnReported(crash, peer);
                 },
             .sound =
                 [this](const std::vector<std::string>& parts) {
                   quarantine_.OnSoundReported(parts);
                 },
             .quarantine = [this] { return quarantine_.quarantined(); },
             .permit =
                 [this](const PermitQuestion& question) {
                   return server_limits_.OnPermitWanted(question);
                 },
             .limits_told =
                 [this](const std::vector<ServerLimitStatement>& statements) {
                   server_limits_.OnTold(statements, "peer");
                 },
             .limits = [this] { return server_limits_.statements(); },
             .placement =
                 [this](const PlacementQuestion& question) {
                   return load_.OnAsked(question);
                 },
             .load_report =
                 [this](const LoadReport& load_report) {
                   load_.OnReported(load_report);
                 }},
            writer);
}

template <SharedStore Store, MessageCodec D>
LoadCalls RelayInstance<Store, D>::CallsOfLoad() {
  return {
      .spawn =
          [this](std::function<void()> task) {
            runtime_.Spawn(std::move(task));
          },
      .routers = [this] { return totals_.LivingRouters(); },
      .ask =
          [this](const std::string& address, const PlacementQuestion& question,
                 absl::Duration timeout) {
            return AskPeerForPlacement(client_, address, question, timeout);
          },
      .report =
          [this](const std::string& address, const LoadReport& report) {
            return ReportLoadToPeer(client_, address, report);
          },
      .is_link_busy = [this] { return link_load_.IsBusy(SteadyNow()); }};
}

template <SharedStore Store, MessageCodec D>
LimitWatch RelayInstance<Store, D>::LimitCalls() {
  return {
      .on_answer =
          [this](const std::string& server, std::optional<double> limit,
                 absl::Time sent_at) {
            server_limits_.OnAnswer(server, limit, sent_at);
          },
      .on_cold =
          [this](const std::string& server, absl::Duration cold_for,
                 absl::Time sent_at) {
            server_limits_.OnColdStated(server, cold_for, sent_at);
          },
      .on_connection_lost =
          [this](const RelayServer& server) {
            server_limits_.OnConnectionLost(server);
          },
      .limited_servers = [this] { return server_limits_.LimitedServers(); },
      .blocked =
          [this](int64_t urgency) { return server_limits_.Blocked(urgency); },
      .acquire =
          [this](const std::string& server, int64_t urgency) {
            return server_limits_.Acquire(server, urgency);
          },
      .retry_after =
          [this](const std::vector<std::string>& servers, int64_t urgency) {
            return server_limits_.RetryAfter(servers, urgency);
          }};
}

template <SharedStore Store, MessageCodec D>
void RelayInstance<Store, D>::AnswerMetrics(ResponseWriter& writer) {
  writer
      .Send({.headers = {{"Content-Type", "text/plain; version=0.0.4"}},
             .body = metrics_.Render(Gauges())})
      .IgnoreError();
}

template <SharedStore Store, MessageCodec D>
RelayGauges RelayInstance<Store, D>::Gauges() const {
  const auto table = catalog_.table();
  const TotalsSum tokens = totals_.sum();
  return {
      .config_version = table == nullptr ? 0 : table->version(),
      .config_age = catalog_.table_age(),
      .servers_age = catalog_.servers_age(),
      .servers = static_cast<int64_t>(catalog_.server_count()),
      .kept_servers = static_cast<int64_t>(catalog_.kept_server_count()),
      .routers = static_cast<int64_t>(totals_.router_count()),
      .evacuated_domains =
          static_cast<int64_t>(catalog_.evacuated_domains().size()),
      .quarantined_parts =
          static_cast<int64_t>(quarantine_.quarantined().size()),
      .limited_servers = static_cast<int64_t>(server_limits_.limited_count()),
      .cold_servers = static_cast<int64_t>(server_limits_.cold_count()),
      .coordinated_servers = static_cast<int64_t>(load_.coordinated_servers()),
      .requests_in_progress = in_progress_,
      .caller_connections = static_cast<int64_t>(CallerConnections()),
      .request_memory = static_cast<int64_t>(account_->used_bytes()),
      .refusals = account_->refusals(),
      .available_tokens = tokens.available,
      .waiting_tokens = tokens.waiting,
      .record_age = totals_.record_age()};
}

template <SharedStore Store, MessageCodec D>
void RelayInstance<Store, D>::AnswerReadiness(ResponseWriter& writer) {
  UpdateLinkState();
  const bool ready =
      catalog_.ready() && !draining_ && link_readiness_.IsReady(SteadyNow());
  writer.Send({.status = ready ? 200 : 503}).IgnoreError();
}

template <SharedStore Store, MessageCodec D>
void RelayInstance<Store, D>::UpdateLinkState() {
  const absl::Time now = SteadyNow();
  const bool is_busy = link_load_.IsBusy(now);
  link_readiness_.Update(is_busy, now);
  if (std::exchange(link_busy_, is_busy) != is_busy) {
    constexpr double kPercent = 100;
    LogEvent(is_busy ? "link.busy" : "link.free")
        .Add("used_percent",
             static_cast<int64_t>(kPercent * link_load_.Share(now)))
        .Add("wait_ms", absl::ToInt64Milliseconds(link_readiness_.wait()));
  }
  const bool is_congested = link_.IsCongested(now);
  if (std::exchange(link_congested_, is_congested) == is_congested)
    return;
  LogEvent(is_congested ? "link.choked" : "link.clear",
           is_congested ? LogSeverity::kWarning : LogSeverity::kInfo)
      .Add("quickest_ms", absl::ToInt64Milliseconds(link_.MinConnectTime(now)))
      .Add("store_age_ms", absl::ToInt64Milliseconds(catalog_.table_age()));
}

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_RELAY_INSTANCE_IMPL_H_
