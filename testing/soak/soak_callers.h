#ifndef TESTING_SOAK_SOAK_CALLERS_H_
#define TESTING_SOAK_SOAK_CALLERS_H_

// Callers who ask one router after another until they are stopped, on kept
// connections, and note what they see.

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "hawthornhollow/http/http.h"
#include "hawthornhollow/runtime/runtime.h"
#include "testing/soak/promises.h"

namespace hawthornhollow::soak {

// Tokens of each stream: of its prompt, and of its answer at most.
inline constexpr int64_t kPromptTokens = 100;
inline constexpr int64_t kOutputTokens = 40;
// A workspace whose total is spent in a run, and one that has plenty.
inline constexpr char kScarce[] = "ward-7";
inline constexpr char kPlenty[] = "ward-8";

class SoakCallers {
 public:
  // Begins at once.
  SoakCallers(uint64_t seed, size_t callers, std::vector<Endpoint> routers);
  SoakCallers(const SoakCallers&) = delete;
  SoakCallers& operator=(const SoakCallers&) = delete;
  ~SoakCallers();

  // Waits for the requests in progress.
  void Stop();
  // After Stop.
  const std::vector<Seen>& seen() const { return seen_; }

  // One more request, from the calling thread; noted as well.
  int Ask(const Endpoint& router,
          const std::string& path,
          const std::string& workspace);

 private:
  void Run(uint64_t seed);
  Seen Exchange(HttpClient& client,
                const Endpoint& router,
                const std::string& path,
                const std::string& workspace);
  void Note(Seen seen);

  const std::vector<Endpoint> routers_;
  std::unique_ptr<Runtime> runtime_;
  HttpClient client_;
  std::atomic<bool> stop_{false};
  std::atomic<size_t> running_{0};
  std::atomic<int64_t> ids_{0};
  std::mutex mutex_;
  std::vector<Seen> seen_;
};

}  // namespace hawthornhollow::soak

#endif  // TESTING_SOAK_SOAK_CALLERS_H_
