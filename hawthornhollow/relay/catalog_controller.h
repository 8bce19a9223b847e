#ifndef HAWTHORNHOLLOW_RELAY_CATALOG_CONTROLLER_H_
#define HAWTHORNHOLLOW_RELAY_CATALOG_CONTROLLER_H_

// Polls the operator's configuration and the registered backend servers.
//
// The version of the configuration in force never decreases. Which servers are
// in use is decided by ServerList. Both are also taken from other routers while
// this one cannot read the store.

#include <algorithm>
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
#include "hawthornhollow/relay/server_list.h"

namespace hawthornhollow {

struct CatalogOptions {
  absl::Duration poll_interval = absl::Milliseconds(400);
  // Short, because the connection to the store may be dead, and then opening a
  // new one soon is better than waiting.
  absl::Duration call_timeout = absl::Milliseconds(400);
  // Upper bounds after failures. Reading a large configuration over a narrow
  // link takes longer than `call_timeout`. The servers must be read soon after
  // the store is back: ServerListOptions::missing_entry_grace counts from
  // there.
  absl::Duration max_call_timeout = absl::Seconds(3);
  absl::Duration max_servers_call_timeout = absl::Milliseconds(600);
  // Delay after a failed call.
  absl::Duration retry_delay = absl::Milliseconds(100);
  ServerListOptions servers;
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
        entries_timeout_(options.call_timeout,
                         options.max_servers_call_timeout),
        list_(options.servers) {}
  CatalogController(const CatalogController&) = delete;
  CatalogController& operator=(const CatalogController&) = delete;

  // The configuration in force; null before the first one.
  std::shared_ptr<const RoutingTable> table() const { return table_; }
  // Whether a configuration and at least one server are known.
  bool ready() const { return table_ != nullptr && !list_.servers().empty(); }

  // Time since the configuration and the server entries were last read, the
  // latter by this router or another one; infinite before the first read.
  absl::Duration table_age() const { return SteadyNow() - table_read_; }
  absl::Duration servers_age() const {
    return SteadyNow() - list_.reading().last;
  }
  size_t server_count() const { return list_.servers().size(); }
  // Servers that are in use although their entry is missing.
  size_t kept_server_count() const { return list_.kept().size(); }

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

  // The server entries as this router knows them, with the records from offset
  // `after` on.
  ServersReport ReportServers(int64_t after) const {
    ServersReport report{.end = entries_.end(), .reading = list_.reading()};
    for (const auto& [key, record] : entries_.newest()) {
      report.keys.push_back(key);
      if (record.offset >= after)
        report.records.push_back(record);
    }
    return report;
  }
  int64_t servers_end() const { return entries_.end(); }
  // Takes entries that another router has read, unless older than those known
  // here.
  void OfferServers(const ServersReport& report) {
    if (!entries_.Adopt(report.end, report.reading.last, report.keys,
                        report.records))
      return;
    decoded_servers_.Update(entries_.newest());
    list_.UpdateFromPeer(decoded_servers_.servers(), report.reading,
                         SteadyNow());
    ForwardChanges();
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
      SleepUntilNextPoll(reached ? options_.poll_interval
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

  // Polls earlier if servers have to be dropped before.
  void SleepUntilNextPoll(absl::Duration interval) const {
    hawthornhollow::SleepFor(std::clamp(list_.next_change() - SteadyNow(),
                                        absl::ZeroDuration(), interval));
  }

  bool PollServers() {
    const absl::Status status = entries_.Poll(entries_timeout_.next());
    if (!status.ok()) {
      LogServersReadFailure(status);
      list_.DropExpired(SteadyNow());
      ForwardChanges();
      return false;
    }
    read_failure_logged_ = false;
    if (listed_changes_ != entries_.changes()) {
      listed_changes_ = entries_.changes();
      decoded_servers_.Update(entries_.newest());
    }
    list_.Update(decoded_servers_.servers(), SteadyNow());
    ForwardChanges();
    return true;
  }

  void ForwardChanges() {
    if (forwarded_changes_ == list_.changes())
      return;
    forwarded_changes_ = list_.changes();
    std::vector<RelayServer> servers;
    for (const auto& [key, server] : list_.servers())
      servers.push_back(server);
    callbacks_.on_servers(servers);
  }

  // Logs one line per outage.
  void LogServersReadFailure(const absl::Status& status) {
    if (std::exchange(read_failure_logged_, true))
      return;
    LogEvent("store.read_failed", LogSeverity::kWarning)
        .Add("of", "servers")
        .Add("reason", status);
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
  // Change count of `entries_` when they were last decoded.
  uint64_t listed_changes_ = 0;
  CallTimeout configuration_timeout_;
  CallTimeout entries_timeout_;
  ServerList list_;
  // Change count of `list_` when the callback was last called.
  uint64_t forwarded_changes_ = 0;
  std::shared_ptr<const RoutingTable> table_;
  StoredValue configuration_record_{.offset = -1};
  absl::Time table_read_ = absl::InfinitePast();
  std::map<std::string, int64_t> rejected_;  // key -> offset + 1
  bool store_reachable_ = false;
  bool read_failure_logged_ = false;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_CATALOG_CONTROLLER_H_
