// A server may answer before it has read a long body, and then not read on for
// a while: a writer that waited for the whole body to be taken would wait with
// it. So the write of a long body runs beside the wait for the answer's first
// byte. A connection whose request was not written whole is never used again.

#include <sys/socket.h>

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <limits>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/http/beast_internal.h"
#include "hawthornhollow/http/exchange_internal.h"

namespace hawthornhollow {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
// Final, but an answer only to who asked for another protocol: nobody here.
constexpr int kSwitchingProtocols = 101;
// A server in trouble may send them without end.
constexpr int kMaxInterimResponses = 16;
// Bodies up to this size fit into a socket's buffer: no server can stall them.
constexpr size_t kShortBodyBytes = 2 * 1024;

http::request<http::span_body<const char>> MakeMessage(
    const Endpoint& endpoint,
    const HttpRequest& request) {
  http::request<http::span_body<const char>> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  AppendHeaders(request.headers, &message);
  if (message.find(http::field::host) == message.end())
    message.set(http::field::host, endpoint.ToString());
  message.body() = {request.body.data(), request.body.size()};
  message.prepare_payload();
  return message;
}

// The N of "Keep-Alive: timeout=N"; infinite if it is not stated.
absl::Duration StatedIdleLimit(const http::fields& fields) {
  const auto value = fields[http::field::keep_alive];
  for (absl::string_view part :
       absl::StrSplit(absl::string_view(value.data(), value.size()), ',')) {
    part = absl::StripAsciiWhitespace(part);
    int64_t seconds = 0;
    if (absl::ConsumePrefix(&part, "timeout=") &&
        absl::SimpleAtoi(part, &seconds))
      return absl::Seconds(seconds);
  }
  return absl::InfiniteDuration();
}

}  // namespace

HttpExchange::Impl::Impl(ConnectionPool* pool,
                         const Endpoint& endpoint,
                         std::shared_ptr<const HttpRequest> request)
    : pool_(pool),
      endpoint_(endpoint),
      request_(std::move(request)),
      message_(MakeMessage(endpoint_, *request_)) {}

HttpExchange::Impl::~Impl() {
  if (connection_ == nullptr)
    return;
  if (CanKeepConnection()) {
    connection_->idle_limit = StatedIdleLimit(parser_->get());
    connection_->stream.expires_never();
    pool_->Put(endpoint_, std::move(connection_));
    return;
  }
  connection_->stream.close();
  AwaitWrite();
}

bool HttpExchange::Impl::CanKeepConnection() const {
  return !cancelled_ && !broken_ && !close_afterwards_ && parser_.has_value() &&
         parser_->is_done() && parser_->keep_alive() &&
         connection_->buffer.size() == 0 && write_->done && !write_->error;
}

error_code HttpExchange::Impl::Write(
    std::unique_ptr<ClientConnection> connection,
    absl::Duration timeout) {
  connection_ = std::move(connection);
  StartWrite(timeout);
  if (request_->body.size() <= kShortBodyBytes) {
    write_->written.Wait();
    return WriteFailure();
  }
  Socket& socket = connection_->stream.socket();
  socket.async_wait(Socket::wait_read,
                    [write = write_](const error_code& /*error*/) {
                      write->written_or_readable.Done();
                    });
  write_->written_or_readable.Wait();
  if (!write_->done)
    return {};  // the answer has begun
  error_code ignored;
  socket.cancel(ignored);  // the wait for the answer
  return WriteFailure();
}

error_code HttpExchange::Impl::WriteFailure() const {
  const bool may_be_answered =
      write_->bytes > 0 && write_->error != boost::beast::error::timeout;
  return may_be_answered ? error_code() : write_->error;
}

void HttpExchange::Impl::StartWrite(absl::Duration timeout) {
  write_ = std::make_shared<PendingWrite>();
  SetTimeout(&connection_->stream, timeout);
  http::async_write(connection_->stream, message_,
                    [write = write_](const error_code& error, size_t bytes) {
                      write->done = true;
                      write->error = error;
                      write->bytes = bytes;
                      write->written.Done();
                      write->written_or_readable.Done();
                    });
}

// The write refers to the message: it has to end before this does.
void HttpExchange::Impl::AwaitWrite() {
  if (write_ != nullptr && !write_->done)
    write_->written.Wait();
}

