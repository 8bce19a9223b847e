// The gate's decisions.
//
// One entry for each request key holds its latest run. A key that runs or has
// ended is never started again, with two exceptions that cannot double a side
// effect: a run that certainly never reached the backend server (NotRun), and
// an idempotent run that did not complete. Either needs a new attempt, so that
// the same attempt always gets the same answer. Every other dispatch of a known
// key follows the run that exists and receives its answer from the start.
//
// Late events are told apart by the run's number, which is never used again: an
// event of any run but the entry's running one changes nothing, and a frame
// goes out only to the followers of the entry that its run belongs to.
//
// A router that asks for a key of which no dispatch has come is told so, and
// may release the claim that it named and have the call run elsewhere. A
// delayed dispatch under that claim must then not run, whoever sends it, the
// asking router included (it may have been asked twice at once): of such a key
// a dispatch is taken only under a claim newer than every one named so far.
//
// Who pays is fixed when a run starts: the dispatching router, from whose grant
// the worst case was reserved. An entry stays open until a durable bill is
// known. A charge never exceeds the reservation, so it cannot overdraw the
// grant whatever a backend server reports.
//
// Bounds: open entries are limited by slots, queue and max_keys; closed ones by
// max_keys; kept bytes by replay_bytes, where the oldest ended answer goes
// first and, when none is left, the one that is growing. A request whose pieces
// went is still remembered and answered with an End that says Unknown. When a
// fenced request is forgotten, its fence stays as the lower bound of its ledger
// shard: a claim of that shard which is not newer might be the forgotten one,
// and is refused. Tick, Seal and TakeDueBills visit open entries only.

#include "hawthornhollow/gate/request_table.h"

#include <algorithm>

namespace hawthornhollow {
namespace {

// What one kept piece costs beside its bytes.
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
GateAction Send(int64_t link, MessageT message) {
  SendAction action;
  action.link = link;
  action.frame.body.Set(std::move(message));
  return action;
}

}  // namespace

// A router's link that receives a run's frames.
struct GateBook::Follower {
  RouterLink link;
  int32_t attempt = 0;
  // Receives no more data, only the end.
  bool cancelled = false;
};

struct GateBook::Entry {
  // The dispatch that started the run, without its body.
  fb::DispatchT dispatch;
  int64_t run = 0;  // 0 if it never ran
  bool running = true;
  bool stop_requested = false;
  bool settled = false;
  bool bill_in_flight = false;
  absl::Time deadline = absl::InfiniteFuture();
  absl::Time orphaned_at = absl::InfiniteFuture();
  absl::Time ended_at = absl::InfiniteFuture();
  RunEnd end;
  // The last link of the router that pays, and when it closed.
  int64_t payer_link = 0;
  absl::Time payer_left_at = absl::InfiniteFuture();

  bool has_head = false;
  int32_t status = 0;
  std::string content_type;
  std::vector<std::string> pieces;  // from sequence 0, or none if dropped
  bool pieces_dropped = false;
  int64_t next_sequence = 0;
  int64_t body_bytes = 0;
  std::unique_ptr<StableHasher> hasher = std::make_unique<StableHasher>();
  uint64_t checksum = 0;
  std::vector<Follower> followers;
  // No dispatch of the key had come when a router asked for it, naming a claim
  // of up to `dead_fence`.
  bool told_unknown = false;
  int64_t dead_fence = 0;

  const std::string& request() const { return dispatch.request; }
  bool idempotent() const { return dispatch.kind == fb::CallKind::Chat; }

  bool IsBillDue(absl::Time now, const GateBookOptions& options) const {
    return now >= ended_at + options.settle_grace ||
           now >= std::max(ended_at, payer_left_at) + options.lost_settle_grace;
  }

