#ifndef TOOLS_LOAD_TRAFFIC_H_
#define TOOLS_LOAD_TRAFFIC_H_

// Sends a scenario's requests at their own times, whatever becomes of earlier
// ones, through a balancer that passes over routers which are not healthy.

#include <atomic>
#include <memory>
#include <vector>

#include "absl/status/statusor.h"
#include "hawthornhollow/http/http.h"
#include "hawthornhollow/runtime/runtime.h"
#include "tools/load/scenario.h"
#include "tools/load/statistics.h"

namespace hawthornhollow::load {

struct Arrival {
  size_t stream = 0;
  double at_s = 0;
  friend bool operator==(const Arrival&, const Arrival&) = default;
};

// Poisson arrivals of all streams in order of time; the same for one seed.
std::vector<Arrival> DrawArrivals(const Scenario& scenario);

class Traffic {
 public:
  struct Targets {
    std::vector<Endpoint> routers;
    std::vector<Endpoint> engines;  // for streams that go past the routers
  };

  static absl::StatusOr<std::unique_ptr<Traffic>> Create(
      const Scenario& scenario,
      const Targets& targets);
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;
  ~Traffic();

  // Begins the arrivals; the run's time counts from here.
  void Start();
  // The seconds since Start().
  double Elapsed() const;
  // Blocks the calling plain thread until every request has its record.
  std::vector<RequestRecord> Wait();

 private:
  Traffic(const Scenario& scenario, const Targets& targets);
  void SendAll(size_t thread);
  void ProbeHealth(size_t router);
  void Run(size_t number);
  void Attempt(const Arrival& arrival, size_t number, RequestRecord* record);
  HttpRequest RequestFor(const Arrival& arrival, size_t number) const;
  const Endpoint& NextTarget(bool direct);

  const Scenario scenario_;
  const Targets targets_;
  std::vector<Arrival> arrivals_;
  std::vector<RequestRecord> records_;  // each written by its own fiber
  std::vector<std::atomic<bool>> healthy_;
  std::atomic<size_t> next_router_{0};
  std::atomic<size_t> next_engine_{0};
  std::atomic<size_t> finished_{0};
  std::atomic<bool> stopping_{false};
  std::atomic<size_t> probes_{0};
  absl::Time started_;
  HttpClient client_;
  HttpClient probe_client_;
  std::unique_ptr<Runtime> runtime_;  // ends first
};

}  // namespace hawthornhollow::load

#endif  // TOOLS_LOAD_TRAFFIC_H_
