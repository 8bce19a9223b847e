#ifndef HAWTHORNHOLLOW_ROUTER_FILTERS_H_
#define HAWTHORNHOLLOW_ROUTER_FILTERS_H_

// The request filters, in the order in which they are applied.

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

// Takes the current configuration and identifies the caller by its bearer key.
// Responds 503 while the configuration is not known to be current and 401
// without a known key.
class AuthenticateFilter {
 public:
  static constexpr std::string_view kName = "authenticate";
  explicit AuthenticateFilter(const ConfigController& config)
      : config_(config) {}
  FilterResult Apply(RequestContext& context, ResponseWriter& writer);

 private:
  const ConfigController& config_;
};

// Determines the model or service, rank, limits, request key and the largest
// number of tokens to reserve. Errors with status 400 or 404 name the field.
class ClassifyFilter {
 public:
  static constexpr std::string_view kName = "classify";
  explicit ClassifyFilter(std::string incarnation)
      : incarnation_(std::move(incarnation)) {}
  FilterResult Apply(RequestContext& context, ResponseWriter& writer);

 private:
  FilterResult ClassifyChat(RequestContext& context);
  FilterResult ClassifyService(RequestContext& context);
  FilterResult ReadRank(RequestContext& context, const std::string& requested);
  FilterResult ReadHeaders(RequestContext& context);

  const std::string incarnation_;
  std::atomic<int64_t> next_request_{1};
};

// Enforces the rate and concurrency limits of each caller. The limit of the
// whole fleet is divided among the routers by the demand that each of them sees
// (see CallerShares).
class CallerLimitFilter {
 public:
  static constexpr std::string_view kName = "caller_limit";
  FilterResult Apply(RequestContext& context, ResponseWriter& writer);

  // The recent demand of the callers on this router, to be reported to the
  // other routers.
  std::vector<CallerDemand> Demands(absl::Time now);
  // Records the demand that another router reported.
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

// Reserves the largest number of tokens that the request may use. Responds 402
// if the budget has too little left and 503 if no grant could be obtained in
// time.
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
