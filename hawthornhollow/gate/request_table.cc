// Repeated runs. The table has one entry for each request key, which holds the
// latest run of the request. A dispatch starts another run in two cases only,
// in which no side effect can happen twice: the earlier run never reached
// the backend server (NotRun), or the request is idempotent and its earlier run
// did not complete. Both require a new attempt, that is another router or a
// higher attempt number, so that the same attempt always gets the same answer.
// Every other dispatch of a known key subscribes to the existing run and
// receives its answer from the start.
//
// Late events. Run numbers are never reused, so an event of a run other than
// the entry's running one is ignored, and a frame is sent only to the
// subscribers of the entry to which the run belongs.
//
// Unknown requests. A router may ask, with an Attach frame, for a request of
// which no dispatch has arrived. It is answered UnknownRequest, and may then
// release the claim that it named and run the request elsewhere. A delayed
// dispatch under that claim must therefore never run, whichever router sends
// it. This includes the router that asked, which may be handling two attempts
// of the request at once. A dispatch of such a request is accepted only under a
// claim newer than every claim named so far.
//
// Billing. The router whose dispatch starts a run pays for it, from the grant
// in which it has reserved the run's highest possible cost. An entry stays open
// until the run's bill is known to be durable. A charge never exceeds the
// reservation, so it cannot overdraw the grant whatever usage the backend
// server reports.
//
// Limits. `slots`, `max_queued` and `max_keys` limit the open entries, and
// `max_keys` the closed ones. `replay_bytes` limits the kept bytes of answers:
// the oldest ended answer is dropped first and, if there is none, the answer
// that is being received. A request whose answer was dropped stays in the
// table, and a replay of its answer ends with EndKind Unknown. When a request
// with a fence is removed, its fence stays as the lower bound of its ledger
// shard: a claim of that shard that is not newer might be the claim of the
// removed request, and is refused. Tick, Seal and TakeDueBills visit open
// entries only.

#include "hawthornhollow/gate/request_table.h"

#include <algorithm>

namespace hawthornhollow {
namespace {

// Memory overhead of one kept piece of an answer, in addition to its bytes.
constexpr int64_t kPieceOverheadBytes = 64;

int64_t PieceCost(std::string_view piece) {
  return static_cast<int64_t>(piece.size()) + kPieceOverheadBytes;
}

Outcome OutcomeOf(fb::EndKind kind) {
  switch (kind) {
    case fb::EndKind::Completed:
      return Outcome::kCompleted;
    case fb::EndKind::Cancelled:
      return Outcome::kCancelled;
    case fb::EndKind::BackendFailed:
    case fb::EndKind::NotRun:
      return Outcome::kFailed;
    case fb::EndKind::Unknown:
      return Outcome::kUnknown;
  }
  return Outcome::kUnknown;
}

template <typename MessageT>
SidecarAction Send(int64_t link, MessageT message) {
  SendFrameAction action;
  action.link = link;
  action.frame.body.Set(std::move(message));
  return action;
}

}  // namespace

// A router link that receives the frames of a run.
struct RequestTable::Subscriber {
  RouterLink link;
  int32_t attempt = 0;
  // Set by a Cancel frame. The link then receives only the End frame.
  bool cancelled = false;
};

struct RequestTable::Entry {
  // The dispatch that started the run, without the request body.
  fb::DispatchT dispatch;
  int64_t run = 0;  // 0 if the request was never run.
  bool running = true;
  bool stop_requested = false;
  bool settled = false;
  bool bill_in_flight = false;
  absl::Time deadline = absl::InfiniteFuture();
  absl::Time orphaned_at = absl::InfiniteFuture();
  absl::Time ended_at = absl::InfiniteFuture();
  RunEnd end;
  // The latest link of the paying router, and when that link closed.
  int64_t payer_link = 0;
  absl::Time payer_disconnected_at = absl::InfiniteFuture();

