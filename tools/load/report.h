#ifndef TOOLS_LOAD_REPORT_H_
#define TOOLS_LOAD_REPORT_H_

// A run's result as JSON, as a Markdown section and as an SVG page of plots.

#include <string>
#include <vector>

#include "tools/load/scenario.h"
#include "tools/load/statistics.h"

namespace hawthornhollow::load {

struct RunResult {
  Scenario scenario;
  std::string policy;
  std::vector<RequestRecord> records;
  std::vector<Summary> summaries;
  std::vector<CheckedExpectation> checks;
  double router_cpu_s = 0;  // 0: not known
};

std::string ToJson(const RunResult& result);
std::string ToMarkdown(const RunResult& result);
// First token, goodput and refusals by rank over the time of arrival.
std::string ToSvg(const RunResult& result);

}  // namespace hawthornhollow::load

#endif  // TOOLS_LOAD_REPORT_H_
