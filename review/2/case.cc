// Case 2: a part of a prompt crashes each replica that begins to write an
// answer on it, before the first byte of the answer is on its way. The router
// goes on sending such requests to replicas.
// CRASH_AT=head sends the head of the answer before the crash, CRASH_AT=event
// its first event too.
// Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not
// run.

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

#include "review/standin/standin.h"

namespace review {
namespace {

constexpr int kReplicas = 7;
constexpr int kClients = 10;
constexpr int64_t kPrefillMs = 100;
constexpr int64_t kEvents = 10;
constexpr int64_t kEventMs = 40;
constexpr int64_t kBackAfterMs = 3000;  // "back after some seconds"
constexpr int64_t kContactMs = 3000;    // bound contact_ms of the site
constexpr int64_t kDeadlyFromMs = 2000;
constexpr int64_t kDeadlyGapMs = 1500;
constexpr int64_t kEndMs = 24'000;
constexpr char kDeadlyPart[] = "dead0001";

// What a replica sends before it crashes: "" (nothing), "head" or "event".
std::string CrashesAt() {
  const char* at = std::getenv("CRASH_AT");
  return at == nullptr ? "" : at;
}

std::string EventChunk(int64_t number) {
  const std::string event = "id: " + std::to_string(number) + "\ndata: x\n\n";
  std::ostringstream chunk;
  chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
  return chunk.str();
}

class Replica {
 public:
  Replica(std::string id, const Address& local, Record& record)
      : id_(std::move(id)), local_(local), record_(record) {}

  // Starts the replica's process anew some seconds after each crash.
  void Supervise() {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    while (true) {
      record_.Line("start " + id_);
      const pid_t child = fork();
      if (child == 0)
        Run();
      waitpid(child, nullptr, 0);
      SleepMs(kBackAfterMs);
    }
  }

 private:
  [[noreturn]] void Run() {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const Server server(local_,
                        [this](Connection& connection) { Serve(connection); });
    while (true)
      SleepMs(1000);
  }

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
      record_.Line("arrive " + request + " at " + id_);
      SleepMs(kPrefillMs);
      const bool is_deadly =
          head->Header("Prompt-Prefix").find(kDeadlyPart) != std::string::npos;
      const std::string answer = "HTTP/1.1 200 OK\r\nAttempt-Id: " + request +
                                 "\r\nReplica-Seal: proof-" + id_ +
                                 "\r\nContent-Type: text/event-stream\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n";
      if (is_deadly) {
        record_.Line("crash " + request + " at " + id_);
        if (CrashesAt() != "")
          connection.Send(answer);
        if (CrashesAt() == "event")
          connection.Send(EventChunk(1));
        SleepMs(5);
        kill(getpid(), SIGKILL);
      }
      if (!connection.Send(answer))
        return;
      const std::string resume = head->Header("Last-Event-Id");
      for (int64_t i = resume.empty() ? 1 : std::stoll(resume) + 1;
           i <= kEvents; ++i) {
        if (!connection.Send(EventChunk(i)))
          return;
        SleepMs(kEventMs);
      }
      if (!connection.Send("0\r\n\r\n"))
        return;
    }
  }

  const std::string id_;
  const Address local_;
  Record& record_;
};

