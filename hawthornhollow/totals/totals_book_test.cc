#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {
namespace {

constexpr char kWard[] = "ward-7";
constexpr int64_t kTotal = 100'000;

class TotalsBookTest : public testing::Test {
 protected:
  TotalsBookTest() { book_.SetTotal(kWard, kTotal); }

  // Makes a record and lets the store take it.
  fb::RouterRecordT Record(absl::Duration now) {
    fb::RouterRecordT record = book_.MakeRecord(now);
    book_.OnRecordDurable();
    return record;
  }

  // Reserves what a record has to be written for.
  std::optional<Reservation> ReserveWritten(int64_t tokens,
                                            absl::Duration now) {
    book_.AddWaiting(kWard, tokens);
    Record(now);
    book_.RemoveWaiting(kWard, tokens);
    return book_.Reserve(kWard, tokens, now);
  }

  static fb::RouterRecordT OtherRecord(int64_t committed, int64_t authority) {
    fb::RouterRecordT record;
    record.router = "router-2";
    record.epoch = 1;
    record.sequence = 1;
    record.shares.push_back(std::make_unique<fb::TotalShareT>());
    record.shares[0]->workspace = kWard;
    record.shares[0]->committed = committed;
    record.shares[0]->authority = authority;
    return record;
  }

  TotalsBook book_{{.router = "router-1", .boot = "boot-1"}};
};

TEST(SpendingLimitTest, RecordsOfAnyAge_NeverAllowMoreThanTheAuthority) {
  fb::TotalShareT share;
  share.committed = 1'000;
  share.authority = 5'000;
  share.per_second = 500;
  share.burst = 2'000;
  share.burst_after_ms = 1'000;
  const struct {
    absl::Duration age;
    int64_t limit;
  } cases[] = {{absl::Seconds(-3), 1'000},       {absl::ZeroDuration(), 1'000},
               {absl::Milliseconds(500), 1'250}, {absl::Seconds(1), 3'500},
               {absl::Seconds(3), 4'500},        {absl::Seconds(60), 5'000},
               {absl::InfiniteDuration(), 5'000}};
  for (const auto& [age, limit] : cases)
    EXPECT_EQ(SpendingLimit(share, age), limit) << age;
}

TEST(RouterRecordTest, BytesOfNoRecord_AreDataLoss) {
  EXPECT_EQ(DecodeRouterRecord("").status().code(),
            absl::StatusCode::kDataLoss);
  EXPECT_EQ(DecodeRouterRecord("not a record").status().code(),
            absl::StatusCode::kDataLoss);
}

TEST_F(TotalsBookTest, RecordEncodedAndDecoded_IsTheSame) {
  book_.Start(std::nullopt, absl::ZeroDuration());
  const fb::RouterRecordT record = Record(absl::Seconds(1));
  const auto decoded = DecodeRouterRecord(EncodeRouterRecord(record));
  ASSERT_TRUE(decoded.ok()) << decoded.status();
  EXPECT_EQ(*decoded, record);
}

TEST_F(TotalsBookTest, ReserveBeforeAnyRecordIsDurable_IsRefused) {
  book_.Start(std::nullopt, absl::ZeroDuration());
  EXPECT_FALSE(book_.Reserve(kWard, 1, absl::Seconds(5)).has_value());
  book_.MakeRecord(absl::Seconds(5));
  EXPECT_FALSE(book_.Reserve(kWard, 1, absl::Seconds(9)).has_value());
}

TEST_F(TotalsBookTest, WaitingTokensWrittenAhead_CanBeReservedAtOnce) {
  book_.Start(std::nullopt, absl::ZeroDuration());
  EXPECT_TRUE(ReserveWritten(20'000, absl::Seconds(1)).has_value());
}

TEST_F(TotalsBookTest, SettledReservation_GivesBackWhatWasNotUsed) {
  book_.Start(std::nullopt, absl::ZeroDuration());
  const auto reserved = ReserveWritten(20'000, absl::Seconds(1));
  ASSERT_TRUE(reserved.has_value());
  EXPECT_EQ(book_.state(kWard, absl::Seconds(1)).committed, 20'000);
  book_.Settle(*reserved, 5'000);
  EXPECT_EQ(book_.state(kWard, absl::Seconds(1)).committed, 5'000);
}

TEST_F(TotalsBookTest, RecordOfUnknownOutcome_BindsBesideTheDurableOne) {
  book_.Start(std::nullopt, absl::ZeroDuration());
  Record(absl::ZeroDuration());
  const absl::Duration later = absl::Seconds(30);
  const int64_t before = book_.state(kWard, later).available;
  ASSERT_GT(before, 0);
  book_.MakeRecord(later);
  // The pending record is new: its schedule has allowed nothing yet.
  EXPECT_EQ(book_.state(kWard, later).available, 0);
  book_.OnRecordRefused();
  EXPECT_EQ(book_.state(kWard, later).available, before);
}

TEST_F(TotalsBookTest, NewIncarnationOnTheSameClock_IsChargedByTheSchedule) {
  book_.Start(std::nullopt, absl::ZeroDuration());
  ASSERT_TRUE(ReserveWritten(10'000, absl::Seconds(1)).has_value());
  const fb::RouterRecordT last = Record(absl::Seconds(2));
  const fb::TotalShareT& share = *last.shares[0];

  TotalsBook next({.router = "router-1", .boot = "boot-1"});
  next.SetTotal(kWard, kTotal);
  const auto inherited = next.Start(last, absl::Seconds(3));
  ASSERT_EQ(inherited.size(), 1);
  EXPECT_EQ(inherited[0].charged, SpendingLimit(share, absl::Seconds(1)));
  EXPECT_LT(inherited[0].charged, share.authority);
}

TEST_F(TotalsBookTest, NewIncarnationAfterALastRecord_IsChargedWhatWasUsed) {
  book_.Start(std::nullopt, absl::ZeroDuration());
  const auto reserved = ReserveWritten(10'000, absl::Seconds(1));
  ASSERT_TRUE(reserved.has_value());
  book_.Settle(*reserved, 4'000);
  const fb::RouterRecordT last = book_.MakeLastRecord(absl::Seconds(2));
  TotalsBook next({.router = "router-1", .boot = "boot-2"});
  const auto inherited = next.Start(last, absl::Seconds(60));
  ASSERT_EQ(inherited.size(), 1);
  EXPECT_EQ(inherited[0].charged, 4'000);
}

TEST_F(TotalsBookTest, NewIncarnationAfterAReboot_IsChargedTheAuthority) {
  book_.Start(std::nullopt, absl::ZeroDuration());
  ASSERT_TRUE(ReserveWritten(10'000, absl::Seconds(1)).has_value());
  const fb::RouterRecordT last = Record(absl::Seconds(2));
  for (const auto& [boot, now] :
       {std::pair<std::string, absl::Duration>("boot-2", absl::Seconds(3)),
        {"boot-1", absl::Seconds(1)},  // the clock went back: it is another
        {"", absl::Seconds(3)}}) {
    TotalsBook next({.router = "router-1", .boot = boot});
    const auto inherited = next.Start(last, now);
    ASSERT_EQ(inherited.size(), 1);
    EXPECT_EQ(inherited[0].charged, last.shares[0]->authority) << boot;
  }
}

TEST_F(TotalsBookTest, RecordWithOthersHoldingMost_StaysWithinTheTotal) {
  book_.Start(std::nullopt, absl::ZeroDuration());
  book_.ApplyRecord(OtherRecord(50'000, 97'000));
  book_.AddWaiting(kWard, 20'000);
  const fb::RouterRecordT record = book_.MakeRecord(absl::Seconds(1));
  EXPECT_LE(record.shares[0]->authority, kTotal - 97'000);
}

TEST_F(TotalsBookTest, TotalCommittedByOthers_IsSpentForLargeRequestsOnly) {
  book_.ApplyRecord(OtherRecord(95'000, 100'000));
  EXPECT_FALSE(book_.IsSpent(kWard, 5'000));
  EXPECT_TRUE(book_.IsSpent(kWard, 5'001));
  book_.SetTotal(kWard, kTotal + 10'000);
  EXPECT_FALSE(book_.IsSpent(kWard, 5'001));
}

TEST_F(TotalsBookTest, IdleRouterNearTheEnd_LeavesWhatIsLeftToDemand) {
  book_.Start(std::nullopt, absl::ZeroDuration());
  fb::RouterRecordT busy = OtherRecord(90'000, 91'000);
  busy.shares[0]->demand = 10'000;
  book_.ApplyRecord(std::move(busy));
  const fb::RouterRecordT record = book_.MakeRecord(absl::Seconds(1));
  EXPECT_THAT(record.shares, testing::IsEmpty());
}

TEST_F(TotalsBookTest, PendingRecordThatLeavesAShareOut_AllowsNothingOfIt) {
  book_.Start(std::nullopt, absl::ZeroDuration());
  Record(absl::ZeroDuration());
  ASSERT_GT(book_.state(kWard, absl::Seconds(60)).available, 0);
  fb::RouterRecordT busy = OtherRecord(95'000, 95'000);
  busy.shares[0]->demand = 10'000;
  book_.ApplyRecord(std::move(busy));
  EXPECT_THAT(book_.MakeRecord(absl::Seconds(60)).shares, testing::IsEmpty());
  EXPECT_EQ(book_.state(kWard, absl::Seconds(120)).available, 0);
}

TEST_F(TotalsBookTest, GivenTokens_CountAsCommittedAndCannotBeReservedHere) {
  book_.Start(std::nullopt, absl::ZeroDuration());
  Record(absl::ZeroDuration());
  const absl::Duration later = absl::Seconds(60);
  const TotalState before = book_.state(kWard, later);
  ASSERT_GT(before.available, 0);
  EXPECT_EQ(book_.Give(kWard, kTotal, later), before.available);
  const TotalState after = book_.state(kWard, later);
  EXPECT_EQ(after.available, 0);
  EXPECT_EQ(after.committed, before.committed + before.available);
}

TEST_F(TotalsBookTest, ReceivedTransfer_IsReservedWithoutAnyRecord) {
  book_.ReceiveTransfer(kWard, 700);
  const auto reserved = book_.Reserve(kWard, 500, absl::ZeroDuration());
  ASSERT_TRUE(reserved.has_value());
  EXPECT_EQ(reserved->from_transfers, 500);
  book_.Settle(*reserved, 100);
  EXPECT_EQ(book_.state(kWard, absl::ZeroDuration()).available, 600);
}

}  // namespace
}  // namespace hawthornhollow
