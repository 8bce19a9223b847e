#ifndef REVIEW_COMMON_3_SLOW_REPLICA_H_
#define REVIEW_COMMON_3_SLOW_REPLICA_H_

// A server that may read long requests slowly, over small windows. It begins
// to work on a request when it has read it whole, and answers it at once.

#include <mutex>
#include <string>
#include <vector>

#include "review/common-3/http.h"

namespace review {

struct ReadSpeed {
  Milliseconds pause_before_body{0};
  size_t bytes_per_second = 0;  // of the body; 0: as fast as it comes
};

class SlowReplica {
 public:
  struct Run {
    std::string call;
    Clock::time_point at;
  };

  SlowReplica(std::string id, ReadSpeed speed);

  int port() const { return server_.port(); }
  // Requests that it has read whole, and begun to work on.
  std::vector<Run> runs() const;

 private:
  void Serve(int socket);
  bool ReadBody(const Request& request, int socket, size_t buffered) const;

  const std::string id_;
  const ReadSpeed speed_;
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
  Server server_;
};

}  // namespace review

#endif  // REVIEW_COMMON_3_SLOW_REPLICA_H_
