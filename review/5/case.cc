// Case 5: the store goes down just after a replica has reported that it leaves.
// The replica says so in all its answers too, but the router goes on sending it
// new orders until it exits, and those in work then are lost.
// Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not
// run.

#include <sys/prctl.h>

#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include "review/standin/standin.h"

namespace review {
namespace {

constexpr int kReplicas = 7;
constexpr int kClients = 28;
constexpr int64_t kWorkMs = 500;
constexpr int64_t kDrainMs = 2000;  // bound drain_ms of the site
// The replica exits so long after the store has taken its report: drain_ms and
// "a little longer (at times many seconds)".
constexpr int64_t kExitAfterMs = 4000;
constexpr int64_t kOutageMs = 4500;  // the site's platform_down: for_s = 4.5

std::atomic<bool> is_leaving = false;

class Replica {
 public:
  Replica(std::string id, const Address& local, Record& record)
      : id_(std::move(id)), local_(local), record_(record) {}

  // Runs until SIGTERM; from SIGUSR1 on it is leaving.
  void Run() {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    signal(SIGUSR1, [](int) { is_leaving = true; });
    signal(SIGTERM, [](int) { _exit(0); });
    const Server server(local_,
                        [this](Connection& connection) { Serve(connection); });
    while (true)
      SleepMs(1000);
  }

 private:
  void Serve(Connection& connection) {
    while (const auto head = connection.ReadHead()) {
      const std::string request = head->Header("Attempt-Id");
      std::string body;
      if (!connection.ReadBytes(head->ContentLength(), &body))
        return;
      if (head->Header("Expect-Replica") != id_) {
        connection.Send("HTTP/1.1 421 x\r\nAttempt-Id: " + request +
                        "\r\nContent-Length: 0\r\n\r\n");
        return;
      }
      record_.Line("run " + request + " at " + id_);
      SleepMs(kWorkMs);
      record_.Line("done " + request + " at " + id_);
      const std::string answer = "done " + request;
      if (!connection.Send("HTTP/1.1 200 OK\r\nAttempt-Id: " + request +
                           "\r\nReplica-Seal: proof-" + id_ + "\r\n" +
                           (is_leaving ? "Server-Leaving: 1\r\n" : "") +
                           "Content-Length: " + std::to_string(answer.size()) +
                           "\r\n\r\n" + answer))
        return;
    }
  }

  const std::string id_;
  const Address local_;
  Record& record_;
};

constexpr char kConfig[] = R"({"version":3,
 "routes":[{"name":"orders","host":"h.example","path_prefix":"/orders/",
  "kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":300,
  "service":"desk","max_attempts":1}],
 "services":[{"name":"desk","health_path":"/health"}],
 "tenants":[{"name":"ward","api_keys":["k1"]}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":5000,"idle_timeout_ms":60000}})";

// Sends one order after the other until `stop`.
void RunClient(int number,
               const Router& router,
               Record& record,
               const std::atomic<bool>& stop) {
  for (int i = 0; !stop; ++i) {
    const std::string id =
        "c" + std::to_string(number) + "-" + std::to_string(i);
    record.Line("sent " + id);
    const ClientAnswer answer = SendRequest(
        router.callers,
        {.id = id, .path = "/orders/new", .deadline_ms = 1500, .body = "x"});
    record.Line(
        "answer " + id + " " + std::to_string(answer.status) + " " +
        (answer.head.Header("Server-Leaving").empty() ? "-" : "leaving"));
    SleepMs(20);
  }
}

struct Sent {
  int64_t at_ms = 0;
  std::string answer;
};

int Judge(const std::string& record_path) {
  std::map<std::string, Sent> sent;
  std::map<std::string, int> at_leaving;
  int64_t told_ms = -1;  // when the router had first passed on that it leaves
  int answers = 0;
  std::ifstream lines(record_path);
  std::string line;
  while (std::getline(lines, line)) {
    std::istringstream words(line);
    int64_t at_ms = 0;
    std::string unit;
    std::string what;
    std::string id;
    std::string more;
    std::string last;
    words >> at_ms >> unit >> what >> id >> more >> last;
    if (what == "sent")
      sent[id].at_ms = at_ms;
    if (what == "answer") {
      sent[id].answer = more;
      ++answers;
      if (last == "leaving" && told_ms < 0)
        told_ms = at_ms;
    }
    if (what == "run" && last == "i-0")
      at_leaving[id] = 1;
  }
  int late = 0;
  int lost = 0;
  for (const auto& [id, one] : at_leaving) {
    if (told_ms < 0 || sent[id].at_ms <= told_ms + kDrainMs)
      continue;
    ++late;
    if (sent[id].answer != "200") {
      ++lost;
      std::cout << "lost: " << id << " was sent " << sent[id].at_ms - told_ms
                << " ms after, its client got " << sent[id].answer << "\n";
    }
  }
  std::cout << answers << " orders answered; " << late
            << " reached the leaving replica later than " << kDrainMs
            << " ms after the router had passed on Server-Leaving, " << lost
            << " of them were lost\n";
  if (answers == 0 || told_ms < 0)
    return 2;
  return late > 0 ? 1 : 0;
}

int Main(const std::string& record_path) {
  signal(SIGPIPE, SIG_IGN);
  const TemporaryFolder folder;
  Record record(record_path);
  const std::string ip = LoopbackIp(0);
  std::vector<Address> addresses;
  std::vector<std::unique_ptr<Process>> replicas;
  for (int i = 0; i < kReplicas; ++i) {
    addresses.push_back({ip, FreePort(ip)});
    replicas.push_back(std::make_unique<Process>([&, i] {
      Replica("i-" + std::to_string(i), addresses.back(), record).Run();
    }));
  }
  for (const Address& address : addresses) {
    while (Connect(address, milliseconds(500)) == nullptr)
      SleepMs(10);
  }
  Store store;
  store.Put("keyed.op", "config", kConfig);
  for (int i = 0; i < kReplicas; ++i) {
    store.Put(
        "keyed.servers", "i-" + std::to_string(i),
        ServerEntry("desk", addresses[static_cast<size_t>(i)], "ready", 1));
  }
  Store::Front* const front = store.AddFront(ip);
  Router router{.name = "front-1",
                .ip = LoopbackIp(1),
                .store = front->address,
                .folder = folder.path()};
  router.Prepare();
  const auto process = router.Start();
  if (!router.AwaitReady(milliseconds(10'000)))
    return 2;
  std::atomic<bool> stop = false;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i)
    clients.emplace_back([&, i] { RunClient(i, router, record, stop); });
  SleepMs(2000);
  record.Line("leave i-0");
  replicas[0]->Signal(SIGUSR1);
  store.Put("keyed.servers", "i-0",
            ServerEntry("desk", addresses[0], "draining", 2));
  if (HasTrouble()) {
    record.Line("store-down");
    store.SetMode(front, Store::Mode::kSilent);
  }
  SleepMs(kExitAfterMs);
  record.Line("exit i-0");
  replicas[0]->Signal(SIGTERM);
  SleepMs(kOutageMs - kExitAfterMs);
  store.SetMode(front, Store::Mode::kServe);
  record.Line("store-up");
  store.Put("keyed.servers", "i-0", "");
  SleepMs(2000);
  stop = true;
  for (std::thread& client : clients)
    client.join();
  return Judge(record_path);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: case RECORD\n";
    return 2;
  }
  return review::Main(argv[1]);
}
