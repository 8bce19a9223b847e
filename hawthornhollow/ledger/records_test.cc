#include <string>
#include <variant>
#include <vector>

#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "hawthornhollow/ledger/ledger.h"
#include "hawthornhollow/ledger/ledger_testing.h"

namespace hawthornhollow {
namespace {

using testing::HasSubstr;

constexpr uint64_t kFuzzSeeds = 30'000;

// One record of each type, in the order of RecordBody.
std::vector<RecordBody> AllBodies() {
  PublishRecord publish{"id", "binod", 3, {}};
  publish.changes.push_back(FileChange{"a.json", "text \"quoted\"\n"});
  publish.changes.push_back(FileChange{"b.json", ""});
  publish.changes.push_back(FileChange{"c.json", std::nullopt});
  return {publish,
          RouterOpenRecord{"r1", "router-1", "patan"},
          RouterAliveRecord{"r1"},
          RouterClosedRecord{"r1"},
          RouterSuspectRecord{"r1", "no heartbeat"},
          GateOpenRecord{"sidecar-1", "g1", "engine-1"},
          GateClosedRecord{"g1"},
          GateSealedRecord{"g1", "r1"},
          GateSettledRecord{"r1", "g1"},
          BudgetVotedRecord{"permits", 500'000, 7},
          GrantRequestRecord{"permits", "r1", 2000, 100},
          GrantReturnRecord{"permits", "r1", 300},
          ClaimRecord{"q", "permits", "r1", "g1", "booking-1"},
          ClaimReleasedRecord{"q", "r1"},
          BillRecord{"q", "permits", "ward-7", "r1", "engine-1", "g1", 100, 20,
                     120, Outcome::kCancelled},
          AccountClosedRecord{"r1", true},
          CheckpointRecord{41, std::string("\0\xff state", 8)}};
}

Batch BatchOfAll() {
  Batch batch{"writer", {}};
  for (const RecordBody& body : AllBodies()) {
    const auto sequence = static_cast<int64_t>(batch.records.size()) + 1;
    batch.records.push_back(Record{sequence, 1'700'000'000'000, body});
  }
  return batch;
}

void ExpectDataLoss(const std::string& bytes) {
  EXPECT_EQ(DecodeBatch(bytes).status().code(), absl::StatusCode::kDataLoss);
}

TEST(RecordsTest, EveryType_EncodedAndDecoded_IsEqual) {
  ASSERT_EQ(AllBodies().size(), std::variant_size_v<RecordBody>);
  for (size_t i = 0; i < AllBodies().size(); ++i)
    EXPECT_EQ(AllBodies()[i].index(), i);
  const auto decoded = DecodeBatch(EncodeBatch(BatchOfAll()));
  ASSERT_TRUE(decoded.ok()) << decoded.status();
  EXPECT_EQ(*decoded, BatchOfAll());
  EXPECT_EQ(*DecodeBatch(EncodeBatch(Batch{"w", {}})), (Batch{"w", {}}));
}

TEST(RecordsTest, InvalidBatch_Decoded_IsDataLoss) {
  ExpectDataLoss("");
  ExpectDataLoss("not a batch");
  ExpectDataLoss(EncodeBatch(Batch{"", {}}));
  ExpectDataLoss(EncodeBatch(Batch{std::string(kMaxWriterBytes + 1, 'w'), {}}));
  ExpectDataLoss(EncodeBatch(
      Batch{"w", std::vector<Record>(kMaxBatchRecords + 1,
                                     Record{1, 0, RouterAliveRecord{"r"}})}));
  BillRecord bill;
  bill.outcome = static_cast<Outcome>(77);
  ExpectDataLoss(EncodeBatch(Batch{"w", {Record{1, 0, bill}}}));
}

TEST(RecordsTest, TruncatedBatch_Decoded_DoesNotCrash) {
  const std::string bytes = EncodeBatch(BatchOfAll());
  for (size_t size = 0; size < bytes.size(); ++size)
    (void)DecodeBatch(bytes.substr(0, size));
}

// If `bytes` decodes, encoding and decoding the batch again must give an equal
// batch.
void ExpectStable(const std::string& bytes) {
  const auto batch = DecodeBatch(bytes);
  if (!batch.ok()) {
    EXPECT_EQ(batch.status().code(), absl::StatusCode::kDataLoss);
    return;
  }
  const auto again = DecodeBatch(EncodeBatch(*batch));
  ASSERT_TRUE(again.ok()) << again.status();
  EXPECT_EQ(*again, *batch);
}

TEST(RecordsFuzzTest, MutatedBytes_NeverCrash) {
  const std::string valid = EncodeBatch(BatchOfAll());
  for (uint64_t seed = 1; seed <= kFuzzSeeds; ++seed) {
    RandomSource rng(seed);
    std::string bytes = valid;
    for (int64_t i = rng.Uniform(1, 6); i > 0; --i) {
      const auto last = static_cast<int64_t>(bytes.size()) - 1;
      bytes[rng.Uniform(0, last)] = static_cast<char>(rng.Uniform(0, 255));
    }
    if (rng.OneIn(4))
      bytes.resize(rng.Uniform(1, static_cast<int64_t>(bytes.size())));
    ExpectStable(bytes);
  }
}

TEST(RecordsFuzzTest, RandomBytes_NeverCrash) {
  for (uint64_t seed = 1; seed <= kFuzzSeeds; ++seed) {
    RandomSource rng(seed);
    std::string bytes(rng.Uniform(0, 200), '\0');
    for (char& byte : bytes)
      byte = static_cast<char>(rng.OneIn(2) ? 0 : rng.Uniform(0, 255));
    ExpectStable(bytes);
  }
}

Verdict VerdictOn(const RecordBody& body) {
  Verdict verdict;
  verdict.offset = 12;
  verdict.writer = "r1";
  verdict.record = Record{3, 5, body};
  return verdict;
}

TEST(VerdictTest, EveryType_Formatted_IsOneLine) {
  for (const RecordBody& body : AllBodies()) {
    Verdict verdict = VerdictOn(body);
    verdict.reason = "line\nbreak and \"quote\"";
    const std::string line = FormatVerdict(verdict);
    EXPECT_THAT(line, HasSubstr("offset=12 writer=r1 sequence=3 time_ms=5 "));
    EXPECT_THAT(line, HasSubstr(R"(reason="line\nbreak and \"quote\"")"));
    EXPECT_EQ(line.find('\n'), std::string::npos);
  }
}

TEST(VerdictTest, Grant_Formatted_NamesEveryField) {
  Verdict verdict = VerdictOn(GrantRequestRecord{"p", "r1", 9, 4});
  verdict.amount = 7;
  EXPECT_EQ(FormatVerdict(verdict),
            "offset=12 writer=r1 sequence=3 time_ms=5 record=grant_request "
            "budget=p incarnation=r1 tokens=9 minimum=4 verdict=accepted "
            "amount=7");
}

TEST(VerdictTest, Publish_Formatted_ListsFilesWithoutTexts) {
  const Verdict verdict = VerdictOn(AllBodies()[0]);
  EXPECT_THAT(FormatVerdict(verdict),
              HasSubstr("files=a.json,b.json,-c.json verdict="));
}

TEST(WriterSequencesTest, AboveLimit_RemovesLongestIdleWriter) {
  WriterSequences sequences;
  EXPECT_TRUE(sequences.Advance("idle", 1, 0));
  EXPECT_TRUE(sequences.Advance("busy", 1, 1));
  for (size_t i = 0; i < WriterSequences::kMaxWriters - 1; ++i) {
    const auto offset = static_cast<int64_t>(i) + 2;
    EXPECT_TRUE(sequences.Advance("w" + std::to_string(i), 1, offset));
    if (i == 0) {
      EXPECT_TRUE(sequences.Advance("busy", 2, offset));
    }
  }
  EXPECT_EQ(sequences.entries().size(), WriterSequences::kMaxWriters);
  EXPECT_FALSE(sequences.entries().contains("idle"));
  EXPECT_FALSE(sequences.Advance("busy", 2, 1'000'000));
}

}  // namespace
}  // namespace hawthornhollow
