// One request, one bill. An attempt ends in one of four ways:
//   ended    the gate says how the run ended, with its usage;
//   refused  the gate says that the attempt did not run and never will;
//   lost     the gate is gone, or its answer is corrupt;
//   timeout  nothing came for too long.
// After a refusal any request may be tried on another server. After a loss or a
// failure a model's request may be tried again, within the retry budget and
// while the caller has seen nothing of the answer; a plain service's call may
// not, unless its service is repeatable, and its outcome is then unknown.
// "Not run" is told only if no attempt can have run. The bill is written once,
// when the last attempt has ended; a request that certainly never ran gives its
// reservation back instead.

#include "hawthornhollow/router/request_runner.h"

#include <algorithm>
#include <utility>

#include "absl/random/random.h"
#include "hawthornhollow/base/base.h"

namespace hawthornhollow {
namespace {

constexpr int kMaxAttempts = 4;
constexpr absl::Duration kRetrySoon = absl::Seconds(1);
constexpr absl::Duration kAskAgain = absl::Seconds(2);
constexpr absl::Duration kLocalRunWait = absl::Seconds(10);
// Bytes of text per token, for the estimate that queues work with.
constexpr int64_t kBytesPerToken = 4;

absl::Duration Spread(absl::Duration base) {
  thread_local absl::BitGen random;
  return JitteredRetryAfter(base, random);
}

ApiError Unknown(std::string message) {
  return {503, "outcome_unknown", std::move(message), RunState::kUnknown,
          Spread(kAskAgain)};
}

ApiError InProgress() {
  return {409, "in_progress", "another request with this key is in progress",
          RunState::kUnknown, Spread(kAskAgain)};
}

// What is told of a billed request whose answer cannot be had again. It is
// final: asking again with the key tells no more.
ApiError AlreadyBilled(Outcome outcome) {
  if (outcome == Outcome::kUnknown)
    return {409,
            "outcome_unknown",
            "the request with this key was billed, but whether it ran to its "
            "end cannot be told; its answer is lost",
            RunState::kUnknown,
            {}};
  return {409,
          "already_run",
          "the request with this key was run and billed; its answer is no "
          "longer kept",
          RunState::kRun,
          {}};
}

ApiError OverloadError(const Refusal& refusal) {
  switch (refusal.cause) {
    case RefusalCause::kDeadline:
      return {503, "deadline", "the request could not be served in time",
              RunState::kNotRun, refusal.retry_after};
    case RefusalCause::kQueueFull:
      return {503, "queue_full", "too many requests are waiting",
              RunState::kNotRun, refusal.retry_after};
    case RefusalCause::kNoServer:
      return {503, "no_server",
              "no server for this request is connected to this router",
              RunState::kNotRun, refusal.retry_after};
    case RefusalCause::kOverload:
      break;
  }
  return {503, "overloaded",
          "the fleet cannot serve this rank within its target now",
          RunState::kNotRun, refusal.retry_after};
}

int64_t CostEstimate(const RequestContext& context) {
  if (!context.is_chat())
    return std::max<int64_t>(context.reserved_tokens, 1);
  return context.prompt_tokens / kBytesPerToken + context.max_output_tokens;
}

bool IsRepeatable(const RequestContext& context) {
  return context.is_chat() || context.service->repeatable;
}

std::string EmptyIfNull(const std::shared_ptr<GateLink>& link) {
  return link ? link->gate_incarnation() : std::string();
}

}  // namespace

void SendFailure(ResponseWriter& writer,
                 const ApiError& error,
                 const std::string& request_id,
                 bool head_sent) {
  if (!head_sent) {
    writer.Send(RenderError(error, request_id)).IgnoreError();
    return;
  }
  writer.Write("event: error\ndata: " + ErrorBody(error, request_id) + "\n\n")
      .IgnoreError();
  writer.Abort();
}

// ---------------------------------------------------------------------------
// Local keys

LocalKeys::Location LocalKeys::FindOrAdd(const std::string& key) {
  std::lock_guard lock(mutex_);
  auto [found, added] = locations_.try_emplace(key, nullptr);
  if (!added)
    return found->second;
  found->second = std::make_shared<OneShot<SentTo>>();
  return nullptr;
}

void LocalKeys::SetSentTo(const std::string& key, SentTo sent_to) {
  std::lock_guard lock(mutex_);
  auto found = locations_.find(key);
  if (found != locations_.end())
    found->second->Set(std::move(sent_to));
}

void LocalKeys::Remove(const std::string& key) {
  std::lock_guard lock(mutex_);
  auto found = locations_.find(key);
  if (found == locations_.end())
    return;
  found->second->Set({});
  locations_.erase(found);
}

void LocalKeys::RemoveUnlessRun(const std::string& key) {
  std::lock_guard lock(mutex_);
  auto found = locations_.find(key);
  if (found != locations_.end() && found->second->Set({}))
    locations_.erase(found);
}

// ---------------------------------------------------------------------------
// Replay

FilterResult ReplayFilter::Apply(RequestContext& context,
                                 ResponseWriter& writer) {
  if (!context.keyed)
    return Continue{};
  // This router's own run comes first: its claim may be in the log before its
  // dispatch has left.
  LocalKeys::Location location = parts_.keys.FindOrAdd(context.request_key);
  if (location)
    return AttachToLocal(context, writer, *location);
  context.on_end.push_back([keys = &parts_.keys, key = context.request_key] {
    keys->RemoveUnlessRun(key);
  });
  if (auto prior = FindPrior(context))
    return Attach(context, writer, *prior);
  return Continue{};
}

FilterResult ReplayFilter::AttachToLocal(RequestContext& context,
                                         ResponseWriter& writer,
                                         OneShot<LocalKeys::SentTo>& location) {
  const auto sent_to = location.Wait(kLocalRunWait);
  if (!sent_to || sent_to->server.empty())
    return InProgress();
  Prior prior;
  prior.server = sent_to->server;
  prior.gate_incarnation = sent_to->gate;
  FilterResult result = Attach(context, writer, prior);
  if (std::holds_alternative<Continue>(result))
    return Unknown("the first request with this key is not settled yet");
  return result;
}

std::optional<ReplayFilter::Prior> ReplayFilter::FindPrior(
    const RequestContext& context) const {
  const std::string& budget = context.caller->budget;
  auto bill = parts_.budgets.FindBill(budget, context.request_key);
  auto claim = parts_.budgets.FindClaim(budget, context.request_key);
  if (!bill && !claim)
    return std::nullopt;
  Prior prior;
  prior.server = claim ? claim->server : bill->server;
  prior.gate_incarnation = claim ? claim->gate_incarnation : "";
  prior.claim = claim;
  if (bill)
    prior.billed_as = bill->outcome;
  return prior;
}

FilterResult ReplayFilter::Attach(RequestContext& context,
                                  ResponseWriter& writer,
                                  const Prior& prior) {
  auto link = parts_.gates.Find(prior.server);
  std::string gate = EmptyIfNull(link);
  CallClaim claim{context.caller->budget,
                  prior.claim ? prior.claim->offset : 0};
  auto call = std::make_shared<Call>(context.request_key, attempts_.Next(),
                                     std::move(claim));
  if (gate.empty() || !link->Attach(call).ok())
    return OnUnreachable(context, prior);
  RelayOptions options;
  options.stream = context.is_chat() && context.chat.stream;
  options.request_id = context.request_key;
  options.rank = context.rank->name;
  context.presence->SetHook([call] { call->OnCallerGone(); });
  ReplyRelay relay(
      writer, options, [] {}, nullptr);
  RelayEnd end = relay.Run(*call);
  context.presence->SetHook(nullptr);
  link->Forget(*call);
  parts_.metrics.Count("replays_total", {});
  if (const auto* last = std::get_if<fb::EndT>(&end.last)) {
    if (last->kind == fb::EndKind::Completed)
      return Answered{};
    SendFailure(writer, Unknown("the run of this key ended: " + last->detail),
                context.request_key, end.head_sent);
    return Answered{};
  }
  if (end.head_sent) {
    SendFailure(writer, Unknown("the answer broke off"), context.request_key,
                true);
    return Answered{};
  }
  const auto* refused = std::get_if<fb::RefusedT>(&end.last);
  if (refused && refused->reason == fb::RefusalReason::UnknownRequest)
    return OnUnknownAtGate(context, prior, gate);
  return OnUnreachable(context, prior);
}

FilterResult ReplayFilter::OnUnknownAtGate(const RequestContext& context,
                                           const Prior& prior,
                                           const std::string& gate) {
  if (prior.billed_as)
    return AlreadyBilled(*prior.billed_as);
  if (IsRepeatable(context))
    return Continue{};
  if (prior.gate_incarnation != gate)
    return Unknown("the side process that was given this call is gone");
  // This router's own run, which the gate has refused, or has answered and
  // billed, by now: the log is about to tell which.
  if (!prior.claim)
    return InProgress();
  // The gate that was to run the call never did, and now never will.
  ClaimRecord claim;
  claim.request = context.request_key;
  claim.budget = context.caller->budget;
  claim.incarnation = prior.claim->incarnation;
  parts_.budgets.ReleaseClaim(claim, prior.claim->offset).IgnoreError();
  return Continue{};
}

FilterResult ReplayFilter::OnUnreachable(const RequestContext& context,
                                         const Prior& prior) {
  if (prior.billed_as == Outcome::kUnknown)
    return Unknown("the side process that may know cannot be reached");
  if (prior.billed_as)
    return AlreadyBilled(*prior.billed_as);
  if (IsRepeatable(context))
    return Continue{};
  return Unknown("the side process that was given this call cannot be reached");
}

// ---------------------------------------------------------------------------
// Running

void RequestRunner::Run(RequestContext& context, ResponseWriter& writer) {
  {
    std::lock_guard lock(retries_mutex_);
    retries_.OnAttempt();
  }
  Progress progress;
  while (Attempt(context, writer, progress) == Next::kRetry)
    parts_.metrics.Count("retries_total", {});
}

RequestRunner::Next RequestRunner::Attempt(RequestContext& context,
                                           ResponseWriter& writer,
                                           Progress& progress) {
  ++progress.attempts;
  std::shared_ptr<Ticket> ticket;
  std::optional<ApiError> error;
  auto server = WaitForServer(context, progress, &ticket, &error);
  if (!server) {
    GiveUp(context, writer, progress, *error);
    return Next::kDone;
  }
  return DispatchTo(context, writer, progress, *server, *ticket);
}

std::optional<std::string> RequestRunner::WaitForServer(
    RequestContext& context,
    const Progress& progress,
    std::shared_ptr<Ticket>* ticket,
    std::optional<ApiError>* error) {
  auto waiting = std::make_shared<Ticket>();
  waiting->pool = context.is_chat() ? ModelPool(context.model->name)
                                    : ServicePool(context.service->name);
  waiting->request.rank = context.rank->name;
  waiting->request.member = context.caller->member;
  waiting->request.caller = context.caller->name;
  waiting->request.cost_tokens = CostEstimate(context);
  // What it waited for before, a grant or a lost attempt, is no sign of load:
  // it must not be shed as overload.
  waiting->request.arrived = absl::Now();
  waiting->request.deadline = context.deadline;
  if (context.is_chat())
    waiting->affinity = context.caller->workspace + "\n" + context.chat.prefix;
  waiting->avoid = progress.avoid;
  parts_.scheduler.Enqueue(waiting);
  context.presence->SetHook(
      [this, waiting] { parts_.scheduler.Abandon(waiting); });
  ScheduleResult result = *waiting->result.Wait(absl::InfiniteDuration());
  context.presence->SetHook(nullptr);
  *ticket = waiting;
  if (const auto* assignment = std::get_if<Assignment>(&result))
    return assignment->server;
  if (const auto* refusal = std::get_if<Refusal>(&result))
    *error = OverloadError(*refusal);
  else
    *error = ApiError{499,
                      "caller_left",
                      "the caller closed the connection",
                      RunState::kNotRun,
                      {}};
  return std::nullopt;
}

std::optional<ApiError> RequestRunner::ClaimFor(RequestContext& context,
                                                const std::string& server,
                                                const std::string& gate,
                                                int64_t* fence) {
  if (!context.keyed)
    return std::nullopt;
  ClaimRecord claim;
  claim.request = context.request_key;
  claim.budget = context.caller->budget;
  claim.incarnation = parts_.incarnation;
  claim.gate_incarnation = gate;
  claim.server = server;
  if (IsRepeatable(context)) {
    parts_.budgets.ClaimLazily(claim);
    return std::nullopt;
  }
  auto offset = parts_.budgets.Claim(claim);
  if (offset.ok()) {
    *fence = *offset;
    return std::nullopt;
  }
  if (offset.status().code() == absl::StatusCode::kAlreadyExists)
    return ApiError{409, "in_progress",
                    "another router was given this key first; ask again",
                    RunState::kUnknown, Spread(kRetrySoon)};
  return ApiError{503, "claim_unavailable",
                  "the log could not confirm this call's claim in time",
                  RunState::kNotRun, Spread(kAskAgain)};
}

fb::DispatchT RequestRunner::DispatchFrame(const RequestContext& context,
                                           const Call& call) const {
  fb::DispatchT dispatch;
  dispatch.request = call.request();
  dispatch.attempt = call.attempt();
  dispatch.router = parts_.incarnation;
  dispatch.fence = call.claim().fence;
  dispatch.budget = context.caller->budget;
  dispatch.caller = context.caller->name;
  dispatch.rank_order = parts_.scheduler.EnginePriority(context.rank->order);
  dispatch.prompt_tokens = context.prompt_tokens;
  dispatch.max_output_tokens = context.max_output_tokens;
  dispatch.reserved_tokens = context.reserved_tokens;
  dispatch.content_type = std::string(context.http.Header("Content-Type"));
  std::string body;
  if (context.is_chat()) {
    dispatch.kind = fb::CallKind::Chat;
    dispatch.method = "POST";
    dispatch.target = "/v1/chat/completions";
    body = BodyForEngine(context.http.body, context.max_output_tokens);
  } else {
    dispatch.kind = fb::CallKind::Service;
    dispatch.method = context.http.method;
    dispatch.target = context.service_target;
    body = context.http.body;
  }
  dispatch.body.assign(body.begin(), body.end());
  if (context.deadline != absl::InfiniteFuture())
    dispatch.deadline_ms = std::max<int64_t>(
        1, absl::ToInt64Milliseconds(context.deadline - absl::Now()));
  return dispatch;
}

RequestRunner::Next RequestRunner::DispatchTo(RequestContext& context,
                                              ResponseWriter& writer,
                                              Progress& progress,
                                              const std::string& server,
                                              const Ticket& ticket) {
  auto link = parts_.gates.Find(server);
  std::string gate = EmptyIfNull(link);
  progress.fence = 0;
  std::optional<ApiError> refused;
  if (!gate.empty())
    refused = ClaimFor(context, server, gate, &progress.fence);
  auto call =
      std::make_shared<Call>(context.request_key, attempts_.Next(),
                             CallClaim{context.caller->budget, progress.fence});
  bool sent = false;
  if (!gate.empty() && !refused)
    sent = link->Dispatch(call, DispatchFrame(context, *call), gate).ok();
  if (!sent) {
    parts_.scheduler.OnFinished(ticket, server, 0, !refused);
    if (refused) {
      GiveUp(context, writer, progress, *refused);
      return Next::kDone;
    }
    fb::RefusedT unsent;
    unsent.reason = fb::RefusalReason::NotReady;
    return FinishRefused(context, writer, progress, server, unsent);
  }
  parts_.keys.SetSentTo(context.request_key, {.server = server, .gate = gate});
  RelayOptions options;
  options.stream = context.is_chat() && context.chat.stream;
  options.request_id = context.request_key;
  options.rank = context.rank->name;
  absl::Time sent_at = absl::Now();
  auto on_first = [&] {
    absl::Time now = absl::Now();
    parts_.scheduler.OnFirstToken(ticket, server, now - sent_at);
    parts_.metrics.Observe("first_token_seconds",
                           {{"rank", context.rank->name}},
                           absl::ToDoubleSeconds(now - context.arrived));
  };
  std::function<void()> cancel;
  if (!context.keyed)
    cancel = [&] { link->Cancel(*call); };
  context.presence->SetHook([call] { call->OnCallerGone(); });
  ReplyRelay relay(writer, options, on_first, cancel);
  RelayEnd end = relay.Run(*call);
  context.presence->SetHook(nullptr);
  const auto* last = std::get_if<fb::EndT>(&end.last);
  bool failed = !last || last->kind == fb::EndKind::BackendFailed ||
                last->kind == fb::EndKind::NotRun ||
                last->kind == fb::EndKind::Unknown;
  parts_.scheduler.OnFinished(ticket, server, ticket.request.cost_tokens,
                              failed);
  Next next = Finish(context, writer, progress, server, end);
  link->Forget(*call);
  return next;
}

// ---------------------------------------------------------------------------
// Ends of an attempt

RequestRunner::Next RequestRunner::Finish(RequestContext& context,
                                          ResponseWriter& writer,
                                          Progress& progress,
                                          const std::string& server,
                                          RelayEnd& end) {
  progress.tokens_seen = std::max(progress.tokens_seen, end.tokens_seen);
  if (const auto* last = std::get_if<fb::EndT>(&end.last))
    return FinishEnded(context, writer, progress, server, end, *last);
  if (const auto* refused = std::get_if<fb::RefusedT>(&end.last)) {
    if (!end.head_sent)
      return FinishRefused(context, writer, progress, server, *refused);
    return FinishLost(context, writer, progress, server, end,
                      "the gate no longer knows the request");
  }
  if (const auto* lost = std::get_if<CallLost>(&end.last))
    return FinishLost(context, writer, progress, server, end, lost->reason);
  return FinishLost(context, writer, progress, server, end, "no progress");
}

RequestRunner::Next RequestRunner::FinishEnded(RequestContext& context,
                                               ResponseWriter& writer,
                                               Progress& progress,
                                               const std::string& server,
                                               const RelayEnd& end,
                                               const fb::EndT& last) {
  if (last.kind == fb::EndKind::NotRun) {
    fb::RefusedT refused;
    refused.reason = fb::RefusalReason::NotReady;
    refused.detail = last.detail;
    return FinishRefused(context, writer, progress, server, refused);
  }
  if (last.kind == fb::EndKind::BackendFailed ||
      last.kind == fb::EndKind::Unknown)
    return FinishLost(context, writer, progress, server, end, last.detail);
  int64_t used = context.is_chat() ? last.prompt_tokens + last.output_tokens
                                   : context.reserved_tokens;
  Bill(context, server, last.prompt_tokens, last.output_tokens,
       std::min(used, context.reserved_tokens),
       last.kind == fb::EndKind::Completed ? Outcome::kCompleted
                                           : Outcome::kCancelled);
  if (last.kind == fb::EndKind::Cancelled && !end.caller_gone)
    SendFailure(writer,
                {503, "cancelled", "the run was cancelled: " + last.detail,
                 RunState::kRun, Spread(kRetrySoon)},
                context.request_key, end.head_sent);
  return Next::kDone;
}

RequestRunner::Next RequestRunner::FinishRefused(RequestContext& context,
                                                 ResponseWriter& writer,
                                                 Progress& progress,
                                                 const std::string& server,
                                                 const fb::RefusedT& refused) {
  // These two say nothing against the server: the dispatch was lost on its way,
  // or the gate expects the key from another router.
  bool stale = refused.reason == fb::RefusalReason::StaleFence;
  if (!stale && refused.reason != fb::RefusalReason::UnknownRequest)
    progress.avoid.insert(server);
  ReleaseOwnClaim(context, progress.fence);
  if (stale) {
    // A router was told that this claim did not run, and may have claimed anew.
    GiveUp(context, writer, progress,
           {409, "in_progress", "another router was given this key; ask again",
            RunState::kUnknown, Spread(kRetrySoon)});
    return Next::kDone;
  }
  bool sealed = refused.reason == fb::RefusalReason::Sealed;
  if (!sealed && progress.attempts < kMaxAttempts && !context.presence->gone())
    return Next::kRetry;
  GiveUp(context, writer, progress,
         {503, sealed ? "router_sealed" : "no_server",
          "no backend server took the request",
          progress.may_have_run ? RunState::kUnknown : RunState::kNotRun,
          Spread(kRetrySoon)});
  return Next::kDone;
}

RequestRunner::Next RequestRunner::FinishLost(RequestContext& context,
                                              ResponseWriter& writer,
                                              Progress& progress,
                                              const std::string& server,
                                              const RelayEnd& end,
                                              const std::string& reason) {
  progress.may_have_run = true;
  progress.avoid.insert(server);
  LogEvent("attempt.lost", LogSeverity::kWarning)
      .Add("request", context.request_key)
      .Add("server", server)
      .Add("reason", reason);
  bool retry = IsRepeatable(context) && !end.head_sent && !end.caller_gone &&
               MayRetry(progress);
  if (retry)
    return Next::kRetry;
  int64_t charged = context.is_chat()
                        ? std::min(context.prompt_tokens / kBytesPerToken +
                                       progress.tokens_seen,
                                   context.reserved_tokens)
                        : context.reserved_tokens;
  Bill(context, server, context.prompt_tokens / kBytesPerToken,
       progress.tokens_seen, charged, Outcome::kUnknown);
  SendFailure(writer, Unknown("the outcome is not known: " + reason),
              context.request_key, end.head_sent);
  return Next::kDone;
}

void RequestRunner::ReleaseOwnClaim(const RequestContext& context,
                                    int64_t fence) {
  if (fence == 0)
    return;
  ClaimRecord claim;
  claim.request = context.request_key;
  claim.budget = context.caller->budget;
  claim.incarnation = parts_.incarnation;
  parts_.budgets.ReleaseClaim(claim, fence).IgnoreError();
}

bool RequestRunner::MayRetry(const Progress& progress) {
  if (progress.attempts >= kMaxAttempts)
    return false;
  std::lock_guard lock(retries_mutex_);
  return retries_.TryRetry();
}

void RequestRunner::Bill(const RequestContext& context,
                         const std::string& server,
                         int64_t prompt_tokens,
                         int64_t output_tokens,
                         int64_t charged_tokens,
                         Outcome outcome) {
  BillRecord bill;
  bill.request = context.request_key;
  bill.budget = context.caller->budget;
  bill.caller = context.caller->name;
  bill.incarnation = parts_.incarnation;
  bill.server = server;
  bill.witness = parts_.incarnation;
  bill.prompt_tokens = prompt_tokens;
  bill.output_tokens = output_tokens;
  bill.charged_tokens = charged_tokens;
  bill.outcome = outcome;
  parts_.metrics.Count("billed_tokens_total", {{"budget", bill.budget}},
                       static_cast<double>(charged_tokens));
  parts_.budgets.Settle(std::move(bill));
}

void RequestRunner::GiveUp(RequestContext& context,
                           ResponseWriter& writer,
                           const Progress& progress,
                           const ApiError& error) {
  ApiError told = error;
  if (progress.may_have_run) {
    // An earlier attempt may have used tokens: it is billed as seen.
    told.run = RunState::kUnknown;
    int64_t charged =
        std::min(context.prompt_tokens / kBytesPerToken + progress.tokens_seen,
                 context.reserved_tokens);
    Bill(context, *progress.avoid.begin(), 0, progress.tokens_seen, charged,
         Outcome::kUnknown);
  } else {
    parts_.budgets.Release(context.caller->budget, context.request_key);
    parts_.keys.Remove(context.request_key);
  }
  SendFailure(writer, told, context.request_key, false);
}

}  // namespace hawthornhollow
