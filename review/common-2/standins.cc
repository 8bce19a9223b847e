#include "review/common-2/standins.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>

namespace review {
namespace {

std::string BigEndian(uint64_t value, int bytes) {
  std::string text;
  for (int i = bytes; i-- > 0;)
    text += static_cast<char>(value >> (8 * i) & 0xff);
  return text;
}

uint64_t FromBigEndian(const std::string& text, size_t at, size_t bytes) {
  uint64_t value = 0;
  for (size_t i = 0; i < bytes; ++i)
    value = value << 8 | static_cast<unsigned char>(text[at + i]);
  return value;
}

std::string Base64(const std::string& text) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (size_t i = 0; i < text.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group =
          group << 8 |
          (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
    }
    for (size_t j = 0; j < 4; ++j) {
      encoded +=
          i + j <= text.size() ? kDigits[group >> (18 - 6 * j) & 0x3f] : '=';
    }
  }
  return encoded;
}

std::string Response(int status,
                     const std::string& body,
                     const std::string& type = "application/json") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: " + type +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

int64_t NumberOf(const std::map<std::string, std::string>& query,
                 const std::string& name,
                 int64_t absent) {
  const auto found = query.find(name);
  return found == query.end()
             ? absent
             : std::strtoll(found->second.c_str(), nullptr, 10);
}

std::string TextOf(const std::map<std::string, std::string>& query,
                   const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() ? "" : found->second;
}

std::string Ends(int64_t offset, int64_t end) {
  return "{\"offset\":" + std::to_string(offset) +
         ",\"end\":" + std::to_string(end) + "}";
}

// Processes of machines that run now.
std::mutex running_mutex;
std::set<pid_t> running;

void NoteRunning(pid_t pid, bool runs) {
  const std::lock_guard<std::mutex> lock(running_mutex);
  if (runs)
    running.insert(pid);
  else
    running.erase(pid);
}

int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Record::Record(const std::string& file) : file_(file), begin_(Now()) {
  std::ofstream(file_, std::ios::trunc);
}

void Record::Line(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f s  ", Now() - begin_);
  std::ofstream(file_, std::ios::app) << time << text << "\n";
}

Store::Store(const std::string& ip) {
  listener_ = std::make_unique<Listener>(
      Address{ip, 0}, [this](Socket& socket) { Serve(socket); });
}

void Store::Add(Topic* topic, const std::string& key, std::string value) {
  if (value.empty())
    topic->newest.erase(key);
  else
    topic->newest[key] = static_cast<int64_t>(topic->records.size());
  topic->records.push_back({key, std::move(value)});
}

void Store::Put(const std::string& topic,
                const std::string& key,
                const std::string& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Add(&topics_[topic], key, value);
}

void Store::TakeCopy() {
  const std::lock_guard<std::mutex> lock(mutex_);
  copy_ = topics_;
}

void Store::GoAway() {
  const std::lock_guard<std::mutex> lock(mutex_);
  is_away_ = true;
}

void Store::ComeBack() {
  const std::lock_guard<std::mutex> lock(mutex_);
  topics_ = copy_;
  ++era_;
  is_away_ = false;
}

void Store::Serve(Socket& socket) {
  constexpr double kIdle = 600;
  constexpr double kAnswerTime = 0.004;
  Reader reader(socket);
  Message request;
  while (reader.ReadRequest(&request, kIdle) == Reader::End::kWhole) {
    std::string answer = Answer(request);
    const size_t head = answer.find("\r\n") + 2;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      answer.insert(head, "Store-Era: " + std::to_string(era_) + "\r\n");
    }
    Sleep(kAnswerTime);
    if (!socket.Send(answer))
      return;
  }
}

std::string Store::Answer(const Message& request) {
  const std::string target = request.Target();
  const std::string path = PathOf(target);
  const std::lock_guard<std::mutex> lock(mutex_);
  if (is_away_)
    return Response(503, "{}");
  // A request line that HTTP does not allow.
  if (target.find(' ') != std::string::npos)
    return Response(400, "{}");
  if (path == "/log-append")
    return Append(request);
  if (path == "/log-read")
    return Read(QueryOf(target));
  if (path == "/log-newest")
    return Newest(QueryOf(target));
  return Response(404, "{}");
}

