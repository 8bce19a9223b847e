#ifndef HAWTHORNHOLLOW_RELAY_RELAY_SETTINGS_H_
#define HAWTHORNHOLLOW_RELAY_RELAY_SETTINGS_H_

// The settings of a router.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "hawthornhollow/relay/catalog_controller.h"
#include "hawthornhollow/relay/congestion_detector.h"
#include "hawthornhollow/relay/link_load.h"
#include "hawthornhollow/relay/link_readiness.h"
#include "hawthornhollow/relay/load_controller.h"
#include "hawthornhollow/relay/peer_fallback.h"
#include "hawthornhollow/relay/prompt_placement.h"
#include "hawthornhollow/relay/quarantine_controller.h"
#include "hawthornhollow/relay/run_context.h"
#include "hawthornhollow/relay/server_limits_controller.h"
#include "hawthornhollow/runtime/runtime.h"

namespace hawthornhollow {

struct RelaySettings {
  std::string router;  // name of the VM
  std::string failure_domain;
  Endpoint callers;
  Endpoint readiness;
  Endpoint peers;  // listens for other routers
  // Where metrics are served. They are also served to other routers at `peers`.
  std::optional<Endpoint> metrics;
  // Upper bound on the duration of a graceful shutdown.
  absl::Duration shutdown_timeout = absl::Seconds(8);
  // The part of `shutdown_timeout` in which new connections are still accepted,
  // until the load balancer has noticed that the router is not ready.
  absl::Duration drain_delay = absl::Milliseconds(2300);
  // A request read later than this in a stop is taken only if it ends in time.
  // Nearly all come before: after `drain_delay` no connection is accepted.
  absl::Duration late_after = absl::Milliseconds(2800);
  // Retry budget of all routers together, per service: `retry_ratio` retries
  // for each request, plus a burst of `retry_burst`.
  double retry_ratio = 0.2;
  double retry_burst = 50;
  // The retry burst is divided among the known routers, but at least among this
  // many, because after a start not all routers are known yet.
  int64_t min_assumed_routers = 8;
  // Limits for callers' connections. They are wider than those that operators
  // configure, because no configuration may be in force yet.
  size_t max_header_bytes = 64 * 1024;
  size_t max_body_bytes = 8 * 1024 * 1024;
  absl::Duration request_timeout = absl::Seconds(10);
  absl::Duration idle_timeout = absl::Seconds(120);
  // Of the VM: requests and connections share what the process itself leaves of
  // the memory, and callers, other routers and probes have parts of the
  // descriptors. 0: those of the machine and of the process.
  size_t memory_bytes = 0;
  size_t max_descriptors = 0;
  // How long a port that is taken is waited for at the start.
  absl::Duration bind_timeout = absl::Seconds(10);
  // Timeout of one write to a caller.
  absl::Duration write_timeout = absl::Seconds(5);
  // Of all answers together that are read whole before they are passed on. The
  // smallest VMs have 88 MB.
  size_t max_buffered_bytes = 16 * 1024 * 1024;
  // Of one answer of another router. Entries of thousands of servers are 1 MB.
  size_t max_peer_answer_bytes = 8 * 1024 * 1024;
  // 402 by what requests used, not by commitments; see TotalsOptions.
  bool spent_by_use = false;
  RunOptions run;
  CongestionDetectorOptions link;
  LinkLoadOptions link_load;
  LinkReadinessOptions link_readiness;
  CatalogOptions catalog;
  PeerReaderOptions peer_reader;
  QuarantineControllerOptions quarantine;
  ServerLimitsControllerOptions server_limits;
  LoadControllerOptions load;
  PlacementOptions placement;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_RELAY_SETTINGS_H_
