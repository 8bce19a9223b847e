#ifndef REVIEW_COMMON_3_STORE_H_
#define REVIEW_COMMON_3_STORE_H_

// The platform's metadata store, as far as the routers use it: topics of one
// partition with keyed records. Each VM reaches it by a port of its own (a
// gate), so that it can turn single VMs away.

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "review/common-3/http.h"

namespace review {

class Store {
 public:
  explicit Store(size_t gates);

  int port(size_t gate) const { return gates_[gate].server->port(); }
  // Answers every call of that VM 503, and does nothing.
  void TurnAway(size_t gate, bool away);

  // What the operator or a server writes.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);

 private:
  struct Record {
    std::string key;
    std::string value;
  };
  struct Answered {
    int64_t sequence = 0;
    std::string body;
  };
  // A producer of one topic.
  struct Producer {
    int64_t epoch = 0;
    std::deque<Answered> last;
  };
  struct Gate {
    std::unique_ptr<Server> server;
    bool away = false;
  };

  std::string Answer(size_t gate, const Request& request);
  std::string Append(const Request& request);
  std::string Read(const Request& request);
  std::string Newest(const Request& request);

  std::mutex mutex_;
  std::map<std::string, std::vector<Record>> topics_;
  std::map<std::string, Producer> producers_;  // keyed by topic and name
  std::vector<Gate> gates_;
};

}  // namespace review

#endif  // REVIEW_COMMON_3_STORE_H_
