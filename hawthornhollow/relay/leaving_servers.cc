#include "hawthornhollow/relay/leaving_servers.h"

#include <utility>

namespace hawthornhollow {

bool LeavingServers::OnStated(const RelayServer& server) {
  const auto [found, is_new] =
      born_ms_.try_emplace(server.id, server.revision.born_ms);
  if (!is_new) {
    if (found->second >= server.revision.born_ms)
      return false;
    found->second = server.revision.born_ms;
    return true;
  }
  order_.push_back(server.id);
  if (order_.size() > kMaxServers) {
    born_ms_.erase(order_.front());
    order_.pop_front();
  }
  return true;
}

bool LeavingServers::IsLeaving(const RelayServer& server) const {
  const auto found = born_ms_.find(server.id);
  return found != born_ms_.end() && server.revision.born_ms <= found->second;
}

std::vector<RelayServer> LeavingServers::Apply(
    std::vector<RelayServer> servers) const {
  for (RelayServer& server : servers)
    server.leaving |= IsLeaving(server);
  return servers;
}

}  // namespace hawthornhollow
