#include "hawthornhollow/runtime/runtime.h"

#include <malloc.h>

#include <boost/asio/signal_set.hpp>
#include <boost/fiber/operations.hpp>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <mutex>
#include <optional>
#include <thread>

#include "absl/strings/str_cat.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/runtime/asio_internal.h"

namespace hawthornhollow {
namespace {

constexpr size_t kMaxThreads = 256;
constexpr size_t kMinStackBytes = 32 * 1024;

// Keeps a thread with blocked fibers from exiting.
[[noreturn]] void Park() {
  std::mutex mutex;
  std::condition_variable never;
  std::unique_lock<std::mutex> lock(mutex);
  while (true)
    never.wait(lock);
}

}  // namespace

class Runtime::Impl {
 public:
  explicit Impl(const RuntimeOptions& options);
  ~Impl();

  void Start();
  void Run(std::function<void()> on_signal, std::function<void()> on_hangup);
  void Stop();
  size_t NextThread() { return next_thread_++ % threads_.size(); }
  const std::vector<std::shared_ptr<IoThread>>& threads() const {
    return threads_;
  }

 private:
  // What a thread needs after the runtime may have gone.
  struct Progress {
    std::mutex mutex;
    std::condition_variable changed;
    size_t halted = 0;
  };

  static void ThreadBody(const std::shared_ptr<IoThread>& thread,
                         const std::shared_ptr<Progress>& progress);
  void WatchSignals(std::function<void()> on_signal);
  void AwaitSignal(std::function<void()> on_signal);
  void WatchHangups(const std::function<void()>& on_hangup);
  void AwaitHangup(std::function<void()> on_hangup);
  void AwaitHalt();
  void EndThreads();

