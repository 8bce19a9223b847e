#include "testing/soak/soak_callers.h"

#include <future>
#include <random>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/clock.h"
#include "testing/platform_standin_messages.h"

namespace hawthornhollow::soak {
namespace {

constexpr absl::Duration kTimeLimit = absl::Seconds(6);
constexpr absl::Duration kPause = absl::Milliseconds(30);
constexpr double kOrderShare = 0.4;
constexpr double kScarceShare = 0.5;
constexpr int kRuntimeThreads = 2;

HttpRequest MakeRequest(const std::string& id,
                        const std::string& path,
                        const std::string& workspace) {
  const bool is_stream = path == kStreamPath;
  return standins::MakeCallerRequest(
      {.id = id,
       .path = path,
       .key = "key-" + workspace,
       .time_limit = kTimeLimit,
       .prompt_tokens = is_stream ? kPromptTokens : 0,
       .output_tokens = kOutputTokens,
       .prompt_parts = absl::StrCat("aa:80,", id, ":20")});
}

}  // namespace

SoakCallers::SoakCallers(uint64_t seed,
                         size_t callers,
                         std::vector<Endpoint> routers)
    : routers_(std::move(routers)),
      runtime_(*Runtime::Create({.threads = kRuntimeThreads})) {
  for (size_t i = 0; i < callers; ++i) {
    ++running_;
    runtime_->Spawn([this, seed = seed * 1'000 + i] {
      Run(seed);
      --running_;
    });
  }
}

SoakCallers::~SoakCallers() {
  Stop();
}

void SoakCallers::Stop() {
  stop_ = true;
  while (running_ > 0)
    absl::SleepFor(absl::Milliseconds(5));
}

void SoakCallers::Run(uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto chance = [&](double probability) {
    return std::bernoulli_distribution(probability)(random);
  };
  while (!stop_) {
    const Endpoint& router = routers_[random() % routers_.size()];
    Note(Exchange(client_, router,
                  chance(kOrderShare) ? kOrderPath : kStreamPath,
                  chance(kScarceShare) ? kScarce : kPlenty));
    hawthornhollow::SleepFor(
        kPause * std::uniform_real_distribution<double>(0, 1)(random));
  }
}

Seen SoakCallers::Exchange(HttpClient& client,
                           const Endpoint& router,
                           const std::string& path,
                           const std::string& workspace) {
  Seen seen{.id = absl::StrFormat("%08x", ++ids_),
            .path = path,
            .workspace = workspace};
  auto exchange =
      client.Open(router, MakeRequest(seen.id, path, workspace), kTimeLimit);
  if (!exchange.ok())
    return seen;
  const auto head = (*exchange)->ReadHead(kTimeLimit);
  if (!head.ok())
    return seen;
  seen.status = head->status;
  seen.answered_id = standins::AnsweredId(*head);
  seen.sealed = standins::IsSealed(*head);
  while (true) {
    const auto piece = (*exchange)->ReadSome(kTimeLimit);
    if (!piece.ok())
      return seen;
    if (piece->empty())
      break;
    seen.body.append(*piece);
  }
  seen.whole = true;
  return seen;
}

void SoakCallers::Note(Seen seen) {
  const std::lock_guard lock(mutex_);
  seen_.push_back(std::move(seen));
}

int SoakCallers::Ask(const Endpoint& router,
                     const std::string& path,
                     const std::string& workspace) {
  std::promise<int> status;
  runtime_->Spawn([&] {
    HttpClient client;
    Seen seen = Exchange(client, router, path, workspace);
    const int result = seen.whole ? seen.status : 0;
    Note(std::move(seen));
    status.set_value(result);
  });
  return status.get_future().get();
}

}  // namespace hawthornhollow::soak
