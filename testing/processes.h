#ifndef TESTING_PROCESSES_H_
#define TESTING_PROCESSES_H_

// For tests that run the project's programs as processes: starting and ending
// them, and talking HTTP to them from a plain thread.
//
//   auto log = ChildProcess::Start({STANDINS, "log"}, "log.err");
//   auto ready = (*log)->ReadLine(absl::Seconds(5));  // "ready listen=..."
//   auto response = PlainHttp(endpoint, {.target = "/control"},
//                             absl::Seconds(1));

#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "hawthornhollow/http/http.h"
#include "hawthornhollow/runtime/runtime.h"

namespace hawthornhollow {

// A process that this one started; killed and reaped at the latest when it is
// destroyed. Used from one thread.
class ChildProcess {
 public:
  // Runs the program `argv[0]` with its standard error appended to
  // `stderr_path`, and its standard output to `stdout_path`, if that is given;
  // else ReadLine reads it.
  static absl::StatusOr<std::unique_ptr<ChildProcess>> Start(
      const std::vector<std::string>& argv,
      const std::string& stderr_path,
      const std::string& stdout_path = "");
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ~ChildProcess();

  pid_t Pid() const { return pid_; }

  // FAILED_PRECONDITION if the process has been reaped.
  absl::Status Signal(int signal_number);

  // The exit code, or the negative number of the signal that ended the process.
  // DEADLINE_EXCEEDED if it still runs after `timeout`.
  absl::StatusOr<int> Wait(absl::Duration timeout);

  // The next line of standard output, without its end. DEADLINE_EXCEEDED, or
  // OUT_OF_RANGE at the end of the output.
  absl::StatusOr<std::string> ReadLine(absl::Duration timeout);

 private:
  ChildProcess(pid_t pid, int stdout_fd) : pid_(pid), stdout_fd_(stdout_fd) {}

  pid_t pid_;
  int stdout_fd_;
  bool reaped_ = false;
  int exit_ = 0;
  std::string unread_;
};

// Starts a program that prints "ready listen=IP:PORT", and waits for that line.
struct ReadyProcess {
  std::unique_ptr<ChildProcess> process;
  Endpoint endpoint;

  static absl::StatusOr<ReadyProcess> Start(
      const std::vector<std::string>& argv,
      const std::string& stderr_path,
      absl::Duration timeout = absl::Seconds(10));
};

// A TCP port on 127.0.0.1 that was free a moment ago, and that no process was
// given by this function while it runs; 0 if there is none.
uint16_t FreePort();

// One HTTP exchange from a plain thread.
absl::StatusOr<HttpResponse> PlainHttp(const Endpoint& endpoint,
                                       const HttpRequest& request,
                                       absl::Duration timeout);

// Sends bytes on a new connection, and returns all that comes until it ends or
// `timeout` has passed; nothing if there is no connection.
struct RawAnswer {
  std::string bytes;
  bool was_reset = false;  // and not closed in order
};
RawAnswer RawExchange(const Endpoint& endpoint,
                      const std::string& bytes,
                      absl::Duration timeout);

}  // namespace hawthornhollow

#endif  // TESTING_PROCESSES_H_
