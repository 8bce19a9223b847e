#ifndef TESTING_FLEET_LOAD_H_
#define TESTING_FLEET_LOAD_H_

// A bounded load of chat requests on a fleet's routers, from fibers of this
// process, and what each of them was told.
//
//   FleetLoad load(fleet, {.fibers = 8});
//   load.Start();
//   ...
//   std::vector<Answer> answers = load.Stop();

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "hawthornhollow/http/http.h"
#include "hawthornhollow/runtime/runtime.h"
#include "testing/fleet.h"

namespace hawthornhollow {

// The outcome of one request as its caller saw it.
struct Answer {
  size_t router = 0;
  int status = 0;    // 0 if the exchange broke off
  std::string code;  // of an error
  std::string run;   // "not_run", "run" or "unknown", of an error
  std::string request;
  int64_t tokens = 0;  // usage of a whole answer
  absl::Time sent;
  absl::Duration took;

  bool whole() const { return status == 200; }
};

Answer ParseAnswer(const absl::StatusOr<HttpResponse>& response);

struct LoadOptions {
  size_t fibers = 8;
  std::vector<size_t> routers = {0, 1, 2};
  ChatOptions chat;
  // Ends by itself after this many; 0 for no bound.
  int64_t requests = 0;
  absl::Duration pause = absl::ZeroDuration();  // of a fiber between requests
  // Of a fiber after an answer that is not whole.
  absl::Duration pause_after_error = absl::Milliseconds(20);
  absl::Duration timeout = absl::Seconds(20);
};

class FleetLoad {
 public:
  FleetLoad(Fleet& fleet, const LoadOptions& options);
  FleetLoad(const FleetLoad&) = delete;
  FleetLoad& operator=(const FleetLoad&) = delete;
  ~FleetLoad();

  void Start();
  // Begins no more requests, and returns all answers once the last is in.
  std::vector<Answer> Stop();
  // As Stop, after all of the requests asked for.
  std::vector<Answer> Finish();
  int64_t sent() const { return sent_.load(); }

 private:
  void RunFiber(size_t number);
  std::vector<Answer> TakeAnswers();

  Fleet& fleet_;
  const LoadOptions options_;
  std::unique_ptr<Runtime> runtime_;
  HttpClient client_;
  std::atomic<bool> stop_{false};
  std::atomic<int64_t> sent_{0};
  std::atomic<size_t> running_{0};
  std::mutex mutex_;
  std::vector<Answer> answers_;
};

}  // namespace hawthornhollow

#endif  // TESTING_FLEET_LOAD_H_
