// Runs load scenarios and reports what was measured. See --help.

#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "tools/load/experiment.h"

namespace hawthornhollow::load {
namespace {

constexpr int kExitMissed = 1;
constexpr int kExitFailed = 2;
constexpr int kExitUsage = 64;

const char kUsage[] =
    "SCENARIO.json...\n\n"
    "Starts a fleet for each scenario (routers, side processes and stand-ins "
    "on\n"
    "loopback), sends its Poisson arrivals, carries out its faults, and prints "
    "a\n"
    "Markdown section with the figures by rank, caller and stream. Exits 0 if "
    "every\n"
    "expectation was met, 1 if one was missed, 2 if a run failed.\n\n"
    "Examples:\n"
    "  build/tools/load scenarios/can-wait-flood.json\n"
    "  build/tools/load --policy fifo --report docs/reports "
    "scenarios/urgent-flood.json\n"
    "  build/tools/load --routers 10.0.0.1:8080,10.0.0.2:8080 "
    "scenarios/unloaded.json\n\n"
    "A scenario is one JSON object:\n"
    "  name, seed, seconds, client_timeout_s\n"
    "  fleet    {routers, engines, slots, token_ms, output_tokens}\n"
    "  ranks    [{name, target_ms, floor}], the first served first\n"
    "  streams  [{name, caller (ward-1 to ward-9), rank, per_second or "
    "capacity (a\n"
    "           multiple), prompt_chars, output_tokens, start_s, stop_s, "
    "direct}]\n"
    "  events   [{at_s, action, target, factor}]: kill_router, term_router,\n"
    "           stop_router, continue_router, start_router, kill_server,\n"
    "           slow_engine, freeze_engine, outage_engine, cut_domain,\n"
    "           restore_domain; targets count from 0\n"
    "  phases   [{name, from_s, to_s}], by time of arrival\n"
    "  expect   [{phase, subject, figure, min, max, over_phase, "
    "over_subject}]\n\n"
    "Options:";

struct Options {
  std::string policy = "ranks";
  std::string report;
  std::string json;
  int64_t seed = -1;
  std::vector<Endpoint> routers;
  std::vector<std::string> files;
};

struct PoptFree {
  void operator()(poptContext context) const { poptFreeContext(context); }
};

// Takes a value that popt has allocated.
std::string TakeString(char* value, const char* fallback) {
  std::string text = value == nullptr ? fallback : value;
  std::free(value);
  return text;
}

absl::Status ParseRouters(const std::string& text, Options* options) {
  for (absl::string_view part : absl::StrSplit(text, ',', absl::SkipEmpty())) {
    auto endpoint = Endpoint::Parse(std::string(part));
    if (!endpoint.ok())
      return endpoint.status();
    options->routers.push_back(*endpoint);
  }
  return absl::OkStatus();
}

absl::StatusOr<Options> ParseOptions(int argc, const char** argv) {
  char* policy = nullptr;
  char* report = nullptr;
  char* json = nullptr;
  char* routers = nullptr;
  int seed = -1;
  const poptOption table[] = {
      {"policy", 0, POPT_ARG_STRING, &policy, 0,
       "scheduling of the routers that are started (default ranks)",
       "ranks|fifo|least_loaded|random"},
      {"report", 0, POPT_ARG_STRING, &report, 0,
       "write NAME-POLICY.svg with plots there", "DIRECTORY"},
      {"json", 0, POPT_ARG_STRING, &json, 0,
       "write NAME-POLICY.json with every figure there", "DIRECTORY"},
      {"seed", 0, POPT_ARG_INT, &seed, 0, "instead of the scenario's", "N"},
      {"routers", 0, POPT_ARG_STRING, &routers, 0,
       "send to these instead of starting a fleet", "IP:PORT,..."},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, PoptFree> context(
      poptGetContext("load", argc, argv, table, 0));
  poptSetOtherOptionHelp(context.get(), kUsage);
  int code = poptGetNextOpt(context.get());
  Options options;
  options.policy = TakeString(policy, "ranks");
  options.report = TakeString(report, "");
  options.json = TakeString(json, "");
  options.seed = seed;
  if (absl::Status s = ParseRouters(TakeString(routers, ""), &options); !s.ok())
    return s;
  if (code < -1)
    return absl::InvalidArgumentError(
        absl::StrCat(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), ": ",
                     poptStrerror(code)));
  while (const char* file = poptGetArg(context.get()))
    options.files.emplace_back(file);
  if (options.files.empty())
    return absl::InvalidArgumentError("no scenario is given; see --help");
  return options;
}

bool WriteFile(const std::string& path, const std::string& text) {
  std::ofstream out(path);
  out << text;
  out.close();
  if (!out)
    std::fprintf(stderr, "load: %s cannot be written\n", path.c_str());
  return static_cast<bool>(out);
}

bool WriteResult(const Options& options, const RunResult& result) {
  std::string name = absl::StrCat(result.scenario.name, "-", result.policy);
  bool written = true;
  if (!options.report.empty())
    written = WriteFile(absl::StrCat(options.report, "/", name, ".svg"),
                        ToSvg(result));
  if (!options.json.empty())
    written = WriteFile(absl::StrCat(options.json, "/", name, ".json"),
                        ToJson(result)) &&
              written;
  return written;
}

int RunFile(const Options& options, const std::string& file) {
  auto scenario = Scenario::Read(file);
  if (!scenario.ok()) {
    std::fprintf(stderr, "load: %s\n", scenario.status().ToString().c_str());
    return kExitUsage;
  }
  if (options.seed >= 0)
    scenario->seed = static_cast<uint64_t>(options.seed);
  auto result = RunExperiment(*scenario, {options.policy, options.routers});
  if (!result.ok()) {
    std::fprintf(stderr, "load: %s: %s\n", file.c_str(),
                 result.status().ToString().c_str());
    return kExitFailed;
  }
  std::fputs(ToMarkdown(*result).c_str(), stdout);
  std::fflush(stdout);
  if (!WriteResult(options, *result))
    return kExitFailed;
  for (const CheckedExpectation& check : result->checks) {
    if (!check.met)
      return kExitMissed;
  }
  return EXIT_SUCCESS;
}

int Main(int argc, const char** argv) {
  auto options = ParseOptions(argc, argv);
  if (!options.ok()) {
    std::fprintf(stderr, "load: %s\n", options.status().ToString().c_str());
    return kExitUsage;
  }
  int worst = EXIT_SUCCESS;
  for (const std::string& file : options->files)
    worst = std::max(worst, RunFile(*options, file));
  return worst;
}

}  // namespace
}  // namespace hawthornhollow::load

int main(int argc, const char** argv) {
  return hawthornhollow::load::Main(argc, argv);
}
