#ifndef HAWTHORNHOLLOW_RELAY_PEER_READER_H_
#define HAWTHORNHOLLOW_RELAY_PEER_READER_H_

// Asks other routers, in turn, for what this one cannot read from the store.
//
// Assumed faults: the store turns some VMs away, or the link between one VM and
// the store is cut or congested, while the operator publishes a change, perhaps
// one that withdraws a key, or while backend servers leave. Routers that still
// read the store know of it. If few do, what they know spreads from one router
// to the next, as each asks in an order of its own.

#include <atomic>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "absl/random/random.h"
#include "absl/status/status.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/runtime/runtime.h"

namespace hawthornhollow {

struct PeerReaderOptions {
  // The store is polled far more often than this.
  absl::Duration unread_after = absl::Milliseconds(900);
  // Between two questions, each to another router.
  absl::Duration interval = absl::Milliseconds(250);
};

// What PeerReader needs of its router.
struct PeerReaderCalls {
  std::function<bool()> is_needed;
  std::function<std::vector<std::string>()> addresses;  // of other routers
  // Asks the router at `address` and takes its answer. NOT_FOUND if it has
  // nothing newer.
  std::function<absl::Status(const std::string& address)> ask;
};

class PeerReader {
 public:
  PeerReader(absl::Duration interval, PeerReaderCalls calls)
      : interval_(interval), calls_(std::move(calls)) {}
  PeerReader(const PeerReader&) = delete;
  PeerReader& operator=(const PeerReader&) = delete;

  // Which router is asked first.
  static size_t RandomStart() {
    constexpr size_t kManyRouters = 1'000'000;
    absl::BitGen random;
    return absl::Uniform<size_t>(random, 0, kManyRouters);
  }

  // Runs until `stop` is set. Call it on its own fiber.
  void Run(const std::atomic<bool>& stop) {
    while (!stop) {
      hawthornhollow::SleepFor(interval_);
      if (calls_.is_needed())
        AskNext();
    }
  }

 private:
  void AskNext() {
    const std::vector<std::string> addresses = calls_.addresses();
    if (addresses.empty())
      return;
    // If this one does not answer or has nothing newer, the next one may.
    calls_.ask(addresses[asked_++ % addresses.size()]).IgnoreError();
  }

  const absl::Duration interval_;
  const PeerReaderCalls calls_;
  size_t asked_ = RandomStart();
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_PEER_READER_H_
