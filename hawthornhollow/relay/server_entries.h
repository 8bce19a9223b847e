#ifndef HAWTHORNHOLLOW_RELAY_SERVER_ENTRIES_H_
#define HAWTHORNHOLLOW_RELAY_SERVER_ENTRIES_H_

// Decodes the store's server entries. Each entry is decoded only when it is
// new: of thousands hardly any changes between two polls, and decoding all of
// them at each poll would use up a small VM's CPU.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "hawthornhollow/relay/relay.h"

namespace hawthornhollow {

template <MessageCodec D>
class ServerEntries {
 public:
  // Called once for each entry that cannot be decoded.
  using OnRejected =
      std::function<void(const StoredValue& value, const absl::Status& status)>;

  explicit ServerEntries(OnRejected on_rejected)
      : on_rejected_(std::move(on_rejected)) {}

  // Updates the servers to match `entries`, which holds all entries by key.
  void Update(const std::map<std::string, StoredValue>& entries) {
    for (const auto& [key, value] : entries)
      DecodeEntry(key, value);
    std::erase_if(offsets_, [&](const auto& item) {
      if (entries.contains(item.first))
        return false;
      servers_.erase(item.first);
      return true;
    });
  }

  // Keyed by the key of the entry.
  const std::map<std::string, RelayServer>& servers() const { return servers_; }

 private:
  void DecodeEntry(const std::string& key, const StoredValue& value) {
    const auto [known, is_new] = offsets_.try_emplace(key, value.offset);
    if (!is_new && known->second == value.offset)
      return;
    known->second = value.offset;
    auto server = D::DecodeServer(value);
    if (server.ok()) {
      servers_.insert_or_assign(key, *std::move(server));
      return;
    }
    servers_.erase(key);
    on_rejected_(value, server.status());
  }

  const OnRejected on_rejected_;
  // Key -> offset of the entry that was decoded last.
  std::map<std::string, int64_t> offsets_;
  std::map<std::string, RelayServer> servers_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_SERVER_ENTRIES_H_
