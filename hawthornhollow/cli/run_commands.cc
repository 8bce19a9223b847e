#include "hawthornhollow/base/base.h"
#include "hawthornhollow/cli/cli.h"
#include "hawthornhollow/cli/commands.h"
#include "hawthornhollow/cli/options.h"
#include "hawthornhollow/cli/output.h"
#include "hawthornhollow/config/config.h"
#include "hawthornhollow/gate/sidecar.h"
#include "hawthornhollow/router/router.h"

namespace hawthornhollow {
namespace {

// Reads the settings and runs one process until it has been shut down.
template <typename SettingsT>
int RunProcess(const std::string& command,
               const std::string& file,
               absl::StatusOr<SettingsT> (*parse)(std::string_view,
                                                  std::string_view),
               absl::Status (*run)(const SettingsT&)) {
  auto text = ReadFile(file);
  if (!text.ok())
    return Fail(command, text.status());
  auto settings = parse(file, *text);
  if (!settings.ok())
    return Fail(command, settings.status());
  InitLogging(settings->name, LogSeverity::kInfo);
  absl::Status status = run(*settings);
  if (!status.ok()) {
    PrintError(command, std::string(status.message()));
    return kExitRefused;
  }
  return kExitOk;
}

void AddSettings(OptionParser& options, std::string* file) {
  options.AddText("settings", "FILE", "the process's settings, JSON", file);
}

}  // namespace

int RunRouterCommand(const Arguments& arguments) {
  std::string file;
  OptionParser options(
      {.name = "router",
       .description =
           "Runs a router. SIGTERM shuts it down gracefully: requests in "
           "progress are\nfinished first.\n\n"
           "Settings: name, failure_domain, listen, peer_listen, peers, "
           "log_service,\npeer_links (\"all\" or \"ring\"), vm_list, threads, "
           "ledger_shards, drain_seconds,\nmax_connections. Each process of "
           "a fleet has the same ledger_shards.\n",
       .example =
           "  $ cat router-1.json\n"
           "  {\"name\":\"router-1\",\"failure_domain\":\"patan\",\n"
           "   "
           "\"listen\":\"127.0.0.1:8080\",\"peer_listen\":\"127.0.0.1:9080\","
           "\n"
           "   \"peers\":[\"127.0.0.1:9081\"],"
           "\"log_service\":\"127.0.0.1:7001\"}\n"
           "  $ hawthornhollow router --settings router-1.json\n"});
  AddSettings(options, &file);
  if (std::optional<int> exit = options.Parse(arguments))
    return *exit;
  if (file.empty())
    return options.UsageError("--settings: is missing");
  return RunProcess("router", file, &ParseRouterSettings, &RunRouter);
}

int RunSidecarCommand(const Arguments& arguments) {
  std::string file;
  OptionParser options(
      {.name = "sidecar",
       .description =
           "Runs the side process of one backend server. SIGTERM shuts it down "
           "gracefully.\n\n"
           "Settings: name, server, failure_domain, listen, http_listen, "
           "backend,\nbackend_kind (\"engine\" or \"service\"), log_service, "
           "ledger_shards, replay_bytes,\ndrain_seconds.\n",
       .example =
           "  $ cat sidecar-1.json\n"
           "  {\"name\":\"sidecar-1\",\"server\":\"engine-1\","
           "\"failure_domain\":\"patan\",\n"
           "   \"listen\":\"127.0.0.1:7201\","
           "\"http_listen\":\"127.0.0.1:7301\",\n"
           "   \"backend\":\"127.0.0.1:7401\",\"backend_kind\":\"engine\",\n"
           "   \"log_service\":\"127.0.0.1:7001\"}\n"
           "  $ hawthornhollow sidecar --settings sidecar-1.json\n"});
  AddSettings(options, &file);
  if (std::optional<int> exit = options.Parse(arguments))
    return *exit;
  if (file.empty())
    return options.UsageError("--settings: is missing");
  return RunProcess("sidecar", file, &ParseSidecarSettings, &RunSidecar);
}

}  // namespace hawthornhollow
