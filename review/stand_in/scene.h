#ifndef LAVENDERKEEL_REVIEW_STAND_IN_SCENE_H_
#define LAVENDERKEEL_REVIEW_STAND_IN_SCENE_H_

#include <sys/types.h>

#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "review/stand_in/store.h"

namespace review {

/// Returns the milliseconds since the start of this process.
int64_t NowMs();
void SleepMs(int64_t ms);
/// Returns whether the run has its disruption: TROUBLE=0 leaves it out.
bool HasTrouble();

/// What was sent, answered and run: one line for each event, with its time.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path, std::ios::trunc) {}

  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

/// Bounds of a deployment that an entry learns from its settings.
struct Bounds {
  int stop_s = 8;
  int retry_window_s = 10;
  double retry_ratio = 0.2;
  int retry_extra = 52;
  double rate_over = 0.1;
  int rate_slack = 190000;
};

/// An entry: a process of the deploy file's program.
struct Entry {
  std::string name;
  std::string zone;
  int clients = 0;
  int status = 0;
  int peers = 0;
  pid_t process = -1;
};

/// Starts the entries of a small deployment and ends them.
class Fleet {
 public:
  /// @param directory an existing folder for the settings and logs
  Fleet(std::string directory,
        const std::vector<std::string>& zones,
        int store_port,
        const Bounds& bounds);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  bool Start();
  const std::vector<Entry>& entries() const { return entries_; }
  /// @return whether the entry's readiness is 200
  static bool IsReady(const Entry& entry);
  bool WaitUntilReady(int64_t ms) const;
  /// Records the processes that have ended by themselves.
  /// @return whether every process still runs
  bool AllRun(Record& record);
  void EndAll();

 private:
  std::string SettingsOf(const Entry& entry) const;
  bool StartEntry(Entry& entry) const;

  std::string directory_;
  int store_port_;
  Bounds bounds_;
  std::vector<Entry> entries_;
};

}  // namespace review

#endif  // LAVENDERKEEL_REVIEW_STAND_IN_SCENE_H_
