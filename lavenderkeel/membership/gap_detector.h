#ifndef LAVENDERKEEL_MEMBERSHIP_GAP_DETECTOR_H_
#define LAVENDERKEEL_MEMBERSHIP_GAP_DETECTOR_H_

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// Notices that this process was frozen or starved.
///
/// Failure: a paused process wakes and acts on what was true before. Symptom:
/// it calls everybody else silent, or vouches for keys that were claimed
/// elsewhere meanwhile. Every event first asks whether time jumped, so nothing
/// is decided on the old state before the gap is known.
class GapDetector {
 public:
  explicit GapDetector(Duration longest) : longest_(longest) {}

  /// True once after each gap.
  bool Check(TimePoint now) {
    const bool gap = last_ != TimePoint() && now - last_ > longest_;
    last_ = now;
    return gap;
  }

 private:
  Duration longest_;
  TimePoint last_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_MEMBERSHIP_GAP_DETECTOR_H_
