#include <algorithm>
#include <utility>

#include "hawthornhollow/explain/explain.h"

namespace hawthornhollow {
namespace {

// Takes the value at the front of `rest`, quoted or up to the next space.
std::string TakeValue(std::string_view* rest) {
  std::string value;
  if (rest->empty() || rest->front() != '"') {
    const size_t end = std::min(rest->find(' '), rest->size());
    value = std::string(rest->substr(0, end));
    rest->remove_prefix(end);
    return value;
  }
  rest->remove_prefix(1);
  while (!rest->empty() && rest->front() != '"') {
    if (rest->front() == '\\' && rest->size() > 1)
      rest->remove_prefix(1);
    value.push_back(rest->front());
    rest->remove_prefix(1);
  }
  if (!rest->empty())
    rest->remove_prefix(1);
  return value;
}

}  // namespace

std::optional<LogLine> LogLine::Parse(std::string_view text) {
  const size_t begin = text.find("time=");
  if (begin == std::string_view::npos)
    return std::nullopt;
  LogLine line;
  std::string_view rest = text.substr(begin);
  while (!rest.empty() && (rest.back() == '\n' || rest.back() == '\r'))
    rest.remove_suffix(1);
  line.text_ = std::string(rest);
  while (!rest.empty()) {
    const size_t separator = rest.find_first_of("= ");
    if (separator == std::string_view::npos)
      break;
    const std::string name(rest.substr(0, separator));
    const bool has_value = rest[separator] == '=';
    rest.remove_prefix(separator + 1);
    if (has_value)
      line.fields_.emplace(name, TakeValue(&rest));
  }
  if (line.event().empty())
    return std::nullopt;
  return line;
}

const std::string& LogLine::Field(std::string_view name) const {
  static const std::string& none = *new std::string();
  const auto found = fields_.find(name);
  return found == fields_.end() ? none : found->second;
}

}  // namespace hawthornhollow
