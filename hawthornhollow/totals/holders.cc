// Rendezvous hashing of workspaces over routers: each router has a score for
// the workspace, and the highest scores hold its total. A router in a failure
// domain that already has a holder comes after those of the other domains.

#include <algorithm>
#include <set>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {

std::vector<std::string> ChooseHolders(
    std::string_view workspace,
    const std::vector<HolderCandidate>& candidates,
    size_t count) {
  struct Scored {
    uint64_t score;
    const HolderCandidate* candidate;
  };
  std::vector<Scored> ranking;
  ranking.reserve(candidates.size());
  for (const HolderCandidate& candidate : candidates) {
    ranking.push_back(
        {StableHash(candidate.router, StableHash(workspace)), &candidate});
  }
  std::sort(ranking.begin(), ranking.end(),
            [](const Scored& a, const Scored& b) {
              return std::pair(a.score, a.candidate->router) >
                     std::pair(b.score, b.candidate->router);
            });
  std::vector<std::string> holders;
  std::vector<std::string> same_domain;
  std::set<std::string_view> domains;
  for (const Scored& scored : ranking) {
    const bool is_new_domain =
        domains.insert(scored.candidate->failure_domain).second;
    (is_new_domain ? holders : same_domain).push_back(scored.candidate->router);
  }
  holders.insert(holders.end(), same_domain.begin(), same_domain.end());
  holders.resize(std::min(holders.size(), count));
  return holders;
}

}  // namespace hawthornhollow
