#include "hawthornhollow/cli/publishing.h"

#include <cstdio>
#include <cstdlib>

#include "boost/json/object.hpp"
#include "hawthornhollow/cli/cli.h"
#include "hawthornhollow/cli/output.h"

namespace hawthornhollow {
namespace {

constexpr char kUnknownOperator[] = "unknown";

int ExitCodeOf(PublishOutcome::Kind kind) {
  switch (kind) {
    case PublishOutcome::Kind::kAccepted:
      return kExitOk;
    case PublishOutcome::Kind::kRefused:
      return kExitRefused;
    case PublishOutcome::Kind::kUnknown:
      return kExitUnknown;
  }
  return kExitUnknown;
}

const char* NameOf(PublishOutcome::Kind kind) {
  switch (kind) {
    case PublishOutcome::Kind::kAccepted:
      return "accepted";
    case PublishOutcome::Kind::kRefused:
      return "refused";
    case PublishOutcome::Kind::kUnknown:
      return "unknown";
  }
  return "unknown";
}

void PrintText(const PublishReport& report) {
  switch (report.outcome.kind) {
    case PublishOutcome::Kind::kAccepted:
      std::printf("accepted version=%lld id=%s\n",
                  static_cast<long long>(report.outcome.version),
                  report.id.c_str());
      return;
    case PublishOutcome::Kind::kRefused:
      std::printf("refused: %s\n", report.outcome.reason.c_str());
      return;
    case PublishOutcome::Kind::kUnknown:
      std::printf(
          "unknown id=%s; ask again with: hawthornhollow publish --resume "
          "%s%s\n",
          report.id.c_str(), report.id.c_str(),
          report.folder.empty() ? "" : (" " + report.folder).c_str());
      return;
  }
}

}  // namespace

void AddPublishOptions(OptionParser& parser, PublishOptions* options) {
  parser.AddText("operator", "NAME",
                 "your name in the audit trail (default: $USER)",
                 &options->operator_name);
  parser.AddFlag("json", "print JSON", &options->json);
  AddLogOptions(parser, &options->log);
}

std::string OperatorName(const PublishOptions& options) {
  if (!options.operator_name.empty())
    return options.operator_name;
  const char* user = std::getenv("USER");
  bool known = user != nullptr && *user != '\0';
  return known ? user : kUnknownOperator;
}

int ReportOutcome(const PublishReport& report) {
  const PublishOutcome& outcome = report.outcome;
  if (report.json) {
    PrintJson(boost::json::object{{"verdict", NameOf(outcome.kind)},
                                  {"version", outcome.version},
                                  {"id", report.id},
                                  {"reason", outcome.reason}});
  } else {
    PrintText(report);
  }
  return ExitCodeOf(outcome.kind);
}

}  // namespace hawthornhollow
