#ifndef TESTING_TCP_RELAY_H_
#define TESTING_TCP_RELAY_H_

// A TCP relay between two processes of a test, for faults of the network.
//
//   auto relay = TcpRelay::Start(log_endpoint);
//   (*relay)->SetMode(RelayMode::kSilent);  // a partition
//   (*relay)->SetMode(RelayMode::kPass);    // new connections work again

#include <cstdint>
#include <memory>

#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "hawthornhollow/runtime/runtime.h"

namespace hawthornhollow {

enum class RelayMode {
  kPass,
  // Bytes are dropped and no end of a connection is passed on. A connection
  // that was open or opened in this mode stays silent for good.
  kSilent,
  // Connections are closed at once, open ones too.
  kCut,
  // As kSilent, but only towards who connected: what is sent to the target
  // arrives there.
  kAnswersLost,
};

// Runs on a thread of its own until it is destroyed. Thread-safe.
class TcpRelay {
 public:
  // Listens on a free port of 127.0.0.1 and connects onwards to `target`.
  static absl::StatusOr<std::unique_ptr<TcpRelay>> Start(
      const Endpoint& target);
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;
  ~TcpRelay();

  const Endpoint& endpoint() const;
  // Has taken effect when it returns.
  void SetMode(RelayMode mode);
  // Each piece of bytes is passed on so much later, from now on.
  void SetDelay(absl::Duration delay);
  // The connections now open go silent for good; new ones follow the mode.
  void SilenceOpenConnections();
  // Connections accepted so far.
  int64_t accepted() const;

 private:
  class Impl;
  explicit TcpRelay(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace hawthornhollow

#endif  // TESTING_TCP_RELAY_H_
