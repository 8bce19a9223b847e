#ifndef HAWTHORNHOLLOW_RELAY_CATALOG_CONTROLLER_H_
#define HAWTHORNHOLLOW_RELAY_CATALOG_CONTROLLER_H_

// Polls the operator's configuration and the registered backend servers.
//
// The version of the configuration in force never decreases. A server is
// removed as soon as its entry is, except for a while after an outage of the
// store: entries may expire during the outage and be renewed just after it.

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/call_timeout.h"
#include "hawthornhollow/relay/keyed_follower.h"
#include "hawthornhollow/relay/relay.h"
#include "hawthornhollow/relay/server_entries.h"

namespace hawthornhollow {

struct CatalogOptions {
  absl::Duration poll_interval = absl::Milliseconds(400);
  // Short, because the connection to the store may be dead, and then opening a
  // new one soon is better than waiting.
  absl::Duration call_timeout = absl::Milliseconds(400);
  // Upper bound after failures. Reading a large configuration over a narrow
  // link takes longer than `call_timeout`.
  absl::Duration max_call_timeout = absl::Seconds(3);
  // Delay after a failed call.
  absl::Duration retry_delay = absl::Milliseconds(100);
  // After the store has not answered for `outage_after`, servers whose entries
  // are missing are kept for another `missing_entry_grace`.
  absl::Duration outage_after = absl::Milliseconds(1500);
  absl::Duration missing_entry_grace = absl::Milliseconds(2500);
};

struct CatalogCallbacks {
  std::function<void(std::shared_ptr<const RoutingTable>)> on_table;
  std::function<void(const std::vector<RelayServer>&)> on_servers;
};

template <SharedStore Store, MessageCodec D>
class CatalogController {
 public:
  CatalogController(Store& store,
                    const CatalogOptions& options,
                    CatalogCallbacks callbacks)
      : options_(options),
        callbacks_(std::move(callbacks)),
        configuration_(store, StoreSubject::kConfiguration),
        entries_(store, StoreSubject::kServers),
        decoded_servers_(
            [this](const StoredValue& value, const absl::Status& status) {
              Reject("server.rejected", value, status);
            }),
        configuration_timeout_(options.call_timeout, options.max_call_timeout),
        entries_timeout_(options.call_timeout, options.max_call_timeout) {}
  CatalogController(const CatalogController&) = delete;
  CatalogController& operator=(const CatalogController&) = delete;

  // The configuration in force; null before the first one.
  std::shared_ptr<const RoutingTable> table() const { return table_; }
  // Whether a configuration and at least one server are known.
  bool ready() const { return table_ != nullptr && !servers_.empty(); }

  // Time since the configuration and the server entries were last read;
  // infinite before the first read.
  absl::Duration table_age() const { return SteadyNow() - table_read_; }
  absl::Duration servers_age() const { return SteadyNow() - servers_read_; }
  size_t server_count() const { return servers_.size(); }
  // Servers that are in use although their entry is missing.
  size_t kept_server_count() const { return kept_count_; }

  // The record of the newest configuration that was read; its offset is -1
  // before the first.
  const StoredValue& configuration_record() const {
    return configuration_record_;
  }
  // Takes a record that another router has read. It is ignored before this
  // router has read one itself: after a restart of several routers, nobody may
  // know what is current.
  void OfferConfiguration(const StoredValue& record) {
    if (table_ == nullptr || record.key != D::kConfigurationKey)
      return;
    TakeConfiguration(record);
  }

  // Each polls until `stop` is set. Call each on its own fiber.
  void FollowConfiguration(const std::atomic<bool>& stop) {
    while (!stop) {
      const bool reached = PollConfiguration();
      UpdateTimeout(reached, &configuration_timeout_);
      LogStoreReachability(reached);
      hawthornhollow::SleepFor(reached ? options_.poll_interval
                                       : options_.retry_delay);
    }
  }
  void FollowServers(const std::atomic<bool>& stop) {
    while (!stop) {
      const bool reached = PollServers();
      UpdateTimeout(reached, &entries_timeout_);
      hawthornhollow::SleepFor(reached ? options_.poll_interval
                                       : options_.retry_delay);
    }
  }

 private:
  static void UpdateTimeout(bool reached, CallTimeout* timeout) {
    if (reached)
      timeout->OnSuccess();
    else
      timeout->OnFailure();
  }

  // Puts a configuration in force, unless it cannot be decoded or is not newer
  // than the current one.
  void ApplyConfiguration(const StoredValue& value) {
    auto decoded = D::DecodeConfiguration(value);
    if (!decoded.ok()) {
      Reject("config.rejected", value, decoded.status());
      return;
    }
    if (table_ != nullptr && (*decoded)->version() <= table_->version())
      return;
    LogEvent("config.in_force")
        .Add("version", (*decoded)->version())
        .Add("previous", table_ == nullptr ? 0 : table_->version())
        .Add("offset", value.offset);
    table_ = *std::move(decoded);
    callbacks_.on_table(table_);
  }

  bool PollConfiguration() {
    if (!configuration_.Poll(configuration_timeout_.next()).ok())
      return false;
    table_read_ = SteadyNow();
    const auto found =
        configuration_.newest().find(std::string(D::kConfigurationKey));
    if (found != configuration_.newest().end())
      TakeConfiguration(found->second);
    return true;
  }

