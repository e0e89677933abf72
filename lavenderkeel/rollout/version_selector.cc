#include "lavenderkeel/rollout/version_selector.h"

#include <algorithm>
#include <utility>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

namespace {

/// The most canary credit that a route accumulates, in requests.
constexpr double kMaxCredit = 1.5;

/// A version that no server reports.
constexpr char kNoVersion[] = "(none)";

/// The number of routes that share the canary's initial allowance.
constexpr double kTypicalRoutes = 3;

}  // namespace

VersionSelector::VersionSelector(const Options& options,
                                 const ServerDirectory& directory,
                                 const Clock& clock,
                                 const EventLog& log)
    : options_(options), clock_(clock), log_(log), versions_(directory) {}

void VersionSelector::OnPlans(const std::vector<RolloutPlan>& plans) {
  known_ = true;
  std::erase_if(rollouts_, [&plans](const auto& item) {
    return std::ranges::find(plans, item.first, &RolloutPlan::service) ==
           plans.end();
  });
  for (const RolloutPlan& plan : plans) {
    RolloutState& rollout = rollouts_[plan.service];
    if (rollout.plan.order != plan.order) {
      rollout = {.plan = plan};
      rollout.counts.order = plan.order;
    } else if (rollout.plan.phase == RolloutPhase::kRolledBack) {
      // A new deciding entry may have counted fewer failures than the former
      // one, and so not have rolled the version back.
      continue;
    }
    if (rollout.plan.phase != plan.phase ||
        rollout.plan_received == TimePoint()) {
      log_.Info("rollout_followed", {{"service", plan.service},
                                     {"to", plan.to},
                                     {"from", plan.from},
                                     {"phase", RolloutPhaseName(plan.phase)},
                                     {"share", plan.share}});
    }
    rollout.plan = plan;
    rollout.plan_received = clock_.Now();
    rollout.counts.follows = plan.phase;
    const bool completed = plan.phase == RolloutPhase::kCompleted;
    if (completed || !plan.from.empty()) {
      versions_.SetBaseline(plan.service, completed ? plan.to : plan.from);
    }
  }
}

VersionSelector::RolloutState* VersionSelector::Find(
    const std::string& service) {
  const auto found = rollouts_.find(service);
  return found == rollouts_.end() ? nullptr : &found->second;
}

bool VersionSelector::HasPlanLease(const RolloutState& rollout) const {
  return clock_.Now() - rollout.plan_received <= options_.plan_lease;
}

VersionSelector::Choice VersionSelector::Choose(const std::string& service,
                                                const std::string& route,
                                                bool fresh) {
  if (!options_.bounds.enabled) {
    return {};
  }
  RolloutState* rollout = Find(service);
  if (rollout == nullptr) {
    return {.version = versions_.Baseline(service)};
  }
  const RolloutPlan& plan = rollout->plan;
  if (plan.phase == RolloutPhase::kCompleted) {
    return {.version = plan.to};
  }
  if (plan.phase == RolloutPhase::kRolledBack || !HasPlanLease(*rollout)) {
    return {.version = BaselineVersion(plan)};
  }
  if (plan.phase == RolloutPhase::kShift) {
    return {.version = plan.to};
  }
  const bool canary = fresh && TakeCanaryCredit(*rollout, route);
  return {.version = BaselineVersion(plan), .canary = canary ? plan.to : ""};
}

std::string VersionSelector::BaselineVersion(const RolloutPlan& plan) {
  if (!plan.from.empty()) {
    return plan.from;
  }
  // The deciding entry has not read the service's servers yet.
  const std::string& baseline = versions_.Baseline(plan.service, plan.to);
  return baseline.empty() || baseline == plan.to ? kNoVersion : baseline;
}

bool VersionSelector::TakeCanaryCredit(RolloutState& rollout,
                                       const std::string& route) {
  const bool ramp = rollout.plan.phase == RolloutPhase::kRamp;
  const double fraction =
      ramp ? options_.ramp_fraction : options_.canary_fraction;
  const double slack = options_.bounds.slack /
                       static_cast<double>(std::max<size_t>(1, entries_));
  // Credit is kept per route, so that rarely used routes are sampled too.
  const double initial_credit =
      options_.canary_fraction * slack / kTypicalRoutes;
  double& credit =
      rollout.credit.try_emplace(route, initial_credit).first->second;
  credit = std::min(kMaxCredit, credit + rollout.plan.share);
  const double max_canary_requests =
      fraction * (options_.bounds.share * rollout.counts.sent + slack);
  if (rollout.plan.share <= 0 || credit < 1 ||
      rollout.canary_choices + 1 > max_canary_requests) {
    return false;
  }
  credit -= 1;
  rollout.canary_choices += 1;
  return true;
}

bool VersionSelector::Admits(const std::string& service,
                             const std::string& version) {
  if (!options_.bounds.enabled) {
    return true;
  }
  const RolloutState* rollout = Find(service);
  if (rollout == nullptr) {
    const std::string& baseline = versions_.Baseline(service);
    return baseline.empty() || version == baseline;
  }
  const RolloutPlan& plan = rollout->plan;
  switch (plan.phase) {
    case RolloutPhase::kCompleted:
      return version == plan.to;
    case RolloutPhase::kRolledBack:
      return version == BaselineVersion(plan);
    case RolloutPhase::kShift:
      return version ==
             (HasPlanLease(*rollout) ? plan.to : BaselineVersion(plan));
    default:
      return version == BaselineVersion(plan) ||
             (version == plan.to && HasPlanLease(*rollout));
  }
}

