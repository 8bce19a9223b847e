// A connection is taken from the calling thread's idle ones or made anew. A
// server may work on a request as soon as it has its head, so a request is sent
// once more, on a fresh connection, only if no byte of it had left when the
// write to a reused connection failed. Once a byte has left nothing is
// repeated: the server may have answered before the connection broke, so the
// answer is read, and if there is none the caller learns ABORTED.

#include <algorithm>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/http/exchange_internal.h"

namespace hawthornhollow {
namespace {

using boost::system::error_code;

absl::Status WriteError(const error_code& error, const Endpoint& endpoint) {
  const absl::StatusCode code = error == boost::beast::error::timeout
                                    ? absl::StatusCode::kDeadlineExceeded
                                    : absl::StatusCode::kAborted;
  return ErrorAt(code, "http.send", endpoint.ToString(), error.message());
}

}  // namespace

class HttpClient::Impl {
 public:
  explicit Impl(const Options& options)
      : options_(options), pool_(options.max_idle_per_endpoint) {}

  using ExchangeOr = absl::StatusOr<std::unique_ptr<HttpExchange>>;

  ExchangeOr Open(const Endpoint& endpoint,
                  const std::shared_ptr<const HttpRequest>& request,
                  absl::Duration timeout,
                  absl::Duration connect_timeout,
                  const std::function<bool()>& may_send);
  const Options& options() const { return options_; }
  void CloseStale() { pool_.CloseStale(IoThread::Current().get()); }

 private:
  using ConnectionOr = absl::StatusOr<std::unique_ptr<ClientConnection>>;

  ConnectionOr Connect(const std::shared_ptr<IoThread>& thread,
                       const Endpoint& endpoint,
                       absl::Duration timeout);

  const Options options_;
  ConnectionPool pool_;
};

HttpClient::Impl::ConnectionOr HttpClient::Impl::Connect(
    const std::shared_ptr<IoThread>& thread,
    const Endpoint& endpoint,
    absl::Duration timeout) {
  auto connection = std::make_unique<ClientConnection>(thread);
  absl::Status status = ConnectStream(&connection->stream, endpoint, timeout);
  if (status.ok())
    return connection;
  return ErrorAt(absl::StatusCode::kUnavailable, "http.connect",
                 endpoint.ToString(), std::string(status.message()));
}

HttpClient::Impl::ExchangeOr HttpClient::Impl::Open(
    const Endpoint& endpoint,
    const std::shared_ptr<const HttpRequest>& request,
    absl::Duration timeout,
    absl::Duration connect_timeout,
    const std::function<bool()>& may_send) {
  const absl::Time deadline = SteadyNow() + timeout;
  std::shared_ptr<IoThread> thread = IoThread::Current();
  if (thread == nullptr) {
    return ErrorAt(absl::StatusCode::kFailedPrecondition, "http.send",
                   endpoint.ToString(), "not on a runtime thread");
  }
  if (auto reused = pool_.Take(thread.get(), endpoint)) {
    auto exchange =
        std::make_unique<HttpExchange::Impl>(&pool_, endpoint, request);
    const error_code error = exchange->Write(std::move(reused), timeout);
    if (!error)
      return std::make_unique<HttpExchange>(std::move(exchange));
    if (error == boost::beast::error::timeout)
      return WriteError(error, endpoint);
    LogEvent("http.sent_again")
        .Add("endpoint", endpoint.ToString())
        .Add("reason", error.message());
  }
  const absl::Time begun = SteadyNow();
  ConnectionOr connection =
      Connect(thread, endpoint, std::min(connect_timeout, deadline - begun));
  if (!connection.ok())
    return connection.status();
  if (!may_send()) {
    pool_.Put(endpoint, *std::move(connection));
    return ErrorAt(absl::StatusCode::kCancelled, "http.send",
                   endpoint.ToString(), "not to be sent any more");
  }
  auto exchange =
      std::make_unique<HttpExchange::Impl>(&pool_, endpoint, request);
  exchange->SetConnectTime(SteadyNow() - begun);
  const error_code error =
      exchange->Write(*std::move(connection), deadline - SteadyNow());
  if (error)
    return WriteError(error, endpoint);
  return std::make_unique<HttpExchange>(std::move(exchange));
}

HttpClient::HttpClient() : HttpClient(Options()) {}

HttpClient::HttpClient(const Options& options)
    : impl_(std::make_unique<Impl>(options)) {}

HttpClient::~HttpClient() = default;

absl::StatusOr<std::unique_ptr<HttpExchange>> HttpClient::Open(
    const Endpoint& endpoint,
    const HttpRequest& request,
    absl::Duration timeout) {
  return Open(endpoint, request, timeout, impl_->options().connect_timeout);
}

absl::StatusOr<std::unique_ptr<HttpExchange>> HttpClient::Open(
    const Endpoint& endpoint,
    const HttpRequest& request,
    absl::Duration timeout,
    absl::Duration connect_timeout) {
  return Open(endpoint, std::make_shared<const HttpRequest>(request), timeout,
              connect_timeout);
}

absl::StatusOr<std::unique_ptr<HttpExchange>> HttpClient::Open(
    const Endpoint& endpoint,
    std::shared_ptr<const HttpRequest> request,
    absl::Duration timeout,
    absl::Duration connect_timeout,
    const std::function<bool()>& may_send) {
  return impl_->Open(endpoint, std::move(request), timeout, connect_timeout,
                     may_send);
}

void HttpClient::CloseStaleConnections() {
  impl_->CloseStale();
}

absl::StatusOr<HttpResponse> HttpClient::Call(const Endpoint& endpoint,
                                              const HttpRequest& request,
                                              absl::Duration timeout) {
  const absl::Time deadline = SteadyNow() + timeout;
  const auto remaining = [deadline] {
    return std::max(absl::ZeroDuration(), deadline - SteadyNow());
  };
  auto exchange = Open(endpoint, request, timeout);
  if (!exchange.ok())
    return exchange.status();
  auto head = (*exchange)->ReadHead(remaining());
  if (!head.ok())
    return head.status();
  HttpResponse response{.status = head->status,
                        .headers = std::move(head->headers)};
  while (true) {
    auto piece = (*exchange)->ReadSome(remaining());
    if (!piece.ok())
      return piece.status();
    if (piece->empty())
      return response;
    response.body.append(*piece);
    if (response.body.size() > impl_->options().max_body_bytes) {
      return ErrorAt(absl::StatusCode::kResourceExhausted, "http.receive",
                     endpoint.ToString(), "the body is over the limit");
    }
  }
}

absl::Status HttpClient::Stream(const Endpoint& endpoint,
                                const HttpRequest& request,
                                absl::Duration idle_timeout,
                                const OnHead& on_head,
                                const OnData& on_data) {
  auto exchange = Open(endpoint, request, idle_timeout);
  if (!exchange.ok())
    return exchange.status();
  const auto head = (*exchange)->ReadHead(idle_timeout);
  if (!head.ok())
    return head.status();
  const absl::Status stopped =
      ErrorAt(absl::StatusCode::kCancelled, "http.receive", endpoint.ToString(),
              "stopped by the caller");
  if (!on_head(head->status, head->headers))
    return stopped;
  while (true) {
    auto piece = (*exchange)->ReadSome(idle_timeout);
    if (!piece.ok())
      return piece.status();
    if (piece->empty())
      return absl::OkStatus();
    if (!on_data(*piece))
      return stopped;
  }
}

}  // namespace hawthornhollow
