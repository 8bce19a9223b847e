#ifndef HAWTHORNHOLLOW_RELAY_PROMPT_PLACEMENT_H_
#define HAWTHORNHOLLOW_RELAY_PROMPT_PLACEMENT_H_

// Chooses a backend server for a prompt from what this router itself has sent.

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "hawthornhollow/relay/backend_server.h"
#include "hawthornhollow/relay/prefill_queue.h"

namespace hawthornhollow {

struct PlacementOptions {
  // Prompt tokens that a server processes per millisecond, until its first
  // tokens show its own speed.
  double prompt_tokens_per_ms = 38;
  // Whether the speed of each server is learned, and the tokens of a prompt
  // count less as it is processed. If not, all servers have the same speed, and
  // the tokens of a prompt count in full until its first token.
  bool learn_speed = true;
  // With learned speeds, processing a shared part again counts this often in
  // addition, as small errors of the speeds would spread copies of parts.
  double copy_weight = 0.5;
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

// The servers that a request may go to.
struct PlacementShortlist {
  // Ids of a few, the preferred one first, and of some others in the order of
  // their predicted wait.
  std::vector<std::string> first;
  std::vector<std::string> more;
  // Whether these are all.
  bool is_whole_service = false;
};

// Chooses the server with the shortest predicted wait for the first token. The
// wait covers prompts that the server has still to process and the part of this
// prompt that it has not cached. All routers agree on one server for each
// shared prompt part, where the part is assumed to be cached.
class PromptPlacement {
 public:
  explicit PromptPlacement(const PlacementOptions& options);

  void SetServers(const std::vector<RelayServer>& servers);
  // Servers of these failure domains are not chosen.
  void SetEvacuatedDomains(const std::set<std::string>& domains) {
    evacuated_domains_ = domains;
  }

  struct Choice {
    RelayServer server;
    // Prompt tokens that are not known to be in the server's cache.
    int64_t uncached_tokens = 0;
    // Predicted time until the first token, as far as this router knows.
    absl::Duration predicted_wait;
    // Identifies the registration of the server that counts the request. A
    // server that was removed and listed again counts from zero.
    uint64_t registration = 0;
    // Identifies the request.
    uint64_t sequence = 0;
    friend auto operator<=>(const Choice&, const Choice&) = default;
  };
  // Chooses a server. Returns NOT_FOUND if no server of the service may be
  // used.
  absl::StatusOr<Choice> Propose(const PlacementQuery& query, absl::Time now);
  // Names servers among which the load known to other routers decides: those
  // preferred for the shared part, and some that `request` chooses, so that
  // requests without a shared part are spread.
  PlacementShortlist Shortlist(const PlacementQuery& query,
                               std::string_view request,
                               absl::Time now);
  // The same as Propose(), for this server. NOT_FOUND if it may not be used.
  absl::StatusOr<Choice> ProposeServer(const PlacementQuery& query,
                                       std::string_view server,
                                       absl::Time now);
  // Counts the request as in flight at the proposed server.
  void Begin(const Choice& choice, const PlacementQuery& query, absl::Time now);
  // Both in one.
  absl::StatusOr<Choice> Choose(const PlacementQuery& query, absl::Time now);

  // Reports the progress of a choice. OnFirstToken is called at most once;
  // OnFinished is called once.
  void OnFirstToken(const Choice& choice, absl::Time now);
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

  // Ids of the service's servers that are not leaving, nor in an evacuated
  // domain.
  std::vector<std::string> ServersOf(std::string_view service) const;
  bool IsEvacuated(const RelayServer& server) const {
    return evacuated_domains_.contains(server.failure_domain);
  }
  // Whether the service has servers that are not leaving, and all of them are
  // in evacuated domains.
  bool IsServiceEvacuated(std::string_view service) const;
  int64_t in_flight(std::string_view server) const;
  bool IsSuspect(std::string_view server, absl::Time now) const;

 private:
  struct State {
    explicit State(const PrefillQueueOptions& options) : queue(options) {}

    RelayServer server;
    uint64_t id_hash = 0;
    uint64_t registration = 0;
    int64_t in_flight = 0;
    int64_t unread_tokens = 0;  // of prompts that have no first token yet
    PrefillQueue queue;         // the same prompts
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
  absl::Duration PrefillWait(const State& state,
                             int64_t uncached,
                             const PlacementQuery& query,
                             absl::Time now) const;
  absl::Duration PredictedWait(const State& state,
                               int64_t uncached,
                               const PlacementQuery& query,
                               absl::Time now) const;
  void RecordCachedParts(State* state,
                         const PlacementQuery& query,
                         absl::Time now);

  const PlacementOptions options_;
  std::map<std::string, State, std::less<>> servers_;
  std::set<std::string> evacuated_domains_;
  uint64_t last_registration_ = 0;
  uint64_t last_sequence_ = 0;
};

// Returns the prompt part that determines the preferred server: the last part
// that is shared with other requests. Empty if there is none.
std::string PreferenceKey(const std::vector<PromptPart>& prompt);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_PROMPT_PLACEMENT_H_
