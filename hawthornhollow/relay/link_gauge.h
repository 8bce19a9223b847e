#ifndef HAWTHORNHOLLOW_RELAY_LINK_GAUGE_H_
#define HAWTHORNHOLLOW_RELAY_LINK_GAUGE_H_

// Whether the link of this VM is choked: packets wait so long in its queue that
// even the quickest server seems slow.
//
// The load pattern that this answers: a workspace sends several times its usual
// load, with large prompts, through one router whose link is narrow.
// Connections to servers then time out whatever the server, each request tries
// several in vain, and refused callers come back to the same router. A server
// that is down looks the same, so the gauge goes by the quickest of the last
// connections, to some servers: one that was quick shows that the link is well.

#include <algorithm>
#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "absl/time/time.h"

namespace hawthornhollow {

struct LinkGaugeOptions {
  // Connections looked at, and how many different servers they must be to.
  size_t connections = 8;
  size_t least_servers = 3;
  // A connection that took as long was slow. Several times the longest way
  // between two failure domains.
  absl::Duration slow = absl::Milliseconds(250);
  // What is older shows nothing any more.
  absl::Duration memory = absl::Seconds(3);
  // A connection over a choked link is waited for so many times as long as the
  // quickest of the last took, within bounds.
  double patience = 2;
  absl::Duration timeout = absl::Milliseconds(400);
  absl::Duration timeout_most = absl::Milliseconds(1'500);
};

class LinkGauge {
 public:
  explicit LinkGauge(const LinkGaugeOptions& options) : options_(options) {}

  // A connection to a server was made, or failed, after so long.
  void OnConnection(const std::string& server,
                    absl::Duration took,
                    absl::Time now) {
    last_.push_back({.server = server, .took = took, .at = now});
    if (last_.size() > options_.connections)
      last_.pop_front();
  }

  // The quickest of the last connections; zero if too little is known.
  absl::Duration Quickest(absl::Time now) const {
    std::set<std::string_view> servers;
    absl::Duration quickest = absl::InfiniteDuration();
    size_t count = 0;
    for (const Connection& connection : last_) {
      if (now - connection.at > options_.memory)
        continue;
      ++count;
      servers.insert(connection.server);
      quickest = std::min(quickest, connection.took);
    }
    if (count < options_.connections || servers.size() < options_.least_servers)
      return absl::ZeroDuration();
    return quickest;
  }

  bool IsChoked(absl::Time now) const { return Quickest(now) >= options_.slow; }

  // How long to wait for the next connection to a server.
  absl::Duration ConnectTimeout(absl::Time now) const {
    return std::clamp(Quickest(now) * options_.patience, options_.timeout,
                      options_.timeout_most);
  }

 private:
  struct Connection {
    std::string server;
    absl::Duration took;
    absl::Time at;
  };

  const LinkGaugeOptions options_;
  std::deque<Connection> last_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_LINK_GAUGE_H_
