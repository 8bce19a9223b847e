#ifndef TOOLS_LOAD_STATISTICS_H_
#define TOOLS_LOAD_STATISTICS_H_

// What became of each request, and the figures that sum it up.

#include <cstdint>
#include <string>
#include <vector>

#include "tools/load/scenario.h"

namespace hawthornhollow::load {

enum class Outcome {
  kLost,      // no final answer: the connection broke or the client gave up
  kAnswered,  // the whole answer
  kRefused,   // 429 or 503
  kFailed,    // any other error
};

struct RequestRecord {
  size_t stream = 0;
  double arrived_s = 0;  // since the start of the run
  Outcome outcome = Outcome::kLost;
  int status = 0;             // of the HTTP answer; 0: none
  double first_token_ms = 0;  // since the arrival
  double total_ms = 0;
  int64_t tokens = 0;
  int attempts = 0;  // connections on which it was sent
};

// Figures over the requests that arrived in one phase.
struct Summary {
  std::string phase;
  std::string subject;
  int64_t offered = 0;
  int64_t answered = 0;
  int64_t refused = 0;
  int64_t failed = 0;
  int64_t lost = 0;
  int64_t retried = 0;
  double attained = 0;          // share of the offered, in their target
  double attained_answers = 0;  // share of the answered, in their target
  double goodput = 0;           // answers in their target, per second
  double first_token_p50_ms = 0;
  double first_token_p95_ms = 0;
  double first_token_p99_ms = 0;
  double total_p50_ms = 0;
  double total_p99_ms = 0;
  double refusal_p50_ms = 0;
  double refusal_p99_ms = 0;
  double refusal_max_ms = 0;
  double jain = 0;  // over callers' answers in their target; of "all" only

  // A figure by its name in the result file; -1 if there is none.
  double Figure(std::string_view name) const;
};

// The value at share `q` of the sorted values, by linear interpolation; 0 if
// there are none.
double Percentile(std::vector<double> values, double q);
// Jain's fairness index; 1 if there are no values.
double JainIndex(const std::vector<double>& values);

// For each phase: "all", each rank, each caller and each stream. Streams that
// go past the routers count only as streams.
std::vector<Summary> Summarize(const Scenario& scenario,
                               const std::vector<RequestRecord>& records);

struct CheckedExpectation {
  Expectation expectation;
  double value = 0;
  bool met = false;
};

std::vector<CheckedExpectation> Check(const Scenario& scenario,
                                      const std::vector<Summary>& summaries);

}  // namespace hawthornhollow::load

#endif  // TOOLS_LOAD_STATISTICS_H_
