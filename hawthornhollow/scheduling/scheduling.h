#ifndef HAWTHORNHOLLOW_SCHEDULING_SCHEDULING_H_
#define HAWTHORNHOLLOW_SCHEDULING_SCHEDULING_H_

// Which request runs next, where, and which is refused. Pure decisions: time is
// passed in, nothing blocks, nothing is locked (the caller holds the shard's
// lock).
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

// How requests are ordered and placed. All but kRanks are plain baselines, for
// comparison only.
enum class SchedulingPolicy {
  kRanks,        // as described below
  kFifo,         // one queue in order of arrival; servers by free slots
  kLeastLoaded,  // no queue: the server with the fewest requests from here
  kRandom,       // no queue: any server
};

// "ranks", "fifo", "least_loaded" or "random"; nullopt for other names.
std::optional<SchedulingPolicy> SchedulingPolicyNamed(std::string_view name);

// ---------------------------------------------------------------------------
// Queueing by rank, with floors, fair within a rank

struct RankPolicy {
  std::string name;
  int32_t order = 0;                         // served in ascending order
  absl::Duration target = absl::Seconds(2);  // for the first token
  double floor = 0;  // share of dispatched tokens kept under a flood
  friend auto operator<=>(const RankPolicy&, const RankPolicy&) = default;
};

struct RankQueueOptions {
  SchedulingPolicy policy = SchedulingPolicy::kRanks;
  std::vector<RankPolicy> ranks;
  // Window over which floors are accounted.
  absl::Duration floor_window = absl::Seconds(2);
  // Tokens by which deficit round robin advances a flow per turn.
  int64_t quantum_tokens = 512;
  size_t max_waiting = 20'000;
  // A request is refused when its predicted wait passes this share of its
  // target.
  double admit_share = 0.8;
  absl::Duration retry_after_min = absl::Seconds(1);
  absl::Duration retry_after_max = absl::Seconds(60);
};

struct QueuedRequest {
  uint64_t id = 0;
  std::string rank;
  std::string member;
  std::string caller;
  int64_t cost_tokens = 0;  // estimated prompt plus output
  absl::Time arrived;
  absl::Time deadline = absl::InfiniteFuture();  // the caller's own
  friend bool operator==(const QueuedRequest&, const QueuedRequest&) = default;
};

enum class RefusalCause {
  kOverload,
  kDeadline,
  kQueueFull,
  kNoServer,  // none that could take it was connected
};

struct Refusal {
  uint64_t id = 0;
  RefusalCause cause = RefusalCause::kOverload;
  absl::Duration retry_after;
  friend bool operator==(const Refusal&, const Refusal&) = default;
};

// The room for requests on the servers, as this router knows it.
struct SlotCounts {
  int64_t claimable = 0;  // free slots that this router may take now
  int64_t idle = 0;       // free slots by the last reports, of all routers
  int64_t all = 0;
  int64_t in_flight = 0;  // from this router
  int64_t routers = 1;    // that share the servers
  friend bool operator==(const SlotCounts&, const SlotCounts&) = default;
};

// The waiting requests of one model or service. Ranks in order, each with its
// floor; within a rank deficit round robin over members, and within a member
// over callers, in tokens. Ids are unique among the waiting requests. Call
// Expire after every Offer and on a timer: what one request displaces is
// refused there.
class RankQueue {
 public:
  explicit RankQueue(const RankQueueOptions& options);
  RankQueue(RankQueue&&) noexcept;
  RankQueue& operator=(RankQueue&&) noexcept;
  ~RankQueue();

  // Takes the request in, or says why not. A request that is to be given up is
  // given up here or by Expire, at once. A request of an unknown rank joins the
  // last one.
  std::optional<Refusal> Offer(const QueuedRequest& request, absl::Time now);
  // The next request to dispatch; the caller has room for one.
  std::optional<QueuedRequest> Take(absl::Time now);
  // As above, with what is known of the slots. A few idle ones are kept for
  // ranks that go first, if these have been seen of late. The first rank takes
  // any idle slot, and one that is only claimable after a short wait.
  std::optional<QueuedRequest> Take(absl::Time now, const SlotCounts& slots);
  // Whether requests of this rank are served before all others.
  bool IsFirstRank(std::string_view rank) const;
  // Puts back a request that could not be dispatched, at the head of its flow.
  void PutBack(const QueuedRequest& request);
  // Takes out a request whose caller has gone. False if it is not here.
  bool Remove(uint64_t id);
  // Gives up what can no longer meet its target or deadline.
  std::vector<Refusal> Expire(absl::Time now);
  // Observed service, for the predicted wait: the `cost_tokens` of a request
  // that has finished and freed its slot.
  void OnServed(int64_t tokens, absl::Time now);
  // Observed time from dispatch to first token, which a request's wait must
  // leave of its target.
  void OnFirstToken(absl::Duration took);
  // Replaces ranks' targets and floors; waiting requests keep their place.
  void SetRanks(const std::vector<RankPolicy>& ranks);

