#include "hawthornhollow/relay/buffered_answers.h"

#include <gtest/gtest.h>

#include <memory>
#include <random>
#include <vector>

namespace hawthornhollow {
namespace {

constexpr size_t kMax = 1000;

class BufferedAnswersTest : public testing::Test {
 protected:
  std::unique_ptr<BufferedAnswers::Entry> Begin() {
    return std::make_unique<BufferedAnswers::Entry>(answers_,
                                                    [this] { ++cancels_; });
  }

  BufferedAnswers answers_{kMax};
  int cancels_ = 0;
};

// A faulty server's large answers failed the small ones of sound servers.
TEST_F(BufferedAnswersTest, SmallAnswerOverTheBound_DropsTheLargest) {
  const auto large = Begin();
  const auto larger = Begin();
  const auto small = Begin();
  EXPECT_TRUE(large->Grow(400));
  EXPECT_TRUE(larger->Grow(600));
  EXPECT_TRUE(small->Grow(10));
  EXPECT_TRUE(larger->is_cancelled());
  EXPECT_FALSE(large->is_cancelled());
  EXPECT_EQ(answers_.bytes(), 410);
  EXPECT_EQ(cancels_, 1);
  EXPECT_FALSE(larger->Grow(1));
  EXPECT_EQ(answers_.bytes(), 410);
}

TEST_F(BufferedAnswersTest, LargestAnswerOverTheBound_FailsItself) {
  const auto small = Begin();
  auto large = Begin();
  EXPECT_TRUE(small->Grow(300));
  EXPECT_TRUE(large->Grow(700));
  EXPECT_FALSE(large->Grow(1));
  EXPECT_EQ(cancels_, 0);
  large.reset();
  EXPECT_EQ(answers_.bytes(), 300);
  EXPECT_TRUE(small->Grow(700));
}

TEST_F(BufferedAnswersTest, EqualAnswers_TheOneThatGrowsFails) {
  const auto a = Begin();
  const auto b = Begin();
  EXPECT_TRUE(a->Grow(500));
  EXPECT_TRUE(b->Grow(500));
  EXPECT_FALSE(a->Grow(1));
  EXPECT_FALSE(b->is_cancelled());
}

// What is counted is the sum of the answers in progress, and within the bound.
TEST_F(BufferedAnswersTest, RandomAnswers_StayWithinTheBound) {
  std::mt19937_64 random(1);
  struct Answer {
    std::unique_ptr<BufferedAnswers::Entry> entry;
    size_t bytes = 0;
  };
  std::vector<Answer> open;
  for (int step = 0; step < 20'000; ++step) {
    if (open.size() < 2 || random() % 5 == 0) {
      open.push_back({.entry = Begin()});
    } else {
      const size_t i = random() % open.size();
      const size_t bytes = random() % 200;
      open[i].bytes += bytes;
      if (random() % 20 == 0 || !open[i].entry->Grow(bytes))
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(i));
    }
    size_t sum = 0;
    for (const Answer& answer : open)
      sum += answer.entry->is_cancelled() ? 0 : answer.bytes;
    ASSERT_EQ(answers_.bytes(), sum);
    ASSERT_LE(sum, kMax);
  }
}

}  // namespace
}  // namespace hawthornhollow
