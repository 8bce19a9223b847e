#include "testing/processes.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <future>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "absl/time/clock.h"
#include "hawthornhollow/base/base.h"

namespace hawthornhollow {
namespace {

constexpr absl::Duration kWaitStep = absl::Milliseconds(2);
constexpr mode_t kFileMode = 0644;
constexpr std::string_view kReadyPrefix = "ready listen=";

absl::Status ErrnoAt(std::string_view step,
                     const std::string& peer,
                     int error_number) {
  return ErrorAt(absl::StatusCode::kInternal, step, peer,
                 std::strerror(error_number));
}

// Runs `argv` with the given standard error, and standard output to a file or,
// if that is not named, to `stdout_fd`.
absl::StatusOr<pid_t> Spawn(const std::vector<std::string>& argv,
                            int stdout_fd,
                            const std::string& stderr_path,
                            const std::string& stdout_path) {
  std::vector<char*> arguments;
  for (const std::string& argument : argv) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr int kAppend = O_WRONLY | O_CREAT | O_APPEND;
  if (stdout_path.empty()) {
    posix_spawn_file_actions_adddup2(&actions, stdout_fd, STDOUT_FILENO);
  } else {
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                     stdout_path.c_str(), kAppend, kFileMode);
  }
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, stderr_path.c_str(),
                                   kAppend, kFileMode);
  // A listening socket of the test's would stay open in the process.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  pid_t pid = 0;
  const int error = posix_spawn(&pid, argv[0].c_str(), &actions, nullptr,
                                arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    return ErrnoAt("process.spawn", argv[0], error);
  }
  return pid;
}

// Below the ports that the system gives to outgoing connections, one of which
// could otherwise take the port before the process that it is meant for.
constexpr int kFirstPort = 18'000;
constexpr int kLastPort = 32'000;
constexpr int kPortTries = 100;

bool CanListenOn(uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool bound =
      bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return bound;
}

// Ports that this process or another that runs tests has drawn, until the
// process ends: each locks the byte of the port's number in one file.
class PortReservations {
 public:
  PortReservations()
      : file_(open((std::filesystem::temp_directory_path() /
                    "hawthornhollow-test-ports.lock")
                       .c_str(),
                   O_RDWR | O_CREAT | O_CLOEXEC,
                   0666)) {}

  bool Take(uint16_t port) {
    const std::lock_guard lock(mutex_);
    struct flock range = {};
    range.l_type = F_WRLCK;
    range.l_whence = SEEK_SET;
    range.l_start = port;
    range.l_len = 1;
    // Locks of one open file do not conflict with one another.
    return !own_.contains(port) && fcntl(file_, F_OFD_SETLK, &range) == 0 &&
           own_.insert(port).second;
  }

 private:
  std::mutex mutex_;
  std::set<uint16_t> own_;
  const int file_;
};

}  // namespace

absl::StatusOr<std::unique_ptr<ChildProcess>> ChildProcess::Start(
    const std::vector<std::string>& argv,
    const std::string& stderr_path,
    const std::string& stdout_path) {
  if (argv.empty()) {
    return ErrorAt(absl::StatusCode::kInvalidArgument, "process.spawn", "",
                   "no program");
  }
  std::array<int, 2> pipe_fds;
  if (pipe2(pipe_fds.data(), O_CLOEXEC) != 0) {
    return ErrnoAt("process.pipe", argv[0], errno);
  }
  absl::StatusOr<pid_t> pid =
      Spawn(argv, pipe_fds[1], stderr_path, stdout_path);
  close(pipe_fds[1]);
  if (!pid.ok()) {
    close(pipe_fds[0]);
    return pid.status();
  }
  return std::unique_ptr<ChildProcess>(new ChildProcess(*pid, pipe_fds[0]));
}

ChildProcess::~ChildProcess() {
  if (!reaped_) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  close(stdout_fd_);
}

absl::Status ChildProcess::Signal(int signal_number) {
  if (reaped_) {
    return ErrorAt(absl::StatusCode::kFailedPrecondition, "process.signal",
                   std::to_string(pid_), "already reaped");
  }
  if (kill(pid_, signal_number) != 0) {
    return ErrnoAt("process.signal", std::to_string(pid_), errno);
  }
  return absl::OkStatus();
}

