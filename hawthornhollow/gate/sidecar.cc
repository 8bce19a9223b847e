// The sidecar process. It connects the router links, the calls of the backend
// server, and the log streams. The "members" stream holds the records by which
// routers and sidecars (gates) join, are suspected and leave; MembershipFold is
// the state computed from them. The "ledger-N" streams hold the bills.
//
// Start: cancels the runs that an earlier incarnation left at the engine,
// appends a GateOpen record, and serves requests only after it has read that
// record back from the "members" stream. By then it has applied every
// RouterSuspect record before its own and sealed those routers. MembershipFold
// therefore requires no GateSealed record from a gate that opened after the
// suspicion.
//
// Sealing: a suspected router is refused as soon as its RouterSuspect record
// has been read. GateSealed is appended for the router once every run that it
// pays for has ended and has a durable bill. The bills must come first, because
// MembershipFold returns the remainder of the router's grants on GateSealed.
//
// Bills: one fiber appends the due bills and waits until they are durable. The
// stream writer keeps its records and retries for as long as the process lives,
// so each record is appended once, however long the log is unavailable.
//
// Shutdown: notifies the routers, refuses new requests, waits for the active
// runs and their bills, appends GateClosed, and ends. It ends without
// GateClosed after `drain_seconds`, or `settle_seconds` after the last run if
// the log accepts no records. This incarnation then counts as lost once the
// next one opens, and what it has not accounted for is charged.
//
// Replacement: an incarnation counts as lost once the "members" stream contains
// a GateOpen record of a newer incarnation with the same name. It stops serving
// at once, and the process opens a new incarnation.

#include <atomic>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/gate/router_link_server.h"
#include "hawthornhollow/gate/sidecar.h"
#include "hawthornhollow/http/http.h"
#include "hawthornhollow/log/log.h"

namespace hawthornhollow {
namespace {

constexpr absl::Duration kTickInterval = absl::Milliseconds(20);
constexpr absl::Duration kSealInterval = absl::Milliseconds(50);
constexpr absl::Duration kBillInterval = absl::Milliseconds(100);
constexpr absl::Duration kLoadPollInterval = absl::Milliseconds(500);
constexpr absl::Duration kCheckpointInterval = absl::Seconds(1);
constexpr absl::Duration kRetryInterval = absl::Milliseconds(500);
constexpr absl::Duration kDurableWait = absl::Seconds(1);
constexpr absl::Duration kDrainPollInterval = absl::Milliseconds(20);
constexpr absl::Duration kReopenDelay = absl::Seconds(1);
constexpr int kCancelStaleRunsTries = 5;
constexpr char kMembersStream[] = "members";

using Writer = StreamWriter<HttpLogClient>;
using MembersFollower = StreamFollower<MembershipFold, HttpLogClient>;

// The addresses in the settings, parsed.
struct SidecarEndpoints {
  Endpoint listen;
  Endpoint http_listen;
  Endpoint backend;
  Endpoint log_service;
};

absl::Status ParseEndpointSetting(std::string_view field,
                                  const std::string& text,
                                  Endpoint* endpoint) {
  absl::StatusOr<Endpoint> parsed = Endpoint::Parse(text);
  if (!parsed.ok()) {
    return Annotate(parsed.status(),
                    absl::StrCat("settings.", std::string(field)), text);
  }
  *endpoint = *std::move(parsed);
  return absl::OkStatus();
}

absl::StatusOr<SidecarEndpoints> ParseEndpoints(const SidecarSettings& s) {
  SidecarEndpoints endpoints;
  absl::Status status =
      ParseEndpointSetting("listen", s.listen, &endpoints.listen);
  status.Update(ParseEndpointSetting("http_listen", s.http_listen,
                                     &endpoints.http_listen));
  status.Update(ParseEndpointSetting("backend", s.backend, &endpoints.backend));
  status.Update(ParseEndpointSetting("log_service", s.log_service,
                                     &endpoints.log_service));
  if (!status.ok()) {
    return status;
  }
  return endpoints;
}

std::string LedgerStream(size_t shard) {
  return absl::StrCat("ledger-", shard);
}

class Sidecar {
 public:
  Sidecar(const SidecarSettings& settings,
          const SidecarEndpoints& endpoints,
          std::unique_ptr<Runtime> runtime)
      : settings_(settings),
        endpoints_(endpoints),
        identity_{settings.name, RandomId(), settings.server},
        runtime_(std::move(runtime)),
        log_(endpoints.log_service),
        link_server_(*runtime_, identity_, TableOptions(), RunnerOptions()) {}
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  // Ends the fibers before the objects that they use are destroyed.
  ~Sidecar() {
    stop_ = true;
    listener_.reset();
    http_server_.reset();
    runtime_.reset();
  }

