#include "testing/vm_list_standin.h"

#include <boost/json.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "hawthornhollow/base/base.h"
#include "testing/standin_support.h"

namespace hawthornhollow::standins {
namespace {

struct VmChange {
  absl::Time shown;
  std::string name;
  std::string state;
};

class VmListStandin {
 public:
  explicit VmListStandin(const VmListStandinOptions& options)
      : lag_(absl::Milliseconds(options.lag_ms)) {}

  void Handle(const HttpRequest& request, ResponseWriter& writer) {
    if (request.Path() != "/vms") {
      return SendError(writer, 404, "no such path");
    }
    if (request.method == "POST") {
      return Change(request, writer);
    }
    List(writer);
  }

 private:
  void Change(const HttpRequest& request, ResponseWriter& writer) {
    JsonFields fields = JsonFields::Parse(request.body);
    VmChange change;
    change.shown = absl::Now() + lag_;
    fields.String("name", &change.name);
    fields.String("state", &change.state);
    const absl::Status status = fields.Finish();
    if (!status.ok()) {
      return SendError(writer, 400, status.ToString());
    }
    if (change.name.empty()) {
      return SendError(writer, 400, "name is missing");
    }
    if (change.state != "live" && change.state != "leaving" &&
        change.state != "gone") {
      return SendError(writer, 400, "state must be live, leaving or gone");
    }
    changes_.push_back(std::move(change));
    SendJson(writer, 200, boost::json::object{{"ok", true}});
  }

  void List(ResponseWriter& writer) {
    ApplyShown();
    boost::json::array vms;
    for (const auto& [name, state] : states_) {
      vms.push_back(boost::json::object{{"name", name}, {"state", state}});
    }
    SendJson(writer, 200, boost::json::object{{"vms", std::move(vms)}});
  }

  void ApplyShown() {
    const absl::Time now = absl::Now();
    while (!changes_.empty() && changes_.front().shown <= now) {
      const VmChange& change = changes_.front();
      if (change.state == "gone") {
        states_.erase(change.name);
      } else {
        states_[change.name] = change.state;
      }
      changes_.pop_front();
    }
  }

  absl::Duration lag_;
  std::deque<VmChange> changes_;
  std::map<std::string, std::string> states_;
};

}  // namespace

absl::StatusOr<HttpHandler> MakeVmListStandin(
    const VmListStandinOptions& options) {
  if (options.lag_ms < 0) {
    return ErrorAt(absl::StatusCode::kInvalidArgument, "vms.options", "",
                   "lag-ms must not be negative");
  }
  auto list = std::make_shared<VmListStandin>(options);
  return HttpHandler(
      [list](const HttpRequest& request, ResponseWriter& writer) {
        list->Handle(request, writer);
      });
}

}  // namespace hawthornhollow::standins
