#ifndef LAVENDERKEEL_FORWARD_SLOT_ROUTER_H_
#define LAVENDERKEEL_FORWARD_SLOT_ROUTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/event_log.h"
#include "lavenderkeel/forward/server_directory.h"
#include "lavenderkeel/forward/slot.h"

namespace lavenderkeel {

/// Takes an entry's wishes for slots to the gates that hand them out.
///
/// The servers of a large service are split into groups; a group's gate is at
/// the entry that wins the rendezvous among those heard of lately. A wish whose
/// gate falls silent is taken to the gate that follows.
class SlotRouter {
 public:
  struct Options {
    /// This entry's name among the gates.
    std::string self;
    /// Servers that one gate looks after at least. Few enough that an entry
    /// with a tenth of a core carries them: some 300 small messages a second.
    size_t servers_per_gate = 16;
    /// The same for each whole core of the weakest entry that has gates.
    ///
    /// Load it answers: a burst before 180 servers. With eleven groups wishes
    /// wait in one line while slots are free in another, and what is urgent in
    /// one stands behind what is not in another: 0.81 of what clients ask for
    /// was served on the heaviest day, with two groups 0.91.
    double servers_per_core = 160;
    /// An entry that said nothing for this time is no gate. Four times the
    /// period of reports; a request can wait so long and still be in time.
    Duration gate_silence = std::chrono::milliseconds(400);
  };

  struct Hooks {
    std::function<void(const std::string& gate, const SlotAsk&)> ask;
    std::function<
        void(const std::string& gate, AttemptId attempt, const SlotResult&)>
        done;
  };

  SlotRouter(Options options,
             const ServerDirectory& directory,
             const Clock& clock,
             const EventLog& log,
             Hooks hooks);

  /// Asks for a slot; the group is chosen here.
  void Ask(SlotAsk ask);
  /// @return false if nothing is known of it: the slot goes back unused
  bool OnGrant(const std::string& gate, AttemptId attempt);
  /// The attempt is over, granted or not.
  void Done(AttemptId attempt, const SlotResult& result);
  /// The gate that was asked for the attempt's slot last; empty if none was.
  std::string GateAsked(AttemptId attempt) const;

  /// An entry that may be a gate told of itself.
  void OnHeard(const std::string& entry, const std::vector<GateReport>& gates);
  /// A connection to it is up again: what was on the former one may be lost.
  void OnReconnected(const std::string& entry);
  /// Whether this entry has gates. If not, another has them where one is heard
  /// of.
  void set_hosts_gates(bool hosts) { hosts_gates_ = hosts; }
  /// The part of a core that the weakest entry with gates has.
  void set_weakest_host(double processor_share) {
    weakest_host_ = processor_share;
  }
  /// From now on another entry is the gate where there is one.
  void set_leaving() { leaving_ = true; }
  /// It is leaving or lost.
  void OnGone(const std::string& entry);
  /// Takes wishes away from gates that fell silent.
  void Tick();

 private:
  struct Pending {
    SlotAsk ask;
    std::string gate;
    bool granted = false;
  };
  struct Gate {
    TimePoint heard;
    std::vector<GateReport> reports;
  };

  SlotGroup ChooseGroup(const SlotAsk& ask);
  size_t ServersPerGate() const;
  std::string GateOf(const std::string& service, const SlotGroup& group) const;
  bool IsUp(const std::string& entry) const;
  void Send(Pending& pending);
  /// Asks again for what the gate has not granted; @return how many
  size_t AskAgain(const std::string& gate);

  Options options_;
  const ServerDirectory& directory_;
  const Clock& clock_;
  const EventLog& log_;
  Hooks hooks_;
  std::map<std::string, Gate> gates_;
  std::map<AttemptId, Pending> pending_;
  /// Asked of a group since its gate's last report.
  std::map<std::pair<uint64_t, SlotGroup>, int> asked_;
  uint32_t turn_ = 0;
  bool hosts_gates_ = true;
  double weakest_host_ = 0;
  bool leaving_ = false;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_SLOT_ROUTER_H_