  // Whether Run returned because a newer incarnation has replaced this one.
  bool replaced() const { return replaced_; }

  absl::Status Run() {
    CreateStreams();
    absl::Status status = StartServers();
    if (!status.ok()) {
      return status;
    }
    SpawnStreamFibers();
    SpawnPeriodicTasks();
    runtime_->Spawn([this] { RegisterAndServe(); });
    runtime_->Run([this] { Drain(); });
    return absl::OkStatus();
  }

 private:
  RequestTableOptions TableOptions() const {
    RequestTableOptions options;
    options.replay_bytes = settings_.replay_bytes;
    options.ledger_shards = shard_count();
    return options;
  }

  BackendRunnerOptions RunnerOptions() const {
    BackendRunnerOptions options;
    options.backend = endpoints_.backend;
    options.kind = is_engine() ? BackendKind::kEngine : BackendKind::kService;
    return options;
  }

  bool is_engine() const { return settings_.backend_kind == "engine"; }
  size_t shard_count() const {
    return static_cast<size_t>(settings_.ledger_shards);
  }

  // Setup.

  void CreateStreams() {
    members_writer_ = Writer::Create(
        log_, kMembersStream, identity_.incarnation, StreamWriterOptions());
    for (size_t shard = 0; shard < shard_count(); ++shard) {
      ledger_writers_.push_back(Writer::Create(log_, LedgerStream(shard),
                                               identity_.incarnation,
                                               StreamWriterOptions()));
    }
    StreamFollowerCallbacks callbacks;
    callbacks.on_verdicts = [this](int64_t, const std::vector<Verdict>&) {
      OnMembershipChange();
    };
    callbacks.on_restored = [this](int64_t) { OnMembershipChange(); };
    members_ = MembersFollower::Create(log_, kMembersStream,
                                       StreamFollowerOptions(), callbacks);
    members_->RegisterWriter(*members_writer_);
  }

  absl::Status StartServers() {
    HttpServerOptions options;
    options.local = endpoints_.http_listen;
    auto server = HttpServer::Start(
        *runtime_, options,
        [this](const HttpRequest& request, ResponseWriter& writer) {
          HandleHttpRequest(request, writer);
        });
    if (!server.ok()) {
      return Annotate(server.status(), "gate.http_listen",
                      settings_.http_listen);
    }
    http_server_ = *std::move(server);
    auto listener =
        TcpListener::Start(*runtime_, 0, endpoints_.listen,
                           [this](std::unique_ptr<TcpStream> stream) {
                             link_server_.Serve(std::move(stream));
                           });
    if (!listener.ok()) {
      return Annotate(listener.status(), "gate.listen", settings_.listen);
    }
    listener_ = *std::move(listener);
    return absl::OkStatus();
  }

  void SpawnStreamFibers() {
    runtime_->Spawn([this] { members_->Run(stop_); });
    runtime_->Spawn([this] { members_writer_->Run(stop_); });
    for (const std::unique_ptr<Writer>& writer : ledger_writers_) {
      runtime_->Spawn([this, &writer] { writer->Run(stop_); });
    }
  }

  void SpawnPeriodicTasks() {
    SpawnPeriodicTask(kTickInterval,
                      [this] { link_server_.Tick(absl::Now()); });
    SpawnPeriodicTask(kBillInterval, [this] { AppendDueBills(); });
    SpawnPeriodicTask(kSealInterval, [this] { AppendGateSealedRecords(); });
    SpawnPeriodicTask(kCheckpointInterval,
                      [this] { members_->MaybeCheckpoint(*members_writer_); });
    if (is_engine()) {
      SpawnPeriodicTask(kLoadPollInterval, [this] { PollLoad(); });
    }
  }

  void SpawnPeriodicTask(absl::Duration interval, std::function<void()> body) {
    runtime_->Spawn([this, interval, body = std::move(body)] {
      while (!stop_) {
        body();
        hawthornhollow::SleepFor(interval);
      }
    });
  }

  // Registration in the "members" stream.

  void RegisterAndServe() {
    CancelStaleRuns();
    while (!stop_ && !members_->WaitCaughtUp(kDurableWait).ok()) {
    }
    const std::optional<int64_t> sequence =
        AppendMembershipRecord(GateOpenRecord{
            identity_.name, identity_.incarnation, identity_.server});
    if (!sequence.has_value()) {
      return;
    }
    while (!stop_ && !IsApplied(*sequence)) {
    }
    OnMembershipChange();
    link_server_.SetReady();
    LogEvent("gate.ready")
        .Add("gate", identity_.name)
        .Add("incarnation", identity_.incarnation)
        .Add("server", identity_.server);
  }

