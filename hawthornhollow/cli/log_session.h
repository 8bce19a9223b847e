#ifndef HAWTHORNHOLLOW_CLI_LOG_SESSION_H_
#define HAWTHORNHOLLOW_CLI_LOG_SESSION_H_

// Reads the log's streams from the command line. Internal to the cli library.
//
//   return WithLog("history", options, [&](LogSession& session) {
//     auto config = session.ReadConfig();
//     if (!config.ok())
//       return Fail("history", config.status());
//     ...
//   });

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "boost/fiber/fiber.hpp"
#include "hawthornhollow/cli/options.h"
#include "hawthornhollow/ledger/ledger.h"
#include "hawthornhollow/log/log.h"

namespace hawthornhollow {

// The options of every command that reads the log.
struct LogOptions {
  std::string log;  // IP:PORT; empty: the environment's
  int64_t ledger_shards = 1;
  int64_t timeout_seconds = 10;
};

// Adds --log, --ledger-shards and --timeout.
void AddLogOptions(OptionParser& parser, LogOptions* options);

// A stream's state, and the verdicts on the records that are still kept.
template <typename FoldT>
struct StreamView {
  std::string stream;
  FoldT fold;
  std::vector<Verdict> verdicts;
  // The checkpoint before `verdicts`; -1 if they are the whole stream's.
  int64_t restored_offset = -1;
};

// Short, so that a command ends soon after it has read all that there is.
inline constexpr absl::Duration kCommandReadWait = absl::Milliseconds(20);

// Reads a stream to its end. Blocks the calling fiber.
template <Fold FoldT, LogClient Log>
absl::StatusOr<StreamView<FoldT>> ReadStream(Log& log,
                                             const std::string& stream,
                                             absl::Duration timeout) {
  StreamView<FoldT> view;
  view.stream = stream;
  StreamFollowerCallbacks callbacks;
  callbacks.on_verdicts = [&](int64_t, const std::vector<Verdict>& verdicts) {
    view.verdicts.insert(view.verdicts.end(), verdicts.begin(), verdicts.end());
  };
  callbacks.on_restored = [&](int64_t offset) {
    view.verdicts.clear();
    view.restored_offset = offset;
  };
  StreamFollowerOptions options;
  options.read_wait = kCommandReadWait;
  auto follower = StreamFollower<FoldT, Log>::Create(log, stream, options,
                                                     std::move(callbacks));
  std::atomic<bool> stop = false;
  boost::fibers::fiber runner([&] { follower->Run(stop); });
  absl::Status status = follower->WaitCaughtUp(timeout);
  absl::Status last_read = follower->status();
  stop = true;
  runner.join();
  if (!status.ok())
    return last_read.ok() ? status : last_read;
  view.fold = follower->WithFold([](const FoldT& fold) { return fold; });
  return view;
}

// What became of a publish.
struct PublishOutcome {
  enum class Kind { kAccepted, kRefused, kUnknown };
  Kind kind = Kind::kUnknown;
  int64_t version = 0;  // if accepted
  std::string reason;   // if refused
};

// What the verdict says about its publish.
PublishOutcome OutcomeOf(const Verdict& verdict);
// kAccepted if the publish of that id is among the fold's versions, else
// kUnknown.
PublishOutcome AcceptedInFold(const ConfigFold& fold, const std::string& id);

// Talks to one log service, on a fiber.
class LogSession {
 public:
  LogSession(const Endpoint& log, const LogOptions& options);

  absl::StatusOr<StreamView<ConfigFold>> ReadConfig();
  absl::StatusOr<StreamView<MembershipFold>> ReadMembers();
  // Every shard's stream.
  absl::StatusOr<std::vector<StreamView<BudgetFold>>> ReadLedgers();

  // Appends the record, and reads the stream until its verdict is seen or the
  // timeout has passed (kUnknown).
  PublishOutcome Publish(const PublishRecord& record);

 private:
  HttpLogClient log_;
  int64_t ledger_shards_;
  absl::Duration timeout_;
};

// Runs `task` on a fiber of a one-thread runtime, with a session for the log
// that the options or the environment name. Returns its exit status.
int WithLog(const std::string& command,
            const LogOptions& options,
            const std::function<int(LogSession&)>& task);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_CLI_LOG_SESSION_H_
