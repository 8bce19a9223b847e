#ifndef HAWTHORNHOLLOW_ROUTER_FILTER_CHAIN_H_
#define HAWTHORNHOLLOW_ROUTER_FILTER_CHAIN_H_

// The chain of filters that a request passes before it is dispatched.

#include <concepts>
#include <optional>
#include <string_view>
#include <tuple>
#include <utility>
#include <variant>

#include "hawthornhollow/router/api_error.h"
#include "hawthornhollow/router/request_context.h"

namespace hawthornhollow {

// Passes the request on to the next filter.
struct Continue {
  friend bool operator==(const Continue&, const Continue&) = default;
};
// The filter has sent the response to the caller itself.
struct Answered {
  friend bool operator==(const Answered&, const Answered&) = default;
};
using FilterResult = std::variant<Continue, Answered, ApiError>;

template <typename T>
concept RequestFilter = requires(T filter,
                                 RequestContext& context,
                                 ResponseWriter& writer) {
  { filter.Apply(context, writer) } -> std::same_as<FilterResult>;
  { T::kName } -> std::convertible_to<std::string_view>;
};

// Applies the filters in order until one returns something other than Continue.
template <RequestFilter... Filters>
class FilterChain {
 public:
  explicit FilterChain(Filters&... filters) : filters_(filters...) {}

  // Returns the last result and the name of the filter that returned it.
  std::pair<FilterResult, std::string_view> Apply(RequestContext& context,
                                                  ResponseWriter& writer) {
    FilterResult result = Continue{};
    std::string_view name;
    std::apply(
        [&](auto&... filter) {
          (ApplyOne(filter, context, writer, &result, &name) && ...);
        },
        filters_);
    return {std::move(result), name};
  }

 private:
  template <typename F>
  static bool ApplyOne(F& filter,
                       RequestContext& context,
                       ResponseWriter& writer,
                       FilterResult* result,
                       std::string_view* name) {
    *name = F::kName;
    *result = filter.Apply(context, writer);
    return std::holds_alternative<Continue>(*result);
  }

  std::tuple<Filters&...> filters_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_ROUTER_FILTER_CHAIN_H_
