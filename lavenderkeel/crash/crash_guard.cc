#include "lavenderkeel/crash/crash_guard.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

#include "lavenderkeel/crash/crash_wire.h"

namespace lavenderkeel {

namespace {

constexpr Duration kForgetPeriod = std::chrono::seconds(1);

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
    case CrashReport::Kind::kTrialEnded:
      return "no_result";
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

void CrashGuard::Join(const JoinSources& sources) {
  joining_since_ = clock_.Now();
  awaited_ = sources;
}

bool CrashGuard::IsJoining() const {
  return joining_since_.has_value() && (awaited_.peers || awaited_.store) &&
         clock_.Now() - *joining_since_ < options_.join_timeout;
}

TimePoint CrashGuard::TrialTime(const CrashAssessment& assessment) {
  const TimePoint now = clock_.Now();
  const auto rank = static_cast<int64_t>(
      std::min(rank_(SuspectHash()(assessment.suspect)), options_.max_rank));
  if (now < assessment.next_run) {
    pending_trials_.erase(assessment.suspect);
    return assessment.next_run + options_.trial_interval * rank;
  }
  // Long after the last loss, the suspect may arrive at all entries at the same
  // moment; if each ran it, each could lose a server. The first entry in rank
  // order runs it immediately. Each other entry waits for the result, or until
  // the trial intervals of the entries before it have passed without a run,
  // since the suspect may not arrive there.
  const auto [position, first] = pending_trials_.try_emplace(
      assessment.suspect, PendingTrial{now, assessment.next_run});
  PendingTrial& trial = position->second;
  const bool interval_passed =
      now - trial.since > options_.trial_interval * (rank + 2);
  if (trial.next_run != assessment.next_run || interval_passed) {
    trial = {.since = now, .next_run = assessment.next_run};
  }
  return trial.since + options_.trial_interval * rank;
}

CrashDecision CrashGuard::Decide(const RequestTraits& request,
                                 const OtherRuns& other_runs) {
  using Kind = CrashDecision::Kind;
  const std::vector<CrashAssessment> assessments = ledger_.AssessAll(request);
  const CrashAssessment gravest =
      assessments.empty() ? CrashAssessment() : assessments.front();
  if (IsJoining()) {
    return {.kind = Kind::kWait,
            .assessment = gravest,
            .retry_after = options_.retry_after};
  }
  const TimePoint now = clock_.Now();
  for (const CrashAssessment& assessment : assessments) {
    if (assessment.suspicion < CrashSuspicion::kDoubtful) {
      continue;
    }
    const TimePoint earliest = RunsSequentially(assessment)
                                   ? TrialTime(assessment)
                                   : std::max(now, assessment.next_run);
    if (now >= earliest && !other_runs(assessment.suspect)) {
      continue;
    }
    const bool blocked = assessment.suspicion == CrashSuspicion::kBlocked;
    return {.kind = blocked ? Kind::kRefuse : Kind::kWait,
            .assessment = assessment,
            .retry_after = std::max(earliest - now, options_.retry_after)};
  }
  return {.kind = Kind::kRun, .assessment = gravest};
}

bool CrashGuard::OnSent(const RequestTraits& request) {
  if (SuspicionOf(request) < CrashSuspicion::kDoubtful) {
    return false;
  }
  const TimePoint now = clock_.Now();
  AddLocalReport({.kind = CrashReport::Kind::kTrialStarted,
                  .request = request,
                  .sent = now,
                  .ended = now});
  return true;
}

void CrashGuard::OnTrialEnded(const RequestTraits& request) {
  const TimePoint now = clock_.Now();
  AddLocalReport({.kind = CrashReport::Kind::kTrialEnded,
                  .request = request,
                  .sent = now,
                  .ended = now});
}

void CrashGuard::OnRequestArrived(const RequestTraits& request) {
  const CrashAssessment assessment = ledger_.Assess(request);
  if (assessment.suspicion < CrashSuspicion::kBlocked) {
    return;
  }
  const TimePoint now = clock_.Now();
  const CrashReport report = {.kind = CrashReport::Kind::kRequestArrived,
                              .request = TraitsOf(assessment.suspect),
                              .ended = now};
  ledger_.AddReport(report, now);
  const auto [last_reminder, first] =
      last_reminders_.try_emplace(assessment.suspect, now);
  if (!first && now - last_reminder->second >= options_.remind_period) {
    last_reminder->second = now;
    outgoing_.push_back(report);
  }
}

void CrashGuard::OnServerLost(const Run& run) {
  LoseUnconfirmedAnswers(run.server);
  AddLoss(run, clock_.Now());
}

void CrashGuard::AddLoss(const Run& run, TimePoint ended) {
  metrics_.Add("server_losses_counted");
  ledger_.RememberLoss(run.server, ended - run.sent, ended);
  AddLocalReport({.kind = CrashReport::Kind::kLost,
                  .request = run.request,
                  .server = run.server,
                  .place = run.place,
                  .sent = run.sent,
                  .ended = ended});
}

void CrashGuard::LoseUnconfirmedAnswers(uint64_t server) {
  const TimePoint now = clock_.Now();
  for (const UnconfirmedAnswer& answer :
       TakeUnconfirmedAnswers(server, /*latest_end=*/now)) {
    if (now - answer.ended <= options_.lost_with_answer_time) {
      AddLoss(answer.run, answer.ended);
    }
  }
}

std::vector<CrashGuard::UnconfirmedAnswer> CrashGuard::TakeUnconfirmedAnswers(
    uint64_t server,
    TimePoint latest_end) {
  const auto found = unconfirmed_answers_.find(server);
  if (found == unconfirmed_answers_.end()) {
    return {};
  }
  std::vector<UnconfirmedAnswer>& answers = found->second;
  const auto first = std::ranges::upper_bound(answers, latest_end, {},
                                              &UnconfirmedAnswer::ended);
  std::vector<UnconfirmedAnswer> taken(answers.begin(), first);
  answers.erase(answers.begin(), first);
  if (answers.empty()) {
    unconfirmed_answers_.erase(found);
  }
  return taken;
}

void CrashGuard::OnServerAnswered(uint64_t server, TimePoint sent) {
  for (const UnconfirmedAnswer& answer :
       TakeUnconfirmedAnswers(server, /*latest_end=*/sent)) {
    OnServerSurvived(answer.run);
  }
  if (ledger_.HasLossOf(server) && !unreachable_servers_.contains(server)) {
    AddLocalReport({.kind = CrashReport::Kind::kServerAlive,
                    .server = server,
                    .sent = sent,
                    .ended = clock_.Now()});
  }
}

void CrashGuard::OnServerUnreachable(uint64_t server) {
  LoseUnconfirmedAnswers(server);
  if (ledger_.HasLossOf(server)) {
    unreachable_servers_.insert(server);
  }
}

void CrashGuard::OnServerSurvived(const Run& run) {
  const TimePoint now = clock_.Now();
  ledger_.RememberAnswer(run.request, now - run.sent, now);
  const Suspect place = {.kind = Suspect::Kind::kPlace, .first = run.place};
  if (ledger_.IsKnown(run.request) || ledger_.IsKnown(place)) {
    AddLocalReport({.kind = CrashReport::Kind::kSurvived,
                    .request = run.request,
                    .place = run.place,
                    .ended = now});
  }
}

void CrashGuard::OnConnectionEnded(const Run& run) {
  unconfirmed_answers_[run.server].push_back(
      {.run = run, .ended = clock_.Now()});
}

void CrashGuard::OnReports(const CrashNews& message, const Sender& sender) {
  for (const CrashReport& report : FromWire(message, clock_.Now())) {
    if (AddReport(report, "peer") && sender.pass_on) {
      outgoing_.push_back(report);
    }
  }
  if (message.complete) {
    awaited_.peers = false;
    awaited_.store = awaited_.store && !sender.is_older;
  }
}

void CrashGuard::OnStoredReports(const std::vector<CrashReport>& reports) {
  for (const CrashReport& report : reports) {
    AddReport(report, "store");
  }
  awaited_.store = false;
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
             {"fingerprint", report.request.fingerprint},
             {"parts", JoinPromptParts(report.request.parts)},
             {"server_hash", report.server},
             {"age_ms", ToMilliseconds(clock_.Now() - report.ended)},
             {"standing", CrashSuspicionName(assessment.suspicion)},
             {"suspect", SuspectName(assessment.suspect)},
             {"lost", assessment.lost},
             {"in_turn", assessment.in_turn}});
  LogChanges(report.request);
  return true;
}

