#ifndef HAWTHORNHOLLOW_GATE_REQUEST_TABLE_H_
#define HAWTHORNHOLLOW_GATE_REQUEST_TABLE_H_

// The gate's decisions: which requests run, who receives which frames, what is
// cancelled, and which bills are owed. It does no I/O and reads no clock: every
// event is a call, and the actions that it returns are for the caller to carry
// out in their order.
//
//   GateBook book(identity, options);
//   for (GateAction& action : book.OnDispatch(link, dispatch, now)) {
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

struct GateIdentity {
  std::string name;
  std::string incarnation;
  std::string server;
  friend auto operator<=>(const GateIdentity&, const GateIdentity&) = default;
};

struct GateBookOptions {
  // Requests that the backend server runs at once.
  int64_t slots = 32;
  // Requests let through beyond the slots, for the backend server to queue.
  int64_t queue = 4;
  // Bytes of answers kept for re-attachment, over all requests.
  int64_t replay_bytes = 16 * 1024 * 1024;
  // Request keys remembered; the oldest settled one is forgotten first.
  size_t max_keys = 100'000;
  size_t ledger_shards = 1;
  // How long a run whose routers are gone waits for another one.
  absl::Duration orphan_grace = absl::Seconds(5);
  // How long the gate waits after a run's end for the router to bill it.
  absl::Duration settle_grace = absl::Seconds(5);
  // The same once that router's link has closed.
  absl::Duration lost_settle_grace = absl::Seconds(1);
  friend auto operator<=>(const GateBookOptions&,
                          const GateBookOptions&) = default;
};

// A router's link: a number that is never used again, and the incarnation that
// the router gave in its Hello.
struct RouterLink {
  int64_t id = 0;
  std::string router;
  friend auto operator<=>(const RouterLink&, const RouterLink&) = default;
};

// Send `frame` over the link `link`, if it is still open.
struct SendAction {
  int64_t link = 0;
  fb::FrameT frame;
};
// Call the backend server. Events of this run carry the number `run`.
struct StartAction {
  int64_t run = 0;
  fb::DispatchT dispatch;
};
// Cancel the call; its end is still to be reported.
struct StopAction {
  int64_t run = 0;
  std::string request;
};
using GateAction = std::variant<SendAction, StartAction, StopAction>;
using GateActions = std::vector<GateAction>;

// How a call of the backend server ended.
struct RunEnd {
  fb::EndKind kind = fb::EndKind::Completed;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  std::string detail;
  friend bool operator==(const RunEnd&, const RunEnd&) = default;
};

// A bill that the gate has to append, for the run `run`.
struct DueBill {
  int64_t run = 0;
  BillRecord bill;
  friend auto operator<=>(const DueBill&, const DueBill&) = default;
};

struct GateBookCounters {
  int64_t runs = 0;
  int64_t attached = 0;
  int64_t refused = 0;
  int64_t stopped = 0;
  int64_t ended = 0;
  int64_t bills = 0;
  int64_t evicted = 0;
  friend auto operator<=>(const GateBookCounters&,
                          const GateBookCounters&) = default;
};

// Not thread-safe.
class GateBook {
 public:
  GateBook(GateIdentity identity, const GateBookOptions& options);
  GateBook(const GateBook&) = delete;
  GateBook& operator=(const GateBook&) = delete;
  ~GateBook();

  // Frames from routers.
  GateActions OnDispatch(const RouterLink& link,
                         const fb::DispatchT& dispatch,
                         absl::Time now);
  GateActions OnAttach(const RouterLink& link, const fb::AttachT& attach);
  GateActions OnCancel(const RouterLink& link, const fb::CancelT& cancel);
  void OnSettled(std::string_view request);
  void OnLinkClosed(int64_t link, absl::Time now);

  // Events of a run. Those of a run that has ended change nothing.
  GateActions OnHead(int64_t run, int32_t status, std::string content_type);
  GateActions OnData(int64_t run, std::string_view bytes);
  GateActions OnEnd(int64_t run, const RunEnd& end, absl::Time now);

