#ifndef HAWTHORNHOLLOW_METRICS_METRICS_H_
#define HAWTHORNHOLLOW_METRICS_METRICS_H_

// Counters, gauges and timings of one process, kept by Boost.Accumulators and
// written in the text format that metric scrapers read.
//
//   MetricRegistry metrics;
//   metrics.Count("requests_total", {{"rank", "urgent"}});
//   metrics.Observe("first_token_seconds", {{"rank", "urgent"}}, 0.21);
//   std::string page = metrics.Render();

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hawthornhollow {

using MetricLabels = std::vector<std::pair<std::string, std::string>>;

// Thread-safe; each call takes one of several locks, chosen by the metric's
// name and labels, for a short time.
class MetricRegistry {
 public:
  // Series kept at most; further ones are dropped and counted in
  // `hawthornhollow_metrics_dropped_total`.
  static constexpr size_t kMaxSeries = 4096;

  MetricRegistry();
  MetricRegistry(const MetricRegistry&) = delete;
  MetricRegistry& operator=(const MetricRegistry&) = delete;
  ~MetricRegistry();

  void Count(std::string_view name, const MetricLabels& labels, double by = 1);
  void Set(std::string_view name, const MetricLabels& labels, double value);
  // Adds a sample to a summary with count, sum and, once there are enough
  // samples, quantiles 0.5, 0.95, 0.99.
  void Observe(std::string_view name,
               const MetricLabels& labels,
               double sample);

  // The value of a counter or gauge; 0 if there is none.
  double Value(std::string_view name, const MetricLabels& labels) const;

  // Every series, sorted by name and labels.
  std::string Render() const;

 private:
  struct Shard;
  Shard& ShardOf(std::string_view series) const;
  std::vector<std::unique_ptr<Shard>> shards_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_METRICS_METRICS_H_
