#ifndef LAVENDERKEEL_ROLLOUT_ROLLOUT_CONTROLLER_H_
#define LAVENDERKEEL_ROLLOUT_ROLLOUT_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/event_log.h"
#include "lavenderkeel/rollout/rollout_order.h"
#include "lavenderkeel/rollout/rollout_plan.h"
#include "lavenderkeel/rollout/rollout_progress.h"
#include "lavenderkeel/rollout/service_versions.h"

namespace lavenderkeel {

/// The result of writing a rollout record.
struct RecordWrite {
  enum class Outcome {
    kDone,
    /// The object was changed by another writer first.
    kConflict,
    /// Not written, or unknown whether it was.
    kFailed,
  };

  Outcome outcome = Outcome::kFailed;
  /// Revision of the object after a successful write.
  uint64_t revision = 0;

  friend bool operator==(const RecordWrite&, const RecordWrite&) = default;
};

/// The controller that carries out the operators' orders to move services to
/// new versions.
///
/// Every entry that reads the orders advances the rollouts by the reports of
/// all entries; one entry decides and writes the records. Writes are
/// conditional on the revision that was read, so a write by a second entry that
/// also acts as the deciding one, or a write that the store applies late, has
/// no effect.
class RolloutController {
 public:
  struct Options {
    RolloutProgress::Options progress;
    /// A write without a reply is repeated after this time.
    Duration retry_write_after = std::chrono::milliseconds(400);
  };

  using Write =
      std::function<void(const RolloutOrder& order,
                         const RolloutRecord& record,
                         std::function<void(const RecordWrite&)> done)>;

  struct ClusterState {
    /// Whether this entry writes the records and starts the phases.
    bool decides = false;
    size_t reachable_entries = 1;
    bool majority = true;
    bool store_lost = false;
    bool servers_listed = false;
  };

  RolloutController(const Options& options,
                    ServiceVersions& versions,
                    const Clock& clock,
                    const EventLog& log,
                    Write write);

  /// An object whose order can't be read.
  struct UnreadableOrder {
    std::string name;
    uint64_t revision = 0;

    friend bool operator==(const UnreadableOrder&,
                           const UnreadableOrder&) = default;
  };

  void OnList(const std::vector<RolloutOrder>& orders,
              const std::vector<UnreadableOrder>& unreadable = {});
  void OnOrder(const RolloutOrder& order);
  /// Handles that an object can't be read any more. Its last order holds, since
  /// only its removal withdraws it.
  void OnUnreadable(const UnreadableOrder& unreadable);
  void OnRemoved(const std::string& name);
  void OnCounts(const std::string& entry, const RolloutCounts& counts);
  void Tick(const ClusterState& cluster);

  /// Returns whether the orders have been read at least once.
  bool known() const { return listed_; }
  /// Returns the plans of all orders.
  std::vector<RolloutPlan> Plans() const;

 private:
  struct Rollout {
    RolloutOrder order;
    std::string from;
    WallTime started;
    RolloutProgress progress;
    bool writing = false;
    TimePoint written_at;
  };

  void AddRollout(const RolloutOrder& order);
  void UpdateOrder(Rollout& rollout, const RolloutOrder& order);
  void Step(Rollout& rollout, const ClusterState& cluster);
  void WriteRecord(Rollout& rollout);
  static RolloutRecord::State StateFromPhase(RolloutPhase phase);

  Options options_;
  ServiceVersions& versions_;
  const Clock& clock_;
  const EventLog& log_;
  Write write_;
  bool listed_ = false;
  /// By name of the order's object.
  std::map<std::string, Rollout> rollouts_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_ROLLOUT_ROLLOUT_CONTROLLER_H_
