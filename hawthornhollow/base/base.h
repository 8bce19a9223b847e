#ifndef HAWTHORNHOLLOW_BASE_BASE_H_
#define HAWTHORNHOLLOW_BASE_BASE_H_

// What every other library needs: errors that name their step and peer, one
// log line per event, a clock that tests can replace, and hashing.
//
// Errors:
//   return ErrorAt(absl::StatusCode::kUnavailable, "log.append",
//                  "127.0.0.1:7001", "connection refused");
//
// Logs, one line of key=value pairs per event:
//   LogEvent("bill.durable").Add("request", key).Add("tokens", 120);
//
// Clocks are template parameters that satisfy the `Clock` concept:
//   template <Clock C> class RetryBudget { ... };

#include <atomic>
#include <concepts>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace hawthornhollow {

// Returns a status whose message reads "step=STEP peer=PEER: DETAIL".
// `peer` may be empty for a local step.
absl::Status ErrorAt(absl::StatusCode code,
                     std::string_view step,
                     std::string_view peer,
                     std::string_view detail);

// Returns `status` unchanged if it is OK; else the same code with step and
// peer put before its message.
absl::Status Annotate(const absl::Status& status,
                      std::string_view step,
                      std::string_view peer);

enum class LogSeverity { kDebug, kInfo, kWarning, kError };

enum class LogOutput { kStandardError, kStandardOutput };

// Sets up logging once per process. `process` is added to every line. From then
// on lines are written by a thread of their own: those that a slow reader has
// no room for are dropped, and told of by `log.dropped`.
void InitLogging(std::string_view process,
                 LogSeverity minimum,
                 LogOutput output = LogOutput::kStandardError);

// Builds one log line and writes it when destroyed, unless its event has had
// more lines than its share lately; `log.suppressed` tells how many were left
// out. Values that contain spaces, quotes or '=' are quoted.
class LogEvent {
 public:
  explicit LogEvent(std::string_view event,
                    LogSeverity severity = LogSeverity::kInfo);
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;
  ~LogEvent();

  LogEvent& Add(std::string_view key, std::string_view value);
  LogEvent& Add(std::string_view key, const char* value) {
    return Add(key, std::string_view(value));
  }
  template <std::integral T>
  LogEvent& Add(std::string_view key, T value) {
    return Add(key, std::string_view(std::to_string(value)));
  }
  LogEvent& Add(std::string_view key, double value);
  LogEvent& Add(std::string_view key, const absl::Status& status);

 private:
  std::string event_;
  std::string line_;
  LogSeverity severity_;
};

// A source of the present time. Decision code takes one as a template
// parameter so that tests can run it against a fake.
template <typename T>
concept Clock = requires(const T& clock) {
  { clock.Now() } -> std::same_as<absl::Time>;
};

// The machine's clock.
class SystemClock {
 public:
  absl::Time Now() const { return absl::Now(); }
};

// A time that only goes forward, at the rate of real time: for timeouts and
// ages within one process. Its zero means nothing, and it has nothing to do
// with the time of day, which may jump. Not absl::Now(), which reckons with the
// processor's cycles between looks at the system's clock and so goes by a clock
// of its own where the system's is a virtual one.
absl::Time SteadyNow();

// A clock that moves only when told. Copies share nothing; pass by reference.
class ManualClock {
 public:
  absl::Time Now() const { return now_; }
  void Advance(absl::Duration by) { now_ += by; }

 private:
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(24);
};

// What is left of an amount that decays exponentially over `window`.
double DecayFactor(absl::Duration elapsed, absl::Duration window);

// A sum whose terms lose weight exponentially with their age.
class DecayedSum {
 public:
  explicit DecayedSum(absl::Duration window) : window_(window) {}
  void Add(double amount, absl::Time now);
  // Takes back part of what was added, as of the last call.
  void Subtract(double amount);
  double Value(absl::Time now) const;
  // The sum as a rate over the window.
  double PerSecond(absl::Time now) const;

 private:
  absl::Duration window_;
  double value_ = 0;
  absl::Time at_ = absl::InfinitePast();
};

// A hash that is the same on every process and version.
uint64_t StableHash(std::string_view data, uint64_t seed = 0);

// StableHash of data that arrives in pieces.
class StableHasher {
 public:
  StableHasher();
  StableHasher(const StableHasher&) = delete;
  StableHasher& operator=(const StableHasher&) = delete;
  ~StableHasher();

  void Update(std::string_view data);
  // The hash of all that was given so far.
  uint64_t digest() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

// The lower-case hexadecimal SHA-256 of `data`.
std::string Sha256Hex(std::string_view data);

// A random identifier of 16 hexadecimal digits.
std::string RandomId();

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_BASE_BASE_H_
