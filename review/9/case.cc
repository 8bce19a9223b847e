// Case 9 (LOST): while a route is quiet, one ordinary crash of a replica and
// two crashes by a harmful part of prompts make the entry program blame the
// first part, which the route's sound requests share.

#include <atomic>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "review/common-2/standins.h"

namespace review {
namespace {

constexpr char kFirstPart[] = "a1";
constexpr char kHarmfulPart[] = "dead";
constexpr int kReplicas = 7;
constexpr int kRequests = 30;  // before the quiet time, and in the rule's span
constexpr double kBetweenRequests = 0.2;
constexpr double kQuietTime = 11;
constexpr double kBetweenCrashes = 2.5;
constexpr double kDownTime = 4;
constexpr double kContact = 3;
constexpr double kPrefillTime = 0.1;

std::string Config() {
  return R"({"version":1,"routes":[{"name":"note","host":"h.example",)"
         R"("path_prefix":"/note/","kind":"stream","timeout_ms":6000,)"
         R"("target_latency_ms":1500,"gap_aim_ms":500,"sticky":true,)"
         R"("priority":1,"max_attempts":1,"service":"llm"},)"
         R"({"name":"lookup","host":"h.example","path_prefix":"/lookup/",)"
         R"("kind":"idempotent","timeout_ms":1500,"target_latency_ms":300,)"
         R"("priority":2,"max_attempts":2,"service":"app"}],)"
         R"("services":[{"name":"llm","health_path":"/health",)"
         R"("engine":{"stride":4}},{"name":"app","health_path":"/health"}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
         R"("header_timeout_ms":5000,"idle_timeout_ms":30000},)"
         R"("tenants":[{"name":"t1","api_keys":["k1"]}]})";
}

std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

class Scene {
 public:
  explicit Scene(const std::string& record_file)
      : record_(record_file), store_("127.0.0.1") {
    store_.Put("keyed.op", "config", Config());
    for (int i = 1; i <= kReplicas; ++i) {
      const std::string id = "i-" + std::to_string(i);
      replicas_[id] = std::make_unique<Replica>(
          store_, id, "llm", "127.0.0.1",
          [this, id](const Message& request, Socket& socket) {
            return Serve(id, request, socket);
          });
    }
    app_ = std::make_unique<Replica>(
        store_, "i-app", "app", "127.0.0.1",
        [](const Message& request, Socket& socket) {
          return socket.Send(SealedAnswer(request, "200 OK", "found"));
        });
    machine_ = std::make_unique<Machine>(Machine::Options(), store_,
                                         TemporaryFolder());
  }

  [[noreturn]] void Play();

 private:
  bool Serve(const std::string& replica,
             const Message& request,
             Socket& socket);
  // Sends a request with these parts before its own one. Returns whether its
  // answer began.
  bool Ask(const std::string& parts);
  bool AskSound() { return Ask(std::string(kFirstPart) + ":800,c:400"); }
  bool AskHarmful() {
    return Ask(std::string(kFirstPart) + ":800," + kHarmfulPart + ":400");
  }

  const bool has_trouble_ = IsTroublePlayed();
  Record record_;
  Store store_;
  std::map<std::string, std::unique_ptr<Replica>> replicas_;
  std::unique_ptr<Replica> app_;
  std::unique_ptr<Machine> machine_;
  // The next request's replica crashes while it reads the prompt.
  std::atomic<bool> crashes_next_{false};
  std::atomic<int> crashes_{0};
  int sent_ = 0;
};

bool Scene::Serve(const std::string& replica,
                  const Message& request,
                  Socket& socket) {
  const std::string id = request.Header("Attempt-Id");
  const std::string prompt = request.Header("Prompt-Prefix");
  record_.Line(replica + " gets " + id + ", " + prompt);
  if (!socket.Send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                   "\r\nReplica-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
                   "Content-Type: text/event-stream\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n"))
    return false;
  Sleep(kPrefillTime);
  const bool is_harmful =
      has_trouble_ && prompt.find(kHarmfulPart) != std::string::npos;
  if (crashes_next_.exchange(false) || is_harmful) {
    ++crashes_;
    record_.Line(replica + " crashes " +
                 (is_harmful ? "as it begins to write on the harmful part"
                             : "for a reason of its own"));
    replicas_.at(replica)->Crash(kDownTime);
    return false;
  }
  for (int i = 1; i <= 10; ++i) {
    if (!socket.Send(Chunk("id: " + std::to_string(i) + "\ndata: w\n\n")))
      return false;
    Sleep(0.02);
  }
  return socket.Send("0\r\n\r\n");
}

bool Scene::Ask(const std::string& parts) {
  const std::string id = "note-" + std::to_string(sent_++);
  const Socket socket(Connect(machine_->front(), 1));
  Reader reader(socket);
  Message answer;
  const std::string prompt = parts + ",own" + std::to_string(sent_) + ":250";
  record_.Line("client sends " + id + ", " + prompt);
  const bool is_whole =
      socket.ok() &&
      socket.Send(RequestText("POST", "/note/a", id, 6000, "x",
                              "Model: m\r\nToken-Counts: 1450,40\r\n"
                              "Prompt-Prefix: " +
                                  prompt + "\r\n")) &&
      reader.ReadResponse(&answer, 8) == Reader::End::kWhole;
  record_.Line("client gets " + std::to_string(answer.Status()) +
               (is_whole ? " " : " broken off ") + "for " + id +
               (answer.Status() == 503 ? ": " + answer.body : ""));
  return answer.Status() == 200;
}

void Scene::Play() {
  machine_->Start();
  if (!machine_->AwaitReady(10))
    Finish(2);
  Sleep(kContact + 1);
  int before = 0;
  for (int i = 0; i < kRequests; ++i) {
    before += AskSound() ? 1 : 0;
    Sleep(kBetweenRequests);
  }
  record_.Line("the route is quiet");
  Sleep(kQuietTime);
  crashes_next_ = has_trouble_;
  AskSound();
  Sleep(kBetweenCrashes);
  AskHarmful();
  Sleep(kBetweenCrashes);
  AskHarmful();
  record_.Line("the last crash was now; the rule's span begins in " +
               std::to_string(2 * kContact) + " s");
  Sleep(2 * kContact);
  int after = 0;
  for (int i = 0; i < kRequests; ++i) {
    after += AskSound() ? 1 : 0;
    Sleep(kBetweenRequests);
    constexpr int kSoundForOneHarmful = 10;
    if (i % kSoundForOneHarmful == 0)
      AskHarmful();
  }
  const std::string result =
      std::to_string(before) + " of " + std::to_string(kRequests) +
      " sound requests began before, " + std::to_string(after) + " of " +
      std::to_string(kRequests) + " in the rule's span; " +
      std::to_string(crashes_) + " crashes";
  record_.Line(result);
  std::printf("%s\n", result.c_str());
  if (before < 20)
    Finish(2);
  Finish(2 * after < before ? 1 : 0);
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
