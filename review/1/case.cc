// Case 1: a replica crashes while it works on orders whose long bodies it has
// not read yet. The router sends them to other replicas, where they run again.
// FULL=1, a variant: the other replicas are full and turn them away. The router
// tells the clients 503, which promises that the orders have not run.
// Exit code: 1 if an order ran more than once (FULL=1: ran and was answered
// 503), 0 if none, 2 if the case could not run.

#include <sys/prctl.h>

#include <condition_variable>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include "review/standin/standin.h"

namespace review {
namespace {

constexpr int kReplicas = 7;  // one of them crashes: a share of 0.143
constexpr int kManySlots = 64;
constexpr int kSlots = 2;                 // with FULL=1
constexpr int kQueue = 1;                 // "and queues a few more"
constexpr size_t kBodyBytes = 1'000'000;  // the config allows 4194304
constexpr int64_t kWorkMs = 400;
constexpr int64_t kLatestKillMs = 20'000;

bool AllFull() {
  return std::getenv("FULL") != nullptr;
}

// Orders sent at a time: two for each replica; or all that they take.
int Orders() {
  return kReplicas * (AllFull() ? kSlots + kQueue : kSlots);
}

// Works on a request as soon as its head is in, and reads a long body later.
class Replica {
 public:
  Replica(std::string id, const Address& local, Record& record)
      : id_(std::move(id)), local_(local), record_(record) {}

  // Runs until the process is killed.
  void Run() {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const Server server(local_,
                        [this](Connection& connection) { Serve(connection); },
                        {.receive_buffer = 16 * 1024, .segment = 1460});
    while (true)
      SleepMs(1000);
  }

