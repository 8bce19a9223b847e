#include "absl/strings/match.h"
#include "hawthornhollow/http/http.h"

namespace hawthornhollow {

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  const absl::string_view wanted(name.data(), name.size());
  for (const auto& [key, value] : headers) {
    if (absl::EqualsIgnoreCase(key, wanted))
      return value;
  }
  return {};
}

std::string_view HttpRequest::Path() const {
  return std::string_view(target).substr(0, target.find('?'));
}

std::optional<std::string> HttpRequest::Query(std::string_view name) const {
  size_t begin = target.find('?');
  while (begin != std::string::npos) {
    ++begin;
    const size_t end = target.find('&', begin);
    const std::string_view pair =
        std::string_view(target).substr(begin, end - begin);
    const size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name) {
      if (equals == std::string_view::npos)
        return std::string();
      return std::string(pair.substr(equals + 1));
    }
    begin = end;
  }
  return std::nullopt;
}

}  // namespace hawthornhollow
