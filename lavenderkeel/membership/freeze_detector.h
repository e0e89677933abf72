#ifndef LAVENDERKEEL_MEMBERSHIP_FREEZE_DETECTOR_H_
#define LAVENDERKEEL_MEMBERSHIP_FREEZE_DETECTOR_H_

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// Detects that this process was frozen or starved.
///
/// A process that resumes after a pause would act on outdated state: it would
/// treat all others as unresponsive, or vouch for keys that were claimed
/// elsewhere meanwhile. Every event therefore checks for a jump in time first,
/// so that nothing is decided on the old state before the gap is known.
class FreezeDetector {
 public:
  explicit FreezeDetector(Duration max_gap) : max_gap_(max_gap) {}

  /// Returns true once after each gap.
  bool Check(TimePoint now) {
    const bool is_gap = last_ != TimePoint() && now - last_ > max_gap_;
    last_ = now;
    return is_gap;
  }

 private:
  Duration max_gap_;
  TimePoint last_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_MEMBERSHIP_FREEZE_DETECTOR_H_
