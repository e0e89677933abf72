#include "lavenderkeel/base/metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <sstream>

namespace lavenderkeel {

namespace acc = boost::accumulators;

namespace {

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

}  // namespace

class Metrics::Distribution {
 public:
  Distribution() : set_(acc::extended_p_square_probabilities = kQuantiles) {}

  void Observe(double sample) { set_(sample); }

  void Write(const std::string& name, std::ostream& out) const {
    for (size_t i = 0; i < kQuantiles.size(); ++i) {
      out << name << "{quantile=\"" << kQuantiles.at(i) << "\"} "
          << acc::extended_p_square(set_)[static_cast<ptrdiff_t>(i)] << '\n';
    }
    out << name << "_mean " << acc::mean(set_) << '\n';
    out << name << "_max " << acc::max(set_) << '\n';
    out << name << "_count " << acc::count(set_) << '\n';
  }

 private:
  acc::accumulator_set<double,
                       acc::stats<acc::tag::count,
                                  acc::tag::mean,
                                  acc::tag::max,
                                  acc::tag::extended_p_square>>
      set_;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Add(const std::string& name, uint64_t amount) {
  counters_[name] += amount;
}

void Metrics::Set(const std::string& name, double value) {
  gauges_[name] = value;
}

void Metrics::Observe(const std::string& name, double sample) {
  auto& distribution = distributions_[name];
  if (!distribution) {
    distribution = std::make_unique<Distribution>();
  }
  distribution->Observe(sample);
}

uint64_t Metrics::counter(const std::string& name) const {
  const auto found = counters_.find(name);
  return found == counters_.end() ? 0 : found->second;
}

std::string Metrics::ToPrometheus() const {
  std::ostringstream out;
  for (const auto& [name, value] : counters_) {
    out << "lavenderkeel_" << name << ' ' << value << '\n';
  }
  for (const auto& [name, value] : gauges_) {
    out << "lavenderkeel_" << name << ' ' << value << '\n';
  }
  for (const auto& [name, distribution] : distributions_) {
    distribution->Write("lavenderkeel_" + name, out);
  }
  return out.str();
}

}  // namespace lavenderkeel