absl::StatusOr<HttpHead> HttpExchange::Impl::ReadHead(absl::Duration timeout) {
  const absl::Time deadline = SteadyNow() + timeout;
  error_code error;
  int interim_responses = 0;
  do {
    if (cancelled_)
      return ReadError(error);
    if (interim_responses++ > kMaxInterimResponses) {
      broken_ = true;  // or the connection would be kept for another request
      return ErrorAt(absl::StatusCode::kDataLoss, "http.receive",
                     endpoint_.ToString(), "interim responses without end");
    }
    parser_.emplace();
    parser_->body_limit(std::numeric_limits<uint64_t>::max());
    parser_->skip(request_->method == "HEAD");
    SetTimeout(&connection_->stream, deadline - SteadyNow());
    Await(&error, [&](auto done) {
      http::async_read_header(connection_->stream, connection_->buffer,
                              *parser_, std::move(done));
    });
    if (error || cancelled_)
      return ReadError(error);
    const auto status = static_cast<int>(parser_->get().result_int());
    if (status < kFirstStatus || status > kLastStatus) {
      broken_ = true;
      return ErrorAt(absl::StatusCode::kDataLoss, "http.receive",
                     endpoint_.ToString(),
                     absl::StrCat("status ", status, " is none of an answer"));
    }
    if (status == kSwitchingProtocols) {
      broken_ = true;
      return ErrorAt(absl::StatusCode::kDataLoss, "http.receive",
                     endpoint_.ToString(), "switched protocols unasked");
    }
  } while (parser_->get().result_int() < kFirstFinalStatus);
  return HttpHead{.status = static_cast<int>(parser_->get().result_int()),
                  .headers = CopyHeaders(parser_->get())};
}

absl::StatusOr<std::string_view> HttpExchange::Impl::ReadSome(
    absl::Duration timeout) {
  if (piece_ == nullptr)
    piece_ = std::make_unique<std::array<char, kPieceBytes>>();
  // For a piece of the body, whatever arrives besides.
  const absl::Time deadline = SteadyNow() + timeout;
  error_code error;
  while (!parser_->is_done()) {
    if (cancelled_)
      return ReadError(error);
    http::buffer_body::value_type& body = parser_->get().body();
    body.data = piece_->data();
    body.size = piece_->size();
    body.more = true;
    SetTimeout(&connection_->stream, deadline - SteadyNow());
    Await(&error, [&](auto done) {
      http::async_read_some(connection_->stream, connection_->buffer, *parser_,
                            std::move(done));
    });
    if (error == http::error::need_buffer)
      error = {};
    const size_t bytes = piece_->size() - body.size;
    if (bytes > 0 && !cancelled_) {
      broken_ = static_cast<bool>(error);
      return std::string_view(piece_->data(), bytes);
    }
    if (error || cancelled_ || broken_)
      return ReadError(error);
  }
  if (EndsWithConnection() && !IsOrderlyEnd(deadline)) {
    broken_ = true;
    return ReadError(write_->done ? write_->error
                                  : boost::asio::error::connection_reset);
  }
  return std::string_view();
}

// A reset is reported to one call only: if that is the write of the request,
// the read that follows sees an ordinary end. So the write's end is waited for.
// A server that has ended its answer and still reads the request lets it end
// well.
bool HttpExchange::Impl::IsOrderlyEnd(absl::Time deadline) {
  if (!write_->done) {
    SetTimeout(&connection_->stream, deadline - SteadyNow());
    AwaitWrite();
  }
  if (cancelled_ || write_->error)
    return false;
  int pending = 0;
  socklen_t size = sizeof(pending);
  const int socket = connection_->stream.socket().native_handle();
  return getsockopt(socket, SOL_SOCKET, SO_ERROR, &pending, &size) == 0 &&
         pending == 0;
}

absl::Status HttpExchange::Impl::ReadError(const error_code& error) const {
  absl::StatusCode code = absl::StatusCode::kAborted;
  if (error == boost::beast::error::timeout)
    code = absl::StatusCode::kDeadlineExceeded;
  else if (IsMalformed(error))
    code = absl::StatusCode::kDataLoss;
  if (cancelled_) {
    return ErrorAt(absl::StatusCode::kCancelled, "http.receive",
                   endpoint_.ToString(), "cancelled by the caller");
  }
  std::string detail = error.message();
  if (write_->done && write_->error)
    absl::StrAppend(&detail, "; sent in part, ", write_->bytes, " bytes");
  return ErrorAt(code, "http.receive", endpoint_.ToString(), detail);
}

void HttpExchange::Impl::Cancel() {
  cancelled_ = true;
  if (connection_ != nullptr)
    connection_->stream.close();
}

HttpExchange::HttpExchange(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

HttpExchange::~HttpExchange() = default;

absl::StatusOr<HttpHead> HttpExchange::ReadHead(absl::Duration timeout) {
  return impl_->ReadHead(timeout);
}

absl::StatusOr<std::string_view> HttpExchange::ReadSome(
    absl::Duration timeout) {
  return impl_->ReadSome(timeout);
}

std::optional<absl::Duration> HttpExchange::connect_time() const {
  return impl_->connect_time();
}

void HttpExchange::Cancel() {
  impl_->Cancel();
}

void HttpExchange::CloseAfterwards() {
  impl_->CloseAfterwards();
}

}  // namespace hawthornhollow
