// One acceptor per runtime thread listens on the same port, and the kernel
// spreads connections over them; a connection stays on its thread. Draining
// closes the acceptors after handing over what the kernel had accepted, gives
// idle connections kDrainIdleGrace to bring a request that was already on its
// way, closes those that stay idle, and waits for the requests in progress.

#include <algorithm>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/http/server_internal.h"

namespace hawthornhollow {
namespace {

constexpr absl::Duration kDrainIdleGrace = absl::Milliseconds(200);
// The destructor's wait for its connections' fibers.
constexpr absl::Duration kCloseGrace = absl::Seconds(2);
// Connections over the limit that are answered at once; more are just closed.
constexpr size_t kMaxRejecting = 64;
// Their part of the connections, if that is less: they take descriptors, too.
constexpr size_t kConnectionsPerRejecting = 8;
// A connection may be closed for another one if it has been idle, or has
// brought too little of a request, for this long: the time that makes a request
// stalled (RequestMemoryOptions::stall_time).
constexpr absl::Duration kStallTime = absl::Milliseconds(500);
// How long new connections wait in the system's queue for one to become stalled
// or to end: longer than `kStallTime`.
constexpr absl::Duration kMaxFullTime = absl::Seconds(1);

}  // namespace

ServerShared::ServerShared(HttpServerOptions options, HttpHandler handler)
    : options_([&options] {
        if (options.account == nullptr)
          options.account = RequestAccount::OfProcess();
        options.max_connections = std::min(options.max_connections,
                                           options.account->max_connections());
        return std::move(options);
      }()),
      handler_(std::move(handler)) {}

bool ServerShared::AddConnection() {
  if (++connections_ <= options_.max_connections)
    return true;
  RemoveConnection();
  return false;
}

void ServerShared::RemoveConnection() {
  if (--connections_ == 0)
    Notify();
}

void ServerShared::EndRequest() {
  if (--requests_ == 0 && draining_)
    Notify();
}

void ServerShared::Notify() {
  const std::lock_guard<boost::fibers::mutex> lock(mutex_);
  changed_.notify_all();
}

bool ServerShared::AwaitNoRequests(absl::Duration timeout) {
  return AwaitZero(requests_, timeout);
}

bool ServerShared::AwaitNoConnections(absl::Duration timeout) {
  return AwaitZero(connections_, timeout);
}

bool ServerShared::AwaitZero(const std::atomic<size_t>& count,
                             absl::Duration timeout) {
  std::unique_lock<boost::fibers::mutex> lock(mutex_);
  return changed_.wait_for(lock, ToBoundedNanoseconds(timeout),
                           [&] { return count == 0; });
}

// The part of a server that lives on one thread.
class ThreadServer : public std::enable_shared_from_this<ThreadServer> {
 public:
  ThreadServer(std::shared_ptr<IoThread> thread,
               std::shared_ptr<Acceptor> acceptor,
               std::shared_ptr<ServerShared> shared)
      : thread_(std::move(thread)),
        acceptor_(std::move(acceptor)),
        shared_(std::move(shared)) {}

  const Endpoint& local() const { return acceptor_->local(); }
  IoThread& thread() { return *thread_; }

  void Start() {
    acceptor_->Start(
        [self = shared_from_this()](Socket socket) {
          self->Accept(std::move(socket));
        },
        {.has_room = [self = shared_from_this()] { return self->HasRoom(); },
         .make_room = [self =
                           shared_from_this()] { return self->MakeRoom(); }});
  }
  // The rest run on the thread, or after it has halted.
  void StopListening() { acceptor_->CloseAfterBacklog(); }
  void CloseIdle() {
    for (ServerConnection* connection : connections_)
      connection->CloseIfIdle();
  }
  void CloseAll() {
    closed_ = true;
    acceptor_->Close();
    for (ServerConnection* connection : connections_)
      connection->Close();
  }

 private:
  void Accept(Socket socket);
  bool HasRoom();
  // Closes the connection that has been stalled the longest, if there is one.
  // True as well if there was no room for so long that clients are to be told.
  bool MakeRoom();
  void Serve(const std::shared_ptr<ServerConnection>& connection);
  void Reject(const std::shared_ptr<ServerConnection>& connection);

