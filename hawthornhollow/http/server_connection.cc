// A connection alternates between waiting for a request, bounded by the idle
// timeout, and serving one. The head and the body together are bounded by the
// request timeout. Beast's own timeout would close the socket, and a 408 could
// not be written; so a timer of ours cancels the read instead.
//
// After an error the client may still be sending. Closing with unread bytes
// resets the connection and may destroy the answer on its way, so the
// connection lingers: it ends its own direction and discards what arrives, for
// at most kLingerTime and kLingerBytes.

#include <array>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <exception>
#include <limits>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/http/beast_internal.h"
#include "hawthornhollow/http/server_internal.h"

namespace hawthornhollow {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr size_t kReadBytes = 4096;
constexpr absl::Duration kLingerTime = absl::Seconds(1);
constexpr size_t kLingerBytes = 8 * 1024 * 1024;

uint32_t HeaderLimit(size_t bytes) {
  const size_t maximum = std::numeric_limits<uint32_t>::max();
  return static_cast<uint32_t>(std::min(bytes, maximum));
}

}  // namespace

// Counts a request as in progress.
class ServerConnection::RequestScope {
 public:
  explicit RequestScope(ServerConnection* connection)
      : connection_(connection) {
    connection_->BeginRequest();
  }
  RequestScope(const RequestScope&) = delete;
  RequestScope& operator=(const RequestScope&) = delete;
  ~RequestScope() { connection_->EndRequest(); }

 private:
  ServerConnection* const connection_;
};

ServerConnection::ServerConnection(std::shared_ptr<ServerShared> shared,
                                   Socket socket)
    : shared_(std::move(shared)),
      stream_(std::move(socket)),
      // Room for the longest head, and for what may follow it.
      buffer_(shared_->options().max_header_bytes + kMaxUnparsedBytes),
      request_timer_(stream_.get_executor()) {
  error_code ignored;
  peer_ = FromAsio(stream_.socket().remote_endpoint(ignored)).ToString();
}

void ServerConnection::Run() {
  try {
    while (ServeOne()) {
    }
  } catch (const std::exception& error) {
    LogEvent("http.connection_failed", LogSeverity::kError)
        .Add("peer", peer_)
        .Add("what", error.what());
  }
  stream_.close();
}

void ServerConnection::Reject() {
  AnswerAndClose(
      JsonError(503, "too_many_connections", "the server is at its limit"));
  stream_.close();
}

void ServerConnection::CloseIfIdle() {
  if (in_request_ || !stream_.socket().is_open())
    return;
  if (PeekSocket(stream_.socket().native_handle()) == SocketState::kData)
    BeginRequest();
  else
    Close();
}

void ServerConnection::BeginRequest() {
  if (in_request_)
    return;
  in_request_ = true;
  shared_->BeginRequest();
}

void ServerConnection::EndRequest() {
  in_request_ = false;
  shared_->EndRequest();
}

bool ServerConnection::ServeOne() {
  if (!AwaitRequest())
    return false;
  const RequestScope scope(this);
  HttpRequest request;
  ResponseTraits traits = DefaultTraits();
  if (!ReadRequest(&request, &traits))
    return false;
  BeastResponseWriter writer(&stream_, std::move(traits));
  Handle(request, &writer);
  return writer.reusable() && !shared_->draining();
}

void ServerConnection::Handle(const HttpRequest& request,
                              BeastResponseWriter* writer) {
  try {
    shared_->handler()(request, *writer);
  } catch (const std::exception& error) {
    LogEvent("http.handler_failed", LogSeverity::kError)
        .Add("peer", peer_)
        .Add("target", request.target)
        .Add("what", error.what());
  }
  writer->Close();
}

bool ServerConnection::AwaitRequest() {
  if (buffer_.size() > 0)
    return true;
  SetTimeout(&stream_, shared_->options().idle_timeout);
  error_code error;
  const size_t bytes = Await(&error, [&](auto done) {
    // Counted before this fiber runs again: bytes that were read must not look
    // like an idle connection to CloseIfIdle.
    stream_.async_read_some(
        buffer_.prepare(kReadBytes),
        [this, done = std::move(done)](const error_code& result,
                                       size_t count) mutable {
          if (count > 0)
            BeginRequest();
          done(result, count);
        });
  });
  buffer_.commit(bytes);
  if (!error)
    return true;
  // CloseIfIdle may have counted a request that then did not arrive.
  if (in_request_)
    EndRequest();
  return false;
}

