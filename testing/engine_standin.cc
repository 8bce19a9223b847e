#include "testing/engine_standin.h"

#include <algorithm>
#include <boost/json.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "hawthornhollow/base/base.h"
#include "testing/engine_run.h"
#include "testing/prefix_cache.h"
#include "testing/standin_support.h"

namespace hawthornhollow::standins {
namespace {

// Ended runs that can still be resumed.
constexpr size_t kEndedRunsKept = 4096;
// The part of the prefill that a cached prefix leaves.
constexpr double kCachedPrefillShare = 0.1;
constexpr std::string_view kAdminPath = "/admin/";

struct Faults {
  double slow_factor = 1;
  double fail_share = 0;
  bool freeze = false;
  bool outage = false;
};

struct RequestCounts {
  int64_t runs = 0;
  int64_t prompt_tokens = 0;
  int64_t tokens = 0;
};

struct LoadSample {
  absl::Time at;
  int64_t running = 0;
  int64_t waiting = 0;
  int64_t kv_used = 0;  // tokens
};

// The engine's load, seen with a lag.
class LoadHistory {
 public:
  explicit LoadHistory(absl::Duration lag) : lag_(lag) {}

  void Add(const LoadSample& sample) {
    samples_.push_back(sample);
    DropOld(sample.at - lag_);
  }

  // The sample that was valid one lag ago.
  LoadSample Shown(absl::Time now) {
    DropOld(now - lag_);
    if (samples_.empty() || samples_.front().at > now - lag_) {
      return LoadSample();
    }
    return samples_.front();
  }

 private:
  // Leaves the sample that was valid at `time` as the first.
  void DropOld(absl::Time time) {
    while (samples_.size() > 1 && samples_[1].at <= time) {
      samples_.pop_front();
    }
  }

  absl::Duration lag_;
  std::deque<LoadSample> samples_;
};

struct TakenOrder {
  std::string name;
  int64_t fence = 0;
};

class RunBefore {
 public:
  bool operator()(const std::shared_ptr<Run>& a,
                  const std::shared_ptr<Run>& b) const {
    return a->turn() < b->turn();
  }
};

using RunSet = std::set<std::shared_ptr<Run>, RunBefore>;

class EngineStandin : public std::enable_shared_from_this<EngineStandin> {
 public:
  EngineStandin(Runtime& runtime, const EngineStandinOptions& options)
      : runtime_(runtime),
        options_(options),
        chance_(options.seed),
        cache_({.capacity = static_cast<size_t>(options.cache_prefixes),
                .event_lag = absl::Milliseconds(options.event_lag_ms),
                .event_drop = options.event_drop},
               &chance_),
        load_(absl::Milliseconds(options.load_lag_ms)) {}

  void Handle(const HttpRequest& request, ResponseWriter& writer) {
    const std::string path(request.Path());
    if (path == "/control") {
      return Control(request, writer);
    }
    if (path == "/counts") {
      return ShowCounts(writer);
    }
    if (faults_.outage) {
      return SendError(writer, 503, "outage");
    }
    thawed_.Wait([this] { return !faults_.freeze; });
    if (request.method == "POST") {
      return HandlePost(path, request, writer);
    }
    HandleGet(path, request, writer);
  }

 private:
  void HandlePost(const std::string& path,
                  const HttpRequest& request,
                  ResponseWriter& writer) {
    if (path == "/v1/chat/completions") {
      return Complete(request, writer);
    }
    if (path == "/v1/resume") {
      return Resume(request, writer);
    }
    if (path == "/v1/cancel") {
      return CancelById(request, writer);
    }
    if (path.starts_with(kAdminPath)) {
      return TakeOrder(path.substr(kAdminPath.size()), request, writer);
    }
    SendError(writer, 404, "no such path");
  }

  void HandleGet(const std::string& path,
                 const HttpRequest& request,
                 ResponseWriter& writer) {
    if (path == "/running") {
      return ShowRunning(writer);
    }
    if (path == "/load") {
      return ShowLoad(writer);
    }
    if (path == "/events") {
      return SendJson(writer, 200, cache_.Events(QueryInt(request, "from", 0)));
    }
    SendError(writer, 404, "no such path");
  }

  // -- Requests ---------------------------------------------------------------

