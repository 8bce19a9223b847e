// Each call uses a new connection. If a reused connection were closed by the
// server while the request is being sent, it would be unknown whether the
// request ran, and a call that is not idempotent could not be retried.
//
// A call of an engine is cancelled by POST /v1/cancel, after which the engine
// ends the stream. If the connection is dead, its fiber would wait until the
// idle timeout. The run is therefore reported as ended after
// `cancel_grace_period`, and bytes that its fiber receives later are discarded.

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

// Parses a JSON object. Returns nullopt if `text` is not a JSON object.
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

// Returns the ids in {"running":[{"id":"..."}]}.
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

// One call in progress. `mutex` guards the members declared after it.
struct BackendRunner::Call {
  int64_t run = 0;
  fb::DispatchT dispatch;
  boost::fibers::mutex mutex;
  bool finished = false;
  // Whether to pass the answer to the router. Answers with which an engine
  // refuses the request are not passed on, since the router may retry the
  // request at another backend server.
  bool forward_answer = true;
  CallObservations observations;
  std::optional<UsageMeter> meter;

  bool is_engine() const { return dispatch.kind == fb::CallKind::Chat; }

  // Copies the token usage from the meter. `mutex` must be held.
  void TakeUsage() {
    if (!meter.has_value()) {
      return;
    }
    observations.answer_complete = meter->complete();
    observations.output_tokens = meter->output_tokens();
    observations.prompt_tokens =
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
// Running one call

void BackendRunner::Start(int64_t run, const fb::DispatchT& dispatch) {
  auto call = std::make_shared<Call>();
  call->run = run;
  call->dispatch = dispatch;
  call->observations.idempotent = call->is_engine();
  {
    std::lock_guard<boost::fibers::mutex> lock(mutex_);
    calls_[run] = call;
  }
  runtime_.Spawn([this, call] { Execute(call); });
}

HttpRequest BackendRunner::MakeHttpRequest(
    const fb::DispatchT& dispatch) const {
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
  const HttpRequest request = MakeHttpRequest(call->dispatch);
  call->dispatch.body = {};
  const absl::Status status = call_client_.Stream(
      options_.backend, request, options_.idle_timeout,
      [&](int code, const HttpHeaders& headers) {
        return OnHead(*call, code, headers);
      },
      [&](std::string_view bytes) { return OnData(*call, bytes); });
  CallObservations observations;
  {
    std::lock_guard<boost::fibers::mutex> lock(call->mutex);
    if (call->meter.has_value()) {
      call->meter->Finish();
    }
    call->TakeUsage();
    observations = call->observations;
  }
  if (observations.output_limit_exceeded) {
    CancelAtEngine(call->dispatch.request).IgnoreError();
  }
  Finish(*call, ClassifyRunEnd(observations,
                               Annotate(status, "backend.call", peer())));
}

bool BackendRunner::OnHead(Call& call, int status, const HttpHeaders& headers) {
  const std::string content_type(FindHeader(headers, "Content-Type"));
  {
    std::lock_guard<boost::fibers::mutex> lock(call.mutex);
    if (call.finished) {
      return false;
    }
    call.observations.status_code = status;
    call.forward_answer = !call.is_engine() || !IsEngineRefusal(status);
    if (call.is_engine() && status == kOk) {
      call.meter.emplace(content_type.starts_with(kEventStream)
                             ? UsageMeter::Format::kEventStream
                             : UsageMeter::Format::kJson);
    }
  }
  if (call.forward_answer) {
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
      call.observations.output_limit_exceeded =
          limit > 0 && call.meter->content_chunks() > limit;
    }
    if (call.observations.output_limit_exceeded) {
      return false;
    }
  }
  if (call.forward_answer) {
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
    call->observations.stopped = true;
  }
  const absl::Status status = CancelAtEngine(call->dispatch.request);
  if (!status.ok()) {
    LogEvent("backend.cancel", LogSeverity::kWarning)
        .Add("request", call->dispatch.request)
        .Add("error", status);
  }
  hawthornhollow::SleepFor(options_.cancel_grace_period);
  RunEnd end;
  {
    std::lock_guard<boost::fibers::mutex> lock(call->mutex);
    call->TakeUsage();
    end = ClassifyRunEnd(call->observations, absl::CancelledError("stopped"));
  }
  Finish(*call, end);
}

absl::Status BackendRunner::CancelAtEngine(const std::string& request) {
  HttpRequest cancel;
  cancel.method = "POST";
  cancel.target = "/v1/cancel";
  cancel.headers.emplace_back("Content-Type", "application/json");
  cancel.body =
      boost::json::serialize(boost::json::object{{"request_id", request}});
  const absl::StatusOr<HttpResponse> response =
      control_client_.Call(options_.backend, cancel, options_.control_timeout);
  return Annotate(response.status(), "backend.cancel", peer());
}

absl::Status BackendRunner::CancelStaleRuns() {
  if (options_.kind == BackendKind::kService) {
    return absl::OkStatus();
  }
  const absl::StatusOr<HttpResponse> response = control_client_.Call(
      options_.backend, MakeGet("/running"), options_.control_timeout);
  // A backend server that accepts no connection runs nothing from an earlier
  // incarnation.
  if (absl::IsUnavailable(response.status())) {
    return absl::OkStatus();
  }
  if (!response.ok()) {
    return Annotate(response.status(), "backend.running", peer());
  }
  const auto answer = ParseObject(response->body);
  if (response->status != kOk || !answer.has_value()) {
    return absl::OkStatus();  // The engine does not list its runs.
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
