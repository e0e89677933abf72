#ifndef LAVENDERKEEL_FORWARD_ENTRY_ROSTER_H_
#define LAVENDERKEEL_FORWARD_ENTRY_ROSTER_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/membership/coordinators.h"
#include "lavenderkeel/membership/instance_info.h"

namespace lavenderkeel {

/// The entries of the fleet that this one knows of, met or told of.
///
/// Failure: each entry sends each other the whole list every second. Symptom:
/// with 103 entries two thirds of their processor time go into reading lists
/// that say nothing new, and slots are granted late. So news is told once, by
/// whoever met the newcomer, and whole lists go to one entry at a time; they
/// bring back what was lost on the way and show who is gone.
class EntryRoster {
 public:
  struct Options {
    /// An entry that no whole list named for this time is gone. Lists reach
    /// each entry about once a second.
    Duration forget_after = std::chrono::seconds(10);
    CoordinatorRules coordinators;
  };

  EntryRoster(Options options, InstanceInfo self);

  /// A connection to it came up. It is news, to be told, if it was not known.
  /// @return whether this is the first one, or it was gone
  bool OnMet(const InstanceInfo& info, TimePoint now);
  /// Another entry told of these.
  /// @param complete the teller's whole list
  /// @return whether somebody is new or forgotten
  bool OnTold(const std::vector<InstanceInfo>& told,
              bool complete,
              TimePoint now);
  /// It does not answer or is leaving: it is no coordinator until it is met or
  /// told of again.
  void OnGone(const PeerId& peer);

  /// Those met since the last call whom nobody had told of.
  std::vector<InstanceInfo> TakeNews();
  /// Everyone known, without this entry. Those that are gone are dialled until
  /// they are forgotten.
  std::vector<InstanceInfo> Others() const { return List(/*with_gone=*/true); }
  /// The same without those that are gone.
  std::vector<InstanceInfo> OthersThere() const {
    return List(/*with_gone=*/false);
  }
  /// How many others that are there weigh more than this entry for a key.
  size_t RankFor(uint64_t key) const;
  /// This entry included.
  size_t size() const { return entries_.size() + 1; }

  const std::set<std::string>& coordinators() const { return coordinators_; }
  bool IsCoordinator(const std::string& instance) const {
    return coordinators_.contains(instance);
  }
  /// The least part of a core that a coordinator has.
  double weakest_coordinator() const { return weakest_coordinator_; }
  bool self_coordinates() const { return IsCoordinator(self_.id.instance); }

 private:
  struct Known {
    InstanceInfo info;
    TimePoint told;
    bool met = false;
    bool gone = false;
  };

  /// @return whether it is a new entry or a new incarnation
  bool Note(const InstanceInfo& info, TimePoint now);
  std::vector<InstanceInfo> List(bool with_gone) const;
  void Choose();

  Options options_;
  InstanceInfo self_;
  std::map<std::string, Known> entries_;
  std::vector<InstanceInfo> news_;
  std::set<std::string> coordinators_;
  double weakest_coordinator_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_ENTRY_ROSTER_H_
