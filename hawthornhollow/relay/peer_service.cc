// The side of the router that answers.

#include "hawthornhollow/relay/peer_service.h"

#include <memory>
#include <optional>
#include <utility>

#include "absl/strings/numbers.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/boot_clock.h"
#include "hawthornhollow/relay/load_codec_internal.h"
#include "hawthornhollow/relay/peer_codec_internal.h"
#include "hawthornhollow/totals/message_bytes.h"
#include "hawthornhollow/totals/totals_generated.h"

namespace hawthornhollow {
namespace {

void SendTimeOfDay(ResponseWriter& writer) {
  fb::TimeOfDayT time_of_day;
  time_of_day.unix_us = absl::ToUnixMicros(TimeOfDayNow());
  writer.Send({.body = EncodeMessage<fb::TimeOfDay>(time_of_day)})
      .IgnoreError();
}

void Reject(const HttpRequest& request,
            const absl::Status& reason,
            ResponseWriter& writer) {
  LogEvent("peer.rejected", LogSeverity::kWarning)
      .Add("peer", request.peer)
      .Add("reason", reason);
  writer.Send({.status = 400}).IgnoreError();
}

void ServeTransfer(const HttpRequest& request,
                   const PeerHandlers& handlers,
                   ResponseWriter& writer) {
  const auto wanted =
      DecodeMessage<fb::TokensWanted>(request.body, request.peer);
  if (!wanted.ok())
    return Reject(request, wanted.status(), writer);
  const TransferAnswer answer =
      handlers.give({.router = wanted->router,
                     .workspace = wanted->workspace,
                     .needed = wanted->needed,
                     .waiting = wanted->waiting,
                     .wanted = wanted->tokens,
                     .demand = wanted->demand,
                     .incarnation = wanted->incarnation,
                     .number = wanted->number,
                     .unanswered = wanted->unanswered});
  LogEvent("total.given")
      .Add("peer", wanted->router)
      .Add("workspace", wanted->workspace)
      .Add("needed", wanted->needed)
      .Add("wanted", wanted->tokens)
      .Add("given", answer.tokens)
      .Add("left", answer.left)
      .Add("used", answer.used)
      .Add("loan", answer.loan);
  fb::TokensGivenT given;
  given.workspace = wanted->workspace;
  given.tokens = answer.tokens;
  given.left = answer.left;
  given.used = answer.used;
  given.loan = answer.loan;
  writer.Send({.body = EncodeMessage<fb::TokensGiven>(given)}).IgnoreError();
}

void ServeReturn(const HttpRequest& request,
                 const PeerHandlers& handlers,
                 ResponseWriter& writer) {
  const auto returned =
      DecodeMessage<fb::TokensReturned>(request.body, request.peer);
  if (!returned.ok())
    return Reject(request, returned.status(), writer);
  if (returned->tokens < 0) {
    return Reject(request,
                  ErrorAt(absl::StatusCode::kInvalidArgument, "peer.return",
                          request.peer, "tokens: is negative"),
                  writer);
  }
  handlers.take(returned->workspace, returned->tokens);
  writer.Send({}).IgnoreError();
}

// A whole number in the question's query. Answers and returns nullopt if it
// cannot be read.
std::optional<int64_t> QueryNumber(const HttpRequest& request,
                                   std::string_view name,
                                   ResponseWriter& writer) {
  int64_t number = 0;
  if (absl::SimpleAtoi(request.Query(name).value_or(""), &number))
    return number;
  Reject(request,
         ErrorAt(absl::StatusCode::kInvalidArgument, "peer.read", request.peer,
                 std::string(name) + ": is no number"),
         writer);
  return std::nullopt;
}

void ServeConfiguration(const HttpRequest& request,
                        const PeerHandlers& handlers,
                        ResponseWriter& writer) {
  const std::optional<int64_t> version =
      QueryNumber(request, kVersionParameter, writer);
  if (!version.has_value())
    return;
  const std::optional<StoredValue> stored = handlers.configuration(*version);
  if (!stored.has_value()) {
    writer.Send({.status = kNoContent}).IgnoreError();
    return;
  }
  writer.Send({.body = EncodeMessage<fb::StoredRecord>(EncodeRecord(*stored))})
      .IgnoreError();
}

void ServeServers(const HttpRequest& request,
                  const PeerHandlers& handlers,
                  ResponseWriter& writer) {
  const std::optional<int64_t> era =
      QueryNumber(request, kEraParameter, writer);
  if (!era.has_value())
    return;
  const std::optional<int64_t> offset =
      QueryNumber(request, kOffsetParameter, writer);
  if (!offset.has_value())
    return;
  const ServersReport report =
      handlers.servers({.era = *era, .offset = *offset});
  if (report.reading.last == absl::InfinitePast()) {
    writer.Send({.status = kNoContent}).IgnoreError();
    return;
  }
  const absl::Time now = SteadyNow();
  fb::ServerEntriesT entries;
  entries.end = report.position.offset;
  entries.era = report.position.era;
  entries.age_us = absl::ToInt64Microseconds(now - report.reading.last);
  entries.unbroken_us =
      absl::ToInt64Microseconds(now - report.reading.unbroken_since);
  entries.keys = report.keys;
  for (const StoredValue& record : report.records) {
    entries.records.push_back(
        std::make_unique<fb::StoredRecordT>(EncodeRecord(record)));
  }
  writer.Send({.body = EncodeMessage<fb::ServerEntries>(entries)})
      .IgnoreError();
}

void ServeEvacuations(const PeerHandlers& handlers, ResponseWriter& writer) {
  const std::optional<EvacuationReport> report = handlers.evacuations();
  if (!report.has_value()) {
    writer.Send({.status = kNoContent}).IgnoreError();
    return;
  }
  writer
      .Send({.body = EncodeMessage<fb::EvacuationReport>(
                 EncodeEvacuations(*report))})
      .IgnoreError();
}

void ServeCrash(const HttpRequest& request,
                const PeerHandlers& handlers,
                ResponseWriter& writer) {
  const auto report =
      DecodeMessage<fb::CrashReport>(request.body, request.peer);
  if (!report.ok())
    return Reject(request, report.status(), writer);
  handlers.crash({.server = report->server, .parts = report->parts},
                 request.peer);
  writer.Send({}).IgnoreError();
}

void ServeSound(const HttpRequest& request,
                const PeerHandlers& handlers,
                ResponseWriter& writer) {
  const auto report =
      DecodeMessage<fb::SoundReport>(request.body, request.peer);
  if (!report.ok())
    return Reject(request, report.status(), writer);
  handlers.sound(report->parts);
  writer.Send({}).IgnoreError();
}

void ServeQuarantine(const PeerHandlers& handlers, ResponseWriter& writer) {
  fb::QuarantineListT list;
  for (const QuarantinedPart& part : handlers.quarantine()) {
    list.parts.push_back(
        std::make_unique<fb::QuarantineRecordT>(EncodePart(part)));
  }
  writer.Send({.body = EncodeMessage<fb::QuarantineList>(list)}).IgnoreError();
}

void ServePermit(const HttpRequest& request,
                 const PeerHandlers& handlers,
                 ResponseWriter& writer) {
  const auto wanted =
      DecodeMessage<fb::PermitWanted>(request.body, request.peer);
  if (!wanted.ok())
    return Reject(request, wanted.status(), writer);
  if (wanted->limit == nullptr) {
    return Reject(request,
                  ErrorAt(absl::StatusCode::kInvalidArgument, "peer.permit",
                          request.peer, "limit: is missing"),
                  writer);
  }
  const auto statement = DecodeLimit(*wanted->limit, request.peer);
  if (!statement.ok())
    return Reject(request, statement.status(), writer);
  const PermitAnswer answer = handlers.permit({.router = wanted->router,
                                               .urgency = wanted->urgency,
                                               .statement = *statement});
  fb::PermitAnswerT message;
  message.granted = answer.permit.granted;
  message.retry_after_us = absl::ToInt64Microseconds(answer.permit.retry_after);
  message.limit =
      std::make_unique<fb::ServerLimitT>(EncodeLimit(answer.statement));
  writer.Send({.body = EncodeMessage<fb::PermitAnswer>(message)}).IgnoreError();
}

void ServeLimitsTold(const HttpRequest& request,
                     const PeerHandlers& handlers,
                     ResponseWriter& writer) {
  const auto statements = DecodeLimits(request.body, request.peer);
  if (!statements.ok())
    return Reject(request, statements.status(), writer);
  handlers.limits_told(*statements);
  writer.Send({}).IgnoreError();
}

void ServeLimits(const PeerHandlers& handlers, ResponseWriter& writer) {
  const auto list = EncodeLimits(handlers.limits());
  writer.Send({.body = EncodeMessage<fb::ServerLimitList>(list)}).IgnoreError();
}

void ServePlacement(const HttpRequest& request,
                    const PeerHandlers& handlers,
                    ResponseWriter& writer) {
  const auto question = DecodeQuestion(request.body, request.peer);
  if (!question.ok())
    return Reject(request, question.status(), writer);
  const PlacementReply reply = handlers.placement(*question);
  writer.Send({.body = EncodePlacementReply(reply)}).IgnoreError();
}

void ServeLoadReport(const HttpRequest& request,
                     const PeerHandlers& handlers,
                     ResponseWriter& writer) {
  const auto report = DecodeReport(request.body, request.peer);
  if (!report.ok())
    return Reject(request, report.status(), writer);
  handlers.load_report(*report);
  writer.Send({}).IgnoreError();
}

}  // namespace

void ServePeer(const HttpRequest& request,
               const PeerHandlers& handlers,
               ResponseWriter& writer) {
  if (request.method == "GET" && request.Path() == kTimeTarget)
    return SendTimeOfDay(writer);
  if (request.method == "GET" && request.Path() == kConfigurationTarget)
    return ServeConfiguration(request, handlers, writer);
  if (request.method == "GET" && request.Path() == kServersTarget)
    return ServeServers(request, handlers, writer);
  if (request.method == "GET" && request.Path() == kEvacuationsTarget)
    return ServeEvacuations(handlers, writer);
  if (request.method == "GET" && request.Path() == kQuarantineTarget)
    return ServeQuarantine(handlers, writer);
  if (request.method == "GET" && request.Path() == kLimitsTarget)
    return ServeLimits(handlers, writer);
  if (request.method == "POST" && request.Path() == kPlacementTarget)
    return ServePlacement(request, handlers, writer);
  if (request.method == "POST" && request.Path() == kLoadReportTarget)
    return ServeLoadReport(request, handlers, writer);
  if (request.method == "POST" && request.Path() == kLimitsTarget)
    return ServeLimitsTold(request, handlers, writer);
  if (request.method == "POST" && request.Path() == kPermitTarget)
    return ServePermit(request, handlers, writer);
  if (request.method == "POST" && request.Path() == kCrashTarget)
    return ServeCrash(request, handlers, writer);
  if (request.method == "POST" && request.Path() == kSoundTarget)
    return ServeSound(request, handlers, writer);
  if (request.method == "POST" && request.Path() == kTransferTarget)
    return ServeTransfer(request, handlers, writer);
  if (request.method == "POST" && request.Path() == kReturnTarget)
    return ServeReturn(request, handlers, writer);
  writer.Send({.status = 404}).IgnoreError();
}

}  // namespace hawthornhollow
