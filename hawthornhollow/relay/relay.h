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
//   SharedStore   keyed records that survive the loss of any VM
//   MessageCodec       decodes requests and configuration, encodes attempts
//
//   RelayInstance<MyStore, MyMessageCodec> instance(settings, runtime, store);
//   absl::Status status = instance.Start();
//
// relay_instance.h assembles the parts.

#include <compare>
#include <concepts>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "hawthornhollow/http/http.h"
#include "hawthornhollow/runtime/runtime.h"

namespace hawthornhollow {

// ---------------------------------------------------------------------------
// Operator configuration

// How often a route's requests may be executed.
enum class RouteKind {
  kIdempotent,     // may be executed more than once
  kNonIdempotent,  // at most once
  kStream,         // an event stream; at most once unless resumable
};

struct WeightedService {
  std::string service;
  int64_t weight = 1;
  friend auto operator<=>(const WeightedService&,
                          const WeightedService&) = default;
};

struct RelayRoute {
  std::string name;
  std::string host;
  std::string prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  // Longest time until a request is answered.
  absl::Duration timeout = absl::Seconds(30);
  // Latency within which the answer, or the first event of a stream, has its
  // full value to the caller.
  absl::Duration latency_target = absl::Seconds(1);
  int64_t priority = 0;                   // 0 is the most urgent
  std::vector<WeightedService> services;  // never empty
  int64_t max_attempts = 1;               // attempts for one request
  bool is_public = false;                 // requires no API key
  bool resumable = false;  // a broken stream may continue on another server
  friend auto operator<=>(const RelayRoute&, const RelayRoute&) = default;
};

struct RelayService {
  std::string name;
  // Upper bound on tokens in one stream event; 0 if the service has no tokens.
  int64_t tokens_per_event = 0;
  friend auto operator<=>(const RelayService&, const RelayService&) = default;
};

struct RelayWorkspace {
  std::string name;
  std::vector<std::string> keys;
  // Takes precedence over the route's priority.
  std::optional<int64_t> priority;
  // Tokens that the workspace may consume; unset if it has no prepaid total.
  std::optional<int64_t> prepaid;
  friend auto operator<=>(const RelayWorkspace&,
                          const RelayWorkspace&) = default;
};

// Limits on what callers may send and how long they may take.
struct RequestLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 4 * 1024 * 1024;
  absl::Duration request_timeout = absl::Seconds(10);
  absl::Duration idle_timeout = absl::Seconds(60);
  friend auto operator<=>(const RequestLimits&, const RequestLimits&) = default;
};

// One version of the operator's configuration. Immutable; a request uses the
// version that was in force when it began.
class RoutingTable {
 public:
  struct Parts {
    int64_t version = 0;
    std::vector<RelayRoute> routes;
    std::vector<RelayService> services;
    std::vector<RelayWorkspace> workspaces;
    RequestLimits limits;
  };

  // Returns INVALID_ARGUMENT if a route has no service, a key is listed twice
  // or a service is described twice.
  static absl::StatusOr<std::shared_ptr<const RoutingTable>> Create(
      Parts parts);

  int64_t version() const { return parts_.version; }
  const std::vector<RelayRoute>& routes() const { return parts_.routes; }
  const std::vector<RelayWorkspace>& workspaces() const {
    return parts_.workspaces;
  }
  const RequestLimits& limits() const { return parts_.limits; }

  // Returns the host's route with the longest matching path prefix; null if
  // none matches.
  const RelayRoute* Match(std::string_view host, std::string_view path) const;
  const RelayWorkspace* FindByKey(std::string_view key) const;
  // Returns null for a service that routes refer to but that is not described.
  const RelayService* FindService(std::string_view name) const;

 private:
  explicit RoutingTable(Parts parts) : parts_(std::move(parts)) {}

  Parts parts_;
  // Routes of each host, longest prefix first.
  std::map<std::string, std::vector<const RelayRoute*>, std::less<>> by_host_;
  std::map<std::string, const RelayWorkspace*, std::less<>> by_key_;
  std::map<std::string, const RelayService*, std::less<>> by_service_;
};

// ---------------------------------------------------------------------------
// Backend servers

// Orders what a server says of itself: by its start, then by a count.
struct ServerRevision {
  int64_t born_ms = 0;  // milliseconds since 1970
  int64_t sequence = 0;
  friend auto operator<=>(const ServerRevision&,
                          const ServerRevision&) = default;
};

// One incarnation of a backend server, as it registered itself.
struct RelayServer {
  std::string id;
  std::string service;
  Endpoint address;
  std::string failure_domain;
  int64_t slots = 1;
  bool leaving = false;
  ServerRevision revision;
  friend auto operator<=>(const RelayServer&, const RelayServer&) = default;
};

