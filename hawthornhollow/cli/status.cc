#include <algorithm>
#include <cstdio>
#include <optional>

#include "boost/json/array.hpp"
#include "boost/json/object.hpp"
#include "boost/json/parse.hpp"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/cli/budget_table.h"
#include "hawthornhollow/cli/cli.h"
#include "hawthornhollow/cli/commands.h"
#include "hawthornhollow/cli/log_session.h"
#include "hawthornhollow/cli/options.h"
#include "hawthornhollow/cli/output.h"

namespace hawthornhollow {
namespace {

constexpr char kName[] = "status";
constexpr absl::Duration kRouterTimeout = absl::Seconds(2);
constexpr int kHttpOk = 200;

struct StatusOptions {
  LogOptions log;
  std::vector<std::string> routers;
  bool json = false;
};

// What a router's GET /status tells; a field that it leaves out is unknown.
struct RouterReport {
  std::string address;
  std::string error;  // empty if the router answered
  std::string name;
  bool ready = false;
  bool draining = false;
  bool current = false;  // it knows that it has the newest version
  std::optional<int64_t> version;
  std::optional<int64_t> since_ms;
};

std::optional<int64_t> IntegerOf(const boost::json::object& object,
                                 const char* field) {
  const boost::json::value* value = object.if_contains(field);
  if (value == nullptr || !value->is_int64())
    return std::nullopt;
  return value->get_int64();
}

bool FlagOf(const boost::json::object& object, const char* field) {
  const boost::json::value* value = object.if_contains(field);
  return value != nullptr && value->is_bool() && value->get_bool();
}

std::string TextOf(const boost::json::object& object, const char* field) {
  const boost::json::value* value = object.if_contains(field);
  if (value == nullptr || !value->is_string())
    return "";
  return std::string(value->get_string().data(), value->get_string().size());
}

void ReadReport(const boost::json::object& status, RouterReport* report) {
  report->name = TextOf(status, "name");
  report->ready = FlagOf(status, "ready");
  report->draining = FlagOf(status, "draining");
  report->current = FlagOf(status, "current");
  const boost::json::value* config = status.if_contains("config");
  if (config == nullptr || !config->is_object())
    return;
  report->version = IntegerOf(config->get_object(), "version");
  report->since_ms = IntegerOf(config->get_object(), "since_ms");
}

RouterReport AskRouter(HttpClient& client, const std::string& address) {
  RouterReport report;
  report.address = address;
  auto endpoint = Endpoint::Parse(address);
  if (!endpoint.ok()) {
    report.error = "not IP:PORT";
    return report;
  }
  HttpRequest request;
  request.target = "/status";
  auto response = client.Call(*endpoint, request, kRouterTimeout);
  if (!response.ok()) {
    report.error = "unreachable";
    return report;
  }
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(response->body, error);
  if (response->status != kHttpOk || error || !value.is_object()) {
    report.error = "status " + std::to_string(response->status);
    return report;
  }
  ReadReport(value.get_object(), &report);
  return report;
}

// Milliseconds from the publish of a version to its being in force.
std::optional<int64_t> LagMs(const ConfigFold& fold,
                             const RouterReport& report) {
  for (const ConfigFold::VersionInfo& info : fold.history()) {
    bool known = report.version == info.version && report.since_ms.has_value();
    if (known)
      return std::max<int64_t>(0, *report.since_ms - info.time_ms);
  }
  return std::nullopt;
}

std::string OrDash(std::optional<int64_t> value) {
  return value.has_value() ? std::to_string(*value) : "-";
}

std::string StateOf(const ConfigFold& fold, const RouterReport& report) {
  if (!report.error.empty())
    return report.error;
  if (!report.version.has_value())
    return "unknown";
  int64_t behind = fold.version() - *report.version;
  if (behind > 0)
    return std::to_string(behind) + " behind";
  if (report.draining)
    return "draining";
  if (!report.ready)
    return "starting";
  return report.current ? "current" : "not sure";
}

// The whole of what the command shows.
struct FleetStatus {
  ConfigFold config;
  MembershipFold members;
  std::vector<BudgetRow> budgets;
  std::vector<RouterReport> routers;
};

void PrintVersion(const ConfigFold& fold) {
  if (fold.history().empty()) {
    std::printf("version %lld\n", static_cast<long long>(fold.version()));
    return;
  }
  const ConfigFold::VersionInfo& last = fold.history().back();
  std::printf("version %lld, published %s by %s\n",
              static_cast<long long>(last.version),
              FormatTimeMs(last.time_ms).c_str(), last.operator_name.c_str());
}

void PrintRouters(const FleetStatus& fleet) {
  Table table({"ADDRESS", "ROUTER", "VERSION", "SINCE", "LAG_MS", "STATE"});
  for (const RouterReport& report : fleet.routers) {
    table.AddRow(
        {report.address, report.name.empty() ? "-" : report.name,
         OrDash(report.version), FormatTimeMs(report.since_ms.value_or(0)),
         OrDash(LagMs(fleet.config, report)), StateOf(fleet.config, report)});
  }
  table.Print();
  std::printf("\n");
}

const char* RouterStateName(RouterState state) {
  switch (state) {
    case RouterState::kOpen:
      return "open";
    case RouterState::kSuspect:
      return "suspect";
    case RouterState::kClosed:
      return "closed";
  }
  return "unknown";
}

void PrintMembers(const MembershipFold& members) {
  Table table({"PROCESS", "NAME", "INCARNATION", "STATE"});
  for (const auto& [incarnation, router] : members.routers()) {
    if (router.state != RouterState::kClosed) {
      table.AddRow(
          {"router", router.name, incarnation, RouterStateName(router.state)});
    }
  }
  for (const auto& [incarnation, gate] : members.gates()) {
    if (!gate.closed && !gate.lost)
      table.AddRow({"sidecar", gate.gate, incarnation, "open"});
  }
  table.Print();
}

void PrintFleet(const FleetStatus& fleet) {
  PrintVersion(fleet.config);
  std::printf("\n");
  if (!fleet.routers.empty())
    PrintRouters(fleet);
  PrintMembers(fleet.members);
  std::printf("\n");
  PrintBudgets(fleet.budgets);
}

boost::json::value OrNull(std::optional<int64_t> value) {
  return value.has_value() ? boost::json::value(*value) : nullptr;
}

boost::json::array RoutersJson(const FleetStatus& fleet) {
  boost::json::array list;
  for (const RouterReport& report : fleet.routers) {
    list.push_back(
        boost::json::object{{"address", report.address},
                            {"name", report.name},
                            {"version", OrNull(report.version)},
                            {"since_ms", OrNull(report.since_ms)},
                            {"lag_ms", OrNull(LagMs(fleet.config, report))},
                            {"state", StateOf(fleet.config, report)}});
  }
  return list;
}

boost::json::array MembersJson(const MembershipFold& members) {
  boost::json::array list;
  for (const auto& [incarnation, router] : members.routers()) {
    list.push_back(
        boost::json::object{{"process", "router"},
                            {"name", router.name},
                            {"incarnation", incarnation},
                            {"state", RouterStateName(router.state)}});
  }
  for (const auto& [incarnation, gate] : members.gates()) {
    const char* state = gate.lost ? "lost" : gate.closed ? "closed" : "open";
    list.push_back(boost::json::object{{"process", "sidecar"},
                                       {"name", gate.gate},
                                       {"incarnation", incarnation},
                                       {"state", state}});
  }
  return list;
}

void PrintFleetJson(const FleetStatus& fleet) {
  boost::json::object object{{"version", fleet.config.version()},
                             {"routers", RoutersJson(fleet)},
                             {"members", MembersJson(fleet.members)},
                             {"budgets", BudgetsJson(fleet.budgets)}};
  if (!fleet.config.history().empty())
    object["published_ms"] = fleet.config.history().back().time_ms;
  PrintJson(object);
}

absl::StatusOr<FleetStatus> ReadFleet(LogSession& session,
                                      const StatusOptions& options) {
  FleetStatus fleet;
  auto config = session.ReadConfig();
  if (!config.ok())
    return config.status();
  auto members = session.ReadMembers();
  if (!members.ok())
    return members.status();
  auto ledgers = session.ReadLedgers();
  if (!ledgers.ok())
    return ledgers.status();
  HttpClient client;
  for (const std::string& address : options.routers)
    fleet.routers.push_back(AskRouter(client, address));
  fleet.budgets = BudgetRows(config->fold, *ledgers);
  fleet.config = std::move(config->fold);
  fleet.members = std::move(members->fold);
  return fleet;
}

int ShowStatus(LogSession& session, const StatusOptions& options) {
  auto fleet = ReadFleet(session, options);
  if (!fleet.ok())
    return Fail(kName, fleet.status());
  if (options.json)
    PrintFleetJson(*fleet);
  else
    PrintFleet(*fleet);
  bool all_answered = std::all_of(
      fleet->routers.begin(), fleet->routers.end(),
      [](const RouterReport& report) { return report.error.empty(); });
  return all_answered ? kExitOk : kExitUnknown;
}

}  // namespace

int RunStatusCommand(const Arguments& arguments) {
  StatusOptions status;
  OptionParser options(
      {.name = kName,
       .description =
           "Shows the configuration's version in the log, the open routers and "
           "side\nprocesses, and the budgets. Asks each --router which version "
           "it has in force,\nsince when, and how long after its publish "
           "(LAG_MS). Exit status 3 if a router\ndoes not answer.\n",
       .example =
           "  $ hawthornhollow status --log 127.0.0.1:7001 "
           "--router 127.0.0.1:8080\n"
           "  version 13, published 2026-05-04T10:20:30Z by binod\n\n"
           "  ADDRESS         ROUTER    VERSION  SINCE                 LAG_MS  "
           "STATE\n"
           "  127.0.0.1:8080  router-1       13  2026-05-04T10:20:30Z     120  "
           "current\n"});
  options.AddList("router", "IP:PORT", "a router to ask; may be repeated",
                  &status.routers);
  options.AddFlag("json", "print JSON", &status.json);
  AddLogOptions(options, &status.log);
  if (std::optional<int> exit = options.Parse(arguments))
    return *exit;
  return WithLog(kName, status.log, [&](LogSession& session) {
    return ShowStatus(session, status);
  });
}

}  // namespace hawthornhollow