  void Complete(const HttpRequest& request, ResponseWriter& writer) {
    absl::StatusOr<ChatRequest> chat = ChatRequest::Parse(request);
    if (!chat.ok()) {
      return SendError(writer, 400, chat.status().ToString());
    }
    if (chance_.Hit(faults_.fail_share)) {
      return SendError(writer, 500, "failed without a run");
    }
    const bool stream = chat->stream;
    const std::shared_ptr<Run> run = Admit(*std::move(chat));
    Show(run, writer, [&](const bool& gone) {
      if (stream) {
        return StreamRun(*run, 0, gone, writer);
      }
      run->changed.Wait([&] { return run->ended() || gone; });
      SendJson(writer, 200, WholeAnswer(*run));
    });
  }

  void Resume(const HttpRequest& request, ResponseWriter& writer) {
    JsonFields fields = JsonFields::Parse(request.body);
    std::string id;
    int64_t from = 0;
    fields.String("request_id", &id);
    fields.Int("from_token", &from);
    const absl::Status status = fields.Finish();
    if (!status.ok() || from < 0) {
      return SendError(writer, 400, "needs request_id and from_token");
    }
    const auto found = latest_.find(id);
    if (found == latest_.end()) {
      return SendError(writer, 404, "no such request");
    }
    const std::shared_ptr<Run> run = found->second;
    Show(run, writer,
         [&](const bool& gone) { StreamRun(*run, from, gone, writer); });
  }

  // Answers with `answer(gone)`, and counts the client as one of the run's
  // until it has been answered or has gone.
  template <typename Answer>
  void Show(const std::shared_ptr<Run>& run,
            ResponseWriter& writer,
            Answer answer) {
    ++run->clients;
    auto gone = std::make_shared<bool>(false);
    auto leave = [self = shared_from_this(), run, gone] {
      if (!std::exchange(*gone, true)) {
        self->RemoveClient(run);
      }
    };
    writer.OnClientGone(leave);
    answer(*gone);
    leave();
  }

  void RemoveClient(const std::shared_ptr<Run>& run) {
    --run->clients;
    if (run->clients == 0 && !options_.keep_on_disconnect) {
      Cancel(run);
    }
    run->changed.NotifyAll();
  }

  static void StreamRun(Run& run,
                        int64_t from,
                        const bool& gone,
                        ResponseWriter& writer) {
    absl::Status status =
        writer.StartStream(200, {{"Content-Type", "text/event-stream"}});
    for (int64_t next = from; status.ok(); ++next) {
      run.changed.Wait(
          [&] { return run.tokens > next || run.ended() || gone; });
      if (run.tokens <= next) {
        break;
      }
      status = writer.Write(TokenEvent(run, next));
    }
    if (!status.ok() || gone) {
      return;
    }
    writer.Write(EndEvents(run)).IgnoreError();
    writer.Finish().IgnoreError();
  }

  void CancelById(const HttpRequest& request, ResponseWriter& writer) {
    JsonFields fields = JsonFields::Parse(request.body);
    std::string id;
    fields.String("request_id", &id);
    if (!fields.Finish().ok()) {
      return SendError(writer, 400, "needs request_id");
    }
    const auto found = latest_.find(id);
    if (found == latest_.end()) {
      return SendError(writer, 404, "no such request");
    }
    for (const std::shared_ptr<Run>& run : std::vector(active_)) {
      if (run->chat.id == id) {
        Cancel(run);
      }
    }
    SendJson(writer, 200, RunSummary(*found->second));
  }

  // -- Runs -------------------------------------------------------------------

  std::shared_ptr<Run> Admit(ChatRequest chat) {
    auto run = std::make_shared<Run>();
    run->chat = std::move(chat);
    run->arrival = ++arrivals_;
    if (run->chat.id.empty()) {
      run->chat.id = absl::StrCat("unnamed-", arrivals_);
    }
    latest_[run->chat.id] = run;
    active_.push_back(run);
    waiting_.insert(run);
    runtime_.Spawn([self = shared_from_this(), run] { self->Execute(run); });
    StartWaiting();
    return run;
  }

