#ifndef HAWTHORNHOLLOW_RUNTIME_TCP_STREAM_INTERNAL_H_
#define HAWTHORNHOLLOW_RUNTIME_TCP_STREAM_INTERNAL_H_

// Makes streams of accepted sockets. Private to runtime.

#include <memory>

#include "hawthornhollow/runtime/asio_internal.h"

namespace hawthornhollow {

// Must be called on the thread of `socket`.
std::unique_ptr<TcpStream> MakeTcpStream(Socket socket);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RUNTIME_TCP_STREAM_INTERNAL_H_