void CrashGuard::LogChanges(const RequestTraits& request) {
  BySuspect<CrashAssessment> assessed;
  for (const CrashAssessment& assessment : ledger_.AssessAll(request)) {
    assessed[assessment.suspect] = assessment;
  }
  for (const Suspect& suspect : SuspectsOf(request)) {
    const auto found = assessed.find(suspect);
    const CrashAssessment assessment =
        found == assessed.end() ? CrashAssessment() : found->second;
    const auto last = logged_.find(suspect);
    const CrashSuspicion former =
        last == logged_.end() ? CrashSuspicion::kClear : last->second;
    // Alternatives depend on the request, and would change the standing with
    // each.
    const CrashSuspicion standing = assessment.has_alternative
                                        ? CrashSuspicion::kBlocked
                                        : assessment.suspicion;
    if (standing == former) {
      continue;
    }
    if (standing == CrashSuspicion::kClear) {
      logged_.erase(last);
    } else {
      logged_[suspect] = standing;
    }
    if (std::max(standing, former) < CrashSuspicion::kDoubtful) {
      continue;
    }
    log_.Info("crash_suspect",
              {{"suspect", SuspectName(suspect)},
               {"standing", CrashSuspicionName(standing)},
               {"former", CrashSuspicionName(former)},
               {"lost", assessment.lost},
               {"in_turn", assessment.in_turn},
               {"chance", assessment.chance},
               {"answers", assessment.answers},
               {"has_alternative", assessment.has_alternative ? 1 : 0}});
  }
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
  const auto is_forgotten = [this](const auto& item) {
    return !ledger_.IsKnown(item.first);
  };
  std::erase_if(last_reminders_, is_forgotten);
  std::erase_if(pending_trials_, is_forgotten);
  std::erase_if(logged_, is_forgotten);
  for (auto& [server, answers] : unconfirmed_answers_) {
    std::erase_if(answers, [&](const UnconfirmedAnswer& answer) {
      return now - answer.ended > options_.confirm_timeout;
    });
  }
  std::erase_if(unconfirmed_answers_,
                [](const auto& item) { return item.second.empty(); });
  const std::vector<Suspect> culprits = ledger_.Culprits();
  for (const Suspect::Kind kind :
       {Suspect::Kind::kRequest, Suspect::Kind::kPart, Suspect::Kind::kPartPair,
        Suspect::Kind::kPlace}) {
    metrics_.Set(
        std::string("crash_culprits{kind=\"") + SuspectKindName(kind) + "\"}",
        static_cast<double>(
            std::ranges::count(culprits, kind, &Suspect::kind)));
  }
}

}  // namespace lavenderkeel
