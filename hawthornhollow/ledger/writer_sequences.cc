// Detection of duplicate records by writer, and its part of the checkpoints.

#include "hawthornhollow/ledger/ledger.h"
#include "hawthornhollow/ledger/state.h"

namespace hawthornhollow {

bool WriterSequences::Advance(const std::string& writer,
                              int64_t sequence,
                              int64_t offset) {
  auto it = entries_.find(writer);
  const int64_t highest = it == entries_.end() ? 0 : it->second.sequence;
  if (sequence <= highest)
    return false;
  Set(writer, Entry{sequence, offset});
  return true;
}

void WriterSequences::Set(const std::string& writer, const Entry& entry) {
  auto [it, inserted] = entries_.try_emplace(writer, entry);
  if (!inserted) {
    by_offset_.erase({it->second.offset, writer});
    it->second = entry;
  }
  by_offset_.emplace(entry.offset, writer);
  if (entries_.size() <= kMaxWriters)
    return;
  const auto oldest = by_offset_.begin();
  entries_.erase(oldest->second);
  by_offset_.erase(oldest);
}

std::vector<std::unique_ptr<fb::WriterSequenceT>> PackWriters(
    const WriterSequences& sequences) {
  std::vector<std::unique_ptr<fb::WriterSequenceT>> rows;
  rows.reserve(sequences.entries().size());
  for (const auto& [writer, entry] : sequences.entries()) {
    auto row = std::make_unique<fb::WriterSequenceT>();
    row->writer = writer;
    row->sequence = entry.sequence;
    row->offset = entry.offset;
    rows.push_back(std::move(row));
  }
  return rows;
}

WriterSequences UnpackWriters(
    const std::vector<std::unique_ptr<fb::WriterSequenceT>>& rows) {
  WriterSequences sequences;
  for (const auto& row : rows)
    sequences.Set(row->writer, {row->sequence, row->offset});
  return sequences;
}

}  // namespace hawthornhollow
