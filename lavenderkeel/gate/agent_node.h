#ifndef LAVENDERKEEL_GATE_AGENT_NODE_H_
#define LAVENDERKEEL_GATE_AGENT_NODE_H_

#include <random>
#include <string>
#include <vector>

#include "lavenderkeel/action.h"
#include "lavenderkeel/base.h"
#include "lavenderkeel/gate/gate_controller.h"
#include "lavenderkeel/membership.h"
#include "lavenderkeel/platform.h"

namespace lavenderkeel {

/// The decision logic of an agent process, without sockets.
///
/// The driver passes in events and then executes the actions in the outbox.
class AgentNode {
 public:
  struct Options {
    MemberTable::Options members;
    GateController::Options gate;
    Registration::Options registration = {.read_list = false};
    std::vector<std::string> seeds;
    /// What the backend server serves: "engine" or "service/NAME".
    std::string serves = "engine";
  };

  AgentNode(Options options,
            InstanceInfo self,
            const Clock& clock,
            uint64_t random_seed,
            const EventLog& log,
            Metrics& metrics);

  Outbox& outbox() { return outbox_; }
  GateController& gate() { return gate_; }
  MemberTable& members() { return members_; }

  /// @param address the peer address actually bound
  void Start(const std::string& address);
  void Tick();
  bool OnLinkUp(LinkId link,
                const InstanceInfo& peer,
                const std::string& dialed);
  void OnLinkDown(LinkId link);
  void OnDialFailed(const std::string& address);
  void OnMessage(LinkId link, Message message);
  void OnPlatformReply(PlatformCallId call, const PlatformReply& reply);

  /// Starts the graceful shutdown.
  void Leave();
  /// Returns true once the process can end without truncating an answer.
  bool CanExit() const;

  /// Returns the fencing number of this incarnation; 0 until the platform has
  /// assigned one.
  uint64_t fence() const { return fence_; }

 private:
  void CheckForFreeze();
  std::optional<std::string> NextFence(
      const std::optional<std::string>& current);

  Options options_;
  const Clock& clock_;
  const EventLog& log_;
  std::mt19937_64 random_;
  Outbox outbox_;
  PlatformPort platform_;
  MemberTable members_;
  GateController gate_;
  Registration registration_;
  ConditionalUpdate fence_update_;
  FreezeDetector freeze_detector_;
  uint64_t fence_ = 0;
  bool leaving_ = false;
  TimePoint left_at_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_GATE_AGENT_NODE_H_
