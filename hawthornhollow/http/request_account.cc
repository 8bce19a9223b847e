#include "hawthornhollow/http/request_account.h"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <mutex>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/http/http.h"

namespace hawthornhollow {
namespace {

// The process without requests, 11 MB, and the answers that it reads whole
// before it passes them on (RelaySettings::max_buffered_bytes, 16 MB).
constexpr size_t kOwnBytes = 28 * 1024 * 1024;
// Never less than two requests of the largest size: a limit for them alone
// would refuse ordinary ones.
constexpr size_t kMinBytes = 18 * 1024 * 1024;
// The touched part of a fiber's stack, the socket's state and the first read
// buffer: 14 KB while nothing is sent, and the parser with a head.
constexpr size_t kConnectionBytes = 24 * 1024;
// The largest legal body (4 MB), twice, and buffers.
constexpr size_t kLargestRequestBytes = 8 * 1024 * 1024 + 256 * 1024;
constexpr absl::Duration kDecideInterval = absl::Milliseconds(50);
constexpr absl::Duration kLogInterval = absl::Seconds(1);
// If the machine does not tell.
constexpr size_t kAssumedMemory = 512 * 1024 * 1024;

}  // namespace

size_t RequestAccount::MachineMemory() {
  const int64_t pages = sysconf(_SC_PHYS_PAGES);
  const int64_t page_bytes = sysconf(_SC_PAGESIZE);
  return pages > 0 && page_bytes > 0 ? static_cast<size_t>(pages * page_bytes)
                                     : 0;
}

size_t RequestAccount::MaxDescriptors() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
    return 0;
  return limit.rlim_cur;
}

std::shared_ptr<RequestAccount> RequestAccount::ForMemory(size_t memory_bytes) {
  const size_t memory = memory_bytes > 0 ? memory_bytes : kAssumedMemory;
  const size_t bytes =
      std::max(memory - std::min(memory, kOwnBytes), kMinBytes) / 2;
  return std::make_shared<RequestAccount>(
      RequestMemoryOptions{.total_bytes = bytes,
                           .largest_request_bytes = kLargestRequestBytes},
      bytes / kConnectionBytes);
}

std::shared_ptr<RequestAccount> RequestAccount::OfProcess() {
  // Never destroyed: fibers of a runtime that was stopped may still refer to
  // it.
  static const auto& account =
      *new std::shared_ptr<RequestAccount>(ForMemory(MachineMemory()));
  return account;
}

RequestAccount::RequestAccount(const RequestMemoryOptions& options,
                               size_t max_connections)
    : total_bytes_(options.total_bytes),
      max_connections_(max_connections),
      memory_(options) {}

RequestAccount::Hold::Hold(std::shared_ptr<RequestAccount> account,
                           const std::string& client,
                           std::function<void()> on_evicted)
    : account_(std::move(account)), on_evicted_(std::move(on_evicted)) {
  const std::lock_guard<boost::fibers::mutex> lock(account_->mutex_);
  id_ = account_->memory_.Begin(client, SteadyNow());
  account_->holds_[id_] = this;
}

bool RequestAccount::Hold::Resize(size_t bytes) {
  if (bytes == held_ || refused_)
    return !refused_;
  std::unique_lock<boost::fibers::mutex> lock(account_->mutex_);
  const bool is_less = bytes < held_;
  held_ = bytes;
  waits_ = !account_->memory_.Resize(id_, bytes, SteadyNow());
  if (waits_ || is_less)
    account_->DecideLocked();
  if (waits_)
    account_->AwaitLocked(this, &lock);
  return !refused_;
}

void RequestAccount::Hold::OnArrived(size_t bytes) {
  const std::lock_guard<boost::fibers::mutex> lock(account_->mutex_);
  account_->memory_.OnArrived(id_, bytes, SteadyNow());
}

bool RequestAccount::Hold::Complete() {
  const std::lock_guard<boost::fibers::mutex> lock(account_->mutex_);
  account_->memory_.Complete(id_);
  return !refused_;
}

void RequestAccount::Hold::Release() {
  if (released_)
    return;
  released_ = true;
  const std::lock_guard<boost::fibers::mutex> lock(account_->mutex_);
  account_->memory_.End(id_);
  account_->holds_.erase(id_);
  account_->DecideLocked();
  account_->TrimLocked();
}