// A part of a prompt. Parts with equal ids have equal text.
struct PromptPart {
  std::string id;
  int64_t tokens = 0;
  friend auto operator<=>(const PromptPart&, const PromptPart&) = default;
};

struct PlacementOptions {
  // Prompt tokens that a server processes per millisecond.
  double prompt_tokens_per_ms = 38;
  // Added to the predicted wait for each request that this router has in flight
  // at the server.
  absl::Duration wait_per_request = absl::Milliseconds(4);
  // Added for a server in another failure domain, for the cost of traffic and
  // the latency.
  absl::Duration cross_domain_penalty = absl::Milliseconds(3);
  // How long a prompt part is assumed to stay in a server's cache.
  absl::Duration cache_time = absl::Seconds(20);
  // A server that did not respond is excluded for `suspect_min` at first,
  // doubling with each further failure to respond up to `suspect_max`.
  absl::Duration suspect_min = absl::Milliseconds(700);
  absl::Duration suspect_max = absl::Seconds(5);
  // Added to the predicted wait of a server that fails all requests; in
  // proportion for one that fails some.
  absl::Duration failure_penalty = absl::Seconds(2);
  // Time constant of the decaying average of failures.
  absl::Duration failure_decay = absl::Seconds(3);
  friend auto operator<=>(const PlacementOptions&,
                          const PlacementOptions&) = default;
};

struct PlacementQuery {
  std::string service;
  std::vector<PromptPart> prompt;  // in order of the text
  int64_t prompt_tokens = 0;
  std::string failure_domain;              // of this router
  std::set<std::string> excluded_servers;  // ids, not to be chosen
};

// Chooses the server with the shortest predicted wait for the first token. The
// wait covers prompts that the server has still to process and the part of this
// prompt that it has not cached. All routers agree on one server for each
// shared prompt part, where the part is assumed to be cached.
class PromptPlacement {
 public:
  explicit PromptPlacement(const PlacementOptions& options);

  void SetServers(const std::vector<RelayServer>& servers);

  struct Choice {
    RelayServer server;
    // Prompt tokens that are not known to be in the server's cache.
    int64_t uncached_tokens = 0;
    // Predicted time until the first token, as far as this router knows.
    absl::Duration predicted_wait;
    // Identifies the registration of the server that counts the request. A
    // server that was removed and listed again counts from zero.
    uint64_t registration = 0;
    friend auto operator<=>(const Choice&, const Choice&) = default;
  };
  // Chooses a server. Returns NOT_FOUND if no server of the service may be
  // used.
  absl::StatusOr<Choice> Propose(const PlacementQuery& query, absl::Time now);
  // Counts the request as in flight at the proposed server.
  void Begin(const Choice& choice, const PlacementQuery& query, absl::Time now);
  // Both in one.
  absl::StatusOr<Choice> Choose(const PlacementQuery& query, absl::Time now);

  // Reports the progress of a choice. OnFirstToken is called at most once;
  // OnFinished is called once.
  void OnFirstToken(const Choice& choice);
  enum class Outcome {
    kAnswered,    // a complete answer, with any status
    kFailed,      // a server error, or an incomplete answer
    kNoResponse,  // no connection, or no response in time
    kAbandoned,   // gives no information about the server
  };
  void OnFinished(const Choice& choice,
                  bool had_first_token,
                  Outcome outcome,
                  absl::Time now);

  // The chosen server has said that it leaves: it is chosen no more, unless it
  // has started anew since.
  void SetLeaving(const Choice& choice);

  // Ids of the service's servers that are not leaving.
  std::vector<std::string> ServersOf(std::string_view service) const;
  int64_t in_flight(std::string_view server) const;
  bool IsSuspect(std::string_view server, absl::Time now) const;

 private:
  struct State {
    RelayServer server;
    uint64_t id_hash = 0;
    uint64_t registration = 0;
    int64_t in_flight = 0;
    int64_t unread_tokens = 0;  // of prompts that have no first token yet
    // Prompt part id -> time of its last use by this router.
    std::map<std::string, absl::Time> cached;
    double failures = 0;  // averaged fraction of failed requests
    absl::Time failures_at = absl::InfinitePast();
    absl::Duration suspect_for;
    absl::Time suspect_until = absl::InfinitePast();
  };

  // Returns the server's state if it is still the registration that counts the
  // request, else null.
  State* Find(const Choice& choice);
  std::vector<State*> Candidates(const PlacementQuery& query, absl::Time now);
  int64_t UncachedTokens(const State& state,
                         bool is_preferred,
                         const PlacementQuery& query,
                         int64_t tokens,
                         absl::Time now) const;
  double FailureShare(const State& state, absl::Time now) const;
  absl::Duration PredictedWait(const State& state,
                               int64_t uncached,
                               const PlacementQuery& query,
                               absl::Time now) const;
  void RecordCachedParts(State* state,
                         const PlacementQuery& query,
                         absl::Time now);

