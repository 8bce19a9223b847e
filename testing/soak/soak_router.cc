#include "testing/soak/soak_router.h"

#include <csignal>
#include <fstream>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "testing/platform_standin_messages.h"

namespace hawthornhollow::soak {
namespace {

// The users' bound on how long a process may go on after SIGTERM.
constexpr absl::Duration kGrace = absl::Seconds(8);
constexpr absl::Duration kSlack = absl::Seconds(2);

}  // namespace

SoakRouter::SoakRouter(const std::string& program,
                       const std::string& folder,
                       size_t number,
                       const Endpoint& store)
    : program_(program),
      name_(absl::StrCat("router-", number)),
      file_(absl::StrCat(folder, "/", name_)),
      callers_{"127.0.0.1", FreePort()} {
  std::ofstream(file_ + ".json")
      << standins::EntrySettings(name_, {.callers = callers_,
                                         .readiness = {"127.0.0.1", FreePort()},
                                         .peers = {"127.0.0.1", FreePort()},
                                         .store = store});
}

void SoakRouter::Kill(absl::Duration down) {
  if (process_ == nullptr)
    return;
  process_->Signal(SIGKILL).IgnoreError();
  process_->Wait(kGrace).IgnoreError();
  Ended(down);
}

void SoakRouter::Terminate() {
  if (process_ == nullptr || paused_ > 0 || terminated_.has_value())
    return;
  process_->Signal(SIGTERM).IgnoreError();
  terminated_ = absl::Now();
}

void SoakRouter::Reload() {
  if (process_ != nullptr)
    process_->Signal(SIGHUP).IgnoreError();
}

void SoakRouter::Pause() {
  ++paused_;
  was_paused_ = true;
  if (process_ != nullptr)
    process_->Signal(SIGSTOP).IgnoreError();
}

void SoakRouter::Continue() {
  if (--paused_ == 0 && process_ != nullptr)
    process_->Signal(SIGCONT).IgnoreError();
}

void SoakRouter::Tick(std::vector<std::string>* broken) {
  if (process_ == nullptr) {
    if (absl::Now() >= start_at_ && paused_ == 0)
      Start(broken);
    return;
  }
  const auto exit = process_->Wait(absl::ZeroDuration());
  if (exit.ok()) {
    if (!terminated_.has_value() || *exit != 0)
      broken->push_back(absl::StrCat(name_, " ended with ", *exit));
    Ended(absl::ZeroDuration());
  } else if (terminated_.has_value() && !was_paused_ &&
             absl::Now() - *terminated_ > kGrace + kSlack) {
    broken->push_back(name_ + " did not end within its grace time");
    Kill(absl::ZeroDuration());
  }
}

void SoakRouter::Start(std::vector<std::string>* broken) {
  auto process = ChildProcess::Start({program_, "--settings", file_ + ".json"},
                                     file_ + ".err", file_ + ".log");
  if (!process.ok()) {
    broken->push_back(absl::StrCat(name_, ": ", process.status().message()));
    return;
  }
  process_ = *std::move(process);
  was_paused_ = false;
}

void SoakRouter::Ended(absl::Duration down) {
  process_.reset();
  terminated_.reset();
  start_at_ = absl::Now() + down;
}

}  // namespace hawthornhollow::soak