  void CancelStaleRuns() {
    for (int i = 0; i < kCancelStaleRunsTries && !stop_; ++i) {
      const absl::Status status = link_server_.runner().CancelStaleRuns();
      if (status.ok()) {
        return;
      }
      LogEvent("gate.leftovers", LogSeverity::kWarning).Add("error", status);
      hawthornhollow::SleepFor(kRetryInterval);
    }
  }

  bool IsApplied(int64_t sequence) {
    return members_->WaitApplied(identity_.incarnation, sequence, kDurableWait)
        .ok();
  }

  // Queues a record for the "members" stream and returns its sequence number.
  // Retries until it succeeds; returns nullopt only if the sidecar is stopping.
  std::optional<int64_t> AppendMembershipRecord(const RecordBody& body) {
    while (!stop_) {
      const absl::StatusOr<int64_t> sequence =
          members_writer_->Append(body, Urgency::kUrgent);
      if (sequence.ok()) {
        return *sequence;
      }
      LogEvent("gate.append", LogSeverity::kWarning)
          .Add("error", sequence.status());
      hawthornhollow::SleepFor(kRetryInterval);
    }
    return std::nullopt;
  }

  // Membership.

  // Called on the stream follower's fiber after each entry of the stream.
  void OnMembershipChange() {
    SealSuspects();
    std::set<std::string> open;
    const bool lost = members_->WithFold([&](const MembershipFold& fold) {
      for (const auto& [incarnation, router] : fold.routers()) {
        if (fold.IsOpen(incarnation)) {
          open.insert(incarnation);
        }
      }
      const auto self = fold.gates().find(identity_.incarnation);
      return self != fold.gates().end() && self->second.lost;
    });
    link_server_.SetOpenRouters(std::move(open));
    if (lost && !replaced_.exchange(true)) {
      OnReplaced();
    }
  }

  void OnReplaced() {
    LogEvent("gate.replaced", LogSeverity::kError)
        .Add("gate", identity_.name)
        .Add("incarnation", identity_.incarnation);
    link_server_.SetReplaced();
    stop_ = true;
    runtime_->Stop();
  }

  // The suspected routers that this sidecar has not sealed yet. It must report
  // them as sealed only if its GateOpen record has been applied. Otherwise it
  // opens after the suspicion, and no GateSealed record is required of it.
  struct NewSuspects {
    std::vector<std::string> routers;
    bool must_report = false;
  };

  void SealSuspects() {
    const NewSuspects new_suspects = members_->WithFold(
        [this](const MembershipFold& fold) { return FindNewSuspects(fold); });
    for (const std::string& router : new_suspects.routers) {
      link_server_.Seal(router);
      sealed_.insert(router);
      if (new_suspects.must_report) {
        seals_to_report_.insert(router);
      }
    }
  }

  NewSuspects FindNewSuspects(const MembershipFold& fold) const {
    NewSuspects new_suspects;
    new_suspects.must_report = fold.gates().contains(identity_.incarnation);
    for (const auto& [incarnation, router] : fold.routers()) {
      if (fold.IsSuspect(incarnation) && !sealed_.contains(incarnation)) {
        new_suspects.routers.push_back(incarnation);
      }
    }
    return new_suspects;
  }

  void AppendGateSealedRecords() {
    if (!link_server_.ready()) {
      return;
    }
    const std::vector<std::string> suspects(seals_to_report_.begin(),
                                            seals_to_report_.end());
    for (const std::string& router : suspects) {
      if (link_server_.CountOpenRuns(router) > 0) {
        continue;
      }
      if (!AppendMembershipRecord(
              GateSealedRecord{identity_.incarnation, router})) {
        return;
      }
      LogEvent("gate.sealed").Add("router", router);
      seals_to_report_.erase(router);
    }
  }

  // Bills.

  void AppendDueBills() {
    const std::vector<DueBill> due =
        link_server_.TakeDueBills(absl::Now(), false);
    std::vector<std::pair<int64_t, const DueBill*>> appended;
    for (const DueBill& bill : due) {
      const absl::StatusOr<int64_t> sequence =
          LedgerWriterFor(bill).Append(bill.bill, Urgency::kLazy);
      if (!sequence.ok()) {
        link_server_.OnBillFailed(bill);
        continue;
      }
      LogEvent("bill.queued")
          .Add("request", bill.bill.request)
          .Add("router", bill.bill.incarnation)
          .Add("tokens", bill.bill.charged_tokens);
      appended.emplace_back(*sequence, &bill);
    }
    for (const auto& [sequence, bill] : appended) {
      WaitForDurableBill(*bill, sequence);
    }
  }

