#ifndef LAVENDERKEEL_FORWARD_SUSPECT_RUNS_H_
#define LAVENDERKEEL_FORWARD_SUSPECT_RUNS_H_

#include <cstdint>
#include <unordered_map>

#include "lavenderkeel/crash/crash_standing.h"

namespace lavenderkeel {

/// Requests at servers under which servers were lost before.
///
/// Failure: a harmless request is sent on after its server was lost and meets
/// the one that ended it again. Symptom: after some such meetings it is blocked
/// like the other. Of two requests that run apart only one loses its server.
class SuspectRuns {
 public:
  void Add(uint64_t server, CrashStanding standing) {
    if (standing == CrashStanding::kClear) {
      return;
    }
    Count& count = servers_[server];
    ++count.all;
    count.doubtful += standing >= CrashStanding::kDoubtful ? 1 : 0;
  }

  /// The reverse of Add.
  void Remove(uint64_t server, CrashStanding standing) {
    const auto found = servers_.find(server);
    if (standing == CrashStanding::kClear || found == servers_.end()) {
      return;
    }
    found->second.doubtful -= standing >= CrashStanding::kDoubtful ? 1 : 0;
    if (--found->second.all <= 0) {
      servers_.erase(found);
    }
  }

  /// A request of that standing may run at the server beside what is there.
  bool Admits(uint64_t server, CrashStanding standing) const {
    const Count count = At(server);
    return standing >= CrashStanding::kDoubtful  ? count.all == 0
           : standing == CrashStanding::kSuspect ? count.doubtful == 0
                                                 : true;
  }

  /// A request does better elsewhere.
  bool Endangers(uint64_t server, CrashStanding standing) const {
    const Count count = At(server);
    return standing == CrashStanding::kClear ? count.doubtful > 0
                                             : count.all > 0;
  }

  bool empty() const { return servers_.empty(); }

 private:
  struct Count {
    int all = 0;
    int doubtful = 0;
  };

  Count At(uint64_t server) const {
    const auto found = servers_.find(server);
    return found == servers_.end() ? Count() : found->second;
  }

  std::unordered_map<uint64_t, Count> servers_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_SUSPECT_RUNS_H_
