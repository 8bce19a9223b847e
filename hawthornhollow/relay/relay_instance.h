#ifndef HAWTHORNHOLLOW_RELAY_RELAY_INSTANCE_H_
#define HAWTHORNHOLLOW_RELAY_RELAY_INSTANCE_H_

// A complete router: the servers for callers, readiness probes, metrics and
// other routers, and the controllers behind them.

#include <atomic>
#include <memory>
#include <string>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/catalog_controller.h"
#include "hawthornhollow/relay/congestion_detector.h"
#include "hawthornhollow/relay/instrumented_store.h"
#include "hawthornhollow/relay/link_load.h"
#include "hawthornhollow/relay/peer_fallback.h"
#include "hawthornhollow/relay/peer_service.h"
#include "hawthornhollow/relay/quarantine_controller.h"
#include "hawthornhollow/relay/relay.h"
#include "hawthornhollow/relay/relay_metrics.h"
#include "hawthornhollow/relay/request_run.h"
#include "hawthornhollow/relay/server_limits_controller.h"
#include "hawthornhollow/relay/totals_controller.h"

namespace hawthornhollow {

struct RelaySettings {
  std::string router;  // name of the VM
  std::string failure_domain;
  Endpoint callers;
  Endpoint readiness;
  Endpoint peers;  // listens for other routers
  // Where metrics are served. They are also served to other routers at `peers`.
  std::optional<Endpoint> metrics;
  // Upper bound on the duration of a graceful shutdown.
  absl::Duration shutdown_timeout = absl::Seconds(8);
  // The part of `shutdown_timeout` in which new connections are still accepted,
  // until the load balancer has noticed that the router is not ready.
  absl::Duration drain_delay = absl::Milliseconds(2300);
  // A request read later than this in a stop is taken only if it ends in time.
  // Nearly all come before: after `drain_delay` no connection is accepted.
  absl::Duration late_after = absl::Milliseconds(2800);
  // Retry budget of all routers together, per service: `retry_ratio` retries
  // for each request, plus a burst of `retry_burst`.
  double retry_ratio = 0.2;
  double retry_burst = 50;
  // The retry burst is divided among the known routers, but at least among this
  // many, because after a start not all routers are known yet.
  int64_t min_assumed_routers = 8;
  // Limits for callers' connections. They are wider than those that operators
  // configure, because no configuration may be in force yet.
  size_t max_header_bytes = 64 * 1024;
  size_t max_body_bytes = 8 * 1024 * 1024;
  absl::Duration request_timeout = absl::Seconds(10);
  absl::Duration idle_timeout = absl::Seconds(120);
  // How long a port that is taken is waited for at the start.
  absl::Duration bind_timeout = absl::Seconds(10);
  // Timeout of one write to a caller.
  absl::Duration write_timeout = absl::Seconds(5);
  // Of all answers together that are read whole before they are passed on. The
  // smallest VMs have 88 MB.
  size_t max_buffered_bytes = 16 * 1024 * 1024;
  // Of one answer of another router. Entries of thousands of servers are 1 MB.
  size_t max_peer_answer_bytes = 8 * 1024 * 1024;
  RunOptions run;
  CongestionDetectorOptions link;
  LinkLoadOptions link_load;
  CatalogOptions catalog;
  PeerReaderOptions peer_reader;
  QuarantineControllerOptions quarantine;
  ServerLimitsControllerOptions server_limits;
  PlacementOptions placement;
};

template <SharedStore Store, MessageCodec D>
class RelayInstance {
 public:
  RelayInstance(const RelaySettings& settings, Runtime& runtime, Store& store)
      : settings_(settings),
        runtime_(runtime),
        client_({.connect_timeout = settings.link.timeout,
                 .max_idle_per_endpoint = 64,
                 .max_body_bytes = settings.max_peer_answer_bytes}),
        link_(settings.link),
        link_load_(settings.link_load),
        store_(store, metrics_),
        placement_(settings.placement),
        totals_(
            store_,
            metrics_,
            {.book = {.router = settings.router,
                      .boot = BootId(),
                      .address = settings.peers.ToString(),
                      .failure_domain = settings.failure_domain}},
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
                      },
                  .on_servers =
                      [this](const std::vector<RelayServer>& servers) {
                        placement_.SetServers(leaving_.Apply(servers));
                        server_limits_.KeepServers(servers);
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
             .ask =
                 [this](const std::string& address,
                        const PermitQuestion& question) {
                   return AskPeerForPermit(client_, address, question);
                 },
             .tell =
                 [this](const std::string& address,
                        const std::vector<ServerLimitStatement>& statements) {
                   return TellPeerOfLimits(client_, address, statements);
                 }}),
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
        .leaving = &leaving_,
        .callers = &running_,
        .retries = &retries_,
        .retry_ratio = settings.retry_ratio / 2};
  }
  RelayInstance(const RelayInstance&) = delete;
  RelayInstance& operator=(const RelayInstance&) = delete;

  // Blocks the calling thread while a port is taken, for at most
  // `RelaySettings::bind_timeout`.
  absl::Status Start() {
    absl::Status status = Listen(
        settings_.peers,
        [this](const HttpRequest& request, ResponseWriter& writer) {
          AnswerPeer(request, writer);
        },
        &peer_server_);
    if (status.ok())
      status = Listen(
          settings_.readiness,
          [this](const HttpRequest&, ResponseWriter& writer) {
            AnswerReadiness(writer);
          },
          &readiness_server_);
    if (status.ok())
      status = Listen(
          settings_.callers,
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
    fallback_.Start(runtime_, stop_);
    runtime_.Spawn([this] { CloseStaleConnections(); });
    runtime_.Spawn([this] { totals_.RunAuthorityLoop(stop_); });
    runtime_.Spawn([this] { totals_.RunLevelLoop(stop_); });
    runtime_.Spawn([this] { totals_.RunReturnLoop(stop_); });
    LogEvent("router.started").Add("callers", settings_.callers.ToString());
    return absl::OkStatus();
  }

  // Drains requests in progress, for at most `RelaySettings::shutdown_timeout`.
  // What is not answered shortly before its end is answered 502 or 504; only a
  // stream that has begun is cut. Call it on a fiber.
  void Shutdown() {
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

 private:
  // For the final records of totals, at the end of a stop.
  static constexpr absl::Duration kFinalRecordsTime = absl::Milliseconds(300);

  void CloseStaleConnections() {
    constexpr absl::Duration kInterval = absl::Seconds(1);
    while (!stop_) {
      client_.CloseStaleConnections();
      hawthornhollow::SleepFor(kInterval);
    }
  }

  void EndAtDueTime() {
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

  // Whether a request comes late in a stop and may not end before it does.
  bool IsTooLate(const RunContext& run) const {
    return run.arrived > takes_all_until_ && run.deadline > answers_due_;
  }

  // A port may be taken for a while: by the process before, as it ends, or by a
  // connection that the system gave it to.
  absl::Status Listen(const Endpoint& local,
                      const HttpHandler& handler,
                      std::unique_ptr<HttpServer>* server) {
    constexpr absl::Duration kRetryDelay = absl::Milliseconds(100);
    const absl::Time end = SteadyNow() + settings_.bind_timeout;
    bool is_logged = false;
    while (true) {
      const absl::Status status = TryListen(local, handler, server);
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

  // Counters are served where other routers call, too: requests are not refused
  // for want of this port.
  void ListenForMetrics() {
    const absl::Status status = TryListen(
        *settings_.metrics,
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

  absl::Status TryListen(const Endpoint& local,
                         const HttpHandler& handler,
                         std::unique_ptr<HttpServer>* server) {
    auto started =
        HttpServer::Start(runtime_,
                          {.local = local,
                           .max_header_bytes = settings_.max_header_bytes,
                           .max_body_bytes = settings_.max_body_bytes,
                           .request_timeout = settings_.request_timeout,
                           .idle_timeout = settings_.idle_timeout,
                           .write_timeout = settings_.write_timeout},
                          handler);
    if (!started.ok())
      return started.status();
    *server = *std::move(started);
    return absl::OkStatus();
  }

  void AnswerPeer(const HttpRequest& request, ResponseWriter& writer) {
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
               .limits = [this] { return server_limits_.statements(); }},
              writer);
  }

  LimitWatch LimitCalls() {
    return {
        .on_answer =
            [this](const std::string& server, std::optional<double> limit,
                   absl::Time sent_at) {
              server_limits_.OnAnswer(server, limit, sent_at);
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

  void AnswerMetrics(ResponseWriter& writer) {
    writer
        .Send({.headers = {{"Content-Type", "text/plain; version=0.0.4"}},
               .body = metrics_.Render(Gauges())})
        .IgnoreError();
  }

  // The other servers may be queried before the callers' server has started.
  size_t CallerConnections() const {
    return caller_server_ == nullptr ? 0 : caller_server_->connection_count();
  }

  RelayGauges Gauges() const {
    const auto table = catalog_.table();
    const TotalsSum tokens = totals_.sum();
    return {
        .config_version = table == nullptr ? 0 : table->version(),
        .config_age = catalog_.table_age(),
        .servers_age = catalog_.servers_age(),
        .servers = static_cast<int64_t>(catalog_.server_count()),
        .kept_servers = static_cast<int64_t>(catalog_.kept_server_count()),
        .routers = static_cast<int64_t>(totals_.router_count()),
        .quarantined_parts =
            static_cast<int64_t>(quarantine_.quarantined().size()),
        .limited_servers = static_cast<int64_t>(server_limits_.limited_count()),
        .requests_in_progress = in_progress_,
        .caller_connections = static_cast<int64_t>(CallerConnections()),
        .available_tokens = tokens.available,
        .waiting_tokens = tokens.waiting,
        .record_age = totals_.record_age()};
  }

  void AnswerReadiness(ResponseWriter& writer) {
    UpdateLinkState();
    const bool ready = catalog_.ready() && !draining_ && !link_busy_;
    writer.Send({.status = ready ? 200 : 503}).IgnoreError();
  }

  // Called for each readiness probe. A busy link makes the router unready, so
  // that callers go to others before it is congested. A congested one does not:
  // probes over it time out anyway, and if many routers are slow at once,
  // removing some makes the remaining ones slower.
  void UpdateLinkState() {
    const absl::Time now = SteadyNow();
    const bool is_busy = link_load_.IsBusy(now);
    if (std::exchange(link_busy_, is_busy) != is_busy) {
      constexpr double kPercent = 100;
      LogEvent(is_busy ? "link.busy" : "link.free")
          .Add("used_percent",
               static_cast<int64_t>(kPercent * link_load_.Share(now)));
    }
    const bool is_congested = link_.IsCongested(now);
    if (std::exchange(link_congested_, is_congested) == is_congested)
      return;
    LogEvent(is_congested ? "link.choked" : "link.clear",
             is_congested ? LogSeverity::kWarning : LogSeverity::kInfo)
        .Add("quickest_ms",
             absl::ToInt64Milliseconds(link_.MinConnectTime(now)))
        .Add("store_age_ms", absl::ToInt64Milliseconds(catalog_.table_age()));
  }

  void ServeCaller(const HttpRequest& request, ResponseWriter& writer) {
    const absl::Time arrived = SteadyNow();
    constexpr size_t kTypicalHeadBytes = 500;
    link_load_.OnRelayed(request.body.size() + kTypicalHeadBytes, arrived);
    ++in_progress_;
    const absl::Cleanup ended = [this] { --in_progress_; };
    auto call = D::DecodeCall(request);
    if (!call.ok()) {
      LogEvent("request.rejected", LogSeverity::kWarning)
          .Add("reason", call.status());
      Refuse(RelayCall(), RelayError::kBadRequest, writer);
      return;
    }
    RunContext run{.request = &request, .call = *call, .arrived = arrived};
    if (const auto error = Resolve(&run)) {
      RefuseRun(run, *error, writer);
      return;
    }
    if (IsTooLate(run)) {
      RefuseRun(run, RelayError::kStopping, writer);
      return;
    }
    ReserveAndRun(run, writer);
  }

  // Determines the route, workspace, service and deadline of a request.
  std::optional<RelayError> Resolve(RunContext* run) {
    run->table = catalog_.table();
    if (run->table == nullptr)
      return RelayError::kNotReady;
    run->route = run->table->Match(run->call.host, run->call.path);
    if (run->route == nullptr)
      return RelayError::kUnknownRoute;
    if (!run->route->is_public && !run->table->workspaces().empty()) {
      run->workspace = run->table->FindByKey(run->call.key);
      if (run->workspace == nullptr)
        return RelayError::kUnknownKey;
    }
    run->service = PickService(*run->route);
    // Time for the answer to reach the caller.
    constexpr absl::Duration kAnswerDeliveryTime = absl::Milliseconds(20);
    absl::Duration limit = run->route->timeout;
    if (run->call.time_limit.has_value())
      limit = std::min(limit, *run->call.time_limit - kAnswerDeliveryTime);
    run->deadline = run->arrived + limit;
    return std::nullopt;
  }

  std::string PickService(const RelayRoute& route) {
    int64_t sum = 0;
    for (const WeightedService& service : route.services)
      sum += service.weight;
    int64_t draw =
        absl::Uniform<int64_t>(random_, 0, std::max<int64_t>(1, sum));
    for (const WeightedService& service : route.services) {
      draw -= service.weight;
      if (draw < 0)
        return service.service;
    }
    return route.services.back().service;
  }

  // This router's part of the retry burst of all routers.
  double OwnRetryBurst() const {
    const int64_t known = static_cast<int64_t>(totals_.router_count());
    return settings_.retry_burst /
           static_cast<double>(std::max(known, settings_.min_assumed_routers));
  }

  void ReserveAndRun(RunContext& run, ResponseWriter& writer) {
    if (quarantine_.IsQuarantined(run.call)) {
      RefuseRun(run, RelayError::kPromptQuarantined, writer);
      return;
    }
    shared_.retry_burst = OwnRetryBurst();
    const int64_t tokens = run.call.prompt_tokens + run.call.max_output_tokens;
    std::shared_ptr<TokenHold> hold;
    if (run.workspace != nullptr && run.workspace->prepaid.has_value() &&
        tokens > 0) {
      auto acquired = totals_.Acquire({.request = run.call.id,
                                       .workspace = run.workspace->name,
                                       .tokens = tokens,
                                       .urgency = UrgencyOf(run)},
                                      TokenWaitLimits(run),
                                      [&] { return writer.IsClientGone(); });
      if (!acquired.ok()) {
        EndWithoutTokens(run, acquired.status(), writer);
        return;
      }
      hold = *std::move(acquired);
      run.on_sent = [&](absl::Duration expected) {
        totals_.ScheduleCommitRecord(hold, expected);
      };
      run.before_answer = [&] {
        return totals_.Commit(run.call.id, *hold, run.deadline - SteadyNow());
      };
    }
    const RunSummary summary =
        RequestRun<D>(settings_.run, shared_, run, writer).Run();
    const int64_t used = UsedTokens(run, summary);
    if (hold != nullptr)
      totals_.Finish(*hold, used);
    ReportEnd(run, summary, tokens, used);
  }

  WaitLimits TokenWaitLimits(const RunContext& run) const {
    constexpr double kMaxShareOfTarget = 0.25;
    // Tokens of requests that end come back all the time, so a short wait is
    // worth while even if no holder has any now.
    constexpr double kPatienceShareOfTarget = 0.125;
    const absl::Duration timeout =
        std::min(run.route->latency_target * kMaxShareOfTarget,
                 run.deadline - SteadyNow());
    return {.patience = std::min(
                run.route->latency_target * kPatienceShareOfTarget, timeout),
            .timeout = timeout};
  }

  static int64_t UsedTokens(const RunContext& run, const RunSummary& summary) {
    // A caller that received nothing is not charged.
    if (!summary.may_have_run || summary.events == 0)
      return 0;
    const RelayService* service = run.table->FindService(run.service);
    const int64_t per_event =
        service == nullptr ? 0 : service->tokens_per_event;
    return run.call.prompt_tokens +
           std::min(run.call.max_output_tokens, summary.events * per_event);
  }

  void EndWithoutTokens(const RunContext& run,
                        const absl::Status& reason,
                        ResponseWriter& writer) {
    switch (reason.code()) {
      case absl::StatusCode::kCancelled:
        ReportEnd(run, {.outcome = "caller_gone"}, 0, 0);
        break;
      case absl::StatusCode::kResourceExhausted:
        RefuseRun(run, RelayError::kTotalSpent, writer);
        break;
      default:
        RefuseRun(run, RelayError::kTokensUnavailable, writer);
        break;
    }
  }

  void Refuse(const RelayCall& call, RelayError error, ResponseWriter& writer) {
    const absl::Duration retry_after =
        JitteredRetryAfter(settings_.run.RetryAfter(error), random_);
    HttpResponse response = D::EncodeRefusal(call, error, retry_after);
    if (link_load_.IsBusy(SteadyNow()))
      response.headers.push_back(kCloseConnection);
    writer.Send(response).IgnoreError();
  }

  // Refuses a request for which no attempt was made.
  void RefuseRun(const RunContext& run,
                 RelayError error,
                 ResponseWriter& writer) {
    Refuse(run.call, error, writer);
    const RelayErrorTraits traits = TraitsOf(error);
    ReportEnd(run,
              {.outcome = std::string(traits.code), .status = traits.status}, 0,
              0);
  }

  void ReportEnd(const RunContext& run,
                 const RunSummary& summary,
                 int64_t reserved,
                 int64_t used) {
    metrics_.OnRequestEnd(
        {.route = run.route == nullptr ? "" : run.route->name,
         .priority = run.route == nullptr ? 0 : run.route->priority,
         .outcome = summary.outcome,
         .took = SteadyNow() - run.arrived,
         .first_event = summary.first_event,
         .used_tokens = used});
    LogEvent("request.end")
        .Add("request", run.call.id)
        .Add("route", run.route == nullptr ? "" : run.route->name)
        .Add("workspace", run.workspace == nullptr ? "" : run.workspace->name)
        .Add("version", run.table == nullptr ? 0 : run.table->version())
        .Add("outcome", summary.outcome)
        .Add("status", summary.status)
        .Add("server", summary.server)
        .Add("attempts", summary.attempts)
        .Add("events", summary.events)
        .Add("reserved", reserved)
        .Add("used", used)
        .Add("took_ms", absl::ToInt64Milliseconds(SteadyNow() - run.arrived))
        .Add("first_ms", summary.first_event == absl::InfiniteDuration()
                             ? -1
                             : absl::ToInt64Milliseconds(summary.first_event));
  }

  const RelaySettings settings_;
  Runtime& runtime_;
  HttpClient client_;
  CongestionDetector link_;
  LinkLoad link_load_;
  RelayMetrics metrics_;
  InstrumentedStore<Store> store_;
  LeavingServers leaving_;
  PromptPlacement placement_;
  TotalsController<InstrumentedStore<Store>> totals_;
  CatalogController<InstrumentedStore<Store>, D> catalog_;
  QuarantineController<InstrumentedStore<Store>> quarantine_;
  ServerLimitsController server_limits_;
  PeerFallback<CatalogController<InstrumentedStore<Store>, D>,
               QuarantineController<InstrumentedStore<Store>>>
      fallback_;
  std::map<std::string, RetryBudget> retries_;
  SharedRunState shared_;
  absl::BitGen random_;
  std::atomic<bool> stop_{false};
  std::set<std::shared_ptr<CallerState>> running_;
  bool draining_ = false;
  // Once the router stops: when a request that is read then must be able to end
  // before `answers_due_`, and when what is in work is answered.
  absl::Time takes_all_until_ = absl::InfiniteFuture();
  absl::Time answers_due_ = absl::InfiniteFuture();
  BufferedAnswers answers_{settings_.max_buffered_bytes};
  bool link_busy_ = false;
  bool link_congested_ = false;
  int64_t in_progress_ = 0;
  std::unique_ptr<HttpServer> peer_server_;
  std::unique_ptr<HttpServer> metrics_server_;
  std::unique_ptr<HttpServer> readiness_server_;
  std::unique_ptr<HttpServer> caller_server_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_RELAY_INSTANCE_H_
