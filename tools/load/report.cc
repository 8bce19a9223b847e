#include "tools/load/report.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace hawthornhollow::load {
namespace {

namespace json = boost::json;

json::object ToObject(const Summary& summary) {
  return {{"phase", summary.phase},
          {"subject", summary.subject},
          {"offered", summary.offered},
          {"answered", summary.answered},
          {"refused", summary.refused},
          {"failed", summary.failed},
          {"lost", summary.lost},
          {"retried", summary.retried},
          {"attained", summary.attained},
          {"attained_answers", summary.attained_answers},
          {"goodput", summary.goodput},
          {"first_token_p50_ms", summary.first_token_p50_ms},
          {"first_token_p95_ms", summary.first_token_p95_ms},
          {"first_token_p99_ms", summary.first_token_p99_ms},
          {"total_p50_ms", summary.total_p50_ms},
          {"total_p99_ms", summary.total_p99_ms},
          {"refusal_p50_ms", summary.refusal_p50_ms},
          {"refusal_p99_ms", summary.refusal_p99_ms},
          {"refusal_max_ms", summary.refusal_max_ms},
          {"jain", summary.jain}};
}

std::string BoundText(const Expectation& expectation) {
  std::string text;
  if (expectation.min > 0)
    absl::StrAppend(&text, ">= ", expectation.min);
  if (expectation.max > 0)
    absl::StrAppend(&text, text.empty() ? "" : ", ", "<= ", expectation.max);
  return text.empty() ? ">= 0" : text;
}

std::string BaseText(const Expectation& expectation) {
  if (expectation.over_phase.empty() && expectation.over_subject.empty())
    return "";
  return absl::StrCat(" over ", expectation.over_phase,
                      expectation.over_phase.empty() ? "" : " ",
                      expectation.over_subject);
}

double RequestsPerCpuSecond(const RunResult& result) {
  int64_t routed =
      std::count_if(result.records.begin(), result.records.end(),
                    [&](const RequestRecord& record) {
                      return !result.scenario.streams[record.stream].direct;
                    });
  return result.router_cpu_s > 0
             ? static_cast<double>(routed) / result.router_cpu_s
             : 0;
}

// ---------------------------------------------------------------------------
// Plots

constexpr double kWidth = 720;     // of a plot, pixels
constexpr double kHeight = 150;    // of a plot, pixels
constexpr double kLeft = 70;       // margin for the labels
constexpr double kGap = 60;        // between plots
constexpr double kBinSeconds = 1;  // of arrivals
const char* const kColours[] = {"#c0392b", "#2471a3", "#7d8b2f", "#7d3c98"};

// One rank's value in each bin; NAN where there is none.
struct Line {
  std::string name;
  std::vector<double> values;
};

struct Bin {
  std::vector<double> first_tokens;
  double good = 0;
  double refused = 0;
};

std::vector<Bin> BinsOf(const RunResult& result, const RankShape& rank) {
  const Scenario& scenario = result.scenario;
  auto count = static_cast<size_t>(std::ceil(scenario.seconds / kBinSeconds));
  std::vector<Bin> bins(count);
  for (const RequestRecord& record : result.records) {
    const StreamShape& stream = scenario.streams[record.stream];
    if (stream.direct || stream.rank != rank.name)
      continue;
    size_t at = std::min(count - 1,
                         static_cast<size_t>(record.arrived_s / kBinSeconds));
    Bin& bin = bins[at];
    if (record.outcome == Outcome::kRefused)
      bin.refused += 1 / kBinSeconds;
    if (record.outcome != Outcome::kAnswered)
      continue;
    bin.first_tokens.push_back(record.first_token_ms);
    if (record.first_token_ms <= static_cast<double>(rank.target_ms))
      bin.good += 1 / kBinSeconds;
  }
  return bins;
}

template <typename Value>
std::vector<Line> LinesOf(const RunResult& result, Value value) {
  std::vector<Line> lines;
  for (const RankShape& rank : result.scenario.ranks) {
    Line line{rank.name, {}};
    for (const Bin& bin : BinsOf(result, rank))
      line.values.push_back(value(bin));
    lines.push_back(std::move(line));
  }
  return lines;
}

double Highest(const std::vector<Line>& lines) {
  double highest = 1;
  for (const Line& line : lines) {
    for (double value : line.values)
      highest = std::isnan(value) ? highest : std::max(highest, value);
  }
  return highest;
}

std::string Text(double x,
                 double y,
                 const std::string& anchor,
                 const std::string& text) {
  return absl::StrFormat(
      "<text x=\"%.0f\" y=\"%.0f\" text-anchor=\"%s\">%s"
      "</text>\n",
      x, y, anchor, text);
}

std::string Polyline(const Line& line,
                     double top,
                     double highest,
                     const std::string& colour) {
  std::string points;
  auto count = static_cast<double>(line.values.size());
  for (size_t i = 0; i < line.values.size(); ++i) {
    if (std::isnan(line.values[i]))
      continue;
    double x = kLeft + kWidth * (static_cast<double>(i) + 0.5) / count;
    double y = top + kHeight * (1 - line.values[i] / highest);
    absl::StrAppendFormat(&points, "%.1f,%.1f ", x, y);
  }
  return absl::StrFormat(
      "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\" "
      "points=\"%s\"/>\n",
      colour, points);
}

std::string Axes(const Scenario& scenario,
                 const std::string& title,
                 double top,
                 double highest) {
  std::string svg = Text(kLeft, top - 8, "start", title);
  absl::StrAppendFormat(&svg,
                        "<rect x=\"%.0f\" y=\"%.0f\" width=\"%.0f\" "
                        "height=\"%.0f\" fill=\"none\" stroke=\"#999\"/>\n",
                        kLeft, top, kWidth, kHeight);
  absl::StrAppend(
      &svg, Text(kLeft - 6, top + 10, "end", absl::StrFormat("%.0f", highest)),
      Text(kLeft - 6, top + kHeight, "end", "0"),
      Text(kLeft, top + kHeight + 16, "start", "0 s"),
      Text(kLeft + kWidth, top + kHeight + 16, "end",
           absl::StrFormat("%.0f s", scenario.seconds)));
  for (const FaultEvent& event : scenario.events) {
    double x = kLeft + kWidth * event.at_s / scenario.seconds;
    absl::StrAppendFormat(&svg,
                          "<line x1=\"%.0f\" x2=\"%.0f\" y1=\"%.0f\" "
                          "y2=\"%.0f\" stroke=\"#666\" "
                          "stroke-dasharray=\"4\"/>\n",
                          x, x, top, top + kHeight);
    absl::StrAppend(&svg, Text(x + 3, top + 12, "start",
                               absl::StrCat(event.action, " ", event.target)));
  }
  return svg;
}

std::string Plot(const Scenario& scenario,
                 const std::string& title,
                 const std::vector<Line>& lines,
                 size_t row) {
  double top = 70 + static_cast<double>(row) * (kHeight + kGap);
  double highest = Highest(lines);
  std::string svg = Axes(scenario, title, top, highest);
  for (size_t i = 0; i < lines.size(); ++i)
    svg += Polyline(lines[i], top, highest, kColours[i % 4]);
  return svg;
}

std::string Legend(const Scenario& scenario) {
  std::string svg;
  double x = kLeft;
  for (size_t i = 0; i < scenario.ranks.size(); ++i) {
    absl::StrAppendFormat(&svg,
                          "<rect x=\"%.0f\" y=\"34\" width=\"12\" "
                          "height=\"12\" fill=\"%s\"/>\n",
                          x, kColours[i % 4]);
    absl::StrAppend(&svg, Text(x + 18, 45, "start", scenario.ranks[i].name));
    x += 110;
  }
  return svg;
}

}  // namespace

