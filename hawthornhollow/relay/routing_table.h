#ifndef HAWTHORNHOLLOW_RELAY_ROUTING_TABLE_H_
#define HAWTHORNHOLLOW_RELAY_ROUTING_TABLE_H_

// One version of the operator's configuration: routes, services, workspaces
// and limits. Immutable.

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/time/time.h"

namespace hawthornhollow {

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
  // What one server of the service holds at most; 0 if unknown.
  int64_t slots = 0;
  int64_t memory_tokens = 0;
  // A cold server takes this many requests per second from all routers
  // together, for `cold_time` after it became cold; 0 if servers are never
  // cold.
  double cold_requests_per_second = 0;
  absl::Duration cold_time;
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
  const std::vector<RelayService>& services() const { return parts_.services; }
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

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_ROUTING_TABLE_H_
