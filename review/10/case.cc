// Case 10 (RECOVER), as a script beside the day: in a drill the store comes
// back from a copy some seconds old, and one entry process is killed while it
// is away. After the final fault nothing is served, though over half of the
// prepaid total is left.

#include <array>
#include <atomic>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "review/common-2/standins.h"

namespace review {
namespace {

constexpr int kMachines = 4;
constexpr int kClients = 8;
constexpr double kRequestsPerSecond = 60;
constexpr int64_t kPrepaid = 400'000;
constexpr int kPromptTokens = 100;
constexpr int kMaxOutputTokens = 40;
constexpr int kEvents = 10;
constexpr int kTokensPerEvent = 4;
constexpr double kCopyBeforeConfig = 1;
constexpr double kTrafficBeforeDrill = 1.5;
constexpr double kAway = 2;
constexpr double kDown = 0.5;  // of the process that is killed in the drill
constexpr double kTrafficAfterDrill = 20;
constexpr double kDownAtTheEnd = 1;
constexpr double kRecover = 12;
constexpr double kJudged = 8;

std::string Config() {
  return "{\"version\":1,\"routes\":[{\"name\":\"note\",\"host\":\"h.example\","
         "\"path_prefix\":\"/note/\",\"kind\":\"stream\",\"timeout_ms\":6000,"
         "\"target_latency_ms\":1500,\"gap_aim_ms\":500,\"sticky\":true,"
         "\"resumable\":true,\"priority\":0,\"max_attempts\":2,"
         "\"service\":\"llm\"}],\"services\":[{\"name\":\"llm\","
         "\"health_path\":\"/health\",\"engine\":{\"stride\":" +
         std::to_string(kTokensPerEvent) +
         "}}],\"limits\":{\"max_header_bytes\":16384,"
         "\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,"
         "\"idle_timeout_ms\":30000},\"tenants\":[{\"name\":\"t1\","
         "\"api_keys\":[\"k1\"],\"prepaid\":" +
         std::to_string(kPrepaid) + "}]}";
}

std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

// Spans of the case, by when a request is sent.
enum Span { kBefore, kRecovering, kAfter, kSpans };

struct Count {
  std::atomic<int> sent{0};
  std::atomic<int> served{0};
};

class Scene {
 public:
  explicit Scene(const std::string& record_file)
      : record_(record_file), store_("127.0.0.1") {
    for (int i = 1; i <= 3; ++i) {
      replicas_.push_back(std::make_unique<Replica>(
          store_, "i-" + std::to_string(i), "llm", "127.0.0.1",
          [](const Message& request, Socket& socket) {
            std::string answer =
                "HTTP/1.1 200 OK\r\nAttempt-Id: " +
                request.Header("Attempt-Id") +
                "\r\nReplica-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n";
            for (int event = 1; event <= kEvents; ++event)
              answer +=
                  Chunk("id: " + std::to_string(event) + "\ndata: words\n\n");
            return socket.Send(answer + "0\r\n\r\n");
          }));
    }
    for (int i = 0; i < kMachines; ++i) {
      const std::string zone(1, static_cast<char>('a' + i % 3));
      machines_.push_back(std::make_unique<Machine>(
          Machine::Options{
              .name = "front-" + zone + "-" + std::to_string(i / 3 + 1),
              .zone = zone,
              .ip = "127.0.0." + std::to_string(i + 1)},
          store_, TemporaryFolder()));
    }
  }

  [[noreturn]] void Play();

 private:
  void Drill();
  void SendRequests();

  Record record_;
  Store store_;
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::atomic<int> span_{kBefore};
  std::atomic<int> sent_{0};
  std::atomic<int64_t> used_{0};
  std::array<Count, kSpans> counts_;
};

void Scene::SendRequests() {
  while (true) {
    const int number = sent_++;
    Count& count = counts_[static_cast<size_t>(span_)];
    const Machine& machine =
        *machines_[static_cast<size_t>(number % kMachines)];
    const std::string id = "note-" + std::to_string(number);
    const Socket socket(Connect(machine.front(), 0.2));
    Reader reader(socket);
    Message answer;
    const std::string headers =
        "Model: m\r\nToken-Counts: " + std::to_string(kPromptTokens) + "," +
        std::to_string(kMaxOutputTokens) + "\r\nPrompt-Prefix: a1:60,b" +
        std::to_string(number) + ":40\r\n";
    ++count.sent;
    const bool is_served =
        socket.ok() &&
        socket.Send(RequestText("POST", "/note/a", id, 6000, "x", headers)) &&
        reader.ReadResponse(&answer, 8) == Reader::End::kWhole &&
        answer.Status() == 200;
    count.served += is_served ? 1 : 0;
    if (is_served)
      used_ += kPromptTokens + kEvents * kTokensPerEvent;
    record_.Line(id + " at " + machine.options().name + ": " +
                 std::to_string(answer.Status()) +
                 (answer.Status() == 503 ? " " + answer.body : ""));
    Sleep(kClients / kRequestsPerSecond);
  }
}

void Scene::Drill() {
  record_.Line("the store is away");
  store_.GoAway();
  Sleep(kDown);
  Machine& machine = *machines_[1];
  record_.Line(machine.options().name + " is killed");
  machine.Kill();
  Sleep(kDown);
  record_.Line(machine.options().name + " is started");
  machine.Start();
  Sleep(kAway - 2 * kDown);
  store_.ComeBack();
  // "What the operator and the replicas wrote is written again."
  store_.Put("keyed.op", "config", Config());
  record_.Line("the store is back from its copy");
}

void Scene::Play() {
  for (const auto& machine : machines_)
    machine->Start();
  Sleep(4);
  store_.TakeCopy();
  record_.Line("the copy is made");
  Sleep(kCopyBeforeConfig);
  store_.Put("keyed.op", "config", Config());
  for (const auto& machine : machines_) {
    if (!machine->AwaitReady(10))
      Finish(2);
  }
  for (int i = 0; i < kClients; ++i)
    std::thread([this] { SendRequests(); }).detach();
  Sleep(kTrafficBeforeDrill);
  if (IsTroublePlayed())
    Drill();
  Sleep(kTrafficAfterDrill);
  span_ = kRecovering;
  record_.Line("all processes are killed");
  for (const auto& machine : machines_)
    machine->Kill();
  Sleep(kDownAtTheEnd);
  for (const auto& machine : machines_)
    machine->Start();
  record_.Line("all processes are started");
  Sleep(kRecover);
  const int64_t used = used_;
  span_ = kAfter;
  record_.Line("recover_s is over");
  Sleep(kJudged);
  const Count& before = counts_[kBefore];
  const Count& after = counts_[kAfter];
  const std::string result =
      std::to_string(before.served) + " of " + std::to_string(before.sent) +
      " served before the final fault, " + std::to_string(after.served) +
      " of " + std::to_string(after.sent) +
      " sent later than recover_s after it; " + std::to_string(used) + " of " +
      std::to_string(kPrepaid) + " tokens were used by then";
  record_.Line(result);
  std::printf("%s\n", result.c_str());
  constexpr int kQuarter = 4;
  if (before.served * kQuarter < before.sent || after.sent == 0)
    Finish(2);
  Finish(after.served * kQuarter < after.sent ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 2)
    return 2;
  review::FinishAfter(110);
  auto* const scene = new review::Scene(argv[1]);
  scene->Play();
}
