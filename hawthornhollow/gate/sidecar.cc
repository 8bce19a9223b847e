// The side process: puts together links, book, backend calls and log streams.
//
// Start: cancels what an earlier incarnation left at the engine, appends
// GateOpen, and serves only once it has read its own record back from the
// "members" stream. Every suspicion before that record has then been applied
// and sealed here, which is why the fold needs no GateSealed from a gate that
// opened after the suspicion.
//
// Sealing: a suspicion read from the stream is refused at once. Each round of
// the seal loop looks at the suspects still to be reported: when no run paid by
// one of them goes on or lacks a durable bill, it appends GateSealed. Bills
// come first because the fold returns the remainder of a grant on GateSealed.
//
// Bills: one fiber appends those due, then waits until they are durable. The
// writer keeps its records and tries for as long as the process lives, so a
// record is appended once however long the log is down.
//
// Shutdown: tells the routers, refuses new requests, waits for the runs in
// flight and for their bills, appends GateClosed, and ends. Past drain_seconds,
// or settle_seconds after the last run if the log takes nothing, it ends
// without GateClosed: the next incarnation then counts this one as lost, which
// charges what was not accounted for.
//
// Replacement: a gate that reads in the stream that a newer incarnation of its
// name has opened counts as lost there. It stops serving at once, and the
// process opens a new incarnation.

#include <atomic>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/gate/gate.h"
#include "hawthornhollow/gate/router_link_server.h"
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
constexpr absl::Duration kDrainPoll = absl::Milliseconds(20);
constexpr absl::Duration kReopenDelay = absl::Seconds(1);
constexpr int kLeftoverTries = 5;
constexpr char kMembersStream[] = "members";

using Writer = StreamWriter<HttpLogClient>;
using MembersFollower = StreamFollower<MembershipFold, HttpLogClient>;

// The addresses of the settings, parsed.
struct SidecarEndpoints {
  Endpoint listen;
  Endpoint http_listen;
  Endpoint backend;
  Endpoint log_service;
};