  void WaitForDurableBill(const DueBill& bill, int64_t sequence) {
    while (!stop_ &&
           !LedgerWriterFor(bill).WaitDurable(sequence, kDurableWait).ok()) {
    }
    if (stop_) {
      return;
    }
    LogEvent("bill.durable")
        .Add("request", bill.bill.request)
        .Add("router", bill.bill.incarnation)
        .Add("tokens", bill.bill.charged_tokens);
    link_server_.OnBilled(bill);
  }

  Writer& LedgerWriterFor(const DueBill& bill) {
    return *ledger_writers_[ShardOfBudget(bill.bill.budget, shard_count())];
  }

  void PollLoad() {
    const absl::StatusOr<BackendLoad> load = link_server_.runner().FetchLoad();
    if (load.ok()) {
      link_server_.SetBackendLoad(*load);
    }
  }

  // HTTP.

  void HandleHttpRequest(const HttpRequest& request, ResponseWriter& writer) {
    HttpResponse response;
    response.headers.emplace_back("Content-Type", "text/plain");
    if (request.Path() == "/healthz") {
      const bool serving = link_server_.ready() && !link_server_.leaving();
      response.status = serving ? 200 : 503;
      response.body = link_server_.leaving() ? "draining\n"
                      : serving              ? "ready\n"
                                             : "starting\n";
    } else if (request.Path() == "/metrics") {
      response.body = link_server_.RenderMetrics();
    } else {
      response.status = 404;
      response.body = "not found\n";
    }
    writer.Send(response).IgnoreError();
  }

  // Shutdown.

  void Drain() {
    const absl::Time deadline =
        absl::Now() + absl::Seconds(settings_.drain_seconds);
    LogEvent("gate.drain").Add("running", link_server_.running());
    link_server_.SetLeaving();
    while (absl::Now() < deadline && link_server_.running() > 0)
      hawthornhollow::SleepFor(kDrainPollInterval);
    const absl::Time settle_deadline = std::min(
        deadline, absl::Now() + absl::Seconds(settings_.settle_seconds));
    while (absl::Now() < settle_deadline && HasOpenWork())
      hawthornhollow::SleepFor(kDrainPollInterval);
    const bool closed =
        !HasOpenWork() && AppendGateClosedRecord(settle_deadline);
    if (closed) {
      LogEvent("gate.closed").Add("incarnation", identity_.incarnation);
    } else {
      LogEvent("gate.drain_incomplete", LogSeverity::kError)
          .Add("running", link_server_.running())
          .Add("unsettled", link_server_.unbilled_runs())
          .Add("closed", 0);
    }
    link_server_.CloseAll();
    stop_ = true;
  }

  bool HasOpenWork() const {
    return link_server_.running() > 0 || link_server_.unbilled_runs() > 0;
  }

  // Appends GateClosed. Returns whether the record became durable in time.
  bool AppendGateClosedRecord(absl::Time deadline) {
    const std::optional<int64_t> sequence =
        AppendMembershipRecord(GateClosedRecord{identity_.incarnation});
    if (!sequence.has_value())
      return false;
    while (!members_writer_->WaitDurable(*sequence, kDurableWait).ok()) {
      if (absl::Now() >= deadline)
        return false;
    }
    return true;
  }

  const SidecarSettings settings_;
  const SidecarEndpoints endpoints_;
  const SidecarIdentity identity_;
  std::atomic<bool> stop_{false};
  std::atomic<bool> replaced_{false};
  std::unique_ptr<Runtime> runtime_;
  HttpLogClient log_;
  RouterLinkServer link_server_;
  std::unique_ptr<Writer> members_writer_;
  std::vector<std::unique_ptr<Writer>> ledger_writers_;
  std::unique_ptr<MembersFollower> members_;
  std::unique_ptr<HttpServer> http_server_;
  std::unique_ptr<TcpListener> listener_;
  // Used by fibers of the runtime's only thread.
  // Suspected routers that were sealed, and those of them for which GateSealed
  // still has to be appended.
  std::set<std::string> sealed_;
  std::set<std::string> seals_to_report_;
};

}  // namespace

absl::Status RunSidecar(const SidecarSettings& settings) {
  absl::StatusOr<SidecarEndpoints> endpoints = ParseEndpoints(settings);
  if (!endpoints.ok()) {
    return endpoints.status();
  }
  while (true) {
    absl::StatusOr<std::unique_ptr<Runtime>> runtime =
        Runtime::Create({.threads = 1});
    if (!runtime.ok()) {
      return runtime.status();
    }
    Sidecar sidecar(settings, *endpoints, *std::move(runtime));
    const absl::Status status = sidecar.Run();
    if (!status.ok() || !sidecar.replaced()) {
      return status;
    }
    absl::SleepFor(kReopenDelay);
  }
}

}  // namespace hawthornhollow