std::string Store::Append(const Message& request) {
  const auto query = QueryOf(request.Target());
  const std::string name = TextOf(query, "topic");
  if (name == "keyed.op" || name == "keyed.servers")
    return Response(403, "{}");
  Topic& topic = topics_[name];
  const auto end = static_cast<int64_t>(topic.records.size());
  if (NumberOf(query, "at", end) != end)
    return Response(412, Ends(end, end));
  const std::string writer = TextOf(query, "producer");
  if (!writer.empty()) {
    const std::pair place(NumberOf(query, "epoch", 0),
                          NumberOf(query, "sequence", 0));
    const auto last = topic.writers.find(writer);
    if (last != topic.writers.end()) {
      if (place.first < last->second.first)
        return Response(409, "{\"reason\":\"fenced\"}");
      if (place.first == last->second.first) {
        const auto& answers = topic.answers[writer];
        const auto repeated = answers.find(place.second);
        if (repeated != answers.end())
          return repeated->second;
        if (place.second != last->second.second + 1) {
          return Response(409, "{\"reason\":\"seq\",\"sequence\":" +
                                   std::to_string(last->second.second + 1) +
                                   "}");
        }
      } else {
        topic.answers[writer].clear();
      }
    }
    topic.writers[writer] = place;
  }
  const std::string& body = request.body;
  constexpr size_t kLengthBytes = 4;
  for (size_t at = 0; at + kLengthBytes <= body.size();) {
    const size_t length = FromBigEndian(body, at, kLengthBytes);
    const std::string record = body.substr(at + kLengthBytes, length);
    at += kLengthBytes + length;
    const size_t key_bytes = static_cast<unsigned char>(record[0]);
    Add(&topic, record.substr(1, key_bytes), record.substr(1 + key_bytes));
  }
  const std::string answer =
      Response(200, Ends(end, static_cast<int64_t>(topic.records.size())));
  if (!writer.empty()) {
    auto& answers = topic.answers[writer];
    answers[topic.writers[writer].second] = answer;
    constexpr size_t kRepeatable = 5;
    while (answers.size() > kRepeatable)
      answers.erase(answers.begin());
  }
  return answer;
}

std::string Store::Read(const std::map<std::string, std::string>& query) {
  const Topic& topic = topics_[TextOf(query, "topic")];
  constexpr size_t kMostBytes = 1024 * 1024;
  std::string body = BigEndian(topic.records.size(), 8) + BigEndian(0, 8);
  const int64_t from = NumberOf(query, "from", 0);
  if (from > static_cast<int64_t>(topic.records.size()))
    return Response(410, "{\"first\":0}");
  for (auto i = static_cast<size_t>(from); i < topic.records.size(); ++i) {
    const Entry& entry = topic.records[i];
    const std::string record =
        BigEndian(entry.key.size(), 1) + entry.key + entry.value;
    if (body.size() + record.size() > kMostBytes && body.size() > 16)
      break;
    body += BigEndian(record.size(), 4) + record;
  }
  return Response(200, body, "application/octet-stream");
}

std::string Store::Newest(const std::map<std::string, std::string>& query) {
  const Topic& topic = topics_[TextOf(query, "topic")];
  constexpr size_t kMostItems = 500;
  constexpr size_t kMostBytes = 1024 * 1024;
  const std::string after = TextOf(query, "after");
  std::string items;
  size_t count = 0;
  bool has_more = false;
  for (const auto& [key, offset] : topic.newest) {
    if (query.contains("after") && key <= after)
      continue;
    const std::string item =
        "{\"key\":" + JsonText(key) + ",\"value\":\"" +
        Base64(topic.records[static_cast<size_t>(offset)].value) +
        "\",\"offset\":" + std::to_string(offset) + "}";
    if (count == kMostItems ||
        (count > 0 && items.size() + item.size() > kMostBytes)) {
      has_more = true;
      break;
    }
    items += (count++ == 0 ? "" : ",") + item;
  }
  return Response(200, "{\"items\":[" + items +
                           "],\"has_more\":" + (has_more ? "true" : "false") +
                           ",\"end\":" + std::to_string(topic.records.size()) +
                           "}");
}

