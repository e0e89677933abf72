#ifndef LAVENDERKEEL_TEST_SOAK_CHECKER_H_
#define LAVENDERKEEL_TEST_SOAK_CHECKER_H_

#include <set>
#include <string>
#include <vector>

#include "test/soak/client.h"

namespace lavenderkeel::soak {

/// Checks the promises from what clients saw and what servers ran. Knows
/// nothing of how the system works.
class Checker {
 public:
  /// @param timed also how soon answers come; not where the machine that plays
  ///     it may be busy with other things
  explicit Checker(bool timed) : timed_(timed) {}

  /// One request is over at its client.
  void OnSeen(const Seen& seen);
  /// All is over; what servers ran is complete.
  void OnRuns(const std::multiset<std::string>& runs);
  /// After all faults have ended the request should have been served.
  void OnCalm(const Seen& seen);

  /// Broken promises, with the ids of their requests.
  const std::vector<std::string>& broken() const { return broken_; }
  size_t served() const { return served_; }
  size_t refused() const { return refused_; }
  size_t lost() const { return lost_; }

 private:
  void Break(const Seen& seen, const std::string& promise);
  void CheckAnswer(const Seen& seen);
  void CheckStream(const Seen& seen, bool whole);

  bool timed_;
  std::vector<std::string> broken_;
  std::set<std::string> once_;
  std::set<std::string> told_not_run_;
  size_t served_ = 0;
  size_t refused_ = 0;
  size_t lost_ = 0;
};

}  // namespace lavenderkeel::soak

#endif  // LAVENDERKEEL_TEST_SOAK_CHECKER_H_
