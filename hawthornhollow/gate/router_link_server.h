#ifndef HAWTHORNHOLLOW_GATE_ROUTER_LINK_SERVER_H_
#define HAWTHORNHOLLOW_GATE_ROUTER_LINK_SERVER_H_

// Serves the connections from routers. Passes their frames and the events of
// the runs at the backend server to a RequestTable, and performs the actions
// that the table returns.
//
//   RouterLinkServer server(runtime, identity, table_options, runner_options);
//   TcpListener::Start(runtime, 0, endpoint, [&](auto stream) {
//     server.Serve(std::move(stream));
//   });
//   server.SetReady();

#include <boost/fiber/mutex.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/time/time.h"
#include "hawthornhollow/gate/backend_runner.h"
#include "hawthornhollow/gate/request_table.h"
#include "hawthornhollow/runtime/runtime.h"
#include "hawthornhollow/wire/wire.h"

namespace hawthornhollow {

// Thread-safe. Must outlive the fibers of `runtime`.
class RouterLinkServer {
 public:
  RouterLinkServer(Runtime& runtime,
                   const SidecarIdentity& identity,
                   const RequestTableOptions& table_options,
                   const BackendRunnerOptions& runner_options);
  RouterLinkServer(const RouterLinkServer&) = delete;
  RouterLinkServer& operator=(const RouterLinkServer&) = delete;

  // Serves one router's connection until it ends. Blocks the calling fiber,
  // which must run on the connection's thread.
  void Serve(std::unique_ptr<TcpStream> stream);

  // Answers the Hello frames received so far and accepts requests from now on.
  void SetReady();
  // Refuses new requests from now on and reports this to the routers in a Load
  // frame.
  void SetLeaving();
  // Serves only these router incarnations from now on. A router that is not
  // among them when its Hello arrives is refused if it is still missing one
  // second later.
  void SetOpenRouters(std::set<std::string> routers);
  // Closes every link and accepts none from now on, since a newer incarnation
  // of this sidecar has replaced this one.
  void SetReplaced();
  // Refuses the router incarnation for ever and closes its links.
  void Seal(const std::string& router);
  // Closes every link.
  void CloseAll();

  // Cancels the runs that no router waits for, and sends the load to all
  // routers if it has changed or was last sent 250 ms ago. Call it several
  // times a second.
  void Tick(absl::Time now);
  // Uses the load that the engine reports in the load sent to routers.
  void SetBackendLoad(const BackendLoad& load);

  // These call the RequestTable method of the same name.
  std::vector<DueBill> TakeDueBills(absl::Time now, bool all);
  void OnBilled(const DueBill& bill);
  void OnBillFailed(const DueBill& bill);
  int64_t CountOpenRuns(std::string_view router) const;
  int64_t unbilled_runs() const;
  int64_t running() const;

  bool ready() const;
  bool leaving() const;
  // Returns the metrics as plain text for /metrics.
  std::string RenderMetrics() const;

  BackendRunner& runner() { return *runner_; }

 private:
  struct OpenLink {
    std::shared_ptr<FrameLink> link;
    std::string router;       // Router incarnation; empty before its Hello.
    bool superseded = false;  // Whether the router has opened a newer link.
    bool hello_answered = false;
    // When a router that is not registered as open is refused, and when its
    // link is closed.
    absl::Time refuse_at = absl::InfiniteFuture();
    absl::Time close_at = absl::InfiniteFuture();
  };

  void OnFrame(int64_t id, const fb::FrameT& frame);
  void OnHello(int64_t id, const fb::HelloT& hello);
  void OnRequestFrame(const RouterLink& link, const fb::FrameT& frame);
  void AnswerHello(int64_t id, OpenLink& link, absl::Time now);
  void RefuseUnregisteredRouters(absl::Time now);
  bool MayServe(const OpenLink& link) const;
  void RefuseNotReady(int64_t id, const fb::FrameT& frame);
  void CloseOlderLinks(int64_t id, const std::string& router);
  void SendHello(int64_t id);
  void SendTo(int64_t id, const fb::FrameT& frame);
  void SealLocked(const std::string& router);
  void Perform(SidecarActions actions);
  void SendLoad(int64_t id);
  void BroadcastLoadIfChanged();
  void BroadcastLoad(absl::Time now);
  RunEvents MakeRunEvents();

  const SidecarIdentity identity_;
  std::unique_ptr<BackendRunner> runner_;

  // Guards the members below. Frames are queued while it is held, so that each
  // link receives them in the order in which the table returned them.
  mutable boost::fibers::mutex mutex_;
  RequestTable table_;
  bool ready_ = false;
  bool replaced_ = false;
  std::set<std::string> open_routers_;
  int64_t next_link_ = 1;
  std::map<int64_t, OpenLink> links_;
  double kv_used_ = 0;
  std::optional<fb::LoadT> sent_load_;
  absl::Time load_sent_at_ = absl::InfinitePast();
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_GATE_ROUTER_LINK_SERVER_H_