 private:
  void Serve(Connection& connection) {
    while (const auto head = connection.ReadHead()) {
      const std::string request = head->Header("Attempt-Id");
      if (head->Header("Expect-Replica") != id_) {
        connection.Send("HTTP/1.1 421 x\r\nAttempt-Id: " + request +
                        "\r\nContent-Length: 0\r\n\r\n");
        return;
      }
      if (!Begin()) {
        record_.Line("full " + request + " at " + id_);
        connection.Send("HTTP/1.1 503 x\r\nAttempt-Id: " + request +
                        "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        std::string unread;
        if (!connection.ReadBytes(head->ContentLength(), &unread))
          return;
        continue;
      }
      record_.Line("run " + request + " at " + id_);
      SleepMs(kWorkMs);
      End();
      std::string body;
      if (!connection.ReadBytes(head->ContentLength(), &body))
        return;
      const std::string answer = "done " + request;
      if (!connection.Send("HTTP/1.1 200 OK\r\nAttempt-Id: " + request +
                           "\r\nReplica-Seal: proof-" + id_ +
                           "\r\nContent-Length: " +
                           std::to_string(answer.size()) + "\r\n\r\n" + answer))
        return;
    }
  }

  // Waits for a slot; false if the queue is full.
  bool Begin() {
    std::unique_lock lock(mutex_);
    const int slots = AllFull() ? kSlots : kManySlots;
    if (working_ >= slots && waiting_ >= kQueue)
      return false;
    ++waiting_;
    slot_is_free_.wait(lock, [&] { return working_ < slots; });
    --waiting_;
    ++working_;
    return true;
  }
  void End() {
    const std::lock_guard lock(mutex_);
    --working_;
    slot_is_free_.notify_one();
  }

  const std::string id_;
  const Address local_;
  Record& record_;
  std::mutex mutex_;
  std::condition_variable slot_is_free_;
  int working_ = 0;
  int waiting_ = 0;
};

constexpr char kConfig[] = R"({"version":3,
 "routes":[{"name":"orders","host":"h.example","path_prefix":"/orders/",
  "kind":"non_idempotent","timeout_ms":6000,"target_latency_ms":1000,
  "service":"desk","max_attempts":1}],
 "services":[{"name":"desk","health_path":"/health"}],
 "tenants":[{"name":"ward","api_keys":["k1"]}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":5000,"idle_timeout_ms":60000}})";

// Sends orders at the same time and waits for all answers.
void SendOrders(const Router& router,
                const std::string& name,
                size_t body_bytes,
                Record& record,
                const std::function<void()>& meanwhile) {
  std::vector<std::thread> clients;
  for (int i = 0; i < Orders(); ++i) {
    clients.emplace_back([&, i] {
      const std::string id = name + "-" + std::to_string(i);
      record.Line("sent " + id);
      const ClientAnswer answer =
          SendRequest(router.callers, {.id = id,
                                       .path = "/orders/new",
                                       .body = std::string(body_bytes, 'b')});
      record.Line("answer " + id + " " + std::to_string(answer.status));
    });
  }
  meanwhile();
  for (std::thread& client : clients)
    client.join();
}

// The replica at which the first of the orders runs; -1 if none does.
int FirstReplica(const std::string& record_path, const std::string& name) {
  std::ifstream lines(record_path);
  std::string line;
  while (std::getline(lines, line)) {
    const size_t place = line.find(" at i-");
    if (line.find("run " + name) != std::string::npos &&
        place != std::string::npos)
      return std::stoi(line.substr(place + 6));
  }
  return -1;
}

int Judge(const std::string& record_path) {
  std::map<std::string, std::vector<std::string>> runs;
  std::map<std::string, std::string> answers;
  std::ifstream lines(record_path);
  std::string line;
  while (std::getline(lines, line)) {
    std::istringstream words(line);
    std::string time;
    std::string unit;
    std::string what;
    std::string id;
    std::string rest;
    words >> time >> unit >> what >> id;
    std::getline(words, rest);
    if (what == "run")
      runs[id].push_back(rest);
    if (what == "answer")
      answers[id] = rest;
  }
  size_t twice = 0;
  size_t refused = 0;
  for (const auto& [id, places] : runs) {
    if (places.size() > 1) {
      ++twice;
      std::cout << "TWICE: " << id << " ran";
      for (const std::string& place : places)
        std::cout << place << ";";
      std::cout << " its client got" << answers[id] << "\n";
    }
    if (answers[id] == " 503") {
      ++refused;
      std::cout << "REFUSED: " << id << " ran" << places.front()
                << ", its client got 503\n";
    }
  }
  std::cout << answers.size() << " orders answered, " << runs.size() << " ran, "
            << twice << " of them more than once, " << refused
            << " were answered 503\n";
  if (runs.size() < static_cast<size_t>(Orders()))
    return 2;
  return (AllFull() ? refused : twice) > 0 ? 1 : 0;
}

int Main(const std::string& record_path) {
  signal(SIGPIPE, SIG_IGN);
  const TemporaryFolder folder;
  Record record(record_path);
  const std::string ip = LoopbackIp(0);
  // The replicas' processes start before any thread does.
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
    store.Put("keyed.servers", "i-" + std::to_string(i),
              ServerEntry("desk", addresses[static_cast<size_t>(i)], "ready", 1,
                          AllFull() ? kSlots : kManySlots));
  }
  Router router{.name = "front-1",
                .ip = LoopbackIp(1),
                .store = store.AddFront(ip)->address,
                .folder = folder.path()};
  router.Prepare();
  const auto process = router.Start();
  if (!router.AwaitReady(milliseconds(10'000)))
    return 2;
  // Short orders first, so that the router has kept connections.
  for (int round = 0; round < 3; ++round) {
    SendOrders(router, "short" + std::to_string(round), 100, record, [] {});
  }
  bool killed = false;
  SendOrders(router, "long", kBodyBytes, record, [&] {
    int replica = -1;
    while (replica < 0 && record.NowMs() < kLatestKillMs) {
      SleepMs(10);
      replica = FirstReplica(record_path, "long");
    }
    if (!HasTrouble() || replica < 0)
      return;
    SleepMs(kWorkMs / 2);
    record.Line("kill i-" + std::to_string(replica));
    replicas[static_cast<size_t>(replica)]->Kill();
    killed = true;
  });
  if (HasTrouble() && !killed)
    return 2;
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
