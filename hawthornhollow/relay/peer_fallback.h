#ifndef HAWTHORNHOLLOW_RELAY_PEER_FALLBACK_H_
#define HAWTHORNHOLLOW_RELAY_PEER_FALLBACK_H_

// Keeps the configuration, evacuated failure domains, the backend servers and
// the quarantined parts of prompts current through other routers while this one
// cannot read the store, and asks them after its start for limits that servers
// stated.
//
// Evacuated domains are asked for at the start, too, before the router serves:
// the store may have come back from a copy without them.

#include <atomic>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/http/http.h"
#include "hawthornhollow/relay/peer_reader.h"
#include "hawthornhollow/relay/peer_service.h"
#include "hawthornhollow/relay/relay.h"
#include "hawthornhollow/relay/server_limits_controller.h"
#include "hawthornhollow/runtime/runtime.h"

namespace hawthornhollow {

// `Catalog` is a CatalogController, `Quarantine` a QuarantineController.
template <typename Catalog, typename Quarantine>
class PeerFallback {
 public:
  // All references must outlive this object. `addresses` returns those of the
  // other routers.
  PeerFallback(const PeerReaderOptions& options,
               std::function<std::vector<std::string>()> addresses,
               HttpClient& client,
               Catalog& catalog,
               Quarantine& quarantine,
               ServerLimitsController& limits)
      : options_(options),
        client_(client),
        catalog_(catalog),
        quarantine_(quarantine),
        limits_(limits),
        addresses_(addresses),
        configuration_(options.interval,
                       {.is_needed =
                            [this] {
                              return IsUnread(catalog_.table_age()) ||
                                     catalog_.may_have_older_configuration();
                            },
                        .addresses = addresses,
                        .ask =
                            [this](const std::string& address) {
                              return ReadConfiguration(address);
                            }}),
        evacuations_(options.interval,
                     {.is_needed =
                          [this] {
                            return IsUnread(catalog_.table_age()) ||
                                   catalog_.may_have_older_configuration();
                          },
                      .addresses = addresses,
                      .ask =
                          [this](const std::string& address) {
                            return ReadEvacuations(address);
                          }}),
        servers_(options.interval,
                 {.is_needed =
                      [this] {
                        return IsUnread(catalog_.servers_age()) ||
                               catalog_.kept_server_count() > 0;
                      },
                  .addresses = addresses,
                  .ask =
                      [this](const std::string& address) {
                        return ReadServers(address);
                      }}),
        prompts_(options.interval,
                 {.is_needed = [this] { return quarantine_.is_unread(); },
                  .addresses = addresses,
                  .ask =
                      [this](const std::string& address) {
                        return ReadQuarantine(address);
                      }}),
        server_limits_(options.interval,
                       {.is_needed =
                            [this] {
                              return !limits_.has_asked() ||
                                     IsUnread(catalog_.table_age());
                            },
                        .addresses = std::move(addresses),
                        .ask =
                            [this](const std::string& address) {
                              return ReadLimits(address);
                            }}) {}
  PeerFallback(const PeerFallback&) = delete;
  PeerFallback& operator=(const PeerFallback&) = delete;

  // Starts fibers that run until `stop` is set.
  void Start(Runtime& runtime, const std::atomic<bool>& stop) {
    for (PeerReader* reader : {&configuration_, &evacuations_, &servers_,
                               &prompts_, &server_limits_})
      runtime.Spawn([reader, &stop] { reader->Run(stop); });
    runtime.Spawn([this, &stop] { AskAtStart(stop); });
  }

 private:
  // Questions at the start, to one router after the other. Some may be gone, or
  // have started at the same time and know no more.
  static constexpr size_t kStartAsks = 3;
  static constexpr absl::Duration kStartInterval = absl::Milliseconds(20);

  void AskAtStart(const std::atomic<bool>& stop) {
    for (size_t asked = 0; !stop && !catalog_.may_serve();) {
      hawthornhollow::SleepFor(kStartInterval);
      const std::vector<std::string> addresses = addresses_();
      if (addresses.empty())
        continue;
      const size_t next = (first_asked_ + asked++) % addresses.size();
      ReadEvacuations(addresses[next]).IgnoreError();
      if (asked >= kStartAsks)
        catalog_.EndStartAsk();
    }
  }

  bool IsUnread(absl::Duration age) const {
    return age > options_.unread_after;
  }

  absl::Status ReadConfiguration(const std::string& address) {
    const auto record =
        AskPeerForConfiguration(client_, address, catalog_.version_in_force());
    if (!record.ok())
      return record.status();
    LogEvent("config.from_peer")
        .Add("peer", address)
        .Add("offset", record->offset)
        .Add("unread_ms", absl::ToInt64Milliseconds(catalog_.table_age()));
    catalog_.OfferConfiguration(*record);
    return absl::OkStatus();
  }

  absl::Status ReadEvacuations(const std::string& address) {
    const auto report = AskPeerForEvacuations(client_, address);
    if (report.ok()) {
      catalog_.OfferEvacuations(*report);
    } else if (report.status().code() == absl::StatusCode::kDataLoss) {
      LogEvent("evacuations.rejected", LogSeverity::kWarning)
          .Add("peer", address)
          .Add("reason", report.status());
    }
    return report.status();
  }

  absl::Status ReadServers(const std::string& address) {
    const auto report =
        AskPeerForServers(client_, address, catalog_.servers_position());
    if (!report.ok())
      return report.status();
    const absl::Time now = SteadyNow();
    LogEvent("servers.from_peer")
        .Add("peer", address)
        .Add("era", report->position.era)
        .Add("end", report->position.offset)
        .Add("known_end", catalog_.servers_position().offset)
        .Add("age_ms", absl::ToInt64Milliseconds(now - report->reading.last))
        .Add("unbroken_ms",
             absl::ToInt64Milliseconds(now - report->reading.unbroken_since))
        .Add("unread_ms", absl::ToInt64Milliseconds(catalog_.servers_age()));
    catalog_.OfferServers(*report);
    return absl::OkStatus();
  }

  absl::Status ReadQuarantine(const std::string& address) {
    const auto parts = AskPeerForQuarantine(client_, address);
    if (!parts.ok())
      return parts.status();
    quarantine_.Adopt(*parts, "peer");
    return absl::OkStatus();
  }

  // Routers tell one another what is new; one that was not there asks.
  absl::Status ReadLimits(const std::string& address) {
    const auto statements = AskPeerForLimits(client_, address);
    if (!statements.ok())
      return statements.status();
    limits_.OnTold(*statements, address);
    limits_.set_has_asked();
    return absl::OkStatus();
  }

  const PeerReaderOptions options_;
  HttpClient& client_;
  Catalog& catalog_;
  Quarantine& quarantine_;
  ServerLimitsController& limits_;
  const std::function<std::vector<std::string>()> addresses_;
  // Routers that start together ask different ones.
  const size_t first_asked_ = PeerReader::RandomStart();
  PeerReader configuration_;
  PeerReader evacuations_;
  PeerReader servers_;
  PeerReader prompts_;
  PeerReader server_limits_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_PEER_FALLBACK_H_
