// The program `standins`: plays the platform's services and the back ends, each
// as a process of its own, for tests and trials on one machine.

#include <popt.h>
#include <signal.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/http/http.h"
#include "hawthornhollow/runtime/runtime.h"
#include "testing/engine_standin.h"
#include "testing/log_standin.h"
#include "testing/service_standin.h"
#include "testing/vm_list_standin.h"

namespace hawthornhollow::standins {
namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr absl::Duration kSignalPollInterval = absl::Milliseconds(1);
constexpr char kUsage[] =
    "usage: standins {log|engine|service|vms} --listen IP:PORT [options]\n"
    "  log      the platform's append-only log service\n"
    "  engine   a model engine\n"
    "  service  a plain service that runs orders\n"
    "  vms      the platform's list of VMs\n"
    "Each prints \"ready listen=IP:PORT\" when it listens, and ends on SIGTERM."
    "\n\"standins KIND --help\" lists the options; testing/KIND_standin.h "
    "tells "
    "the paths.\n";

int Fail(int exit_code, const absl::Status& status) {
  std::fprintf(stderr, "standins: %s\n", status.ToString().c_str());
  return exit_code;
}

struct PoptFree {
  void operator()(poptContext context) const { poptFreeContext(context); }
};

poptOption IntOption(const char* name, int64_t* value, const char* help) {
  return {name, 0,  POPT_ARG_LONG | POPT_ARGFLAG_SHOW_DEFAULT, value, 0,
          help, "N"};
}

poptOption DoubleOption(const char* name, double* value, const char* help) {
  return {name, 0,  POPT_ARG_DOUBLE | POPT_ARGFLAG_SHOW_DEFAULT, value, 0,
          help, "P"};
}

poptOption StringOption(const char* name,
                        char** value,
                        const char* help,
                        const char* form) {
  return {name, 0, POPT_ARG_STRING, value, 0, help, form};
}

// The value of a string option, which popt has allocated.
std::string TakeString(char* value, const char* fallback) {
  const std::unique_ptr<char, decltype(&std::free)> owned(value, &std::free);
  return value == nullptr ? fallback : value;
}

absl::Status UsageError(std::string_view detail) {
  return ErrorAt(absl::StatusCode::kInvalidArgument, "standins.flags", "",
                 detail);
}

// Sets the variables that `options` point to, and returns where to listen.
// Prints the help and exits if asked for it. `argv[0]` is skipped.
absl::StatusOr<std::string> ParseFlags(int argc,
                                       const char** argv,
                                       std::vector<poptOption> options) {
  char* listen = nullptr;
  options.push_back(StringOption("listen", &listen,
                                 "address to listen on (default 127.0.0.1:0)",
                                 "IP:PORT"));
  options.push_back({nullptr, 0, POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0,
                     "Help options:", nullptr});
  options.push_back({nullptr, 0, 0, nullptr, 0, nullptr, nullptr});
  const std::unique_ptr<poptContext_s, PoptFree> context(
      poptGetContext(argv[0], argc, argv, options.data(), 0));
  const int code = poptGetNextOpt(context.get());
  const std::string local = TakeString(listen, "127.0.0.1:0");
  if (code < -1) {
    const char* option = poptBadOption(context.get(), POPT_BADOPTION_NOALIAS);
    return UsageError(std::string(option) + ": " + poptStrerror(code));
  }
  const char* extra = poptGetArg(context.get());
  if (extra != nullptr) {
    return UsageError(std::string("unexpected argument: ") + extra);
  }
  return local;
}

bool HandlesSigterm() {
  struct sigaction current = {};
  sigaction(SIGTERM, nullptr, &current);
  return current.sa_handler != SIG_DFL;
}

// Prints the ready line once Runtime::Run handles SIGTERM: whoever has read
// the line may send it at once.
void PrintReady(const Endpoint& bound) {
  while (!HandlesSigterm()) {
    hawthornhollow::SleepFor(kSignalPollInterval);
  }
  std::printf("ready listen=%s\n", bound.ToString().c_str());
  std::fflush(stdout);
}

// Serves `handler` until SIGTERM or SIGINT.
int Serve(Runtime& runtime, const std::string& listen, HttpHandler handler) {
  absl::StatusOr<Endpoint> local = Endpoint::Parse(listen);
  if (!local.ok()) {
    return Fail(kExitUsage, local.status());
  }
  HttpServerOptions options;
  options.local = *local;
  absl::StatusOr<std::unique_ptr<HttpServer>> server =
      HttpServer::Start(runtime, options, std::move(handler));
  if (!server.ok()) {
    return Fail(kExitFailed, server.status());
  }
  const Endpoint bound = (*server)->local();
  runtime.Spawn([bound] { PrintReady(bound); });
  runtime.Run([] {});
  // Requests in progress are cut off, as when a service dies; so their fibers
  // are not unwound.
  std::_Exit(EXIT_SUCCESS);
}

// What the command line asks for.
struct Command {
  std::string listen;
  std::function<absl::StatusOr<HttpHandler>(Runtime&)> make_handler;
};

absl::StatusOr<Command> ParseLog(int argc, const char** argv) {
  LogStandinOptions options;
  absl::StatusOr<std::string> listen = ParseFlags(
      argc, argv,
      {IntOption("rate", &options.rate, "appends per second, 0: no limit"),
       IntOption("retention", &options.retention, "entries kept per stream"),
       IntOption("append-delay-ms", &options.append_delay_ms,
                 "time of an append"),
       IntOption("read-delay-ms", &options.read_delay_ms, "time of a read"),
       DoubleOption("lose-replies", &options.lose_replies,
                    "probability that an append's reply is lost"),
       IntOption("seed", &options.seed, "seed of random faults")});
  if (!listen.ok()) {
    return listen.status();
  }
  return Command{*listen,
                 [options](Runtime&) { return MakeLogStandin(options); }};
}

absl::StatusOr<Command> ParseEngine(int argc, const char** argv) {
  EngineStandinOptions options;
  int keep_on_disconnect = 0;
  char* fencing_flag = nullptr;
  absl::StatusOr<std::string> listen = ParseFlags(
      argc, argv,
      {IntOption("slots", &options.slots, "requests run at once"),
       IntOption("token-ms", &options.token_ms, "time between tokens"),
       IntOption("prefill-ms-per-1k", &options.prefill_ms_per_1k,
                 "prefill time per 1000 prompt tokens"),
       IntOption("cache-prefixes", &options.cache_prefixes,
                 "prompt prefixes cached"),
       IntOption("load-lag-ms", &options.load_lag_ms, "age of /load"),
       IntOption("event-lag-ms", &options.event_lag_ms, "age of /events"),
       DoubleOption("event-drop", &options.event_drop,
                    "probability that a cache event is never shown"),
       {"keep-on-disconnect", 0, POPT_ARG_NONE, &keep_on_disconnect, 0,
        "run on when the client has gone", nullptr},
       StringOption("fencing", &fencing_flag,
                    "what to do with an order's old fence (default check)",
                    "check|ignore"),
       IntOption("seed", &options.seed, "seed of random faults")});
  const std::string fencing = TakeString(fencing_flag, "check");
  if (!listen.ok()) {
    return listen.status();
  }
  if (fencing != "check" && fencing != "ignore") {
    return UsageError("--fencing: must be check or ignore");
  }
  options.keep_on_disconnect = keep_on_disconnect != 0;
  options.check_fences = fencing == "check";
  return Command{*listen, [options](Runtime& runtime) {
                   return MakeEngineStandin(runtime, options);
                 }};
}

absl::StatusOr<Command> ParseService(int argc, const char** argv) {
  ServiceStandinOptions options;
  absl::StatusOr<std::string> listen =
      ParseFlags(argc, argv,
                 {IntOption("work-ms", &options.work_ms, "time of an order"),
                  IntOption("seed", &options.seed, "seed of random faults")});
  if (!listen.ok()) {
    return listen.status();
  }
  return Command{*listen,
                 [options](Runtime&) { return MakeServiceStandin(options); }};
}

absl::StatusOr<Command> ParseVms(int argc, const char** argv) {
  VmListStandinOptions options;
  absl::StatusOr<std::string> listen = ParseFlags(
      argc, argv, {IntOption("lag-ms", &options.lag_ms, "age of the list")});
  if (!listen.ok()) {
    return listen.status();
  }
  return Command{*listen,
                 [options](Runtime&) { return MakeVmListStandin(options); }};
}

absl::StatusOr<Command> ParseCommand(std::string_view kind,
                                     int argc,
                                     const char** argv) {
  if (kind == "log") {
    return ParseLog(argc, argv);
  }
  if (kind == "engine") {
    return ParseEngine(argc, argv);
  }
  if (kind == "service") {
    return ParseService(argc, argv);
  }
  if (kind == "vms") {
    return ParseVms(argc, argv);
  }
  return UsageError(
      "the first argument must be log, engine, service or vms; see --help");
}

int Main(int argc, const char** argv) {
  const std::string kind = argc < 2 ? "" : argv[1];
  if (kind == "--help" || kind == "-?") {
    std::fputs(kUsage, stdout);
    return EXIT_SUCCESS;
  }
  // popt prints the first argument as the program's name.
  const std::string program = "standins " + kind;
  if (argc > 1) {
    argv[1] = program.c_str();
  }
  absl::StatusOr<Command> command = ParseCommand(kind, argc - 1, argv + 1);
  if (!command.ok()) {
    return Fail(kExitUsage, command.status());
  }
  InitLogging("standins", LogSeverity::kWarning);
  absl::StatusOr<std::unique_ptr<Runtime>> runtime =
      Runtime::Create({.threads = 1});
  if (!runtime.ok()) {
    return Fail(kExitFailed, runtime.status());
  }
  absl::StatusOr<HttpHandler> handler = command->make_handler(**runtime);
  if (!handler.ok()) {
    return Fail(kExitUsage, handler.status());
  }
  return Serve(**runtime, command->listen, *std::move(handler));
}

}  // namespace
}  // namespace hawthornhollow::standins

int main(int argc, char** argv) {
  return hawthornhollow::standins::Main(argc, const_cast<const char**>(argv));
}
