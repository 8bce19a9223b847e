#include "hawthornhollow/relay/peer_service.h"

#include <cmath>
#include <memory>
#include <optional>
#include <utility>

#include "absl/strings/numbers.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/boot_clock.h"
#include "hawthornhollow/relay/peer_messages_generated.h"
#include "hawthornhollow/totals/message_bytes.h"
#include "hawthornhollow/totals/totals_generated.h"

namespace hawthornhollow {
namespace {

constexpr char kTransferTarget[] = "/transfer";
constexpr char kReturnTarget[] = "/return";
constexpr char kTimeTarget[] = "/time-of-day";
constexpr char kConfigurationTarget[] = "/configuration";
constexpr char kServersTarget[] = "/servers";
constexpr char kCrashTarget[] = "/server-crash";
constexpr char kSoundTarget[] = "/sound-parts";
constexpr char kQuarantineTarget[] = "/quarantine";
constexpr char kPermitTarget[] = "/server-permit";
constexpr char kLimitsTarget[] = "/server-limits";
constexpr char kVersionParameter[] = "version";
constexpr char kEraParameter[] = "era";
constexpr char kOffsetParameter[] = "after";
constexpr absl::Duration kPeerCallTimeout = absl::Milliseconds(150);
// A request waits for the answer.
constexpr absl::Duration kPermitTimeout = absl::Milliseconds(100);
constexpr int kOk = 200;
constexpr int kNoContent = 204;

// Sends a request to another router and returns the body of its answer.
absl::StatusOr<std::string> Ask(HttpClient& client,
                                const std::string& address,
                                HttpRequest question,
                                absl::Duration timeout = kPeerCallTimeout) {
  const auto endpoint = Endpoint::Parse(address);
  if (!endpoint.ok())
    return endpoint.status();
  auto response = client.Call(*endpoint, question, timeout);
  if (!response.ok())
    return response.status();
  if (response->status == kNoContent) {
    return ErrorAt(absl::StatusCode::kNotFound, "peer.ask", address,
                   "nothing newer");
  }
  if (response->status != kOk) {
    return ErrorAt(absl::StatusCode::kUnavailable, "peer.ask", address,
                   "status " + std::to_string(response->status));
  }
  return std::move(response->body);
}

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
  const TransferAnswer answer = handlers.give({.router = wanted->router,
                                               .workspace = wanted->workspace,
                                               .needed = wanted->needed,
                                               .waiting = wanted->waiting,
                                               .wanted = wanted->tokens,
                                               .demand = wanted->demand});
  LogEvent("total.given")
      .Add("peer", wanted->router)
      .Add("workspace", wanted->workspace)
      .Add("needed", wanted->needed)
      .Add("wanted", wanted->tokens)
      .Add("given", answer.tokens)
      .Add("left", answer.left);
  fb::TokensGivenT given;
  given.workspace = wanted->workspace;
  given.tokens = answer.tokens;
  given.left = answer.left;
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

fb::StoredRecordT EncodeRecord(const StoredValue& stored) {
  fb::StoredRecordT record;
  record.key = stored.key;
  record.offset = stored.offset;
  record.value.assign(stored.value.begin(), stored.value.end());
  return record;
}

StoredValue DecodeRecord(const fb::StoredRecordT& record) {
  return {.key = record.key,
          .value = std::string(record.value.begin(), record.value.end()),
          .offset = record.offset};
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

// Steady times are not comparable between VMs.
fb::QuarantineRecordT EncodePart(const QuarantinedPart& part) {
  fb::QuarantineRecordT record;
  record.part = part.part;
  record.crashes = part.crashes;
  record.until_us =
      absl::ToUnixMicros(TimeOfDayNow() + (part.until - SteadyNow()));
  return record;
}

QuarantinedPart DecodePart(const fb::QuarantineRecordT& record) {
  return {.part = record.part,
          .crashes = record.crashes,
          .until = SteadyNow() +
                   (absl::FromUnixMicros(record.until_us) - TimeOfDayNow())};
}

void ServeQuarantine(const PeerHandlers& handlers, ResponseWriter& writer) {
  fb::QuarantineListT list;
  for (const QuarantinedPart& part : handlers.quarantine()) {
    list.parts.push_back(
        std::make_unique<fb::QuarantineRecordT>(EncodePart(part)));
  }
  writer.Send({.body = EncodeMessage<fb::QuarantineList>(list)}).IgnoreError();
}

// Steady times are not comparable between VMs.
fb::ServerLimitT EncodeLimit(const ServerLimitStatement& statement) {
  fb::ServerLimitT limit;
  limit.server = statement.server;
  limit.requests_per_second = statement.requests_per_second.value_or(0);
  limit.age_us = absl::ToInt64Microseconds(SteadyNow() - statement.as_of);
  return limit;
}

// The message may have been on its way for a while. A limit is taken to be as
// new as it may be, and its end as old, so that no limit ends too early.
absl::StatusOr<ServerLimitStatement> DecodeLimit(const fb::ServerLimitT& limit,
                                                 std::string_view peer) {
  if (!std::isfinite(limit.requests_per_second) ||
      limit.requests_per_second < 0) {
    return ErrorAt(absl::StatusCode::kInvalidArgument, "peer.limit", peer,
                   "requests_per_second: is no number from zero on");
  }
  ServerLimitStatement statement{
      .server = limit.server,
      .as_of = SteadyNow() - absl::Microseconds(limit.age_us)};
  if (limit.requests_per_second > 0)
    statement.requests_per_second = limit.requests_per_second;
  else
    statement.as_of -= kPeerCallTimeout;
  return statement;
}

fb::ServerLimitListT EncodeLimits(
    const std::vector<ServerLimitStatement>& statements) {
  fb::ServerLimitListT list;
  for (const ServerLimitStatement& statement : statements) {
    list.limits.push_back(
        std::make_unique<fb::ServerLimitT>(EncodeLimit(statement)));
  }
  return list;
}

absl::StatusOr<std::vector<ServerLimitStatement>> DecodeLimits(
    std::string_view bytes,
    std::string_view peer) {
  const auto list = DecodeMessage<fb::ServerLimitList>(bytes, peer);
  if (!list.ok())
    return list.status();
  std::vector<ServerLimitStatement> statements;
  for (const auto& limit : list->limits) {
    auto statement = DecodeLimit(*limit, peer);
    if (!statement.ok())
      return statement.status();
    statements.push_back(*std::move(statement));
  }
  return statements;
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

}  // namespace

absl::StatusOr<TransferAnswer> AskPeerForTokens(
    HttpClient& client,
    const std::string& address,
    const TransferQuestion& question) {
  fb::TokensWantedT wanted;
  wanted.workspace = question.workspace;
  wanted.tokens = question.wanted;
  wanted.needed = question.needed;
  wanted.waiting = question.waiting;
  wanted.router = question.router;
  wanted.demand = question.demand;
  const auto body = Ask(client, address,
                        {.method = "POST",
                         .target = kTransferTarget,
                         .body = EncodeMessage<fb::TokensWanted>(wanted)});
  if (!body.ok())
    return body.status();
  const auto given = DecodeMessage<fb::TokensGiven>(*body, address);
  if (!given.ok())
    return given.status();
  return TransferAnswer{.tokens = given->tokens, .left = given->left};
}

absl::Status HandTokensToPeer(HttpClient& client,
                              const std::string& address,
                              const std::string& workspace,
                              int64_t tokens) {
  fb::TokensReturnedT returned;
  returned.workspace = workspace;
  returned.tokens = tokens;
  return Ask(client, address,
             {.method = "POST",
              .target = kReturnTarget,
              .body = EncodeMessage<fb::TokensReturned>(returned)})
      .status();
}

absl::StatusOr<absl::Time> AskPeerTimeOfDay(HttpClient& client,
                                            const std::string& address) {
  const auto body = Ask(client, address, {.target = kTimeTarget});
  if (!body.ok())
    return body.status();
  const auto shown = DecodeMessage<fb::TimeOfDay>(*body, address);
  if (!shown.ok())
    return shown.status();
  return absl::FromUnixMicros(shown->unix_us);
}

absl::StatusOr<StoredValue> AskPeerForConfiguration(HttpClient& client,
                                                    const std::string& address,
                                                    int64_t version) {
  const auto body =
      Ask(client, address,
          {.target = std::string(kConfigurationTarget) + "?" +
                     kVersionParameter + "=" + std::to_string(version)});
  if (!body.ok())
    return body.status();
  const auto record = DecodeMessage<fb::StoredRecord>(*body, address);
  if (!record.ok())
    return record.status();
  return DecodeRecord(*record);
}

absl::StatusOr<ServersReport> AskPeerForServers(HttpClient& client,
                                                const std::string& address,
                                                const StorePosition& known) {
  const absl::Time asked = SteadyNow();
  const auto body =
      Ask(client, address,
          {.target = std::string(kServersTarget) + "?" + kEraParameter + "=" +
                     std::to_string(known.era) + "&" + kOffsetParameter + "=" +
                     std::to_string(known.offset)});
  if (!body.ok())
    return body.status();
  const auto entries = DecodeMessage<fb::ServerEntries>(*body, address);
  if (!entries.ok())
    return entries.status();
  // The answer was made between the question and now; neither time is taken to
  // be better than it is.
  ServersReport report{
      .position = {.era = entries->era, .offset = entries->end},
      .reading = {.last = asked - absl::Microseconds(entries->age_us),
                  .unbroken_since =
                      SteadyNow() - absl::Microseconds(entries->unbroken_us)},
      .keys = entries->keys};
  for (const auto& record : entries->records)
    report.records.push_back(DecodeRecord(*record));
  return report;
}

absl::Status ReportCrashToPeer(HttpClient& client,
                               const std::string& address,
                               const ServerCrash& crash) {
  fb::CrashReportT report;
  report.server = crash.server;
  report.parts = crash.parts;
  return Ask(client, address,
             {.method = "POST",
              .target = kCrashTarget,
              .body = EncodeMessage<fb::CrashReport>(report)})
      .status();
}

absl::Status ReportSoundToPeer(HttpClient& client,
                               const std::string& address,
                               const std::vector<std::string>& parts) {
  fb::SoundReportT report;
  report.parts = parts;
  return Ask(client, address,
             {.method = "POST",
              .target = kSoundTarget,
              .body = EncodeMessage<fb::SoundReport>(report)})
      .status();
}

absl::StatusOr<std::vector<QuarantinedPart>> AskPeerForQuarantine(
    HttpClient& client,
    const std::string& address) {
  const auto body = Ask(client, address, {.target = kQuarantineTarget});
  if (!body.ok())
    return body.status();
  const auto list = DecodeMessage<fb::QuarantineList>(*body, address);
  if (!list.ok())
    return list.status();
  std::vector<QuarantinedPart> parts;
  for (const auto& record : list->parts)
    parts.push_back(DecodePart(*record));
  return parts;
}

absl::StatusOr<PermitAnswer> AskPeerForPermit(HttpClient& client,
                                              const std::string& address,
                                              const PermitQuestion& question) {
  fb::PermitWantedT wanted;
  wanted.router = question.router;
  wanted.urgency = question.urgency;
  wanted.limit =
      std::make_unique<fb::ServerLimitT>(EncodeLimit(question.statement));
  const auto body = Ask(client, address,
                        {.method = "POST",
                         .target = kPermitTarget,
                         .body = EncodeMessage<fb::PermitWanted>(wanted)},
                        kPermitTimeout);
  if (!body.ok())
    return body.status();
  const auto answer = DecodeMessage<fb::PermitAnswer>(*body, address);
  if (!answer.ok())
    return answer.status();
  if (answer->limit == nullptr) {
    return ErrorAt(absl::StatusCode::kDataLoss, "peer.permit", address,
                   "limit: is missing");
  }
  auto statement = DecodeLimit(*answer->limit, address);
  if (!statement.ok())
    return statement.status();
  return PermitAnswer{
      .permit = {.granted = answer->granted,
                 .retry_after = absl::Microseconds(answer->retry_after_us)},
      .statement = *std::move(statement)};
}

absl::Status TellPeerOfLimits(
    HttpClient& client,
    const std::string& address,
    const std::vector<ServerLimitStatement>& statements) {
  return Ask(client, address,
             {.method = "POST",
              .target = kLimitsTarget,
              .body =
                  EncodeMessage<fb::ServerLimitList>(EncodeLimits(statements))})
      .status();
}

absl::StatusOr<std::vector<ServerLimitStatement>> AskPeerForLimits(
    HttpClient& client,
    const std::string& address) {
  const auto body = Ask(client, address, {.target = kLimitsTarget});
  if (!body.ok())
    return body.status();
  return DecodeLimits(*body, address);
}

std::string EncodeQuarantine(const QuarantinedPart& part) {
  return EncodeMessage<fb::QuarantineRecord>(EncodePart(part));
}

absl::StatusOr<QuarantinedPart> DecodeQuarantine(const StoredValue& record) {
  const auto decoded =
      DecodeMessage<fb::QuarantineRecord>(record.value, record.key);
  if (!decoded.ok())
    return decoded.status();
  return DecodePart(*decoded);
}

void ServePeer(const HttpRequest& request,
               const PeerHandlers& handlers,
               ResponseWriter& writer) {
  if (request.method == "GET" && request.Path() == kTimeTarget)
    return SendTimeOfDay(writer);
  if (request.method == "GET" && request.Path() == kConfigurationTarget)
    return ServeConfiguration(request, handlers, writer);
  if (request.method == "GET" && request.Path() == kServersTarget)
    return ServeServers(request, handlers, writer);
  if (request.method == "GET" && request.Path() == kQuarantineTarget)
    return ServeQuarantine(handlers, writer);
  if (request.method == "GET" && request.Path() == kLimitsTarget)
    return ServeLimits(handlers, writer);
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
