#ifndef HAWTHORNHOLLOW_SCHEDULING_RANK_STATE_H_
#define HAWTHORNHOLLOW_SCHEDULING_RANK_STATE_H_

// Internal to the scheduling library: what RankQueue keeps by rank, member and
// caller.

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "absl/time/time.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/scheduling/deficit_round_robin.h"
#include "hawthornhollow/scheduling/scheduling.h"
#include "hawthornhollow/scheduling/service_rate.h"

namespace hawthornhollow {

// Window over which a rank's demand is measured.
inline constexpr absl::Duration kDemandWindow = absl::Seconds(5);

// A request in its flow.
struct Waiting {
  QueuedRequest request;
  absl::Time give_up;
};

struct MemberFlow;
struct RankState;

// One caller's waiting requests, oldest first.
struct CallerFlow {
  std::string name;
  MemberFlow* member = nullptr;
  FlowShare share;
  std::deque<Waiting> requests;
  int64_t tokens = 0;

  int64_t HeadCost() const {
    return requests.empty() ? 0 : requests.front().request.cost_tokens;
  }
};

// One member's callers that have requests waiting.
struct MemberFlow {
  explicit MemberFlow(int64_t quantum) : turns(quantum) {}

  std::string name;
  RankState* rank = nullptr;
  FlowShare share;
  DeficitRoundRobin<CallerFlow> turns;
  std::map<std::string, std::unique_ptr<CallerFlow>> callers;
  int64_t tokens = 0;

  int64_t HeadCost() const {
    const CallerFlow* next = turns.Next();
    return next == nullptr ? 0 : next->HeadCost();
  }
};

// One rank: its members that have requests waiting, and what it was offered and
// served of late.
struct RankState {
  RankState(const RankPolicy& rank_policy, const RankQueueOptions& options)
      : policy(rank_policy),
        turns(options.quantum_tokens),
        floor_tokens(options.floor_window) {}

  RankPolicy policy;
  DeficitRoundRobin<MemberFlow> turns;
  std::map<std::string, std::unique_ptr<MemberFlow>> members;
  std::set<std::pair<absl::Time, uint64_t>> give_ups;  // time, id
  std::set<std::pair<absl::Time, uint64_t>> arrivals;  // time, id
  int64_t tokens = 0;
  DecayedSum floor_tokens;  // dispatched, for the floor
  DecayedSum offered{kDemandWindow};
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_SCHEDULING_RANK_STATE_H_
