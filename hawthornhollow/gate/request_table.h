#ifndef HAWTHORNHOLLOW_GATE_REQUEST_TABLE_H_
#define HAWTHORNHOLLOW_GATE_REQUEST_TABLE_H_

// The table of the requests that a sidecar knows. It decides which requests
// run, which router links receive which frames, which runs are cancelled, and
// which runs the sidecar has to bill. It does no I/O and reads no clock: each
// event is a method call, and the caller performs the returned actions in
// order.
//
// Terms:
//   request key  The idempotency key of a request (field `request`). It is the
//                same in every attempt.
//   run          One execution of a request at the backend server. Runs are
//                numbered from 1; a number is never reused.
//   claim        A record in the ledger that lets one router run a request that
//                is not idempotent. The claim's log offset is the fencing token
//                (field `fence`): a higher fence is a newer claim.
//   incarnation  One lifetime of a router or sidecar, with an id of its own.
//   settled      A run is settled when it needs no bill from this sidecar: its
//                bill is durable, or it never reached the backend server.
//   sealed       A router incarnation is sealed when it has been fenced off:
//                its frames are refused for ever.
//
//   RequestTable table(identity, options);
//   for (SidecarAction& action : table.OnDispatch(link, dispatch, now)) {
//     Perform(action);
//   }

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/ledger/ledger.h"
#include "hawthornhollow/wire/frames_generated.h"

namespace hawthornhollow {

// Names a sidecar, its incarnation, and the backend server that it serves.
struct SidecarIdentity {
  std::string name;
  std::string incarnation;
  std::string server;
  friend auto operator<=>(const SidecarIdentity&,
                          const SidecarIdentity&) = default;
};

struct RequestTableOptions {
  // Requests that the backend server runs at once.
  int64_t slots = 32;
  // Requests sent to the backend server beyond `slots`, which it queues.
  int64_t max_queued = 4;
  // Bytes of answers kept for replay to routers, over all requests.
  int64_t replay_bytes = 16 * 1024 * 1024;
  // Request keys kept in the table. The oldest settled one is removed first.
  size_t max_keys = 100'000;
  size_t ledger_shards = 1;
  // How long an idempotent run without a subscribed router goes on before it is
  // cancelled.
  absl::Duration orphan_timeout = absl::Seconds(5);
  // How long after a run's end the sidecar waits for the router to bill the run
  // before it bills the run itself.
  absl::Duration settle_timeout = absl::Seconds(5);
  // The same timeout once the link of that router has closed.
  absl::Duration disconnected_settle_timeout = absl::Seconds(1);
  friend auto operator<=>(const RequestTableOptions&,
                          const RequestTableOptions&) = default;
};

// A connection from a router: its number, which is never reused, and the
// incarnation that the router named in its Hello frame.
struct RouterLink {
  int64_t id = 0;
  std::string router;
  friend auto operator<=>(const RouterLink&, const RouterLink&) = default;
};

// Send `frame` over the link with this number, if it is still open.
struct SendFrameAction {
  int64_t link = 0;
  fb::FrameT frame;
};
// Call the backend server. The events of the call carry the number `run`.
struct StartRunAction {
  int64_t run = 0;
  fb::DispatchT dispatch;
};
// Cancel the call. Its end must still be reported with OnEnd.
struct StopRunAction {
  int64_t run = 0;
  std::string request;
};
using SidecarAction =
    std::variant<SendFrameAction, StartRunAction, StopRunAction>;
using SidecarActions = std::vector<SidecarAction>;

// How a call of the backend server ended.
struct RunEnd {
  fb::EndKind kind = fb::EndKind::Completed;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  std::string detail;
  friend bool operator==(const RunEnd&, const RunEnd&) = default;
};

// A bill for the run `run` that the sidecar has to append to the ledger.
struct DueBill {
  int64_t run = 0;
  BillRecord bill;
  friend auto operator<=>(const DueBill&, const DueBill&) = default;
};

struct RequestTableCounters {
  int64_t runs = 0;      // Runs started.
  int64_t attached = 0;  // Replays of an answer to a router.
  int64_t refused = 0;   // Dispatch and Attach frames refused.
  int64_t stopped = 0;   // Runs cancelled.
  int64_t ended = 0;     // Runs ended.
  int64_t bills = 0;     // Runs billed by the sidecar.
  int64_t evicted = 0;   // Answers dropped to stay within `replay_bytes`.
  friend auto operator<=>(const RequestTableCounters&,
                          const RequestTableCounters&) = default;
};

// See the head of this file. Not thread-safe.
class RequestTable {
 public:
  RequestTable(SidecarIdentity identity, const RequestTableOptions& options);
  RequestTable(const RequestTable&) = delete;
  RequestTable& operator=(const RequestTable&) = delete;
  ~RequestTable();

  // Events for the frames from routers and for the end of a router's link.
  // OnSettled: the router reports that the request's bill is durable.
  SidecarActions OnDispatch(const RouterLink& link,
                            const fb::DispatchT& dispatch,
                            absl::Time now);
  SidecarActions OnAttach(const RouterLink& link, const fb::AttachT& attach);
  SidecarActions OnCancel(const RouterLink& link, const fb::CancelT& cancel);
  void OnSettled(std::string_view request);
  void OnLinkClosed(int64_t link, absl::Time now);

