#include "testing/client_crowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "absl/time/clock.h"

namespace hawthornhollow {
namespace {

constexpr size_t kBlockBytes = 64 * 1024;
constexpr int kTurnMilliseconds = 20;

std::string Repeat(const std::string& unit) {
  std::string block = unit;
  while (!unit.empty() && block.size() + unit.size() <= kBlockBytes)
    block += unit;
  return block;
}

bool ConnectTo(const Endpoint& router, int fd) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(router.port);
  inet_pton(AF_INET, router.address.c_str(), &address.sin_addr);
  return connect(fd, reinterpret_cast<const sockaddr*>(&address),
                 sizeof(address)) == 0;
}

}  // namespace

ClientCrowd::ClientCrowd(const Endpoint& router,
                         std::vector<ClientPlan> plans) {
  for (ClientPlan& plan : plans) {
    Client& client = clients_.emplace_back();
    client.block = Repeat(plan.unit);
    client.plan = std::move(plan);
    Connect(router, &client);
  }
}

void ClientCrowd::Connect(const Endpoint& router, Client* client) {
  client->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  client->is_done = !ConnectTo(router, client->fd) && errno != EINPROGRESS;
}

void ClientCrowd::SendSome(Client* client) {
  const ClientPlan& plan = client->plan;
  const size_t total = plan.head.size() + plan.unit_bytes;
  const char* data = plan.head.data() + client->sent;
  size_t size = plan.head.size() - client->sent;
  if (client->sent >= plan.head.size()) {
    const size_t offset =
        (client->sent - plan.head.size()) % client->block.size();
    data = client->block.data() + offset;
    size = std::min(client->block.size() - offset, total - client->sent);
  }
  size = std::min(size, plan.bytes_per_turn);
  const ssize_t count = send(client->fd, data, size, MSG_NOSIGNAL);
  if (count > 0)
    client->sent += static_cast<size_t>(count);
  const bool is_lost = count < 0 && errno != EAGAIN && errno != EINTR;
  client->is_done = is_lost || client->sent == total;
}

void ClientCrowd::Send(absl::Duration bound,
                       const std::function<void()>& watch) {
  const absl::Time end = absl::Now() + bound;
  absl::Time next_watch = absl::Now();
  while (absl::Now() < end) {
    std::vector<pollfd> polled;
    std::vector<Client*> senders;
    for (Client& client : clients_) {
      if (client.is_done)
        continue;
      polled.push_back({.fd = client.fd, .events = POLLOUT, .revents = 0});
      senders.push_back(&client);
    }
    if (senders.empty())
      break;
    poll(polled.data(), polled.size(), kTurnMilliseconds);
    for (size_t i = 0; i < senders.size(); ++i) {
      if (polled[i].revents != 0)
        SendSome(senders[i]);
    }
    if (absl::Now() >= next_watch) {
      watch();
      next_watch = absl::Now() + absl::Milliseconds(kTurnMilliseconds);
    }
  }
  watch();
}

void ClientCrowd::Close() {
  for (Client& client : clients_) {
    if (client.fd >= 0)
      close(std::exchange(client.fd, -1));
    client.is_done = true;
  }
}

size_t ClientCrowd::sent() const {
  size_t sum = 0;
  for (const Client& client : clients_)
    sum += client.sent;
  return sum;
}

std::string SendSteadily(const Endpoint& router,
                         const std::string& bytes,
                         size_t piece_bytes,
                         absl::Duration pause) {
  constexpr size_t kAnswerBytes = 64;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ssize_t count = ConnectTo(router, fd) ? 0 : -1;
  for (size_t sent = 0; count >= 0 && sent < bytes.size();) {
    count = send(fd, bytes.data() + sent,
                 std::min(piece_bytes, bytes.size() - sent), MSG_NOSIGNAL);
    sent += static_cast<size_t>(std::max<ssize_t>(count, 0));
    absl::SleepFor(pause);
  }
  std::string answer(kAnswerBytes, '\0');
  count = recv(fd, answer.data(), answer.size(), 0);
  close(fd);
  answer.resize(static_cast<size_t>(std::max<ssize_t>(count, 0)));
  return answer;
}

}  // namespace hawthornhollow
