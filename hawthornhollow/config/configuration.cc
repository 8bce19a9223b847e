#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/config/checks.h"
#include "hawthornhollow/config/config.h"

namespace hawthornhollow {
namespace {

// Finds by name in a vector sorted by name.
template <typename T>
const T* FindSorted(const std::vector<T>& items, std::string_view name) {
  auto found = std::lower_bound(items.begin(), items.end(), name,
                                [](const T& item, std::string_view wanted) {
                                  return item.name < wanted;
                                });
  if (found == items.end() || found->name != name)
    return nullptr;
  return &*found;
}

}  // namespace

std::string ConfigError::ToString() const {
  std::string text = file;
  if (!field.empty())
    absl::StrAppend(&text, ": ", field);
  absl::StrAppend(&text, ": ", reason);
  if (!value.empty())
    absl::StrAppend(&text, " (found ", value, ")");
  return text;
}

std::shared_ptr<const Configuration> Configuration::Merge(
    const ConfigFiles& files,
    std::vector<ConfigError>* errors) {
  return ConfigurationBuilder(files, errors).Build();
}

absl::StatusOr<std::shared_ptr<const Configuration>> Configuration::Merge(
    const ConfigFiles& files) {
  std::vector<ConfigError> errors;
  std::shared_ptr<const Configuration> config = Merge(files, &errors);
  if (config != nullptr)
    return config;
  auto format = [](std::string* out, const ConfigError& error) {
    out->append(error.ToString());
  };
  return absl::InvalidArgumentError(absl::StrJoin(errors, "\n", format));
}

const Budget* Configuration::FindBudget(std::string_view name) const {
  return FindSorted(budgets_, name);
}

const Rank* Configuration::FindRank(std::string_view name) const {
  auto found =
      std::find_if(ranks_.begin(), ranks_.end(),
                   [&](const Rank& rank) { return rank.name == name; });
  return found == ranks_.end() ? nullptr : &*found;
}

const Caller* Configuration::FindCaller(std::string_view name) const {
  return FindSorted(callers_, name);
}

const Caller* Configuration::FindCallerByKey(
    std::string_view bearer_key) const {
  auto found = caller_by_key_sha256_.find(Sha256Hex(bearer_key));
  if (found == caller_by_key_sha256_.end())
    return nullptr;
  return &callers_[found->second];
}

const Model* Configuration::FindModel(std::string_view name) const {
  return FindSorted(models_, name);
}

const Service* Configuration::FindService(std::string_view name) const {
  return FindSorted(services_, name);
}

const Server* Configuration::FindServer(std::string_view name) const {
  return FindSorted(servers_, name);
}

}  // namespace hawthornhollow
