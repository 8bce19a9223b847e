#include "hawthornhollow/router/filters.h"

#include <algorithm>
#include <cctype>

#include "absl/random/random.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace hawthornhollow {
namespace {

constexpr char kChatPath[] = "/v1/chat/completions";
constexpr char kServicePrefix[] = "/v1/services/";
constexpr char kBearer[] = "Bearer ";
constexpr size_t kMaxKeyBytes = 128;
constexpr absl::Duration kNotReadyRetry = absl::Seconds(1);
constexpr absl::Duration kBudgetRetry = absl::Seconds(60);
constexpr absl::Duration kGrantRetry = absl::Seconds(2);

ApiError BadRequest(std::string message) {
  return {400, "bad_request", std::move(message), RunState::kNotRun, {}};
}

ApiError NotFound(std::string code, std::string message) {
  return {404, std::move(code), std::move(message), RunState::kNotRun, {}};
}

absl::Duration Spread(absl::Duration base) {
  thread_local absl::BitGen random;
  return JitteredRetryAfter(base, random);
}

bool IsValidKey(std::string_view key) {
  return !key.empty() && key.size() <= kMaxKeyBytes &&
         std::all_of(key.begin(), key.end(), [](unsigned char c) {
           return std::isalnum(c) || c == '-' || c == '_' || c == '.' ||
                  c == ':';
         });
}

// The service's name in a path, and what follows it ("/" if nothing does).
std::pair<std::string, std::string> SplitServicePath(std::string_view target) {
  std::string rest(target.substr(sizeof(kServicePrefix) - 1));
  size_t end = rest.find_first_of("/?");
  if (end == std::string::npos)
    return {rest, "/"};
  std::string tail = rest.substr(end);
  if (tail.front() == '?')
    tail = "/" + tail;
  return {rest.substr(0, end), tail};
}

}  // namespace

// ---------------------------------------------------------------------------
// Authenticate

FilterResult AuthenticateFilter::Apply(RequestContext& context,
                                       ResponseWriter&) {
  // In this order, so that a pause between the two cannot bring up an old one.
  bool current = config_.IsCurrent();
  context.config = config_.snapshot();
  if (!context.config || !current)
    return ApiError{503, "not_ready",
                    "this router does not know the newest configuration",
                    RunState::kNotRun, Spread(kNotReadyRetry)};
  std::string header(context.http.Header("Authorization"));
  if (!absl::StartsWith(header, kBearer))
    return ApiError{401,
                    "unauthenticated",
                    "the Authorization header must hold a bearer key",
                    RunState::kNotRun,
                    {}};
  context.caller = context.config->configuration->FindCallerByKey(
      std::string_view(header).substr(sizeof(kBearer) - 1));
  if (!context.caller)
    return ApiError{401,
                    "unauthenticated",
                    "the bearer key is not known",
                    RunState::kNotRun,
                    {}};
  return Continue{};
}

// ---------------------------------------------------------------------------
// Classify

FilterResult ClassifyFilter::Apply(RequestContext& context, ResponseWriter&) {
  std::string path(context.http.Path());
  if (path == kChatPath) {
    if (context.http.method != "POST")
      return ApiError{
          405, "method_not_allowed", "use POST", RunState::kNotRun, {}};
    return ClassifyChat(context);
  }
  if (absl::StartsWith(path, kServicePrefix))
    return ClassifyService(context);
  return NotFound("no_such_path", "no such path: " + path);
}

FilterResult ClassifyFilter::ClassifyChat(RequestContext& context) {
  auto chat = ParseChatRequest(context.http.body);
  if (!chat.ok())
    return BadRequest(std::string(chat.status().message()));
  context.chat = *std::move(chat);
  const Configuration& config = *context.config->configuration;
  context.model = config.FindModel(context.chat.model);
  if (!context.model)
    return NotFound("no_such_model",
                    "model: none is named " + context.chat.model);
  int64_t limit = context.model->max_output_tokens;
  int64_t asked = context.chat.max_output_tokens;
  context.max_output_tokens = asked == 0 ? limit : std::min(asked, limit);
  context.prompt_tokens = context.chat.prompt_token_bound;
  context.reserved_tokens = context.prompt_tokens + context.max_output_tokens;
  FilterResult headers = ReadHeaders(context);
  if (!std::holds_alternative<Continue>(headers))
    return headers;
  return ReadRank(context, context.chat.rank);
}

FilterResult ClassifyFilter::ClassifyService(RequestContext& context) {
  auto [name, target] = SplitServicePath(context.http.target);
  context.service = context.config->configuration->FindService(name);
  if (!context.service)
    return NotFound("no_such_service", "no service is named " + name);
  context.service_target = target;
  context.reserved_tokens = context.service->tokens_per_call;
  FilterResult headers = ReadHeaders(context);
  if (!std::holds_alternative<Continue>(headers))
    return headers;
  if (!context.service->repeatable && !context.keyed)
    return ApiError{400,
                    "idempotency_key_required",
                    "calls of service " + name +
                        " run at most once and need an Idempotency-Key header",
                    RunState::kNotRun,
                    {}};
  return ReadRank(context, "");
}