  // Gives free slots to the waiting runs whose turn it is.
  void StartWaiting() {
    while (running_ < options_.slots && !waiting_.empty()) {
      const std::shared_ptr<Run> run = *waiting_.begin();
      waiting_.erase(waiting_.begin());
      ++running_;
      kv_used_ += run->chat.prompt_tokens;
      RequestCounts& counts = counts_[run->chat.id];
      ++counts.runs;
      counts.prompt_tokens += run->chat.prompt_tokens;
      run->state = RunState::kRunning;
      run->changed.NotifyAll();
    }
    SampleLoad();
  }

  void Execute(const std::shared_ptr<Run>& run) {
    run->changed.Wait([&] { return run->state != RunState::kWaiting; });
    if (run->state == RunState::kRunning) {
      Generate(*run);
    }
    End(run);
  }

  void Generate(Run& run) {
    Work(run, PrefillTime(run.chat));
    while (run.state == RunState::kRunning &&
           run.tokens < run.chat.output_tokens) {
      Work(run, absl::Milliseconds(options_.token_ms));
      if (run.state != RunState::kRunning) {
        break;
      }
      ++run.tokens;
      ++kv_used_;
      ++counts_[run.chat.id].tokens;
      ++total_tokens_;
      SampleLoad();
      run.changed.NotifyAll();
    }
  }

  absl::Duration PrefillTime(const ChatRequest& chat) {
    const absl::Duration whole =
        absl::Milliseconds(options_.prefill_ms_per_1k) *
        (static_cast<double>(chat.prompt_tokens) / 1000);
    return cache_.Touch(chat.prefix) ? whole * kCachedPrefillShare : whole;
  }

  // Takes `duration` of work, unless the run is cancelled meanwhile.
  void Work(Run& run, absl::Duration duration) {
    run.changed.WaitFor(duration * faults_.slow_factor,
                        [&] { return run.state == RunState::kCancelled; });
    thawed_.Wait([&] { return !faults_.freeze; });
  }

  void Cancel(const std::shared_ptr<Run>& run) {
    if (run->ended()) {
      return;
    }
    if (run->state == RunState::kWaiting) {
      waiting_.erase(run);
    } else {
      FreeSlot(*run);
    }
    run->state = RunState::kCancelled;
    ++cancelled_;
    StartWaiting();
    run->changed.NotifyAll();
  }

  void End(const std::shared_ptr<Run>& run) {
    if (!run->ended()) {
      run->state = RunState::kDone;
      FreeSlot(*run);
      StartWaiting();
    }
    std::erase(active_, run);
    ended_.push_back(run);
    run->changed.NotifyAll();
    if (ended_.size() > kEndedRunsKept) {
      Forget(ended_.front());
      ended_.pop_front();
    }
  }

  void FreeSlot(const Run& run) {
    --running_;
    kv_used_ -= run.chat.prompt_tokens + run.tokens;
  }

  void Forget(const std::shared_ptr<Run>& run) {
    const auto found = latest_.find(run->chat.id);
    if (found != latest_.end() && found->second == run) {
      latest_.erase(found);
    }
  }

  // -- Reports ----------------------------------------------------------------

  void SampleLoad() {
    load_.Add({.at = absl::Now(),
               .running = running_,
               .waiting = static_cast<int64_t>(waiting_.size()),
               .kv_used = kv_used_});
  }

  void ShowLoad(ResponseWriter& writer) {
    const LoadSample shown = load_.Shown(absl::Now());
    SendJson(writer, 200,
             boost::json::object{{"running", shown.running},
                                 {"waiting", shown.waiting},
                                 {"slots", options_.slots},
                                 {"kv_used", shown.kv_used}});
  }

  void ShowRunning(ResponseWriter& writer) const {
    boost::json::array running;
    for (const std::shared_ptr<Run>& run : active_) {
      if (!run->ended()) {
        running.push_back(RunSummary(*run));
      }
    }
    SendJson(writer, 200, boost::json::object{{"running", std::move(running)}});
  }

