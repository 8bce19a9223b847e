#include "hawthornhollow/log/checkpoint_parts.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace hawthornhollow {

namespace {

constexpr std::string_view kPartWord = "part ";

std::optional<int64_t> ParseNumber(std::string_view text) {
  int64_t number = 0;
  if (!absl::SimpleAtoi(std::string(text), &number))
    return std::nullopt;
  return number;
}

}  // namespace

std::vector<CheckpointRecord> SplitCheckpoint(
    const CheckpointRecord& checkpoint,
    size_t part_bytes) {
  const size_t size = checkpoint.state.size();
  const size_t count =
      std::max<size_t>(1, (size + part_bytes - 1) / part_bytes);
  std::vector<CheckpointRecord> parts;
  for (size_t index = 0; index < count; index++) {
    CheckpointRecord part;
    part.offset = checkpoint.offset;
    part.state =
        absl::StrCat(std::string(kPartWord), index + 1, "/", count, "\n");
    part.state.append(checkpoint.state, index * part_bytes, part_bytes);
    parts.push_back(std::move(part));
  }
  return parts;
}

std::optional<CheckpointPart> ParseCheckpointPart(
    const CheckpointRecord& record) {
  const std::string_view text = record.state;
  const size_t slash = text.find('/');
  const size_t end = text.find('\n');
  if (!text.starts_with(kPartWord) || end == std::string_view::npos ||
      slash > end) {
    return std::nullopt;
  }
  const size_t begin = kPartWord.size();
  const auto index = ParseNumber(text.substr(begin, slash - begin));
  const auto count = ParseNumber(text.substr(slash + 1, end - slash - 1));
  if (!index || !count)
    return std::nullopt;
  if (*index < 1 || *index > *count || *count > CheckpointAssembler::kMaxParts)
    return std::nullopt;
  return CheckpointPart{*index, *count, text.substr(end + 1)};
}

std::optional<CheckpointRecord> CheckpointAssembler::Add(
    const std::string& writer,
    const CheckpointRecord& record) {
  std::optional<CheckpointPart> part = ParseCheckpointPart(record);
  if (!part)
    return std::nullopt;
  auto it = unfinished_.try_emplace(Key(record.offset, writer)).first;
  Parts& parts = it->second;
  // Parts that disagree on their number belong to no one checkpoint.
  if (parts.count != part->count)
    parts = Parts{.count = part->count, .bytes = {}};
  parts.bytes[part->index] = std::string(part->bytes);
  if (static_cast<int64_t>(parts.bytes.size()) < parts.count) {
    if (unfinished_.size() > kMaxUnfinished)
      unfinished_.erase(unfinished_.begin());
    return std::nullopt;
  }
  CheckpointRecord whole;
  whole.offset = record.offset;
  for (const auto& [index, bytes] : parts.bytes)
    whole.state += bytes;
  unfinished_.erase(it);
  return whole;
}

}  // namespace hawthornhollow
