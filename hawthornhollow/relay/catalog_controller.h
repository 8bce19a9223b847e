#ifndef HAWTHORNHOLLOW_RELAY_CATALOG_CONTROLLER_H_
#define HAWTHORNHOLLOW_RELAY_CATALOG_CONTROLLER_H_

// Polls the operator's configuration, the failure domains that the operator has
// evacuated, and the registered backend servers.
//
// The version of the configuration in force never decreases, also when the
// store comes back from a copy that holds an older one. Which servers are in
// use is decided by ServerList, and which domains are evacuated by
// EvacuatedDomains. All are also taken from other routers while this one cannot
// read the store.

#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/call_timeout.h"
#include "hawthornhollow/relay/evacuated_domains.h"
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
  // After the store came back from an older copy, and after a start, other
  // routers may know a newer configuration than the store for this time: the
  // operator has to write it again.
  absl::Duration older_configuration_time = absl::Seconds(10);
  // How long after its first read of the store a router waits, before it
  // serves, for what other routers know of evacuated domains: the store may
  // have lost it. Enough for a few questions of PeerFallback.
  absl::Duration start_ask_time = absl::Milliseconds(500);
  ServerEntriesOptions entries;
  ServerListOptions servers;
};

struct CatalogCallbacks {
  std::function<void(std::shared_ptr<const RoutingTable>)> on_table;
  std::function<void(const std::vector<RelayServer>&)> on_servers;
  // All evacuated domains, whenever they change.
  std::function<void(const std::set<std::string>&)> on_evacuated =
      [](const std::set<std::string>&) {};
  // An evacuation has ended, as this router learned at `at`; called after
  // `on_evacuated`. The servers of the domain may be cold.
  std::function<void(const std::string& failure_domain, absl::Time at)>
      on_domain_restored = [](const std::string&, absl::Time) {};
};

