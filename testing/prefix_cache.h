#ifndef TESTING_PREFIX_CACHE_H_
#define TESTING_PREFIX_CACHE_H_

// The engine stand-in's cache of prompt prefixes, and the events about it that
// come late and with gaps.

#include <cstdint>
#include <deque>
#include <list>
#include <string>

#include "absl/time/time.h"
#include "testing/standin_support.h"

namespace hawthornhollow::standins {

struct PrefixCacheOptions {
  size_t capacity = 64;
  absl::Duration event_lag;
  double event_drop = 0;
};

// Keeps the most recently used prefixes.
class PrefixCache {
 public:
  PrefixCache(const PrefixCacheOptions& options, Chance* chance);

  // Returns whether `prefix` was cached, and caches it.
  bool Touch(const std::string& prefix);

  // {"next":N,"events":[{"seq":N,"type":"stored"|"removed","prefix":"HASH"}]}:
  // the events from sequence number `from` on that are old enough to be shown.
  boost::json::object Events(int64_t from) const;

 private:
  struct CacheEvent {
    int64_t sequence = 0;
    absl::Time shown;
    bool stored = false;
    uint64_t prefix_hash = 0;
    bool dropped = false;
  };

  void AddEvent(bool stored, const std::string& prefix);

  PrefixCacheOptions options_;
  Chance* chance_;
  std::list<std::string> prefixes_;  // the most recently used first
  std::deque<CacheEvent> events_;
  int64_t next_sequence_ = 0;
};

}  // namespace hawthornhollow::standins

#endif  // TESTING_PREFIX_CACHE_H_
