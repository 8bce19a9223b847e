#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/error.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/runtime/asio_internal.h"

namespace hawthornhollow {
namespace {

constexpr uint32_t kMaxPort = 65535;

absl::Status InvalidEndpoint(std::string_view text) {
  return ErrorAt(absl::StatusCode::kInvalidArgument, "endpoint.parse", text,
                 "expected IP:PORT");
}

// "[::1]" to "::1".
std::string_view StripBrackets(std::string_view address) {
  if (address.size() >= 2 && address.front() == '[' && address.back() == ']')
    return address.substr(1, address.size() - 2);
  return address;
}

}  // namespace

absl::StatusOr<Endpoint> Endpoint::Parse(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return InvalidEndpoint(text);
  const std::string port_text(text.substr(colon + 1));
  uint32_t port = 0;
  if (!absl::SimpleAtoi(port_text, &port) || port > kMaxPort)
    return InvalidEndpoint(text);
  const std::string address(StripBrackets(text.substr(0, colon)));
  boost::system::error_code error;
  boost::asio::ip::make_address(address, error);
  if (error)
    return InvalidEndpoint(text);
  return Endpoint{address, static_cast<uint16_t>(port)};
}

std::string Endpoint::ToString() const {
  if (address.find(':') != std::string::npos)
    return absl::StrCat("[", address, "]:", port);
  return absl::StrCat(address, ":", port);
}

boost::asio::ip::tcp::endpoint ToAsio(const Endpoint& endpoint) {
  boost::system::error_code ignored;
  return {boost::asio::ip::make_address(endpoint.address, ignored),
          endpoint.port};
}

Endpoint FromAsio(const boost::asio::ip::tcp::endpoint& endpoint) {
  return {endpoint.address().to_string(), endpoint.port()};
}

absl::Status ErrorOf(const boost::system::error_code& error,
                     std::string_view step,
                     std::string_view peer) {
  if (!error)
    return absl::OkStatus();
  absl::StatusCode code = absl::StatusCode::kUnavailable;
  if (error == boost::beast::error::timeout)
    code = absl::StatusCode::kDeadlineExceeded;
  return ErrorAt(code, step, peer, error.message());
}

void SetTimeout(TimedStream* stream, absl::Duration timeout) {
  if (timeout == absl::InfiniteDuration())
    stream->expires_never();
  else
    stream->expires_after(absl::ToChronoNanoseconds(timeout));
}

absl::Status ConnectStream(TimedStream* stream,
                           const Endpoint& peer,
                           absl::Duration timeout) {
  SetTimeout(stream, timeout);
  boost::system::error_code error;
  Await(&error, [&](auto done) {
    stream->async_connect(ToAsio(peer), std::move(done));
  });
  if (!error)
    stream->socket().set_option(boost::asio::ip::tcp::no_delay(true), error);
  return ErrorOf(error, "tcp.connect", peer.ToString());
}

}  // namespace hawthornhollow
