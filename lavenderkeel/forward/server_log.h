#ifndef LAVENDERKEEL_FORWARD_SERVER_LOG_H_
#define LAVENDERKEEL_FORWARD_SERVER_LOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/watch/object_watch.h"

namespace lavenderkeel {

/// Objects of the store: all of them, or those that changed after a revision.
struct ObjectDelta {
  bool complete = false;
  /// Revision of the latest change that is included.
  uint64_t revision = 0;
  std::vector<StoredObject> objects;

  friend bool operator==(const ObjectDelta&, const ObjectDelta&) = default;
};

/// The list of servers as read from the store, kept so that it can be sent to
/// other entries.
///
/// In a release of 75 servers one after the other, 103 entries that each read
/// every change from the store make 8,600 store calls a day, which costs 0.05
/// of the value of all requests. Therefore only coordinators read the store;
/// they send the changes to the other entries.
class ServerLog {
 public:
  struct Options {
    /// How long a removal is kept. Entries report ten times per second; an
    /// entry that was disconnected for longer receives the complete list.
    Duration removal_retention = std::chrono::seconds(20);
  };

  ServerLog() = default;
  explicit ServerLog(Options options) : options_(options) {}

  void OnList(const std::vector<StoredObject>& objects);
  void OnChange(const StoredObject& object, TimePoint now);
  /// Drops expired removals.
  void Tick(TimePoint now);

  /// Returns the changes after the revision, or all objects if the removals
  /// since then are no longer known.
  ObjectDelta ChangesSince(uint64_t revision) const;
  uint64_t revision() const { return revision_; }

 private:
  struct LoggedObject {
    StoredObject object;
    TimePoint removed_at;
  };

  Options options_;
  std::map<std::string, LoggedObject> objects_;
  uint64_t revision_ = 0;
  /// All removals after this revision are known.
  uint64_t removals_known_after_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_SERVER_LOG_H_