std::string ToJson(const RunResult& result) {
  json::object page;
  page["scenario"] = result.scenario.name;
  page["seed"] = result.scenario.seed;
  page["policy"] = result.policy;
  page["capacity_per_second"] = result.scenario.fleet.Capacity();
  page["router_cpu_seconds"] = result.router_cpu_s;
  page["requests_per_router_cpu_second"] = RequestsPerCpuSecond(result);
  json::array summaries;
  for (const Summary& summary : result.summaries)
    summaries.push_back(ToObject(summary));
  page["summaries"] = std::move(summaries);
  json::array checks;
  for (const CheckedExpectation& check : result.checks) {
    const Expectation& expectation = check.expectation;
    checks.push_back({{"phase", expectation.phase},
                      {"subject", expectation.subject},
                      {"figure", expectation.figure + BaseText(expectation)},
                      {"bound", BoundText(expectation)},
                      {"value", check.value},
                      {"met", check.met}});
  }
  page["expectations"] = std::move(checks);
  return json::serialize(page) + "\n";
}

std::string ToMarkdown(const RunResult& result) {
  std::string text = absl::StrFormat(
      "### %s (policy %s, seed %d; capacity %.0f requests/s)\n\n"
      "| phase | subject | offered | answered | refused | failed | lost | "
      "attained | goodput/s | first token p50/p95/p99 ms | "
      "refusal p50/p99/max ms |\n"
      "|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n",
      result.scenario.name, result.policy, result.scenario.seed,
      result.scenario.fleet.Capacity());
  for (const Summary& s : result.summaries) {
    absl::StrAppendFormat(
        &text,
        "| %s | %s | %d | %d | %d | %d | %d | %.4f | %.1f | %.0f / %.0f / "
        "%.0f | %.0f / %.0f / %.0f |\n",
        s.phase, s.subject, s.offered, s.answered, s.refused, s.failed, s.lost,
        s.attained, s.goodput, s.first_token_p50_ms, s.first_token_p95_ms,
        s.first_token_p99_ms, s.refusal_p50_ms, s.refusal_p99_ms,
        s.refusal_max_ms);
  }
  for (const Summary& s : result.summaries) {
    if (s.subject == "all")
      absl::StrAppendFormat(&text, "\nJain over callers, %s: %.3f\n", s.phase,
                            s.jain);
  }
  if (result.router_cpu_s > 0)
    absl::StrAppendFormat(&text,
                          "\nRequests per second of router processor: %.0f\n",
                          RequestsPerCpuSecond(result));
  if (!result.checks.empty())
    text += "\n| target | bound | measured | met |\n|---|---|--:|---|\n";
  for (const CheckedExpectation& check : result.checks) {
    const Expectation& e = check.expectation;
    absl::StrAppendFormat(&text, "| %s, %s: %s%s | %s | %.3f | %s |\n", e.phase,
                          e.subject, e.figure, BaseText(e), BoundText(e),
                          check.value, check.met ? "yes" : "NO");
  }
  return text + "\n";
}

