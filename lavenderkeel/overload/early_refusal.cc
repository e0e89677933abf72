#include "lavenderkeel/overload/early_refusal.h"

#include <algorithm>
#include <limits>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

namespace {

/// Seed of the hash that chooses among requests, so that it does not depend on
/// other decisions by the same id.
constexpr uint64_t kChoiceSeed = 0x6f766c64;

/// Returns a number of [0, 1) that is always the same for the hash.
double FractionOf(uint64_t hash) {
  return static_cast<double>(hash >> 11) * 0x1p-53;
}

}  // namespace

const char* EarlyRefusal::OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNoQueue:
      return "no_queue";
    case Outcome::kRetry:
      return "retry";
    case Outcome::kBegun:
      return "begun";
    case Outcome::kShortQueue:
      return "short_queue";
    case Outcome::kChosen:
      return "chosen";
    case Outcome::kNotChosen:
      return "not_chosen";
    case Outcome::kTooLong:
      return "too_long";
  }
  return "";
}

EarlyRefusal::ServiceState* EarlyRefusal::Find(const std::string& service) {
  const auto found = services_.find(HashBytes(service));
  return found == services_.end() ? nullptr : &found->second;
}

void EarlyRefusal::OnReports(const std::string& scheduler,
                             const std::vector<SlotGroupReport>& reports) {
  const TimePoint now = clock_.Now();
  for (const SlotGroupReport& report : reports) {
    services_
        .try_emplace(report.service_hash,
                     ServiceState{.load = ServiceLoad(options_.load)})
        .first->second.load.OnReport(scheduler, report, now);
  }
  std::erase_if(services_, [now](const auto& item) {
    return item.second.load.IsUnused(now) &&
           item.second.returns.promised(now) == 0;
  });
}

void EarlyRefusal::OnSlotRequest(const std::string& service,
                                 const SlotRank& rank,
                                 bool late) {
  if (ServiceState* state = Find(service)) {
    state->load.OnSlotRequest(rank, late);
  }
}

void EarlyRefusal::OnWaitEnded(const std::string& service,
                               const SlotRank& rank,
                               Duration predicted,
                               Duration actual) {
  if (ServiceState* state = Find(service)) {
    state->errors[rank].Add(predicted, actual);
  }
}

EarlyRefusal::Decision EarlyRefusal::Decide(const Request& request) {
  Decision decision = Judge(request);
  if (decision.refused()) {
    // The queue may shrink although more arrive than are granted: by refusals,
    // and by requests that end their wait.
    decision.retry_after = Promise(request, /*overload_lasts=*/true);
  }
  Log(request, decision);
  return decision;
}

EarlyRefusal::Decision EarlyRefusal::Judge(const Request& request) {
  if (request.was_begun) {
    return {.outcome = Outcome::kBegun};
  }
  if (request.is_retry) {
    return {.outcome = Outcome::kRetry};
  }
  ServiceState* state = Find(request.service);
  if (state == nullptr) {
    return {.outcome = Outcome::kNoQueue};
  }
  Decision decision;
  decision.ahead = state->load.Predict(request.rank, clock_.Now());
  if (!decision.ahead.has_value()) {
    return decision;
  }
  const QueueAhead& ahead = *decision.ahead;
  if (const auto error = state->errors.find(request.rank);
      error != state->errors.end()) {
    decision.correction = error->second.factor();
  }
  constexpr double kMaxWaitSeconds = 3600;
  const double wait =
      ahead.rank_rate > 0
          ? std::min(kMaxWaitSeconds, ahead.requests / ahead.rank_rate)
          : kMaxWaitSeconds;
  decision.predicted_wait = FromSeconds(wait);
  const double requests = ahead.requests * decision.correction;
  const double stock =
      std::max(ahead.rank_rate,
               ahead.total_rate * options_.min_stock_fraction) *
      ToSeconds(options_.stock_time);
  const bool late_wait_in_vain =
      ahead.late > 0 &&
      ahead.late >= ToSeconds(request.max_wait) * ahead.rank_rate;
  if (requests <= stock && !late_wait_in_vain) {
    decision.outcome = Outcome::kShortQueue;
    return decision;
  }
  if (requests > stock &&
      wait * decision.correction >= ToSeconds(request.max_wait)) {
    decision.refused_fraction = 1;
    decision.outcome = Outcome::kTooLong;
    return decision;
  }
  // From none at the stock to the most at twice the stock: with one threshold,
  // all entries would admit and refuse in turns.
  decision.refused_fraction =
      std::clamp((requests - stock) / stock,
                 late_wait_in_vain ? options_.fraction_for_late : 0.0,
                 options_.max_refused_fraction);
  const bool refused = FractionOf(HashBytes(request.id, kChoiceSeed)) <
                       decision.refused_fraction;
  decision.outcome = refused ? Outcome::kNotChosen : Outcome::kChosen;
  return decision;
}

std::optional<Duration> EarlyRefusal::PromiseReturn(const Request& request) {
  return Promise(request, /*overload_lasts=*/false);
}

std::optional<Duration> EarlyRefusal::Promise(const Request& request,
                                              bool overload_lasts) {
  const TimePoint now = clock_.Now();
  ServiceState* state = Find(request.service);
  const std::optional<QueueAhead> ahead =
      state == nullptr ? std::nullopt : state->load.Predict(request.rank, now);
  if (!ahead.has_value()) {
    return std::nullopt;
  }
  const Duration latest = std::min(
      options_.max_retry_after,
      FromSeconds(ToSeconds(std::max(request.time_left, Duration::zero())) *
                  options_.retry_after_per_time_left));
  Duration earliest =
      FromSeconds(ToSeconds(latest) * options_.min_return_fraction);
  if (!overload_lasts && ahead->growth < 0) {
    const double seconds = (ahead->requests + ahead->late) / -ahead->growth;
    earliest =
        std::min(earliest, FromSeconds(std::min(seconds, ToSeconds(latest))));
  }
  return state->returns.Promise(
      {.rank = request.rank,
       .earliest = earliest,
       .latest = latest,
       .capacity = ahead->rank_rate * state->load.own_share(),
       .hash = HashBytes(request.id)},
      now);
}

void EarlyRefusal::Log(const Request& request, const Decision& decision) {
  metrics_.Add(std::string("early_decisions{outcome=\"") +
               OutcomeName(decision.outcome) + "\"}");
  if (!decision.ahead.has_value()) {
    return;
  }
  metrics_.Observe("early_predicted_wait_seconds",
                   ToSeconds(*decision.predicted_wait));
  const QueueAhead& ahead = *decision.ahead;
  log_.Info(
      "early_decision",
      {{"id", request.id},
       {"outcome", OutcomeName(decision.outcome)},
       {"service", request.service},
       {"priority", request.rank.priority},
       {"route_priority", request.rank.route_priority},
       {"ahead", ahead.requests},
       {"late", ahead.late},
       {"rank_rate", ahead.rank_rate},
       {"total_rate", ahead.total_rate},
       {"report_age_ms", ToMilliseconds(ahead.report_age)},
       {"predicted_ms", ToMilliseconds(*decision.predicted_wait)},
       {"correction", decision.correction},
       {"max_wait_ms", ToMilliseconds(request.max_wait)},
       {"refused_fraction", decision.refused_fraction},
       {"retry_after_ms",
        ToMilliseconds(decision.retry_after.value_or(Duration::zero()))}});
}

}  // namespace lavenderkeel
