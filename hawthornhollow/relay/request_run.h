#ifndef HAWTHORNHOLLOW_RELAY_REQUEST_RUN_H_
#define HAWTHORNHOLLOW_RELAY_REQUEST_RUN_H_

// Executes one caller's request: attempts at backend servers, and exactly one
// answer.
//
// The error that the caller receives depends on what is known of the attempts.
// "Not run" (503) is reported only if it is certain: either no attempt was
// written to a server, or the servers reported that they did not execute it.
// Otherwise a request without an answer ends as "outcome unknown" (502) or
// "timed out" (504), or, in the middle of a stream, with a closed connection.

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "absl/random/random.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/relay.h"
#include "hawthornhollow/relay/relay_metrics.h"
#include "hawthornhollow/relay/run_context.h"
#include "hawthornhollow/scheduling/scheduling.h"

namespace hawthornhollow {

template <MessageCodec D>
class RequestRun {
 public:
  RequestRun(const RunOptions& options,
             const SharedRunState& shared,
             RunContext request,
             ResponseWriter& writer)
      : options_(options),
        shared_(shared),
        request_(std::move(request)),
        writer_(writer) {}
  RequestRun(const RequestRun&) = delete;
  RequestRun& operator=(const RequestRun&) = delete;

  RunSummary Run() {
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

 private:
  enum class AttemptResult {
    kAnswered,          // the request has ended
    kNotConnected,      // no connection was established
    kNotRun,            // the server reported that it did not execute it
    kErrorAnswer,       // the server answered with an error
    kIncompleteAnswer,  // the answer is incomplete or invalid
    kNoResponse,        // the server sent nothing for too long
  };

  static constexpr int kFirstSuccess = 200;
  static constexpr int kFirstRedirect = 300;
  static constexpr int kServerError = 500;
  static constexpr int kMisdirected = 421;
  static constexpr std::string_view kContentType = "Content-Type";
  // Then the request goes to a server without a limit, or is refused.
  static constexpr int kMaxPermitsDenied = 3;

  absl::Duration TimeLeft() const {
    return caller_->expired ? absl::ZeroDuration()
                            : request_.deadline - SteadyNow();
  }
  bool is_stream() const { return request_.route->kind == RouteKind::kStream; }
  // Whether the request may be executed again after it may have been executed.
  bool may_repeat() const {
    return request_.route->kind == RouteKind::kIdempotent ||
           (is_stream() && request_.route->resumable);
  }

  RetryBudget& RetryBudgetOf() {
    const auto [found, is_new] = shared_.retries->try_emplace(
        request_.service, shared_.retry_ratio, shared_.retry_burst);
    found->second.SetBurst(shared_.retry_burst);
    return found->second;
  }

  // Makes one attempt at a server. Returns true if the request has ended.
  bool RunAttempt() {
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
        .Add("left_ms", absl::ToInt64Milliseconds(TimeLeft()));
    const AttemptResult result = AttemptAt(*choice);
    Report(*choice, result);
    if (broke_off_ && !went_on_ && !caller_->gone)
      shared_.prompts.on_broke_off(request_.call, choice->server,
                                   PointOfBreak());
    if (result == AttemptResult::kAnswered)
      return true;
    excluded_servers_.insert(choice->server.id);
    if (result != AttemptResult::kNotConnected)
      ++summary_.attempts;
    if (result != AttemptResult::kNotConnected &&
        result != AttemptResult::kNotRun)
      summary_.may_have_run = true;
    if (MayRetry(result))
      return false;
    return EndAfter(result);
  }

  BreakPoint PointOfBreak() const {
    if (!began_)
      return BreakPoint::kBeforeHead;
    return got_first_piece() ? BreakPoint::kSoonAfterFirstPiece
                             : BreakPoint::kBeforeFirstPiece;
  }
  bool got_first_piece() const { return first_piece_at_.has_value(); }

  // Chooses a server that this request may be sent to, with a permit if the
  // server has a limit.
  absl::StatusOr<PromptPlacement::Choice> ChooseServer() {
    const int64_t urgency = UrgencyOf(request_);
    for (int denials = 0;; ++denials) {
      std::set<std::string> excluded = excluded_servers_;
      excluded.merge(shared_.limits.blocked(urgency));
      if (denials >= kMaxPermitsDenied) {
        for (const std::string& server : shared_.limits.limited_servers())
          excluded.insert(server);
      }
      const PlacementQuery query = Query(std::move(excluded));
      auto choice = shared_.placement->Propose(query, SteadyNow());
      if (!choice.ok())
        return choice;
      if (shared_.limits.acquire(choice->server.id, urgency)) {
        shared_.placement->Begin(*choice, query, SteadyNow());
        return choice;
      }
    }
  }

  PlacementQuery Query(std::set<std::string> excluded) const {
    return {.service = request_.service,
            .prompt = request_.call.prompt,
            .prompt_tokens = request_.call.prompt_tokens,
            .failure_domain = options_.failure_domain,
            .excluded_servers = std::move(excluded)};
  }

  void Report(const PromptPlacement::Choice& choice, AttemptResult result) {
    using Outcome = PromptPlacement::Outcome;
    Outcome outcome = Outcome::kAnswered;
    if (result == AttemptResult::kIncompleteAnswer ||
        result == AttemptResult::kErrorAnswer)
      outcome = Outcome::kFailed;
    if (result == AttemptResult::kNotConnected ||
        result == AttemptResult::kNoResponse)
      outcome = Outcome::kNoResponse;
    if (caller_->gone)
      outcome = Outcome::kAbandoned;
    shared_.placement->OnFinished(choice, got_first_piece(), outcome,
                                  SteadyNow());
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

  // The ids of the first parts of the prompt that other requests may share.
  std::string SharedPartsText() const {
    constexpr size_t kMaxParts = 8;
    std::string text;
    const std::vector<PromptPart>& prompt = request_.call.prompt;
    for (size_t i = 0; i + 1 < prompt.size() && i < kMaxParts; ++i)
      text += (i == 0 ? "" : ",") + prompt[i].id;
    return text;
  }

  static std::string_view NameOf(AttemptResult result) {
    switch (result) {
      case AttemptResult::kAnswered:
        return "answered";
      case AttemptResult::kNotConnected:
        return "not_sent";
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

  bool MayRetry(AttemptResult result) {
    if (caller_->gone || TimeLeft() < options_.min_attempt_time)
      return false;
    if (summary_.attempts >= request_.route->max_attempts)
      return false;
    if (summary_.may_have_run && !may_repeat())
      return false;
    // A stream that has begun can only be resumed after an event with an id.
    if (streaming_ && summary_.events > 0 && !last_event_.has_value())
      return false;
    return result == AttemptResult::kNotConnected || RetryBudgetOf().TryRetry();
  }

  bool EndAfter(AttemptResult result) {
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

  bool ForwardFailedAnswer() {
    if (streaming_)
      return AbortStream();
    return EndSent(writer_.Send(*failed_answer_), "server_error",
                   failed_answer_->status);
  }

  bool EndWithoutServer() {
    if (failed_answer_.has_value())
      return ForwardFailedAnswer();
    if (summary_.may_have_run)
      return Refuse(RelayError::kOutcomeUnknown);
    const std::vector<std::string> limited = LimitedServersLeft();
    if (limited.empty())
      return Refuse(RelayError::kNoServer);
    return Refuse(RelayError::kServersLimited,
                  shared_.limits.retry_after(limited, UrgencyOf(request_)));
  }

  // Servers that were not tried, because of their limits.
  std::vector<std::string> LimitedServersLeft() const {
    std::vector<std::string> usable =
        shared_.placement->ServersOf(request_.service);
    const std::vector<std::string> limited = shared_.limits.limited_servers();
    std::erase_if(usable, [&](const std::string& server) {
      return excluded_servers_.contains(server) ||
             std::find(limited.begin(), limited.end(), server) == limited.end();
    });
    return usable;
  }

  bool Refuse(RelayError error) {
    return Refuse(error, options_.RetryAfter(error));
  }

  bool Refuse(RelayError error, absl::Duration retry_base) {
    if (streaming_)
      return AbortStream();
    const absl::Duration retry_after = JitteredRetryAfter(retry_base, random_);
    HttpResponse response = D::EncodeRefusal(request_.call, error, retry_after);
    response.headers = AnswerHeaders(std::move(response.headers));
    return EndSent(writer_.Send(response), TraitsOf(error).code,
                   response.status);
  }

  // Once a stream has begun, no other answer can be sent.
  bool AbortStream() {
    writer_.Abort();
    return End("stream_cut", 0);
  }

  // `sent` tells whether the end of the answer could be sent to the caller.
  bool EndSent(const absl::Status& sent, std::string_view outcome, int status) {
    return sent.ok() ? End(outcome, status) : End("caller_gone", 0);
  }

  bool End(std::string_view outcome, int status) {
    summary_.outcome = std::string(outcome);
    summary_.status = status;
    return true;
  }

  AttemptResult AttemptAt(const PromptPlacement::Choice& choice) {
    const RelayAttempt attempt{.server_id = choice.server.id,
                               .workspace = request_.workspace == nullptr
                                                ? ""
                                                : request_.workspace->name,
                               .time_left = TimeLeft(),
                               .urgency = UrgencyOf(request_),
                               .resume_after = last_event_};
    const HttpRequest sent = D::EncodeAttempt(*request_.request, attempt);
    sent_at_ = SteadyNow();
    auto opened = Open(choice.server, sent);
    if (!opened.ok()) {
      detail_ = std::string(opened.status().message());
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

  absl::StatusOr<std::unique_ptr<HttpExchange>> Open(const RelayServer& server,
                                                     const HttpRequest& sent) {
    const absl::Time start_time = SteadyNow();
    const absl::Duration connect_timeout =
        shared_.link->ConnectTimeout(start_time);
    const absl::Duration time_left = TimeLeft();
    auto opened =
        shared_.client->Open(server.address, sent, time_left, connect_timeout);
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

  void ObserveConnection(const RelayServer& server,
                         bool made,
                         absl::Duration took) {
    shared_.link->OnConnection(server.id, took, SteadyNow());
    shared_.metrics->OnServerConnection(made, took);
  }

  absl::Duration HeadTimeout() const {
    if (!may_repeat() || IsLastAttempt())
      return TimeLeft();
    return std::min(TimeLeft(), std::max(options_.min_stall_timeout,
                                         request_.route->latency_target *
                                             options_.stall_timeout_targets));
  }
  bool IsLastAttempt() const {
    return summary_.attempts + 1 >= request_.route->max_attempts;
  }

  AttemptResult Receive(const PromptPlacement::Choice& choice) {
    for (int stray_count = 0; stray_count <= options_.max_stray_answers;
         ++stray_count) {
      auto head = caller_->exchange->ReadHead(HeadTimeout());
      if (!head.ok())
        return FailedRead(head.status());
      const ReplyHead reply = D::DecodeReply(*head);
      if (IsOwn(reply, stray_count)) {
        ReportStatement(choice, reply);
        return ReceiveBody(choice, reply);
      }
      LogEvent("answer.stray", LogSeverity::kWarning)
          .Add("request", request_.call.id)
          .Add("belongs_to", reply.call_id)
          .Add("server", choice.server.id);
      // More of them may follow.
      caller_->exchange->CloseAfterwards();
      std::string discarded;
      if (!ReadWhole(&discarded).ok())
        return AttemptResult::kIncompleteAnswer;
    }
    return AttemptResult::kIncompleteAnswer;
  }

  // An answer that does not say whose it is can only be the first one on its
  // connection: on a kept one it may be a copy of an earlier answer.
  bool IsOwn(const ReplyHead& reply, int stray_count) const {
    if (!reply.call_id.empty())
      return reply.call_id == request_.call.id;
    return request_.call.id.empty() ||
           (stray_count == 0 && !caller_->exchange->is_reused());
  }

  // What the server says of itself, unless another one has answered.
  void ReportStatement(const PromptPlacement::Choice& choice,
                       const ReplyHead& reply) const {
    if (reply.status == kMisdirected)
      return;
    ReportLeaving(choice, reply);
    ReportLimit(choice.server.id, reply);
  }

  // Counts from any answer that is passed on, with proof of origin or without.
  void ReportLeaving(const PromptPlacement::Choice& choice,
                     const ReplyHead& reply) const {
    if (!reply.statement.bad_leaving.empty()) {
      LogEvent("server.leaving_rejected", LogSeverity::kWarning)
          .Add("request", request_.call.id)
          .Add("server", choice.server.id)
          .Add("reason", reply.statement.bad_leaving);
    }
    if (!reply.statement.is_leaving ||
        !shared_.leaving->OnStated(choice.server))
      return;
    shared_.placement->SetLeaving(choice);
    LogEvent("server.leaving_stated")
        .Add("request", request_.call.id)
        .Add("server", choice.server.id)
        .Add("born", choice.server.revision.born_ms)
        .Add("sent_ms", absl::ToInt64Milliseconds(SteadyNow() - sent_at_))
        .Add("in_flight", shared_.placement->in_flight(choice.server.id));
  }

  void ReportLimit(const std::string& server, const ReplyHead& reply) const {
    const ServerStatement& statement = reply.statement;
    if (!statement.bad_limit.empty()) {
      LogEvent("server.limit_rejected", LogSeverity::kWarning)
          .Add("request", request_.call.id)
          .Add("server", server)
          .Add("reason", statement.bad_limit);
      return;
    }
    // It may have been something that is no server.
    if (!reply.sealed && !reply.not_run)
      return;
    if (statement.requests_per_second.has_value()) {
      LogEvent("server.limit_stated")
          .Add("request", request_.call.id)
          .Add("server", server)
          .Add("per_second", *statement.requests_per_second);
    }
    shared_.limits.on_answer(server, statement.requests_per_second, sent_at_);
  }

  AttemptResult FailedRead(const absl::Status& status) {
    detail_ = std::string(status.message());
    broke_off_ = status.code() == absl::StatusCode::kAborted;
    return status.code() == absl::StatusCode::kDeadlineExceeded
               ? AttemptResult::kNoResponse
               : AttemptResult::kIncompleteAnswer;
  }

  AttemptResult ReceiveBody(const PromptPlacement::Choice& choice,
                            const ReplyHead& reply) {
    if (reply.not_run || reply.status == kMisdirected) {
      detail_ = "status " + std::to_string(reply.status);
      return AttemptResult::kNotRun;
    }
    const bool success =
        reply.status >= kFirstSuccess && reply.status < kFirstRedirect;
    if (success && !reply.sealed) {
      detail_ = "success status without proof of origin";
      return AttemptResult::kIncompleteAnswer;
    }
    if (streaming_ && !GoesOn(reply)) {
      detail_ = "the answer is no stream that goes on";
      return AttemptResult::kIncompleteAnswer;
    }
    began_ = success;
    if (success && is_stream())
      return RelayStream(choice, reply);
    HttpResponse answer{.status = reply.status,
                        .headers = AnswerHeaders(reply.headers)};
    const absl::Status status = ReadWhole(&answer.body);
    if (!status.ok())
      return FailedRead(status);
    if (reply.status >= kServerError) {
      detail_ = "status " + std::to_string(reply.status);
      failed_answer_ = std::move(answer);
      return AttemptResult::kErrorAnswer;
    }
    OnFirstPiece(choice);
    if (success)
      OnAnswerWentOn();
    EndSent(writer_.Send(answer), "answered", answer.status);
    summary_.may_have_run = true;
    return AttemptResult::kAnswered;
  }

  // Whether an answer continues the stream of which the caller has a part.
  bool GoesOn(const ReplyHead& reply) const {
    return reply.status == stream_status_ &&
           FindHeader(reply.headers, kContentType) == stream_type_;
  }

  absl::Status ReadWhole(std::string* body) {
    HttpExchange* const exchange = caller_->exchange;
    BufferedAnswers::Entry entry(*shared_.answers,
                                 [exchange] { exchange->Cancel(); });
    while (true) {
      auto piece = exchange->ReadSome(TimeLeft());
      if (entry.is_cancelled())
        return OverLimit("the largest of too many answers");
      if (!piece.ok())
        return piece.status();
      if (piece->empty())
        return absl::OkStatus();
      body->append(*piece);
      if (body->size() > options_.max_answer_bytes ||
          !entry.Grow(piece->size()))
        return OverLimit("the answer is over the limit");
    }
  }

  absl::Status OverLimit(std::string_view detail) const {
    return ErrorAt(absl::StatusCode::kResourceExhausted, "relay.receive",
                   summary_.server, detail);
  }

  void OnFirstPiece(const PromptPlacement::Choice& choice) {
    if (got_first_piece())
      return;
    first_piece_at_ = SteadyNow();
    shared_.placement->OnFirstToken(choice);
    if (summary_.first_event == absl::InfiniteDuration())
      summary_.first_event = SteadyNow() - request_.arrived;
  }

  void OnAnswerWentOn() {
    if (!std::exchange(went_on_, true))
      shared_.prompts.on_answer_went_on(request_.call);
  }

  absl::Duration EventTimeout() const {
    if (!may_repeat() || IsLastAttempt())
      return TimeLeft();
    return std::min(TimeLeft(), got_first_piece() ? options_.event_stall_timeout
                                                  : HeadTimeout());
  }

  AttemptResult RelayStream(const PromptPlacement::Choice& choice,
                            const ReplyHead& reply) {
    summary_.may_have_run = true;
    EventSplitter splitter;
    // A server that sends a byte or a comment now and then makes no progress.
    absl::Time next_event_due = SteadyNow() + EventTimeout();
    while (true) {
      auto piece = caller_->exchange->ReadSome(
          std::min(next_event_due - SteadyNow(), TimeLeft()));
      if (!piece.ok())
        return FailedRead(piece.status());
      if (piece->empty())
        return FinishStream(reply, splitter.rest());
      shared_.link_load->OnRelayed(piece->size(), SteadyNow());
      for (const StreamEvent& event : splitter.Feed(*piece)) {
        if (StartsAnew(event)) {
          detail_ = "the stream does not go on after its last event";
          return AttemptResult::kIncompleteAnswer;
        }
        if (!event.is_comment)
          OnFirstPiece(choice);
        if (got_first_piece() &&
            SteadyNow() - *first_piece_at_ >= options_.sound_after)
          OnAnswerWentOn();
        if (!Deliver(reply, event.bytes))
          return AttemptResult::kAnswered;
        if (event.is_comment)
          continue;
        next_event_due = SteadyNow() + EventTimeout();
        ++summary_.events;
        if (event.id.has_value())
          last_event_ = event.id;
      }
      if (splitter.rest().size() > options_.max_event_bytes) {
        detail_ = "an event is over the limit";
        return AttemptResult::kIncompleteAnswer;
      }
    }
  }

  // Whether an event comes again, or one from before it: ids increase.
  bool StartsAnew(const StreamEvent& event) const {
    return streaming_ && event.id.has_value() && last_event_.has_value() &&
           *event.id <= *last_event_;
  }

  // While the link is busy, each answer is the last on its connection, so that
  // the caller's next request may go to another router.
  HttpHeaders AnswerHeaders(HttpHeaders headers) const {
    if (shared_.link_load->IsBusy(SteadyNow()))
      headers.push_back(kCloseConnection);
    return headers;
  }

  // Returns false if the request has ended.
  bool Deliver(const ReplyHead& reply, std::string_view bytes) {
    if (!streaming_) {
      if (!MayDeliverAnswer())
        return false;
      streaming_ = true;
      caller_->streaming = true;
      stream_status_ = reply.status;
      stream_type_ = std::string(FindHeader(reply.headers, kContentType));
      if (!writer_.StartStream(reply.status, AnswerHeaders(reply.headers))
               .ok()) {
        End("caller_gone", 0);
        return false;
      }
    }
    if (writer_.Write(bytes).ok())
      return true;
    End("caller_gone", 0);
    return false;
  }

  // Returns false, and ends the request, if its answer must not be delivered.
  bool MayDeliverAnswer() {
    if (!request_.before_answer)
      return true;
    if (request_.before_answer().ok())
      return true;
    Refuse(RelayError::kTimedOut);
    return false;
  }

  // `rest` holds the bytes after the last event.
  AttemptResult FinishStream(const ReplyHead& reply, const std::string& rest) {
    if (EventSplitter::IsInsideEvent(rest)) {
      detail_ = "the stream ends inside an event";
      return AttemptResult::kIncompleteAnswer;
    }
    // An answer without length that has no event may be one that broke off.
    if (got_first_piece())
      OnAnswerWentOn();
    if (!Deliver(reply, rest))
      return AttemptResult::kAnswered;
    EndSent(writer_.Finish(), "answered", reply.status);
    return AttemptResult::kAnswered;
  }

  const RunOptions& options_;
  const SharedRunState& shared_;
  const RunContext request_;
  ResponseWriter& writer_;
  absl::BitGen random_;
  RunSummary summary_;
  std::set<std::string> excluded_servers_;
  const std::shared_ptr<CallerState> caller_ = std::make_shared<CallerState>();
  bool streaming_ = false;
  // Of the answer that began the caller's stream.
  int stream_status_ = 0;
  std::string stream_type_;
  // Of the attempt in progress: the head of a success answer has arrived, so
  // has its first piece, it went on for a while, and the connection ended
  // before the answer.
  bool began_ = false;
  std::optional<absl::Time> first_piece_at_;
  bool went_on_ = false;
  bool broke_off_ = false;
  absl::Time sent_at_;  // or a little earlier
  std::optional<int64_t> last_event_;
  // The last complete error answer of a server.
  std::optional<HttpResponse> failed_answer_;
  std::string detail_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_REQUEST_RUN_H_
