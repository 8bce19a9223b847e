#include "hawthornhollow/relay/evacuated_domains.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

namespace hawthornhollow {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

constexpr char kZone[] = "z1";

class EvacuatedDomainsTest : public testing::Test {
 protected:
  static constexpr absl::Duration kOperatorTime = absl::Seconds(10);

  static EvacuationRead Read(int64_t era,
                             int64_t end,
                             std::map<std::string, int64_t> present,
                             std::map<std::string, int64_t> deleted = {}) {
    return {.position = {.era = era, .offset = end},
            .present = std::move(present),
            .deleted = std::move(deleted)};
  }
  static bool IsEvacuated(const EvacuatedDomains& domains) {
    return domains.evacuated().contains(kZone);
  }

  const absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  EvacuatedDomains domains_{{.operator_time = kOperatorTime}};
};

TEST_F(EvacuatedDomainsTest, RecordWrittenAndDeleted_IsReportedOnceEach) {
  EXPECT_THAT(domains_.OnRead(Read(1, 1, {}), now_), IsEmpty());
  EXPECT_THAT(domains_.OnRead(Read(1, 2, {{kZone, 1}}), now_),
              ElementsAre(DomainChange{
                  .domain = kZone, .is_evacuated = true, .position = {1, 1}}));
  EXPECT_THAT(domains_.OnRead(Read(1, 2, {{kZone, 1}}), now_), IsEmpty());
  EXPECT_THAT(domains_.evacuated(), ElementsAre(kZone));
  EXPECT_THAT(domains_.OnRead(Read(1, 3, {}, {{kZone, 2}}), now_),
              ElementsAre(DomainChange{
                  .domain = kZone, .is_evacuated = false, .position = {1, 2}}));
  EXPECT_THAT(domains_.evacuated(), IsEmpty());
}

TEST_F(EvacuatedDomainsTest, OlderRead_NeverReplacesANewerOne) {
  domains_.OnRead(Read(1, 5, {{kZone, 4}}), now_);
  EXPECT_THAT(domains_.OnRead(Read(1, 4, {}), now_), IsEmpty());
  EXPECT_TRUE(IsEvacuated(domains_));
  domains_.OnRead(Read(1, 6, {}, {{kZone, 5}}), now_);
  EXPECT_THAT(domains_.OnRead(Read(1, 5, {{kZone, 4}}), now_), IsEmpty());
  EXPECT_FALSE(IsEvacuated(domains_));
  domains_.OnRead(Read(2, 6, {}, {{kZone, 5}}), now_);
  EXPECT_THAT(domains_.OnRead(Read(1, 9, {{kZone, 8}}), now_), IsEmpty());
}

// A deletion that is written again at once must not look like an end.
TEST_F(EvacuatedDomainsTest, DeletedAndWrittenAgainBetweenReads_GoesOn) {
  domains_.OnRead(Read(1, 5, {{kZone, 4}}), now_);
  EXPECT_THAT(domains_.OnRead(Read(1, 7, {{kZone, 6}}), now_), IsEmpty());
  EXPECT_TRUE(IsEvacuated(domains_));
}

// A store that lists no deletions among its newest records.
TEST_F(EvacuatedDomainsTest, RecordMissingInALaterReadOfTheEra_Ends) {
  domains_.OnRead(Read(1, 5, {{kZone, 4}}), now_);
  domains_.OnRead(Read(1, 6, {}), now_);
  EXPECT_FALSE(IsEvacuated(domains_));
}

// What is read first in a new era, after what was known in the era before, and
// what holds at once and after the operator's time.
TEST_F(EvacuatedDomainsTest, RestoredStore_TableOfWhatWasKnownAndWhatIsRead) {
  struct Case {
    const char* what;
    std::vector<EvacuationRead> reads;
    bool at_once;
    bool later;
  };
  const Case cases[] = {
      {"the record was lost",
       {Read(1, 3, {}), Read(1, 9, {{kZone, 8}}), Read(2, 5, {})},
       true,
       true},
      {"the record is in the copy",
       {Read(1, 9, {{kZone, 3}}), Read(2, 5, {{kZone, 3}})},
       true,
       true},
      {"the record was lost; the copy has an earlier deletion",
       {Read(1, 5, {}, {{kZone, 4}}), Read(1, 9, {{kZone, 8}}),
        Read(2, 6, {}, {{kZone, 4}})},
       true,
       true},
      {"the same, when the earlier deletion was never read",
       {Read(1, 9, {{kZone, 8}}), Read(2, 6, {}, {{kZone, 4}})},
       true,
       true},
      {"a deletion follows the record in the copy",
       {Read(1, 9, {{kZone, 3}}), Read(2, 12, {}, {{kZone, 10}})},
       false,
       false},
      {"a deletion before the first read, where there was none",
       {Read(1, 8, {}), Read(1, 9, {{kZone, 8}}), Read(2, 6, {}, {{kZone, 5}})},
       false,
       false},
      {"a deletion at the record's offset",
       {Read(1, 9, {{kZone, 8}}), Read(2, 9, {}, {{kZone, 8}})},
       false,
       false},
      {"the deletion was lost, and the record is back",
       {Read(1, 4, {{kZone, 3}}), Read(1, 9, {}, {{kZone, 8}}),
        Read(2, 5, {{kZone, 3}})},
       false,
       true},
      {"the same, when only the deletion was ever read",
       {Read(1, 9, {}, {{kZone, 8}}), Read(2, 5, {{kZone, 3}})},
       false,
       true},
      {"a new record before the first read, where there was none",
       {Read(1, 6, {{kZone, 3}}), Read(1, 9, {}, {{kZone, 8}}),
        Read(2, 6, {{kZone, 5}})},
       true,
       true},
      {"a record follows the deletion",
       {Read(1, 4, {{kZone, 3}}), Read(1, 9, {}, {{kZone, 8}}),
        Read(2, 11, {{kZone, 10}})},
       true,
       true},
      {"written again in the new era, after the first read",
       {Read(1, 4, {{kZone, 3}}), Read(1, 9, {}, {{kZone, 8}}),
        Read(2, 5, {{kZone, 3}}), Read(2, 6, {{kZone, 5}})},
       true,
       true},
      {"both lost",
       {Read(1, 2, {}), Read(1, 7, {{kZone, 3}}), Read(1, 9, {}, {{kZone, 8}}),
        Read(2, 2, {})},
       false,
       false},
      {"lost, and deleted in the new era",
       {Read(1, 3, {}), Read(1, 9, {{kZone, 8}}), Read(2, 5, {}),
        Read(2, 6, {}, {{kZone, 5}})},
       false,
       false},
      {"lost, written again, and gone",
       {Read(1, 3, {}), Read(1, 9, {{kZone, 8}}), Read(2, 5, {}),
        Read(2, 6, {{kZone, 5}}), Read(2, 7, {})},
       false,
       false},
      {"present in the new era, and gone",
       {Read(1, 9, {{kZone, 3}}), Read(2, 5, {{kZone, 3}}), Read(2, 6, {})},
       false,
       false},
      {"lost twice",
       {Read(1, 3, {}), Read(1, 9, {{kZone, 8}}), Read(2, 5, {}),
        Read(3, 4, {})},
       true,
       true},
  };
  for (const Case& test : cases) {
    EvacuatedDomains domains({.operator_time = kOperatorTime});
    for (const EvacuationRead& read : test.reads)
      domains.OnRead(read, now_);
    EXPECT_EQ(IsEvacuated(domains), test.at_once) << test.what;
    EXPECT_EQ(domains.next_change() == now_ + kOperatorTime,
              test.at_once != test.later)
        << test.what;
    domains.OnTime(now_ + kOperatorTime - absl::Milliseconds(1));
    EXPECT_EQ(IsEvacuated(domains), test.at_once) << test.what;
    domains.OnTime(now_ + kOperatorTime);
    EXPECT_EQ(IsEvacuated(domains), test.later) << test.what;
  }
}

// A router that has lost the store.
TEST_F(EvacuatedDomainsTest, ReportOfAnotherRouter_IsTakenIfItIsNewer) {
  EvacuatedDomains other({.operator_time = kOperatorTime});
  EXPECT_EQ(other.Report(), std::nullopt);
  domains_.OnRead(Read(1, 3, {}), now_);
  other.OnRead(Read(1, 5, {{kZone, 4}}), now_);
  EXPECT_EQ(domains_.OnReport(*other.Report(), now_).size(), 1);
  EXPECT_TRUE(IsEvacuated(domains_));
  const EvacuationReport old = *other.Report();
  other.OnRead(Read(1, 6, {}, {{kZone, 5}}), now_);
  domains_.OnReport(*other.Report(), now_);
  EXPECT_FALSE(IsEvacuated(domains_));
  EXPECT_THAT(domains_.OnReport(old, now_), IsEmpty());
  EXPECT_FALSE(IsEvacuated(domains_));
  // Its own read is behind what it was told.
  EXPECT_THAT(domains_.OnRead(Read(1, 5, {{kZone, 4}}), now_), IsEmpty());
  EXPECT_FALSE(IsEvacuated(domains_));
}

TEST_F(EvacuatedDomainsTest, ReportToARouterThatHasReadNothing_IsTaken) {
  EvacuatedDomains other({.operator_time = kOperatorTime});
  other.OnRead(Read(1, 5, {{kZone, 4}}), now_);
  domains_.OnReport(*other.Report(), now_);
  EXPECT_TRUE(IsEvacuated(domains_));
}

// A router that was killed, and starts when the store has lost the record.
TEST_F(EvacuatedDomainsTest, LostRecord_IsKnownFromRoutersOfEitherEra) {
  for (const bool other_knows_era : {false, true}) {
    EvacuatedDomains other({.operator_time = kOperatorTime});
    other.OnRead(Read(1, 5, {{kZone, 4}}), now_);
    if (other_knows_era)
      other.OnRead(Read(2, 3, {}), now_);
    EvacuatedDomains domains({.operator_time = kOperatorTime});
    domains.OnRead(Read(2, 3, {}), now_);
    EXPECT_FALSE(IsEvacuated(domains));
    domains.OnReport(*other.Report(), now_);
    EXPECT_TRUE(IsEvacuated(domains)) << other_knows_era;
    domains.OnRead(Read(2, 4, {}, {{kZone, 3}}), now_);
    EXPECT_FALSE(IsEvacuated(domains)) << other_knows_era;
  }
}

// A router that was cut off when a record that the others knew was deleted, and
// both the record and its deletion were lost.
TEST_F(EvacuatedDomainsTest, LostDeletion_EndsAnEvacuationHeldElsewhere) {
  EvacuatedDomains other({.operator_time = kOperatorTime});
  for (EvacuatedDomains* router : {&other, &domains_})
    router->OnRead(Read(1, 5, {{kZone, 4}}), now_);
  other.OnRead(Read(1, 6, {}, {{kZone, 5}}), now_);
  for (EvacuatedDomains* router : {&other, &domains_})
    router->OnRead(Read(2, 3, {}), now_);
  EXPECT_TRUE(IsEvacuated(domains_));
  domains_.OnReport(*other.Report(), now_);
  EXPECT_FALSE(IsEvacuated(domains_));
}

// The operator ends it before a router reads the new era for the first time;
// another one has seen that the deletion is of the new era.
TEST_F(EvacuatedDomainsTest, DeletionBeforeTheFirstRead_IsKnownFromOthers) {
  EvacuatedDomains other({.operator_time = kOperatorTime});
  domains_.OnRead(Read(1, 9, {{kZone, 8}}), now_);
  domains_.OnRead(Read(2, 6, {}, {{kZone, 5}}), now_);
  EXPECT_TRUE(IsEvacuated(domains_));
  other.OnRead(Read(2, 5, {}), now_);
  domains_.OnReport(*other.Report(), now_);
  EXPECT_FALSE(IsEvacuated(domains_));
}

// A router that saw neither of two restores cannot order the records that it
// knows; one that saw what lies between can.
TEST_F(EvacuatedDomainsTest, OrderOverSeveralRestores_IsKnownFromOthers) {
  EvacuatedDomains other({.operator_time = kOperatorTime});
  for (EvacuatedDomains* router : {&other, &domains_})
    router->OnRead(Read(3, 30, {}, {{kZone, 20}}), now_);
  other.OnRead(Read(4, 12, {}), now_);
  other.OnRead(Read(4, 13, {}, {{kZone, 12}}), now_);
  other.OnRead(Read(5, 15, {{kZone, 14}}), now_);
  for (EvacuatedDomains* router : {&other, &domains_})
    router->OnRead(Read(7, 18, {{kZone, 14}}), now_);
  EXPECT_FALSE(IsEvacuated(domains_));
  domains_.OnReport(*other.Report(), now_);
  EXPECT_TRUE(IsEvacuated(domains_));
}

// The operator's time counts from the restore, not from a router's start.
TEST_F(EvacuatedDomainsTest, RouterThatStartsLate_CountsFromTheRestore) {
  EvacuatedDomains other({.operator_time = kOperatorTime});
  other.OnRead(Read(1, 4, {{kZone, 3}}), now_);
  other.OnRead(Read(1, 9, {}, {{kZone, 8}}), now_);
  other.OnRead(Read(2, 5, {{kZone, 3}}), now_);
  const absl::Time start = now_ + absl::Seconds(6);
  domains_.OnRead(Read(2, 5, {{kZone, 3}}), start);
  EXPECT_TRUE(IsEvacuated(domains_));
  domains_.OnReport(*other.Report(), start);
  EXPECT_FALSE(IsEvacuated(domains_));
  EXPECT_EQ(domains_.next_change(), now_ + kOperatorTime);
}

TEST_F(EvacuatedDomainsTest, TooManyDomains_ForgetThoseInNoEvacuation) {
  std::map<std::string, int64_t> deleted;
  for (size_t i = 0; i < 2 * EvacuatedDomains::kMaxDomains; ++i)
    deleted[absl::StrCat("d", i)] = 1;
  domains_.OnRead(Read(1, 9, {{kZone, 3}}, deleted), now_);
  EXPECT_TRUE(IsEvacuated(domains_));
  EXPECT_EQ(domains_.Report()->domains.size(), EvacuatedDomains::kMaxDomains);
}

}  // namespace
}  // namespace hawthornhollow
