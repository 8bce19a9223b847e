#ifndef HAWTHORNHOLLOW_HTTP_SERVER_INTERNAL_H_
#define HAWTHORNHOLLOW_HTTP_SERVER_INTERNAL_H_

// The state of an HTTP server and of its connections. Private to http.

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <unordered_set>

#include "hawthornhollow/http/response_writer_internal.h"

namespace hawthornhollow {

class ServerConnection;

// What the connections of one server share. Used from all of its threads.
class ServerShared {
 public:
  ServerShared(HttpServerOptions options, HttpHandler handler)
      : options_(std::move(options)), handler_(std::move(handler)) {}

  const HttpServerOptions& options() const { return options_; }
  const HttpHandler& handler() const { return handler_; }

  const std::atomic<bool>& draining() const { return draining_; }
  void StartDraining() { draining_ = true; }

  // Counts a connection; false if there are too many.
  bool AddConnection();
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

 private:
  class RequestScope;

  bool ServeOne();
  bool AwaitRequest();
  void BeginRequest();
  void EndRequest();
  bool ReadRequest(HttpRequest* request, ResponseTraits* traits);
  void Handle(const HttpRequest& request, BeastResponseWriter* writer);
  template <typename Parser>
  boost::system::error_code ReadMessage(Parser* parser);
  boost::system::error_code SendContinue();
  void StartRequestTimer();
  void StopRequestTimer();
  void AnswerReadError(const boost::system::error_code& error, bool has_head);
  void AnswerAndClose(const HttpResponse& response);
  void Linger();
  ResponseTraits DefaultTraits() const;

  std::shared_ptr<ServerShared> shared_;
  TimedStream stream_;
  std::string peer_;
  boost::beast::flat_buffer buffer_;
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
