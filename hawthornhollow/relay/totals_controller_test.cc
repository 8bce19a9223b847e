#include "hawthornhollow/relay/totals_controller.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <future>
#include <random>

namespace hawthornhollow {
namespace {

constexpr char kWorkspace[] = "ward-7";
constexpr int64_t kTotal = 60'000;
constexpr int64_t kRequestTokens = 500;

// An in-memory store, used on one runtime thread. Some answers are lost after
// the record was put, with the error code of a broken connection.
class FakeStore {
 public:
  explicit FakeStore(double lost_answers) : lost_answers_(lost_answers) {}

  int64_t era() const { return 0; }

  absl::StatusOr<StoredPage> Newest(StoreSubject subject,
                                    absl::Duration /*timeout*/) {
    std::map<std::string, StoredValue> newest;
    for (const StoredValue& value : logs_[subject])
      newest[value.key] = value;
    StoredPage page{.end = end(subject)};
    for (auto& [key, value] : newest)
      page.values.push_back(value);
    return page;
  }

  absl::StatusOr<StoredPage> ReadFrom(StoreSubject subject,
                                      int64_t offset,
                                      absl::Duration /*timeout*/) {
    hawthornhollow::SleepFor(absl::Milliseconds(1));
    if (IsAnswerLost())
      return absl::AbortedError("connection reset");
    StoredPage page{.end = end(subject)};
    page.values.assign(logs_[subject].begin() + offset, logs_[subject].end());
    return page;
  }

  absl::StatusOr<int64_t> AppendAt(StoreSubject subject,
                                   const std::string& key,
                                   const std::string& value,
                                   int64_t at,
                                   absl::Duration /*timeout*/) {
    hawthornhollow::SleepFor(absl::Milliseconds(1));
    if (at != end(subject))
      return absl::FailedPreconditionError("not the end");
    logs_[subject].push_back(
        {.key = key, .value = value, .offset = end(subject)});
    if (IsAnswerLost())
      return absl::AbortedError("connection reset");
    return end(subject);
  }

  absl::Status AppendNext(StoreSubject subject,
                          const std::string& key,
                          const std::string& value,
                          const WriterPosition& position,
                          absl::Duration /*timeout*/) {
    hawthornhollow::SleepFor(absl::Milliseconds(1));
    WriterPosition& last = last_[position.writer];
    const bool follows =
        position.epoch > last.epoch || (position.epoch == last.epoch &&
                                        position.sequence == last.sequence + 1);
    if (!follows && position != last)
      return absl::FailedPreconditionError("does not follow");
    if (follows) {
      logs_[subject].push_back(
          {.key = key, .value = value, .offset = end(subject)});
    }
    last = position;
    return IsAnswerLost() ? absl::AbortedError("connection reset")
                          : absl::OkStatus();
  }

  // Sum of the quotas in all routers' newest records.
  int64_t Authorities() {
    int64_t sum = 0;
    const auto page = Newest(StoreSubject::kAuthorities, {});
    for (const StoredValue& value : page->values) {
      const auto record = DecodeAuthority(value.value);
      for (const auto& share : record->shares)
        sum += share->tokens;
    }
    return sum;
  }

 private:
  int64_t end(StoreSubject subject) {
    return static_cast<int64_t>(logs_[subject].size());
  }
  bool IsAnswerLost() {
    return std::bernoulli_distribution(lost_answers_)(random_);
  }

  const double lost_answers_;
  std::mt19937_64 random_{5};
  std::map<StoreSubject, std::vector<StoredValue>> logs_;
  std::map<std::string, WriterPosition> last_;
};

class TotalsControllerTest : public testing::TestWithParam<double> {
 protected:
  using Controller = TotalsController<FakeStore>;

