#include <boost/asio/ip/v6_only.hpp>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/runtime/asio_internal.h"

namespace hawthornhollow {
namespace {

constexpr int kBacklog = 1024;
// After a failure such as a lack of file descriptors.
constexpr absl::Duration kAcceptRetryDelay = absl::Milliseconds(20);
// Between two looks for room for a connection.
constexpr absl::Duration kRoomInterval = absl::Milliseconds(2);

using ReusePort =
    boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
using ReuseAddress = boost::asio::socket_base::reuse_address;
using boost::system::error_code;

}  // namespace

Acceptor::Acceptor(std::shared_ptr<IoThread> thread)
    : thread_(std::move(thread)), acceptor_(thread_->context()) {}

absl::StatusOr<std::shared_ptr<Acceptor>> Acceptor::Open(
    std::shared_ptr<IoThread> thread,
    const Endpoint& local,
    bool share_port) {
  auto acceptor = std::make_shared<Acceptor>(std::move(thread));
  acceptor->local_ = local;
  absl::Status status = acceptor->Bind(share_port);
  if (status.ok())
    status = acceptor->Listen();
  if (!status.ok())
    return status;
  return acceptor;
}

absl::Status Acceptor::CheckFree(std::shared_ptr<IoThread> thread,
                                 const Endpoint& local) {
  Acceptor acceptor(std::move(thread));
  acceptor.local_ = local;
  return acceptor.Bind(/*share_port=*/false);
}

absl::Status Acceptor::Bind(bool share_port) {
  const boost::asio::ip::tcp::endpoint address = ToAsio(local_);
  error_code error;
  acceptor_.open(address.protocol(), error);
  if (!error)
    acceptor_.set_option(ReuseAddress(true), error);
  if (!error && share_port)
    acceptor_.set_option(ReusePort(true), error);
  if (!error)
    acceptor_.bind(address, error);
  return ErrorOf(error, "tcp.bind", local_.ToString());
}

absl::Status Acceptor::Listen() {
  error_code error;
  acceptor_.listen(kBacklog, error);
  if (!error)
    acceptor_.non_blocking(true, error);
  if (!error)
    local_ = FromAsio(acceptor_.local_endpoint(error));
  return ErrorOf(error, "tcp.listen", local_.ToString());
}

void Acceptor::Start(Handler handler, Room room) {
  handler_ = std::move(handler);
  room_ = std::move(room);
  thread_->Spawn([self = shared_from_this()] { self->AcceptLoop(); });
}

void Acceptor::AcceptLoop() {
  while (acceptor_.is_open()) {
    AwaitRoom();
    if (acceptor_.is_open() && !AcceptOne())
      hawthornhollow::SleepFor(kAcceptRetryDelay);
  }
  handler_ = nullptr;
  room_ = {};
}

void Acceptor::AwaitRoom() {
  if (!room_.has_room || room_.has_room())
    return;
  error_code error;
  Await(&error, [&](auto done) {
    acceptor_.async_wait(SocketAcceptor::wait_read, std::move(done));
  });
  while (acceptor_.is_open() && !room_.make_room())
    hawthornhollow::SleepFor(kRoomInterval);
}

bool Acceptor::AcceptOne() {
  Socket socket(thread_->context());
  error_code error;
  Await(&error,
        [&](auto done) { acceptor_.async_accept(socket, std::move(done)); });
  if (error == boost::asio::error::operation_aborted)
    return true;
  if (error) {
    LogEvent("tcp.accept_failed", LogSeverity::kWarning)
        .Add("local", local_.ToString())
        .Add("error", error.message());
    return false;
  }
  socket.set_option(boost::asio::ip::tcp::no_delay(true), error);
  handler_(std::move(socket));
  return true;
}

void Acceptor::Close() {
  thread_->DispatchOrRun([self = shared_from_this()] {
    error_code ignored;
    self->acceptor_.close(ignored);
  });
}

void Acceptor::CloseAfterBacklog() {
  error_code error;
  while (acceptor_.is_open() && handler_) {
    Socket socket(thread_->context());
    acceptor_.accept(socket, error);
    if (error)
      break;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), error);
    handler_(std::move(socket));
  }
  acceptor_.close(error);
}

}  // namespace hawthornhollow
