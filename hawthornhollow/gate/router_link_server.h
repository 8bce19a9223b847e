#ifndef HAWTHORNHOLLOW_GATE_ROUTER_LINK_SERVER_H_
#define HAWTHORNHOLLOW_GATE_ROUTER_LINK_SERVER_H_

// The links from routers, the book of requests behind them, and the runs at the
// backend server: carries out what GateBook decides.
//
//   RouterLinks links(runtime, identity, book_options, runner_options);
//   TcpListener::Start(runtime, 0, endpoint, [&](auto stream) {
//     links.Serve(std::move(stream));
//   });
//   links.SetReady();

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
class RouterLinks {
 public:
  RouterLinks(Runtime& runtime,
              const GateIdentity& identity,
              const GateBookOptions& book_options,
              const BackendRunnerOptions& runner_options);
  RouterLinks(const RouterLinks&) = delete;
  RouterLinks& operator=(const RouterLinks&) = delete;

  // Serves one router's connection until it ends. Blocks the calling fiber,
  // which is one of the connection's thread.
  void Serve(std::unique_ptr<TcpStream> stream);

  // Answers the Hellos received so far and takes dispatches from now on.
  void SetReady();
  // Refuses new requests from now on and tells the routers.
  void SetLeaving();
  // Serves these router incarnations and no others from now on. One that is not
  // among them at its Hello is given a moment to appear.
  void SetOpenRouters(std::set<std::string> routers);
  // Another incarnation has taken this one's place: ends every link and serves
  // nobody from now on.
  void SetReplaced();
  // Refuses the router's incarnation for ever and closes its links.
  void Seal(const std::string& router);
  // Ends every link.
  void CloseAll();

  // To be called several times a second: stops unwanted runs, and sends Load
  // where it has changed or `load_interval` has passed.
  void Tick(absl::Time now);
  // Takes over what an engine says of its load.
  void SetBackendLoad(const BackendLoad& load);

  // See GateBook.
  std::vector<DueBill> TakeDueBills(absl::Time now, bool all);
  void OnBilled(const DueBill& bill);
  void OnBillFailed(const DueBill& bill);
  int64_t UnsettledRuns(std::string_view router) const;
  int64_t unsettled_runs() const;
  int64_t running() const;

  bool ready() const;
  bool leaving() const;
  // Plain text for /metrics.
  std::string RenderMetrics() const;

  BackendRunner& runner() { return *runner_; }

 private:
  struct OpenLink {
    std::shared_ptr<FrameLink> link;
    std::string router;  // empty before its Hello
    bool superseded = false;
    bool greeted = false;  // the Hello was answered
    // When a router that is not open is refused, and when its link is closed.
    absl::Time refuse_at = absl::InfiniteFuture();
    absl::Time close_at = absl::InfiniteFuture();
  };

  void OnFrame(int64_t id, const fb::FrameT& frame);
  void OnHello(int64_t id, const fb::HelloT& hello);
  void OnRequestFrame(const RouterLink& link, const fb::FrameT& frame);
  void Greet(int64_t id, OpenLink& link, absl::Time now);
  void RefuseUnopened(absl::Time now);
  bool MayServe(const OpenLink& link) const;
  void RefuseNotReady(int64_t id, const fb::FrameT& frame);
  void CloseOlderLinks(int64_t id, const std::string& router);
  void SendHello(int64_t id);
  void SendTo(int64_t id, const fb::FrameT& frame);
  void SealLocked(const std::string& router);
  void Perform(GateActions actions);
  void SendLoad(int64_t id);
  void BroadcastIfChanged();
  void BroadcastLoad(absl::Time now);
  RunEvents MakeRunEvents();

  const GateIdentity identity_;
  std::unique_ptr<BackendRunner> runner_;

  // Guards what follows. Frames are queued under it, so that each link receives
  // them in the order in which the book decided.
  mutable boost::fibers::mutex mutex_;
  GateBook book_;
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
