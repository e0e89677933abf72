#include "lavenderkeel/overload/return_schedule.h"

#include <algorithm>

namespace lavenderkeel {

Duration ReturnSchedule::Promise(const Query& query, TimePoint now) {
  DropOld(now);
  const Duration latest = std::max(query.latest, Duration::zero());
  const Duration earliest =
      std::clamp(query.earliest, Duration::zero(), latest);
  const int64_t first = StepOf(now + earliest);
  const int64_t last = StepOf(now + latest);
  const int64_t count = last - first + 1;
  const double capacity = query.capacity * ToSeconds(kStep);
  int64_t best = last;
  int best_load = -1;
  for (int64_t step = first; step <= last; ++step) {
    const int load = Load(step, query.rank);
    if (load + 1 <= capacity) {
      best = step;
      break;
    }
  }
  if (Load(best, query.rank) + 1 > capacity) {
    // Every step is full: the emptiest, from a start that differs between
    // requests, as an entry with few requests has less than one return a step.
    const int64_t start =
        static_cast<int64_t>(query.hash % static_cast<uint64_t>(count));
    for (int64_t i = 0; i < count; ++i) {
      const int64_t step = first + (start + i) % count;
      const int load = Load(step, query.rank);
      if (best_load < 0 || load < best_load) {
        best = step;
        best_load = load;
      }
    }
  }
  const auto index = static_cast<size_t>(best - first_step_);
  if (index >= steps_.size()) {
    steps_.resize(index + 1);
  }
  ++steps_[index][query.rank];
  const TimePoint within =
      TimePoint(best * kStep) +
      Duration(static_cast<int64_t>(query.hash / 7 %
                                    static_cast<uint64_t>(kStep.count())));
  return std::clamp(within - now, earliest, latest);
}

int ReturnSchedule::promised(TimePoint now) const {
  int sum = 0;
  for (size_t i = 0; i < steps_.size(); ++i) {
    if (first_step_ + static_cast<int64_t>(i) >= StepOf(now)) {
      for (const auto& [rank, count] : steps_[i]) {
        sum += count;
      }
    }
  }
  return sum;
}

void ReturnSchedule::DropOld(TimePoint now) {
  const int64_t current = StepOf(now);
  while (!steps_.empty() && first_step_ < current) {
    steps_.pop_front();
    ++first_step_;
  }
  if (steps_.empty()) {
    first_step_ = current;
  }
}

int ReturnSchedule::Load(int64_t step, const SlotRank& rank) const {
  const auto index = static_cast<size_t>(step - first_step_);
  if (step < first_step_ || index >= steps_.size()) {
    return 0;
  }
  int load = 0;
  for (const auto& [other, count] : steps_[index]) {
    load += other <= rank ? count : 0;
  }
  return load;
}

}  // namespace lavenderkeel
