#ifndef REVIEW_COMMON_3_HTTP_H_
#define REVIEW_COMMON_3_HTTP_H_

// A small HTTP/1.1 server and client over blocking sockets on the loopback
// address, for the stand-ins of review cases: one thread a connection, and
// direct access to the socket, so that a stand-in can read or write slowly.

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;
using Headers = std::vector<std::pair<std::string, std::string>>;

// The first header of that name, compared without case; empty if absent.
std::string HeaderOf(const Headers& headers, std::string_view name);

struct Request {
  std::string method;
  std::string target;
  Headers headers;
  std::string body;

  std::string Header(std::string_view name) const {
    return HeaderOf(headers, name);
  }
  std::string Path() const { return target.substr(0, target.find('?')); }
  // A query parameter; empty if absent.
  std::string Query(std::string_view name) const;
};

struct Response {
  int status = 0;  // 0: the connection ended before a head
  Headers headers;
  std::string body;
  bool is_complete = false;

  std::string Header(std::string_view name) const {
    return HeaderOf(headers, name);
  }
};

// Parses the head of a request, with its empty line.
Request ParseRequestHead(const std::string& head);

// The options of a socket whose other end should not hold much in the system's
// buffers, as over a network with small windows.
struct SocketOptions {
  int receive_buffer_bytes = 0;  // 0: the system's
  int segment_bytes = 0;         // 0: the system's
};

void Apply(const SocketOptions& options, int socket);

// A port that is free now.
int FreePort();

// Connects to a port of the loopback address; -1 if that fails.
int ConnectTo(int port, const SocketOptions& options = {});

bool SendAll(int socket, std::string_view bytes);

// Reads messages from a socket; bytes behind one are kept for the next.
class MessageReader {
 public:
  explicit MessageReader(int socket) : socket_(socket) {}

  // A request's head alone; its body is read by ReadBody.
  std::optional<Request> ReadRequestHead();
  // The rest of a request. False if the connection ended before.
  bool ReadBody(Request* request);
  std::optional<Request> ReadRequest();
  // Reads until the response is complete, the connection ends, or `until`.
  Response ReadResponse(Clock::time_point until);

 private:
  bool Fill();
  bool FillUntil(Clock::time_point until);
  bool ReadLine(std::string* line, Clock::time_point until);
  bool ReadHead(std::string* first_line,
                Headers* headers,
                Clock::time_point until);
  bool ReadBytes(size_t count, std::string* out, Clock::time_point until);
  bool ReadChunks(std::string* out, Clock::time_point until);

  const int socket_;
  std::string buffer_;
};

// The bytes of a response with a body of known length.
std::string ResponseBytes(int status,
                          const Headers& headers,
                          std::string_view body);

// The bytes of a request.
std::string RequestBytes(const Request& request);

// One whole exchange on a new connection.
Response Exchange(int port, const Request& request, Milliseconds timeout);

// Serves a port of the loopback address. The handler is called on a thread of
// its own for each connection, and the socket is closed when it returns.
class Server {
 public:
  using Handler = std::function<void(int socket)>;

  // Calls `answer` for each request of a connection, until that returns false.
  using Answer = std::function<bool(const Request& request, int socket)>;
  static Handler ForEachRequest(Answer answer);

  explicit Server(Handler handler, const SocketOptions& options = {});
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  // Closes all connections and waits for their handlers.
  ~Server();

  int port() const { return port_; }

 private:
  void AcceptLoop();
  void Serve(int socket);

  const Handler handler_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> stop_{false};
  std::mutex mutex_;
  std::set<int> open_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

}  // namespace review

#endif  // REVIEW_COMMON_3_HTTP_H_
