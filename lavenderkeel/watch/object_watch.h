#ifndef LAVENDERKEEL_WATCH_OBJECT_WATCH_H_
#define LAVENDERKEEL_WATCH_OBJECT_WATCH_H_

#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/event_log.h"
#include "lavenderkeel/membership/backoff.h"

namespace lavenderkeel {

/// Object in the platform's store.
struct StoredObject {
  std::string name;
  uint64_t revision = 0;
  bool removed = false;
  /// Set by the writer of the object, as JSON text.
  std::string content;
  /// Set by those who act on the object, as JSON text; empty if not set.
  std::string status = {};
  /// The revision at which the object was created.
  uint64_t created = 0;

  friend bool operator==(const StoredObject&, const StoredObject&) = default;
};

/// Read requested by an ObjectWatch.
struct ObjectRead {
  enum class Kind {
    /// A page of all objects, those after `after_name`.
    kList,
    /// Changes after `revision`, waiting up to `wait` for one.
    kWatch,
  };

  Kind kind = Kind::kList;
  std::string object_kind;
  std::string after_name;
  uint64_t revision = 0;
  Duration wait{};
  /// Without an answer within this time the connection counts as unresponsive.
  Duration timeout{};

  friend bool operator==(const ObjectRead&, const ObjectRead&) = default;
};

struct ObjectReadResult {
  enum class Outcome {
    kOk,
    /// The requested changes are no longer kept.
    kHistoryGone,
    /// The store refused the read, for now.
    kRefused,
    kNoAnswer,
    /// The answer exceeded the limit and was not read to its end.
    kTooLarge,
  };

  Outcome outcome = Outcome::kNoAnswer;
  std::vector<StoredObject> objects;
  /// Number of objects of which not even the metadata can be read. One whose
  /// name can be read is still among the objects, without content.
  size_t unreadable = 0;
  /// Describes the first of these.
  std::string first_fault = {};
  /// The name after which the next page of a list begins: the last that can be
  /// read, even if others follow; only on a page without such a name the bytes
  /// of the last one, which a store need not understand.
  std::string last_name = {};
  /// Further pages of the list follow.
  bool more = false;
  /// The store's revision as of this answer.
  uint64_t revision = 0;

  friend bool operator==(const ObjectReadResult&,
                         const ObjectReadResult&) = default;
};

/// Watch on all objects of one kind: lists them, then watches for changes, and
/// lists again whenever changes may have been missed. Performs no I/O itself.
class ObjectWatch {
 public:
  struct Options {
    std::string object_kind;
    /// How long the store may hold a watch. A watch on an unresponsive
    /// connection is noticed only this long (and the grace) after the last
    /// answer, unless others report a change first, and each answer costs a
    /// call.
    Duration wait = std::chrono::milliseconds(2000);
    /// Beyond the wait, for the network and a slow store.
    Duration grace = std::chrono::milliseconds(800);
    /// Sixty times the usual answer time of the store; a longer one means that
    /// the store is unavailable, and the next attempt may find it available
    /// again.
    Duration list_timeout = std::chrono::milliseconds(700);
    /// After changes the next watch waits this long, so that a burst of them (a
    /// release, the servers of a start) costs one call rather than one for
    /// each. An eighth of the time in which a change has to be in force.
    Duration batch_delay = std::chrono::milliseconds(250);
    /// A change that others report and this watch has not received is read
    /// after this time: a watch that only delays to batch changes has received
    /// it by then.
    Duration peer_report_delay = std::chrono::milliseconds(600);
    /// After an answer at most this old there is nothing to confirm.
    Duration max_fresh_age = std::chrono::milliseconds(500);
    Backoff::Options retry = {.initial = std::chrono::milliseconds(100),
                              .max = std::chrono::milliseconds(500)};
  };

  struct Hooks {
    /// Performs the read; the answer is passed to OnResult with the same
    /// number.
    std::function<void(uint64_t call, const ObjectRead&)> read;
    /// All objects, after which only changes are reported.
    std::function<void(const std::vector<StoredObject>&)> on_list;
    std::function<void(const StoredObject&)> on_change;
    /// The store does not answer; what was reported last may be out of date.
    std::function<void()> on_outage;
    /// The store answers again; called before the list or changes that the
    /// answer brings.
    std::function<void()> on_recovery;
  };

  ObjectWatch(Options options,
              Hooks hooks,
              const Clock& clock,
              std::mt19937_64& random,
              const EventLog& log);

  void Start();
  /// Reads everything again, as after a freeze; a pending answer is ignored.
  void Restart();
  void OnResult(uint64_t call, const ObjectReadResult& result);
  void Tick();

  /// Handles a report that a peer has seen a change of this revision.
  void OnPeerRevision(uint64_t revision);
  /// Asks the store now instead of waiting on: the watch may wait on an
  /// unresponsive connection. Does nothing after a recent answer.
  void Confirm();
  /// Sets the wait of the watches from now on.
  void set_wait(Duration wait) { options_.wait = wait; }
  /// While paused, sends no reads to the store, since a peer supplies the
  /// changes; see OnPeerUpdate. Continues from the latest revision supplied. A
  /// list that is being read is completed first.
  void SetPaused(bool paused);
  /// Handles that a peer has supplied all changes up to the revision.
  void OnPeerUpdate(uint64_t revision);

  uint64_t revision() const { return revision_; }
  /// Revision of the latest change received.
  uint64_t last_change() const { return last_change_; }
  /// Time of the store's last answer.
  TimePoint answered_at() const { return answered_at_; }
  /// Returns true if the store failed to answer more than once in a row: a
  /// single watch may be cut off.
  bool lost() const { return failures_ > 1; }
  uint64_t calls() const { return last_call_; }

 private:
  bool outage() const { return failures_ > 0; }
  void List(const std::string& after_name);
  void Watch();
  void WatchWithin(Duration wait);
  void Read(ObjectRead read);
  void OnListed(const ObjectReadResult& result);
  void OnChanges(const ObjectReadResult& result);
  void RetryLater(const char* why);
  void RecordAnswer();

  Options options_;
  Hooks hooks_;
  const Clock& clock_;
  std::mt19937_64& random_;
  const EventLog& log_;
  Backoff backoff_;
  uint64_t last_call_ = 0;
  /// The call whose answer counts; zero while waiting for a retry.
  uint64_t pending_call_ = 0;
  ObjectRead::Kind pending_kind_ = ObjectRead::Kind::kList;
  TimePoint retry_at_;
  bool must_list_ = true;
  bool paused_ = false;
  /// Consecutive reads without a result.
  int failures_ = 0;
  TimePoint answered_at_;
  uint64_t revision_ = 0;
  uint64_t last_change_ = 0;
  /// Latest revision reported by others, and since when.
  uint64_t reported_revision_ = 0;
  TimePoint reported_at_;
  std::vector<StoredObject> listed_;
  /// The names after which the pages of the list begin that were read so far;
  /// empty for the first.
  std::set<std::string> pages_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_WATCH_OBJECT_WATCH_H_
