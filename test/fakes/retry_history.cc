#include "test/fakes/retry_history.h"

#include <algorithm>

namespace lavenderkeel::fakes {

namespace {

/// Windows begin at each retry, end at each retry, and in between this far
/// apart.
constexpr Duration kStep = std::chrono::milliseconds(50);

size_t CountBetween(const std::vector<TimePoint>& times,
                    TimePoint begin,
                    TimePoint end) {
  return static_cast<size_t>(std::ranges::upper_bound(times, end) -
                             std::ranges::lower_bound(times, begin));
}

}  // namespace

void RetryHistory::OnArrival(const std::string& request_id, TimePoint now) {
  if (!arrived_.insert(request_id).second) {
    retries_.push_back(now);
  }
}

RetryHistory::Window RetryHistory::Count(TimePoint begin, TimePoint end) const {
  return {.begin = begin,
          .retries = CountBetween(retries_, begin, end),
          .requests = CountBetween(requests_, begin, end)};
}

RetryHistory::Window RetryHistory::WindowFrom(TimePoint begin) const {
  const Duration length = bound_.window;
  Window window = {.begin = begin,
                   .retries = CountBetween(retries_, begin, begin + length)};
  window.requests = std::max(
      {CountBetween(requests_, begin, begin + length),
       CountBetween(requests_, begin - length, begin),
       CountBetween(requests_, begin - length / 2, begin + length / 2)});
  window.allowed =
      bound_.ratio * static_cast<double>(window.requests) + bound_.extra;
  return window;
}

RetryHistory::Window RetryHistory::WorstWindow() const {
  Window worst = {.allowed = bound_.extra};
  const auto consider = [&](TimePoint begin) {
    const Window window = WindowFrom(begin);
    if (window.excess() > worst.excess()) {
      worst = window;
    }
  };
  for (const TimePoint retry : retries_) {
    consider(retry);
    consider(retry - bound_.window);
  }
  if (!retries_.empty()) {
    for (TimePoint begin = retries_.front() - bound_.window;
         begin <= retries_.back(); begin += kStep) {
      consider(begin);
    }
  }
  return worst;
}

}  // namespace lavenderkeel::fakes