absl::Status ParseInto(std::string_view field,
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
  absl::Status status = ParseInto("listen", s.listen, &endpoints.listen);
  status.Update(
      ParseInto("http_listen", s.http_listen, &endpoints.http_listen));
  status.Update(ParseInto("backend", s.backend, &endpoints.backend));
  status.Update(
      ParseInto("log_service", s.log_service, &endpoints.log_service));
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
        links_(*runtime_, identity_, BookOptions(), RunnerOptions()) {}
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  // Ends the fibers before what they use.
  ~Sidecar() {
    stop_ = true;
    listener_.reset();
    http_server_.reset();
    runtime_.reset();
  }

  // Whether Run ended since another incarnation has taken this one's place.
  bool replaced() const { return replaced_; }

  absl::Status Run() {
    CreateStreams();
    absl::Status status = StartServers();
    if (!status.ok()) {
      return status;
    }
    SpawnStreams();
    SpawnLoops();
    runtime_->Spawn([this] { Open(); });
    runtime_->Run([this] { Drain(); });
    return absl::OkStatus();
  }

 private:
  GateBookOptions BookOptions() const {
    GateBookOptions options;
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

  // Setting up.

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
      OnMembers();
    };
    callbacks.on_restored = [this](int64_t) { OnMembers(); };
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
          Answer(request, writer);
        });
    if (!server.ok()) {
      return Annotate(server.status(), "gate.http_listen",
                      settings_.http_listen);
    }
    http_server_ = *std::move(server);
    auto listener =
        TcpListener::Start(*runtime_, 0, endpoints_.listen,
                           [this](std::unique_ptr<TcpStream> stream) {
                             links_.Serve(std::move(stream));
                           });
    if (!listener.ok()) {
      return Annotate(listener.status(), "gate.listen", settings_.listen);
    }
    listener_ = *std::move(listener);
    return absl::OkStatus();
  }

  void SpawnStreams() {
    runtime_->Spawn([this] { members_->Run(stop_); });
    runtime_->Spawn([this] { members_writer_->Run(stop_); });
    for (const std::unique_ptr<Writer>& writer : ledger_writers_) {
      runtime_->Spawn([this, &writer] { writer->Run(stop_); });
    }
  }

  void SpawnLoops() {
    SpawnLoop(kTickInterval, [this] { links_.Tick(absl::Now()); });
    SpawnLoop(kBillInterval, [this] { AppendDueBills(); });
    SpawnLoop(kSealInterval, [this] { AppendSeals(); });
    SpawnLoop(kCheckpointInterval,
              [this] { members_->MaybeCheckpoint(*members_writer_); });
    if (is_engine()) {
      SpawnLoop(kLoadPollInterval, [this] { PollLoad(); });
    }
  }

  void SpawnLoop(absl::Duration interval, std::function<void()> body) {
    runtime_->Spawn([this, interval, body = std::move(body)] {
      while (!stop_) {
        body();
        hawthornhollow::SleepFor(interval);
      }
    });
  }

  // Becoming ready.

  void Open() {
    CancelLeftovers();
    while (!stop_ && !members_->WaitCaughtUp(kDurableWait).ok()) {
    }
    const std::optional<int64_t> sequence = AppendMember(GateOpenRecord{
        identity_.name, identity_.incarnation, identity_.server});
    if (!sequence.has_value()) {
      return;
    }
    while (!stop_ && !IsApplied(*sequence)) {
    }
    OnMembers();
    links_.SetReady();
    LogEvent("gate.ready")
        .Add("gate", identity_.name)
        .Add("incarnation", identity_.incarnation)
        .Add("server", identity_.server);
  }

  void CancelLeftovers() {
    for (int i = 0; i < kLeftoverTries && !stop_; ++i) {
      const absl::Status status = links_.runner().CancelLeftovers();
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

  // Queues a record on "members"; nullopt only if the process stops.
  std::optional<int64_t> AppendMember(const RecordBody& body) {
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

  // Members.

  // Runs on the follower's fiber after each entry.
  void OnMembers() {
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
    links_.SetOpenRouters(std::move(open));
    if (lost && !replaced_.exchange(true)) {
      OnReplaced();
    }
  }

  void OnReplaced() {
    LogEvent("gate.replaced", LogSeverity::kError)
        .Add("gate", identity_.name)
        .Add("incarnation", identity_.incarnation);
    links_.SetReplaced();
    stop_ = true;
    runtime_->Stop();
  }

  // What the fold says of routers that are not sealed here yet. A gate that is
  // not in the fold yet opens after the suspicion, and need not report.
  struct FreshSuspects {
    std::vector<std::string> routers;
    bool must_report = false;
  };

  void SealSuspects() {
    const FreshSuspects fresh = members_->WithFold(
        [this](const MembershipFold& fold) { return FindFresh(fold); });
    for (const std::string& router : fresh.routers) {
      links_.Seal(router);
      sealed_.insert(router);
      if (fresh.must_report) {
        to_report_.insert(router);
      }
    }
  }

  FreshSuspects FindFresh(const MembershipFold& fold) const {
    FreshSuspects fresh;
    fresh.must_report = fold.gates().contains(identity_.incarnation);
    for (const auto& [incarnation, router] : fold.routers()) {
      if (fold.IsSuspect(incarnation) && !sealed_.contains(incarnation)) {
        fresh.routers.push_back(incarnation);
      }
    }
    return fresh;
  }

  void AppendSeals() {
    if (!links_.ready()) {
      return;
    }
    const std::vector<std::string> suspects(to_report_.begin(),
                                            to_report_.end());
    for (const std::string& router : suspects) {
      if (links_.UnsettledRuns(router) > 0) {
        continue;
      }
      if (!AppendMember(GateSealedRecord{identity_.incarnation, router})) {
        return;
      }
      LogEvent("gate.sealed").Add("router", router);
      to_report_.erase(router);
    }
  }

  // Bills.

  void AppendDueBills() {
    const std::vector<DueBill> due = links_.TakeDueBills(absl::Now(), false);
    std::vector<std::pair<int64_t, const DueBill*>> appended;
    for (const DueBill& bill : due) {
      const absl::StatusOr<int64_t> sequence =
          WriterOf(bill).Append(bill.bill, Urgency::kLazy);
      if (!sequence.ok()) {
        links_.OnBillFailed(bill);
        continue;
      }
      LogEvent("bill.queued")
          .Add("request", bill.bill.request)
          .Add("router", bill.bill.incarnation)
          .Add("tokens", bill.bill.charged_tokens);
      appended.emplace_back(*sequence, &bill);
    }
    for (const auto& [sequence, bill] : appended) {
      AwaitBill(*bill, sequence);
    }
  }

  void AwaitBill(const DueBill& bill, int64_t sequence) {
    while (!stop_ && !WriterOf(bill).WaitDurable(sequence, kDurableWait).ok()) {
    }
    if (stop_) {
      return;
    }
    LogEvent("bill.durable")
        .Add("request", bill.bill.request)
        .Add("router", bill.bill.incarnation)
        .Add("tokens", bill.bill.charged_tokens);
    links_.OnBilled(bill);
  }

  Writer& WriterOf(const DueBill& bill) {
    return *ledger_writers_[ShardOfBudget(bill.bill.budget, shard_count())];
  }

  void PollLoad() {
    const absl::StatusOr<BackendLoad> load = links_.runner().FetchLoad();
    if (load.ok()) {
      links_.SetBackendLoad(*load);
    }
  }

  // HTTP.

  void Answer(const HttpRequest& request, ResponseWriter& writer) {
    HttpResponse response;
    response.headers.emplace_back("Content-Type", "text/plain");
    if (request.Path() == "/healthz") {
      const bool serving = links_.ready() && !links_.leaving();
      response.status = serving ? 200 : 503;
      response.body = links_.leaving() ? "draining\n"
                      : serving        ? "ready\n"
                                       : "starting\n";
    } else if (request.Path() == "/metrics") {
      response.body = links_.RenderMetrics();
    } else {
      response.status = 404;
      response.body = "not found\n";
    }
    writer.Send(response).IgnoreError();
  }

  // Shutting down.

  void Drain() {
    const absl::Time deadline =
        absl::Now() + absl::Seconds(settings_.drain_seconds);
    LogEvent("gate.drain").Add("running", links_.running());
    links_.SetLeaving();
    while (absl::Now() < deadline && links_.running() > 0)
      hawthornhollow::SleepFor(kDrainPoll);
    const absl::Time settled_by = std::min(
        deadline, absl::Now() + absl::Seconds(settings_.settle_seconds));
    while (absl::Now() < settled_by && HasOpenWork())
      hawthornhollow::SleepFor(kDrainPoll);
    const bool closed = !HasOpenWork() && AppendClosed(settled_by);
    if (closed) {
      LogEvent("gate.closed").Add("incarnation", identity_.incarnation);
    } else {
      LogEvent("gate.drain_incomplete", LogSeverity::kError)
          .Add("running", links_.running())
          .Add("unsettled", links_.unsettled_runs())
          .Add("closed", 0);
    }
    links_.CloseAll();
    stop_ = true;
  }

  bool HasOpenWork() const {
    return links_.running() > 0 || links_.unsettled_runs() > 0;
  }

  // Whether the log has taken it.
  bool AppendClosed(absl::Time deadline) {
    const std::optional<int64_t> sequence =
        AppendMember(GateClosedRecord{identity_.incarnation});
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
  const GateIdentity identity_;
  std::atomic<bool> stop_{false};
  std::atomic<bool> replaced_{false};
  std::unique_ptr<Runtime> runtime_;
  HttpLogClient log_;
  RouterLinks links_;
  std::unique_ptr<Writer> members_writer_;
  std::vector<std::unique_ptr<Writer>> ledger_writers_;
  std::unique_ptr<MembersFollower> members_;
  std::unique_ptr<HttpServer> http_server_;
  std::unique_ptr<TcpListener> listener_;
  // Used by fibers of the runtime's only thread.
  std::set<std::string> sealed_;     // suspects sealed here
  std::set<std::string> to_report_;  // those whose GateSealed is to be appended
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