void RequestAccount::AwaitLocked(Hold* hold,
                                 std::unique_lock<boost::fibers::mutex>* lock) {
  while (hold->waits_) {
    if (decider_ != nullptr) {
      hold->decided_.wait(*lock);
      continue;
    }
    decider_ = hold;
    hold->decided_.wait_for(*lock, absl::ToChronoNanoseconds(kDecideInterval));
    decider_ = nullptr;
    if (hold->waits_)
      DecideLocked();
  }
  if (decider_ != nullptr)
    return;
  const auto next =
      std::find_if(holds_.begin(), holds_.end(),
                   [](const auto& item) { return item.second->waits_; });
  if (next != holds_.end())
    next->second->decided_.notify_one();
}

void RequestAccount::DecideLocked() {
  const absl::Time now = SteadyNow();
  const RequestMemory::Decisions decisions = memory_.Decide(now);
  const auto decided = [&](RequestMemory::Id id, bool refused) {
    Hold* hold = holds_.at(id);
    hold->refused_ = refused;
    hold->waits_ = false;
    hold->decided_.notify_one();
  };
  for (const RequestMemory::Id id : decisions.granted)
    decided(id, /*refused=*/false);
  int64_t untold = 0;
  for (const RequestMemory::Id id : decisions.refused) {
    decided(id, /*refused=*/true);
    untold = std::max(untold, refused_.Count(now));
  }
  if (untold > 0) {
    LogEvent("http.memory_refused", LogSeverity::kWarning)
        .Add("requests", untold)
        .Add("used_bytes", memory_.used_bytes())
        .Add("total_bytes", total_bytes_)
        .Add("waiting", memory_.waiting_count());
  }
  untold = 0;
  for (const RequestMemory::Id id : decisions.evicted) {
    holds_.at(id)->refused_ = true;
    holds_.at(id)->on_evicted_();
    untold = std::max(untold, stalled_.Count(now));
  }
  if (untold > 0) {
    LogEvent("http.stalled_evicted", LogSeverity::kWarning)
        .Add("requests", untold)
        .Add("used_bytes", memory_.used_bytes())
        .Add("total_bytes", total_bytes_)
        .Add("waiting", memory_.waiting_count());
  }
}

void RequestAccount::TrimLocked() {
  // The allocator keeps freed memory for later; other processes of the VM may
  // need it before the next such pressure. Walking its lists takes
  // milliseconds, hence only after the account was half full.
  const size_t used = memory_.used_bytes();
  if (used > total_bytes_ / 2) {
    was_under_pressure_ = true;
  } else if (used < total_bytes_ / 8 && was_under_pressure_) {
    was_under_pressure_ = false;
    malloc_trim(/*pad=*/0);
  }
}

int64_t RequestAccount::Tally::Count(absl::Time now) {
  ++count;
  ++untold;
  if (now - told_at < kLogInterval)
    return 0;
  told_at = now;
  return std::exchange(untold, 0);
}

void RequestAccount::OnConnectionRefused() {
  const std::lock_guard<boost::fibers::mutex> lock(mutex_);
  const int64_t untold = connections_.Count(SteadyNow());
  if (untold > 0) {
    LogEvent("http.connection_refused", LogSeverity::kWarning)
        .Add("connections", untold);
  }
}

void RequestAccount::OnConnectionEvicted() {
  const std::lock_guard<boost::fibers::mutex> lock(mutex_);
  const int64_t untold = stalled_connections_.Count(SteadyNow());
  if (untold > 0) {
    LogEvent("http.connection_evicted", LogSeverity::kWarning)
        .Add("connections", untold);
  }
}

HttpRefusals RequestAccount::refusals() const {
  const std::lock_guard<boost::fibers::mutex> lock(mutex_);
  return {.memory = refused_.count,
          .stalled = stalled_.count,
          .connections = connections_.count,
          .stalled_connections = stalled_connections_.count};
}

size_t RequestAccount::used_bytes() const {
  const std::lock_guard<boost::fibers::mutex> lock(mutex_);
  return memory_.used_bytes();
}

}  // namespace hawthornhollow
