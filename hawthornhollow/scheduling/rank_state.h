#ifndef HAWTHORNHOLLOW_SCHEDULING_RANK_STATE_H_
#define HAWTHORNHOLLOW_SCHEDULING_RANK_STATE_H_

// Internal to the scheduling library: the state that RankQueue keeps for each
// rank, member and caller. A member or caller with waiting requests is a flow
// of deficit round robin.

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

// A request that waits in its caller's flow.
struct QueueEntry {
  QueuedRequest request;
  absl::Time expires_at;  // removed and refused at this time
};

struct MemberFlow;
struct RankState;

// One caller's waiting requests, oldest first.
struct CallerFlow {
  std::string name;
  MemberFlow* member = nullptr;
  FlowState drr_state;
  std::deque<QueueEntry> requests;
  int64_t tokens = 0;  // cost of all waiting requests

  int64_t HeadCost() const {
    return requests.empty() ? 0 : requests.front().request.cost_tokens;
  }
};

// The callers of one member that have waiting requests.
struct MemberFlow {
  explicit MemberFlow(int64_t quantum) : round_robin(quantum) {}

  std::string name;
  RankState* rank = nullptr;
  FlowState drr_state;
  DeficitRoundRobin<CallerFlow> round_robin;
  std::map<std::string, std::unique_ptr<CallerFlow>> callers;
  int64_t tokens = 0;  // cost of all waiting requests

  int64_t HeadCost() const {
    const CallerFlow* next = round_robin.Next();
    return next == nullptr ? 0 : next->HeadCost();
  }
};

// One rank: its members that have waiting requests, and the tokens that were
// recently requested and dispatched.
struct RankState {
  RankState(const RankPolicy& rank_policy, const RankQueueOptions& options)
      : policy(rank_policy),
        round_robin(options.quantum_tokens),
        dispatched_tokens(options.floor_window) {}

  RankPolicy policy;
  DeficitRoundRobin<MemberFlow> round_robin;
  std::map<std::string, std::unique_ptr<MemberFlow>> members;
  // Waiting requests as pairs of time and request id.
  std::set<std::pair<absl::Time, uint64_t>> expirations;
  std::set<std::pair<absl::Time, uint64_t>> arrivals;
  int64_t tokens = 0;  // cost of all waiting requests
  // Tokens of recently dispatched requests, for comparison with the floor.
  DecayedSum dispatched_tokens;
  // Tokens of recently received requests, whether they were admitted or not.
  DecayedSum requested_tokens{kDemandWindow};
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_SCHEDULING_RANK_STATE_H_
