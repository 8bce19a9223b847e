#ifndef HAWTHORNHOLLOW_SCHEDULING_DEFICIT_ROUND_ROBIN_H_
#define HAWTHORNHOLLOW_SCHEDULING_DEFICIT_ROUND_ROBIN_H_

// Internal to the scheduling library.
//
// Deficit round robin in O(log n) per operation with n active flows, whatever
// the cost of a request.
//
// The standard algorithm visits every active flow once per round, adds the
// quantum to the flow's deficit counter, and serves the flow while the deficit
// covers the request at its head. With requests that cost many quanta, many
// rounds pass in which nothing is served. This implementation does not iterate
// over rounds. It computes from the deficit the round in which a flow can be
// served and keeps the flows ordered by that round, then by position; the first
// one is served next. The order of service is the same as that of the standard
// algorithm, if it visits flows in the order in which they became active. A
// flow that becomes active in a round gets its first quantum in the next round,
// so that a caller gains nothing by letting its flow run empty and refilling
// it.
//
// Fairness bound: while two flows both stay active, the tokens served from them
// differ by at most one quantum plus the largest request of each.

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>

#include "hawthornhollow/scheduling/backlog_histogram.h"

namespace hawthornhollow {

// The state that deficit round robin keeps in each flow. Costs are in tokens.
struct FlowState {
  bool active = false;
  uint64_t position = 0;  // activation sequence; the order within a round
  int64_t backlog = 0;    // cost of all waiting requests
  int64_t head_cost = 0;  // cost of the next request
  // Tokens that may be served as of `credited_round`. Negative after service
  // out of turn.
  int64_t deficit = 0;
  int64_t credited_round = 0;
  int64_t eligible_round = 0;  // first round whose deficit covers `head_cost`
};

// FlowT must have a member `FlowState drr_state`. A flow must outlive the time
// during which it is active here.
template <typename FlowT>
class DeficitRoundRobin {
 public:
  explicit DeficitRoundRobin(int64_t quantum)
      : quantum_(std::max<int64_t>(quantum, 1)) {}

  // The flow to serve next; null if no flow is active.
  FlowT* Next() const {
    return by_round_.empty() ? nullptr : by_round_.begin()->flow;
  }
  // The flow with the largest backlog; null if no flow is active.
  FlowT* LargestBacklog() const {
    return by_backlog_.empty() ? nullptr : by_backlog_.rbegin()->flow;
  }
  bool empty() const { return by_round_.empty(); }

  // Sets a flow's backlog and the cost of its next request. A flow without
  // backlog becomes inactive and loses its deficit.
  void Update(FlowT* flow, int64_t backlog, int64_t head_cost) {
    Detach(flow);
    if (backlog <= 0) {
      flow->drr_state = FlowState();
      return;
    }
    Attach(flow, backlog, head_cost);
  }

  // Charges an active flow for a served request, whether or not it was the next
  // flow. The caller must then call Update.
  void Charge(FlowT* flow, int64_t cost) {
    FlowState& drr_state = flow->drr_state;
    if (flow == Next()) {
      round_ = std::max(round_, drr_state.eligible_round);
    }
    drr_state.deficit = Accrued(drr_state) - cost;
    drr_state.credited_round = round_;
  }

  // Whether an active flow was served more than one quantum beyond the tokens
  // credited to it.
  bool InDebt(const FlowT& flow) const {
    return Accrued(flow.drr_state) < -quantum_;
  }

  // Cancels the charge for a request that is returned to its flow. The caller
  // must call Update before, with the request included, and again afterwards.
  void Refund(FlowT* flow, int64_t cost) { flow->drr_state.deficit += cost; }

  // An estimate of the tokens of other flows that are served before `through`
  // tokens of a flow with this state. FlowState() stands for a new flow.
  int64_t TokensAhead(const FlowState& drr_state, int64_t through) const {
    const int64_t rounds = Rounds(through - Accrued(drr_state));
    return histogram_.SumOfMin(rounds * quantum_, drr_state.backlog);
  }

 private:
  struct ByRound {
    int64_t round;
    uint64_t position;
    FlowT* flow;
    bool operator<(const ByRound& other) const {
      return std::pair(round, position) <
             std::pair(other.round, other.position);
    }
  };
  struct ByBacklog {
    int64_t backlog;
    uint64_t position;
    FlowT* flow;
    bool operator<(const ByBacklog& other) const {
      return std::pair(backlog, position) <
             std::pair(other.backlog, other.position);
    }
  };

  // Rounds in which at least `tokens` are credited to a flow.
  int64_t Rounds(int64_t tokens) const {
    return tokens <= 0 ? 0 : (tokens - 1) / quantum_ + 1;
  }

  // The deficit as of the current round.
  int64_t Accrued(const FlowState& drr_state) const {
    if (!drr_state.active) {
      return 0;
    }
    return drr_state.deficit + (round_ - drr_state.credited_round) * quantum_;
  }

  void Detach(FlowT* flow) {
    const FlowState& drr_state = flow->drr_state;
    if (!drr_state.active) {
      return;
    }
    by_round_.erase({drr_state.eligible_round, drr_state.position, flow});
    by_backlog_.erase({drr_state.backlog, drr_state.position, flow});
    histogram_.Remove(drr_state.backlog);
  }

  void Attach(FlowT* flow, int64_t backlog, int64_t head_cost) {
    FlowState& drr_state = flow->drr_state;
    if (!drr_state.active) {
      drr_state.active = true;
      drr_state.position = next_position_++;
      drr_state.credited_round = round_;
    }
    drr_state.backlog = backlog;
    drr_state.head_cost = head_cost;
    const int64_t rounds = Rounds(head_cost - drr_state.deficit);
    drr_state.eligible_round =
        std::max(drr_state.credited_round + rounds, round_);
    by_round_.insert({drr_state.eligible_round, drr_state.position, flow});
    by_backlog_.insert({backlog, drr_state.position, flow});
    histogram_.Add(backlog);
  }

  int64_t quantum_;
  int64_t round_ = 0;
  uint64_t next_position_ = 0;
  std::set<ByRound> by_round_;
  std::set<ByBacklog> by_backlog_;
  BacklogHistogram histogram_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_SCHEDULING_DEFICIT_ROUND_ROBIN_H_
