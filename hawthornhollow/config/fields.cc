#include "hawthornhollow/config/fields.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace hawthornhollow {
namespace {

constexpr char kNameRule[] =
    "must be a name: lower-case letters, digits, '.', '_' and '-', at most 64, "
    "beginning with a letter or digit";
constexpr char kAddressRule[] =
    "must be IP:PORT with an IP number, such as \"127.0.0.1:7201\"";
constexpr char kMissing[] = "is missing";

}  // namespace

FieldReader::FieldReader(std::string owner,
                         const FieldMap& fields,
                         std::string file,
                         std::vector<ConfigError>* errors)
    : owner_(std::move(owner)),
      fields_(fields),
      file_(std::move(file)),
      errors_(errors) {}

void FieldReader::Report(const std::string& field, std::string_view reason) {
  std::string path = owner_.empty() ? field : absl::StrCat(owner_, ".", field);
  auto found = fields_.find(field);
  if (found == fields_.end()) {
    errors_->push_back({file_, std::move(path), std::string(reason), ""});
    return;
  }
  errors_->push_back({found->second.file, std::move(path), std::string(reason),
                      DescribeValue(found->second.value)});
}

const boost::json::value* FieldReader::Find(const std::string& field,
                                            Presence presence) {
  known_.insert(field);
  auto found = fields_.find(field);
  if (found != fields_.end())
    return &found->second.value;
  if (presence == Presence::kRequired)
    Report(field, kMissing);
  return nullptr;
}

std::optional<std::string> FieldReader::Text(const std::string& field,
                                             Presence presence) {
  const boost::json::value* value = Find(field, presence);
  if (value == nullptr)
    return std::nullopt;
  if (!value->is_string()) {
    Report(field, "must be a string");
    return std::nullopt;
  }
  return std::string(value->get_string().c_str(), value->get_string().size());
}

std::optional<std::vector<std::string>> FieldReader::Texts(
    const std::string& field,
    Presence presence) {
  const boost::json::value* value = Find(field, presence);
  if (value == nullptr)
    return std::nullopt;
  std::vector<std::string> texts;
  bool valid = value->is_array();
  for (size_t i = 0; valid && i < value->get_array().size(); ++i) {
    const boost::json::value& item = value->get_array()[i];
    valid = item.is_string();
    if (valid)
      texts.emplace_back(item.get_string().data(), item.get_string().size());
  }
  if (!valid) {
    Report(field, "must be an array of strings");
    return std::nullopt;
  }
  return texts;
}

std::string FieldReader::Name(const std::string& field, Presence presence) {
  std::optional<std::string> text = Text(field, presence);
  if (text.has_value() && !IsName(*text)) {
    Report(field, kNameRule);
    return "";
  }
  return text.value_or("");
}

std::vector<std::string> FieldReader::Names(const std::string& field) {
  std::vector<std::string> names =
      Texts(field, Presence::kRequired).value_or(std::vector<std::string>());
  std::set<std::string> seen;
  for (const std::string& name : names) {
    if (!IsName(name))
      Report(field, kNameRule);
    else if (!seen.insert(name).second)
      Report(field, absl::StrCat("names \"", name, "\" twice"));
  }
  return names;
}

std::string FieldReader::Sha256(const std::string& field) {
  std::optional<std::string> text = Text(field, Presence::kRequired);
  if (text.has_value() && !IsSha256(*text)) {
    Report(field,
           "must be a SHA-256 of 64 lower-case hexadecimal digits; "
           "`hawthornhollow key` prints one");
    return "";
  }
  return text.value_or("");
}

std::string FieldReader::Address(const std::string& field,
                                 PortRule port,
                                 Presence presence) {
  std::optional<std::string> text = Text(field, presence);
  if (text.has_value() && !IsAddress(*text, port == PortRule::kZeroAllowed)) {
    Report(field, kAddressRule);
    return "";
  }
  return text.value_or("");
}

std::vector<std::string> FieldReader::Addresses(const std::string& field) {
  std::vector<std::string> addresses =
      Texts(field, Presence::kOptional).value_or(std::vector<std::string>());
  for (const std::string& address : addresses) {
    if (!IsAddress(address, false))
      Report(field, absl::StrCat("each item ", kAddressRule));
  }
  return addresses;
}

std::string FieldReader::Choice(const std::string& field,
                                const std::vector<std::string>& choices,
                                Presence presence) {
  std::optional<std::string> text = Text(field, presence);
  if (!text.has_value())
    return choices.front();
  if (std::find(choices.begin(), choices.end(), *text) != choices.end())
    return *text;
  Report(field, absl::StrCat("must be one of: ", absl::StrJoin(choices, ", ")));
  return choices.front();
}

int64_t FieldReader::Integer(const std::string& field,
                             const IntegerRule& rule) {
  Presence presence =
      rule.fallback.has_value() ? Presence::kOptional : Presence::kRequired;
  const boost::json::value* value = Find(field, presence);
  if (value == nullptr)
    return rule.fallback.value_or(rule.min);
  bool in_range = value->is_int64() && value->get_int64() >= rule.min &&
                  value->get_int64() <= rule.max;
  if (in_range)
    return value->get_int64();
  Report(field, absl::StrCat("must be a whole number from ", rule.min, " to ",
                             rule.max));
  return rule.min;
}

double FieldReader::Number(const std::string& field, const NumberRule& rule) {
  Presence presence =
      rule.fallback.has_value() ? Presence::kOptional : Presence::kRequired;
  const boost::json::value* value = Find(field, presence);
  if (value == nullptr)
    return rule.fallback.value_or(rule.min);
  boost::json::error_code error;
  double number = value->is_number() ? value->to_number<double>(error) : -1;
  bool in_range =
      value->is_number() && !error && number >= rule.min && number <= rule.max;
  if (in_range)
    return number;
  Report(field,
         absl::StrCat("must be a number from ", rule.min, " to ", rule.max));
  return rule.min;
}

bool FieldReader::Flag(const std::string& field) {
  const boost::json::value* value = Find(field, Presence::kOptional);
  if (value == nullptr)
    return false;
  if (!value->is_bool()) {
    Report(field, "must be true or false");
    return false;
  }
  return value->get_bool();
}

void FieldReader::ReportUnknown() {
  for (const auto& [field, source] : fields_) {
    if (known_.contains(field))
      continue;
    std::optional<std::string> nearest = NearestName(field, known_);
    if (nearest.has_value()) {
      Report(field,
             absl::StrCat("unknown field; did you mean \"", *nearest, "\"?"));
    } else {
      Report(field, absl::StrCat("unknown field; the fields are: ",
                                 absl::StrJoin(known_, ", ")));
    }
  }
}

}  // namespace hawthornhollow
