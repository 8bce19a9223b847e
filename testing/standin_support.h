#ifndef TESTING_STANDIN_SUPPORT_H_
#define TESTING_STANDIN_SUPPORT_H_

// What the stand-ins share: JSON bodies, random choices, and waiting fibers.
//
// A stand-in is an HttpHandler over state of its own. It runs on a runtime of
// one thread, whose fibers switch only at blocking calls, so that its state
// needs no lock.

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/json/fwd.hpp>
#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/time/time.h"
#include "hawthornhollow/http/http.h"

namespace hawthornhollow::standins {

// Reads the fields of a JSON object into variables, which keep their values
// where a field is absent.
//
//   JsonFields fields = JsonFields::Parse(body);
//   fields.Bool("outage", &outage);
//   absl::Status status = fields.Finish();
class JsonFields {
 public:
  // A body that is no JSON object is reported by Finish.
  static JsonFields Parse(std::string_view text);
  JsonFields(JsonFields&&);
  ~JsonFields();

  void Bool(std::string_view name, bool* value);
  void Int(std::string_view name, int64_t* value);
  void Double(std::string_view name, double* value);
  void String(std::string_view name, std::string* value);
  // INVALID_ARGUMENT that names the first mistyped or unknown field.
  absl::Status Finish() const;

 private:
  JsonFields(std::unique_ptr<boost::json::object> object, absl::Status status);
  const boost::json::value* Take(std::string_view name);
  void Mistyped(std::string_view name, std::string_view expected);

  std::unique_ptr<boost::json::object> object_;
  std::set<std::string, std::less<>> known_;
  absl::Status status_;
};

// Answers with a JSON value.
void SendJson(ResponseWriter& writer,
              int status,
              const boost::json::value& body);
// Answers {"error":"..."}.
void SendError(ResponseWriter& writer, int status, std::string_view error);

// A query parameter as a number; `fallback` if it is absent or no number.
int64_t QueryInt(const HttpRequest& request,
                 std::string_view name,
                 int64_t fallback);

// Yes-or-no choices that repeat for the same seed.
class Chance {
 public:
  explicit Chance(int64_t seed) : generator_(static_cast<uint64_t>(seed)) {}
  bool Hit(double probability) {
    return std::bernoulli_distribution(probability)(generator_);
  }

 private:
  std::mt19937_64 generator_;
};

// Wakes the fibers that wait for a condition to become true.
class FiberSignal {
 public:
  void NotifyAll() { changed_.notify_all(); }

  template <typename Ready>
  void Wait(Ready ready) {
    std::unique_lock<boost::fibers::mutex> lock(mutex_);
    changed_.wait(lock, ready);
  }

  // Returns whether `ready` came true within `timeout`.
  template <typename Ready>
  bool WaitFor(absl::Duration timeout, Ready ready) {
    std::unique_lock<boost::fibers::mutex> lock(mutex_);
    return changed_.wait_for(lock, absl::ToChronoMicroseconds(timeout), ready);
  }

 private:
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
};

}  // namespace hawthornhollow::standins

#endif  // TESTING_STANDIN_SUPPORT_H_
