#include "hawthornhollow/metrics/metrics.h"

// Boost's quantile header uses std::ostringstream without including it.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <map>
#include <mutex>
#include <optional>
#include <variant>

#include "absl/strings/str_cat.h"
#include "hawthornhollow/base/base.h"

namespace hawthornhollow {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};
// Below this the quantile estimates are not meaningful and are left out.
constexpr size_t kMinQuantileSamples = 20;
constexpr size_t kShards = 16;
constexpr char kPrefix[] = "hawthornhollow_";

using SummaryAccumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count,
                                    acc::tag::sum,
                                    acc::tag::extended_p_square_quantile>>;

struct Summary {
  SummaryAccumulator samples{acc::extended_p_square_probabilities = kQuantiles};
};

struct Scalar {
  double value = 0;
  bool is_counter = true;
};

struct Series {
  std::string name;
  std::string labels;  // rendered, without braces
  std::variant<Scalar, Summary> data;
};

std::string EscapeLabel(std::string_view value) {
  std::string escaped;
  for (char c : value) {
    if (c == '"' || c == '\\')
      escaped.push_back('\\');
    escaped.push_back(c == '\n' ? ' ' : c);
  }
  return escaped;
}

std::string RenderLabels(const MetricLabels& labels) {
  std::string text;
  for (const auto& [key, value] : labels) {
    if (!text.empty())
      text.push_back(',');
    absl::StrAppend(&text, key, "=\"", EscapeLabel(value), "\"");
  }
  return text;
}

std::string Line(const std::string& name,
                 const std::string& labels,
                 double value) {
  if (labels.empty())
    return absl::StrCat(kPrefix, name, " ", value, "\n");
  return absl::StrCat(kPrefix, name, "{", labels, "} ", value, "\n");
}

std::string RenderSummary(const Series& series, const Summary& summary) {
  std::string text;
  bool has_quantiles = acc::count(summary.samples) >= kMinQuantileSamples;
  for (double quantile : kQuantiles) {
    if (!has_quantiles)
      break;
    std::string labels = series.labels;
    if (!labels.empty())
      labels.push_back(',');
    absl::StrAppend(&labels, "quantile=\"", quantile, "\"");
    double value =
        acc::quantile(summary.samples, acc::quantile_probability = quantile);
    text += Line(series.name, labels, value);
  }
  text += Line(series.name + "_sum", series.labels, acc::sum(summary.samples));
  text += Line(series.name + "_count", series.labels,
               static_cast<double>(acc::count(summary.samples)));
  return text;
}

std::string RenderSeries(const Series& series) {
  if (const auto* summary = std::get_if<Summary>(&series.data))
    return RenderSummary(series, *summary);
  return Line(series.name, series.labels, std::get<Scalar>(series.data).value);
}

std::string_view TypeOf(const Series& series) {
  if (std::holds_alternative<Summary>(series.data))
    return "summary";
  return std::get<Scalar>(series.data).is_counter ? "counter" : "gauge";
}

}  // namespace

struct MetricRegistry::Shard {
  mutable std::mutex mutex;
  std::map<std::string, Series> series;
  double dropped = 0;

  // Null if the registry is full or the series is of the other shape.
  template <typename DataT>
  DataT* Find(std::string_view name, const MetricLabels& labels) {
    std::string rendered = RenderLabels(labels);
    std::string key = std::string(name) + "{" + rendered;
    auto found = series.find(key);
    if (found == series.end()) {
      if (series.size() >= kMaxSeries / kShards) {
        ++dropped;
        return nullptr;
      }
      Series fresh{std::string(name), rendered, DataT{}};
      found = series.emplace(key, std::move(fresh)).first;
    }
    return std::get_if<DataT>(&found->second.data);
  }
};

MetricRegistry::MetricRegistry() {
  for (size_t i = 0; i < kShards; ++i)
    shards_.push_back(std::make_unique<Shard>());
}

MetricRegistry::~MetricRegistry() = default;

MetricRegistry::Shard& MetricRegistry::ShardOf(std::string_view name) const {
  return *shards_[StableHash(name) % kShards];
}

void MetricRegistry::Count(std::string_view name,
                           const MetricLabels& labels,
                           double by) {
  Shard& shard = ShardOf(name);
  std::lock_guard lock(shard.mutex);
  if (auto* scalar = shard.Find<Scalar>(name, labels))
    scalar->value += by;
}

void MetricRegistry::Set(std::string_view name,
                         const MetricLabels& labels,
                         double value) {
  Shard& shard = ShardOf(name);
  std::lock_guard lock(shard.mutex);
  if (auto* scalar = shard.Find<Scalar>(name, labels))
    *scalar = Scalar{value, false};
}

void MetricRegistry::Observe(std::string_view name,
                             const MetricLabels& labels,
                             double sample) {
  Shard& shard = ShardOf(name);
  std::lock_guard lock(shard.mutex);
  if (auto* summary = shard.Find<Summary>(name, labels))
    summary->samples(sample);
}

double MetricRegistry::Value(std::string_view name,
                             const MetricLabels& labels) const {
  Shard& shard = ShardOf(name);
  std::lock_guard lock(shard.mutex);
  auto found =
      shard.series.find(std::string(name) + "{" + RenderLabels(labels));
  if (found == shard.series.end())
    return 0;
  const auto* scalar = std::get_if<Scalar>(&found->second.data);
  return scalar ? scalar->value : 0;
}

std::string MetricRegistry::Render() const {
  std::map<std::string, std::string> lines;
  std::map<std::string, std::string> types;
  double dropped = 0;
  for (const auto& shard : shards_) {
    std::lock_guard lock(shard->mutex);
    dropped += shard->dropped;
    for (const auto& [key, series] : shard->series) {
      lines[series.name] += RenderSeries(series);
      types[series.name] = TypeOf(series);
    }
  }
  std::string page;
  for (const auto& [name, text] : lines)
    absl::StrAppend(&page, "# TYPE ", kPrefix, name, " ", types[name], "\n",
                    text);
  page += Line("metrics_dropped_total", "", dropped);
  return page;
}

}  // namespace hawthornhollow
