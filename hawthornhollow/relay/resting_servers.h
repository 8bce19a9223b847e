#ifndef HAWTHORNHOLLOW_RELAY_RESTING_SERVERS_H_
#define HAWTHORNHOLLOW_RELAY_RESTING_SERVERS_H_

// Which backend servers have asked this router for a rest: they turned a
// request away and said for how long they want none from it. Has no I/O and no
// clock.
//
// A server says so to each router by itself, so routers do not tell one
// another. The word holds whatever the server's entry in the store says, and
// ends with the server's lifetime: a later start under the same id is another
// server.
//
//   RestingServers resting;
//   resting.OnStated(server, now + rest, now);
//   resting.OnServers(list);                       // each new list
//   std::set<std::string> excluded = resting.Ids(now);

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hawthornhollow/relay/backend_server.h"

namespace hawthornhollow {

class RestingServers {
 public:
  // Bounds memory; the one that ends first is forgotten first.
  static constexpr size_t kMaxServers = 4096;

  // An answer of this lifetime asks for a rest until then. An earlier answer's
  // word that lasts longer stays. Returns whether the server was in use.
  bool OnStated(const RelayServer& server, absl::Time until, absl::Time now);
  // Forgets lifetimes that have ended.
  void OnServers(const std::vector<RelayServer>& servers);

  bool IsResting(const RelayServer& server, absl::Time now) const;
  std::set<std::string> Ids(absl::Time now) const;
  // When the first of these servers may be used again; `now` if one may be, or
  // none is given.
  absl::Time FirstEnd(const std::vector<std::string>& servers,
                      absl::Time now) const;

 private:
  struct Rest {
    int64_t born_ms = 0;  // of the lifetime that asked
    absl::Time until;
  };
  void MakeRoom(absl::Time now);

  std::map<std::string, Rest, std::less<>> rests_;  // keyed by id
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_RESTING_SERVERS_H_
