#ifndef HAWTHORNHOLLOW_RELAY_LINK_LOAD_H_
#define HAWTHORNHOLLOW_RELAY_LINK_LOAD_H_

// Measures how much of this VM's network link is in use, from the bytes of
// requests and answers.
//
// Assumed load: the load balancer sends each caller's connections to one
// router, so a workspace with a few large callers, or several times its usual
// load, may come to one VM with a narrow link, while the others are idle. Once
// more arrives than the link carries, requests are read seconds after they were
// sent, and refusing them does not help. So before the link is full the router
// reports that it is not ready and closes connections after their answers, and
// callers connect to other routers.

#include <cstddef>

#include "absl/time/time.h"
#include "hawthornhollow/base/base.h"

namespace hawthornhollow {

struct LinkLoadOptions {
  // What the link carries in both directions together; 0 if unknown, and then
  // it is never busy.
  double megabits_per_second = 0;
  // Time constant of the decaying average.
  absl::Duration decay = absl::Seconds(1);
  // The link is busy from this part of its capacity on, until less than
  // `free_share` is used. Below 1, because only the bytes of messages are
  // counted.
  double busy_share = 0.7;
  double free_share = 0.4;
};

class LinkLoad {
 public:
  explicit LinkLoad(const LinkLoadOptions& options)
      : options_(options), bytes_(options.decay) {}

  // Reports a part of a message that is received from one side and sent to the
  // other.
  void OnRelayed(size_t bytes, absl::Time now) {
    constexpr double kDirections = 2;
    bytes_.Add(kDirections * static_cast<double>(bytes), now);
  }

  // The part of the capacity that is in use.
  double Share(absl::Time now) const {
    constexpr double kBitsPerByte = 8;
    constexpr double kBitsPerMegabit = 1e6;
    if (options_.megabits_per_second <= 0)
      return 0;
    return bytes_.PerSecond(now) * kBitsPerByte /
           (options_.megabits_per_second * kBitsPerMegabit);
  }

  bool IsBusy(absl::Time now) {
    is_busy_ =
        Share(now) >= (is_busy_ ? options_.free_share : options_.busy_share);
    return is_busy_;
  }

 private:
  const LinkLoadOptions options_;
  DecayedSum bytes_;
  bool is_busy_ = false;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_LINK_LOAD_H_
