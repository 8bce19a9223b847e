#ifndef HAWTHORNHOLLOW_RELAY_PEER_SERVICE_H_
#define HAWTHORNHOLLOW_RELAY_PEER_SERVICE_H_

// What routers ask of one another, as FlatBuffers over HTTP on the peers'
// address: tokens of a workspace's prepaid total, and the time of day.

#include <functional>
#include <string>

#include "absl/status/statusor.h"
#include "hawthornhollow/http/http.h"

namespace hawthornhollow {

// Asks the router at `address` to hand over up to `tokens`; returns how many it
// gave.
absl::StatusOr<int64_t> AskPeerForTokens(HttpClient& client,
                                         const std::string& address,
                                         const std::string& workspace,
                                         int64_t tokens);

// The time of day that the router at `address` shows.
absl::StatusOr<absl::Time> AskPeerTimeOfDay(HttpClient& client,
                                            const std::string& address);

// Answers another router's question; `give` returns the tokens handed over.
void ServePeer(const HttpRequest& request,
               const std::function<int64_t(const std::string& workspace,
                                           int64_t tokens)>& give,
               ResponseWriter& writer);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_PEER_SERVICE_H_
