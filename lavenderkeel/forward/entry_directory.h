#ifndef LAVENDERKEEL_FORWARD_ENTRY_DIRECTORY_H_
#define LAVENDERKEEL_FORWARD_ENTRY_DIRECTORY_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/membership/coordinators.h"
#include "lavenderkeel/membership/instance_info.h"

namespace lavenderkeel {

/// The entries of the fleet that this entry knows from connections or from
/// lists of others.
///
/// If each of 103 entries sends the complete list to each other every second,
/// two thirds of their processor time go into reading unchanged lists, and
/// slots are granted late. So a new entry is announced once, by an entry that
/// connects to it before a list names it, and complete lists go to one entry at
/// a time; the complete lists make up for lost announcements and show which
/// entries are gone.
class EntryDirectory {
 public:
  struct Options {
    /// An entry that was in no list for this time is forgotten. Complete lists
    /// reach each entry about once a second.
    Duration forget_after = std::chrono::seconds(10);
    CoordinatorRules coordinators;
  };

  EntryDirectory(Options options, InstanceInfo self);

  /// Records a connection; an entry not known before is announced.
  /// @return whether it is the first connection to the entry, or the entry was
  ///     unavailable
  bool OnConnected(const InstanceInfo& info, TimePoint now);
  /// Records entries that another entry listed.
  /// @param complete whether it is the complete list of the sender
  /// @return whether an entry is new or forgotten
  bool OnListed(const std::vector<InstanceInfo>& listed,
                bool complete,
                TimePoint now);
  /// Handles an entry that does not answer or is leaving. Such an entry is no
  /// coordinator until it connects again or a new incarnation is listed.
  void OnUnavailable(const PeerId& peer);

  /// Returns the entries that connected since the last call and that no list
  /// had named before.
  std::vector<InstanceInfo> TakeNewEntries();
  /// Returns all known entries except this one, with unavailable entries: these
  /// are dialled until they are forgotten.
  std::vector<InstanceInfo> Others() const {
    return ListOthers(/*include_unavailable=*/true);
  }
  /// Returns the other entries without the unavailable ones.
  std::vector<InstanceInfo> AvailableOthers() const {
    return ListOthers(/*include_unavailable=*/false);
  }
  /// Returns the number of other available entries with a higher rendezvous
  /// weight for the key.
  size_t RankFor(uint64_t key) const;
  /// Returns the number of known entries, including this one.
  size_t size() const { return entries_.size() + 1; }

  const std::set<std::string>& coordinators() const { return coordinators_; }
  bool IsCoordinator(const std::string& instance) const {
    return coordinators_.contains(instance);
  }
  /// Returns the smallest processor share of a coordinator, in cores.
  double min_coordinator_share() const { return min_coordinator_share_; }
  bool self_coordinates() const { return IsCoordinator(self_.id.instance); }

 private:
  struct KnownEntry {
    InstanceInfo info;
    TimePoint last_listed;
    bool connected = false;
    bool unavailable = false;
  };

  /// @return whether the entry or its incarnation is new
  bool Update(const InstanceInfo& info, TimePoint now);
  std::vector<InstanceInfo> ListOthers(bool include_unavailable) const;
  void UpdateCoordinators();

  Options options_;
  InstanceInfo self_;
  std::map<std::string, KnownEntry> entries_;
  std::vector<InstanceInfo> new_entries_;
  std::set<std::string> coordinators_;
  double min_coordinator_share_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_ENTRY_DIRECTORY_H_