  bool has_head = false;
  int32_t status = 0;
  std::string content_type;
  // The payloads of the Data frames from sequence 0; empty if dropped.
  std::vector<std::string> pieces;
  bool pieces_dropped = false;
  int64_t next_sequence = 0;
  int64_t body_bytes = 0;
  std::unique_ptr<StableHasher> hasher = std::make_unique<StableHasher>();
  uint64_t checksum = 0;
  std::vector<Subscriber> subscribers;
  // Whether a router was answered UnknownRequest for this request. A dispatch
  // with a fence up to `invalidated_fence`, the highest fence that such a
  // router named, must not run.
  bool reported_unknown = false;
  int64_t invalidated_fence = 0;

  const std::string& request() const { return dispatch.request; }
  bool idempotent() const { return dispatch.kind == fb::CallKind::Chat; }

  bool IsBillDue(absl::Time now, const RequestTableOptions& options) const {
    return now >= ended_at + options.settle_timeout ||
           now >= std::max(ended_at, payer_disconnected_at) +
                      options.disconnected_settle_timeout;
  }

  bool HasActiveSubscriber() const {
    return std::any_of(subscribers.begin(), subscribers.end(),
                       [](const Subscriber& f) { return !f.cancelled; });
  }

  fb::HeadT HeadFor(int32_t attempt) const {
    fb::HeadT head;
    head.request = request();
    head.attempt = attempt;
    head.status = status;
    head.content_type = content_type;
    return head;
  }

  fb::DataT DataFor(int32_t attempt,
                    int64_t sequence,
                    std::string_view bytes) const {
    fb::DataT data;
    data.request = request();
    data.attempt = attempt;
    data.sequence = sequence;
    data.bytes.assign(bytes.begin(), bytes.end());
    return data;
  }