std::string ToSvg(const RunResult& result) {
  auto quantile = [](double q) {
    return [q](const Bin& bin) {
      return bin.first_tokens.empty() ? NAN : Percentile(bin.first_tokens, q);
    };
  };
  const Scenario& scenario = result.scenario;
  std::string svg = absl::StrFormat(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"820\" "
      "height=\"900\" font-family=\"sans-serif\" font-size=\"12\">\n"
      "<rect width=\"820\" height=\"900\" fill=\"white\"/>\n");
  absl::StrAppend(&svg,
                  Text(kLeft, 20, "start",
                       absl::StrCat(scenario.name, ", policy ", result.policy)),
                  Legend(scenario));
  svg += Plot(scenario, "First token, median, ms",
              LinesOf(result, quantile(0.5)), 0);
  svg += Plot(scenario, "First token, 95th percentile, ms",
              LinesOf(result, quantile(0.95)), 1);
  svg += Plot(scenario, "Goodput (answers in their target), 1/s",
              LinesOf(result, [](const Bin& bin) { return bin.good; }), 2);
  svg += Plot(scenario, "Refusals, 1/s",
              LinesOf(result, [](const Bin& bin) { return bin.refused; }), 3);
  return svg + "</svg>\n";
}

}  // namespace hawthornhollow::load