  std::vector<std::shared_ptr<IoThread>> threads_;
  std::vector<std::thread> workers_;
  std::shared_ptr<Progress> progress_ = std::make_shared<Progress>();
  std::atomic<size_t> next_thread_{0};
  std::atomic<bool> stopping_{false};
  // Used on thread 0 until it has halted.
  std::optional<boost::asio::signal_set> signals_;
  std::optional<boost::asio::signal_set> hangups_;
  bool signalled_ = false;
};

Runtime::Impl::Impl(const RuntimeOptions& options) {
  for (size_t i = 0; i < options.threads; ++i)
    threads_.push_back(std::make_shared<IoThread>(options.fiber_stack_bytes));
}

Runtime::Impl::~Impl() {
  Stop();
  AwaitHalt();
  signals_.reset();
  hangups_.reset();
  EndThreads();
}

void Runtime::Impl::Start() {
  for (const auto& thread : threads_)
    workers_.emplace_back(&Impl::ThreadBody, thread, progress_);
}

void Runtime::Impl::ThreadBody(const std::shared_ptr<IoThread>& thread,
                               const std::shared_ptr<Progress>& progress) {
  thread->Run();
  {
    std::lock_guard<std::mutex> lock(progress->mutex);
    ++progress->halted;
    progress->changed.notify_all();
  }
  if (!thread->can_exit())
    Park();
}

void Runtime::Impl::Run(std::function<void()> on_signal,
                        std::function<void()> on_hangup) {
  threads_.front()->Dispatch([this, on_signal = std::move(on_signal),
                              on_hangup = std::move(on_hangup)] {
    WatchSignals(on_signal);
    if (on_hangup)
      WatchHangups(on_hangup);
  });
  AwaitHalt();
}

void Runtime::Impl::WatchHangups(const std::function<void()>& on_hangup) {
  if (hangups_.has_value())
    return;
  hangups_.emplace(threads_.front()->context(), SIGHUP);
  AwaitHangup(on_hangup);
}

void Runtime::Impl::AwaitHangup(std::function<void()> on_hangup) {
  hangups_->async_wait([this, on_hangup](const boost::system::error_code& error,
                                         int /*signal*/) {
    if (error)
      return;
    threads_.front()->Spawn(on_hangup);
    AwaitHangup(on_hangup);
  });
}

void Runtime::Impl::WatchSignals(std::function<void()> on_signal) {
  if (signals_.has_value())
    return;
  signals_.emplace(threads_.front()->context(), SIGTERM, SIGINT);
  AwaitSignal(std::move(on_signal));
}

void Runtime::Impl::AwaitSignal(std::function<void()> on_signal) {
  signals_->async_wait(
      [this, on_signal](const boost::system::error_code& error, int signal) {
        if (error)
          return;
        LogEvent("runtime.signal")
            .Add("signal", signal)
            .Add("repeated", signalled_ ? 1 : 0);
        if (!std::exchange(signalled_, true)) {
          threads_.front()->Spawn([this, on_signal] {
            if (on_signal)
              on_signal();
            Stop();
          });
        }
        AwaitSignal(nullptr);
      });
}

void Runtime::Impl::Stop() {
  if (stopping_.exchange(true))
    return;
  for (const auto& thread : threads_)
    thread->Stop();
}

void Runtime::Impl::AwaitHalt() {
  std::unique_lock<std::mutex> lock(progress_->mutex);
  progress_->changed.wait(
      lock, [this] { return progress_->halted == workers_.size(); });
}

void Runtime::Impl::EndThreads() {
  for (size_t i = 0; i < workers_.size(); ++i) {
    if (threads_[i]->can_exit())
      workers_[i].join();
    else
      workers_[i].detach();
  }
}

const std::vector<std::shared_ptr<IoThread>>& RuntimeAccess::Threads(
    const Runtime& runtime) {
  return runtime.impl_->threads();
}

absl::StatusOr<std::unique_ptr<Runtime>> Runtime::Create(
    const RuntimeOptions& options) {
  if (options.threads == 0 || options.threads > kMaxThreads) {
    return ErrorAt(absl::StatusCode::kInvalidArgument, "runtime.create", "",
                   absl::StrCat("threads must be 1 to ", kMaxThreads));
  }
  if (options.fiber_stack_bytes < kMinStackBytes) {
    return ErrorAt(absl::StatusCode::kInvalidArgument, "runtime.create", "",
                   absl::StrCat("fiber_stack_bytes below ", kMinStackBytes));
  }
  std::signal(SIGPIPE, SIG_IGN);
  auto impl = std::make_unique<Impl>(options);
  impl->Start();
  return std::unique_ptr<Runtime>(new Runtime(std::move(impl)));
}

Runtime::Runtime(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Runtime::~Runtime() = default;

void Runtime::Spawn(std::function<void()> task) {
  SpawnOn(impl_->NextThread(), std::move(task));
}

void Runtime::SpawnOn(size_t thread, std::function<void()> task) {
  impl_->threads().at(thread)->Spawn(std::move(task));
}

size_t Runtime::thread_count() const {
  return impl_->threads().size();
}

void Runtime::Run(std::function<void()> on_signal,
                  std::function<void()> on_hangup) {
  impl_->Run(std::move(on_signal), std::move(on_hangup));
}

void Runtime::Stop() {
  impl_->Stop();
}

void SleepFor(absl::Duration duration) {
  boost::this_fiber::sleep_for(ToBoundedNanoseconds(duration));
}

// While a set of asio's holds the signal, it does not end the process. This one
// is never released.
void LimitRetainedMemory() {
  // glibc raises both thresholds, up to 32 MB and 64 MB, with each large block
  // that is freed: later bodies would then come from the heap, of which only
  // the top can be given back. Stating the values keeps them.
  constexpr int kLargeBlockBytes = 128 * 1024;
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, 2 * kLargeBlockBytes);
}

void KeepHangupsHarmless() {
  static auto* const context = new boost::asio::io_context();
  static auto* const hangups = new boost::asio::signal_set(*context, SIGHUP);
  static_cast<void>(hangups);
}

}  // namespace hawthornhollow