Replica::Replica(Store& store,
                 std::string id,
                 std::string service,
                 const std::string& ip,
                 Handler handler)
    : store_(store),
      id_(std::move(id)),
      service_(std::move(service)),
      handler_(std::move(handler)),
      born_ms_(UnixMilliseconds()) {
  listener_ = std::make_unique<Listener>(
      Address{ip, 0}, [this](Socket& socket) { Serve(socket); });
  local_ = listener_->local();
  std::thread([this] { Beat(); }).detach();
}

void Replica::Crash(double seconds) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    listener_.reset();
    for (const int fd : connections_)
      shutdown(fd, SHUT_RDWR);
  }
  std::thread([this, seconds] {
    Sleep(seconds);
    const std::lock_guard<std::mutex> lock(mutex_);
    born_ms_ = UnixMilliseconds();
    listener_ = std::make_unique<Listener>(
        local_, [this](Socket& socket) { Serve(socket); });
  }).detach();
}

void Replica::Beat() {
  constexpr double kBeatInterval = 1.2;
  for (int64_t sequence = 1;; ++sequence) {
    int64_t born = 0;
    bool is_up = false;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      born = born_ms_;
      is_up = listener_ != nullptr;
    }
    if (is_up) {
      store_.Put("keyed.servers", id_,
                 "{\"service\":" + JsonText(service_) + ",\"address\":\"" +
                     local_.ToString() +
                     "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":64,"
                     "\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":" +
                     std::to_string(born) +
                     ",\"sequence\":" + std::to_string(sequence) + "}");
    }
    Sleep(kBeatInterval);
  }
}

void Replica::Serve(Socket& socket) {
  constexpr double kIdle = 600;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    connections_.insert(socket.fd());
  }
  Reader reader(socket);
  Message request;
  while (reader.ReadRequest(&request, kIdle) == Reader::End::kWhole) {
    const std::string expected = request.Header("Expect-Replica");
    if (!expected.empty() && expected != id_) {
      socket.Send("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " +
                  request.Header("Attempt-Id") + "\r\nReplica-Id: " + id_ +
                  "\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    if (!handler_(request, socket))
      break;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  connections_.erase(socket.fd());
}

std::string SealedAnswer(const Message& request,
                         const std::string& status,
                         const std::string& body,
                         const std::string& more_headers) {
  return "HTTP/1.1 " + status +
         "\r\nAttempt-Id: " + request.Header("Attempt-Id") +
         "\r\nReplica-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" + more_headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Machine::Machine(const Options& options,
                 const Store& store,
                 const std::string& dir)
    : options_(options),
      front_{options.ip, FreePort(options.ip)},
      ready_{options.ip, FreePort(options.ip)},
      settings_file_(dir + "/" + options.name + ".json"),
      log_file_(dir + "/" + options.name + ".log") {
  const Address control{options.ip, FreePort(options.ip)};
  std::ofstream(settings_file_)
      << "{\"node\":\"" << options.name << "\",\"role\":\"entry\","
      << "\"machine_class\":\"front\",\"serves\":[\"front\",\"control\"],"
      << "\"ip\":\"" << options.ip << "\",\"zone\":\"" << options.zone
      << "\",\"region\":\"r\",\"listen\":{\"front\":\"" << front_.ToString()
      << "\",\"ready\":\"" << ready_.ToString() << "\",\"control\":\""
      << control.ToString() << "\"},\"limits\":{\"cpu_share\":0.19,"
      << "\"cores\":1,\"memory_mb\":" << options.memory_mb
      << ",\"max_fds\":4100,\"link_mbps\":1000.0},\"data_dir\":null,"
      << "\"beat_interval_ms\":1200,\"bounds\":{\"contact_ms\":3000,"
      << "\"drain_ms\":2000,\"grace_s\":8,\"config_apply_ms\":2000,"
      << "\"retry_ratio\":0.2,\"retry_window_s\":10,\"retry_slack\":52},"
      << "\"platform\":{\"address\":\"" << store.address().ToString()
      << "\",\"form\":\"log\",\"writes_per_s\":800,\"reads_per_s\":2000}}\n";
}

Machine::~Machine() {
  Kill();
}

void Machine::Start() {
  const std::string program = EntryProgram();
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ != 0) {
    NoteRunning(pid_, true);
    return;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent)
    _exit(127);
  const int log =
      open(log_file_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  setenv("HAWTHORNHOLLOW_SETTINGS", settings_file_.c_str(), 1);
  execl(program.c_str(), program.c_str(), "--metrics-port", "9464", nullptr);
  _exit(127);
}

bool Machine::IsReady() const {
  const Socket socket(Connect(ready_, 0.2));
  Reader reader(socket);
  Message response;
  return socket.ok() && socket.Send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
         reader.ReadResponse(&response, 1) == Reader::End::kWhole &&
         response.Status() == 200;
}

bool Machine::AwaitReady(double seconds) const {
  const double end = Now() + seconds;
  while (Now() < end) {
    if (IsReady())
      return true;
    Sleep(0.05);
  }
  return false;
}

void Machine::Signal(int signal) const {
  if (pid_ > 0)
    kill(pid_, signal);
}

void Machine::Kill() {
  if (pid_ <= 0)
    return;
  kill(pid_, SIGKILL);
  int status = 0;
  waitpid(pid_, &status, 0);
  NoteRunning(pid_, false);
  pid_ = -1;
}

bool Machine::HasEnded(int* status) {
  if (pid_ <= 0 || waitpid(pid_, status, WNOHANG) != pid_)
    return false;
  NoteRunning(pid_, false);
  pid_ = -1;
  return true;
}

double Machine::MemoryMb() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind("VmRSS:", 0) == 0)
      return std::atof(line.c_str() + 6) / 1024;
  }
  return 0;
}

