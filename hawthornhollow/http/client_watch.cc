#include "hawthornhollow/http/client_watch_internal.h"

#include "absl/cleanup/cleanup.h"
#include "hawthornhollow/http/beast_internal.h"

namespace hawthornhollow {

void ClientWatch::Start(std::function<void()> callback) {
  if (stopping_)
    return;
  callback_ = std::move(callback);
  if (!pending_)
    Arm();
}

void ClientWatch::Arm() {
  pending_ = true;
  socket_->async_wait(
      Socket::wait_read,
      [this](const boost::system::error_code& error) { OnReadable(error); });
}

void ClientWatch::OnReadable(const boost::system::error_code& error) {
  pending_ = false;
  if (stopping_) {
    ended_.Done();
    return;
  }
  // Our side has closed the socket under the response.
  if (error) {
    ReportGone();
    return;
  }
  switch (PeekSocket(socket_->native_handle())) {
    case SocketState::kQuiet:
      Arm();
      break;
    case SocketState::kData:
      break;
    case SocketState::kClosed:
      ReportGone();
      break;
  }
}

void ClientWatch::ReportGone() {
  gone_ = true;
  if (!callback_)
    return;
  in_callback_ = true;
  IoThread::Current()->Spawn(
      [this, callback = std::exchange(callback_, nullptr)] {
        const absl::Cleanup end = [this] {
          in_callback_ = false;
          callback_ended_.Done();
        };
        // The handler may have returned before this fiber had its turn.
        if (!stopping_)
          callback();
      });
}

bool ClientWatch::IsGoneNow() {
  if (!gone_ && PeekSocket(socket_->native_handle()) == SocketState::kClosed)
    ReportGone();
  return gone_;
}

void ClientWatch::Stop() {
  stopping_ = true;
  Disarm();
  if (pending_) {
    boost::system::error_code ignored;
    socket_->cancel(ignored);
    ended_.Wait();
  }
  if (in_callback_)
    callback_ended_.Wait();
}

}  // namespace hawthornhollow
