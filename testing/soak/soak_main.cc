// Plays seeds of the fault soak by hand:
//   entry_soak --first 1 --seeds 50 --jobs 4 --folder /tmp/soak
// One line a seed; exit code 1 if a promise was broken. Routers' logs stay in
// FOLDER/SEED for the seeds that broke one.

#include <popt.h>

#include <atomic>
#include <cstdio>
#include <filesystem>
#include <mutex>
#include <thread>

#include "hawthornhollow/base/base.h"
#include "testing/soak/soak_run.h"

namespace hawthornhollow::soak {
namespace {

constexpr int kExitBroken = 1;
constexpr int kExitUsage = 2;

struct Arguments {
  int first = 1;
  int seeds = 1;
  int jobs = 1;
  int seconds = 10;
  int routers = 3;
  int restores = 0;
  char* folder = nullptr;
  char* entry = nullptr;
};

int PlaySeed(const Arguments& arguments, int seed, std::mutex& output) {
  const std::string folder =
      std::string(arguments.folder) + "/" + std::to_string(seed);
  std::filesystem::create_directories(folder);
  SoakOptions options{
      .seed = static_cast<uint64_t>(seed),
      .entry = arguments.entry != nullptr ? arguments.entry : ENTRY,
      .folder = folder};
  options.plan.duration = absl::Seconds(arguments.seconds);
  options.plan.routers = static_cast<size_t>(arguments.routers);
  options.plan.restores = arguments.restores;
  const SoakResult result = RunSoak(options);
  const std::lock_guard lock(output);
  std::printf("seed %d: %zu faults, %lld requests, %lld answered, %lld refused",
              seed, result.faults, static_cast<long long>(result.requests),
              static_cast<long long>(result.answered),
              static_cast<long long>(result.refused));
  std::printf(", %zu broken\n", result.broken.size());
  for (const std::string& line : result.broken)
    std::printf("  %s\n", line.c_str());
  std::fflush(stdout);
  if (result.broken.empty())
    std::filesystem::remove_all(folder);
  return result.broken.empty() ? 0 : kExitBroken;
}

int PlayAll(const Arguments& arguments) {
  std::mutex output;
  std::atomic<int> next{arguments.first};
  std::atomic<int> exit_code{0};
  std::vector<std::thread> workers;
  for (int i = 0; i < arguments.jobs; ++i) {
    workers.emplace_back([&] {
      for (int seed = next++; seed < arguments.first + arguments.seeds;
           seed = next++) {
        if (PlaySeed(arguments, seed, output) != 0)
          exit_code = kExitBroken;
      }
    });
  }
  for (std::thread& worker : workers)
    worker.join();
  return exit_code;
}

int Main(int argc, const char** argv) {
  Arguments arguments;
  const poptOption options[] = {
      {"first", 'f', POPT_ARG_INT, &arguments.first, 0, "the first seed", "N"},
      {"seeds", 'n', POPT_ARG_INT, &arguments.seeds, 0, "how many", "N"},
      {"jobs", 'j', POPT_ARG_INT, &arguments.jobs, 0, "runs at a time", "N"},
      {"seconds", 's', POPT_ARG_INT, &arguments.seconds, 0,
       "how long faults come", "N"},
      {"routers", 'r', POPT_ARG_INT, &arguments.routers, 0, "processes", "N"},
      {"restores", 'o', POPT_ARG_INT, &arguments.restores, 0,
       "how often the store comes back from an older copy", "N"},
      {"folder", 'd', POPT_ARG_STRING, &arguments.folder, 0,
       "where logs of broken runs are kept", "FOLDER"},
      {"entry", 'e', POPT_ARG_STRING, &arguments.entry, 0,
       "the routers' program (default: the one built with this)", "FILE"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("entry_soak", argc, argv, options, 0);
  const int result = poptGetNextOpt(context);
  poptFreeContext(context);
  if (result < -1 || arguments.folder == nullptr || arguments.jobs < 1 ||
      arguments.seconds < 1 || arguments.routers < 1) {
    std::fprintf(stderr, "entry_soak: see --help\n");
    return kExitUsage;
  }
  InitLogging("soak", LogSeverity::kInfo, LogOutput::kStandardError);
  return PlayAll(arguments);
}

}  // namespace
}  // namespace hawthornhollow::soak

int main(int argc, const char** argv) {
  return hawthornhollow::soak::Main(argc, argv);
}
