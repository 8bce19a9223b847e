// Measures how a configuration change reaches every router of a real fleet on
// loopback, and what the routers cost while nothing happens.
//
//   build/tools/inforce_experiment --routers 10 --links ring --changes 20

#include <popt.h>
#include <unistd.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "testing/fleet.h"

namespace hawthornhollow {
namespace {

namespace json = boost::json;

struct ExperimentOptions {
  int routers = 3;
  int changes = 20;
  int idle_seconds = 10;
  std::string links = "all";
};

constexpr absl::Duration kInForceTimeout = absl::Seconds(20);
constexpr absl::Duration kPoll = absl::Milliseconds(20);
constexpr absl::Duration kSettle = absl::Seconds(3);

// Sums over all routers, and the log's counts.
struct Counters {
  absl::Time at;
  double notices = 0;
  double notice_bytes = 0;
  double cpu_seconds = 0;
  double rss_bytes = 0;
  double appends = 0;
  double append_bytes = 0;
  double reads = 0;
};

double MetricOf(const std::string& page, const std::string& name) {
  std::istringstream lines(page);
  for (std::string line; std::getline(lines, line);) {
    size_t space = line.rfind(' ');
    if (line.starts_with("#") || space == std::string::npos)
      continue;
    if (line.substr(0, space).ends_with(name))
      return std::stod(line.substr(space + 1));
  }
  return 0;
}

// Processor time and resident bytes of a process.
void AddProcess(pid_t pid, Counters* counters) {
  std::ifstream stat(absl::StrCat("/proc/", pid, "/stat"));
  std::string text((std::istreambuf_iterator<char>(stat)),
                   std::istreambuf_iterator<char>());
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::vector<std::string> values;
  for (std::string value; fields >> value;)
    values.push_back(value);
  // Fields 14 and 15 (user and system time) and 24 (pages) of proc(5).
  counters->cpu_seconds += (std::stod(values[11]) + std::stod(values[12])) /
                           static_cast<double>(sysconf(_SC_CLK_TCK));
  counters->rss_bytes +=
      std::stod(values[21]) * static_cast<double>(sysconf(_SC_PAGESIZE));
}

Counters Count(Fleet& fleet, int routers) {
  Counters counters;
  counters.at = absl::Now();
  for (int i = 0; i < routers; ++i) {
    std::string page = fleet.Get(fleet.router(i), "/metrics").value_or("");
    counters.notices += MetricOf(page, "config_notices");
    counters.notice_bytes += MetricOf(page, "config_notice_bytes");
    AddProcess(fleet.router_process(i).Pid(), &counters);
  }
  auto control = fleet.Get(fleet.log(), "/control");
  if (!control.ok())
    return counters;
  json::value parsed = json::parse(*control);
  for (const auto& stream : parsed.at("streams").as_object()) {
    counters.appends += stream.value().at("appends").to_number<double>();
    counters.append_bytes += stream.value().at("bytes").to_number<double>();
    counters.reads += stream.value().at("reads").to_number<double>();
  }
  return counters;
}

// When the last router took up the version; InfiniteFuture if one does not.
absl::Time InForceEverywhere(Fleet& fleet, int routers, int64_t version) {
  absl::Time last = absl::InfinitePast();
  absl::Time deadline = absl::Now() + kInForceTimeout;
  for (int i = 0; i < routers; ++i) {
    while (true) {
      if (absl::Now() > deadline)
        return absl::InfiniteFuture();
      auto page = fleet.Get(fleet.router(i), "/status");
      boost::system::error_code error;
      json::value status = json::parse(page.value_or(""), error);
      if (!error && status.at("config").at("version").as_int64() >= version) {
        int64_t since = status.at("config").at("since_ms").as_int64();
        last = std::max(last, absl::FromUnixMillis(since));
        break;
      }
      absl::SleepFor(kPoll);
    }
  }
  return last;
}

struct ChangeTimes {
  std::vector<double> from_start_ms;
  std::vector<double> from_accepted_ms;
};

ChangeTimes MakeChanges(Fleet& fleet, const ExperimentOptions& options) {
  ChangeTimes times;
  for (int i = 0; i < options.changes; ++i) {
    std::string member =
        absl::StrCat(R"({"kind":"member","name":"member-)", i, R"("})");
    absl::Time start = absl::Now();
    absl::Status published = fleet.Publish("90-member.json", member);
    absl::Time accepted = absl::Now();
    if (!published.ok()) {
      std::printf("publish failed: %s\n", published.ToString().c_str());
      continue;
    }
    absl::Time last = InForceEverywhere(fleet, options.routers, i + 2);
    times.from_start_ms.push_back(absl::ToDoubleMilliseconds(last - start));
    times.from_accepted_ms.push_back(
        std::max(0.0, absl::ToDoubleMilliseconds(last - accepted)));
  }
  return times;
}

double Quantile(std::vector<double> values, double q) {
  if (values.empty())
    return -1;
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(q *
                                    static_cast<double>(values.size() - 1))];
}

void PrintIdle(const Counters& from, const Counters& to, double routers) {
  double seconds = absl::ToDoubleSeconds(to.at - from.at);
  double per_router = seconds * routers;
  std::printf(
      "idle per router: notices/s %.2f, notice bytes/s %.0f, cpu %.3f%%, "
      "rss MB %.1f\n",
      (to.notices - from.notices) / per_router,
      (to.notice_bytes - from.notice_bytes) / per_router,
      100 * (to.cpu_seconds - from.cpu_seconds) / per_router,
      to.rss_bytes / routers / 1e6);
  std::printf(
      "idle at the log: appends/s %.2f, append bytes/s %.0f, reads/s "
      "%.1f\n",
      (to.appends - from.appends) / seconds,
      (to.append_bytes - from.append_bytes) / seconds,
      (to.reads - from.reads) / seconds);
}

int RunExperiment(const ExperimentOptions& options) {
  FleetOptions fleet_options;
  fleet_options.routers = static_cast<size_t>(options.routers);
  fleet_options.engines = 1;
  fleet_options.services = 0;
  fleet_options.router_threads = 1;
  fleet_options.peer_links = options.links;
  auto fleet = Fleet::Start(fleet_options);
  if (!fleet.ok()) {
    std::printf("fleet: %s\n", fleet.status().ToString().c_str());
    return 1;
  }
  absl::SleepFor(kSettle);
  double routers = options.routers;
  Counters idle_from = Count(**fleet, options.routers);
  absl::SleepFor(absl::Seconds(options.idle_seconds));
  Counters idle_to = Count(**fleet, options.routers);
  ChangeTimes times = MakeChanges(**fleet, options);
  Counters end = Count(**fleet, options.routers);

  std::printf("routers %d, links %s\n", options.routers, options.links.c_str());
  PrintIdle(idle_from, idle_to, routers);
  std::printf(
      "in force on the last router, ms from accepted: p50 %.0f, max %.0f; from "
      "the start of the command: p50 %.0f, max %.0f; changes %zu\n",
      Quantile(times.from_accepted_ms, 0.5),
      Quantile(times.from_accepted_ms, 1), Quantile(times.from_start_ms, 0.5),
      Quantile(times.from_start_ms, 1), times.from_start_ms.size());
  double share = absl::ToDoubleSeconds(end.at - idle_to.at) /
                 absl::ToDoubleSeconds(idle_to.at - idle_from.at);
  double per_change = routers * std::max(1, options.changes);
  auto above_idle = [&](double Counters::*field) {
    return (end.*field - idle_to.*field -
            share * (idle_to.*field - idle_from.*field)) /
           per_change;
  };
  std::printf(
      "per change and router, above idle: notices %.2f, notice bytes %.0f, cpu "
      "ms %.2f\n",
      above_idle(&Counters::notices), above_idle(&Counters::notice_bytes),
      1000 * above_idle(&Counters::cpu_seconds));
  return 0;
}

int Main(int argc, const char** argv) {
  ExperimentOptions options;
  char* links = nullptr;
  poptOption table[] = {{"routers", 0, POPT_ARG_INT, &options.routers, 0,
                         "router processes", "N"},
                        {"changes", 0, POPT_ARG_INT, &options.changes, 0,
                         "changes to publish", "N"},
                        {"idle", 0, POPT_ARG_INT, &options.idle_seconds, 0,
                         "seconds to count without changes", "S"},
                        {"links", 0, POPT_ARG_STRING, &links, 0,
                         "links between routers", "all|ring"},
                        POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("inforce_experiment", argc, argv, table, 0);
  int parsed = poptGetNextOpt(context);
  if (links != nullptr)
    options.links = links;
  poptFreeContext(context);
  if (parsed < -1 || options.routers < 1 || options.idle_seconds < 1) {
    std::fprintf(stderr, "inforce_experiment: wrong arguments\n");
    return 2;
  }
  return RunExperiment(options);
}

}  // namespace
}  // namespace hawthornhollow

int main(int argc, const char** argv) {
  return hawthornhollow::Main(argc, argv);
}
