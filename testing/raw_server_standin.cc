#include "testing/raw_server_standin.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_replace.h"
#include "hawthornhollow/base/base.h"
#include "testing/platform_standin_messages.h"

namespace hawthornhollow::standins {
namespace {

constexpr int kBacklog = 64;
constexpr int kPollMilliseconds = 20;

bool IsReady(int socket, short events) {
  pollfd entry{.fd = socket, .events = events};
  return poll(&entry, 1, kPollMilliseconds) > 0;
}

}  // namespace

absl::StatusOr<std::unique_ptr<RawServerStandin>> RawServerStandin::Start(
    Script script) {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* const generic = reinterpret_cast<sockaddr*>(&address);
  if (script.receive_buffer_bytes > 0) {
    // Long segments of loopback would fill the sender's buffer with more.
    constexpr int kSegmentBytes = 1460;
    setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &script.receive_buffer_bytes,
               sizeof(script.receive_buffer_bytes));
    setsockopt(listener, IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes,
               sizeof(kSegmentBytes));
  }
  if (listener < 0 || bind(listener, generic, size) != 0 ||
      listen(listener, kBacklog) != 0 ||
      getsockname(listener, generic, &size) != 0)
    return absl::UnavailableError("cannot listen");
  return std::unique_ptr<RawServerStandin>(new RawServerStandin(
      std::move(script), listener, {"127.0.0.1", ntohs(address.sin_port)}));
}

RawServerStandin::RawServerStandin(Script script, int listener, Endpoint local)
    : script_(std::move(script)),
      listener_(listener),
      local_(std::move(local)),
      acceptor_([this] { Accept(); }) {}

RawServerStandin::~RawServerStandin() {
  stop_ = true;
  acceptor_.join();
  for (std::thread& connection : connections_)
    connection.join();
  close(listener_);
}

void RawServerStandin::Accept() {
  while (!stop_) {
    if (!IsReady(listener_, POLLIN))
      continue;
    const int socket = accept(listener_, nullptr, nullptr);
    if (socket < 0)
      absl::SleepFor(absl::Milliseconds(kPollMilliseconds));  // refuses
    else
      connections_.emplace_back([this, socket] { Serve(socket); });
  }
}

void RawServerStandin::Serve(int socket) {
  std::string head;
  if (ReadHead(socket, &head)) {
    ++requests_;
    const auto fill = [id = RequestIdOf(head)](const std::string& text) {
      return absl::StrReplaceAll(text, {{"$ID", id}});
    };
    const std::string repeated = fill(script_.repeated);
    bool open = SendAll(socket, fill(script_.beginning));
    if (open && (!script_.on_later_request.empty() || script_.resets_later)) {
      ServeLater(socket, RequestIdOf(head));
      open = false;
    }
    while (open && !stop_ && !script_.closes) {
      absl::SleepFor(script_.pause);
      open = SendAll(socket, repeated);
      std::array<char, 1> byte{};
      if (repeated.empty() && IsReady(socket, POLLIN))
        open = recv(socket, byte.data(), byte.size(), 0) > 0;
    }
    if (!open)
      ++closed_;
  }
  close(socket);
}

void RawServerStandin::ServeLater(int socket, const std::string& first_id) {
  while (!stop_) {
    if (!IsReady(socket, POLLIN))
      continue;
    std::string head;
    if (!ReadHead(socket, &head))
      return;
    ++later_requests_;
    const std::string bytes =
        absl::StrReplaceAll(script_.on_later_request,
                            {{"$ID", RequestIdOf(head)}, {"$FIRST", first_id}});
    if (!SendAll(socket, bytes))
      return;
    if (script_.resets_later) {
      Reset(socket);
      return;
    }
  }
}

void RawServerStandin::Reset(int socket) {
  constexpr absl::Duration kWriteTime = absl::Milliseconds(100);
  absl::SleepFor(kWriteTime);
  if (!script_.accepts_after_reset)
    shutdown(listener_, SHUT_RDWR);
  const linger at_once{.l_onoff = 1, .l_linger = 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
}

bool RawServerStandin::ReadHead(int socket, std::string* head) {
  std::array<char, 4096> piece{};
  while (!absl::StrContains(*head, "\r\n\r\n")) {
    const ssize_t count = recv(socket, piece.data(), piece.size(), 0);
    if (count <= 0)
      return false;
    head->append(piece.data(), static_cast<size_t>(count));
  }
  return true;
}

bool RawServerStandin::SendAll(int socket, const std::string& bytes) const {
  size_t sent = 0;
  while (sent < bytes.size() && !stop_) {
    if (!IsReady(socket, POLLOUT))
      continue;
    const ssize_t count = send(socket, bytes.data() + sent, bytes.size() - sent,
                               MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0)
      return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

}  // namespace hawthornhollow::standins
