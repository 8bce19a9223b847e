#ifndef HAWTHORNHOLLOW_RELAY_RELAY_H_
#define HAWTHORNHOLLOW_RELAY_RELAY_H_

// A router for deployments in which routers reach backend servers directly, and
// share nothing but a store of records. Decisions in plain classes without I/O:
// which route, which server, whether to try again, what has been answered; and
// the controllers and the runner that carry them out.
//
// The outside world is reached through two concepts, so that nothing here knows
// how a deployment spells its messages:
//
//   SharedStore   keyed records that outlive every VM
//   Dialect       decodes requests and configuration, encodes attempts
//
//   RelayInstance<MyStore, MyDialect> instance(settings, runtime, store);
//   absl::Status status = instance.Start();
//
// relay_instance.h puts the parts together.

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
// What the operator configures

// What may be repeated of a route's requests.
enum class RouteKind {
  kIdempotent,     // may run more than once
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
  // The longest that a request is kept waiting for its answer.
  absl::Duration timeout = absl::Seconds(30);
  // Until the answer, or the first event of a stream, has its full value.
  absl::Duration target = absl::Seconds(1);
  int64_t priority = 0;                   // 0 is the most urgent
  std::vector<WeightedService> services;  // never empty
  int64_t max_attempts = 1;               // servers that one request may try
  bool is_public = false;                 // needs no key
  bool resumable = false;  // a broken stream may go on at another server
  friend auto operator<=>(const RelayRoute&, const RelayRoute&) = default;
};

struct RelayService {
  std::string name;
  // Tokens in one event of a stream, at most; 0 if the service has no tokens.
  int64_t tokens_per_event = 0;
  friend auto operator<=>(const RelayService&, const RelayService&) = default;
};

struct RelayWorkspace {
  std::string name;
  std::vector<std::string> keys;
  // Goes before the route's priority.
  std::optional<int64_t> priority;
  // Tokens that the workspace may consume; none: no total is kept.
  std::optional<int64_t> prepaid;
  friend auto operator<=>(const RelayWorkspace&,
                          const RelayWorkspace&) = default;
};

// What callers may send, and how long they may take.
struct RequestLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 4 * 1024 * 1024;
  absl::Duration request_timeout = absl::Seconds(10);
  absl::Duration idle_timeout = absl::Seconds(60);
  friend auto operator<=>(const RequestLimits&, const RequestLimits&) = default;
};

// One version of the operator's configuration. Immutable; a request keeps the
// one with which it began.
class RoutingTable {
 public:
  struct Parts {
    int64_t version = 0;
    std::vector<RelayRoute> routes;
    std::vector<RelayService> services;
    std::vector<RelayWorkspace> workspaces;
    RequestLimits limits;
  };

  // INVALID_ARGUMENT if a route names no service, or a name comes twice.
  static absl::StatusOr<std::shared_ptr<const RoutingTable>> Create(
      Parts parts);

  int64_t version() const { return parts_.version; }
  const std::vector<RelayRoute>& routes() const { return parts_.routes; }
  const std::vector<RelayWorkspace>& workspaces() const {
    return parts_.workspaces;
  }
  const RequestLimits& limits() const { return parts_.limits; }

  // The host's route with the longest prefix of the path; null if none.
  const RelayRoute* Match(std::string_view host, std::string_view path) const;
  const RelayWorkspace* FindByKey(std::string_view key) const;
  // Null for a service that is routed to and not described.
  const RelayService* FindService(std::string_view name) const;

 private:
  explicit RoutingTable(Parts parts) : parts_(std::move(parts)) {}

  Parts parts_;
  // Routes of a host, the longest prefix first.
  std::map<std::string, std::vector<const RelayRoute*>, std::less<>> by_host_;
  std::map<std::string, const RelayWorkspace*, std::less<>> by_key_;
  std::map<std::string, const RelayService*, std::less<>> by_service_;
};

// ---------------------------------------------------------------------------
// Backend servers

// One incarnation of a backend server, as it registered itself.
struct RelayServer {
  std::string id;
  std::string service;
  Endpoint address;
  std::string failure_domain;
  int64_t slots = 1;
  bool leaving = false;
  friend auto operator<=>(const RelayServer&, const RelayServer&) = default;
};

