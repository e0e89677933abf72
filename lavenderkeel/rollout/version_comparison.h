#ifndef LAVENDERKEEL_ROLLOUT_VERSION_COMPARISON_H_
#define LAVENDERKEEL_ROLLOUT_VERSION_COMPARISON_H_

#include <algorithm>
#include <cstdint>
#include <map>

#include "lavenderkeel/rollout/answer_counts.h"

namespace lavenderkeel {

/// A statistical test of whether a new version does worse than the baseline
/// over the same time.
///
/// Per route and in total, a cumulative sum of log likelihood ratios (CUSUM)
/// tests whether more of the new version's answers fail, or are slow, than of
/// the baseline's. A sum never falls below zero, so a version that becomes bad
/// later is detected after as few answers as one that is bad from the start.
class VersionComparison {
 public:
  struct Options {
    /// The version is worse if a sum reaches this. A version equal to the
    /// baseline reaches this by chance about once in 20,000 answers.
    double alarm_score = 10;
    /// The version is in doubt if a sum reaches this.
    double doubt_score = 4;
    /// The assumed failure fraction of a worse version exceeds the baseline's
    /// by the first value plus the second times the baseline's fraction.
    double failure_increase = 0.04;
    double failure_increase_per_baseline = 0.7;
    /// The increase that as_good() tests for. It doesn't grow with the
    /// baseline's fraction, so a route that often fails contributes little.
    double small_failure_increase = 0.045;
    /// The new version is as good if the sums for the small increase are not
    /// above these: of a route whose baseline fails less often than the small
    /// increase, of a route that fails more often, and in total. On a route
    /// that rarely fails a single recent failure exceeds the first; on one that
    /// often fails chance alone reaches 1 within a few dozen answers.
    double max_small_score = 0.3;
    double max_small_score_unreliable_route = 2.5;
    double max_small_score_total = 1;
    /// The same for slow answers.
    double max_slow_score = 3;
    /// Lower bound of the baseline's estimated failure fraction.
    double min_failures = 0.002;
    /// The corresponding increase and lower bound for slow answers.
    double slow_increase = 0.4;
    double min_slow = 0.03;
    /// Weight of a lost connection relative to a failed answer; lower, since
    /// servers of any version may crash.
    double broken_weight = 0.25;
    /// Failed answers of a single server count up to the first value plus the
    /// second times the mean of the other servers: a fault of a server affects
    /// that server, a fault of a version affects all of them.
    double max_from_one_server = 2;
    double per_others_mean = 2;
    /// Slowness counts only if more servers of the new version are slow than
    /// this fraction: servers of a service may differ in speed, and the
    /// baseline avoids the slow ones.
    double max_slow_servers = 0.4;
  };

  explicit VersionComparison(const Options& options) : options_(options) {}
  VersionComparison() : VersionComparison(Options()) {}

  void AddBaseline(uint64_t route, const AnswerCounts& added);
  void AddCanary(uint64_t route, uint64_t server, const AnswerCounts& added);

  /// Returns the highest sum over all routes and the total.
  double failure_score() const;
  /// Returns the highest sum for the small increase relative to its maximum.
  double small_failure_score() const;
  double slow_score() const;
  /// Sets the number of usable servers of the new version.
  void set_servers(size_t servers) { servers_ = servers; }
  double score() const { return std::max(failure_score(), slow_score()); }
  bool worse() const { return score() >= options_.alarm_score; }
  bool in_doubt() const { return score() >= options_.doubt_score; }
  /// Returns whether nothing recent suggests that the version is worse.
  bool as_good() const {
    return small_failure_score() < 1 && slow_score() < options_.max_slow_score;
  }
  /// Returns the number of answers of the new version that were compared.
  uint32_t answers() const { return answers_; }

 private:
  /// The bad fraction of samples, with decreasing weight of older ones.
  struct RecentFraction {
    double samples = 0;
    double bad = 0;

    void Add(uint32_t added, double added_bad);
    /// Returns an upper estimate of the fraction, biased towards a small prior
    /// fraction while there are few samples.
    /// @param min_fraction lower bound of the estimate
    double Estimate(double min_fraction) const;
  };
  struct RouteState {
    RecentFraction failures;
    RecentFraction slow;
    double failure_score = 0;
    double small_failure_score = 0;
    /// By server.
    std::map<uint64_t, double> slow_scores;
  };
  /// Failed answers per server, to distinguish a bad server from a bad version.
  class BadAnswersByServer {
   public:
    /// @return how many of the `added` bad answers count against the version
    double Add(uint64_t server, double added, const Options& options);
    void AddServer(uint64_t server) { bad_.try_emplace(server, 0); }

   private:
    std::map<uint64_t, double> bad_;
    double total_ = 0;
  };

  /// Returns the change of a sum of log likelihood ratios.
  static double ScoreChange(double samples,
                            double bad,
                            double baseline,
                            double worse_version);
  static void AddScore(double change, double max_score, double& score);
  /// Returns the sum of the scores of all but the slowest servers.
  double SlowScore(const std::map<uint64_t, double>& by_server) const;
  double max_slow_score_of_server() const;
  size_t servers_not_compared() const;

  Options options_;
  std::map<uint64_t, RouteState> routes_;
  BadAnswersByServer failures_;
  double total_failure_score_ = 0;
  double total_small_failure_score_ = 0;
  std::map<uint64_t, double> total_slow_scores_;
  size_t servers_ = 0;
  uint32_t answers_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_ROLLOUT_VERSION_COMPARISON_H_
