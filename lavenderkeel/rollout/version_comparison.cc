#include "lavenderkeel/rollout/version_comparison.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <vector>

namespace lavenderkeel {

namespace {

/// Sample count above which both sums are halved, so that old samples fade.
constexpr double kMaxSamples = 1500;

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

double VersionComparison::ScoreChange(double samples,
                                      double bad,
                                      double baseline,
                                      double worse_version) {
  return bad * std::log(worse_version / baseline) +
         (samples - bad) * std::log((1 - worse_version) / (1 - baseline));
}

void VersionComparison::AddScore(double change,
                                 double max_score,
                                 double& score) {
  score = std::clamp(score + change, 0.0, max_score);
}

size_t VersionComparison::servers_not_compared() const {
  return static_cast<size_t>(options_.max_slow_servers *
                             static_cast<double>(servers_));
}

double VersionComparison::max_slow_score_of_server() const {
  const size_t compared =
      std::max<size_t>(servers_, 1) - servers_not_compared();
  return compared > 1 ? options_.alarm_score / 2 : options_.alarm_score * 2;
}

double VersionComparison::SlowScore(
    const std::map<uint64_t, double>& by_server) const {
  std::vector<double> scores;
  scores.reserve(by_server.size());
  for (const auto& [server, score] : by_server) {
    scores.push_back(score);
  }
  std::ranges::sort(scores, std::greater());
  double sum = 0;
  for (size_t i = servers_not_compared(); i < scores.size(); ++i) {
    sum += scores[i];
  }
  return sum;
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
  if (added.answered > 0) {
    const double baseline = state.failures.Estimate(options_.min_failures);
    const double worse_version =
        std::min(kMaxBadFraction,
                 baseline * (1 + options_.failure_increase_per_baseline) +
                     options_.failure_increase);
    const double bad = failures_.Add(
        server, added.failed + options_.broken_weight * added.broken, options_);
    const double change =
        ScoreChange(added.answered, bad, baseline, worse_version);
    constexpr double kUnlimited = std::numeric_limits<double>::infinity();
    AddScore(change, kUnlimited, state.failure_score);
    AddScore(change, kUnlimited, total_failure_score_);
    const double small_change = ScoreChange(
        added.answered, bad, baseline,
        std::min(kMaxBadFraction, baseline + options_.small_failure_increase));
    AddScore(small_change, kUnlimited, state.small_failure_score);
    AddScore(small_change, kUnlimited, total_small_failure_score_);
  }
  if (added.timed > 0) {
    const double baseline = state.slow.Estimate(options_.min_slow);
    const double worse_version =
        std::min(kMaxBadFraction, baseline + options_.slow_increase);
    const double change =
        ScoreChange(added.timed, added.slow, baseline, worse_version);
    const double max_score = max_slow_score_of_server();
    AddScore(change, max_score, state.slow_scores[server]);
    AddScore(change, max_score, total_slow_scores_[server]);
  }
}

double VersionComparison::failure_score() const {
  double highest = total_failure_score_;
  for (const auto& [route, state] : routes_) {
    highest = std::max(highest, state.failure_score);
  }
  return highest;
}

double VersionComparison::small_failure_score() const {
  double highest = total_small_failure_score_ / options_.max_small_score_total;
  for (const auto& [route, state] : routes_) {
    const bool reliable = state.failures.Estimate(options_.min_failures) <
                          options_.small_failure_increase;
    highest = std::max(
        highest, state.small_failure_score /
                     (reliable ? options_.max_small_score
                               : options_.max_small_score_unreliable_route));
  }
  return highest;
}

double VersionComparison::slow_score() const {
  double highest = SlowScore(total_slow_scores_);
  for (const auto& [route, state] : routes_) {
    highest = std::max(highest, SlowScore(state.slow_scores));
  }
  return highest;
}

}  // namespace lavenderkeel
