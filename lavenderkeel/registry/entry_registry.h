#ifndef LAVENDERKEEL_REGISTRY_ENTRY_REGISTRY_H_
#define LAVENDERKEEL_REGISTRY_ENTRY_REGISTRY_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/event_log.h"
#include "lavenderkeel/registry/registered_entry.h"
#include "lavenderkeel/registry/share_state.h"

namespace lavenderkeel {

/// One entry's view of the registry of entries, and the share of what all
/// entries share that this entry may use.
///
/// All entries that may be running have equal shares: those that are cut off,
/// frozen or down keep theirs. A share can be used without asking anybody:
///  - An entry that starts finds the others in the store, not by whom it can
///    reach.
///  - A new entry waits until every registered entry counts one entry more, and
///    until what these used of their larger shares has left the window.
///  - A process that starts uses the share at a rate that what its predecessor
///    used leaves room for, see ExtraRetries.
///  - An entry that nobody hears of is removed only after an announcement in
///    the registry, which it either reads and withdraws, or cannot read; then
///    it stops using its share, as for any entry that has not read the registry
///    for the lease time.
class EntryRegistry {
 public:
  struct Options {
    /// The time for which the use of a share counts.
    Duration window = std::chrono::milliseconds(10'500);
    /// An entry that has not read the registry for this time does not use its
    /// share.
    Duration lease = std::chrono::minutes(5);
    /// The removal of an entry is announced after nobody has heard of it for
    /// this time, and carried out after the lease and the window.
    Duration forget_after = std::chrono::minutes(10);
    /// A process uses no share before this time after its start. The entries of
    /// a fleet that starts register within it; one that used a share before it
    /// counted them would keep them waiting for a window.
    Duration join_time = std::chrono::milliseconds(1500);
    /// Time between two writes.
    Duration write_interval = std::chrono::seconds(1);
  };

  /// Performs a write; the outcome shows in what is read.
  using Write = std::function<void(const RegistryWrite&)>;

  EntryRegistry(const Options& options,
                std::string self,
                const Clock& clock,
                const EventLog& log,
                Write write);

  /// Handles the complete registry as read from the store.
  void OnList(const std::vector<RegisteredEntry>& entries);
  /// Handles the complete registry as another entry knows it, which may not be
  /// the latest.
  void OnPeerList(const std::vector<RegisteredEntry>& entries);
  void OnChange(const RegisteredEntry& entry);
  void OnRemoved(const std::string& name);
  /// Records what was read last: the latest change, and a time before the read
  /// was requested.
  void OnRead(uint64_t last_change, TimePoint requested_at);

  /// Records the basis of another entry, see Basis().
  void OnPeerBasis(const std::string& name, uint64_t change);
  void OnPeerLost(const std::string& name) { peer_bases_.erase(name); }
  /// Returns whether the entry reported its basis.
  bool HasPeer(const std::string& name) const {
    return peer_bases_.contains(name);
  }
  /// Records that another entry was connected or listed just now.
  void OnHeard(const std::string& name);
  /// Records that all registered entries count those of the change.
  void OnCountedByAll(uint64_t change);

  /// Returns the latest change such that this entry has counted the entries of
  /// it in all use of its share within the window; zero if that is not known.
  uint64_t Basis() const;
  /// Returns a change that all registered entries have counted; zero if some
  /// have not reported their basis.
  uint64_t CountedByAll() const;

  /// After a suspension the clock may have stopped, so that nothing is known of
  /// the age of the last read.
  void OnFreeze() { requested_at_.reset(); }

  /// Writes what is due.
  /// @param may_remove whether this entry is the one to remove entries
  void Tick(bool may_remove);

  uint64_t last_change() const { return last_change_; }
  /// Returns a time before the last read was requested, here or by the entry
  /// that passed it on; nothing if that is not known.
  std::optional<TimePoint> requested_at() const { return requested_at_; }
  std::vector<RegisteredEntry> Entries() const;
  size_t size() const { return entries_.size(); }
  ShareState Share() const;

 private:
  struct Peer {
    RegisteredEntry entry;
    /// When it was last heard of, or this process started.
    TimePoint heard_at;
    /// When its state was first read.
    TimePoint state_since;
  };

  /// A change by which the share was used, and when that has left the window.
  struct FormerBasis {
    uint64_t change = 0;
    TimePoint counts_until;
  };

  void UpdateSettled();
  void WriteAbout(const Peer& peer);
  void WriteAboutSelf();
  /// Does nothing if the last write was too recent.
  void WriteOnce(const RegistryWrite& write);

  Options options_;
  std::string self_;
  const Clock& clock_;
  const EventLog& log_;
  Write write_;
  TimePoint started_at_;
  bool listed_ = false;
  bool has_predecessor_ = true;
  std::map<std::string, Peer> entries_;
  uint64_t last_change_ = 0;
  std::optional<TimePoint> requested_at_;
  /// The bases that other entries reported.
  std::map<std::string, uint64_t> peer_bases_;
  uint64_t counted_by_all_ = 0;
  /// Whether all others count this entry.
  bool settled_ = false;
  /// When what a former process may have used of another share has left the
  /// window.
  TimePoint basis_known_from_;
  /// Whether the share was usable since the last change.
  bool was_usable_ = false;
  std::deque<FormerBasis> former_bases_;
  TimePoint write_due_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_REGISTRY_ENTRY_REGISTRY_H_
