#ifndef REVIEW_COMMON_2_NET_H_
#define REVIEW_COMMON_2_NET_H_

// Plain sockets and HTTP/1.1 framing for the stand-ins of the review's cases.
// Nothing here uses the project's own code.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace review {

// Seconds on the steady clock.
double Now();
void Sleep(double seconds);

// A TCP address. All cases use loopback addresses only.
struct Address {
  std::string ip = "127.0.0.1";
  int port = 0;
  std::string ToString() const { return ip + ":" + std::to_string(port); }
};

// A port of `ip` on which nobody listens now.
int FreePort(const std::string& ip);

// One connection. Closes its socket at the end.
class Socket {
 public:
  explicit Socket(int fd) : fd_(fd) {}
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() { Close(); }

  bool ok() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  void Close();
  // Sends everything; false if the connection has ended.
  bool Send(const std::string& bytes) const;
  // Appends what arrives within `seconds` to `out`. Returns the number of
  // bytes, 0 at the end of the connection, -1 after a reset, -2 if nothing came
  // in time.
  int Receive(std::string* out, double seconds, size_t most = 65536) const;

 private:
  int fd_;
};

// What a client's connection is like; 0: as the system sets it.
struct ClientSocket {
  int receive_buffer = 0;
  // The largest segment: loopback's is 64 KB, and the sender's buffer grows
  // with it. That of a real network is about 1,400 bytes.
  int segment = 0;
};
// Returns -1 if no connection was made in `seconds`.
int Connect(const Address& to, double seconds, const ClientSocket& client = {});

struct Message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::string Header(const std::string& name) const;
  // Of a request.
  std::string Method() const;
  std::string Target() const;
  // Of a response; 0 if it has none.
  int Status() const;
};

// Reads messages from a connection, one after the other.
class Reader {
 public:
  enum class End { kWhole, kClosed, kReset, kTimeout, kCut };

  explicit Reader(const Socket& socket) : socket_(socket) {}
  // Reads a head, and its body by length, by chunks, or, for a response without
  // either, to the end of the connection.
  End ReadRequest(Message* message, double seconds);
  End ReadResponse(Message* message, double seconds);

 private:
  End ReadHead(Message* message, double until);
  End ReadBody(Message* message, bool is_response, double until);
  End ReadChunks(Message* message, double until);
  End Fill(double until);

  const Socket& socket_;
  std::string buffer_;
};

// Accepts connections on `local` and serves each on its own thread.
class Listener {
 public:
  using Serve = std::function<void(Socket&)>;
  Listener(const Address& local, Serve serve);
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  // Listens no more; connections go on.
  ~Listener();
  const Address& local() const { return local_; }

 private:
  Address local_;
  int fd_;
};

// "?a=b&c=d" of a target, percent-decoded.
std::map<std::string, std::string> QueryOf(const std::string& target);
std::string PathOf(const std::string& target);
std::string JsonText(const std::string& text);

}  // namespace review

#endif  // REVIEW_COMMON_2_NET_H_
