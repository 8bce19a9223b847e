#ifndef TESTING_PLATFORM_STANDIN_H_
#define TESTING_PLATFORM_STANDIN_H_

// Stands in for the users' platform: its store, and backend servers that speak
// its protocol. Both run inside the test, on a runtime of one thread, so that
// their state needs no lock but towards the test.
//
//   StoreStandin store;
//   auto server = HttpServer::Start(runtime, {...}, store.Handler());
//   store.Put("keyed.op", "config", document);

#include <boost/json/fwd.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "hawthornhollow/http/http.h"

namespace hawthornhollow::standins {

// A log with topics of one partition.
class StoreStandin {
 public:
  HttpHandler Handler();

  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);
  // During an outage every call is answered 503.
  void SetOutage(bool outage);
  int64_t calls() const;
  // Takes a copy, and comes back from the last one: what was appended since is
  // lost, its offsets are given out again, and the era is one higher.
  void TakeCopy();
  void Restore();
  bool has_copy() const;
  // Keys in the topic of the routers' level records.
  size_t router_count() const;

 private:
  struct Record {
    std::string key;
    std::string value;
  };
  // Of an append among those of its writer.
  struct Place {
    std::string writer;
    int64_t epoch = 0;
    int64_t sequence = 0;
    friend bool operator==(const Place&, const Place&) = default;
  };
  static Place PlaceOf(const HttpRequest& request);
  static bool Follows(const Place& place, const Place& last);

  void Serve(const HttpRequest& request, ResponseWriter& writer);
  void Append(const HttpRequest& request, ResponseWriter& writer);
  void Read(const HttpRequest& request, ResponseWriter& writer);
  void Newest(const HttpRequest& request, ResponseWriter& writer);

  using Topics = std::map<std::string, std::vector<Record>>;
  // The last place, by topic and writer.
  using Writers = std::map<std::string, Place>;

  HttpHeaders EraHeader() const;
  void SendAnswer(ResponseWriter& writer,
                  int status,
                  const boost::json::object& answer) const;

  mutable std::mutex mutex_;
  Topics topics_;
  Writers writers_;
  Topics copied_topics_;
  Writers copied_writers_;
  int64_t era_ = 1;
  bool outage_ = false;
  int64_t calls_ = 0;
};

// One backend server. Paths that begin with "/stream/" answer with `events`
// events, others with a short body.
class ReplicaStandin {
 public:
  // What it sends of an answer before it crashes.
  enum class CrashPoint { kBeforeHead, kAfterHead, kAfterFirstEvent };
  struct Faults {
    // Breaks each stream off after this many events; negative: never.
    int break_after_events = -1;
    // Breaks each other answer off after the request has run.
    bool lose_answers = false;
    bool refuse = false;  // answers 503 and does not run
    // Asks for a rest of so many seconds as it refuses; empty: it doesn't.
    std::string stated_rest;
    bool fail = false;  // runs and answers 500
    // Crashes when it begins a stream whose prompt has this part.
    std::string deadly_part;
    CrashPoint crash_point = CrashPoint::kAfterHead;
    // States this limit of requests a second in all answers; empty: none.
    std::string stated_limit;
    bool says_leaving = false;  // in all answers
    // States in all answers how long it is still cold; empty: by `cold_until`,
    // until then.
    std::string stated_cold;
    absl::Time cold_until = absl::InfinitePast();
    absl::Duration work_time;  // of each request, before its answer begins
    // Ends each stream that is not resumed inside this event, as if it were
    // whole; 0: none.
    int64_t end_inside_event = 0;
  };

  explicit ReplicaStandin(std::string id) : id_(std::move(id)) {}
  HttpHandler Handler();

  void SetFaults(const Faults& faults);
  void SetEventPause(absl::Duration pause);
  // How often each request ran, by its id.
  std::map<std::string, int> runs() const;
  // When requests arrived, whether or not they ran.
  std::vector<absl::Time> arrivals() const;
  // Requests that crashed it.
  int crashes() const;

  static constexpr int64_t kEvents = 10;
  // The body of a whole stream.
  static std::string WholeStream();

 private:
  void Serve(const HttpRequest& request, ResponseWriter& writer);
  static std::string Event(int64_t number);
  // Returns whether the request crashes it, at this point of its answer.
  bool CrashesAt(CrashPoint point,
                 const HttpRequest& request,
                 const Faults& faults);
  static HttpHeaders AnswerHeaders(const std::string& seal,
                                   const std::string& request,
                                   const Faults& faults);
  void ServeStream(const HttpRequest& request,
                   const Faults& faults,
                   ResponseWriter& writer);

  const std::string id_;
  mutable std::mutex mutex_;
  Faults faults_;
  absl::Duration event_pause_ = absl::Milliseconds(2);
  std::map<std::string, int> runs_;
  std::vector<absl::Time> arrivals_;
  int crashes_ = 0;
};

}  // namespace hawthornhollow::standins

#endif  // TESTING_PLATFORM_STANDIN_H_
