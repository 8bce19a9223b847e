#include "hawthornhollow/relay/peer_service.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/boot_clock.h"
#include "hawthornhollow/totals/message_bytes.h"
#include "hawthornhollow/totals/totals_generated.h"

namespace hawthornhollow {
namespace {

constexpr char kTransferTarget[] = "/transfer";
constexpr char kReturnTarget[] = "/return";
constexpr char kTimeTarget[] = "/time-of-day";
constexpr char kConfigurationTarget[] = "/configuration";
constexpr absl::Duration kPeerCallTimeout = absl::Milliseconds(150);
constexpr int kOk = 200;
constexpr int kNoContent = 204;

// Sends a request to another router and returns the body of its answer.
absl::StatusOr<std::string> Ask(HttpClient& client,
                                const std::string& address,
                                HttpRequest question) {
  const auto endpoint = Endpoint::Parse(address);
  if (!endpoint.ok())
    return endpoint.status();
  auto response = client.Call(*endpoint, question, kPeerCallTimeout);
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

void ServeConfiguration(const HttpRequest& request,
                        const PeerHandlers& handlers,
                        ResponseWriter& writer) {
  int64_t known = 0;
  if (!absl::SimpleAtoi(request.Query("after").value_or(""), &known)) {
    return Reject(request,
                  ErrorAt(absl::StatusCode::kInvalidArgument, "peer.configure",
                          request.peer, "after: is no offset"),
                  writer);
  }
  const StoredValue stored = handlers.configuration();
  if (stored.offset <= known) {
    writer.Send({.status = kNoContent}).IgnoreError();
    return;
  }
  fb::ConfigurationRecordT record;
  record.key = stored.key;
  record.offset = stored.offset;
  record.value.assign(stored.value.begin(), stored.value.end());
  writer.Send({.body = EncodeMessage<fb::ConfigurationRecord>(record)})
      .IgnoreError();
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
                                                    int64_t offset) {
  const auto body = Ask(client, address,
                        {.target = std::string(kConfigurationTarget) +
                                   "?after=" + std::to_string(offset)});
  if (!body.ok())
    return body.status();
  const auto record = DecodeMessage<fb::ConfigurationRecord>(*body, address);
  if (!record.ok())
    return record.status();
  return StoredValue{
      .key = record->key,
      .value = std::string(record->value.begin(), record->value.end()),
      .offset = record->offset};
}

void ServePeer(const HttpRequest& request,
               const PeerHandlers& handlers,
               ResponseWriter& writer) {
  if (request.method == "GET" && request.Path() == kTimeTarget)
    return SendTimeOfDay(writer);
  if (request.method == "GET" && request.Path() == kConfigurationTarget)
    return ServeConfiguration(request, handlers, writer);
  if (request.method == "POST" && request.Path() == kTransferTarget)
    return ServeTransfer(request, handlers, writer);
  if (request.method == "POST" && request.Path() == kReturnTarget)
    return ServeReturn(request, handlers, writer);
  writer.Send({.status = 404}).IgnoreError();
}

}  // namespace hawthornhollow
