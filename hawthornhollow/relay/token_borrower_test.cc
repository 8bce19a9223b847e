#include "hawthornhollow/relay/token_borrower.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <future>

namespace hawthornhollow {
namespace {

constexpr char kWorkspace[] = "ward-7";
constexpr int64_t kTotal = 10'000'000;
constexpr int64_t kRequestTokens = 1'000;

// A router that is not among the three holders, which answer as the test says.
class TokenBorrowerTest : public testing::Test {
 protected:
  void SetUp() override {
    auto runtime = Runtime::Create({.threads = 1});
    ASSERT_TRUE(runtime.ok()) << runtime.status();
    runtime_ = *std::move(runtime);
    book_.SetTotal(kWorkspace, kTotal, BootTime());
    for (int i = 0; i < 3; ++i) {
      fb::AuthorityRecordT record;
      record.router = record.address = "holder-" + std::to_string(i);
      record.failure_domain = std::to_string(i);
      record.epoch = record.sequence = 1;
      book_.ApplyAuthority(std::move(record));
    }
    book_.Start({}, {});
    book_.BeginClosing();  // so that this router itself is no holder
  }

  // Calls `task` on a fiber, and then lets questions be answered.
  void RunOnFiber(const std::function<void()>& task) {
    std::promise<void> done;
    runtime_->Spawn([&] {
      task();
      hawthornhollow::SleepFor(absl::Milliseconds(20));
      done.set_value();
    });
    done.get_future().wait();
  }

  void ObserveRequests(int requests) {
    for (int i = 0; i < requests; ++i)
      book_.ObserveDemand(kWorkspace, kRequestTokens, BootTime());
  }
  int64_t available() { return book_.state(kWorkspace, BootTime()).available; }

  std::unique_ptr<Runtime> runtime_;
  TotalsBook book_{{.router = "router-1",
                    .boot = "boot-1",
                    .address = "router-1",
                    .failure_domain = "1"}};
  FiberSignal changed_;
  RelayMetrics metrics_;
  absl::StatusOr<TransferAnswer> answer_ = TransferAnswer();
  std::vector<std::pair<std::string, TransferQuestion>> questions_;
  TokenBorrower borrower_{
      book_,
      changed_,
      metrics_,
      {},
      [this](std::function<void()> task) { runtime_->Spawn(std::move(task)); },
      {.ask =
           [this](const std::string& address,
                  const TransferQuestion& question) {
             questions_.emplace_back(address, question);
             return answer_;
           },
       .hand_over = [](const std::string&,
                       const std::string&,
                       int64_t) { return absl::OkStatus(); }},
      [](const std::string&) { return kRequestTokens; }};
};

// Guards against questions in the path of requests, whose answers come late on
// links that are nearly full.
TEST_F(TokenBorrowerTest,
       Borrower_WithLittleLeftOfItsLoan_AsksWhileNothingWaits) {
  answer_ = TransferAnswer{.tokens = 8'000, .loan = 10'000};
  RunOnFiber([&] {
    ObserveRequests(20);
    book_.ObserveLoan(kWorkspace, 10'000);
    borrower_.AskAhead(kWorkspace);
    borrower_.AskAhead(kWorkspace);  // while the first question is under way
  });
  ASSERT_EQ(questions_.size(), 1);
  EXPECT_EQ(questions_[0].first, "holder-1");  // in its failure domain
  EXPECT_EQ(questions_[0].second.needed, 0);
  EXPECT_GT(questions_[0].second.wanted, 0);
  EXPECT_EQ(available(), 8'000);
  RunOnFiber([&] { borrower_.AskAhead(kWorkspace); });
  EXPECT_EQ(questions_.size(), 1);
}

// Holders of earlier versions allow no loans; they are asked when requests
// wait, as before.
TEST_F(TokenBorrowerTest, Borrower_WithoutALoan_DoesNotAskAhead) {
  RunOnFiber([&] {
    ObserveRequests(40);
    borrower_.AskAhead(kWorkspace);
  });
  EXPECT_TRUE(questions_.empty());
}

TEST_F(TokenBorrowerTest, HolderThatDoesNotAnswer_IsNotAskedAgainSoon) {
  answer_ = absl::UnavailableError("cut off");
  RunOnFiber([&] {
    book_.AddWaiting(kWorkspace, kRequestTokens);
    borrower_.StartRound(kWorkspace);
  });
  EXPECT_EQ(questions_.size(), 3);
  EXPECT_TRUE(borrower_.IsHolderSilent(kWorkspace));
  EXPECT_FALSE(borrower_.DoesAHolderAnswer(kWorkspace));
  RunOnFiber([&] {
    hawthornhollow::SleepFor(TokenBorrowerOptions().ask_interval);
    borrower_.StartRound(kWorkspace);
  });
  EXPECT_EQ(questions_.size(), 3);
}

// So that it takes back what it gave.
TEST_F(TokenBorrowerTest, HolderWhoseAnswerWasLost_IsToldUntilItAnswers) {
  answer_ = absl::DeadlineExceededError("the link is full");
  RunOnFiber([&] {
    book_.AddWaiting(kWorkspace, kRequestTokens);
    borrower_.StartRound(kWorkspace);
  });
  ASSERT_EQ(questions_.size(), 3);
  std::map<std::string, int64_t> lost;  // numbers by holder
  for (const auto& [holder, question] : questions_)
    lost[holder] = question.number;
  questions_.clear();
  answer_ = TransferAnswer{};
  RunOnFiber([&] {
    borrower_.TellUnanswered();  // not yet
    hawthornhollow::SleepFor(TokenBorrowerOptions().ask_pause);
    borrower_.TellUnanswered();
  });
  ASSERT_EQ(questions_.size(), 3);
  for (const auto& [holder, question] : questions_) {
    EXPECT_EQ(question.unanswered, std::vector<int64_t>({lost[holder]}));
    EXPECT_EQ(question.wanted, 0);
  }
  RunOnFiber([&] { borrower_.TellUnanswered(); });
  EXPECT_EQ(questions_.size(), 3);
}

// While all is known to be committed, questions would only load the links.
TEST_F(TokenBorrowerTest, HoldersWithTooLittle_AreNotExpectedToGive) {
  answer_ = TransferAnswer{.left = kRequestTokens / 2};
  EXPECT_TRUE(borrower_.MayBeGiven(kWorkspace, kRequestTokens));
  RunOnFiber([&] {
    book_.AddWaiting(kWorkspace, kRequestTokens);
    borrower_.StartRound(kWorkspace);
  });
  EXPECT_FALSE(borrower_.MayBeGiven(kWorkspace, kRequestTokens));
  EXPECT_TRUE(borrower_.MayBeGiven(kWorkspace, kRequestTokens / 4));
}

}  // namespace
}  // namespace hawthornhollow
