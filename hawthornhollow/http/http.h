#ifndef HAWTHORNHOLLOW_HTTP_HTTP_H_
#define HAWTHORNHOLLOW_HTTP_HTTP_H_

// HTTP/1.1 server and client over Boost.Beast, for fibers of a Runtime. Beast
// appears only in the sources.
//
//   auto server = HttpServer::Start(runtime, options,
//       [](const HttpRequest& request, ResponseWriter& writer) {
//         writer.Send({.status = 200, .body = "hello\n"});
//       });
//
//   HttpClient client;
//   auto response = client.Call(endpoint, {.method = "GET", .target = "/"},
//                               absl::Seconds(1));

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "hawthornhollow/runtime/runtime.h"

namespace hawthornhollow {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// The first header of that name, compared without case; empty if absent.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  HttpHeaders headers;
  std::string body;
  // Set by the server: the client's address.
  std::string peer;

  std::string_view Header(std::string_view name) const {
    return FindHeader(headers, name);
  }
  // `target` up to its '?'.
  std::string_view Path() const;
  // The value of a query parameter, undecoded; nullopt if absent.
  std::optional<std::string> Query(std::string_view name) const;

  friend bool operator==(const HttpRequest&, const HttpRequest&) = default;
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;

  std::string_view Header(std::string_view name) const {
    return FindHeader(headers, name);
  }

  friend bool operator==(const HttpResponse&, const HttpResponse&) = default;
};

// Answers one request: either Send() once, or StartStream(), Write()s and
// Finish(). Every call returns UNAVAILABLE once the client has gone. The
// connection closes after a response with the header "Connection: close".
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  virtual absl::Status Send(const HttpResponse& response) = 0;
  // Sends the head of a chunked response.
  virtual absl::Status StartStream(int status, const HttpHeaders& headers) = 0;
  virtual absl::Status Write(std::string_view data) = 0;
  virtual absl::Status Finish() = 0;
  // Closes the connection without finishing the response, so that the client
  // sees it as incomplete.
  virtual void Abort() = 0;
  // Sets what runs, at most once and on a fiber of the connection's thread,
  // when the client, or the server's end, closes the connection before the
  // response is complete. It does not begin after the handler has returned; if
  // it has begun, the connection waits for it to return.
  virtual void OnClientGone(std::function<void()> callback) = 0;
  // Whether the client has closed the connection by now. Looks at the
  // connection, so it is true also for an end that came together with the
  // request, before the callback had its turn.
  virtual bool IsClientGone() = 0;
};

using HttpHandler = std::function<void(const HttpRequest&, ResponseWriter&)>;

// What a request's head alone decides.
struct HttpHeadDecision {
  // The final response; the body is not read then, and the connection closes.
  std::optional<HttpResponse> refusal;
  // In place of HttpServerOptions::max_body_bytes, if that is larger.
  std::optional<size_t> max_body_bytes;
};
// Is called with the head of a request whose body has not arrived yet.
// `body_bytes` is unset if the body is sent in chunks.
using HttpHeadCheck =
    std::function<HttpHeadDecision(const HttpRequest& head,
                                   std::optional<uint64_t> body_bytes)>;

// The memory for requests (request_account.h).
class RequestAccount;

struct HttpServerOptions {
  Endpoint local;
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 4 * 1024 * 1024;
  // If there are more, those that are idle or stalled are closed; further ones
  // wait for a second, and are then answered 503.
  size_t max_connections = 4096;
  // May be shared by several servers; null: that of the process.
  std::shared_ptr<RequestAccount> account;
  // Of each body, that the handler makes at a time.
  size_t body_copies = 1;
  // That a request needs in the handler besides.
  size_t handler_bytes = 0;
  HttpHeadCheck check_head;  // may be empty
  // For the whole of a request's head and body to arrive.
  absl::Duration request_timeout = absl::Seconds(10);
  // Between requests on a kept connection.
  absl::Duration idle_timeout = absl::Seconds(60);
  // For one write to be taken by the client.
  absl::Duration write_timeout = absl::Seconds(30);
};

class HttpServer {
 public:
  // Listens with one acceptor per runtime thread (SO_REUSEPORT) and runs
  // `handler` on a fiber per connection. Oversized, slow and malformed requests
  // are answered 431, 413, 408 and 400 with a JSON error, and 503 with
  // Retry-After those for which there is no memory.
  static absl::StatusOr<std::unique_ptr<HttpServer>> Start(
      Runtime& runtime,
      const HttpServerOptions& options,
      HttpHandler handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  const Endpoint& local() const;
  // Open connections, but those that are being refused as too many.
  size_t connection_count() const;

  // Accepts no more connections; kept connections close after the response in
  // progress, idle ones after a short grace for requests on their way. Blocks
  // the calling fiber until no request is in progress, or `timeout` has passed
  // (DEADLINE_EXCEEDED).
  absl::Status Drain(absl::Duration timeout);

  class Impl;
  explicit HttpServer(std::shared_ptr<Impl> impl);

 private:
  std::shared_ptr<Impl> impl_;
};

// The status line and the headers of a response.
struct HttpHead {
  int status = 0;
  HttpHeaders headers;

