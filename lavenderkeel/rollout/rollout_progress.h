#ifndef LAVENDERKEEL_ROLLOUT_ROLLOUT_PROGRESS_H_
#define LAVENDERKEEL_ROLLOUT_ROLLOUT_PROGRESS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/rollout/answer_counts.h"
#include "lavenderkeel/rollout/rollout_plan.h"
#include "lavenderkeel/rollout/version_comparison.h"

namespace lavenderkeel {

/// The phases of one rollout, advanced by the reports of all entries.
///
/// The new version is tested with few requests for as long as the order allows,
/// then with more, and gets all requests only after both tests. Until then it
/// gets no more requests than a bad version may get.
class RolloutProgress {
 public:
  struct Options {
    ExposureBounds bounds;
    VersionComparison::Options comparison;
    /// Fractions of the exposure limit that the canary and the ramp may use.
    double canary_fraction = 0.4;
    double ramp_fraction = 0.95;
    /// Fraction of the service's requests sent to the new version during the
    /// ramp, while the exposure limit allows it.
    double ramp_share = 0.45;
    /// The ramp begins this fraction of the order's duration before its end.
    double move_fraction = 0.4;
    /// The shift doesn't begin before this fraction of the time from the ramp's
    /// begin to the order's end is left: until then the comparison continues.
    double shift_fraction = 0.5;
    Duration min_move_time = std::chrono::milliseconds(2500);
    Duration max_move_time = std::chrono::seconds(12);
    /// The ramp lasts at least this long, and until this many answers arrived.
    Duration min_ramp_time = std::chrono::milliseconds(1500);
    uint32_t ramp_answers = 100;
    /// The ramp doesn't begin, and doesn't end, before this many answers
    /// arrived.
    uint32_t min_answers = 8;
    /// All requests go to the new version for at least this long before the old
    /// servers stop.
    Duration min_shift_time = std::chrono::milliseconds(1500);
    /// Time reserved for writing the final state.
    Duration end_margin = std::chrono::milliseconds(700);
    /// Time for runs at the baseline that last past the order's end.
    Duration overtime = std::chrono::seconds(5);
    /// Entries without a report for this time are not waited for.
    Duration report_timeout = std::chrono::milliseconds(400);
  };

  /// Input of one step besides the reports.
  struct StepInput {
    TimePoint now;
    /// Number of reachable entries, including this one, and whether they are
    /// more than half of all entries.
    size_t reachable_entries = 1;
    bool majority = true;
    bool store_lost = false;
    /// Usable servers of the new version.
    size_t canary_servers = 0;
  };

  /// @param resumed whether the rollout was begun before this object existed
  RolloutProgress(const Options& options,
                  TimePoint started,
                  Duration duration,
                  bool resumed = false);

  void OnCounts(const std::string& entry,
                const RolloutCounts& counts,
                TimePoint now);
  /// @return whether the phase changed
  bool Step(const StepInput& input);
  /// Sets the final state that was read from the store.
  void SetEnded(RolloutPhase phase);

  RolloutPhase phase() const { return phase_; }
  /// Returns why the phase was entered, as written to the log.
  const char* reason() const { return reason_; }
  double share() const;
  const VersionComparison& comparison() const { return comparison_; }
  uint32_t sent() const { return sent_; }
  uint32_t sent_to_canary() const { return sent_to_canary_; }

 private:
  struct EntryReport {
    RolloutCounts counts;
    TimePoint received_at;
  };

  bool EnterPhase(RolloutPhase phase, const char* reason, TimePoint now);
  bool StepCanary(const StepInput& input);
  bool StepRamp(const StepInput& input);
  bool StepShift(const StepInput& input);
  bool IsBaselineIdle(const StepInput& input) const;
  TimePoint end() const { return started_ + duration_; }
  Duration move_time() const;
  Duration shift_time() const;
  /// Returns the number of requests that the new version may get by now.
  double exposure_limit() const;

  Options options_;
  TimePoint started_;
  Duration duration_;
  RolloutPhase phase_ = RolloutPhase::kCanary;
  /// Whether the rollout was begun before and no entry has reported requests
  /// of that time: the slack may be used up.
  bool resumed_ = false;
  const char* reason_ = "ordered";
  TimePoint phase_since_;
  VersionComparison comparison_;
  /// The canary's answers and the service's requests when the phase began.
  uint32_t answers_at_phase_start_ = 0;
  uint32_t sent_at_phase_start_ = 0;
  std::map<std::string, EntryReport> reports_;
  uint32_t sent_ = 0;
  uint32_t sent_to_canary_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_ROLLOUT_ROLLOUT_PROGRESS_H_
