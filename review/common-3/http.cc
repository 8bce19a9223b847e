#include "review/common-3/http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>

namespace review {
namespace {

constexpr int kBacklog = 1024;
constexpr size_t kPieceBytes = 16 * 1024;
constexpr auto kLongTime = std::chrono::hours(1);

sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int PortOf(int socket) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

int Listen(int port, const SocketOptions& options) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  Apply(options, listener);
  const sockaddr_in address = LoopbackAddress(port);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listener, kBacklog) != 0) {
    close(listener);
    return -1;
  }
  return listener;
}

std::string Trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    text.remove_suffix(1);
  return std::string(text);
}

bool IsSame(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace

std::string HeaderOf(const Headers& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (IsSame(key, name))
      return value;
  }
  return "";
}

std::string Request::Query(std::string_view name) const {
  size_t begin = target.find('?');
  while (begin != std::string::npos) {
    ++begin;
    const size_t end = target.find('&', begin);
    const std::string pair = target.substr(begin, end - begin);
    const size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name && equals != std::string::npos)
      return pair.substr(equals + 1);
    begin = end;
  }
  return "";
}

Request ParseRequestHead(const std::string& head) {
  Request request;
  size_t begin = 0;
  for (size_t end = head.find("\r\n"); end != std::string::npos && end > begin;
       begin = end + 2, end = head.find("\r\n", begin)) {
    const std::string line = head.substr(begin, end - begin);
    const size_t colon = line.find(':');
    const size_t space = line.find(' ');
    if (begin == 0) {
      request.method = line.substr(0, space);
      request.target =
          line.substr(space + 1, line.find(' ', space + 1) - space - 1);
    } else if (colon != std::string::npos) {
      request.headers.emplace_back(
          line.substr(0, colon),
          Trimmed(std::string_view(line).substr(colon + 1)));
    }
  }
  return request;
}

void Apply(const SocketOptions& options, int socket) {
  if (options.receive_buffer_bytes > 0) {
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &options.receive_buffer_bytes,
               sizeof(int));
  }
  if (options.segment_bytes > 0) {
    setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &options.segment_bytes,
               sizeof(int));
  }
}

int FreePort() {
  // Below those that the system gives to connections.
  constexpr int kFirst = 20'000;
  constexpr int kCount = 12'000;
  constexpr int kApart = 97;
  static std::atomic<int> next = getpid() * kApart;
  while (true) {
    const int port = kFirst + next++ % kCount;
    const int listener = Listen(port, {});
    if (listener < 0)
      continue;
    close(listener);
    return port;
  }
}

