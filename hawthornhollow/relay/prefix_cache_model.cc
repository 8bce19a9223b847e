#include "hawthornhollow/relay/prefix_cache_model.h"

#include <algorithm>

namespace hawthornhollow {
namespace {

// Bounds the memory of the model where the server's is not known.
constexpr size_t kMaxParts = 4096;

}  // namespace

bool PrefixCacheModel::IsExpired(const Cached& part, absl::Time now) const {
  return options_.memory_tokens == 0 &&
         now - part.used_at >= options_.cache_time;
}

int64_t PrefixCacheModel::CachedTokens(const std::vector<PromptPart>& prompt,
                                       absl::Time now) const {
  int64_t cached = 0;
  for (const PromptPart& part : prompt) {
    const auto found = parts_.find(part.id);
    if (found == parts_.end() || IsExpired(found->second, now))
      break;
    cached += part.tokens;
  }
  return cached;
}

void PrefixCacheModel::Use(const std::vector<PromptPart>& prompt,
                           int64_t other_tokens,
                           absl::Time now) {
  // From the last to the first, as a part is of no use without those before it
  // and has to be evicted before them.
  for (auto part = prompt.rbegin(); part != prompt.rend(); ++part) {
    const auto [found, is_new] = parts_.try_emplace(part->id);
    Cached& cached = found->second;
    if (!is_new)
      by_use_.erase(cached.last_use);
    tokens_ += part->tokens - cached.tokens;
    cached = {.tokens = part->tokens, .last_use = ++last_use_, .used_at = now};
    by_use_.emplace(cached.last_use, found);
  }
  Evict(options_.memory_tokens - other_tokens, now);
}

void PrefixCacheModel::Evict(int64_t budget, absl::Time now) {
  while (!by_use_.empty()) {
    const auto oldest = by_use_.begin();
    const Cached& part = oldest->second->second;
    const bool over_budget = options_.memory_tokens > 0 && tokens_ > budget;
    if (!over_budget && parts_.size() <= kMaxParts && !IsExpired(part, now))
      return;
    tokens_ -= part.tokens;
    parts_.erase(oldest->second);
    by_use_.erase(oldest);
  }
}

}  // namespace hawthornhollow
