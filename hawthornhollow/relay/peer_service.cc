#include "hawthornhollow/relay/peer_service.h"

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/totals/message_bytes.h"
#include "hawthornhollow/totals/totals_generated.h"

namespace hawthornhollow {
namespace {

constexpr char kTokensTarget[] = "/tokens";
constexpr absl::Duration kAskTimeout = absl::Milliseconds(150);
constexpr int kOk = 200;

}  // namespace

absl::StatusOr<int64_t> AskPeer(HttpClient& client,
                                const std::string& address,
                                const std::string& workspace,
                                int64_t tokens) {
  const auto endpoint = Endpoint::Parse(address);
  if (!endpoint.ok())
    return endpoint.status();
  fb::TokensWantedT wanted;
  wanted.workspace = workspace;
  wanted.tokens = tokens;
  const auto response =
      client.Call(*endpoint,
                  {.method = "POST",
                   .target = kTokensTarget,
                   .body = EncodeMessage<fb::TokensWanted>(wanted)},
                  kAskTimeout);
  if (!response.ok())
    return response.status();
  if (response->status != kOk) {
    return ErrorAt(absl::StatusCode::kUnavailable, "peer.ask", address,
                   "status " + std::to_string(response->status));
  }
  const auto given = DecodeMessage<fb::TokensGiven>(response->body, address);
  if (!given.ok())
    return given.status();
  return given->tokens;
}

void ServePeer(const HttpRequest& request,
               const std::function<int64_t(const std::string& workspace,
                                           int64_t tokens)>& give,
               ResponseWriter& writer) {
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