  void SetUp() override {
    auto runtime = Runtime::Create({.threads = 1});
    ASSERT_TRUE(runtime.ok()) << runtime.status();
    runtime_ = *std::move(runtime);
    auto table = RoutingTable::Create(
        {.workspaces = {{.name = kWorkspace, .prepaid = kTotal}}});
    ASSERT_TRUE(table.ok()) << table.status();
    table_ = *table;
    for (int i = 0; i < 3; ++i) {
      controllers_.push_back(std::make_unique<Controller>(
          store_, metrics_,
          TotalsControllerOptions{
              .book = {.router = "router-" + std::to_string(i),
                       .boot = "b",
                       .address = std::to_string(i)},
              .records = {.interval = absl::Milliseconds(10)}},
          [this](std::function<void()> task) {
            runtime_->Spawn(std::move(task));
          },
          TransferCalls{
              .ask =
                  [this](const std::string& address,
                         const TransferQuestion& question) {
                    return controllers_[std::stoul(address)]->GiveTokens(
                        question);
                  },
              .hand_over =
                  [this](const std::string& address,
                         const std::string& workspace, int64_t tokens) {
                    tokens_handed_over_ += tokens;
                    controllers_[std::stoul(address)]->TakeTokens(workspace,
                                                                  tokens);
                    return absl::OkStatus();
                  }},
          [](const std::string&) {
            return absl::UnavailableError("no peers");
          }));
      controllers_.back()->SetTotals(*table_);
    }
  }

  void RunOnFiber(const std::function<void()>& task) {
    std::promise<void> done;
    runtime_->Spawn([&] {
      task();
      done.set_value();
    });
    done.get_future().wait();
  }

