#ifndef HAWTHORNHOLLOW_HTTP_SERVER_INTERNAL_H_
#define HAWTHORNHOLLOW_HTTP_SERVER_INTERNAL_H_

// The state of an HTTP server and of its connections. Private to http.

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <unordered_set>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/http/request_account.h"
#include "hawthornhollow/http/response_writer_internal.h"

namespace hawthornhollow {

class ServerConnection;

// What the connections of one server share. Used from all of its threads.
class ServerShared {
 public:
  ServerShared(HttpServerOptions options, HttpHandler handler);

  const HttpServerOptions& options() const { return options_; }
  const std::shared_ptr<RequestAccount>& account() const {
    return options_.account;
  }
  const HttpHandler& handler() const { return handler_; }

  const std::atomic<bool>& draining() const { return draining_; }
  void StartDraining() { draining_ = true; }

  // Counts a connection; false if there are too many.
  bool AddConnection();
  bool is_full() const { return connections_ >= options_.max_connections; }
  void RemoveConnection();
  size_t connection_count() const { return connections_; }
  void BeginRequest() { ++requests_; }
  void EndRequest();

  // Block until the count is 0, or false after `timeout`.
  bool AwaitNoRequests(absl::Duration timeout);
  bool AwaitNoConnections(absl::Duration timeout);

 private:
  bool AwaitZero(const std::atomic<size_t>& count, absl::Duration timeout);
  void Notify();

  const HttpServerOptions options_;
  const HttpHandler handler_;
  std::atomic<size_t> connections_{0};
  std::atomic<size_t> requests_{0};
  std::atomic<bool> draining_{false};
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
};

// One connection, served by one fiber.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(std::shared_ptr<ServerShared> shared, Socket socket);

  // Serves requests until the connection ends.
  void Run();
  // Answers 503 and closes.
  void Reject();
  // Closes the connection unless a request is in progress or about to be read.
  void CloseIfIdle();
  void Close() { stream_.close(); }
  // How long the connection has been idle, or has brought too little of a
  // request; zero while a request is handled.
  absl::Duration StalledFor(absl::Time now) const;
  // Closes a stalled connection, once; false if a request has just come.
  bool Evict();

 private:
  class RequestScope;
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Hold = RequestAccount::Hold;
  // What is wrong with a request; no response if the client has gone.
  struct ReadFailure {
    std::optional<HttpResponse> response;
  };

  bool ServeOne();
  bool AwaitRequest();
  void BeginRequest();
  void EndRequest();
  std::optional<ReadFailure> ReadRequest(Hold* hold,
                                         HttpRequest* request,
                                         ResponseTraits* traits);
  std::optional<ReadFailure> ReadMessage(Hold* hold,
                                         Parser* parser,
                                         HttpRequest* request);
  std::optional<ReadFailure> ReadBody(Hold* hold, Parser* parser);
  std::optional<ReadFailure> CheckHead(Parser* parser, HttpRequest* request);
  // Parses what the buffer holds. need_more if that was all.
  boost::system::error_code Parse(Parser* parser);
  // Charges the buffer's growth, and reads once into it.
  std::optional<ReadFailure> ReadMore(Hold* hold, Parser* parser);
  // Makes room in a body of unknown length for what the buffer holds.
  std::optional<ReadFailure> GrowBody(Hold* hold, std::string* body);
  std::optional<ReadFailure> Charge(Hold* hold, size_t body_bytes);
  std::optional<ReadFailure> Charge(Hold* hold,
                                    size_t body_bytes,
                                    size_t buffer_bytes);
  // Of the buffer, once there is room for `bytes` more.
  size_t CapacityFor(size_t bytes) const;
  void Handle(const HttpRequest& request, BeastResponseWriter* writer);
  boost::system::error_code SendContinue();
  void StartRequestTimer();
  void StopRequestTimer();
  ReadFailure FailureOf(const boost::system::error_code& error,
                        const Hold& hold,
                        bool has_head) const;
  static HttpResponse NoMemory();
  // Of a body that is handled, with the handler's copies.
  size_t BodyCost(uint64_t bytes) const;
  void AnswerAndClose(const HttpResponse& response);
  void Linger();
  ResponseTraits DefaultTraits() const;

  std::shared_ptr<ServerShared> shared_;
  TimedStream stream_;
  std::string peer_;
  std::string address_;  // of the peer, without its port
  boost::beast::flat_buffer buffer_;
  // Begin of the phase, or the last time that enough of a body had arrived.
  absl::Time progress_at_ = SteadyNow();
  size_t arrived_ = 0;  // of a body since then
  size_t charged_ = 0;  // for the body
  bool is_handling_ = false;
  bool is_evicted_ = false;
  boost::asio::basic_waitable_timer<
      std::chrono::steady_clock,
      boost::asio::wait_traits<std::chrono::steady_clock>,
      IoExecutor>
      request_timer_;
  uint64_t request_number_ = 0;
  bool in_request_ = false;
  bool timed_out_ = false;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_HTTP_SERVER_INTERNAL_H_
