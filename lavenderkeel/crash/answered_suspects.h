#ifndef LAVENDERKEEL_CRASH_ANSWERED_SUSPECTS_H_
#define LAVENDERKEEL_CRASH_ANSWERED_SUSPECTS_H_

#include <algorithm>
#include <cstddef>
#include <unordered_map>
#include <utility>
#include <vector>

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
    /// The same for the parts of a request beyond its first `near_parts`, so
    /// that long prompts don't displace what short ones have in common.
    size_t far_generation_size = 2 * kMaxSuspectParts;
    size_t near_parts = 64;
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
    size_t parts = 0;
    for (const Suspect& suspect : SuspectsOf(shared)) {
      const bool is_far =
          suspect.kind == Suspect::Kind::kPart && ++parts > options_.near_parts;
      if (is_far) {
        Add(suspect, now, options_.far_generation_size, far_);
      } else {
        Add(suspect, now, options_.generation_size, near_);
      }
    }
  }

  struct Answers {
    size_t count = 0;
    TimePoint last;

    friend bool operator==(const Answers&, const Answers&) = default;
  };
  /// Returns the answers to requests with the suspect that are remembered.
  Answers Find(const Suspect& suspect, TimePoint now) const {
    Answers answers;
    for (const Generation* generation :
         {&near_.former, &near_.latest, &far_.former, &far_.latest}) {
      const auto found = generation->find(suspect);
      if (found != generation->end() &&
          now - found->second.last <= options_.max_age) {
        answers.count += found->second.count;
        answers.last = std::max(answers.last, found->second.last);
      }
    }
    return answers;
  }

 private:
  using Generation = std::unordered_map<Suspect, Answers, SuspectHash>;
  struct Generations {
    Generation latest;
    Generation former;
  };

  static void Add(const Suspect& suspect,
                  TimePoint now,
                  size_t max_size,
                  Generations& generations) {
    Answers& answers = generations.latest[suspect];
    ++answers.count;
    answers.last = std::max(answers.last, now);
    if (generations.latest.size() >= max_size) {
      generations.former = std::exchange(generations.latest, {});
    }
  }

  Options options_;
  Generations near_;
  Generations far_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CRASH_ANSWERED_SUSPECTS_H_
