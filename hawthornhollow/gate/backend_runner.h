#ifndef HAWTHORNHOLLOW_GATE_BACKEND_RUNNER_H_
#define HAWTHORNHOLLOW_GATE_BACKEND_RUNNER_H_

// Calls the backend server over HTTP, one fiber for each run.
//
//   auto runner = BackendRunner::Create(runtime, options, events);
//   runner->Start(run, dispatch);   // events.on_head, on_data, on_end follow
//   runner->Stop(run, request);     // ends it soon

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
  // Without a byte from the backend server for this long a call is given up.
  absl::Duration idle_timeout = absl::Seconds(60);
  // For /v1/cancel, /running and /load.
  absl::Duration control_timeout = absl::Seconds(2);
  // After an order to cancel, for the call to end by itself.
  absl::Duration cancel_grace = absl::Seconds(1);
};

// Called from the run's fibers; on_end once, and nothing after it.
struct RunEvents {
  std::function<void(int64_t run, int32_t status, std::string content_type)>
      on_head;
  std::function<void(int64_t run, std::string_view bytes)> on_data;
  std::function<void(int64_t run, const RunEnd& end)> on_end;
};

// What an engine says of its load; it lags behind.
struct BackendLoad {
  int64_t slots = 0;
  double kv_used = 0;
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

  // Starts the call on a fiber of its own. Does not block.
  void Start(int64_t run, const fb::DispatchT& dispatch);
  // Cancels a run. Does not block; on_end follows.
  void Stop(int64_t run, const std::string& request);

  // Cancels what an earlier gate incarnation left running. OK if there is
  // nothing, or the backend server has no such notion.
  absl::Status CancelLeftovers();
  // The engine's load; an error if it publishes none.
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
  HttpRequest MakeCall(const fb::DispatchT& dispatch) const;
  std::string peer() const { return options_.backend.ToString(); }

  Runtime& runtime_;
  const BackendRunnerOptions options_;
  const RunEvents events_;
  HttpClient call_client_;     // keeps no connections
  HttpClient control_client_;  // for what may be repeated
  boost::fibers::mutex mutex_;
  std::map<int64_t, std::shared_ptr<Call>> calls_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_GATE_BACKEND_RUNNER_H_
