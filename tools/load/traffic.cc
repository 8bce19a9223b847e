#include "tools/load/traffic.h"

#include <algorithm>
#include <boost/json.hpp>
#include <random>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "testing/fleet.h"

namespace hawthornhollow::load {
namespace {

constexpr size_t kThreads = 2;
constexpr absl::Duration kProbeInterval = absl::Milliseconds(250);
constexpr absl::Duration kProbeTimeout = absl::Milliseconds(500);
constexpr absl::Duration kWaitStep = absl::Milliseconds(20);
// Connections that one request may use, the first included.
constexpr int kMaxAttempts = 6;
// How often a caller's timeout may pass before it gives up its request.
constexpr double kMaxTimeouts = 3;
constexpr absl::Duration kAttemptPause = absl::Milliseconds(100);
constexpr char kToken[] = "\"content\"";
constexpr char kEnd[] = "data: [DONE]";
constexpr char kErrorEvent[] = "\"error\"";

int64_t CountTokens(std::string_view body) {
  int64_t count = 0;
  for (size_t at = body.find(kToken); at != std::string_view::npos;
       at = body.find(kToken, at + 1))
    ++count;
  return count;
}

// What one answer amounts to, once it has ended.
Outcome OutcomeOf(int status, std::string_view body) {
  if (status == 429 || status == 503)
    return Outcome::kRefused;
  if (status != 200 || body.find(kErrorEvent) != std::string_view::npos)
    return Outcome::kFailed;
  return body.find(kEnd) == std::string_view::npos ? Outcome::kLost
                                                   : Outcome::kAnswered;
}

double Milliseconds(absl::Duration duration) {
  return absl::ToDoubleMilliseconds(duration);
}

}  // namespace

std::vector<Arrival> DrawArrivals(const Scenario& scenario) {
  std::vector<Arrival> arrivals;
  for (size_t i = 0; i < scenario.streams.size(); ++i) {
    const StreamShape& stream = scenario.streams[i];
    std::mt19937_64 random(scenario.seed * 1000 + i);
    std::exponential_distribution<double> gap(stream.per_second);
    for (double at = stream.start_s + gap(random); at < stream.stop_s;
         at += gap(random))
      arrivals.push_back({i, at});
  }
  std::stable_sort(
      arrivals.begin(), arrivals.end(),
      [](const Arrival& a, const Arrival& b) { return a.at_s < b.at_s; });
  return arrivals;
}

absl::StatusOr<std::unique_ptr<Traffic>> Traffic::Create(
    const Scenario& scenario,
    const Targets& targets) {
  std::unique_ptr<Traffic> traffic(new Traffic(scenario, targets));
  auto runtime = Runtime::Create({.threads = kThreads});
  if (!runtime.ok())
    return runtime.status();
  traffic->runtime_ = *std::move(runtime);
  return traffic;
}

Traffic::Traffic(const Scenario& scenario, const Targets& targets)
    : scenario_(scenario),
      targets_(targets),
      arrivals_(DrawArrivals(scenario)),
      records_(arrivals_.size()),
      healthy_(targets.routers.size()),
      client_(HttpClient::Options{.max_idle_per_endpoint = 512}) {
  for (std::atomic<bool>& healthy : healthy_)
    healthy = true;
}

Traffic::~Traffic() {
  stopping_ = true;
  while (probes_ > 0)
    absl::SleepFor(kWaitStep);
}

void Traffic::Start() {
  started_ = absl::Now();
  for (size_t i = 0; i < targets_.routers.size(); ++i) {
    ++probes_;
    runtime_->Spawn([this, i] { ProbeHealth(i); });
  }
  for (size_t thread = 0; thread < kThreads; ++thread)
    runtime_->SpawnOn(thread, [this, thread] { SendAll(thread); });
}

double Traffic::Elapsed() const {
  return absl::ToDoubleSeconds(absl::Now() - started_);
}

std::vector<RequestRecord> Traffic::Wait() {
  while (finished_ < arrivals_.size())
    absl::SleepFor(kWaitStep);
  return records_;
}

// Starts every request of this thread at its time.
void Traffic::SendAll(size_t thread) {
  for (size_t i = thread; i < arrivals_.size(); i += kThreads) {
    absl::Duration left =
        started_ + absl::Seconds(arrivals_[i].at_s) - absl::Now();
    if (left > absl::ZeroDuration())
      hawthornhollow::SleepFor(left);
    runtime_->SpawnOn(thread, [this, i] { Run(i); });
  }
}

void Traffic::ProbeHealth(size_t router) {
  while (!stopping_) {
    auto health = probe_client_.Call(targets_.routers[router],
                                     {.target = "/healthz"}, kProbeTimeout);
    healthy_[router] = health.ok() && health->status == 200;
    hawthornhollow::SleepFor(kProbeInterval);
  }
  --probes_;
}

const Endpoint& Traffic::NextTarget(bool direct) {
  if (direct)
    return targets_.engines[next_engine_++ % targets_.engines.size()];
  size_t count = targets_.routers.size();
  size_t first = next_router_++;
  for (size_t i = 0; i < count; ++i) {
    if (healthy_[(first + i) % count])
      return targets_.routers[(first + i) % count];
  }
  return targets_.routers[first % count];
}

HttpRequest Traffic::RequestFor(const Arrival& arrival, size_t number) const {
  const StreamShape& stream = scenario_.streams[arrival.stream];
  std::string text = absl::StrCat(stream.name, " ", number, " ");
  text.resize(std::max<size_t>(text.size(), stream.prompt_chars), 'x');
  std::string key = absl::StrCat("load-", scenario_.seed, "-", number);
  HttpRequest request =
      Fleet::ChatRequestFor({.text = text,
                             .max_tokens = stream.output_tokens,
                             .stream = true,
                             .rank = stream.rank,
                             .key = key,
                             .caller = stream.caller});
  if (stream.direct)
    request.headers.emplace_back("X-Request-Id", key);
  return request;
}

// As a caller does: a request whose connection is refused, breaks or stays
// silent goes to another router under its key, until it has an answer or its
// time is up.
void Traffic::Run(size_t number) {
  const Arrival& arrival = arrivals_[number];
  RequestRecord& record = records_[number];
  record.stream = arrival.stream;
  record.arrived_s = arrival.at_s;
  absl::Time arrived = started_ + absl::Seconds(arrival.at_s);
  absl::Time give_up =
      arrived + kMaxTimeouts * absl::Seconds(scenario_.client_timeout_s);
  do {
    if (record.attempts > 0)
      hawthornhollow::SleepFor(kAttemptPause);
    ++record.attempts;
    Attempt(arrival, number, &record);
  } while (record.outcome == Outcome::kLost && record.attempts < kMaxAttempts &&
           absl::Now() < give_up);
  record.total_ms = Milliseconds(absl::Now() - arrived);
  ++finished_;
}

void Traffic::Attempt(const Arrival& arrival,
                      size_t number,
                      RequestRecord* record) {
  absl::Time arrived = started_ + absl::Seconds(arrival.at_s);
  std::string body;
  record->status = 0;
  absl::Time first_token = absl::InfiniteFuture();
  absl::Status status = client_.Stream(
      NextTarget(scenario_.streams[arrival.stream].direct),
      RequestFor(arrival, number), absl::Seconds(scenario_.client_timeout_s),
      [&](int head_status, const HttpHeaders&) {
        record->status = head_status;
        return true;
      },
      [&](std::string_view data) {
        if (first_token == absl::InfiniteFuture())
          first_token = absl::Now();
        body.append(data);
        return true;
      });
  record->outcome =
      status.ok() ? OutcomeOf(record->status, body) : Outcome::kLost;
  record->tokens = CountTokens(body);
  if (first_token != absl::InfiniteFuture())
    record->first_token_ms = Milliseconds(first_token - arrived);
}

}  // namespace hawthornhollow::load
