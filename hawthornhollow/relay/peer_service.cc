#include "hawthornhollow/relay/peer_service.h"

#include <utility>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/boot_clock.h"
#include "hawthornhollow/totals/message_bytes.h"
#include "hawthornhollow/totals/totals_generated.h"

namespace hawthornhollow {
namespace {

constexpr char kTokensTarget[] = "/tokens";
constexpr char kTimeTarget[] = "/time-of-day";
constexpr absl::Duration kPeerCallTimeout = absl::Milliseconds(150);
constexpr int kOk = 200;

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

}  // namespace

absl::StatusOr<int64_t> AskPeerForTokens(HttpClient& client,
                                         const std::string& address,
                                         const std::string& workspace,
                                         int64_t tokens) {
  fb::TokensWantedT wanted;
  wanted.workspace = workspace;
  wanted.tokens = tokens;
  const auto body = Ask(client, address,
                        {.method = "POST",
                         .target = kTokensTarget,
                         .body = EncodeMessage<fb::TokensWanted>(wanted)});
  if (!body.ok())
    return body.status();
  const auto given = DecodeMessage<fb::TokensGiven>(*body, address);
  if (!given.ok())
    return given.status();
  return given->tokens;
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

void ServePeer(const HttpRequest& request,
               const std::function<int64_t(const std::string& workspace,
                                           int64_t tokens)>& give,
               ResponseWriter& writer) {
  if (request.method == "GET" && request.Path() == kTimeTarget)
    return SendTimeOfDay(writer);
  if (request.method != "POST" || request.Path() != kTokensTarget) {
    writer.Send({.status = 404}).IgnoreError();
    return;
  }
  const auto wanted =
      DecodeMessage<fb::TokensWanted>(request.body, request.peer);
  if (!wanted.ok()) {
    LogEvent("peer.rejected", LogSeverity::kWarning)
        .Add("peer", request.peer)
        .Add("reason", wanted.status());
    writer.Send({.status = 400}).IgnoreError();
    return;
  }
  fb::TokensGivenT given;
  given.workspace = wanted->workspace;
  given.tokens = give(wanted->workspace, wanted->tokens);
  LogEvent("total.given")
      .Add("peer", request.peer)
      .Add("workspace", wanted->workspace)
      .Add("wanted", wanted->tokens)
      .Add("given", given.tokens);
  writer.Send({.body = EncodeMessage<fb::TokensGiven>(given)}).IgnoreError();
}

}  // namespace hawthornhollow
