#include "lavenderkeel/rollout/rollout_wire.h"

#include <utility>

namespace lavenderkeel {

namespace {

std::unique_ptr<fbs::VersionAnswersT> ToWire(uint64_t route,
                                             uint64_t server,
                                             const AnswerCounts& counts) {
  auto wire = std::make_unique<fbs::VersionAnswersT>();
  wire->route = route;
  wire->server = server;
  wire->answered = counts.answered;
  wire->failed = counts.failed;
  wire->broken = counts.broken;
  wire->timed = counts.timed;
  wire->slow = counts.slow;
  return wire;
}

AnswerCounts FromWire(const fbs::VersionAnswersT& wire) {
  return {.answered = wire.answered,
          .failed = wire.failed,
          .broken = wire.broken,
          .timed = wire.timed,
          .slow = wire.slow};
}

RolloutPhase PhaseFromWire(uint8_t phase) {
  constexpr auto kLast = static_cast<uint8_t>(RolloutPhase::kRolledBack);
  return phase <= kLast ? static_cast<RolloutPhase>(phase)
                        : RolloutPhase::kCanary;
}

}  // namespace

std::unique_ptr<fbs::RolloutCountsT> ToWire(const RolloutCounts& counts) {
  auto wire = std::make_unique<fbs::RolloutCountsT>();
  wire->order = counts.order;
  wire->sent = counts.sent;
  wire->sent_to_canary = counts.sent_to_canary;
  wire->follows = static_cast<uint8_t>(counts.follows);
  wire->running_at_baseline = counts.running_at_baseline;
  for (const auto& [id, answers] : counts.canary) {
    wire->canary.push_back(ToWire(id.first, id.second, answers));
  }
  for (const auto& [route, answers] : counts.baseline) {
    wire->baseline.push_back(ToWire(route, /*server=*/0, answers));
  }
  return wire;
}

RolloutCounts FromWire(const fbs::RolloutCountsT& wire) {
  RolloutCounts counts = {.order = wire.order,
                          .sent = wire.sent,
                          .sent_to_canary = wire.sent_to_canary,
                          .follows = PhaseFromWire(wire.follows),
                          .running_at_baseline = wire.running_at_baseline};
  for (const auto& answers : wire.canary) {
    if (answers != nullptr) {
      counts.canary[{answers->route, answers->server}] = FromWire(*answers);
    }
  }
  for (const auto& answers : wire.baseline) {
    if (answers != nullptr) {
      counts.baseline[answers->route] = FromWire(*answers);
    }
  }
  return counts;
}

std::unique_ptr<fbs::RolloutPlanT> ToWire(const RolloutPlan& plan) {
  auto wire = std::make_unique<fbs::RolloutPlanT>();
  wire->order = plan.order;
  wire->service = plan.service;
  wire->to = plan.to;
  wire->from = plan.from;
  wire->phase = static_cast<uint8_t>(plan.phase);
  wire->share = plan.share;
  return wire;
}

RolloutPlan FromWire(const fbs::RolloutPlanT& wire) {
  const RolloutPhase phase = PhaseFromWire(wire.phase);
  const bool known = static_cast<uint8_t>(phase) == wire.phase;
  return {.order = wire.order,
          .service = wire.service,
          .to = wire.to,
          .from = wire.from,
          .phase = phase,
          .share = known ? wire.share : 0};
}

}  // namespace lavenderkeel
