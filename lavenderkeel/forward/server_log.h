#ifndef LAVENDERKEEL_FORWARD_SERVER_LOG_H_
#define LAVENDERKEEL_FORWARD_SERVER_LOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/watch/object_watch.h"

namespace lavenderkeel {

/// Objects as the store has them: all, or those that changed after a revision.
struct ObjectDelta {
  bool complete = false;
  /// Of the latest change that it shows.
  uint64_t revision = 0;
  std::vector<StoredObject> objects;

  friend bool operator==(const ObjectDelta&, const ObjectDelta&) = default;
};

/// The list of servers as this entry read it from the store, kept so that it
/// can be passed on.
///
/// Load it answers: a release of 75 servers one after the other, each change of
/// which every entry read from the store: 8,600 calls a day with 103 entries,
/// 0.05 of all that their requests are worth. Coordinators read, and tell the
/// others.
class ServerLog {
 public:
  struct Options {
    /// How long a removal is remembered. Entries report ten times a second; one
    /// that was cut off for longer gets the whole list.
    Duration keep_removed = std::chrono::seconds(20);
  };

  ServerLog() = default;
  explicit ServerLog(Options options) : options_(options) {}

  void OnList(const std::vector<StoredObject>& objects);
  void OnChange(const StoredObject& object, TimePoint now);
  /// Forgets removals that are old.
  void Tick(TimePoint now);

  /// What changed after the revision; everything if that is not known any more.
  ObjectDelta Since(uint64_t revision) const;
  uint64_t revision() const { return revision_; }

 private:
  struct Entry {
    StoredObject object;
    TimePoint removed_at;
  };

  Options options_;
  std::map<std::string, Entry> entries_;
  uint64_t revision_ = 0;
  /// Removals after this revision are all known.
  uint64_t removals_since_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_SERVER_LOG_H_
