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

  RunSummary Run();

 private:
  enum class AttemptResult {
    kAnswered,          // the request has ended
    kNotConnected,      // no connection was established
    kWithdrawn,         // not sent: the server must not get it any more
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

  RetryBudget& RetryBudgetOf();

  // Makes one attempt at a server. Returns true if the request has ended.
  bool RunAttempt();

  BreakPoint PointOfBreak() const;
  bool got_first_piece() const { return first_piece_at_.has_value(); }

  // Chooses a server that this request may be sent to, with a permit if the
  // server has a limit.
  absl::StatusOr<PromptPlacement::Choice> ChooseServer();

  // The choice by the load at all routers, or by this router's own view. Tells
  // the load coordinator of the request.
  absl::StatusOr<PromptPlacement::Choice> ProposeByLoad(
      const PlacementQuery& query);
  PlacementRequest LoadRequest() const;
  // The request does not go to the chosen server, or has ended there.
  void EndPlacement(absl::Duration took);

  PlacementQuery Query(std::set<std::string> excluded) const;

  void Report(const PromptPlacement::Choice& choice, AttemptResult result);

  // The ids of the first parts of the prompt that other requests may share.
  std::string SharedPartsText() const;

  static std::string_view NameOf(AttemptResult result);

  bool MayRetry(AttemptResult result);

  bool EndAfter(AttemptResult result);

  bool ForwardFailedAnswer();

  bool EndWithoutServer();

  // Whether a request that was placed at this server may still be sent there.
  bool MaySend(const RelayServer& server) const {
    return !shared_.placement->IsEvacuated(server) &&
           !shared_.resting->IsResting(server, SteadyNow());
  }

  // Of these servers, those that the request may go to and that were not tried.
  std::vector<std::string> UntriedOf(const std::vector<std::string>& ids) const;
  std::vector<std::string> LimitedServersLeft() const {
    return UntriedOf(shared_.limits.limited_servers());
  }
  std::vector<std::string> RestingServersLeft() const {
    const std::set<std::string> ids = shared_.resting->Ids(SteadyNow());
    return UntriedOf({ids.begin(), ids.end()});
  }

  bool Refuse(RelayError error) {
    return Refuse(error, options_.RetryAfter(error));
  }

  bool Refuse(RelayError error, absl::Duration retry_base);

  // Once a stream has begun, no other answer can be sent.
  bool AbortStream() {
    writer_.Abort();
    return End("stream_cut", 0);
  }

  // `sent` tells whether the end of the answer could be sent to the caller.
  bool EndSent(const absl::Status& sent, std::string_view outcome, int status) {
    return sent.ok() ? End(outcome, status) : End("caller_gone", 0);
  }

  bool End(std::string_view outcome, int status);

  AttemptResult AttemptAt(const PromptPlacement::Choice& choice);

  absl::StatusOr<std::unique_ptr<HttpExchange>> Open(
      const RelayServer& server,
      const std::shared_ptr<const HttpRequest>& sent);

  void ObserveConnection(const RelayServer& server,
                         bool made,
                         absl::Duration took);

  absl::Duration HeadTimeout() const;
  bool IsLastAttempt() const {
    return summary_.attempts + 1 >= request_.route->max_attempts;
  }

  AttemptResult Receive(const PromptPlacement::Choice& choice);

  // An answer that does not say whose it is can only be the first one on its
  // connection: on a kept one it may be a copy of an earlier answer.
  bool IsOwn(const ReplyHead& reply, int stray_count) const;

  // What the server says of itself, unless another one has answered.
  void ReportStatement(const PromptPlacement::Choice& choice,
                       const ReplyHead& reply) const;

  // Counts from any answer that is passed on, with proof of origin or without.
  void ReportLeaving(const PromptPlacement::Choice& choice,
                     const ReplyHead& reply) const;

  void ReportLimit(const std::string& server, const ReplyHead& reply) const;

  void ReportRest(const PromptPlacement::Choice& choice,
                  const ReplyHead& reply) const;

  void ReportCold(const std::string& server, const ReplyHead& reply) const;

  AttemptResult FailedRead(const absl::Status& status);

  AttemptResult ReceiveBody(const PromptPlacement::Choice& choice,
                            const ReplyHead& reply);

  // Whether the status of a server's answer may be the caller's. One that would
  // promise that a request was not run, and may not be sent again, says so of a
  // run that failed.
  bool MayPassOnStatus(int status) const {
    return may_repeat() || !PromisesNotRun(status);
  }
  void LogWithheld(int status) const;

  // Whether an answer continues the stream of which the caller has a part.
  bool GoesOn(const ReplyHead& reply) const {
    return reply.status == stream_status_ &&
           FindHeader(reply.headers, kContentType) == stream_type_;
  }

  absl::Status ReadWhole(std::string* body);

  absl::Status OverLimit(std::string_view detail) const {
    return ErrorAt(absl::StatusCode::kResourceExhausted, "relay.receive",
                   summary_.server, detail);
  }

  void OnFirstPiece(const PromptPlacement::Choice& choice);

  void OnAnswerWentOn() {
    if (!std::exchange(went_on_, true))
      shared_.prompts.on_answer_went_on(request_.call);
  }

  absl::Duration EventTimeout() const;

  AttemptResult RelayStream(const PromptPlacement::Choice& choice,
                            const ReplyHead& reply);

  // Passes an event on. Returns how the attempt ends, if it does.
  std::optional<AttemptResult> RelayEvent(const PromptPlacement::Choice& choice,
                                          const ReplyHead& reply,
                                          const StreamEvent& event);

  // Whether an event comes again, or one from before it: ids increase.
  bool StartsAnew(const StreamEvent& event) const {
    return streaming_ && event.id.has_value() && last_event_.has_value() &&
           *event.id <= *last_event_;
  }

  // While the link is busy, each answer is the last on its connection, so that
  // the caller's next request may go to another router.
  HttpHeaders AnswerHeaders(HttpHeaders headers) const;

  // Returns false if the request has ended.
  bool Deliver(const ReplyHead& reply, std::string_view bytes);

  // Returns false, and ends the request, if its answer must not be delivered.
  bool MayDeliverAnswer();

  // `rest` holds the bytes after the last event.
  AttemptResult FinishStream(const ReplyHead& reply, const std::string& rest);

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
  // How the attempt's server was chosen.
  LoadDecision placement_;
};

}  // namespace hawthornhollow

#include "hawthornhollow/relay/request_run_answer_impl.h"
#include "hawthornhollow/relay/request_run_impl.h"

#endif  // HAWTHORNHOLLOW_RELAY_REQUEST_RUN_H_
