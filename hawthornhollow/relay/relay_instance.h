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
#include "hawthornhollow/http/request_account.h"
#include "hawthornhollow/relay/catalog_controller.h"
#include "hawthornhollow/relay/congestion_detector.h"
#include "hawthornhollow/relay/instrumented_store.h"
#include "hawthornhollow/relay/link_load.h"
#include "hawthornhollow/relay/link_readiness.h"
#include "hawthornhollow/relay/load_controller.h"
#include "hawthornhollow/relay/peer_fallback.h"
#include "hawthornhollow/relay/peer_service.h"
#include "hawthornhollow/relay/quarantine_controller.h"
#include "hawthornhollow/relay/relay.h"
#include "hawthornhollow/relay/relay_metrics.h"
#include "hawthornhollow/relay/relay_settings.h"
#include "hawthornhollow/relay/request_run.h"
#include "hawthornhollow/relay/server_limits_controller.h"
#include "hawthornhollow/relay/totals_controller.h"

namespace hawthornhollow {

template <SharedStore Store, MessageCodec D>
class RelayInstance {
 public:
  RelayInstance(const RelaySettings& settings, Runtime& runtime, Store& store);
  RelayInstance(const RelayInstance&) = delete;
  RelayInstance& operator=(const RelayInstance&) = delete;

  // Blocks the calling thread while a port is taken, for at most
  // `RelaySettings::bind_timeout`.
  absl::Status Start();

  // Drains requests in progress, for at most `RelaySettings::shutdown_timeout`.
  // What is not answered shortly before its end is answered 502 or 504; only a
  // stream that has begun is cut. Call it on a fiber.
  void Shutdown();

 private:
  // For the final records of totals, at the end of a stop.
  static constexpr absl::Duration kFinalRecordsTime = absl::Milliseconds(300);

  // Of a request in work: the buffers of its connection to a backend server,
  // and the deeper stack.
  static constexpr size_t kHandlerBytes = 32 * 1024;

  // Parts of the descriptors, and of the memory for connections, that one of
  // the servers may use. A quarter of the descriptors is left for connections
  // to the store, to other routers and to backend servers.
  struct ServerTraits {
    double descriptors;
    double memory;
    HttpHeadCheck check_head;
  };
  // Of the largest deployments, 340 routers, each keeps a connection: there is
  // room for 384 on a VM with 88 MB and 3,075 descriptors.
  static ServerTraits PeerTraits() { return {0.125, 0.3125, nullptr}; }
  // Of the readiness probes and of the metrics.
  static ServerTraits ProbeTraits() { return {0.0625, 0.0625, nullptr}; }
  ServerTraits CallerTraits() {
    return {0.5, 0.5625,
            [this](const HttpRequest& head, std::optional<uint64_t> bytes) {
              return CheckHead(head, bytes);
            }};
  }

  void CloseStaleConnections();

  void EndAtDueTime();

  // Whether a request comes late in a stop and may not end before it does.
  bool IsTooLate(const RunContext& run) const {
    return run.arrived > takes_all_until_ && run.deadline > answers_due_;
  }

  // A port may be taken for a while: by the process before, as it ends, or by a
  // connection that the system gave it to.
  absl::Status Listen(const Endpoint& local,
                      const ServerTraits& traits,
                      const HttpHandler& handler,
                      std::unique_ptr<HttpServer>* server);

  // Counters are served where other routers call, too: requests are not refused
  // for want of this port.
  void ListenForMetrics();

  absl::Status TryListen(const Endpoint& local,
                         const ServerTraits& traits,
                         const HttpHandler& handler,
                         std::unique_ptr<HttpServer>* server);

  size_t MaxConnections(const ServerTraits& traits) const;

  void AnswerPeer(const HttpRequest& request, ResponseWriter& writer);

  LimitWatch LimitCalls();

  LoadCalls CallsOfLoad();

  void AnswerMetrics(ResponseWriter& writer);

  // The other servers may be queried before the callers' server has started.
  size_t CallerConnections() const {
    return caller_server_ == nullptr ? 0 : caller_server_->connection_count();
  }

  RelayGauges Gauges() const;

  void AnswerReadiness(ResponseWriter& writer);

  // Called for each readiness probe. A busy link makes the router unready, so
  // that callers go to others before it is congested. A congested one does not:
  // probes over it time out anyway, and if many routers are slow at once,
  // removing some makes the remaining ones slower.
  void UpdateLinkState();

  void ServeCaller(const HttpRequest& request, ResponseWriter& writer);

  // Before the body of a caller's request is read.
  HttpHeadDecision CheckHead(const HttpRequest& head,
                             std::optional<uint64_t> body_bytes);

  // Determines the route, workspace, service and deadline of a request.
  std::optional<RelayError> Resolve(uint64_t body_bytes, RunContext* run);

  std::string PickService(const RelayRoute& route);

  // This router's part of the retry burst of all routers.
  double OwnRetryBurst() const;

  void ReserveAndRun(RunContext& run, ResponseWriter& writer);

  WaitLimits TokenWaitLimits(const RunContext& run) const;

  static int64_t UsedTokens(const RunContext& run, const RunSummary& summary);

  void EndWithoutTokens(const RunContext& run,
                        const absl::Status& reason,
                        ResponseWriter& writer);

  HttpResponse EncodeRefusal(const RelayCall& call, RelayError error);
  void Refuse(const RelayCall& call, RelayError error, ResponseWriter& writer);

  // Refuses a request for which no attempt was made.
  void RefuseRun(const RunContext& run,
                 RelayError error,
                 ResponseWriter& writer);
  void ReportRefusal(const RunContext& run, RelayError error);

  void ReportEnd(const RunContext& run,
                 const RunSummary& summary,
                 int64_t reserved,
                 int64_t used);

  const RelaySettings settings_;
  Runtime& runtime_;
  HttpClient client_;
  CongestionDetector link_;
  LinkLoad link_load_;
  RelayMetrics metrics_;
  InstrumentedStore<Store> store_;
  LeavingServers leaving_;
  RestingServers resting_;
  PromptPlacement placement_;
  LoadController load_;
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
  LinkReadiness link_readiness_{settings_.link_readiness};
  bool link_congested_ = false;
  int64_t in_progress_ = 0;
  const std::shared_ptr<RequestAccount> account_ = RequestAccount::ForMemory(
      settings_.memory_bytes > 0 ? settings_.memory_bytes
                                 : RequestAccount::MachineMemory());
  std::unique_ptr<HttpServer> peer_server_;
  std::unique_ptr<HttpServer> metrics_server_;
  std::unique_ptr<HttpServer> readiness_server_;
  std::unique_ptr<HttpServer> caller_server_;
};

}  // namespace hawthornhollow

#include "hawthornhollow/relay/relay_instance_impl.h"
#include "hawthornhollow/relay/relay_instance_requests_impl.h"

#endif  // HAWTHORNHOLLOW_RELAY_RELAY_INSTANCE_H_
