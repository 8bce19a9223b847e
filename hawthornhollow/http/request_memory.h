#ifndef HAWTHORNHOLLOW_HTTP_REQUEST_MEMORY_H_
#define HAWTHORNHOLLOW_HTTP_REQUEST_MEMORY_H_

// Decides who may hold how much of the memory for requests while they arrive
// and are handled. No I/O and no clock.
//
// The workload: ordinary requests with bodies of 0 to 100 KB, now and then one
// of the largest legal size, on VMs of 88 to 512 MB; and clients that send many
// large bodies at once, as one or as chunks of any size, and stop short of the
// end.
//
//   RequestMemory memory({.total_bytes = 32 << 20});
//   const RequestMemory::Id id = memory.Begin("10.0.0.7", now);
//   if (!memory.Resize(id, length, now))
//     ...  // it waits: no more is read until Decide() grants or refuses it
//   memory.OnArrived(id, bytes, now);
//   memory.Complete(id);  // it has arrived, and is handled
//   memory.End(id);
//
// Whoever calls Resize or End calls Decide() afterwards, and at times while
// somebody waits, as a stall is known by the time that passes.
//
// Rules:
// - Large requests get a part of the memory only, and small ones nearly all, so
//   that there is always room for smaller requests. One client's large requests
//   get less than all large ones. Small requests have no limit per client: many
//   callers may share an address.
// - Waiting requests are served from the smallest to the largest.
// - If a waiting request finds no room, those give way that are stalled: of
//   which too little has arrived lately. The largest go first, and only if that
//   makes room. Nobody gives way while there is room.
// - A request that has waited too long is refused, from the largest on, until
//   the others have room.
// - A request that has arrived whole is never made to give way: it may run.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace hawthornhollow {

struct RequestMemoryOptions {
  // Of all requests together.
  size_t total_bytes = 0;
  // What any request may need: the limits for large ones are at least this.
  size_t largest_request_bytes = 0;
  // Requests up to the first size may use all memory, those up to the second
  // `small_share` of it, others `large_share`. Ordinary bodies have up to 100
  // KB, and a request holds twice its body (and a half more while chunks
  // arrive) and what its handler needs.
  size_t tiny_bytes = 64 * 1024;
  size_t small_bytes = 256 * 1024;
  double small_share = 0.9375;
  double large_share = 0.75;
  // Of all memory, for the large requests of one client.
  double client_share = 0.5;
  // A request is stalled if less than `stall_bytes` have arrived in this time,
  // 32 KB/s: over the slowest links of entry VMs (10 Mbit/s) one client in
  // forty is that slow when all send.
  absl::Duration stall_time = absl::Milliseconds(500);
  size_t stall_bytes = 16 * 1024;
  // Twice `stall_time`: a request that waits for stalled ones gets their room.
  absl::Duration max_wait = absl::Seconds(1);
};

class RequestMemory {
 public:
  using Id = uint64_t;

  explicit RequestMemory(const RequestMemoryOptions& options);

  // `client` is the address without its port.
  Id Begin(const std::string& client, absl::Time now);
  // The request wants to hold `bytes` in all. Less than it holds is taken back
  // at once. Returns false if it has to wait; it keeps what it holds.
  bool Resize(Id id, size_t bytes, absl::Time now);
  void OnArrived(Id id, size_t bytes, absl::Time now);
  void Complete(Id id);
  void End(Id id);

  struct Decisions {
    std::vector<Id> granted;  // have waited, and hold what they wanted
    std::vector<Id> refused;  // have waited too long
    std::vector<Id> evicted;  // stalled
    friend bool operator==(const Decisions&, const Decisions&) = default;
  };
  // Refused and evicted requests hold their memory until they End.
  Decisions Decide(absl::Time now);

  size_t used_bytes() const { return used_.Total(); }
  size_t waiting_count() const { return waiting_; }

 private:
  enum SizeClass { kTiny, kSmall, kLarge };
  static constexpr size_t kClasses = 3;

  struct Request {
    std::string client;
    size_t held = 0;
    size_t wanted = 0;  // while it waits
    bool is_waiting = false;
    bool is_complete = false;
    bool is_leaving = false;      // refused or evicted
    bool has_room_later = false;  // within one decision
    absl::Time waits_since;
    absl::Time progress_at;
    size_t arrived = 0;  // since `progress_at`
  };
  // Sums over requests.
  struct Sums {
    std::array<size_t, kClasses> of_class = {};
    std::map<std::string, size_t> large_of_client;
    size_t Total() const;
  };
  using Requests = std::map<Id, Request>;

  SizeClass ClassOf(size_t bytes) const;
  void Add(Sums* sums, const std::string& client, size_t bytes) const;
  void Subtract(Sums* sums, const std::string& client, size_t bytes) const;
  // Whether the request can hold `bytes` in place of what it holds.
  bool Fits(const Sums& sums, const Request& request, size_t bytes) const;
  void Replace(Sums* sums, const Request& request, size_t bytes) const;
  void Grant(Request* request, absl::Time now);
  std::vector<Requests::iterator> WaitingFromSmallest();
  std::vector<Requests::iterator> StalledFromLargest(absl::Time now);
  // How many of `stalled` have to leave to make room for `request`; 0 if all do
  // not suffice.
  size_t CountVictims(const Sums& sums,
                      const std::vector<Requests::iterator>& stalled,
                      const Request& request) const;
  // Steps of Decide. `later` is what will be held once the leaving have left.
  void MakeRoom(absl::Time now,
                const std::vector<Requests::iterator>& waiting,
                Sums* later,
                Decisions* decisions);
  void RefuseOverdue(absl::Time now,
                     std::vector<Requests::iterator> without_room,
                     Sums* later,
                     Decisions* decisions);

  const RequestMemoryOptions options_;
  std::array<size_t, kClasses> caps_ = {};
  size_t client_cap_ = 0;
  Requests requests_;
  Sums used_;
  size_t waiting_ = 0;
  Id next_ = 1;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_HTTP_REQUEST_MEMORY_H_