  fb::EndT EndFor(int32_t attempt) const {
    fb::EndT frame;
    frame.request = request();
    frame.attempt = attempt;
    frame.sequence = next_sequence;
    frame.kind = end.kind;
    frame.bytes = body_bytes;
    frame.checksum = checksum;
    frame.prompt_tokens = end.prompt_tokens;
    frame.output_tokens = end.output_tokens;
    frame.detail = end.detail;
    return frame;
  }
};

RequestTable::RequestTable(SidecarIdentity identity,
                           const RequestTableOptions& options)
    : identity_(std::move(identity)), options_(options) {}
RequestTable::~RequestTable() = default;

// ---------------------------------------------------------------------------
// Dispatch and Attach frames

SidecarActions RequestTable::OnDispatch(const RouterLink& link,
                                        const fb::DispatchT& dispatch,
                                        absl::Time now) {
  auto refuse = [&](fb::RefusalReason reason, std::string_view detail) {
    return Refuse(link, dispatch.request, dispatch.attempt, reason, detail);
  };
  const std::string error = FindDispatchError(link, dispatch);
  if (!error.empty()) {
    return refuse(fb::RefusalReason::Malformed, error);
  }
  if (IsSealed(dispatch.router)) {
    return refuse(fb::RefusalReason::Sealed, dispatch.router);
  }
  if (Entry* entry = Find(dispatch.request)) {
    return OnKnownRequest(*entry, link, dispatch, now);
  }
  if (MayBeForgottenClaim(dispatch)) {
    return refuse(fb::RefusalReason::StaleFence, "claim may be forgotten");
  }
  return StartRun(link, dispatch, now);
}

// Returns what is wrong with a malformed dispatch, or "" if it is well-formed.
// "router is not the link's" means that the router is missing or differs from
// the incarnation in the link's Hello; "negative number" speaks of a token
// count or the fence.
std::string RequestTable::FindDispatchError(
    const RouterLink& link,
    const fb::DispatchT& dispatch) const {
  if (dispatch.request.empty()) {
    return "no request key";
  }
  if (dispatch.router.empty() || dispatch.router != link.router) {
    return "router is not the link's";
  }
  if (dispatch.budget.empty()) {
    return "no budget";
  }
  if (dispatch.method.empty() || dispatch.target.empty() ||
      dispatch.target.front() != '/') {
    return "no method or target";
  }
  if (dispatch.reserved_tokens < 0 || dispatch.prompt_tokens < 0 ||
      dispatch.max_output_tokens < 0 || dispatch.fence < 0) {
    return "negative number";
  }
  return "";
}

bool RequestTable::MayBeForgottenClaim(const fb::DispatchT& dispatch) const {
  if (dispatch.kind != fb::CallKind::Service || dispatch.fence == 0) {
    return false;
  }
  const auto it = max_forgotten_fence_.find(
      ShardOfBudget(dispatch.budget, options_.ledger_shards));
  return it != max_forgotten_fence_.end() && dispatch.fence <= it->second;
}

bool RequestTable::MayRunAgain(const Entry& entry,
                               const fb::DispatchT& dispatch) const {
  if (entry.running) {
    return false;
  }
  if (dispatch.router == entry.dispatch.router &&
      dispatch.attempt <= entry.dispatch.attempt) {
    return false;
  }
  if (entry.end.kind == fb::EndKind::NotRun) {
    return true;
  }
  return entry.idempotent() && entry.end.kind != fb::EndKind::Completed;
}

SidecarActions RequestTable::OnKnownRequest(Entry& entry,
                                            const RouterLink& link,
                                            const fb::DispatchT& dispatch,
                                            absl::Time now) {
  if (entry.reported_unknown) {
    return OnRequestReportedUnknown(entry, link, dispatch, now);
  }
  if (dispatch.caller != entry.dispatch.caller ||
      dispatch.kind != entry.dispatch.kind) {
    return Refuse(link, dispatch.request, dispatch.attempt,
                  fb::RefusalReason::Malformed, "key of another request");
  }
  if (dispatch.fence < entry.dispatch.fence) {
    return Refuse(link, dispatch.request, dispatch.attempt,
                  fb::RefusalReason::StaleFence, "newer claim seen");
  }
  if (MayRunAgain(entry, dispatch)) {
    return StartRun(link, dispatch, now);
  }
  ++counters_.attached;
  return Replay(entry, link, dispatch.attempt, 0);
}

SidecarActions RequestTable::OnRequestReportedUnknown(
    const Entry& entry,
    const RouterLink& link,
    const fb::DispatchT& dispatch,
    absl::Time now) {
  if (dispatch.fence != 0 && dispatch.fence <= entry.invalidated_fence) {
    return Refuse(link, dispatch.request, dispatch.attempt,
                  fb::RefusalReason::StaleFence,
                  "a router was told that this claim did not run");
  }
  return StartRun(link, dispatch, now);
}

SidecarActions RequestTable::StartRun(const RouterLink& link,
                                      const fb::DispatchT& dispatch,
                                      absl::Time now) {
  auto refuse = [&](fb::RefusalReason reason, std::string_view detail) {
    return Refuse(link, dispatch.request, dispatch.attempt, reason, detail);
  };
  if (leaving_) {
    return refuse(fb::RefusalReason::Leaving, "");
  }
  if (running() >= options_.slots + options_.max_queued) {
    return refuse(fb::RefusalReason::Full, "slots and queue are full");
  }
  if (open_.size() >= options_.max_keys) {
    return refuse(fb::RefusalReason::Full, "too many unbilled requests");
  }
  std::unique_ptr<Entry>& slot = entries_[dispatch.request];
  if (slot != nullptr) {
    DropPieces(*slot);
    open_.erase(slot.get());
  }
  slot = std::make_unique<Entry>();
  Entry& entry = *slot;
  entry.dispatch = dispatch;
  entry.dispatch.body = {};
  entry.run = next_run_++;
  entry.payer_link = link.id;
  if (dispatch.deadline_ms > 0) {
    entry.deadline = now + absl::Milliseconds(dispatch.deadline_ms);
  }
  open_.insert(&entry);
  running_[entry.run] = &entry;
  Subscribe(entry, link, dispatch.attempt);
  EnforceMaxKeys();
  ++counters_.runs;
  SidecarActions actions;
  actions.push_back(StartRunAction{entry.run, dispatch});
  return actions;
}

SidecarActions RequestTable::Refuse(const RouterLink& link,
                                    std::string_view request,
                                    int32_t attempt,
                                    fb::RefusalReason reason,
                                    std::string_view detail) {
  ++counters_.refused;
  fb::RefusedT refused;
  refused.request = request;
  refused.attempt = attempt;
  refused.reason = reason;
  refused.detail = detail;
  SidecarActions actions;
  actions.push_back(Send(link.id, std::move(refused)));
  return actions;
}

SidecarActions RequestTable::OnAttach(const RouterLink& link,
                                      const fb::AttachT& attach) {
  if (IsSealed(attach.router) || IsSealed(link.router)) {
    return Refuse(link, attach.request, attach.attempt,
                  fb::RefusalReason::Sealed, attach.router);
  }
  Entry* entry = Find(attach.request);
  if (entry == nullptr || entry->reported_unknown) {
    RecordUnknownReply(attach);
    return Refuse(link, attach.request, attach.attempt,
                  fb::RefusalReason::UnknownRequest, "");
  }
  ++counters_.attached;
  return Replay(*entry, link, attach.attempt,
                std::max<int64_t>(attach.from_sequence, 0));
}

void RequestTable::RecordUnknownReply(const fb::AttachT& attach) {
  const std::string& request = attach.request;
  std::unique_ptr<Entry>& slot = entries_[request];
  if (slot == nullptr) {
    slot = std::make_unique<Entry>();
    slot->dispatch.request = request;
    slot->dispatch.budget = attach.budget;
    slot->running = false;
    slot->settled = true;
    slot->end.kind = fb::EndKind::NotRun;
    closed_.emplace_back(request, slot->run);
  }
  slot->reported_unknown = true;
  slot->invalidated_fence = std::max(slot->invalidated_fence, attach.fence);
  EnforceMaxKeys();
}

// Sends the kept pieces of an answer from `from_sequence` on. Subscribes the
// link to the rest if the run goes on.
SidecarActions RequestTable::Replay(Entry& entry,
                                    const RouterLink& link,
                                    int32_t attempt,
                                    int64_t from_sequence) {
  SidecarActions actions;
  if (link.router == entry.dispatch.router) {
    entry.payer_link = link.id;
    entry.payer_disconnected_at = absl::InfiniteFuture();
  }
  const bool pieces_missing =
      entry.pieces_dropped && from_sequence < entry.next_sequence;
  if (entry.running && pieces_missing) {
    fb::EndT end = entry.EndFor(attempt);
    end.kind = fb::EndKind::Unknown;
    end.detail = "answer no longer kept";
    actions.push_back(Send(link.id, std::move(end)));
    return actions;
  }
  if (entry.has_head) {
    actions.push_back(Send(link.id, entry.HeadFor(attempt)));
  }
  for (size_t i = static_cast<size_t>(from_sequence); i < entry.pieces.size();
       ++i) {
    actions.push_back(
        Send(link.id,
             entry.DataFor(attempt, static_cast<int64_t>(i), entry.pieces[i])));
  }
  if (entry.running) {
    Subscribe(entry, link, attempt);
    return actions;
  }
  fb::EndT end = entry.EndFor(attempt);
  if (pieces_missing && end.kind == fb::EndKind::Completed) {
    end.kind = fb::EndKind::Unknown;
    end.detail = "answer no longer kept";
  }
  actions.push_back(Send(link.id, std::move(end)));
  return actions;
}

void RequestTable::Subscribe(Entry& entry,
                             const RouterLink& link,
                             int32_t attempt) {
  std::erase_if(entry.subscribers, [&](const Subscriber& subscriber) {
    return subscriber.link.id == link.id && subscriber.attempt == attempt;
  });
  entry.subscribers.push_back(Subscriber{link, attempt});
  entry.orphaned_at = absl::InfiniteFuture();
}

// ---------------------------------------------------------------------------
// Cancel and Settled frames, closed links

SidecarActions RequestTable::OnCancel(const RouterLink& link,
                                      const fb::CancelT& cancel) {
  SidecarActions actions;
  Entry* entry = Find(cancel.request);
  if (entry == nullptr || !entry->running) {
    return actions;
  }
  bool found = false;
  for (Subscriber& subscriber : entry->subscribers) {
    if (subscriber.link.id == link.id && subscriber.attempt == cancel.attempt) {
      subscriber.cancelled = true;
      found = true;
    }
  }
  if (found) {
    StopIfNoSubscriber(*entry, &actions);
  }
  return actions;
}

void RequestTable::StopIfNoSubscriber(Entry& entry, SidecarActions* actions) {
  if (!entry.HasActiveSubscriber()) {
    StopIdempotent(entry, actions);
  }
}

void RequestTable::StopIdempotent(Entry& entry, SidecarActions* actions) {
  if (!entry.running || !entry.idempotent() || entry.stop_requested) {
    return;
  }
  entry.stop_requested = true;
  ++counters_.stopped;
  actions->push_back(StopRunAction{entry.run, entry.request()});
}

void RequestTable::OnSettled(std::string_view request) {
  if (Entry* entry = Find(request)) {
    SetSettled(*entry);
  }
}

void RequestTable::SetSettled(Entry& entry) {
  if (entry.settled) {
    return;
  }
  entry.settled = true;
  if (!entry.running) {
    Close(entry);
  }
}

// Marks an entry that is neither running nor needs a bill as removable.
void RequestTable::Close(Entry& entry) {
  open_.erase(&entry);
  closed_.emplace_back(entry.request(), entry.run);
  EnforceMaxKeys();
}

void RequestTable::OnLinkClosed(int64_t link, absl::Time now) {
  for (Entry* entry : open_) {
    if (entry->payer_link == link) {
      entry->payer_disconnected_at = now;
    }
  }
  for (auto& [run, entry] : running_) {
    const size_t removed =
        std::erase_if(entry->subscribers, [&](const Subscriber& subscriber) {
          return subscriber.link.id == link;
        });
    if (removed > 0 && !entry->HasActiveSubscriber()) {
      entry->orphaned_at = now;
    }
  }
}

// ---------------------------------------------------------------------------
// Events of a run

SidecarActions RequestTable::OnHead(int64_t run,
                                    int32_t status,
                                    std::string content_type) {
  SidecarActions actions;
  Entry* entry = FindRunning(run);
  if (entry == nullptr || entry->has_head) {
    return actions;
  }
  entry->has_head = true;
  entry->status = status;
  entry->content_type = std::move(content_type);
  for (const Subscriber& subscriber : entry->subscribers) {
    if (!subscriber.cancelled) {
      actions.push_back(
          Send(subscriber.link.id, entry->HeadFor(subscriber.attempt)));
    }
  }
  return actions;
}

SidecarActions RequestTable::OnData(int64_t run, std::string_view bytes) {
  SidecarActions actions;
  Entry* entry = FindRunning(run);
  if (entry == nullptr || bytes.empty()) {
    return actions;
  }
  const int64_t sequence = entry->next_sequence++;
  entry->body_bytes += static_cast<int64_t>(bytes.size());
  entry->hasher->Update(bytes);
  if (!entry->pieces_dropped) {
    entry->pieces.emplace_back(bytes);
    kept_bytes_ += PieceCost(bytes);
  }
  for (const Subscriber& subscriber : entry->subscribers) {
    if (!subscriber.cancelled) {
      actions.push_back(
          Send(subscriber.link.id,
               entry->DataFor(subscriber.attempt, sequence, bytes)));
    }
  }
  EnforceReplayLimit(*entry);
  return actions;
}

SidecarActions RequestTable::OnEnd(int64_t run,
                                   const RunEnd& end,
                                   absl::Time now) {
  SidecarActions actions;
  Entry* entry = FindRunning(run);
  if (entry == nullptr) {
    return actions;
  }
  entry->running = false;
  entry->ended_at = now;
  entry->end = end;
  entry->checksum = entry->hasher->digest();
  entry->hasher.reset();
  running_.erase(run);
  ended_.emplace_back(entry->request(), run);
  ++counters_.ended;
  for (const Subscriber& subscriber : entry->subscribers) {
    actions.push_back(
        Send(subscriber.link.id, entry->EndFor(subscriber.attempt)));
  }
  entry->subscribers.clear();
  entry->settled |= end.kind == fb::EndKind::NotRun;
  if (entry->settled) {
    Close(*entry);
  }
  return actions;
}

// ---------------------------------------------------------------------------
// Sealing, deadlines and timeouts

SidecarActions RequestTable::Seal(std::string_view router, absl::Time now) {
  SidecarActions actions;
  if (!sealed_.insert(std::string(router)).second) {
    return actions;
  }
  for (auto& [run, entry] : running_) {
    const size_t removed =
        std::erase_if(entry->subscribers, [&](const Subscriber& subscriber) {
          return subscriber.link.router == router;
        });
    if (removed > 0 && !entry->HasActiveSubscriber()) {
      entry->orphaned_at = now;
    }
    if (entry->dispatch.router == router) {
      StopIfNoSubscriber(*entry, &actions);
    }
  }
  return actions;
}

bool RequestTable::IsSealed(std::string_view router) const {
  return sealed_.contains(router);
}

int64_t RequestTable::CountOpenRuns(std::string_view router) const {
  return std::count_if(open_.begin(), open_.end(), [&](const Entry* entry) {
    return entry->dispatch.router == router;
  });
}

int64_t RequestTable::unbilled_runs() const {
  return static_cast<int64_t>(open_.size()) - running();
}

SidecarActions RequestTable::Tick(absl::Time now) {
  SidecarActions actions;
  for (auto& [run, entry] : running_) {
    if (now >= entry->orphaned_at + options_.orphan_timeout) {
      StopIfNoSubscriber(*entry, &actions);
    }
    if (now >= entry->deadline) {
      StopIdempotent(*entry, &actions);
    }
  }
  return actions;
}

// ---------------------------------------------------------------------------
// Bills

bool RequestTable::OwesBill(const Entry& entry) const {
  return !entry.running && !entry.settled && !entry.bill_in_flight;
}

std::vector<DueBill> RequestTable::TakeDueBills(absl::Time now, bool all) {
  std::vector<DueBill> due;
  for (Entry* entry : open_) {
    if (!OwesBill(*entry)) {
      continue;
    }
    if (all || entry->IsBillDue(now, options_) ||
        IsSealed(entry->dispatch.router)) {
      entry->bill_in_flight = true;
      due.push_back(DueBill{entry->run, MakeBill(*entry)});
    }
  }
  return due;
}

BillRecord RequestTable::MakeBill(const Entry& entry) const {
  BillRecord bill;
  bill.request = entry.request();
  bill.budget = entry.dispatch.budget;
  bill.caller = entry.dispatch.caller;
  bill.incarnation = entry.dispatch.router;
  bill.server = identity_.server;
  bill.witness = identity_.incarnation;
  bill.prompt_tokens = entry.end.prompt_tokens;
  bill.output_tokens = entry.end.output_tokens;
  bill.outcome = OutcomeOf(entry.end.kind);
  const int64_t reserved = entry.dispatch.reserved_tokens;
  const bool measured =
      entry.idempotent() && entry.end.kind != fb::EndKind::Unknown;
  bill.charged_tokens =
      measured ? std::min(bill.prompt_tokens + bill.output_tokens, reserved)
               : reserved;
  return bill;
}

void RequestTable::OnBilled(const DueBill& bill) {
  Entry* entry = Find(bill.bill.request);
  if (entry == nullptr || entry->run != bill.run) {
    return;
  }
  ++counters_.bills;
  SetSettled(*entry);
}

void RequestTable::OnBillFailed(const DueBill& bill) {
  Entry* entry = Find(bill.bill.request);
  if (entry != nullptr && entry->run == bill.run) {
    entry->bill_in_flight = false;
  }
}

// ---------------------------------------------------------------------------
// Limits on memory

RequestTable::Entry* RequestTable::Find(std::string_view request) {
  const auto it = entries_.find(std::string(request));
  return it == entries_.end() ? nullptr : it->second.get();
}

RequestTable::Entry* RequestTable::FindRunning(int64_t run) {
  const auto it = running_.find(run);
  return it == running_.end() ? nullptr : it->second;
}

void RequestTable::DropPieces(Entry& entry) {
  for (const std::string& piece : entry.pieces) {
    kept_bytes_ -= PieceCost(piece);
  }
  entry.pieces = {};
  entry.pieces_dropped = true;
}

void RequestTable::EnforceReplayLimit(Entry& current) {
  while (kept_bytes_ > options_.replay_bytes && !ended_.empty()) {
    const auto [request, run] = ended_.front();
    ended_.pop_front();
    Entry* entry = Find(request);
    if (entry != nullptr && entry->run == run && !entry->pieces.empty()) {
      DropPieces(*entry);
      ++counters_.evicted;
    }
  }
  if (kept_bytes_ > options_.replay_bytes) {
    DropPieces(current);
    ++counters_.evicted;
  }
}

bool RequestTable::IsStale(const RunKey& element) {
  const Entry* entry = Find(element.first);
  return entry == nullptr || entry->run != element.second;
}

// Removes the stale elements once there may be more of them than of the others.
void RequestTable::Compact(std::deque<RunKey>* runs) {
  if (runs->size() > 2 * options_.max_keys) {
    std::erase_if(*runs, [&](const RunKey& run) { return IsStale(run); });
  }
}

void RequestTable::EnforceMaxKeys() {
  Compact(&ended_);
  Compact(&closed_);
  while (entries_.size() > options_.max_keys && !closed_.empty()) {
    const RunKey oldest = std::move(closed_.front());
    closed_.pop_front();
    if (!IsStale(oldest)) {
      Forget(oldest.first);
    }
  }
}

void RequestTable::Forget(const std::string& request) {
  Entry& entry = *Find(request);
  DropPieces(entry);
  if (entry.reported_unknown || entry.dispatch.kind == fb::CallKind::Service) {
    const size_t shard =
        ShardOfBudget(entry.dispatch.budget, options_.ledger_shards);
    int64_t& fence = max_forgotten_fence_[shard];
    fence = std::max({fence, entry.dispatch.fence, entry.invalidated_fence});
  }
  entries_.erase(request);
}

fb::LoadT RequestTable::Load(std::string_view router) const {
  fb::LoadT load = Load();
  load.from_receiver = static_cast<int32_t>(
      std::count_if(running_.begin(), running_.end(), [&](const auto& entry) {
        return entry.second->dispatch.router == router;
      }));
  return load;
}

fb::LoadT RequestTable::Load() const {
  fb::LoadT load;
  load.running = static_cast<int32_t>(std::min(running(), options_.slots));
  load.waiting =
      static_cast<int32_t>(std::max<int64_t>(running() - options_.slots, 0));
  load.slots = static_cast<int32_t>(options_.slots);
  load.leaving = leaving_;
  return load;
}

}  // namespace hawthornhollow
