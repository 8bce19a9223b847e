#ifndef HAWTHORNHOLLOW_RELAY_PEER_SERVICE_H_
#define HAWTHORNHOLLOW_RELAY_PEER_SERVICE_H_

// Calls between routers, as FlatBuffers over HTTP on the address for other
// routers: transfers of tokens of a workspace's prepaid total, and the time of
// day.

#include <functional>
#include <string>

#include "absl/status/statusor.h"
#include "hawthornhollow/http/http.h"

namespace hawthornhollow {

// Asks the router at `address` to transfer up to `tokens`. Returns how many it
// transferred, or the error of the call.
absl::StatusOr<int64_t> AskPeerForTokens(HttpClient& client,
                                         const std::string& address,
                                         const std::string& workspace,
                                         int64_t tokens);

// Returns the time of day shown by the router at `address`.
absl::StatusOr<absl::Time> AskPeerTimeOfDay(HttpClient& client,
                                            const std::string& address);

// Answers another router's call. `give` transfers up to `tokens` and returns
// how many.
void ServePeer(const HttpRequest& request,
               const std::function<int64_t(const std::string& workspace,
                                           int64_t tokens)>& give,
               ResponseWriter& writer);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_PEER_SERVICE_H_
