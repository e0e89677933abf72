#include "lavenderkeel/rollout/rollout_progress.h"

#include <algorithm>

namespace lavenderkeel {

RolloutProgress::RolloutProgress(const Options& options,
                                 TimePoint started,
                                 Duration duration,
                                 bool resumed)
    : options_(options),
      started_(started),
      duration_(duration),
      resumed_(resumed),
      phase_since_(started),
      comparison_(options.comparison) {}

void RolloutProgress::OnCounts(const std::string& entry,
                               const RolloutCounts& counts,
                               TimePoint now) {
  if (!reports_.contains(entry) && counts.sent_to_canary > 0) {
    resumed_ = false;
  }
  EntryReport& report = reports_[entry];
  const auto increase = [](uint32_t next, uint32_t former) {
    return next > former ? next - former : 0;
  };
  sent_ += increase(counts.sent, report.counts.sent);
  sent_to_canary_ +=
      increase(counts.sent_to_canary, report.counts.sent_to_canary);
  for (const auto& [route, answers] : counts.baseline) {
    AnswerCounts& former = report.counts.baseline[route];
    comparison_.AddBaseline(route, answers.Since(former));
    former = answers;
  }
  for (const auto& [id, answers] : counts.canary) {
    AnswerCounts& former = report.counts.canary[id];
    comparison_.AddCanary(id.first, id.second, answers.Since(former));
    former = answers;
  }
  // The entry applied a rollback that a former deciding entry started because
  // the version did worse.
  if (counts.follows == RolloutPhase::kRolledBack && !IsTerminal(phase_)) {
    EnterPhase(RolloutPhase::kRolledBack, "told", now);
  }
  report.counts.sent = counts.sent;
  report.counts.sent_to_canary = counts.sent_to_canary;
  report.counts.follows = counts.follows;
  report.counts.running_at_baseline = counts.running_at_baseline;
  report.received_at = now;
}

void RolloutProgress::SetEnded(RolloutPhase phase) {
  phase_ = phase;
  reason_ = "recorded";
}

double RolloutProgress::exposure_limit() const {
  return options_.bounds.share * sent_ + (resumed_ ? 0 : options_.bounds.slack);
}

double RolloutProgress::share() const {
  switch (phase_) {
    case RolloutPhase::kCanary:
      return sent_to_canary_ < options_.canary_fraction * exposure_limit()
                 ? options_.canary_fraction * options_.bounds.share
                 : 0;
    case RolloutPhase::kRamp:
      return sent_to_canary_ < options_.ramp_fraction * exposure_limit()
                 ? options_.ramp_share
                 : 0;
    default:
      return 0;
  }
}

Duration RolloutProgress::move_time() const {
  return std::clamp(FromSeconds(ToSeconds(duration_) * options_.move_fraction),
                    options_.min_move_time, options_.max_move_time);
}

Duration RolloutProgress::shift_time() const {
  return FromSeconds(ToSeconds(move_time()) * options_.shift_fraction);
}

bool RolloutProgress::EnterPhase(RolloutPhase phase,
                                 const char* reason,
                                 TimePoint now) {
  phase_ = phase;
  reason_ = reason;
  phase_since_ = now;
  answers_at_phase_start_ = comparison_.answers();
  sent_at_phase_start_ = sent_;
  return true;
}

bool RolloutProgress::Step(const StepInput& input) {
  if (IsTerminal(phase_)) {
    return false;
  }
  comparison_.set_servers(input.canary_servers);
  if (comparison_.worse()) {
    return EnterPhase(RolloutPhase::kRolledBack, "worse", input.now);
  }
  switch (phase_) {
    case RolloutPhase::kCanary:
      return StepCanary(input);
    case RolloutPhase::kRamp:
      return StepRamp(input);
    default:
      return StepShift(input);
  }
}

bool RolloutProgress::StepCanary(const StepInput& input) {
  const TimePoint now = input.now;
  // A version that could not be tested in time is rolled back.
  const bool lapsed = now >= end() + duration_;
  if (lapsed || (now >= end() && input.canary_servers == 0)) {
    return EnterPhase(RolloutPhase::kRolledBack, "not_seen", now);
  }
  // Without the store the final state can't be written, and the new version
  // would have to be monitored with all requests until the store is available
  // again.
  const bool held = input.store_lost || !input.majority ||
                    comparison_.answers() < options_.min_answers;
  if (held || now < end() - move_time()) {
    return false;
  }
  return EnterPhase(RolloutPhase::kRamp, "watched", now);
}

bool RolloutProgress::StepRamp(const StepInput& input) {
  const TimePoint now = input.now;
  if (input.store_lost || !input.majority) {
    return EnterPhase(RolloutPhase::kCanary, "held", now);
  }
  if (!comparison_.as_good()) {
    // The comparison continues past the order's end, within the exposure limit.
    if (now < end() + duration_) {
      return false;
    }
    if (comparison_.in_doubt()) {
      return EnterPhase(RolloutPhase::kRolledBack, "in_doubt", now);
    }
  }
  if (now < end() - shift_time()) {
    return false;
  }
  const uint32_t answers = comparison_.answers() - answers_at_phase_start_;
  const uint32_t sent = sent_ - sent_at_phase_start_;
  constexpr uint32_t kRequestsPerAnswer = 5;
  const uint32_t wanted = std::clamp(
      sent / kRequestsPerAnswer, options_.min_answers, options_.ramp_answers);
  return now - phase_since_ >= options_.min_ramp_time && answers >= wanted &&
         EnterPhase(RolloutPhase::kShift, "as_good", now);
}

bool RolloutProgress::StepShift(const StepInput& input) {
  const TimePoint now = input.now;
  if (input.store_lost || !input.majority) {
    return false;
  }
  const Duration shifted = now - phase_since_;
  if (shifted < options_.min_shift_time) {
    return false;
  }
  if (comparison_.in_doubt()) {
    return now >= end() &&
           EnterPhase(RolloutPhase::kRolledBack, "in_doubt", now);
  }
  // A shift that begins after the order's end still gets the time to finish.
  const TimePoint completion_due = std::max(
      end() - options_.end_margin, phase_since_ + options_.min_shift_time);
  const bool late_start = phase_since_ >= end() - options_.end_margin;
  const bool overdue =
      late_start ? shifted >= options_.overtime : now >= completion_due;
  return (overdue || IsBaselineIdle(input)) &&
         EnterPhase(RolloutPhase::kCompleted,
                    overdue ? "time_is_over" : "moved", now);
}

bool RolloutProgress::IsBaselineIdle(const StepInput& input) const {
  size_t idle = 0;
  for (const auto& [entry, report] : reports_) {
    if (input.now - report.received_at > options_.report_timeout) {
      continue;
    }
    if (report.counts.follows != RolloutPhase::kShift ||
        report.counts.running_at_baseline > 0) {
      return false;
    }
    ++idle;
  }
  return idle >= input.reachable_entries;
}

}  // namespace lavenderkeel
