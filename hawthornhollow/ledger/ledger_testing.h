#ifndef HAWTHORNHOLLOW_LEDGER_LEDGER_TESTING_H_
#define HAWTHORNHOLLOW_LEDGER_LEDGER_TESTING_H_

// Code shared by the tests of the folds: a helper that applies records one by
// one, and random streams with duplicate records and checkpoints.

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "hawthornhollow/ledger/ledger.h"

namespace hawthornhollow {

// A seeded source of random numbers for tests.
class RandomSource {
 public:
  explicit RandomSource(uint64_t seed) : engine_(seed) {}
  // Returns a number from `low` to `high`, both inclusive.
  int64_t Uniform(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(engine_);
  }
  bool OneIn(int64_t n) { return Uniform(1, n) == 1; }
  // Returns `prefix` followed by a number below `count`, such as "r0" or "r1".
  std::string NumberedName(const std::string& prefix, int64_t count) {
    return prefix + std::to_string(Uniform(0, count - 1));
  }

 private:
  std::mt19937_64 engine_;
};

// Applies records to a fold, one per batch, with increasing offsets and
// sequences.
template <Fold F>
class FoldFeeder {
 public:
  F fold;

  Verdict Apply(const RecordBody& body, const std::string& writer = "w") {
    return ApplyAs(writer, ++sequences_[writer], body);
  }
  Verdict ApplyAs(const std::string& writer,
                  int64_t sequence,
                  const RecordBody& body) {
    return fold.Apply(++offset_, Batch{writer, {Record{sequence, 0, body}}})[0];
  }
  int64_t offset() const { return offset_; }

 private:
  int64_t offset_ = 0;
  std::map<std::string, int64_t> sequences_;
};

// Generates the batches of a random stream, with record bodies from
// `generate(rng)`. Some batches are appended a second time later, as happens
// when the reply to an append is lost and the writer retries.
template <typename Generate>
std::vector<Batch> GenerateStream(RandomSource& rng,
                                  int64_t batches,
                                  Generate generate) {
  std::vector<Batch> stream;
  std::map<std::string, int64_t> sequences;
  for (int64_t i = 0; i < batches; ++i) {
    if (!stream.empty() && rng.OneIn(8)) {
      const auto last = static_cast<int64_t>(stream.size()) - 1;
      stream.push_back(stream[rng.Uniform(0, last)]);
      continue;
    }
    Batch batch{rng.NumberedName("w", 4), {}};
    const int64_t records = rng.Uniform(1, 3);
    for (int64_t k = 0; k < records; ++k) {
      RecordBody body = generate(rng);
      if (rng.OneIn(20))
        body = CheckpointRecord{0, "state"};
      batch.records.push_back(Record{++sequences[batch.writer], 0, body});
    }
    stream.push_back(std::move(batch));
  }
  return stream;
}

// A simple reference for the detection of duplicates: a record is one if its
// sequence is not above those of all earlier records of its writer.
class DuplicateReference {
 public:
  bool IsDuplicate(const std::string& writer, int64_t sequence) {
    const bool is_duplicate =
        std::any_of(seen_.begin(), seen_.end(), [&](const auto& entry) {
          return entry.first == writer && entry.second >= sequence;
        });
    seen_.emplace_back(writer, sequence);
    return is_duplicate;
  }

 private:
  std::vector<std::pair<std::string, int64_t>> seen_;
};

// Replaces `fold` by one restored from its checkpoint, and expects that the
// checkpoint of the restored fold has equal bytes.
template <Fold F>
void RestoreFromCheckpoint(F& fold) {
  const std::string state = fold.Serialize();
  auto restored = F::Restore(state);
  ASSERT_TRUE(restored.ok()) << restored.status();
  EXPECT_EQ(restored->Serialize(), state);
  EXPECT_EQ(restored->applied_offset(), fold.applied_offset());
  fold = *std::move(restored);
}

inline constexpr uint64_t kCorruptionSeeds = 5'000;

// Overwrites random bytes of a checkpoint. Each corrupted checkpoint that can
// be restored must give a fold that applies further batches without a crash.
template <Fold F, typename Generate>
void ExpectCorruptionIsHarmless(const F& fold, Generate generate) {
  const std::string state = fold.Serialize();
  for (uint64_t seed = 1; seed <= kCorruptionSeeds; ++seed) {
    RandomSource rng(seed);
    std::string bytes = state;
    for (int64_t i = rng.Uniform(1, 4); i > 0; --i) {
      const auto last = static_cast<int64_t>(bytes.size()) - 1;
      bytes[rng.Uniform(0, last)] = static_cast<char>(rng.Uniform(0, 255));
    }
    auto restored = F::Restore(bytes);
    if (!restored.ok())
      continue;
    int64_t offset = restored->applied_offset();
    for (const Batch& batch : GenerateStream(rng, 10, generate))
      restored->Apply(++offset, batch);
    EXPECT_TRUE(F::Restore(restored->Serialize()).ok());
  }
}

// Applies a random stream to a fold and to a reference implementation.
// Reference::Decide(body, offset) returns the expected kind and amount, and
// Reference::Check(fold) compares the state.
template <Fold F, typename Reference, typename Generate>
void CompareWithReference(uint64_t seed, int64_t batches, Generate generate) {
  SCOPED_TRACE(testing::Message() << "seed " << seed);
  RandomSource rng(seed);
  F fold;
  Reference reference;
  DuplicateReference duplicates;
  int64_t offset = -1;
  for (const Batch& batch : GenerateStream(rng, batches, generate)) {
    const std::vector<Verdict> verdicts = fold.Apply(++offset, batch);
    ASSERT_EQ(verdicts.size(), batch.records.size());
    for (size_t i = 0; i < verdicts.size(); ++i) {
      const Record& record = batch.records[i];
      RecordDecision expected;
      if (std::holds_alternative<CheckpointRecord>(record.body))
        expected.kind = VerdictKind::kAccepted;
      else if (duplicates.IsDuplicate(batch.writer, record.sequence))
        expected.kind = VerdictKind::kDuplicate;
      else
        expected = reference.Decide(record.body, offset);
      ASSERT_EQ(verdicts[i].kind, expected.kind) << FormatVerdict(verdicts[i]);
      ASSERT_EQ(verdicts[i].amount, expected.amount)
          << FormatVerdict(verdicts[i]);
    }
    reference.Check(fold);
    if (testing::Test::HasFailure())
      return;
    if (rng.OneIn(6))
      RestoreFromCheckpoint(fold);
  }
}

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_LEDGER_LEDGER_TESTING_H_
