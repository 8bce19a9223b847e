// Checkpoints of ConfigFold.

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "hawthornhollow/ledger/ledger.h"
#include "hawthornhollow/ledger/state.h"

namespace hawthornhollow {
namespace {

std::unique_ptr<fb::FileTextT> PackFile(
    const std::string& file,
    const std::optional<std::string>& text) {
  auto row = std::make_unique<fb::FileTextT>();
  row->file = file;
  row->text = text.value_or("");
  row->present = text.has_value();
  return row;
}

std::optional<std::string> TextOf(const fb::FileTextT& row) {
  return row.present ? std::optional(row.text) : std::nullopt;
}

// Whether the kept versions are consecutive and end with the current version.
bool HasConsistentHistory(const fb::ConfigStateT& state) {
  int64_t expected =
      state.version - static_cast<int64_t>(state.history.size()) + 1;
  if (expected < 1 || (state.version > 0 && state.history.empty()))
    return false;
  for (const auto& row : state.history) {
    if (row->version != expected++)
      return false;
  }
  return true;
}

}  // namespace

std::string ConfigFold::Serialize() const {
  fb::ConfigStateT state;
  state.applied_offset = applied_offset_;
  state.version = version_;
  for (const auto& [file, text] : files_)
    state.files.push_back(PackFile(file, text));
  for (const VersionInfo& info : history_) {
    auto row = std::make_unique<fb::ConfigVersionT>();
    row->version = info.version;
    row->offset = info.offset;
    row->id = info.id;
    row->operator_name = info.operator_name;
    row->time_ms = info.time_ms;
    for (const auto& [file, text] : undo_.at(info.version))
      row->replaced.push_back(PackFile(file, text));
    state.history.push_back(std::move(row));
  }
  for (const RefusedPublish& refused : refused_) {
    auto row = std::make_unique<fb::RefusedPublishT>();
    row->id = refused.id;
    row->reason = refused.reason;
    state.refused.push_back(std::move(row));
  }
  state.writers = PackWriters(sequences_);
  return PackState(state);
}

absl::StatusOr<ConfigFold> ConfigFold::Restore(std::string_view bytes) {
  auto state = UnpackState<fb::ConfigStateT>(bytes);
  if (!state.ok())
    return state.status();
  const fb::ConfigStateT& from = **state;
  if (!HasConsistentHistory(from)) {
    return ErrorAt(absl::StatusCode::kDataLoss, "ledger.restore", "",
                   "versions of the checkpoint do not match");
  }
  ConfigFold fold;
  fold.applied_offset_ = from.applied_offset;
  fold.version_ = from.version;
  for (const auto& row : from.files)
    fold.files_[row->file] = row->text;
  for (const auto& row : from.history) {
    VersionInfo info{row->version,       row->offset,  row->id,
                     row->operator_name, row->time_ms, {}};
    ReplacedFiles& replaced = fold.undo_[row->version];
    for (const auto& file : row->replaced) {
      replaced[file->file] = TextOf(*file);
      info.files.push_back(file->file);
    }
    fold.version_of_id_[info.id] = info.version;
    fold.history_.push_back(std::move(info));
  }
  for (const auto& row : from.refused)
    fold.refused_.push_back(RefusedPublish{row->id, row->reason});
  fold.sequences_ = UnpackWriters(from.writers);
  if (fold.version_ == 0)
    return fold;
  auto merged = Configuration::Merge(fold.files_);
  if (!merged.ok())
    return Annotate(merged.status(), "ledger.restore", "");
  fold.configuration_ = *std::move(merged);
  return fold;
}

}  // namespace hawthornhollow
