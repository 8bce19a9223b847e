// The side of the router that asks.

#include <memory>
#include <string>
#include <utility>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/load_codec_internal.h"
#include "hawthornhollow/relay/peer_codec_internal.h"
#include "hawthornhollow/totals/message_bytes.h"
#include "hawthornhollow/totals/totals_generated.h"

namespace hawthornhollow {
namespace {

// A request waits for the answer.
constexpr absl::Duration kPermitTimeout = absl::Milliseconds(100);
constexpr int kOk = 200;

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
  wanted.incarnation = question.incarnation;
  wanted.number = question.number;
  wanted.unanswered = question.unanswered;
  const auto body = Ask(client, address,
                        {.method = "POST",
                         .target = kTransferTarget,
                         .body = EncodeMessage<fb::TokensWanted>(wanted)});
  if (!body.ok())
    return body.status();
  const auto given = DecodeMessage<fb::TokensGiven>(*body, address);
  if (!given.ok())
    return given.status();
  return TransferAnswer{.tokens = given->tokens,
                        .left = given->left,
                        .used = given->used,
                        .loan = given->loan};
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

absl::StatusOr<EvacuationReport> AskPeerForEvacuations(
    HttpClient& client,
    const std::string& address) {
  const absl::Time asked = SteadyNow();
  const auto body = Ask(client, address, {.target = kEvacuationsTarget});
  if (!body.ok())
    return body.status();
  return DecodeEvacuations(*body, asked, address);
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

absl::StatusOr<PlacementReply> AskPeerForPlacement(
    HttpClient& client,
    const std::string& address,
    const PlacementQuestion& question,
    absl::Duration timeout) {
  const auto body = Ask(client, address,
                        {.method = "POST",
                         .target = kPlacementTarget,
                         .body = EncodeQuestion(question)},
                        timeout);
  if (!body.ok())
    return body.status();
  return DecodePlacementReply(*body, address);
}

absl::Status ReportLoadToPeer(HttpClient& client,
                              const std::string& address,
                              const LoadReport& report) {
  return Ask(client, address,
             {.method = "POST",
              .target = kLoadReportTarget,
              .body = EncodeReport(report)})
      .status();
}

}  // namespace hawthornhollow
