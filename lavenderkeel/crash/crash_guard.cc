#include "lavenderkeel/crash/crash_guard.h"

#include <algorithm>
#include <utility>

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

void CrashGuard::OnComplete() {
  joining_since_.reset();
}

bool CrashGuard::Joining() const {
  return joining_since_.has_value() &&
         clock_.Now() - *joining_since_ < options_.join_patience;
}

CrashDecision CrashGuard::Decide(
    RequestFingerprint request,
    const std::function<bool()>& equal_runs) const {
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
  const bool blocked = assessment.standing == CrashStanding::kBlocked;
  // With fewer losses than block it, each entry finds out for itself.
  const bool in_turns = assessment.lost >= options_.ledger.blocked_at;
  const size_t turn =
      in_turns ? std::min(rank_(request), options_.most_turns) : 0;
  const TimePoint from =
      assessment.next_run + options_.turn * static_cast<int64_t>(turn);
  if (now >= from && !equal_runs()) {
    return {.kind = Kind::kRun, .assessment = assessment};
  }
  return {.kind = blocked ? Kind::kRefuse : Kind::kWait,
          .assessment = assessment,
          .retry_after = std::max(from - now, options_.retry_after)};
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

bool CrashGuard::OnReport(const CrashReport& report) {
  return Learn(report, "peer");
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