  bool HasRouter() const {
    return std::any_of(followers.begin(), followers.end(),
                       [](const Follower& f) { return !f.cancelled; });
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

GateBook::GateBook(GateIdentity identity, const GateBookOptions& options)
    : identity_(std::move(identity)), options_(options) {}
GateBook::~GateBook() = default;

// ---------------------------------------------------------------------------
// Dispatch and attach

GateActions GateBook::OnDispatch(const RouterLink& link,
                                 const fb::DispatchT& dispatch,
                                 absl::Time now) {
  auto refuse = [&](fb::RefusalReason reason, std::string_view detail) {
    return Refuse(link, dispatch.request, dispatch.attempt, reason, detail);
  };
  const std::string fault = CheckForm(link, dispatch);
  if (!fault.empty()) {
    return refuse(fb::RefusalReason::Malformed, fault);
  }
  if (IsSealed(dispatch.router)) {
    return refuse(fb::RefusalReason::Sealed, dispatch.router);
  }
  if (Entry* entry = Find(dispatch.request)) {
    return OnKnown(*entry, link, dispatch, now);
  }
  if (IsForgottenFence(dispatch)) {
    return refuse(fb::RefusalReason::StaleFence, "claim may be forgotten");
  }
  return StartRun(link, dispatch, now);
}

// The fault of a malformed dispatch; empty if there is none.
std::string GateBook::CheckForm(const RouterLink& link,
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

bool GateBook::IsForgottenFence(const fb::DispatchT& dispatch) const {
  if (dispatch.kind != fb::CallKind::Service || dispatch.fence == 0) {
    return false;
  }
  const auto it = forgotten_fence_.find(
      ShardOfBudget(dispatch.budget, options_.ledger_shards));
  return it != forgotten_fence_.end() && dispatch.fence <= it->second;
}

bool GateBook::MayRunAgain(const Entry& entry,
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

GateActions GateBook::OnKnown(Entry& entry,
                              const RouterLink& link,
                              const fb::DispatchT& dispatch,
                              absl::Time now) {
  if (entry.told_unknown) {
    return OnToldUnknown(entry, link, dispatch, now);
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

GateActions GateBook::OnToldUnknown(const Entry& entry,
                                    const RouterLink& link,
                                    const fb::DispatchT& dispatch,
                                    absl::Time now) {
  if (dispatch.fence != 0 && dispatch.fence <= entry.dead_fence) {
    return Refuse(link, dispatch.request, dispatch.attempt,
                  fb::RefusalReason::StaleFence,
                  "a router was told that this claim did not run");
  }
  return StartRun(link, dispatch, now);
}

GateActions GateBook::StartRun(const RouterLink& link,
                               const fb::DispatchT& dispatch,
                               absl::Time now) {
  auto refuse = [&](fb::RefusalReason reason, std::string_view detail) {
    return Refuse(link, dispatch.request, dispatch.attempt, reason, detail);
  };
  if (leaving_) {
    return refuse(fb::RefusalReason::Leaving, "");
  }
  if (running() >= options_.slots + options_.queue) {
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
  Follow(entry, link, dispatch.attempt);
  EnforceMaxKeys();
  ++counters_.runs;
  GateActions actions;
  actions.push_back(StartAction{entry.run, dispatch});
  return actions;
}

GateActions GateBook::Refuse(const RouterLink& link,
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
  GateActions actions;
  actions.push_back(Send(link.id, std::move(refused)));
  return actions;
}

GateActions GateBook::OnAttach(const RouterLink& link,
                               const fb::AttachT& attach) {
  if (IsSealed(attach.router) || IsSealed(link.router)) {
    return Refuse(link, attach.request, attach.attempt,
                  fb::RefusalReason::Sealed, attach.router);
  }
  Entry* entry = Find(attach.request);
  if (entry == nullptr || entry->told_unknown) {
    RememberToldUnknown(attach);
    return Refuse(link, attach.request, attach.attempt,
                  fb::RefusalReason::UnknownRequest, "");
  }
  ++counters_.attached;
  return Replay(*entry, link, attach.attempt,
                std::max<int64_t>(attach.from_sequence, 0));
}

void GateBook::RememberToldUnknown(const fb::AttachT& attach) {
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
  slot->told_unknown = true;
  slot->dead_fence = std::max(slot->dead_fence, attach.fence);
  EnforceMaxKeys();
}

// Sends what is kept of an answer from `from_sequence` on, and what follows.
GateActions GateBook::Replay(Entry& entry,
                             const RouterLink& link,
                             int32_t attempt,
                             int64_t from_sequence) {
  GateActions actions;
  if (link.router == entry.dispatch.router) {
    entry.payer_link = link.id;
    entry.payer_left_at = absl::InfiniteFuture();
  }
  const bool misses_pieces =
      entry.pieces_dropped && from_sequence < entry.next_sequence;
  if (entry.running && misses_pieces) {
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
    Follow(entry, link, attempt);
    return actions;
  }
  fb::EndT end = entry.EndFor(attempt);
  if (misses_pieces && end.kind == fb::EndKind::Completed) {
    end.kind = fb::EndKind::Unknown;
    end.detail = "answer no longer kept";
  }
  actions.push_back(Send(link.id, std::move(end)));
  return actions;
}

void GateBook::Follow(Entry& entry, const RouterLink& link, int32_t attempt) {
  std::erase_if(entry.followers, [&](const Follower& follower) {
    return follower.link.id == link.id && follower.attempt == attempt;
  });
  entry.followers.push_back(Follower{link, attempt});
  entry.orphaned_at = absl::InfiniteFuture();
}

// ---------------------------------------------------------------------------
// Cancel, settle, links that end

GateActions GateBook::OnCancel(const RouterLink& link,
                               const fb::CancelT& cancel) {
  GateActions actions;
  Entry* entry = Find(cancel.request);
  if (entry == nullptr || !entry->running) {
    return actions;
  }
  bool found = false;
  for (Follower& follower : entry->followers) {
    if (follower.link.id == link.id && follower.attempt == cancel.attempt) {
      follower.cancelled = true;
      found = true;
    }
  }
  if (found) {
    StopIfUnwanted(*entry, &actions);
  }
  return actions;
}

void GateBook::StopIfUnwanted(Entry& entry, GateActions* actions) {
  if (!entry.HasRouter()) {
    StopIdempotent(entry, actions);
  }
}

void GateBook::StopIdempotent(Entry& entry, GateActions* actions) {
  if (!entry.running || !entry.idempotent() || entry.stop_requested) {
    return;
  }
  entry.stop_requested = true;
  ++counters_.stopped;
  actions->push_back(StopAction{entry.run, entry.request()});
}

void GateBook::OnSettled(std::string_view request) {
  if (Entry* entry = Find(request)) {
    SetSettled(*entry);
  }
}

void GateBook::SetSettled(Entry& entry) {
  if (entry.settled) {
    return;
  }
  entry.settled = true;
  if (!entry.running) {
    Close(entry);
  }
}

// The entry neither runs nor owes a bill; it may be forgotten.
void GateBook::Close(Entry& entry) {
  open_.erase(&entry);
  closed_.emplace_back(entry.request(), entry.run);
  EnforceMaxKeys();
}

void GateBook::OnLinkClosed(int64_t link, absl::Time now) {
  for (Entry* entry : open_) {
    if (entry->payer_link == link) {
      entry->payer_left_at = now;
    }
  }
  for (auto& [run, entry] : running_) {
    const size_t gone = std::erase_if(
        entry->followers,
        [&](const Follower& follower) { return follower.link.id == link; });
    if (gone > 0 && !entry->HasRouter()) {
      entry->orphaned_at = now;
    }
  }
}

// ---------------------------------------------------------------------------
// Events of a run

GateActions GateBook::OnHead(int64_t run,
                             int32_t status,
                             std::string content_type) {
  GateActions actions;
  Entry* entry = FindRunning(run);
  if (entry == nullptr || entry->has_head) {
    return actions;
  }
  entry->has_head = true;
  entry->status = status;
  entry->content_type = std::move(content_type);
  for (const Follower& follower : entry->followers) {
    if (!follower.cancelled) {
      actions.push_back(
          Send(follower.link.id, entry->HeadFor(follower.attempt)));
    }
  }
  return actions;
}

GateActions GateBook::OnData(int64_t run, std::string_view bytes) {
  GateActions actions;
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
  for (const Follower& follower : entry->followers) {
    if (!follower.cancelled) {
      actions.push_back(Send(
          follower.link.id, entry->DataFor(follower.attempt, sequence, bytes)));
    }
  }
  EnforceReplayBytes(*entry);
  return actions;
}

GateActions GateBook::OnEnd(int64_t run, const RunEnd& end, absl::Time now) {
  GateActions actions;
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
  for (const Follower& follower : entry->followers) {
    actions.push_back(Send(follower.link.id, entry->EndFor(follower.attempt)));
  }
  entry->followers.clear();
  entry->settled |= end.kind == fb::EndKind::NotRun;
  if (entry->settled) {
    Close(*entry);
  }
  return actions;
}

// ---------------------------------------------------------------------------
// Sealing and time

GateActions GateBook::Seal(std::string_view router, absl::Time now) {
  GateActions actions;
  if (!sealed_.insert(std::string(router)).second) {
    return actions;
  }
  for (auto& [run, entry] : running_) {
    const size_t gone =
        std::erase_if(entry->followers, [&](const Follower& follower) {
          return follower.link.router == router;
        });
    if (gone > 0 && !entry->HasRouter()) {
      entry->orphaned_at = now;
    }
    if (entry->dispatch.router == router) {
      StopIfUnwanted(*entry, &actions);
    }
  }
  return actions;
}

bool GateBook::IsSealed(std::string_view router) const {
  return sealed_.contains(router);
}

int64_t GateBook::UnsettledRuns(std::string_view router) const {
  return std::count_if(open_.begin(), open_.end(), [&](const Entry* entry) {
    return entry->dispatch.router == router;
  });
}

int64_t GateBook::unsettled_runs() const {
  return static_cast<int64_t>(open_.size()) - running();
}

GateActions GateBook::Tick(absl::Time now) {
  GateActions actions;
  for (auto& [run, entry] : running_) {
    if (now >= entry->orphaned_at + options_.orphan_grace) {
      StopIfUnwanted(*entry, &actions);
    }
    if (now >= entry->deadline) {
      StopIdempotent(*entry, &actions);
    }
  }
  return actions;
}

// ---------------------------------------------------------------------------
// Bills

bool GateBook::OwesBill(const Entry& entry) const {
  return !entry.running && !entry.settled && !entry.bill_in_flight;
}

std::vector<DueBill> GateBook::TakeDueBills(absl::Time now, bool all) {
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

BillRecord GateBook::MakeBill(const Entry& entry) const {
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

void GateBook::OnBilled(const DueBill& bill) {
  Entry* entry = Find(bill.bill.request);
  if (entry == nullptr || entry->run != bill.run) {
    return;
  }
  ++counters_.bills;
  SetSettled(*entry);
}

void GateBook::OnBillFailed(const DueBill& bill) {
  Entry* entry = Find(bill.bill.request);
  if (entry != nullptr && entry->run == bill.run) {
    entry->bill_in_flight = false;
  }
}

// ---------------------------------------------------------------------------
// Memory

GateBook::Entry* GateBook::Find(std::string_view request) {
  const auto it = entries_.find(std::string(request));
  return it == entries_.end() ? nullptr : it->second.get();
}

GateBook::Entry* GateBook::FindRunning(int64_t run) {
  const auto it = running_.find(run);
  return it == running_.end() ? nullptr : it->second;
}

void GateBook::DropPieces(Entry& entry) {
  for (const std::string& piece : entry.pieces) {
    kept_bytes_ -= PieceCost(piece);
  }
  entry.pieces = {};
  entry.pieces_dropped = true;
}

void GateBook::EnforceReplayBytes(Entry& receiving) {
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
    DropPieces(receiving);
    ++counters_.evicted;
  }
}

bool GateBook::IsStale(const RunOfRequest& element) {
  const Entry* entry = Find(element.first);
  return entry == nullptr || entry->run != element.second;
}

// Drops stale elements once they may outnumber the others.
void GateBook::Compact(std::deque<RunOfRequest>* runs) {
  if (runs->size() > 2 * options_.max_keys) {
    std::erase_if(*runs, [&](const RunOfRequest& run) { return IsStale(run); });
  }
}

void GateBook::EnforceMaxKeys() {
  Compact(&ended_);
  Compact(&closed_);
  while (entries_.size() > options_.max_keys && !closed_.empty()) {
    const RunOfRequest oldest = std::move(closed_.front());
    closed_.pop_front();
    if (!IsStale(oldest)) {
      Forget(oldest.first);
    }
  }
}

void GateBook::Forget(const std::string& request) {
  Entry& entry = *Find(request);
  DropPieces(entry);
  if (entry.told_unknown || entry.dispatch.kind == fb::CallKind::Service) {
    const size_t shard =
        ShardOfBudget(entry.dispatch.budget, options_.ledger_shards);
    int64_t& fence = forgotten_fence_[shard];
    fence = std::max({fence, entry.dispatch.fence, entry.dead_fence});
  }
  entries_.erase(request);
}

fb::LoadT GateBook::Load(std::string_view router) const {
  fb::LoadT load = Load();
  load.from_receiver = static_cast<int32_t>(
      std::count_if(running_.begin(), running_.end(), [&](const auto& entry) {
        return entry.second->dispatch.router == router;
      }));
  return load;
}

fb::LoadT GateBook::Load() const {
  fb::LoadT load;
  load.running = static_cast<int32_t>(std::min(running(), options_.slots));
  load.waiting =
      static_cast<int32_t>(std::max<int64_t>(running() - options_.slots, 0));
  load.slots = static_cast<int32_t>(options_.slots);
  load.leaving = leaving_;
  return load;
}

}  // namespace hawthornhollow
