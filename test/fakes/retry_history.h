#ifndef LAVENDERKEEL_TEST_FAKES_RETRY_HISTORY_H_
#define LAVENDERKEEL_TEST_FAKES_RETRY_HISTORY_H_

#include <cstddef>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel::fakes {

/// What clients sent to one service and what reached its servers, through all
/// entries and all lives of their processes, and the check of it against the
/// bound on retries.
class RetryHistory {
 public:
  struct Bound {
    Duration window = std::chrono::seconds(10);
    double ratio = 0.2;
    double extra = 52;
  };

  /// The retries of one window, and how many the bound allows in it.
  struct Window {
    TimePoint begin;
    size_t retries = 0;
    size_t requests = 0;
    double allowed = 0;

    double excess() const { return static_cast<double>(retries) - allowed; }

    friend std::ostream& operator<<(std::ostream& out, const Window& window) {
      return out << window.retries << " retries for " << window.requests
                 << " requests, " << window.allowed << " allowed";
    }
  };

  explicit RetryHistory(const Bound& bound) : bound_(bound) {}

  /// A client sent a request, whether or not an entry received it.
  void OnRequest(TimePoint now) { requests_.push_back(now); }
  /// A request reached a server, whether or not the server ran it.
  void OnArrival(const std::string& request_id, TimePoint now);

  size_t retries() const { return retries_.size(); }
  /// Returns the window that exceeds the bound by most, or that comes nearest
  /// to it. Requests count in the window, in the one before it or in the one
  /// half a window before it, whichever has most.
  Window WorstWindow() const;
  /// Returns the number of retries and requests from `begin` up to `end`.
  Window Count(TimePoint begin, TimePoint end) const;

 private:
  Window WindowFrom(TimePoint begin) const;

  Bound bound_;
  std::vector<TimePoint> requests_;
  std::vector<TimePoint> retries_;
  std::set<std::string> arrived_;
};

}  // namespace lavenderkeel::fakes

#endif  // LAVENDERKEEL_TEST_FAKES_RETRY_HISTORY_H_
