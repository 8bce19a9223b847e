#ifndef HAWTHORNHOLLOW_RELAY_KEYED_FOLLOWER_H_
#define HAWTHORNHOLLOW_RELAY_KEYED_FOLLOWER_H_

// Keeps a copy of the newest record of each key for one subject of the store.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hawthornhollow/relay/record_reader.h"
#include "hawthornhollow/relay/relay.h"

namespace hawthornhollow {

template <SharedStore Store>
class KeyedFollower {
 public:
  // `store` must outlive the follower. `keeps_deletions` is for subjects with
  // few keys.
  KeyedFollower(Store& store,
                StoreSubject subject,
                bool keeps_deletions = false)
      : reader_(store, subject, kMaxCatchUp),
        keeps_deletions_(keeps_deletions) {}

  // Reads new records once. After an error the copy is unchanged.
  absl::Status Poll(absl::Duration timeout) {
    const int64_t era = reader_.position().era;
    auto result = reader_.Read(timeout);
    if (!result.ok())
      return result.status();
    if (reader_.position().era != era)
      deleted_.clear();
    if (result->is_snapshot)
      newest_.clear();
    if (result->is_snapshot || !result->page.values.empty())
      ++changes_;
    for (StoredValue& value : result->page.values)
      Apply(std::move(value));
    return absl::OkStatus();
  }

  // Takes the records of another follower, which read up to `position` at
  // `read_at`: `keys` are all its keys, and `records` those from position()
  // here on, all of them if its era is a later one. Returns false, and takes
  // nothing, if this one has read further.
  bool Adopt(const StorePosition& position,
             absl::Time read_at,
             const std::vector<std::string>& keys,
             const std::vector<StoredValue>& records) {
    if (position < reader_.position())
      return false;
    if (position.era > reader_.position().era)
      newest_.clear();
    const std::set<std::string> present(keys.begin(), keys.end());
    std::erase_if(newest_, [&](const auto& item) {
      return !present.contains(item.first);
    });
    for (const StoredValue& record : records)
      Apply(record);
    reader_.SkipTo(position, read_at);
    ++changes_;
    return true;
  }

  const std::map<std::string, StoredValue>& newest() const { return newest_; }
  // Offsets of the deletions of keys that have no record, as far as they were
  // read in this era.
  const std::map<std::string, int64_t>& deleted() const { return deleted_; }
  // Up to where records were read.
  const StorePosition& position() const { return reader_.position(); }
  // Number of polls that may have changed the records.
  uint64_t changes() const { return changes_; }

 private:
  static constexpr absl::Duration kMaxCatchUp = absl::Seconds(2);

  void Apply(StoredValue value) {
    if (value.value.empty()) {
      newest_.erase(value.key);
      if (keeps_deletions_)
        deleted_[value.key] = value.offset;
      return;
    }
    deleted_.erase(value.key);
    std::string key = value.key;
    newest_.insert_or_assign(std::move(key), std::move(value));
  }

  RecordReader<Store> reader_;
  const bool keeps_deletions_;
  std::map<std::string, StoredValue> newest_;
  std::map<std::string, int64_t> deleted_;
  uint64_t changes_ = 0;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_KEYED_FOLLOWER_H_
