#ifndef HAWTHORNHOLLOW_SCHEDULING_SCHEDULING_H_
#define HAWTHORNHOLLOW_SCHEDULING_SCHEDULING_H_

// Request scheduling: which waiting request runs next, on which server, and
// which requests are refused. These classes are not thread-safe, never block
// and take the current time as an argument. The caller must hold a lock around
// each object.
//
//   RankQueue queue(RankQueueOptions{...});
//   if (auto refused = queue.Offer(request, now)) Refuse(*refused);
//   while (auto id = queue.Take(now)) Dispatch(*id, chooser.Choose(...));
//   for (const Refusal& r : queue.Expire(now)) Refuse(r);

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"

namespace hawthornhollow {

// ---------------------------------------------------------------------------
// Policy

// How requests are ordered and assigned to servers. All policies except kRanks
// are simple baselines that exist only for comparison.
enum class SchedulingPolicy {
  kRanks,        // RankQueue and ServerChooser with all their rules
  kFifo,         // one queue in arrival order; servers with free slots
  kLeastLoaded,  // no queue; the server with the fewest requests in flight
  kRandom,       // no queue; a random server
};

// Parses "ranks", "fifo", "least_loaded" or "random". Returns nullopt for any
// other name.
std::optional<SchedulingPolicy> ParseSchedulingPolicy(std::string_view name);

// ---------------------------------------------------------------------------
// Queueing: strict priority between ranks, fair queueing within a rank

// A rank is a priority class.
struct RankPolicy {
  std::string name;
  int32_t order = 0;  // ranks with a lower order are served first
  // Target for the time from arrival to the first token of the answer.
  absl::Duration target = absl::Seconds(2);
  // Share of the dispatched tokens that the rank is guaranteed while higher
  // ranks have more work than the servers can do.
  double floor = 0;
  friend auto operator<=>(const RankPolicy&, const RankPolicy&) = default;
};

struct RankQueueOptions {
  SchedulingPolicy policy = SchedulingPolicy::kRanks;
  std::vector<RankPolicy> ranks;
  // Decay window of the dispatched tokens that are compared with the floors.
  absl::Duration floor_window = absl::Seconds(2);
  // Tokens that deficit round robin credits to a flow in each round.
  int64_t quantum_tokens = 512;
  // Maximum number of waiting requests over all ranks.
  size_t max_waiting = 20'000;
  // A request is refused when its predicted wait exceeds this fraction of the
  // target of its rank.
  double max_wait_fraction = 0.8;
  // Bounds of the Retry-After value of a refusal.
  absl::Duration retry_after_min = absl::Seconds(1);
  absl::Duration retry_after_max = absl::Seconds(60);
};

// A request that waits in a RankQueue.
struct QueuedRequest {
  uint64_t id = 0;
  std::string rank;
  std::string member;  // the organization that the caller belongs to
  std::string caller;
  int64_t cost_tokens = 0;  // estimated tokens of prompt and output
  absl::Time arrived;
  absl::Time deadline = absl::InfiniteFuture();  // set by the caller
  friend bool operator==(const QueuedRequest&, const QueuedRequest&) = default;
};

enum class RefusalCause {
  kOverload,   // would miss, or has missed, the target of its rank
  kDeadline,   // would miss, or has missed, the deadline set by the caller
  kQueueFull,  // too many requests are waiting
  kNoServer,   // no server that can run the request is connected
};

struct Refusal {
  uint64_t id = 0;
  RefusalCause cause = RefusalCause::kOverload;
  absl::Duration retry_after;
  friend bool operator==(const Refusal&, const Refusal&) = default;
};

// Slots on the servers of one queue, as this router knows them. A slot runs one
// request at a time.
struct SlotCounts {
  // Free slots that this router may use now. Routers that share the servers
  // each use only a part of the free slots, so that they do not all send
  // requests to the same one.
  int64_t claimable = 0;
  // Slots that are free for any router, according to the last server reports.
  int64_t idle = 0;
  int64_t total = 0;      // free or in use
  int64_t in_flight = 0;  // requests of this router that are running
  int64_t routers = 1;    // number of routers that share the servers
  friend bool operator==(const SlotCounts&, const SlotCounts&) = default;
};

// The waiting requests of one model or service. Ranks are served by strict
// priority, except that each rank gets at least its floor. Within a rank,
// deficit round robin divides the tokens fairly among members, and within a
// member among its callers. Request ids must be unique among the waiting
// requests. Call Expire after every Offer and on a timer, because accepting one
// request can evict another and Expire returns the evicted requests.
class RankQueue {
 public:
  explicit RankQueue(const RankQueueOptions& options);
  RankQueue(RankQueue&&) noexcept;
  RankQueue& operator=(RankQueue&&) noexcept;
  ~RankQueue();

