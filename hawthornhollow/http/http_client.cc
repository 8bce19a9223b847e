// A connection is taken from the calling thread's idle ones or made anew. Just
// before reuse the socket is peeked at: one that the server has closed, or that
// holds unasked bytes, is dropped. A write that fails on a reused connection
// did not hand over the whole request, so the server cannot have run it, and it
// is sent once more on a fresh connection. After a complete write nothing is
// repeated: the request may have run, and the caller learns ABORTED.

#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <deque>
#include <limits>
#include <map>
#include <mutex>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/http/beast_internal.h"
#include "hawthornhollow/http/http.h"
#include "hawthornhollow/runtime/asio_internal.h"

namespace hawthornhollow {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

// Idle connections older than this are closed when another comes back.
constexpr absl::Duration kMaxIdleAge = absl::Seconds(30);
constexpr size_t kStreamPieceBytes = 16 * 1024;
constexpr int kFirstFinalStatus = 200;
constexpr int kSwitchingProtocols = 101;

// How long each of an exchange's waits may last.
class Bound {
 public:
  static Bound Whole(absl::Duration timeout) {
    return Bound(absl::Now() + timeout, absl::InfiniteDuration());
  }
  static Bound EachStep(absl::Duration timeout) {
    return Bound(absl::InfiniteFuture(), timeout);
  }

  absl::Duration Remaining() const {
    const absl::Duration left = deadline_ - absl::Now();
    return std::max(absl::ZeroDuration(), std::min(left, step_));
  }

 private:
  Bound(absl::Time deadline, absl::Duration step)
      : deadline_(deadline), step_(step) {}

  absl::Time deadline_;
  absl::Duration step_;
};

struct Connection {
  explicit Connection(std::shared_ptr<IoThread> io_thread)
      : thread(std::move(io_thread)), stream(thread->context()) {}

  std::shared_ptr<IoThread> thread;
  TimedStream stream;
  boost::beast::flat_buffer buffer;
  absl::Time idle_since;
};

// Idle connections by thread and endpoint.
class IdlePool {
 public:
  explicit IdlePool(size_t max_per_endpoint)
      : max_per_endpoint_(max_per_endpoint) {}

  // The most recently used one that is still open; null if there is none.
  std::unique_ptr<Connection> Take(IoThread* thread, const Endpoint& endpoint) {
    while (std::unique_ptr<Connection> connection = Pop(thread, endpoint)) {
      Socket& socket = connection->stream.socket();
      if (PeekSocket(socket.native_handle()) == SocketState::kQuiet)
        return connection;
    }
    return nullptr;
  }

  void Put(const Endpoint& endpoint, std::unique_ptr<Connection> connection) {
    connection->idle_since = absl::Now();
    const absl::Time oldest = connection->idle_since - kMaxIdleAge;
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& idle = idle_[{connection->thread.get(), endpoint}];
    idle.push_back(std::move(connection));
    while (!idle.empty() && (idle.size() > max_per_endpoint_ ||
                             idle.front()->idle_since < oldest))
      idle.pop_front();
  }

 private:
  std::unique_ptr<Connection> Pop(IoThread* thread, const Endpoint& endpoint) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = idle_.find({thread, endpoint});
    if (found == idle_.end() || found->second.empty())
      return nullptr;
    std::unique_ptr<Connection> connection = std::move(found->second.back());
    found->second.pop_back();
    return connection;
  }

  const size_t max_per_endpoint_;
  std::mutex mutex_;
  std::map<std::pair<IoThread*, Endpoint>,
           std::deque<std::unique_ptr<Connection>>>
      idle_;
};

using RequestMessage = http::request<http::span_body<const char>>;

