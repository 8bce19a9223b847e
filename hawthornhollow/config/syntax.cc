#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <numeric>

#include "boost/json/serialize.hpp"
#include "hawthornhollow/config/fields.h"

namespace hawthornhollow {
namespace {

constexpr size_t kMaxNameLength = 64;
constexpr size_t kSha256Digits = 64;
constexpr size_t kMaxDescribedBytes = 80;
// Most edits between an unknown name and the one suggested for it.
constexpr size_t kMaxSuggestionDistance = 2;
constexpr int kMaxPort = 65535;

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

bool IsLowerOrDigit(char c) {
  return (c >= 'a' && c <= 'z') || IsDigit(c);
}

bool IsNameCharacter(char c) {
  return IsLowerOrDigit(c) || c == '.' || c == '_' || c == '-';
}

bool IsPort(std::string_view text, bool allow_zero) {
  int port = -1;
  const char* end = text.data() + text.size();
  auto [stop, error] = std::from_chars(text.data(), end, port);
  if (error != std::errc() || stop != end)
    return false;
  return port >= (allow_zero ? 0 : 1) && port <= kMaxPort;
}

bool IsIpNumber(const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> address;
  if (text.size() > 2 && text.front() == '[' && text.back() == ']') {
    std::string inner = text.substr(1, text.size() - 2);
    return inet_pton(AF_INET6, inner.c_str(), address.data()) == 1;
  }
  return inet_pton(AF_INET, text.c_str(), address.data()) == 1;
}

// The Levenshtein distance.
size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), size_t{0});
  for (size_t i = 1; i <= a.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i;
    for (size_t j = 1; j <= b.size(); ++j) {
      size_t replace = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({replace, row[j] + 1, row[j - 1] + 1});
    }
  }
  return row[b.size()];
}

}  // namespace

bool IsName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameLength)
    return false;
  return IsLowerOrDigit(text.front()) &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

bool IsSha256(std::string_view text) {
  return text.size() == kSha256Digits &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return IsDigit(c) || (c >= 'a' && c <= 'f');
         });
}

bool IsAddress(std::string_view text, bool allow_port_zero) {
  size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return false;
  return IsIpNumber(std::string(text.substr(0, colon))) &&
         IsPort(text.substr(colon + 1), allow_port_zero);
}

std::string DescribeValue(const boost::json::value& value) {
  std::string text = boost::json::serialize(value);
  if (text.size() > kMaxDescribedBytes)
    text = text.substr(0, kMaxDescribedBytes) + "...";
  return text;
}

std::optional<std::string> NearestName(std::string_view text,
                                       const std::set<std::string>& known) {
  std::optional<std::string> nearest;
  size_t nearest_distance = kMaxSuggestionDistance + 1;
  if (text.size() > kMaxNameLength)
    return nearest;
  for (const std::string& name : known) {
    size_t distance = EditDistance(text, name);
    if (distance >= nearest_distance || distance >= name.size())
      continue;
    nearest = name;
    nearest_distance = distance;
  }
  return nearest;
}

}  // namespace hawthornhollow
