#ifndef TESTING_RAW_SERVER_STANDIN_H_
#define TESTING_RAW_SERVER_STANDIN_H_

// A backend server in trouble: accepts connections, reads a request, and sends
// bytes that an HTTP library would not send, until the client closes.
//
//   auto server = RawServerStandin::Start(
//       {.beginning = "HTTP/1.1 200 OK\r\n", .repeated = "x: y\r\n"});
//   ... (*server)->local() ...

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "hawthornhollow/runtime/runtime.h"

namespace hawthornhollow::standins {

class RawServerStandin {
 public:
  // What each connection gets once its first request was read. "$ID" stands for
  // the request's id, "$FIRST" for that of the connection's first one.
  struct Script {
    std::string beginning;
    std::string repeated;  // without end; empty: nothing more is sent
    absl::Duration pause;  // before each repetition
    bool closes = false;   // after the beginning
    // What each further request on the connection gets in place of `repeated`;
    // empty: further requests are not read.
    std::string on_later_request;
    // Resets the connection after that, the body of the later request unread.
    bool resets_later = false;
    // Otherwise connections are refused after such a reset.
    bool accepts_after_reset = true;
    // Of its sockets, so that long bodies stay on their way; 0: the system's.
    int receive_buffer_bytes = 0;
  };

  static absl::StatusOr<std::unique_ptr<RawServerStandin>> Start(Script script);
  RawServerStandin(const RawServerStandin&) = delete;
  RawServerStandin& operator=(const RawServerStandin&) = delete;
  // Closes all connections.
  ~RawServerStandin();

  const Endpoint& local() const { return local_; }
  // Connections on which a request was read, and those that the client has
  // closed since.
  int requests() const { return requests_; }
  int closed() const { return closed_; }
  // Requests on connections that had served one before.
  int later_requests() const { return later_requests_; }

 private:
  RawServerStandin(Script script, int listener, Endpoint local);
  void Accept();
  void Serve(int socket);
  // Answers further requests until the connection ends.
  void ServeLater(int socket, const std::string& first_id);
  // After a pause in which the client goes on writing.
  void Reset(int socket);
  // Returns false if the connection has ended.
  static bool ReadHead(int socket, std::string* head);
  bool SendAll(int socket, const std::string& bytes) const;

  const Script script_;
  const int listener_;
  const Endpoint local_;
  std::atomic<bool> stop_{false};
  std::atomic<int> requests_{0};
  std::atomic<int> closed_{0};
  std::atomic<int> later_requests_{0};
  std::vector<std::thread> connections_;  // used by the acceptor only
  std::thread acceptor_;
};

}  // namespace hawthornhollow::standins

#endif  // TESTING_RAW_SERVER_STANDIN_H_
