// Just before reuse the socket is peeked at: one that the server has closed, or
// that holds unasked bytes, is dropped. A server that states how long it keeps
// a connection idle is believed, less kIdleMargin for a request on its way.
//
// A server that is gone gets no more requests, so nothing would look at its
// idle connections again: CloseStale() does. It looks at the longest idle one
// of each endpoint, and at the next one only if that has ended, so its time is
// linear in the endpoints and in what it closes.

#include "hawthornhollow/http/connection_pool_internal.h"

#include <vector>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/http/beast_internal.h"

namespace hawthornhollow {
namespace {

// Idle connections older than this are closed.
constexpr absl::Duration kMaxIdleAge = absl::Seconds(30);
constexpr absl::Duration kIdleMargin = absl::Milliseconds(500);

bool IsStale(ClientConnection* connection, absl::Time now) {
  return now - connection->idle_since > kMaxIdleAge ||
         PeekSocket(connection->stream.socket().native_handle()) !=
             SocketState::kQuiet;
}

bool IsReusable(ClientConnection* connection) {
  if (SteadyNow() - connection->idle_since >
      connection->idle_limit - kIdleMargin)
    return false;
  Socket& socket = connection->stream.socket();
  return PeekSocket(socket.native_handle()) == SocketState::kQuiet;
}

}  // namespace

std::unique_ptr<ClientConnection> ConnectionPool::Take(
    IoThread* thread,
    const Endpoint& endpoint) {
  while (std::unique_ptr<ClientConnection> connection = Pop(thread, endpoint)) {
    if (IsReusable(connection.get()))
      return connection;
  }
  return nullptr;
}

void ConnectionPool::Put(const Endpoint& endpoint,
                         std::unique_ptr<ClientConnection> connection) {
  connection->idle_since = SteadyNow();
  const absl::Time oldest = connection->idle_since - kMaxIdleAge;
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& idle = idle_[{connection->thread.get(), endpoint}];
  idle.push_back(std::move(connection));
  while (!idle.empty() &&
         (idle.size() > max_per_endpoint_ || idle.front()->idle_since < oldest))
    idle.pop_front();
}

void ConnectionPool::CloseStale(IoThread* thread) {
  const absl::Time now = SteadyNow();
  std::vector<std::unique_ptr<ClientConnection>> stale;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (auto& [key, idle] : idle_) {
      while (key.first == thread && !idle.empty() &&
             IsStale(idle.front().get(), now)) {
        stale.push_back(std::move(idle.front()));
        idle.pop_front();
      }
    }
    std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
  }
  if (!stale.empty())
    LogEvent("http.stale_closed", LogSeverity::kDebug)
        .Add("connections", stale.size());
}

std::unique_ptr<ClientConnection> ConnectionPool::Pop(
    IoThread* thread,
    const Endpoint& endpoint) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = idle_.find({thread, endpoint});
  if (found == idle_.end() || found->second.empty())
    return nullptr;
  std::unique_ptr<ClientConnection> connection =
      std::move(found->second.back());
  found->second.pop_back();
  return connection;
}

}  // namespace hawthornhollow
