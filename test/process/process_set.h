#ifndef LAVENDERKEEL_TEST_PROCESS_PROCESS_SET_H_
#define LAVENDERKEEL_TEST_PROCESS_PROCESS_SET_H_

#include <sys/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lavenderkeel::test {

/// Child processes of a test, each with a log and a ready file in a directory
/// of the set. The destructor kills those that still run, by their process ids.
class ProcessSet {
 public:
  /// @param keep whether the directory outlives the set, to inspect a failure
  explicit ProcessSet(bool keep = false);
  ~ProcessSet();
  ProcessSet(const ProcessSet&) = delete;
  ProcessSet& operator=(const ProcessSet&) = delete;

  void Spawn(const std::string& name, const std::vector<std::string>& command);
  /// Limits the open descriptors of the processes that are spawned from now on.
  void set_max_descriptors(size_t count) { max_descriptors_ = count; }
  void Signal(const std::string& name, int signal);
  /// @return the exit status if the process has ended; minus the signal that
  ///     killed it, if one did
  std::optional<int> TryJoin(const std::string& name);
  /// Sends SIGKILL and waits for the process to end.
  void Kill(const std::string& name);
  bool IsRunning(const std::string& name) const;
  bool Has(const std::string& name) const { return pids_.contains(name); }
  pid_t Pid(const std::string& name) const { return pids_.at(name); }

  const std::string& directory() const { return directory_; }
  std::string ReadyFile(const std::string& name) const {
    return directory_ + "/" + name + ".ready";
  }
  bool HasReadyFile(const std::string& name) const;
  /// Returns the address of a port from the process's ready file; empty if the
  /// file does not exist yet.
  std::string Address(const std::string& name, const std::string& port) const;
  std::string Log(const std::string& name) const;
  void set_keep(bool keep) { keep_ = keep; }

 private:
  bool keep_;
  std::optional<size_t> max_descriptors_;
  std::string directory_;
  std::map<std::string, pid_t> pids_;
};

/// Returns the most memory that a process has used, in KiB.
size_t PeakKiB(pid_t pid);

/// Returns the contents of a file; empty if it can't be read.
std::string ReadFile(const std::string& path);

}  // namespace lavenderkeel::test

#endif  // LAVENDERKEEL_TEST_PROCESS_PROCESS_SET_H_
