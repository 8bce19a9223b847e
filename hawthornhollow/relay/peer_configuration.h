#ifndef HAWTHORNHOLLOW_RELAY_PEER_CONFIGURATION_H_
#define HAWTHORNHOLLOW_RELAY_PEER_CONFIGURATION_H_

// Keeps the configuration current from other routers while this one cannot read
// the store.
//
// Assumed faults: the store turns some VMs away, or the link between one VM and
// the store is cut or congested, while the operator publishes a change, perhaps
// one that withdraws a key. Routers that still read the store have it.

#include <atomic>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/relay.h"

namespace hawthornhollow {

struct PeerConfigurationOptions {
  // The store is polled far more often than this.
  absl::Duration unread_after = absl::Milliseconds(900);
  // Between two questions, each to another router.
  absl::Duration interval = absl::Milliseconds(250);
};

// What PeerConfiguration needs of its router.
struct PeerConfigurationCalls {
  std::function<absl::Duration()> table_age;  // since the store was read
  std::function<int64_t()> known_offset;      // of the configuration's record
  std::function<std::vector<std::string>()> addresses;  // of other routers
  // NOT_FOUND if the router at `address` has nothing newer.
  std::function<absl::StatusOr<StoredValue>(const std::string& address,
                                            int64_t offset)>
      ask;
  std::function<void(const StoredValue&)> offer;
};

class PeerConfiguration {
 public:
  PeerConfiguration(const PeerConfigurationOptions& options,
                    PeerConfigurationCalls calls)
      : options_(options), calls_(std::move(calls)) {}
  PeerConfiguration(const PeerConfiguration&) = delete;
  PeerConfiguration& operator=(const PeerConfiguration&) = delete;

  // Runs until `stop` is set. Call it on its own fiber.
  void Run(const std::atomic<bool>& stop) {
    while (!stop) {
      hawthornhollow::SleepFor(options_.interval);
      if (calls_.table_age() > options_.unread_after)
        AskNext();
    }
  }

 private:
  void AskNext() {
    const std::vector<std::string> addresses = calls_.addresses();
    if (addresses.empty())
      return;
    const std::string& address = addresses[asked_++ % addresses.size()];
    const auto record = calls_.ask(address, calls_.known_offset());
    if (!record.ok())
      return;  // nothing newer there, or it does not answer: the next one may
    LogEvent("config.from_peer")
        .Add("peer", address)
        .Add("offset", record->offset)
        .Add("unread_ms", absl::ToInt64Milliseconds(calls_.table_age()));
    calls_.offer(*record);
  }

  const PeerConfigurationOptions options_;
  const PeerConfigurationCalls calls_;
  size_t asked_ = 0;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_PEER_CONFIGURATION_H_