int ConnectTo(int port, const SocketOptions& options) {
  const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  Apply(options, made);
  const sockaddr_in address = LoopbackAddress(port);
  if (connect(made, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0) {
    const int on = 1;
    setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return made;
  }
  close(made);
  return -1;
}

bool SendAll(int socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0)
      return false;
    bytes.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

bool MessageReader::Fill() {
  return FillUntil(Clock::now() + kLongTime);
}

bool MessageReader::FillUntil(Clock::time_point until) {
  const auto left =
      std::chrono::duration_cast<Milliseconds>(until - Clock::now());
  if (left.count() <= 0)
    return false;
  pollfd readable{.fd = socket_, .events = POLLIN, .revents = 0};
  if (poll(&readable, 1, static_cast<int>(left.count())) <= 0)
    return false;
  char piece[kPieceBytes];
  const ssize_t count = recv(socket_, piece, sizeof(piece), 0);
  if (count <= 0)
    return false;
  buffer_.append(piece, static_cast<size_t>(count));
  return true;
}

bool MessageReader::ReadLine(std::string* line, Clock::time_point until) {
  size_t end = buffer_.find("\r\n");
  while (end == std::string::npos) {
    if (!FillUntil(until))
      return false;
    end = buffer_.find("\r\n");
  }
  *line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return true;
}

bool MessageReader::ReadHead(std::string* first_line,
                             Headers* headers,
                             Clock::time_point until) {
  if (!ReadLine(first_line, until))
    return false;
  std::string line;
  while (ReadLine(&line, until)) {
    if (line.empty())
      return true;
    const size_t colon = line.find(':');
    if (colon != std::string::npos)
      headers->emplace_back(line.substr(0, colon),
                            Trimmed(std::string_view(line).substr(colon + 1)));
  }
  return false;
}

bool MessageReader::ReadBytes(size_t count,
                              std::string* out,
                              Clock::time_point until) {
  while (buffer_.size() < count) {
    if (!FillUntil(until))
      return false;
  }
  out->append(buffer_, 0, count);
  buffer_.erase(0, count);
  return true;
}

bool MessageReader::ReadChunks(std::string* out, Clock::time_point until) {
  std::string line;
  while (ReadLine(&line, until)) {
    const size_t size = std::strtoul(line.c_str(), nullptr, 16);
    if (size == 0)
      return ReadLine(&line, until);
    if (!ReadBytes(size, out, until) || !ReadLine(&line, until))
      return false;
  }
  return false;
}

std::optional<Request> MessageReader::ReadRequestHead() {
  Request request;
  std::string line;
  if (!ReadHead(&line, &request.headers, Clock::now() + kLongTime))
    return std::nullopt;
  const size_t first = line.find(' ');
  const size_t second = line.find(' ', first + 1);
  if (first == std::string::npos || second == std::string::npos)
    return std::nullopt;
  request.method = line.substr(0, first);
  request.target = line.substr(first + 1, second - first - 1);
  return request;
}

bool MessageReader::ReadBody(Request* request) {
  const auto until = Clock::now() + kLongTime;
  if (IsSame(request->Header("Transfer-Encoding"), "chunked"))
    return ReadChunks(&request->body, until);
  const std::string length = request->Header("Content-Length");
  return length.empty() || ReadBytes(std::strtoul(length.c_str(), nullptr, 10),
                                     &request->body, until);
}

std::optional<Request> MessageReader::ReadRequest() {
  auto request = ReadRequestHead();
  if (!request.has_value() || !ReadBody(&*request))
    return std::nullopt;
  return request;
}

Response MessageReader::ReadResponse(Clock::time_point until) {
  Response response;
  std::string line;
  if (!ReadHead(&line, &response.headers, until))
    return response;
  const size_t space = line.find(' ');
  if (space == std::string::npos)
    return response;
  response.status = std::atoi(line.c_str() + space + 1);
  if (IsSame(response.Header("Transfer-Encoding"), "chunked")) {
    response.is_complete = ReadChunks(&response.body, until);
    return response;
  }
  const std::string length = response.Header("Content-Length");
  response.is_complete =
      !length.empty() && ReadBytes(std::strtoul(length.c_str(), nullptr, 10),
                                   &response.body, until);
  return response;
}

std::string ResponseBytes(int status,
                          const Headers& headers,
                          std::string_view body) {
  std::string bytes = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers)
    bytes += name + ": " + value + "\r\n";
  bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return bytes.append(body);
}

std::string RequestBytes(const Request& request) {
  std::string bytes = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : request.headers)
    bytes += name + ": " + value + "\r\n";
  bytes += "Content-Length: " + std::to_string(request.body.size());
  return bytes + "\r\n\r\n" + request.body;
}

Response Exchange(int port, const Request& request, Milliseconds timeout) {
  const auto until = Clock::now() + timeout;
  const int socket = ConnectTo(port);
  if (socket < 0)
    return {};
  Response response;
  if (SendAll(socket, RequestBytes(request)))
    response = MessageReader(socket).ReadResponse(until);
  close(socket);
  return response;
}

Server::Handler Server::ForEachRequest(Answer answer) {
  return [answer = std::move(answer)](int socket) {
    MessageReader reader(socket);
    while (const auto request = reader.ReadRequest()) {
      if (!answer(*request, socket))
        return;
    }
  };
}

Server::Server(Handler handler, const SocketOptions& options)
    : handler_(std::move(handler)), listener_(Listen(0, options)) {
  port_ = PortOf(listener_);
  acceptor_ = std::thread([this] { AcceptLoop(); });
}

Server::~Server() {
  stop_ = true;
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  close(listener_);
  {
    const std::lock_guard lock(mutex_);
    for (const int socket : open_)
      shutdown(socket, SHUT_RDWR);
  }
  for (std::thread& thread : threads_)
    thread.join();
}

void Server::AcceptLoop() {
  while (!stop_) {
    const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0)
      continue;
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard lock(mutex_);
    open_.insert(socket);
    threads_.emplace_back([this, socket] { Serve(socket); });
  }
}

void Server::Serve(int socket) {
  handler_(socket);
  const std::lock_guard lock(mutex_);
  open_.erase(socket);
  close(socket);
}

}  // namespace review
