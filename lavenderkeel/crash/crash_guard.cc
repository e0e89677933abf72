#include "lavenderkeel/crash/crash_guard.h"

#include <algorithm>
#include <utility>

#include "lavenderkeel/crash/crash_wire.h"

namespace lavenderkeel {

namespace {

constexpr Duration kForgetPeriod = std::chrono::seconds(1);

std::string_view SuspicionName(CrashSuspicion suspicion) {
  switch (suspicion) {
    case CrashSuspicion::kClear:
      return "clear";
    case CrashSuspicion::kSuspect:
      return "suspect";
    case CrashSuspicion::kDoubtful:
      return "doubtful";
    case CrashSuspicion::kBlocked:
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
    case CrashReport::Kind::kServerAlive:
      return "server_lives";
    case CrashReport::Kind::kRequestArrived:
      return "comes_again";
    case CrashReport::Kind::kTrialStarted:
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

bool CrashGuard::IsJoining() const {
  return joining_since_.has_value() &&
         clock_.Now() - *joining_since_ < options_.join_timeout;
}

TimePoint CrashGuard::TrialTime(RequestFingerprint request,
                                const CrashAssessment& assessment) {
  const TimePoint now = clock_.Now();
  const auto rank =
      static_cast<int64_t>(std::min(rank_(request), options_.max_rank));
  if (now < assessment.next_run) {
    pending_trials_.erase(request);
    return assessment.next_run + options_.trial_interval * rank;
  }
  // Long after the last loss, the request may arrive at all entries at the same
  // moment; if each ran it, each could lose a server. The first entry in rank
  // order runs it immediately. Each other entry waits for the result, or until
  // the trial intervals of the entries before it have passed without a run,
  // since the request may not arrive there.
  const auto [position, first] = pending_trials_.try_emplace(
      request, PendingTrial{now, assessment.next_run});
  PendingTrial& trial = position->second;
  const bool interval_passed =
      now - trial.since > options_.trial_interval * (rank + 2);
  if (trial.next_run != assessment.next_run || interval_passed) {
    trial = {.since = now, .next_run = assessment.next_run};
  }
  return trial.since + options_.trial_interval * rank;
}

CrashDecision CrashGuard::Decide(RequestFingerprint request,
                                 const std::function<bool()>& equal_runs) {
  using Kind = CrashDecision::Kind;
  const CrashAssessment assessment = ledger_.Assess(request);
  if (IsJoining()) {
    return {.kind = Kind::kWait,
            .assessment = assessment,
            .retry_after = options_.retry_after};
  }
  if (assessment.suspicion < CrashSuspicion::kDoubtful) {
    return {.kind = Kind::kRun, .assessment = assessment};
  }
  const TimePoint now = clock_.Now();
  const TimePoint earliest =
      RunsSequentially(assessment) ? TrialTime(request, assessment) : now;
  if (now >= earliest && !equal_runs()) {
    return {.kind = Kind::kRun, .assessment = assessment};
  }
  const bool blocked = assessment.suspicion == CrashSuspicion::kBlocked;
  return {.kind = blocked ? Kind::kRefuse : Kind::kWait,
          .assessment = assessment,
          .retry_after = std::max(earliest - now, options_.retry_after)};
}

void CrashGuard::OnSent(RequestFingerprint request) {
  if (RunsSequentially(ledger_.Assess(request))) {
    const TimePoint now = clock_.Now();
    AddLocalReport({.kind = CrashReport::Kind::kTrialStarted,
                    .request = request,
                    .sent = now,
                    .ended = now});
  }
}

void CrashGuard::OnRequestArrived(RequestFingerprint request) {
  if (SuspicionOf(request) < CrashSuspicion::kBlocked) {
    return;
  }
  const TimePoint now = clock_.Now();
  const CrashReport report = {.kind = CrashReport::Kind::kRequestArrived,
                              .request = request,
                              .ended = now};
  ledger_.AddReport(report, now);
  const auto [last_reminder, first] = last_reminders_.try_emplace(request, now);
  if (!first && now - last_reminder->second >= options_.remind_period) {
    last_reminder->second = now;
    outgoing_.push_back(report);
  }
}

void CrashGuard::OnServerLost(RequestFingerprint request,
                              uint64_t server,
                              TimePoint sent) {
  metrics_.Add("server_losses_counted");
  AddLocalReport({.kind = CrashReport::Kind::kLost,
                  .request = request,
                  .server = server,
                  .sent = sent,
                  .ended = clock_.Now()});
}

void CrashGuard::OnServerAnswered(uint64_t server, TimePoint sent) {
  if (ledger_.HasLossOf(server) && !unreachable_servers_.contains(server)) {
    AddLocalReport({.kind = CrashReport::Kind::kServerAlive,
                    .server = server,
                    .sent = sent,
                    .ended = clock_.Now()});
  }
}

void CrashGuard::OnServerUnreachable(uint64_t server) {
  if (ledger_.HasLossOf(server)) {
    unreachable_servers_.insert(server);
  }
}

void CrashGuard::OnServerSurvived(RequestFingerprint request) {
  if (ledger_.IsKnown(request)) {
    AddLocalReport({.kind = CrashReport::Kind::kSurvived,
                    .request = request,
                    .ended = clock_.Now()});
  }
}

void CrashGuard::OnReports(const CrashNews& message, bool pass_on) {
  for (const CrashReport& report : FromWire(message, clock_.Now())) {
    if (AddReport(report, "peer") && pass_on) {
      outgoing_.push_back(report);
    }
  }
  if (message.complete) {
    joining_since_.reset();
  }
}

void CrashGuard::AddLocalReport(const CrashReport& report) {
  if (AddReport(report, "here")) {
    outgoing_.push_back(report);
  }
}

bool CrashGuard::AddReport(const CrashReport& report, std::string_view from) {
  if (!ledger_.AddReport(report, clock_.Now())) {
    return false;
  }
  const CrashAssessment assessment = ledger_.Assess(report.request);
  log_.Info("crash_evidence",
            {{"seen", KindName(report.kind)},
             {"from", from},
             {"fingerprint", report.request},
             {"server_hash", report.server},
             {"age_ms", ToMilliseconds(clock_.Now() - report.ended)},
             {"standing", SuspicionName(assessment.suspicion)},
             {"lost", assessment.lost},
             {"in_turn", assessment.in_turn}});
  return true;
}

std::vector<CrashReport> CrashGuard::TakeNewReports() {
  return std::exchange(outgoing_, {});
}

void CrashGuard::Tick() {
  const TimePoint now = clock_.Now();
  if (now < next_forget_) {
    return;
  }
  next_forget_ = now + kForgetPeriod;
  ledger_.ForgetExpired(now);
  std::erase_if(unreachable_servers_,
                [this](uint64_t server) { return !ledger_.HasLossOf(server); });
  std::erase_if(last_reminders_, [this](const auto& item) {
    return !ledger_.IsKnown(item.first);
  });
}

}  // namespace lavenderkeel
