#include "testing/soak/promises.h"

#include "absl/strings/str_cat.h"
#include "testing/platform_standin.h"

namespace hawthornhollow::soak {
namespace {

using standins::ReplicaStandin;

constexpr int kOk = 200;
constexpr int kServerError = 500;

// Statuses that say that the request has not run and never will.
bool SaysNotRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

int RunsOf(const Seen& seen, const std::map<std::string, int>& runs) {
  const auto found = runs.find(seen.id);
  return found == runs.end() ? 0 : found->second;
}

int64_t EventsOf(const Seen& seen) {
  int64_t events = 0;
  for (size_t at = seen.body.find("\n\n"); at != std::string::npos;
       at = seen.body.find("\n\n", at + 2))
    ++events;
  return events;
}

// What is wrong with the answer to one request; empty if nothing is.
std::string WrongAnswer(const Seen& seen, int runs) {
  const bool is_order = seen.path == kOrderPath;
  if (is_order && runs > 1)
    return absl::StrCat("an order ran ", runs, " times");
  if (is_order && SaysNotRun(seen.status) && runs > 0)
    return absl::StrCat("answered ", seen.status, " and has run");
  if (seen.status == kServerError && !seen.sealed)
    return "an error of a server that bears no seal";
  if (seen.status != kOk)
    return "";
  if (!seen.sealed || seen.answered_id != seen.id)
    return absl::StrCat("a success for '", seen.answered_id, "'");
  if (is_order && seen.whole && seen.body != "done " + seen.id)
    return "an order with another body";
  if (!is_order && !ReplicaStandin::WholeStream().starts_with(seen.body))
    return "a stream with a piece missing, doubled or of another";
  if (!is_order && seen.whole && seen.body != ReplicaStandin::WholeStream())
    return "a stream that ends as whole too soon";
  if (runs == 0)
    return "a success of what never ran";
  return "";
}

}  // namespace

std::vector<std::string> BrokenPromises(const std::vector<Seen>& seen,
                                        const std::map<std::string, int>& runs,
                                        const Prices& prices) {
  std::vector<std::string> broken;
  std::map<std::string, int64_t> used;
  for (const Seen& one : seen) {
    const std::string wrong = WrongAnswer(one, RunsOf(one, runs));
    if (!wrong.empty())
      broken.push_back(absl::StrCat("request=", one.id, " path=", one.path,
                                    " status=", one.status, ": ", wrong));
    const int64_t events =
        one.status == kOk && one.path == kStreamPath ? EventsOf(one) : 0;
    if (events > 0)
      used[one.workspace] += prices.prompt + events * prices.event;
  }
  for (const auto& [workspace, tokens] : used) {
    const auto total = prices.totals.find(workspace);
    if (total != prices.totals.end() && tokens > total->second)
      broken.push_back(absl::StrCat("workspace=", workspace, " used=", tokens,
                                    " total=", total->second, ": overdrawn"));
  }
  return broken;
}

}  // namespace hawthornhollow::soak
