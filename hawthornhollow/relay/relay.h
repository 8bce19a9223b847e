#ifndef HAWTHORNHOLLOW_RELAY_RELAY_H_
#define HAWTHORNHOLLOW_RELAY_RELAY_H_

// A router for deployments in which routers reach backend servers directly and
// share only a store of records. This header declares the decisions as plain
// classes without I/O (which route, which server, whether to retry, what has
// been answered) and the data types of the controllers that carry them out.
//
// The outside world is reached through two concepts, so that nothing here
// depends on a deployment's message formats:
//
//   SharedStore    keyed records that survive the loss of any VM
//   MessageCodec   decodes requests and configuration, encodes attempts
//
//   RelayInstance<MyStore, MyMessageCodec> instance(settings, runtime, store);
//   absl::Status status = instance.Start();
//
// relay_instance.h assembles the parts.

#include <concepts>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "hawthornhollow/http/http.h"
#include "hawthornhollow/relay/backend_server.h"
#include "hawthornhollow/relay/event_splitter.h"
#include "hawthornhollow/relay/prompt_placement.h"
#include "hawthornhollow/relay/routing_table.h"
#include "hawthornhollow/relay/shared_store.h"
#include "hawthornhollow/runtime/runtime.h"

namespace hawthornhollow {

// ---------------------------------------------------------------------------
// Requests and attempts, decoded

// A caller's request.
struct RelayCall {
  std::string id;
  std::string host;
  std::string path;
  std::string key;  // empty if none was sent
  std::optional<absl::Duration> time_limit;
  int64_t prompt_tokens = 0;
  int64_t max_output_tokens = 0;
  std::vector<PromptPart> prompt;
  // Id of the last event that the caller received of an earlier stream.
  std::optional<int64_t> resume_after;
};

// One attempt of a request at a server.
struct RelayAttempt {
  std::string server_id;
  std::string workspace;  // empty if the request has none
  absl::Duration time_left;
  int64_t urgency = 0;  // 0 is the most urgent
  std::optional<int64_t> resume_after;
};

// What a server says of itself in an answer.
struct ServerStatement {
  // It will exit soon, and wants no more requests.
  bool is_leaving = false;
  // Requests per second that the server takes from all routers together, for as
  // long as its answers say so; unset if this one states no limit.
  std::optional<double> requests_per_second;
  // How much longer the server is cold; zero: it is not. Unset if this answer
  // says nothing of it.
  std::optional<absl::Duration> cold_for;
  // It turned this request away, and wants none from this router for so long.
  std::optional<absl::Duration> rest_for;
  // Why what it states of each cannot be used; empty if it can, or nothing is
  // stated.
  std::string bad_leaving;
  std::string bad_limit;
  std::string bad_cold;
  std::string bad_rest;
  friend bool operator==(const ServerStatement&,
                         const ServerStatement&) = default;
};

// The decoded head of a server's answer.
struct ReplyHead {
  int status = 0;
  std::string call_id;  // id of the request that it answers
  // The server did not execute the request and never will.
  bool not_run = false;
  bool sealed = false;  // carries the server's proof of origin
  ServerStatement statement;
  HttpHeaders headers;  // to be passed to the caller
};

// An error that the router itself reports to a caller.
enum class RelayError {
  kBadRequest,
  kUnknownRoute,
  kUnknownKey,
  kBodyTooLarge,  // over the configuration's limit; not executed
  kTotalSpent,
  kNotReady,           // no configuration loaded yet
  kNoServer,           // no usable server; the request was not executed
  kRefused,            // servers refused; the request was not executed
  kTokensUnavailable,  // tokens may be left, but not at this router in time
  kOutcomeUnknown,     // it may have been executed; there is no answer
  kServersFull,        // no server has room for it; not executed
  kServersLimited,     // servers take no more requests now; not executed
  kServersResting,     // servers asked for a rest; not executed
  kDomainsEvacuated,   // all servers are in evacuated domains; not executed
  kStopping,           // the router stops before it could end; not executed
  kPromptQuarantined,  // a part of its prompt crashes servers; not executed
  kTimedOut,           // it may have been executed; the deadline passed
};
struct RelayErrorTraits {
  int status;
  std::string_view code;
  std::string_view message;
};
RelayErrorTraits TraitsOf(RelayError error);
// Whether callers take this status for the promise that their request was not
// executed and never will be. Only the router gives it: a server states that it
// did not execute a request by ReplyHead::not_run, whatever its status.
bool PromisesNotRun(int status);

// ---------------------------------------------------------------------------
// The outside world

// The message formats of a deployment.
template <typename T>
concept MessageCodec = requires(const HttpRequest& request,
                                const HttpHead& head,
                                const RelayCall& call,
                                const RelayAttempt& attempt,
                                const StoredValue& value) {
  {
    T::DecodeConfiguration(value)
    } -> std::same_as<absl::StatusOr<std::shared_ptr<const RoutingTable>>>;
  { T::DecodeServer(value) } -> std::same_as<absl::StatusOr<RelayServer>>;
  // The failure domain that the operator takes out by a record of the
  // configuration's subject; nullopt for any other record.
  { T::DecodeEvacuation(value) } -> std::same_as<std::optional<std::string>>;
  { T::DecodeCall(request) } -> std::same_as<absl::StatusOr<RelayCall>>;
  { T::EncodeAttempt(request, attempt) } -> std::same_as<HttpRequest>;
  { T::DecodeReply(head) } -> std::same_as<ReplyHead>;
  {
    T::EncodeRefusal(call, RelayError::kNoServer, absl::Duration())
    } -> std::same_as<HttpResponse>;
  { T::kConfigurationKey } -> std::convertible_to<std::string_view>;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_RELAY_H_