  std::string_view Header(std::string_view name) const {
    return FindHeader(headers, name);
  }

  friend bool operator==(const HttpHead&, const HttpHead&) = default;
};

// One request that has been sent, and its response as it arrives. Used by one
// reading fiber on the thread that opened it.
//
//   auto exchange = client.Open(endpoint, request, absl::Seconds(1));
//   auto head = (*exchange)->ReadHead(absl::Seconds(5));
//   for (;;) {
//     auto piece = (*exchange)->ReadSome(absl::Seconds(2));
//     if (!piece.ok() || piece->empty()) break;
//   }
//
// Destroying it keeps the connection for another request if the response was
// read whole and nothing follows it; else it closes the connection.
class HttpExchange {
 public:
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  ~HttpExchange();

  // Reads a response's head; interim responses (1xx) are skipped. Called again
  // after a whole response, reads the head of one that follows unasked.
  // ABORTED if the connection broke, DEADLINE_EXCEEDED after `timeout`,
  // DATA_LOSS if what arrived is no HTTP response.
  absl::StatusOr<HttpHead> ReadHead(absl::Duration timeout);

  // The next piece of the body, valid until the next call; empty at the end of
  // a whole body. Errors as ReadHead's; ABORTED if the body broke off.
  absl::StatusOr<std::string_view> ReadSome(absl::Duration timeout);

  // How long the connection took to be made; nullopt if it was kept from an
  // earlier request.
  std::optional<absl::Duration> connect_time() const;
  bool is_reused() const { return !connect_time().has_value(); }

  // The connection is not kept for another request.
  void CloseAfterwards();

  // Fails the reads in progress and all later ones with CANCELLED and closes
  // the connection. Callable from any fiber of the exchange's thread.
  void Cancel();

  class Impl;
  explicit HttpExchange(std::unique_ptr<Impl> impl);

 private:
  std::unique_ptr<Impl> impl_;
};

// Keeps idle connections per runtime thread and endpoint. Safe to use from
// fibers of several threads.
class HttpClient {
 public:
  struct Options {
    absl::Duration connect_timeout = absl::Seconds(1);
    size_t max_idle_per_endpoint = 64;
    size_t max_body_bytes = 64 * 1024 * 1024;
  };
  // Called with each piece of a streamed body; false ends the call.
  using OnHead = std::function<bool(int status, const HttpHeaders& headers)>;
  using OnData = std::function<bool(std::string_view data)>;

  HttpClient();
  explicit HttpClient(const Options& options);
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient();

  // Sends the request within `timeout` and returns once it is written, the
  // server has begun to answer, or the connection has broken after a part of
  // the request had left: ReadHead then returns what the server had answered,
  // or ABORTED. Errors as Call's.
  absl::StatusOr<std::unique_ptr<HttpExchange>> Open(const Endpoint& endpoint,
                                                     const HttpRequest& request,
                                                     absl::Duration timeout);
  // As above, with this bound on making a connection in place of the option.
  absl::StatusOr<std::unique_ptr<HttpExchange>> Open(
      const Endpoint& endpoint,
      const HttpRequest& request,
      absl::Duration timeout,
      absl::Duration connect_timeout);
  // As above. The exchange shares the request, where the others copy it.
  // CANCELLED if a connection had to be made, and `may_send` returned false
  // once it was there: nothing was sent.
  absl::StatusOr<std::unique_ptr<HttpExchange>> Open(
      const Endpoint& endpoint,
      std::shared_ptr<const HttpRequest> request,
      absl::Duration timeout,
      absl::Duration connect_timeout,
      const std::function<bool()>& may_send = [] { return true; });

  // A whole exchange within `timeout`. UNAVAILABLE if no connection could be
  // made, and no byte of the request has left; ABORTED if the connection broke
  // when the server may have begun to work on the request; DEADLINE_EXCEEDED.
  absl::StatusOr<HttpResponse> Call(const Endpoint& endpoint,
                                    const HttpRequest& request,
                                    absl::Duration timeout);

  // As Call, but hands the body on as it arrives. `idle_timeout` bounds the
  // wait for the head and for each piece. CANCELLED if a callback said false;
  // the connection is then closed.
  absl::Status Stream(const Endpoint& endpoint,
                      const HttpRequest& request,
                      absl::Duration idle_timeout,
                      const OnHead& on_head,
                      const OnData& on_data);

  // Closes the calling thread's idle connections that have become useless, to
  // servers that are gone among them. Call it now and then.
  void CloseStaleConnections();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_HTTP_HTTP_H_
