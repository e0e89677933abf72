#ifndef LAVENDERKEEL_FORWARD_REQUEST_ADMISSION_H_
#define LAVENDERKEEL_FORWARD_REQUEST_ADMISSION_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/event_log.h"
#include "lavenderkeel/base/metrics.h"
#include "lavenderkeel/forward/forwarded_request.h"
#include "lavenderkeel/forward/refusal.h"
#include "lavenderkeel/forward/request_age_estimator.h"
#include "lavenderkeel/forward/route_history.h"
#include "lavenderkeel/forward/route_table.h"
#include "lavenderkeel/forward/team_rates.h"

namespace lavenderkeel {

/// Decision whether a request that arrives is accepted: its route, its team,
/// the memory for bodies, and the rate of the team.
class RequestAdmission {
 public:
  struct Options {
    TeamRates::Options rates;
    /// Limit for the bodies of all requests that are held.
    size_t max_buffered_body_bytes = size_t{64} << 20;
    RequestAgeEstimator::Options request_age = {};
    /// Refuses a request before it uses units of its team's rate; empty: none.
    std::function<std::optional<Refusal>(ForwardedRequest&)> refuse_early = {};
  };

  RequestAdmission(Options options,
                   RouteHistories& route_history,
                   const Clock& clock,
                   const EventLog& log,
                   Metrics& metrics)
      : options_(std::move(options)),
        route_history_(route_history),
        clock_(clock),
        log_(log),
        metrics_(metrics),
        rates_(options_.rates, clock.Now()) {}

  /// Fills in what the configuration says about the request, and takes its
  /// units from the rate of its team.
  /// @param held_body_bytes bytes of the bodies of all other requests
  /// @return nothing if the request is accepted
  std::optional<Refusal> Admit(ForwardedRequest& request,
                               size_t held_body_bytes);
  /// Drops the statistics of routes that the configuration does not have.
  void OnRouteTable(const RouteTable& table);

  TeamRates& rates() { return rates_; }
  const TeamRates& rates() const { return rates_; }

 private:
  /// Determines the team and the priority of the request.
  std::optional<Refusal> FindTeam(ForwardedRequest& request) const;
  std::optional<Refusal> UseTeamRate(ForwardedRequest& request);
  /// Logs and counts a decision that depended on the rank of the request.
  void RecordRankDecision(const ForwardedRequest& request,
                          const TeamConfig& team,
                          double units,
                          const TeamRates::Outcome& outcome);

  Options options_;
  RouteHistories& route_history_;
  const Clock& clock_;
  const EventLog& log_;
  Metrics& metrics_;
  TeamRates rates_;
  /// By route and its timeout, which limits the time that clients have left.
  std::map<std::pair<std::string, Duration>, RequestAgeEstimator>
      request_age_estimators_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_REQUEST_ADMISSION_H_
