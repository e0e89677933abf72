#ifndef LAVENDERKEEL_CRASH_ANSWERED_SUSPECTS_H_
#define LAVENDERKEEL_CRASH_ANSWERED_SUSPECTS_H_

#include <algorithm>
#include <cstddef>
#include <optional>
#include <unordered_map>
#include <utility>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/crash/request_traits.h"
#include "lavenderkeel/crash/suspect.h"

namespace lavenderkeel {

/// The parts of prompts, and pairs of them, that were answered of late, in
/// bounded memory.
class AnsweredSuspects {
 public:
  struct Options {
    /// Answers count for this time at most.
    Duration max_age = std::chrono::minutes(10);
    /// Half of the number of suspects that are remembered.
    size_t generation_size = 8192;
  };

  AnsweredSuspects() = default;
  explicit AnsweredSuspects(const Options& options) : options_(options) {}

  /// Records that a request was answered. The last of several parts belongs to
  /// one request or session, and is not recorded: it would displace the others.
  void Add(const RequestTraits& request, TimePoint now) {
    RequestTraits shared = {.parts = request.parts};
    if (shared.parts.size() > 1) {
      shared.parts.pop_back();
    }
    for (const Suspect& suspect : SuspectsOf(shared)) {
      Add(suspect, now);
    }
  }

  /// Returns when a request with the suspect was last answered; nothing if that
  /// is not known.
  std::optional<TimePoint> LastAnswer(const Suspect& suspect,
                                      TimePoint now) const {
    std::optional<TimePoint> last;
    for (const Answers* generation : {&latest_, &former_}) {
      const auto found = generation->find(suspect);
      if (found != generation->end() &&
          now - found->second <= options_.max_age) {
        last = std::max(last.value_or(found->second), found->second);
      }
    }
    return last;
  }

 private:
  using Answers = std::unordered_map<Suspect, TimePoint, SuspectHash>;

  void Add(const Suspect& suspect, TimePoint now) {
    TimePoint& last = latest_.try_emplace(suspect, now).first->second;
    last = std::max(last, now);
    if (latest_.size() >= options_.generation_size) {
      former_ = std::exchange(latest_, {});
    }
  }

  Options options_;
  Answers latest_;
  Answers former_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CRASH_ANSWERED_SUSPECTS_H_
