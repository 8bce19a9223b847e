#ifndef HAWTHORNHOLLOW_HTTP_BEAST_INTERNAL_H_
#define HAWTHORNHOLLOW_HTTP_BEAST_INTERNAL_H_

// Conversions between Beast's messages and this library's. Private to http.

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/fields.hpp>

#include "hawthornhollow/http/http.h"

namespace hawthornhollow {

// What a connection keeps of bytes that are not parsed yet: of a chunk's
// extension or a trailer, say, which have no bound of their own and may come
// without end. Longer than any line that a sound party sends.
constexpr size_t kMaxUnparsedBytes = 64 * 1024;

// What can be learned of a socket without reading from it.
enum class SocketState {
  kQuiet,   // open, nothing to read
  kData,    // bytes are waiting
  kClosed,  // ended by the peer or broken
};

// Looks at a socket without blocking or taking bytes from it.
SocketState PeekSocket(int file_descriptor);

// Whether what arrived is no message of HTTP, rather than one that broke off.
bool IsMalformed(const boost::beast::error_code& error);

HttpHeaders CopyHeaders(const boost::beast::http::fields& fields);

// Adds `headers` but those that frame the message (Content-Length,
// Transfer-Encoding, Connection) and those with control characters, which
// could split the message.
void AppendHeaders(const HttpHeaders& headers,
                   boost::beast::http::fields* fields);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_HTTP_BEAST_INTERNAL_H_
