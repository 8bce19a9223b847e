#include "review/common-2/net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <thread>

namespace review {
namespace {

sockaddr_in ToSystem(const Address& address) {
  sockaddr_in system{};
  system.sin_family = AF_INET;
  system.sin_port = htons(static_cast<uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &system.sin_addr);
  return system;
}

int Milliseconds(double seconds) {
  constexpr double kPerSecond = 1000;
  return static_cast<int>(std::max(0.0, seconds) * kPerSecond);
}

}  // namespace

double Now() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double>(now).count();
}

void Sleep(double seconds) {
  if (seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

int FreePort(const std::string& ip) {
  // Below the ports that the system gives to connections.
  static int next = 20000 + (getpid() * 37) % 8000;
  for (int tries = 0; tries < 2000; ++tries) {
    const int port = 20000 + (next++ - 20000) % 12000;
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in system = ToSystem({ip, port});
    const bool is_free = bind(fd, reinterpret_cast<const sockaddr*>(&system),
                              sizeof system) == 0;
    close(fd);
    if (is_free)
      return port;
  }
  return 0;
}

void Socket::Close() {
  if (fd_ >= 0)
    close(fd_);
  fd_ = -1;
}

bool Socket::Send(const std::string& bytes) const {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR)
      continue;
    if (count <= 0)
      return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

int Socket::Receive(std::string* out, double seconds, size_t most) const {
  pollfd waiting = {.fd = fd_, .events = POLLIN, .revents = 0};
  if (poll(&waiting, 1, Milliseconds(seconds)) <= 0)
    return -2;
  std::string piece(most, '\0');
  const ssize_t count = recv(fd_, piece.data(), piece.size(), 0);
  if (count < 0)
    return -1;
  out->append(piece, 0, static_cast<size_t>(count));
  return static_cast<int>(count);
}

int Connect(const Address& to, double seconds, const ClientSocket& client) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (client.receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &client.receive_buffer,
               sizeof client.receive_buffer);
  }
  if (client.segment > 0) {
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &client.segment,
               sizeof client.segment);
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const sockaddr_in system = ToSystem(to);
  const double end = Now() + seconds;
  while (connect(fd, reinterpret_cast<const sockaddr*>(&system),
                 sizeof system) != 0) {
    if (Now() > end) {
      close(fd);
      return -1;
    }
    Sleep(0.02);
  }
  return fd;
}

std::string Message::Header(const std::string& name) const {
  for (const auto& [other, value] : headers) {
    if (strcasecmp(other.c_str(), name.c_str()) == 0)
      return value;
  }
  return "";
}

std::string Message::Method() const {
  return first_line.substr(0, first_line.find(' '));
}

std::string Message::Target() const {
  const size_t begin = first_line.find(' ') + 1;
  return first_line.substr(begin, first_line.rfind(' ') - begin);
}

int Message::Status() const {
  const size_t space = first_line.find(' ');
  return space == std::string::npos ? 0 : std::atoi(first_line.c_str() + space);
}

Reader::End Reader::Fill(double until) {
  switch (socket_.Receive(&buffer_, until - Now())) {
    case -2:
      return End::kTimeout;
    case -1:
      return End::kReset;
    case 0:
      return End::kClosed;
    default:
      return End::kWhole;
  }
}

Reader::End Reader::ReadHead(Message* message, double until) {
  *message = Message();
  size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    const bool is_empty = buffer_.empty();
    const End filled = Fill(until);
    if (filled != End::kWhole)
      return filled == End::kClosed && !is_empty ? End::kCut : filled;
  }
  const std::string head = buffer_.substr(0, end);
  buffer_.erase(0, end + 4);
  size_t begin = 0;
  bool is_first = true;
  while (begin <= head.size()) {
    const size_t line_end = std::min(head.find("\r\n", begin), head.size());
    const std::string line = head.substr(begin, line_end - begin);
    begin = line_end + 2;
    const size_t colon = line.find(':');
    if (is_first) {
      message->first_line = line;
    } else if (colon != std::string::npos) {
      const size_t value = line.find_first_not_of(' ', colon + 1);
      message->headers.emplace_back(
          line.substr(0, colon),
          value == std::string::npos ? "" : line.substr(value));
    }
    is_first = false;
  }
  return End::kWhole;
}