bool ServerConnection::ReadRequest(HttpRequest* request,
                                   ResponseTraits* traits) {
  http::request_parser<http::string_body> parser;
  parser.header_limit(HeaderLimit(shared_->options().max_header_bytes));
  parser.body_limit(shared_->options().max_body_bytes);
  StartRequestTimer();
  const error_code error = ReadMessage(&parser);
  StopRequestTimer();
  if (error) {
    AnswerReadError(error, parser.is_header_done());
    return false;
  }
  traits->version = parser.get().version();
  traits->keep_alive = parser.keep_alive();
  traits->head_only = parser.get().method() == http::verb::head;
  request->method = std::string(parser.get().method_string());
  request->target = std::string(parser.get().target());
  request->headers = CopyHeaders(parser.get());
  request->body = std::move(parser.get().body());
  request->peer = peer_;
  return true;
}

template <typename Parser>
error_code ServerConnection::ReadMessage(Parser* parser) {
  error_code error;
  Await(&error, [&](auto done) {
    http::async_read_header(stream_, buffer_, *parser, std::move(done));
  });
  if (error || parser->is_done())
    return error;
  if (boost::beast::iequals(parser->get()[http::field::expect], "100-continue"))
    error = SendContinue();
  if (error)
    return error;
  Await(&error, [&](auto done) {
    http::async_read(stream_, buffer_, *parser, std::move(done));
  });
  return error;
}

error_code ServerConnection::SendContinue() {
  const http::response<http::empty_body> message(http::status::continue_, 11);
  error_code error;
  Await(&error, [&](auto done) {
    http::async_write(stream_, message, std::move(done));
  });
  return error;
}

void ServerConnection::StartRequestTimer() {
  stream_.expires_never();
  const uint64_t number = ++request_number_;
  request_timer_.expires_after(
      ToBoundedNanoseconds(shared_->options().request_timeout));
  request_timer_.async_wait(
      [self = shared_from_this(), number](const error_code& error) {
        if (error || number != self->request_number_)
          return;
        self->timed_out_ = true;
        self->stream_.cancel();
      });
}

void ServerConnection::StopRequestTimer() {
  ++request_number_;
  request_timer_.cancel();
}

void ServerConnection::AnswerReadError(const error_code& error, bool has_head) {
  if (timed_out_) {
    AnswerAndClose(JsonError(408, "request_timeout",
                             "the request did not arrive in time"));
  } else if (!has_head && (error == http::error::header_limit ||
                           error == http::error::buffer_overflow)) {
    AnswerAndClose(JsonError(431, "headers_too_large",
                             "the request's head is over the limit"));
  } else if (error == http::error::body_limit) {
    AnswerAndClose(JsonError(413, "body_too_large",
                             "the request's body is over the limit"));
  } else if (IsMalformed(error)) {
    AnswerAndClose(JsonError(400, "malformed_request", error.message()));
  }
}

void ServerConnection::AnswerAndClose(const HttpResponse& response) {
  ResponseTraits traits = DefaultTraits();
  traits.keep_alive = false;
  BeastResponseWriter writer(&stream_, std::move(traits));
  if (writer.Send(response).ok())
    Linger();
}

void ServerConnection::Linger() {
  error_code error;
  stream_.socket().shutdown(Socket::shutdown_send, error);
  SetTimeout(&stream_, kLingerTime);
  std::array<char, kReadBytes> discarded;
  size_t total = 0;
  while (!error && total < kLingerBytes) {
    total += Await(&error, [&](auto done) {
      stream_.async_read_some(boost::asio::buffer(discarded), std::move(done));
    });
  }
}

ResponseTraits ServerConnection::DefaultTraits() const {
  return {.write_timeout = shared_->options().write_timeout,
          .peer = peer_,
          .draining = &shared_->draining()};
}

}  // namespace hawthornhollow