  void ShowCounts(ResponseWriter& writer) const {
    boost::json::object requests;
    int64_t runs = 0;
    for (const auto& [id, counts] : counts_) {
      runs += counts.runs;
      requests[id] =
          boost::json::object{{"runs", counts.runs},
                              {"prompt_tokens", counts.prompt_tokens},
                              {"tokens", counts.tokens}};
    }
    boost::json::array orders;
    for (const TakenOrder& order : orders_) {
      orders.push_back(
          boost::json::object{{"order", order.name}, {"fence", order.fence}});
    }
    SendJson(writer, 200,
             boost::json::object{{"requests", std::move(requests)},
                                 {"total_runs", runs},
                                 {"total_tokens", total_tokens_},
                                 {"cancelled", cancelled_},
                                 {"orders", std::move(orders)}});
  }

  // -- Orders and faults ------------------------------------------------------

  void TakeOrder(const std::string& name,
                 const HttpRequest& request,
                 ResponseWriter& writer) {
    if (name != "load_model" && name != "role") {
      return SendError(writer, 404, "no such order");
    }
    JsonFields fields = JsonFields::Parse(request.body);
    int64_t fence = -1;
    std::string model;
    std::string role;
    fields.Int("fence", &fence);
    fields.String("model", &model);
    fields.String("role", &role);
    if (!fields.Finish().ok() || fence < 0) {
      return SendError(writer, 400, "needs fence, a whole number from 0 on");
    }
    if (options_.check_fences && fence < highest_fence_) {
      return SendError(writer, 409, "a higher fence has been seen");
    }
    highest_fence_ = std::max(highest_fence_, fence);
    orders_.push_back({name, fence});
    SendJson(writer, 200, boost::json::object{{"fence", highest_fence_}});
  }

  void Control(const HttpRequest& request, ResponseWriter& writer) {
    JsonFields fields = JsonFields::Parse(request.body);
    Faults faults = faults_;
    fields.Double("slow_factor", &faults.slow_factor);
    fields.Double("fail_share", &faults.fail_share);
    fields.Bool("freeze", &faults.freeze);
    fields.Bool("outage", &faults.outage);
    const absl::Status status = fields.Finish();
    if (!status.ok()) {
      return SendError(writer, 400, status.ToString());
    }
    if (faults.slow_factor < 0 || faults.fail_share < 0 ||
        faults.fail_share > 1) {
      return SendError(writer, 400, "a value is out of range");
    }
    faults_ = faults;
    thawed_.NotifyAll();
    SendJson(writer, 200, boost::json::object{{"ok", true}});
  }

  Runtime& runtime_;
  EngineStandinOptions options_;
  Chance chance_;
  PrefixCache cache_;
  Faults faults_;
  FiberSignal thawed_;

  std::map<std::string, std::shared_ptr<Run>> latest_;  // by request id
  std::vector<std::shared_ptr<Run>> active_;            // not yet ended
  std::deque<std::shared_ptr<Run>> ended_;              // the oldest first
  RunSet waiting_;
  int64_t arrivals_ = 0;
  int64_t running_ = 0;
  int64_t kv_used_ = 0;

  LoadHistory load_;
  std::map<std::string, RequestCounts> counts_;
  int64_t total_tokens_ = 0;
  int64_t cancelled_ = 0;
  std::vector<TakenOrder> orders_;
  int64_t highest_fence_ = 0;
};

absl::Status Check(const EngineStandinOptions& options) {
  const bool valid = options.slots >= 1 && options.token_ms >= 0 &&
                     options.prefill_ms_per_1k >= 0 &&
                     options.cache_prefixes >= 1 && options.load_lag_ms >= 0 &&
                     options.event_lag_ms >= 0 && options.event_drop >= 0 &&
                     options.event_drop <= 1;
  if (valid) {
    return absl::OkStatus();
  }
  return ErrorAt(absl::StatusCode::kInvalidArgument, "engine.options", "",
                 "slots and cache-prefixes must be at least 1, times must not "
                 "be negative, event-drop must lie in 0 to 1");
}

}  // namespace

absl::StatusOr<HttpHandler> MakeEngineStandin(
    Runtime& runtime,
    const EngineStandinOptions& options) {
  const absl::Status status = Check(options);
  if (!status.ok()) {
    return status;
  }
  auto engine = std::make_shared<EngineStandin>(runtime, options);
  return HttpHandler(
      [engine](const HttpRequest& request, ResponseWriter& writer) {
        engine->Handle(request, writer);
      });
}

}  // namespace hawthornhollow::standins
