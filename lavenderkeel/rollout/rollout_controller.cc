#include "lavenderkeel/rollout/rollout_controller.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lavenderkeel {

namespace {

/// Wall clocks of machines differ and may jump: a recorded start further back
/// than the order's duration plus this is ignored.
constexpr Duration kMaxOverdue = std::chrono::minutes(1);

/// Coordinators read a new order within this time of its start; one that reads
/// it later has started, or reconnected to the store, since then.
constexpr Duration kStarting = std::chrono::seconds(1);

RolloutPhase PhaseFromState(RolloutRecord::State state) {
  switch (state) {
    case RolloutRecord::State::kServing:
      return RolloutPhase::kCanary;
    case RolloutRecord::State::kCompleted:
      return RolloutPhase::kCompleted;
    case RolloutRecord::State::kRolledBack:
      return RolloutPhase::kRolledBack;
  }
  return RolloutPhase::kCanary;
}

}  // namespace

RolloutController::RolloutController(const Options& options,
                                     ServiceVersions& versions,
                                     const Clock& clock,
                                     const EventLog& log,
                                     Write write)
    : options_(options),
      versions_(versions),
      clock_(clock),
      log_(log),
      write_(std::move(write)) {}

void RolloutController::OnList(const std::vector<RolloutOrder>& orders,
                               const std::vector<UnreadableOrder>& unreadable) {
  listed_ = true;
  std::set<std::string> names;
  for (const UnreadableOrder& order : unreadable) {
    names.insert(order.name);
    OnUnreadable(order);
  }
  for (const RolloutOrder& order : orders) {
    names.insert(order.name);
    OnOrder(order);
  }
  std::vector<std::string> missing;
  for (const auto& [name, rollout] : rollouts_) {
    if (!names.contains(name)) {
      missing.push_back(name);
    }
  }
  for (const std::string& name : missing) {
    OnRemoved(name);
  }
}

void RolloutController::OnOrder(const RolloutOrder& order) {
  const auto found = rollouts_.find(order.name);
  if (found == rollouts_.end()) {
    AddRollout(order);
    return;
  }
  Rollout& rollout = found->second;
  if (order.revision < rollout.order.revision) {
    return;
  }
  if (KeyOf(order) != KeyOf(rollout.order)) {
    rollouts_.erase(found);
    AddRollout(order);
    return;
  }
  UpdateOrder(rollout, order);
}

void RolloutController::OnUnreadable(const UnreadableOrder& unreadable) {
  if (const auto found = rollouts_.find(unreadable.name);
      found != rollouts_.end()) {
    // The record is written on condition of the latest revision.
    uint64_t& revision = found->second.order.revision;
    revision = std::max(revision, unreadable.revision);
  }
}

void RolloutController::AddRollout(const RolloutOrder& order) {
  const TimePoint now = clock_.Now();
  const WallTime wall = clock_.WallNow();
  Rollout rollout = {
      .order = order,
      .started = wall,
      .progress = RolloutProgress(options_.progress, now, order.duration)};
  if (order.answered()) {
    const Duration elapsed = wall - order.record->started;
    const bool plausible =
        elapsed > Duration::zero() && elapsed < order.duration + kMaxOverdue;
    if (plausible) {
      rollout.started = order.record->started;
      rollout.progress =
          RolloutProgress(options_.progress, now - elapsed, order.duration,
                          /*resumed=*/elapsed > kStarting);
    }
    rollout.from = order.record->from;
  }
  log_.Info("rollout_ordered", {{"service", order.service},
                                {"to", order.to},
                                {"revision", order.revision},
                                {"duration_ms", ToMilliseconds(order.duration)},
                                {"answered", order.answered()}});
  UpdateOrder(rollouts_.emplace(order.name, std::move(rollout)).first->second,
              order);
}

void RolloutController::UpdateOrder(Rollout& rollout,
                                    const RolloutOrder& order) {
  rollout.order = order;
  if (!order.answered()) {
    return;
  }
  const RolloutPhase phase = PhaseFromState(order.record->state);
  if (IsTerminal(phase) && rollout.progress.phase() != phase) {
    rollout.progress.SetEnded(phase);
    log_.Info("rollout_ended", {{"service", order.service},
                                {"to", order.to},
                                {"state", RolloutPhaseName(phase)},
                                {"revision", order.revision}});
  }
}

void RolloutController::OnRemoved(const std::string& name) {
  const auto found = rollouts_.find(name);
  if (found != rollouts_.end()) {
    log_.Info("rollout_withdrawn", {{"service", found->second.order.service},
                                    {"to", found->second.order.to}});
    rollouts_.erase(found);
  }
}

