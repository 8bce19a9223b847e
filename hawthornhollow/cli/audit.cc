#include <cstdio>
#include <variant>

#include "boost/json/object.hpp"
#include "hawthornhollow/cli/cli.h"
#include "hawthornhollow/cli/commands.h"
#include "hawthornhollow/cli/log_session.h"
#include "hawthornhollow/cli/options.h"
#include "hawthornhollow/cli/output.h"

namespace hawthornhollow {
namespace {

constexpr char kName[] = "audit";

struct AuditOptions {
  LogOptions log;
  std::string stream;  // empty: every stream
  bool all = false;
  bool json = false;
};

// Whether a record changes nothing that an auditor asks about.
bool IsRoutine(const RecordBody& body) {
  return std::holds_alternative<RouterAliveRecord>(body) ||
         std::holds_alternative<CheckpointRecord>(body);
}

const char* KindName(VerdictKind kind) {
  switch (kind) {
    case VerdictKind::kAccepted:
      return "accepted";
    case VerdictKind::kRejected:
      return "void";
    case VerdictKind::kDuplicate:
      return "repeat";
  }
  return "unknown";
}

void PrintVerdict(const std::string& stream,
                  const Verdict& verdict,
                  bool json) {
  std::string line = FormatVerdict(verdict);
  if (!json) {
    std::printf("stream=%s time=%s %s\n", stream.c_str(),
                FormatTimeMs(verdict.record.time_ms).c_str(), line.c_str());
    return;
  }
  PrintJson(boost::json::object{{"stream", stream},
                                {"offset", verdict.offset},
                                {"writer", verdict.writer},
                                {"sequence", verdict.record.sequence},
                                {"time_ms", verdict.record.time_ms},
                                {"verdict", KindName(verdict.kind)},
                                {"amount", verdict.amount},
                                {"reason", verdict.reason},
                                {"record", line}});
}

template <typename FoldT>
void PrintStream(const StreamView<FoldT>& view, const AuditOptions& options) {
  if (!options.stream.empty() && options.stream != view.stream)
    return;
  if (view.restored_offset >= 0) {
    std::fprintf(
        stderr, "stream=%s: records up to offset %lld are no longer kept\n",
        view.stream.c_str(), static_cast<long long>(view.restored_offset));
  }
  for (const Verdict& verdict : view.verdicts) {
    if (options.all || !IsRoutine(verdict.record.body))
      PrintVerdict(view.stream, verdict, options.json);
  }
}

int Audit(LogSession& session, const AuditOptions& options) {
  auto config = session.ReadConfig();
  if (!config.ok())
    return Fail(kName, config.status());
  PrintStream(*config, options);
  auto members = session.ReadMembers();
  if (!members.ok())
    return Fail(kName, members.status());
  PrintStream(*members, options);
  auto ledgers = session.ReadLedgers();
  if (!ledgers.ok())
    return Fail(kName, ledgers.status());
  for (const StreamView<BudgetFold>& ledger : *ledgers)
    PrintStream(ledger, options);
  return kExitOk;
}

}  // namespace

int RunAuditCommand(const Arguments& arguments) {
  AuditOptions audit;
  OptionParser options(
      {.name = kName,
       .description =
           "Lists the records of the log's streams, one line each, with the "
           "verdict that\nevery process came to: accepted, void with its "
           "reason, or repeat.\n",
       .example =
           "  $ hawthornhollow audit --stream config --log 127.0.0.1:7001\n"
           "  stream=config time=2026-05-04T10:20:30Z offset=12 "
           "record=publish ...\n"});
  options.AddText("stream", "NAME", "only this stream, such as ledger-0",
                  &audit.stream);
  options.AddFlag("all", "with heartbeats and checkpoints", &audit.all);
  options.AddFlag("json", "print a JSON object per line", &audit.json);
  AddLogOptions(options, &audit.log);
  if (std::optional<int> exit = options.Parse(arguments))
    return *exit;
  return WithLog(kName, audit.log,
                 [&](LogSession& session) { return Audit(session, audit); });
}

}  // namespace hawthornhollow
