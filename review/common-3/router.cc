#include "review/common-3/router.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>

namespace review {
namespace {

constexpr char kProgram[] = "target/hawthornhollow-entry";

std::string AddressOf(int port) {
  return "\"127.0.0.1:" + std::to_string(port) + "\"";
}

std::string TemporaryFolder() {
  std::string name = std::filesystem::temp_directory_path() / "review-3-XXXXXX";
  return mkdtemp(name.data()) == nullptr ? "." : name;
}

}  // namespace

void Record::Write(const std::string& line, bool is_detail) {
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f ", Seconds());
  const std::lock_guard lock(mutex_);
  file_ << time << line << std::endl;
  if (!is_detail)
    std::printf("%s%s\n", time, line.c_str());
  std::fflush(stdout);
}

double Record::Seconds() const {
  return std::chrono::duration<double>(Clock::now() - begin_).count();
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

Router::Router(RouterSettings settings)
    : settings_(std::move(settings)), folder_(TemporaryFolder()) {}

Router::~Router() {
  Kill();
  std::error_code ignored;
  std::filesystem::remove(folder_ + "/settings.json", ignored);
  std::filesystem::remove(folder_ + "/log.txt", ignored);
  std::filesystem::remove(folder_, ignored);
}

void Router::Start() {
  const std::string file = folder_ + "/settings.json";
  // As in the users' DEPLOY page, with the bounds of a small site.
  std::ofstream(file)
      << "{\"node\":\"" << settings_.node
      << "\",\"role\":\"entry\",\"machine_class\":\"front\",\"serves\":"
         "[\"front\",\"control\"],\"ip\":\"127.0.0.1\",\"zone\":\""
      << settings_.zone << "\",\"region\":\"valley\",\"listen\":{\"front\":"
      << AddressOf(callers_) << ",\"ready\":" << AddressOf(readiness_)
      << ",\"control\":" << AddressOf(control_)
      << "},\"limits\":{\"cpu_share\":0.19,\"cores\":1,\"memory_mb\":"
      << settings_.memory_mb
      << ",\"max_fds\":4100,\"link_mbps\":1000.0,\"disk_mb\":0},"
         "\"data_dir\":null,\"beat_interval_ms\":1200,\"bounds\":"
         "{\"addr_reuse_s\":2,\"contact_ms\":3000,\"ack_ms\":4000,"
         "\"catch_up_s\":4,\"drain_ms\":2000,\"grace_s\":8,"
         "\"loss_slack_ms\":200,\"config_apply_ms\":2000,"
         "\"rollback_slack_ms\":250,\"max_stretch_ms\":5000,"
         "\"retry_ratio\":0.2,\"retry_window_s\":10,\"retry_slack\":52,"
         "\"recover_s\":12,\"pass_ms\":120,\"again_s\":10,"
         "\"settle_ms\":1500},\"platform\":{\"address\":"
      << AddressOf(settings_.store_port) << ",\"form\":\"log\"}}\n";
  const std::string log = folder_ + "/log.txt";
  const std::string metrics = std::to_string(metrics_);
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ != 0)
    return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent)
    _exit(2);
  const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  setenv("HAWTHORNHOLLOW_SETTINGS", file.c_str(), 1);
  execl(kProgram, kProgram, "--metrics-port", metrics.c_str(), nullptr);
  _exit(127);
}

void Router::Kill() {
  if (pid_ <= 0)
    return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

void Router::Terminate() const {
  if (pid_ > 0)
    kill(pid_, SIGTERM);
}

bool Router::HasEnded(int* status) {
  if (pid_ <= 0)
    return true;
  if (waitpid(pid_, status, WNOHANG) != pid_)
    return false;
  pid_ = 0;
  return true;
}

bool Router::IsReady() const {
  return Exchange(readiness_,
                  {.method = "GET",
                   .target = "/ready",
                   .headers = {{"Host", "ready"}},
                   .body = ""},
                  Milliseconds(1000))
             .status == 200;
}

bool Router::AwaitReady(Milliseconds timeout) const {
  const auto until = Clock::now() + timeout;
  while (Clock::now() < until) {
    if (IsReady())
      return true;
    std::this_thread::sleep_for(Milliseconds(20));
  }
  return false;
}

long Router::ResidentKilobytes() const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  std::string word;
  long kilobytes = -1;
  while (status >> word) {
    if (word == "VmRSS:")
      status >> kilobytes;
  }
  return kilobytes;
}

}  // namespace review