  std::shared_ptr<IoThread> thread_;
  std::shared_ptr<Acceptor> acceptor_;
  std::shared_ptr<ServerShared> shared_;
  std::unordered_set<ServerConnection*> connections_;
  size_t rejecting_ = 0;
  // Since when clients have waited for room.
  absl::Time full_since_ = absl::InfiniteFuture();
  bool closed_ = false;
};

bool ThreadServer::HasRoom() {
  if (closed_ || !shared_->is_full()) {
    full_since_ = absl::InfiniteFuture();
    return true;
  }
  return false;
}

bool ThreadServer::MakeRoom() {
  if (HasRoom())
    return true;
  const absl::Time now = SteadyNow();
  ServerConnection* victim = nullptr;
  absl::Duration longest = kStallTime;
  for (ServerConnection* connection : connections_) {
    const absl::Duration stalled = connection->StalledFor(now);
    if (stalled >= longest) {
      longest = stalled;
      victim = connection;
    }
  }
  if (victim != nullptr && victim->Evict()) {
    shared_->account()->OnConnectionEvicted();
    full_since_ = absl::InfiniteFuture();
    return false;  // until its fiber has ended
  }
  full_since_ = std::min(full_since_, now);
  return now - full_since_ >= kMaxFullTime;
}

void ThreadServer::Accept(Socket socket) {
  if (closed_)
    return;
  auto connection =
      std::make_shared<ServerConnection>(shared_, std::move(socket));
  if (shared_->AddConnection())
    Serve(connection);
  else
    Reject(connection);
}

void ThreadServer::Serve(const std::shared_ptr<ServerConnection>& connection) {
  connections_.insert(connection.get());
  thread_->Spawn([self = shared_from_this(), connection] {
    connection->Run();
    self->connections_.erase(connection.get());
    self->shared_->RemoveConnection();
  });
}

void ThreadServer::Reject(const std::shared_ptr<ServerConnection>& connection) {
  shared_->account()->OnConnectionRefused();
  const size_t part =
      shared_->options().max_connections / kConnectionsPerRejecting;
  if (rejecting_ >= std::clamp<size_t>(part, 1, kMaxRejecting))
    return;
  ++rejecting_;
  thread_->Spawn([self = shared_from_this(), connection] {
    connection->Reject();
    --self->rejecting_;
  });
}

class HttpServer::Impl {
 public:
  Impl(const HttpServerOptions& options, HttpHandler handler)
      : shared_(std::make_shared<ServerShared>(options, std::move(handler))) {}

  absl::Status Listen(Runtime& runtime);
  const Endpoint& local() const { return servers_.front()->local(); }
  size_t connection_count() const { return shared_->connection_count(); }
  absl::Status Drain(absl::Duration timeout);
  void Close();

 private:
  // Runs `task` for each thread's part, on its thread, and waits for all.
  void ForEach(const std::function<void(ThreadServer*)>& task);

  std::shared_ptr<ServerShared> shared_;
  std::vector<std::shared_ptr<ThreadServer>> servers_;
};

absl::Status HttpServer::Impl::Listen(Runtime& runtime) {
  Endpoint local = shared_->options().local;
  const auto& threads = RuntimeAccess::Threads(runtime);
  // Sharing a port would hide that another process listens on it already.
  absl::Status status = Acceptor::CheckFree(threads.front(), local);
  if (!status.ok())
    return status;
  for (const auto& thread : threads) {
    auto acceptor = Acceptor::Open(thread, local, /*share_port=*/true);
    if (!acceptor.ok())
      return acceptor.status();
    local = (*acceptor)->local();
    servers_.push_back(
        std::make_shared<ThreadServer>(thread, *acceptor, shared_));
  }
  for (const auto& server : servers_)
    server->Start();
  return absl::OkStatus();
}

void HttpServer::Impl::ForEach(const std::function<void(ThreadServer*)>& task) {
  struct Pending {
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable changed;
    size_t count;
  };
  auto pending = std::make_shared<Pending>();
  pending->count = servers_.size();
  for (const auto& server : servers_) {
    const auto run = [server, task, pending] {
      task(server.get());
      const std::lock_guard<boost::fibers::mutex> lock(pending->mutex);
      --pending->count;
      pending->changed.notify_all();
    };
    if (server->thread().halted())
      run();
    else
      server->thread().Spawn(run);
  }
  std::unique_lock<boost::fibers::mutex> lock(pending->mutex);
  pending->changed.wait_for(lock, ToBoundedNanoseconds(kCloseGrace),
                            [&] { return pending->count == 0; });
}

absl::Status HttpServer::Impl::Drain(absl::Duration timeout) {
  const absl::Time deadline = SteadyNow() + timeout;
  shared_->StartDraining();
  ForEach([](ThreadServer* server) { server->StopListening(); });
  hawthornhollow::SleepFor(std::min(kDrainIdleGrace, timeout));
  ForEach([](ThreadServer* server) { server->CloseIdle(); });
  if (shared_->AwaitNoRequests(deadline - SteadyNow()))
    return absl::OkStatus();
  return ErrorAt(absl::StatusCode::kDeadlineExceeded, "http.drain",
                 local().ToString(), "requests are still in progress");
}

void HttpServer::Impl::Close() {
  if (servers_.empty())
    return;
  ForEach([](ThreadServer* server) { server->CloseAll(); });
  if (!servers_.front()->thread().halted())
    shared_->AwaitNoConnections(kCloseGrace);
}

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::Start(
    Runtime& runtime,
    const HttpServerOptions& options,
    HttpHandler handler) {
  auto impl = std::make_shared<Impl>(options, std::move(handler));
  absl::Status status = impl->Listen(runtime);
  if (!status.ok())
    return status;
  return std::make_unique<HttpServer>(std::move(impl));
}

HttpServer::HttpServer(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}

HttpServer::~HttpServer() {
  impl_->Close();
}

const Endpoint& HttpServer::local() const {
  return impl_->local();
}

size_t HttpServer::connection_count() const {
  return impl_->connection_count();
}

absl::Status HttpServer::Drain(absl::Duration timeout) {
  return impl_->Drain(timeout);
}

}  // namespace hawthornhollow
