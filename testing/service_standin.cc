#include "testing/service_standin.h"

#include <boost/json.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/runtime/runtime.h"
#include "testing/standin_support.h"

namespace hawthornhollow::standins {
namespace {

struct Faults {
  int64_t delay_ms = 0;
  double fail_before_run = 0;
  double fail_after_run = 0;
  bool outage = false;
};

bool IsProbability(double value) {
  return value >= 0 && value <= 1;
}

class ServiceStandin {
 public:
  explicit ServiceStandin(const ServiceStandinOptions& options)
      : options_(options), chance_(options.seed) {}

  void Handle(const HttpRequest& request, ResponseWriter& writer) {
    const std::string path(request.Path());
    if (path == "/counts") {
      return ShowCounts(writer);
    }
    if (request.method != "POST") {
      return SendError(writer, 405, "only POST runs an order");
    }
    if (path == "/control") {
      return Control(request, writer);
    }
    RunOrder(request, writer);
  }

 private:
  void RunOrder(const HttpRequest& request, ResponseWriter& writer) {
    const std::string order(request.Header("X-Request-Id"));
    if (order.empty()) {
      return SendError(writer, 400, "X-Request-Id is missing");
    }
    if (faults_.outage || chance_.Hit(faults_.fail_before_run)) {
      return SendError(writer, 503, "did not run");
    }
    const int64_t run = ++orders_[order];
    ++total_;
    hawthornhollow::SleepFor(
        absl::Milliseconds(options_.work_ms + faults_.delay_ms));
    if (chance_.Hit(faults_.fail_after_run)) {
      return writer.Abort();
    }
    SendJson(
        writer, 200,
        boost::json::object{
            {"order", order}, {"run", run}, {"echo", request.body.size()}});
  }

  void ShowCounts(ResponseWriter& writer) const {
    boost::json::object orders;
    for (const auto& [order, runs] : orders_) {
      orders[order] = runs;
    }
    SendJson(
        writer, 200,
        boost::json::object{{"orders", std::move(orders)}, {"total", total_}});
  }

  void Control(const HttpRequest& request, ResponseWriter& writer) {
    JsonFields fields = JsonFields::Parse(request.body);
    Faults faults = faults_;
    fields.Int("delay_ms", &faults.delay_ms);
    fields.Double("fail_before_run", &faults.fail_before_run);
    fields.Double("fail_after_run", &faults.fail_after_run);
    fields.Bool("outage", &faults.outage);
    const absl::Status status = fields.Finish();
    if (!status.ok()) {
      return SendError(writer, 400, status.ToString());
    }
    if (faults.delay_ms < 0 || !IsProbability(faults.fail_before_run) ||
        !IsProbability(faults.fail_after_run)) {
      return SendError(writer, 400, "a value is out of range");
    }
    faults_ = faults;
    SendJson(writer, 200, boost::json::object{{"ok", true}});
  }

  ServiceStandinOptions options_;
  Chance chance_;
  Faults faults_;
  std::map<std::string, int64_t> orders_;
  int64_t total_ = 0;
};

}  // namespace

absl::StatusOr<HttpHandler> MakeServiceStandin(
    const ServiceStandinOptions& options) {
  if (options.work_ms < 0) {
    return ErrorAt(absl::StatusCode::kInvalidArgument, "service.options", "",
                   "work-ms must not be negative");
  }
  auto service = std::make_shared<ServiceStandin>(options);
  return HttpHandler(
      [service](const HttpRequest& request, ResponseWriter& writer) {
        service->Handle(request, writer);
      });
}

}  // namespace hawthornhollow::standins
