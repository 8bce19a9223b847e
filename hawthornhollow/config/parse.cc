#include <algorithm>

#include "absl/strings/str_cat.h"
#include "boost/json/basic_parser_impl.hpp"
#include "boost/json/stream_parser.hpp"
#include "hawthornhollow/config/fields.h"

namespace hawthornhollow {
namespace {

namespace json = boost::json;

// A SAX handler that keeps nothing but the names of the objects being parsed,
// to find a field given twice; the DOM parser silently keeps the last.
class DuplicateFinder {
 public:
  // Boost.Json asks for these names.
  // NOLINTBEGIN(readability-identifier-naming)
  static constexpr size_t max_object_size = kMaxFileBytes;
  static constexpr size_t max_array_size = kMaxFileBytes;
  static constexpr size_t max_key_size = kMaxFileBytes;
  static constexpr size_t max_string_size = kMaxFileBytes;
  // NOLINTEND(readability-identifier-naming)

  const std::string& duplicate() const { return duplicate_; }

  // NOLINTBEGIN(readability-identifier-naming): names fixed by Boost.Json.
  bool on_document_begin(json::error_code&) { return true; }
  bool on_document_end(json::error_code&) { return true; }
  bool on_object_begin(json::error_code&) {
    open_.emplace_back();
    return true;
  }
  bool on_object_end(size_t, json::error_code&) {
    open_.pop_back();
    return true;
  }
  bool on_array_begin(json::error_code&) { return true; }
  bool on_array_end(size_t, json::error_code&) { return true; }
  bool on_key_part(json::string_view part, size_t, json::error_code&) {
    key_.append(part.data(), part.size());
    return true;
  }
  bool on_key(json::string_view part, size_t, json::error_code&) {
    key_.append(part.data(), part.size());
    if (!open_.back().insert(key_).second && duplicate_.empty())
      duplicate_ = key_;
    key_.clear();
    return true;
  }
  bool on_string_part(json::string_view, size_t, json::error_code&) {
    return true;
  }
  bool on_string(json::string_view, size_t, json::error_code&) { return true; }
  bool on_number_part(json::string_view, json::error_code&) { return true; }
  bool on_int64(int64_t, json::string_view, json::error_code&) { return true; }
  bool on_uint64(uint64_t, json::string_view, json::error_code&) {
    return true;
  }
  bool on_double(double, json::string_view, json::error_code&) { return true; }
  bool on_bool(bool, json::error_code&) { return true; }
  bool on_null(json::error_code&) { return true; }
  bool on_comment_part(json::string_view, json::error_code&) { return true; }
  bool on_comment(json::string_view, json::error_code&) { return true; }
  // NOLINTEND(readability-identifier-naming)

 private:
  std::vector<std::set<std::string>> open_;
  std::string key_;
  std::string duplicate_;
};

json::parse_options ParseOptions() {
  json::parse_options options;
  options.max_depth = kMaxJsonDepth;
  return options;
}

std::string FindDuplicateField(std::string_view text) {
  json::basic_parser<DuplicateFinder> parser(ParseOptions());
  json::error_code error;
  parser.write_some(false, text.data(), text.size(), error);
  return parser.handler().duplicate();
}

size_t LineOf(std::string_view text, size_t position) {
  std::string_view before = text.substr(0, position);
  return 1 + std::count(before.begin(), before.end(), '\n');
}

}  // namespace

std::optional<json::value> ParseJson(std::string_view file,
                                     std::string_view text,
                                     std::vector<ConfigError>* errors) {
  auto report = [&](std::string field, std::string reason) {
    errors->push_back(
        {std::string(file), std::move(field), std::move(reason), ""});
    return std::nullopt;
  };
  if (text.size() > kMaxFileBytes)
    return report("", absl::StrCat("larger than ", kMaxFileBytes, " bytes"));
  json::stream_parser parser({}, ParseOptions());
  json::error_code error;
  size_t parsed = parser.write_some(text.data(), text.size(), error);
  if (!error && text.find_first_not_of(" \t\r\n", parsed) != text.npos)
    error = json::error::extra_data;
  if (!error && !parser.done())
    parser.finish(error);
  if (error) {
    return report(absl::StrCat("line ", LineOf(text, parsed)),
                  absl::StrCat("not valid JSON: ", error.message()));
  }
  std::string duplicate = FindDuplicateField(text);
  if (!duplicate.empty())
    return report(duplicate, "given twice in one object");
  return parser.release();
}

}  // namespace hawthornhollow