  // Adds the request to the queue, or returns why it is refused. A request that
  // cannot meet its target or deadline is refused early, by this call or by the
  // next call of Expire. A request with an unknown rank joins the lowest rank.
  std::optional<Refusal> Offer(const QueuedRequest& request, absl::Time now);
  // Removes and returns the next request to dispatch. Assumes that one slot is
  // idle and claimable.
  std::optional<QueuedRequest> Take(absl::Time now);
  // Like Take(now), but decides by the slot counts whether a request may be
  // dispatched. Some idle slots are reserved for higher ranks that had requests
  // recently. The highest rank uses any idle slot at once, and a slot that is
  // claimable but not idle after a short wait.
  std::optional<QueuedRequest> Take(absl::Time now, const SlotCounts& slots);
  // Whether this is the rank that is served before all others.
  bool IsHighestRank(std::string_view rank) const;
  // Puts a request that Take returned, but that could not be dispatched, back
  // at the head of its caller's requests and cancels its charge.
  void PutBack(const QueuedRequest& request);
  // Removes a request whose caller has disconnected. Returns false if the
  // request is not waiting.
  bool Remove(uint64_t id);
  // Removes the requests that can no longer meet their target or deadline.
  // Returns them together with all requests evicted since the last call.
  std::vector<Refusal> Expire(absl::Time now);
  // Reports that a request has finished and freed its slot. `tokens` is its
  // `cost_tokens`. The service rate for predicted waits is measured from this.
  void OnRequestFinished(int64_t tokens, absl::Time now);
  // Reports the measured time from dispatch to first token. The allowed wait of
  // a request is its target less this time.
  void OnFirstToken(absl::Duration time_to_first_token);
  // Replaces the ranks. Waiting requests keep their position.
  void SetRanks(const std::vector<RankPolicy>& ranks);

