#ifndef HAWTHORNHOLLOW_SCHEDULING_DEFICIT_ROUND_ROBIN_H_
#define HAWTHORNHOLLOW_SCHEDULING_DEFICIT_ROUND_ROBIN_H_

// Internal to the scheduling library.
//
// Deficit round robin in O(log n) per step, whatever the cost of a request.
//
// The textbook visits every active flow once a round, adds the quantum to the
// flow's deficit, and serves the flow while its deficit covers the request at
// its head. A request that costs many quanta takes many rounds in which nothing
// is served. Here no round is played: the round in which a flow's deficit will
// cover its head follows from the deficit, so flows are kept ordered by
// (that round, position), and the first of them is next. The order of service
// is the textbook's, with the flows of a round visited in the order in which
// they became active. A flow that becomes active in a round gets its first
// quantum in the next one, so that emptying and filling a flow gains nothing.
//
// Bounds: between two flows that both stay active, the tokens served differ by
// at most one quantum plus the largest request of each.

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>

#include "hawthornhollow/scheduling/backlog_histogram.h"

namespace hawthornhollow {

// What deficit round robin keeps with each flow.
struct FlowShare {
  bool active = false;
  uint64_t position = 0;       // by activation; the order within a round
  int64_t backlog = 0;         // tokens waiting
  int64_t head_cost = 0;       // tokens of the next request
  int64_t deficit = 0;         // tokens that may be served, as of ...
  int64_t credited_round = 0;  // ... this round
  int64_t eligible_round = 0;  // when the deficit covers the head
};

// FlowT has a member `FlowShare share` and must outlive its time in here.
template <typename FlowT>
class DeficitRoundRobin {
 public:
  explicit DeficitRoundRobin(int64_t quantum)
      : quantum_(std::max<int64_t>(quantum, 1)) {}

  // The flow whose turn it is; null if none is active.
  FlowT* Next() const {
    return by_round_.empty() ? nullptr : by_round_.begin()->flow;
  }
  // The flow with the largest backlog; null if none is active.
  FlowT* Longest() const {
    return by_backlog_.empty() ? nullptr : by_backlog_.rbegin()->flow;
  }
  bool empty() const { return by_round_.empty(); }

  // States a flow's backlog and the cost of its next request. A flow without
  // backlog leaves and loses its deficit.
  void Update(FlowT* flow, int64_t backlog, int64_t head_cost) {
    Detach(flow);
    if (backlog <= 0) {
      flow->share = FlowShare();
      return;
    }
    Attach(flow, backlog, head_cost);
  }

  // Charges an active flow for a request served, in its turn or not. The caller
  // then calls Update.
  void Charge(FlowT* flow, int64_t cost) {
    FlowShare& share = flow->share;
    if (flow == Next()) {
      round_ = std::max(round_, share.eligible_round);
    }
    share.deficit = Accrued(share) - cost;
    share.credited_round = round_;
  }

  // Whether an active flow was served over a quantum more than its rounds have
  // credited.
  bool InDebt(const FlowT& flow) const {
    return Accrued(flow.share) < -quantum_;
  }

  // Gives back what was charged for a request that is put back. The caller has
  // called Update with the request included, and calls it again.
  void Refund(FlowT* flow, int64_t cost) { flow->share.deficit += cost; }

  // Tokens of other flows that are served before a flow has been served
  // `through` tokens of its own. FlowShare() stands for a new flow.
  int64_t TokensAhead(const FlowShare& share, int64_t through) const {
    const int64_t rounds = Rounds(through - Accrued(share));
    return histogram_.SumOfMin(rounds * quantum_, share.backlog);
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

  int64_t Rounds(int64_t tokens) const {
    return tokens <= 0 ? 0 : (tokens - 1) / quantum_ + 1;
  }

  // The deficit as of this round.
  int64_t Accrued(const FlowShare& share) const {
    if (!share.active) {
      return 0;
    }
    return share.deficit + (round_ - share.credited_round) * quantum_;
  }

  void Detach(FlowT* flow) {
    const FlowShare& share = flow->share;
    if (!share.active) {
      return;
    }
    by_round_.erase({share.eligible_round, share.position, flow});
    by_backlog_.erase({share.backlog, share.position, flow});
    histogram_.Remove(share.backlog);
  }

  void Attach(FlowT* flow, int64_t backlog, int64_t head_cost) {
    FlowShare& share = flow->share;
    if (!share.active) {
      share.active = true;
      share.position = next_position_++;
      share.credited_round = round_;
    }
    share.backlog = backlog;
    share.head_cost = head_cost;
    const int64_t rounds = Rounds(head_cost - share.deficit);
    share.eligible_round = std::max(share.credited_round + rounds, round_);
    by_round_.insert({share.eligible_round, share.position, flow});
    by_backlog_.insert({backlog, share.position, flow});
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
