#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "absl/strings/match.h"
#include "hawthornhollow/http/beast_internal.h"

namespace hawthornhollow {
namespace {

constexpr std::array<absl::string_view, 3> kFramingHeaders = {
    "Content-Length", "Transfer-Encoding", "Connection"};
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;

bool IsControl(unsigned char c) {
  return (c < kFirstPrintable && c != '\t') || c == kDelete;
}

bool IsSafe(const std::string& text) {
  return std::none_of(text.begin(), text.end(), IsControl);
}

bool IsFraming(const std::string& name) {
  return std::any_of(kFramingHeaders.begin(), kFramingHeaders.end(),
                     [&](absl::string_view framing) {
                       return absl::EqualsIgnoreCase(name, framing);
                     });
}

}  // namespace

SocketState PeekSocket(int file_descriptor) {
  char byte = 0;
  const ssize_t count =
      recv(file_descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  if (count > 0)
    return SocketState::kData;
  if (count < 0 && (errno == EAGAIN || errno == EINTR))
    return SocketState::kQuiet;
  return SocketState::kClosed;
}

bool IsMalformed(const boost::beast::error_code& error) {
  namespace http = boost::beast::http;
  return error.category() ==
             http::make_error_code(http::error::bad_target).category() &&
         error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

HttpHeaders CopyHeaders(const boost::beast::http::fields& fields) {
  HttpHeaders headers;
  for (const auto& field : fields)
    headers.emplace_back(field.name_string(), field.value());
  return headers;
}

void AppendHeaders(const HttpHeaders& headers,
                   boost::beast::http::fields* fields) {
  for (const auto& [name, value] : headers) {
    if (!name.empty() && !IsFraming(name) && IsSafe(name) && IsSafe(value))
      fields->insert(name, value);
  }
}

}  // namespace hawthornhollow
