#ifndef LAVENDERKEEL_CLAIM_KEY_REGISTER_H_
#define LAVENDERKEEL_CLAIM_KEY_REGISTER_H_

#include <deque>
#include <functional>
#include <random>
#include <string>
#include <utility>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/event_log.h"
#include "lavenderkeel/base/peer_id.h"
#include "lavenderkeel/base/request_key.h"
#include "lavenderkeel/platform.h"

namespace lavenderkeel {

/// Has the platform decide which entry gets a key, where the holders can't: one
/// object a key, created by the first that asks and by nobody after it.
///
/// Failure: a holder is silent and can't be told from one that is gone. Symptom
/// without the register: new keys are answered "unknown" for as long as claims
/// are kept; with a guess instead, both sides of a cut start the key. The
/// platform creates an object once, whoever asks and from which side.
class KeyRegister {
 public:
  struct Options {
    /// Keys waiting for the platform at a time; those beyond are undecided. The
    /// platform's rate of writes is for configuration first.
    size_t most_open = 100;
    /// After a call that failed, keys are undecided at once for so long: a
    /// caller gains nothing by waiting for a platform that is away.
    Duration pause_after_failure = std::chrono::seconds(1);
    /// How long an object is kept; beyond the retention of claims, after which
    /// no entry vouches for the key.
    Duration retention = std::chrono::minutes(12);
    /// Between two looks for objects past the retention.
    Duration sweep_period = std::chrono::minutes(5);
  };

  enum class Decision {
    kOurs,
    /// Another entry has it.
    kTaken,
    /// The platform did not say, or was not asked.
    kUndecided,
  };
  using Done = std::function<void(const RequestKey&, Decision)>;

  KeyRegister(Options options,
              const PeerId& self,
              const Clock& clock,
              std::mt19937_64& random,
              const EventLog& log,
              PlatformPort& port);

  /// @param done called once, from within if the platform is not asked
  void Decide(const RequestKey& key, Done done);
  /// Deletes objects past the retention, a few at a time.
  void Tick();

 private:
  struct Garbage {
    std::string object;
    std::string version;
  };

  void OnCreated(const RequestKey& key,
                 TimePoint asked,
                 const PlatformReply& reply,
                 const Done& done);
  /// The object is there already, perhaps by a call of ours whose answer was
  /// lost.
  void ReadOwner(const RequestKey& key, TimePoint asked, Done done);
  void Finish(const RequestKey& key,
              TimePoint asked,
              Decision decision,
              const Done& done);
  void Tell(LogLevel level,
            const RequestKey& key,
            TimePoint asked,
            Decision decision,
            const Done& done) const;
  std::string Body() const;
  void Sweep();
  void OnList(const PlatformReply& reply);

  Options options_;
  const PeerId& self_;
  const Clock& clock_;
  std::mt19937_64& random_;
  const EventLog& log_;
  PlatformPort& port_;
  size_t open_ = 0;
  TimePoint paused_until_;
  TimePoint next_sweep_;
  std::deque<Garbage> garbage_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CLAIM_KEY_REGISTER_H_
