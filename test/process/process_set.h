#ifndef LAVENDERKEEL_TEST_PROCESS_PROCESS_SET_H_
#define LAVENDERKEEL_TEST_PROCESS_PROCESS_SET_H_

#include <sys/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lavenderkeel::test {

/// Processes that a test started, each with a directory entry for its log and
/// its ready file. All that still run are killed when it goes, by their ids.
class ProcessSet {
 public:
  /// @param keep the directory stays, for whoever looks into a failure
  explicit ProcessSet(bool keep = false);
  ~ProcessSet();
  ProcessSet(const ProcessSet&) = delete;
  ProcessSet& operator=(const ProcessSet&) = delete;

  void Spawn(const std::string& name, const std::vector<std::string>& command);
  void Signal(const std::string& name, int signal);
  /// @return the exit status if the process has ended; minus the signal that
  ///     killed it, if one did
  std::optional<int> TryJoin(const std::string& name);
  /// Kills it and waits for its end.
  void Kill(const std::string& name);
  bool Running(const std::string& name) const;
  bool Has(const std::string& name) const { return pids_.contains(name); }
  pid_t Pid(const std::string& name) const { return pids_.at(name); }

  const std::string& directory() const { return directory_; }
  std::string ReadyFile(const std::string& name) const {
    return directory_ + "/" + name + ".ready";
  }
  bool HasReadyFile(const std::string& name) const;
  /// An address that the process wrote to its ready file; empty before.
  std::string Address(const std::string& name, const std::string& port) const;
  std::string Log(const std::string& name) const;
  void set_keep(bool keep) { keep_ = keep; }

 private:
  bool keep_;
  std::string directory_;
  std::map<std::string, pid_t> pids_;
};

/// A whole file; empty if it can't be read.
std::string ReadFile(const std::string& path);

}  // namespace lavenderkeel::test

#endif  // LAVENDERKEEL_TEST_PROCESS_PROCESS_SET_H_
