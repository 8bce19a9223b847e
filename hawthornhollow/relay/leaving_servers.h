#ifndef HAWTHORNHOLLOW_RELAY_LEAVING_SERVERS_H_
#define HAWTHORNHOLLOW_RELAY_LEAVING_SERVERS_H_

// Which backend servers have said in an answer that they leave. Has no I/O and
// no clock.
//
// What an answer says is newer than the store's entry of that server, and holds
// whatever the entry says later: the entry may be old, may lapse and come back,
// and cannot be read while the store is away. It ends with the server's
// lifetime: a later start under the same id is another server.
//
//   LeavingServers leaving;
//   if (leaving.OnStated(server))
//     StopUsing(server);                       // news
//   placement.SetServers(leaving.Apply(list)); // each new list

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "hawthornhollow/relay/relay.h"

namespace hawthornhollow {

class LeavingServers {
 public:
  // Bounds memory; the oldest are forgotten first.
  static constexpr size_t kMaxServers = 4096;

  // An answer of this lifetime says that it leaves. Returns whether it is news.
  bool OnStated(const RelayServer& server);
  bool IsLeaving(const RelayServer& server) const;
  // The same servers, with those that have said so marked as leaving.
  std::vector<RelayServer> Apply(std::vector<RelayServer> servers) const;

 private:
  // Id -> the start of the last lifetime that said so.
  std::map<std::string, int64_t, std::less<>> born_ms_;
  std::deque<std::string> order_;  // of ids, as they were first stated
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_LEAVING_SERVERS_H_
