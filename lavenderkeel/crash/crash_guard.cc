#include "lavenderkeel/crash/crash_guard.h"

#include <algorithm>
#include <utility>

#include "lavenderkeel/crash/crash_wire.h"

namespace lavenderkeel {

namespace {

constexpr Duration kForgetPeriod = std::chrono::seconds(1);

std::string_view StandingName(CrashStanding standing) {
  switch (standing) {
    case CrashStanding::kClear:
      return "clear";
    case CrashStanding::kSuspect:
      return "suspect";
    case CrashStanding::kDoubtful:
      return "doubtful";
    case CrashStanding::kBlocked:
      return "blocked";
  }
  return "clear";
}

std::string_view KindName(CrashReport::Kind kind) {
  switch (kind) {
    case CrashReport::Kind::kLost:
      return "server_lost";
    case CrashReport::Kind::kSurvived:
      return "survived";
    case CrashReport::Kind::kServerLives:
      return "server_lives";
    case CrashReport::Kind::kComesAgain:
      return "comes_again";
    case CrashReport::Kind::kTried:
      return "tried";
  }
  return "server_lost";
}

}  // namespace

CrashGuard::CrashGuard(const Options& options,
                       const Clock& clock,
                       const EventLog& log,
                       Metrics& metrics,
                       Rank rank)
    : options_(options),
      clock_(clock),
      log_(log),
      metrics_(metrics),
      rank_(std::move(rank)),
      ledger_(options.ledger) {}

void CrashGuard::Join() {
  joining_since_ = clock_.Now();
}

bool CrashGuard::Joining() const {
  return joining_since_.has_value() &&
         clock_.Now() - *joining_since_ < options_.join_patience;
}

TimePoint CrashGuard::TurnOf(RequestFingerprint request,
                             const CrashAssessment& assessment) {
  const TimePoint now = clock_.Now();
  const auto rank =
      static_cast<int64_t>(std::min(rank_(request), options_.most_turns));
  if (now < assessment.next_run) {
    wishes_.erase(request);
    return assessment.next_run + options_.turn * rank;
  }
  // Failure: it comes to all entries at the same moment, long after the last
  // loss. Symptom: each lets it run and one server each is lost. The first in
  // order runs it at once; the others wait for what that shows, or for that
  // entry's turn to pass because the request does not come there.
  const auto [position, first] =
      wishes_.try_emplace(request, Wish{now, assessment.next_run});
  Wish& wish = position->second;
  const bool passed = now - wish.since > options_.turn * (rank + 2);
  if (wish.next_run != assessment.next_run || passed) {
    wish = {.since = now, .next_run = assessment.next_run};
  }
  return wish.since + options_.turn * rank;
}

CrashDecision CrashGuard::Decide(RequestFingerprint request,
                                 const std::function<bool()>& equal_runs) {
  using Kind = CrashDecision::Kind;
  const CrashAssessment assessment = ledger_.Assess(request);
  if (Joining()) {
    return {.kind = Kind::kWait,
            .assessment = assessment,
            .retry_after = options_.retry_after};
  }
  if (assessment.standing < CrashStanding::kDoubtful) {
    return {.kind = Kind::kRun, .assessment = assessment};
  }
  const TimePoint now = clock_.Now();
  const TimePoint from =
      RunsInTurns(assessment) ? TurnOf(request, assessment) : now;
  if (now >= from && !equal_runs()) {
    return {.kind = Kind::kRun, .assessment = assessment};
  }
  const bool blocked = assessment.standing == CrashStanding::kBlocked;
  return {.kind = blocked ? Kind::kRefuse : Kind::kWait,
          .assessment = assessment,
          .retry_after = std::max(from - now, options_.retry_after)};
}

void CrashGuard::OnSent(RequestFingerprint request) {
  if (RunsInTurns(ledger_.Assess(request))) {
    const TimePoint now = clock_.Now();
    LearnHere({.kind = CrashReport::Kind::kTried,
               .request = request,
               .sent = now,
               .ended = now});
  }
}

void CrashGuard::OnArrival(RequestFingerprint request) {
  if (StandingOf(request) < CrashStanding::kBlocked) {
    return;
  }
  const TimePoint now = clock_.Now();
  const CrashReport report = {
      .kind = CrashReport::Kind::kComesAgain, .request = request, .ended = now};
  ledger_.Learn(report, now);
  const auto [told, first] = told_.try_emplace(request, now);
  if (!first && now - told->second >= options_.tell_again) {
    told->second = now;
    news_.push_back(report);
  }
}

void CrashGuard::OnServerLost(RequestFingerprint request,
                              uint64_t server,
                              TimePoint sent) {
  metrics_.Add("server_losses_counted");
  LearnHere({.kind = CrashReport::Kind::kLost,
             .request = request,
             .server = server,
             .sent = sent,
             .ended = clock_.Now()});
}

void CrashGuard::OnServerAnswered(uint64_t server, TimePoint sent) {
  if (ledger_.CountsLossOf(server) && !unreachable_.contains(server)) {
    LearnHere({.kind = CrashReport::Kind::kServerLives,
               .server = server,
               .sent = sent,
               .ended = clock_.Now()});
  }
}

void CrashGuard::OnServerUnreachable(uint64_t server) {
  if (ledger_.CountsLossOf(server)) {
    unreachable_.insert(server);
  }
}

void CrashGuard::OnSurvived(RequestFingerprint request) {
  if (ledger_.Knows(request)) {
    LearnHere({.kind = CrashReport::Kind::kSurvived,
               .request = request,
               .ended = clock_.Now()});
  }
}

void CrashGuard::OnNews(const CrashNews& news, bool pass_on) {
  for (const CrashReport& report : FromWire(news, clock_.Now())) {
    if (Learn(report, "peer") && pass_on) {
      news_.push_back(report);
    }
  }
  if (news.complete) {
    joining_since_.reset();
  }
}

void CrashGuard::LearnHere(const CrashReport& report) {
  if (Learn(report, "here")) {
    news_.push_back(report);
  }
}

bool CrashGuard::Learn(const CrashReport& report, std::string_view from) {
  if (!ledger_.Learn(report, clock_.Now())) {
    return false;
  }
  const CrashAssessment assessment = ledger_.Assess(report.request);
  log_.Info("crash_evidence",
            {{"seen", KindName(report.kind)},
             {"from", from},
             {"fingerprint", report.request},
             {"server_hash", report.server},
             {"age_ms", ToMilliseconds(clock_.Now() - report.ended)},
             {"standing", StandingName(assessment.standing)},
             {"lost", assessment.lost},
             {"in_turn", assessment.in_turn}});
  return true;
}

std::vector<CrashReport> CrashGuard::TakeNews() {
  return std::exchange(news_, {});
}

void CrashGuard::Tick() {
  const TimePoint now = clock_.Now();
  if (now < forget_due_) {
    return;
  }
  forget_due_ = now + kForgetPeriod;
  ledger_.Forget(now);
  std::erase_if(unreachable_, [this](uint64_t server) {
    return !ledger_.CountsLossOf(server);
  });
  std::erase_if(
      told_, [this](const auto& item) { return !ledger_.Knows(item.first); });
}

}  // namespace lavenderkeel