VersionSelector::Attempt VersionSelector::OnSent(const std::string& service,
                                                 const std::string& route,
                                                 const BackendServer& server,
                                                 int in_flight,
                                                 bool fresh) {
  Attempt attempt = {
      .sampled = fresh,
      .server = HashBytes(server.start_key()),
      .route = HashBytes(route),
      .load = std::min(1.0, static_cast<double>(in_flight) / server.slots)};
  RolloutState* rollout = Find(service);
  if (rollout == nullptr) {
    attempt.arm = options_.bounds.enabled ? Arm::kBaseline : Arm::kNone;
    return attempt;
  }
  const bool canary = server.version == rollout->plan.to;
  attempt.order = rollout->plan.order;
  attempt.arm = canary ? Arm::kCanary : Arm::kBaseline;
  ++rollout->counts.sent;
  rollout->counts.sent_to_canary += canary ? 1 : 0;
  rollout->counts.running_at_baseline += canary ? 0 : 1;
  return attempt;
}

VersionSelector::RolloutState* VersionSelector::FindCounted(
    const std::string& service,
    const Attempt& attempt) {
  RolloutState* rollout = Find(service);
  const bool matches = attempt.arm != Arm::kNone && rollout != nullptr &&
                       rollout->plan.order == attempt.order;
  return matches ? rollout : nullptr;
}

void VersionSelector::OnAttemptEnd(const std::string& service,
                                   Attempt& attempt) {
  RolloutState* rollout = FindCounted(service, attempt);
  if (rollout != nullptr && attempt.arm == Arm::kBaseline) {
    --rollout->counts.running_at_baseline;
  }
  attempt.arm = Arm::kNone;
}

AnswerCounts& VersionSelector::CountsOf(RolloutState& rollout,
                                        const Attempt& attempt) {
  return attempt.arm == Arm::kCanary
             ? rollout.counts.canary[{attempt.route, attempt.server}]
             : rollout.counts.baseline[attempt.route];
}

void VersionSelector::OnAnswered(const std::string& service,
                                 const Attempt& attempt) {
  RolloutState* rollout = FindCounted(service, attempt);
  if (rollout != nullptr && attempt.sampled) {
    ++CountsOf(*rollout, attempt).answered;
  }
}

void VersionSelector::OnFailed(const std::string& service,
                               const Attempt& attempt) {
  RolloutState* rollout = FindCounted(service, attempt);
  if (rollout != nullptr && attempt.sampled) {
    AnswerCounts& counts = CountsOf(*rollout, attempt);
    ++counts.answered;
    ++counts.failed;
  }
}

void VersionSelector::OnBroken(const std::string& service,
                               const Attempt& attempt) {
  RolloutState* rollout = FindCounted(service, attempt);
  if (rollout != nullptr && attempt.sampled) {
    AnswerCounts& counts = CountsOf(*rollout, attempt);
    ++counts.answered;
    ++counts.broken;
  }
}

bool VersionSelector::IsSlow(double ms,
                             const UpperQuantileEstimator& usual) const {
  return !usual.empty() && ms > options_.slow_factor * usual.value();
}

double VersionSelector::UnloadedMilliseconds(const Attempt& attempt,
                                             Duration took) const {
  return ToFractionalMilliseconds(took) /
         (1 + options_.full_server_slowdown * attempt.load);
}

void VersionSelector::RecordLatency(
    const std::string& service,
    Attempt& attempt,
    Duration took,
    UpperQuantileEstimator UsualLatency::*usual) {
  if (attempt.arm == Arm::kNone || !attempt.sampled || attempt.slow) {
    return;
  }
  UpperQuantileEstimator& baseline =
      usual_latency_[{service, attempt.route}].*usual;
  const double ms = UnloadedMilliseconds(attempt, took);
  attempt.slow = IsSlow(ms, baseline);
  if (RolloutState* rollout = FindCounted(service, attempt)) {
    AnswerCounts& counts = CountsOf(*rollout, attempt);
    ++counts.timed;
    counts.slow += attempt.slow ? 1 : 0;
  }
  if (attempt.arm == Arm::kBaseline) {
    baseline.Add(ms);
  }
}

void VersionSelector::OnFirstChunk(const std::string& service,
                                   Attempt& attempt,
                                   Duration took) {
  RecordLatency(service, attempt, took, &UsualLatency::first_chunk_ms);
}

void VersionSelector::OnEventInterval(const std::string& service,
                                      Attempt& attempt,
                                      Duration took) {
  RecordLatency(service, attempt, took, &UsualLatency::pace_ms);
}

void VersionSelector::OnNoAnswerYet(const std::string& service,
                                    Attempt& attempt,
                                    Duration since) {
  if (attempt.arm != Arm::kCanary || attempt.slow) {
    return;
  }
  const UpperQuantileEstimator& usual =
      usual_latency_[{service, attempt.route}].first_chunk_ms;
  if (IsSlow(UnloadedMilliseconds(attempt, since), usual)) {
    OnFirstChunk(service, attempt, since);
  }
}

void VersionSelector::OnSilent(const std::string& service, Attempt& attempt) {
  RolloutState* rollout = FindCounted(service, attempt);
  if (rollout == nullptr || !attempt.sampled || attempt.slow) {
    return;
  }
  attempt.slow = true;
  AnswerCounts& counts = CountsOf(*rollout, attempt);
  ++counts.timed;
  ++counts.slow;
}

std::vector<RolloutCounts> VersionSelector::Report() const {
  std::vector<RolloutCounts> report;
  for (const auto& [service, rollout] : rollouts_) {
    switch (rollout.plan.phase) {
      case RolloutPhase::kCompleted:
        break;
      case RolloutPhase::kRolledBack:
        report.push_back({.order = rollout.counts.order,
                          .follows = RolloutPhase::kRolledBack});
        break;
      default:
        report.push_back(rollout.counts);
    }
  }
  return report;
}

}  // namespace lavenderkeel