  // Events of a run. Events of a run that has ended are ignored.
  SidecarActions OnHead(int64_t run, int32_t status, std::string content_type);
  SidecarActions OnData(int64_t run, std::string_view bytes);
  SidecarActions OnEnd(int64_t run, const RunEnd& end, absl::Time now);

  // Refuses the router incarnation from now on. Cancels the idempotent runs
  // that it pays for and to which no other router is subscribed.
  SidecarActions Seal(std::string_view router, absl::Time now);
  bool IsSealed(std::string_view router) const;
  // Returns the number of runs paid by the router incarnation that are still
  // running or whose bill is not known to be durable.
  int64_t CountOpenRuns(std::string_view router) const;
  // Returns the number of ended runs whose bill is not known to be durable.
  int64_t unbilled_runs() const;

  // Refuses new requests from now on.
  void SetLeaving() { leaving_ = true; }
  bool leaving() const { return leaving_; }
  void SetSlots(int64_t slots) { options_.slots = slots; }

  // Cancels idempotent runs that have had no subscribed router for
  // `orphan_timeout` or have passed their deadline. Call it several times a
  // second.
  SidecarActions Tick(absl::Time now);
  // Returns the bills that have become due: at once if the paying router is
  // sealed or `all` is set, else after the settle timeout. Each bill is
  // returned once, unless OnBillFailed reports that it could not be appended.
  std::vector<DueBill> TakeDueBills(absl::Time now, bool all);
  // The bill is durable.
  void OnBilled(const DueBill& bill);
  // The bill was not appended; TakeDueBills returns it again.
  void OnBillFailed(const DueBill& bill);

  // Returns the load to report to this router incarnation, including the number
  // of its own runs.
  fb::LoadT Load(std::string_view router) const;
  fb::LoadT Load() const;
  int64_t running() const { return static_cast<int64_t>(running_.size()); }
  int64_t kept_bytes() const { return kept_bytes_; }
  size_t remembered_requests() const { return entries_.size(); }
  const RequestTableCounters& counters() const { return counters_; }

 private:
  struct Subscriber;
  struct Entry;
  // A request key and the number of one of its runs.
  using RunKey = std::pair<std::string, int64_t>;

  Entry* Find(std::string_view request);
  Entry* FindRunning(int64_t run);
  std::string FindDispatchError(const RouterLink& link,
                                const fb::DispatchT& dispatch) const;
  bool MayBeForgottenClaim(const fb::DispatchT& dispatch) const;
  bool MayRunAgain(const Entry& entry, const fb::DispatchT& dispatch) const;
  SidecarActions OnKnownRequest(Entry& entry,
                                const RouterLink& link,
                                const fb::DispatchT& dispatch,
                                absl::Time now);
  SidecarActions OnRequestReportedUnknown(const Entry& entry,
                                          const RouterLink& link,
                                          const fb::DispatchT& dispatch,
                                          absl::Time now);
  void RecordUnknownReply(const fb::AttachT& attach);
  SidecarActions StartRun(const RouterLink& link,
                          const fb::DispatchT& dispatch,
                          absl::Time now);
  SidecarActions Refuse(const RouterLink& link,
                        std::string_view request,
                        int32_t attempt,
                        fb::RefusalReason reason,
                        std::string_view detail);
  SidecarActions Replay(Entry& entry,
                        const RouterLink& link,
                        int32_t attempt,
                        int64_t from_sequence);
  void Subscribe(Entry& entry, const RouterLink& link, int32_t attempt);
  void StopIfNoSubscriber(Entry& entry, SidecarActions* actions);
  void StopIdempotent(Entry& entry, SidecarActions* actions);
  bool OwesBill(const Entry& entry) const;
  void SetSettled(Entry& entry);
  void Close(Entry& entry);
  void DropPieces(Entry& entry);
  void EnforceReplayLimit(Entry& current);
  bool IsStale(const RunKey& element);
  void Compact(std::deque<RunKey>* runs);
  void EnforceMaxKeys();
  void Forget(const std::string& request);
  BillRecord MakeBill(const Entry& entry) const;

  const SidecarIdentity identity_;
  RequestTableOptions options_;
  bool leaving_ = false;
  int64_t next_run_ = 1;
  int64_t kept_bytes_ = 0;
  RequestTableCounters counters_;
  std::unordered_map<std::string, std::unique_ptr<Entry>> entries_;
  std::map<int64_t, Entry*> running_;  // by run
  // Entries that are running or not yet settled.
  std::set<Entry*> open_;
  // Runs in the order in which they ended, and in which their entries were
  // closed. An element is stale, and skipped, if its entry was removed or holds
  // a later run.
  std::deque<RunKey> ended_;
  std::deque<RunKey> closed_;
  std::set<std::string, std::less<>> sealed_;
  // The highest fence among the removed requests, by ledger shard.
  std::map<size_t, int64_t> max_forgotten_fence_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_GATE_REQUEST_TABLE_H_
