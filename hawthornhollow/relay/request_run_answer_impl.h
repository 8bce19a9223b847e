#ifndef HAWTHORNHOLLOW_RELAY_REQUEST_RUN_ANSWER_IMPL_H_
#define HAWTHORNHOLLOW_RELAY_REQUEST_RUN_ANSWER_IMPL_H_

// The bodies of RequestRun: receiving a server's answer and passing it on.
// Included by request_run.h only.

#include "hawthornhollow/relay/request_run.h"

namespace hawthornhollow {

template <MessageCodec D>
typename RequestRun<D>::AttemptResult RequestRun<D>::Receive(
    const PromptPlacement::Choice& choice) {
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

template <MessageCodec D>
bool RequestRun<D>::IsOwn(const ReplyHead& reply, int stray_count) const {
  if (!reply.call_id.empty())
    return reply.call_id == request_.call.id;
  return request_.call.id.empty() ||
         (stray_count == 0 && !caller_->exchange->is_reused());
}

template <MessageCodec D>
void RequestRun<D>::ReportStatement(const PromptPlacement::Choice& choice,
                                    const ReplyHead& reply) const {
  if (reply.status == kMisdirected)
    return;
  ReportLeaving(choice, reply);
  ReportLimit(choice.server.id, reply);
  ReportCold(choice.server.id, reply);
  ReportRest(choice, reply);
}

template <MessageCodec D>
void RequestRun<D>::ReportLeaving(const PromptPlacement::Choice& choice,
                                  const ReplyHead& reply) const {
  if (!reply.statement.bad_leaving.empty()) {
    LogEvent("server.leaving_rejected", LogSeverity::kWarning)
        .Add("request", request_.call.id)
        .Add("server", choice.server.id)
        .Add("reason", reply.statement.bad_leaving);
  }
  if (!reply.statement.is_leaving || !shared_.leaving->OnStated(choice.server))
    return;
  shared_.placement->SetLeaving(choice);
  LogEvent("server.leaving_stated")
      .Add("request", request_.call.id)
      .Add("server", choice.server.id)
      .Add("born", choice.server.revision.born_ms)
      .Add("sent_ms", absl::ToInt64Milliseconds(SteadyNow() - sent_at_))
      .Add("in_flight", shared_.placement->in_flight(choice.server.id));
}

template <MessageCodec D>
void RequestRun<D>::ReportLimit(const std::string& server,
                                const ReplyHead& reply) const {
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

template <MessageCodec D>
void RequestRun<D>::ReportRest(const PromptPlacement::Choice& choice,
                               const ReplyHead& reply) const {
  const ServerStatement& statement = reply.statement;
  if (!statement.bad_rest.empty()) {
    LogEvent("server.rest_rejected", LogSeverity::kWarning)
        .Add("request", request_.call.id)
        .Add("server", choice.server.id)
        .Add("reason", statement.bad_rest);
  }
  // It may have been something that is no server.
  if (!statement.rest_for.has_value() || (!reply.sealed && !reply.not_run))
    return;
  const absl::Time now = SteadyNow();
  if (!shared_.resting->OnStated(choice.server, now + *statement.rest_for, now))
    return;
  LogEvent("server.rest_stated")
      .Add("request", request_.call.id)
      .Add("server", choice.server.id)
      .Add("for_ms", absl::ToInt64Milliseconds(*statement.rest_for))
      .Add("in_flight", shared_.placement->in_flight(choice.server.id));
}

template <MessageCodec D>
void RequestRun<D>::ReportCold(const std::string& server,
                               const ReplyHead& reply) const {
  const ServerStatement& statement = reply.statement;
  if (!statement.bad_cold.empty()) {
    LogEvent("server.cold_rejected", LogSeverity::kWarning)
        .Add("request", request_.call.id)
        .Add("server", server)
        .Add("reason", statement.bad_cold);
  }
  if (statement.cold_for.has_value() && (reply.sealed || reply.not_run))
    shared_.limits.on_cold(server, *statement.cold_for, sent_at_);
}

template <MessageCodec D>
typename RequestRun<D>::AttemptResult RequestRun<D>::FailedRead(
    const absl::Status& status) {
  detail_ = std::string(status.message());
  broke_off_ = status.code() == absl::StatusCode::kAborted;
  return status.code() == absl::StatusCode::kDeadlineExceeded
             ? AttemptResult::kNoResponse
             : AttemptResult::kIncompleteAnswer;
}

template <MessageCodec D>
typename RequestRun<D>::AttemptResult RequestRun<D>::ReceiveBody(
    const PromptPlacement::Choice& choice,
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
  if (!MayPassOnStatus(reply.status)) {
    detail_ = "status " + std::to_string(reply.status);
    LogWithheld(reply.status);
    return AttemptResult::kErrorAnswer;
  }
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

template <MessageCodec D>
void RequestRun<D>::LogWithheld(int status) const {
  LogEvent("answer.withheld", LogSeverity::kWarning)
      .Add("request", request_.call.id)
      .Add("server", summary_.server)
      .Add("status", status);
}

template <MessageCodec D>
absl::Status RequestRun<D>::ReadWhole(std::string* body) {
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
    if (body->size() > options_.max_answer_bytes || !entry.Grow(piece->size()))
      return OverLimit("the answer is over the limit");
  }
}

template <MessageCodec D>
void RequestRun<D>::OnFirstPiece(const PromptPlacement::Choice& choice) {
  if (got_first_piece())
    return;
  first_piece_at_ = SteadyNow();
  shared_.placement->OnFirstToken(choice, *first_piece_at_);
  const absl::Duration took = *first_piece_at_ - sent_at_;
  if (placement_.placed.has_value())
    shared_.load->OnFirstToken(*placement_.placed, took);
  shared_.metrics->OnFirstToken(placement_.placed_by_name(),
                                choice.predicted_wait, took);
  if (summary_.first_event == absl::InfiniteDuration())
    summary_.first_event = SteadyNow() - request_.arrived;
}

template <MessageCodec D>
absl::Duration RequestRun<D>::EventTimeout() const {
  if (!may_repeat() || IsLastAttempt())
    return TimeLeft();
  return std::min(TimeLeft(), got_first_piece() ? options_.event_stall_timeout
                                                : HeadTimeout());
}

template <MessageCodec D>
typename RequestRun<D>::AttemptResult RequestRun<D>::RelayStream(
    const PromptPlacement::Choice& choice,
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
      break;
    shared_.link_load->OnRelayed(piece->size(), SteadyNow());
    for (const StreamEvent& event : splitter.Feed(*piece)) {
      if (const auto end = RelayEvent(choice, reply, event))
        return *end;
      if (!event.is_comment)
        next_event_due = SteadyNow() + EventTimeout();
    }
    if (splitter.rest().size() > options_.max_event_bytes) {
      detail_ = "an event is over the limit";
      return AttemptResult::kIncompleteAnswer;
    }
  }
  if (const auto last = splitter.TakeLast()) {
    if (const auto end = RelayEvent(choice, reply, *last))
      return *end;
  }
  return FinishStream(reply, splitter.rest());
}

template <MessageCodec D>
std::optional<typename RequestRun<D>::AttemptResult> RequestRun<D>::RelayEvent(
    const PromptPlacement::Choice& choice,
    const ReplyHead& reply,
    const StreamEvent& event) {
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
    return std::nullopt;
  ++summary_.events;
  if (event.id.has_value())
    last_event_ = event.id;
  return std::nullopt;
}

template <MessageCodec D>
HttpHeaders RequestRun<D>::AnswerHeaders(HttpHeaders headers) const {
  if (shared_.link_load->IsBusy(SteadyNow()))
    headers.push_back(kCloseConnection);
  return headers;
}

template <MessageCodec D>
bool RequestRun<D>::Deliver(const ReplyHead& reply, std::string_view bytes) {
  if (!streaming_) {
    if (!MayDeliverAnswer())
      return false;
    streaming_ = true;
    caller_->streaming = true;
    stream_status_ = reply.status;
    stream_type_ = std::string(FindHeader(reply.headers, kContentType));
    if (!writer_.StartStream(reply.status, AnswerHeaders(reply.headers)).ok()) {
      End("caller_gone", 0);
      return false;
    }
  }
  if (writer_.Write(bytes).ok())
    return true;
  End("caller_gone", 0);
  return false;
}

template <MessageCodec D>
bool RequestRun<D>::MayDeliverAnswer() {
  if (!request_.before_answer)
    return true;
  if (request_.before_answer().ok())
    return true;
  Refuse(RelayError::kTimedOut);
  return false;
}

template <MessageCodec D>
typename RequestRun<D>::AttemptResult RequestRun<D>::FinishStream(
    const ReplyHead& reply,
    const std::string& rest) {
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

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_REQUEST_RUN_ANSWER_IMPL_H_
