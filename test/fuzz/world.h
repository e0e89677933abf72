#ifndef LAVENDERKEEL_TEST_FUZZ_WORLD_H_
#define LAVENDERKEEL_TEST_FUZZ_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "lavenderkeel/dispatch.h"
#include "lavenderkeel/gate.h"
#include "test/fakes/engine_core.h"
#include "test/fakes/platform_core.h"
#include "test/fuzz/oracle.h"
#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel::fuzz {

/// A few entries and agents with an engine each and one platform, stepped under
/// a virtual clock: the very components of the daemons between delayed
/// messages, silent links, deaths and freezes.
class World {
 public:
  struct Options {
    size_t entries = 3;
    size_t agents = 3;
    uint64_t seed = 1;
    /// Waited by callers with a deadline.
    EntryNode::Options entry;
    AgentNode::Options agent;
    /// Gets each line that a process logs, with the time and its name before
    /// it.
    std::function<void(const std::string& line)> log;
  };

  explicit World(Options options);
  ~World();

  // What a test brings about.
  void RunFor(Duration duration);
  /// @return true once the condition holds, false after `most`
  bool RunUntil(const std::function<bool()>& condition, Duration most);
  CallerId Submit(size_t entry,
                  const std::string& key,
                  const std::string& word,
                  bool repeatable,
                  uint32_t tokens,
                  std::optional<int64_t> deadline_ms = std::nullopt);
  CallerId Read(size_t entry, const std::string& key, const std::string& word);
  void Delete(size_t entry, const std::string& key);
  std::string NewKey();
  /// @return the caller whose reply says how the change went
  CallerId Apply(size_t entry, const std::string& marker);
  CallerId UsePreset(size_t entry, const std::string& preset);
  void Kill(size_t process, bool silently);
  void Restart(size_t process);
  void Freeze(size_t process, Duration duration);
  void Leave(size_t process);
  /// Every open connection between the two goes silent; new ones work.
  void SilenceLinks(size_t a, size_t b);
  /// No connection between the two until healed.
  void Partition(size_t a, size_t b);
  void Heal();
  void BreakServerStreams(size_t agent, bool silently);
  /// Engines end soon after they start a prompt that begins with this word.
  void SetDeadly(const std::string& word) { deadly_.insert(word); }
  /// The engine ends, forgets its streams and starts again after that time.
  void CrashEngine(size_t agent, Duration down);
  /// When engines ended, in order.
  const std::vector<TimePoint>& engine_ends() const { return engine_ends_; }

  size_t entries() const { return options_.entries; }
  size_t processes() const { return processes_.size(); }
  bool alive(size_t process) const;
  EntryNode* entry(size_t index);
  AgentNode* agent(size_t index);
  fakes::EngineCore& engine(size_t agent);
  fakes::PlatformCore& platform() { return platform_; }
  void set_platform_delay(Duration delay) { platform_delay_ = delay; }
  Oracle& oracle() { return oracle_; }
  VirtualClock& clock() { return clock_; }
  /// What an operator was told: accepted (200), or the status.
  /// Bytes and messages that a process has sent to its peers.
  uint64_t bytes_sent(size_t process) const;
  uint64_t messages_sent(size_t process) const;
  /// Calls made on the platform; a waiting watch is one.
  uint64_t platform_calls() const { return platform_calls_; }
  const std::map<CallerId, int>& operator_replies() const {
    return operator_replies_;
  }

 private:
  struct Process;
  struct WorldLink;
  struct EngineStream;

  void At(TimePoint when, std::function<void()> task);
  /// Runs in a process unless it died; waits while it is frozen.
  void In(size_t process, TimePoint when, std::function<void()> task);
  void TickAll();
  void Settle(size_t process);
  void Carry(size_t process, SendMessage& send);
  void Carry(size_t process, const Dial& dial);
  void Carry(size_t process, const PlatformCall& call, TimePoint watch_until);
  void CarryServer(size_t process, const Action& action);
  void CloseLinkFrom(size_t process, LinkId link);
  EventLog LogOf(size_t process);
  /// What the process would say of itself now.
  InstanceInfo Greeting(size_t index) const;
  void LinkUp(size_t from, size_t to, const std::string& address);
  void FeedStreams(size_t process);
  void ReplyToPlatformCall(size_t process,
                           PlatformCallId call,
                           const PlatformReply& reply);
  void CheckVersions(size_t process);
  void MakeEngine(size_t agent);
  void TellServerEnd(size_t process, RunId run, ServerEnd end);
  Duration Delay();
  CallerRequest MakeRequest(const std::string& key) const;
  CallerId SendOperator(size_t entry, CallerRequest request);

  Options options_;
  VirtualClock clock_;
  std::mt19937_64 random_;
  Oracle oracle_;
  fakes::PlatformCore platform_;
  Duration platform_delay_ = std::chrono::milliseconds(5);
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<std::unique_ptr<fakes::EngineCore>> engines_;
  std::vector<TimePoint> engine_up_at_;
  std::vector<TimePoint> engine_ends_;
  std::set<std::string> deadly_;
  std::map<LinkId, std::unique_ptr<WorldLink>> links_;
  std::set<std::pair<size_t, size_t>> partitions_;
  std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> queue_;
  uint64_t last_event_ = 0;
  LinkId last_link_ = 0;
  CallerId last_caller_ = 0;
  uint64_t last_incarnation_ = 0;
  TimePoint next_tick_;
  uint64_t platform_calls_ = 0;
  std::map<CallerId, size_t> caller_at_;
  std::map<CallerId, int> operator_replies_;
};

}  // namespace lavenderkeel::fuzz

#endif  // LAVENDERKEEL_TEST_FUZZ_WORLD_H_
