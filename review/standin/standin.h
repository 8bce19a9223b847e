#ifndef REVIEW_STANDIN_STANDIN_H_
#define REVIEW_STANDIN_STANDIN_H_

// Small stand-ins for the review's scripts: the platform's store, clients,
// and what replicas need. POSIX sockets and threads only. All addresses are
// loopback addresses.

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

void SleepMs(int64_t ms);

// Whether the disruption is to be applied: false with TROUBLE=0.
bool HasTrouble();

struct Address {
  std::string ip;
  uint16_t port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

// A loopback address that hardly any other process uses, so that the fixed
// metrics port of the deploy file is free there. `index` tells those of one
// process apart.
std::string LoopbackIp(int index);
uint16_t FreePort(const std::string& ip);

// ---------------------------------------------------------------------------
// The record of a run: one line for each thing sent, answered or run.

class Record {
 public:
  explicit Record(const std::string& path);
  // Lines of several processes may go to one file.
  void Line(const std::string& text);
  int64_t NowMs() const;

 private:
  std::mutex mutex_;
  int file_;
  int64_t begin_ms_;
};

// ---------------------------------------------------------------------------
// HTTP/1.1 in as far as the stand-ins need it

struct Head {
  std::string first_line;  // request line or status line
  std::vector<std::pair<std::string, std::string>> headers;

  std::string Header(std::string_view name) const;
  std::string Method() const;
  std::string Target() const;
  std::string Path() const;
  std::string Query(std::string_view name) const;
  int Status() const;
  int64_t ContentLength() const;
};

// One side of a connection, with the bytes that were read ahead.
class Connection {
 public:
  explicit Connection(int socket) : socket_(socket) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Reads fail after this long without a byte.
  void SetTimeout(milliseconds timeout);
  std::optional<Head> ReadHead();
  bool ReadBytes(int64_t count, std::string* out);
  // One chunk of a chunked body; empty at its end, nullopt if it broke off.
  std::optional<std::string> ReadChunk();
  bool Send(std::string_view bytes) const;
  // Closes with a reset.
  void Reset();
  int socket() const { return socket_; }

 private:
  bool Fill();
  std::optional<std::string> ReadLine();

  int socket_;
  std::string buffer_;
};

struct ListenOptions {
  int receive_buffer = 0;  // bytes; 0: the system's
  int segment = 0;         // largest TCP segment; 0: the system's
};

// Accepts connections on a thread of its own and serves each on another.
class Server {
 public:
  using Handler = std::function<void(Connection&)>;
  Server(const Address& local, Handler handler, ListenOptions options = {});
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  const Address& local() const { return local_; }

 private:
  Address local_;
};

std::unique_ptr<Connection> Connect(const Address& address,
                                    milliseconds timeout);

// ---------------------------------------------------------------------------
// The platform's store: a log with keyed topics of one partition

class Store {
 public:
  // Each front listens at an address of its own, so that the store can serve
  // some machines and not others.
  enum class Mode { kServe, kSilent };
  struct Front {
    Address address;
    Mode mode = Mode::kServe;
    std::unique_ptr<Server> server;
  };

  Front* AddFront(const std::string& ip);
  void SetMode(Front* front, Mode mode);
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);
  size_t Keys(const std::string& topic);

 private:
  struct Entry {
    std::string key;
    std::string value;
  };
  struct Writer {
    int64_t epoch = -1;
    int64_t sequence = 0;
    std::string response;
  };
  void Serve(Front* front, Connection& connection);
  std::string Answer(const Head& head, const std::string& body);
  std::string Append(const Head& head, const std::string& body);
  std::string Read(const Head& head);
  std::string Newest(const Head& head);

  std::mutex mutex_;
  std::map<std::string, std::vector<Entry>> topics_;
  std::map<std::string, Writer> writers_;
  std::vector<std::unique_ptr<Front>> fronts_;
};

// A server's entry; `state` is ready or draining.
std::string ServerEntry(const std::string& service,
                        const Address& address,
                        const std::string& state,
                        int64_t sequence,
                        int slots = 64);

// ---------------------------------------------------------------------------
// Processes

// Ended at the latest when it is destroyed.
class Process {
 public:
  // Runs the command with these variables besides PATH; its output goes to
  // `output`. It may open `max_fds` descriptors; 0: as many as this process.
  Process(const std::vector<std::string>& command,
          const std::vector<std::string>& environment,
          const std::string& output,
          int max_fds = 0);
  // Runs a function in a child process, which leads a process group.
  explicit Process(const std::function<void()>& body);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  void Signal(int number) const;
  // Kills the process and waits for its end.
  void Kill();
  bool IsRunning();
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  bool is_group_ = false;
  bool ended_ = false;
};

// A router of the project, started with the command of the deploy file.
struct Router {
  std::string name;
  std::string zone = "z1";
  std::string ip;
  Address callers;
  Address ready;
  Address peers;
  Address store;
  std::string folder;  // for its settings and its output
  int max_fds = 0;     // of the machine; 0: not limited

  // Chooses ports and writes the settings file.
  void Prepare();
  std::unique_ptr<Process> Start() const;
  bool AwaitReady(milliseconds timeout) const;
};

// A folder under /tmp that is removed at the end.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// ---------------------------------------------------------------------------
// Clients

struct ClientRequest {
  std::string id;
  std::string path;
  std::string key = "k1";
  int64_t deadline_ms = 8000;
  std::string more_headers;  // whole lines
  std::string body;
};
std::string RequestBytes(const ClientRequest& request);

struct ClientAnswer {
  int status = 0;  // 0: no answer
  Head head;
  std::string body;
  bool is_whole = false;
};
// One request on a connection of its own.
ClientAnswer SendRequest(const Address& router, const ClientRequest& request);

}  // namespace review

#endif  // REVIEW_STANDIN_STANDIN_H_
