#ifndef HAWTHORNHOLLOW_HTTP_CONNECTION_POOL_INTERNAL_H_
#define HAWTHORNHOLLOW_HTTP_CONNECTION_POOL_INTERNAL_H_

// The client's connections and those that it keeps idle. Private to http.

#include <boost/beast/core/flat_buffer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

#include "hawthornhollow/http/beast_internal.h"
#include "hawthornhollow/http/http.h"
#include "hawthornhollow/runtime/asio_internal.h"

namespace hawthornhollow {

struct ClientConnection {
  explicit ClientConnection(std::shared_ptr<IoThread> io_thread)
      : thread(std::move(io_thread)), stream(thread->context()) {}

  std::shared_ptr<IoThread> thread;
  TimedStream stream;
  boost::beast::flat_buffer buffer{kMaxUnparsedBytes};
  absl::Time idle_since;
  // How long the server keeps the connection idle, as it last said.
  absl::Duration idle_limit = absl::InfiniteDuration();
};

// Idle connections by thread and endpoint. Thread-safe.
class ConnectionPool {
 public:
  explicit ConnectionPool(size_t max_per_endpoint)
      : max_per_endpoint_(max_per_endpoint) {}

  // The most recently used one that is still open and that its server will not
  // close under the next request; null if there is none.
  std::unique_ptr<ClientConnection> Take(IoThread* thread,
                                         const Endpoint& endpoint);
  void Put(const Endpoint& endpoint,
           std::unique_ptr<ClientConnection> connection);
  // Closes the thread's idle connections that are old, or that their servers
  // have closed, whether or not their endpoints are still in use.
  void CloseStale(IoThread* thread);

 private:
  using Idle = std::deque<std::unique_ptr<ClientConnection>>;

  std::unique_ptr<ClientConnection> Pop(IoThread* thread,
                                        const Endpoint& endpoint);

  const size_t max_per_endpoint_;
  std::mutex mutex_;
  std::map<std::pair<IoThread*, Endpoint>, Idle> idle_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_HTTP_CONNECTION_POOL_INTERNAL_H_
