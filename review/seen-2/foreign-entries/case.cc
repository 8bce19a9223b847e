// Seen, no case (RECOVER): entries of another writer fill more than one page of
// the list of replicas, and their keys hold a character that a query has to
// encode. After all processes were killed, the entry programs never read the
// list again.

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "review/common-2/standins.h"

namespace review {
namespace {

constexpr int kMachines = 2;
constexpr int kRequests = 40;  // before the fault, and after the recovery
constexpr double kContact = 3;
constexpr double kDownTime = 1;
constexpr double kRecover = 12;
constexpr int kForeignEntries = 6;
// Less than the store's record_bytes, 262,144.
constexpr size_t kForeignBytes = 250'000;

class Scene {
 public:
  explicit Scene(const std::string& record_file)
      : record_(record_file), store_("127.0.0.1") {
    store_.Put("keyed.op", "config",
               ConfigText(1, {{.name = "lookup",
                               .prefix = "/lookup/",
                               .kind = "idempotent",
                               .service = "app",
                               .timeout_ms = 1500,
                               .target_ms = 300}}));
    for (int i = 1; i <= 3; ++i) {
      replicas_.push_back(std::make_unique<Replica>(
          store_, "i-" + std::to_string(i), "app", "127.0.0.1",
          [](const Message& request, Socket& socket) {
            return socket.Send(SealedAnswer(request, "200 OK", "found"));
          }));
    }
    for (int i = 0; i < kMachines; ++i) {
      const std::string zone(1, static_cast<char>('a' + i));
      machines_.push_back(std::make_unique<Machine>(
          Machine::Options{.name = "front-" + zone + "-1",
                           .zone = zone,
                           .ip = "127.0.0." + std::to_string(i + 1)},
          store_, TemporaryFolder()));
    }
  }

  [[noreturn]] void Play();

 private:
  // Returns how many of the requests were served.
  int AskAll(const std::string& name);

  Record record_;
  Store store_;
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::vector<std::unique_ptr<Machine>> machines_;
};

int Scene::AskAll(const std::string& name) {
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    const Machine& machine = *machines_[static_cast<size_t>(i % kMachines)];
    const std::string id = name + "-" + std::to_string(i);
    const Socket socket(Connect(machine.front(), 1));
    Reader reader(socket);
    Message answer;
    record_.Line("client sends " + id + " to " + machine.options().name);
    const bool is_whole =
        socket.ok() &&
        socket.Send(RequestText("GET", "/lookup/a", id, 1500, "")) &&
        reader.ReadResponse(&answer, 3) == Reader::End::kWhole;
    record_.Line("client gets " + std::to_string(answer.Status()) + " for " +
                 id + (answer.Status() == 503 ? ": " + answer.body : ""));
    served += is_whole && answer.Status() == 200 ? 1 : 0;
    Sleep(0.05);
  }
  return served;
}

void Scene::Play() {
  for (const auto& machine : machines_)
    machine->Start();
  for (const auto& machine : machines_) {
    if (!machine->AwaitReady(10))
      Finish(2);
  }
  Sleep(kContact + 1);
  if (IsTroublePlayed()) {
    for (int i = 1; i <= kForeignEntries; ++i) {
      const std::string key = "r&d-" + std::to_string(i);
      record_.Line("another writer puts servers/" + key + ", " +
                   std::to_string(kForeignBytes) + " bytes that are no entry");
      store_.Put("keyed.servers", key, std::string(kForeignBytes, '\x01'));
    }
  }
  Sleep(2);
  const int before = AskAll("before");
  record_.Line("all processes are killed");
  for (const auto& machine : machines_)
    machine->Kill();
  Sleep(kDownTime);
  record_.Line("all processes are started");
  for (const auto& machine : machines_)
    machine->Start();
  Sleep(kRecover);
  for (const auto& machine : machines_) {
    record_.Line(machine->options().name + " is " +
                 (machine->IsReady() ? "ready" : "not ready"));
  }
  const int after = AskAll("after");
  const std::string result =
      std::to_string(before) + " of " + std::to_string(kRequests) +
      " requests served before the fault, " + std::to_string(after) + " of " +
      std::to_string(kRequests) + " sent later than recover_s after it";
  record_.Line(result);
  std::printf("%s\n", result.c_str());
  constexpr int kQuarter = 4;
  if (before * kQuarter < kRequests)
    Finish(2);
  Finish(after * kQuarter < kRequests ? 1 : 0);
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
