#include "testing/prefix_cache.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "absl/time/clock.h"
#include "hawthornhollow/base/base.h"

namespace hawthornhollow::standins {
namespace {

constexpr size_t kEventsKept = 4096;

}  // namespace

PrefixCache::PrefixCache(const PrefixCacheOptions& options, Chance* chance)
    : options_(options), chance_(chance) {}

bool PrefixCache::Touch(const std::string& prefix) {
  const auto found = std::find(prefixes_.begin(), prefixes_.end(), prefix);
  if (found != prefixes_.end()) {
    prefixes_.splice(prefixes_.begin(), prefixes_, found);
    return true;
  }
  prefixes_.push_front(prefix);
  AddEvent(true, prefix);
  if (prefixes_.size() > options_.capacity) {
    AddEvent(false, prefixes_.back());
    prefixes_.pop_back();
  }
  return false;
}

boost::json::object PrefixCache::Events(int64_t from) const {
  const absl::Time now = absl::Now();
  int64_t next = from;
  boost::json::array events;
  for (const CacheEvent& event : events_) {
    if (event.sequence < from) {
      continue;
    }
    if (event.shown > now) {
      break;
    }
    next = event.sequence + 1;
    if (event.dropped) {
      continue;
    }
    events.push_back(
        boost::json::object{{"seq", event.sequence},
                            {"type", event.stored ? "stored" : "removed"},
                            {"prefix", std::to_string(event.prefix_hash)}});
  }
  return {{"next", next}, {"events", std::move(events)}};
}

void PrefixCache::AddEvent(bool stored, const std::string& prefix) {
  events_.push_back({next_sequence_++, absl::Now() + options_.event_lag, stored,
                     StableHash(prefix), chance_->Hit(options_.event_drop)});
  if (events_.size() > kEventsKept) {
    events_.pop_front();
  }
}

}  // namespace hawthornhollow::standins
