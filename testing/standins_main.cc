// The program `standins`: plays the platform's services and the back ends, each
// as a process of its own, for tests and trials on one machine.

#include <popt.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "absl/status/statusor.h"
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

int Fail(int exit_code, std::string_view detail) {
  std::fprintf(stderr, "standins: %s\n", std::string(detail).c_str());
  return exit_code;
}

struct PoptFree {
  void operator()(poptContext context) const { poptFreeContext(context); }
};

// Where to listen, as given on the command line.
class ListenFlag {
 public:
  poptOption Option() {
    return {"listen", 'l', POPT_ARG_STRING,
            &text_,   0,   "address to listen on (default 127.0.0.1:0)",
            "IP:PORT"};
  }
  std::string text() const { return text_ == nullptr ? "127.0.0.1:0" : text_; }
  ~ListenFlag() { std::free(text_); }

 private:
  char* text_ = nullptr;
};

poptOption IntOption(const char* name, int64_t* value, const char* help) {
  return {name, 0,  POPT_ARG_LONG | POPT_ARGFLAG_SHOW_DEFAULT, value, 0,
          help, "N"};
}

poptOption DoubleOption(const char* name, double* value, const char* help) {
  return {name, 0,  POPT_ARG_DOUBLE | POPT_ARGFLAG_SHOW_DEFAULT, value, 0,
          help, "P"};
}

poptOption HelpOptions() {
  return {nullptr,         0,      POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0,
          "Help options:", nullptr};
}

poptOption EndOfOptions() {
  return {nullptr, 0, 0, nullptr, 0, nullptr, nullptr};
}

absl::Status UsageError(std::string_view detail) {
  return ErrorAt(absl::StatusCode::kInvalidArgument, "standins.flags", "",
                 detail);
}

// Sets the variables that `options` point to. `argv[0]` is skipped.
absl::Status ParseFlags(const char* name,
                        int argc,
                        const char** argv,
                        const poptOption* options) {
  std::unique_ptr<poptContext_s, PoptFree> context(
      poptGetContext(name, argc, argv, options, 0));
  const int code = poptGetNextOpt(context.get());
  if (code < -1) {
    return UsageError(
        std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) +
        ": " + poptStrerror(code));
  }
  const char* extra = poptGetArg(context.get());
  if (extra != nullptr) {
    return UsageError(std::string("unexpected argument: ") + extra);
  }
  return absl::OkStatus();
}

// Serves `handler` until SIGTERM or SIGINT.
int Serve(Runtime& runtime, const std::string& listen, HttpHandler handler) {
  absl::StatusOr<Endpoint> local = Endpoint::Parse(listen);
  if (!local.ok()) {
    return Fail(kExitUsage, "--listen: " + local.status().ToString());
  }
  HttpServerOptions options;
  options.local = *local;
  absl::StatusOr<std::unique_ptr<HttpServer>> server =
      HttpServer::Start(runtime, options, std::move(handler));
  if (!server.ok()) {
    return Fail(kExitFailed, server.status().ToString());
  }
  std::printf("ready listen=%s\n", (*server)->local().ToString().c_str());
  std::fflush(stdout);
  runtime.Run([] {});
  // Requests in progress are cut off, as when a service dies; so their fibers
  // are not unwound.
  std::_Exit(EXIT_SUCCESS);
}

// A kind's options and the handler that they make.
class Kind {
 public:
  virtual ~Kind() = default;
  virtual absl::Status Parse(int argc, const char** argv) = 0;
  virtual absl::StatusOr<HttpHandler> Make(Runtime& runtime) = 0;

  std::string listen() const { return listen_.text(); }

 protected:
  ListenFlag listen_;
};

class LogKind : public Kind {
 public:
  absl::Status Parse(int argc, const char** argv) override {
    const std::array options = {
        listen_.Option(),
        IntOption("rate", &options_.rate, "appends per second, 0: no limit"),
        IntOption("retention", &options_.retention, "entries kept per stream"),
        IntOption("append-delay-ms", &options_.append_delay_ms,
                  "time of an append"),
        IntOption("read-delay-ms", &options_.read_delay_ms, "time of a read"),
        DoubleOption("lose-replies", &options_.lose_replies,
                     "probability that an append's reply is lost"),
        IntOption("seed", &options_.seed, "seed of random faults"),
        HelpOptions(),
        EndOfOptions()};
    return ParseFlags("standins log", argc, argv, options.data());
  }
  absl::StatusOr<HttpHandler> Make(Runtime& runtime) override {
    return MakeLogStandin(options_);
  }

 private:
  LogStandinOptions options_;
};

class EngineKind : public Kind {
 public:
  ~EngineKind() override { std::free(fencing_); }

