#ifndef HAWTHORNHOLLOW_RELAY_KEYED_FOLLOWER_H_
#define HAWTHORNHOLLOW_RELAY_KEYED_FOLLOWER_H_

// Keeps the newest record of each key of one subject of the store. Reads what
// came since the last time; and the newest records anew when some of that is
// gone, or so much may have come since that catching up would take longer.

#include <map>
#include <string>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/relay.h"

namespace hawthornhollow {

template <SharedStore Store>
class KeyedFollower {
 public:
  // `store` must outlive the follower.
  KeyedFollower(Store& store, StoreSubject subject)
      : store_(store), subject_(subject) {}

  // Reads once. After an error what was known stays.
  absl::Status Poll(absl::Duration timeout) {
    if (!has_read_ || SteadyNow() - read_at_ > kCatchUpAtMost)
      return ReadAll(timeout);
    auto page = store_.ReadFrom(subject_, end_, timeout);
    if (!page.ok()) {
      return page.status().code() == absl::StatusCode::kOutOfRange
                 ? ReadAll(timeout)
                 : page.status();
    }
    for (StoredValue& value : page->values)
      Apply(std::move(value));
    end_ = page->end;
    read_at_ = SteadyNow();
    return absl::OkStatus();
  }

  const std::map<std::string, StoredValue>& newest() const { return newest_; }

 private:
  static constexpr absl::Duration kCatchUpAtMost = absl::Seconds(2);

  absl::Status ReadAll(absl::Duration timeout) {
    auto page = store_.Newest(subject_, timeout);
    if (!page.ok())
      return page.status();
    newest_.clear();
    for (StoredValue& value : page->values)
      Apply(std::move(value));
    end_ = page->end;
    has_read_ = true;
    read_at_ = SteadyNow();
    return absl::OkStatus();
  }

  void Apply(StoredValue value) {
    if (value.value.empty()) {
      newest_.erase(value.key);
      return;
    }
    std::string key = value.key;
    newest_.insert_or_assign(std::move(key), std::move(value));
  }

  Store& store_;
  const StoreSubject subject_;
  std::map<std::string, StoredValue> newest_;
  int64_t end_ = 0;
  bool has_read_ = false;
  absl::Time read_at_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_KEYED_FOLLOWER_H_
