#include "tools/load/statistics.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "absl/strings/str_cat.h"

namespace hawthornhollow::load {
namespace {

struct NamedFigure {
  const char* name;
  double Summary::*value;
};
constexpr NamedFigure kFigures[] = {
    {"attained", &Summary::attained},
    {"attained_answers", &Summary::attained_answers},
    {"goodput", &Summary::goodput},
    {"first_token_p50_ms", &Summary::first_token_p50_ms},
    {"first_token_p95_ms", &Summary::first_token_p95_ms},
    {"first_token_p99_ms", &Summary::first_token_p99_ms},
    {"total_p50_ms", &Summary::total_p50_ms},
    {"total_p99_ms", &Summary::total_p99_ms},
    {"refusal_p50_ms", &Summary::refusal_p50_ms},
    {"refusal_p99_ms", &Summary::refusal_p99_ms},
    {"refusal_max_ms", &Summary::refusal_max_ms},
    {"jain", &Summary::jain},
};

// Gathers the records of one subject in one phase.
class Gatherer {
 public:
  explicit Gatherer(const Scenario& scenario) : scenario_(scenario) {}

  void Add(const RequestRecord& record) {
    const StreamShape& stream = scenario_.streams[record.stream];
    ++sum_.offered;
    sum_.retried += record.attempts > 1 ? 1 : 0;
    callers_[stream.caller];
    switch (record.outcome) {
      case Outcome::kLost:
        ++sum_.lost;
        break;
      case Outcome::kFailed:
        ++sum_.failed;
        break;
      case Outcome::kRefused:
        ++sum_.refused;
        refusals_.push_back(record.total_ms);
        break;
      case Outcome::kAnswered:
        AddAnswer(record, stream);
        break;
    }
  }

  Summary Finish(double seconds) {
    auto share = [](int64_t part, int64_t whole) {
      return whole == 0
                 ? 1.0
                 : static_cast<double>(part) / static_cast<double>(whole);
    };
    sum_.attained = share(in_target_, sum_.offered);
    sum_.attained_answers = share(in_target_, sum_.answered);
    sum_.goodput = static_cast<double>(in_target_) / seconds;
    sum_.first_token_p50_ms = Percentile(first_tokens_, 0.5);
    sum_.first_token_p95_ms = Percentile(first_tokens_, 0.95);
    sum_.first_token_p99_ms = Percentile(first_tokens_, 0.99);
    sum_.total_p50_ms = Percentile(totals_, 0.5);
    sum_.total_p99_ms = Percentile(totals_, 0.99);
    sum_.refusal_p50_ms = Percentile(refusals_, 0.5);
    sum_.refusal_p99_ms = Percentile(refusals_, 0.99);
    sum_.refusal_max_ms = Percentile(refusals_, 1);
    std::vector<double> callers;
    for (const auto& [caller, answers] : callers_)
      callers.push_back(answers);
    sum_.jain = JainIndex(callers);
    return sum_;
  }

 private:
  void AddAnswer(const RequestRecord& record, const StreamShape& stream) {
    ++sum_.answered;
    first_tokens_.push_back(record.first_token_ms);
    totals_.push_back(record.total_ms);
    auto target =
        static_cast<double>(scenario_.FindRank(stream.rank)->target_ms);
    if (record.first_token_ms <= target) {
      ++in_target_;
      callers_[stream.caller] += 1;
    }
  }

  const Scenario& scenario_;
  Summary sum_;
  int64_t in_target_ = 0;
  std::vector<double> first_tokens_;
  std::vector<double> totals_;
  std::vector<double> refusals_;
  std::map<std::string, double> callers_;
};

const Summary* Find(const std::vector<Summary>& summaries,
                    const std::string& phase,
                    const std::string& subject) {
  for (const Summary& summary : summaries) {
    if (summary.phase == phase && summary.subject == subject)
      return &summary;
  }
  return nullptr;
}

}  // namespace

double Summary::Figure(std::string_view name) const {
  for (const NamedFigure& figure : kFigures) {
    if (name == figure.name)
      return this->*figure.value;
  }
  if (name == "lost")
    return static_cast<double>(lost);
  if (name == "failed")
    return static_cast<double>(failed);
  return -1;
}

double Percentile(std::vector<double> values, double q) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  double at = q * static_cast<double>(values.size() - 1);
  auto low = static_cast<size_t>(at);
  size_t high = std::min(low + 1, values.size() - 1);
  double part = at - std::floor(at);
  return values[low] + part * (values[high] - values[low]);
}

double JainIndex(const std::vector<double>& values) {
  double sum = 0;
  double squares = 0;
  for (double value : values) {
    sum += value;
    squares += value * value;
  }
  if (squares == 0)
    return 1;
  return sum * sum / (static_cast<double>(values.size()) * squares);
}

std::vector<Summary> Summarize(const Scenario& scenario,
                               const std::vector<RequestRecord>& records) {
  std::vector<Summary> summaries;
  for (const Phase& phase : scenario.phases) {
    std::map<std::string, Gatherer> subjects;
    auto add = [&](const std::string& subject, const RequestRecord& record) {
      subjects.try_emplace(subject, scenario).first->second.Add(record);
    };
    for (const RequestRecord& record : records) {
      if (record.arrived_s < phase.from_s || record.arrived_s >= phase.to_s)
        continue;
      const StreamShape& stream = scenario.streams[record.stream];
      add(absl::StrCat("stream:", stream.name), record);
      if (stream.direct)
        continue;
      add("all", record);
      add(stream.rank, record);
      add(absl::StrCat("caller:", stream.caller), record);
    }
    for (auto& [subject, gatherer] : subjects) {
      Summary summary = gatherer.Finish(phase.to_s - phase.from_s);
      summary.phase = phase.name;
      summary.subject = subject;
      summaries.push_back(std::move(summary));
    }
  }
  return summaries;
}

std::vector<CheckedExpectation> Check(const Scenario& scenario,
                                      const std::vector<Summary>& summaries) {
  std::vector<CheckedExpectation> checked;
  for (const Expectation& expectation : scenario.expectations) {
    CheckedExpectation check{expectation, -1, false};
    auto figure = [&](const std::string& phase, const std::string& subject) {
      const Summary* summary = Find(summaries, phase, subject);
      return summary == nullptr ? -1 : summary->Figure(expectation.figure);
    };
    check.value = figure(expectation.phase, expectation.subject);
    bool known = check.value >= 0;
    if (!expectation.over_phase.empty() || !expectation.over_subject.empty()) {
      double base =
          figure(expectation.over_phase.empty() ? expectation.phase
                                                : expectation.over_phase,
                 expectation.over_subject.empty() ? expectation.subject
                                                  : expectation.over_subject);
      known = known && base > 0;
      check.value = known ? check.value / base : -1;
    }
    check.met = known && check.value >= expectation.min &&
                (expectation.max == 0 || check.value <= expectation.max);
    checked.push_back(std::move(check));
  }
  return checked;
}

}  // namespace hawthornhollow::load
