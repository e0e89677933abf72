#ifndef LAVENDERKEEL_MEMORY_BODY_MEMORY_H_
#define LAVENDERKEEL_MEMORY_BODY_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/memory/memory_budget.h"

namespace lavenderkeel {

/// Decision which request bodies may be read, and which ones yield.
///
/// The load it answers: many clients send large bodies at once, and some stop
/// before the end. The memory for a whole body is reserved before the body is
/// read, so that no two bodies wait for each other. A body for which there is
/// none waits unread, the most urgent and then the oldest first. It takes the
/// memory of bodies that have stalled, the longest stalled first, and is
/// refused when its wait is over. A part of the budget is left to small bodies,
/// so that they do not wait for large ones. The connections of bodies that wait
/// hold memory, too: large ones are refused early if it is needed for others,
/// the least urgent and then the newest first.
class BodyMemory {
 public:
  struct Options {
    /// Bodies up to this size are small.
    size_t small_bytes = size_t{64} << 10;
    /// Part of the budget that larger bodies may use together.
    double large_part = 0.75;
    /// A body has stalled if fewer bytes than this arrived within the time.
    size_t min_progress_bytes = size_t{32} << 10;
    Duration stall_time = std::chrono::seconds(1);
    /// A body waits this long for memory. Longer than the stall time, so that
    /// stalled bodies do not make others fail.
    Duration max_wait = std::chrono::seconds(2);
    /// Asks for memory of complete requests that are less urgent than the rank
    /// and did not run; empty: none.
    std::function<void(int rank, size_t bytes)> reclaim = {};
  };
  using BodyId = uint64_t;

  /// How the wait or the reading of a body ends early.
  enum class End {
    /// No memory became free in time.
    kWaitOver,
    /// The body stalled and another one needs its memory.
    kStalled,
    /// The budget is smaller than the body.
    kTooLarge,
  };
  /// None of the hooks may release other bodies before it returns.
  struct Hooks {
    /// The memory is reserved.
    std::function<void()> on_granted;
    /// The body is to be refused; its memory is free again.
    std::function<void(End)> on_ended;
  };

  BodyMemory(Options options, MemoryBudget& budget, const Clock& clock);

  struct Reservation {
    BodyId body = 0;
    /// Whether the memory is reserved at once.
    bool granted = false;

    friend bool operator==(const Reservation&, const Reservation&) = default;
  };
  /// Requests memory for a body. If it is not granted at once, a hook follows
  /// from Process(), unless the body is released.
  /// @param rank 0 is the most urgent
  Reservation Request(size_t bytes, int rank, Hooks hooks);
  /// Requests more memory for a body that is larger than it seemed; it has to
  /// wait unread until on_granted.
  /// @return whether the memory is reserved at once
  bool Extend(BodyId body, size_t bytes);
  /// Records the size of what was read.
  void OnProgress(BodyId body, size_t total_bytes);
  /// Ends a body. Unknown ids are ignored.
  void Release(BodyId body);

  /// Grants and refuses bodies that wait. To be called after memory was
  /// released, and regularly.
  void Process();
  /// Ends bodies while the budget is exceeded: those that have stalled, then
  /// large ones that wait.
  void Reclaim();

  MemoryBudget& budget() { return budget_; }
  const MemoryBudget& budget() const { return budget_; }
  size_t waiting() const { return waiting_.size(); }
  /// Memory reserved for bodies that are being read.
  size_t reserved() const { return reserved_; }

 private:
  struct Body {
    int rank = 0;
    Hooks hooks;
    /// What the body has and, while it waits, what it needs.
    MemoryCharge charge;
    size_t needed = 0;
    TimePoint waiting_since;
    /// Size up to which progress was counted, and when.
    size_t counted_bytes = 0;
    TimePoint progressed_at;
  };
  using Order = std::pair<int, BodyId>;

  bool IsLarge(size_t bytes) const { return bytes > options_.small_bytes; }
  /// Returns whether the budget has room for a body in place of what it has.
  bool Fits(size_t bytes, size_t held) const;
  void Grant(BodyId id, Body& body);
  /// Grants the body, if need be with the memory of others.
  bool TryGrant(BodyId id, Body& body);
  /// Ends bodies that have stalled until there is room.
  void EndStalled(size_t bytes, size_t held);
  /// Ends large bodies that wait until there is room.
  void EndWaiting(size_t bytes, size_t held);
  void EndBody(BodyId id, End end);
  void Forget(BodyId id, Body& body);

  Options options_;
  MemoryBudget& budget_;
  const Clock& clock_;
  BodyId last_ = 0;
  size_t reserved_ = 0;
  size_t large_ = 0;
  std::map<BodyId, Body> bodies_;
  /// Bodies without the memory that they need.
  std::set<Order> waiting_;
  /// Bodies that are being read, by their last progress.
  std::set<std::pair<TimePoint, BodyId>> reading_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_MEMORY_BODY_MEMORY_H_
