#ifndef HAWTHORNHOLLOW_RUNTIME_RUNTIME_H_
#define HAWTHORNHOLLOW_RUNTIME_RUNTIME_H_

// Several threads, each running an Asio context under a Boost.Fiber scheduler,
// and blocking-style TCP for the fibers on them.
//
//   auto runtime = Runtime::Create({.threads = 2});
//   (*runtime)->Spawn([&] {
//     auto stream = TcpStream::Connect(endpoint, absl::Seconds(1));
//     ...
//   });
//   (*runtime)->Run();  // until Stop()
//
// Every blocking call here blocks the calling fiber only, and must be made on a
// fiber of a Runtime thread. A socket stays on the thread that made it.
// Boost.Fiber's mutex and condition_variable work across the threads.

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/time/time.h"

namespace hawthornhollow {

// An IP number and a TCP port.
struct Endpoint {
  std::string address;
  uint16_t port = 0;

  // Parses "ADDRESS:PORT"; the address must be an IP number.
  static absl::StatusOr<Endpoint> Parse(std::string_view text);
  std::string ToString() const;

  // The linter takes the comparison's zero for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

struct RuntimeOptions {
  size_t threads = 1;
  // Bytes of stack for each fiber.
  size_t fiber_stack_bytes = 128 * 1024;
};

class Runtime {
 public:
  static absl::StatusOr<std::unique_ptr<Runtime>> Create(
      const RuntimeOptions& options);
  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;
  // Stops and joins the threads. Fibers still blocked are abandoned.
  ~Runtime();

  // Starts a fiber on the given thread, or on the threads in turn. Callable
  // from any thread, a runtime's own or not.
  void Spawn(std::function<void()> task);
  void SpawnOn(size_t thread, std::function<void()> task);

  size_t thread_count() const;

  // Blocks the calling (plain) thread until Stop() is called or SIGTERM or
  // SIGINT has been handled: `on_signal`, if any, runs on a fiber of thread 0
  // and the runtime stops when it returns. Further signals change nothing. No
  // fiber runs any more when Run returns.
  // `on_hangup`, if any, runs on a fiber of thread 0 at each SIGHUP.
  void Run(std::function<void()> on_signal,
           std::function<void()> on_hangup = nullptr);
  void Run() { Run(nullptr); }
  // Callable from any thread. Fibers get a short grace to end.
  void Stop();

 private:
  friend class RuntimeAccess;  // asio_internal.h
  class Impl;
  explicit Runtime(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

// Blocks the calling fiber. Written with its namespace, as argument-dependent
// lookup also finds absl::SleepFor, which blocks the thread.
void SleepFor(absl::Duration duration);

// A TCP connection used by one reading and one writing fiber at a time, both on
// the thread that made it.
class TcpStream {
 public:
  // DEADLINE_EXCEEDED after `timeout`, UNAVAILABLE if refused.
  static absl::StatusOr<std::unique_ptr<TcpStream>> Connect(
      const Endpoint& peer,
      absl::Duration timeout);
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;
  ~TcpStream();

  // Fills `size` bytes. OUT_OF_RANGE at a clean end before the first byte,
  // DATA_LOSS at an end within them, DEADLINE_EXCEEDED after `timeout`. A read
  // or write that timed out leaves the stream closed.
  absl::Status ReadFull(char* data, size_t size, absl::Duration timeout);
  absl::Status Write(std::string_view data, absl::Duration timeout);
  // Fails reads and writes in progress. Callable from any thread.
  void Close();

  const Endpoint& peer() const;

  class Impl;
  explicit TcpStream(std::unique_ptr<Impl> impl);

 private:
  std::unique_ptr<Impl> impl_;
};

// Whether no process listens at `peer`. DEADLINE_EXCEEDED if that is not known
// after `timeout`; other errors are local ones. Costs a connection if a process
// listens.
absl::StatusOr<bool> RefusesConnections(const Endpoint& peer,
                                        absl::Duration timeout);

// Accepts connections on one runtime thread.
class TcpListener {
 public:
  using Handler = std::function<void(std::unique_ptr<TcpStream>)>;

  // Listens on `local` (port 0 takes a free one) and runs `handler` on a new
  // fiber of the accepting thread for each connection. Callable from a plain
  // thread or a fiber.
  static absl::StatusOr<std::unique_ptr<TcpListener>> Start(
      Runtime& runtime,
      size_t thread,
      const Endpoint& local,
      Handler handler);
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;
  ~TcpListener();

  const Endpoint& local() const;
  void Stop();

  class Impl;
  explicit TcpListener(std::shared_ptr<Impl> impl);

 private:
  std::shared_ptr<Impl> impl_;
};

// From now on SIGHUP does not end the process, whether or not a runtime has
// begun, or has ended, to react to it. For the begin of a program that reloads
// at SIGHUP: one may come right after the start, or just before the exit.
void KeepHangupsHarmless();

// Makes the allocator give large blocks back to the system as soon as they are
// freed. For the begin of a program that holds bodies of requests.
void LimitRetainedMemory();

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RUNTIME_RUNTIME_H_
