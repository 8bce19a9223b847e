#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "boost/json/parse.hpp"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/log/log.h"

namespace hawthornhollow {

namespace {

constexpr int kStatusOk = 200;
constexpr absl::Duration kListTimeout = absl::Seconds(2);
constexpr char kListStep[] = "vms.list";

std::optional<std::string> StringField(const boost::json::object& object,
                                       const char* name) {
  const boost::json::value* value = object.if_contains(name);
  if (!value || !value->is_string())
    return std::nullopt;
  const boost::json::string& text = value->get_string();
  return std::string(text.data(), text.size());
}

std::optional<VmEntry> ParseVm(const boost::json::value& value) {
  const boost::json::object* object = value.if_object();
  if (!object)
    return std::nullopt;
  std::optional<std::string> name = StringField(*object, "name");
  std::optional<std::string> state = StringField(*object, "state");
  if (!name || !state)
    return std::nullopt;
  if (*state != "live" && *state != "leaving")
    return std::nullopt;
  return VmEntry{.name = *name, .leaving = *state == "leaving"};
}

std::optional<std::vector<VmEntry>> ParseVms(std::string_view text) {
  boost::json::error_code error;
  auto value = boost::json::parse({text.data(), text.size()}, error);
  if (error || !value.is_object())
    return std::nullopt;
  const boost::json::value* vms = value.get_object().if_contains("vms");
  if (!vms || !vms->is_array())
    return std::nullopt;
  std::vector<VmEntry> list;
  for (const boost::json::value& element : vms->get_array()) {
    std::optional<VmEntry> vm = ParseVm(element);
    if (!vm)
      return std::nullopt;
    list.push_back(*std::move(vm));
  }
  return list;
}

}  // namespace

HttpVmListClient::HttpVmListClient(const Endpoint& endpoint)
    : endpoint_(endpoint) {}

absl::StatusOr<std::vector<VmEntry>> HttpVmListClient::List() {
  HttpRequest request;
  request.target = "/vms";
  auto response = http_.Call(endpoint_, request, kListTimeout);
  if (!response.ok())
    return Annotate(response.status(), kListStep, endpoint_.ToString());
  if (response->status != kStatusOk) {
    return ErrorAt(absl::StatusCode::kUnavailable, kListStep,
                   endpoint_.ToString(),
                   absl::StrCat("HTTP status ", response->status));
  }
  std::optional<std::vector<VmEntry>> list = ParseVms(response->body);
  if (!list) {
    return ErrorAt(absl::StatusCode::kDataLoss, kListStep, endpoint_.ToString(),
                   "the answer has a malformed field");
  }
  return *std::move(list);
}

}  // namespace hawthornhollow
