#include "hawthornhollow/scheduling/deficit_round_robin.h"

#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "gtest/gtest.h"

namespace hawthornhollow {
namespace {

constexpr int64_t kQuantum = 100;
constexpr int64_t kCosts[] = {10, 90, 350, 1000};

struct Flow {
  int name = 0;
  FlowState drr_state;
  std::deque<int64_t> costs;
  int64_t served = 0;

  int64_t Backlog() const {
    int64_t sum = 0;
    for (int64_t cost : costs) {
      sum += cost;
    }
    return sum;
  }
};

// A reference implementation of deficit round robin that iterates over rounds.
class ReferenceRoundRobin {
 public:
  void Add(int flow, int64_t cost) {
    if (costs_[flow].empty()) {
      order_.push_back(flow);
      first_round_[flow] = round_ + 1;
      deficit_[flow] = 0;
    }
    costs_[flow].push_back(cost);
  }
  int Serve() {
    while (true) {
      for (; next_index_ < order_.size(); ++next_index_) {
        const int flow = order_[next_index_];
        if (first_round_[flow] > round_) {
          continue;
        }
        if (!current_flow_credited_) {
          deficit_[flow] += kQuantum;
          current_flow_credited_ = true;
        }
        if (costs_[flow].front() <= deficit_[flow]) {
          Pop(flow);
          return flow;
        }
        current_flow_credited_ = false;
      }
      next_index_ = 0;
      current_flow_credited_ = false;
      ++round_;
    }
  }

 private:
  void Pop(int flow) {
    deficit_[flow] -= costs_[flow].front();
    costs_[flow].pop_front();
    if (costs_[flow].empty()) {
      order_.erase(order_.begin() + static_cast<int64_t>(next_index_));
      current_flow_credited_ = false;
    }
  }
  std::map<int, std::deque<int64_t>> costs_;
  std::map<int, int64_t> deficit_;
  std::map<int, int64_t> first_round_;
  std::vector<int> order_;
  size_t next_index_ = 0;
  bool current_flow_credited_ = false;
  int64_t round_ = 0;
};

class DeficitRoundRobinTest : public testing::Test {
 protected:
  DeficitRoundRobinTest() : flows_(8) {
    for (size_t i = 0; i < flows_.size(); ++i) {
      flows_[i].name = static_cast<int>(i);
    }
  }
  void Update(Flow& flow) {
    round_robin_.Update(&flow, flow.Backlog(),
                        flow.costs.empty() ? 0 : flow.costs.front());
  }
  void Add(int name, int64_t cost) {
    flows_[name].costs.push_back(cost);
    Update(flows_[name]);
  }
  int Serve() {
    Flow* flow = round_robin_.Next();
    const int64_t cost = flow->costs.front();
    round_robin_.Charge(flow, cost);
    flow->costs.pop_front();
    flow->served += cost;
    Update(*flow);
    return flow->name;
  }

  std::vector<Flow> flows_;
  DeficitRoundRobin<Flow> round_robin_{kQuantum};
};

TEST_F(DeficitRoundRobinTest, RandomRequests_ServedInSameOrderAsReference) {
  std::mt19937_64 random(3);
  ReferenceRoundRobin reference;
  int waiting = 0;
  for (int step = 0; step < 20'000; ++step) {
    if (waiting == 0 || (waiting < 200 && random() % 2 == 0)) {
      const int flow = static_cast<int>(random() % flows_.size());
      const auto cost = static_cast<int64_t>(1 + random() % 700);
      Add(flow, cost);
      reference.Add(flow, cost);
      ++waiting;
      continue;
    }
    ASSERT_EQ(Serve(), reference.Serve()) << "step " << step;
    --waiting;
  }
}

TEST_F(DeficitRoundRobinTest, FlowsWithUnequalRequestSizes_ServedEqualTokens) {
  for (int i = 0; i < 4; ++i) {
    for (int64_t tokens = 0; tokens < 100'000; tokens += kCosts[i]) {
      Add(i, kCosts[i]);
    }
  }
  for (int step = 0; step < 2000; ++step) {
    Serve();
    for (int i = 1; i < 4; ++i) {
      ASSERT_LE(std::abs(flows_[i].served - flows_[0].served),
                kQuantum + kCosts[i] + kCosts[0]);
    }
  }
}

TEST_F(DeficitRoundRobinTest, FlowRefilledAfterEachService_GetsNoExtraTokens) {
  for (int i = 0; i < 100; ++i) {
    Add(0, kQuantum);
  }
  Add(1, kQuantum);
  for (int step = 0; step < 100; ++step) {
    if (Serve() == 1) {
      Add(1, kQuantum);
    }
  }
  EXPECT_LE(flows_[1].served, flows_[0].served + kQuantum);
}

TEST_F(DeficitRoundRobinTest, NewFlow_TokensAheadBoundsTokensServedBefore) {
  std::mt19937_64 random(5);
  for (int trial = 0; trial < 200; ++trial) {
    flows_ = std::vector<Flow>(8);
    round_robin_ = DeficitRoundRobin<Flow>(kQuantum);
    int64_t total_backlog = 0;
    for (int i = 0; i < 7; ++i) {
      flows_[i].name = i;
      for (uint64_t n = random() % 40; n > 0; --n) {
        Add(i, static_cast<int64_t>(1 + random() % 300));
      }
      total_backlog += flows_[i].Backlog();
    }
    flows_[7].name = 7;
    const auto cost = static_cast<int64_t>(1 + random() % 300);
    const int64_t predicted = round_robin_.TokensAhead(FlowState(), cost);
    Add(7, cost);
    while (Serve() != 7) {
    }
    int64_t before = 0;
    for (int i = 0; i < 7; ++i) {
      before += flows_[i].served;
    }
    EXPECT_LE(before, predicted + 7 * 300);  // plus one request of each flow
    EXPECT_LE(predicted, total_backlog);
  }
}

}  // namespace
}  // namespace hawthornhollow