FilterResult ClassifyFilter::ReadRank(RequestContext& context,
                                      const std::string& asked) {
  std::string name(context.http.Header("X-Rank"));
  if (name.empty())
    name = asked;
  const auto& allowed = context.caller->ranks;
  if (name.empty() && !allowed.empty())
    name = allowed.front();
  if (std::find(allowed.begin(), allowed.end(), name) == allowed.end())
    return ApiError{403,
                    "rank_not_allowed",
                    "rank: caller " + context.caller->name +
                        " may not ask for rank '" + name + "'",
                    RunState::kNotRun,
                    {}};
  context.rank = context.config->configuration->FindRank(name);
  if (!context.rank)
    return BadRequest("rank: none is named " + name);
  return Continue{};
}

FilterResult ClassifyFilter::ReadHeaders(RequestContext& context) {
  std::string key(context.http.Header("Idempotency-Key"));
  context.keyed = !key.empty();
  if (context.keyed && !IsValidKey(key))
    return BadRequest(
        "Idempotency-Key: must be 1 to 128 letters, digits, or any of - _ . :");
  context.request_key =
      context.keyed
          ? absl::StrCat(context.caller->name, "/", key)
          : absl::StrCat(incarnation_, "-", next_request_.fetch_add(1));
  std::string timeout(context.http.Header("X-Timeout-Ms"));
  if (timeout.empty())
    return Continue{};
  int64_t milliseconds = 0;
  if (!absl::SimpleAtoi(timeout, &milliseconds) || milliseconds < 1)
    return BadRequest("X-Timeout-Ms: must be a whole number above 0");
  context.deadline = context.arrived + absl::Milliseconds(milliseconds);
  return Continue{};
}

// ---------------------------------------------------------------------------
// Caller limits

size_t CallerLimitFilter::ShardOf(const std::string& caller) {
  return StableHash(caller) % kShards;
}

std::vector<CallerDemand> CallerLimitFilter::Demands(absl::Time now) {
  std::vector<CallerDemand> all;
  for (Shard& shard : shards_) {
    std::lock_guard lock(shard.mutex);
    std::vector<CallerDemand> part = shard.shares.Report(now);
    all.insert(all.end(), part.begin(), part.end());
  }
  return all;
}

void CallerLimitFilter::OnDemands(const std::string& router,
                                  const std::vector<CallerDemand>& demands,
                                  absl::Time now) {
  std::array<std::vector<CallerDemand>, kShards> parts;
  for (const CallerDemand& demand : demands)
    parts[ShardOf(demand.caller)].push_back(demand);
  for (size_t i = 0; i < kShards; ++i) {
    std::lock_guard lock(shards_[i].mutex);
    shards_[i].shares.OnReport(router, parts[i], now);
  }
}

FilterResult CallerLimitFilter::Apply(RequestContext& context,
                                      ResponseWriter&) {
  const Caller& caller = *context.caller;
  CallerLimit limit{caller.max_concurrent, caller.requests_per_second,
                    caller.tokens_per_minute};
  Shard& shard = shards_[ShardOf(caller.name)];
  std::optional<absl::Duration> wait;
  {
    std::lock_guard lock(shard.mutex);
    shard.shares.OnRequest(caller.name, context.arrived);
    auto limiter = shard.limiters.try_emplace(caller.name, limit).first;
    limiter->second.SetLimit(limit,
                             shard.shares.Share(caller.name, context.arrived));
    wait = limiter->second.Admit(context.reserved_tokens, context.arrived);
  }
  if (wait)
    return ApiError{429, "caller_limit",
                    "caller " + caller.name + " is at its limit",
                    RunState::kNotRun, Spread(*wait)};
  context.on_end.push_back([&shard, name = caller.name] {
    std::lock_guard lock(shard.mutex);
    shard.limiters.at(name).OnFinished();
  });
  return Continue{};
}

// ---------------------------------------------------------------------------
// Budget

FilterResult BudgetFilter::Apply(RequestContext& context, ResponseWriter&) {
  auto waiter = std::make_shared<BudgetController::Waiter>();
  waiter->request = context.request_key;
  waiter->tokens = context.reserved_tokens;
  context.presence->SetHook(
      [waiter] { waiter->result.Set(ReserveResult::kCallerLeft); });
  ReserveResult result = budgets_.Reserve(context.caller->budget, waiter);
  context.presence->SetHook(nullptr);
  switch (result) {
    case ReserveResult::kReserved:
      return Continue{};
    case ReserveResult::kExhausted:
      return ApiError{402, "budget_exhausted",
                      "budget " + context.caller->budget +
                          " has less left than this request may need",
                      RunState::kNotRun, Spread(kBudgetRetry)};
    case ReserveResult::kUnavailable:
      return ApiError{503, "budget_unavailable",
                      "no grant of budget " + context.caller->budget +
                          " could be obtained in time",
                      RunState::kNotRun, Spread(kGrantRetry)};
    case ReserveResult::kCallerLeft:
      return ApiError{499,
                      "caller_left",
                      "the caller closed the connection",
                      RunState::kNotRun,
                      {}};
  }
  return Continue{};
}

}  // namespace hawthornhollow
