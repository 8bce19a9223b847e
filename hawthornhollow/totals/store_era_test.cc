// Quotas around a restore of the store: it comes back from an older copy, and
// records that it had acknowledged are gone.

#include <gtest/gtest.h>

#include "hawthornhollow/totals/shares_internal.h"
#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {
namespace {

constexpr char kWorkspace[] = "ward-7";
constexpr int64_t kTotal = 100'000;
constexpr int64_t kMuch = 1'000'000;  // more than the total
constexpr int64_t kEra = 1;           // before the restore
// A record of a version that confirms quotas tells this.
constexpr int64_t kReadyMs = 4'000;
// Living routers have written their records again by then.
constexpr absl::Duration kSettled = absl::Seconds(4);
// A top-up after this time was unknown to all routers at the restore.
constexpr absl::Duration kLater = absl::Seconds(20);

class StoreEraTest : public testing::Test {
 protected:
  void SetUp() override {
    Start(&book_, {}, kEra);
    ApplyOther(FirstEpochOf(kEra), 30'000);
    Write(&book_, absl::ZeroDuration());
  }

  static void Start(TotalsBook* book,
                    const RouterRecords& previous,
                    int64_t era) {
    book->SetTotal(kWorkspace, kTotal, absl::ZeroDuration());
    book->Start(previous, {.boot = "boot-1", .store_era = era});
  }

  // Another router's quota.
  static fb::AuthorityRecordT OtherQuota(int64_t epoch, int64_t tokens) {
    fb::AuthorityRecordT record;
    record.router = "router-2";
    record.address = "router-2";
    record.epoch = epoch;
    record.ready_ms = kReadyMs;
    auto share = std::make_unique<fb::AuthorityShareT>();
    share->workspace = kWorkspace;
    share->tokens = tokens;
    record.shares.push_back(std::move(share));
    return record;
  }
  void ApplyOther(int64_t epoch, int64_t tokens) {
    book_.ApplyAuthority(OtherQuota(epoch, tokens));
  }
  // A third router without a quota. What one of three remembers is not enough
  // to end the doubt about another one's quota.
  void ApplyThird(int64_t epoch) { book_.ApplyAuthority(ThirdQuota(epoch)); }
  static fb::AuthorityRecordT ThirdQuota(int64_t epoch) {
    fb::AuthorityRecordT record;
    record.router = "router-3";
    record.address = "router-3";
    record.epoch = epoch;
    record.ready_ms = kReadyMs;
    return record;
  }
  // What a router tells of router-2's last quota before the restore.
  static void Tell(fb::AuthorityRecordT& record, int64_t tokens) {
    auto told = std::make_unique<fb::RememberedQuotaT>();
    told->router = "router-2";
    told->epoch = FirstEpochOf(kEra);
    told->sequence = 9;
    told->ready_ms = kReadyMs;
    auto share = std::make_unique<fb::AuthorityShareT>();
    share->workspace = kWorkspace;
    share->tokens = tokens;
    told->shares.push_back(std::move(share));
    record.remembered.push_back(std::move(told));
  }

  static RouterRecords Write(TotalsBook* book, absl::Duration now) {
    RouterRecords records;
    if (book->NeedsRecordsAnew()) {
      records.level = book->MakeLevel(now);
      book->OnLevelDurable();
    }
    records.authority = book->MakeAuthority(now);
    book->OnAuthorityDurable();
    records.level = book->MakeLevel(now);
    book->OnLevelDurable();
    return records;
  }

  // The quota after a record that is made because requests wait for tokens.
  int64_t QuotaWanted(absl::Duration now) {
    book_.AddWaiting(kWorkspace, kMuch);
    const RouterRecords records = Write(&book_, now);
    book_.RemoveWaiting(kWorkspace, kMuch);
    return FindShare(records.authority, kWorkspace)->tokens;
  }

  TotalsBook book_{{.router = "router-1", .boot = "boot-1", .address = "a"}};
};

TEST(EpochTest, Epochs_TellTheEra) {
  for (const int64_t era : {0, 1, 2, 1'000}) {
    EXPECT_EQ(EraOf(FirstEpochOf(era)), era);
    EXPECT_EQ(EraOf(FirstEpochOf(era) + 5), era);
    EXPECT_GT(FirstEpochOf(era + 1), FirstEpochOf(era) + 1'000'000'000);
  }
  EXPECT_EQ(EraOf(7), -1);
}

TEST_F(StoreEraTest, QuotasThatAreCertain_ShareTheWholeTotal) {
  EXPECT_EQ(QuotaWanted(absl::ZeroDuration()), kTotal - 30'000);
}

TEST_F(StoreEraTest, LivingRouter_WritesItsLevelAndThenItsQuotaAnew) {
  book_.BeginEra(kEra + 1, absl::ZeroDuration());
  EXPECT_FALSE(book_.NeedsAuthorityRecord(absl::ZeroDuration()));
  EXPECT_TRUE(book_.NeedsLevelRecord(absl::ZeroDuration()));
  EXPECT_EQ(EraOf(book_.MakeLevel(absl::ZeroDuration()).epoch), kEra + 1);
  book_.OnLevelDurable();
  EXPECT_TRUE(book_.NeedsAuthorityRecord(absl::ZeroDuration()));
  EXPECT_FALSE(book_.MakeAuthority(absl::ZeroDuration()).incomplete);
}

TEST_F(StoreEraTest, QuotaOfAnotherRouterIsUncertain_NoneIsRaised) {
  ApplyThird(FirstEpochOf(kEra));
  const int64_t before = book_.state(kWorkspace, {}).total - 30'000;
  const int64_t quota = QuotaWanted(absl::ZeroDuration());
  ASSERT_EQ(quota, before);
  ApplyOther(FirstEpochOf(kEra) + 1, 10'000);  // it gives back
  book_.BeginEra(kEra + 1, absl::ZeroDuration());
  EXPECT_EQ(QuotaWanted(kSettled), quota);
  // It lives: what it has given back may be taken.
  ApplyOther(FirstEpochOf(kEra + 1), 10'000);
  ApplyThird(FirstEpochOf(kEra + 1));
  EXPECT_EQ(QuotaWanted(kSettled), kTotal - 10'000);
}

TEST_F(StoreEraTest, SuccessorOfALostIncarnation_KeepsQuotasUncertain) {
  ApplyThird(FirstEpochOf(kEra));
  ApplyOther(FirstEpochOf(kEra) + 1, 10'000);
  const int64_t quota = QuotaWanted(absl::ZeroDuration());
  ApplyOther(FirstEpochOf(kEra) + 2, 0);
  book_.BeginEra(kEra + 1, absl::ZeroDuration());
  fb::AuthorityRecordT successor = OtherQuota(FirstEpochOf(kEra + 1), 0);
  successor.incomplete = true;
  book_.ApplyAuthority(std::move(successor));
  ApplyThird(FirstEpochOf(kEra + 1));
  EXPECT_EQ(QuotaWanted(kSettled), quota);
}

// The quota that a router killed in a drill may have had: what enough of the
// others remember, and an allowance; not all that nobody holds, for good.
TEST_F(StoreEraTest, LostQuotaThatOthersRemember_CostsNoMoreThanThat) {
  constexpr int64_t kAllowance = kTotal / 50;
  ApplyThird(FirstEpochOf(kEra));
  book_.BeginEra(kEra + 1, absl::ZeroDuration());
  fb::AuthorityRecordT successor = OtherQuota(FirstEpochOf(kEra + 1) + 1, 0);
  successor.incomplete = true;
  book_.ApplyAuthority(std::move(successor));
  Write(&book_, absl::ZeroDuration());
  fb::AuthorityRecordT third = ThirdQuota(FirstEpochOf(kEra + 1));
  Tell(third, 35'000);
  book_.ApplyAuthority(std::move(third));
  const fb::AuthorityRecordT own = book_.MakeAuthority(kSettled);
  book_.OnAuthorityDurable();
  ASSERT_EQ(own.remembered.size(), 1);
  EXPECT_EQ(own.remembered[0]->shares[0]->tokens, 30'000);
  EXPECT_EQ(QuotaWanted(kSettled), kTotal - 35'000 - kAllowance);
}

// It may have used what nobody had read.
TEST_F(StoreEraTest, LostQuotaOfAnEarlierVersion_StaysUncertain) {
  ApplyThird(FirstEpochOf(kEra));
  const int64_t quota = QuotaWanted(absl::ZeroDuration());
  fb::AuthorityRecordT earlier = OtherQuota(FirstEpochOf(kEra) + 1, 20'000);
  earlier.ready_ms = 0;
  book_.ApplyAuthority(std::move(earlier));
  book_.BeginEra(kEra + 1, absl::ZeroDuration());
  Write(&book_, absl::ZeroDuration());
  fb::AuthorityRecordT third = ThirdQuota(FirstEpochOf(kEra + 1));
  Tell(third, 10'000);
  book_.ApplyAuthority(std::move(third));
  EXPECT_EQ(QuotaWanted(kSettled), quota);
}

// The same where its VM doesn't come back.
TEST_F(StoreEraTest, RouterThatDoesNotComeBack_CostsWhatOthersRemember) {
  ApplyThird(FirstEpochOf(kEra));
  book_.BeginEra(kEra + 1, absl::ZeroDuration());
  Write(&book_, absl::ZeroDuration());
  fb::AuthorityRecordT third = ThirdQuota(FirstEpochOf(kEra + 1));
  Tell(third, 30'000);
  book_.ApplyAuthority(std::move(third));
  EXPECT_EQ(QuotaWanted(kSettled), kTotal - 30'000 - kTotal / 50);
}

TEST_F(StoreEraTest, TopUpWhileQuotasAreUncertain_IsAssigned) {
  ApplyThird(FirstEpochOf(kEra));
  const int64_t quota = QuotaWanted(absl::ZeroDuration());
  book_.BeginEra(kEra + 1, absl::ZeroDuration());
  // A router that is gone may have known this one.
  book_.SetTotal(kWorkspace, kTotal + 500, absl::Seconds(1));
  EXPECT_EQ(QuotaWanted(kSettled), quota);
  book_.SetTotal(kWorkspace, kTotal + 2'500, kLater);
  EXPECT_EQ(QuotaWanted(kLater), quota + 2'000);
  EXPECT_EQ(QuotaWanted(kLater), quota + 2'000);
}

// Another router may have read the smaller quota and taken the rest.
TEST_F(StoreEraTest, SmallerQuotaInFlight_IsKeptTo) {
  QuotaWanted(absl::ZeroDuration());
  const fb::AuthorityRecordT sent = book_.MakeAuthority(absl::ZeroDuration());
  const int64_t smaller = FindShare(sent, kWorkspace)->tokens;
  ASSERT_LT(smaller, kTotal - 30'000);
  book_.BeginEra(kEra + 1, absl::ZeroDuration());
  EXPECT_LE(QuotaWanted(absl::ZeroDuration()), smaller);
}

TEST_F(StoreEraTest, SuccessorAfterARestore_IsChargedItsWholeQuota) {
  QuotaWanted(absl::ZeroDuration());
  const RouterRecords copy = Write(&book_, absl::ZeroDuration());
  const int64_t quota = FindShare(copy.authority, kWorkspace)->tokens;
  ASSERT_GT(quota, 0);
  TotalsBook next({.router = "router-1", .boot = "boot-1", .address = "a"});
  next.SetTotal(kWorkspace, kTotal, absl::ZeroDuration());
  const auto inherited =
      next.Start(copy, {.boot = "boot-1", .store_era = kEra + 1});
  ASSERT_EQ(inherited.size(), 1);
  EXPECT_EQ(inherited[0].charged, quota);
  EXPECT_TRUE(next.MakeAuthority(absl::ZeroDuration()).incomplete);
}

// Its level record tells of the charge before its quota counts as certain: if
// it is killed in between, its own successor asks again.
TEST_F(StoreEraTest, SuccessorThatLearnsItsQuota_WritesItsLevelFirst) {
  TotalsBook next({.router = "router-2", .boot = "boot-1", .address = "b"});
  next.SetTotal(kWorkspace, kTotal, absl::ZeroDuration());
  const fb::AuthorityRecordT copy = OtherQuota(FirstEpochOf(kEra), 1'000);
  next.ApplyAuthority(ThirdQuota(FirstEpochOf(kEra + 1)));
  RouterRecords previous;
  previous.authority = copy;
  next.Start(previous, {.boot = "boot-1", .store_era = kEra + 1});
  Write(&next, absl::ZeroDuration());
  ASSERT_EQ(next.quota_doubt(), QuotaDoubt::kOpen);
  fb::AuthorityRecordT third = ThirdQuota(FirstEpochOf(kEra + 1));
  third.sequence = 1;
  Tell(third, 40'000);
  next.ApplyAuthority(std::move(third));
  ASSERT_EQ(next.quota_doubt(), QuotaDoubt::kLearned);
  EXPECT_TRUE(next.MakeAuthority(kSettled).incomplete);
  next.OnAuthorityDurable();
  EXPECT_TRUE(next.NeedsLevelRecord(kSettled));
  const fb::LevelRecordT level = next.MakeLevel(kSettled);
  EXPECT_EQ(FindShare(level, kWorkspace)->committed, 42'000);
  next.OnLevelDurable();
  EXPECT_EQ(next.quota_doubt(), QuotaDoubt::kNone);
  EXPECT_TRUE(next.NeedsAuthorityRecord(kSettled));
  const fb::AuthorityRecordT complete = next.MakeAuthority(kSettled);
  EXPECT_FALSE(complete.incomplete);
  EXPECT_GE(FindShare(complete, kWorkspace)->tokens, 42'000);
}

// Others could not tell of it if the store lost it.
TEST_F(StoreEraTest, RaisedQuotaThatNobodyHasRead_IsHardlyUsed) {
  TotalsBook book({.router = "router-4", .boot = "boot-1", .address = "d"});
  book.ApplyAuthority(OtherQuota(FirstEpochOf(kEra), 0));
  book.ApplyAuthority(ThirdQuota(FirstEpochOf(kEra)));
  Start(&book, {}, kEra);
  book.ObserveAuthoritiesRead(3);
  Write(&book, absl::ZeroDuration());
  const std::optional<Reservation> much =
      book.Reserve(kWorkspace, kTotal / 25, absl::ZeroDuration());
  ASSERT_TRUE(much.has_value());
  book.AddCommitting(*much);
  book.ObserveAuthoritiesRead(4);
  Write(&book, absl::ZeroDuration());
  EXPECT_FALSE(book.Commit(*much, absl::ZeroDuration()));
  fb::LevelRecordT reader;
  reader.router = "router-3";
  reader.epoch = FirstEpochOf(kEra);
  reader.authorities_read = 4;
  book.ApplyLevel(std::move(reader));
  EXPECT_TRUE(book.Commit(*much, absl::ZeroDuration()));
}

// Most of a quota is for outages of the store: a router that was killed as its
// record was young cannot have used it.
TEST_F(StoreEraTest, QuotaOfAYoungRecord_IsUsedOnlyAsFarAsItIsReady) {
  TotalsBook book({.router = "router-4", .boot = "boot-1", .address = "d"});
  Start(&book, {}, kEra);
  const fb::AuthorityRecordT record =
      *Write(&book, absl::ZeroDuration()).authority;
  const fb::AuthorityShareT* share = FindShare(record, kWorkspace);
  ASSERT_LT(share->ready, share->tokens / 4);
  const std::optional<Reservation> half =
      book.Reserve(kWorkspace, share->tokens / 2, absl::ZeroDuration());
  ASSERT_TRUE(half.has_value());
  book.AddCommitting(*half);
  book.MakeLevel(absl::ZeroDuration());
  book.OnLevelDurable();
  EXPECT_FALSE(book.Commit(*half, absl::ZeroDuration()));
  EXPECT_TRUE(book.Commit(*half, absl::Milliseconds(record.ready_ms)));
}

// Its predecessor's level record may take effect late.
TEST_F(StoreEraTest, SuccessorOfARouterThatLivedOn_HasALaterEpoch) {
  const RouterRecords copy = Write(&book_, absl::ZeroDuration());
  book_.BeginEra(kEra + 1, absl::ZeroDuration());
  const int64_t in_flight = book_.MakeLevel(absl::ZeroDuration()).epoch;
  TotalsBook next({.router = "router-1", .boot = "boot-1", .address = "a"});
  next.Start(copy, {.boot = "boot-1", .store_era = kEra + 1});
  EXPECT_GT(next.MakeAuthority(absl::ZeroDuration()).epoch, in_flight);
}

// Its predecessor was killed between the two records.
TEST_F(StoreEraTest, LevelRecordFromBeforeTheQuotasEra_IsNotBelieved) {
  QuotaWanted(absl::ZeroDuration());
  RouterRecords records = Write(&book_, absl::ZeroDuration());
  records.authority->epoch = FirstEpochOf(kEra + 1);
  const int64_t quota = FindShare(records.authority, kWorkspace)->tokens;
  TotalsBook next({.router = "router-1", .boot = "boot-1", .address = "a"});
  const auto inherited =
      next.Start(records, {.boot = "boot-1", .store_era = kEra + 1});
  ASSERT_EQ(inherited.size(), 1);
  EXPECT_EQ(inherited[0].charged, quota);
  EXPECT_FALSE(next.MakeAuthority(absl::ZeroDuration()).incomplete);
}

// An append of an earlier era has taken effect at an offset that was given out
// again.
TEST_F(StoreEraTest, OlderQuotaThatReplacesTheNewest_IsReplaced) {
  QuotaWanted(absl::ZeroDuration());
  const RouterRecords old = Write(&book_, absl::ZeroDuration());
  book_.BeginEra(kEra + 1, absl::ZeroDuration());
  const RouterRecords anew = Write(&book_, kSettled);
  book_.OnStaleAuthority(*anew.authority);
  const bool needed = book_.NeedsAuthorityRecord(kSettled);
  book_.OnStaleAuthority(*old.authority);
  EXPECT_TRUE(book_.NeedsAuthorityRecord(kSettled));
  Write(&book_, kSettled);
  EXPECT_EQ(book_.NeedsAuthorityRecord(kSettled), needed);
}

}  // namespace
}  // namespace hawthornhollow
