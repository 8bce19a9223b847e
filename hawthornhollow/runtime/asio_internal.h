#ifndef HAWTHORNHOLLOW_RUNTIME_ASIO_INTERNAL_H_
#define HAWTHORNHOLLOW_RUNTIME_ASIO_INTERNAL_H_

// The Asio side of the runtime, for the sources of runtime and http only:
//
//   auto thread = IoThread::Current();
//   boost::system::error_code error;
//   size_t bytes = Await(&error, [&](auto done) {
//     stream.async_read_some(buffer, std::move(done));
//   });
//
// Everything of one IoThread is used on that thread unless said otherwise.

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/rate_policy.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/pooled_fixedsize_stack.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "hawthornhollow/runtime/runtime.h"

namespace hawthornhollow {

class FiberScheduler;

using IoExecutor = boost::asio::io_context::executor_type;
using Socket =
    boost::asio::basic_stream_socket<boost::asio::ip::tcp, IoExecutor>;
using SocketAcceptor =
    boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, IoExecutor>;
// A socket with timeouts.
using TimedStream =
    boost::beast::basic_stream<boost::asio::ip::tcp,
                               IoExecutor,
                               boost::beast::unlimited_rate_policy>;

// Blocks one fiber until a handler of the same thread says that it is done.
class FiberWait {
 public:
  FiberWait() = default;
  FiberWait(const FiberWait&) = delete;
  FiberWait& operator=(const FiberWait&) = delete;

  void Wait() {
    while (!done_) {
      waiting_ = boost::fibers::context::active();
      waiting_->suspend();
    }
  }

  void Done() {
    done_ = true;
    boost::fibers::context* waiting = std::exchange(waiting_, nullptr);
    if (waiting != nullptr)
      boost::fibers::context::active()->schedule(waiting);
  }

 private:
  bool done_ = false;
  boost::fibers::context* waiting_ = nullptr;
};

// The completion handler that Await passes on.
struct AwaitHandler {
  FiberWait* wait;
  boost::system::error_code* error;
  size_t* bytes;

  void operator()(const boost::system::error_code& result, size_t count = 0) {
    *error = result;
    *bytes = count;
    wait->Done();
  }
};

// Calls `start` with a completion handler and blocks the fiber until it has
// run. Returns the number of bytes moved, if the operation has one.
template <typename Start>
size_t Await(boost::system::error_code* error, Start&& start) {
  FiberWait wait;
  size_t bytes = 0;
  std::forward<Start>(start)(AwaitHandler{&wait, error, &bytes});
  wait.Wait();
  return bytes;
}

// One runtime thread: its io_context and its fibers.
class IoThread : public std::enable_shared_from_this<IoThread> {
 public:
  explicit IoThread(size_t fiber_stack_bytes);
  IoThread(const IoThread&) = delete;
  IoThread& operator=(const IoThread&) = delete;

  // That of the calling thread; null if it is not a runtime's.
  static std::shared_ptr<IoThread> Current();
  bool is_current() const;

  boost::asio::io_context& context() { return context_; }

  // Starts a fiber on this thread. Callable from any thread.
  void Spawn(std::function<void()> task);
  // Runs `task` on this thread as a handler, which must not block nor lock a
  // fiber's mutex; at once if called on it. Callable from any thread.
  void Dispatch(std::function<void()> task);
  // As Dispatch, but runs `task` on the caller's thread if this one has halted.
  void DispatchOrRun(std::function<void()> task);

  // The body of the thread. Returns after Stop().
  void Run();
  // Callable from any thread.
  void Stop();
  // Whether no fiber of the thread will run again. Callable from any thread.
  bool halted() const { return halted_.load(std::memory_order_acquire); }
  // Once halted: whether every fiber has ended. If not, the thread must not
  // exit.
  bool can_exit() const { return live_fibers_ == 0; }

 private:
  void Launch(std::function<void()> task);
  void LaunchPoller();
  void AwaitFibers();

  boost::asio::io_context context_;
  boost::asio::executor_work_guard<IoExecutor> work_;
  boost::fibers::pooled_fixedsize_stack stacks_;
  FiberScheduler* scheduler_ = nullptr;
  FiberWait stop_;
  size_t live_fibers_ = 0;
  bool polling_ = true;
  bool poller_ended_ = false;
  std::atomic<bool> halted_{false};
};

// Gives the threads of a Runtime to the libraries that need Asio.
class RuntimeAccess {
 public:
  static const std::vector<std::shared_ptr<IoThread>>& Threads(
      const Runtime& runtime);
};

// A listening socket of one thread and the fiber that accepts on it.
class Acceptor : public std::enable_shared_from_this<Acceptor> {
 public:
  using Handler = std::function<void(Socket)>;

  // Binds and listens. With `share_port`, several may listen on one port.
  // Callable from any thread.
  static absl::StatusOr<std::shared_ptr<Acceptor>> Open(
      std::shared_ptr<IoThread> thread,
      const Endpoint& local,
      bool share_port);
  // Whether a socket that shares its port with nobody could listen there. It
  // does not listen: what connects meanwhile would hold the port for a moment.
  static absl::Status CheckFree(std::shared_ptr<IoThread> thread,
                                const Endpoint& local);
  explicit Acceptor(std::shared_ptr<IoThread> thread);
  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;

  const Endpoint& local() const { return local_; }
  // Whether another connection may be accepted; both may be empty, and must not
  // block. If there is no room, connections stay in the system's queue, and
  // `make_room` is called now and then while one waits there.
  struct Room {
    std::function<bool()> has_room;
    std::function<bool()> make_room;
  };
  // Runs `handler` on the thread for each connection; it must not block.
  // Callable from any thread, once.
  void Start(Handler handler, Room room = {});
  // Stops listening. Callable from any thread.
  void Close();
  // As Close, but first hands over the connections that the kernel has already
  // accepted. On the acceptor's thread.
  void CloseAfterBacklog();

 private:
  absl::Status Bind(bool share_port);
  absl::Status Listen();
  void AcceptLoop();
  void AwaitRoom();
  bool AcceptOne();

  std::shared_ptr<IoThread> thread_;
  SocketAcceptor acceptor_;
  Endpoint local_;
  Handler handler_;
  Room room_;
};

// Turns an Asio or Beast error into a status with step and peer.
absl::Status ErrorOf(const boost::system::error_code& error,
                     std::string_view step,
                     std::string_view peer);

boost::asio::ip::tcp::endpoint ToAsio(const Endpoint& endpoint);
Endpoint FromAsio(const boost::asio::ip::tcp::endpoint& endpoint);

// As a clock's duration from now: at least zero, and cut to a year so that it
// can be added to any point of time.
std::chrono::nanoseconds ToBoundedNanoseconds(absl::Duration duration);

// Bounds the next operations of `stream`; an infinite duration is no bound.
void SetTimeout(TimedStream* stream, absl::Duration timeout);

// Connects `stream` with TCP_NODELAY. UNAVAILABLE, or DEADLINE_EXCEEDED after
// `timeout`.
absl::Status ConnectStream(TimedStream* stream,
                           const Endpoint& peer,
                           absl::Duration timeout);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RUNTIME_ASIO_INTERNAL_H_
