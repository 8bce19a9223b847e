#ifndef HAWTHORNHOLLOW_RELAY_SERVER_ENTRIES_H_
#define HAWTHORNHOLLOW_RELAY_SERVER_ENTRIES_H_

// The servers that the store's entries name. An entry is decoded once, when it
// is new: of thousands hardly any changes between two polls, and decoding all
// at each would take a small VM's processor.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "hawthornhollow/relay/relay.h"

namespace hawthornhollow {

template <Dialect D>
class ServerEntries {
 public:
  // Told of each entry that cannot be decoded, once.
  using OnRejected =
      std::function<void(const StoredValue& value, const absl::Status& status)>;

  explicit ServerEntries(OnRejected on_rejected)
      : on_rejected_(std::move(on_rejected)) {}

  // Brings the servers in line with all entries there are, by key.
  void Update(const std::map<std::string, StoredValue>& entries) {
    for (const auto& [key, value] : entries)
      Take(key, value);
    std::erase_if(offsets_, [&](const auto& item) {
      if (entries.contains(item.first))
        return false;
      servers_.erase(item.first);
      return true;
    });
  }

  // By key.
  const std::map<std::string, RelayServer>& servers() const { return servers_; }

 private:
  void Take(const std::string& key, const StoredValue& value) {
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
  std::map<std::string, int64_t> offsets_;  // of the entries decoded
  std::map<std::string, RelayServer> servers_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_SERVER_ENTRIES_H_
