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
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
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
// The first room for a body of unknown length.
constexpr size_t kFirstBodyBytes = 16 * 1024;
// A connection whose body brings less in the time that makes it stalled may be
// closed for another one, as RequestMemoryOptions::stall_bytes.
constexpr size_t kProgressBytes = 16 * 1024;
// The time after which a stalled request or connection has made room.
const std::pair<std::string, std::string> kRetryAfter = {"Retry-After", "1"};

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
  const Endpoint peer = FromAsio(stream_.socket().remote_endpoint(ignored));
  peer_ = peer.ToString();
  address_ = peer.address;
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
  HttpResponse response =
      JsonError(503, "too_many_connections", "the server is at its limit");
  response.headers.push_back(kRetryAfter);
  AnswerAndClose(response);
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

absl::Duration ServerConnection::StalledFor(absl::Time now) const {
  if (is_handling_ || is_evicted_)
    return absl::ZeroDuration();
  return now - progress_at_;
}

bool ServerConnection::Evict() {
  if (!in_request_ &&
      PeekSocket(stream_.socket().native_handle()) == SocketState::kData) {
    progress_at_ = SteadyNow();
    return false;
  }
  is_evicted_ = true;
  stream_.close();
  return true;
}

void ServerConnection::BeginRequest() {
  if (in_request_)
    return;
  in_request_ = true;
  progress_at_ = SteadyNow();
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
  Hold hold(shared_->account(), address_,
            [self = weak_from_this(), thread = IoThread::Current()] {
              thread->Dispatch([self] {
                if (const auto connection = self.lock())
                  connection->stream_.cancel();
              });
            });
  arrived_ = 0;
  charged_ = 0;
  const auto failure = ReadRequest(&hold, &request, &traits);
  if (failure.has_value()) {
    hold.Release();
    if (failure->response.has_value())
      AnswerAndClose(*failure->response);
    return false;
  }
  BeastResponseWriter writer(&stream_, std::move(traits));
  is_handling_ = true;
  Handle(request, &writer);
  is_handling_ = false;
  progress_at_ = SteadyNow();
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
  // A long head or chunk line has made it larger.
  if (buffer_.capacity() > kReadBytes)
    buffer_.shrink_to_fit();
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

std::optional<ServerConnection::ReadFailure> ServerConnection::ReadRequest(
    Hold* hold,
    HttpRequest* request,
    ResponseTraits* traits) {
  Parser parser;
  parser.header_limit(HeaderLimit(shared_->options().max_header_bytes));
  parser.body_limit(shared_->options().max_body_bytes);
  StartRequestTimer();
  auto failure = ReadMessage(hold, &parser, request);
  StopRequestTimer();
  if (!failure.has_value())
    failure = Charge(hold, BodyCost(parser.get().body().size()) +
                               shared_->options().handler_bytes);
  if (!failure.has_value() && !hold->Complete())
    failure = ReadFailure{NoMemory()};
  if (failure.has_value())
    return failure;
  traits->version = parser.get().version();
  traits->keep_alive = parser.keep_alive();
  traits->head_only = parser.get().method() == http::verb::head;
  request->body = std::move(parser.get().body());
  return std::nullopt;
}

std::optional<ServerConnection::ReadFailure> ServerConnection::ReadMessage(
    Hold* hold,
    Parser* parser,
    HttpRequest* request) {
  parser->eager(false);
  while (!parser->is_header_done()) {
    const error_code error = Parse(parser);
    if (error && error != http::error::need_more)
      return FailureOf(error, *hold, /*has_head=*/false);
    if (parser->is_header_done())
      break;
    if (auto failure = ReadMore(hold, parser))
      return failure;
  }
  request->method = std::string(parser->get().method_string());
  request->target = std::string(parser->get().target());
  request->headers = CopyHeaders(parser->get());
  request->peer = peer_;
  if (parser->is_done())
    return std::nullopt;
  if (auto failure = CheckHead(parser, request))
    return failure;
  return ReadBody(hold, parser);
}

std::optional<ServerConnection::ReadFailure> ServerConnection::CheckHead(
    Parser* parser,
    HttpRequest* request) {
  std::optional<uint64_t> length;
  if (const auto stated = parser->content_length())
    length = *stated;
  // An ordinary request comes in one piece, and its handler decides.
  if (!shared_->options().check_head ||
      (length.has_value() && *length <= buffer_.size()))
    return std::nullopt;
  HttpHeadDecision decision = shared_->options().check_head(*request, length);
  if (decision.refusal.has_value())
    return ReadFailure{std::move(decision.refusal)};
  if (decision.max_body_bytes.has_value()) {
    parser->body_limit(
        std::min(*decision.max_body_bytes, shared_->options().max_body_bytes));
  }
  return std::nullopt;
}

std::optional<ServerConnection::ReadFailure> ServerConnection::ReadBody(
    Hold* hold,
    Parser* parser) {
  const auto length = parser->content_length();
  if (length) {
    if (auto failure = Charge(hold, BodyCost(*length)))
      return failure;
  }
  error_code error;
  if (boost::beast::iequals(parser->get()[http::field::expect], "100-continue"))
    error = SendContinue();
  parser->eager(true);
  while (!error && !parser->is_done()) {
    if (!length) {
      if (auto failure = GrowBody(hold, &parser->get().body()))
        return failure;
    }
    error = Parse(parser);
    if (error && error != http::error::need_more)
      break;
    error = {};
    if (parser->is_done())
      break;
    if (auto failure = ReadMore(hold, parser))
      return failure;
  }
  if (error)
    return FailureOf(error, *hold, /*has_head=*/true);
  return std::nullopt;
}

error_code ServerConnection::Parse(Parser* parser) {
  if (buffer_.size() == 0)
    return http::error::need_more;
  error_code error;
  const size_t used = parser->put(buffer_.data(), error);
  buffer_.consume(used);
  return error;
}

std::optional<ServerConnection::ReadFailure> ServerConnection::ReadMore(
    Hold* hold,
    Parser* parser) {
  const bool has_head = parser->is_header_done();
  const size_t room = buffer_.max_size() - buffer_.size();
  if (room == 0)
    return FailureOf(http::error::buffer_overflow, *hold, has_head);
  const size_t wanted = std::min(kReadBytes, room);
  if (auto failure = Charge(hold, charged_, CapacityFor(wanted)))
    return failure;
  const auto space = buffer_.prepare(wanted);
  error_code error;
  const size_t bytes = Await(&error, [&](auto done) {
    stream_.async_read_some(space, std::move(done));
  });
  buffer_.commit(bytes);
  hold->OnArrived(bytes);
  arrived_ += has_head ? bytes : 0;
  if (arrived_ >= kProgressBytes) {
    arrived_ = 0;
    progress_at_ = SteadyNow();
  }
  if (error)
    return FailureOf(error, *hold, has_head);
  return std::nullopt;
}

std::optional<ServerConnection::ReadFailure> ServerConnection::GrowBody(
    Hold* hold,
    std::string* body) {
  const size_t needed = body->size() + buffer_.size();
  if (needed <= body->capacity())
    return std::nullopt;
  const size_t capacity =
      std::max({needed, 2 * body->capacity(), kFirstBodyBytes});
  // Both are in memory while the body moves.
  if (auto failure = Charge(hold, body->capacity() + capacity))
    return failure;
  body->reserve(capacity);
  return Charge(hold, capacity);
}

std::optional<ServerConnection::ReadFailure> ServerConnection::Charge(
    Hold* hold,
    size_t body_bytes) {
  return Charge(hold, body_bytes, buffer_.capacity());
}

std::optional<ServerConnection::ReadFailure>
ServerConnection::Charge(Hold* hold, size_t body_bytes, size_t buffer_bytes) {
  // The first read's buffer is a cost of the connection.
  const size_t buffered = buffer_bytes <= kReadBytes ? 0 : buffer_bytes;
  charged_ = body_bytes;
  if (!hold->Resize(buffered + body_bytes))
    return ReadFailure{NoMemory()};
  if (timed_out_)
    return FailureOf({}, *hold, /*has_head=*/true);
  return std::nullopt;
}

size_t ServerConnection::CapacityFor(size_t bytes) const {
  const size_t used = buffer_.size();
  if (bytes <= buffer_.capacity() - used)
    return buffer_.capacity();
  // As flat_buffer::prepare grows.
  return std::min(buffer_.max_size(), std::max(2 * used, used + bytes));
}

size_t ServerConnection::BodyCost(uint64_t bytes) const {
  return static_cast<size_t>(bytes) * (1 + shared_->options().body_copies);
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

ServerConnection::ReadFailure ServerConnection::FailureOf(
    const error_code& error,
    const Hold& hold,
    bool has_head) const {
  if (timed_out_) {
    return {JsonError(408, "request_timeout",
                      "the request did not arrive in time")};
  }
  if (hold.was_refused())
    return {NoMemory()};
  if (!has_head && (error == http::error::header_limit ||
                    error == http::error::buffer_overflow)) {
    return {JsonError(431, "headers_too_large",
                      "the request's head is over the limit")};
  }
  if (error == http::error::body_limit) {
    return {JsonError(413, "body_too_large",
                      "the request's body is over the limit")};
  }
  if (IsMalformed(error))
    return {JsonError(400, "malformed_request", error.message())};
  return {};
}

HttpResponse ServerConnection::NoMemory() {
  HttpResponse response =
      JsonError(503, "no_memory", "there is no memory for the request now");
  response.headers.push_back(kRetryAfter);
  return response;
}

void ServerConnection::AnswerAndClose(const HttpResponse& response) {
  progress_at_ = SteadyNow();
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