  const PlacementOptions options_;
  std::map<std::string, State, std::less<>> servers_;
  uint64_t last_registration_ = 0;
};

// Returns the prompt part that determines the preferred server: the last part
// that is shared with other requests. Empty if there is none.
std::string PreferenceKey(const std::vector<PromptPart>& prompt);

// ---------------------------------------------------------------------------
// Event streams

// One event with its bytes as received, including the terminating blank line.
struct StreamEvent {
  std::optional<int64_t> id;
  std::string bytes;
  // Consists of comment lines only, which keep a connection open and say
  // nothing of the answer.
  bool is_comment = false;
  friend auto operator<=>(const StreamEvent&, const StreamEvent&) = default;
};

// Splits a text/event-stream into events, regardless of how it is divided into
// pieces.
class EventSplitter {
 public:
  // Returns the events that are complete by now.
  std::vector<StreamEvent> Feed(std::string_view piece);
  // Bytes of an incomplete event.
  const std::string& rest() const { return rest_; }
  // Whether a stream that ends with this `rest` ends inside an event, and not
  // after one, perhaps with a comment or an empty line.
  static bool IsInsideEvent(std::string_view rest);

 private:
  std::string rest_;
  size_t searched_ = 0;
};

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
  // Why what it states of either cannot be used; empty if it can, or nothing is
  // stated.
  std::string bad_leaving;
  std::string bad_limit;
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
  kTotalSpent,
  kNotReady,           // no configuration loaded yet
  kNoServer,           // no usable server; the request was not executed
  kRefused,            // servers refused; the request was not executed
  kTokensUnavailable,  // tokens may be left, but not at this router in time
  kOutcomeUnknown,     // it may have been executed; there is no answer
  kServersLimited,     // servers take no more requests now; not executed
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

// ---------------------------------------------------------------------------
// The outside world

struct StoredValue {
  std::string key;
  std::string value;  // empty if the key was deleted
  int64_t offset = 0;
  friend auto operator<=>(const StoredValue&, const StoredValue&) = default;
};
struct StoredPage {
  std::vector<StoredValue> values;
  int64_t end = 0;  // offset of the next record to be written
  friend auto operator<=>(const StoredPage&, const StoredPage&) = default;
};
enum class StoreSubject {
  kConfiguration,
  kServers,
  kAuthorities,  // routers' authority records, keyed by router
  kLevels,       // routers' level records, keyed by router
  kQuarantine,   // prompt parts that crash servers, keyed by part
};

std::string_view NameOf(StoreSubject subject);

// Up to where the records of a subject were read. An offset has a meaning only
// within its era: a store that comes back from an older copy has lost records,
// and gives their offsets out again.
struct StorePosition {
  int64_t era = 0;
  int64_t offset = 0;
  friend auto operator<=>(const StorePosition&, const StorePosition&) = default;
};

// Position of a record among those of its writer. Sequences are consecutive
// within an epoch, and no record of an epoch is accepted once a later epoch has
// begun.
struct WriterPosition {
  std::string writer;
  int64_t epoch = 0;
  int64_t sequence = 0;
  friend auto operator<=>(const WriterPosition&,
                          const WriterPosition&) = default;
};

// A store of keyed records that survive the loss of any VM.
//
//   Newest      Returns the newest record of each key.
//   ReadFrom    Returns records from an offset on, without waiting for new
//               ones. OUT_OF_RANGE if some of them were deleted.
//   AppendAt    Appends a record if `at` is the end offset, else returns
//               FAILED_PRECONDITION. After any other error the record may have
//               been written, or may still be for a while.
//   era         The number of times that the store came back from an older
//   copy,
//               by its newest answer. All results that are OK are of this era,
//               and of the era in which their call began. After another error
//               than OUT_OF_RANGE and FAILED_PRECONDITION it may have risen.
//   AppendNext  Appends a record that directly follows its writer's last one.
//               Idempotent: repeating the last record changes nothing and
//               returns OK. FAILED_PRECONDITION if the record does not follow.
//               Other errors as for AppendAt.
template <typename T>
concept SharedStore = requires(T store, const std::string& text) {
  { store.era() } -> std::same_as<int64_t>;
  {
    store.Newest(StoreSubject::kServers, absl::Duration())
    } -> std::same_as<absl::StatusOr<StoredPage>>;
  {
    store.ReadFrom(StoreSubject::kServers, int64_t{}, absl::Duration())
    } -> std::same_as<absl::StatusOr<StoredPage>>;
  {
    store.AppendAt(StoreSubject::kAuthorities, text, text, int64_t{},
                   absl::Duration())
    } -> std::same_as<absl::StatusOr<int64_t>>;
  {
    store.AppendNext(StoreSubject::kLevels, text, text, WriterPosition(),
                     absl::Duration())
    } -> std::same_as<absl::Status>;
};

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
