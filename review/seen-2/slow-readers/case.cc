// Seen, no case (LOST): clients on a slow line read an answer steadily and in
// time, and the entry program closes their connections in the middle of it.

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "review/common-2/standins.h"

namespace review {
namespace {

constexpr int kClients = 8;
constexpr size_t kAnswerBytes = 800'000;
// What a client on a slow line reads.
constexpr double kBytesPerSecond = 80'000;
constexpr ClientSocket kClientSocket = {.receive_buffer = 4096,
                                        .segment = 1400};
constexpr int kDeadlineMs = 20000;

struct Answer {
  int status = 0;
  size_t bytes = 0;
  bool is_whole = false;
};

Answer ReadAnswer(const Socket& socket, double bytes_per_second) {
  constexpr size_t kPiece = 8192;
  constexpr double kMillisecondsPerSecond = 1000;
  const double begin = Now();
  std::string text;
  size_t whole = 0;
  while (whole == 0 || text.size() < whole) {
    if (socket.Receive(&text, kDeadlineMs / kMillisecondsPerSecond, kPiece) <=
        0)
      break;
    const size_t head = text.find("\r\n\r\n");
    const size_t length = text.find("Content-Length: ");
    if (whole == 0 && head != std::string::npos && length < head) {
      constexpr size_t kNameBytes = 16;
      whole = head + 4 +
              std::strtoul(text.c_str() + length + kNameBytes, nullptr, 10);
    }
    const auto due = static_cast<double>(text.size()) / bytes_per_second;
    Sleep(begin + due - Now());
  }
  Message message;
  message.first_line = text.substr(0, text.find('\r'));
  return {.status = message.Status(),
          .bytes = text.size(),
          .is_whole = whole > 0 && text.size() >= whole};
}

[[noreturn]] void Play(const std::string& record_file) {
  const double rate = IsTroublePlayed() ? kBytesPerSecond : 1e12;
  Record record(record_file);
  Store store("127.0.0.1");
  store.Put("keyed.op", "config",
            ConfigText(1, {{.name = "order",
                            .prefix = "/order/",
                            .kind = "non_idempotent",
                            .service = "app",
                            .timeout_ms = 20000,
                            .target_ms = 1000}}));
  const std::string confirmation(kAnswerBytes, 'c');
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int i = 1; i <= 3; ++i) {
    const std::string replica = "i-" + std::to_string(i);
    replicas.push_back(std::make_unique<Replica>(
        store, replica, "app", "127.0.0.1",
        [&, replica](const Message& request, Socket& socket) {
          const bool is_sent =
              socket.Send(SealedAnswer(request, "200 OK", confirmation));
          record.Line(replica + " ran " + request.Header("Attempt-Id") +
                      " and has sent its answer");
          return is_sent;
        }));
  }
  Machine machine({}, store, TemporaryFolder());
  machine.Start();
  if (!machine.AwaitReady(10))
    Finish(2);
  Sleep(4);  // in touch
  std::atomic<int> whole{0};
  std::atomic<int> cut{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const std::string id = "order-" + std::to_string(i);
      const Socket socket(Connect(machine.front(), 1, kClientSocket));
      const double begin = Now();
      record.Line("client sends " + id);
      const bool is_sent =
          socket.ok() &&
          socket.Send(RequestText("POST", "/order/a", id, kDeadlineMs, "one"));
      const Answer answer = is_sent ? ReadAnswer(socket, rate) : Answer();
      record.Line("client has " + std::to_string(answer.bytes) + " bytes of " +
                  std::to_string(kAnswerBytes) + " with status " +
                  std::to_string(answer.status) + " for " + id + " after " +
                  std::to_string(Now() - begin) + " s: " +
                  (answer.is_whole ? "whole" : "the connection was closed"));
      ++(answer.is_whole ? whole : cut);
    });
    Sleep(0.1);
  }
  for (std::thread& client : clients)
    client.join();
  const std::string result = std::to_string(whole) + " answers whole, " +
                             std::to_string(cut) + " cut off";
  record.Line(result);
  std::printf("%s\n", result.c_str());
  constexpr int kAllowed = 3;
  Finish(cut > kAllowed ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 2)
    return 2;
  review::FinishAfter(110);
  review::Play(argv[1]);
}
