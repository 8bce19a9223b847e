#ifndef HAWTHORNHOLLOW_HTTP_REQUEST_ACCOUNT_H_
#define HAWTHORNHOLLOW_HTTP_REQUEST_ACCOUNT_H_

// The memory that the requests of a process's HTTP servers hold, for the fibers
// that read them; request_memory.h decides.
//
//   auto account = RequestAccount::ForMemory(88 << 20);
//   RequestAccount::Hold hold(account, "10.0.0.7", [] { ...cancel the read...
//   }); if (!hold.Resize(bytes))
//     ...  // refused: answer 503, close
//
// Also counts what was refused to clients for want of memory or descriptors,
// and returns freed memory to the system after pressure.

#include <array>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "hawthornhollow/http/request_memory.h"

namespace hawthornhollow {

// How requests and connections were refused since the start.
struct HttpRefusals {
  int64_t memory = 0;               // waited too long for memory
  int64_t stalled = 0;              // stalled while others needed the memory
  int64_t connections = 0;          // no room for another connection
  int64_t stalled_connections = 0;  // closed to make room for another one
  // With the reasons that metrics name.
  std::array<std::pair<std::string_view, int64_t>, 4> ByReason() const {
    return {{{"no_memory", memory},
             {"stalled", stalled},
             {"too_many_connections", connections},
             {"stalled_connection", stalled_connections}}};
  }
  friend auto operator<=>(const HttpRefusals&, const HttpRefusals&) = default;
};

class RequestAccount {
 public:
  // For a VM or container of that memory: a half of what the process leaves
  // free is for requests, the other for connections.
  static std::shared_ptr<RequestAccount> ForMemory(size_t memory_bytes);
  // The account of all servers that were given none, for the machine's memory.
  static std::shared_ptr<RequestAccount> OfProcess();
  // Of the machine; 0 if it is not known.
  static size_t MachineMemory();
  // Open files that the system allows this process.
  static size_t MaxDescriptors();

  explicit RequestAccount(const RequestMemoryOptions& options,
                          size_t max_connections);
  RequestAccount(const RequestAccount&) = delete;
  RequestAccount& operator=(const RequestAccount&) = delete;

  // What one request holds; used by one fiber.
  class Hold {
   public:
    // `on_evicted` is called at most once, from any thread; it must not block.
    Hold(std::shared_ptr<RequestAccount> account,
         const std::string& client,
         std::function<void()> on_evicted);
    Hold(const Hold&) = delete;
    Hold& operator=(const Hold&) = delete;
    ~Hold() { Release(); }

    // Holds `bytes` in all. May block the fiber for a second or two; false if
    // the request is refused.
    bool Resize(size_t bytes);
    void OnArrived(size_t bytes);
    // The request has arrived: it is not evicted from now on, nor refused.
    // False if it was before.
    bool Complete();
    bool was_refused() const { return refused_; }
    // Nothing is held any more; the last call.
    void Release();

   private:
    friend class RequestAccount;
    const std::shared_ptr<RequestAccount> account_;
    std::function<void()> on_evicted_;
    boost::fibers::condition_variable decided_;
    RequestMemory::Id id_ = 0;
    size_t held_ = 0;
    bool waits_ = false;
    bool refused_ = false;
    bool released_ = false;
  };

  // Connections for which there is memory, of all servers together.
  size_t max_connections() const { return max_connections_; }
  void OnConnectionRefused();
  void OnConnectionEvicted();

  HttpRefusals refusals() const;
  size_t used_bytes() const;

 private:
  void DecideLocked();
  // Blocks until the request is granted or refused.
  void AwaitLocked(Hold* hold, std::unique_lock<boost::fibers::mutex>* lock);
  void TrimLocked();
  // Counts and logs, one line a second at most.
  struct Tally {
    int64_t count = 0;
    int64_t untold = 0;
    absl::Time told_at = absl::InfinitePast();
    // What the line has to tell, or 0.
    int64_t Count(absl::Time now);
  };

  const size_t total_bytes_;
  const size_t max_connections_;
  mutable boost::fibers::mutex mutex_;
  RequestMemory memory_;
  std::map<RequestMemory::Id, Hold*> holds_;
  Hold* decider_ = nullptr;  // the waiting request that decides now and then
  bool was_under_pressure_ = false;
  Tally refused_;
  Tally stalled_;
  Tally connections_;
  Tally stalled_connections_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_HTTP_REQUEST_ACCOUNT_H_
