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
    auto share = std::make_unique<fb::AuthorityShareT>();
    share->workspace = kWorkspace;
    share->tokens = tokens;
    record.shares.push_back(std::move(share));
    return record;
  }
  void ApplyOther(int64_t epoch, int64_t tokens) {
    book_.ApplyAuthority(OtherQuota(epoch, tokens));
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
  const int64_t before = book_.state(kWorkspace, {}).total - 30'000;
  const int64_t quota = QuotaWanted(absl::ZeroDuration());
  ASSERT_EQ(quota, before);
  ApplyOther(FirstEpochOf(kEra) + 1, 10'000);  // it gives back
  book_.BeginEra(kEra + 1, absl::ZeroDuration());
  EXPECT_EQ(QuotaWanted(kSettled), quota);
  // It lives: what it has given back may be taken.
  ApplyOther(FirstEpochOf(kEra + 1), 10'000);
  EXPECT_EQ(QuotaWanted(kSettled), kTotal - 10'000);
}

TEST_F(StoreEraTest, SuccessorOfALostIncarnation_KeepsQuotasUncertain) {
  ApplyOther(FirstEpochOf(kEra) + 1, 10'000);
  const int64_t quota = QuotaWanted(absl::ZeroDuration());
  ApplyOther(FirstEpochOf(kEra) + 2, 0);
  book_.BeginEra(kEra + 1, absl::ZeroDuration());
  fb::AuthorityRecordT successor = OtherQuota(FirstEpochOf(kEra + 1), 0);
  successor.incomplete = true;
  book_.ApplyAuthority(std::move(successor));
  EXPECT_EQ(QuotaWanted(kSettled), quota);
}

TEST_F(StoreEraTest, TopUpWhileQuotasAreUncertain_IsAssigned) {
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
