#ifndef LAVENDERKEEL_RETRY_EXTRA_RETRIES_H_
#define LAVENDERKEEL_RETRY_EXTRA_RETRIES_H_

#include <deque>
#include <optional>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// One entry's share of the retries that do not depend on requests.
struct ExtraShare {
  double retries = 0;
  /// When this process started, if a former one may have used the share.
  std::optional<TimePoint> since = std::nullopt;

  friend bool operator==(const ExtraShare&, const ExtraShare&) = default;
};

/// The use of a share of the extra retries.
///
/// In any time up to a window, a process uses at most a burst, which is a
/// fraction of the share, and what accrues in that time; in a whole window that
/// is the share. A process has no burst at first if there was one before it. So
/// the processes that an entry runs one after the other use no more than the
/// share in any window, however often they are killed, and although none knows
/// what the one before it has used.
class ExtraRetries {
 public:
  struct Options {
    /// The time within which the share may be used once.
    Duration window = std::chrono::seconds(10);
    /// The burst is one retry at least, or a share below that could never be
    /// used.
    double burst_fraction = 1.0 / 3;
  };

  explicit ExtraRetries(const Options& options) : options_(options) {}

  /// Returns how many retries may be used now. It may be negative if the share
  /// has become smaller.
  double Left(TimePoint now, const ExtraShare& share) const;
  void Use(TimePoint now, int retries);
  /// Takes back a retry that was used at that time.
  void GiveBack(TimePoint used_at);

 private:
  Options options_;
  /// Times of the uses within the window, the earliest first.
  std::deque<TimePoint> uses_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_RETRY_EXTRA_RETRIES_H_
