// Runs calls of the backend server.
//
// Each call has a connection of its own: on a kept one, a server that closes it
// at the same moment would leave open whether the request ran, and a call that
// may not be repeated would be lost to that doubt.
//
// An engine's call is stopped by an order to the engine, which then ends the
// stream. Should the connection itself be dead, nothing would wake its fiber
// before the idle timeout; so after the grace the run is reported as ended, and
// whatever its fiber still receives is dropped.

#include "hawthornhollow/gate/backend_runner.h"

#include <boost/json.hpp>
#include <mutex>
#include <utility>

#include "absl/strings/str_cat.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/gate/run_outcome.h"
#include "hawthornhollow/gate/usage_meter.h"

namespace hawthornhollow {
namespace {

constexpr std::string_view kEventStream = "text/event-stream";
constexpr int kOk = 200;

HttpRequest MakeGet(std::string_view target) {
  HttpRequest request;
  request.target = std::string(target);
  return request;
}

// The parsed body; nullopt unless it is a JSON object.
std::optional<boost::json::object> ParseObject(std::string_view text) {
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(text, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

double NumberOr(const boost::json::object& object,
                std::string_view name,
                double fallback) {
  const boost::json::value* value = object.if_contains(name);
  boost::json::error_code error;
  const double number =
      value == nullptr ? fallback : value->to_number<double>(error);
  return error ? fallback : number;
}

// The ids of {"running":[{"id":"..."}]}.
std::vector<std::string> RunningIds(const boost::json::object& answer) {
  std::vector<std::string> ids;
  const boost::json::value* running = answer.if_contains("running");
  if (running == nullptr || !running->is_array()) {
    return ids;
  }
  for (const boost::json::value& item : running->get_array()) {
    const boost::json::object* object = item.if_object();
    const boost::json::value* id =
        object == nullptr ? nullptr : object->if_contains("id");
    if (id != nullptr && id->is_string()) {
      ids.emplace_back(id->get_string());
    }
  }
  return ids;
}

}  // namespace

// One call in progress. `mutex` guards what follows it.
struct BackendRunner::Call {
  int64_t run = 0;
  fb::DispatchT dispatch;
  boost::fibers::mutex mutex;
  bool finished = false;
  // An engine's refusal is not handed on, since it may be tried elsewhere.
  bool hand_on = true;
  CallFacts facts;
  std::optional<UsageMeter> meter;

  bool is_engine() const { return dispatch.kind == fb::CallKind::Chat; }

  // Takes the usage from the meter. Requires mutex.
  void TakeUsage() {
    if (!meter.has_value()) {
      return;
    }
    facts.answer_complete = meter->complete();
    facts.output_tokens = meter->output_tokens();
    facts.prompt_tokens =
        meter->prompt_tokens().value_or(dispatch.prompt_tokens);
  }
};

std::unique_ptr<BackendRunner> BackendRunner::Create(
    Runtime& runtime,
    const BackendRunnerOptions& options,
    RunEvents events) {
  return std::unique_ptr<BackendRunner>(
      new BackendRunner(runtime, options, std::move(events)));
}

BackendRunner::BackendRunner(Runtime& runtime,
                             const BackendRunnerOptions& options,
                             RunEvents events)
    : runtime_(runtime),
      options_(options),
      events_(std::move(events)),
      call_client_(HttpClient::Options{.max_idle_per_endpoint = 0}) {}
BackendRunner::~BackendRunner() = default;

// ---------------------------------------------------------------------------
// One call

void BackendRunner::Start(int64_t run, const fb::DispatchT& dispatch) {
  auto call = std::make_shared<Call>();
  call->run = run;
  call->dispatch = dispatch;
  call->facts.idempotent = call->is_engine();
  {
    std::lock_guard<boost::fibers::mutex> lock(mutex_);
    calls_[run] = call;
  }
  runtime_.Spawn([this, call] { Execute(call); });
}

HttpRequest BackendRunner::MakeCall(const fb::DispatchT& dispatch) const {
  HttpRequest request;
  request.method = dispatch.method;
  request.target = dispatch.target;
  if (!dispatch.content_type.empty()) {
    request.headers.emplace_back("Content-Type", dispatch.content_type);
  }
  request.headers.emplace_back("X-Request-Id", dispatch.request);
  request.headers.emplace_back("X-Priority",
                               std::to_string(dispatch.rank_order));
  request.headers.emplace_back("X-Fence", std::to_string(dispatch.fence));
  request.body.assign(dispatch.body.begin(), dispatch.body.end());
  return request;
}

void BackendRunner::Execute(const std::shared_ptr<Call>& call) {
  const HttpRequest request = MakeCall(call->dispatch);
  call->dispatch.body = {};
  const absl::Status status = call_client_.Stream(
      options_.backend, request, options_.idle_timeout,
      [&](int code, const HttpHeaders& headers) {
        return OnHead(*call, code, headers);
      },
      [&](std::string_view bytes) { return OnData(*call, bytes); });
  CallFacts facts;
  {
    std::lock_guard<boost::fibers::mutex> lock(call->mutex);
    if (call->meter.has_value()) {
      call->meter->Finish();
    }
    call->TakeUsage();
    facts = call->facts;
  }
  if (facts.over_limit) {
    CancelAtEngine(call->dispatch.request).IgnoreError();
  }
  Finish(*call, DecideEnd(facts, Annotate(status, "backend.call", peer())));
}

bool BackendRunner::OnHead(Call& call, int status, const HttpHeaders& headers) {
  const std::string content_type(FindHeader(headers, "Content-Type"));
  {
    std::lock_guard<boost::fibers::mutex> lock(call.mutex);
    if (call.finished) {
      return false;
    }
    call.facts.status_code = status;
    call.hand_on = !call.is_engine() || !IsEngineRefusal(status);
    if (call.is_engine() && status == kOk) {
      call.meter.emplace(content_type.starts_with(kEventStream)
                             ? UsageMeter::Format::kEventStream
                             : UsageMeter::Format::kJson);
    }
  }
  if (call.hand_on) {
    events_.on_head(call.run, status, content_type);
  }
  return true;
}

bool BackendRunner::OnData(Call& call, std::string_view bytes) {
  {
    std::lock_guard<boost::fibers::mutex> lock(call.mutex);
    if (call.finished) {
      return false;
    }
    if (call.meter.has_value()) {
      call.meter->Update(bytes);
      const int64_t limit = call.dispatch.max_output_tokens;
      call.facts.over_limit = limit > 0 && call.meter->content_chunks() > limit;
    }
    if (call.facts.over_limit) {
      return false;
    }
  }
  if (call.hand_on) {
    events_.on_data(call.run, bytes);
  }
  return true;
}

void BackendRunner::Finish(Call& call, const RunEnd& end) {
  {
    std::lock_guard<boost::fibers::mutex> lock(call.mutex);
    if (std::exchange(call.finished, true)) {
      return;
    }
  }
  {
    std::lock_guard<boost::fibers::mutex> lock(mutex_);
    calls_.erase(call.run);
  }
  events_.on_end(call.run, end);
}

// ---------------------------------------------------------------------------
// Cancelling

void BackendRunner::Stop(int64_t run, const std::string& request) {
  std::shared_ptr<Call> call;
  {
    std::lock_guard<boost::fibers::mutex> lock(mutex_);
    const auto it = calls_.find(run);
    if (it == calls_.end()) {
      return;
    }
    call = it->second;
  }
  runtime_.Spawn([this, call] { StopCall(call); });
}

void BackendRunner::StopCall(const std::shared_ptr<Call>& call) {
  {
    std::lock_guard<boost::fibers::mutex> lock(call->mutex);
    call->facts.stopped = true;
  }
  const absl::Status status = CancelAtEngine(call->dispatch.request);
  if (!status.ok()) {
    LogEvent("backend.cancel", LogSeverity::kWarning)
        .Add("request", call->dispatch.request)
        .Add("error", status);
  }
  hawthornhollow::SleepFor(options_.cancel_grace);
  RunEnd end;
  {
    std::lock_guard<boost::fibers::mutex> lock(call->mutex);
    call->TakeUsage();
    end = DecideEnd(call->facts, absl::CancelledError("stopped"));
  }
  Finish(*call, end);
}

absl::Status BackendRunner::CancelAtEngine(const std::string& request) {
  HttpRequest order;
  order.method = "POST";
  order.target = "/v1/cancel";
  order.headers.emplace_back("Content-Type", "application/json");
  order.body =
      boost::json::serialize(boost::json::object{{"request_id", request}});
  const absl::StatusOr<HttpResponse> response =
      control_client_.Call(options_.backend, order, options_.control_timeout);
  return Annotate(response.status(), "backend.cancel", peer());
}

absl::Status BackendRunner::CancelLeftovers() {
  if (options_.kind == BackendKind::kService) {
    return absl::OkStatus();
  }
  const absl::StatusOr<HttpResponse> response = control_client_.Call(
      options_.backend, MakeGet("/running"), options_.control_timeout);
  // Without a connection nothing of ours can be running.
  if (absl::IsUnavailable(response.status())) {
    return absl::OkStatus();
  }
  if (!response.ok()) {
    return Annotate(response.status(), "backend.running", peer());
  }
  const auto answer = ParseObject(response->body);
  if (response->status != kOk || !answer.has_value()) {
    return absl::OkStatus();  // the engine does not tell
  }
  for (const std::string& id : RunningIds(*answer)) {
    LogEvent("backend.leftover").Add("request", id);
    const absl::Status status = CancelAtEngine(id);
    if (!status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

absl::StatusOr<BackendLoad> BackendRunner::FetchLoad() {
  const absl::StatusOr<HttpResponse> response = control_client_.Call(
      options_.backend, MakeGet("/load"), options_.control_timeout);
  if (!response.ok()) {
    return Annotate(response.status(), "backend.load", peer());
  }
  const auto answer = ParseObject(response->body);
  if (response->status != kOk || !answer.has_value()) {
    return ErrorAt(absl::StatusCode::kNotFound, "backend.load", peer(),
                   absl::StrCat("status ", response->status));
  }
  BackendLoad load;
  load.slots = static_cast<int64_t>(NumberOr(*answer, "slots", 0));
  load.kv_used = NumberOr(*answer, "kv_used", 0);
  return load;
}

}  // namespace hawthornhollow
