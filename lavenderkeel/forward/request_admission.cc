#include "lavenderkeel/forward/request_admission.h"

#include <algorithm>

#include "lavenderkeel/forward/attempt.h"

namespace lavenderkeel {

void RequestAdmission::OnRouteTable(const RouteTable& table) {
  rates_.OnRouteTable(table);
  std::erase_if(request_age_estimators_, [&](const auto& item) {
    return std::ranges::none_of(
        table.content().routes, [&item](const Route& route) {
          return item.first == std::pair(route.name, route.timeout);
        });
  });
}

std::optional<Refusal> RequestAdmission::Admit(ForwardedRequest& request,
                                               size_t held_body_bytes) {
  if (request.route == nullptr) {
    return Refusal{.code = ResultCode::kNoRoute};
  }
  const Route& route = *request.route;
  request.service = RouteTable::PickService(route, request.metadata.request_id);
  const Service* service = request.table->FindService(request.service);
  request.model_server = service != nullptr && service->batch_slots > 0;
  request.priority = route.priority;
  if (const std::optional<Refusal> refusal = FindTeam(request)) {
    return refusal;
  }
  constexpr Duration kMaxTimeLeft = std::chrono::hours(1);
  request.due =
      request.arrived +
      std::min(request.metadata.time_left.value_or(kMaxTimeLeft),
               route.timeout > Duration::zero() ? route.timeout : kMaxTimeLeft);
  request.first_sent =
      request.arrived -
      request_age_estimators_
          .try_emplace({route.name, route.timeout}, options_.request_age)
          .first->second.OnRequest(
              std::max(request.due - request.arrived, kMinTimeForAttempt));
  request.last_event_id = request.metadata.last_event_id;
  request.is_long = route.streaming &&
                    route_history_[route.name].sizes.IsLong(request.metadata);
  if (held_body_bytes + request.body->size() >
      options_.max_buffered_body_bytes) {
    return Refusal{.code = ResultCode::kOverloaded};
  }
  if (options_.refuse_early) {
    if (const std::optional<Refusal> refusal = options_.refuse_early(request)) {
      return refusal;
    }
  }
  return UseTeamRate(request);
}

std::optional<Refusal> RequestAdmission::FindTeam(
    ForwardedRequest& request) const {
  if (!request.table->has_teams()) {
    return std::nullopt;
  }
  const TeamConfig* team =
      request.metadata.api_key.has_value()
          ? request.table->FindTeamByKey(*request.metadata.api_key)
          : nullptr;
  if (team == nullptr) {
    return request.route->is_public
               ? std::nullopt
               : std::optional(Refusal{.code = ResultCode::kUnknownTeam});
  }
  request.team = team->name;
  request.priority = team->priority.value_or(request.route->priority);
  request.has_team_priority = team->priority.has_value();
  return std::nullopt;
}

std::optional<Refusal> RequestAdmission::UseTeamRate(
    ForwardedRequest& request) {
  const TeamConfig* team =
      request.team.empty() ? nullptr : request.table->FindTeam(request.team);
  if (team == nullptr) {
    return std::nullopt;
  }
  const uint64_t tokens =
      request.metadata.prompt_tokens + request.metadata.output_tokens;
  const double units = !team->rate.in_tokens ? 1
                       : tokens > 0          ? static_cast<double>(tokens)
                                             : team->rate.tokens_if_unknown;
  // A client waits for at most a third of its time before it comes back.
  constexpr int kWaitsPerTimeLeft = 3;
  const TeamRates::Outcome outcome = rates_.Take(
      *team,
      {.units = units,
       .rank = request.table->has_ranks()
                   ? std::optional(request.route->priority)
                   : std::nullopt,
       .id = request.metadata.request_id,
       .deadline = request.due,
       .is_retry = request.first_sent < request.arrived,
       .max_wait = (request.due - request.arrived) / kWaitsPerTimeLeft},
      clock_.Now());
  if (outcome.by_rank.has_value()) {
    RecordRankDecision(request, *team, units, outcome);
  }
  const std::optional<TeamRates::Shortage>& shortage = outcome.shortage;
  if (!shortage.has_value()) {
    return std::nullopt;
  }
  if (!outcome.by_rank.has_value()) {
    // An undecided request is not refused but checked again later.
    log_.Info(shortage->undecided ? "rate_waits" : "rate_refused",
              {{"id", request.metadata.request_id},
               {"team", team->name},
               {"units", units},
               {"level", shortage->level},
               {"drawn_here", shortage->drawn_here},
               {"per_second", team->rate.per_second},
               {"burst", team->rate.burst},
               {"share", shortage->share},
               {"config_version", request.table->version()}});
  }
  return Refusal{.code = ResultCode::kTeamTokenRate,
                 .retry_after = shortage->wait,
                 .undecided = shortage->undecided};
}

void RequestAdmission::RecordRankDecision(const ForwardedRequest& request,
                                          const TeamConfig& team,
                                          double units,
                                          const TeamRates::Outcome& outcome) {
  const RankedRates::Decision& decision = *outcome.by_rank;
  if (!decision.is_short) {
    return;
  }
  const bool is_refused = outcome.shortage.has_value();
  const std::string_view event = is_refused ? "rate_refused" : "rate_admitted";
  log_.Info(event, {{"id", request.metadata.request_id},
                    {"team", team.name},
                    {"units", units},
                    {"rank", request.route->priority},
                    {"level", decision.inputs.level},
                    {"reserve", decision.reserve.reserve},
                    {"held", decision.reserve.held},
                    {"admitted_part", decision.reserve.admitted_part},
                    {"more_urgent_per_s", decision.inputs.more_urgent_demand},
                    {"rank_per_s", decision.inputs.rank_demand},
                    {"own_share", decision.own_share},
                    {"report_age_ms", ToMilliseconds(decision.report_age)},
                    {"redeemed", decision.redeemed},
                    {"promised", decision.promised},
                    {"promised_before", decision.promised_before},
                    {"retry_after_ms", ToMilliseconds(decision.retry_after)},
                    {"drawn_here", outcome.drawn_here},
                    {"per_second", team.rate.per_second},
                    {"burst", team.rate.burst},
                    {"share", outcome.share},
                    {"config_version", request.table->version()}});
  const std::string rank =
      "{rank=\"" + std::to_string(request.route->priority) + "\"}";
  metrics_.Add(std::string(event) + rank);
  if (decision.redeemed) {
    metrics_.Add("rate_redeemed" + rank);
  }
  if (decision.promised) {
    metrics_.Add("rate_promised" + rank);
  }
}

}  // namespace lavenderkeel
