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
  FlowShare share;
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

// The textbook, round by round.
class PlainRoundRobin {
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
      for (; at_ < order_.size(); ++at_) {
        const int flow = order_[at_];
        if (first_round_[flow] > round_) {
          continue;
        }
        if (!credited_) {
          deficit_[flow] += kQuantum;
          credited_ = true;
        }
        if (costs_[flow].front() <= deficit_[flow]) {
          Pop(flow);
          return flow;
        }
        credited_ = false;
      }
      at_ = 0;
      credited_ = false;
      ++round_;
    }
  }

 private:
  void Pop(int flow) {
    deficit_[flow] -= costs_[flow].front();
    costs_[flow].pop_front();
    if (costs_[flow].empty()) {
      order_.erase(order_.begin() + static_cast<int64_t>(at_));
      credited_ = false;
    }
  }
  std::map<int, std::deque<int64_t>> costs_;
  std::map<int, int64_t> deficit_;
  std::map<int, int64_t> first_round_;
  std::vector<int> order_;
  size_t at_ = 0;
  bool credited_ = false;
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
    turns_.Update(&flow, flow.Backlog(),
                  flow.costs.empty() ? 0 : flow.costs.front());
  }
  void Add(int name, int64_t cost) {
    flows_[name].costs.push_back(cost);
    Update(flows_[name]);
  }
  int Serve() {
    Flow* flow = turns_.Next();
    const int64_t cost = flow->costs.front();
    turns_.Charge(flow, cost);
    flow->costs.pop_front();
    flow->served += cost;
    Update(*flow);
    return flow->name;
  }

  std::vector<Flow> flows_;
  DeficitRoundRobin<Flow> turns_{kQuantum};
};

TEST_F(DeficitRoundRobinTest, RandomInput_SameOrderAsPlayingEachRound) {
  std::mt19937_64 random(3);
  PlainRoundRobin plain;
  int waiting = 0;
  for (int step = 0; step < 20'000; ++step) {
    if (waiting == 0 || (waiting < 200 && random() % 2 == 0)) {
      const int flow = static_cast<int>(random() % flows_.size());
      const auto cost = static_cast<int64_t>(1 + random() % 700);
      Add(flow, cost);
      plain.Add(flow, cost);
      ++waiting;
      continue;
    }
    ASSERT_EQ(Serve(), plain.Serve()) << "step " << step;
    --waiting;
  }
}

TEST_F(DeficitRoundRobinTest, FlowsOfUnequalRequests_EqualTokens) {
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

TEST_F(DeficitRoundRobinTest, FlowThatRefillsAfterEachTurn_GainsNothing) {
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

TEST_F(DeficitRoundRobinTest, NewFlow_TokensAheadBoundTheTruth) {
  std::mt19937_64 random(5);
  for (int trial = 0; trial < 200; ++trial) {
    flows_ = std::vector<Flow>(8);
    turns_ = DeficitRoundRobin<Flow>(kQuantum);
    int64_t whole = 0;
    for (int i = 0; i < 7; ++i) {
      flows_[i].name = i;
      for (uint64_t n = random() % 40; n > 0; --n) {
        Add(i, static_cast<int64_t>(1 + random() % 300));
      }
      whole += flows_[i].Backlog();
    }
    flows_[7].name = 7;
    const auto cost = static_cast<int64_t>(1 + random() % 300);
    const int64_t predicted = turns_.TokensAhead(FlowShare(), cost);
    Add(7, cost);
    while (Serve() != 7) {
    }
    int64_t before = 0;
    for (int i = 0; i < 7; ++i) {
      before += flows_[i].served;
    }
    EXPECT_LE(before, predicted + 7 * 300);  // one request of each
    EXPECT_LE(predicted, whole);
  }
}

}  // namespace
}  // namespace hawthornhollow