  // Refuses the incarnation from now on and stops the idempotent runs that no
  // other router follows.
  GateActions Seal(std::string_view router, absl::Time now);
  bool IsSealed(std::string_view router) const;
  // Runs paid by the router that go on or are not billed durably.
  int64_t UnsettledRuns(std::string_view router) const;
  int64_t unsettled_runs() const;

  // Refuses new requests from now on.
  void SetLeaving() { leaving_ = true; }
  bool leaving() const { return leaving_; }
  void SetSlots(int64_t slots) { options_.slots = slots; }

  // Stops idempotent runs that have been without a router for too long or have
  // passed their deadline. Call it several times a second.
  GateActions Tick(absl::Time now);
  // The bills that have become due: those of sealed routers at once, others
  // after the settle grace, or all of them. Each is returned once, unless
  // OnBillFailed puts it back.
  std::vector<DueBill> TakeDueBills(absl::Time now, bool all);
  void OnBilled(const DueBill& bill);
  void OnBillFailed(const DueBill& bill);

  // The load, as told to the router of this incarnation.
  fb::LoadT Load(std::string_view router) const;
  fb::LoadT Load() const;
  int64_t running() const { return static_cast<int64_t>(running_.size()); }
  int64_t kept_bytes() const { return kept_bytes_; }
  size_t remembered() const { return entries_.size(); }
  const GateBookCounters& counters() const { return counters_; }

 private:
  struct Follower;
  struct Entry;
  // A request key and the number of one of its runs.
  using RunOfRequest = std::pair<std::string, int64_t>;

  Entry* Find(std::string_view request);
  Entry* FindRunning(int64_t run);
  std::string CheckForm(const RouterLink& link,
                        const fb::DispatchT& dispatch) const;
  bool IsForgottenFence(const fb::DispatchT& dispatch) const;
  bool MayRunAgain(const Entry& entry, const fb::DispatchT& dispatch) const;
  GateActions OnKnown(Entry& entry,
                      const RouterLink& link,
                      const fb::DispatchT& dispatch,
                      absl::Time now);
  GateActions OnToldUnknown(const Entry& entry,
                            const RouterLink& link,
                            const fb::DispatchT& dispatch,
                            absl::Time now);
  void RememberToldUnknown(const fb::AttachT& attach);
  GateActions StartRun(const RouterLink& link,
                       const fb::DispatchT& dispatch,
                       absl::Time now);
  GateActions Refuse(const RouterLink& link,
                     std::string_view request,
                     int32_t attempt,
                     fb::RefusalReason reason,
                     std::string_view detail);
  GateActions Replay(Entry& entry,
                     const RouterLink& link,
                     int32_t attempt,
                     int64_t from_sequence);
  void Follow(Entry& entry, const RouterLink& link, int32_t attempt);
  void StopIfUnwanted(Entry& entry, GateActions* actions);
  void StopIdempotent(Entry& entry, GateActions* actions);
  bool OwesBill(const Entry& entry) const;
  void SetSettled(Entry& entry);
  void Close(Entry& entry);
  void DropPieces(Entry& entry);
  void EnforceReplayBytes(Entry& receiving);
  bool IsStale(const RunOfRequest& element);
  void Compact(std::deque<RunOfRequest>* runs);
  void EnforceMaxKeys();
  void Forget(const std::string& request);
  BillRecord MakeBill(const Entry& entry) const;

  const GateIdentity identity_;
  GateBookOptions options_;
  bool leaving_ = false;
  int64_t next_run_ = 1;
  int64_t kept_bytes_ = 0;
  GateBookCounters counters_;
  std::unordered_map<std::string, std::unique_ptr<Entry>> entries_;
  std::map<int64_t, Entry*> running_;  // by run
  // Entries that run or owe a bill.
  std::set<Entry*> open_;
  // In the order of ending and of closing. An element whose run is no longer
  // the entry's is stale and skipped.
  std::deque<RunOfRequest> ended_;
  std::deque<RunOfRequest> closed_;
  std::set<std::string, std::less<>> sealed_;
  // The highest fence among forgotten requests, by ledger shard.
  std::map<size_t, int64_t> forgotten_fence_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_GATE_REQUEST_TABLE_H_
