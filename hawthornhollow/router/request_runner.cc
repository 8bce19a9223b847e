// Every request that may have run is billed exactly once. An attempt ends in
// one of four ways:
//   ended    the gate reports how the run ended, with its token usage;
//   refused  the gate reports that the attempt did not run and never will;
//   lost     the gate cannot be reached, or its reply is corrupt;
//   timeout  no data arrived for too long.
// After a refusal any request may be retried on another server. After a loss, a
// timeout or a failure of the backend server, a model's request may be retried
// within the retry budget, as long as nothing of the reply was sent to the
// caller. A service's call may be retried only if the service is repeatable;
// otherwise its outcome is unknown. The caller is told "not_run" only if no
// attempt can have run. The bill is written once, when the last attempt has
// ended. A request that certainly never ran releases its reservation instead.

#include "hawthornhollow/router/request_runner.h"

#include <algorithm>
#include <utility>

#include "absl/random/random.h"
#include "hawthornhollow/base/base.h"

namespace hawthornhollow {
namespace {

constexpr int kMaxAttempts = 4;
constexpr absl::Duration kShortRetryAfter = absl::Seconds(1);
constexpr absl::Duration kLongRetryAfter = absl::Seconds(2);
constexpr absl::Duration kLocalDispatchWait = absl::Seconds(10);
// The estimated number of bytes of text per token, used for queueing costs and
// for billing a request whose usage is not known.
constexpr int64_t kBytesPerToken = 4;

absl::Duration WithJitter(absl::Duration base) {
  thread_local absl::BitGen random;
  return JitteredRetryAfter(base, random);
}

ApiError OutcomeUnknownError(std::string message) {
  return {503, "outcome_unknown", std::move(message), RunState::kUnknown,
          WithJitter(kLongRetryAfter)};
}

ApiError InProgressError() {
  return {409, "in_progress", "another request with this key is in progress",
          RunState::kUnknown, WithJitter(kLongRetryAfter)};
}

// The error for a request that was billed but whose reply is no longer
// available. It is final: retrying with the same key returns the same error.
ApiError AlreadyBilledError(Outcome outcome) {
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

std::string GateIncarnationOf(const std::shared_ptr<GateLink>& link) {
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
// KeyedRunRegistry

KeyedRunRegistry::PendingLocation KeyedRunRegistry::FindOrAdd(
    const std::string& key) {
  std::lock_guard lock(mutex_);
  auto [found, added] = locations_.try_emplace(key, nullptr);
  if (!added)
    return found->second;
  found->second = std::make_shared<OneShot<RunLocation>>();
  return nullptr;
}

void KeyedRunRegistry::SetLocation(const std::string& key,
                                   RunLocation run_location) {
  std::lock_guard lock(mutex_);
  auto found = locations_.find(key);
  if (found != locations_.end())
    found->second->Set(std::move(run_location));
}

void KeyedRunRegistry::Remove(const std::string& key) {
  std::lock_guard lock(mutex_);
  auto found = locations_.find(key);
  if (found == locations_.end())
    return;
  found->second->Set({});
  locations_.erase(found);
}

void KeyedRunRegistry::RemoveUnlessDispatched(const std::string& key) {
  std::lock_guard lock(mutex_);
  auto found = locations_.find(key);
  if (found != locations_.end() && found->second->Set({}))
    locations_.erase(found);
}

// ---------------------------------------------------------------------------
// ReplayFilter

FilterResult ReplayFilter::Apply(RequestContext& context,
                                 ResponseWriter& writer) {
  if (!context.has_idempotency_key)
    return Continue{};
  // Runs of this router are looked up first, because the claim may be in the
  // log before the dispatch was sent.
  KeyedRunRegistry::PendingLocation location =
      dependencies_.keyed_runs.FindOrAdd(context.request_key);
  if (location)
    return AttachToLocalRun(context, writer, *location);
  context.on_end.push_back(
      [keys = &dependencies_.keyed_runs, key = context.request_key] {
        keys->RemoveUnlessDispatched(key);
      });
  if (auto prior = FindPriorRun(context))
    return AttachToPriorRun(context, writer, *prior);
  return Continue{};
}

FilterResult ReplayFilter::AttachToLocalRun(
    RequestContext& context,
    ResponseWriter& writer,
    OneShot<KeyedRunRegistry::RunLocation>& location) {
  const auto run_location = location.Wait(kLocalDispatchWait);
  if (!run_location || run_location->server.empty())
    return InProgressError();
  PriorRun prior;
  prior.server = run_location->server;
  prior.gate_incarnation = run_location->gate;
  FilterResult result = AttachToPriorRun(context, writer, prior);
  if (std::holds_alternative<Continue>(result))
    return OutcomeUnknownError(
        "the first request with this key is not settled yet");
  return result;
}

std::optional<ReplayFilter::PriorRun> ReplayFilter::FindPriorRun(
    const RequestContext& context) const {
  const std::string& budget = context.caller->budget;
  auto bill = dependencies_.budgets.FindBill(budget, context.request_key);
  auto claim = dependencies_.budgets.FindClaim(budget, context.request_key);
  if (!bill && !claim)
    return std::nullopt;
  PriorRun prior;
  prior.server = claim ? claim->server : bill->server;
  prior.gate_incarnation = claim ? claim->gate_incarnation : "";
  prior.claim = claim;
  if (bill)
    prior.billed_outcome = bill->outcome;
  return prior;
}

FilterResult ReplayFilter::AttachToPriorRun(RequestContext& context,
                                            ResponseWriter& writer,
                                            const PriorRun& prior) {
  auto link = dependencies_.gates.Find(prior.server);
  std::string gate = GateIncarnationOf(link);
  CallClaim claim{context.caller->budget,
                  prior.claim ? prior.claim->offset : 0};
  auto call = std::make_shared<Call>(context.request_key, attempts_.Next(),
                                     std::move(claim));
  if (gate.empty() || !link->Attach(call).ok())
    return OnGateUnreachable(context, prior);
  RelayOptions options;
  options.stream = context.is_chat() && context.chat.stream;
  options.request_id = context.request_key;
  options.rank = context.rank->name;
  context.caller_connection->SetDisconnectHook(
      [call] { call->OnCallerDisconnected(); });
  ReplyRelay relay(
      writer, options, [] {}, nullptr);
  RelayEnd end = relay.Run(*call);
  context.caller_connection->SetDisconnectHook(nullptr);
  link->Unregister(*call);
  dependencies_.metrics.Count("replays_total", {});
  if (const auto* last = std::get_if<fb::EndT>(&end.last)) {
    if (last->kind == fb::EndKind::Completed)
      return Answered{};
    SendFailure(
        writer,
        OutcomeUnknownError("the run of this key ended: " + last->detail),
        context.request_key, end.head_sent);
    return Answered{};
  }
  if (end.head_sent) {
    SendFailure(writer, OutcomeUnknownError("the answer broke off"),
                context.request_key, true);
    return Answered{};
  }
  const auto* refused = std::get_if<fb::RefusedT>(&end.last);
  if (refused && refused->reason == fb::RefusalReason::UnknownRequest)
    return OnUnknownAtGate(context, prior, gate);
  return OnGateUnreachable(context, prior);
}

FilterResult ReplayFilter::OnUnknownAtGate(const RequestContext& context,
                                           const PriorRun& prior,
                                           const std::string& gate) {
  if (prior.billed_outcome)
    return AlreadyBilledError(*prior.billed_outcome);
  if (IsRepeatable(context))
    return Continue{};
  if (prior.gate_incarnation != gate)
    return OutcomeUnknownError(
        "the side process that was given this call is gone");
  // The run was dispatched by this router. By now the gate has refused it, or
  // has answered and billed it; the log will soon show which.
  if (!prior.claim)
    return InProgressError();
  // The gate that was to run the call never did, and will refuse it from now
  // on.
  ClaimRecord claim;
  claim.request = context.request_key;
  claim.budget = context.caller->budget;
  claim.incarnation = prior.claim->incarnation;
  dependencies_.budgets.ReleaseClaim(claim, prior.claim->offset).IgnoreError();
  return Continue{};
}

FilterResult ReplayFilter::OnGateUnreachable(const RequestContext& context,
                                             const PriorRun& prior) {
  if (prior.billed_outcome == Outcome::kUnknown)
    return OutcomeUnknownError(
        "the side process that may know cannot be reached");
  if (prior.billed_outcome)
    return AlreadyBilledError(*prior.billed_outcome);
  if (IsRepeatable(context))
    return Continue{};
  return OutcomeUnknownError(
      "the side process that was given this call cannot be reached");
}

// ---------------------------------------------------------------------------
// RequestRunner

void RequestRunner::Run(RequestContext& context, ResponseWriter& writer) {
  {
    std::lock_guard lock(retries_mutex_);
    retries_.OnAttempt();
  }
  Progress progress;
  while (Attempt(context, writer, progress) == AttemptResult::kRetry)
    dependencies_.metrics.Count("retries_total", {});
}

RequestRunner::AttemptResult RequestRunner::Attempt(RequestContext& context,
                                                    ResponseWriter& writer,
                                                    Progress& progress) {
  ++progress.attempts;
  std::shared_ptr<PendingRequest> pending_request;
  std::optional<ApiError> error;
  auto server = WaitForServer(context, progress, &pending_request, &error);
  if (!server) {
    FailRequest(context, writer, progress, *error);
    return AttemptResult::kDone;
  }
  return DispatchTo(context, writer, progress, *server, *pending_request);
}

std::optional<std::string> RequestRunner::WaitForServer(
    RequestContext& context,
    const Progress& progress,
    std::shared_ptr<PendingRequest>* pending_request,
    std::optional<ApiError>* error) {
  auto waiting = std::make_shared<PendingRequest>();
  waiting->pool = context.is_chat() ? ModelPool(context.model->name)
                                    : ServicePool(context.service->name);
  waiting->request.rank = context.rank->name;
  waiting->request.member = context.caller->member;
  waiting->request.caller = context.caller->name;
  waiting->request.cost_tokens = CostEstimate(context);
  // Earlier waiting, for a grant or during a lost attempt, is not a sign of
  // overload. The queue time starts here, so that it does not cause the request
  // to be shed.
  waiting->request.arrived = absl::Now();
  waiting->request.deadline = context.deadline;
  if (context.is_chat())
    waiting->affinity = context.caller->workspace + "\n" + context.chat.prefix;
  waiting->excluded_servers = progress.excluded_servers;
  dependencies_.scheduler.Enqueue(waiting);
  context.caller_connection->SetDisconnectHook(
      [this, waiting] { dependencies_.scheduler.CancelRequest(waiting); });
  ScheduleResult result = *waiting->result.Wait(absl::InfiniteDuration());
  context.caller_connection->SetDisconnectHook(nullptr);
  *pending_request = waiting;
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

std::optional<ApiError> RequestRunner::ClaimForDispatch(
    RequestContext& context,
    const std::string& server,
    const std::string& gate,
    int64_t* fence) {
  if (!context.has_idempotency_key)
    return std::nullopt;
  ClaimRecord claim;
  claim.request = context.request_key;
  claim.budget = context.caller->budget;
  claim.incarnation = dependencies_.incarnation;
  claim.gate_incarnation = gate;
  claim.server = server;
  if (IsRepeatable(context)) {
    dependencies_.budgets.ClaimAsync(claim);
    return std::nullopt;
  }
  auto offset = dependencies_.budgets.Claim(claim);
  if (offset.ok()) {
    *fence = *offset;
    return std::nullopt;
  }
  if (offset.status().code() == absl::StatusCode::kAlreadyExists)
    return ApiError{409, "in_progress",
                    "another router was given this key first; ask again",
                    RunState::kUnknown, WithJitter(kShortRetryAfter)};
  return ApiError{503, "claim_unavailable",
                  "the log could not confirm this call's claim in time",
                  RunState::kNotRun, WithJitter(kLongRetryAfter)};
}

fb::DispatchT RequestRunner::DispatchFrame(const RequestContext& context,
                                           const Call& call) const {
  fb::DispatchT dispatch;
  dispatch.request = call.request();
  dispatch.attempt = call.attempt();
  dispatch.router = dependencies_.incarnation;
  dispatch.fence = call.claim().fence;
  dispatch.budget = context.caller->budget;
  dispatch.caller = context.caller->name;
  dispatch.rank_order =
      dependencies_.scheduler.EnginePriority(context.rank->order);
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

RequestRunner::AttemptResult RequestRunner::DispatchTo(
    RequestContext& context,
    ResponseWriter& writer,
    Progress& progress,
    const std::string& server,
    const PendingRequest& pending_request) {
  auto link = dependencies_.gates.Find(server);
  std::string gate = GateIncarnationOf(link);
  progress.fence = 0;
  std::optional<ApiError> refused;
  if (!gate.empty())
    refused = ClaimForDispatch(context, server, gate, &progress.fence);
  auto call =
      std::make_shared<Call>(context.request_key, attempts_.Next(),
                             CallClaim{context.caller->budget, progress.fence});
  bool sent = false;
  if (!gate.empty() && !refused)
    sent = link->Dispatch(call, DispatchFrame(context, *call), gate).ok();
  if (!sent) {
    dependencies_.scheduler.OnFinished(pending_request, server, 0, !refused);
    if (refused) {
      FailRequest(context, writer, progress, *refused);
      return AttemptResult::kDone;
    }
    fb::RefusedT unsent;
    unsent.reason = fb::RefusalReason::NotReady;
    return HandleRefused(context, writer, progress, server, unsent);
  }
  dependencies_.keyed_runs.SetLocation(context.request_key,
                                       {.server = server, .gate = gate});
  RelayOptions options;
  options.stream = context.is_chat() && context.chat.stream;
  options.request_id = context.request_key;
  options.rank = context.rank->name;
  absl::Time sent_at = absl::Now();
  auto on_first = [&] {
    absl::Time now = absl::Now();
    dependencies_.scheduler.OnFirstToken(pending_request, server,
                                         now - sent_at);
    dependencies_.metrics.Observe("first_token_seconds",
                                  {{"rank", context.rank->name}},
                                  absl::ToDoubleSeconds(now - context.arrived));
  };
  std::function<void()> cancel;
  if (!context.has_idempotency_key)
    cancel = [&] { link->Cancel(*call); };
  context.caller_connection->SetDisconnectHook(
      [call] { call->OnCallerDisconnected(); });
  ReplyRelay relay(writer, options, on_first, cancel);
  RelayEnd end = relay.Run(*call);
  context.caller_connection->SetDisconnectHook(nullptr);
  const auto* last = std::get_if<fb::EndT>(&end.last);
  bool failed = !last || last->kind == fb::EndKind::BackendFailed ||
                last->kind == fb::EndKind::NotRun ||
                last->kind == fb::EndKind::Unknown;
  dependencies_.scheduler.OnFinished(
      pending_request, server, pending_request.request.cost_tokens, failed);
  AttemptResult next = HandleAttemptEnd(context, writer, progress, server, end);
  link->Unregister(*call);
  return next;
}

// ---------------------------------------------------------------------------
// Handling the end of an attempt

RequestRunner::AttemptResult RequestRunner::HandleAttemptEnd(
    RequestContext& context,
    ResponseWriter& writer,
    Progress& progress,
    const std::string& server,
    RelayEnd& end) {
  progress.tokens_seen = std::max(progress.tokens_seen, end.tokens_seen);
  if (const auto* last = std::get_if<fb::EndT>(&end.last))
    return HandleEnded(context, writer, progress, server, end, *last);
  if (const auto* refused = std::get_if<fb::RefusedT>(&end.last)) {
    if (!end.head_sent)
      return HandleRefused(context, writer, progress, server, *refused);
    return HandleLost(context, writer, progress, server, end,
                      "the gate no longer knows the request");
  }
  if (const auto* lost = std::get_if<CallLost>(&end.last))
    return HandleLost(context, writer, progress, server, end, lost->reason);
  return HandleLost(context, writer, progress, server, end, "no progress");
}

RequestRunner::AttemptResult RequestRunner::HandleEnded(
    RequestContext& context,
    ResponseWriter& writer,
    Progress& progress,
    const std::string& server,
    const RelayEnd& end,
    const fb::EndT& last) {
  if (last.kind == fb::EndKind::NotRun) {
    fb::RefusedT refused;
    refused.reason = fb::RefusalReason::NotReady;
    refused.detail = last.detail;
    return HandleRefused(context, writer, progress, server, refused);
  }
  if (last.kind == fb::EndKind::BackendFailed ||
      last.kind == fb::EndKind::Unknown)
    return HandleLost(context, writer, progress, server, end, last.detail);
  int64_t used = context.is_chat() ? last.prompt_tokens + last.output_tokens
                                   : context.reserved_tokens;
  Bill(context, server, last.prompt_tokens, last.output_tokens,
       std::min(used, context.reserved_tokens),
       last.kind == fb::EndKind::Completed ? Outcome::kCompleted
                                           : Outcome::kCancelled);
  if (last.kind == fb::EndKind::Cancelled && !end.caller_disconnected)
    SendFailure(writer,
                {503, "cancelled", "the run was cancelled: " + last.detail,
                 RunState::kRun, WithJitter(kShortRetryAfter)},
                context.request_key, end.head_sent);
  return AttemptResult::kDone;
}

RequestRunner::AttemptResult RequestRunner::HandleRefused(
    RequestContext& context,
    ResponseWriter& writer,
    Progress& progress,
    const std::string& server,
    const fb::RefusedT& refused) {
  // StaleFence and UnknownRequest do not indicate a fault of the server: the
  // gate expects the key from another router, or the dispatch was lost in
  // transit.
  bool stale = refused.reason == fb::RefusalReason::StaleFence;
  if (!stale && refused.reason != fb::RefusalReason::UnknownRequest)
    progress.excluded_servers.insert(server);
  ReleaseOwnClaim(context, progress.fence);
  if (stale) {
    // A router learned that this claim did not run and may have claimed the
    // request again.
    FailRequest(
        context, writer, progress,
        {409, "in_progress", "another router was given this key; ask again",
         RunState::kUnknown, WithJitter(kShortRetryAfter)});
    return AttemptResult::kDone;
  }
  bool sealed = refused.reason == fb::RefusalReason::Sealed;
  if (!sealed && progress.attempts < kMaxAttempts &&
      !context.caller_connection->disconnected())
    return AttemptResult::kRetry;
  FailRequest(context, writer, progress,
              {503, sealed ? "router_sealed" : "no_server",
               "no backend server took the request",
               progress.may_have_run ? RunState::kUnknown : RunState::kNotRun,
               WithJitter(kShortRetryAfter)});
  return AttemptResult::kDone;
}

RequestRunner::AttemptResult RequestRunner::HandleLost(
    RequestContext& context,
    ResponseWriter& writer,
    Progress& progress,
    const std::string& server,
    const RelayEnd& end,
    const std::string& reason) {
  progress.may_have_run = true;
  progress.excluded_servers.insert(server);
  LogEvent("attempt.lost", LogSeverity::kWarning)
      .Add("request", context.request_key)
      .Add("server", server)
      .Add("reason", reason);
  bool retry = IsRepeatable(context) && !end.head_sent &&
               !end.caller_disconnected && MayRetry(progress);
  if (retry)
    return AttemptResult::kRetry;
  int64_t charged = context.is_chat()
                        ? std::min(context.prompt_tokens / kBytesPerToken +
                                       progress.tokens_seen,
                                   context.reserved_tokens)
                        : context.reserved_tokens;
  Bill(context, server, context.prompt_tokens / kBytesPerToken,
       progress.tokens_seen, charged, Outcome::kUnknown);
  SendFailure(writer,
              OutcomeUnknownError("the outcome is not known: " + reason),
              context.request_key, end.head_sent);
  return AttemptResult::kDone;
}

void RequestRunner::ReleaseOwnClaim(const RequestContext& context,
                                    int64_t fence) {
  if (fence == 0)
    return;
  ClaimRecord claim;
  claim.request = context.request_key;
  claim.budget = context.caller->budget;
  claim.incarnation = dependencies_.incarnation;
  dependencies_.budgets.ReleaseClaim(claim, fence).IgnoreError();
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
  bill.incarnation = dependencies_.incarnation;
  bill.server = server;
  bill.witness = dependencies_.incarnation;
  bill.prompt_tokens = prompt_tokens;
  bill.output_tokens = output_tokens;
  bill.charged_tokens = charged_tokens;
  bill.outcome = outcome;
  dependencies_.metrics.Count("billed_tokens_total", {{"budget", bill.budget}},
                              static_cast<double>(charged_tokens));
  dependencies_.budgets.Settle(std::move(bill));
}

void RequestRunner::FailRequest(RequestContext& context,
                                ResponseWriter& writer,
                                const Progress& progress,
                                const ApiError& error) {
  ApiError reported = error;
  if (progress.may_have_run) {
    // An earlier attempt may have used tokens. The estimate of the prompt and
    // the tokens seen so far are billed.
    reported.run = RunState::kUnknown;
    int64_t charged =
        std::min(context.prompt_tokens / kBytesPerToken + progress.tokens_seen,
                 context.reserved_tokens);
    Bill(context, *progress.excluded_servers.begin(), 0, progress.tokens_seen,
         charged, Outcome::kUnknown);
  } else {
    dependencies_.budgets.Release(context.caller->budget, context.request_key);
    dependencies_.keyed_runs.Remove(context.request_key);
  }
  SendFailure(writer, reported, context.request_key, false);
}

}  // namespace hawthornhollow