constexpr char kConfig[] = R"({"version":3,
 "routes":[{"name":"layout","host":"h.example","path_prefix":"/layout/",
  "kind":"stream","timeout_ms":10000,"target_latency_ms":1000,
  "service":"writer","max_attempts":2,"resumable":true,"sticky":true}],
 "services":[{"name":"writer","health_path":"/health",
  "engine":{"stride":4}}],
 "tenants":[{"name":"ward","api_keys":["k1"]}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":5000,"idle_timeout_ms":60000}})";

void Send(const Router& router,
          const std::string& id,
          const std::string& part,
          Record& record) {
  record.Line("sent " + id);
  const ClientAnswer answer = SendRequest(
      router.callers,
      {.id = id,
       .path = "/layout/new",
       .deadline_ms = 10'000,
       .more_headers = "Model: m\r\nToken-Counts: 320,40\r\nPrompt-Prefix: "
                       "ba5e0001:200," +
                       part + ":100," + id + ":20\r\n",
       .body = "text"});
  record.Line("answer " + id + " " + std::to_string(answer.status) + " " +
              (answer.is_whole ? "whole" : "cut"));
}

struct Line {
  int64_t at_ms = 0;
  std::string what;
  std::string id;
  std::string status;
  std::string last;
};

std::vector<Line> ReadRecord(const std::string& path) {
  std::vector<Line> lines;
  std::ifstream file(path);
  std::string text;
  while (std::getline(file, text)) {
    std::istringstream words(text);
    std::string unit;
    Line line;
    words >> line.at_ms >> unit >> line.what >> line.id >> line.status >>
        line.last;
    lines.push_back(line);
  }
  return lines;
}

int Judge(const std::string& record_path) {
  constexpr int kCounted = 5;
  constexpr int kAllowed = 3;
  int crashes = 0;
  int64_t fifth_ms = -1;
  int late = 0;
  int sound = 0;
  int sound_failed = 0;
  for (const Line& line : ReadRecord(record_path)) {
    const bool is_deadly = line.id.starts_with("d");
    if (line.what == "crash" && ++crashes == kCounted)
      fifth_ms = line.at_ms;
    const bool is_late = fifth_ms >= 0 && line.at_ms > fifth_ms + kContactMs;
    if (line.what == "arrive" && is_deadly && is_late)
      ++late;
    if (line.what == "answer" && !is_deadly) {
      ++sound;
      sound_failed += line.status != "200" || line.last != "whole" ? 1 : 0;
    }
  }
  std::cout << crashes << " crashes; " << late
            << " requests with the part reached replicas later than "
            << kContactMs << " ms after the fifth (at most " << kAllowed
            << "); " << sound_failed << " of " << sound
            << " sound requests failed\n";
  if (sound == 0 || (HasTrouble() && crashes == 0))
    return 2;
  return late > kAllowed ? 1 : 0;
}

// A replica that has started again registers itself with its new start.
void RegisterStarts(const std::string& record_path,
                    const std::map<std::string, Address>& addresses,
                    Store& store,
                    std::set<int64_t>* known) {
  for (const Line& line : ReadRecord(record_path)) {
    if (line.what != "start" || !addresses.contains(line.id))
      continue;
    const int64_t start = line.at_ms * 100 + line.id.back();
    if (!known->insert(start).second)
      continue;
    std::string entry =
        ServerEntry("writer", addresses.at(line.id), "ready", 1);
    const std::string born = "\"born\":1";
    entry.replace(entry.find(born), born.size(),
                  "\"born\":" + std::to_string(1'000'000 + start));
    store.Put("keyed.servers", line.id, entry);
  }
}

int Main(const std::string& record_path) {
  signal(SIGPIPE, SIG_IGN);
  const TemporaryFolder folder;
  Record record(record_path);
  const std::string ip = LoopbackIp(0);
  std::map<std::string, Address> addresses;
  std::vector<std::unique_ptr<Process>> replicas;
  for (int i = 0; i < kReplicas; ++i) {
    const std::string id = "i-" + std::to_string(i);
    const Address address = {ip, FreePort(ip)};
    addresses[id] = address;
    replicas.push_back(std::make_unique<Process>(
        [&] { Replica(id, address, record).Supervise(); }));
  }
  for (const auto& [id, address] : addresses) {
    while (Connect(address, milliseconds(500)) == nullptr)
      SleepMs(10);
  }
  Store store;
  store.Put("keyed.op", "config", kConfig);
  std::set<int64_t> known;
  RegisterStarts(record_path, addresses, store, &known);
  Router router{.name = "front-1",
                .ip = LoopbackIp(1),
                .store = store.AddFront(ip)->address,
                .folder = folder.path()};
  router.Prepare();
  const auto process = router.Start();
  if (!router.AwaitReady(milliseconds(10'000)))
    return 2;
  const int64_t begin_ms = record.NowMs();
  std::atomic<bool> stop = false;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      for (int n = 0; !stop; ++n) {
        const std::string id =
            "c" + std::to_string(i) + "a" + std::to_string(n);
        Send(router, id, "50" + std::to_string(i % 5), record);
        SleepMs(50);
      }
    });
  }
  if (HasTrouble()) {
    clients.emplace_back([&] {
      SleepMs(kDeadlyFromMs);
      std::vector<std::thread> deadly;
      for (int n = 0; !stop; ++n) {
        deadly.emplace_back([&, n] {
          Send(router, "d" + std::to_string(n), kDeadlyPart, record);
        });
        SleepMs(kDeadlyGapMs);
      }
      for (std::thread& one : deadly)
        one.join();
    });
  }
  while (record.NowMs() < begin_ms + kEndMs) {
    SleepMs(200);
    RegisterStarts(record_path, addresses, store, &known);
  }
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