// A part of a prompt; equal ids are equal text.
struct PromptPart {
  std::string id;
  int64_t tokens = 0;
  friend auto operator<=>(const PromptPart&, const PromptPart&) = default;
};

struct PlacementOptions {
  // Tokens of a prompt that a server reads in a millisecond.
  double prompt_tokens_per_ms = 38;
  // Added to the predicted wait for each request in flight from here.
  absl::Duration wait_per_request = absl::Milliseconds(4);
  // Another failure domain's price: bytes and delay.
  absl::Duration other_domain = absl::Milliseconds(3);
  // How long a prompt part is taken to stay in a server's cache.
  absl::Duration cache_time = absl::Seconds(20);
  // A server that gave no sign of life is left out for this long at first, and
  // up to the second figure when it goes on.
  absl::Duration suspect_min = absl::Milliseconds(700);
  absl::Duration suspect_max = absl::Seconds(5);
  // A server that fails all requests counts as this much slower.
  absl::Duration failure_price = absl::Seconds(2);
  // The time over which failures are averaged.
  absl::Duration failure_time = absl::Seconds(3);
  friend auto operator<=>(const PlacementOptions&,
                          const PlacementOptions&) = default;
};

struct PlacementQuery {
  std::string service;
  std::vector<PromptPart> prompt;  // in order
  int64_t prompt_tokens = 0;
  std::string failure_domain;   // of the router
  std::set<std::string> avoid;  // server ids
};

// Chooses the server with the shortest predicted wait for the first token:
// prompts that it has still to read, and what of this one it has not cached. A
// part of a prompt has a home, the same for all routers, where it is taken to
// be cached.
class PromptPlacement {
 public:
  explicit PromptPlacement(const PlacementOptions& options);

  void SetServers(const std::vector<RelayServer>& servers);

  struct Choice {
    RelayServer server;
    // Of the prompt, as far as known not in the server's cache.
    int64_t uncached_tokens = 0;
    // For the first token, as far as known here.
    absl::Duration predicted_wait;
    // Which entry of the server counts the request: one that went and came back
    // counts anew.
    uint64_t entry = 0;
    friend auto operator<=>(const Choice&, const Choice&) = default;
  };
  // Counts the request as in flight at the server. NOT_FOUND if no server of
  // the service may be used.
  absl::StatusOr<Choice> Choose(const PlacementQuery& query, absl::Time now);

  // What became of a choice. OnFirstToken may be called once, or never.
  void OnFirstToken(const Choice& choice);
  enum class Outcome {
    kAnswered,   // whole, whatever its status
    kFailed,     // an error of the server's own, or a broken answer
    kSilent,     // no connection, or no sign of life in time
    kAbandoned,  // says nothing of the server
  };
  void OnFinished(const Choice& choice,
                  bool had_first_token,
                  Outcome outcome,
                  absl::Time now);

  int64_t in_flight(std::string_view server) const;
  bool IsSuspect(std::string_view server, absl::Time now) const;

 private:
  struct State {
    RelayServer server;
    uint64_t id_hash = 0;
    uint64_t entry = 0;
    int64_t in_flight = 0;
    int64_t unread_tokens = 0;  // of prompts without their first token
    std::map<std::string, absl::Time> cached;  // part -> last use from here
    double failures = 0;                       // share, averaged
    absl::Time failures_at = absl::InfinitePast();
    absl::Duration suspect_for;
    absl::Time suspect_until = absl::InfinitePast();
  };

  // The server's state if it still counts the request, else null.
  State* Find(const Choice& choice);
  std::vector<State*> Candidates(const PlacementQuery& query, absl::Time now);
  int64_t Uncached(const State& state,
                   bool is_home,
                   const PlacementQuery& query,
                   int64_t tokens,
                   absl::Time now) const;
  double FailureShare(const State& state, absl::Time now) const;
  absl::Duration PredictedWait(const State& state,
                               int64_t uncached,
                               const PlacementQuery& query,
                               absl::Time now) const;
  void Remember(State* state, const PlacementQuery& query, absl::Time now);

  const PlacementOptions options_;
  std::map<std::string, State, std::less<>> servers_;
  uint64_t entries_ = 0;
};