  FakeStore store_{GetParam()};
  std::shared_ptr<const RoutingTable> table_;
  RelayMetrics metrics_;
  std::unique_ptr<Runtime> runtime_;
  std::vector<std::unique_ptr<Controller>> controllers_;
  int64_t tokens_handed_over_ = 0;
  std::atomic<bool> stop_{false};
};

TEST_P(TotalsControllerTest, RoutersSpendingATotal_NeverOverdrawIt) {
  int64_t granted = 0;
  RunOnFiber([&] {
    for (auto& controller : controllers_) {
      runtime_->Spawn([&] { controller->RunAuthorityLoop(stop_); });
      runtime_->Spawn([&] { controller->RunLevelLoop(stop_); });
    }
    for (int round = 0; round < 120; ++round) {
      for (auto& controller : controllers_) {
        const auto reserved = controller->Acquire(
            {.request = "r", .workspace = kWorkspace, .tokens = kRequestTokens},
            {.timeout = absl::Milliseconds(20)}, [] { return false; });
        if (!reserved.ok())
          continue;
        if (round % 3 == 0) {
          controller->Finish(**reserved, 0);
        } else if (controller->Commit("r", **reserved, absl::Milliseconds(50))
                       .ok()) {
          granted += (*reserved)->reservation().tokens();
        }
        EXPECT_LE(store_.Authorities(), kTotal);
      }
    }
    stop_ = true;
    for (auto& controller : controllers_)
      controller->Close();
    EXPECT_LE(store_.Authorities(), kTotal);
  });
  EXPECT_LE(granted, kTotal);
  EXPECT_GT(granted, kTotal / 2);
}

// A router that is stopped hands over what others transferred to it.
TEST_P(TotalsControllerTest, ClosedRouter_HandsItsTransfersToAHolder) {
  int64_t handed_over = 0;
  RunOnFiber([&] {
    for (auto& controller : controllers_) {
      runtime_->Spawn([&] { controller->RunAuthorityLoop(stop_); });
      runtime_->Spawn([&] { controller->RunLevelLoop(stop_); });
    }
    const absl::Time end = SteadyNow() + absl::Seconds(5);
    // Holders are chosen among routers whose address is known.
    while (controllers_[0]->OtherRouterAddresses().size() + 1 <
               controllers_.size() &&
           SteadyNow() < end)
      hawthornhollow::SleepFor(absl::Milliseconds(5));
    controllers_[0]->TakeTokens(kWorkspace, kRequestTokens);
    stop_ = true;
    controllers_[0]->Close();
    handed_over = tokens_handed_over_;
    for (auto& controller : controllers_)
      controller->Close();
  });
  EXPECT_EQ(handed_over, kRequestTokens);
}

// A third of a large total was out of reach: routers with full links gave up on
// questions that were then answered with all that their requests waited for.
TEST_P(TotalsControllerTest, TransferWhoseAnswerIsLost_IsTakenBack) {
  RunOnFiber([&] {
    for (auto& controller : controllers_) {
      runtime_->Spawn([&] { controller->RunAuthorityLoop(stop_); });
      runtime_->Spawn([&] { controller->RunLevelLoop(stop_); });
    }
    TransferQuestion question{.router = "router-9",
                              .workspace = kWorkspace,
                              .needed = kRequestTokens,
                              .waiting = kRequestTokens,
                              .wanted = kRequestTokens,
                              .incarnation = 7,
                              .number = 1};
    const absl::Time end = SteadyNow() + absl::Seconds(5);
    TransferAnswer lost;
    while (lost.tokens == 0 && SteadyNow() < end)
      lost = controllers_[0]->GiveTokens(question);
    ASSERT_GT(lost.tokens, 0);
    // The question arrives once more, as a repeated message does.
    EXPECT_EQ(controllers_[0]->GiveTokens(question).tokens, lost.tokens);
    const TransferAnswer told =
        controllers_[0]->GiveTokens({.router = "router-9",
                                     .incarnation = 7,
                                     .number = 2,
                                     .unanswered = {1}});
    EXPECT_EQ(told.tokens, 0);
    question.number = 3;
    question.needed = question.waiting = question.wanted = 1;
    const TransferAnswer next = controllers_[0]->GiveTokens(question);
    EXPECT_EQ(next.left + next.tokens, lost.left + lost.tokens);
    // It arrives after its asker has given up.
    question.number = 1;
    EXPECT_EQ(controllers_[0]->GiveTokens(question).tokens, 0);
    stop_ = true;
    for (auto& controller : controllers_)
      controller->Close();
  });
}

TEST_P(TotalsControllerTest, WaitingRequestWhoseCallerDisconnects_IsCancelled) {
  RunOnFiber([&] {
    // The record loops do not run, so no tokens become available.
    bool disconnected = false;
    runtime_->Spawn([&disconnected] {
      hawthornhollow::SleepFor(absl::Milliseconds(50));
      disconnected = true;
    });
    const absl::Time start_time = SteadyNow();
    const auto reserved = controllers_[0]->Acquire(
        {.request = "r", .workspace = kWorkspace, .tokens = kRequestTokens},
        {.patience = absl::Seconds(5), .timeout = absl::Seconds(5)},
        [&disconnected] { return disconnected; });
    EXPECT_EQ(reserved.status().code(), absl::StatusCode::kCancelled);
    EXPECT_LT(SteadyNow() - start_time, absl::Seconds(1));
  });
}

// Guards against a loop that used a small VM's whole CPU: a workspace sends
// three times its usual load, hundreds of requests wait, and tokens become
// available continuously. Only the first request in the queue may check at each
// change.
TEST_P(TotalsControllerTest, QueuedRequests_DoNotAllCheckAtEachChange) {
  constexpr int kWaiting = 100;
  constexpr int kChanges = 200;
  constexpr absl::Duration kBetween = absl::Milliseconds(2);
  int checks = 0;
  int ended = 0;
  RunOnFiber([&] {
    for (int i = 0; i < kWaiting; ++i) {
      runtime_->Spawn([&, i] {
        const auto reserved = controllers_[0]->Acquire(
            {.request = "r",
             .workspace = kWorkspace,
             .tokens = kRequestTokens,
             .urgency = i % 3},
            {.patience = kChanges * kBetween, .timeout = kChanges * kBetween},
            [&] { return ++checks == 0; });
        EXPECT_FALSE(reserved.ok());
        ++ended;
      });
    }
    for (int i = 0; i < kChanges; ++i) {
      controllers_[0]->SetTotals(*table_);
      hawthornhollow::SleepFor(kBetween);
    }
    while (ended < kWaiting)
      hawthornhollow::SleepFor(kBetween);
  });
  // Each request checks a few times, and the first one at each change.
  constexpr int kChecksPerRequest = 8;
  EXPECT_LT(checks, kWaiting * kChecksPerRequest + 2 * kChanges);
}

INSTANTIATE_TEST_SUITE_P(LostAnswers,
                         TotalsControllerTest,
                         testing::Values(0.0, 0.3, 0.7));

}  // namespace
}  // namespace hawthornhollow
