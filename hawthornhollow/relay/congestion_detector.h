#ifndef HAWTHORNHOLLOW_RELAY_CONGESTION_DETECTOR_H_
#define HAWTHORNHOLLOW_RELAY_CONGESTION_DETECTOR_H_

// Detects whether the network link of this VM is congested, that is, whether
// packets wait so long in its queue that even the fastest server seems slow.
//
// Assumed load: a workspace sends several times its usual load, with large
// prompts, through one router whose link is narrow. Connections to servers then
// time out whichever the server, each request makes several futile attempts,
// and refused callers return to the same router. A server that is down causes
// timeouts too, so the detector uses the fastest of the recent connections to
// several servers: one fast connection shows that the link is not congested.

#include <algorithm>
#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "absl/time/time.h"

namespace hawthornhollow {

struct CongestionDetectorOptions {
  // Number of recent connections considered, and the number of distinct servers
  // they must include.
  size_t connections = 8;
  size_t min_servers = 3;
  // A connection that took this long is slow. Several times the longest round
  // trip between two failure domains.
  absl::Duration slow_connect_time = absl::Milliseconds(250);
  // Older connections are ignored.
  absl::Duration max_connection_age = absl::Seconds(3);
  // Over a congested link, a connection may take `congested_factor` times as
  // long as the fastest recent one, within the bounds `timeout` and
  // `max_timeout`.
  double congested_factor = 2;
  absl::Duration timeout = absl::Milliseconds(400);
  absl::Duration max_timeout = absl::Milliseconds(1'500);
};

class CongestionDetector {
 public:
  explicit CongestionDetector(const CongestionDetectorOptions& options)
      : options_(options) {}

  // Reports that a connection to a server was established or failed after
  // `took`.
  void OnConnection(const std::string& server,
                    absl::Duration took,
                    absl::Time now) {
    recent_.push_back({.server = server, .took = took, .at = now});
    if (recent_.size() > options_.connections)
      recent_.pop_front();
  }

  // Duration of the fastest of the recent connections; zero if there are too
  // few.
  absl::Duration MinConnectTime(absl::Time now) const {
    std::set<std::string_view> servers;
    absl::Duration fastest = absl::InfiniteDuration();
    size_t count = 0;
    for (const Connection& connection : recent_) {
      if (now - connection.at > options_.max_connection_age)
        continue;
      ++count;
      servers.insert(connection.server);
      fastest = std::min(fastest, connection.took);
    }
    if (count < options_.connections || servers.size() < options_.min_servers)
      return absl::ZeroDuration();
    return fastest;
  }

  bool IsCongested(absl::Time now) const {
    return MinConnectTime(now) >= options_.slow_connect_time;
  }

  // Timeout for the next connection to a server.
  absl::Duration ConnectTimeout(absl::Time now) const {
    return std::clamp(MinConnectTime(now) * options_.congested_factor,
                      options_.timeout, options_.max_timeout);
  }

 private:
  struct Connection {
    std::string server;
    absl::Duration took;
    absl::Time at;
  };

  const CongestionDetectorOptions options_;
  std::deque<Connection> recent_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_CONGESTION_DETECTOR_H_
