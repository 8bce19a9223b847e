// The state machine of the "config" stream: the versions of the configuration.
//
// A publish names the version that the operator's folder was copied from (its
// base) and only the files that the operator changed. So operators who change
// different files don't conflict, and a stale folder can't restore an old text:
// a file that the publish does not name keeps its current text.
//
// Rules, checked in this order:
// 1. A publish whose ID was seen before is a duplicate, whichever process
//    appends it, and gets the first decision again, accepted or rejected. A
//    publisher may therefore retry until it reads a decision, and a decision
//    that was reported to an operator never changes.
// 2. The base must not be above the current version, and all versions after it
//    must be kept.
// 3. Each changed file must not have changed since the base, or must already
//    have the published text. Versions are compared, not texts: a text that was
//    changed and then changed back counts as changed.
// 4. At least one file must change.
// 5. The merged files must pass Configuration::Merge.
// A publish that breaks a rule is rejected as a whole. An accepted publish
// raises the version by one. Versions never decrease, and an earlier text comes
// back only through another accepted publish.
//
// Limits: kMaxHistory versions with the texts that they replaced, and the IDs
// of kMaxRefused rejected publishes. A late duplicate of an accepted publish
// whose ID was removed has a base that is no longer kept, so rule 2 rejects it.
//
// All processes of a fleet must have the same Configuration::Merge. A release
// that makes it stricter has to run everywhere before operators rely on it.

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/ledger/apply.h"
#include "hawthornhollow/ledger/ledger.h"

namespace hawthornhollow {
namespace {

// Maximum number of merge errors listed in a reason; the others are counted.
constexpr size_t kMaxListedErrors = 3;

std::string DescribeErrors(const std::vector<ConfigError>& errors) {
  std::string text = "invalid: ";
  const size_t listed = std::min(errors.size(), kMaxListedErrors);
  for (size_t i = 0; i < listed; ++i)
    absl::StrAppend(&text, i == 0 ? "" : "; ", errors[i].ToString());
  if (errors.size() > listed)
    absl::StrAppend(&text, "; and ", errors.size() - listed, " more");
  return text;
}

}  // namespace

std::vector<Verdict> ConfigFold::Apply(int64_t offset, const Batch& batch) {
  if (offset <= applied_offset_)
    return {};
  applied_offset_ = offset;
  return ApplyBatch(
      offset, batch, &sequences_,
      [this](const RecordBody& body, const RecordPosition& position) {
        if (const auto* publish = std::get_if<PublishRecord>(&body))
          return Decide(*publish, position);
        return RejectedForStream();
      });
}

RecordDecision ConfigFold::Decide(const PublishRecord& publish,
                                  const RecordPosition& position) {
  if (std::optional<RecordDecision> known = DecisionForId(publish.id))
    return *std::move(known);
  std::string rejection_reason = RejectionReason(publish);
  std::shared_ptr<const Configuration> merged;
  if (rejection_reason.empty()) {
    std::vector<ConfigError> errors;
    merged =
        Configuration::Merge(ApplyChanges(files_, publish.changes), &errors);
    if (merged == nullptr)
      rejection_reason = DescribeErrors(errors);
  }
  if (!rejection_reason.empty()) {
    RememberRefused(publish, rejection_reason);
    return Rejected(std::move(rejection_reason));
  }
  Accept(publish, position, std::move(merged));
  return Accepted(version_);
}

std::optional<RecordDecision> ConfigFold::DecisionForId(
    const std::string& id) const {
  const auto accepted = version_of_id_.find(id);
  if (accepted != version_of_id_.end()) {
    return Duplicate(absl::StrCat("accepted as version ", accepted->second),
                     accepted->second);
  }
  for (const RefusedPublish& refused : refused_) {
    if (refused.id == id)
      return Duplicate(absl::StrCat("refused: ", refused.reason));
  }
  return std::nullopt;
}

std::string ConfigFold::RejectionReason(const PublishRecord& publish) const {
  if (publish.id.empty())
    return "no id";
  if (publish.base_version > version_)
    return absl::StrCat("base version ", publish.base_version,
                        " does not exist yet");
  if (publish.base_version < OldestBase())
    return absl::StrCat("base version ", publish.base_version,
                        " is no longer kept");
  std::set<std::string> seen;
  bool changes_something = false;
  for (const FileChange& change : publish.changes) {
    if (change.file.empty())
      return "change without a file name";
    if (!seen.insert(change.file).second)
      return absl::StrCat(change.file, " is changed twice");
    if (IsCurrent(change))
      continue;
    changes_something = true;
    std::string conflict = ConflictReason(change, publish.base_version);
    if (!conflict.empty())
      return conflict;
  }
  return changes_something ? "" : "no change";
}

std::string ConfigFold::ConflictReason(const FileChange& change,
                                       int64_t base_version) const {
  for (auto it = history_.rbegin(); it != history_.rend(); ++it) {
    if (it->version <= base_version)
      break;
    if (undo_.at(it->version).contains(change.file)) {
      return absl::StrCat("conflict: ", change.file, " was changed by ",
                          it->operator_name, " in version ", it->version);
    }
  }
  return "";
}

bool ConfigFold::IsCurrent(const FileChange& change) const {
  const auto it = files_.find(change.file);
  if (it == files_.end())
    return !change.text.has_value();
  return change.text == it->second;
}

int64_t ConfigFold::OldestBase() const {
  return history_.empty() ? version_ : history_.front().version - 1;
}

void ConfigFold::Accept(const PublishRecord& publish,
                        const RecordPosition& position,
                        std::shared_ptr<const Configuration> merged) {
  VersionInfo info{version_ + 1,          position.offset,  publish.id,
                   publish.operator_name, position.time_ms, {}};
  ReplacedFiles& replaced = undo_[info.version];
  for (const FileChange& change : publish.changes) {
    if (IsCurrent(change))
      continue;
    const auto it = files_.find(change.file);
    replaced[change.file] =
        it == files_.end() ? std::nullopt : std::optional(it->second);
  }
  for (const auto& [file, text] : replaced)
    info.files.push_back(file);
  files_ = merged->files();
  configuration_ = std::move(merged);
  version_ = info.version;
  version_of_id_[info.id] = info.version;
  history_.push_back(std::move(info));
  if (history_.size() > kMaxHistory) {
    undo_.erase(history_.front().version);
    version_of_id_.erase(history_.front().id);
    history_.erase(history_.begin());
  }
}

void ConfigFold::RememberRefused(const PublishRecord& publish,
                                 const std::string& reason) {
  if (publish.id.empty())
    return;
  refused_.push_back(RefusedPublish{publish.id, reason});
  if (refused_.size() > kMaxRefused)
    refused_.pop_front();
}

absl::StatusOr<ConfigFiles> ConfigFold::FilesAt(int64_t version) const {
  if (version > version_ || version < OldestBase()) {
    return ErrorAt(absl::StatusCode::kNotFound, "config.version", "",
                   absl::StrCat("version ", version, " is not kept"));
  }
  ConfigFiles files = files_;
  for (int64_t undone = version_; undone > version; --undone) {
    for (const auto& [file, text] : undo_.at(undone)) {
      if (text.has_value())
        files[file] = *text;
      else
        files.erase(file);
    }
  }
  return files;
}

}  // namespace hawthornhollow