Reader::End Reader::ReadChunks(Message* message, double until) {
  while (true) {
    size_t line = 0;
    while ((line = buffer_.find("\r\n")) == std::string::npos) {
      const End filled = Fill(until);
      if (filled != End::kWhole)
        return filled == End::kClosed ? End::kCut : filled;
    }
    const size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
    while (buffer_.size() < line + 2 + size + 2) {
      const End filled = Fill(until);
      if (filled != End::kWhole)
        return filled == End::kClosed ? End::kCut : filled;
    }
    message->body += buffer_.substr(line + 2, size);
    buffer_.erase(0, line + 2 + size + 2);
    if (size == 0)
      return End::kWhole;
  }
}

Reader::End Reader::ReadBody(Message* message, bool is_response, double until) {
  if (!message->Header("Transfer-Encoding").empty())
    return ReadChunks(message, until);
  const std::string length = message->Header("Content-Length");
  if (length.empty() && !is_response)
    return End::kWhole;
  const size_t size =
      length.empty() ? SIZE_MAX : std::strtoul(length.c_str(), nullptr, 10);
  while (buffer_.size() < size) {
    const End filled = Fill(until);
    if (filled == End::kClosed && length.empty())
      break;
    if (filled != End::kWhole) {
      message->body = buffer_;
      return filled == End::kClosed ? End::kCut : filled;
    }
  }
  message->body = buffer_.substr(0, size);
  buffer_.erase(0, message->body.size());
  return End::kWhole;
}

Reader::End Reader::ReadRequest(Message* message, double seconds) {
  const double until = Now() + seconds;
  const End head = ReadHead(message, until);
  return head != End::kWhole ? head : ReadBody(message, false, until);
}

Reader::End Reader::ReadResponse(Message* message, double seconds) {
  const double until = Now() + seconds;
  const End head = ReadHead(message, until);
  return head != End::kWhole ? head : ReadBody(message, true, until);
}

Listener::Listener(const Address& local, Serve serve)
    : local_(local), fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const int on = 1;
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (local_.port == 0)
    local_.port = FreePort(local_.ip);
  const sockaddr_in system = ToSystem(local_);
  constexpr int kBacklog = 512;
  if (bind(fd_, reinterpret_cast<const sockaddr*>(&system), sizeof system) !=
          0 ||
      listen(fd_, kBacklog) != 0) {
    std::perror("listen");
    std::_Exit(2);
  }
  std::thread([fd = fd_, serve = std::move(serve)] {
    while (true) {
      const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0 && errno != ECONNABORTED && errno != EINTR)
        break;
      if (accepted < 0)
        continue;
      const int no_delay = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &no_delay,
                 sizeof no_delay);
      std::thread([accepted, serve] {
        Socket socket(accepted);
        serve(socket);
      }).detach();
    }
    close(fd);
  }).detach();
}

Listener::~Listener() {
  shutdown(fd_, SHUT_RDWR);  // wakes the accepting thread, which closes it
}

std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  size_t begin = target.find('?');
  while (begin != std::string::npos && begin < target.size()) {
    const size_t end = std::min(target.find('&', begin + 1), target.size());
    const std::string part = target.substr(begin + 1, end - begin - 1);
    const size_t equals = std::min(part.find('='), part.size());
    std::string value;
    for (size_t i = equals + 1; i < part.size(); ++i) {
      if (part[i] == '%' && i + 2 < part.size()) {
        value += static_cast<char>(
            std::strtol(part.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        value += part[i];
      }
    }
    query[part.substr(0, equals)] = value;
    begin = end < target.size() ? end : std::string::npos;
  }
  return query;
}

std::string PathOf(const std::string& target) {
  return target.substr(0, target.find('?'));
}

std::string JsonText(const std::string& text) {
  std::string quoted = "\"";
  for (const char c : text) {
    char escaped[8];
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
    } else if (static_cast<unsigned char>(c) < 0x20) {
      std::snprintf(escaped, sizeof escaped, "\\u%04x", c);
      quoted += escaped;
    } else {
      quoted += c;
    }
  }
  return quoted + "\"";
}

}  // namespace review
