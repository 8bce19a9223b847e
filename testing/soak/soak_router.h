#ifndef TESTING_SOAK_SOAK_ROUTER_H_
#define TESTING_SOAK_SOAK_ROUTER_H_

// One router's process under signals. It starts again when it has ended, and
// each end that no signal explains is a broken promise.

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hawthornhollow/runtime/runtime.h"
#include "testing/processes.h"

namespace hawthornhollow::soak {

class SoakRouter {
 public:
  // `program` is the router's; its settings and logs go to `folder`. It is
  // started by the first Tick.
  SoakRouter(const std::string& program,
             const std::string& folder,
             size_t number,
             const Endpoint& store);

  const Endpoint& callers() const { return callers_; }
  const std::string& name() const { return name_; }
  bool is_running() const { return process_ != nullptr; }

  // SIGKILL; the next one starts after `down`.
  void Kill(absl::Duration down);
  // SIGTERM, unless it is paused or was told before.
  void Terminate();
  // SIGHUP.
  void Reload();
  // SIGSTOP, and SIGCONT once each Pause has had its Continue.
  void Pause();
  void Continue();

  // Starts what is down, and looks at what has ended or should have.
  void Tick(std::vector<std::string>* broken);

 private:
  void Start(std::vector<std::string>* broken);
  void Ended(absl::Duration down);

  const std::string program_;
  const std::string name_;
  const std::string file_;  // without its extension
  const Endpoint callers_;
  std::unique_ptr<ChildProcess> process_;
  std::optional<absl::Time> terminated_;
  absl::Time start_at_ = absl::InfinitePast();
  int paused_ = 0;
  bool was_paused_ = false;  // this process, which may need longer to end
};

}  // namespace hawthornhollow::soak

#endif  // TESTING_SOAK_SOAK_ROUTER_H_
