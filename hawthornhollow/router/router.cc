// The router process runs one RouterInstance after another until SIGTERM. An
// instance that was fenced is followed by another with a new incarnation and
// new grants.

#include "hawthornhollow/router/router.h"

#include <atomic>
#include <memory>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/router/one_shot.h"
#include "hawthornhollow/router/router_instance.h"
#include "hawthornhollow/runtime/runtime.h"

namespace hawthornhollow {
namespace {

constexpr absl::Duration kStatePollInterval = absl::Milliseconds(100);
constexpr absl::Duration kOpenTimeout = absl::Seconds(5);

class RouterProcess {
 public:
  RouterProcess(Runtime& runtime, const RouterSettings& settings)
      : runtime_(runtime), settings_(settings) {}

  // Runs instances until a shutdown is requested.
  void RunInstances() {
    while (!shutdown_) {
      auto instance = RouterInstance::Create(runtime_, settings_);
      if (!instance.ok()) {
        done_.Set(Annotate(instance.status(), "router.start", ""));
        runtime_.Stop();
        return;
      }
      OpenInstance(**instance);
      while (!shutdown_ && !(*instance)->fenced())
        hawthornhollow::SleepFor(kStatePollInterval);
      if ((*instance)->fenced())
        (*instance)->AbortAndStop();
      else
        (*instance)->ShutDown();
    }
    done_.Set(absl::OkStatus());
  }

  // Requests a shutdown and blocks the calling fiber until the last instance
  // has ended.
  void ShutDown() {
    shutdown_ = true;
    done_.Wait(absl::InfiniteDuration());
  }

  absl::Status result() {
    auto status = done_.Wait(absl::ZeroDuration());
    return status ? *status : absl::OkStatus();
  }

 private:
  void OpenInstance(RouterInstance& instance) {
    while (!shutdown_ && !instance.fenced()) {
      absl::Status status = instance.Open(kOpenTimeout);
      if (status.ok())
        return;
      LogEvent("router.not_open", LogSeverity::kWarning).Add("reason", status);
    }
  }

  Runtime& runtime_;
  const RouterSettings settings_;
  std::atomic<bool> shutdown_{false};
  OneShot<absl::Status> done_;
};

}  // namespace

absl::Status RunRouter(const RouterSettings& settings) {
  RuntimeOptions options;
  options.threads = static_cast<size_t>(settings.threads);
  auto runtime = Runtime::Create(options);
  if (!runtime.ok())
    return runtime.status();
  RouterProcess process(**runtime, settings);
  (*runtime)->Spawn([&process] { process.RunInstances(); });
  (*runtime)->Run([&process] { process.ShutDown(); });
  return process.result();
}

}  // namespace hawthornhollow