  size_t waiting() const;
  int64_t waiting_tokens(std::string_view rank) const;
  // The wait that a new caller's request would have now; zero while the service
  // rate is unknown.
  absl::Duration PredictedWait(std::string_view rank, absl::Time now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// ---------------------------------------------------------------------------
// Choice of backend server

struct ServerView {
  std::string name;
  int64_t slots = 0;
  int64_t reported_running = 0;  // by the last, lagging report
  bool connected = false;
  bool leaving = false;
  friend bool operator==(const ServerView&, const ServerView&) = default;
};

struct ServerChooserOptions {
  SchedulingPolicy policy = SchedulingPolicy::kRanks;
  // A favoured server is passed over when its in-flight count is above this
  // many times the mean.
  double bounded_load = 1.25;
  // Ejection: a server whose smoothed time to first token is above this many
  // times the median, or whose failures pass `failure_share`, gets fewer
  // requests, down to `probe_share` of its slots.
  double slow_ratio = 3.0;
  double failure_share = 0.5;
  double probe_share = 0.05;
  // At most this share of the servers is ejected at once.
  double max_ejected = 0.34;
  absl::Duration ejection = absl::Seconds(5);
  absl::Duration warm_up = absl::Seconds(5);
  absl::Duration half_life = absl::Seconds(3);
  // A favoured server is never passed over while less than this share of its
  // slots is in use.
  double affinity_free_share = 0.25;
  // The share of each server's slots that other routers' load cannot take from
  // this router; at least one slot.
  double own_share = 0.2;
  // Differs between routers, so that they do not draw alike.
  uint64_t seed = 0;
};

enum class ChoiceScope { kClaimable, kAnyIdle };

// Chooses among the servers of one model or service. In-flight counts are this
// router's own; reports of the whole load correct them.
class ServerChooser {
 public:
  explicit ServerChooser(const ServerChooserOptions& options);

  // Adds, changes or removes servers. A server new here is warmed up.
  void SetServers(const std::vector<ServerView>& servers, absl::Time now);
  // `from_here`: how many of the running came from this router, as the server
  // counts them; if negative, what is in flight here is taken.
  void OnReport(std::string_view server,
                int64_t running,
                absl::Time now,
                int64_t from_here = -1);
  void SetConnected(std::string_view server, bool connected, absl::Time now);
  void SetLeaving(std::string_view server, bool leaving);
  // How many routers share the servers, with this one. Between two reports a
  // router claims only its part of the slots that the last one showed free.
  void SetRouters(int64_t routers);

  // The server for a request with this affinity key (empty: none), leaving out
  // those in `avoid`; nullopt if none has room. Counts it as in flight. Servers
  // with an idle slot go first. With kAnyIdle an idle slot need not be
  // claimable.
  std::optional<std::string> Choose(
      std::string_view affinity,
      const std::set<std::string>& avoid,
      absl::Time now,
      ChoiceScope scope = ChoiceScope::kClaimable);
  // Whether Choose would find one.
  bool HasRoom(absl::Time now) const;
  // Ends what Choose began.
  void OnFirstToken(std::string_view server,
                    absl::Duration took,
                    absl::Time now);
  void OnFinished(std::string_view server, bool failed, absl::Time now);

  int64_t InFlight(std::string_view server) const;
  int64_t InFlight() const;  // on all servers
  bool IsEjected(std::string_view server, absl::Time now) const;
  // Slots of servers that may be used, less what is in flight.
  int64_t FreeSlots(absl::Time now) const;
  // Slots that are free by the last reports and what is in flight from here.
  int64_t IdleSlots(absl::Time now) const;

 private:
  struct State {
    ServerView view;
    int64_t in_flight = 0;
    double others = 0;  // in flight from other routers, smoothed over reports
    int64_t others_reported = 0;  // the same, by the last report
    double first_token_s = 0;     // smoothed
    double failures = 0;          // share of recent requests, smoothed
    int64_t first_tokens = 0;     // samples
    int64_t outcomes = 0;         // samples
    absl::Time first_token_at = absl::InfinitePast();
    absl::Time outcome_at = absl::InfinitePast();
    absl::Time reported_at = absl::InfinitePast();
    int64_t claim = 0;  // the most in flight from here until the next report
    // When the server joined or came back; it then gets its slots gradually.
    absl::Time ramp_from = absl::InfinitePast();
    absl::Time disconnected_at = absl::InfinitePast();
    absl::Time ejected_until = absl::InfinitePast();
  };
  using Servers = std::map<std::string, State, std::less<>>;

  bool IgnoresSlots() const;
  bool IsUsable(const State& state) const;
  bool IsRamping(const State& state, absl::Time now) const;
  bool AnySettled(absl::Time now) const;
  double SlotsOf(const State& state, bool ramps, absl::Time now) const;
  double OthersOf(const State& state, absl::Time now) const;
  double RoomOf(const State& state, bool ramps, absl::Time now) const;
  int64_t ClaimAfterReport(const State& state);
  int64_t IdleOf(const State& state, bool ramps, absl::Time now) const;
  std::vector<Servers::iterator> Candidates(const std::set<std::string>& avoid,
                                            absl::Time now,
                                            ChoiceScope scope);
  double LoadOf(const State& state, absl::Time now) const;
  double Weight(const State& state, absl::Time now) const;
  Servers::iterator Favoured(std::string_view affinity,
                             const std::vector<Servers::iterator>& candidates,
                             absl::Time now);
  Servers::iterator LeastLoaded(
      const std::vector<Servers::iterator>& candidates,
      absl::Time now);
  Servers::iterator ChooseByBaseline(
      const std::vector<Servers::iterator>& candidates);
  double MedianFirstToken() const;
  bool IsSick(const State& state) const;
  void EjectIfSick(State& state, absl::Time now);
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

// Allows retries in proportion to first attempts, so that retries never
// multiply the load.
class RetryBudget {
 public:
  // `ratio` retries per attempt, with a reserve of `burst` retries.
  RetryBudget(double ratio, double burst);
  // A smaller reserve also takes from what is kept now.
  void SetBurst(double burst);
  void OnAttempt();
  bool TryRetry();
  double tokens() const { return tokens_; }

 private:
  double ratio_;
  double burst_;
  double tokens_;
};

struct CallerLimit {
  int64_t max_concurrent = 0;      // 0: none
  double requests_per_second = 0;  // 0: none
  int64_t tokens_per_minute = 0;   // 0: none
  friend auto operator<=>(const CallerLimit&, const CallerLimit&) = default;
};

// One caller's rate and concurrency on this router. `share` is this router's
// part of the limit, by the demand that routers report to one another.
class CallerLimiter {
 public:
  explicit CallerLimiter(const CallerLimit& limit);
  void SetLimit(const CallerLimit& limit, double share);
  // nullopt if admitted (and counted); else when to come back.
  std::optional<absl::Duration> Admit(int64_t tokens, absl::Time now);
  void OnFinished();
  int64_t concurrent() const { return concurrent_; }

 private:
  void Refill(absl::Time now);

  CallerLimit limit_;
  double share_ = 1;
  int64_t concurrent_ = 0;
  double request_tokens_ = 0;
  double token_tokens_ = 0;
  absl::Time refilled_at_ = absl::InfinitePast();
};

// How often a caller asked on one router, in requests per second, decayed.
struct CallerDemand {
  std::string caller;
  double requests_per_second = 0;
  friend auto operator<=>(const CallerDemand&, const CallerDemand&) = default;
};

// Divides each caller's limit among the routers by the demand that each has
// seen lately: own demand over the sum of all. Routers tell one another theirs
// every second or so. While no other router reports demand the share is 1, so
// that a caller who stays on one router has its whole limit there.
class CallerShares {
 public:
  static constexpr absl::Duration kHalfLife = absl::Seconds(2);
  // A report that was not renewed for this long counts no more.
  static constexpr absl::Duration kReportAge = absl::Seconds(4);
  // Callers with less demand are left out of reports and forgotten.
  static constexpr double kMinRequestsPerSecond = 0.05;

  // The caller asked this router, whether it was then admitted or not.
  void OnRequest(const std::string& caller, absl::Time now);
  // Replaces what `router` reported before.
  void OnReport(const std::string& router,
                const std::vector<CallerDemand>& demands,
                absl::Time now);
  // In (0, 1].
  double Share(const std::string& caller, absl::Time now) const;
  // This router's own demands, for the others. Forgets idle callers.
  std::vector<CallerDemand> Report(absl::Time now);

 private:
  struct Decayed {
    double rate = 0;
    absl::Time at = absl::InfinitePast();
    double RateAt(absl::Time now) const;
  };
  struct PeerReport {
    std::map<std::string, double> rates;
    absl::Time at;
  };
  std::map<std::string, Decayed> own_;
  std::map<std::string, PeerReport> peers_;
};

// A Retry-After spread over [base, 2 * base), so that clients do not return
// together.
absl::Duration SpreadRetryAfter(absl::Duration base, absl::BitGenRef random);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_SCHEDULING_SCHEDULING_H_