absl::StatusOr<int> ChildProcess::Wait(absl::Duration timeout) {
  const absl::Time deadline = absl::Now() + timeout;
  while (!reaped_) {
    int status = 0;
    const pid_t ended = waitpid(pid_, &status, WNOHANG);
    if (ended == pid_) {
      reaped_ = true;
      exit_ = WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
    } else if (absl::Now() >= deadline) {
      return ErrorAt(absl::StatusCode::kDeadlineExceeded, "process.wait",
                     std::to_string(pid_), "still running");
    } else {
      absl::SleepFor(kWaitStep);
    }
  }
  return exit_;
}

absl::StatusOr<std::string> ChildProcess::ReadLine(absl::Duration timeout) {
  const absl::Time deadline = absl::Now() + timeout;
  size_t end = unread_.find('\n');
  while (end == std::string::npos) {
    pollfd readable = {stdout_fd_, POLLIN, 0};
    const absl::Duration left = deadline - absl::Now();
    const int64_t left_ms =
        std::max<int64_t>(0, absl::ToInt64Milliseconds(left));
    if (poll(&readable, 1, static_cast<int>(left_ms)) <= 0) {
      return ErrorAt(absl::StatusCode::kDeadlineExceeded, "process.read",
                     std::to_string(pid_), "no line");
    }
    std::array<char, 4096> buffer;
    const ssize_t size = read(stdout_fd_, buffer.data(), buffer.size());
    if (size <= 0) {
      return ErrorAt(absl::StatusCode::kOutOfRange, "process.read",
                     std::to_string(pid_), "end of output");
    }
    unread_.append(buffer.data(), static_cast<size_t>(size));
    end = unread_.find('\n');
  }
  std::string line = unread_.substr(0, end);
  unread_.erase(0, end + 1);
  return line;
}

absl::StatusOr<ReadyProcess> ReadyProcess::Start(
    const std::vector<std::string>& argv,
    const std::string& stderr_path,
    absl::Duration timeout) {
  auto process = ChildProcess::Start(argv, stderr_path);
  if (!process.ok()) {
    return process.status();
  }
  absl::StatusOr<std::string> line = (*process)->ReadLine(timeout);
  if (!line.ok()) {
    return Annotate(line.status(), "process.ready", argv[0]);
  }
  if (!line->starts_with(kReadyPrefix)) {
    return ErrorAt(absl::StatusCode::kInternal, "process.ready", argv[0],
                   "unexpected line: " + *line);
  }
  absl::StatusOr<Endpoint> endpoint =
      Endpoint::Parse(line->substr(kReadyPrefix.size()));
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  return ReadyProcess{*std::move(process), *std::move(endpoint)};
}

uint16_t FreePort() {
  static PortReservations& reservations = *new PortReservations();
  std::random_device random;
  std::uniform_int_distribution<int> ports(kFirstPort, kLastPort);
  for (int i = 0; i < kPortTries; ++i) {
    const auto port = static_cast<uint16_t>(ports(random));
    if (reservations.Take(port) && CanListenOn(port))
      return port;
  }
  return 0;
}

absl::StatusOr<HttpResponse> PlainHttp(const Endpoint& endpoint,
                                       const HttpRequest& request,
                                       absl::Duration timeout) {
  auto runtime = Runtime::Create({.threads = 1});
  if (!runtime.ok()) {
    return runtime.status();
  }
  std::promise<absl::StatusOr<HttpResponse>> promise;
  (*runtime)->Spawn([&] {
    absl::StatusOr<HttpResponse> response = [&] {
      HttpClient client;
      return client.Call(endpoint, request, timeout);
    }();
    promise.set_value(std::move(response));
  });
  return promise.get_future().get();
}

RawAnswer RawExchange(const Endpoint& endpoint,
                      const std::string& bytes,
                      absl::Duration timeout) {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const absl::Cleanup closed = [socket] { close(socket); };
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
  const timeval limit = absl::ToTimeval(timeout);
  setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  if (connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
          0 ||
      send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0)
    return {};
  RawAnswer answer;
  std::array<char, 4096> piece{};
  while (true) {
    const ssize_t count = recv(socket, piece.data(), piece.size(), 0);
    if (count <= 0) {
      answer.was_reset = count < 0 && errno == ECONNRESET;
      return answer;
    }
    answer.bytes.append(piece.data(), static_cast<size_t>(count));
  }
}

}  // namespace hawthornhollow
