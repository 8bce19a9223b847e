#ifndef HAWTHORNHOLLOW_LEDGER_LEDGER_TESTING_H_
#define HAWTHORNHOLLOW_LEDGER_LEDGER_TESTING_H_

// What the tests of the folds share: feeding records one by one, and random
// streams with repeats and checkpoints.

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

// A random source with the draws that the tests need.
class Dice {
 public:
  explicit Dice(uint64_t seed) : engine_(seed) {}
  // A number from `low` to `high`, both included.
  int64_t Between(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(engine_);
  }
  bool OneIn(int64_t n) { return Between(1, n) == 1; }
  // A name of `count` with a prefix: "r0", "r1", ...
  std::string Name(const std::string& prefix, int64_t count) {
    return prefix + std::to_string(Between(0, count - 1));
  }

 private:
  std::mt19937_64 engine_;
};

// Feeds a fold one record per batch, with rising offsets and sequences.
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

// Draws the batches of a stream: `draw(dice)` gives bodies. Some batches are
// appended again later, as after a lost reply.
template <typename Draw>
std::vector<Batch> DrawStream(Dice& dice, int64_t batches, Draw draw) {
  std::vector<Batch> stream;
  std::map<std::string, int64_t> sequences;
  for (int64_t i = 0; i < batches; ++i) {
    if (!stream.empty() && dice.OneIn(8)) {
      const auto last = static_cast<int64_t>(stream.size()) - 1;
      stream.push_back(stream[dice.Between(0, last)]);
      continue;
    }
    Batch batch{dice.Name("w", 4), {}};
    const int64_t records = dice.Between(1, 3);
    for (int64_t k = 0; k < records; ++k) {
      RecordBody body = draw(dice);
      if (dice.OneIn(20))
        body = CheckpointRecord{0, "state"};
      batch.records.push_back(Record{++sequences[batch.writer], 0, body});
    }
    stream.push_back(std::move(batch));
  }
  return stream;
}

// Whether `record` must be ignored: its sequence is not above those of the
// records from `writer` that came before.
class RepeatReference {
 public:
  bool IsRepeat(const std::string& writer, int64_t sequence) {
    const bool is_repeat =
        std::any_of(seen_.begin(), seen_.end(), [&](const auto& entry) {
          return entry.first == writer && entry.second >= sequence;
        });
    seen_.emplace_back(writer, sequence);
    return is_repeat;
  }

 private:
  std::vector<std::pair<std::string, int64_t>> seen_;
};

// Replaces the fold by what its checkpoint restores, and expects equal bytes.
template <Fold F>
void RestoreInPlace(F& fold) {
  const std::string state = fold.Serialize();
  auto restored = F::Restore(state);
  ASSERT_TRUE(restored.ok()) << restored.status();
  EXPECT_EQ(restored->Serialize(), state);
  EXPECT_EQ(restored->applied_offset(), fold.applied_offset());
  fold = *std::move(restored);
}

inline constexpr uint64_t kDamageSeeds = 5'000;

// Damages a checkpoint in many ways; whatever restores must go on without a
// crash.
template <Fold F, typename Draw>
void ExpectDamageIsHarmless(const F& fold, Draw draw) {
  const std::string state = fold.Serialize();
  for (uint64_t seed = 1; seed <= kDamageSeeds; ++seed) {
    Dice dice(seed);
    std::string bytes = state;
    for (int64_t i = dice.Between(1, 4); i > 0; --i) {
      const auto last = static_cast<int64_t>(bytes.size()) - 1;
      bytes[dice.Between(0, last)] = static_cast<char>(dice.Between(0, 255));
    }
    auto restored = F::Restore(bytes);
    if (!restored.ok())
      continue;
    int64_t offset = restored->applied_offset();
    for (const Batch& batch : DrawStream(dice, 10, draw))
      restored->Apply(++offset, batch);
    EXPECT_TRUE(F::Restore(restored->Serialize()).ok());
  }
}

// Runs a random stream through a fold and a reference, whose
// Rule(writer, body, offset) gives the expected kind and amount, and whose
// Check(fold) compares the state.
template <Fold F, typename Reference, typename Draw>
void CompareWithReference(uint64_t seed, int64_t batches, Draw draw) {
  SCOPED_TRACE(testing::Message() << "seed " << seed);
  Dice dice(seed);
  F fold;
  Reference reference;
  RepeatReference repeats;
  int64_t offset = -1;
  for (const Batch& batch : DrawStream(dice, batches, draw)) {
    const std::vector<Verdict> verdicts = fold.Apply(++offset, batch);
    ASSERT_EQ(verdicts.size(), batch.records.size());
    for (size_t i = 0; i < verdicts.size(); ++i) {
      const Record& record = batch.records[i];
      Ruling expected;
      if (std::holds_alternative<CheckpointRecord>(record.body))
        expected.kind = VerdictKind::kAccepted;
      else if (repeats.IsRepeat(batch.writer, record.sequence))
        expected.kind = VerdictKind::kRepeat;
      else
        expected = reference.Rule(record.body, offset);
      ASSERT_EQ(verdicts[i].kind, expected.kind) << FormatVerdict(verdicts[i]);
      ASSERT_EQ(verdicts[i].amount, expected.amount)
          << FormatVerdict(verdicts[i]);
    }
    reference.Check(fold);
    if (testing::Test::HasFailure())
      return;
    if (dice.OneIn(6))
      RestoreInPlace(fold);
  }
}

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_LEDGER_LEDGER_TESTING_H_
