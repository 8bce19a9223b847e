#ifndef TESTING_CLIENT_CROWD_H_
#define TESTING_CLIENT_CROWD_H_

// Clients that are not trusted: each sends the bytes of its plan on a
// connection of its own, reads nothing, and stays connected.
//
//   ClientCrowd crowd(router, std::vector<ClientPlan>(60, plan));
//   crowd.Send(absl::Seconds(8), [&] { ... });  // called now and then
//   ...
//   crowd.Close();

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hawthornhollow/runtime/runtime.h"

namespace hawthornhollow {

struct ClientPlan {
  std::string head;
  // Sent after the head, again and again, `unit_bytes` in all; not empty if
  // those are above 0.
  std::string unit;
  size_t unit_bytes = 0;
  // Most that is sent in one turn; the clients take turns.
  size_t bytes_per_turn = 64 * 1024;
};

class ClientCrowd {
 public:
  ClientCrowd(const Endpoint& router, std::vector<ClientPlan> plans);
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;
  ~ClientCrowd() { Close(); }

  // Sends until each client has sent its plan or has lost its connection, for
  // at most `bound`. Calls `watch` about every 20 ms.
  void Send(absl::Duration bound, const std::function<void()>& watch);
  void Close();

  // Bytes that all clients have sent.
  size_t sent() const;

 private:
  struct Client {
    ClientPlan plan;
    std::string block;  // whole units, so that few calls send many
    int fd = -1;
    size_t sent = 0;
    bool is_done = false;
  };

  static void Connect(const Endpoint& router, Client* client);
  static void SendSome(Client* client);

  std::vector<Client> clients_;
};

// One client that sends `bytes` in pieces with a pause after each, and returns
// the beginning of the answer.
std::string SendSteadily(const Endpoint& router,
                         const std::string& bytes,
                         size_t piece_bytes,
                         absl::Duration pause);

}  // namespace hawthornhollow

#endif  // TESTING_CLIENT_CROWD_H_
