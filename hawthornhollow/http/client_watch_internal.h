#ifndef HAWTHORNHOLLOW_HTTP_CLIENT_WATCH_INTERNAL_H_
#define HAWTHORNHOLLOW_HTTP_CLIENT_WATCH_INTERNAL_H_

// Notices that a client has closed its connection while its request is being
// handled. Private to http.

#include <functional>

#include "hawthornhollow/runtime/asio_internal.h"

namespace hawthornhollow {

// Waits for the socket to become readable and peeks: an end of stream means
// that the client has gone. Bytes of a further, pipelined request stay unread;
// the watch then ends, as an end behind them cannot be seen.
class ClientWatch {
 public:
  explicit ClientWatch(Socket* socket) : socket_(socket) {}
  ClientWatch(const ClientWatch&) = delete;
  ClientWatch& operator=(const ClientWatch&) = delete;

  // Begins to watch. `callback` runs at most once, on a fiber of its own, and
  // does not begin once Stop was called.
  void Start(std::function<void()> callback);
  // Says that the client has gone, as a write has failed.
  void ReportGone();
  // The callback no longer begins.
  void Disarm() { callback_ = nullptr; }
  // Ends the watch; blocks the fiber until no handler is pending and the
  // callback has ended. Cancels the socket's operations, so that none may be in
  // progress.
  void Stop();
  bool gone() const { return gone_; }
  // Looks at the socket as well, whether or not Start was called, and reports
  // what it finds.
  bool IsGoneNow();

 private:
  void Arm();
  void OnReadable(const boost::system::error_code& error);

  Socket* const socket_;
  std::function<void()> callback_;
  bool pending_ = false;
  bool stopping_ = false;
  bool gone_ = false;
  bool in_callback_ = false;
  FiberWait ended_;
  FiberWait callback_ended_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_HTTP_CLIENT_WATCH_INTERNAL_H_