  absl::Status Parse(int argc, const char** argv) override {
    int keep_on_disconnect = 0;
    const std::array options = {
        listen_.Option(),
        IntOption("slots", &options_.slots, "requests run at once"),
        IntOption("token-ms", &options_.token_ms, "time between tokens"),
        IntOption("prefill-ms-per-1k", &options_.prefill_ms_per_1k,
                  "prefill time per 1000 prompt tokens"),
        IntOption("cache-prefixes", &options_.cache_prefixes,
                  "prompt prefixes cached"),
        IntOption("load-lag-ms", &options_.load_lag_ms, "age of /load"),
        IntOption("event-lag-ms", &options_.event_lag_ms, "age of /events"),
        DoubleOption("event-drop", &options_.event_drop,
                     "probability that a cache event is never shown"),
        poptOption{"keep-on-disconnect", 0, POPT_ARG_NONE, &keep_on_disconnect,
                   0, "run on when the client has gone", nullptr},
        poptOption{"fencing", 0, POPT_ARG_STRING, &fencing_, 0,
                   "what to do with an order's old fence (default check)",
                   "check|ignore"},
        IntOption("seed", &options_.seed, "seed of random faults"),
        HelpOptions(),
        EndOfOptions()};
    absl::Status status =
        ParseFlags("standins engine", argc, argv, options.data());
    const std::string fencing = fencing_ == nullptr ? "check" : fencing_;
    if (fencing != "check" && fencing != "ignore") {
      status.Update(UsageError("--fencing: must be check or ignore"));
    }
    options_.keep_on_disconnect = keep_on_disconnect != 0;
    options_.check_fences = fencing == "check";
    return status;
  }
  absl::StatusOr<HttpHandler> Make(Runtime& runtime) override {
    return MakeEngineStandin(runtime, options_);
  }

 private:
  EngineStandinOptions options_;
  char* fencing_ = nullptr;
};

class ServiceKind : public Kind {
 public:
  absl::Status Parse(int argc, const char** argv) override {
    const std::array options = {
        listen_.Option(),
        IntOption("work-ms", &options_.work_ms, "time of an order"),
        IntOption("seed", &options_.seed, "seed of random faults"),
        HelpOptions(), EndOfOptions()};
    return ParseFlags("standins service", argc, argv, options.data());
  }
  absl::StatusOr<HttpHandler> Make(Runtime& runtime) override {
    return MakeServiceStandin(options_);
  }

 private:
  ServiceStandinOptions options_;
};

class VmsKind : public Kind {
 public:
  absl::Status Parse(int argc, const char** argv) override {
    const std::array options = {
        listen_.Option(),
        IntOption("lag-ms", &options_.lag_ms, "age of the list"), HelpOptions(),
        EndOfOptions()};
    return ParseFlags("standins vms", argc, argv, options.data());
  }
  absl::StatusOr<HttpHandler> Make(Runtime& runtime) override {
    return MakeVmListStandin(options_);
  }

 private:
  VmListStandinOptions options_;
};

std::unique_ptr<Kind> MakeKind(std::string_view name) {
  if (name == "log") {
    return std::make_unique<LogKind>();
  }
  if (name == "engine") {
    return std::make_unique<EngineKind>();
  }
  if (name == "service") {
    return std::make_unique<ServiceKind>();
  }
  if (name == "vms") {
    return std::make_unique<VmsKind>();
  }
  return nullptr;
}

int Main(int argc, const char** argv) {
  const std::string_view name = argc < 2 ? "" : argv[1];
  if (name == "--help" || name == "-?") {
    std::fputs(kUsage, stdout);
    return EXIT_SUCCESS;
  }
  const std::unique_ptr<Kind> kind = MakeKind(name);
  if (kind == nullptr) {
    return Fail(kExitUsage,
                "the first argument must be log, engine, service or vms; see "
                "--help");
  }
  const absl::Status parsed = kind->Parse(argc - 1, argv + 1);
  if (!parsed.ok()) {
    return Fail(kExitUsage, parsed.ToString());
  }
  InitLogging("standins", LogSeverity::kWarning);
  absl::StatusOr<std::unique_ptr<Runtime>> runtime =
      Runtime::Create({.threads = 1});
  if (!runtime.ok()) {
    return Fail(kExitFailed, runtime.status().ToString());
  }
  absl::StatusOr<HttpHandler> handler = kind->Make(**runtime);
  if (!handler.ok()) {
    return Fail(kExitUsage, handler.status().ToString());
  }
  return Serve(**runtime, kind->listen(), *std::move(handler));
}

}  // namespace
}  // namespace hawthornhollow::standins

int main(int argc, char** argv) {
  return hawthornhollow::standins::Main(argc, const_cast<const char**>(argv));
}
