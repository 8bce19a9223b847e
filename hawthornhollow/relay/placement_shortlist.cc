// Candidates of a request whose server is chosen by the load at all routers.
//
// Assumed load: tens to hundreds of servers of a service, of which only a few
// can be asked for. The preferred server of the shared part is the first, as it
// has the part in its cache; the second in the same order is where the part
// goes when the first is full, so it is likely to have it too. The better of
// two that the request's id chooses takes part for the case that both are busy:
// two choices at random give nearly the balance of all.

#include <algorithm>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/prompt_placement.h"
#include "hawthornhollow/relay/relay.h"
#include "hawthornhollow/relay/server_load.h"

namespace hawthornhollow {
namespace {

// Servers preferred for the shared part.
constexpr size_t kPreferred = kSharedPartCandidates;
// Servers that the request's id chooses: the better of two takes part. Without
// a shared part there are no others, and all take part.
constexpr size_t kRandom = 2;
constexpr size_t kRandomWithoutPart = 4;
// Asked for if none of the first has room.
constexpr size_t kMore = 5;

// Moves the `count` servers with the highest scores to the front, and returns
// the end of them.
template <typename Iterator, typename Score>
Iterator MoveBestToFront(Iterator begin,
                         Iterator end,
                         size_t count,
                         const Score& score) {
  const Iterator middle = begin + static_cast<std::ptrdiff_t>(std::min(
                                      count, static_cast<size_t>(end - begin)));
  std::partial_sort(begin, middle, end, [&](const auto* a, const auto* b) {
    return score(*a) > score(*b);
  });
  return middle;
}

}  // namespace

PlacementShortlist PromptPlacement::Shortlist(const PlacementQuery& query,
                                              std::string_view request,
                                              absl::Time now) {
  std::vector<State*> servers = Candidates(query, now);
  const std::string key = PreferenceKey(query.prompt);
  const bool has_part = !key.empty();
  const auto preferred =
      has_part ? MoveBestToFront(servers.begin(), servers.end(), kPreferred,
                                 [&](const State& state) {
                                   return StableHash(key, state.id_hash);
                                 })
               : servers.begin();
  const auto random = MoveBestToFront(
      preferred, servers.end(), has_part ? kRandom : kRandomWithoutPart,
      [&](const State& state) { return StableHash(request, state.id_hash); });
  const auto by_wait = [&](const State* a, const State* b) {
    const auto wait = [&](const State& state) {
      return PredictedWait(state,
                           UncachedTokens(state, /*is_preferred=*/false, query,
                                          query.prompt_tokens, now),
                           query, now);
    };
    return wait(*a) < wait(*b);
  };
  std::stable_sort(preferred, random, by_wait);
  const auto first_end = has_part ? std::min(preferred + 1, random) : random;
  const auto more_end = first_end + std::min(static_cast<std::ptrdiff_t>(kMore),
                                             servers.end() - first_end);
  std::partial_sort(first_end, more_end, servers.end(), by_wait);
  PlacementShortlist list{.is_whole_service = more_end == servers.end()};
  for (auto server = servers.begin(); server != more_end; ++server) {
    (server < first_end ? list.first : list.more)
        .push_back((*server)->server.id);
  }
  return list;
}

absl::StatusOr<PromptPlacement::Choice> PromptPlacement::ProposeServer(
    const PlacementQuery& query,
    std::string_view server,
    absl::Time now) {
  const auto found = servers_.find(server);
  if (found == servers_.end() || found->second.server.leaving ||
      query.excluded_servers.contains(std::string(server))) {
    return ErrorAt(absl::StatusCode::kNotFound, "placement.choose", server,
                   "the server can not be used any more");
  }
  const State& state = found->second;
  int64_t tokens = 0;
  for (const PromptPart& part : query.prompt)
    tokens += part.tokens;
  tokens = std::max(query.prompt_tokens, tokens);
  const int64_t uncached =
      UncachedTokens(state, /*is_preferred=*/false, query, tokens, now);
  return Choice{.server = state.server,
                .uncached_tokens = uncached,
                .predicted_wait = PredictedWait(state, uncached, query, now),
                .registration = state.registration,
                .sequence = ++last_sequence_};
}

}  // namespace hawthornhollow