  size_t waiting() const;
  int64_t waiting_tokens(std::string_view rank) const;
  // The predicted wait of a request from a caller that has no requests waiting.
  // Zero while the service rate is unknown.
  absl::Duration PredictedWait(std::string_view rank, absl::Time now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// ---------------------------------------------------------------------------
// Choice of backend server

// What this router knows about a backend server.
struct ServerView {
  std::string name;
  int64_t slots = 0;
  // Requests from all routers, according to the last report, which may be out
  // of date.
  int64_t reported_running = 0;
  bool connected = false;
  bool leaving = false;  // draining; receives no new requests
  friend bool operator==(const ServerView&, const ServerView&) = default;
};

struct ServerChooserOptions {
  SchedulingPolicy policy = SchedulingPolicy::kRanks;
  // Affinity is ignored when it would load the preferred server beyond this
  // multiple of the mean load per slot (consistent hashing with bounded loads).
  double bounded_load = 1.25;
  // Outlier detection: a server whose smoothed time to first token exceeds this
  // multiple of the median, or whose share of failed requests exceeds
  // `max_failure_share`, is ejected. While ejected it is used with only
  // `probe_slot_share` of its slots.
  double slow_ratio = 3.0;
  double max_failure_share = 0.5;
  double probe_slot_share = 0.05;
  // Upper bound on the share of the servers that are ejected at the same time.
  double max_ejected_share = 0.34;
  absl::Duration ejection_duration = absl::Seconds(5);
  // A new or readmitted server gets its slots gradually over this time.
  absl::Duration warm_up = absl::Seconds(5);
  // Half-life of reports of other routers' load and of smoothed samples. An
  // older report is not used as a count of running requests.
  absl::Duration half_life = absl::Seconds(3);
  // Affinity is always followed while less than this share of the preferred
  // server's slots is in use.
  double affinity_free_share = 0.25;
  // The share of each server's slots that this router may always use, whatever
  // load other routers are estimated to have there; at least one slot. Prevents
  // starvation of a router that starts while others hold all slots.
  double guaranteed_slot_share = 0.2;
  // Must differ between routers, so that their random choices differ.
  uint64_t seed = 0;
};

// The servers that ServerChooser::Choose considers: only those with a slot that
// this router may claim, or also those with any idle slot.
enum class ChoiceScope { kClaimable, kAnyIdle };

// Chooses a server for each request among the servers of one model or service.
// The load of a server is estimated from the requests that this router has in
// flight there and from the server's reports of its load from all routers.
class ServerChooser {
 public:
  explicit ServerChooser(const ServerChooserOptions& options);

  // Replaces the list of servers. A server that was not in the list before gets
  // its slots gradually.
  void SetServers(const std::vector<ServerView>& servers, absl::Time now);
  // Handles a load report of a server. `running` counts its requests from all
  // routers and `from_this_router` those from this router, as the server counts
  // them. If `from_this_router` is negative, this router's own in-flight count
  // is used instead.
  void OnReport(std::string_view server,
                int64_t running,
                absl::Time now,
                int64_t from_this_router = -1);
  void SetConnected(std::string_view server, bool connected, absl::Time now);
  void SetLeaving(std::string_view server, bool leaving);
  // Sets the number of routers that share the servers, including this one.
  // Until the next report of a server, a router uses only its part of the slots
  // that the last report showed as free.
  void SetRouters(int64_t routers);

  // Chooses a server for a request with this affinity key (empty for none),
  // except those in `avoid`, and counts the request as in flight there. Returns
  // nullopt if no server has a free slot. Servers with an idle slot are
  // preferred. With kAnyIdle the idle slot need not be claimable.
  std::optional<std::string> Choose(
      std::string_view affinity,
      const std::set<std::string>& avoid,
      absl::Time now,
      ChoiceScope scope = ChoiceScope::kClaimable);
  // Whether Choose would find a server with a claimable slot.
  bool HasFreeSlot(absl::Time now) const;
  // Reports the outcome of a request that Choose assigned to the server.
  // `time_to_first_token` is measured from dispatch. OnFinished ends the
  // in-flight count of the request.
  void OnFirstToken(std::string_view server,
                    absl::Duration time_to_first_token,
                    absl::Time now);
  void OnFinished(std::string_view server, bool failed, absl::Time now);

  // Requests of this router that are in flight on one server, or on all.
  int64_t InFlight(std::string_view server) const;
  int64_t InFlight() const;
  bool IsEjected(std::string_view server, absl::Time now) const;
  // Slots that this router may claim on all usable servers.
  int64_t ClaimableSlots(absl::Time now) const;
  // Slots that are free for any router, according to the last reports and to
  // the requests that this router has in flight.
  int64_t IdleSlots(absl::Time now) const;

 private:
  struct State {
    ServerView view;
    int64_t in_flight = 0;
    // Requests in flight from other routers: smoothed over reports, and by the
    // last report alone.
    double other_load = 0;
    int64_t reported_other_load = 0;
    double first_token_s = 0;  // smoothed time to first token, in seconds
    double failures = 0;       // smoothed share of failed requests
    int64_t first_tokens = 0;  // number of samples in first_token_s
    int64_t outcomes = 0;      // number of samples in failures
    absl::Time first_token_at = absl::InfinitePast();
    absl::Time outcome_at = absl::InfinitePast();
    absl::Time reported_at = absl::InfinitePast();
    // Maximum of in_flight until the next report.
    int64_t claim_limit = 0;
    // Start of the gradual increase of usable slots, after the server joined,
    // reconnected or was ejected.
    absl::Time warm_up_start = absl::InfinitePast();
    absl::Time disconnected_at = absl::InfinitePast();
    absl::Time ejected_until = absl::InfinitePast();
  };
  using Servers = std::map<std::string, State, std::less<>>;

  bool IgnoresSlots() const;
  bool IsUsable(const State& state) const;
  bool IsWarmingUp(const State& state, absl::Time now) const;
  bool HasWarmServer(absl::Time now) const;
  double UsableSlots(const State& state,
                     bool limit_warm_up,
                     absl::Time now) const;
  double OtherRoutersLoad(const State& state, absl::Time now) const;
  double ClaimableSlotsOf(const State& state,
                          bool limit_warm_up,
                          absl::Time now) const;
  int64_t ClaimLimitAfterReport(const State& state);
  int64_t IdleSlotsOf(const State& state,
                      bool limit_warm_up,
                      absl::Time now) const;
  std::vector<Servers::iterator> Candidates(const std::set<std::string>& avoid,
                                            absl::Time now,
                                            ChoiceScope scope);
  double EstimatedLoad(const State& state, absl::Time now) const;
  double RelativeCost(const State& state, absl::Time now) const;
  Servers::iterator PreferredByAffinity(
      std::string_view affinity,
      const std::vector<Servers::iterator>& candidates,
      absl::Time now);
  Servers::iterator BetterOfTwoRandom(
      const std::vector<Servers::iterator>& candidates,
      absl::Time now);
  Servers::iterator ChooseForBaselinePolicy(
      const std::vector<Servers::iterator>& candidates);
  double MedianFirstToken() const;
  bool IsOutlier(const State& state) const;
  void EjectIfOutlier(State& state, absl::Time now);
  double Smoothed(double old_value,
                  double sample,
                  absl::Time sampled_at,
                  absl::Time now) const;

  ServerChooserOptions options_;
  Servers servers_;
  int64_t routers_ = 1;
  std::mt19937_64 random_;
};

// ---------------------------------------------------------------------------
// Retries and limits

// Limits retries to a fraction of the first attempts, so that retries cannot
// multiply the load of failing servers.
class RetryBudget {
 public:
  // Allows `ratio` retries per first attempt, plus a burst of `burst` retries.
  RetryBudget(double ratio, double burst);
  // Changes the burst. A smaller burst also reduces the retries available now.
  void SetBurst(double burst);
  // Reports a first attempt.
  void OnAttempt();
  // Returns whether a retry is allowed, and counts it if so.
  bool TryRetry();
  double available_retries() const { return available_retries_; }

 private:
  double ratio_;
  double burst_;
  double available_retries_;
};

// Limits of one caller over all routers. Zero means no limit.
struct CallerLimit {
  int64_t max_concurrent = 0;
  double requests_per_second = 0;
  int64_t tokens_per_minute = 0;
  friend auto operator<=>(const CallerLimit&, const CallerLimit&) = default;
};

// Enforces one caller's limits on this router.
class CallerLimiter {
 public:
  explicit CallerLimiter(const CallerLimit& limit);
  // `share` is the part of the limit, from 0 to 1, that this router may admit.
  // See CallerShares.
  void SetLimit(const CallerLimit& limit, double share);
  // Admits and counts a request that costs `tokens` and returns nullopt, or
  // refuses it and returns the time after which to retry.
  std::optional<absl::Duration> Admit(int64_t tokens, absl::Time now);
  void OnFinished();
  int64_t concurrent() const { return concurrent_; }

 private:
  void Refill(absl::Time now);

  CallerLimit limit_;
  double share_ = 1;
  int64_t concurrent_ = 0;
  double request_credit_ = 0;
  double token_credit_ = 0;
  absl::Time refilled_at_ = absl::InfinitePast();
};

// A caller's recent request rate on one router, as an exponentially decayed
// average.
struct CallerDemand {
  std::string caller;
  double requests_per_second = 0;
  friend auto operator<=>(const CallerDemand&, const CallerDemand&) = default;
};

// Divides each caller's limit among the routers in proportion to the recent
// demand on each: a router's share is its own demand divided by the sum over
// all routers. Routers send one another their demand about once per second.
// While no other router reports demand the share is 1, so that a caller that
// uses only one router has its whole limit there.
class CallerShares {
 public:
  static constexpr absl::Duration kHalfLife = absl::Seconds(2);
  // A report of another router is ignored when it is older than this.
  static constexpr absl::Duration kMaxReportAge = absl::Seconds(4);
  // Callers with less demand are dropped and left out of reports.
  static constexpr double kMinRequestsPerSecond = 0.05;

  // Counts a request of the caller to this router, admitted or not.
  void OnRequest(const std::string& caller, absl::Time now);
  // Stores the demands reported by `router` in place of its previous report.
  void OnReport(const std::string& router,
                const std::vector<CallerDemand>& demands,
                absl::Time now);
  // This router's share of the caller's limit, in (0, 1].
  double Share(const std::string& caller, absl::Time now) const;
  // This router's demands, to be sent to the other routers. Drops idle callers.
  std::vector<CallerDemand> Report(absl::Time now);

 private:
  struct DecayedRate {
    double rate = 0;
    absl::Time at = absl::InfinitePast();
    double RateAt(absl::Time now) const;
  };
  struct PeerReport {
    std::map<std::string, double> rates;
    absl::Time at;
  };
  std::map<std::string, DecayedRate> local_demands_;
  std::map<std::string, PeerReport> peer_reports_;
};

// A random Retry-After value in [base, 2 * base). The jitter keeps clients that
// were refused together from retrying together.
absl::Duration JitteredRetryAfter(absl::Duration base, absl::BitGenRef random);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_SCHEDULING_SCHEDULING_H_
