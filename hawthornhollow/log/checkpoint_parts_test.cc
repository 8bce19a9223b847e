#include "hawthornhollow/log/checkpoint_parts.h"

#include <string>

#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace hawthornhollow {
namespace {

TEST(CheckpointPartsTest, Add_PartsInAnyOrderAndTwice_YieldsTheWholeOnce) {
  const CheckpointRecord whole{7, "abc\nde/f"};
  std::vector<CheckpointRecord> parts = SplitCheckpoint(whole, 3);
  ASSERT_EQ(parts.size(), 3u);
  CheckpointAssembler assembler;
  EXPECT_EQ(assembler.Add("w", parts[2]), std::nullopt);
  EXPECT_EQ(assembler.Add("w", parts[0]), std::nullopt);
  EXPECT_EQ(assembler.Add("w", parts[2]), std::nullopt);
  EXPECT_EQ(assembler.Add("other", parts[1]), std::nullopt);
  EXPECT_EQ(assembler.Add("w", parts[1]), whole);
  EXPECT_EQ(assembler.Add("w", parts[1]), std::nullopt);
}

TEST(CheckpointPartsTest, Add_EmptyState_IsOnePart) {
  CheckpointAssembler assembler;
  const CheckpointRecord whole{0, ""};
  EXPECT_EQ(assembler.Add("w", SplitCheckpoint(whole, 3).at(0)), whole);
}

TEST(CheckpointPartsTest, Add_ManyUnfinished_DropsTheLowestOffset) {
  CheckpointAssembler assembler;
  for (int64_t offset = 1; offset <= 5; offset++) {
    auto parts = SplitCheckpoint({offset, "ab"}, 1);
    EXPECT_EQ(assembler.Add("w", parts[0]), std::nullopt);
  }
  EXPECT_EQ(assembler.Add("w", SplitCheckpoint({1, "ab"}, 1)[1]), std::nullopt);
  EXPECT_EQ(assembler.Add("w", SplitCheckpoint({5, "ab"}, 1)[1]),
            (CheckpointRecord{5, "ab"}));
}

TEST(CheckpointPartsTest, Parse_MalformedHeads_AreNoParts) {
  for (const char* state : {"", "part 1/1", "part 0/1\n", "part 2/1\n",
                            "part x/1\n", "part 1\n/", "part 1/99999999\n"})
    EXPECT_EQ(ParseCheckpointPart({1, state}), std::nullopt) << state;
}

}  // namespace
}  // namespace hawthornhollow