template <SharedStore Store, MessageCodec D>
class CatalogController {
 public:
  CatalogController(Store& store,
                    const CatalogOptions& options,
                    CatalogCallbacks callbacks)
      : options_(options),
        callbacks_(std::move(callbacks)),
        configuration_(store,
                       StoreSubject::kConfiguration,
                       /*keeps_deletions=*/true),
        evacuations_({.operator_time = options.older_configuration_time}),
        entries_(store, StoreSubject::kServers),
        decoded_servers_(
            options.entries,
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
  bool ready() const { return may_serve() && !list_.servers().empty(); }
  // Whether a configuration is known, and what is to be known of evacuated
  // domains.
  bool may_serve() const {
    return table_ != nullptr &&
           (knows_evacuations_ ||
            SteadyNow() - first_read_ > options_.start_ask_time);
  }

  // Time since the configuration and the server entries were last read, the
  // latter by this router or another one; infinite before the first read.
  absl::Duration table_age() const { return SteadyNow() - table_read_; }
  absl::Duration servers_age() const {
    return SteadyNow() - list_.reading().last;
  }
  size_t server_count() const { return list_.servers().size(); }
  // Servers that are in use although their entry is missing.
  size_t kept_server_count() const { return list_.kept().size(); }

  // The version of the configuration in force; -1 before the first.
  int64_t version_in_force() const {
    return table_ == nullptr ? -1 : table_->version();
  }
  // The record of the configuration in force if it is newer than `version`.
  std::optional<StoredValue> ConfigurationAfter(int64_t version) const {
    if (version_in_force() <= version)
      return std::nullopt;
    return record_in_force_;
  }
  // Whether the store may have lost a newer configuration of late.
  bool may_have_older_configuration() const {
    return SteadyNow() - era_began_ < options_.older_configuration_time;
  }
  // Takes a record that another router has read. It is ignored before this
  // router has read one itself: after a restart of several routers, nobody may
  // know what is current.
  void OfferConfiguration(const StoredValue& record) {
    if (table_ == nullptr || record.key != D::kConfigurationKey)
      return;
    ApplyConfiguration(record);
  }

  const std::set<std::string>& evacuated_domains() const {
    return evacuations_.evacuated();
  }
  // What this router knows of evacuated domains; nullopt before the first read.
  std::optional<EvacuationReport> ReportEvacuations() const {
    return evacuations_.Report();
  }
  // Takes what another router knows of them, unless it is older.
  void OfferEvacuations(const EvacuationReport& report) {
    const absl::Time now = SteadyNow();
    ForwardEvacuations(evacuations_.OnReport(report, now), "peer",
                       now - report.read_at);
  }
  // Other routers have been asked, as far as they answer.
  void EndStartAsk() { knows_evacuations_ = true; }

  // The server entries as this router knows them, with the records from `known`
  // on.
  ServersReport ReportServers(const StorePosition& known) const {
    ServersReport report{.position = entries_.position(),
                         .reading = list_.reading()};
    const int64_t after = known.era == report.position.era ? known.offset : 0;
    for (const auto& [key, record] : entries_.newest()) {
      report.keys.push_back(key);
      if (record.offset >= after)
        report.records.push_back(record);
    }
    return report;
  }
  const StorePosition& servers_position() const { return entries_.position(); }
  // Takes entries that another router has read, unless older than those known
  // here.
  void OfferServers(const ServersReport& report) {
    if (!entries_.Adopt(report.position, report.reading.last, report.keys,
                        report.records))
      return;
    DecodeEntries();
    list_.UpdateFromPeer(decoded_servers_.servers(), report.reading,
                         SteadyNow());
    ForwardChanges();
  }

  // Each polls until `stop` is set. Call each on its own fiber.
  void FollowConfiguration(const std::atomic<bool>& stop) {
    while (!stop) {
      const bool reached = PollConfiguration();
      ForwardEvacuations(evacuations_.OnTime(SteadyNow()), "store",
                         table_age());
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
    if (!Replaces(**decoded, value))
      return;
    LogEvent("config.in_force")
        .Add("version", (*decoded)->version())
        .Add("previous", table_ == nullptr ? 0 : table_->version())
        .Add("offset", value.offset);
    record_in_force_ = value;
    table_ = *std::move(decoded);
    callbacks_.on_table(table_);
  }

  // A newer version does. If the store has lost the one in force, the operator
  // may write it anew with other content.
  bool Replaces(const RoutingTable& table, const StoredValue& record) const {
    if (table_ == nullptr || table.version() > table_->version())
      return true;
    return table.version() == table_->version() && is_record_lost_ &&
           record.value != record_in_force_.value;
  }

  bool PollConfiguration() {
    if (!configuration_.Poll(configuration_timeout_.next()).ok())
      return false;
    table_read_ = SteadyNow();
    first_read_ = std::min(first_read_, table_read_);
    // Before the configuration: once it is known, requests are sent.
    ReadEvacuations();
    if (std::exchange(era_, configuration_.position().era) != era_)
      era_began_ = SteadyNow();
    const auto found =
        configuration_.newest().find(std::string(D::kConfigurationKey));
    if (found == configuration_.newest().end())
      return true;
    const StoredValue& record = found->second;
    if (record == last_read_)
      return true;
    last_read_ = record;
    ApplyConfiguration(record);
    is_record_lost_ = record.value != record_in_force_.value;
    return true;
  }

  void ReadEvacuations() {
    EvacuationRead read{.position = configuration_.position()};
    for (const auto& [key, record] : configuration_.newest()) {
      if (const auto domain = D::DecodeEvacuation(record))
        read.present[*domain] = record.offset;
    }
    for (const auto& [key, offset] : configuration_.deleted()) {
      if (const auto domain = D::DecodeEvacuation({.key = key}))
        read.deleted[*domain] = offset;
    }
    ForwardEvacuations(evacuations_.OnRead(read, table_read_), "store",
                       SteadyNow() - table_read_);
  }

  // `age`: of the read that the changes are from.
  void ForwardEvacuations(const std::vector<DomainChange>& changes,
                          std::string_view source,
                          absl::Duration age) {
    if (changes.empty())
      return;
    for (const DomainChange& change : changes) {
      const bool begins = change.is_evacuated;
      LogEvent(begins ? "domain.evacuated" : "domain.restored")
          .Add("domain", change.domain)
          .Add("era", change.position.era)
          .Add("offset", change.position.offset)
          .Add("source", source)
          .Add("age_ms", absl::ToInt64Milliseconds(age));
    }
    callbacks_.on_evacuated(evacuations_.evacuated());
    for (const DomainChange& change : changes) {
      if (!change.is_evacuated)
        callbacks_.on_domain_restored(change.domain, SteadyNow());
    }
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
    const bool is_new_era = entries_.position().era != listed_era_;
    const absl::Time now = SteadyNow();
    if (listed_changes_ != entries_.changes() ||
        now >= decoded_servers_.next_change())
      DecodeEntries();
    list_.Update(decoded_servers_.servers(), now, is_new_era);
    ForwardChanges();
    return true;
  }

  void DecodeEntries() {
    listed_changes_ = entries_.changes();
    listed_era_ = entries_.position().era;
    decoded_servers_.Update(entries_.newest(), listed_era_, SteadyNow());
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
  EvacuatedDomains evacuations_;
  KeyedFollower<Store> entries_;
  ServerEntries<D> decoded_servers_;
  // Change count of `entries_` when they were last decoded.
  uint64_t listed_changes_ = 0;
  int64_t listed_era_ = 0;  // of the store, then
  CallTimeout configuration_timeout_;
  CallTimeout entries_timeout_;
  ServerList list_;
  // Change count of `list_` when the callback was last called.
  uint64_t forwarded_changes_ = 0;
  std::shared_ptr<const RoutingTable> table_;
  StoredValue record_in_force_;
  StoredValue last_read_{.offset = -1};  // from the store
  // The store holds another, older record than the one in force.
  bool is_record_lost_ = false;
  int64_t era_ = -1;  // of the store, when the configuration was last read
  absl::Time era_began_ = absl::InfinitePast();  // here
  absl::Time table_read_ = absl::InfinitePast();
  absl::Time first_read_ = absl::InfiniteFuture();
  bool knows_evacuations_ = false;
  std::map<std::string, int64_t> rejected_;  // key -> offset + 1
  bool store_reachable_ = false;
  bool read_failure_logged_ = false;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_CATALOG_CONTROLLER_H_
