#ifndef REVIEW_STAND_IN_2_RECORD_H_
#define REVIEW_STAND_IN_2_RECORD_H_

#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// What was sent, answered and run, a line each, with the time in seconds.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}

  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

/// Exit codes of a script.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// Returns whether the script brings the disruption about.
bool HasTrouble();

}  // namespace review

#endif  // REVIEW_STAND_IN_2_RECORD_H_
