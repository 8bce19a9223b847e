#include "testing/run_checks.h"

#include <boost/json.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace hawthornhollow {
namespace {

namespace json = boost::json;

constexpr absl::Duration kPoll = absl::Milliseconds(10);
constexpr absl::Duration kTokenWait = absl::Seconds(10);
constexpr char kDone[] = "data: [DONE]\n\n";
constexpr char kContent[] = "\"content\":\"";

json::object Page(Fleet& fleet,
                  const Endpoint& endpoint,
                  const std::string& target) {
  auto text = fleet.Get(endpoint, target);
  boost::system::error_code error;
  json::value page = text.ok() ? json::parse(*text, error) : json::value();
  return page.is_object() ? page.as_object() : json::object();
}

int64_t Number(const json::object& object, const std::string& field) {
  const json::value* value = object.if_contains(field);
  return value != nullptr && value->is_int64() ? value->as_int64() : 0;
}

json::object Member(const json::object& object, const std::string& field) {
  const json::value* value = object.if_contains(field);
  return value != nullptr && value->is_object() ? value->as_object()
                                                : json::object();
}

}  // namespace

FutureResponse SendChat(Fleet& fleet,
                        size_t router,
                        const ChatOptions& options,
                        absl::Duration timeout) {
  return std::async(std::launch::async, [&fleet, router, options, timeout] {
    return fleet.Chat(router, options, timeout);
  });
}

FutureResponse SendOrder(Fleet& fleet, size_t router, const std::string& key) {
  return std::async(std::launch::async,
                    [&fleet, router, key] { return fleet.Order(router, key); });
}

std::string RequestOf(const std::string& key) {
  return "ward-1/" + key;
}

EngineCounts CountsOf(Fleet& fleet, const std::string& request) {
  EngineCounts counts;
  for (size_t i = 0; i < fleet.engine_count(); ++i) {
    json::object page = Page(fleet, fleet.engine(i), "/counts");
    json::object one = Member(Member(page, "requests"), request);
    counts.runs += Number(one, "runs");
    counts.tokens += Number(one, "tokens");
  }
  return counts;
}

int64_t TotalRuns(Fleet& fleet, size_t engine) {
  return Number(Page(fleet, fleet.engine(engine), "/counts"), "total_runs");
}

int64_t Cancelled(Fleet& fleet, size_t engine) {
  return Number(Page(fleet, fleet.engine(engine), "/counts"), "cancelled");
}

int64_t RunningNow(Fleet& fleet, size_t engine) {
  json::object page = Page(fleet, fleet.engine(engine), "/running");
  const json::value* running = page.if_contains("running");
  return running != nullptr ? static_cast<int64_t>(running->as_array().size())
                            : -1;
}

int64_t OrderRuns(Fleet& fleet, const std::string& request) {
  int64_t runs = 0;
  for (size_t i = 0; i < fleet.server_count() - fleet.engine_count(); ++i) {
    json::object page = Page(fleet, fleet.service(i), "/counts");
    runs += Number(Member(page, "orders"), request);
  }
  return runs;
}

bool WaitFor(absl::Duration timeout, const std::function<bool()>& condition) {
  absl::Time deadline = absl::Now() + timeout;
  while (!condition()) {
    if (absl::Now() > deadline)
      return false;
    absl::SleepFor(kPoll);
  }
  return true;
}

bool WaitTokens(Fleet& fleet, const std::string& request, int64_t tokens) {
  return WaitFor(kTokenWait,
                 [&] { return CountsOf(fleet, request).tokens >= tokens; });
}

std::string Tokens(int64_t count) {
  std::string text;
  for (int64_t i = 0; i < count; ++i)
    absl::StrAppend(&text, "t", i, " ");
  return text;
}

std::string ContentOf(const HttpResponse& response) {
  std::string content;
  size_t at = 0;
  while ((at = response.body.find(kContent, at)) != std::string::npos) {
    at += sizeof(kContent) - 1;
    size_t end = response.body.find('"', at);
    content += response.body.substr(at, end - at);
  }
  return content;
}

bool IsWholeStream(const HttpResponse& response) {
  size_t first = response.body.find(kDone);
  return first != std::string::npos &&
         first + sizeof(kDone) - 1 == response.body.size();
}

std::string RunStateOf(const HttpResponse& response) {
  for (const char* state : {"run", "not_run", "unknown"}) {
    std::string field = absl::StrCat("\"run\":\"", state, "\"");
    if (response.body.find(field) != std::string::npos)
      return state;
  }
  return "";
}

}  // namespace hawthornhollow
