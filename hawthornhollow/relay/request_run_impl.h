#ifndef HAWTHORNHOLLOW_RELAY_REQUEST_RUN_IMPL_H_
#define HAWTHORNHOLLOW_RELAY_REQUEST_RUN_IMPL_H_

// The bodies of RequestRun: choice of a server, attempts, and how a request
// ends. Included by request_run.h only.

#include "hawthornhollow/relay/request_run.h"

namespace hawthornhollow {

template <MessageCodec D>
RunSummary RequestRun<D>::Run() {
  // The run may end before the callback is called, so the callback keeps the
  // state alive.
  writer_.OnClientGone([caller = caller_] { caller->OnGone(); });
  shared_.callers->insert(caller_);
  const absl::Cleanup ended = [this] { shared_.callers->erase(caller_); };
  RetryBudgetOf().OnAttempt();
  last_event_ = request_.call.resume_after;
  while (!RunAttempt()) {
  }
  return summary_;
}

template <MessageCodec D>
RetryBudget& RequestRun<D>::RetryBudgetOf() {
  const auto [found, is_new] = shared_.retries->try_emplace(
      request_.service, shared_.retry_ratio, shared_.retry_burst);
  found->second.SetBurst(shared_.retry_burst);
  return found->second;
}

template <MessageCodec D>
bool RequestRun<D>::RunAttempt() {
  // The callback of a caller who disconnected early may not have been called
  // yet.
  if (writer_.IsClientGone())
    return End("caller_gone", 0);
  if (TimeLeft() < options_.min_attempt_time)
    return Refuse(summary_.may_have_run ? RelayError::kTimedOut
                                        : RelayError::kNoServer);
  if (shared_.prompts.is_quarantined(request_.call))
    return Refuse(summary_.may_have_run ? RelayError::kOutcomeUnknown
                                        : RelayError::kPromptQuarantined);
  auto choice = ChooseServer();
  if (!choice.ok())
    return EndWithoutServer();
  summary_.server = choice->server.id;
  first_piece_at_.reset();
  began_ = false;
  went_on_ = false;
  broke_off_ = false;
  LogEvent("request.placed")
      .Add("request", request_.call.id)
      .Add("server", choice->server.id)
      .Add("prompt", request_.call.prompt_tokens)
      .Add("uncached", choice->uncached_tokens)
      .Add("in_flight", shared_.placement->in_flight(choice->server.id))
      .Add("by", placement_.placed_by_name())
      .Add("asked", placement_.messages)
      .Add("asked_ms", absl::ToInt64Milliseconds(placement_.took))
      .Add("predicted_ms", absl::ToInt64Milliseconds(choice->predicted_wait))
      .Add("load_requests", placement_.bid.requests)
      .Add("load_queued", placement_.bid.queued_tokens)
      .Add("left_ms", absl::ToInt64Milliseconds(TimeLeft()));
  const AttemptResult result = AttemptAt(*choice);
  Report(*choice, result);
  if (result == AttemptResult::kNotConnected || broke_off_)
    shared_.limits.on_connection_lost(choice->server);
  if (broke_off_ && !went_on_ && !caller_->gone)
    shared_.prompts.on_broke_off(request_.call, choice->server, PointOfBreak());
  if (result == AttemptResult::kAnswered)
    return true;
  excluded_servers_.insert(choice->server.id);
  const bool is_unsent = result == AttemptResult::kNotConnected ||
                         result == AttemptResult::kWithdrawn;
  if (!is_unsent)
    ++summary_.attempts;
  if (!is_unsent && result != AttemptResult::kNotRun)
    summary_.may_have_run = true;
  if (MayRetry(result))
    return false;
  return EndAfter(result);
}

template <MessageCodec D>
BreakPoint RequestRun<D>::PointOfBreak() const {
  if (!began_)
    return BreakPoint::kBeforeHead;
  return got_first_piece() ? BreakPoint::kSoonAfterFirstPiece
                           : BreakPoint::kBeforeFirstPiece;
}

template <MessageCodec D>
absl::StatusOr<PromptPlacement::Choice> RequestRun<D>::ChooseServer() {
  const int64_t urgency = UrgencyOf(request_);
  for (int denials = 0;; ++denials) {
    std::set<std::string> excluded = excluded_servers_;
    excluded.merge(shared_.limits.blocked(urgency));
    excluded.merge(shared_.resting->Ids(SteadyNow()));
    if (denials >= kMaxPermitsDenied) {
      for (const std::string& server : shared_.limits.limited_servers())
        excluded.insert(server);
    }
    const PlacementQuery query = Query(std::move(excluded));
    auto choice = ProposeByLoad(query);
    if (!choice.ok())
      return choice;
    // A permit may be waited for, and the server be withdrawn meanwhile.
    if (shared_.limits.acquire(choice->server.id, urgency) &&
        MaySend(choice->server)) {
      shared_.placement->Begin(*choice, query, SteadyNow());
      shared_.metrics->OnPlaced(placement_.placed_by_name(),
                                placement_.messages, placement_.took);
      return choice;
    }
    EndPlacement(absl::ZeroDuration());
  }
}

template <MessageCodec D>
absl::StatusOr<PromptPlacement::Choice> RequestRun<D>::ProposeByLoad(
    const PlacementQuery& query) {
  PromptPlacement& own_view = *shared_.placement;
  const PlacementRequest request = LoadRequest();
  placement_ = shared_.load->Place(
      request, shared_.load->IsAsking()
                   ? own_view.Shortlist(query, request.id, SteadyNow())
                   : PlacementShortlist());
  if (placement_.full_for.has_value()) {
    return ErrorAt(absl::StatusCode::kResourceExhausted, "placement.choose",
                   request_.service, "no server has room");
  }
  if (!placement_.server.empty()) {
    auto choice = own_view.ProposeServer(query, placement_.server, SteadyNow());
    if (choice.ok()) {
      choice->uncached_tokens = placement_.bid.uncached_tokens;
      choice->predicted_wait = placement_.bid.first_token;
      return choice;
    }
    // It has left while the coordinator answered.
    EndPlacement(absl::ZeroDuration());
    placement_.placed_by = PlacedBy::kUnsettled;
  }
  auto choice = own_view.Propose(query, SteadyNow());
  if (choice.ok())
    placement_.placed = shared_.load->PlaceUnasked(request, choice->server.id);
  return choice;
}

template <MessageCodec D>
PlacementRequest RequestRun<D>::LoadRequest() const {
  int64_t tokens = 0;
  for (const PromptPart& part : request_.call.prompt)
    tokens += part.tokens;
  return {.id = shared_.load->UniqueId(request_.call.id),
          .service = request_.service,
          .prompt = request_.call.prompt,
          .prompt_tokens = std::max(tokens, request_.call.prompt_tokens),
          .max_output_tokens = request_.call.max_output_tokens,
          .urgency = UrgencyOf(request_),
          .latency_target = request_.route->latency_target,
          .time_left = std::max(TimeLeft(), absl::ZeroDuration())};
}

template <MessageCodec D>
void RequestRun<D>::EndPlacement(absl::Duration took) {
  if (placement_.placed.has_value())
    shared_.load->OnEnd(*placement_.placed, took);
  placement_.placed.reset();
}

template <MessageCodec D>
PlacementQuery RequestRun<D>::Query(std::set<std::string> excluded) const {
  return {.service = request_.service,
          .prompt = request_.call.prompt,
          .prompt_tokens = request_.call.prompt_tokens,
          .failure_domain = options_.failure_domain,
          .excluded_servers = std::move(excluded)};
}

template <MessageCodec D>
void RequestRun<D>::Report(const PromptPlacement::Choice& choice,
                           AttemptResult result) {
  using Outcome = PromptPlacement::Outcome;
  Outcome outcome = Outcome::kAnswered;
  if (result == AttemptResult::kIncompleteAnswer ||
      result == AttemptResult::kErrorAnswer)
    outcome = Outcome::kFailed;
  if (result == AttemptResult::kNotConnected ||
      result == AttemptResult::kNoResponse)
    outcome = Outcome::kNoResponse;
  if (caller_->gone || result == AttemptResult::kWithdrawn)
    outcome = Outcome::kAbandoned;
  shared_.placement->OnFinished(choice, got_first_piece(), outcome,
                                SteadyNow());
  EndPlacement(SteadyNow() - sent_at_);
  shared_.metrics->OnServerAttempt(choice.server.id, NameOf(result));
  if (result == AttemptResult::kAnswered)
    return;
  LogEvent("request.try_failed")
      .Add("request", request_.call.id)
      .Add("server", choice.server.id)
      .Add("end", NameOf(result))
      .Add("began", began_ ? 1 : 0)
      .Add("events", summary_.events)
      .Add("shared_parts", SharedPartsText())
      .Add("caller_gone", caller_->gone ? 1 : 0)
      .Add("left_ms", absl::ToInt64Milliseconds(TimeLeft()))
      .Add("detail", detail_);
}

template <MessageCodec D>
std::string RequestRun<D>::SharedPartsText() const {
  constexpr size_t kMaxParts = 8;
  std::string text;
  const std::vector<PromptPart>& prompt = request_.call.prompt;
  for (size_t i = 0; i + 1 < prompt.size() && i < kMaxParts; ++i)
    text += (i == 0 ? "" : ",") + prompt[i].id;
  return text;
}

template <MessageCodec D>
std::string_view RequestRun<D>::NameOf(AttemptResult result) {
  switch (result) {
    case AttemptResult::kAnswered:
      return "answered";
    case AttemptResult::kNotConnected:
      return "not_sent";
    case AttemptResult::kWithdrawn:
      return "withdrawn";
    case AttemptResult::kNotRun:
      return "not_run";
    case AttemptResult::kErrorAnswer:
      return "failed_answer";
    case AttemptResult::kIncompleteAnswer:
      return "broken";
    case AttemptResult::kNoResponse:
      return "silent";
  }
  return "";
}

template <MessageCodec D>
bool RequestRun<D>::MayRetry(AttemptResult result) {
  if (caller_->gone || TimeLeft() < options_.min_attempt_time)
    return false;
  if (summary_.attempts >= request_.route->max_attempts)
    return false;
  if (summary_.may_have_run && !may_repeat())
    return false;
  // A stream that has begun can only be resumed after an event with an id.
  if (streaming_ && summary_.events > 0 && !last_event_.has_value())
    return false;
  return result == AttemptResult::kNotConnected ||
         result == AttemptResult::kWithdrawn || RetryBudgetOf().TryRetry();
}

template <MessageCodec D>
bool RequestRun<D>::EndAfter(AttemptResult result) {
  if (caller_->gone)
    return End("caller_gone", 0);
  // An answer that a server gave tells more than a later failure.
  if (failed_answer_.has_value())
    return ForwardFailedAnswer();
  if (!summary_.may_have_run)
    return Refuse(result == AttemptResult::kNotRun ? RelayError::kRefused
                                                   : RelayError::kNoServer);
  return Refuse(TimeLeft() < options_.min_attempt_time
                    ? RelayError::kTimedOut
                    : RelayError::kOutcomeUnknown);
}

template <MessageCodec D>
bool RequestRun<D>::ForwardFailedAnswer() {
  if (streaming_)
    return AbortStream();
  return EndSent(writer_.Send(*failed_answer_), "server_error",
                 failed_answer_->status);
}

template <MessageCodec D>
bool RequestRun<D>::EndWithoutServer() {
  if (failed_answer_.has_value())
    return ForwardFailedAnswer();
  if (summary_.may_have_run)
    return Refuse(RelayError::kOutcomeUnknown);
  if (shared_.placement->IsServiceEvacuated(request_.service))
    return Refuse(RelayError::kDomainsEvacuated);
  if (placement_.full_for.has_value())
    return Refuse(RelayError::kServersFull, *placement_.full_for);
  const std::vector<std::string> limited = LimitedServersLeft();
  if (!limited.empty()) {
    return Refuse(RelayError::kServersLimited,
                  shared_.limits.retry_after(limited, UrgencyOf(request_)));
  }
  const std::vector<std::string> resting = RestingServersLeft();
  if (resting.empty())
    return Refuse(RelayError::kNoServer);
  // Callers return at different times after the first rest has ended.
  const absl::Time now = SteadyNow();
  return Refuse(RelayError::kServersResting,
                std::max(options_.retry_after,
                         shared_.resting->FirstEnd(resting, now) - now));
}

template <MessageCodec D>
std::vector<std::string> RequestRun<D>::UntriedOf(
    const std::vector<std::string>& ids) const {
  std::vector<std::string> usable =
      shared_.placement->ServersOf(request_.service);
  std::erase_if(usable, [&](const std::string& server) {
    return excluded_servers_.contains(server) ||
           std::find(ids.begin(), ids.end(), server) == ids.end();
  });
  return usable;
}

template <MessageCodec D>
bool RequestRun<D>::Refuse(RelayError error, absl::Duration retry_base) {
  if (streaming_)
    return AbortStream();
  const absl::Duration retry_after = JitteredRetryAfter(retry_base, random_);
  HttpResponse response = D::EncodeRefusal(request_.call, error, retry_after);
  response.headers = AnswerHeaders(std::move(response.headers));
  return EndSent(writer_.Send(response), TraitsOf(error).code, response.status);
}

template <MessageCodec D>
bool RequestRun<D>::End(std::string_view outcome, int status) {
  summary_.outcome = std::string(outcome);
  summary_.status = status;
  return true;
}

template <MessageCodec D>
typename RequestRun<D>::AttemptResult RequestRun<D>::AttemptAt(
    const PromptPlacement::Choice& choice) {
  const RelayAttempt attempt{.server_id = choice.server.id,
                             .workspace = request_.workspace == nullptr
                                              ? ""
                                              : request_.workspace->name,
                             .time_left = TimeLeft(),
                             .urgency = UrgencyOf(request_),
                             .resume_after = last_event_};
  const auto sent = std::make_shared<const HttpRequest>(
      D::EncodeAttempt(*request_.request, attempt));
  sent_at_ = SteadyNow();
  auto opened = Open(choice.server, sent);
  if (!opened.ok()) {
    detail_ = std::string(opened.status().message());
    if (opened.status().code() == absl::StatusCode::kCancelled)
      return AttemptResult::kWithdrawn;
    return opened.status().code() == absl::StatusCode::kUnavailable
               ? AttemptResult::kNotConnected
               : AttemptResult::kIncompleteAnswer;
  }
  if (caller_->gone)
    return AttemptResult::kIncompleteAnswer;
  if (request_.on_sent)
    request_.on_sent(choice.predicted_wait);
  caller_->exchange = opened->get();
  const AttemptResult result = Receive(choice);
  caller_->exchange = nullptr;
  return result;
}

template <MessageCodec D>
absl::StatusOr<std::unique_ptr<HttpExchange>> RequestRun<D>::Open(
    const RelayServer& server,
    const std::shared_ptr<const HttpRequest>& sent) {
  const absl::Time start_time = SteadyNow();
  const absl::Duration connect_timeout =
      shared_.link->ConnectTimeout(start_time);
  const absl::Duration time_left = TimeLeft();
  auto opened =
      shared_.client->Open(server.address, sent, time_left, connect_timeout,
                           [&] { return MaySend(server); });
  const absl::Time now = SteadyNow();
  if (opened.ok() && (*opened)->connect_time().has_value())
    ObserveConnection(server, /*made=*/true, *(*opened)->connect_time());
  // A connection attempt that was cut short by the request's deadline says
  // nothing about the link or the server.
  const bool no_time =
      now - start_time >= time_left && time_left < connect_timeout;
  if (opened.status().code() == absl::StatusCode::kUnavailable && !no_time)
    ObserveConnection(server, /*made=*/false, now - start_time);
  return opened;
}

template <MessageCodec D>
void RequestRun<D>::ObserveConnection(const RelayServer& server,
                                      bool made,
                                      absl::Duration took) {
  shared_.link->OnConnection(server.id, took, SteadyNow());
  shared_.metrics->OnServerConnection(made, took);
}

template <MessageCodec D>
absl::Duration RequestRun<D>::HeadTimeout() const {
  if (!may_repeat() || IsLastAttempt())
    return TimeLeft();
  return std::min(TimeLeft(), std::max(options_.min_stall_timeout,
                                       request_.route->latency_target *
                                           options_.stall_timeout_targets));
}

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_REQUEST_RUN_IMPL_H_
