#ifndef HAWTHORNHOLLOW_RELAY_RELAY_INSTANCE_REQUESTS_IMPL_H_
#define HAWTHORNHOLLOW_RELAY_RELAY_INSTANCE_REQUESTS_IMPL_H_

// The bodies of RelayInstance: the requests of callers. Included by
// relay_instance.h only.

#include "hawthornhollow/relay/relay_instance.h"

namespace hawthornhollow {

template <SharedStore Store, MessageCodec D>
void RelayInstance<Store, D>::ServeCaller(const HttpRequest& request,
                                          ResponseWriter& writer) {
  const absl::Time arrived = SteadyNow();
  constexpr size_t kTypicalHeadBytes = 500;
  link_load_.OnRelayed(request.body.size() + kTypicalHeadBytes, arrived);
  ++in_progress_;
  const absl::Cleanup ended = [this] { --in_progress_; };
  auto call = D::DecodeCall(request);
  if (!call.ok()) {
    LogEvent("request.rejected", LogSeverity::kWarning)
        .Add("reason", call.status());
    Refuse(RelayCall(), RelayError::kBadRequest, writer);
    return;
  }
  RunContext run{.request = &request, .call = *call, .arrived = arrived};
  if (const auto error = Resolve(request.body.size(), &run)) {
    RefuseRun(run, *error, writer);
    return;
  }
  if (IsTooLate(run)) {
    RefuseRun(run, RelayError::kStopping, writer);
    return;
  }
  ReserveAndRun(run, writer);
}

template <SharedStore Store, MessageCodec D>
HttpHeadDecision RelayInstance<Store, D>::CheckHead(
    const HttpRequest& head,
    std::optional<uint64_t> body_bytes) {
  auto call = D::DecodeCall(head);
  if (!call.ok()) {
    LogEvent("request.rejected", LogSeverity::kWarning)
        .Add("reason", call.status());
    return {.refusal = EncodeRefusal(RelayCall(), RelayError::kBadRequest)};
  }
  RunContext run{
      .request = &head, .call = *std::move(call), .arrived = SteadyNow()};
  const auto error = Resolve(body_bytes.value_or(0), &run);
  if (!error.has_value())
    return {.max_body_bytes = run.table->limits().max_body_bytes};
  ReportRefusal(run, *error);
  return {.refusal = EncodeRefusal(run.call, *error)};
}

template <SharedStore Store, MessageCodec D>
std::optional<RelayError> RelayInstance<Store, D>::Resolve(uint64_t body_bytes,
                                                           RunContext* run) {
  run->table = catalog_.table();
  if (!catalog_.may_serve())
    return RelayError::kNotReady;
  run->route = run->table->Match(run->call.host, run->call.path);
  if (run->route == nullptr)
    return RelayError::kUnknownRoute;
  if (!run->route->is_public && !run->table->workspaces().empty()) {
    run->workspace = run->table->FindByKey(run->call.key);
    if (run->workspace == nullptr)
      return RelayError::kUnknownKey;
  }
  if (body_bytes > run->table->limits().max_body_bytes)
    return RelayError::kBodyTooLarge;
  run->service = PickService(*run->route);
  // Time for the answer to reach the caller.
  constexpr absl::Duration kAnswerDeliveryTime = absl::Milliseconds(20);
  absl::Duration limit = run->route->timeout;
  if (run->call.time_limit.has_value())
    limit = std::min(limit, *run->call.time_limit - kAnswerDeliveryTime);
  run->deadline = run->arrived + limit;
  return std::nullopt;
}

template <SharedStore Store, MessageCodec D>
std::string RelayInstance<Store, D>::PickService(const RelayRoute& route) {
  int64_t sum = 0;
  for (const WeightedService& service : route.services)
    sum += service.weight;
  int64_t draw = absl::Uniform<int64_t>(random_, 0, std::max<int64_t>(1, sum));
  for (const WeightedService& service : route.services) {
    draw -= service.weight;
    if (draw < 0)
      return service.service;
  }
  return route.services.back().service;
}

template <SharedStore Store, MessageCodec D>
double RelayInstance<Store, D>::OwnRetryBurst() const {
  const int64_t known = static_cast<int64_t>(totals_.router_count());
  return settings_.retry_burst /
         static_cast<double>(std::max(known, settings_.min_assumed_routers));
}

template <SharedStore Store, MessageCodec D>
void RelayInstance<Store, D>::ReserveAndRun(RunContext& run,
                                            ResponseWriter& writer) {
  if (quarantine_.IsQuarantined(run.call)) {
    RefuseRun(run, RelayError::kPromptQuarantined, writer);
    return;
  }
  if (placement_.IsServiceEvacuated(run.service)) {
    RefuseRun(run, RelayError::kDomainsEvacuated, writer);
    return;
  }
  shared_.retry_burst = OwnRetryBurst();
  const int64_t tokens = run.call.prompt_tokens + run.call.max_output_tokens;
  std::shared_ptr<TokenHold> hold;
  if (run.workspace != nullptr && run.workspace->prepaid.has_value() &&
      tokens > 0) {
    auto acquired = totals_.Acquire({.request = run.call.id,
                                     .workspace = run.workspace->name,
                                     .tokens = tokens,
                                     .urgency = UrgencyOf(run)},
                                    TokenWaitLimits(run),
                                    [&] { return writer.IsClientGone(); });
    if (!acquired.ok()) {
      EndWithoutTokens(run, acquired.status(), writer);
      return;
    }
    hold = *std::move(acquired);
    run.on_sent = [&](absl::Duration expected) {
      totals_.ScheduleCommitRecord(hold, expected);
    };
    run.before_answer = [&] {
      return totals_.Commit(run.call.id, *hold, run.deadline - SteadyNow());
    };
  }
  const RunSummary summary =
      RequestRun<D>(settings_.run, shared_, run, writer).Run();
  const int64_t used = UsedTokens(run, summary);
  if (hold != nullptr)
    totals_.Finish(*hold, used);
  ReportEnd(run, summary, tokens, used);
}

template <SharedStore Store, MessageCodec D>
WaitLimits RelayInstance<Store, D>::TokenWaitLimits(
    const RunContext& run) const {
  constexpr double kMaxShareOfTarget = 0.25;
  // Tokens of requests that end come back all the time, so a short wait is
  // worth while even if no holder has any now.
  constexpr double kPatienceShareOfTarget = 0.125;
  // Time for a second try remains to a request that waited in vain.
  constexpr double kMaxShareOfTimeLeft = 0.5;
  const absl::Duration timeout =
      std::min(run.route->latency_target * kMaxShareOfTarget,
               run.deadline - SteadyNow());
  return {.patience = std::min(
              run.route->latency_target * kPatienceShareOfTarget, timeout),
          .timeout = timeout,
          .ample_timeout =
              std::min(run.route->latency_target,
                       (run.deadline - SteadyNow()) * kMaxShareOfTimeLeft)};
}

template <SharedStore Store, MessageCodec D>
int64_t RelayInstance<Store, D>::UsedTokens(const RunContext& run,
                                            const RunSummary& summary) {
  // A caller that received nothing is not charged.
  if (!summary.may_have_run || summary.events == 0)
    return 0;
  const RelayService* service = run.table->FindService(run.service);
  const int64_t per_event = service == nullptr ? 0 : service->tokens_per_event;
  return run.call.prompt_tokens +
         std::min(run.call.max_output_tokens, summary.events * per_event);
}

template <SharedStore Store, MessageCodec D>
void RelayInstance<Store, D>::EndWithoutTokens(const RunContext& run,
                                               const absl::Status& reason,
                                               ResponseWriter& writer) {
  switch (reason.code()) {
    case absl::StatusCode::kCancelled:
      ReportEnd(run, {.outcome = "caller_gone"}, 0, 0);
      break;
    case absl::StatusCode::kResourceExhausted:
      RefuseRun(run, RelayError::kTotalSpent, writer);
      break;
    default:
      RefuseRun(run, RelayError::kTokensUnavailable, writer);
      break;
  }
}

template <SharedStore Store, MessageCodec D>
HttpResponse RelayInstance<Store, D>::EncodeRefusal(const RelayCall& call,
                                                    RelayError error) {
  const absl::Duration retry_after =
      JitteredRetryAfter(settings_.run.RetryAfter(error), random_);
  return D::EncodeRefusal(call, error, retry_after);
}

template <SharedStore Store, MessageCodec D>
void RelayInstance<Store, D>::Refuse(const RelayCall& call,
                                     RelayError error,
                                     ResponseWriter& writer) {
  HttpResponse response = EncodeRefusal(call, error);
  if (link_load_.IsBusy(SteadyNow()))
    response.headers.push_back(kCloseConnection);
  writer.Send(response).IgnoreError();
}

template <SharedStore Store, MessageCodec D>
void RelayInstance<Store, D>::RefuseRun(const RunContext& run,
                                        RelayError error,
                                        ResponseWriter& writer) {
  Refuse(run.call, error, writer);
  ReportRefusal(run, error);
}

template <SharedStore Store, MessageCodec D>
void RelayInstance<Store, D>::ReportRefusal(const RunContext& run,
                                            RelayError error) {
  const RelayErrorTraits traits = TraitsOf(error);
  ReportEnd(run, {.outcome = std::string(traits.code), .status = traits.status},
            0, 0);
}

template <SharedStore Store, MessageCodec D>
void RelayInstance<Store, D>::ReportEnd(const RunContext& run,
                                        const RunSummary& summary,
                                        int64_t reserved,
                                        int64_t used) {
  metrics_.OnRequestEnd(
      {.route = run.route == nullptr ? "" : run.route->name,
       .priority = run.route == nullptr ? 0 : run.route->priority,
       .outcome = summary.outcome,
       .took = SteadyNow() - run.arrived,
       .first_event = summary.first_event,
       .used_tokens = used});
  LogEvent("request.end")
      .Add("request", run.call.id)
      .Add("route", run.route == nullptr ? "" : run.route->name)
      .Add("workspace", run.workspace == nullptr ? "" : run.workspace->name)
      .Add("version", run.table == nullptr ? 0 : run.table->version())
      .Add("outcome", summary.outcome)
      .Add("status", summary.status)
      .Add("server", summary.server)
      .Add("attempts", summary.attempts)
      .Add("events", summary.events)
      .Add("reserved", reserved)
      .Add("used", used)
      .Add("took_ms", absl::ToInt64Milliseconds(SteadyNow() - run.arrived))
      .Add("first_ms", summary.first_event == absl::InfiniteDuration()
                           ? -1
                           : absl::ToInt64Milliseconds(summary.first_event));
}

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_RELAY_INSTANCE_REQUESTS_IMPL_H_
