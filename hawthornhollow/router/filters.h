#ifndef HAWTHORNHOLLOW_ROUTER_FILTERS_H_
#define HAWTHORNHOLLOW_ROUTER_FILTERS_H_

// The filters, in the order in which they are applied.

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "hawthornhollow/router/budget_controller.h"
#include "hawthornhollow/router/config_controller.h"
#include "hawthornhollow/router/filter_chain.h"
#include "hawthornhollow/scheduling/scheduling.h"

namespace hawthornhollow {

// Takes the configuration that is in force, and finds the caller by its bearer
// key. 503 while the configuration is not known to be current, 401 without a
// known key.
class AuthenticateFilter {
 public:
  static constexpr std::string_view kName = "authenticate";
  explicit AuthenticateFilter(const ConfigController& config)
      : config_(config) {}
  FilterResult Apply(RequestContext& context, ResponseWriter& writer);

 private:
  const ConfigController& config_;
};

// Reads what is asked for: model or service, rank, limits, request key, and
// the worst case to reserve. 400 and 404 name the field.
class ClassifyFilter {
 public:
  static constexpr std::string_view kName = "classify";
  explicit ClassifyFilter(std::string incarnation)
      : incarnation_(std::move(incarnation)) {}
  FilterResult Apply(RequestContext& context, ResponseWriter& writer);

 private:
  FilterResult ClassifyChat(RequestContext& context);
  FilterResult ClassifyService(RequestContext& context);
  FilterResult ReadRank(RequestContext& context, const std::string& asked);
  FilterResult ReadHeaders(RequestContext& context);

  const std::string incarnation_;
  std::atomic<int64_t> next_request_{1};
};

// Holds each caller to its rates and concurrency. The fleet's limit is divided
// among the routers by the demand that each sees (CallerShares).
class CallerLimitFilter {
 public:
  static constexpr std::string_view kName = "caller_limit";
  FilterResult Apply(RequestContext& context, ResponseWriter& writer);

  // What callers asked of this router lately, for the other routers.
  std::vector<CallerDemand> Demands(absl::Time now);
  // What another router reported.
  void OnDemands(const std::string& router,
                 const std::vector<CallerDemand>& demands,
                 absl::Time now);

 private:
  static constexpr size_t kShards = 16;
  struct Shard {
    std::mutex mutex;
    std::map<std::string, CallerLimiter> limiters;
    CallerShares shares;
  };
  static size_t ShardOf(const std::string& caller);

  std::array<Shard, kShards> shards_;
};

// Reserves the worst case against the budget. 402 if the budget is spent, 503
// if no grant could be obtained in time.
class BudgetFilter {
 public:
  static constexpr std::string_view kName = "budget";
  explicit BudgetFilter(BudgetController& budgets) : budgets_(budgets) {}
  FilterResult Apply(RequestContext& context, ResponseWriter& writer);

 private:
  BudgetController& budgets_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_ROUTER_FILTERS_H_
