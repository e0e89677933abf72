#include "lavenderkeel/crash/loss_rate.h"

#include <algorithm>

namespace lavenderkeel {

void LossRate::OnAnswered(Duration run, TimePoint now) {
  DropExpired(now);
  if (answers_.empty() || now - answers_.back().begin >= options_.interval) {
    answers_.push_back({.begin = now});
  }
  answers_.back().run += run;
  ++answers_.back().count;
}

void LossRate::OnLost(uint64_t server, Duration run, TimePoint now) {
  DropExpired(now);
  losses_.push_back({.server = server, .run = run, .at = now});
  if (losses_.size() > options_.max_losses) {
    losses_.pop_front();
  }
}

LossRate::Estimate LossRate::Since(
    TimePoint since,
    const std::function<bool(uint64_t server)>& counts) const {
  // An entry that has seen little takes losses for rare.
  constexpr double kPriorLosses = 0.1;
  constexpr double kPriorSeconds = 1;
  constexpr double kPriorAnswerSeconds = 0.3;
  double lost = kPriorLosses;
  double lost_seconds = 0;
  double answers = 1;
  double answered_seconds = kPriorAnswerSeconds;
  for (const Answers& interval : answers_) {
    if (interval.begin >= since) {
      answers += static_cast<double>(interval.count);
      answered_seconds += ToSeconds(interval.run);
    }
  }
  for (const Loss& loss : losses_) {
    if (loss.at >= since) {
      lost_seconds += ToSeconds(loss.run);
      lost += counts(loss.server) ? 1 : 0;
    }
  }
  return {
      .per_second = lost / (kPriorSeconds + answered_seconds + lost_seconds),
      .answer_time = FromSeconds(answered_seconds / answers)};
}

void LossRate::DropExpired(TimePoint now) {
  while (!answers_.empty() && now - answers_.front().begin > options_.max_age) {
    answers_.pop_front();
  }
  while (!losses_.empty() && now - losses_.front().at > options_.max_age) {
    losses_.pop_front();
  }
}

}  // namespace lavenderkeel
