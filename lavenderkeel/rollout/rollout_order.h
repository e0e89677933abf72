#ifndef LAVENDERKEEL_ROLLOUT_ROLLOUT_ORDER_H_
#define LAVENDERKEEL_ROLLOUT_ROLLOUT_ORDER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/failure.h"

namespace lavenderkeel {

/// The state of a rollout as written to the store.
struct RolloutRecord {
  enum class State : uint8_t { kServing, kCompleted, kRolledBack };

  State state = State::kServing;
  /// The new version and the one that it replaces.
  std::string to;
  std::string from;
  /// Duration and creation revision of the order that the record belongs to;
  /// zero if its writer didn't set them.
  Duration duration{};
  uint64_t created = 0;
  /// When the order was first read.
  WallTime started;

  friend bool operator==(const RolloutRecord&, const RolloutRecord&) = default;
};

/// An operator's order to move a service's traffic to servers of a version.
struct RolloutOrder {
  /// Name of the object in the store, and the revisions of its last change and
  /// of its creation.
  std::string name;
  uint64_t revision = 0;
  uint64_t created = 0;
  std::string service;
  std::string to;
  /// The time within which the traffic must be moved.
  Duration duration{};
  std::optional<RolloutRecord> record;
  /// Why the order itself can't be read, if it was taken from its record.
  std::optional<Failure> fault = std::nullopt;

  /// Returns whether the record belongs to this order and not to an earlier one
  /// of the same name.
  bool answered() const {
    return record.has_value() && record->to == to &&
           (record->duration == Duration::zero() ||
            (record->duration == duration && record->created == created));
  }

  friend bool operator==(const RolloutOrder&, const RolloutOrder&) = default;
};

/// Returns a hash that identifies an order: equal at all entries, and before
/// and after its record changes.
uint64_t KeyOf(const RolloutOrder& order);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_ROLLOUT_ROLLOUT_ORDER_H_
