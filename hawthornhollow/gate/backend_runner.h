#ifndef HAWTHORNHOLLOW_GATE_BACKEND_RUNNER_H_
#define HAWTHORNHOLLOW_GATE_BACKEND_RUNNER_H_

// Sends requests to the backend server over HTTP. A run is one execution of a
// request at the backend server; each run has its own fiber.
//
//   auto runner = BackendRunner::Create(runtime, options, events);
//   runner->Start(run, dispatch);  // Calls events.on_head, on_data and on_end.
//   runner->Stop(run, request);    // Cancels the run; on_end follows soon.

#include <boost/fiber/mutex.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "hawthornhollow/gate/request_table.h"
#include "hawthornhollow/http/http.h"
#include "hawthornhollow/runtime/runtime.h"

namespace hawthornhollow {

enum class BackendKind { kEngine, kService };

struct BackendRunnerOptions {
  Endpoint backend;
  BackendKind kind = BackendKind::kEngine;
  // A call fails if the backend server sends no byte for this long.
  absl::Duration idle_timeout = absl::Seconds(60);
  // Timeout of the calls of /v1/cancel, /running and /load.
  absl::Duration control_timeout = absl::Seconds(2);
  // How long a call may take to end by itself after it was cancelled.
  absl::Duration cancel_grace_period = absl::Seconds(1);
};

// Callbacks, called from the run's fibers. on_end is called exactly once for
// each run, as the run's last callback.
struct RunEvents {
  std::function<void(int64_t run, int32_t status, std::string content_type)>
      on_head;
  std::function<void(int64_t run, std::string_view bytes)> on_data;
  std::function<void(int64_t run, const RunEnd& end)> on_end;
};

// The load that an engine reports about itself. It may be out of date.
struct BackendLoad {
  int64_t slots = 0;   // Requests that the engine can run at once.
  double kv_used = 0;  // Key-value cache usage, as reported.
  friend auto operator<=>(const BackendLoad&, const BackendLoad&) = default;
};

class BackendRunner {
 public:
  static std::unique_ptr<BackendRunner> Create(
      Runtime& runtime,
      const BackendRunnerOptions& options,
      RunEvents events);
  BackendRunner(const BackendRunner&) = delete;
  BackendRunner& operator=(const BackendRunner&) = delete;
  ~BackendRunner();

  // Starts the call on its own fiber. Does not block.
  void Start(int64_t run, const fb::DispatchT& dispatch);
  // Cancels a run. Does not block; on_end is called later. Does nothing if the
  // run has ended.
  void Stop(int64_t run, const std::string& request);

  // Cancels the runs that an earlier incarnation of this sidecar left running
  // at the backend server. Returns OK if there are none, or if the backend
  // server cannot list its runs.
  absl::Status CancelStaleRuns();
  // Returns the engine's load, or an error if the engine does not report it.
  absl::StatusOr<BackendLoad> FetchLoad();

 private:
  struct Call;

  BackendRunner(Runtime& runtime,
                const BackendRunnerOptions& options,
                RunEvents events);
  void Execute(const std::shared_ptr<Call>& call);
  bool OnHead(Call& call, int status, const HttpHeaders& headers);
  bool OnData(Call& call, std::string_view bytes);
  void Finish(Call& call, const RunEnd& end);
  void StopCall(const std::shared_ptr<Call>& call);
  absl::Status CancelAtEngine(const std::string& request);
  HttpRequest MakeHttpRequest(const fb::DispatchT& dispatch) const;
  std::string peer() const { return options_.backend.ToString(); }

  Runtime& runtime_;
  const BackendRunnerOptions options_;
  const RunEvents events_;
  HttpClient call_client_;     // Opens a new connection for each call.
  HttpClient control_client_;  // Reuses connections; for idempotent calls only.
  boost::fibers::mutex mutex_;
  std::map<int64_t, std::shared_ptr<Call>> calls_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_GATE_BACKEND_RUNNER_H_
