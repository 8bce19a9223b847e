#ifndef REVIEW_COMMON_2_STANDINS_H_
#define REVIEW_COMMON_2_STANDINS_H_

// Stand-ins of the platform for the review's cases: its store, replicas, and
// machines on which the entry program runs with the command of the deploy file.

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "review/common-2/net.h"

namespace review {

// Writes record.txt: one line for each thing that was sent, answered or run.
class Record {
 public:
  explicit Record(const std::string& file);
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::string file_;
  double begin_;
};

// The platform's store: topics of one partition, as PROTOCOL.md tells them.
class Store {
 public:
  explicit Store(const std::string& ip);
  const Address& address() const { return listener_->local(); }
  // What the operator or a replica writes; an empty value drops the key.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);
  // A drill: takes a copy; is away, so that no call is answered but by 503; and
  // comes back from the copy, with the next era.
  void TakeCopy();
  void GoAway();
  void ComeBack();

 private:
  struct Entry {
    std::string key;
    std::string value;
  };
  struct Topic {
    std::vector<Entry> records;
    std::map<std::string, int64_t> newest;  // key -> offset
    std::map<std::string, std::pair<int64_t, int64_t>> writers;
    std::map<std::string, std::map<int64_t, std::string>> answers;
  };
  void Serve(Socket& socket);
  std::string Answer(const Message& request);
  std::string Append(const Message& request);
  std::string Read(const std::map<std::string, std::string>& query);
  std::string Newest(const std::map<std::string, std::string>& query);
  static void Add(Topic* topic, const std::string& key, std::string value);

  std::mutex mutex_;
  std::map<std::string, Topic> topics_;
  std::map<std::string, Topic> copy_;
  bool is_away_ = false;
  int era_ = 1;
  std::unique_ptr<Listener> listener_;
};

// A replica: registers in the store, renews its entry, and answers by a
// function of the case. Each request and its answer go into the record.
class Replica {
 public:
  // Answers one request on its connection. Returns false to close it.
  using Handler = std::function<bool(const Message& request, Socket& socket)>;
  Replica(Store& store,
          std::string id,
          std::string service,
          const std::string& ip,
          Handler handler);
  const std::string& id() const { return id_; }
  // As if its process had been killed: its connections end, and new ones are
  // refused for `seconds`. Then it starts again under its id.
  void Crash(double seconds);

 private:
  void Serve(Socket& socket);
  void Beat();

  Store& store_;
  const std::string id_;
  const std::string service_;
  const Handler handler_;
  Address local_;
  std::mutex mutex_;
  std::unique_ptr<Listener> listener_;  // null while it is down
  std::set<int> connections_;
  int64_t born_ms_ = 0;
};

// A sealed answer with its length.
std::string SealedAnswer(const Message& request,
                         const std::string& status,
                         const std::string& body,
                         const std::string& more_headers = "");

// A machine of class `front`: the entry program, with its settings.
class Machine {
 public:
  struct Options {
    std::string name = "front-a-1";
    std::string zone = "a";
    std::string ip = "127.0.0.1";
    int memory_mb = 110;
  };
  Machine(const Options& options, const Store& store, const std::string& dir);
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;
  ~Machine();

  const Address& front() const { return front_; }
  void Start();
  // Waits until the machine says that it is ready.
  bool AwaitReady(double seconds) const;
  bool IsReady() const;
  void Signal(int signal) const;
  // Kills the process and waits for its end.
  void Kill();
  // Whether the process has ended; its status if so.
  bool HasEnded(int* status);
  pid_t pid() const { return pid_; }
  const Options& options() const { return options_; }
  // Resident memory now, in MB.
  double MemoryMb() const;

 private:
  const Options options_;
  Address front_;
  Address ready_;
  std::string settings_file_;
  std::string log_file_;
  pid_t pid_ = -1;
};

// Ends this process with the exit code, after all machines: threads of
// stand-ins still run, so nothing is destroyed.
[[noreturn]] void Finish(int code);
// Finishes with 2 after `seconds`, should the case hang.
void FinishAfter(double seconds);

// The entry program, from the working folder of the script.
std::string EntryProgram();
// A temporary folder of this process.
std::string TemporaryFolder();
// Whether the disruption is to be played (TROUBLE is not 0).
bool IsTroublePlayed();

struct RouteText {
  std::string name;
  std::string prefix;
  std::string kind;
  std::string service;
  int timeout_ms = 10000;
  int target_ms = 1000;
  int attempts = 2;
};
// A configuration with one tenant, whose key is "k1", and one host.
std::string ConfigText(int version, const std::vector<RouteText>& routes);

// A client's request, as PROTOCOL.md shows it.
std::string RequestText(const std::string& method,
                        const std::string& path,
                        const std::string& id,
                        int deadline_ms,
                        const std::string& body,
                        const std::string& more_headers = "");

}  // namespace review

#endif  // REVIEW_COMMON_2_STANDINS_H_