void RolloutController::OnCounts(const std::string& entry,
                                 const RolloutCounts& counts) {
  for (auto& [name, rollout] : rollouts_) {
    if (KeyOf(rollout.order) == counts.order) {
      rollout.progress.OnCounts(entry, counts, clock_.Now());
    }
  }
}

void RolloutController::Tick(const ClusterState& cluster) {
  if (!cluster.servers_listed) {
    return;
  }
  for (auto& [name, rollout] : rollouts_) {
    Step(rollout, cluster);
  }
}

void RolloutController::Step(Rollout& rollout, const ClusterState& cluster) {
  const RolloutOrder& order = rollout.order;
  if (rollout.from.empty()) {
    rollout.from = versions_.Baseline(order.service, order.to);
  }
  if (rollout.from.empty()) {
    rollout.from = versions_.Baseline(order.service);
  }
  RolloutProgress& progress = rollout.progress;
  if (!IsTerminal(progress.phase()) && rollout.from == order.to) {
    // The service has only servers of the new version.
    progress.SetEnded(RolloutPhase::kCompleted);
  }
  const RolloutPhase former = progress.phase();
  const bool changed = progress.Step(
      {.now = clock_.Now(),
       .reachable_entries = cluster.reachable_entries,
       .majority = cluster.majority,
       .store_lost = cluster.store_lost,
       .canary_servers = versions_.CountServers(order.service, order.to)});
  if (changed) {
    const VersionComparison& comparison = progress.comparison();
    log_.Info("rollout_phase",
              {{"service", order.service},
               {"to", order.to},
               {"from", rollout.from},
               {"former", RolloutPhaseName(former)},
               {"phase", RolloutPhaseName(progress.phase())},
               {"reason", progress.reason()},
               {"failure_score", comparison.failure_score()},
               {"small_failure_score", comparison.small_failure_score()},
               {"slow_score", comparison.slow_score()},
               {"answers", comparison.answers()},
               {"sent", progress.sent()},
               {"sent_to_canary", progress.sent_to_canary()},
               {"decides", cluster.decides}});
  }
  const bool must_write =
      !order.answered() ||
      order.record->state != StateFromPhase(progress.phase());
  if (cluster.decides && must_write) {
    WriteRecord(rollout);
  }
}

RolloutRecord::State RolloutController::StateFromPhase(RolloutPhase phase) {
  switch (phase) {
    case RolloutPhase::kCompleted:
      return RolloutRecord::State::kCompleted;
    case RolloutPhase::kRolledBack:
      return RolloutRecord::State::kRolledBack;
    default:
      return RolloutRecord::State::kServing;
  }
}

void RolloutController::WriteRecord(Rollout& rollout) {
  const TimePoint now = clock_.Now();
  if (rollout.writing &&
      now - rollout.written_at < options_.retry_write_after) {
    return;
  }
  rollout.writing = true;
  rollout.written_at = now;
  const RolloutRecord record = {
      .state = StateFromPhase(rollout.progress.phase()),
      .to = rollout.order.to,
      .from = rollout.from,
      .duration = rollout.order.duration,
      .created = rollout.order.created,
      .started = rollout.started};
  write_(rollout.order, record,
         [this, name = rollout.order.name, key = KeyOf(rollout.order),
          record](const RecordWrite& write) {
           const auto found = rollouts_.find(name);
           if (found == rollouts_.end() || KeyOf(found->second.order) != key) {
             return;
           }
           Rollout& written = found->second;
           const bool done = write.outcome == RecordWrite::Outcome::kDone;
           log_.Info("rollout_recorded",
                     {{"service", written.order.service},
                      {"to", record.to},
                      {"state", RolloutPhaseName(PhaseFromState(record.state))},
                      {"done", done},
                      {"revision", write.revision}});
           if (done) {
             written.writing = false;
             written.order.revision = write.revision;
             written.order.record = record;
           }
         });
}

std::vector<RolloutPlan> RolloutController::Plans() const {
  std::vector<RolloutPlan> plans;
  for (const auto& [name, rollout] : rollouts_) {
    const RolloutPhase phase = rollout.progress.phase();
    // The platform stops the old servers once the record states the completion,
    // so the record must be written before entries treat the rollout as
    // completed.
    const bool recorded = rollout.order.answered() &&
                          rollout.order.record->state == StateFromPhase(phase);
    const bool awaits_record = phase == RolloutPhase::kCompleted && !recorded;
    plans.push_back({.order = KeyOf(rollout.order),
                     .service = rollout.order.service,
                     .to = rollout.order.to,
                     .from = rollout.from,
                     .phase = awaits_record ? RolloutPhase::kShift : phase,
                     .share = rollout.progress.share()});
  }
  return plans;
}

}  // namespace lavenderkeel
