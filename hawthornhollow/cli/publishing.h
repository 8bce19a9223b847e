#ifndef HAWTHORNHOLLOW_CLI_PUBLISHING_H_
#define HAWTHORNHOLLOW_CLI_PUBLISHING_H_

// What `publish` and `rollback` share: sending a publish and telling its
// outcome. Internal to the cli library.

#include <string>

#include "hawthornhollow/cli/log_session.h"
#include "hawthornhollow/cli/options.h"

namespace hawthornhollow {

struct PublishOptions {
  LogOptions log;
  std::string operator_name;  // empty: the environment's USER
  bool json = false;
};

// Adds --operator, --json and the log's options.
void AddPublishOptions(OptionParser& parser, PublishOptions* options);

// The name under which the audit trail lists the publish.
std::string OperatorName(const PublishOptions& options);

// What to tell about a publish.
struct PublishReport {
  std::string command;
  std::string id;
  PublishOutcome outcome;
  bool json = false;
  // The folder to name in the advice for an unknown outcome; may be empty.
  std::string folder;
};

// Prints the outcome and returns its exit status.
int ReportOutcome(const PublishReport& report);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_CLI_PUBLISHING_H_
