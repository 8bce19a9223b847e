#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {
namespace {

constexpr char kWorkspace[] = "ward-7";
constexpr int64_t kTotal = 100'000;
// The most that a router that was killed and restarts at once is charged beyond
// what it committed.
constexpr int64_t kMaxCrashCharge = kTotal / 100;

// The time of day at the VM's boot.
constexpr absl::Time kBootTimeOfDay = absl::FromUnixSeconds(1'700'000'000);

// When totals are set.
constexpr absl::Duration kNow = absl::ZeroDuration();

// The start of an incarnation at boot time `now`, with a correct time of day.
IncarnationStart IncarnationStartAt(absl::Duration now,
                                    const std::string& boot = "boot-1") {
  return {.boot = boot, .boot_time = now, .time_of_day = kBootTimeOfDay + now};
}

class TotalsBookTest : public testing::Test {
 protected:
  TotalsBookTest() {
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

  // Reserves tokens after writing records that make room for them.
  std::optional<Reservation> ReserveWritten(int64_t tokens,
                                            absl::Duration now) {
    book_.AddWaiting(kWorkspace, tokens);
    Record(now);
    book_.RemoveWaiting(kWorkspace, tokens);
    return book_.Reserve(kWorkspace, tokens, now);
  }

  // Commits a reservation after writing records that make room for it.
  bool CommitWritten(const Reservation& reservation, absl::Duration now) {
    book_.AddCommitting(reservation);
    Record(now);
    book_.RemoveCommitting(reservation);
    return book_.Commit(reservation, now);
  }

  void ApplyOther(int64_t committed, int64_t authority, int64_t demand = 0) {
    fb::AuthorityRecordT other;
    other.router = "router-2";
    other.epoch = 1;
    other.sequence = 1;
    other.shares.push_back(std::make_unique<fb::AuthorityShareT>());
    other.shares[0]->workspace = kWorkspace;
    other.shares[0]->tokens = authority;
    other.shares[0]->demand = demand;
    book_.ApplyAuthority(std::move(other));
    fb::LevelRecordT level;
    level.router = "router-2";
    level.epoch = 1;
    level.sequence = 1;
    level.shares.push_back(std::make_unique<fb::LevelShareT>());
    level.shares[0]->workspace = kWorkspace;
    level.shares[0]->committed = committed;
    book_.ApplyLevel(std::move(level));
  }

  TotalsBook book_{{.router = "router-1", .boot = "boot-1"}};
};

TEST(ScheduleLimitTest, RecordsOfAnyAge_AllowWhatTheirScheduleSays) {
  fb::LevelShareT share;
  share.committed = 1'000;
  share.per_second = 500;
  share.late_after_ms = 1'000;
  share.late_per_second = 600;
  share.late_burst = 2'000;
  const struct {
    absl::Duration age;
    int64_t limit;
  } cases[] = {{absl::Seconds(-3), 1'000},
               {absl::ZeroDuration(), 1'000},
               {absl::Milliseconds(500), 1'250},
               {absl::Seconds(1), 1'500},
               // Late by half a second: half a second of the late rate and half
               // of the burst.
               {absl::Milliseconds(1'500), 2'800},
               {absl::Seconds(2), 4'100},
               {absl::Seconds(3), 4'700}};
  for (const auto& [age, limit] : cases)
    EXPECT_EQ(ScheduleLimit(share, age), limit) << age;
  EXPECT_GT(ScheduleLimit(share, absl::InfiniteDuration()), 1'000'000'000);
}

TEST(ScheduleLimitTest, RecordOfUnknownAgeWithoutRates_AllowsItsBurst) {
  fb::LevelShareT share;
  share.committed = 1'000;
  share.late_burst = 2'000;
  EXPECT_EQ(ScheduleLimit(share, absl::InfiniteDuration()), 3'000);
}

TEST(RouterRecordTest, BytesOfNoRecord_AreDataLoss) {
  for (const char* bytes : {"", "not a record"}) {
    EXPECT_EQ(DecodeAuthority(bytes).status().code(),
              absl::StatusCode::kDataLoss);
    EXPECT_EQ(DecodeLevel(bytes).status().code(), absl::StatusCode::kDataLoss);
  }
}

TEST_F(TotalsBookTest, RecordsEncodedAndDecoded_AreTheSame) {
  book_.Start({}, IncarnationStart());
  const RouterRecords records = Record(absl::Seconds(1));
  const auto authority = DecodeAuthority(EncodeAuthority(*records.authority));
  ASSERT_TRUE(authority.ok()) << authority.status();
  EXPECT_EQ(*authority, *records.authority);
  const auto level = DecodeLevel(EncodeLevel(*records.level));
  ASSERT_TRUE(level.ok()) << level.status();
  EXPECT_EQ(*level, *records.level);
}

TEST_F(TotalsBookTest, ReserveBeforeAnyRecordIsDurable_IsRefused) {
  book_.Start({}, IncarnationStart());
  EXPECT_FALSE(book_.Reserve(kWorkspace, 1, absl::Seconds(5)).has_value());
  book_.MakeAuthority(absl::Seconds(5));
  EXPECT_FALSE(book_.Reserve(kWorkspace, 1, absl::Seconds(9)).has_value());
}

TEST_F(TotalsBookTest, WaitingTokensOfTheNextRecord_CanBeReservedAtOnce) {
  book_.Start({}, IncarnationStart());
  EXPECT_TRUE(ReserveWritten(20'000, absl::Seconds(1)).has_value());
}

TEST_F(TotalsBookTest, HeldTokensWrittenAhead_CanBeCommittedAtOnce) {
  book_.Start({}, IncarnationStart());
  const auto reserved = ReserveWritten(20'000, absl::Seconds(1));
  ASSERT_TRUE(reserved.has_value());
  EXPECT_FALSE(book_.Commit(*reserved, absl::Seconds(1)));
  EXPECT_TRUE(CommitWritten(*reserved, absl::Seconds(1)));
}

TEST_F(TotalsBookTest, ReleasedReservation_GivesBackAllOfIt) {
  book_.Start({}, IncarnationStart());
  const auto reserved = ReserveWritten(20'000, absl::Seconds(1));
  ASSERT_TRUE(reserved.has_value());
  EXPECT_EQ(book_.state(kWorkspace, absl::Seconds(1)).committed, 20'000);
  book_.Release(*reserved);
  EXPECT_EQ(book_.state(kWorkspace, absl::Seconds(1)).committed, 0);
}

TEST_F(TotalsBookTest, RouterKilledWithHeldTokens_IsNotChargedForThem) {
  book_.Start({}, IncarnationStart());
  const auto delivered = ReserveWritten(3'000, absl::Seconds(1));
  const auto held = ReserveWritten(30'000, absl::Seconds(1));
  ASSERT_TRUE(delivered.has_value() && held.has_value());
  ASSERT_TRUE(CommitWritten(*delivered, absl::Seconds(1)));
  TotalsBook next({.router = "router-1", .boot = "boot-1"});
  next.SetTotal(kWorkspace, kTotal, kNow);
  const auto inherited = next.Start(
      Record(absl::Seconds(2)), IncarnationStartAt(absl::Milliseconds(2'700)));
  ASSERT_EQ(inherited.size(), 1);
  EXPECT_GE(inherited[0].charged, 3'000);
  EXPECT_LE(inherited[0].charged, 3'000 + kMaxCrashCharge);
}

TEST_F(TotalsBookTest, OldRecord_LimitsHeldTokensToItsSchedule) {
  book_.Start({}, IncarnationStart());
  Record(absl::ZeroDuration());
  const int64_t young =
      book_.state(kWorkspace, absl::Milliseconds(300)).available;
  const int64_t older =
      book_.state(kWorkspace, absl::Milliseconds(700)).available;
  EXPECT_EQ(young, Record(absl::ZeroDuration()).authority->shares[0]->tokens);
  EXPECT_GT(older, 0);
  EXPECT_LE(older, kMaxCrashCharge);
}

TEST_F(TotalsBookTest, SettledReservation_GivesBackWhatWasNotUsed) {
  book_.Start({}, IncarnationStart());
  const auto reserved = ReserveWritten(20'000, absl::Seconds(1));
  ASSERT_TRUE(reserved.has_value());
  ASSERT_TRUE(CommitWritten(*reserved, absl::Seconds(1)));
  EXPECT_EQ(book_.state(kWorkspace, absl::Seconds(1)).committed, 20'000);
  book_.Settle(*reserved, 5'000);
  EXPECT_EQ(book_.state(kWorkspace, absl::Seconds(1)).committed, 5'000);
}

TEST_F(TotalsBookTest,
       LevelWithUnknownOutcome_LimitsInAdditionToTheDurableOne) {
  book_.Start({}, IncarnationStart());
  Record(absl::ZeroDuration());
  const absl::Duration later = absl::Seconds(30);
  ASSERT_GT(book_.state(kWorkspace, later).available, 0);
  book_.MakeLevel(later);
  // The pending record is new, so its schedule does not allow anything yet.
  EXPECT_EQ(book_.state(kWorkspace, later).available, 0);
}

TEST_F(TotalsBookTest,
       AuthorityWithUnknownOutcome_LimitsInAdditionToTheDurableOne) {
  book_.Start({}, IncarnationStart());
  Record(absl::ZeroDuration());
  const int64_t before = book_.state(kWorkspace, absl::Seconds(30)).available;
  // Nothing of the total is left, so the new record gives everything back.
  ApplyOther(95'000, 95'000, /*demand=*/10'000);
  book_.SetTotal(kWorkspace, 95'000, kNow);
  book_.MakeAuthority(absl::Seconds(30));
  EXPECT_EQ(book_.state(kWorkspace, absl::Seconds(30)).available, 0);
  book_.OnAuthorityRefused();
  EXPECT_EQ(book_.state(kWorkspace, absl::Seconds(30)).available, before);
}

TEST_F(TotalsBookTest, NewIncarnationOnTheSameClock_IsChargedByTheSchedule) {
  book_.Start({}, IncarnationStart());
  const auto reserved = ReserveWritten(10'000, absl::Seconds(1));
  ASSERT_TRUE(reserved.has_value());
  ASSERT_TRUE(CommitWritten(*reserved, absl::Seconds(1)));
  const RouterRecords last = Record(absl::Seconds(2));
  const struct {
    absl::Duration age;
    int64_t charged;
  } cases[] = {{absl::Milliseconds(700),
                ScheduleLimit(*last.level->shares[0], absl::Milliseconds(700))},
               {absl::Seconds(1),
                ScheduleLimit(*last.level->shares[0], absl::Seconds(1))},
               {absl::Seconds(100), last.authority->shares[0]->tokens}};
  EXPECT_LE(cases[0].charged, 10'000 + kMaxCrashCharge);
  EXPECT_GT(cases[1].charged, cases[0].charged);
  for (const auto& [age, charged] : cases) {
    TotalsBook next({.router = "router-1", .boot = "boot-1"});
    next.SetTotal(kWorkspace, kTotal, kNow);
    const auto inherited =
        next.Start(last, IncarnationStartAt(absl::Seconds(2) + age));
    ASSERT_EQ(inherited.size(), 1);
    EXPECT_EQ(inherited[0].charged, charged) << age;
  }
}

TEST_F(TotalsBookTest, NewIncarnationAfterLastRecords_IsChargedWhatWasUsed) {
  book_.Start({}, IncarnationStart());
  const auto reserved = ReserveWritten(10'000, absl::Seconds(1));
  ASSERT_TRUE(reserved.has_value());
  ASSERT_TRUE(CommitWritten(*reserved, absl::Seconds(1)));
  book_.Settle(*reserved, 4'000);
  book_.BeginClosing();
  const RouterRecords last = Record(absl::Seconds(2));
  EXPECT_EQ(last.authority->shares[0]->tokens, 4'000);
  TotalsBook next({.router = "router-1", .boot = "boot-2"});
  const auto inherited = next.Start(last, IncarnationStart{.boot = "boot-2"});
  ASSERT_EQ(inherited.size(), 1);
  EXPECT_EQ(inherited[0].charged, 4'000);
}

TEST_F(TotalsBookTest,
       NewIncarnationWithoutTrustedClock_IsChargedTheWholeQuota) {
  book_.Start({}, IncarnationStart());
  ASSERT_TRUE(ReserveWritten(10'000, absl::Seconds(1)).has_value());
  const RouterRecords last = Record(absl::Seconds(2));
  const IncarnationStart starts[] = {
      IncarnationStartAt(absl::Seconds(3), "boot-2"),
      // The boot clock went back, so this cannot be the same boot.
      IncarnationStartAt(absl::Seconds(1)),
      IncarnationStartAt(absl::Seconds(3), "")};
  for (const IncarnationStart& start : starts) {
    TotalsBook next({.router = "router-1", .boot = start.boot});
    const auto inherited = next.Start(last, start);
    ASSERT_EQ(inherited.size(), 1);
    EXPECT_EQ(inherited[0].charged, last.authority->shares[0]->tokens);
  }
}

// There was no demand for the workspace's tokens, so its schedule has no rates.
TEST_F(TotalsBookTest,
       IdleWorkspaceWithoutTrustedClock_IsChargedTheWholeQuota) {
  book_.Start({}, IncarnationStart());
  RouterRecords last = Record(absl::Seconds(2));
  fb::LevelShareT& share = *last.level->shares[0];
  share.per_second = share.late_per_second = share.late_burst = 0;
  TotalsBook next({.router = "router-1", .boot = "boot-2"});
  const auto inherited =
      next.Start(last, IncarnationStartAt(absl::Seconds(3), "boot-2"));
  ASSERT_EQ(inherited.size(), 1);
  EXPECT_EQ(inherited[0].charged, last.authority->shares[0]->tokens);
}

// After a power loss of a second near the end of a day, only what the VM may
// have used since its last record is charged, not its whole quota.
TEST_F(TotalsBookTest, NewIncarnationAfterPowerLoss_IsChargedByTheSchedule) {
  book_.Start({}, IncarnationStart());
  ASSERT_TRUE(ReserveWritten(10'000, absl::Seconds(1)).has_value());
  const RouterRecords last = Record(absl::Seconds(2));
  TotalsBook next({.router = "router-1", .boot = "boot-2"});
  const auto inherited = next.Start(
      last, {.boot = "boot-2",
             .boot_time = absl::Milliseconds(50),
             .time_of_day = kBootTimeOfDay + absl::Milliseconds(3'500),
             .latest_time_of_day = kBootTimeOfDay + absl::Milliseconds(3'500)});
  ASSERT_EQ(inherited.size(), 1);
  const int64_t authority = last.authority->shares[0]->tokens;
  EXPECT_GE(inherited[0].charged,
            ScheduleLimit(*last.level->shares[0], absl::Milliseconds(1'500)));
  EXPECT_LT(inherited[0].charged, authority);
}

TEST_F(TotalsBookTest, ClockSetBack_LaterRecordsCarryTheEarliestTime) {
  book_.Start({}, IncarnationStart());
  book_.ObserveTimeOfDay(kBootTimeOfDay + absl::Seconds(7), absl::Seconds(10));
  EXPECT_EQ(Record(absl::Seconds(20)).level->time_of_day_us,
            absl::ToUnixMicros(kBootTimeOfDay + absl::Seconds(17)));
  book_.ObserveTimeOfDay(kBootTimeOfDay + absl::Seconds(30), absl::Seconds(30));
  EXPECT_EQ(Record(absl::Seconds(30)).level->time_of_day_us,
            absl::ToUnixMicros(kBootTimeOfDay + absl::Seconds(27)));
}

TEST_F(TotalsBookTest, NewIncarnation_CommitsNothingBeforeRecordsOfItsOwn) {
  book_.Start({}, IncarnationStart());
  const RouterRecords last = Record(absl::Seconds(2));
  TotalsBook next({.router = "router-1", .boot = "boot-1"});
  next.SetTotal(kWorkspace, kTotal, kNow);
  next.Start(last, IncarnationStartAt(absl::Seconds(3)));
  EXPECT_FALSE(next.NeedsLevelRecord(absl::Seconds(3)));
  EXPECT_TRUE(next.NeedsAuthorityRecord(absl::Seconds(3)));
  EXPECT_FALSE(next.Reserve(kWorkspace, 1, absl::Seconds(3)).has_value());
}

TEST_F(TotalsBookTest,
       DelayedRecordOfThePreviousIncarnation_IsSupersededByTheNext) {
  book_.Start({}, IncarnationStart());
  const RouterRecords last = Record(absl::Seconds(1));
  TotalsBook next({.router = "router-1", .boot = "boot-1"});
  next.Start(last, IncarnationStartAt(absl::Seconds(3)));
  // The record took effect only after the next incarnation had read the store.
  fb::AuthorityRecordT late = *last.authority;
  late.epoch += 1;
  late.sequence = 7;
  next.OnStaleAuthority(late);
  EXPECT_GT(next.MakeAuthority(absl::Seconds(3)).epoch, late.epoch);
}

TEST_F(TotalsBookTest, RefusedLevel_StartsANewEpoch) {
  book_.Start({}, IncarnationStart());
  Record(absl::Seconds(1));
  const fb::LevelRecordT refused = book_.MakeLevel(absl::Seconds(2));
  book_.OnLevelRefused();
  EXPECT_FALSE(book_.NeedsLevelRecord(absl::Seconds(2)));
  EXPECT_GT(Record(absl::Seconds(2)).level->epoch, refused.epoch);
}

TEST_F(TotalsBookTest, RecordWhileOthersOwnMostQuota_StaysWithinTheTotal) {
  book_.Start({}, IncarnationStart());
  ApplyOther(50'000, 97'000);
  book_.AddWaiting(kWorkspace, 20'000);
  const fb::AuthorityRecordT record = book_.MakeAuthority(absl::Seconds(1));
  EXPECT_LE(record.shares[0]->tokens, kTotal - 97'000);
}

// The whole of a total is in the quotas of its holders. A router that holds
// none of it claims none, whatever its own requests wait for.
TEST_F(TotalsBookTest, RouterThatIsNotAHolder_ClaimsNoQuota) {
  const std::vector<HolderCandidate> routers = {{"router-1", ""},
                                                {"router-2", ""}};
  TotalsBook book({.router = "router-1", .boot = "boot-1", .max_holders = 1});
  fb::AuthorityRecordT other;
  other.router = "router-2";
  other.address = "192.0.2.2:8229";
  other.epoch = 1;
  book.ApplyAuthority(std::move(other));
  book.Start({}, IncarnationStart());
  std::vector<std::string> held;
  for (int i = 0; i < 10; ++i) {
    const std::string workspace = "ward-" + std::to_string(i);
    book.SetTotal(workspace, kTotal, kNow);
    book.AddWaiting(workspace, 1'000);
    if (ChooseHolders(workspace, routers, 1) ==
        std::vector<std::string>{"router-1"}) {
      held.push_back(workspace);
      EXPECT_THAT(book.OtherHolders(workspace), testing::IsEmpty());
    } else {
      EXPECT_THAT(book.OtherHolders(workspace),
                  testing::ElementsAre("192.0.2.2:8229"));
    }
  }
  const fb::AuthorityRecordT record = book.MakeAuthority(absl::Seconds(1));
  std::vector<std::string> claimed;
  for (const auto& share : record.shares) {
    claimed.push_back(share->workspace);
    EXPECT_GE(share->tokens, 1'000);
  }
  EXPECT_EQ(claimed, held);
  EXPECT_THAT(held.size(), testing::AllOf(testing::Gt(0), testing::Lt(10)));
}

// Load: a workspace's requests come to a router that holds none of its total.
TEST_F(TotalsBookTest, WaitingRequestsOfAnotherRouter_GetTheirTokensAtOnce) {
  book_.Start({}, IncarnationStart());
  Record(absl::ZeroDuration());
  book_.AddLending(kWorkspace, 50'000);
  Record(absl::Seconds(1));
  book_.RemoveLending(kWorkspace, 50'000);
  EXPECT_EQ(book_.TransferOut({.router = "router-2",
                               .workspace = kWorkspace,
                               .needed = 3'000,
                               .waiting = 50'000,
                               .wanted = 90'000},
                              absl::Seconds(1)),
            50'000);
  EXPECT_EQ(book_.TransferOut({.router = "router-2",
                               .workspace = kWorkspace,
                               .needed = kTotal,
                               .waiting = kTotal,
                               .wanted = kTotal},
                              absl::Seconds(1)),
            0);
}

// Load: the store is unreachable, and a workspace's requests come to routers
// that hold none of its total. The schedule has to allow for their demand.
TEST_F(TotalsBookTest, DemandOfOtherRouters_CountsInTheSchedule) {
  constexpr int64_t kDemand = 950;  // per second, of 100'000
  book_.Start({}, IncarnationStart());
  Record(absl::Seconds(1));
  const int64_t before = Record(absl::Seconds(1)).level->shares[0]->per_second;
  EXPECT_GT(before, 0);
  book_.TransferOut({.router = "router-2",
                     .workspace = kWorkspace,
                     .wanted = 1,
                     .demand = kDemand},
                    absl::Seconds(1));
  const RouterRecords records = Record(absl::Seconds(1));
  EXPECT_GE(records.level->shares[0]->per_second, kDemand);
  EXPECT_GT(records.level->shares[0]->burst, 0);
  // A router that asks no more is forgotten.
  EXPECT_EQ(Record(absl::Seconds(30)).level->shares[0]->per_second, before);
}

TEST_F(TotalsBookTest, TokensHandedBackToTheirHolder_CanBeTransferredAgain) {
  book_.Start({}, IncarnationStart());
  Record(absl::ZeroDuration());
  const absl::Duration later = absl::Seconds(60);
  const TotalState before = book_.state(kWorkspace, later);
  const int64_t given = book_.TransferOut({.router = "router-2",
                                           .workspace = kWorkspace,
                                           .waiting = 20'000,
                                           .wanted = 20'000},
                                          later);
  ASSERT_EQ(given, 20'000);
  book_.ReceiveTransfer(kWorkspace, given);
  EXPECT_EQ(book_.state(kWorkspace, later), before);
}

TEST_F(TotalsBookTest, TransferredTokensWithoutDemand_AreTakenOutOnce) {
  TotalsBook book({.router = "router-1", .max_holders = 0});
  book.SetTotal(kWorkspace, kTotal, kNow);
  book.ReceiveTransfer(kWorkspace, 700);
  EXPECT_EQ(book.TakeExcessTransfers(kWorkspace, absl::Seconds(1)), 700);
  EXPECT_EQ(book.TakeExcessTransfers(kWorkspace, absl::Seconds(1)), 0);
  book.ReceiveTransfer(kWorkspace, 700);
  book.AddWaiting(kWorkspace, 300);
  EXPECT_EQ(book.TakeExcessTransfers(kWorkspace, absl::Seconds(1)), 400);
}

TEST_F(TotalsBookTest,
       TransferredTokens_CountAsCommittedAndCannotBeReservedHere) {
  book_.Start({}, IncarnationStart());
  Record(absl::ZeroDuration());
  const absl::Duration later = absl::Seconds(60);
  const TotalState before = book_.state(kWorkspace, later);
  ASSERT_GT(before.available, 0);
  EXPECT_EQ(book_.TransferOut({.router = "router-2",
                               .workspace = kWorkspace,
                               .waiting = kTotal,
                               .wanted = kTotal},
                              later),
            before.available);
  const TotalState after = book_.state(kWorkspace, later);
  EXPECT_EQ(after.available, 0);
  EXPECT_EQ(after.committed, before.committed + before.available);
}

TEST_F(TotalsBookTest, ReceivedTransfer_IsReservedWithoutAnyRecord) {
  book_.ReceiveTransfer(kWorkspace, 700);
  const auto reserved = book_.Reserve(kWorkspace, 500, absl::ZeroDuration());
  ASSERT_TRUE(reserved.has_value());
  EXPECT_EQ(reserved->from_transfers, 500);
  ASSERT_TRUE(book_.Commit(*reserved, absl::ZeroDuration()));
  book_.Settle(*reserved, 100);
  EXPECT_EQ(book_.state(kWorkspace, absl::ZeroDuration()).available, 600);
}

}  // namespace
}  // namespace hawthornhollow
