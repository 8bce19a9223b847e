// Which requests a total can never cover, by what is known of used tokens.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {
namespace {

constexpr char kWorkspace[] = "ward-7";
constexpr int64_t kTotal = 100'000;
constexpr absl::Time kBootTimeOfDay = absl::FromUnixSeconds(1'700'000'000);
constexpr absl::Duration kNow = absl::ZeroDuration();

IncarnationStart IncarnationStartAt(absl::Duration now) {
  return {
      .boot = "boot-1", .boot_time = now, .time_of_day = kBootTimeOfDay + now};
}

class UsedTokensTest : public testing::Test {
 protected:
  UsedTokensTest() {
    book_.SetTotal(kWorkspace, kTotal, kNow);
    book_.ObserveTimeOfDay(kBootTimeOfDay, absl::ZeroDuration());
  }

  // Makes both records and reports them as durable.
  RouterRecords Record(absl::Duration now) {
    RouterRecords records;
    records.authority = book_.MakeAuthority(now);
    book_.OnAuthorityDurable();
    records.level = book_.MakeLevel(now);
    book_.OnLevelDurable();
    return records;
  }

  std::optional<Reservation> ReserveWritten(int64_t tokens,
                                            absl::Duration now) {
    book_.AddWaiting(kWorkspace, tokens);
    Record(now);
    book_.RemoveWaiting(kWorkspace, tokens);
    return book_.Reserve(kWorkspace, tokens, now);
  }

  bool CommitWritten(const Reservation& reservation, absl::Duration now) {
    book_.AddCommitting(reservation);
    Record(now);
    book_.RemoveCommitting(reservation);
    return book_.Commit(reservation, now);
  }

  // Applies the next level record of another router.
  void ApplyOther(int64_t committed, int64_t used) {
    fb::LevelRecordT level;
    level.router = "router-9";
    level.epoch = 1;
    level.sequence = ++other_sequence_;
    level.shares.push_back(std::make_unique<fb::LevelShareT>());
    level.shares[0]->workspace = kWorkspace;
    level.shares[0]->committed = committed;
    level.shares[0]->used = used;
    book_.ApplyLevel(std::move(level));
  }

  TotalsBook book_{{.router = "router-1",
                    .boot = "boot-1",
                    .address = "router-1",
                    .spent_by_use = true}};
  int64_t other_sequence_ = 0;
};

// Commitments fall again when requests use less than their worst case.
TEST_F(UsedTokensTest, TotalCommittedByOthers_IsNotSpent) {
  ApplyOther(/*committed=*/95'000, /*used=*/0);
  EXPECT_FALSE(book_.IsSpent(kWorkspace, 5'001));
  EXPECT_FALSE(book_.IsSpent(kWorkspace, kTotal));
}

TEST_F(UsedTokensTest, TotalUsedByOthers_IsSpentForLargeRequestsOnly) {
  ApplyOther(/*committed=*/95'000, 95'000);
  EXPECT_FALSE(book_.IsSpent(kWorkspace, 5'000));
  EXPECT_TRUE(book_.IsSpent(kWorkspace, 5'001));
  book_.SetTotal(kWorkspace, kTotal + 10'000, kNow);
  EXPECT_FALSE(book_.IsSpent(kWorkspace, 5'001));
}

// Without the option a total is spent as soon as it is committed.
TEST_F(UsedTokensTest,
       TotalCommittedByOthers_WithoutTheOption_IsSpentForLarge) {
  TotalsBook book(
      {.router = "router-1", .boot = "boot-1", .address = "router-1"});
  book.SetTotal(kWorkspace, kTotal, kNow);
  fb::LevelRecordT level;
  level.router = "router-9";
  level.epoch = 1;
  level.sequence = 1;
  level.shares.push_back(std::make_unique<fb::LevelShareT>());
  level.shares[0]->workspace = kWorkspace;
  level.shares[0]->committed = 95'000;
  book.ApplyLevel(std::move(level));
  EXPECT_FALSE(book.IsSpent(kWorkspace, 5'000));
  EXPECT_TRUE(book.IsSpent(kWorkspace, 5'001));
  book.SetTotal(kWorkspace, kTotal + 10'000, kNow);
  EXPECT_FALSE(book.IsSpent(kWorkspace, 5'001));
}

// An answer that arrives late tells less than is known; it counts for nothing.
TEST_F(UsedTokensTest, UsedReportedByAHolder_CountsOnceAndNeverFalls) {
  ApplyOther(/*committed=*/95'000, 40'000);
  book_.ObserveUsed(kWorkspace, 50'000);
  book_.ObserveUsed(kWorkspace, 30'000);
  EXPECT_EQ(book_.UsedByAll(kWorkspace), 50'000);
  ApplyOther(/*committed=*/95'000, 60'000);
  EXPECT_EQ(book_.UsedByAll(kWorkspace), 60'000);
}

TEST_F(UsedTokensTest,
       OwnRequestsInProgress_CountAtTheirWorstCaseUntilTheyEnd) {
  book_.Start({}, IncarnationStart());
  ApplyOther(/*committed=*/95'000, 50'000);
  Record(absl::Seconds(1));
  const auto first = ReserveWritten(2'000, absl::Seconds(1));
  const auto second = ReserveWritten(1'000, absl::Seconds(1));
  ASSERT_TRUE(first.has_value());
  ASSERT_TRUE(second.has_value());
  EXPECT_FALSE(book_.IsSpent(kWorkspace, 47'000));
  EXPECT_TRUE(book_.IsSpent(kWorkspace, 47'001));
  book_.Release(*second);
  EXPECT_FALSE(book_.IsSpent(kWorkspace, 48'000));
  ASSERT_TRUE(CommitWritten(*first, absl::Seconds(1)));
  EXPECT_TRUE(book_.IsSpent(kWorkspace, 48'001));
  book_.Settle(*first, 500);
  EXPECT_FALSE(book_.IsSpent(kWorkspace, 49'500));
  EXPECT_TRUE(book_.IsSpent(kWorkspace, 49'501));
}

// A router without a quota tells what its requests used of others' tokens; its
// successor continues from there and is charged nothing for it.
TEST_F(UsedTokensTest, UsedTransfers_AreRecordedAndInheritedWithoutACharge) {
  book_.Start({}, IncarnationStart());
  RouterRecords records = Record(absl::Seconds(1));
  book_.ReceiveTransfer(kWorkspace, 3'000);
  const auto reservation = book_.Reserve(kWorkspace, 2'000, absl::Seconds(1));
  ASSERT_TRUE(reservation.has_value());
  ASSERT_TRUE(book_.Commit(*reservation, absl::Seconds(1)));
  book_.Settle(*reservation, 1'500);
  book_.BeginClosing();
  records = Record(absl::Seconds(2));
  ASSERT_EQ(records.level->shares.size(), 1);
  EXPECT_EQ(records.level->shares[0]->used, 1'500);
  TotalsBook successor({.router = "router-1", .boot = "boot-1"});
  successor.SetTotal(kWorkspace, kTotal, kNow);
  for (const InheritedCharge& charge :
       successor.Start(records, IncarnationStartAt(absl::Seconds(9))))
    EXPECT_EQ(charge.charged, 0);
  EXPECT_EQ(successor.UsedByAll(kWorkspace), 1'500);
}

}  // namespace
}  // namespace hawthornhollow
