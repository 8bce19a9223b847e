#include "review/common-3/slow_replica.h"

#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>

namespace review {
namespace {

constexpr SocketOptions kSmallWindows = {.receive_buffer_bytes = 8 * 1024,
                                         .segment_bytes = 1'448};
constexpr char kOneEvent[] = "id: 1\ndata: abcd\n\n";
constexpr size_t kMaxHeadBytes = 64 * 1024;
constexpr size_t kPieceBytes = 4 * 1024;
constexpr auto kPiecePause = Milliseconds(50);
constexpr int64_t kPiecesPerSecond = 20;

}  // namespace

SlowReplica::SlowReplica(std::string id, ReadSpeed speed)
    : id_(std::move(id)),
      speed_(speed),
      server_([this](int socket) { Serve(socket); }, kSmallWindows) {}

std::vector<SlowReplica::Run> SlowReplica::runs() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

bool SlowReplica::ReadBody(const Request& request,
                           int socket,
                           size_t buffered) const {
  const std::string length = request.Header("Content-Length");
  const size_t size = std::strtoul(length.c_str(), nullptr, 10);
  std::this_thread::sleep_for(speed_.pause_before_body);
  std::string piece(kPieceBytes, '\0');
  size_t got = buffered;
  while (got < size) {
    size_t wanted = std::min(piece.size(), size - got);
    if (speed_.bytes_per_second > 0) {
      std::this_thread::sleep_for(kPiecePause);
      wanted = std::min(wanted, speed_.bytes_per_second / kPiecesPerSecond);
    }
    const ssize_t count = recv(socket, piece.data(), wanted, 0);
    if (count <= 0)
      return false;
    got += static_cast<size_t>(count);
  }
  return true;
}

void SlowReplica::Serve(int socket) {
  while (true) {
    // Byte by byte, so that nothing of the body is read with it.
    std::string head;
    char byte = 0;
    while (!head.ends_with("\r\n\r\n") && head.size() < kMaxHeadBytes) {
      if (recv(socket, &byte, 1, 0) != 1)
        return;
      head.push_back(byte);
    }
    Request request = ParseRequestHead(head);
    if (!ReadBody(request, socket, /*buffered=*/0))
      return;
    const std::string call = request.Header("Attempt-Id");
    if (request.Header("Expect-Replica") != id_) {
      if (!SendAll(socket,
                   ResponseBytes(
                       421, {{"Attempt-Id", call}, {"Not-Executed", "1"}}, "")))
        return;
      continue;
    }
    {
      const std::lock_guard lock(mutex_);
      runs_.push_back({call, Clock::now()});
    }
    const Headers headers = {{"Attempt-Id", call},
                             {"Replica-Seal", "seal-" + id_},
                             {"Content-Type", "text/event-stream"}};
    if (!SendAll(socket, ResponseBytes(200, headers, kOneEvent)))
      return;
  }
}

}  // namespace review
