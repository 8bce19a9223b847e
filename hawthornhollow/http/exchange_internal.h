#ifndef HAWTHORNHOLLOW_HTTP_EXCHANGE_INTERNAL_H_
#define HAWTHORNHOLLOW_HTTP_EXCHANGE_INTERNAL_H_

// One request and its response over one client connection. Private to http.

#include <array>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/span_body.hpp>
#include <memory>
#include <optional>
#include <string>

#include "hawthornhollow/http/connection_pool_internal.h"

namespace hawthornhollow {

class HttpExchange::Impl {
 public:
  // `pool` must outlive the exchange.
  Impl(ConnectionPool* pool,
       const Endpoint& endpoint,
       std::shared_ptr<const HttpRequest> request);
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl();

  // Writes the request to `connection`. Returns once it is written, or the
  // server has begun to answer: an answer may come before the body is in.
  // An error tells that no byte of it has left, or that `timeout` has passed. A
  // write that breaks off after its first byte is no error here: what the
  // server answered before, or that it did not, is told by ReadHead.
  boost::system::error_code Write(std::unique_ptr<ClientConnection> connection,
                                  absl::Duration timeout);

  absl::StatusOr<HttpHead> ReadHead(absl::Duration timeout);
  absl::StatusOr<std::string_view> ReadSome(absl::Duration timeout);
  void Cancel();
  void CloseAfterwards() { close_afterwards_ = true; }
  std::optional<absl::Duration> connect_time() const { return connect_time_; }
  void SetConnectTime(absl::Duration took) { connect_time_ = took; }

 private:
  using Message =
      boost::beast::http::request<boost::beast::http::span_body<const char>>;
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;
  static constexpr size_t kPieceBytes = 16 * 1024;

  // A write in progress, and whom to wake at its end or at the answer's start.
  struct PendingWrite {
    bool done = false;
    boost::system::error_code error;
    size_t bytes = 0;  // that have left, once it is done
    FiberWait written;
    FiberWait written_or_readable;
  };

  void StartWrite(absl::Duration timeout);
  void AwaitWrite();
  // Whether the end of the connection is the end of the answer.
  bool EndsWithConnection() const {
    return parser_->need_eof() && request_->method != "HEAD";
  }
  // Whether that end was an orderly one: the server took the whole request, and
  // nothing tells of a reset.
  bool IsOrderlyEnd(absl::Time deadline);
  boost::system::error_code WriteFailure() const;
  bool CanKeepConnection() const;
  absl::Status ReadError(const boost::system::error_code& error) const;

  ConnectionPool* const pool_;
  const Endpoint endpoint_;
  const std::shared_ptr<const HttpRequest> request_;
  Message message_;
  std::unique_ptr<ClientConnection> connection_;
  std::shared_ptr<PendingWrite> write_;
  std::optional<Parser> parser_;
  std::unique_ptr<std::array<char, kPieceBytes>> piece_;
  std::optional<absl::Duration> connect_time_;
  bool cancelled_ = false;
  bool broken_ = false;
  bool close_afterwards_ = false;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_HTTP_EXCHANGE_INTERNAL_H_
