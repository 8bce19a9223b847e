// The fold of the "config" stream.
//
// A publish names the version from which its folder was taken (its base) and
// only the files that the operator changed, so operators who change different
// files do not hinder each other, and a stale folder cannot put back an old
// text: a file that the publish does not name keeps what is in force.
//
// Rules, in this order:
// 1. An id that was seen before is a repeat of that publish, whoever appends
//    it: its first ruling stands, accepted or refused. A publisher may thus ask
//    again until it has read a ruling, and what an operator was told stays
//    true.
// 2. The base must be a version whose successors are all kept, at most the
//    present one.
// 3. Each changed file must be unchanged since the base, by version and not by
//    text (a text that was changed and changed back counts as changed), or the
//    change must be what is in force already.
// 4. Something must change.
// 5. The merged files must pass Configuration::Merge.
// A publish that breaks a rule changes nothing, as a whole. An accepted one
// raises the version by one; versions and texts never go back other than by
// another accepted publish.
//
// Bounds: kMaxHistory versions with the texts that they replaced, kMaxRefused
// ids of refused publishes. A late repeat of an accepted publish whose id was
// dropped has a base that is no longer kept, and is refused by rule 2.
//
// The processes of a fleet must agree on Configuration::Merge: a release that
// makes it stricter has to be in place everywhere before operators rely on it.

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

// Errors of a merge that a reason lists; the rest is counted.
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
      [this](const RecordBody& body, const RecordPosition& at) {
        if (const auto* publish = std::get_if<PublishRecord>(&body))
          return Decide(*publish, at);
        return VoidForStream();
      });
}

Ruling ConfigFold::Decide(const PublishRecord& publish,
                          const RecordPosition& at) {
  if (std::optional<Ruling> known = RulingOfId(publish.id))
    return *std::move(known);
  std::string refusal = Refusal(publish);
  std::shared_ptr<const Configuration> merged;
  if (refusal.empty()) {
    std::vector<ConfigError> errors;
    merged =
        Configuration::Merge(ApplyChanges(files_, publish.changes), &errors);
    if (merged == nullptr)
      refusal = DescribeErrors(errors);
  }
  if (!refusal.empty()) {
    Refuse(publish, refusal);
    return Void(std::move(refusal));
  }
  Accept(publish, at, std::move(merged));
  return Accepted(version_);
}

std::optional<Ruling> ConfigFold::RulingOfId(const std::string& id) const {
  const auto accepted = version_of_id_.find(id);
  if (accepted != version_of_id_.end()) {
    return Repeat(absl::StrCat("accepted as version ", accepted->second),
                  accepted->second);
  }
  for (const Refused& refused : refused_) {
    if (refused.id == id)
      return Repeat(absl::StrCat("refused: ", refused.reason));
  }
  return std::nullopt;
}

std::string ConfigFold::Refusal(const PublishRecord& publish) const {
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
    if (IsInForce(change))
      continue;
    changes_something = true;
    std::string conflict = Conflict(change, publish.base_version);
    if (!conflict.empty())
      return conflict;
  }
  return changes_something ? "" : "no change";
}

// The conflict of a change that is not in force with a version after its base.
std::string ConfigFold::Conflict(const FileChange& change,
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

bool ConfigFold::IsInForce(const FileChange& change) const {
  const auto it = files_.find(change.file);
  if (it == files_.end())
    return !change.text.has_value();
  return change.text == it->second;
}

int64_t ConfigFold::OldestBase() const {
  return history_.empty() ? version_ : history_.front().version - 1;
}

void ConfigFold::Accept(const PublishRecord& publish,
                        const RecordPosition& at,
                        std::shared_ptr<const Configuration> merged) {
  VersionInfo info{version_ + 1,          at.offset,  publish.id,
                   publish.operator_name, at.time_ms, {}};
  Replaced& replaced = undo_[info.version];
  for (const FileChange& change : publish.changes) {
    if (IsInForce(change))
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

void ConfigFold::Refuse(const PublishRecord& publish,
                        const std::string& reason) {
  if (publish.id.empty())
    return;
  refused_.push_back(Refused{publish.id, reason});
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
