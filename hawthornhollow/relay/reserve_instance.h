#ifndef HAWTHORNHOLLOW_RELAY_RESERVE_INSTANCE_H_
#define HAWTHORNHOLLOW_RELAY_RESERVE_INSTANCE_H_

// A process that serves no callers and keeps tokens of prepaid totals for
// routers. It stands on other VMs than the routers: one that is cut off from the
// store takes tokens here, and loses little if it loses power, since it need not
// hold what an outage takes.

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/catalog_controller.h"
#include "hawthornhollow/relay/peer_service.h"
#include "hawthornhollow/relay/relay.h"
#include "hawthornhollow/relay/totals_controller.h"

namespace hawthornhollow {

struct ReserveSettings {
  std::string name;  // the VM's
  std::string failure_domain;
  Endpoint peers;  // for routers
  // Totals change rarely, and records only with demand.
  absl::Duration poll = absl::Seconds(1);
  absl::Duration renewal = absl::Seconds(5);
};

template <SharedStore Store, Dialect D>
class ReserveInstance {
 public:
  ReserveInstance(const ReserveSettings& settings,
                  Runtime& runtime,
                  Store& store)
      : settings_(settings),
        runtime_(runtime),
        totals_(
            store,
            {.book = {.router = settings.name,
                      .boot = BootId(),
                      .address = settings.peers.ToString(),
                      .failure_domain = settings.failure_domain,
                      .reserve = true},
             .interval = settings.poll,
             .renewal = settings.renewal},
            [&runtime](std::function<void()> task) {
              runtime.Spawn(std::move(task));
            },
            /*ask=*/nullptr),
        catalog_(store,
                 {.poll = settings.poll},
                 {.on_table =
                      [this](const std::shared_ptr<const RoutingTable>& table) {
                        totals_.SetTotals(*table);
                      },
                  .on_servers = [](const std::vector<RelayServer>&) {}}) {}
  ReserveInstance(const ReserveInstance&) = delete;
  ReserveInstance& operator=(const ReserveInstance&) = delete;

  absl::Status Start() {
    auto server = HttpServer::Start(
        runtime_, {.local = settings_.peers},
        [this](const HttpRequest& request, ResponseWriter& writer) {
          ServePeer(
              request,
              [this](const std::string& workspace, int64_t tokens) {
                return totals_.Give(workspace, tokens);
              },
              writer);
        });
    if (!server.ok())
      return server.status();
    server_ = *std::move(server);
    runtime_.Spawn([this] { catalog_.FollowConfiguration(stop_); });
    runtime_.Spawn([this] { totals_.Run(stop_); });
    LogEvent("reserve.started").Add("peers", settings_.peers.ToString());
    return absl::OkStatus();
  }

  // On a fiber.
  void Shutdown() {
    stop_ = true;
    totals_.Close();
    LogEvent("reserve.stopped");
  }

 private:
  const ReserveSettings settings_;
  Runtime& runtime_;
  TotalsController<Store> totals_;
  CatalogController<Store, D> catalog_;
  std::atomic<bool> stop_{false};
  std::unique_ptr<HttpServer> server_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_RESERVE_INSTANCE_H_
