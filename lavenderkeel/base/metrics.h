#ifndef LAVENDERKEEL_BASE_METRICS_H_
#define LAVENDERKEEL_BASE_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace lavenderkeel {

/// Counters, gauges and distributions of one process, written as Prometheus
/// text.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Adds to a counter; the name may carry labels: `requests{tier="a"}`.
  void Add(const std::string& name, uint64_t amount = 1);

  /// Sets a gauge.
  void Set(const std::string& name, double value);

  /// Records a sample, in seconds for times.
  void Observe(const std::string& name, double sample);

  uint64_t counter(const std::string& name) const;

  /// Returns the Prometheus text exposition; distributions appear as count,
  /// mean, max and the 50th, 95th and 99th percentiles.
  std::string ToPrometheus() const;

 private:
  class Distribution;

  std::map<std::string, uint64_t> counters_;
  std::map<std::string, double> gauges_;
  std::map<std::string, std::unique_ptr<Distribution>> distributions_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_BASE_METRICS_H_