RequestMessage MakeMessage(const Endpoint& endpoint,
                           const HttpRequest& request) {
  RequestMessage message;
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

// A failure after the request has been sent.
absl::Status ReadError(const error_code& error, const Endpoint& endpoint) {
  absl::StatusCode code = absl::StatusCode::kAborted;
  if (error == boost::beast::error::timeout)
    code = absl::StatusCode::kDeadlineExceeded;
  if (error == http::error::body_limit)
    code = absl::StatusCode::kResourceExhausted;
  return ErrorAt(code, "http.receive", endpoint.ToString(), error.message());
}

error_code WriteMessage(Connection* connection,
                        const RequestMessage& message,
                        absl::Duration timeout) {
  SetTimeout(&connection->stream, timeout);
  error_code error;
  Await(&error, [&](auto done) {
    http::async_write(connection->stream, message, std::move(done));
  });
  return error;
}

// Reads a response's head, skipping interim (1xx) ones.
template <typename Parser>
error_code ReadHead(Connection* connection,
                    bool head_only,
                    const Bound& bound,
                    std::optional<Parser>* parser,
                    uint64_t body_limit) {
  error_code error;
  do {
    parser->emplace();
    (*parser)->body_limit(body_limit);
    (*parser)->skip(head_only);
    SetTimeout(&connection->stream, bound.Remaining());
    Await(&error, [&](auto done) {
      http::async_read_header(connection->stream, connection->buffer, **parser,
                              std::move(done));
    });
    if (error)
      return error;
  } while ((*parser)->get().result_int() < kFirstFinalStatus &&
           (*parser)->get().result_int() != kSwitchingProtocols);
  return error;
}

using StreamParser = http::response_parser<http::buffer_body>;

// Reads what arrives next of a body into `piece`.
error_code ReadPiece(Connection* connection,
                     StreamParser* parser,
                     std::array<char, kStreamPieceBytes>* piece,
                     size_t* bytes) {
  http::buffer_body::value_type& body = parser->get().body();
  body.data = piece->data();
  body.size = piece->size();
  body.more = true;
  error_code error;
  Await(&error, [&](auto done) {
    http::async_read_some(connection->stream, connection->buffer, *parser,
                          std::move(done));
  });
  if (error == http::error::need_buffer)
    error = {};
  *bytes = piece->size() - body.size;
  return error;
}

}  // namespace

class HttpClient::Impl {
 public:
  explicit Impl(const Options& options)
      : options_(options), pool_(options.max_idle_per_endpoint) {}

  absl::StatusOr<HttpResponse> Call(const Endpoint& endpoint,
                                    const HttpRequest& request,
                                    const Bound& bound);
  absl::Status Stream(const Endpoint& endpoint,
                      const HttpRequest& request,
                      const Bound& bound,
                      const OnHead& on_head,
                      const OnData& on_data);

 private:
  using ConnectionOr = absl::StatusOr<std::unique_ptr<Connection>>;

  // Sends the request and returns the connection that will bring the response.
  ConnectionOr Send(const Endpoint& endpoint,
                    const HttpRequest& request,
                    const Bound& bound);
  ConnectionOr Connect(const std::shared_ptr<IoThread>& thread,
                       const Endpoint& endpoint,
                       const Bound& bound);
  template <typename Parser>
  void Recycle(const Endpoint& endpoint,
               const Parser& parser,
               std::unique_ptr<Connection> connection);

  const Options options_;
  IdlePool pool_;
};

HttpClient::Impl::ConnectionOr HttpClient::Impl::Connect(
    const std::shared_ptr<IoThread>& thread,
    const Endpoint& endpoint,
    const Bound& bound) {
  auto connection = std::make_unique<Connection>(thread);
  const absl::Duration timeout =
      std::min(options_.connect_timeout, bound.Remaining());
  absl::Status status = ConnectStream(&connection->stream, endpoint, timeout);
  if (status.ok())
    return connection;
  return ErrorAt(absl::StatusCode::kUnavailable, "http.connect",
                 endpoint.ToString(), std::string(status.message()));
}

HttpClient::Impl::ConnectionOr HttpClient::Impl::Send(
    const Endpoint& endpoint,
    const HttpRequest& request,
    const Bound& bound) {
  std::shared_ptr<IoThread> thread = IoThread::Current();
  if (thread == nullptr) {
    return ErrorAt(absl::StatusCode::kFailedPrecondition, "http.send",
                   endpoint.ToString(), "not on a runtime thread");
  }
  const RequestMessage message = MakeMessage(endpoint, request);
  if (auto reused = pool_.Take(thread.get(), endpoint)) {
    const error_code error =
        WriteMessage(reused.get(), message, bound.Remaining());
    if (!error)
      return reused;
    if (error == boost::beast::error::timeout)
      return ReadError(error, endpoint);
  }
  ConnectionOr connection = Connect(thread, endpoint, bound);
  if (!connection.ok())
    return connection;
  const error_code error =
      WriteMessage(connection->get(), message, bound.Remaining());
  if (error)
    return ReadError(error, endpoint);
  return connection;
}

