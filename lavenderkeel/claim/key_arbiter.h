#ifndef LAVENDERKEEL_CLAIM_KEY_ARBITER_H_
#define LAVENDERKEEL_CLAIM_KEY_ARBITER_H_

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

/// Arbiter of keys whose holders cannot decide which entry owns them. The owner
/// is the entry that creates the key's object at the platform, which accepts
/// only the first creation.
///
/// A holder that is cut off cannot be distinguished from one that has crashed.
/// Without the platform, new keys of such a holder would be answered "unknown"
/// for as long as claims are kept; if the entries guessed, those on both sides
/// of a partition would start the request. The platform creates an object only
/// once, whichever entry asks and from whichever side.
class KeyArbiter {
 public:
  struct Options {
    /// Limit on keys that wait for the platform at a time; keys beyond it are
    /// undecided. Configuration changes come first in the platform's limited
    /// write rate.
    size_t max_pending_keys = 100;
    /// Time after a failed call in which keys are undecided without a call: a
    /// caller gains nothing by waiting for an unavailable platform.
    Duration pause_after_failure = std::chrono::seconds(1);
    /// How long an object is kept; longer than the retention time of claims,
    /// after which no entry vouches for the key.
    Duration retention = std::chrono::minutes(12);
    /// Interval between two searches for expired objects.
    Duration sweep_period = std::chrono::minutes(5);
  };

  enum class Decision {
    kGranted,
    /// Another entry owns the key.
    kTaken,
    /// The platform did not answer or was not asked.
    kUndecided,
  };
  using Done = std::function<void(const RequestKey&, Decision)>;

  KeyArbiter(Options options,
             const PeerId& self,
             const Clock& clock,
             std::mt19937_64& random,
             const EventLog& log,
             PlatformPort& port);

  /// @param done called once, before Decide returns if the platform is not
  ///     asked
  void Decide(const RequestKey& key, Done done);
  /// Searches for expired objects periodically and deletes one per call.
  void Tick();

 private:
  struct ExpiredObject {
    std::string object;
    std::string version;
  };

  void OnCreated(const RequestKey& key,
                 TimePoint requested_at,
                 const PlatformReply& reply,
                 const Done& done);
  /// Reads the owner of an object that exists already, perhaps created by an
  /// earlier call of this entry whose answer was lost.
  void ReadOwner(const RequestKey& key, TimePoint requested_at, Done done);
  void Finish(const RequestKey& key,
              TimePoint requested_at,
              Decision decision,
              const Done& done);
  void ReportDecision(LogLevel level,
                      const RequestKey& key,
                      TimePoint requested_at,
                      Decision decision,
                      const Done& done) const;
  std::string OwnerJson() const;
  void Sweep();
  void OnList(const PlatformReply& reply);

  Options options_;
  const PeerId& self_;
  const Clock& clock_;
  std::mt19937_64& random_;
  const EventLog& log_;
  PlatformPort& port_;
  size_t pending_keys_ = 0;
  TimePoint paused_until_;
  TimePoint next_sweep_at_;
  std::deque<ExpiredObject> expired_objects_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CLAIM_KEY_ARBITER_H_
