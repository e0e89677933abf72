#include "lavenderkeel/rollout/version_comparison.h"

#include <algorithm>
#include <cmath>

namespace lavenderkeel {

namespace {

/// Sample count above which both sums are halved, so that old samples fade.
constexpr double kMaxSamples = 400;

/// Samples of the prior, one of which is bad.
constexpr double kPriorSamples = 20;

/// The estimate is this many standard deviations above the observed fraction,
/// so that scarce data on the baseline doesn't count against the new version.
constexpr double kMarginDeviations = 1.5;

/// Keeps the assumed fraction of a worse version below one.
constexpr double kMaxBadFraction = 0.95;

}  // namespace

void VersionComparison::RecentFraction::Add(uint32_t added, double added_bad) {
  samples += added;
  bad += added_bad;
  if (samples > kMaxSamples) {
    samples /= 2;
    bad /= 2;
  }
}

double VersionComparison::RecentFraction::Estimate(double min_fraction) const {
  const double bad_with_prior = bad + 1;
  return std::max(
      min_fraction,
      (bad_with_prior + kMarginDeviations * std::sqrt(bad_with_prior)) /
          (samples + kPriorSamples));
}

double VersionComparison::BadAnswersByServer::Add(uint64_t server,
                                                  double added,
                                                  const Options& options) {
  double& bad = bad_.try_emplace(server, 0).first->second;
  double allowed = added;
  if (bad_.size() > 1) {
    const double others = (total_ - bad) / static_cast<double>(bad_.size() - 1);
    const double limit =
        options.max_from_one_server + options.per_others_mean * others;
    allowed = std::clamp(limit - bad, 0.0, added);
  }
  bad += added;
  total_ += added;
  return allowed;
}

void VersionComparison::AddScore(double& score,
                                 double& total,
                                 double samples,
                                 double bad,
                                 double baseline,
                                 double worse_version) {
  const double change =
      bad * std::log(worse_version / baseline) +
      (samples - bad) * std::log((1 - worse_version) / (1 - baseline));
  score = std::max(0.0, score + change);
  total = std::max(0.0, total + change);
}

void VersionComparison::AddBaseline(uint64_t route, const AnswerCounts& added) {
  RouteState& state = routes_[route];
  state.failures.Add(added.answered,
                     added.failed + options_.broken_weight * added.broken);
  state.slow.Add(added.timed, added.slow);
}

void VersionComparison::AddCanary(uint64_t route,
                                  uint64_t server,
                                  const AnswerCounts& added) {
  RouteState& state = routes_[route];
  answers_ += added.answered;
  failures_.AddServer(server);
  slow_.AddServer(server);
  if (added.answered > 0) {
    const double baseline = state.failures.Estimate(options_.min_failures);
    const double worse_version =
        std::min(kMaxBadFraction,
                 baseline * (1 + options_.failure_increase_per_baseline) +
                     options_.failure_increase);
    const double bad = failures_.Add(
        server, added.failed + options_.broken_weight * added.broken, options_);
    AddScore(state.failure_score, total_failure_score_, added.answered, bad,
             baseline, worse_version);
  }
  if (added.timed > 0) {
    const double baseline = state.slow.Estimate(options_.min_slow);
    const double worse_version =
        std::min(kMaxBadFraction, baseline + options_.slow_increase);
    const double bad = slow_.Add(server, added.slow, options_);
    AddScore(state.slow_score, total_slow_score_, added.timed, bad, baseline,
             worse_version);
  }
}

double VersionComparison::failure_score() const {
  double highest = total_failure_score_;
  for (const auto& [route, state] : routes_) {
    highest = std::max(highest, state.failure_score);
  }
  return highest;
}

double VersionComparison::slow_score() const {
  double highest = total_slow_score_;
  for (const auto& [route, state] : routes_) {
    highest = std::max(highest, state.slow_score);
  }
  return highest;
}

}  // namespace lavenderkeel