template <typename Parser>
void HttpClient::Impl::Recycle(const Endpoint& endpoint,
                               const Parser& parser,
                               std::unique_ptr<Connection> connection) {
  if (!parser.keep_alive() || connection->buffer.size() > 0)
    return;
  connection->stream.expires_never();
  pool_.Put(endpoint, std::move(connection));
}

absl::StatusOr<HttpResponse> HttpClient::Impl::Call(const Endpoint& endpoint,
                                                    const HttpRequest& request,
                                                    const Bound& bound) {
  ConnectionOr connection = Send(endpoint, request, bound);
  if (!connection.ok())
    return connection.status();
  std::optional<http::response_parser<http::string_body>> parser;
  error_code error = ReadHead(connection->get(), request.method == "HEAD",
                              bound, &parser, options_.max_body_bytes);
  if (!error && !parser->is_done()) {
    SetTimeout(&(*connection)->stream, bound.Remaining());
    Await(&error, [&](auto done) {
      http::async_read((*connection)->stream, (*connection)->buffer, *parser,
                       std::move(done));
    });
  }
  if (error)
    return ReadError(error, endpoint);
  HttpResponse response;
  response.status = static_cast<int>(parser->get().result_int());
  response.headers = CopyHeaders(parser->get());
  response.body = std::move(parser->get().body());
  Recycle(endpoint, *parser, *std::move(connection));
  return response;
}

absl::Status HttpClient::Impl::Stream(const Endpoint& endpoint,
                                      const HttpRequest& request,
                                      const Bound& bound,
                                      const OnHead& on_head,
                                      const OnData& on_data) {
  ConnectionOr connection = Send(endpoint, request, bound);
  if (!connection.ok())
    return connection.status();
  std::optional<StreamParser> parser;
  error_code error =
      ReadHead(connection->get(), request.method == "HEAD", bound, &parser,
               std::numeric_limits<uint64_t>::max());
  if (error)
    return ReadError(error, endpoint);
  const absl::Status stopped =
      ErrorAt(absl::StatusCode::kCancelled, "http.receive", endpoint.ToString(),
              "stopped by the caller");
  if (!on_head(static_cast<int>(parser->get().result_int()),
               CopyHeaders(parser->get())))
    return stopped;
  auto piece = std::make_unique<std::array<char, kStreamPieceBytes>>();
  while (!parser->is_done()) {
    size_t bytes = 0;
    SetTimeout(&(*connection)->stream, bound.Remaining());
    error = ReadPiece(connection->get(), &*parser, piece.get(), &bytes);
    if (bytes > 0 && !on_data(std::string_view(piece->data(), bytes)))
      return stopped;
    if (error)
      return ReadError(error, endpoint);
  }
  Recycle(endpoint, *parser, *std::move(connection));
  return absl::OkStatus();
}

HttpClient::HttpClient() : HttpClient(Options()) {}

HttpClient::HttpClient(const Options& options)
    : impl_(std::make_unique<Impl>(options)) {}

HttpClient::~HttpClient() = default;

absl::StatusOr<HttpResponse> HttpClient::Call(const Endpoint& endpoint,
                                              const HttpRequest& request,
                                              absl::Duration timeout) {
  return impl_->Call(endpoint, request, Bound::Whole(timeout));
}

absl::Status HttpClient::Stream(const Endpoint& endpoint,
                                const HttpRequest& request,
                                absl::Duration idle_timeout,
                                const OnHead& on_head,
                                const OnData& on_data) {
  return impl_->Stream(endpoint, request, Bound::EachStep(idle_timeout),
                       on_head, on_data);
}

}  // namespace hawthornhollow
