// Case 6 (REFUSED): one of seven replicas runs an order and then fails it with
// a 503 that does not say Not-Executed.

#include <atomic>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/common-2/standins.h"

namespace review {
namespace {

constexpr int kClients = 6;
constexpr int kOrdersOfClient = 40;
constexpr int kDeadlineMs = 1500;
// Of the failing replica's orders; the pages' dose of srv_grey.
constexpr double kFailingShare = 0.4;

// Which orders each replica ran, by the orders' ids.
class Runs {
 public:
  void Add(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++runs_[id];
  }
  int Of(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_[id];
  }

 private:
  std::mutex mutex_;
  std::map<std::string, int> runs_;
};

bool IsPromise(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

[[noreturn]] void Play(const std::string& record_file) {
  const bool has_trouble = IsTroublePlayed();
  Record record(record_file);
  Store store("127.0.0.1");
  store.Put("keyed.op", "config",
            ConfigText(1, {{.name = "order",
                            .prefix = "/order/",
                            .kind = "non_idempotent",
                            .service = "app",
                            .timeout_ms = 1500,
                            .target_ms = 300}}));
  Runs runs;
  std::atomic<int> at_failing{0};
  const auto serve = [&](const std::string& replica, bool is_failing) {
    return [&, replica, is_failing](const Message& request, Socket& socket) {
      const std::string id = request.Header("Attempt-Id");
      Sleep(0.015);
      runs.Add(id);
      bool fails = false;
      if (is_failing && has_trouble) {
        const int count = ++at_failing;
        fails = static_cast<int>(count * kFailingShare) >
                static_cast<int>((count - 1) * kFailingShare);
      }
      record.Line(replica + " ran " + id + " and answers " +
                  (fails ? "503, without Not-Executed" : "200"));
      return socket.Send(fails
                             ? SealedAnswer(request, "503 Service Unavailable",
                                            "the booking was begun and failed")
                             : SealedAnswer(request, "200 OK", "booked"));
    };
  };
  // One of seven fails: a share of 0.143.
  constexpr int kReplicas = 7;
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int i = 1; i <= kReplicas; ++i) {
    const std::string id = "i-" + std::to_string(i);
    replicas.push_back(std::make_unique<Replica>(
        store, id, "app", "127.0.0.1", serve(id, /*is_failing=*/i == 1)));
  }
  Machine machine({}, store, TemporaryFolder());
  machine.Start();
  if (!machine.AwaitReady(10))
    Finish(2);
  Sleep(4);  // in touch
  std::atomic<int> broken{0};
  std::atomic<int> served{0};
  const auto send_orders = [&](int client) {
    for (int i = 0; i < kOrdersOfClient; ++i) {
      const std::string id =
          "order-" + std::to_string(client) + "-" + std::to_string(i);
      const Socket socket(Connect(machine.front(), 1));
      Reader reader(socket);
      Message answer;
      record.Line("client sends " + id);
      const bool is_whole =
          socket.ok() &&
          socket.Send(
              RequestText("POST", "/order/a", id, kDeadlineMs, "one")) &&
          reader.ReadResponse(&answer, 3) == Reader::End::kWhole;
      const int status = is_whole ? answer.Status() : 0;
      const int times = runs.Of(id);
      record.Line("client gets " + std::to_string(status) + " for " + id +
                  ", which ran " + std::to_string(times) + " times");
      served += status == 200 ? 1 : 0;
      if (IsPromise(status) && times > 0) {
        ++broken;
        record.Line("REFUSED: " + id + " was answered " +
                    std::to_string(status) + " and has run");
      }
    }
  };
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client)
    clients.emplace_back(send_orders, client);
  for (std::thread& client : clients)
    client.join();
  const int orders = kClients * kOrdersOfClient;
  const std::string result = std::to_string(orders) + " orders, " +
                             std::to_string(served) + " served, " +
                             std::to_string(broken) +
                             " answered with a promise though they had run";
  record.Line(result);
  std::printf("%s\n", result.c_str());
  if (served < orders / 2)
    Finish(2);
  Finish(broken > 0 ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 2)
    return 2;
  review::FinishAfter(110);
  review::Play(argv[1]);
}
