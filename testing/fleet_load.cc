#include "testing/fleet_load.h"

#include <boost/json.hpp>
#include <utility>

#include "absl/time/clock.h"

namespace hawthornhollow {
namespace {

namespace json = boost::json;

constexpr absl::Duration kPoll = absl::Milliseconds(5);

std::string TextAt(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  return value && value->is_string() ? std::string(value->get_string()) : "";
}

int64_t UsageOf(const json::object& body) {
  const json::value* usage = body.if_contains("usage");
  if (!usage || !usage->is_object())
    return 0;
  return usage->at("prompt_tokens").to_number<int64_t>() +
         usage->at("completion_tokens").to_number<int64_t>();
}

}  // namespace

Answer ParseAnswer(const absl::StatusOr<HttpResponse>& response) {
  Answer answer;
  if (!response.ok()) {
    answer.code = std::string(response.status().message());
    return answer;
  }
  answer.status = response->status;
  answer.request = std::string(response->Header("X-Request-Id"));
  boost::system::error_code error;
  json::value body = json::parse(response->body, error);
  if (error || !body.is_object())
    return answer;
  if (answer.whole()) {
    answer.tokens = UsageOf(body.get_object());
    return answer;
  }
  const json::value* told = body.get_object().if_contains("error");
  if (told && told->is_object()) {
    answer.code = TextAt(told->get_object(), "code");
    answer.run = TextAt(told->get_object(), "run");
  }
  return answer;
}

FleetLoad::FleetLoad(Fleet& fleet, const LoadOptions& options)
    : fleet_(fleet), options_(options) {}

FleetLoad::~FleetLoad() {
  if (runtime_)
    TakeAnswers();
}

void FleetLoad::Start() {
  auto runtime = Runtime::Create({.threads = 1});
  if (!runtime.ok())
    return;
  runtime_ = std::move(*runtime);
  running_ = options_.fibers;
  for (size_t i = 0; i < options_.fibers; ++i)
    runtime_->Spawn([this, i] { RunFiber(i); });
}

void FleetLoad::RunFiber(size_t number) {
  HttpRequest request = Fleet::ChatRequestFor(options_.chat);
  while (!stop_) {
    if (sent_.fetch_add(1) >= options_.requests && options_.requests > 0)
      break;
    size_t router = options_.routers[number % options_.routers.size()];
    absl::Time sent = absl::Now();
    Answer answer = ParseAnswer(
        client_.Call(fleet_.router(router), request, options_.timeout));
    answer.router = router;
    answer.sent = sent;
    answer.took = absl::Now() - sent;
    bool whole = answer.whole();
    {
      std::lock_guard lock(mutex_);
      answers_.push_back(std::move(answer));
    }
    hawthornhollow::SleepFor(whole ? options_.pause
                                   : options_.pause_after_error);
    number += options_.fibers;
  }
  --running_;
}

std::vector<Answer> FleetLoad::Stop() {
  stop_ = true;
  return TakeAnswers();
}

std::vector<Answer> FleetLoad::Finish() {
  return TakeAnswers();
}

std::vector<Answer> FleetLoad::TakeAnswers() {
  if (options_.requests == 0)
    stop_ = true;
  while (running_ > 0)
    absl::SleepFor(kPoll);
  runtime_.reset();
  std::lock_guard lock(mutex_);
  return std::exchange(answers_, {});
}

}  // namespace hawthornhollow
