#ifndef LAVENDERKEEL_CRASH_SUSPECT_RUNS_H_
#define LAVENDERKEEL_CRASH_SUSPECT_RUNS_H_

#include <cstdint>
#include <unordered_map>

#include "lavenderkeel/crash/crash_suspicion.h"

namespace lavenderkeel {

/// Running requests under which servers were lost before, by server.
///
/// A harmless request that is retried after the loss of its server may run
/// beside the request that caused the loss again. After some such losses the
/// harmless request is blocked too. If the two run at different servers, only
/// the other one loses its server.
class SuspectRuns {
 public:
  void Add(uint64_t server, CrashSuspicion suspicion) {
    if (suspicion == CrashSuspicion::kClear) {
      return;
    }
    Count& count = servers_[server];
    ++count.all;
    count.doubtful += suspicion >= CrashSuspicion::kDoubtful ? 1 : 0;
  }

  /// Reverts Add.
  void Remove(uint64_t server, CrashSuspicion suspicion) {
    const auto found = servers_.find(server);
    if (suspicion == CrashSuspicion::kClear || found == servers_.end()) {
      return;
    }
    found->second.doubtful -= suspicion >= CrashSuspicion::kDoubtful ? 1 : 0;
    if (--found->second.all <= 0) {
      servers_.erase(found);
    }
  }

  /// Returns whether a request of the given suspicion may run at the server
  /// beside the requests there.
  bool Admits(uint64_t server, CrashSuspicion suspicion) const {
    const Count count = CountAt(server);
    return suspicion >= CrashSuspicion::kDoubtful  ? count.all == 0
           : suspicion == CrashSuspicion::kSuspect ? count.doubtful == 0
                                                   : true;
  }

  /// Returns whether the request should prefer another server.
  bool ShouldAvoid(uint64_t server, CrashSuspicion suspicion) const {
    const Count count = CountAt(server);
    return suspicion == CrashSuspicion::kClear ? count.doubtful > 0
                                               : count.all > 0;
  }

  bool empty() const { return servers_.empty(); }

 private:
  struct Count {
    int all = 0;
    int doubtful = 0;
  };

  Count CountAt(uint64_t server) const {
    const auto found = servers_.find(server);
    return found == servers_.end() ? Count() : found->second;
  }

  std::unordered_map<uint64_t, Count> servers_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CRASH_SUSPECT_RUNS_H_
