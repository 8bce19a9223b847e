#ifndef HAWTHORNHOLLOW_CONFIG_FIELDS_H_
#define HAWTHORNHOLLOW_CONFIG_FIELDS_H_

// Typed access to the fields of one JSON object, with an error for each field
// that is missing, malformed or unknown. Internal to the config library.
//
//   FieldReader reader("budget[permits]", fields, file, &errors);
//   budget.member = reader.Name("member");
//   budget.tokens = reader.Integer("tokens", {.min = 0, .max = kMaxTokens});
//   reader.ReportUnknown();

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "boost/json/value.hpp"
#include "hawthornhollow/config/config.h"

namespace hawthornhollow {

// Largest text of one file or settings document.
inline constexpr size_t kMaxFileBytes = 256 * 1024;
// Deepest nesting of arrays and objects.
inline constexpr size_t kMaxJsonDepth = 8;
// Largest token amount, so that sums over a fleet's budgets cannot overflow.
inline constexpr int64_t kMaxTokens = 1'000'000'000'000;

// A value and the file that set it last.
struct SourcedValue {
  boost::json::value value;
  std::string file;
};
using FieldMap = std::map<std::string, SourcedValue, std::less<>>;

// Whether `text` matches [a-z0-9][a-z0-9._-]{0,63}.
bool IsName(std::string_view text);
// Whether `text` is 64 lower-case hexadecimal digits.
bool IsSha256(std::string_view text);
// Whether `text` is IP:PORT, with an IPv6 number in brackets. Port 0 is valid
// only if `allow_port_zero`.
bool IsAddress(std::string_view text, bool allow_port_zero);

// The JSON text of `value`, shortened for an error message.
std::string DescribeValue(const boost::json::value& value);

// The known name nearest to `text`; nullopt if none is near.
std::optional<std::string> NearestName(std::string_view text,
                                       const std::set<std::string>& known);

// Parses one JSON text. On failure appends an error and returns nullopt.
std::optional<boost::json::value> ParseJson(std::string_view file,
                                            std::string_view text,
                                            std::vector<ConfigError>* errors);

// Bounds of a whole number, and the value of an absent field; a field without
// `fallback` must be present.
struct IntegerRule {
  int64_t min = 0;
  int64_t max = std::numeric_limits<int64_t>::max();
  std::optional<int64_t> fallback = std::nullopt;
};

// As IntegerRule, for a number that may have a fraction.
struct NumberRule {
  double min = 0;
  double max = 0;
  std::optional<double> fallback = std::nullopt;
};

enum class Presence { kRequired, kOptional };
enum class PortRule { kPositive, kZeroAllowed };

// Reads the fields of one object. After an error a method returns the type's
// default value, so that every error of the object is found in one pass.
class FieldReader {
 public:
  // `owner` prefixes field names in errors; `file` is named for a missing
  // field. Keeps references to all of its arguments.
  FieldReader(std::string owner,
              const FieldMap& fields,
              std::string file,
              std::vector<ConfigError>* errors);

  std::string Name(const std::string& field,
                   Presence presence = Presence::kRequired);
  std::vector<std::string> Names(const std::string& field);
  std::string Sha256(const std::string& field);
  std::string Address(const std::string& field,
                      PortRule port,
                      Presence presence = Presence::kRequired);
  // An absent list is empty.
  std::vector<std::string> Addresses(const std::string& field);
  // One of `choices`; absent is the first.
  std::string Choice(const std::string& field,
                     const std::vector<std::string>& choices,
                     Presence presence);
  int64_t Integer(const std::string& field, const IntegerRule& rule);
  double Number(const std::string& field, const NumberRule& rule);
  // An absent flag is false.
  bool Flag(const std::string& field);

  // Marks a field as known without reading it.
  void Skip(const std::string& field) { known_.insert(field); }
  // Appends an error for each field that no method has been asked for.
  void ReportUnknown();
  // Appends an error about a field, naming the file that set it.
  void Report(const std::string& field, std::string_view reason);

 private:
  const boost::json::value* Find(const std::string& field, Presence presence);
  std::optional<std::string> Text(const std::string& field, Presence presence);
  std::optional<std::vector<std::string>> Texts(const std::string& field,
                                                Presence presence);

  std::string owner_;
  const FieldMap& fields_;
  std::string file_;
  std::vector<ConfigError>* errors_;
  std::set<std::string> known_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_CONFIG_FIELDS_H_