void Finish(int code) {
  {
    const std::lock_guard<std::mutex> lock(running_mutex);
    for (const pid_t pid : running) {
      int status = 0;
      kill(pid, SIGKILL);
      waitpid(pid, &status, 0);
    }
  }
  std::fflush(stdout);
  std::filesystem::remove_all(TemporaryFolder());
  std::_Exit(code);
}

void FinishAfter(double seconds) {
  std::thread([seconds] {
    Sleep(seconds);
    std::fprintf(stderr, "the case took too long\n");
    Finish(2);
  }).detach();
}

std::string EntryProgram() {
  return "target/hawthornhollow-entry";
}

std::string TemporaryFolder() {
  static const std::string folder = [] {
    char name[] = "/tmp/review-2-XXXXXX";
    const char* made = mkdtemp(name);
    if (made == nullptr)
      std::_Exit(2);
    return std::string(made);
  }();
  return folder;
}

bool IsTroublePlayed() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

std::string ConfigText(int version, const std::vector<RouteText>& routes) {
  std::string text =
      "{\"version\":" + std::to_string(version) + ",\"routes\":[";
  std::set<std::string> services;
  for (size_t i = 0; i < routes.size(); ++i) {
    const RouteText& route = routes[i];
    services.insert(route.service);
    text +=
        std::string(i == 0 ? "" : ",") + "{\"name\":\"" + route.name +
        "\",\"host\":\"h.example\",\"path_prefix\":\"" + route.prefix +
        "\",\"kind\":\"" + route.kind +
        "\",\"timeout_ms\":" + std::to_string(route.timeout_ms) +
        ",\"target_latency_ms\":" + std::to_string(route.target_ms) +
        ",\"priority\":0,\"max_attempts\":" + std::to_string(route.attempts) +
        ",\"service\":\"" + route.service + "\"}";
  }
  text += "],\"services\":[";
  bool is_first = true;
  for (const std::string& service : services) {
    text += std::string(is_first ? "" : ",") + "{\"name\":\"" + service +
            "\",\"health_path\":\"/health\"}";
    is_first = false;
  }
  return text +
         "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
         "\"header_timeout_ms\":5000,\"idle_timeout_ms\":30000},"
         "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\"]}]}";
}

std::string RequestText(const std::string& method,
                        const std::string& path,
                        const std::string& id,
                        int deadline_ms,
                        const std::string& body,
                        const std::string& more_headers) {
  std::string text = method + " " + path +
                     " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id +
                     "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
                     "\r\nAuthorization: Token k1\r\n" + more_headers;
  if (method == "POST" || !body.empty())
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

}  // namespace review
