// Seen, no case (BUDGET): a replica turns a request away with 503 and
// Retry-After, and gets requests from the machine all the same.

#include <atomic>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "review/common-2/standins.h"

namespace review {
namespace {

constexpr double kRetryAfter = 5;
constexpr double kSlack = 0.5;
constexpr int kAllowed = 2;
constexpr int kRequests = 200;
constexpr double kBetweenRequests = 0.025;

[[noreturn]] void Play(const std::string& record_file) {
  const bool has_trouble = IsTroublePlayed();
  Record record(record_file);
  Store store("127.0.0.1");
  store.Put("keyed.op", "config",
            ConfigText(1, {{.name = "lookup",
                            .prefix = "/lookup/",
                            .kind = "idempotent",
                            .service = "app",
                            .timeout_ms = 1500,
                            .target_ms = 300}}));
  std::atomic<double> told_at{0};
  std::atomic<int> too_many{0};
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int i = 1; i <= 3; ++i) {
    replicas.push_back(std::make_unique<Replica>(
        store, "i-" + std::to_string(i), "app", "127.0.0.1",
        [&, i](const Message& request, Socket& socket) {
          const std::string id = request.Header("Attempt-Id");
          const double since = Now() - told_at;
          if (i == 1 && has_trouble && told_at == 0) {
            told_at = Now();
            record.Line("i-1 turns " + id + " away with Retry-After");
            return socket.Send(
                "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + id +
                "\r\nNot-Executed: 1\r\nRetry-After: 5\r\n"
                "Content-Length: 0\r\n\r\n");
          }
          if (i == 1 && told_at > 0 && since > kSlack && since < kRetryAfter) {
            ++too_many;
            record.Line("i-1 gets " + id + " " + std::to_string(since) +
                        " s later");
          }
          Sleep(0.015);
          return socket.Send(SealedAnswer(request, "200 OK", "found"));
        }));
  }
  Machine machine({}, store, TemporaryFolder());
  machine.Start();
  if (!machine.AwaitReady(10))
    Finish(2);
  Sleep(4);  // in touch
  for (int i = 0; i < kRequests; ++i) {
    const Socket socket(Connect(machine.front(), 1));
    Reader reader(socket);
    Message answer;
    if (!socket.ok() ||
        !socket.Send(RequestText("GET", "/lookup/a",
                                 "lookup-" + std::to_string(i), 1500, "")) ||
        reader.ReadResponse(&answer, 3) != Reader::End::kWhole)
      Finish(2);
    Sleep(kBetweenRequests);
  }
  const std::string result = std::to_string(too_many) +
                             " requests in the replica's time; " +
                             std::to_string(kAllowed) + " are allowed";
  record.Line(result);
  std::printf("%s\n", result.c_str());
  Finish(too_many > kAllowed ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 2)
    return 2;
  review::FinishAfter(110);
  review::Play(argv[1]);
}
