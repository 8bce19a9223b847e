#include "hawthornhollow/relay/resting_servers.h"

#include <algorithm>

namespace hawthornhollow {

bool RestingServers::OnStated(const RelayServer& server,
                              absl::Time until,
                              absl::Time now) {
  MakeRoom(now);
  const auto [found, is_new] = rests_.try_emplace(server.id);
  Rest& rest = found->second;
  const int64_t born_ms = server.revision.born_ms;
  if (!is_new && rest.born_ms > born_ms)
    return false;  // a late answer of an earlier lifetime
  if (is_new || rest.born_ms < born_ms)
    rest = {.born_ms = born_ms, .until = now};
  const bool was_in_use = rest.until <= now;
  rest.until = std::max(rest.until, until);
  return was_in_use;
}

void RestingServers::OnServers(const std::vector<RelayServer>& servers) {
  for (const RelayServer& server : servers) {
    const auto found = rests_.find(server.id);
    if (found != rests_.end() &&
        found->second.born_ms < server.revision.born_ms)
      rests_.erase(found);
  }
}

bool RestingServers::IsResting(const RelayServer& server,
                               absl::Time now) const {
  const auto found = rests_.find(server.id);
  return found != rests_.end() && found->second.until > now &&
         found->second.born_ms >= server.revision.born_ms;
}

std::set<std::string> RestingServers::Ids(absl::Time now) const {
  std::set<std::string> ids;
  for (const auto& [id, rest] : rests_) {
    if (rest.until > now)
      ids.insert(id);
  }
  return ids;
}

absl::Time RestingServers::FirstEnd(const std::vector<std::string>& servers,
                                    absl::Time now) const {
  absl::Time first = absl::InfiniteFuture();
  for (const std::string& server : servers) {
    const auto found = rests_.find(server);
    first = std::min(first, found == rests_.end()
                                ? now
                                : std::max(now, found->second.until));
  }
  return servers.empty() ? now : first;
}

void RestingServers::MakeRoom(absl::Time now) {
  if (rests_.size() < kMaxServers)
    return;
  std::erase_if(rests_,
                [now](const auto& item) { return item.second.until <= now; });
  if (rests_.size() < kMaxServers)
    return;
  rests_.erase(std::ranges::min_element(
      rests_, {}, [](const auto& item) { return item.second.until; }));
}

}  // namespace hawthornhollow
