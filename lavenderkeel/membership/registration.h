#ifndef LAVENDERKEEL_MEMBERSHIP_REGISTRATION_H_
#define LAVENDERKEEL_MEMBERSHIP_REGISTRATION_H_

#include <functional>
#include <random>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/membership/instance_info.h"
#include "lavenderkeel/platform.h"

namespace lavenderkeel {

/// Registration of this process at the platform: keeps its own object up to
/// date, and reads the instance list periodically as a hint which instances to
/// dial.
class Registration {
 public:
  using OnInstances = std::function<void(const InstanceList&)>;

  struct Options {
    /// Interval between two reads of the list; each process adds its own
    /// jitter, so that the reads of a fleet spread evenly over the budget of
    /// the platform.
    Duration list_period = std::chrono::seconds(10);
    /// Shorter interval until the first list is read.
    Duration first_list_period = std::chrono::milliseconds(500);
    bool read_list = true;
  };

  Registration(Options options,
               const InstanceInfo& self,
               const Clock& clock,
               std::mt19937_64& random,
               PlatformPort& port,
               OnInstances on_instances);

  void Start();
  void Tick();
  /// Writes the state `leaving` into the registration.
  void Leave();
  /// Returns whether this process may have a predecessor: another of this
  /// instance that had registered.
  bool has_predecessor() const { return has_predecessor_; }
  /// Returns true if the instance list was read at least once.
  bool has_list() const { return has_list_; }

 private:
  void ReadList();

  Options options_;
  const InstanceInfo& self_;
  const Clock& clock_;
  std::mt19937_64& random_;
  PlatformPort& port_;
  OnInstances on_instances_;
  ConditionalUpdate update_;
  TimePoint next_list_;
  bool reading_ = false;
  bool has_list_ = false;
  bool read_ = false;
  bool has_predecessor_ = true;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_MEMBERSHIP_REGISTRATION_H_
