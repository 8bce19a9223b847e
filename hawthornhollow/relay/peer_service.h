#ifndef HAWTHORNHOLLOW_RELAY_PEER_SERVICE_H_
#define HAWTHORNHOLLOW_RELAY_PEER_SERVICE_H_

// Calls between routers, as FlatBuffers over HTTP on the address for other
// routers: transfers of tokens of a workspace's prepaid total, in both
// directions, the configuration, evacuated failure domains, the entries of
// backend servers, crashes of servers and what they are put down to, limits
// that servers state and permits to send to them, the load of servers, and the
// time of day.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "hawthornhollow/http/http.h"
#include "hawthornhollow/relay/evacuated_domains.h"
#include "hawthornhollow/relay/load_messages.h"
#include "hawthornhollow/relay/prompt_quarantine.h"
#include "hawthornhollow/relay/relay.h"
#include "hawthornhollow/relay/server_limits.h"
#include "hawthornhollow/relay/server_list.h"
#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {

// Asks the router at `address`. Returns the error of the call; the tokens are
// lost if it answered and the answer did not arrive.
absl::StatusOr<TransferAnswer> AskPeerForTokens(
    HttpClient& client,
    const std::string& address,
    const TransferQuestion& question);

// Hands tokens over to the router at `address`. After an error they may have
// arrived, so they must not be used or handed over again.
absl::Status HandTokensToPeer(HttpClient& client,
                              const std::string& address,
                              const std::string& workspace,
                              int64_t tokens);

// Returns the time of day shown by the router at `address`.
absl::StatusOr<absl::Time> AskPeerTimeOfDay(HttpClient& client,
                                            const std::string& address);

// Returns the record of the configuration that the router at `address` has in
// force if it is newer than `version`, else NOT_FOUND.
absl::StatusOr<StoredValue> AskPeerForConfiguration(HttpClient& client,
                                                    const std::string& address,
                                                    int64_t version);

// Returns the entries of backend servers as the router at `address` knows them,
// with the records from `known` on. NOT_FOUND if it has read none.
absl::StatusOr<ServersReport> AskPeerForServers(HttpClient& client,
                                                const std::string& address,
                                                const StorePosition& known);

// Returns what the router at `address` knows of evacuated failure domains.
// NOT_FOUND if it has read nothing.
absl::StatusOr<EvacuationReport> AskPeerForEvacuations(
    HttpClient& client,
    const std::string& address);

// Tells the router at `address` of a crash.
absl::Status ReportCrashToPeer(HttpClient& client,
                               const std::string& address,
                               const ServerCrash& crash);

// Tells the router at `address` of parts that it may suspect, on which answers
// began.
absl::Status ReportSoundToPeer(HttpClient& client,
                               const std::string& address,
                               const std::vector<std::string>& parts);

// Returns the parts of prompts that the router at `address` keeps from servers.
absl::StatusOr<std::vector<QuarantinedPart>> AskPeerForQuarantine(
    HttpClient& client,
    const std::string& address);

// Asks the router at `address` for a permit, as the granter of the server.
absl::StatusOr<PermitAnswer> AskPeerForPermit(HttpClient& client,
                                              const std::string& address,
                                              const PermitQuestion& question);

// Tells the router at `address` what servers said of their limits.
absl::Status TellPeerOfLimits(
    HttpClient& client,
    const std::string& address,
    const std::vector<ServerLimitStatement>& statements);

// Returns what the router at `address` knows of servers' limits.
absl::StatusOr<std::vector<ServerLimitStatement>> AskPeerForLimits(
    HttpClient& client,
    const std::string& address);

// Asks the router at `address` for bids of servers whose load it coordinates.
// After an error the request may have been placed.
absl::StatusOr<PlacementReply> AskPeerForPlacement(
    HttpClient& client,
    const std::string& address,
    const PlacementQuestion& question,
    absl::Duration timeout);

// Tells the router at `address`, as the coordinator of servers, of requests.
absl::Status ReportLoadToPeer(HttpClient& client,
                              const std::string& address,
                              const LoadReport& report);

// A quarantined part as a record in the store. Times of day are used in it, so
// it may end early or late by the difference of two VMs' clocks.
std::string EncodeQuarantine(const QuarantinedPart& part);
absl::StatusOr<QuarantinedPart> DecodeQuarantine(const StoredValue& record);

// What a router does when another one calls.
struct PeerHandlers {
  std::function<TransferAnswer(const TransferQuestion&)> give;
  std::function<void(const std::string& workspace, int64_t tokens)> take;
  // The record of the configuration in force if it is newer than `version`.
  std::function<std::optional<StoredValue>(int64_t version)> configuration;
  std::function<ServersReport(const StorePosition& known)> servers;
  std::function<std::optional<EvacuationReport>()> evacuations;
  std::function<void(const ServerCrash& crash, const std::string& peer)> crash;
  std::function<void(const std::vector<std::string>& parts)> sound;
  std::function<std::vector<QuarantinedPart>()> quarantine;
  std::function<PermitAnswer(const PermitQuestion&)> permit;
  std::function<void(const std::vector<ServerLimitStatement>&)> limits_told;
  std::function<std::vector<ServerLimitStatement>()> limits;
  std::function<PlacementReply(const PlacementQuestion&)> placement;
  std::function<void(const LoadReport&)> load_report;
};
void ServePeer(const HttpRequest& request,
               const PeerHandlers& handlers,
               ResponseWriter& writer);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_PEER_SERVICE_H_
