#ifndef HAWTHORNHOLLOW_RELAY_LINK_READINESS_H_
#define HAWTHORNHOLLOW_RELAY_LINK_READINESS_H_

// Decides when a router whose link was busy reports that it is ready again. Has
// no I/O and no clock.
//
// Assumed load: the load balancer assigns each caller to one router by a hash,
// as long as that router is ready. If the callers of a router with a narrow
// link need more than the link carries, they all come back as soon as it is
// ready, and the link is full again a second later. So the router waits before
// it is ready, twice as long each time its link is busy again soon after.
// Meanwhile its callers are spread over the other routers of their zone. A
// router whose link was busy once is ready as soon as the link is free: a short
// burst has passed by then.

#include <algorithm>

#include "absl/time/time.h"

namespace hawthornhollow {

struct LinkReadinessOptions {
  // The first wait; doubled up to `max_wait`.
  absl::Duration min_wait = absl::Seconds(2);
  // Bursts of callers last for seconds, the assignment of callers to a router
  // for much longer. After this wait the router tries again.
  absl::Duration max_wait = absl::Seconds(16);
  // A link that is busy again within this time after the router became ready
  // carries less than its callers need. The load balancer returns callers
  // within about two seconds.
  absl::Duration relapse_time = absl::Seconds(6);
};

class LinkReadiness {
 public:
  explicit LinkReadiness(const LinkReadinessOptions& options)
      : options_(options) {}

  // Reports whether the link is busy at `now`. Times must not decrease.
  void Update(bool is_busy, absl::Time now) {
    if (is_busy && !is_busy_)
      OnBusy(now);
    if (!is_busy && is_busy_)
      ready_at_ = now + wait_;
    is_busy_ = is_busy;
  }

  bool IsReady(absl::Time now) const { return !is_busy_ && now >= ready_at_; }
  // How long the router waits after the link has become free.
  absl::Duration wait() const { return wait_; }

 private:
  void OnBusy(absl::Time now) {
    if (now - ready_at_ > options_.relapse_time)
      wait_ = absl::ZeroDuration();
    else
      wait_ = std::clamp(wait_ * 2, options_.min_wait, options_.max_wait);
  }

  const LinkReadinessOptions options_;
  bool is_busy_ = false;
  absl::Duration wait_;
  // When the router became, or becomes, ready after its link was busy.
  absl::Time ready_at_ = absl::InfinitePast();
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_LINK_READINESS_H_
