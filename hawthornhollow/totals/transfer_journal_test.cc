#include "hawthornhollow/totals/transfer_journal.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace hawthornhollow {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

TransferQuestion Question(int64_t number,
                          std::vector<int64_t> unanswered = {},
                          uint64_t incarnation = 7) {
  return {.router = "router-1",
          .workspace = "ward-7",
          .wanted = 900,
          .incarnation = incarnation,
          .number = number,
          .unanswered = std::move(unanswered)};
}

TEST(TransferJournalTest, GrantWhoseAnswerWasLost_IsTakenBackOnce) {
  TransferJournal journal;
  journal.OnGiven(Question(1), 500);
  journal.OnGiven(Question(2), 300);
  EXPECT_THAT(journal.TakeUnanswered(Question(3, {1})),
              ElementsAre(TransferGrant{.workspace = "ward-7", .tokens = 500}));
  EXPECT_THAT(journal.TakeUnanswered(Question(4, {1})), IsEmpty());
  EXPECT_EQ(journal.KnownAnswer(Question(2)), 300);
}

// Its answer would come too late, and its tokens would be nobody's.
TEST(TransferJournalTest, QuestionThatArrivesAfterItsAskerGaveUp_GetsNothing) {
  TransferJournal journal;
  EXPECT_THAT(journal.TakeUnanswered(Question(2, {1})), IsEmpty());
  EXPECT_EQ(journal.KnownAnswer(Question(1)), 0);
  EXPECT_EQ(journal.KnownAnswer(Question(2)), std::nullopt);
}

TEST(TransferJournalTest, QuestionThatArrivesTwice_GetsTheSameAnswer) {
  TransferJournal journal;
  EXPECT_EQ(journal.KnownAnswer(Question(1)), std::nullopt);
  journal.OnGiven(Question(1), 500);
  EXPECT_EQ(journal.KnownAnswer(Question(1)), 500);
}

// What its earlier incarnation got may be used.
TEST(TransferJournalTest, AskerThatRestarted_GivesNothingBack) {
  TransferJournal journal;
  journal.OnGiven(Question(1), 500);
  EXPECT_THAT(journal.TakeUnanswered(Question(9, {1}, /*incarnation=*/8)),
              IsEmpty());
  EXPECT_EQ(journal.KnownAnswer(Question(2, {}, 8)), std::nullopt);
}

TEST(TransferJournalTest, ManyQuestions_TheOldestAreForgotten) {
  TransferJournal journal;
  constexpr int64_t kMany = 3 * TransferJournal::kMaxGrants;
  for (int64_t number = 1; number <= kMany; ++number) {
    journal.OnGiven(Question(number), number);
    journal.TakeUnanswered(Question(kMany + number, {kMany + number}));
  }
  EXPECT_EQ(journal.KnownAnswer(Question(kMany)), 0);  // below all given up
  EXPECT_EQ(journal.KnownAnswer(Question(2 * kMany)), 0);
  EXPECT_EQ(journal.KnownAnswer(Question(2 * kMany + 1)), std::nullopt);
}

}  // namespace
}  // namespace hawthornhollow
