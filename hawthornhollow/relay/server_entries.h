#ifndef HAWTHORNHOLLOW_RELAY_SERVER_ENTRIES_H_
#define HAWTHORNHOLLOW_RELAY_SERVER_ENTRIES_H_

// Decodes the store's server entries. Each entry is decoded only when it is
// new: of thousands hardly any changes between two polls, and decoding all of
// them at each poll would use up a small VM's CPU.
//
// A store that comes back from an older copy has older entries: of servers that
// had left, and of servers that are leaving by now. Until the servers have
// written theirs again, or the store has dropped them, what was known before
// holds.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/relay.h"

namespace hawthornhollow {

struct ServerEntriesOptions {
  // After this time an older entry is believed: servers write theirs every
  // second or so, and the store drops those of servers that don't after a few.
  absl::Duration restored_time = absl::Seconds(10);
  // How long servers that have left are remembered. A copy is some seconds old.
  absl::Duration gone_memory = absl::Minutes(2);
};

template <MessageCodec D>
class ServerEntries {
 public:
  // Called once for each entry that cannot be decoded.
  using OnRejected =
      std::function<void(const StoredValue& value, const absl::Status& status)>;

  ServerEntries(const ServerEntriesOptions& options, OnRejected on_rejected)
      : options_(options), on_rejected_(std::move(on_rejected)) {}

  // Updates the servers to match `entries`, which holds all entries by key, as
  // they were read from the store in `era`.
  void Update(const std::map<std::string, StoredValue>& entries,
              int64_t era,
              absl::Time now) {
    if (era_.has_value() && era > *era_)
      BeginRestored(now);
    era_ = era;
    for (const auto& [key, value] : entries)
      DecodeEntry(key, value);
    DropMissing(entries, now);
    CompareWithBefore(now);
  }

  // Keyed by the key of the entry.
  const std::map<std::string, RelayServer>& servers() const { return servers_; }
  // When Update() has to be called next although no entry has changed.
  absl::Time next_change() const {
    return before_.empty() ? absl::InfiniteFuture() : restored_until_;
  }

 private:
  // What was known of a server.
  struct Known {
    RelayServer server;
    std::optional<absl::Time> gone_at;  // unset: it has an entry
  };

  void BeginRestored(absl::Time now) {
    restored_until_ = now + options_.restored_time;
    for (const auto& [key, server] : servers_)
      before_.insert_or_assign(key, Known{.server = server});
    for (const auto& [key, gone] : gone_)
      before_.insert_or_assign(key, gone);
  }

  void DecodeEntry(const std::string& key, const StoredValue& value) {
    const auto [known, is_new] = records_.try_emplace(key, value);
    if (!is_new && known->second == value)
      return;
    known->second = value;
    auto server = D::DecodeServer(value);
    if (server.ok()) {
      decoded_.insert_or_assign(key, *std::move(server));
      return;
    }
    decoded_.erase(key);
    on_rejected_(value, server.status());
  }

  void DropMissing(const std::map<std::string, StoredValue>& entries,
                   absl::Time now) {
    std::erase_if(records_, [&](const auto& item) {
      return !entries.contains(item.first);
    });
    std::erase_if(decoded_, [&](const auto& item) {
      if (entries.contains(item.first))
        return false;
      gone_.insert_or_assign(item.first,
                             Known{.server = item.second, .gone_at = now});
      return true;
    });
    std::erase_if(gone_, [&](const auto& item) {
      return decoded_.contains(item.first) ||
             now - *item.second.gone_at > options_.gone_memory;
    });
  }

  void CompareWithBefore(absl::Time now) {
    if (now >= restored_until_)
      before_.clear();
    servers_ = decoded_;
    for (const auto& [key, known] : before_) {
      const auto found = servers_.find(key);
      if (found == servers_.end())
        continue;
      const ServerRevision& revision = found->second.revision;
      if (known.gone_at.has_value() && revision <= known.server.revision)
        servers_.erase(found);
      else if (revision < known.server.revision)
        found->second = known.server;
    }
  }

  const ServerEntriesOptions options_;
  const OnRejected on_rejected_;
  std::optional<int64_t> era_;  // unset before the first update
  // All keyed by the key of the entry: the entries that were decoded last, and
  // what they say.
  std::map<std::string, StoredValue> records_;
  std::map<std::string, RelayServer> decoded_;
  std::map<std::string, Known> gone_;    // servers whose entries were removed
  std::map<std::string, Known> before_;  // the last restore
  absl::Time restored_until_ = absl::InfinitePast();
  std::map<std::string, RelayServer> servers_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_SERVER_ENTRIES_H_
