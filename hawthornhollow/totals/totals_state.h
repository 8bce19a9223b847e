#ifndef HAWTHORNHOLLOW_TOTALS_TOTALS_STATE_H_
#define HAWTHORNHOLLOW_TOTALS_TOTALS_STATE_H_

// What a TotalsBook (totals.h) tells of the totals that it keeps.

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornhollow {

// How much of a workspace's total is used, as far as this router knows.
struct TotalState {
  int64_t total = 0;
  int64_t committed = 0;    // committed or held by all routers, as recorded
  int64_t available = 0;    // tokens that this router can reserve now
  int64_t unassigned = 0;   // part of the total that quotas may be raised by
  int64_t used = 0;         // by ended requests of all routers, at least
  int64_t in_progress = 0;  // worst case of this router's requests
  int64_t loan = 0;         // that this router may keep, as a holder said
  friend auto operator<=>(const TotalState&, const TotalState&) = default;
};

// Sums over all workspaces at this router, in tokens.
struct TotalsSum {
  int64_t available = 0;  // can be reserved now
  int64_t waiting = 0;    // needed by waiting requests
  friend auto operator<=>(const TotalsSum&, const TotalsSum&) = default;
};

// Whether an earlier incarnation of this router may have had a larger quota
// than the store tells, since the store came back from an older copy.
enum class QuotaDoubt {
  kNone,
  kOpen,     // nobody knows
  kLearned,  // other routers remember; the level record is yet to say so
};
std::string_view NameOf(QuotaDoubt doubt);

// What a new incarnation is charged for the commitments of the previous one on
// its VM.
struct InheritedCharge {
  std::string workspace;
  int64_t recorded = 0;   // committed according to the last level record
  int64_t charged = 0;    // upper bound on what was committed when it ended
  int64_t authority = 0;  // quota in the last authority record
  friend auto operator<=>(const InheritedCharge&,
                          const InheritedCharge&) = default;
};

// Sums of other routers' records for one workspace. Tokens, and for `demand`
// tokens per second.
struct OtherRoutersSums {
  int64_t authority = 0;
  int64_t committed = 0;  // including held tokens
  int64_t demand = 0;
  int64_t used = 0;  // by ended requests
  friend bool operator==(const OtherRoutersSums&,
                         const OtherRoutersSums&) = default;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_TOTALS_TOTALS_STATE_H_
