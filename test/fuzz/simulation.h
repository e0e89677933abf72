#ifndef LAVENDERKEEL_TEST_FUZZ_SIMULATION_H_
#define LAVENDERKEEL_TEST_FUZZ_SIMULATION_H_

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

/// Simulation of entries, agents with one engine each, and a platform, under a
/// virtual clock. Runs the components of the daemons and injects message
/// delays, stalled links, crashes and freezes.
class Simulation {
 public:
  struct Options {
    size_t entries = 3;
    size_t agents = 3;
    uint64_t seed = 1;
    /// Options of every entry and of every agent.
    EntryNode::Options entry;
    AgentNode::Options agent;
    /// The team's limit of running requests at an entry; zero for none.
    uint32_t team_running = 0;
    /// Called with each line that a process logs, prefixed with the time and
    /// the instance.
    std::function<void(const std::string& line)> log;
  };

  explicit Simulation(Options options);
  ~Simulation();

  // Actions and faults.
  void RunFor(Duration duration);
  /// @return true once the condition holds, false after `timeout`
  bool RunUntil(const std::function<bool()>& condition, Duration timeout);
  /// Submits a request through an entry.
  ///
  /// @param word the first word of the prompt, which identifies the request
  CallerId Submit(size_t entry,
                  const std::string& key,
                  const std::string& word,
                  bool repeatable,
                  uint32_t tokens,
                  std::optional<int64_t> deadline_ms = std::nullopt);
  /// Sends the head of a request whose body finds no memory at the entry.
  CallerId RefuseUnread(size_t entry,
                        const std::string& key,
                        const std::string& word,
                        bool repeatable,
                        uint32_t tokens);
  CallerId Read(size_t entry, const std::string& key, const std::string& word);
  void Delete(size_t entry, const std::string& key);
  std::string NewKey();
  /// Submits a configuration document.
  ///
  /// @param marker name of an additional model, which distinguishes documents
  /// @return the caller whose reply states whether the change was accepted
  CallerId Apply(size_t entry, const std::string& marker);
  CallerId UsePreset(size_t entry, const std::string& preset);
  /// Ends a process.
  ///
  /// @param silently whether the peers of the process get no notice that their
  ///     links have closed
  void Kill(size_t process, bool silently);
  void Restart(size_t process);
  void Freeze(size_t process, Duration duration);
  void Leave(size_t process);
  /// Stalls every open connection between the two processes, without an error
  /// at either end. New connections work.
  void StallLinks(size_t a, size_t b);
  /// Blocks all connections between the two processes until Heal().
  void Partition(size_t a, size_t b);
  /// Lists an instance with the value of that index that can't be read.
  void ListUnreadable(size_t index);
  void Heal();
  /// Stalls the streams from an agent's engine to the agent.
  ///
  /// @param silently whether the agent gets no notice that the streams have
  ///     ended
  void BreakServerStreams(size_t agent, bool silently);
  /// Makes every engine crash soon after it starts a prompt that begins with
  /// this word.
  void SetCrashing(const std::string& word) { crashing_words_.insert(word); }
  /// Makes every engine crash soon after it starts a prompt that contains this
  /// text.
  void SetCrashingText(const std::string& text) { crashing_text_ = text; }
  /// Appends a text to the prompts submitted from now on.
  void SetPromptText(const std::string& text) { prompt_text_ = text; }
  /// Crashes the engine, which loses its streams and restarts after `down`.
  void CrashEngine(size_t agent, Duration down);
  /// Makes the engine turn away what it has not started, with Retry-After.
  ///
  /// @param stated the value of Retry-After; without one, the time left
  void TurnAway(size_t agent,
                Duration duration,
                const std::optional<std::string>& stated = std::nullopt);
  /// The same, but the engine runs what it turns away.
  void TurnAwayFalsely(size_t agent, Duration duration);
  /// Makes events of the engine's streams unreadable for a while.
  void GarbleStreams(size_t agent, Duration duration);
  /// Number of starts that the engine has turned away.
  size_t turned_away(size_t agent) const { return turning_away_[agent].count; }
  /// Times of the engines' crashes, in ascending order.
  const std::vector<TimePoint>& engine_crash_times() const {
    return engine_crash_times_;
  }

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
  /// Bytes that a process has sent to its peers.
  uint64_t bytes_sent(size_t process) const;
  /// Messages that a process has sent to its peers.
  uint64_t messages_sent(size_t process) const;
  /// Number of calls to the platform; a waiting watch counts as one.
  uint64_t platform_calls() const { return platform_calls_; }
  /// HTTP status of each operator request: 200 if accepted, zero before the
  /// reply.
  const std::map<CallerId, int>& operator_replies() const {
    return operator_replies_;
  }

 private:
  struct Process;
  struct PeerLink;
  struct EngineStream;
  struct TurningAway {
    TimePoint until;
    std::optional<std::string> stated;
    bool falsely = false;
    size_t count = 0;
  };

  void Schedule(TimePoint when, std::function<void()> task);
  /// Schedules a task in a process. The task is dropped if the process ends
  /// first, and delayed while the process is frozen.
  void ScheduleIn(size_t process, TimePoint when, std::function<void()> task);
  void TickAll();
  void ExecuteActions(size_t process);
  void Execute(size_t process, SendMessage& send);
  void Execute(size_t process, const Dial& dial);
  void Execute(size_t process, const PlatformCall& call, TimePoint watch_until);
  void ExecuteServerAction(size_t process, const Action& action);
  /// @return the id of the request at the engine
  static std::string StartAtEngine(fakes::EngineCore& engine,
                                   const ServerStart& start);
  void CloseLinkFrom(size_t process, LinkId link);
  EventLog LogOf(size_t process);
  /// Handshake information that the process would send now.
  InstanceInfo HandshakeInfo(size_t index) const;
  void LinkUp(size_t from, size_t to, const std::string& address);
  void DeliverStreamEvents(size_t process);
  void ReplyToPlatformCall(size_t process,
                           PlatformCallId call,
                           const PlatformReply& reply);
  void CheckVersions(size_t process);
  void MakeEngine(size_t agent);
  void ScheduleServerDisconnect(size_t process,
                                RunId run,
                                ServerDisconnect disconnect);
  Duration Delay();
  CallerRequest MakeRequest(const std::string& key) const;
  CallerId SendOperatorRequest(size_t entry, CallerRequest request);

  Options options_;
  VirtualClock clock_;
  std::mt19937_64 random_;
  Oracle oracle_;
  fakes::PlatformCore platform_;
  Duration platform_delay_ = std::chrono::milliseconds(5);
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<std::unique_ptr<fakes::EngineCore>> engines_;
  std::vector<TimePoint> engine_up_at_;
  std::vector<TimePoint> engine_crash_times_;
  std::set<std::string> crashing_words_;
  std::string crashing_text_;
  std::string prompt_text_;
  std::vector<TurningAway> turning_away_;
  /// By agent.
  std::vector<TimePoint> garbled_until_;
  std::map<LinkId, std::unique_ptr<PeerLink>> links_;
  std::set<std::pair<size_t, size_t>> partitions_;
  std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> queue_;
  uint64_t last_event_ = 0;
  LinkId last_link_ = 0;
  CallerId last_caller_ = 0;
  uint64_t last_incarnation_ = 0;
  TimePoint next_tick_;
  uint64_t platform_calls_ = 0;
  std::map<CallerId, size_t> process_by_caller_;
  std::map<CallerId, int> operator_replies_;
};

}  // namespace lavenderkeel::fuzz

#endif  // LAVENDERKEEL_TEST_FUZZ_SIMULATION_H_
