#ifndef LAVENDERKEEL_BENCH_FITTED_LINE_H_
#define LAVENDERKEEL_BENCH_FITTED_LINE_H_

#include <cmath>
#include <string>
#include <vector>

namespace lavenderkeel::bench {

/// A quantity measured at several sizes, and the line fitted to it.
struct FittedLine {
  std::string name;
  /// Units of the sizes and of the values.
  std::string per;
  std::string unit;
  std::vector<double> sizes;
  std::vector<double> values;
  double slope = 0;
  double intercept = 0;
  /// Root of the mean squared distance from the line, as a fraction of the
  /// largest value.
  double residual = 0;
};

/// Fits the line by least squares.
inline void Fit(FittedLine& line) {
  const auto count = static_cast<double>(line.sizes.size());
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  double largest = 0;
  for (size_t i = 0; i < line.sizes.size(); ++i) {
    sum_x += line.sizes[i];
    sum_y += line.values[i];
    sum_xx += line.sizes[i] * line.sizes[i];
    sum_xy += line.sizes[i] * line.values[i];
    largest = std::max(largest, std::abs(line.values[i]));
  }
  line.slope =
      (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
  line.intercept = (sum_y - line.slope * sum_x) / count;
  double squares = 0;
  for (size_t i = 0; i < line.sizes.size(); ++i) {
    const double distance =
        line.values[i] - line.intercept - line.slope * line.sizes[i];
    squares += distance * distance;
  }
  line.residual = largest == 0 ? 0 : std::sqrt(squares / count) / largest;
}

}  // namespace lavenderkeel::bench

#endif  // LAVENDERKEEL_BENCH_FITTED_LINE_H_
