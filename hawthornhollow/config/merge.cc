#include "hawthornhollow/config/merge.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace hawthornhollow {
namespace {

namespace json = boost::json;

constexpr size_t kMaxFileNameLength = 128;
constexpr std::string_view kExtension = ".json";

const std::set<std::string>& KnownKinds() {
  static const auto& kinds = *new std::set<std::string>{
      "budget", "caller", "member", "model", "rank", "server", "service"};
  return kinds;
}

// File names are written to operators' disks by `fetch`, so a name must not
// lead out of its folder.
bool IsFileName(std::string_view name) {
  auto valid = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
  };
  return name.size() > kExtension.size() && name.size() <= kMaxFileNameLength &&
         name.ends_with(kExtension) && name.front() != '.' &&
         std::all_of(name.begin(), name.end(), valid);
}

// Merges the objects of one file into those of the files before it.
class FileMerger {
 public:
  FileMerger(const std::string& file,
             MergedObjects* objects,
             std::vector<ConfigError>* errors)
      : file_(file), objects_(objects), errors_(errors) {}

  void MergeText(const std::string& text) {
    std::optional<json::value> parsed = ParseJson(file_, text, errors_);
    if (!parsed.has_value())
      return;
    if (!parsed->is_array()) {
      MergeObject("", *parsed);
      return;
    }
    const json::array& items = parsed->get_array();
    for (size_t i = 0; i < items.size(); ++i)
      MergeObject(absl::StrCat("[", i, "]"), items[i]);
  }

 private:
  // `place` tells where in the file the object stands.
  void MergeObject(const std::string& place, const json::value& value) {
    if (!value.is_object()) {
      Report(place, "must be an object with \"kind\" and \"name\"", &value);
      return;
    }
    const json::object& object = value.get_object();
    std::optional<std::string> kind = Kind(place, object);
    std::optional<std::string> name = Name(place, object);
    if (!kind.has_value() || !name.has_value())
      return;
    ObjectId id{std::move(*kind), std::move(*name)};
    if (!seen_.insert(id).second) {
      Report(id.ToString(), "given twice in one file", nullptr);
      return;
    }
    MergedObject& merged = (*objects_)[id];
    if (merged.file.empty())
      merged.file = file_;
    MergeFields(object, &merged.fields);
  }

  void MergeFields(const json::object& object, FieldMap* fields) {
    for (const auto& field : object) {
      std::string key(field.key().data(), field.key().size());
      if (key != "kind" && key != "name")
        fields->insert_or_assign(key, SourcedValue{field.value(), file_});
    }
  }

  std::optional<std::string> Kind(const std::string& place,
                                  const json::object& object) {
    std::optional<std::string> kind = Text(place, object, "kind");
    if (!kind.has_value() || KnownKinds().contains(*kind))
      return kind;
    std::optional<std::string> nearest = NearestName(*kind, KnownKinds());
    std::string hint = nearest.has_value()
                           ? absl::StrCat("did you mean \"", *nearest, "\"?")
                           : absl::StrCat("the kinds are: ",
                                          absl::StrJoin(KnownKinds(), ", "));
    Report(absl::StrCat(place, "kind"), absl::StrCat("unknown kind; ", hint),
           object.if_contains("kind"));
    return std::nullopt;
  }

  std::optional<std::string> Name(const std::string& place,
                                  const json::object& object) {
    std::optional<std::string> name = Text(place, object, "name");
    if (!name.has_value() || IsName(*name))
      return name;
    Report(absl::StrCat(place, "name"), "must match [a-z0-9][a-z0-9._-]{0,63}",
           object.if_contains("name"));
    return std::nullopt;
  }

  std::optional<std::string> Text(const std::string& place,
                                  const json::object& object,
                                  const std::string& field) {
    const json::value* value = object.if_contains(field);
    if (value != nullptr && value->is_string())
      return std::string(value->get_string().data(),
                         value->get_string().size());
    Report(absl::StrCat(place, field),
           value == nullptr ? "is missing" : "must be a string", value);
    return std::nullopt;
  }

  void Report(const std::string& field,
              const std::string& reason,
              const json::value* value) {
    errors_->push_back(
        {file_, field, reason, value == nullptr ? "" : DescribeValue(*value)});
  }

  const std::string& file_;
  MergedObjects* objects_;
  std::vector<ConfigError>* errors_;
  std::set<ObjectId> seen_;
};

}  // namespace

MergedObjects MergeFiles(const ConfigFiles& files,
                         std::vector<ConfigError>* errors) {
  MergedObjects objects;
  for (const auto& [file, text] : files) {
    if (!IsFileName(file)) {
      errors->push_back({file, "file name",
                         "must be letters, digits, '.', '_' and '-', not "
                         "begin with '.', and end in \".json\"",
                         ""});
      continue;
    }
    FileMerger(file, &objects, errors).MergeText(text);
  }
  return objects;
}

}  // namespace hawthornhollow