  void TakeConfiguration(const StoredValue& record) {
    if (record.offset <= configuration_record_.offset)
      return;
    configuration_record_ = record;
    ApplyConfiguration(record);
  }

  bool PollServers() {
    const absl::Status status = entries_.Poll(entries_timeout_.next());
    if (!status.ok()) {
      LogServersReadFailure(status);
      return false;
    }
    read_failure_logged_ = false;
    const absl::Time now = SteadyNow();
    if (now - servers_read_ > options_.outage_after &&
        servers_read_ != absl::InfinitePast()) {
      grace_until_ = now + options_.missing_entry_grace;
      LogEvent("server.grace")
          .Add("unread_ms", absl::ToInt64Milliseconds(now - servers_read_))
          .Add("for_ms",
               absl::ToInt64Milliseconds(options_.missing_entry_grace));
    }
    servers_read_ = now;
    UpdateServers(/*keep_missing=*/now < grace_until_);
    return true;
  }

  void UpdateServers(bool keep_missing) {
    if (listed_changes_ == entries_.changes() && missing_kept_ == keep_missing)
      return;
    listed_changes_ = entries_.changes();
    missing_kept_ = keep_missing;
    decoded_servers_.Update(entries_.newest());
    std::map<std::string, RelayServer> present = decoded_servers_.servers();
    kept_count_ = 0;
    if (keep_missing)
      KeepMissing(&present);
    ReplaceServers(std::move(present));
  }

  // Adds the servers that are in use and have no entry.
  void KeepMissing(std::map<std::string, RelayServer>* present) {
    for (const auto& [key, server] : servers_) {
      if (!present->try_emplace(key, server).second)
        continue;
      ++kept_count_;
      if (kept_since_.try_emplace(key, servers_read_).second)
        LogEvent("server.kept").Add("server", server.id);
    }
  }

  // How long a server was used without an entry; -1 if it was not.
  int64_t KeptMilliseconds(const std::string& key) const {
    const auto since = kept_since_.find(key);
    return since == kept_since_.end()
               ? -1
               : absl::ToInt64Milliseconds(servers_read_ - since->second);
  }

  // Logs one line per outage.
  void LogServersReadFailure(const absl::Status& status) {
    if (std::exchange(read_failure_logged_, true))
      return;
    LogEvent("store.read_failed", LogSeverity::kWarning)
        .Add("of", "servers")
        .Add("reason", status);
  }

  void ReplaceServers(std::map<std::string, RelayServer> present) {
    if (present == servers_)
      return;
    LogChanges(present);
    servers_ = std::move(present);
    std::erase_if(kept_since_, [this](const auto& item) {
      return !servers_.contains(item.first) ||
             entries_.newest().contains(item.first);
    });
    std::vector<RelayServer> list;
    for (const auto& [key, server] : servers_)
      list.push_back(server);
    callbacks_.on_servers(list);
  }

  void LogChanges(const std::map<std::string, RelayServer>& present) const {
    for (const auto& [key, server] : present) {
      const auto old = servers_.find(key);
      if (old != servers_.end() && old->second.leaving == server.leaving)
        continue;
      LogEvent("server.listed")
          .Add("server", server.id)
          .Add("service", server.service)
          .Add("address", server.address.ToString())
          .Add("leaving", server.leaving ? 1 : 0);
    }
    for (const auto& [key, server] : servers_) {
      if (present.contains(key))
        continue;
      LogEvent("server.gone")
          .Add("server", server.id)
          .Add("was_leaving", server.leaving ? 1 : 0)
          .Add("kept_ms", KeptMilliseconds(key));
    }
  }

  // Logs one line for each record that cannot be decoded.
  void Reject(std::string_view event,
              const StoredValue& value,
              const absl::Status& status) {
    int64_t& logged = rejected_[value.key];
    if (logged == value.offset + 1)
      return;
    logged = value.offset + 1;
    LogEvent(event, LogSeverity::kWarning)
        .Add("key", value.key)
        .Add("offset", value.offset)
        .Add("reason", status);
  }

  void LogStoreReachability(bool reached) {
    if (reached == store_reachable_)
      return;
    store_reachable_ = reached;
    LogEvent(reached ? "store.regained" : "store.lost",
             reached ? LogSeverity::kInfo : LogSeverity::kWarning)
        .Add("version", table_ == nullptr ? 0 : table_->version());
  }

  const CatalogOptions options_;
  const CatalogCallbacks callbacks_;
  KeyedFollower<Store> configuration_;
  KeyedFollower<Store> entries_;
  ServerEntries<D> decoded_servers_;
  // Change count of `entries_` when the servers were last listed from it.
  uint64_t listed_changes_ = 0;
  bool missing_kept_ = false;
  CallTimeout configuration_timeout_;
  CallTimeout entries_timeout_;
  std::shared_ptr<const RoutingTable> table_;
  StoredValue configuration_record_{.offset = -1};
  absl::Time table_read_ = absl::InfinitePast();
  std::map<std::string, RelayServer> servers_;
  absl::Time servers_read_ = absl::InfinitePast();
  absl::Time grace_until_ = absl::InfinitePast();
  // Key of a server without an entry -> when the entry was found missing.
  std::map<std::string, absl::Time> kept_since_;
  size_t kept_count_ = 0;
  std::map<std::string, int64_t> rejected_;  // key -> offset + 1
  bool store_reachable_ = false;
  bool read_failure_logged_ = false;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_CATALOG_CONTROLLER_H_