// The part of a prompt by which its home is chosen: the last that other
// requests share. Empty if there is none.
std::string HomeKey(const std::vector<PromptPart>& prompt);

// ---------------------------------------------------------------------------
// Event streams

// One event with its bytes as they came, the blank line at its end included.
struct StreamEvent {
  std::optional<int64_t> id;
  std::string bytes;
  friend auto operator<=>(const StreamEvent&, const StreamEvent&) = default;
};

// Cuts a text/event-stream into events, whatever pieces it arrives in.
class EventSplitter {
 public:
  // Events that are whole by now.
  std::vector<StreamEvent> Feed(std::string_view piece);
  // Bytes of an event that is not whole.
  const std::string& rest() const { return rest_; }

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
  std::string key;  // empty: none was sent
  std::optional<absl::Duration> time_limit;
  int64_t prompt_tokens = 0;
  int64_t max_output_tokens = 0;
  std::vector<PromptPart> prompt;
  // The last event that the caller has of an earlier stream.
  std::optional<int64_t> resume_after;
};

// One try of a request at a server.
struct RelayAttempt {
  std::string server_id;
  std::string workspace;  // empty: none
  absl::Duration time_left;
  int64_t urgency = 0;  // 0 is first
  std::optional<int64_t> resume_after;
};

// What the head of a server's answer says.
struct ReplyHead {
  int status = 0;
  std::string call_id;   // of the request that it answers
  bool not_run = false;  // the server did not run the request and never will
  bool sealed = false;   // bears the server's proof that it is its own
  HttpHeaders headers;   // for the caller
};

// A refusal or failure of the router's own.
enum class RelayError {
  kBadRequest,
  kUnknownRoute,
  kUnknownKey,
  kTotalSpent,
  kNotReady,        // no configuration yet
  kNoServer,        // none that may be used; the request did not run
  kRefused,         // servers refused; the request did not run
  kTotalNotAtHand,  // tokens may be left, but not here and now
  kOutcomeUnknown,  // it may have run, and there is no answer
  kTimedOut,        // it may have run, and time is up
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
  std::string value;  // empty: the key is dropped
  int64_t offset = 0;
  friend auto operator<=>(const StoredValue&, const StoredValue&) = default;
};
struct StoredPage {
  std::vector<StoredValue> values;
  int64_t end = 0;  // the offset of the next record
  friend auto operator<=>(const StoredPage&, const StoredPage&) = default;
};
enum class StoreSubject {
  kConfiguration,
  kServers,
  kAuthorities,  // routers' authority records, by router
  kLevels,       // routers' level records, by router
};

// A record's place among its writer's: sequences have no gaps within an epoch,
// and nothing of an epoch is taken once a later one has begun.
struct WriterPlace {
  std::string writer;
  int64_t epoch = 0;
  int64_t sequence = 0;
  friend auto operator<=>(const WriterPlace&, const WriterPlace&) = default;
};

// Records by key that outlive every VM.
//   Newest     the newest record of each key.
//   ReadFrom   records from an offset on, at once; OUT_OF_RANGE if some of them
//              are gone.
//   PutAt      puts a record if `at` is the end; FAILED_PRECONDITION if it is
//              not. After any other error it may have been put, or may be for a
//              while.
//   PutNext    puts a record that follows its writer's last one; a repeat of
//   the
//              last changes nothing and is OK. FAILED_PRECONDITION if it does
//              not follow. Other errors as PutAt's.
template <typename T>
concept SharedStore = requires(T store, const std::string& text) {
  {
    store.Newest(StoreSubject::kServers, absl::Duration())
    } -> std::same_as<absl::StatusOr<StoredPage>>;
  {
    store.ReadFrom(StoreSubject::kServers, int64_t{}, absl::Duration())
    } -> std::same_as<absl::StatusOr<StoredPage>>;
  {
    store.PutAt(StoreSubject::kAuthorities, text, text, int64_t{},
                absl::Duration())
    } -> std::same_as<absl::StatusOr<int64_t>>;
  {
    store.PutNext(StoreSubject::kLevels, text, text, WriterPlace(),
                  absl::Duration())
    } -> std::same_as<absl::Status>;
};

// How a deployment spells its messages.
template <typename T>
concept Dialect = requires(const HttpRequest& request,
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
