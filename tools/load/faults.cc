#include "tools/load/faults.h"

#include <signal.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

#include "absl/strings/str_cat.h"
#include "hawthornhollow/base/base.h"

namespace hawthornhollow::load {
namespace {

// As testing/fleet.cc places the processes.
constexpr int64_t kFailureDomains = 3;
// Fields of /proc/PID/stat after the program's name.
constexpr int kUserTimeField = 11;

// Sends the signal to every router and side process of a failure domain.
absl::Status SignalDomain(Fleet& fleet,
                          const FleetShape& shape,
                          int64_t domain,
                          int signal_number) {
  absl::Status status;
  for (int64_t i = domain; i < shape.routers; i += kFailureDomains)
    status.Update(fleet.router_process(i).Signal(signal_number));
  for (int64_t i = domain; i < shape.engines; i += kFailureDomains)
    status.Update(fleet.sidecar_process(i).Signal(signal_number));
  return status;
}

absl::Status InflictOnRouter(Fleet& fleet,
                             const std::string& action,
                             size_t router) {
  if (action == "start_router")
    return fleet.StartRouter(router);
  ChildProcess& process = fleet.router_process(router);
  if (action == "kill_router")
    return process.Signal(SIGKILL);
  if (action == "term_router")
    return process.Signal(SIGTERM);
  return process.Signal(action == "stop_router" ? SIGSTOP : SIGCONT);
}

// The machine of a backend server goes: its side process, and its engine.
absl::Status KillServer(Fleet& fleet, size_t engine) {
  absl::Status status = fleet.sidecar_process(engine).Signal(SIGKILL);
  status.Update(fleet.Control(fleet.engine(engine), R"({"outage":true})"));
  return status;
}

double CpuSeconds(pid_t pid) {
  std::ifstream in(absl::StrCat("/proc/", pid, "/stat"));
  std::string line;
  std::getline(in, line);
  size_t name_end = line.rfind(") ");
  if (name_end == std::string::npos)
    return 0;
  std::istringstream fields(line.substr(name_end + 2));
  std::string skipped;
  for (int i = 0; i < kUserTimeField; ++i)
    fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

}  // namespace

absl::Status Inflict(Fleet& fleet,
                     const FleetShape& shape,
                     const FaultEvent& event) {
  const std::string& action = event.action;
  auto target = static_cast<size_t>(event.target);
  if (action == "kill_server")
    return KillServer(fleet, target);
  if (action == "slow_engine")
    return fleet.Control(fleet.engine(target),
                         absl::StrCat(R"({"slow_factor":)", event.factor, "}"));
  if (action == "freeze_engine")
    return fleet.Control(fleet.engine(target), R"({"freeze":true})");
  if (action == "outage_engine")
    return fleet.Control(fleet.engine(target), R"({"outage":true})");
  if (action == "cut_domain")
    return SignalDomain(fleet, shape, event.target, SIGSTOP);
  if (action == "restore_domain")
    return SignalDomain(fleet, shape, event.target, SIGCONT);
  return InflictOnRouter(fleet, action, target);
}

double RouterCpuSeconds(Fleet& fleet, const FleetShape& shape) {
  double seconds = 0;
  for (int64_t i = 0; i < shape.routers; ++i)
    seconds += CpuSeconds(fleet.router_process(i).Pid());
  return seconds;
}

}  // namespace hawthornhollow::load
