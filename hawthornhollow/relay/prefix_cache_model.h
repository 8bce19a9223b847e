#ifndef HAWTHORNHOLLOW_RELAY_PREFIX_CACHE_MODEL_H_
#define HAWTHORNHOLLOW_RELAY_PREFIX_CACHE_MODEL_H_

// Estimates which parts of prompts an inference engine has in its cache, from
// the prompts that were sent to it. Has no I/O and no clock.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hawthornhollow/relay/backend_server.h"

namespace hawthornhollow {

struct PrefixCacheOptions {
  // Memory that cached parts and generated tokens share; 0 if unknown.
  int64_t memory_tokens = 0;
  // How long an unused part stays cached if the memory is unknown.
  absl::Duration cache_time = absl::Seconds(20);
};

class PrefixCacheModel {
 public:
  explicit PrefixCacheModel(const PrefixCacheOptions& options)
      : options_(options) {}

  // Tokens of the longest cached prefix of the prompt.
  int64_t CachedTokens(const std::vector<PromptPart>& prompt,
                       absl::Time now) const;
  // The engine processes the prompt. `other_tokens` of its memory are used for
  // something else. Evicts the least recently used parts.
  void Use(const std::vector<PromptPart>& prompt,
           int64_t other_tokens,
           absl::Time now);

  int64_t tokens() const { return tokens_; }

 private:
  struct Cached {
    int64_t tokens = 0;
    uint64_t last_use = 0;  // ascending
    absl::Time used_at;
  };
  using Parts = std::map<std::string, Cached, std::less<>>;

  bool IsExpired(const Cached& part, absl::Time now) const;
  void Evict(int64_t budget, absl::Time now);

  const PrefixCacheOptions options_;
  Parts parts_;
  std::map<uint64_t, Parts::iterator> by_use_;
  uint64_t last_use_ = 0;
  int64_t tokens_ = 0;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_PREFIX_CACHE_MODEL_H_
