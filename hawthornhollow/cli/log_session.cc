#include "hawthornhollow/cli/log_session.h"

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/cli/cli.h"
#include "hawthornhollow/cli/output.h"

namespace hawthornhollow {
namespace {

constexpr char kLogVariable[] = "HAWTHORNHOLLOW_LOG";
constexpr char kConfigStream[] = "config";
constexpr char kMembersStream[] = "members";
constexpr int64_t kMaxLedgerShards = 1024;
constexpr int64_t kMaxTimeoutSeconds = 600;
constexpr absl::Duration kVerdictWait = absl::Milliseconds(250);
constexpr size_t kFiberStackBytes = 256 * 1024;

absl::StatusOr<Endpoint> LogEndpoint(const LogOptions& options) {
  std::string text = options.log;
  const char* variable = std::getenv(kLogVariable);
  if (text.empty() && variable != nullptr)
    text = variable;
  if (text.empty()) {
    return absl::InvalidArgumentError(absl::StrCat(
        "--log: is missing; give the log service's IP:PORT or set ",
        kLogVariable));
  }
  auto endpoint = Endpoint::Parse(text);
  if (endpoint.ok())
    return endpoint;
  return absl::InvalidArgumentError(absl::StrCat(
      "--log: must be IP:PORT with an IP number (found \"", text, "\")"));
}

}  // namespace

void AddLogOptions(OptionParser& parser, LogOptions* options) {
  parser.AddText("log", "IP:PORT",
                 "the log service (default: $HAWTHORNHOLLOW_LOG)",
                 &options->log);
  parser.AddInteger("ledger-shards", 1, kMaxLedgerShards,
                    "the ledger_shards of the processes' settings",
                    &options->ledger_shards);
  parser.AddInteger("timeout", 1, kMaxTimeoutSeconds,
                    "seconds to wait for the log", &options->timeout_seconds);
}

PublishOutcome OutcomeOf(const Verdict& verdict) {
  // A repeat repeats the first ruling: a version if it was accepted.
  bool accepted = verdict.kind == VerdictKind::kAccepted || verdict.amount > 0;
  if (accepted)
    return {PublishOutcome::Kind::kAccepted, verdict.amount, ""};
  return {PublishOutcome::Kind::kRefused, 0, verdict.reason};
}

LogSession::LogSession(const Endpoint& log, const LogOptions& options)
    : log_(log),
      ledger_shards_(options.ledger_shards),
      timeout_(absl::Seconds(options.timeout_seconds)) {}

absl::StatusOr<StreamView<ConfigFold>> LogSession::ReadConfig() {
  return ReadStream<ConfigFold>(log_, kConfigStream, timeout_);
}

absl::StatusOr<StreamView<MembershipFold>> LogSession::ReadMembers() {
  return ReadStream<MembershipFold>(log_, kMembersStream, timeout_);
}

absl::StatusOr<std::vector<StreamView<BudgetFold>>> LogSession::ReadLedgers() {
  std::vector<StreamView<BudgetFold>> ledgers;
  for (int64_t shard = 0; shard < ledger_shards_; ++shard) {
    auto ledger =
        ReadStream<BudgetFold>(log_, absl::StrCat("ledger-", shard), timeout_);
    if (!ledger.ok())
      return ledger.status();
    ledgers.push_back(*std::move(ledger));
  }
  return ledgers;
}

PublishOutcome AcceptedInFold(const ConfigFold& fold, const std::string& id) {
  for (const ConfigFold::VersionInfo& info : fold.history()) {
    if (info.id == id)
      return {PublishOutcome::Kind::kAccepted, info.version, ""};
  }
  return {};
}

PublishOutcome LogSession::Publish(const PublishRecord& record) {
  auto writer = StreamWriter<HttpLogClient>::Create(
      log_, kConfigStream, RandomId(), StreamWriterOptions());
  StreamFollowerOptions options;
  options.read_wait = kCommandReadWait;
  auto follower = StreamFollower<ConfigFold, HttpLogClient>::Create(
      log_, kConfigStream, options, {});
  follower->RegisterWriter(*writer);
  auto sequence = writer->Append(record, Urgency::kUrgent);
  if (!sequence.ok()) {
    return {PublishOutcome::Kind::kRefused, 0,
            std::string(sequence.status().message())};
  }
  std::atomic<bool> stop = false;
  boost::fibers::fiber writing([&] { writer->Run(stop); });
  boost::fibers::fiber reading([&] { follower->Run(stop); });
  // A checkpoint may cover the record, and then brings no verdict on it.
  PublishOutcome outcome;
  absl::Time deadline = absl::Now() + timeout_;
  while (outcome.kind == PublishOutcome::Kind::kUnknown &&
         absl::Now() < deadline) {
    auto verdict =
        follower->WaitApplied(writer->incarnation(), *sequence,
                              std::min(kVerdictWait, deadline - absl::Now()));
    outcome = verdict.ok() ? OutcomeOf(*verdict)
                           : follower->WithFold([&](const ConfigFold& fold) {
                               return AcceptedInFold(fold, record.id);
                             });
  }
  stop = true;
  writing.join();
  reading.join();
  return outcome;
}

int WithLog(const std::string& command,
            const LogOptions& options,
            const std::function<int(LogSession&)>& task) {
  auto endpoint = LogEndpoint(options);
  if (!endpoint.ok())
    return Fail(command, endpoint.status());
  auto runtime =
      Runtime::Create({.threads = 1, .fiber_stack_bytes = kFiberStackBytes});
  if (!runtime.ok())
    return Fail(command, runtime.status());
  // An interrupt ends the runtime before the task has set its own status.
  int exit_code = kExitUnknown;
  (*runtime)->Spawn([&] {
    LogSession session(*endpoint, options);
    exit_code = task(session);
    (*runtime)->Stop();
  });
  (*runtime)->Run();
  return exit_code;
}

}  // namespace hawthornhollow
